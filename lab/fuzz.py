"""Sends malformed and forged input to a live balancer: `python -m lab.fuzz`.

Each batch is of one kind. Input that has to be dropped is counted: the balancer must
count exactly as many drops. After each batch an open must still be answered, which
shows that no task has ended.
"""

import collections
import collections.abc
import random
import socket
import sys

import anyio
import fire
import fire.decorators

from basilgate import controlmessages, metrics, registry, wire
from lab import solo

BATCH = 40
EMPTY = b""
COUNT_LIMIT_S = 5.0
MAX_RANDOM_BYTES = 1_600

Make = collections.abc.Callable[[solo.Solo, random.Random], bytes]
# Kinds of datagrams to the callers' socket that have to be dropped.
DROPPED_FRAMES: registry.Registry[Make] = registry.Registry("dropped frame")
# Kinds of datagrams to the peers' socket that have to be dropped.
DROPPED_MESSAGES: registry.Registry[Make] = registry.Registry("dropped message")
# Kinds of datagrams to the callers' socket that may be served.
OTHER_FRAMES: registry.Registry[Make] = registry.Registry("other frame")


def request(server: solo.Solo, rng: random.Random) -> wire.Frame:
    """Return a request of a flow, with random content."""
    flow = rng.getrandbits(64)
    return wire.Frame(
        rng.choice(list(wire.Kind)),
        solo.SERVICE,
        flow,
        request=rng.getrandbits(32),
        flags=rng.getrandbits(8),
        attempt=rng.getrandbits(8),
        piece=rng.getrandbits(16),
        pieces=rng.getrandbits(16),
        deadline_ms=rng.choice([0, rng.getrandbits(64), 2**64 - 1]),
        token=server.token(flow),
        body=rng.randbytes(rng.randrange(wire.MAX_BODY_BYTES + 1)),
    )


def not_an_open(server: solo.Solo, rng: random.Random) -> wire.Frame:
    """Return a frame that needs a token."""
    frame = request(server, rng)
    if frame.kind is wire.Kind.OPEN:
        frame.kind = wire.Kind.REQUEST
    return frame


@DROPPED_FRAMES.register("random")
@DROPPED_MESSAGES.register("random")
def make_random(server: solo.Solo, rng: random.Random) -> bytes:
    """Return random bytes, some with the start of a real datagram."""
    del server
    start = rng.choice([b"", b"\xba\x51\x02", b"\xba\x52", b"\xba\x53"])
    return start + rng.randbytes(rng.randrange(1, MAX_RANDOM_BYTES))


@DROPPED_FRAMES.register("truncated")
def make_truncated(server: solo.Solo, rng: random.Random) -> bytes:
    """Return the start of a frame."""
    return wire.encode(request(server, rng))[: rng.randrange(1, wire.HEADER_BYTES)]


