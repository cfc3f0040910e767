"""Admission control: policies that admit or refuse requests on arrival."""

import collections.abc
import dataclasses
import typing

from basilgate import queueing, reasons, registry, wire

# Weight of the newest sample in the moving averages of service time and slack.
NEWEST_SAMPLE_WEIGHT = 0.1
# Samples of the service time are limited to this many times the mean, so that one
# frozen request does not raise it until all others are refused.
SAMPLE_CAP_FACTOR = 8.0
# Share of the mean time between arrival and deadline that requests may spend in the
# adaptive queue. The rest covers service times above the mean and later arrivals
# with earlier deadlines.
QUEUE_TIME_SHARE = 0.5
# Lower bound of the adaptive queue's limit.
MIN_QUEUED_PER_SLOT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a request that has arrived.

    Attributes
    ----------
    reason : reasons.Reason
        NONE to admit the request, else why it is refused.
    displaced : queueing.QueueEntry or None
        Queued request to refuse in its place; None if it displaces none.
    """

    reason: reasons.Reason
    displaced: queueing.QueueEntry | None = None


ADMITTED = Decision(reasons.Reason.NONE)


class Admission(typing.Protocol):
    """Interface of an admission policy, with one instance for each target.

    Policies estimate the service time, which is the time that a request holds a slot.
    """

    def decide(
        self,
        entry: queueing.QueueEntry,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit or refuse a request that has arrived.

        Parameters
        ----------
        entry : queueing.QueueEntry
            The request.
        queue : queueing.Queue
            Queue that it would join.
        slots : int
            Number of slots that its work class may use.
        busy : int
            Number of these slots that are in use.
        now_ms : int
            Unix time in milliseconds.
        """

    def is_too_late(self, entry: queueing.QueueEntry, now_ms: int) -> bool:
        """Return whether a request would end after its deadline if it started now."""

    def observe(self, work_class: wire.WorkClass, seconds: float) -> None:
        """Update the mean service time with that of one request, in seconds."""

    def service_s(self, work_class: wire.WorkClass) -> float:
        """Return the mean service time of a class in seconds, 0 before any sample."""


POLICIES: registry.Registry[collections.abc.Callable[[], Admission]] = (
    registry.Registry("admission policy")
)


class ServiceTimes:
    """Moving averages of the service time, of long work and of all other work."""

    def __init__(self) -> None:
        # Seconds, indexed by whether the work is long; 0 before any sample.
        self.mean_s = [0.0, 0.0]

    def observe(self, work_class: wire.WorkClass, seconds: float) -> None:
        """Update the mean service time with that of one request, in seconds."""
        index = work_class is wire.WorkClass.LONG
        mean = self.mean_s[index]
        if mean == 0.0:
            self.mean_s[index] = seconds
        else:
            sample = min(seconds, SAMPLE_CAP_FACTOR * mean)
            self.mean_s[index] = mean + NEWEST_SAMPLE_WEIGHT * (sample - mean)

    def service_s(self, work_class: wire.WorkClass) -> float:
        """Return the mean service time of a class in seconds, 0 before any sample."""
        return self.mean_s[work_class is wire.WorkClass.LONG]


@POLICIES.register("fixed")
class FixedAdmission(ServiceTimes):
    """Admits every request; only the fixed limit of the queue refuses any."""

    def decide(
        self,
        entry: queueing.QueueEntry,  # noqa: ARG002
        queue: queueing.Queue,  # noqa: ARG002
        slots: int,  # noqa: ARG002
        busy: int,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> Decision:
        """Admit every request."""
        return ADMITTED

    def is_too_late(self, entry: queueing.QueueEntry, now_ms: int) -> bool:  # noqa: ARG002
        """Return False: a request may start at any time before its deadline."""
        return False


@POLICIES.register("deadline")
class DeadlineAdmission(ServiceTimes):
    """Refuses requests that would miss their deadline at the mean service time."""

    def decide(
        self,
        entry: queueing.QueueEntry,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit a request if its expected end is not after its deadline."""
        ahead = queue.lane(entry.work_class).count_ahead(entry.deadline_ms)
        if ahead == 0 and busy < slots:
            # Admit even if the estimate is too high: only running work corrects it.
            return ADMITTED
        service_s = self.service_s(entry.work_class)
        end_ms = now_ms + 1000 * service_s * ((ahead + 1) / slots + 1)
        if end_ms > entry.deadline_ms:
            return Decision(reasons.Reason.DEADLINE_UNREACHABLE)
        return ADMITTED

    def is_too_late(self, entry: queueing.QueueEntry, now_ms: int) -> bool:
        """Return whether a request would end after its deadline if it started now."""
        service_ms = 1000 * self.service_s(entry.work_class)
        return now_ms + service_ms > entry.deadline_ms


@POLICIES.register("adaptive")
class AdaptiveAdmission(DeadlineAdmission):
    """Limits the queue by waiting time as well, and shares a full queue fairly.

    The queue holds as much work as the slots finish in `QUEUE_TIME_SHARE` of the mean
    time between arrival and deadline. If it is full, a request is still admitted if
    another caller has more requests queued than the sender would then have; one
    request of the caller with the most is refused in its place.
    """

    def __init__(self) -> None:
        super().__init__()
        # Moving average of the time between arrival and deadline in seconds, indexed
        # by whether the work is long; 0 before any sample.
        self.mean_slack_s = [0.0, 0.0]

    def max_queued(self, work_class: wire.WorkClass, slots: int) -> int:
        """Return the number of requests of a class that may be queued.

        It is in effect unlimited while the service time of the class is not known.
        """
        service_s = self.service_s(work_class)
        if service_s <= 0:
            return 1_000_000
        slack_s = self.mean_slack_s[work_class is wire.WorkClass.LONG]
        return max(
            MIN_QUEUED_PER_SLOT * slots,
            int(QUEUE_TIME_SHARE * slack_s * slots / service_s),
        )

    def decide(
        self,
        entry: queueing.QueueEntry,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit a request if there is room, or if another caller holds more of it."""
        index = entry.work_class is wire.WorkClass.LONG
        slack_s = (entry.deadline_ms - now_ms) / 1000
        if self.mean_slack_s[index] == 0.0:
            self.mean_slack_s[index] = slack_s
        self.mean_slack_s[index] += NEWEST_SAMPLE_WEIGHT * (
            slack_s - self.mean_slack_s[index]
        )
        lane = queue.lane(entry.work_class)
        limit = min(lane.limit, self.max_queued(entry.work_class, slots))
        if len(lane) < limit:
            return super().decide(entry, queue, slots, busy, now_ms)
        own_queued = lane.queued_by_caller.get(entry.caller, 0)
        largest_caller = lane.largest_caller()
        if lane.queued_by_caller[largest_caller] > own_queued + 1:
            decision = super().decide(entry, queue, slots, busy, now_ms)
            if decision.reason is reasons.Reason.NONE:
                return Decision(
                    reasons.Reason.NONE, lane.latest_deadline_of(largest_caller)
                )
            return decision
        if len(lane.queued_by_caller) > 1 and own_queued >= limit / len(
            lane.queued_by_caller
        ):
            return Decision(reasons.Reason.CALLER_SHARE)
        at_fixed_limit = limit >= lane.limit
        return Decision(
            reasons.Reason.QUEUE_FULL if at_fixed_limit else reasons.Reason.LIMIT
        )
