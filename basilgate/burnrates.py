"""Burn of service-level objectives, computed from samples.

Answered requests within the latency bound are good. All other outcomes count
against the objective, except refusals because the caller cancelled, which do not
count at all. A burn rate of 1 uses up the error budget exactly by the end of the
budget period.
"""

import bisect
import collections
import collections.abc
import dataclasses

from basilgate import burnsamples, burnsettings, reasons

NOT_COUNTED = f"refused:{reasons.label(reasons.Reason.CANCELLED)}"
ANSWERED = "answered"
TOO_SLOW = "answered:too_slow"
ALL_CLASSES = "all"
# Differences of cumulative counts below this are rounding errors.
SMALLEST = 1e-6

# Service and work class.
Group = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Requests of one host between two samples; times are Unix time in seconds."""

    start_s: float
    end_s: float
    host: str
    outcomes: collections.abc.Mapping[burnsamples.Outcome, float]
    within: collections.abc.Mapping[burnsamples.Bucket, float]

    def share(self, start_s: float, end_s: float) -> float:
        """Return the part of this interval that lies in a window, from 0 to 1."""
        length = self.end_s - self.start_s
        if length <= 0:
            return float(start_s < self.end_s <= end_s)
        overlap = min(end_s, self.end_s) - max(start_s, self.start_s)
        return max(0.0, overlap / length)


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of one service and class; `bad` is by outcome and reason."""

    good: float = 0.0
    bad: dict[str, float] = dataclasses.field(default_factory=dict)
    cancelled: float = 0.0

    @property
    def total(self) -> float:
        """Number of requests that count."""
        return self.good + self.errors

    @property
    def errors(self) -> float:
        """Number of requests that count against the objective."""
        return sum(self.bad.values())

    def add(self, other: "Tally", share: float = 1.0) -> None:
        """Add a share of the counts of another tally."""
        self.good += other.good * share
        self.cancelled += other.cancelled * share
        for outcome, count in other.bad.items():
            self.add_bad(outcome, count * share)

    def add_bad(self, outcome: str, count: float) -> None:
        """Add requests that count against the objective."""
        self.bad[outcome] = self.bad.get(outcome, 0.0) + count

    def burn(self, availability: float) -> float | None:
        """Return the burn rate, None without requests."""
        if self.total <= 0:
            return None
        return self.errors / self.total / (1 - availability)


@dataclasses.dataclass(slots=True)
class History:
    """What a sample file tells: intervals, silent hosts, and objectives."""

    intervals: list[Interval] = dataclasses.field(default_factory=list)
    # Newest problem and number of failed rounds of each host.
    silent: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    restarts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    objectives: dict[str, burnsamples.Objective] = dataclasses.field(
        default_factory=dict
    )
    # Unix time of the newest sample of each host, 0 if there is none.
    hosts: dict[str, float] = dataclasses.field(default_factory=dict)
    first_s: float = 0.0
    last_s: float = 0.0


def restarted(before: burnsamples.Scrape, after: burnsamples.Scrape) -> bool:
    """Tell whether a balancer started again between two samples.

    A fall of any counter proves it as well, should the start time be missing.
    """
    if before.started_s != after.started_s:
        return True
    now = dict(after.outcomes)
    return any(now.get(key, 0.0) < count for key, count in before.outcomes)


def increase(
    before: burnsamples.Scrape | None, after: burnsamples.Scrape
) -> Interval | None:
    """Return what was counted between two samples of one host.

    After a restart everything that the new process counted is new. A host seen
    for the first time gives nothing: its counters may be older than the file.
    """
    if before is None:
        return None
    fresh = restarted(before, after)
    old_outcomes = {} if fresh else dict(before.outcomes)
    old_buckets = {} if fresh else dict(before.buckets)
    return Interval(
        before.time_s,
        after.time_s,
        after.host,
        {k: v - old_outcomes.get(k, 0.0) for k, v in after.outcomes},
        {k: v - old_buckets.get(k, 0.0) for k, v in after.buckets},
    )


def history(entries: collections.abc.Iterable[burnsamples.Entry]) -> History:
    """Return the history in samples that are in the order of time."""
    told = History()
    newest: dict[str, burnsamples.Scrape] = {}
    for entry in entries:
        told.first_s = told.first_s or entry.time_s
        told.last_s = max(told.last_s, entry.time_s)
        if isinstance(entry, burnsamples.Objectives):
            told.objectives = dict(entry.services)
        elif isinstance(entry, burnsamples.Silence):
            told.hosts.setdefault(entry.host, 0.0)
            _, failures = told.silent.get(entry.host, ("", 0))
            told.silent[entry.host] = (entry.problem, failures + 1)
        else:
            told.hosts[entry.host] = entry.time_s
            before = newest.get(entry.host)
            if before is None and entry.started_s > told.first_s:
                # The whole life of this process lies within the file.
                before = burnsamples.Scrape(
                    time_s=entry.started_s,
                    host=entry.host,
                    started_s=entry.started_s,
                    outcomes=(),
                    buckets=(),
                )
            elif before is not None and restarted(before, entry):
                told.restarts[entry.host] += 1
            interval = increase(before, entry)
            newest[entry.host] = entry
            if interval is not None:
                told.intervals.append(interval)
    return told


