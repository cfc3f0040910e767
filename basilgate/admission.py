"""Admission of requests to the queue of a target, and refusals on arrival."""

import collections.abc
import dataclasses
import typing

from basilgate import queueing, reasons, registry, wire

# Weight of the newest sample in the mean service time.
MEAN_WEIGHT = 0.1
# A sample raises the mean at most as if it were this many times as large, so that
# one frozen request does not lead to the refusal of all others.
SAMPLE_CAP = 8.0
# Share of the usual time to the deadline that the adaptive queue may use up. The
# rest covers service times above the mean and requests that overtake.
QUEUE_SHARE = 0.5
# The adaptive queue holds at least this many requests for each slot.
MIN_DEPTH_PER_SLOT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of an arrival; `displaced` leaves the queue in its favour."""

    reason: reasons.Reason
    displaced: queueing.Waiting | None = None


ADMITTED = Decision(reasons.Reason.NONE)


class Admission(typing.Protocol):
    """What a home needs of an admission policy."""

    def decide(
        self,
        waiting: queueing.Waiting,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit or refuse an arrival.

        `slots` is the number that its class may use, `busy` of which are in use.
        """

    def too_late(self, waiting: queueing.Waiting, now_ms: int) -> bool:
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
        self.means = [0.0, 0.0]

    def observe(self, work_class: wire.WorkClass, seconds: float) -> None:
        """Take in the time in seconds that a request held its slot."""
        index = work_class is wire.WorkClass.LONG
        mean = self.means[index]
        if mean == 0.0:
            self.means[index] = seconds
        else:
            sample = min(seconds, SAMPLE_CAP * mean)
            self.means[index] = mean + MEAN_WEIGHT * (sample - mean)

    def service_s(self, work_class: wire.WorkClass) -> float:
        """Return the expected time in a slot in seconds, 0 if not known."""
        return self.means[work_class is wire.WorkClass.LONG]


@POLICIES.register("fixed")
class FixedAdmission(ServiceTimes):
    """Leaves all refusals to the fixed limit of the queue."""

    def decide(
        self,
        waiting: queueing.Waiting,  # noqa: ARG002
        queue: queueing.Queue,  # noqa: ARG002
        slots: int,  # noqa: ARG002
        busy: int,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> Decision:
        """Admit every arrival."""
        return ADMITTED

    def too_late(self, waiting: queueing.Waiting, now_ms: int) -> bool:  # noqa: ARG002
        """Start every request that is within its deadline."""
        return False


@POLICIES.register("deadline")
class DeadlineAdmission(ServiceTimes):
    """Refuses requests whose deadline cannot be met at the measured speed."""

    def decide(
        self,
        waiting: queueing.Waiting,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit an arrival if its expected end is before its deadline."""
        ahead = queue.lane(waiting.work_class).ahead(waiting.deadline_ms)
        if ahead == 0 and busy < slots:
            # An estimate that is too high is corrected only by work that runs.
            return ADMITTED
        service_s = self.service_s(waiting.work_class)
        end_ms = now_ms + 1000 * service_s * ((ahead + 1) / slots + 1)
        if end_ms > waiting.deadline_ms:
            return Decision(reasons.Reason.DEADLINE_UNREACHABLE)
        return ADMITTED

    def too_late(self, waiting: queueing.Waiting, now_ms: int) -> bool:
        """Tell whether a request would end after its deadline if started now."""
        service_ms = 1000 * self.service_s(waiting.work_class)
        return now_ms + service_ms > waiting.deadline_ms


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
        self.slack = [0.0, 0.0]

    def limit(self, work_class: wire.WorkClass, slots: int) -> int:
        """Return the number of requests of a class that may wait."""
        service_s = self.service_s(work_class)
        if service_s <= 0:
            return 1_000_000
        slack_s = self.slack[work_class is wire.WorkClass.LONG]
        return max(
            MIN_DEPTH_PER_SLOT * slots, int(QUEUE_SHARE * slack_s * slots / service_s)
        )

    def decide(
        self,
        waiting: queueing.Waiting,
        queue: queueing.Queue,
        slots: int,
        busy: int,
        now_ms: int,
    ) -> Decision:
        """Admit an arrival if there is room for it or its caller's share."""
        index = waiting.work_class is wire.WorkClass.LONG
        slack_s = (waiting.deadline_ms - now_ms) / 1000
        if self.slack[index] == 0.0:
            self.slack[index] = slack_s
        self.slack[index] += MEAN_WEIGHT * (slack_s - self.slack[index])
        lane = queue.lane(waiting.work_class)
        limit = min(lane.limit, self.limit(waiting.work_class, slots))
        if len(lane) < limit:
            return super().decide(waiting, queue, slots, busy, now_ms)
        own = lane.callers.get(waiting.caller, 0)
        heaviest = lane.heaviest()
        if lane.callers[heaviest] > own + 1:
            decided = super().decide(waiting, queue, slots, busy, now_ms)
            if decided.reason is reasons.Reason.NONE:
                return Decision(reasons.Reason.NONE, lane.latest_of(heaviest))
            return decided
        if len(lane.callers) > 1 and own >= limit / len(lane.callers):
            return Decision(reasons.Reason.CALLER_SHARE)
        full = limit >= lane.limit
        return Decision(reasons.Reason.QUEUE_FULL if full else reasons.Reason.LIMIT)
