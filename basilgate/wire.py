"""Encoding of the frames between callers, balancers, and targets.

docs/protocol.md documents the layout. All integers are in network byte order.
"""

import dataclasses
import enum
import socket
import struct

from returns import result

from basilgate import reasons

# First two bytes of a frame, and of a frame relayed by a balancer.
FRAME_MAGIC = 0xBA51
RELAY_MAGIC = 0xBA52
VERSION = 1

HEADER_BYTES = 72
TOKEN_BYTES = 32
# A frame with a body of this size, a relay header, and IP headers stays below the
# usual link limit of 1,500 bytes, so that datagrams are not fragmented.
MAX_BODY_BYTES = 1_200
MAX_FRAME_BYTES = HEADER_BYTES + MAX_BODY_BYTES
EMPTY_TOKEN = bytes(TOKEN_BYTES)

# Number of balancers that may relay a frame, one after another.
MAX_HOPS = 3

# Magic, version, and the fields of `Frame` except the body, in the order of `encode`.
HEADER_LAYOUT = struct.Struct("!HBBBBBBIQIHHIQ32s")
# Magic, hops, flags, the caller's IPv6 address and port, domain, and a zero.
RELAY_LAYOUT = struct.Struct("!HBB16sHBB")
RELAY_HEADER_BYTES = RELAY_LAYOUT.size
# Length in bytes before each frame on the TCP connection to a target.
LENGTH_PREFIX = struct.Struct("!I")

# Prefix of an IPv4 address that is written as an IPv6 address.
IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"

# Bits of `Frame.flags`.
# The request may run more than once.
FLAG_IDEMPOTENT = 1
# The request may have started at a target: set by a target in CANCELLED, and in a
# request that an owner passes on after it forwarded it.
FLAG_STARTED = 2
# A REQUEST that a target's owner passed to another target: by load sharing, or as
# a retry after a failure.
FLAG_SPILLED = 4
FLAG_RETRIED = 8
# The bits that count as one pass each, see `passes`.
FLAGS_PASSED = FLAG_SPILLED | FLAG_RETRIED


class Kind(enum.IntEnum):
    """Kind of a frame."""

    # A caller opens a flow, and the confirmation with the flow's token.
    OPEN = 1
    OPENED = 2
    # A request, one piece of its answer, its refusal (or that of an OPEN), and the
    # reply if it is not known whether the request was run.
    REQUEST = 3
    ANSWER = 4
    REFUSED = 5
    UNKNOWN = 6
    # A request is to be cancelled.
    CANCEL = 7
    # A caller requests missing answer pieces, and acknowledges the whole answer.
    PULL = 8
    ACK = 9
    # A caller keeps an idle flow open, and the confirmation with a new token.
    KEEPALIVE = 10
    ALIVE = 11
    # A caller ends a flow.
    CLOSE = 12
    # A target's confirmation that a request is cancelled, and its refusal of one.
    CANCELLED = 13
    SHED = 14
    # The reply to a REQUEST that has not ended yet.
    PENDING = 15


class WorkClass(enum.IntEnum):
    """Expected duration of a request, as the caller declares it."""

    UNDECLARED = 0
    SHORT = 1
    LONG = 2


KINDS_BY_VALUE = {int(kind): kind for kind in Kind}
WORK_CLASSES_BY_VALUE = {int(work_class): work_class for work_class in WorkClass}


@dataclasses.dataclass(slots=True)
class Frame:
    """A decoded frame."""

    kind: Kind
    # Ids of the service, of the flow, and of the request within the flow.
    service: int
    flow: int
    request: int = 0
    # `FLAG_*` bits.
    flags: int = 0
    work_class: WorkClass = WorkClass.UNDECLARED
    # Number of earlier transmissions of the frame by the caller, up to a limit.
    attempt: int = 0
    # Value of `reasons.Reason`.
    reason: int = 0
    # Index of this piece of an answer, number of the pieces, and length in bytes of
    # the whole answer.
    piece: int = 0
    pieces: int = 0
    total_bytes: int = 0
    # Unix time in milliseconds, 0 without a deadline.
    deadline_ms: int = 0
    # Placement token of the flow.
    token: bytes = EMPTY_TOKEN
    body: bytes = b""

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return bool(self.flags & FLAG_IDEMPOTENT)

    @property
    def key(self) -> tuple[int, int]:
        """Flow and request id, which identify a request at its target's owner."""
        return (self.flow, self.request)


