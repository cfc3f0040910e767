"""Home of a target: its queue, slots, records of requests, and answers."""

import collections.abc
import dataclasses
import math
import typing

import anyio
import logbook

from basilgate import (
    admission,
    clock,
    effectiveconfig,
    errors,
    health,
    logs,
    membership,
    metrics,
    queueing,
    reasons,
    requestrecords,
    wire,
    workclasses,
)

LOGGER = logbook.Logger("home")

UNPROMPTED_PIECES = 32
MAX_PULLED_PIECES = 64
ANSWER_RETENTION_S = 15.0
# Longer than the lease: by then the former home has adopted the view or lost the
# right to forward, so only its records can be missing.
HANDOVER_TIMEOUT_S = 10.0
LEASE_POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 5.0
# Work should start this many times its usual length before its deadline, because
# half of it takes longer than usual.
START_MARGIN_FACTOR = 2.0


async def never_move(owner: "TargetOwner", record: requestrecords.Record) -> bool:
    """Move no request."""
    del owner, record
    return False


async def never_resend(record: requestrecords.Record, frame: wire.Frame) -> None:
    """Send nothing after a request that was passed on."""
    del record, frame


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
        Tries an idempotent request at another target; returns NONE if it was
        passed on, else why not.
    report : callable
        Tells the new home that a request left at this host has ended.
    make_queue : callable
        Makes a queue with a limit for each class.
    make_admission : callable
        Makes an admission policy.
    learners : workclasses.Learners
        Learned work classes, shared by the homes of this host.
    move : callable
        Moves a waiting idempotent request to another target; True if it did.
    resend : callable
        Sends a frame about a request that was passed on after it.
    record_request : callable
        Notes a request of a service for its retry budget.
    share_by_flow : bool
        Whether a caller, for its share, is a flow and not a source address.
    """

    send: collections.abc.Callable[
        [wire.Frame, wire.Address], collections.abc.Awaitable[None]
    ]
    lease_until: collections.abc.Callable[[], float]
    retry: collections.abc.Callable[
        ["TargetOwner", requestrecords.Record],
        collections.abc.Awaitable[reasons.Reason],
    ]
    report: collections.abc.Callable[
        ["TargetOwner", requestrecords.Record], collections.abc.Awaitable[None]
    ]
    make_queue: collections.abc.Callable[[int], queueing.Queue]
    max_deadline_s: float
    max_answer_bytes: int
    flow_idle_s: float
    make_admission: collections.abc.Callable[[], admission.Admission] = (
        admission.AdaptiveAdmission
    )
    learners: workclasses.Learners = dataclasses.field(
        default_factory=workclasses.Learners
    )
    move: collections.abc.Callable[
        ["TargetOwner", requestrecords.Record], collections.abc.Awaitable[bool]
    ] = never_move
    resend: collections.abc.Callable[
        [requestrecords.Record, wire.Frame], collections.abc.Awaitable[None]
    ] = never_resend
    record_request: collections.abc.Callable[[int], None] = lambda _: None
    share_by_flow: bool = False


def now_ms() -> int:
    """Return Unix time in milliseconds."""
    return clock.unix_ms()


class TargetOwner:
    """State of one target at the balancer that is its home.

    Parameters
    ----------
    target : effectiveconfig.Target
        The target.
    service : effectiveconfig.Service
        Its service.
    context : Context
        What the home needs of its balancer.
    host : str
        Name of this host.
    """

    def __init__(
        self,
        target: effectiveconfig.Target,
        service: effectiveconfig.Service,
        context: Context,
        host: str,
    ) -> None:
        self.target = target
        self.host = host
        self.service = service
        self.context = context
        self.records: dict[queueing.Key, requestrecords.Record] = {}
        self.queue = context.make_queue(service.queue_limit)
        self.admission = context.make_admission()
        self.learner = context.learners.get(service.id)
        self.occupancy = workclasses.Occupancy(service.work_class == "short")
        self.monitor = health.Monitor()
        # Expiry of each flow in Unix milliseconds.
        self.flows: dict[int, int] = {}
        self.running: dict[queueing.Key, requestrecords.Record] = {}
        # Requests left at a former home that still use a slot there.
        self.previous_owner_running: set[queueing.Key] = set()
        # Number of requests that run at earlier homes of the target in this process.
        self.running_at_earlier_owners: collections.abc.Callable[[], int] = lambda: 0
        self.work_added = anyio.Event()
        # Monotonic time from which non-idempotent work may be forwarded;
        # infinite while the former home is not known to have lost its right.
        self.authority_at = 0.0
        # Host whose handover is awaited; nothing is forwarded before it.
        self.awaiting_from = ""
        # Host whose handover gives the right, also when it comes after its end.
        self.rights_from = ""
        # Monotonic time at which the handover is given up.
        self.handover_deadline = math.inf
        # Epoch of the view in which this home started.
        self.started_epoch = 0
        # Host and incarnation of the former home while its right may still hold.
        self.previous_owner: tuple[str, int] | None = None
        # Serials of the handovers that were taken.
        self.applied_serials: set[int] = set()
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

    def can_prove_not_run(self, record: requestrecords.Record) -> bool:
        """Tell whether "not run" would be true for a request.

        Without the lease, or before the takeover wait has ended, another home may
        have run a copy; so may a former home whose records are missing.
        """
        if record.forwarded or not self.has_authority():
            return False
        missing = record.keep_until_ms and now_ms() < self.incomplete_until_ms
        return not (missing and record.first_attempt > 0)

    def start_takeover(
        self, authority_at: float, previous_owner: str, complete: bool
    ) -> None:
        """Start as the new home.

        Parameters
        ----------
        authority_at : float
            Monotonic time in seconds before which non-idempotent work waits.
        previous_owner : str
            Host from which a handover is awaited, empty for none.
        complete : bool
            Whether no request can be known to a former home only.
        """
        if self.awaiting_from and not previous_owner:
            self.suspend_queue()
        self.authority_at = authority_at
        self.awaiting_from = previous_owner
        if previous_owner and previous_owner != self.rights_from:
            self.handover_deadline = anyio.current_time() + HANDOVER_TIMEOUT_S
        self.rights_from = previous_owner or self.rights_from
        if not complete:
            limit_s = self.context.max_deadline_s + membership.DATAGRAM_LIFETIME_S
            self.incomplete_until_ms = now_ms() + int(limit_s * 1000)
        self.work_added.set()

    def suspend_queue(self) -> None:
        """Set aside what was queued for a handover that will not come.

        The former home, or one that stood in for it, may have run copies.
        """
        for entry in list(self.queue.waiting()):
            record = self.records.get(entry.key)
            if record is not None and not record.idempotent:
                self.queue.remove(entry.key)
                record.state = requestrecords.RecordState.WAITING

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
        existing = self.records.get(frame.key)
        if existing is not None and existing.state is requestrecords.RecordState.PASSED:
            # A higher count means that the other home passed it back.
            if wire.passes(frame.flags) <= wire.passes(existing.received_pass_flags):
                existing.caller = caller
                await self.forward_to_new_target(existing, frame)
                return reasons.Reason.DUPLICATE
        elif existing is not None:
            existing.caller = caller
            await self.reply_with_state(existing)
            return reasons.Reason.DUPLICATE
        now = now_ms()
        if frame.deadline_ms <= now:
            # A reply could be untrue: an earlier copy may have run.
            return reasons.Reason.DEADLINE_PASSED
        record = requestrecords.Record(
            flow=frame.flow,
            request=frame.request,
            idempotent=frame.idempotent,
            deadline_ms=frame.deadline_ms,
            state=requestrecords.RecordState.QUEUED,
            caller=caller,
            arrived_at=anyio.current_time(),
            first_attempt=frame.attempt,
            work_class=self.classify(frame),
            keep_until_ms=frame.deadline_ms
            + int(membership.DATAGRAM_LIFETIME_S * 1000),
            frame=frame,
            forwarded=bool(frame.flags & wire.FLAG_STARTED),
            forward_count=int(bool(frame.flags & wire.FLAG_STARTED)),
            received_pass_flags=frame.flags & wire.FLAGS_PASSED,
            token=frame.token,
            body_bytes=len(frame.body),
        )
        self.records[record.key] = record
        await self.admit(record, now)
        return reasons.Reason.NONE

    def classify(self, frame: wire.Frame) -> wire.WorkClass:
        """Return the work class of a request."""
        work_class = workclasses.classify(frame, self.service.work_class, self.learner)
        self.occupancy.record_arrival(work_class)
        if not wire.passes(frame.flags):
            self.context.record_request(self.service.id)
        return work_class

    async def admit(self, record: requestrecords.Record, now: int) -> None:
        """Queue a request that has just arrived, or end it."""
        if record.deadline_ms > now + self.context.max_deadline_s * 1000:
            record.keep_until_ms = now + int(self.context.max_deadline_s * 1000)
            await self.refuse(record, reasons.Reason.DEADLINE_TOO_FAR)
        elif self.known_to_previous_owner_only(record):
            await self.finish(
                record, requestrecords.RecordState.UNKNOWN, reasons.Reason.HOME_CHANGED
            )
        elif self.waits_for_takeover(record):
            record.state = requestrecords.RecordState.WAITING
            await self.reply(record, wire.Kind.PENDING)
        else:
            await self.enqueue(record)

    def known_to_previous_owner_only(self, record: requestrecords.Record) -> bool:
        """Tell whether a former home may have run this request."""
        return (
            not record.idempotent
            and record.first_attempt > 0
            and now_ms() < self.incomplete_until_ms
            and not self.awaiting_from
        )

    def waits_for_takeover(self, record: requestrecords.Record) -> bool:
        """Tell whether a dead former home's right may not have lapsed yet."""
        return (
            not record.idempotent
            and not self.awaiting_from
            and anyio.current_time() < self.authority_at
        )

    async def enqueue(self, record: requestrecords.Record) -> None:
        """Put a request in the queue, move it elsewhere, or refuse it."""
        if record.idempotent and await self.context.move(self, record):
            return
        if self.is_blocked():
            await self.refuse(record, reasons.Reason.TARGET_UNHEALTHY)
            return
        entry = queueing.QueueEntry(
            record.key,
            record.deadline_ms,
            record.work_class,
            record.flow if self.context.share_by_flow else record.caller[0],
            self.allowance_ms(record),
        )
        slots, busy = self.slots_for(record.work_class)
        decision = self.admission.decide(entry, self.queue, slots, busy, now_ms())
        refusal = decision.reason
        if decision.displaced is not None:
            await self.displace(decision.displaced)
        if refusal is reasons.Reason.NONE:
            refusal = self.queue.push(entry)
        if refusal is not reasons.Reason.NONE:
            await self.refuse(record, refusal)
            return
        self.work_added.set()

    def is_blocked(self) -> bool:
        """Tell whether the target is out of use and nothing can be sent to it."""
        if self.healthy:
            return False
        return self.connected_slots == 0 or self.slots_in_use() >= self.target.slots

    def allowance_ms(self, record: requestrecords.Record) -> int:
        """Return the time before its deadline at which a request should start.

        Work of unknown length should start at once.
        """
        service_s = self.admission.service_s(record.work_class)
        if service_s <= 0:
            return max(0, record.deadline_ms - now_ms())
        return int(1000 * START_MARGIN_FACTOR * service_s)

    def slots_for(self, work_class: wire.WorkClass) -> tuple[int, int]:
        """Return how many slots a class may use, and how many of them are busy."""
        busy = self.slots_in_use()
        long = self.long_running()
        if work_class is wire.WorkClass.LONG:
            return self.occupancy.long_limit(self.target.slots), long
        return max(1, self.target.slots - long), busy - long

    async def displace(self, entry: queueing.QueueEntry) -> None:
        """Refuse a waiting request in favour of a caller that has fewer."""
        record = self.records.get(entry.key)
        if self.queue.remove(entry.key) and record is not None:
            await self.refuse(record, reasons.Reason.CALLER_SHARE)

    async def forward_to_new_target(
        self, record: requestrecords.Record, frame: wire.Frame
    ) -> None:
        """Send a frame after a request that was passed on, if it is known where."""
        if record.passed_token == wire.EMPTY_TOKEN:
            await self.reply(record, wire.Kind.PENDING)
        else:
            await self.context.resend(record, frame)

    async def reply_with_state(self, record: requestrecords.Record) -> None:
        """Tell a caller that sent a request again what is known about it."""
        if record.state is requestrecords.RecordState.ANSWERED:
            if record.answer is None:
                record.reason = reasons.Reason.ANSWER_EVICTED
                await self.reply(record, wire.Kind.UNKNOWN)
            else:
                await self.send_pieces(record, range(UNPROMPTED_PIECES))
        elif record.state is requestrecords.RecordState.REFUSED:
            await self.reply(record, wire.Kind.REFUSED)
        elif record.state is requestrecords.RecordState.UNKNOWN:
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
            await self.reply_with_state(record)
            return reasons.Reason.NONE
        first = int.from_bytes(frame.body[:2], "big")
        bitmap = int.from_bytes(frame.body[2:10], "big")
        wanted = [first + i for i in range(MAX_PULLED_PIECES) if bitmap >> i & 1]
        await self.send_pieces(record, wanted)
        return reasons.Reason.NONE

    def on_ack(self, frame: wire.Frame) -> reasons.Reason:
        """Drop an answer that its caller has received in full."""
        record = self.records.get(frame.key)
        if record is not None and record.state is requestrecords.RecordState.ANSWERED:
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
        if record.state is requestrecords.RecordState.PASSED:
            await self.forward_to_new_target(record, frame)
        elif record.state is requestrecords.RecordState.QUEUED and self.queue.remove(
            record.key
        ):
            await self.refuse(record, reasons.Reason.CANCELLED)
        elif record.state is requestrecords.RecordState.RUNNING:
            record.cancel.set()
        else:
            await self.reply_with_state(record)
        return reasons.Reason.NONE

    # Work.

    async def next_work(self) -> requestrecords.Record:
        """Wait for a request that may be forwarded now."""
        while True:
            expired: list[requestrecords.Record] = []
            chosen = self.start_next(expired)
            with anyio.CancelScope(shield=True):
                for record in expired:
                    past_deadline = record.deadline_ms <= now_ms()
                    await self.refuse(
                        record,
                        reasons.Reason.DEADLINE_PASSED
                        if past_deadline
                        else reasons.Reason.DEADLINE_UNREACHABLE,
                    )
            if chosen is not None:
                return chosen
            if self.work_added.is_set():
                self.work_added = anyio.Event()
            # The pause bounds the wait for a lease that comes back.
            with anyio.move_on_after(
                LEASE_POLL_INTERVAL_S if len(self.queue) else IDLE_POLL_INTERVAL_S
            ):
                await self.work_added.wait()

    def start_next(
        self, expired: list[requestrecords.Record]
    ) -> requestrecords.Record | None:
        """Remove a request from the queue and mark it as running.

        Requests that cannot end before their deadline are moved to `expired`.
        """
        if self.handed_over_to or self.awaiting_from or not len(self.queue):
            return None
        if anyio.current_time() < self.monitor.paused_until:
            return None
        if self.slots_in_use() >= self.target.slots:
            return None
        without_authority = []
        chosen = None
        while chosen is None:
            entry = self.queue.pop(
                self.long_running(), self.occupancy.long_limit(self.target.slots)
            )
            if entry is None:
                break
            record = self.records.get(entry.key)
            if record is None or record.state is not requestrecords.RecordState.QUEUED:
                continue
            now = now_ms()
            # An idle target tries every request, which corrects its estimates.
            if record.deadline_ms <= now or (
                self.running and self.admission.is_too_late(entry, now)
            ):
                expired.append(record)
            elif not record.idempotent and not self.has_authority():
                without_authority.append(entry)
            else:
                chosen = record
        for entry in without_authority:
            self.queue.push(entry)
        if chosen is not None:
            chosen.state = requestrecords.RecordState.RUNNING
            chosen.started_at = anyio.current_time()
            self.running[chosen.key] = chosen
            self.occupancy.add_busy(chosen.work_class, 1)
            waited_s = chosen.started_at - chosen.arrived_at
            metrics.QUEUE_TIME.observe(self.metric_labels(chosen), waited_s)
        return chosen

    def release(self, record: requestrecords.Record) -> bool:
        """Free the slot of a request; False if it held none."""
        if self.running.pop(record.key, None) is None:
            return False
        self.occupancy.add_busy(record.work_class, -1)
        self.work_added.set()
        return True

    def end_run(
        self,
        record: requestrecords.Record,
        state: requestrecords.RecordState,
        reason: reasons.Reason,
    ) -> None:
        """Free the slot of a request and learn from its outcome."""
        if not self.release(record):
            return
        now = anyio.current_time()
        seconds = now - record.started_at
        if reason is reasons.Reason.SHED_BY_TARGET:
            self.monitor.on_shed(now)
        elif state is requestrecords.RecordState.ANSWERED:
            self.admission.observe(record.work_class, seconds)
            self.learner.observe(record.body_bytes, seconds)
            self.monitor.on_outcome(good=True, now=now)
        elif reason is reasons.Reason.TARGET_CONNECTION_LOST:
            self.monitor.on_outcome(good=False, now=now)
        elif record.deadline_ms <= now_ms():
            # It took at least this long, and its target did not answer in time.
            if seconds > self.admission.service_s(record.work_class):
                self.admission.observe(record.work_class, seconds)
            self.monitor.on_outcome(good=False, now=now)

    def mark_passed(
        self, record: requestrecords.Record, token: bytes, flag: int
    ) -> None:
        """Note that a request was given to the target that a token names."""
        # What this home could not truly call "not run", the next one cannot either.
        record.forwarded = not self.can_prove_not_run(record)
        record.state = requestrecords.RecordState.PASSED
        record.passed_token = token
        record.sent_pass_flag = flag
        record.frame = None

    def utilisation(self) -> float:
        """Return the share of busy slots over the last seconds.

        Slots that others use count by the target's reports.
        """
        busy = self.occupancy.mean_busy() + self.monitor.foreign_busy
        return min(1.0, busy / max(1, self.target.slots))

    def slots_in_use(self) -> int:
        """Return the slots of the target that have work, here or at a former home."""
        return (
            len(self.running)
            + len(self.previous_owner_running)
            + self.running_at_earlier_owners()
        )

    def long_running(self) -> int:
        """Return the number of slots that have long work."""
        long_since = anyio.current_time() - self.learner.long_after_s()
        return sum(
            record.work_class is wire.WorkClass.LONG or record.started_at < long_since
            for record in self.running.values()
        )

    def start_by_ms(self, record: requestrecords.Record) -> int:
        """Return the Unix time in ms after which the target must not start."""
        if record.idempotent:
            return record.deadline_ms
        left_s = self.context.lease_until() - anyio.current_time()
        return min(record.deadline_ms, now_ms() + int(left_s * 1000))

    def prepare_forward(self, record: requestrecords.Record) -> wire.Frame:
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
        record.forward_count += 1
        record.run_ms = max(record.run_ms + 1, now_ms())
        metrics.FORWARDED.inc({"service": self.service.name})
        return dataclasses.replace(
            record.frame, deadline_ms=self.start_by_ms(record), token=wire.EMPTY_TOKEN
        )

    def check_piece(
        self, record: requestrecords.Record, frame: wire.Frame
    ) -> reasons.Reason:
        """Return why an answer piece of the target cannot be taken, NONE if it can."""
        answer = record.answer or requestrecords.Answer(
            expected_pieces=max(frame.pieces, 1)
        )
        if answer.size_bytes + len(frame.body) > self.context.max_answer_bytes:
            return reasons.Reason.ANSWER_TOO_LARGE
        in_order = frame.piece == len(answer.pieces) < answer.expected_pieces
        if not in_order or max(frame.pieces, 1) != answer.expected_pieces:
            return reasons.Reason.MALFORMED
        return reasons.Reason.NONE

    async def on_piece(self, record: requestrecords.Record, frame: wire.Frame) -> bool:
        """Take one answer piece from the target; True after the last one."""
        if record.answer is None:
            record.answer = requestrecords.Answer(
                expected_pieces=max(frame.pieces, 1), total_bytes=frame.total_bytes
            )
        record.progress_at = anyio.current_time()
        answer = record.answer
        answer.pieces.append(frame.body)
        answer.size_bytes += len(frame.body)
        self.buffered_bytes += len(frame.body)
        if frame.piece < UNPROMPTED_PIECES:
            await self.send_pieces(record, [frame.piece])
        return answer.complete

    async def send_pieces(
        self, record: requestrecords.Record, wanted: collections.abc.Iterable[int]
    ) -> None:
        """Send the wanted pieces that have come from the target."""
        answer = record.answer
        if answer is None:
            return
        for piece in wanted:
            if piece < len(answer.pieces):
                frame = self.make_frame(record, wire.Kind.ANSWER)
                frame.piece = piece
                frame.deadline_ms = record.run_ms
                frame.pieces = answer.expected_pieces
                frame.total_bytes = answer.total_bytes
                frame.body = answer.pieces[piece]
                frame.token = record.token
                await self.context.send(frame, record.caller)

    # Outcomes.

    async def refuse(
        self, record: requestrecords.Record, reason: reasons.Reason
    ) -> None:
        """End a request as not run, or as unknown where that could be untrue."""
        provably_not_run = self.can_prove_not_run(record)
        state = (
            requestrecords.RecordState.REFUSED
            if provably_not_run
            else requestrecords.RecordState.UNKNOWN
        )
        await self.finish(record, state, reason)

    async def finish(
        self,
        record: requestrecords.Record,
        state: requestrecords.RecordState,
        reason: reasons.Reason = reasons.Reason.NONE,
    ) -> None:
        """End a request and tell its caller."""
        record.state = state
        record.reason = reason
        record.frame = None
        self.end_run(record, state, reason)
        self.count_outcome(record)
        if state is requestrecords.RecordState.REFUSED:
            errors.invariant(
                "refused_not_forwarded",
                not record.forwarded,
                flow=record.flow,
                request=record.request,
            )
            await self.reply(record, wire.Kind.REFUSED)
        elif state is requestrecords.RecordState.UNKNOWN:
            self.drop_answer(record)
            await self.reply(record, wire.Kind.UNKNOWN)
        else:
            retained_until_ms = now_ms() + int(ANSWER_RETENTION_S * 1000)
            record.keep_until_ms = max(record.keep_until_ms, retained_until_ms)
        self.work_added.set()
        if self.handed_over_to:
            await self.context.report(self, record)

    def metric_labels(self, record: requestrecords.Record) -> dict[str, str]:
        """Return the labels of a request in the metrics."""
        return {
            "service": self.service.name,
            "work_class": record.work_class.name.lower(),
        }

    def count_outcome(self, record: requestrecords.Record) -> None:
        """Count an ended request in the metrics."""
        outcome = record.state.name.lower()
        if record.reason is not reasons.Reason.NONE:
            outcome += ":" + reasons.label(record.reason)
        labels = self.metric_labels(record)
        metrics.REQUESTS.inc({**labels, "outcome": outcome})
        if record.state is requestrecords.RecordState.ANSWERED:
            metrics.LATENCY.observe(labels, anyio.current_time() - record.arrived_at)

    def make_frame(self, record: requestrecords.Record, kind: wire.Kind) -> wire.Frame:
        """Return a frame to the caller of a request."""
        return wire.Frame(
            kind=kind,
            service=self.target.service,
            flow=record.flow,
            request=record.request,
            reason=int(record.reason),
            work_class=record.work_class,
        )

    async def reply(self, record: requestrecords.Record, kind: wire.Kind) -> None:
        """Send the state of a request to its caller."""
        await self.context.send(self.make_frame(record, kind), record.caller)

    def drop_answer(self, record: requestrecords.Record) -> None:
        """Free the buffered pieces of an answer."""
        if record.answer is not None:
            self.buffered_bytes -= record.answer.size_bytes
            record.answer = None

    # Upkeep.

    async def expire(self) -> None:
        """Drop what is past its deadline: queued work, records, idle flows."""
        now = now_ms()
        blocked = self.is_blocked()
        for entry in list(self.queue.waiting()):
            record = self.records.get(entry.key)
            if record is None:
                continue
            if record.deadline_ms <= now:
                self.queue.remove(entry.key)
                await self.refuse(record, reasons.Reason.DEADLINE_PASSED)
            elif self.running and self.admission.is_too_late(entry, now):
                self.queue.remove(entry.key)
                await self.refuse(record, reasons.Reason.DEADLINE_UNREACHABLE)
            elif blocked:
                self.queue.remove(entry.key)
                if not (record.idempotent and await self.context.move(self, record)):
                    await self.refuse(record, reasons.Reason.TARGET_UNHEALTHY)
        takeover_over = self.is_takeover_over()
        for record in list(self.records.values()):
            if record.state is requestrecords.RecordState.WAITING and takeover_over:
                await self.finish(
                    record,
                    requestrecords.RecordState.UNKNOWN,
                    reasons.Reason.HOME_CHANGED,
                )
            elif (
                record.state in requestrecords.ENDED_STATES
                and record.keep_until_ms <= now
            ):
                self.drop_answer(record)
                del self.records[record.key]
        for flow in [flow for flow, expires in self.flows.items() if expires <= now]:
            del self.flows[flow]

    def is_takeover_over(self) -> bool:
        """Tell whether a takeover wait is over."""
        return not self.awaiting_from and anyio.current_time() >= self.authority_at

    def is_idle(self) -> bool:
        """Tell whether nothing is running and no answer waits for its caller."""
        answers = any(record.answer is not None for record in self.records.values())
        return not self.running and not answers

    def log(self, name: str, **fields: typing.Any) -> None:
        """Log an event about this target."""
        logs.event(LOGGER.info, name, target=self.target.name, **fields)
