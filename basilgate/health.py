"""Health of targets: outcomes of requests, ejection, flap damping, and ramp-up."""

import collections.abc
import dataclasses
import enum
import math
import typing

FAILED_PROBES_TO_EJECT = 2  # Failed probes in a row after which a target is ejected.
# Time constant with which counted outcomes decay.
OUTCOME_MEMORY_S = 5.0
MIN_BAD_OUTCOMES = 3.0  # Fewer recent bad outcomes do not eject a target.
MAX_BAD_SHARE = 0.5  # A larger share of bad outcomes ejects a target.
# Time for which an answer to a real request overrules failed probes: two probe
# intervals.
PROBE_OVERRULE_S = 2.0
FIRST_EJECTION_S = 2.0  # Doubles with each further ejection, up to MAX_EJECTION_S.
MAX_EJECTION_S = 60.0
# Ejections no longer lengthen the next one after this time without another.
FLAP_MEMORY_S = 120.0
RAMP_S = 10.0  # Time in which the share of new flows grows to the full weight.
RAMP_START_SHARE = 0.1  # Share of the weight with which the ramp starts.
# Doubles with each further shed in a row, up to MAX_SHED_PAUSE_S.
FIRST_SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0


class Condition(enum.Enum):
    """What decides whether, and how much, a target is used, as shown by ``explain``."""

    HEALTHY = "healthy"
    # Probes failed, and real requests do not prove otherwise.
    PROBE_FAILED = "probe_failed"
    # Probes failed, but a request ended well recently.
    PROBE_OVERRULED = "probe_overruled_by_outcomes"
    OUTCOMES_FAILED = "outcomes_failed"  # Most of the recent requests failed.
    FROZEN = "frozen"  # Nothing that the target runs is answered.
    UNREACHABLE = "unreachable"  # Probes fail, and no connection is open.
    DAMPED = "flap_damped"  # Healthy again, but the time of the ejection is not over.
    RAMPING = "ramping_up"  # The share of new flows grows after a start or an ejection.
    SHEDDING = "shedding"  # The target shed the last requests.


