"""Owner of a target: its queue, slots, request records, and answers."""

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

# Answer pieces that are sent without a PULL frame, from the first on.
UNPROMPTED_PIECES = 32
# Number of bits of the bitmap in a PULL frame, and so of pieces that it can ask for.
MAX_PULLED_PIECES = 64
# Unacknowledged answers are kept this long, unless all answers exceed their limit.
ANSWER_RETENTION_S = 15.0
# Longer than the lease of 5 s: by then the previous owner has adopted the view or lost
# the right to forward, so that only its records can be missing.
HANDOVER_TIMEOUT_S = 10.0
# Interval of a slot's checks for work while requests are queued, as these may wait for
# the lease to be renewed.
LEASE_POLL_INTERVAL_S = 0.1
# The same while the queue is empty; new requests wake up the slot at once.
IDLE_POLL_INTERVAL_S = 5.0
# Work should start this many mean service times before its deadline, because about
# half of all requests take longer than the mean.
START_MARGIN_FACTOR = 2.0


async def never_move(owner: "TargetOwner", record: requestrecords.Record) -> bool:
    """Keep a request at its target: the default of `Context.move`."""
    del owner, record
    return False


async def never_resend(record: requestrecords.Record, frame: wire.Frame) -> None:
    """Drop a frame about a request that was passed on: default of `Context.resend`."""
    del record, frame


