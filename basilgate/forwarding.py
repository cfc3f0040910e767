"""Decisions of the packet path: where each packet of a caller goes."""

import collections
import collections.abc
import random

from basilgate import (
    clock,
    connectionprobes,
    counters,
    eventlog,
    fleetmodel,
    fleetview,
    flowtable,
    invariants,
    reasons,
    suspicion,
    targetchoice,
)
from platformedge import packets

SendDatagram = collections.abc.Callable[[bytes, fleetmodel.Address], None]
# Retransmissions follow after 0.2 s and then 0.4 s. The first one also comes for
# requests that are merely slow; after the second nothing has come for 0.6 s.
MIN_RETRANSMISSIONS = 2
# Twice the way from a host to a target of another region, on to the caller, and back.
OPENING_TIMEOUT_S = 0.1
UNREACHABLE_AFTER_S = 0.55  # Time of the second retransmission, less a late timer.
UNREACHABLE_EVIDENCE = 2  # Flows; one may have lost its packets by chance.


class Forwarder:
    """Sends each packet on to the target of its flow.

    Parameters
    ----------
    view : fleetview.FleetView
        Routes and targets in force.
    flows : flowtable.FlowTable
        Flows seen here.
    chooser : targetchoice.TargetChooser
        Chooses targets of new flows.
    suspicions : suspicion.Suspicions
        Targets that seem to be gone.
    prober : connectionprobes.ConnectionProber
        Tries targets that seem to be gone.
    send : callable
        Sends a datagram to an address without waiting.
    caller_port : int
        Port to which packets for callers are sent.
    log, counts
        Log and metrics.
    """

    def __init__(
        self,
        view: fleetview.FleetView,
        flows: flowtable.FlowTable,
        chooser: targetchoice.TargetChooser,
        suspicions: suspicion.Suspicions,
        prober: connectionprobes.ConnectionProber,
        send: SendDatagram,
        caller_port: int,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.view = view
        self.flows = flows
        self.chooser = chooser
        self.suspicions = suspicions
        self.prober = prober
        self.send = send
        self.caller_port = caller_port
        self.log = log
        self.counts = counts
        self.invariants = invariants.Invariants(log, counts)
        # Openings that wait for the caller's next packet: due time, flow, and target.
        self.unanswered_openings: collections.deque[tuple[float, bytes, str]] = (
            collections.deque()
        )

    def handle(self, datagram: bytes) -> None:
        """Forward, reset, or drop one packet."""
        packet = packets.decode(datagram)
        if packet is None:
            self.drop(reasons.Reason.MALFORMED)
            return
        configuration = self.view.configuration
        if configuration is None or not self.view.ready:
            self.drop(reasons.Reason.NO_CONFIGURATION)
            return
        if packet.accepting:
            # Only targets accept flows, and their packets do not pass here.
            self.drop(reasons.Reason.UNEXPECTED_KIND)
            return
        route = configuration.routes.get(packet.route)
        if route is None:
            self.refuse_route(packet)
        elif packet.opening:
            self.open_flow(packet, route, configuration.version)
        else:
            self.forward_open_flow(packet)

    def drop(self, reason: reasons.Reason) -> None:
        """Count a packet that is dropped."""
        self.counts.add("dropped_packets_total", reason=reasons.label(reason))

    def refuse_route(self, packet: fleetmodel.Packet) -> None:
        """Reset a flow to an address without a route."""
        if packet.resetting:
            self.drop(reasons.Reason.NO_SUCH_SERVICE)
            return
        if not packet.opening and packet.route not in self.view.removed_routes:
            # The route may be newer than what is known here; the caller sends again.
            self.drop(reasons.Reason.NO_SUCH_SERVICE)
            return
        self.reset(packet, reasons.Reason.NO_SUCH_SERVICE)

    def reset(self, packet: fleetmodel.Packet, reason: reasons.Reason) -> None:
        """Tell a caller at once that its flow cannot go on."""
        position = 0 if packet.opening else packet.acknowledged
        self.reset_flow(packet.flow, position, reason)

    def reset_flow(self, flow: bytes, position: int, reason: reasons.Reason) -> None:
        """Reset a flow whose caller last acknowledged a position."""
        label = reasons.label(reason)
        configuration = self.view.configuration
        known_flow = self.flows.flows.get(flow)
        self.counts.add("resets_total", reason=label)
        self.log.write(
            "flow_reset",
            flow=packets.describe_flow(flow),
            reason=label,
            target=known_flow.target if known_flow is not None else "none",
            config_version=configuration.version if configuration else 0,
        )
        self.flows.remove(flow)
        self.send(
            packets.reset_for(flow, position),
            (packets.caller_ip(flow), self.caller_port),
        )

    def reset_flows(
        self, target: fleetmodel.Target, excluded_flow: bytes = b""
    ) -> None:
        """Reset the other flows of a lost target.

        Their callers open new ones instead of sending requests that cannot arrive.
        """
        for flow_id, flow in list(self.flows.flows.items()):
            if flow.target == target.name and flow.opened and flow_id != excluded_flow:
                self.reset_flow(
                    flow_id, flow.acknowledged, reasons.Reason.TARGET_UNREACHABLE
                )

    def open_flow(
        self, packet: fleetmodel.Packet, route: fleetmodel.Route, version: int
    ) -> None:
        """Send an opening packet to a target of the route."""
        now = clock.steady_s()
        if packet.copy == 0:
            # The caller's port may have belonged to an earlier flow.
            self.flows.remove(packet.flow)
        flow = self.flows.flows.get(packet.flow)
        tried_targets = flow.tried_targets if flow is not None else ()
        if flow is not None and tried_targets and packet.copy:
            self.suspect(
                tried_targets[-1],
                packet.flow,
                "opening_repeated",
                flow.last_packet_at,
                now,
            )
        self.check_openings(now)
        service = choose_service(route, packet.flow)
        choice = self.chooser.choose(service, tried_targets, now)
        if choice is None:
            # Whether a target appears within the caller's next copies is unknown;
            # nothing has run, and a caller that is told so can try again.
            self.reset(packet, reasons.Reason.NO_TARGET)
            return
        entry, load = choice
        target = entry.target
        self.invariants.check(
            "target_serves_route",
            any(target.service == name for name, _ in route.split),
            target=target.name,
            service=target.service,
            route=route.name,
        )
        self.invariants.check(
            "target_open_for_flows",
            entry.closes_at is None or now < entry.closes_at,
            target=target.name,
            removed_at=entry.removed_at,
        )
        self.flows.record_opening(packet.flow, target.name, now)
        self.unanswered_openings.append(
            (now + OPENING_TIMEOUT_S, packet.flow, target.name)
        )
        self.counts.add("openings_total", service=service, copy=str(packet.copy))
        self.log.write(
            "flow_placed",
            flow=packets.describe_flow(packet.flow),
            copy=packet.copy,
            route=route.name,
            service=service,
            target=target.name,
            target_revision=entry.revision,
            tried=len(tried_targets),
            load=load,
            config_version=version,
        )
        self.forward(packet, target)

    def check_openings(self, now: float) -> None:
        """Suspect targets whose flows were not opened in time.

        A target that has crashed resets new flows at the caller, whose next try comes
        at once and shows nothing here; its few flows would draw even more of them.
        """
        while self.unanswered_openings and self.unanswered_openings[0][0] <= now:
            due_at, flow_id, target = self.unanswered_openings.popleft()
            flow = self.flows.flows.get(flow_id)
            if flow is not None and not flow.opened and flow.target == target:
                since = due_at - OPENING_TIMEOUT_S
                self.suspect(target, None, "opening_unanswered", since, now)

    def suspect(
        self, name: str, flow: bytes | None, evidence: str, since: float, now: float
    ) -> None:
        """Suspect a target, and have it tried if that is new."""
        if self.suspicions.record_failure(name, flow, evidence, since, now):
            entry = self.view.entries.get(name) or self.view.removed.get(name)
            if entry is not None:
                self.probe_target(entry.target, now)

    def probe_target(self, target: fleetmodel.Target, now: float) -> None:
        """Have a target tried beside the one that replied last, a near one first."""

        def preference(candidate: fleetmodel.Target) -> tuple[bool, float]:
            replied_at = self.suspicions.record_for(candidate.name).replied_at
            return candidate.domain == target.domain, replied_at

        candidates = [
            entry.target
            for entry in self.view.entries.values()
            if entry.target.name != target.name
            and not self.suspicions.is_suspect(entry.target.name, now)
        ]
        self.prober.start_probe(
            target, max(candidates, key=preference, default=None), now
        )

    def handle_probe_result(
        self,
        target: fleetmodel.Target,
        probe_result: connectionprobes.ProbeResult,
        started_at: float,
    ) -> None:
        """Take a target as gone if a trial shows it; `began_at` is the trial's start.

        A host that refuses connections has been reached. One that is silent may be
        beyond a broken link, unless its failure domain is heard.
        """
        now = clock.steady_s()
        current = self.view.target_for(target.token)
        if current is None or (current.address, current.started_ms) != (
            target.address,
            target.started_ms,
        ):
            return
        if self.suspicions.replied_since(target.name, started_at - OPENING_TIMEOUT_S):
            return
        if probe_result is connectionprobes.ProbeResult.REFUSES or (
            probe_result is connectionprobes.ProbeResult.SILENT
            and self.is_domain_heard(target, now)
        ):
            self.suspicions.mark_unreachable(
                target.name, f"connection_{probe_result.value}", now
            )
            self.reset_flows(target)

    def is_domain_heard(self, target: fleetmodel.Target, now: float) -> bool:
        """Tell whether others in a target's failure domain were heard a moment ago."""
        if self.chooser.peers.reachable_domains.get(target.domain, False):
            return True
        return any(
            self.suspicions.replied_since(entry.target.name, now - UNREACHABLE_AFTER_S)
            for entry in self.view.entries.values()
            if entry.target.domain == target.domain and entry.target.name != target.name
        )

    def forward_open_flow(self, packet: fleetmodel.Packet) -> None:
        """Send a packet of an open flow to the target that its token names."""
        target = self.view.target_for(packet.token)
        if target is None:
            # The list may be behind; the caller sends again after 0.2 s.
            self.drop(reasons.Reason.TOKEN_UNKNOWN_KEY)
            self.log.write(
                "packet_dropped",
                flow=packets.describe_flow(packet.flow),
                reason=reasons.label(reasons.Reason.TOKEN_UNKNOWN_KEY),
                token=packet.token,
                targets=len(self.view.by_token),
            )
            return
        now = clock.steady_s()
        flow = self.flows.record_packet(packet.flow, target.name, now)
        self.track_progress(packet, flow, now)
        if self.confirms_unreachable(flow, target, now):
            self.suspicions.mark_unreachable(target.name, "packets_without_reply", now)
            self.reset_flows(target, packet.flow)
        if packet.data_bytes and self.suspicions.is_unreachable(target.name, now):
            self.reset(packet, reasons.Reason.TARGET_UNREACHABLE)
            return
        self.forward(packet, target)
        if packet.resetting or packet.closing:
            self.flows.remove(packet.flow)

    def track_progress(
        self, packet: fleetmodel.Packet, flow: flowtable.Flow, now: float
    ) -> None:
        """Note progress, a new request, or a repeated one."""
        if flow.acknowledged == flowtable.UNKNOWN_POSITION:
            # Whether the target has replied lately cannot be told from one packet.
            flow.acknowledged = packet.acknowledged
        elif packet.acknowledged != flow.acknowledged:
            flow.acknowledged = packet.acknowledged
            if packet.data_bytes or packet.closing:
                # Short answers are acknowledged with what the caller sends next.
                self.flows.clear_request(flow)
            else:
                latency_s = self.flows.end_request(flow, now)
                if latency_s is not None:
                    self.counts.observe(latency_s)
            self.suspicions.record_reply(flow.target, now)
        if not packet.data_bytes:
            return
        if (
            flow.request_sent_at is not None
            and packet.sequence == flow.request_sequence
        ):
            flow.retransmissions += 1
            if flow.retransmissions >= MIN_RETRANSMISSIONS:
                self.suspect(
                    flow.target,
                    packet.flow,
                    "request_repeated",
                    flow.request_sent_at,
                    now,
                )
        elif flow.request_sent_at is None:
            self.flows.start_request(flow, packet.sequence, now)

    def confirms_unreachable(
        self, flow: flowtable.Flow, target: fleetmodel.Target, now: float
    ) -> bool:
        """Tell whether a packet shows that its flow's target is gone.

        A live target acknowledges a repeated request at once, however slow its work.
        It takes several silent flows, or the silence of its failure domain, and
        replies of other targets, which show that the own links work. Where a
        neighbour has that proof one repetition here is enough; without any it is not,
        since the neighbour's links may be at fault.
        """
        request_sent_at = flow.request_sent_at
        if request_sent_at is None or self.suspicions.replied_since(
            target.name, request_sent_at
        ):
            return False
        if flow.retransmissions and self.suspicions.is_unreachable_at_peer(
            target.name, now
        ):
            return self.own_links_work(target, now)
        if (
            flow.retransmissions < MIN_RETRANSMISSIONS
            or now - request_sent_at < UNREACHABLE_AFTER_S
        ):
            return False
        too_few_flows = (
            self.suspicions.evidence_count(target.name, now) < UNREACHABLE_EVIDENCE
        )
        if too_few_flows and not self.chooser.is_domain_unreachable(target.domain, now):
            return False
        return self.own_links_work(target, now)

    def own_links_work(self, target: fleetmodel.Target, now: float) -> bool:
        """Tell whether most targets near this host have replied lately."""
        since = now - UNREACHABLE_AFTER_S
        same_domain = [
            entry.target.name
            for entry in self.view.entries.values()
            if entry.target.domain == self.chooser.domain
            and entry.target.name != target.name
        ]
        replied_count = sum(
            self.suspicions.replied_since(name, since) for name in same_domain
        )
        return replied_count * 2 > len(same_domain)

    def forward(self, packet: fleetmodel.Packet, target: fleetmodel.Target) -> None:
        """Send a packet to a target under its token."""
        self.counts.add("packets_total", outcome="forwarded")
        self.send(
            packets.for_target(packet, target.number, target.token), target.address
        )


def choose_service(route: fleetmodel.Route, flow: bytes) -> str:
    """Return the service for a flow, in proportion to the weights of the route.

    The flow alone decides, so that copies of an opening packet agree on all hosts.
    """
    if len(route.split) == 1:
        return route.split[0][0]
    names = [name for name, _ in route.split]
    weights = [weight for _, weight in route.split]
    if sum(weights) <= 0:
        return names[0]
    return random.Random(flow).choices(names, weights)[0]
