"""Metrics of a balancer, exported by aioprometheus.

docs/metrics.md lists every metric; a test compares it with this module.
"""

import collections.abc
import typing

import aioprometheus

REGISTRY = aioprometheus.Registry()

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0]

Labels = collections.abc.Mapping[str, str]
# Label names and values, a hashable key for the counts of one series.
LabelPairs = tuple[tuple[str, str], ...]


class FastCounter(aioprometheus.Counter):
    """Counter with cheap increments, for code that runs for each packet.

    aioprometheus serialises the labels to JSON twice for each increment. This
    class counts in a dictionary, and merges series whose labels differ only in
    their order when the counter is read.
    """

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self.counts: dict[LabelPairs, float] = {}

    def inc(self, labels: Labels) -> None:
        """Add 1 to the series with these labels."""
        key = tuple(labels.items())
        self.counts[key] = self.counts.get(key, 0) + 1

    def add(self, labels: Labels, value: float) -> None:
        """Add a value to the series with these labels.

        Raises
        ------
        ValueError
            If `value` is negative.
        """
        if value < 0:
            raise ValueError(f"a counter cannot decrease: {value} was added")
        key = tuple(labels.items())
        self.counts[key] = self.counts.get(key, 0) + value

    def set_value(self, labels: Labels, value: float) -> None:
        """Replace the value of the series with these labels."""
        ordered = sorted(labels.items())
        for key in [key for key in self.counts if sorted(key) == ordered]:
            del self.counts[key]
        self.counts[tuple(ordered)] = value

    def get_value(self, labels: Labels) -> float:
        """Return the value of the series with these labels.

        Raises
        ------
        KeyError
            If nothing was counted with these labels.
        """
        return self.sorted_counts()[tuple(sorted(labels.items()))]

    def get_all(self) -> list[tuple[dict[str, str], float]]:
        """Return the labels and the value of every series."""
        return [(dict(key), value) for key, value in self.sorted_counts().items()]

    def sorted_counts(self) -> dict[LabelPairs, float]:
        """Return the counts by labels in sorted order, merging equal label sets."""
        merged: dict[LabelPairs, float] = {}
        for key, value in self.counts.items():
            ordered = tuple(sorted(key))
            merged[ordered] = merged.get(ordered, 0) + value
        return merged


def counter(name: str, documentation: str) -> aioprometheus.Counter:
    """Return a new counter registered in `REGISTRY` as ``basilgate_<name>``."""
    return FastCounter(f"basilgate_{name}", documentation, registry=REGISTRY)


def gauge(name: str, documentation: str) -> aioprometheus.Gauge:
    """Return a new gauge registered in `REGISTRY` as ``basilgate_<name>``."""
    return aioprometheus.Gauge(f"basilgate_{name}", documentation, registry=REGISTRY)


def histogram(name: str, documentation: str) -> aioprometheus.Histogram:
    """Return a new histogram of seconds registered as ``basilgate_<name>``."""
    return aioprometheus.Histogram(
        f"basilgate_{name}",
        documentation,
        registry=REGISTRY,
        buckets=LATENCY_BUCKETS_S,
    )


def total(metric: aioprometheus.Counter) -> float:
    """Return the sum of all series of a counter."""
    return float(sum(value for _, value in metric.get_all()))


INVARIANT_VIOLATIONS = counter(
    "invariant_violations_total", "Broken invariants, by invariant"
)
UNEXPECTED_ERRORS = counter(
    "unexpected_errors_total", "Unexpected errors, by source of the datagram"
)
DROPPED = counter("dropped_datagrams_total", "Datagrams dropped, by reason")
FRAMES = counter("frames_total", "Frames received from callers, by kind")
RELAYED = counter("relayed_total", "Frames passed to another balancer")
OPENS = counter("opens_total", "Opens, by service and outcome")
REQUESTS = counter(
    "requests_total", "Finished requests, by service, work class, and outcome"
)
LATENCY = histogram(
    "request_seconds",
    "Time from arrival at the home to the outcome, by service and work class",
)
QUEUE_TIME = histogram(
    "queue_seconds",
    "Time from arrival at the home to the slot, by service and work class",
)
FORWARDED = counter("forwarded_requests_total", "Requests sent to targets, by service")
RETRIES = counter("retries_total", "Retries, by service and outcome")
SPILLED = counter("spilled_total", "Opens and requests moved, by service and kind")
PROBES_FAILED = counter(
    "failed_probes_total", "Probes of targets without an answer, by endpoint"
)
HEALTH_CHANGES = counter(
    "target_health_changes_total", "Targets ejected and reinstated, by cause"
)
CONTROL_BYTES = counter(
    "control_bytes_total", "Bytes of control messages, by direction and message"
)
CONTROL_MESSAGES = counter(
    "control_messages_total", "Control messages, by direction and message"
)
CONTROL_CPU = counter(
    "control_cpu_seconds_total",
    "Processor time of encoding, decoding, and applying control messages",
)
PLATFORM_CALLS = counter("platform_calls_total", "Calls to the platform, by outcome")
VIEW_EPOCH = gauge("view_epoch", "Epoch of the adopted domain view")
CONFIG_REVISION = gauge("config_revision", "Newest platform revision applied")
REVERTS_REFUSED = counter(
    "reverts_refused_total", "Objects refused because a newer version is held"
)
HANDOVERS = counter("handovers_total", "Changes of home, by direction and outcome")
OBJECTS_REFUSED = counter(
    "objects_refused_total", "Objects refused as malformed or oversized"
)
SYNCS = counter("peer_syncs_total", "Configuration taken from peers, by outcome")
EVICTED = counter(
    "evicted_answers_total", "Answers dropped before their callers had them, by service"
)
REFUSED_CONNECTIONS = counter(
    "refused_connections_total", "TLS connections refused, by listener and reason"
)

# Updated by gauges.refresh just before `/metrics` is answered.
LEASE_LEFT = gauge("lease_left_seconds", "Time left of the lease, 0 without one")
HOMES = gauge("homes", "Targets that this host is home for, by state")
QUEUED = gauge("queued_requests", "Requests that wait, by service and work class")
RUNNING = gauge("running_requests", "Requests at targets, by service")
FLOWS = gauge("open_flows", "Flows known at their home, by service")
BUFFERED = gauge("buffered_answer_bytes", "Answer bytes kept for callers, by service")
LOOP_LAG = gauge(
    "event_loop_lag_seconds", "Longest delay of the event loop in the last 10 s"
)
RESIDENT = gauge("resident_memory_bytes", "Resident memory of the process")
CPU = counter("cpu_seconds_total", "Processor time of the process")
START_TIME = gauge("start_time_seconds", "Start of the process in Unix time")
