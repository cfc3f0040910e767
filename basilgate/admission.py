"""Admission of requests to the queue of a target, and refusals on arrival."""

import collections.abc
import dataclasses
import typing

from basilgate import queueing, reasons, registry, wire

# Weight of the newest sample in the mean service time.
NEWEST_SAMPLE_WEIGHT = 0.1
# A sample raises the mean at most as if it were this many times as large, so that
# one frozen request does not lead to the refusal of all others.
SAMPLE_CAP_FACTOR = 8.0
# Share of the usual time to the deadline that the adaptive queue may use up. The
# rest covers service times above the mean and requests that overtake.
QUEUE_TIME_SHARE = 0.5
# The adaptive queue holds at least this many requests for each slot.
MIN_QUEUED_PER_SLOT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of an arrival; `displaced` leaves the queue in its favour."""

    reason: reasons.Reason
    displaced: queueing.QueueEntry | None = None


ADMITTED = Decision(reasons.Reason.NONE)


class Admission(typing.Protocol):
    """What a home needs of an admission policy."""

    def decide(
        self,
        entry: queueing.QueueEntry,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit or refuse an arrival.

        `slots` is the number that its class may use, `busy` of which are in use.
        """

    def is_too_late(self, entry: queueing.QueueEntry, now_ms: int) -> bool:
        """Tell whether a request would end after its deadline if started now."""

    def observe(self, work_class: wire.WorkClass, seconds: float) -> None:
        """Take in the time in seconds that a request held its slot."""

    def service_s(self, work_class: wire.WorkClass) -> float:
        """Return the expected time in a slot in seconds, 0 if not known."""


POLICIES: registry.Registry[collections.abc.Callable[[], Admission]] = (
    registry.Registry("admission policy")
)


class ServiceTimes:
    """Mean time in a slot, for long work and for all other work."""

    def __init__(self) -> None:
        self.mean_s = [0.0, 0.0]

    def observe(self, work_class: wire.WorkClass, seconds: float) -> None:
        """Take in the time in seconds that a request held its slot."""
        index = work_class is wire.WorkClass.LONG
        mean = self.mean_s[index]
        if mean == 0.0:
            self.mean_s[index] = seconds
        else:
            sample = min(seconds, SAMPLE_CAP_FACTOR * mean)
            self.mean_s[index] = mean + NEWEST_SAMPLE_WEIGHT * (sample - mean)

    def service_s(self, work_class: wire.WorkClass) -> float:
        """Return the expected time in a slot in seconds, 0 if not known."""
        return self.mean_s[work_class is wire.WorkClass.LONG]


@POLICIES.register("fixed")
class FixedAdmission(ServiceTimes):
    """Leaves all refusals to the fixed limit of the queue."""

    def decide(
        self,
        entry: queueing.QueueEntry,  # noqa: ARG002
        queue: queueing.Queue,  # noqa: ARG002
        slots: int,  # noqa: ARG002
        busy: int,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> Decision:
        """Admit every arrival."""
        return ADMITTED

    def is_too_late(self, entry: queueing.QueueEntry, now_ms: int) -> bool:  # noqa: ARG002
        """Start every request that is within its deadline."""
        return False


@POLICIES.register("deadline")
class DeadlineAdmission(ServiceTimes):
    """Refuses requests whose deadline cannot be met at the measured speed."""

    def decide(
        self,
        entry: queueing.QueueEntry,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit an arrival if its expected end is before its deadline."""
        ahead = queue.lane(entry.work_class).count_ahead(entry.deadline_ms)
        if ahead == 0 and busy < slots:
            # An estimate that is too high is corrected only by work that runs.
            return ADMITTED
        service_s = self.service_s(entry.work_class)
        end_ms = now_ms + 1000 * service_s * ((ahead + 1) / slots + 1)
        if end_ms > entry.deadline_ms:
            return Decision(reasons.Reason.DEADLINE_UNREACHABLE)
        return ADMITTED

    def is_too_late(self, entry: queueing.QueueEntry, now_ms: int) -> bool:
        """Tell whether a request would end after its deadline if started now."""
        service_ms = 1000 * self.service_s(entry.work_class)
        return now_ms + service_ms > entry.deadline_ms


@POLICIES.register("adaptive")
class AdaptiveAdmission(DeadlineAdmission):
    """Also bounds the queue by time, and shares it between callers.

    The queue holds as much work as runs in half the usual time to the deadline.
    A full queue takes a request of a caller that has fewer queued than another
    one, and refuses one of that other caller's requests instead.
    """

    def __init__(self) -> None:
        super().__init__()
        # Mean time from arrival to deadline in seconds, by class.
        self.mean_slack_s = [0.0, 0.0]

    def max_queued(self, work_class: wire.WorkClass, slots: int) -> int:
        """Return the number of requests of a class that may wait."""
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
        """Admit an arrival if there is room for it or its caller's share."""
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
