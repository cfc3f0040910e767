"""Steps for datagrams and tokens."""

import behave
import hypothesis
import hypothesis.strategies as st
from returns import result

from basilgate import controlmessages, reasons, tokens, wire

CODEC = controlmessages.Codec(bytes(32))


@behave.when("random bytes are decoded")
def decode_random_bytes(context):
    """Decode arbitrary bytes, and bytes that start like a real datagram."""
    starts = st.sampled_from([b"", b"\xba\x51\x01", b"\xba\x52", b"\xba\x53"])
    context.checked = 0

    @hypothesis.given(starts, st.binary(max_size=1_500))
    def decode(start, rest):
        datagram = start + rest
        for decoded in (
            wire.decode(datagram),
            wire.decode_relayed(datagram),
            controlmessages.open_relayed(CODEC, datagram),
            CODEC.decode(datagram),
        ):
            if isinstance(decoded, result.Failure):
                assert isinstance(decoded.failure(), reasons.Reason)
            else:
                decoded.unwrap()
            context.checked += 1
        payload = rest
        sealed = controlmessages.ENVELOPE_LAYOUT.pack(
            controlmessages.CONTROL_MAGIC, CODEC.mac(payload)
        )
        assert isinstance(
            CODEC.decode(sealed + payload), result.Success | result.Failure
        )

    decode()


@behave.then("each result is a frame or a named reason")
def check_decoded(context):
    """Check that the decoders were run."""
    assert context.checked >= 1_000, context.checked


@behave.when("random frames are encoded and decoded")
def encode_random_frames(context):
    """Encode and decode frames with random fields."""
    context.checked = 0

    @hypothesis.given(
        st.sampled_from(list(wire.Kind)),
        st.integers(0, 2**32 - 1),
        st.integers(0, 2**64 - 1),
        st.integers(0, 2**16 - 1),
        st.binary(max_size=wire.MAX_BODY_BYTES),
    )
    def encode(kind, service, flow, piece, body):
        frame = wire.Frame(kind, service, flow, piece=piece, body=body)
        assert wire.decode(wire.encode(frame)).unwrap() == frame
        context.checked += 1

    encode()


@behave.then("each frame is unchanged")
def check_encoded(context):
    """Check that frames were compared."""
    assert context.checked >= 100, context.checked


@behave.given("a token for service 7 and flow 99")
def make_token(context):
    """Mint a token that expires at Unix time 1000."""
    context.placement = tokens.Placement(7, 3, 1, 1_000)
    context.token = tokens.mint(context.ring, context.placement, 99)
    verified = tokens.verify(context.ring, context.token, 99, 7, 999)
    assert verified.unwrap() == context.placement


@behave.when("it is used {use}")
def use_token(context, use):
    """Verify the token in the given way."""
    token, flow, service, now_s = context.token, 99, 7, 999
    if use == "for another service":
        service = 8
    elif use == "for another flow":
        flow = 98
    elif use == "after its expiry":
        now_s = 1_000
    elif use == "with a changed byte":
        token = token[:5] + bytes([token[5] ^ 1]) + token[6:]
    else:
        context.ring.retain(set())
    context.verified = tokens.verify(context.ring, token, flow, service, now_s)


@behave.then("it is refused with {reason}")
def check_refused(context, reason):
    """Check the reason."""
    assert reasons.label(context.verified.failure()) == reason
