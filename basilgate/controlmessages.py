"""Control messages between balancers: encoding, authentication, and TCP calls.

A message is a Thrift union in the compact protocol with a MAC. It is sent as a UDP
datagram or, with its length in front, over TCP.
"""

import collections.abc
import dataclasses
import functools
import hashlib
import hmac
import ipaddress
import json
import secrets
import ssl
import struct
import time
import typing

import anyio
import anyio.abc
import anyio.streams.buffered
import thrift.protocol.TCompactProtocol
import thrift.protocol.TProtocol
import thrift.Thrift
import thrift.transport.TTransport
import thrift.TSerialization
from returns import result

from basilgate import metrics, reasons, storedobjects, wire
from peerproto import ttypes

CONTROL_MAGIC = 0xBA53
# Magic and MAC in front of the serialised union.
ENVELOPE_LAYOUT = struct.Struct("!H8s")
# Length in bytes in front of each message on a TCP connection.
LENGTH_LAYOUT = struct.Struct("!I")
MAC_BYTES = 8
MAX_CONTROL_DATAGRAM_BYTES = 8_192
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_S = 3.0

# A TCP connection starts with random bytes from the server. The MACs of the call and
# of the reply include them, so that a recorded call cannot be replayed.
CHALLENGE_BYTES = 16
CALL_CONTEXT = b"call"
REPLY_CONTEXT = b"reply"

PROTOCOL = thrift.protocol.TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_MESSAGE_BYTES, container_length_limit=1_000_000
)

# Fields of the union `Message` in idl/peer.thrift, one of which each message sets.
MESSAGE_FIELDS = (
    "heartbeat",
    "domain_ping",
    "sync_request",
    "sync_reply",
    "handover",
    "acknowledgement",
    "completion",
    "view_changed",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """Encodes and decodes messages with MACs under a secret shared by all balancers.

    The MAC covers a context that the receiver can compute: the address that a
    datagram was sent to, or the challenge of a TCP connection. A recorded message is
    therefore not valid in another context.
    """

    secret: bytes
    # TLS settings of the calls that this host makes, None without TLS.
    tls: ssl.SSLContext | None = None

    def mac(self, payload: bytes, context: bytes = b"") -> bytes:
        """Return the MAC of a payload and the context that it is bound to."""
        digest = hashlib.blake2b(context, digest_size=MAC_BYTES, key=self.secret)
        digest.update(payload)
        return digest.digest()

    def encode(self, field: str, message: typing.Any, context: bytes = b"") -> bytes:
        """Return the encoded message with its MAC; `field` is its union field."""
        started_s = time.thread_time()
        payload: bytes = thrift.TSerialization.serialize(
            ttypes.Message(**{field: message}), PROTOCOL
        )
        datagram = (
            ENVELOPE_LAYOUT.pack(CONTROL_MAGIC, self.mac(payload, context)) + payload
        )
        count_message(field, "sent", len(datagram))
        metrics.CONTROL_CPU.add({}, time.thread_time() - started_s)
        return datagram

    def decode(
        self, datagram: bytes, context: bytes = b""
    ) -> result.Result[tuple[str, typing.Any], reasons.Reason]:
        """Return the union field and the message, or why the datagram is invalid."""
        started_s = time.thread_time()
        decoded = self.parse(datagram, context)
        metrics.CONTROL_CPU.add({}, time.thread_time() - started_s)
        return decoded

    def parse(
        self, datagram: bytes, context: bytes
    ) -> result.Result[tuple[str, typing.Any], reasons.Reason]:
        """Verify the MAC and parse the message, without measuring the CPU time."""
        if len(datagram) < ENVELOPE_LAYOUT.size:
            return result.Failure(reasons.Reason.TRUNCATED)
        magic, mac = ENVELOPE_LAYOUT.unpack_from(datagram)
        payload = datagram[ENVELOPE_LAYOUT.size :]
        if magic != CONTROL_MAGIC:
            return result.Failure(reasons.Reason.MALFORMED)
        if not hmac.compare_digest(mac, self.mac(payload, context)):
            return result.Failure(reasons.Reason.BAD_MAC)
        try:
            message_union = thrift.TSerialization.deserialize(
                ttypes.Message(), payload, PROTOCOL
            )
            present = [
                name
                for name in MESSAGE_FIELDS
                if getattr(message_union, name) is not None
            ]
            if len(present) != 1:
                return result.Failure(reasons.Reason.MALFORMED)
            message = getattr(message_union, present[0])
            message.validate()
        except (
            thrift.Thrift.TException,
            thrift.protocol.TProtocol.TProtocolException,
            EOFError,
            ValueError,
            TypeError,
            MemoryError,
            OverflowError,
            IndexError,
        ):
            return result.Failure(reasons.Reason.MALFORMED)
        count_message(present[0], "received", len(datagram))
        return result.Success((present[0], message))


@functools.lru_cache(maxsize=4_096)
def context_of(address: tuple[str, int]) -> bytes:
    """Return the MAC context of a datagram that is sent to `address`."""
    host, port = address
    return ipaddress.ip_address(host).packed + port.to_bytes(2, "big")


def count_message(field: str, direction: str, size: int) -> None:
    """Add a message to the metrics of control messages.

    `direction` is "sent" or "received", `size` the length in bytes.
    """
    labels = {"direction": direction, "message": field}
    metrics.CONTROL_MESSAGES.inc(labels)
    metrics.CONTROL_BYTES.add(labels, size)


async def send_stream(stream: anyio.abc.ByteSendStream, datagram: bytes) -> None:
    """Send one encoded message over TCP."""
    await stream.send(LENGTH_LAYOUT.pack(len(datagram)) + datagram)


async def receive_stream(
    stream: anyio.streams.buffered.BufferedByteReceiveStream,
) -> bytes:
    """Wait for the next encoded message of a TCP connection and return it.

    Raises
    ------
    ValueError
        If the length is above `MAX_MESSAGE_BYTES`.
    anyio.EndOfStream, anyio.IncompleteRead
        If the connection ends.
    """
    (length,) = LENGTH_LAYOUT.unpack(await stream.receive_exactly(LENGTH_LAYOUT.size))
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f"message has {length} bytes, limit {MAX_MESSAGE_BYTES}")
    return await stream.receive_exactly(length)