def within_bound(
    interval: Interval, group: Group, bound_s: float, answered: float
) -> float:
    """Return how many answers came within a latency bound.

    The largest bucket that does not exceed the bound decides, so that a slow
    answer never counts as good.
    """
    bounds = [
        bound
        for service, work_class, bound in interval.within
        if (service, work_class) == group and bound <= bound_s
    ]
    if not bounds:
        return 0.0
    return min(answered, interval.within[(*group, max(bounds))])


def grade(
    interval: Interval, objectives: collections.abc.Mapping[str, burnsamples.Objective]
) -> dict[Group, Tally]:
    """Return the counts of an interval by service and class.

    Services without an objective are left out.
    """
    tallies: dict[Group, Tally] = collections.defaultdict(Tally)
    for (service, work_class, outcome), count in interval.outcomes.items():
        objective = objectives.get(service)
        if objective is None or count <= 0:
            continue
        found = tallies[(service, work_class)]
        if outcome == NOT_COUNTED:
            found.cancelled += count
        elif outcome != ANSWERED:
            found.add_bad(outcome, count)
        elif work_class == burnsamples.OPEN_CLASS:
            found.good += count
        else:
            bound_s = objective.latency_ms / 1000
            good = within_bound(interval, (service, work_class), bound_s, count)
            found.good += good
            if count > good:
                found.add_bad(TOO_SLOW, count - good)
    return add_totals(tallies)


# An interval and its counts.
Graded = tuple[Interval, dict[Group, Tally]]


def tally(
    graded: collections.abc.Iterable[Graded], start_s: float, end_s: float
) -> dict[Group, Tally]:
    """Return the counts of a window by service and class.

    An interval that crosses the edge of the window counts in proportion.
    """
    tallies: dict[Group, Tally] = collections.defaultdict(Tally)
    for interval, counts in graded:
        share = interval.share(start_s, end_s)
        if share > 0:
            for group, found in counts.items():
                tallies[group].add(found, share)
    return dict(tallies)


class Curve:
    """Cumulative count over time, linear within each interval.

    Parameters
    ----------
    parts : sequence of (float, float, float)
        Start and end in Unix seconds, and the count, of each interval.
    """

    def __init__(
        self, parts: collections.abc.Iterable[tuple[float, float, float]]
    ) -> None:
        slopes: dict[float, float] = collections.defaultdict(float)
        for start_s, end_s, count in parts:
            # Two samples at one time would have no slope.
            end_s = max(end_s, start_s + 0.001)
            slopes[start_s] += count / (end_s - start_s)
            slopes[end_s] -= count / (end_s - start_s)
        self.times_s = sorted(slopes)
        self.values: list[float] = []
        self.slopes: list[float] = []
        value = slope = 0.0
        before_s = self.times_s[0] if self.times_s else 0.0
        for time_s in self.times_s:
            value += slope * (time_s - before_s)
            slope += slopes[time_s]
            before_s = time_s
            self.values.append(value)
            self.slopes.append(slope)

    def at(self, time_s: float) -> float:
        """Return the count up to a time."""
        index = bisect.bisect_right(self.times_s, time_s) - 1
        if index < 0:
            return 0.0
        past_s = time_s - self.times_s[index]
        return self.values[index] + self.slopes[index] * past_s

    def within(self, start_s: float, end_s: float) -> float:
        """Return the count in a window."""
        return self.at(end_s) - self.at(start_s)


def add_totals(tallies: dict[Group, Tally]) -> dict[Group, Tally]:
    """Return the tallies with one of all classes for each service."""
    totals: dict[Group, Tally] = dict(tallies)
    for (service, _), found in tallies.items():
        totals.setdefault((service, ALL_CLASSES), Tally()).add(found)
    return totals


@dataclasses.dataclass(frozen=True, slots=True)
class Alert:
    """An alert rule that holds: both of its windows burn faster than allowed."""

    name: str
    long_burn: float
    short_burn: float
    threshold: float


@dataclasses.dataclass(slots=True)
class Line:
    """Burn of one service and class.

    `burns` is by window in seconds, None where there were no requests;
    `budget_left` is the share of the error budget left, negative if overdrawn.
    `tally` covers the budget period.
    """

    service: str
    work_class: str
    objective: burnsamples.Objective
    burns: dict[float, float | None]
    budget_left: float | None
    tally: Tally
    alerts: list[Alert]


