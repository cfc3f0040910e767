"""Records of requests at a target's owner, and their conversion for a handover."""

import dataclasses
import enum
import typing

import anyio

from basilgate import controlmessages, queueing, reasons, wire
from peerproto import ttypes


class RecordState(enum.IntEnum):
    """State of a request at the owner of its target."""

    # Arrived during a takeover wait and is not forwarded: the previous owner may have
    # run a copy, so it ends as UNKNOWN when the wait is over.
    WAITING = 1
    QUEUED = 2
    RUNNING = 3
    ANSWERED = 4
    REFUSED = 5
    UNKNOWN = 6
    # Idempotent and passed on to another target, whose owner sends the outcome.
    PASSED = 7


ENDED_STATES = (
    RecordState.ANSWERED,
    RecordState.REFUSED,
    RecordState.UNKNOWN,
    RecordState.PASSED,
)


@dataclasses.dataclass(slots=True)
class Answer:
    """Pieces of an answer, kept until the caller acknowledges it or it expires.

    Attributes
    ----------
    pieces : list of bytes
        Pieces received from the target so far, in order.
    expected_pieces : int
        Number of pieces of the whole answer.
    total_bytes : int
        Size of the whole answer, as the target announced it.
    size_bytes : int
        Size of the pieces received so far.
    """

    pieces: list[bytes] = dataclasses.field(default_factory=list)
    expected_pieces: int = 0
    total_bytes: int = 0
    size_bytes: int = 0

    @property
    def complete(self) -> bool:
        """Whether all pieces were received from the target."""
        return self.expected_pieces > 0 and len(self.pieces) == self.expected_pieces


@dataclasses.dataclass(slots=True)
class Record:
    """State of one request at the owner of its target.

    Attributes
    ----------
    deadline_ms, keep_until_ms : int
        Unix time in milliseconds; an ended record is deleted after `keep_until_ms`.
    caller : wire.Address
        Address that the latest frame about the request came from; replies go there.
    arrived_at, started_at, progress_at : float
        Monotonic time in seconds of the arrival, of the start in a slot, and of the
        latest answer piece.
    first_attempt : int
        Attempt number of the copy that made the record; above 0, the caller had sent
        earlier copies.
    body_bytes : int
        Size of the request body, by which work classes are learned.
    cancel : anyio.Event
        Set when the caller cancels the running request.
    frame : wire.Frame or None
        Frame to forward; None once the request has ended or was passed on.
    answer : Answer or None
        None before the first piece, and after the answer was dropped.
    previous_owner : str
        Host that keeps the request after a planned handover, see
        `stays_at_previous_owner`; empty if this owner has it.
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
    # True if a target may have run the request: a copy was sent, and the target did
    # not report it as unstarted.
    forwarded: bool = False
    # Number of times that the request was sent to a target.
    forward_count: int = 0
    # Start of the latest run in Unix milliseconds. Answers carry it, so that the
    # caller does not mix the pieces of two runs.
    run_ms: int = 0
    # `wire.FLAG_SPILLED` and `wire.FLAG_RETRIED`: those set when the request came
    # here, and the one added when it was passed on from here.
    received_pass_flags: int = 0
    sent_pass_flag: int = 0
    # Placement tokens: the one in the caller's frame, which answers return, and the
    # one of the target that the request was passed on to.
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
        """Flow id and request id, which identify the request."""
        return (self.flow, self.request)


def stays_at_previous_owner(state: RecordState) -> bool:
    """Return whether a request in this state stays at the previous owner.

    After a planned handover the previous owner finishes running requests, and keeps
    answers and the tokens of requests that were passed on, as a handover message
    contains neither.
    """
    return state in (RecordState.RUNNING, RecordState.ANSWERED, RecordState.PASSED)


def export_record(record: Record, me: str) -> typing.Any:
    """Return a record as a part of a handover message.

    Parameters
    ----------
    record : Record
        Record to export.
    me : str
        Name of this host, the sender.
    """
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
    """Return the record that a part of a previous owner's handover describes."""
    state = RecordState(part.state)
    return Record(
        flow=controlmessages.unsigned(part.flow),
        request=controlmessages.unsigned32(part.request),
        idempotent=part.idempotent,
        # The handover contains neither the deadline nor the caller's address.
        deadline_ms=part.keep_until_ms,
        state=state,
        caller=("0.0.0.0", 0),
        arrived_at=anyio.current_time(),
        reason=reasons.from_code(part.reason),
        keep_until_ms=part.keep_until_ms,
        previous_owner=part.former,
        forwarded=stays_at_previous_owner(state),
    )
