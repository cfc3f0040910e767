"""Records of requests at a target's home, and their form in a handover."""

import dataclasses
import enum
import typing

import anyio

from basilgate import controlmessages, queueing, reasons, wire
from peerproto import ttypes


class RecordState(enum.IntEnum):
    """What the home knows about a request."""

    # Arrived while the home may not forward yet; its outcome cannot be known.
    WAITING = 1
    QUEUED = 2
    RUNNING = 3
    ANSWERED = 4
    REFUSED = 5
    UNKNOWN = 6
    # Idempotent and given to another target, whose home tells the outcome.
    PASSED = 7


ENDED_STATES = (
    RecordState.ANSWERED,
    RecordState.REFUSED,
    RecordState.UNKNOWN,
    RecordState.PASSED,
)


@dataclasses.dataclass(slots=True)
class Answer:
    """Pieces of an answer, kept until the caller has acknowledged it."""

    pieces: list[bytes] = dataclasses.field(default_factory=list)
    expected_pieces: int = 0
    total_bytes: int = 0
    size_bytes: int = 0

    @property
    def complete(self) -> bool:
        """Whether all pieces have come from the target."""
        return self.expected_pieces > 0 and len(self.pieces) == self.expected_pieces


@dataclasses.dataclass(slots=True)
class Record:
    """One request at its home.

    `arrived_at` and `started_at` are on the monotonic clock in seconds;
    `deadline_ms` and `keep_until_ms` are Unix time in milliseconds. `previous_owner` is
    the host that still runs the request after a planned handover.
    """

    flow: int
    request: int
    idempotent: bool
    deadline_ms: int
    state: RecordState
    caller: wire.Address
    arrived_at: float
    first_attempt: int = 0
    reason: reasons.Reason = reasons.Reason.NONE
    work_class: wire.WorkClass = wire.WorkClass.UNDECLARED
    keep_until_ms: int = 0
    started_at: float = 0.0
    # A copy was sent to a target that did not say that it left it unstarted.
    forwarded: bool = False
    forward_count: int = 0
    # Tells the caller apart the answers of two runs; Unix milliseconds.
    run_ms: int = 0
    # Flags that tell how the request was passed on before it came here, and the
    # one that it was passed on with from here.
    received_pass_flags: int = 0
    sent_pass_flag: int = 0
    # Token of the caller's frame, returned with the answer, and the one of the
    # target that the request was passed on to.
    token: bytes = wire.EMPTY_TOKEN
    passed_token: bytes = wire.EMPTY_TOKEN
    body_bytes: int = 0
    progress_at: float = 0.0
    cancel: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    frame: wire.Frame | None = None
    answer: Answer | None = None
    previous_owner: str = ""

    @property
    def key(self) -> queueing.Key:
        """Flow and request id."""
        return (self.flow, self.request)


def stays_at_previous_owner(state: RecordState) -> bool:
    """Tell whether a request in this state stays at its former home."""
    return state in (RecordState.RUNNING, RecordState.ANSWERED, RecordState.PASSED)


def export_record(record: Record, me: str) -> typing.Any:
    """Return a record as a message part."""
    return ttypes.RequestRecord(
        flow=controlmessages.signed(record.flow),
        request=controlmessages.signed32(record.request),
        state=int(record.state),
        reason=int(record.reason),
        idempotent=record.idempotent,
        keep_until_ms=record.keep_until_ms,
        former=record.previous_owner
        or (me if stays_at_previous_owner(record.state) else ""),
    )


def import_record(part: typing.Any) -> Record:
    """Return the record in a message part of a former home."""
    state = RecordState(part.state)
    return Record(
        flow=controlmessages.unsigned(part.flow),
        request=controlmessages.unsigned32(part.request),
        idempotent=part.idempotent,
        deadline_ms=part.keep_until_ms,
        state=state,
        caller=("0.0.0.0", 0),
        arrived_at=anyio.current_time(),
        reason=reasons.from_code(part.reason),
        keep_until_ms=part.keep_until_ms,
        previous_owner=part.former,
        forwarded=stays_at_previous_owner(state),
    )