async def connect(codec: Codec, address: tuple[str, int]) -> anyio.abc.ByteStream:
    """Connect to a peer, with TLS if this host uses it.

    Raises
    ------
    OSError
        If the peer cannot be reached, or one side refuses the certificate.
    """
    if codec.tls is None:
        return await anyio.connect_tcp(*address)
    # The length in front of each message reveals a connection that was cut off, so
    # the closing handshake of TLS is not needed.
    return await anyio.connect_tcp(
        *address, ssl_context=codec.tls, tls_standard_compatible=False
    )


async def call(
    codec: Codec,
    address: tuple[str, int],
    field: str,
    message: typing.Any,
    timeout_s: float = CALL_TIMEOUT_S,
) -> result.Result[tuple[str, typing.Any], reasons.Reason]:
    """Send one message over TCP and return the field and message of the reply.

    Fails with `Reason.NO_REPLY` if no reply comes within `timeout_s`, with the reason
    to drop it if the reply is invalid.
    """
    with anyio.move_on_after(timeout_s):
        try:
            async with await connect(codec, address) as stream:
                reader = anyio.streams.buffered.BufferedByteReceiveStream(stream)
                challenge = await reader.receive_exactly(CHALLENGE_BYTES)
                request = codec.encode(field, message, CALL_CONTEXT + challenge)
                await send_stream(stream, request)
                return codec.decode(
                    await receive_stream(reader), REPLY_CONTEXT + challenge
                )
        except (
            OSError,
            ValueError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
        ):
            return result.Failure(reasons.Reason.NO_REPLY)
    return result.Failure(reasons.Reason.NO_REPLY)


async def answer_call(
    codec: Codec,
    stream: anyio.abc.ByteStream,
    reply_to: collections.abc.Callable[
        [str, typing.Any], collections.abc.Awaitable[tuple[str, typing.Any]]
    ],
) -> reasons.Reason:
    """Answer one call of a peer over TCP.

    Parameters
    ----------
    codec : Codec
        Decodes the call and encodes the reply.
    stream : anyio.abc.ByteStream
        Connection that the peer opened.
    reply_to : callable
        Returns field and message of the reply to the field and message of a call.

    Returns
    -------
    reasons.Reason
        `NONE` if the call was answered, else why not.
    """
    reader = anyio.streams.buffered.BufferedByteReceiveStream(stream)
    with anyio.move_on_after(CALL_TIMEOUT_S):
        try:
            challenge = secrets.token_bytes(CHALLENGE_BYTES)
            await stream.send(challenge)
            request = await receive_stream(reader)
            decoded = codec.decode(request, CALL_CONTEXT + challenge)
            if isinstance(decoded, result.Failure):
                refusal: reasons.Reason = decoded.failure()
                return refusal
            reply = await reply_to(*decoded.unwrap())
            await send_stream(stream, codec.encode(*reply, REPLY_CONTEXT + challenge))
        except (
            OSError,
            ValueError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
        ):
            return reasons.Reason.MALFORMED
        return reasons.Reason.NONE
    return reasons.Reason.NO_REPLY


def seal_relayed(codec: Codec, relayed: wire.Relayed) -> bytes:
    """Return the datagram for a relayed frame, with a MAC at its end."""
    datagram = wire.encode_relayed(relayed)
    return datagram + codec.mac(datagram)


def open_relayed(
    codec: Codec, datagram: bytes
) -> result.Result[wire.Relayed, reasons.Reason]:
    """Verify the MAC of a datagram and return its relayed frame, or why to drop it."""
    content, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
    decoded = wire.decode_relayed(content)
    if isinstance(decoded, result.Failure):
        return decoded
    if not hmac.compare_digest(mac, codec.mac(content)):
        return result.Failure(reasons.Reason.BAD_MAC)
    return decoded


def to_thrift(stored: storedobjects.StoredObject) -> typing.Any:
    """Convert an object of the platform to the Thrift structure."""
    text = "" if stored.value is None else json.dumps(stored.value)
    return ttypes.StoredObject(
        stored.name, stored.version, stored.revision, text, stored.value is None
    )


def from_thrift(part: typing.Any) -> storedobjects.StoredObject | None:
    """Convert the Thrift structure to an object, None if its JSON is not usable."""
    if part.removed:
        return storedobjects.StoredObject(part.name, part.version, part.revision, None)
    try:
        value = json.loads(part.value)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    return storedobjects.StoredObject(part.name, part.version, part.revision, value)


def signed(value: int) -> int:
    """Convert an unsigned 64-bit id to the signed integer that Thrift has."""
    return value - (1 << 64) if value >= 1 << 63 else value


def unsigned(value: int) -> int:
    """Convert the signed integer in a message to the unsigned 64-bit id."""
    return value & 0xFFFFFFFFFFFFFFFF


def signed32(value: int) -> int:
    """Convert an unsigned 32-bit id to the signed integer that Thrift has."""
    return value - (1 << 32) if value >= 1 << 31 else value


def unsigned32(value: int) -> int:
    """Convert the signed integer in a message to the unsigned 32-bit id."""
    return value & 0xFFFFFFFF
