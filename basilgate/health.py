"""Health of targets: outcomes of real requests, ejection, flap damping, and ramp."""

import collections.abc
import dataclasses
import enum
import math
import typing

FAILED_PROBES_TO_EJECT = 2
# Outcomes count for about this time; fewer than MIN_OUTCOMES prove nothing.
OUTCOME_MEMORY_S = 5.0
MIN_BAD_OUTCOMES = 3.0
MAX_BAD_SHARE = 0.5
# An answer to a real request overrules failed probes for two probe intervals.
PROBE_OVERRULE_S = 2.0
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# Earlier ejections are forgotten after this time without another one.
FLAP_MEMORY_S = 120.0
RAMP_S = 10.0
RAMP_START_SHARE = 0.1
FIRST_SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0


class Condition(enum.Enum):
    """What decides on a target's health, as `explain` shows it."""

    HEALTHY = "healthy"
    PROBE_FAILED = "probe_failed"
    PROBE_OVERRULED = "probe_overruled_by_outcomes"
    OUTCOMES_FAILED = "outcomes_failed"
    FROZEN = "frozen"
    UNREACHABLE = "unreachable"
    DAMPED = "flap_damped"
    RAMPING = "ramping_up"
    SHEDDING = "shedding"


@dataclasses.dataclass(slots=True)
class Recent:
    """Count that fades within `OUTCOME_MEMORY_S`."""

    value: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the count at monotonic time `now`."""
        return self.value * math.exp(-(now - self.updated_at) / OUTCOME_MEMORY_S)

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.at(now) + 1
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class Monitor:
    """Health of one target as its home sees it.

    Times are on the monotonic clock in seconds. `reported_busy` is the number of
    busy slots by the last report, `foreign_busy` that of slots used by others,
    `ejections` that of ejections within `FLAP_MEMORY_S`.
    """

    good_outcomes: Recent = dataclasses.field(default_factory=Recent)
    bad_outcomes: Recent = dataclasses.field(default_factory=Recent)
    # When a real request last ended well.
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

    # Evidence.

    def on_probe(self, healthy: bool) -> None:
        """Take in the answer of the health endpoint, or that none came."""
        self.probe_failures = 0 if healthy else self.probe_failures + 1

    def on_load(self, busy: int, running: int) -> None:
        """Take in a report of busy slots while `running` requests run from here.

        A report of fewer slots than this home uses is not believed. Slots beyond
        them count as used by others once two reports in a row say so, because a
        report and this home's count are not taken at the same moment.
        """
        self.reported_busy = busy
        foreign = max(0, busy - running)
        self.foreign_busy = min(foreign, self.previous_foreign_busy)
        self.previous_foreign_busy = foreign

    def on_outcome(self, good: bool, now: float) -> None:
        """Take in the outcome of a real request."""
        (self.good_outcomes if good else self.bad_outcomes).add(now)
        if good:
            self.last_good_at = now
            self.consecutive_sheds = 0

    def on_shed(self, now: float) -> None:
        """Pause a target that shed a request, longer for each one in a row."""
        pause_s = FIRST_SHED_PAUSE_S * 2 ** min(self.consecutive_sheds, 10)
        self.consecutive_sheds += 1
        self.paused_until = now + min(pause_s, MAX_SHED_PAUSE_S)

    # Verdict.

    def evaluate_evidence(
        self, now: float, frozen: bool, unreachable: bool
    ) -> Condition:
        """Return what the evidence says; outcomes go before probes."""
        if frozen:
            return Condition.FROZEN
        if unreachable and self.probe_failures:
            return Condition.UNREACHABLE
        good, bad = self.good_outcomes.at(now), self.bad_outcomes.at(now)
        if bad >= MIN_BAD_OUTCOMES and bad > MAX_BAD_SHARE * (good + bad):
            return Condition.OUTCOMES_FAILED
        if self.probe_failures >= FAILED_PROBES_TO_EJECT:
            proven = now - self.last_good_at < PROBE_OVERRULE_S and good > bad
            return Condition.PROBE_OVERRULED if proven else Condition.PROBE_FAILED
        return Condition.HEALTHY

    def update(
        self, now: float, frozen: bool = False, unreachable: bool = False
    ) -> bool:
        """Eject or reinstate the target; return whether it is in use.

        `frozen` targets leave all that they run unanswered; `unreachable` ones
        accept no connection.
        """
        seen = self.evidence_condition = self.evaluate_evidence(
            now, frozen, unreachable
        )
        failed = seen not in (Condition.HEALTHY, Condition.PROBE_OVERRULED)
        if failed and not self.ejected:
            self.eject(now, seen)
        elif failed:
            self.ejection_cause = seen
        elif self.ejected and now >= self.ejected_until:
            self.ejected = False
            self.ramp_started_at = now
        return not self.ejected

    def eject(self, now: float, cause: Condition) -> None:
        """Take the target out of use, longer for each recent ejection."""
        if now - self.last_ejection_at > FLAP_MEMORY_S:
            self.ejections = 0
        stay_s = min(FIRST_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 16)
        self.last_ejection_at = now
        self.ejected = True
        self.ejected_until = now + stay_s
        self.ejection_cause = cause

    def start_ramp(self, now: float) -> None:
        """Let the share of new flows rise from now on."""
        self.ramp_started_at = now

    def share(self, now: float) -> float:
        """Return the share of its weight that the target gets of new flows."""
        grown = (now - self.ramp_started_at) / RAMP_S
        ramp = min(1.0, max(RAMP_START_SHARE, grown))
        return ramp / (1 + self.consecutive_sheds)

    def condition(self, now: float) -> Condition:
        """Return what decides on the target's use now."""
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
        """Return the state and its evidence for `explain`."""
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

    So many failures at once are more likely a fault of the observer, and a domain
    must not empty itself.
    """
    healthy = [item for item in items if is_healthy(item)]
    return healthy if 2 * len(healthy) >= len(items) else list(items)
