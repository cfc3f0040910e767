"""Home of a target: its queue, slots, records of requests, and answers."""

import collections.abc
import dataclasses
import enum
import math
import time
import typing

import anyio
import logbook

from basilgate import (
    clock,
    effective,
    errors,
    logs,
    membership,
    metrics,
    peering,
    queueing,
    reasons,
    wire,
)
from peerproto import ttypes

LOGGER = logbook.Logger("home")

UNPROMPTED_PIECES = 32
MAX_PULLED_PIECES = 64
ANSWER_KEPT_S = 15.0
LEASE_POLL_S = 0.1
IDLE_POLL_S = 5.0


class RecordState(enum.IntEnum):
    """What the home knows about a request."""

    # Arrived while the home may not forward yet; its outcome cannot be known.
    WAITING = 1
    QUEUED = 2
    RUNNING = 3
    ANSWERED = 4
    REFUSED = 5
    UNKNOWN = 6


ENDED_STATES = (RecordState.ANSWERED, RecordState.REFUSED, RecordState.UNKNOWN)


@dataclasses.dataclass(slots=True)
class Answer:
    """Pieces of an answer, kept until the caller has acknowledged it."""

    pieces: list[bytes] = dataclasses.field(default_factory=list)
    expected: int = 0
    total_bytes: int = 0
    size: int = 0

    @property
    def complete(self) -> bool:
        """Whether all pieces have come from the target."""
        return self.expected > 0 and len(self.pieces) == self.expected


