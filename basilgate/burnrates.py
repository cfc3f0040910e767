"""Burn rates and error budgets of service-level objectives, computed from samples.

A request is good if it was answered within the latency bound of its service; the
opening of a flow has no latency bound. All other outcomes are errors, except
requests refused because the caller cancelled them, which are not counted at all.
The burn rate is the share of errors among the requests divided by the share that
the objective allows: a rate of 1 uses up the error budget exactly by the end of the
budget period.
"""

import bisect
import collections
import collections.abc
import dataclasses

from basilgate import burnsamples, burnsettings, reasons

CANCELLED_OUTCOME = f"refused:{reasons.label(reasons.Reason.CANCELLED)}"
ANSWERED_OUTCOME = "answered"
TOO_SLOW_OUTCOME = "answered:too_slow"
# Stands in place of a work class for the sum over all classes of a service.
ALL_CLASSES = "all"
# Requests; smaller differences between cumulative counts are rounding errors.
COUNT_ROUNDING_ERROR = 1e-6

# Service and work class (or `ALL_CLASSES`) for which requests are counted together.
Group = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Requests that one host counted between two consecutive scrapes."""

    # Unix times of the two scrapes.
    start_s: float
    end_s: float
    host: str
    outcome_counts: collections.abc.Mapping[burnsamples.OutcomeKey, float]
    # Answers by histogram bucket; each bucket includes the smaller ones.
    bucket_counts: collections.abc.Mapping[burnsamples.BucketKey, float]

    def overlap_share(self, start_s: float, end_s: float) -> float:
        """Return the share of this interval that lies in a window, from 0 to 1."""
        length_s = self.end_s - self.start_s
        if length_s <= 0:
            return float(start_s < self.end_s <= end_s)
        overlap_s = min(end_s, self.end_s) - max(start_s, self.start_s)
        return max(0.0, overlap_s / length_s)


@dataclasses.dataclass(slots=True)
class Tally:
    """Request counts of one service and work class, classified by its objective.

    The counts are fractional where an interval lies only partly in the window.
    """

    good: float = 0.0
    # Errors by outcome and reason, such as ``refused:queue_full``.
    bad: dict[str, float] = dataclasses.field(default_factory=dict)
    # Requests refused because the caller cancelled them; not part of `total`.
    cancelled: float = 0.0

    @property
    def total(self) -> float:
        """Number of good requests and errors."""
        return self.good + self.errors

    @property
    def errors(self) -> float:
        """Number of requests that were not good."""
        return sum(self.bad.values())

    def add(self, other: "Tally", share: float = 1.0) -> None:
        """Add the counts of another tally, each multiplied by `share`."""
        self.good += other.good * share
        self.cancelled += other.cancelled * share
        for outcome, count in other.bad.items():
            self.add_bad(outcome, count * share)

    def add_bad(self, outcome: str, count: float) -> None:
        """Add `count` errors with the given outcome."""
        self.bad[outcome] = self.bad.get(outcome, 0.0) + count

    def burn_rate(self, availability: float) -> float | None:
        """Return the burn rate, or None if there were no requests.

        Parameters
        ----------
        availability : float
            Share of good requests that the objective demands, from 0 to 1.
        """
        if self.total <= 0:
            return None
        return self.errors / self.total / (1 - availability)


@dataclasses.dataclass(slots=True)
class History:
    """Contents of a sample file, prepared for the report."""

    intervals: list[Interval] = dataclasses.field(default_factory=list)
    # Newest error message and number of failed scrapes of each host that had any.
    silent: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    # Number of restarts of each host's balancer.
    restarts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Newest objectives read from the platform, by service.
    objectives: dict[str, burnsamples.Objective] = dataclasses.field(
        default_factory=dict
    )
    # Unix time of the newest successful scrape of each host, 0 if there is none.
    hosts: dict[str, float] = dataclasses.field(default_factory=dict)
    # Unix times of the first and the last record; 0 for an empty file.
    first_s: float = 0.0
    last_s: float = 0.0


def has_restarted(before: burnsamples.Scrape, after: burnsamples.Scrape) -> bool:
    """Return whether a balancer restarted between two scrapes.

    A counter that decreased proves a restart too, in case the metrics lack the
    start time.
    """
    if before.started_s != after.started_s:
        return True
    new_counts = dict(after.outcomes)
    return any(new_counts.get(key, 0.0) < count for key, count in before.outcomes)


def counter_increase(
    before: burnsamples.Scrape | None, after: burnsamples.Scrape
) -> Interval | None:
    """Return the requests that one host counted between two scrapes.

    After a restart the counters start at 0, so all counts of the new process belong
    to the interval. Without an earlier scrape the result is None, because the
    counters may include requests from before the start of the sample file.
    """
    if before is None:
        return None
    is_new_process = has_restarted(before, after)
    outcomes_before = {} if is_new_process else dict(before.outcomes)
    buckets_before = {} if is_new_process else dict(before.buckets)
    return Interval(
        before.time_s,
        after.time_s,
        after.host,
        {key: count - outcomes_before.get(key, 0.0) for key, count in after.outcomes},
        {key: count - buckets_before.get(key, 0.0) for key, count in after.buckets},
    )


def build_history(records: collections.abc.Iterable[burnsamples.Record]) -> History:
    """Return the history in the records of a sample file, sorted by time."""
    history = History()
    newest_scrapes: dict[str, burnsamples.Scrape] = {}
    for record in records:
        history.first_s = history.first_s or record.time_s
        history.last_s = max(history.last_s, record.time_s)
        if isinstance(record, burnsamples.Objectives):
            history.objectives = dict(record.services)
        elif isinstance(record, burnsamples.FailedScrape):
            history.hosts.setdefault(record.host, 0.0)
            _, failures = history.silent.get(record.host, ("", 0))
            history.silent[record.host] = (record.problem, failures + 1)
        else:
            history.hosts[record.host] = record.time_s
            before = newest_scrapes.get(record.host)
            if before is None and record.started_s > history.first_s:
                # The process started after the first record, so all its counts
                # belong to the period of the file: compare with zero counters.
                before = burnsamples.Scrape(
                    time_s=record.started_s,
                    host=record.host,
                    started_s=record.started_s,
                    outcomes=(),
                    buckets=(),
                )
            elif before is not None and has_restarted(before, record):
                history.restarts[record.host] += 1
            interval = counter_increase(before, record)
            newest_scrapes[record.host] = record
            if interval is not None:
                history.intervals.append(interval)
    return history


def count_within_bound(
    interval: Interval, group: Group, bound_s: float, answered: float
) -> float:
    """Return the number of answers within a latency bound.

    If no histogram bucket ends exactly at the bound, the next smaller bucket is used,
    so that a slow answer never counts as good.

    Parameters
    ----------
    interval : Interval
        Source of the histogram's buckets.
    group : Group
        Service and work class whose answers are counted.
    bound_s : float
        Latency bound in seconds.
    answered : float
        Number of answers in the interval, which the result never exceeds.
    """
    bounds_s = [
        bucket_bound_s
        for service, work_class, bucket_bound_s in interval.bucket_counts
        if (service, work_class) == group and bucket_bound_s <= bound_s
    ]
    if not bounds_s:
        return 0.0
    return min(answered, interval.bucket_counts[(*group, max(bounds_s))])


def tally_interval(
    interval: Interval, objectives: collections.abc.Mapping[str, burnsamples.Objective]
) -> dict[Group, Tally]:
    """Return the tallies of an interval by service and work class.

    The result includes the sum over all classes of each service. Services without an
    objective are left out.
    """
    tallies: dict[Group, Tally] = collections.defaultdict(Tally)
    for (service, work_class, outcome), count in interval.outcome_counts.items():
        objective = objectives.get(service)
        if objective is None or count <= 0:
            continue
        tally = tallies[(service, work_class)]
        if outcome == CANCELLED_OUTCOME:
            tally.cancelled += count
        elif outcome != ANSWERED_OUTCOME:
            tally.add_bad(outcome, count)
        elif work_class == burnsamples.OPEN_CLASS:
            tally.good += count
        else:
            bound_s = objective.latency_ms / 1000
            good = count_within_bound(interval, (service, work_class), bound_s, count)
            tally.good += good
            if count > good:
                tally.add_bad(TOO_SLOW_OUTCOME, count - good)
    return add_totals(tallies)


# An interval and its tallies by service and work class.
TalliedInterval = tuple[Interval, dict[Group, Tally]]


def tally_window(
    tallied_intervals: collections.abc.Iterable[TalliedInterval],
    start_s: float,
    end_s: float,
) -> dict[Group, Tally]:
    """Return the tallies of a window by service and work class.

    An interval that lies only partly in the window counts with the share of its
    length that does.

    Parameters
    ----------
    tallied_intervals : iterable of TalliedInterval
        Intervals of all hosts.
    start_s, end_s : float
        Unix times at which the window starts and ends.
    """
    tallies: dict[Group, Tally] = collections.defaultdict(Tally)
    for interval, counts in tallied_intervals:
        share = interval.overlap_share(start_s, end_s)
        if share > 0:
            for group, tally in counts.items():
                tallies[group].add(tally, share)
    return dict(tallies)


class CumulativeCount:
    """Cumulative count over time, interpolated linearly within each interval.

    Computes the slope changes once, so that the count in a window takes two binary
    searches instead of a pass over all intervals.

    Parameters
    ----------
    intervals : iterable of (float, float, float)
        Start and end (Unix times in seconds) and count of each interval. Intervals
        of several hosts may overlap.
    """

    def __init__(
        self, intervals: collections.abc.Iterable[tuple[float, float, float]]
    ) -> None:
        slope_changes: dict[float, float] = collections.defaultdict(float)
        for start_s, end_s, count in intervals:
            # Avoids a division by zero if two scrapes have the same time.
            end_s = max(end_s, start_s + 0.001)
            slope_changes[start_s] += count / (end_s - start_s)
            slope_changes[end_s] -= count / (end_s - start_s)
        self.times_s = sorted(slope_changes)
        self.counts: list[float] = []
        self.slopes: list[float] = []
        count_so_far = slope = 0.0
        previous_s = self.times_s[0] if self.times_s else 0.0
        for time_s in self.times_s:
            count_so_far += slope * (time_s - previous_s)
            slope += slope_changes[time_s]
            previous_s = time_s
            self.counts.append(count_so_far)
            self.slopes.append(slope)

    def count_until(self, time_s: float) -> float:
        """Return the count up to a Unix time."""
        index = bisect.bisect_right(self.times_s, time_s) - 1
        if index < 0:
            return 0.0
        elapsed_s = time_s - self.times_s[index]
        return self.counts[index] + self.slopes[index] * elapsed_s

    def count_between(self, start_s: float, end_s: float) -> float:
        """Return the count between two Unix times."""
        return self.count_until(end_s) - self.count_until(start_s)


def add_totals(tallies: dict[Group, Tally]) -> dict[Group, Tally]:
    """Return the tallies, with the sum over all classes of each service added."""
    totals: dict[Group, Tally] = dict(tallies)
    for (service, _), tally in tallies.items():
        totals.setdefault((service, ALL_CLASSES), Tally()).add(tally)
    return totals


@dataclasses.dataclass(frozen=True, slots=True)
class Alert:
    """Alert: the burn rates in both windows of a rule have reached its threshold."""

    # Name of the rule, from ``[alert NAME]``.
    name: str
    # Burn rates in the long and the short window, and the rule's threshold for both.
    long_burn: float
    short_burn: float
    threshold: float


@dataclasses.dataclass(slots=True)
class ReportLine:
    """Burn rates, error budget, and alerts of one service and work class."""

    service: str
    work_class: str
    objective: burnsamples.Objective
    # Burn rate by length of the window in seconds; None without requests in it.
    burns: dict[float, float | None]
    # Share of the error budget left: 1 if unused, negative if exceeded, None without
    # requests in the budget period.
    budget_left: float | None
    # Requests in the budget period.
    tally: Tally
    alerts: list[Alert]


@dataclasses.dataclass(slots=True)
class Report:
    """Burn rates, budgets, and alerts of all services at the time `end_s`."""

    # Unix times of the first and the last record of the sample file.
    first_s: float
    end_s: float
    # Length of the budget period in seconds.
    period_s: float
    lines: list[ReportLine]
    # Newest error message and number of failed scrapes of each host that had any.
    silent: dict[str, tuple[str, int]]
    # Number of restarts of each host's balancer.
    restarts: dict[str, int]
    # Unix time of the newest successful scrape of each host, 0 if there is none.
    hosts: dict[str, float]
    # Services with an objective but without requests in the budget period.
    without_requests: list[str]
    # Lengths in seconds of the windows for which burn rates are shown.
    windows_s: list[float]
    # Unix times of the points in the plots.
    times_s: list[float]
    # By service, at each of `times_s`: burn rate in the shortest window before it.
    curves: dict[str, list[float | None]]
    # By service, at each of `times_s`: share of the error budget left.
    budgets: dict[str, list[float | None]]


def remaining_budget(tally: Tally, availability: float) -> float | None:
    """Return the share of the error budget that is left, or None without requests."""
    burn_rate = tally.burn_rate(availability)
    return None if burn_rate is None else 1 - burn_rate


def alerts_for(
    group: Group,
    objective: burnsamples.Objective,
    tallies_by_window: collections.abc.Mapping[float, dict[Group, Tally]],
    rules: collections.abc.Mapping[str, burnsettings.AlertSection],
) -> list[Alert]:
    """Return the alerts whose rules are met for a service and work class.

    Parameters
    ----------
    group : Group
        Service and work class.
    objective : burnsamples.Objective
        The service's objective, from which the burn rates are computed.
    tallies_by_window : mapping
        Tallies of the window of each length in seconds.
    rules : mapping
        Alert rules by name.
    """
    alerts = []
    for name, rule in rules.items():
        burn_rates = [
            tallies_by_window[length_s]
            .get(group, Tally())
            .burn_rate(objective.availability)
            or 0.0
            for length_s in (rule.long_s, rule.short_s)
        ]
        if min(burn_rates) >= rule.burn:
            alerts.append(Alert(name, burn_rates[0], burn_rates[1], rule.burn))
    return alerts


def make_report(history: History, config: burnsettings.BurnSettings) -> Report:
    """Return the report at the time of the last record.

    An objective in the settings takes precedence over the platform's.
    """
    objectives = {**history.objectives, **config.objective}
    end_s = history.last_s
    lengths_s = {*config.report.windows_s, config.report.budget_period_s}
    for rule in config.alert.values():
        lengths_s |= {rule.long_s, rule.short_s}
    tallied_intervals = [
        (interval, tally_interval(interval, objectives))
        for interval in history.intervals
    ]
    tallies_by_window = {
        length_s: tally_window(tallied_intervals, end_s - length_s, end_s)
        for length_s in lengths_s
    }
    period_tallies = tallies_by_window[config.report.budget_period_s]
    lines = [
        ReportLine(
            service=group[0],
            work_class=group[1],
            objective=objectives[group[0]],
            burns={
                length_s: tallies_by_window[length_s]
                .get(group, Tally())
                .burn_rate(objectives[group[0]].availability)
                for length_s in config.report.windows_s
            },
            budget_left=remaining_budget(tally, objectives[group[0]].availability),
            tally=tally,
            alerts=alerts_for(
                group, objectives[group[0]], tallies_by_window, config.alert
            ),
        )
        for group, tally in sorted(
            period_tallies.items(), key=lambda item: sort_key(item[0])
        )
    ]
    services_with_requests = {service for service, _ in period_tallies}
    times_s, curves, budgets = compute_trends(
        history, tallied_intervals, objectives, config
    )
    return Report(
        first_s=history.first_s,
        end_s=end_s,
        period_s=config.report.budget_period_s,
        lines=lines,
        silent=history.silent,
        restarts=dict(history.restarts),
        hosts=dict(sorted(history.hosts.items())),
        without_requests=sorted(set(objectives) - services_with_requests),
        windows_s=list(config.report.windows_s),
        times_s=times_s,
        curves=curves,
        budgets=budgets,
    )


def sort_key(group: Group) -> tuple[str, bool, str]:
    """Return a sort key by service; the sum over all classes comes first."""
    service, work_class = group
    return service, work_class != ALL_CLASSES, work_class


def compute_trends(
    history: History,
    tallied_intervals: collections.abc.Sequence[TalliedInterval],
    objectives: collections.abc.Mapping[str, burnsamples.Objective],
    config: burnsettings.BurnSettings,
) -> tuple[list[float], dict[str, list[float | None]], dict[str, list[float | None]]]:
    """Return the plots' times, and burn rates and budgets of each service at them.

    The burn rate is that of the shortest window before each time, and the budget is
    the share left in the budget period before it. Both are None without requests.
    """
    point_count = config.report.plot_points
    start_s = max(history.first_s, history.last_s - config.report.budget_period_s)
    step_s = (history.last_s - start_s) / point_count
    times_s = (
        [start_s + step_s * n for n in range(1, point_count + 1)] if step_s > 0 else []
    )
    shortest_window_s = min(config.report.windows_s)
    period_s = config.report.budget_period_s
    curves: dict[str, list[float | None]] = {}
    budgets: dict[str, list[float | None]] = {}
    for service, objective in sorted(objectives.items()):
        service_intervals = [
            (interval.start_s, interval.end_s, counts[(service, ALL_CLASSES)])
            for interval, counts in tallied_intervals
            if (service, ALL_CLASSES) in counts
        ]
        requests_over_time = CumulativeCount(
            (start, end, tally.total) for start, end, tally in service_intervals
        )
        errors_over_time = CumulativeCount(
            (start, end, tally.errors) for start, end, tally in service_intervals
        )

        def burn_rates(
            window_s: float,
            requests_over_time: CumulativeCount = requests_over_time,
            errors_over_time: CumulativeCount = errors_over_time,
            error_budget: float = 1 - objective.availability,
        ) -> list[float | None]:
            rates: list[float | None] = []
            for time_s in times_s:
                request_count = requests_over_time.count_between(
                    time_s - window_s, time_s
                )
                error_count = max(
                    0.0, errors_over_time.count_between(time_s - window_s, time_s)
                )
                rates.append(
                    error_count / request_count / error_budget
                    if request_count > COUNT_ROUNDING_ERROR
                    else None
                )
            return rates

        curves[service] = burn_rates(shortest_window_s)
        budgets[service] = [
            None if rate is None else 1 - rate for rate in burn_rates(period_s)
        ]
    return times_s, curves, budgets
