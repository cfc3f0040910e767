"""Counters, gauges, and the latency histogram of the forwarder, for Prometheus.

The forwarder does not use `basilgate.metrics`, since importing aioprometheus takes
0.18 s of processor time, which is most of a second on the smallest entry host.
docs/metrics.md lists the metrics.
"""

import collections

# Upper bounds of the histogram's buckets in seconds; a last bucket has no bound.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)

# Help text of each metric, by its name without the prefix `basilgate_`.
DOCUMENTATION = {
    "packets_total": "Packets received, by outcome",
    "dropped_packets_total": "Packets dropped, by reason",
    "openings_total": "Opening packets forwarded, by service and copy",
    "placements_total": "New flows placed, by service and reach",
    "domain_delay_seconds": "Extra time of a request to another failure domain, "
    "measured, by domain",
    "relay_encodings_total": "Changes encoded for downstreams, by kind",
    "cold_openings_total": "Opening packets sent to cold targets, by service",
    "cold_refusals_total": "Opening packets refused since only cold targets at their "
    "limit were left, by service",
    "cold_targets": "Cold targets with a limit, by service and whether this host opens "
    "flows to them",
    "refusals_total": "New flows refused because capacity is short, by service and "
    "priority",
    "room_requests_per_slot": "Requests in progress per slot of the usable targets, "
    "over all hosts, by service",
    "resets_total": "Resets sent, by reason",
    "suspicions_total": "Targets suspected, by evidence",
    "target_trials_total": "Trial connections to targets, by verdict",
    "store_calls_total": "Calls to the store, by kind and outcome",
    "peer_messages_total": "Messages between balancers, by direction and kind",
    "peer_bytes_total": "Bytes between balancers, by direction and reach",
    "unexpected_errors_total": "Unexpected errors, by activity",
    "unreadable_documents_total": "Documents of the store that cannot be read, by kind",
    "invariant_violations_total": "Broken invariants, by invariant",
    "overrides_restored_total": "Overrides that the store had lost, by outcome of the "
    "write",
    "store_answer_age_seconds": "Age of the store's last answer on the configuration",
    "store_era": "Number that rises each time the store returns from a copy",
    "config_version": "Version of the configuration in force",
    "evacuations": "Failure domains that are evacuated",
    "targets": "Targets known, by state",
    "flows": "Flows seen lately",
    "log_lines_omitted_total": "Log lines left out",
    "answer_seconds": "Time from a request's first packet to the caller's next "
    "acknowledgement",
}

Labels = tuple[tuple[str, str], ...]  # Pairs of label name and value.


class Counters:
    """Holds all metrics of the process and formats them for a scrape.

    Threads share an instance without a lock, so counters are approximate. A counter or
    gauge exists from the first call that names it with its labels.
    """

    def __init__(self) -> None:
        self.counter_values: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self.gauge_values: dict[tuple[str, Labels], float] = {}
        self.bucket_counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.latency_sum_s = 0.0

    def add(self, name: str, count: int = 1, **labels: str) -> None:
        """Increase the counter with these labels by `count`."""
        self.counter_values[name, tuple(labels.items())] += count

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge with these labels to a value."""
        self.gauge_values[name, tuple(labels.items())] = value

    def observe(self, seconds: float) -> None:
        """Add a latency in seconds to the histogram `answer_seconds`."""
        self.latency_sum_s += seconds
        for index, bound in enumerate(LATENCY_BUCKETS_S):
            if seconds <= bound:
                self.bucket_counts[index] += 1
                return
        self.bucket_counts[-1] += 1

    def total(self, name: str) -> int:
        """Return the sum of a counter over all its labels."""
        return sum(
            count
            for (counter_name, _), count in self.counter_values.items()
            if counter_name == name
        )

    def exposition(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for metric_values, metric_type in (
            (self.counter_values, "counter"),
            (self.gauge_values, "gauge"),
        ):
            for name in sorted({name for name, _ in metric_values}):
                lines.append(f"# HELP basilgate_{name} {DOCUMENTATION[name]}")
                lines.append(f"# TYPE basilgate_{name} {metric_type}")
                for (metric_name, labels), value in metric_values.items():
                    if metric_name == name:
                        lines.append(
                            f"basilgate_{name}{format_labels(labels)} {value:g}"
                        )
        lines += self.histogram()
        return "\n".join(lines) + "\n"

    def histogram(self) -> list[str]:
        """Return the lines of the latency histogram in the Prometheus text format."""
        name = "basilgate_answer_seconds"
        lines = [
            f"# HELP {name} {DOCUMENTATION['answer_seconds']}",
            f"# TYPE {name} histogram",
        ]
        cumulative_count = 0
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for bound, bucket_count in zip(bounds, self.bucket_counts, strict=True):
            cumulative_count += bucket_count
            lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative_count}')
        return [
            *lines,
            f"{name}_sum {self.latency_sum_s:g}",
            f"{name}_count {cumulative_count}",
        ]


def format_labels(labels: Labels) -> str:
    """Return labels in braces as the Prometheus format has them, empty without any."""
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
