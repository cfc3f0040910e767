"""Flows whose packets pass through this host, and the load that they put on targets.

Packets are routed by the token that they carry, not by this table, which serves to
estimate load and to detect unreachable targets. A host that has just started records
each flow when the flow's next packet arrives.
"""

import collections
import math

import msgspec

# A request is regarded as answered once it is this old; usual requests take far less.
REQUEST_TIMEOUT_S = 1.0
# Time constant of the decaying request count. It covers about ten requests to each
# target, and load peaks last several seconds.
RATE_WINDOW_S = 1.0
# Requests in `RATE_WINDOW_S` below which a target without flows counts as idle: one
# request is forgotten after 3 s.
MIN_RECENT_REQUESTS = 0.05
LATENCY_WEIGHT = 0.1  # Weight of one answer: the mean covers about the last ten.
INITIAL_LATENCY_S = 0.05  # Assumed for a target until its first answer.
# `Flow.acknowledged` of a flow that was opened before this host received its packets.
UNKNOWN_POSITION = -1
SWEEP_INTERVAL_S = 1.0  # Idle flows are removed at most this long after their timeout.
MAX_FLOWS = 200_000  # About 100 MB; a host at the capacity goal has 6,600 flows.


class Flow(msgspec.Struct, gc=False):
    """State of one flow, derived from the packets of its caller.

    Attributes
    ----------
    target : str
        Name of the target that gets the flow's packets.
    opened : bool
        Whether the caller has sent a packet after its opening packets.
    last_packet_at : float
        Monotonic time of the flow's last packet in seconds.
    tried_targets : tuple of str
        Names of the targets that got the copies of the opening packet, in that order.
    acknowledged : int
        Position in the target's byte stream up to which the caller has acknowledged
        it; `UNKNOWN_POSITION` until a packet has stated it.
    request_sent_at : float or None
        Monotonic time of the first packet of the request in progress, None without
        a request.
    request_sequence : int
        Position of the request's first byte in the caller's byte stream.
    retransmissions : int
        How often the request was sent again while the target acknowledged nothing.
    was_held : bool
        Whether the opening packet was held while this host started, so that its caller
        may have sent it again, or have given up, whatever the target does.
    run : int
        `fleetmodel.Target.started_ms` of the target's run when this host first saw the
        flow, 0 if it is not known.
    """

    target: str
    opened: bool
    last_packet_at: float
    tried_targets: tuple[str, ...] = ()
    acknowledged: int = 0
    request_sent_at: float | None = None
    request_sequence: int = 0
    retransmissions: int = 0
    was_held: bool = False
    run: int = 0


class Activity(msgspec.Struct, gc=False):
    """Rate and mean latency of the requests of this host's flows to one target.

    Attributes
    ----------
    request_count : float
        Number of requests up to `updated_at`, decaying with `RATE_WINDOW_S`.
    updated_at : float
        Monotonic time of the last request in seconds.
    latency_s : float
        Moving mean of the time from a request's first packet to its answer.
    initial_weight : float
        Weight of `INITIAL_LATENCY_S` in that mean; 1 until the first answer.
    """

    request_count: float = 0.0
    updated_at: float = 0.0
    latency_s: float = INITIAL_LATENCY_S
    initial_weight: float = 1.0

    def record_request(self, now: float) -> None:
        """Add a request to the decaying count."""
        self.request_count = self.recent_requests(now) + 1.0
        self.updated_at = now

    def recent_requests(self, now: float) -> float:
        """Return about how many requests were sent in the last `RATE_WINDOW_S`."""
        return self.request_count * math.exp((self.updated_at - now) / RATE_WINDOW_S)

    def record_latency(self, latency_s: float) -> None:
        """Update the mean latency with that of one answer."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.initial_weight *= 1 - LATENCY_WEIGHT

    def measured_latency_s(self) -> float | None:
        """Return the mean latency without the assumed one, None without answers."""
        if self.initial_weight >= 1:
            return None
        assumed_s = self.initial_weight * INITIAL_LATENCY_S
        return (self.latency_s - assumed_s) / (1 - self.initial_weight)

    def running(self, now: float) -> float:
        """Return the mean number of requests in progress, by Little's law."""
        return self.recent_requests(now) / RATE_WINDOW_S * self.latency_s