@dataclasses.dataclass(slots=True)
class Record:
    """One request at its home.

    `arrived_at` and `started_at` are on the monotonic clock in seconds;
    `deadline_ms` and `keep_until_ms` are Unix time in milliseconds. `former` is
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
    forwards: int = 0
    cancel: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    frame: wire.Frame | None = None
    answer: Answer | None = None
    former: str = ""

    @property
    def key(self) -> queueing.Key:
        """Flow and request id."""
        return (self.flow, self.request)


@dataclasses.dataclass(slots=True)
class Context:
    """What a home needs of its balancer.

    Attributes
    ----------
    send : callable
        Sends a frame to a caller.
    lease_until : callable
        Monotonic time until which this host may start non-idempotent work.
    retry : callable
        Tries an idempotent request at another target; True if it was passed on.
    report : callable
        Tells the new home that a request left at this host has ended.
    make_queue : callable
        Makes a queue with a limit for each class.
    """

    send: collections.abc.Callable[
        [wire.Frame, wire.Address], collections.abc.Awaitable[None]
    ]
    lease_until: collections.abc.Callable[[], float]
    retry: collections.abc.Callable[["Home", Record], collections.abc.Awaitable[bool]]
    report: collections.abc.Callable[["Home", Record], collections.abc.Awaitable[None]]
    make_queue: collections.abc.Callable[[int], queueing.Queue]
    max_deadline_s: float
    max_answer_bytes: int
    flow_idle_s: float


def now_ms() -> int:
    """Return Unix time in milliseconds."""
    return clock.unix_ms()


class Home:
    """State of one target at the balancer that is its home.

    Parameters
    ----------
    target : effective.Target
        The target.
    service : effective.Service
        Its service.
    context : Context
        What the home needs of its balancer.
    """

    def __init__(
        self, target: effective.Target, service: effective.Service, context: Context
    ) -> None:
        self.target = target
        self.service = service
        self.context = context
        self.records: dict[queueing.Key, Record] = {}
        self.queue = context.make_queue(service.queue_limit)
        # Expiry of each flow in Unix milliseconds.
        self.flows: dict[int, int] = {}
        self.running: dict[queueing.Key, Record] = {}
        # Requests left at a former home that still use a slot there.
        self.former_running: set[queueing.Key] = set()
        self.work_added = anyio.Event()
        # Monotonic time from which non-idempotent work may be forwarded;
        # infinite while the former home is not known to have lost its right.
        self.authority_at = 0.0
        # Host whose handover is awaited; nothing is forwarded before it.
        self.awaiting_from = ""
        # Host and incarnation of the former home while its right may still hold.
        self.former: tuple[str, int] | None = None
        # Serials of the handovers that were taken.
        self.loaded: set[int] = set()
        # Unix milliseconds until which a request may be known to a former home only.
        self.incomplete_until_ms = 0
        self.handed_over_to = ""
        self.scope = anyio.CancelScope()
        self.healthy = True
        self.connected_slots = 0
        self.buffered_bytes = 0

    # Rights.

    def has_authority(self) -> bool:
        """Tell whether this host may start non-idempotent work at the target."""
        now = anyio.current_time()
        if self.handed_over_to or now < self.authority_at:
            return False
        return now < self.context.lease_until()

    def may_refuse(self, record: Record) -> bool:
        """Tell whether "not run" would be true for a request.

        Without the lease, or before the takeover wait has ended, another home may
        have run a copy; so may a former home whose records are missing.
        """
        if record.forwarded or not self.has_authority():
            return False
        missing = record.keep_until_ms and now_ms() < self.incomplete_until_ms
        return not (missing and record.first_attempt > 0)

    def takeover(self, authority_at: float, former: str, complete: bool) -> None:
        """Start as the new home.

        Parameters
        ----------
        authority_at : float
            Monotonic time in seconds before which non-idempotent work waits.
        former : str
            Host from which a handover is awaited, empty for none.
        complete : bool
            Whether no request can be known to a former home only.
        """
        if self.awaiting_from and not former:
            self.suspend_queue()
        self.authority_at = authority_at
        self.awaiting_from = former
        if not complete:
            limit_s = self.context.max_deadline_s + membership.DATAGRAM_LIFETIME_S
            self.incomplete_until_ms = now_ms() + int(limit_s * 1000)
        self.work_added.set()

    def suspend_queue(self) -> None:
        """Set aside what was queued for a handover that will not come.

        The former home, or one that stood in for it, may have run copies.
        """
        for waiting in list(self.queue.waiting()):
            record = self.records.get(waiting.key)
            if record is not None and not record.idempotent:
                self.queue.remove(waiting.key)
                record.state = RecordState.WAITING

    # Frames from callers.

    async def on_frame(self, frame: wire.Frame, caller: wire.Address) -> reasons.Reason:
        """Handle a frame of a flow; return the reason if it is dropped."""
        self.touch_flow(frame.flow)
        if frame.kind is wire.Kind.REQUEST:
            return await self.on_request(frame, caller)
        if frame.kind is wire.Kind.PULL:
            return await self.on_pull(frame, caller)
        if frame.kind is wire.Kind.ACK:
            return self.on_ack(frame)
        if frame.kind is wire.Kind.CANCEL:
            return await self.on_cancel(frame, caller)
        if frame.kind is wire.Kind.CLOSE:
            self.flows.pop(frame.flow, None)
            return reasons.Reason.NONE
        return reasons.Reason.UNEXPECTED_KIND

    def touch_flow(self, flow: int) -> None:
        """Extend a flow's idle expiry."""
        self.flows[flow] = now_ms() + int(self.context.flow_idle_s * 1000)

    def admit_flow(self, flow: int) -> reasons.Reason:
        """Count a new flow against the target's connections."""
        if flow not in self.flows and len(self.flows) >= self.target.connections:
            return reasons.Reason.CONNECTIONS_FULL
        self.touch_flow(flow)
        return reasons.Reason.NONE

    async def on_request(
        self, frame: wire.Frame, caller: wire.Address
    ) -> reasons.Reason:
        """Admit a request, or repeat what is known about it."""
        known = self.records.get(frame.key)
        if known is not None:
            known.caller = caller
            await self.repeat(known)
            return reasons.Reason.DUPLICATE
        now = now_ms()
        if frame.deadline_ms <= now:
            # A reply could be untrue: an earlier copy may have run.
            return reasons.Reason.DEADLINE_PASSED
        record = Record(
            flow=frame.flow,
            request=frame.request,
            idempotent=frame.idempotent,
            deadline_ms=frame.deadline_ms,
            state=RecordState.QUEUED,
            caller=caller,
            arrived_at=anyio.current_time(),
            first_attempt=frame.attempt,
            work_class=self.classify(frame),
            keep_until_ms=frame.deadline_ms
            + int(membership.DATAGRAM_LIFETIME_S * 1000),
            frame=frame,
        )
        self.records[record.key] = record
        await self.admit(record, now)
        return reasons.Reason.NONE

    def classify(self, frame: wire.Frame) -> wire.WorkClass:
        """Return the work class of a request."""
        if frame.work_class is not wire.WorkClass.UNDECLARED:
            return frame.work_class
        declared = {"short": wire.WorkClass.SHORT, "long": wire.WorkClass.LONG}
        return declared.get(self.service.work_class, wire.WorkClass.UNDECLARED)

    async def admit(self, record: Record, now: int) -> None:
        """Queue a request that has just arrived, or end it."""
        if record.deadline_ms > now + self.context.max_deadline_s * 1000:
            record.keep_until_ms = now + int(self.context.max_deadline_s * 1000)
            await self.refuse(record, reasons.Reason.DEADLINE_TOO_FAR)
        elif self.known_to_former_only(record):
            await self.finish(record, RecordState.UNKNOWN, reasons.Reason.HOME_CHANGED)
        elif self.waits_for_takeover(record):
            record.state = RecordState.WAITING
            await self.reply(record, wire.Kind.PENDING)
        else:
            await self.enqueue(record)

    def known_to_former_only(self, record: Record) -> bool:
        """Tell whether a former home may have run this request."""
        return (
            not record.idempotent
            and record.first_attempt > 0
            and now_ms() < self.incomplete_until_ms
            and not self.awaiting_from
        )

    def waits_for_takeover(self, record: Record) -> bool:
        """Tell whether a dead former home's right may not have lapsed yet."""
        return (
            not record.idempotent
            and not self.awaiting_from
            and anyio.current_time() < self.authority_at
        )

    async def enqueue(self, record: Record) -> None:
        """Put a request in the queue."""
        waiting = queueing.Waiting(record.key, record.deadline_ms, record.work_class)
        refused = self.queue.push(waiting)
        if refused is not reasons.Reason.NONE:
            await self.refuse(record, refused)
            return
        self.work_added.set()

    async def repeat(self, record: Record) -> None:
        """Tell a caller that sent a request again what is known about it."""
        if record.state is RecordState.ANSWERED:
            if record.answer is None:
                record.reason = reasons.Reason.ANSWER_EVICTED
                await self.reply(record, wire.Kind.UNKNOWN)
            else:
                await self.send_pieces(record, range(UNPROMPTED_PIECES))
        elif record.state is RecordState.REFUSED:
            await self.reply(record, wire.Kind.REFUSED)
        elif record.state is RecordState.UNKNOWN:
            await self.reply(record, wire.Kind.UNKNOWN)
        else:
            await self.reply(record, wire.Kind.PENDING)

    async def on_pull(self, frame: wire.Frame, caller: wire.Address) -> reasons.Reason:
        """Send the answer pieces that a caller asks for."""
        record = self.records.get(frame.key)
        if record is None or len(frame.body) < 2:
            return reasons.Reason.MALFORMED
        record.caller = caller
        if record.answer is None:
            await self.repeat(record)
            return reasons.Reason.NONE
        first = int.from_bytes(frame.body[:2], "big")
        bitmap = int.from_bytes(frame.body[2:10], "big")
        wanted = [first + i for i in range(MAX_PULLED_PIECES) if bitmap >> i & 1]
        await self.send_pieces(record, wanted)
        return reasons.Reason.NONE

    def on_ack(self, frame: wire.Frame) -> reasons.Reason:
        """Drop an answer that its caller has received in full."""
        record = self.records.get(frame.key)
        if record is not None and record.state is RecordState.ANSWERED:
            self.drop_answer(record)
        return reasons.Reason.NONE

    async def on_cancel(
        self, frame: wire.Frame, caller: wire.Address
    ) -> reasons.Reason:
        """Take a request out of the queue, or ask its target to stop it."""
        record = self.records.get(frame.key)
        if record is None:
            return reasons.Reason.MALFORMED
        record.caller = caller
        if record.state is RecordState.QUEUED and self.queue.remove(record.key):
            await self.refuse(record, reasons.Reason.CANCELLED)
        elif record.state is RecordState.RUNNING:
            record.cancel.set()
        else:
            await self.repeat(record)
        return reasons.Reason.NONE

    # Work.

    async def next_work(self) -> Record:
        """Wait for a request that may be forwarded now."""
        while True:
            expired: list[Record] = []
            chosen = self.take(expired)
            with anyio.CancelScope(shield=True):
                for record in expired:
                    await self.refuse(record, reasons.Reason.DEADLINE_PASSED)
            if chosen is not None:
                return chosen
            if self.work_added.is_set():
                self.work_added = anyio.Event()
            # The pause bounds the wait for a lease that comes back.
            with anyio.move_on_after(LEASE_POLL_S if len(self.queue) else IDLE_POLL_S):
                await self.work_added.wait()

    def take(self, expired: list[Record]) -> Record | None:
        """Remove a request from the queue and mark it as running.

        Requests that are past their deadline are moved to `expired`.
        """
        if self.handed_over_to or self.awaiting_from:
            return None
        if self.slots_in_use() >= self.target.slots:
            return None
        passed_over = []
        chosen = None
        while chosen is None:
            waiting = self.queue.pop(self.long_running(), self.target.slots)
            if waiting is None:
                break
            record = self.records.get(waiting.key)
            if record is None or record.state is not RecordState.QUEUED:
                continue
            if record.deadline_ms <= now_ms():
                expired.append(record)
            elif not record.idempotent and not self.has_authority():
                passed_over.append(waiting)
            else:
                chosen = record
        for waiting in passed_over:
            self.queue.push(waiting)
        if chosen is not None:
            chosen.state = RecordState.RUNNING
            chosen.started_at = anyio.current_time()
            self.running[chosen.key] = chosen
        return chosen

    def slots_in_use(self) -> int:
        """Return the slots of the target that have work, here or at a former home."""
        return len(self.running) + len(self.former_running)

    def long_running(self) -> int:
        """Return the number of slots that have long work."""
        return sum(
            record.work_class is wire.WorkClass.LONG for record in self.running.values()
        )

    def start_by_ms(self, record: Record) -> int:
        """Return the Unix time in ms after which the target must not start."""
        if record.idempotent:
            return record.deadline_ms
        left_s = self.context.lease_until() - anyio.current_time()
        return min(record.deadline_ms, now_ms() + int(left_s * 1000))

    def forwarding(self, record: Record) -> wire.Frame:
        """Return the frame to send to the target, checking the right to do so."""
        assert record.frame is not None
        errors.invariant(
            "service_matches",
            record.frame.service == self.target.service,
            service=record.frame.service,
            target=self.target.name,
        )
        if not record.idempotent:
            errors.invariant(
                "one_forward",
                not record.forwarded,
                flow=record.flow,
                request=record.request,
            )
            errors.invariant(
                "lease_held",
                self.has_authority(),
                flow=record.flow,
                request=record.request,
                target=self.target.name,
            )
        errors.invariant(
            "slots_bounded",
            self.slots_in_use() <= self.target.slots,
            target=self.target.name,
            running=len(self.running),
        )
        record.forwarded = True
        record.forwards += 1
        metrics.FORWARDED.inc({"service": self.service.name})
        return dataclasses.replace(
            record.frame, deadline_ms=self.start_by_ms(record), token=wire.EMPTY_TOKEN
        )

    async def on_piece(self, record: Record, frame: wire.Frame) -> bool:
        """Take one answer piece from the target; True after the last one."""
        if record.answer is None:
            record.answer = Answer(
                expected=max(frame.pieces, 1), total_bytes=frame.total_bytes
            )
        answer = record.answer
        answer.pieces.append(frame.body)
        answer.size += len(frame.body)
        self.buffered_bytes += len(frame.body)
        if frame.piece < UNPROMPTED_PIECES:
            await self.send_pieces(record, [frame.piece])
        return answer.complete

    async def send_pieces(
        self, record: Record, wanted: collections.abc.Iterable[int]
    ) -> None:
        """Send the wanted pieces that have come from the target."""
        answer = record.answer
        if answer is None:
            return
        for piece in wanted:
            if piece < len(answer.pieces):
                frame = self.make_frame(record, wire.Kind.ANSWER)
                frame.piece = piece
                frame.pieces = answer.expected
                frame.total_bytes = answer.total_bytes
                frame.body = answer.pieces[piece]
                await self.context.send(frame, record.caller)

    # Outcomes.

    async def refuse(self, record: Record, reason: reasons.Reason) -> None:
        """End a request as not run, or as unknown where that could be untrue."""
        truthful = self.may_refuse(record)
        state = RecordState.REFUSED if truthful else RecordState.UNKNOWN
        await self.finish(record, state, reason)

    async def finish(
        self,
        record: Record,
        state: RecordState,
        reason: reasons.Reason = reasons.Reason.NONE,
    ) -> None:
        """End a request and tell its caller."""
        record.state = state
        record.reason = reason
        record.frame = None
        self.running.pop(record.key, None)
        self.count(record)
        if state is RecordState.REFUSED:
            errors.invariant(
                "refused_not_forwarded",
                not record.forwarded,
                flow=record.flow,
                request=record.request,
            )
            await self.reply(record, wire.Kind.REFUSED)
        elif state is RecordState.UNKNOWN:
            self.drop_answer(record)
            await self.reply(record, wire.Kind.UNKNOWN)
        else:
            kept_ms = now_ms() + int(ANSWER_KEPT_S * 1000)
            record.keep_until_ms = max(record.keep_until_ms, kept_ms)
        self.work_added.set()
        if self.handed_over_to:
            await self.context.report(self, record)

    def count(self, record: Record) -> None:
        """Count an ended request in the metrics."""
        outcome = record.state.name.lower()
        if record.reason is not reasons.Reason.NONE:
            outcome += ":" + reasons.label(record.reason)
        labels = {
            "service": self.service.name,
            "work_class": record.work_class.name.lower(),
        }
        metrics.REQUESTS.inc({**labels, "outcome": outcome})
        if record.state is RecordState.ANSWERED:
            metrics.LATENCY.observe(labels, anyio.current_time() - record.arrived_at)

    def make_frame(self, record: Record, kind: wire.Kind) -> wire.Frame:
        """Return a frame to the caller of a request."""
        return wire.Frame(
            kind=kind,
            service=self.target.service,
            flow=record.flow,
            request=record.request,
            reason=int(record.reason),
            work_class=record.work_class,
        )

    async def reply(self, record: Record, kind: wire.Kind) -> None:
        """Send the state of a request to its caller."""
        await self.context.send(self.make_frame(record, kind), record.caller)

    def drop_answer(self, record: Record) -> None:
        """Free the buffered pieces of an answer."""
        if record.answer is not None:
            self.buffered_bytes -= record.answer.size
            record.answer = None

    # Upkeep.

    async def expire(self) -> None:
        """Drop what is past its deadline: queued work, records, idle flows."""
        now = now_ms()
        for waiting in list(self.queue.waiting()):
            record = self.records.get(waiting.key)
            if record is not None and record.deadline_ms <= now:
                self.queue.remove(waiting.key)
                await self.refuse(record, reasons.Reason.DEADLINE_PASSED)
        settled = self.waiting_ended()
        for record in list(self.records.values()):
            if record.state is RecordState.WAITING and settled:
                await self.finish(
                    record, RecordState.UNKNOWN, reasons.Reason.HOME_CHANGED
                )
            elif record.state in ENDED_STATES and record.keep_until_ms <= now:
                self.drop_answer(record)
                del self.records[record.key]
        for flow in [flow for flow, expires in self.flows.items() if expires <= now]:
            del self.flows[flow]

    def waiting_ended(self) -> bool:
        """Tell whether a takeover wait is over."""
        return not self.awaiting_from and anyio.current_time() >= self.authority_at

    def is_idle(self) -> bool:
        """Tell whether nothing is running and no answer waits for its caller."""
        answers = any(record.answer is not None for record in self.records.values())
        return not self.running and not answers

    # Handover.

    def export(self, me: str, incarnation: int, epoch: int) -> typing.Any:
        """Return everything that the next home needs, and stop forwarding."""
        queued = []
        for waiting in list(self.queue.waiting()):
            record = self.records.get(waiting.key)
            self.queue.remove(waiting.key)
            if record is not None and record.frame is not None:
                frame = wire.encode(record.frame)
                queued.append(ttypes.QueuedRequest(*record.caller, frame))
                del self.records[waiting.key]
        authority_ms = 0
        if anyio.current_time() < self.authority_at < math.inf:
            left_s = self.authority_at - anyio.current_time()
            authority_ms = now_ms() + int(left_s * 1000)
        former_host, former_incarnation = self.former or ("", 0)
        return ttypes.Handover(
            host=me,
            incarnation=incarnation,
            epoch=epoch,
            target=self.target.id,
            records=[export_record(record, me) for record in self.records.values()],
            queued=queued,
            flows=[
                ttypes.FlowEntry(peering.signed(flow), expires)
                for flow, expires in self.flows.items()
            ],
            authority_ms=authority_ms,
            records_complete=now_ms() >= self.incomplete_until_ms,
            serial=time.time_ns(),
            former_host=former_host,
            former_incarnation=former_incarnation,
        )

    async def load(self, handover: typing.Any) -> None:
        """Continue from a former home's handover.

        A handover from another host than the awaited one adds records only: its
        sender was home at an earlier time, and its answer was lost.
        """
        for part in handover.records:
            self.load_record(import_record(part))
        for entry in handover.flows:
            flow = peering.unsigned(entry.flow)
            self.flows[flow] = max(self.flows.get(flow, 0), entry.expires_ms)
        self.loaded.add(handover.serial)
        if handover.host == self.awaiting_from:
            self.load_rights(handover)
        for entry in handover.queued:
            decoded = wire.decode(entry.frame).value_or(None)
            if decoded is not None and decoded.key not in self.records:
                await self.on_request(decoded, (entry.caller_host, entry.caller_port))
        self.work_added.set()

    def load_record(self, record: Record) -> None:
        """Take over one record, unless this home knows more about the request."""
        mine = self.records.get(record.key)
        if mine is not None:
            if mine.state not in (RecordState.QUEUED, RecordState.WAITING):
                return
            self.queue.remove(mine.key)
            record.caller = mine.caller
        self.records[record.key] = record
        if record.state is RecordState.RUNNING:
            self.former_running.add(record.key)

    def load_rights(self, handover: typing.Any) -> None:
        """Take over the right to forward, as far as the former home had it."""
        self.former = None
        self.awaiting_from = ""
        self.authority_at = 0.0
        if handover.former_host:
            self.former = (handover.former_host, handover.former_incarnation)
            self.authority_at = math.inf
        elif handover.authority_ms:
            left_s = (handover.authority_ms - now_ms()) / 1000
            self.authority_at = anyio.current_time() + left_s
        self.incomplete_until_ms = 0
        if not handover.records_complete:
            limit_s = self.context.max_deadline_s + membership.DATAGRAM_LIFETIME_S
            self.incomplete_until_ms = now_ms() + int(limit_s * 1000)

    def on_completion(self, message: typing.Any) -> None:
        """Take in the end of a request that a former home was still running."""
        flow = peering.unsigned(message.flow)
        record = self.records.get((flow, peering.unsigned32(message.request)))
        if record is None or record.former != message.host:
            return
        if record.state is RecordState.RUNNING:
            self.former_running.discard(record.key)
            record.state = RecordState(message.state)
            record.reason = reasons.from_code(message.reason)
        self.work_added.set()

    def former_lost(self, host: str) -> None:
        """Free the slots of requests whose former home has died."""
        for record in self.records.values():
            if record.former == host:
                self.former_running.discard(record.key)
                if record.state in (RecordState.RUNNING, RecordState.ANSWERED):
                    record.state = RecordState.UNKNOWN
                    record.reason = reasons.Reason.HOME_CHANGED
                record.former = ""
        self.work_added.set()

    async def resume(self, handover: typing.Any) -> None:
        """Go on as the home after a handover that nobody took."""
        self.handed_over_to = ""
        for entry in handover.queued:
            decoded = wire.decode(entry.frame).value_or(None)
            if decoded is not None:
                await self.on_request(decoded, (entry.caller_host, entry.caller_port))
        self.work_added.set()

    def log(self, name: str, **fields: typing.Any) -> None:
        """Log an event about this target."""
        logs.event(LOGGER.info, name, target=self.target.name, **fields)


def elsewhere(state: RecordState) -> bool:
    """Tell whether a request in this state stays at its former home."""
    return state in (RecordState.RUNNING, RecordState.ANSWERED)


def export_record(record: Record, me: str) -> typing.Any:
    """Return a record as a message part."""
    return ttypes.RequestRecord(
        flow=peering.signed(record.flow),
        request=peering.signed32(record.request),
        state=int(record.state),
        reason=int(record.reason),
        idempotent=record.idempotent,
        keep_until_ms=record.keep_until_ms,
        former=record.former or (me if elsewhere(record.state) else ""),
    )


def import_record(part: typing.Any) -> Record:
    """Return the record in a message part of a former home."""
    state = RecordState(part.state)
    return Record(
        flow=peering.unsigned(part.flow),
        request=peering.unsigned32(part.request),
        idempotent=part.idempotent,
        deadline_ms=part.keep_until_ms,
        state=state,
        caller=("0.0.0.0", 0),
        arrived_at=anyio.current_time(),
        reason=reasons.from_code(part.reason),
        keep_until_ms=part.keep_until_ms,
        former=part.former,
        forwarded=elsewhere(state),
    )