@DROPPED_FRAMES.register("oversized")
def make_oversized(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame with too long a body."""
    extra = rng.randbytes(wire.MAX_BODY_BYTES + rng.randrange(1, 30_000))
    return wire.encode(request(server, rng)) + extra


@DROPPED_FRAMES.register("flipped_token")
def make_flipped_token(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame with one bit of its token changed."""
    frame = not_an_open(server, rng)
    frame.token = flip(frame.token, rng)
    return wire.encode(frame)


@DROPPED_FRAMES.register("other_flow")
def make_other_flow(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame with the token of another flow."""
    frame = not_an_open(server, rng)
    frame.flow ^= 1 << rng.randrange(64)
    return wire.encode(frame)


@DROPPED_FRAMES.register("other_service")
def make_other_service(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame to another service than its token's."""
    frame = not_an_open(server, rng)
    frame.service = solo.OTHER_SERVICE
    return wire.encode(frame)


@DROPPED_FRAMES.register("expired")
def make_expired(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame with a token that has expired."""
    frame = not_an_open(server, rng)
    frame.token = server.token(frame.flow, expires_s=rng.randrange(1_700_000_000))
    return wire.encode(frame)


@DROPPED_FRAMES.register("relayed_without_mac")
def make_flipped_relay(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a relayed frame with one bit changed."""
    frame = wire.encode(request(server, rng))
    relayed = wire.Relayed(1, rng.getrandbits(2), ("127.0.0.1", 9), 0, frame)
    return flip(controlmessages.seal_relayed(server.codec, relayed), rng)


@DROPPED_MESSAGES.register("flipped_message")
def make_flipped_message(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a heartbeat with one bit changed."""
    context = controlmessages.context_of(server.peers)
    return flip(server.codec.encode("heartbeat", server.heartbeat(), context), rng)


@DROPPED_MESSAGES.register("truncated_message")
def make_truncated_message(server: solo.Solo, rng: random.Random) -> bytes:
    """Return the start of a heartbeat."""
    context = controlmessages.context_of(server.peers)
    datagram = server.codec.encode("heartbeat", server.heartbeat(), context)
    return datagram[: rng.randrange(1, len(datagram))]


@DROPPED_MESSAGES.register("message_to_another")
def make_message_to_another(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a heartbeat that was sent to another host."""
    address = (f"127.0.0.{rng.randrange(2, 250)}", 7001)
    context = controlmessages.context_of(address)
    return server.codec.encode("heartbeat", server.heartbeat(), context)


@DROPPED_MESSAGES.register("unreadable_payload")
def make_unreadable_payload(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a payload that is no message, under a valid MAC."""
    payload = b"\x00" + rng.randbytes(rng.randrange(400))
    mac = server.codec.mac(payload, controlmessages.context_of(server.peers))
    return (
        controlmessages.ENVELOPE_LAYOUT.pack(controlmessages.CONTROL_MAGIC, mac)
        + payload
    )


@OTHER_FRAMES.register("valid_token")
def make_valid(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame of any kind with a valid token."""
    return wire.encode(request(server, rng))


@OTHER_FRAMES.register("flipped_frame")
def make_flipped_frame(server: solo.Solo, rng: random.Random) -> bytes:
    """Return a frame with one bit changed anywhere."""
    return flip(wire.encode(request(server, rng)), rng)


def flip(datagram: bytes, rng: random.Random) -> bytes:
    """Return a datagram with one bit changed."""
    position = rng.randrange(len(datagram))
    changed = datagram[position] ^ 1 << rng.randrange(8)
    return datagram[:position] + bytes([changed]) + datagram[position + 1 :]


async def check_dropped(datagrams: list[bytes], address: tuple[str, int]) -> None:
    """Send datagrams and check that each is counted as dropped.

    Raises
    ------
    AssertionError
        If another number of drops is counted.
    """
    before = metrics.total(metrics.DROPPED)
    # asyncio does not send empty datagrams, so a plain socket does.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as plain:
        for datagram in datagrams:
            plain.sendto(datagram, address)
    with anyio.move_on_after(COUNT_LIMIT_S):
        while metrics.total(metrics.DROPPED) - before < len(datagrams):
            await anyio.sleep(0.002)
    counted = metrics.total(metrics.DROPPED) - before
    assert counted == len(datagrams), (counted, len(datagrams))


async def send_stream(server: solo.Solo, content: bytes) -> None:
    """Send bytes to the TCP port for calls and close."""
    async with await anyio.connect_tcp(*server.peers) as stream:
        await stream.send(content)


async def batch(server: solo.Solo, rng: random.Random) -> None:
    """Send one batch of each kind.

    Raises
    ------
    AssertionError
        If a drop was not counted, or the balancer no longer answers.
    """
    for entries, address in (
        (DROPPED_FRAMES, server.callers),
        (DROPPED_MESSAGES, server.peers),
    ):
        for name in entries.names():
            make = entries.get(name)
            made = [EMPTY, *(make(server, rng) for _ in range(BATCH))]
            try:
                await check_dropped(made, address)
            except AssertionError as error:
                raise AssertionError(f"{name}: {error.args[0]}") from error
    for name in OTHER_FRAMES.names():
        make = OTHER_FRAMES.get(name)
        for _ in range(BATCH):
            await server.caller.sendto(make(server, rng), *server.callers)
    for _ in range(BATCH // 8):
        length = rng.randrange(64)
        prefix = controlmessages.LENGTH_LAYOUT.pack(
            rng.choice([length, rng.getrandbits(32)])
        )
        await send_stream(server, prefix + rng.randbytes(length))
    reply = await server.open(rng.getrandbits(64))
    assert reply is not None and reply.kind is wire.Kind.OPENED, reply


async def run(seed: int, seconds: float, batches: int) -> dict[str, float]:
    """Fuzz a balancer and return the drops by reason.

    Parameters
    ----------
    seed : int
        Seed of the input.
    seconds : float
        Time after which no batch is started.
    batches : int
        Largest number of batches.

    Raises
    ------
    AssertionError
        If a drop was not counted, or the balancer no longer answers.
    """
    rng = random.Random(seed)
    before = collections.Counter(solo.dropped())
    async with solo.running() as server:
        end_at = anyio.current_time() + seconds
        done = 0
        while done < batches and anyio.current_time() < end_at:
            await batch(server, rng)
            done += 1
    drops = collections.Counter(solo.dropped())
    drops.subtract(before)
    return {reason: n for reason, n in sorted(drops.items()) if n}


@fire.decorators.SetParseFn(str)
def main(seed: str = "1", seconds: str = "10") -> None:
    """Fuzz a balancer in this process and print the drops by reason.

    Parameters
    ----------
    seed : str
        Seed of the input.
    seconds : str
        Time after which no further batch is started.
    """
    drops = anyio.run(run, int(seed), float(seconds), sys.maxsize)
    for reason, count in drops.items():
        print(f"{reason:24} {count:9.0f}")
    print(f"seed {seed}: {sum(drops.values()):.0f} datagrams dropped and counted")


if __name__ == "__main__":
    fire.Fire(main, name="fuzz")
