"""Metrics of a balancer, exported by aioprometheus."""

import aioprometheus

REGISTRY = aioprometheus.Registry()

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0]


def counter(name: str, documentation: str) -> aioprometheus.Counter:
    """Return a counter in this module's registry."""
    return aioprometheus.Counter(f"basilgate_{name}", documentation, registry=REGISTRY)


def gauge(name: str, documentation: str) -> aioprometheus.Gauge:
    """Return a gauge in this module's registry."""
    return aioprometheus.Gauge(f"basilgate_{name}", documentation, registry=REGISTRY)


INVARIANT_VIOLATIONS = counter(
    "invariant_violations_total", "Broken invariants, by invariant"
)
DROPPED = counter("dropped_datagrams_total", "Datagrams dropped, by reason")
FRAMES = counter("frames_total", "Frames received from callers, by kind")
RELAYED = counter("relayed_total", "Frames passed to another balancer, by kind")
OPENS = counter("opens_total", "Opens, by service and outcome")
REQUESTS = counter(
    "requests_total", "Finished requests, by service, work class, and outcome"
)
LATENCY = aioprometheus.Histogram(
    "basilgate_request_seconds",
    "Time from arrival at the home to the outcome, by service and work class",
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
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