@dataclasses.dataclass(slots=True)
class Context:
    """Functions and limits of a balancer that all its target owners use.

    Attributes
    ----------
    send : callable
        Sends a frame to a caller.
    lease_until : callable
        Returns the monotonic time until which this host may start non-idempotent
        work.
    retry : callable
        Retries an idempotent request at another target; returns NONE if it was
        passed on, else the reason why not.
    report : callable
        Reports to the new owner that a request left at this host has ended.
    make_queue : callable
        Creates a queue; the argument is the limit of queued requests (of each class,
        where the policy separates classes).
    max_deadline_s : float
        Requests with a deadline later than this from now are refused.
    max_answer_bytes : int
        Size limit of one answer.
    flow_idle_s : float
        Time without frames after which a flow expires.
    make_admission : callable
        Creates an admission policy.
    learners : workclasses.Learners
        Learned work classes, shared by the owners of this host.
    move : callable
        Moves a queued idempotent request to another target; returns whether it did.
    resend : callable
        Sends a caller's frame to the target that its request was passed on to.
    record_request : callable
        Adds a request of a service id to the retry budget.
    share_by_flow : bool
        Whether callers that share a queue are told apart by flow id, not by source
        address.
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
    """Queues, forwards, and records the requests of one target at this host.

    Starts non-idempotent work only with the right to forward, that is with a valid
    lease and while no other owner can still forward, so that no such request runs
    twice. All methods run in the event loop's thread.

    Parameters
    ----------
    target : effectiveconfig.Target
        Target to forward to.
    service : effectiveconfig.Service
        Service of the target.
    context : Context
        Functions and limits of the balancer.
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
        # Records of all requests, until some time after their end.
        self.records: dict[queueing.Key, requestrecords.Record] = {}
        self.queue = context.make_queue(service.queue_limit)
        self.admission = context.make_admission()
        self.learner = context.learners.get(service.id)
        self.occupancy = workclasses.Occupancy(service.work_class == "short")
        self.monitor = health.Monitor()
        # Unix milliseconds at which each flow expires, by flow id.
        self.flows: dict[int, int] = {}
        # Records of the requests that use a slot.
        self.running: dict[queueing.Key, requestrecords.Record] = {}
        # Requests left at a previous owner on another host, where they use a slot.
        self.previous_owner_running: set[queueing.Key] = set()
        # Returns the number of requests that run at earlier owners in this process.
        self.running_at_earlier_owners: collections.abc.Callable[[], int] = lambda: 0
        # Set when a slot may find new work; wakes up `next_work`.
        self.work_added = anyio.Event()
        # Monotonic time from which non-idempotent work may be forwarded;
        # infinite while the previous owner may still have its right to forward.
        self.authority_at = 0.0
        # Host whose handover is awaited before anything is forwarded, empty if none.
        self.awaiting_from = ""
        # Host whose handover sets the right to forward, even if it arrives late.
        self.rights_from = ""
        # Monotonic time at which the awaited handover is no longer waited for.
        self.handover_deadline = math.inf
        # Epoch of the view in which this ownership started.
        self.started_epoch = 0
        # Host and incarnation of the previous owner while it may still forward.
        self.previous_owner: tuple[str, int] | None = None
        # Serials of the handovers that were applied.
        self.applied_serials: set[int] = set()
        # Unix milliseconds until which there may be requests that only a previous
        # owner has records of.
        self.incomplete_until_ms = 0
        # Host of the new owner, "removed" after a removal from the view, else empty.
        self.handed_over_to = ""
        # Cancelled when this owner ends; its slots run in this scope.
        self.scope = anyio.CancelScope()
        self.healthy = True
        # Number of open slot connections.
        self.connected_slots = 0
        # Size of all answers kept.
        self.buffered_bytes = 0

    # The right to forward.

    def has_authority(self) -> bool:
        """Return whether this host may start non-idempotent work at the target."""
        now = anyio.current_time()
        if self.handed_over_to or now < self.authority_at:
            return False
        return now < self.context.lease_until()

    def can_prove_not_run(self, record: requestrecords.Record) -> bool:
        """Return whether it is certain that no target has run a request.

        Without the lease, or before the takeover wait has ended, another owner may
        have run a copy; so may a previous owner whose records are missing.
        """
        if record.forwarded or not self.has_authority():
            return False
        missing = record.keep_until_ms and now_ms() < self.incomplete_until_ms
        return not (missing and record.first_attempt > 0)

    def start_takeover(
        self, authority_at: float, previous_owner: str, complete: bool
    ) -> None:
        """Set when forwarding may start: for a new owner, and when its wait changes.

        Parameters
        ----------
        authority_at : float
            Monotonic time in seconds before which non-idempotent work waits.
        previous_owner : str
            Host from which a handover is awaited, empty for none.
        complete : bool
            Whether this owner has the records of all requests, so that none is known
            to a previous owner only.
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
        """Take non-idempotent requests out of the queue when no handover will come.

        The previous owner, or a temporary owner in between, may have run copies.
        """
        for entry in list(self.queue.waiting()):
            record = self.records.get(entry.key)
            if record is not None and not record.idempotent:
                self.queue.remove(entry.key)
                record.state = requestrecords.RecordState.WAITING

    # Frames from callers.

    async def on_frame(self, frame: wire.Frame, caller: wire.Address) -> reasons.Reason:
        """Handle a frame of a flow; return NONE, or the reason why it is dropped."""
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
        """Restart the idle time after which a flow expires."""
        self.flows[flow] = now_ms() + int(self.context.flow_idle_s * 1000)

    def admit_flow(self, flow: int) -> reasons.Reason:
        """Admit a flow, or return CONNECTIONS_FULL if the target has no room for it."""
        if flow not in self.flows and len(self.flows) >= self.target.connections:
            return reasons.Reason.CONNECTIONS_FULL
        self.touch_flow(flow)
        return reasons.Reason.NONE

    async def on_request(
        self, frame: wire.Frame, caller: wire.Address
    ) -> reasons.Reason:
        """Admit a new request, or answer a duplicate from its record."""
        existing = self.records.get(frame.key)
        if existing is not None and existing.state is requestrecords.RecordState.PASSED:
            # With more passes than the record has, the new owner passed it back here.
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
            # No reply: "not run" could be false, as an earlier copy may have run.
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
        """Return the work class of a new request, and count it.

        It counts in the occupancy and, unless it was passed on from elsewhere, in the
        retry budget.
        """
        work_class = workclasses.classify(frame, self.service.work_class, self.learner)
        self.occupancy.record_arrival(work_class)
        if not wire.passes(frame.flags):
            self.context.record_request(self.service.id)
        return work_class

    async def admit(self, record: requestrecords.Record, now: int) -> None:
        """Queue a new request, let it wait for the takeover, or end it."""
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
        """Return whether an unknown earlier copy may have run at a previous owner."""
        return (
            not record.idempotent
            and record.first_attempt > 0
            and now_ms() < self.incomplete_until_ms
            and not self.awaiting_from
        )

    def waits_for_takeover(self, record: requestrecords.Record) -> bool:
        """Return whether a dead previous owner may still have the right to forward."""
        return (
            not record.idempotent
            and not self.awaiting_from
            and anyio.current_time() < self.authority_at
        )

    async def enqueue(self, record: requestrecords.Record) -> None:
        """Queue a request, move it to another target, or refuse it."""
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
        """Return whether the target is unhealthy and no request can be sent to it."""
        if self.healthy:
            return False
        return self.connected_slots == 0 or self.slots_in_use() >= self.target.slots

    def allowance_ms(self, record: requestrecords.Record) -> int:
        """Return how many ms before its deadline a request should start.

        Work of unknown length should start at once: all the time that is left.
        """
        service_s = self.admission.service_s(record.work_class)
        if service_s <= 0:
            return max(0, record.deadline_ms - now_ms())
        return int(1000 * START_MARGIN_FACTOR * service_s)

    def slots_for(self, work_class: wire.WorkClass) -> tuple[int, int]:
        """Return how many slots a work class may use, and how many of them are busy."""
        busy = self.slots_in_use()
        long = self.long_running()
        if work_class is wire.WorkClass.LONG:
            return self.occupancy.long_limit(self.target.slots), long
        return max(1, self.target.slots - long), busy - long

    async def displace(self, entry: queueing.QueueEntry) -> None:
        """Refuse a queued request to make room for a caller that has fewer queued."""
        record = self.records.get(entry.key)
        if self.queue.remove(entry.key) and record is not None:
            await self.refuse(record, reasons.Reason.CALLER_SHARE)

    async def forward_to_new_target(
        self, record: requestrecords.Record, frame: wire.Frame
    ) -> None:
        """Send a frame to the target that its request was passed on to.

        Replies PENDING if this target is not known, as after a handover.
        """
        if record.passed_token == wire.EMPTY_TOKEN:
            await self.reply(record, wire.Kind.PENDING)
        else:
            await self.context.resend(record, frame)

    async def reply_with_state(self, record: requestrecords.Record) -> None:
        """Reply with the state of a request, or with the first pieces of its answer."""
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
        """Send the answer pieces that a PULL frame asks for.

        Its body has the number of the first piece in 2 bytes, and a bitmap of the
        pieces from there on in 8.
        """
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
        """Drop an answer that its caller has acknowledged."""
        record = self.records.get(frame.key)
        if record is not None and record.state is requestrecords.RecordState.ANSWERED:
            self.drop_answer(record)
        return reasons.Reason.NONE

    async def on_cancel(
        self, frame: wire.Frame, caller: wire.Address
    ) -> reasons.Reason:
        """Refuse a queued request as cancelled, or have its target cancel it."""
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

    # Forwarding to the target.

    async def next_work(self) -> requestrecords.Record:
        """Return the next request to forward, after waiting until there is one."""
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
            # The timeout is needed because no event reports that the lease is valid
            # again.
            with anyio.move_on_after(
                LEASE_POLL_INTERVAL_S if len(self.queue) else IDLE_POLL_INTERVAL_S
            ):
                await self.work_added.wait()

    def start_next(
        self, expired: list[requestrecords.Record]
    ) -> requestrecords.Record | None:
        """Take the next request from the queue and mark it as running.

        Returns None if none may start. Requests that cannot end before their deadline
        leave the queue too and are added to `expired`, for the caller to refuse.
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
            # With no other request running, a request starts even if it seems too
            # late: running it corrects an estimate that is too high.
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
        """Free the slot of a request; return False if it had none."""
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
        """Free the slot of a request and record its outcome.

        The outcome updates service times, work classes, and the target's health.
        """
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
            # The service time is at least this long; the target did not answer in time.
            if seconds > self.admission.service_s(record.work_class):
                self.admission.observe(record.work_class, seconds)
            self.monitor.on_outcome(good=False, now=now)

    def mark_passed(
        self, record: requestrecords.Record, token: bytes, flag: int
    ) -> None:
        """Mark a request as passed on to the target that a token names."""
        # If this owner cannot prove that the request did not run, neither can the next.
        record.forwarded = not self.can_prove_not_run(record)
        record.state = requestrecords.RecordState.PASSED
        record.passed_token = token
        record.sent_pass_flag = flag
        record.frame = None

    def utilisation(self) -> float:
        """Return the average share of busy slots over the last seconds, at most 1.

        Includes the slots used by others, as the target reports them.
        """
        busy = self.occupancy.mean_busy() + self.monitor.foreign_busy
        return min(1.0, busy / max(1, self.target.slots))

    def slots_in_use(self) -> int:
        """Return how many slots are in use, by this owner or by previous owners."""
        return (
            len(self.running)
            + len(self.previous_owner_running)
            + self.running_at_earlier_owners()
        )

    def long_running(self) -> int:
        """Return how many slots run long work, by its class or its time so far."""
        long_since = anyio.current_time() - self.learner.long_after_s()
        return sum(
            record.work_class is wire.WorkClass.LONG or record.started_at < long_since
            for record in self.running.values()
        )

    def start_by_ms(self, record: requestrecords.Record) -> int:
        """Return the Unix time in ms after which the target must not start a request.

        For non-idempotent work this is at the latest the end of the lease.
        """
        if record.idempotent:
            return record.deadline_ms
        left_s = self.context.lease_until() - anyio.current_time()
        return min(record.deadline_ms, now_ms() + int(left_s * 1000))

    def prepare_forward(self, record: requestrecords.Record) -> wire.Frame:
        """Count a forward and return the frame to send to the target.

        Checks the invariants that forwarding depends on.
        """
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
        """Return NONE for a valid answer piece, or the reason why it is not valid."""
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
        """Store an answer piece of the target; return whether it was the last one."""
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
        """Send those of the wanted pieces that were received from the target."""
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

    # Ends of requests.

    async def refuse(
        self, record: requestrecords.Record, reason: reasons.Reason
    ) -> None:
        """End a request as not run, or as unknown if that cannot be proved."""
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
        """End a request, free its slot, and send the outcome to its caller.

        ANSWERED sends nothing: answer pieces are sent as they arrive or on PULL frames.
        """
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
        """Return the metric labels of a request."""
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
        """Return a frame about a request, without body."""
        return wire.Frame(
            kind=kind,
            service=self.target.service,
            flow=record.flow,
            request=record.request,
            reason=int(record.reason),
            work_class=record.work_class,
        )

    async def reply(self, record: requestrecords.Record, kind: wire.Kind) -> None:
        """Send a frame of the given kind about a request to its caller."""
        await self.context.send(self.make_frame(record, kind), record.caller)

    def drop_answer(self, record: requestrecords.Record) -> None:
        """Delete the stored pieces of an answer."""
        if record.answer is not None:
            self.buffered_bytes -= record.answer.size_bytes
            record.answer = None

    # Periodic checks.

    async def expire(self) -> None:
        """End or delete what has expired: requests, records, answers, and flows."""
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
        """Return whether neither a handover nor the takeover wait is pending."""
        return not self.awaiting_from and anyio.current_time() >= self.authority_at

    def is_idle(self) -> bool:
        """Return whether no request runs and no answer is kept for its caller."""
        has_answers = any(record.answer is not None for record in self.records.values())
        return not self.running and not has_answers

    def log(self, name: str, **fields: typing.Any) -> None:
        """Log an event about this target."""
        logs.event(LOGGER.info, name, target=self.target.name, **fields)
