"""Flows that pass through this host, and what their packets tell of targets.

No packet needs this table to find its way: it only counts. A host that has just
started knows each flow again with the flow's next packet.
"""

import collections
import math

import msgspec

# A request without further packets is taken as answered; far above usual work.
REQUEST_TIMEOUT_S = 1.0
RATE_WINDOW_S = 1.0  # Some ten requests a target; a crest takes several seconds.
LATENCY_WEIGHT = 0.1  # Weight of one answer in the mean of the last ten or so.
INITIAL_LATENCY_S = 0.05  # Taken until the first answer of a target was seen.
UNKNOWN_POSITION = -1  # Of a flow that began before this host saw it.
SWEEP_INTERVAL_S = 1.0  # Keeps the table within a second of the idle timeout.
MAX_FLOWS = 200_000  # About 100 MB; a host of the capacity goal sees 6,600.


class Flow(msgspec.Struct, gc=False):
    """A flow as its caller's packets show it.

    `target` is the name of the target, `tried` those that got opening packets.
    `asked_at` is the time at which the request that is running was sent, None
    without one; `asked_sequence` is the position of its first byte and `repeats` the
    number of times that it was sent again without progress.
    """

    target: str
    opened: bool
    last_packet_at: float
    tried_targets: tuple[str, ...] = ()
    acknowledged: int = 0
    request_sent_at: float | None = None
    request_sequence: int = 0
    retransmissions: int = 0


class Activity(msgspec.Struct, gc=False):
    """Requests at one target: their decaying count and the mean latency."""

    request_count: float = 0.0
    updated_at: float = 0.0
    latency_s: float = INITIAL_LATENCY_S

    def record_request(self, now: float) -> None:
        """Count a request."""
        self.request_count = self.recent_requests(now) + 1.0
        self.updated_at = now

    def recent_requests(self, now: float) -> float:
        """Return the requests of about the last `RATE_WINDOW_S`."""
        return self.request_count * math.exp((self.updated_at - now) / RATE_WINDOW_S)

    def record_latency(self, latency_s: float) -> None:
        """Take a latency into the mean."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def running(self, now: float) -> float:
        """Return the mean number of requests that run, by Little's law."""
        return self.recent_requests(now) / RATE_WINDOW_S * self.latency_s


class FlowTable:
    """Flows by their addresses, with counts for each target."""

    def __init__(self) -> None:
        self.flows: dict[bytes, Flow] = {}
        # Flows, and requests, by name of the target.
        self.open_flows: collections.Counter[str] = collections.Counter()
        self.activities: dict[str, Activity] = {}
        self.swept_at = 0.0

    def record_opening(self, key: bytes, target: str, now: float) -> Flow:
        """Note that an opening packet goes to a target."""
        flow = self.flows.get(key)
        if flow is None:
            if len(self.flows) >= MAX_FLOWS:
                self.remove(next(iter(self.flows)))
            flow = self.flows[key] = Flow(target, False, now)
            self.open_flows[target] += 1
        elif flow.target != target:
            self.reassign(flow, target)
        flow.tried_targets = (*flow.tried_targets, target)
        flow.last_packet_at = now
        return flow

    def reassign(self, flow: Flow, target: str) -> None:
        """Count a flow at another target."""
        self.clear_request(flow)
        self.open_flows[flow.target] -= 1
        self.open_flows[target] += 1
        flow.target = target

    def record_packet(self, key: bytes, target: str, now: float) -> Flow:
        """Note a packet of an open flow."""
        flow = self.flows.get(key)
        if flow is None:
            flow = self.record_opening(key, target, now)
            flow.acknowledged = UNKNOWN_POSITION
        elif flow.target != target:
            self.reassign(flow, target)
        flow.opened = True
        flow.last_packet_at = now
        return flow

    def start_request(self, flow: Flow, sequence: int, now: float) -> None:
        """Note the first packet of a request."""
        activity = self.activities.get(flow.target)
        if activity is None:
            activity = self.activities[flow.target] = Activity()
        activity.record_request(now)
        flow.request_sent_at = now
        flow.request_sequence = sequence
        flow.retransmissions = 0

    def end_request(self, flow: Flow, now: float) -> float | None:
        """Note that an answer has come; return its latency if a request ran."""
        request_sent_at = flow.request_sent_at
        self.clear_request(flow)
        if request_sent_at is None:
            return None
        self.activities[flow.target].record_latency(now - request_sent_at)
        return now - request_sent_at

    def clear_request(self, flow: Flow) -> None:
        """Note that a flow's request is answered or given up."""
        flow.request_sent_at = None
        flow.retransmissions = 0

    def running(self, target: str, now: float) -> float:
        """Return the mean number of requests that run at a target."""
        activity = self.activities.get(target)
        return activity.running(now) if activity is not None else 0.0

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.clear_request(flow)
            self.open_flows[flow.target] -= 1

    def sweep(self, now: float, idle_timeout_s: float) -> None:
        """Forget idle flows and requests that must have been answered."""
        if now - self.swept_at < SWEEP_INTERVAL_S:
            return
        self.swept_at = now
        for key, flow in list(self.flows.items()):
            if now - flow.last_packet_at > idle_timeout_s:
                self.remove(key)
            elif (
                flow.request_sent_at is not None
                and now - flow.request_sent_at > REQUEST_TIMEOUT_S
            ):
                self.clear_request(flow)
        for name in [n for n, count in self.open_flows.items() if count <= 0]:
            del self.open_flows[name]
            self.activities.pop(name, None)