def passes(flags: int) -> int:
    """Return how often a request with these flags was passed to another target."""
    return (flags & FLAGS_PASSED).bit_count()


# IP address and port.
Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Relayed:
    """A caller's encoded frame that one balancer relays to another.

    `hops` counts the relays, this one included. `flags` are bits that balancers define.
    Answers go to the address `caller`. `domain` is reserved and 0.
    """

    hops: int
    flags: int
    caller: Address
    domain: int
    frame: bytes


def encode(frame: Frame) -> bytes:
    """Return the datagram for a frame.

    Raises
    ------
    ValueError
        If the body is longer than `MAX_BODY_BYTES`.
    """
    if len(frame.body) > MAX_BODY_BYTES:
        raise ValueError(f"body has {len(frame.body)} bytes, limit {MAX_BODY_BYTES}")
    header = HEADER_LAYOUT.pack(
        FRAME_MAGIC,
        VERSION,
        frame.kind,
        frame.flags,
        frame.work_class,
        frame.attempt,
        frame.reason,
        frame.service,
        frame.flow,
        frame.request,
        frame.piece,
        frame.pieces,
        frame.total_bytes,
        frame.deadline_ms,
        frame.token,
    )
    return header + frame.body


def decode(datagram: bytes) -> result.Result[Frame, reasons.Reason]:
    """Return the frame in a datagram, or the reason to drop it."""
    if len(datagram) < HEADER_BYTES:
        return result.Failure(reasons.Reason.TRUNCATED)
    if len(datagram) > MAX_FRAME_BYTES:
        return result.Failure(reasons.Reason.OVERSIZED)
    fields = HEADER_LAYOUT.unpack_from(datagram)
    if fields[0] != FRAME_MAGIC:
        return result.Failure(reasons.Reason.MALFORMED)
    if fields[1] != VERSION:
        return result.Failure(reasons.Reason.UNSUPPORTED_VERSION)
    kind = KINDS_BY_VALUE.get(fields[2])
    if kind is None:
        return result.Failure(reasons.Reason.UNKNOWN_KIND)
    work_class = WORK_CLASSES_BY_VALUE.get(fields[4])
    if work_class is None:
        return result.Failure(reasons.Reason.MALFORMED)
    return result.Success(
        Frame(
            kind=kind,
            flags=fields[3],
            work_class=work_class,
            attempt=fields[5],
            reason=fields[6],
            service=fields[7],
            flow=fields[8],
            request=fields[9],
            piece=fields[10],
            pieces=fields[11],
            total_bytes=fields[12],
            deadline_ms=fields[13],
            token=fields[14],
            body=datagram[HEADER_BYTES:],
        )
    )


def encode_relayed(relayed: Relayed) -> bytes:
    """Return the datagram, without its MAC, that relays a caller's frame."""
    host, port = relayed.caller
    if ":" in host:
        packed = socket.inet_pton(socket.AF_INET6, host)
    else:
        packed = IPV4_MAPPED_PREFIX + socket.inet_pton(socket.AF_INET, host)
    relay_header = RELAY_LAYOUT.pack(
        RELAY_MAGIC, relayed.hops, relayed.flags, packed, port, relayed.domain, 0
    )
    return relay_header + relayed.frame


def decode_relayed(datagram: bytes) -> result.Result[Relayed, reasons.Reason]:
    """Return the relayed frame in a datagram without MAC, or the reason to drop it."""
    if len(datagram) < RELAY_HEADER_BYTES + HEADER_BYTES:
        return result.Failure(reasons.Reason.TRUNCATED)
    if len(datagram) > RELAY_HEADER_BYTES + MAX_FRAME_BYTES:
        return result.Failure(reasons.Reason.OVERSIZED)
    magic, hops, flags, packed, port, domain, _ = RELAY_LAYOUT.unpack_from(datagram)
    if magic != RELAY_MAGIC:
        return result.Failure(reasons.Reason.MALFORMED)
    if hops > MAX_HOPS:
        return result.Failure(reasons.Reason.TOO_MANY_HOPS)
    if packed.startswith(IPV4_MAPPED_PREFIX):
        host = socket.inet_ntop(socket.AF_INET, packed[len(IPV4_MAPPED_PREFIX) :])
    else:
        host = socket.inet_ntop(socket.AF_INET6, packed)
    frame = datagram[RELAY_HEADER_BYTES:]
    return result.Success(Relayed(hops, flags, (host, port), domain, frame))
