"""Flows that pass through this host, and what their packets tell of targets.

No packet needs this table to find its way: it only counts. A host that has just
started knows each flow again with the flow's next packet.
"""

import collections
import math

import msgspec

# A request without further packets is taken as answered; far above usual work.
REQUEST_LIMIT_S = 1.0
RATE_WINDOW_S = 1.0  # Some ten requests a target; a crest takes several seconds.
LATENCY_GAIN = 0.1  # Weight of one answer in the mean of the last ten or so.
USUAL_LATENCY_S = 0.05  # Taken until the first answer of a target was seen.
UNKNOWN_POSITION = -1  # Of a flow that began before this host saw it.
SWEEP_EVERY_S = 1.0  # Keeps the table within a second of the idle timeout.
FLOWS_LIMIT = 200_000  # About 100 MB; a host of the capacity goal sees 6,600.


class Flow(msgspec.Struct, gc=False):
    """A flow as its caller's packets show it.

    `target` is the name of the target, `tried` those that got opening packets.
    `asked_at` is the time at which the request that is running was sent, None
    without one; `asked_sequence` is the position of its first byte and `repeats` the
    number of times that it was sent again without progress.
    """

    target: str
    opened: bool
    seen_at: float
    tried: tuple[str, ...] = ()
    acknowledged: int = 0
    asked_at: float | None = None
    asked_sequence: int = 0
    repeats: int = 0


class Activity(msgspec.Struct, gc=False):
    """Requests at one target: their decaying count and the mean latency."""

    count: float = 0.0
    counted_at: float = 0.0
    latency_s: float = USUAL_LATENCY_S

    def start(self, now: float) -> None:
        """Count a request."""
        self.count = self.decayed(now) + 1.0
        self.counted_at = now

    def decayed(self, now: float) -> float:
        """Return the requests of about the last `RATE_WINDOW_S`."""
        return self.count * math.exp((self.counted_at - now) / RATE_WINDOW_S)

    def answer(self, latency_s: float) -> None:
        """Take a latency into the mean."""
        self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)

    def running(self, now: float) -> float:
        """Return the mean number of requests that run, by Little's law."""
        return self.decayed(now) / RATE_WINDOW_S * self.latency_s


class FlowTable:
    """Flows by their addresses, with counts for each target."""

    def __init__(self) -> None:
        self.flows: dict[bytes, Flow] = {}
        # Flows, and requests, by name of the target.
        self.open_flows: collections.Counter[str] = collections.Counter()
        self.activity: dict[str, Activity] = {}
        self.swept_at = 0.0

    def record_opening(self, key: bytes, target: str, now: float) -> Flow:
        """Note that an opening packet goes to a target."""
        flow = self.flows.get(key)
        if flow is None:
            if len(self.flows) >= FLOWS_LIMIT:
                self.remove(next(iter(self.flows)))
            flow = self.flows[key] = Flow(target, False, now)
            self.open_flows[target] += 1
        elif flow.target != target:
            self.reassign(flow, target)
        flow.tried = (*flow.tried, target)
        flow.seen_at = now
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
        flow.seen_at = now
        return flow

    def start_request(self, flow: Flow, sequence: int, now: float) -> None:
        """Note the first packet of a request."""
        activity = self.activity.get(flow.target)
        if activity is None:
            activity = self.activity[flow.target] = Activity()
        activity.start(now)
        flow.asked_at = now
        flow.asked_sequence = sequence
        flow.repeats = 0

    def end_request(self, flow: Flow, now: float) -> float | None:
        """Note that an answer has come; return its latency if a request ran."""
        asked_at = flow.asked_at
        self.clear_request(flow)
        if asked_at is None:
            return None
        self.activity[flow.target].answer(now - asked_at)
        return now - asked_at

    def clear_request(self, flow: Flow) -> None:
        """Note that a flow's request is answered or given up."""
        flow.asked_at = None
        flow.repeats = 0

    def running(self, target: str, now: float) -> float:
        """Return the mean number of requests that run at a target."""
        activity = self.activity.get(target)
        return activity.running(now) if activity is not None else 0.0

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.clear_request(flow)
            self.open_flows[flow.target] -= 1

    def sweep(self, now: float, idle_limit_s: float) -> None:
        """Forget idle flows and requests that must have been answered."""
        if now - self.swept_at < SWEEP_EVERY_S:
            return
        self.swept_at = now
        for key, flow in list(self.flows.items()):
            if now - flow.seen_at > idle_limit_s:
                self.remove(key)
            elif flow.asked_at is not None and now - flow.asked_at > REQUEST_LIMIT_S:
                self.clear_request(flow)
        for name in [n for n, count in self.open_flows.items() if count <= 0]:
            del self.open_flows[name]
            self.activity.pop(name, None)