@dataclasses.dataclass(slots=True)
class Recent:
    """Number of recent events, in which an event counts for less with time.

    Attributes
    ----------
    value : float
        The count at `updated_at`. It decays exponentially with `OUTCOME_MEMORY_S`.
    updated_at : float
        Monotonic time in seconds.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the count at monotonic time `now`."""
        return self.value * math.exp(-(now - self.updated_at) / OUTCOME_MEMORY_S)

    def add(self, now: float) -> None:
        """Count one event at monotonic time `now`."""
        self.value = self.at(now) + 1
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class Monitor:
    """Health of one target, kept by the host that owns it.

    Real requests, probes, and reports of load are recorded here. `update` ejects the
    target or reinstates it. All times are in seconds on the monotonic clock.

    Attributes
    ----------
    good_outcomes, bad_outcomes : Recent
        Outcomes of real requests.
    last_good_at : float
        Time at which a real request last ended well.
    probe_failures : int
        Number of probes in a row that failed.
    ejected : bool
        Whether the target is out of use.
    ejected_until : float
        Earliest time of the reinstatement.
    ejections : int
        Number of ejections, each within `FLAP_MEMORY_S` of the one before, up to 16.
    last_ejection_at : float
        Time of the last ejection.
    ejection_cause : Condition
        Latest failure since the last ejection began, HEALTHY before the first.
    evidence_condition : Condition
        What the evidence showed at the last update.
    ramp_started_at : float
        Time from which the share of new flows grows.
    paused_until : float
        Time before which no request is sent, since the target shed one.
    consecutive_sheds : int
        Number of requests shed since a request last ended well.
    reported_busy : int
        Number of busy slots in the target's last report.
    foreign_busy : int
        Number of slots that are taken to be used by others than the owner.
    previous_foreign_busy : int
        Number of such slots in the last report alone.
    """

    good_outcomes: Recent = dataclasses.field(default_factory=Recent)
    bad_outcomes: Recent = dataclasses.field(default_factory=Recent)
    last_good_at: float = -math.inf
    probe_failures: int = 0
    ejected: bool = False
    ejected_until: float = 0.0
    ejections: int = 0
    last_ejection_at: float = -math.inf
    ejection_cause: Condition = Condition.HEALTHY
    evidence_condition: Condition = Condition.HEALTHY
    ramp_started_at: float = -math.inf
    paused_until: float = 0.0
    consecutive_sheds: int = 0
    reported_busy: int = 0
    foreign_busy: int = 0
    previous_foreign_busy: int = 0

    # Recording evidence.

    def on_probe(self, healthy: bool) -> None:
        """Record a probe of the health endpoint; no answer counts as unhealthy."""
        self.probe_failures = 0 if healthy else self.probe_failures + 1

    def on_load(self, busy: int, running: int) -> None:
        """Record a report of the target's busy slots.

        A report of fewer busy slots than the owner uses is not believed. Slots beyond
        those count as used by others only as far as two reports in a row show them: a
        report and the owner's count are not taken at the same time.

        Parameters
        ----------
        busy : int
            Number of busy slots by the report.
        running : int
            Number of requests that the owner runs on the target.
        """
        self.reported_busy = busy
        foreign_busy = max(0, busy - running)
        self.foreign_busy = min(foreign_busy, self.previous_foreign_busy)
        self.previous_foreign_busy = foreign_busy

    def on_outcome(self, good: bool, now: float) -> None:
        """Record at time `now` whether a real request ended well."""
        (self.good_outcomes if good else self.bad_outcomes).add(now)
        if good:
            self.last_good_at = now
            self.consecutive_sheds = 0

    def on_shed(self, now: float) -> None:
        """Pause a target that shed a request, longer for each further one in a row."""
        pause_s = FIRST_SHED_PAUSE_S * 2 ** min(self.consecutive_sheds, 10)
        self.consecutive_sheds += 1
        self.paused_until = now + min(pause_s, MAX_SHED_PAUSE_S)

    # Evaluating evidence.

    def evaluate_evidence(
        self, now: float, frozen: bool, unreachable: bool
    ) -> Condition:
        """Return what the evidence shows; outcomes take precedence over probes.

        Parameters
        ----------
        now : float
            Current time.
        frozen : bool
            Whether the target leaves all that it runs unanswered.
        unreachable : bool
            Whether the owner has no connection to the target.
        """
        if frozen:
            return Condition.FROZEN
        if unreachable and self.probe_failures:
            return Condition.UNREACHABLE
        good, bad = self.good_outcomes.at(now), self.bad_outcomes.at(now)
        if bad >= MIN_BAD_OUTCOMES and bad > MAX_BAD_SHARE * (good + bad):
            return Condition.OUTCOMES_FAILED
        if self.probe_failures >= FAILED_PROBES_TO_EJECT:
            answers_requests = now - self.last_good_at < PROBE_OVERRULE_S and good > bad
            return (
                Condition.PROBE_OVERRULED
                if answers_requests
                else Condition.PROBE_FAILED
            )
        return Condition.HEALTHY

    def update(
        self, now: float, frozen: bool = False, unreachable: bool = False
    ) -> bool:
        """Eject or reinstate the target by the evidence; return whether it is in use.

        Parameters
        ----------
        now : float
            Current time.
        frozen : bool
            Whether the target leaves all that it runs unanswered.
        unreachable : bool
            Whether the owner has no connection to the target.
        """
        condition = self.evidence_condition = self.evaluate_evidence(
            now, frozen, unreachable
        )
        failed = condition not in (Condition.HEALTHY, Condition.PROBE_OVERRULED)
        if failed and not self.ejected:
            self.eject(now, condition)
        elif failed:
            self.ejection_cause = condition
        elif self.ejected and now >= self.ejected_until:
            self.ejected = False
            self.ramp_started_at = now
        return not self.ejected

    def eject(self, now: float, cause: Condition) -> None:
        """Take the target out of use, for longer after each recent ejection."""
        if now - self.last_ejection_at > FLAP_MEMORY_S:
            self.ejections = 0
        duration_s = min(FIRST_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 16)
        self.last_ejection_at = now
        self.ejected = True
        self.ejected_until = now + duration_s
        self.ejection_cause = cause

    def start_ramp(self, now: float) -> None:
        """Let the share of new flows grow from time `now`."""
        self.ramp_started_at = now

    def share(self, now: float) -> float:
        """Return the factor by which the target's weight is multiplied for new flows.

        It grows during the ramp-up, and falls with each shed in a row.
        """
        progress = (now - self.ramp_started_at) / RAMP_S
        ramp = min(1.0, max(RAMP_START_SHARE, progress))
        return ramp / (1 + self.consecutive_sheds)

    def condition(self, now: float) -> Condition:
        """Return what decides on the target's use at time `now`."""
        if self.ejected:
            return (
                Condition.DAMPED
                if self.evidence_condition is Condition.HEALTHY
                else self.ejection_cause
            )
        if self.consecutive_sheds:
            return Condition.SHEDDING
        if now - self.ramp_started_at < RAMP_S:
            return Condition.RAMPING
        return self.evidence_condition

    def explain(self, now: float) -> dict[str, typing.Any]:
        """Return the state and the evidence, as shown by ``explain``."""
        return {
            "in_use": not self.ejected,
            "condition": self.condition(now).value,
            "good_outcomes": round(self.good_outcomes.at(now), 1),
            "bad_outcomes": round(self.bad_outcomes.at(now), 1),
            "failed_probes": self.probe_failures,
            "ejections": self.ejections,
            "ejected_for_s": round(max(0.0, self.ejected_until - now), 1),
            "share_of_weight": round(self.share(now), 2),
            "reported_busy": self.reported_busy,
            "foreign_busy": self.foreign_busy,
        }


Item = typing.TypeVar("Item")


def usable(
    items: collections.abc.Sequence[Item],
    is_healthy: collections.abc.Callable[[Item], bool],
) -> list[Item]:
    """Return the healthy items, or all if more than half look unhealthy.

    So many failures at once are more likely a fault of the observing host, and a
    failure domain must not eject most of its targets.
    """
    healthy = [item for item in items if is_healthy(item)]
    return healthy if 2 * len(healthy) >= len(items) else list(items)