class FlowTable:
    """Flows of this host with their number and their requests by target.

    Not safe for threads: `ForwarderProcess.lock` guards each change. `now` is always
    `clock.steady_s()`, and `flow_id` is `fleetmodel.Packet.flow`.
    """

    def __init__(self) -> None:
        self.flows: dict[bytes, Flow] = {}
        # Number of flows, and activity, by name of the target.
        self.open_flows: collections.Counter[str] = collections.Counter()
        self.activities: dict[str, Activity] = {}
        self.swept_at = 0.0

    def record_opening(self, flow_id: bytes, target: str, now: float) -> Flow:
        """Record that an opening packet is sent to a target, and return its flow.

        A full table drops its oldest flow for a new one.
        """
        flow = self.flows.get(flow_id)
        if flow is None:
            if len(self.flows) >= MAX_FLOWS:
                self.remove(next(iter(self.flows)))
            flow = self.flows[flow_id] = Flow(target, False, now)
            self.open_flows[target] += 1
        elif flow.target != target:
            self.reassign(flow, target)
        flow.tried_targets = (*flow.tried_targets, target)
        flow.last_packet_at = now
        return flow

    def reassign(self, flow: Flow, target: str) -> None:
        """Move a flow, without its request, to the count of another target."""
        self.clear_request(flow)
        self.open_flows[flow.target] -= 1
        self.open_flows[target] += 1
        flow.target = target

    def record_packet(self, flow_id: bytes, target: str, now: float) -> Flow:
        """Record a packet of an open flow for a target, and return the flow."""
        flow = self.flows.get(flow_id)
        if flow is None:
            flow = self.record_opening(flow_id, target, now)
            flow.acknowledged = UNKNOWN_POSITION
        elif flow.target != target:
            self.reassign(flow, target)
        flow.opened = True
        flow.last_packet_at = now
        return flow

    def start_request(self, flow: Flow, sequence: int, now: float) -> None:
        """Record the first packet of a request, at a position in the byte stream."""
        activity = self.activities.get(flow.target)
        if activity is None:
            activity = self.activities[flow.target] = Activity()
        activity.record_request(now)
        flow.request_sent_at = now
        flow.request_sequence = sequence
        flow.retransmissions = 0

    def end_request(self, flow: Flow, now: float) -> float | None:
        """Record an answer; return its latency in seconds, None without a request."""
        request_sent_at = flow.request_sent_at
        self.clear_request(flow)
        if request_sent_at is None:
            return None
        self.activities[flow.target].record_latency(now - request_sent_at)
        return now - request_sent_at

    def clear_request(self, flow: Flow) -> None:
        """Remove the request in progress, which was answered or is too old."""
        flow.request_sent_at = None
        flow.retransmissions = 0

    def clear_requests(self) -> None:
        """Remove the requests in progress of all flows."""
        for flow in self.flows.values():
            self.clear_request(flow)

    def running(self, target: str, now: float) -> float:
        """Return the mean number of this host's requests in progress at a target."""
        activity = self.activities.get(target)
        return activity.running(now) if activity is not None else 0.0

    def remove(self, flow_id: bytes) -> None:
        """Remove a flow if the table has it."""
        flow = self.flows.pop(flow_id, None)
        if flow is not None:
            self.clear_request(flow)
            self.open_flows[flow.target] -= 1

    def remove_flows_of(self, target: str) -> None:
        """Remove all flows of a target."""
        if self.open_flows[target] > 0:
            for flow_id, flow in list(self.flows.items()):
                if flow.target == target:
                    self.remove(flow_id)

    def sweep(self, now: float, idle_timeout_s: float) -> None:
        """Remove idle flows, and requests older than `REQUEST_TIMEOUT_S`.

        Does nothing within `SWEEP_INTERVAL_S` of the previous sweep.
        """
        if now - self.swept_at < SWEEP_INTERVAL_S:
            return
        self.swept_at = now
        for flow_id, flow in list(self.flows.items()):
            if now - flow.last_packet_at > idle_timeout_s:
                self.remove(flow_id)
            elif (
                flow.request_sent_at is not None
                and now - flow.request_sent_at > REQUEST_TIMEOUT_S
            ):
                self.clear_request(flow)
        for name in [n for n, count in self.open_flows.items() if count <= 0]:
            del self.open_flows[name]
        # Flows may be short, so a target without one now may still be busy.
        for name in [
            name
            for name, activity in self.activities.items()
            if name not in self.open_flows
            and activity.recent_requests(now) < MIN_RECENT_REQUESTS
        ]:
            del self.activities[name]