@dataclasses.dataclass(slots=True)
class Report:
    """Burn of all services; times are Unix time in seconds."""

    first_s: float
    end_s: float
    period_s: float
    lines: list[Line]
    silent: dict[str, tuple[str, int]]
    restarts: dict[str, int]
    hosts: dict[str, float]
    without_requests: list[str]
    windows_s: list[float]
    # Times, and for each service its burn in the shortest window before them.
    times_s: list[float]
    curves: dict[str, list[float | None]]
    budgets: dict[str, list[float | None]]


def budget_left(found: Tally, availability: float) -> float | None:
    """Return the share of the error budget that is left, None without requests."""
    burn = found.burn(availability)
    return None if burn is None else 1 - burn


def alerts_for(
    group: Group,
    objective: burnsamples.Objective,
    windows: collections.abc.Mapping[float, dict[Group, Tally]],
    rules: collections.abc.Mapping[str, burnsettings.AlertSection],
) -> list[Alert]:
    """Return the alerts that hold for a service and class."""
    held = []
    for name, rule in rules.items():
        burns = [
            windows[length].get(group, Tally()).burn(objective.availability) or 0.0
            for length in (rule.long_s, rule.short_s)
        ]
        if min(burns) >= rule.burn:
            held.append(Alert(name, burns[0], burns[1], rule.burn))
    return held


def report(told: History, config: burnsettings.BurnSettings) -> Report:
    """Return the report at the time of the last sample."""
    objectives = {**told.objectives, **config.objective}
    end_s = told.last_s
    lengths = {*config.report.windows_s, config.report.budget_period_s}
    for rule in config.alert.values():
        lengths |= {rule.long_s, rule.short_s}
    graded = [(interval, grade(interval, objectives)) for interval in told.intervals]
    windows = {length: tally(graded, end_s - length, end_s) for length in lengths}
    period = windows[config.report.budget_period_s]
    lines = [
        Line(
            service=group[0],
            work_class=group[1],
            objective=objectives[group[0]],
            burns={
                length: windows[length]
                .get(group, Tally())
                .burn(objectives[group[0]].availability)
                for length in config.report.windows_s
            },
            budget_left=budget_left(found, objectives[group[0]].availability),
            tally=found,
            alerts=alerts_for(group, objectives[group[0]], windows, config.alert),
        )
        for group, found in sorted(period.items(), key=lambda item: order(item[0]))
    ]
    seen = {service for service, _ in period}
    times_s, curves, budgets = trends(told, graded, objectives, config)
    return Report(
        first_s=told.first_s,
        end_s=end_s,
        period_s=config.report.budget_period_s,
        lines=lines,
        silent=told.silent,
        restarts=dict(told.restarts),
        hosts=dict(sorted(told.hosts.items())),
        without_requests=sorted(set(objectives) - seen),
        windows_s=list(config.report.windows_s),
        times_s=times_s,
        curves=curves,
        budgets=budgets,
    )


def order(group: Group) -> tuple[str, bool, str]:
    """Return the sort key of a group: the total of a service goes first."""
    service, work_class = group
    return service, work_class != ALL_CLASSES, work_class


def trends(
    told: History,
    graded: collections.abc.Sequence[Graded],
    objectives: collections.abc.Mapping[str, burnsamples.Objective],
    config: burnsettings.BurnSettings,
) -> tuple[list[float], dict[str, list[float | None]], dict[str, list[float | None]]]:
    """Return times, burn in the shortest window, and budget left, by service."""
    count = config.report.plot_points
    start_s = max(told.first_s, told.last_s - config.report.budget_period_s)
    step_s = (told.last_s - start_s) / count
    times_s = [start_s + step_s * n for n in range(1, count + 1)] if step_s > 0 else []
    short_s = min(config.report.windows_s)
    period_s = config.report.budget_period_s
    curves: dict[str, list[float | None]] = {}
    budgets: dict[str, list[float | None]] = {}
    for name, objective in sorted(objectives.items()):
        parts = [
            (interval.start_s, interval.end_s, counts[(name, ALL_CLASSES)])
            for interval, counts in graded
            if (name, ALL_CLASSES) in counts
        ]
        total = Curve((start, end, found.total) for start, end, found in parts)
        bad = Curve((start, end, found.errors) for start, end, found in parts)

        def burns(
            length_s: float,
            total: Curve = total,
            bad: Curve = bad,
            allowed: float = 1 - objective.availability,
        ) -> list[float | None]:
            found: list[float | None] = []
            for moment in times_s:
                count = total.within(moment - length_s, moment)
                errors = max(0.0, bad.within(moment - length_s, moment))
                found.append(errors / count / allowed if count > SMALLEST else None)
            return found

        curves[name] = burns(short_s)
        budgets[name] = [None if b is None else 1 - b for b in burns(period_s)]
    return times_s, curves, budgets
