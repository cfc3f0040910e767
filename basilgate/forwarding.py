"""Forwarding of callers' packets: which target each one goes to, or why none."""

import collections
import collections.abc
import random
import typing

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
from basilgate.policy import admission, room
from platformedge import packets

SendDatagram = collections.abc.Callable[[bytes, fleetmodel.Address], None]
HasUnreadPackets = collections.abc.Callable[[], bool]
# Retransmissions of a request after which its target is suspect. Callers send them
# after 0.2 s and another 0.4 s. The first one also happens for requests that are merely
# slow; at the second one nothing has come from the target for 0.6 s.
MIN_RETRANSMISSIONS = 2
# Time within which a caller continues a flow that a target has accepted: twice what
# packets take from a host to a target in another region, on to the caller, and back.
OPENING_TIMEOUT_S = 0.1
# Time without a reply after which a target may be unreachable: 0.6 s, when the second
# retransmission is sent, less a tolerance for late timers.
UNREACHABLE_AFTER_S = 0.55
# Lifetime of datagrams. If a flow's last packet is younger, a first copy of its opening
# packet is a duplicate: a caller uses a port again only after many others.
DUPLICATE_AGE_S = 2.0
# Flows without replies that confirm an unreachable target, where the suspicion of peers
# counts as one flow. A single flow may have lost its packets by chance.
UNREACHABLE_EVIDENCE = 2


class Forwarder:
    """Forwards each packet to the target of its flow, and detects failed targets.

    A packet of an open flow always goes to the target that its token names; only new
    flows are distributed. Flows of a target that is confirmed to be unreachable are
    reset, so that callers need not wait. Not safe for threads:
    `ForwarderProcess.lock` guards each call. `now` is always `clock.steady_s()`.

    Parameters
    ----------
    view : fleetview.FleetView
        Provides the routes and targets in force.
    flows : flowtable.FlowTable
        Records the flows and their requests in progress.
    chooser : targetchoice.TargetChooser
        Chooses the targets of new flows.
    suspicions : suspicion.Suspicions
        Records evidence against targets, and their replies.
    prober : connectionprobes.ConnectionProber
        Probes targets that become suspect.
    send : callable
        Sends a datagram to an address without blocking.
    has_unread_packets : callable
        Returns whether packets wait to be received by this host.
    caller_port : int
        Port of all callers at which they receive resets.
    log : eventlog.EventLog
        Receives the decisions on new flows, resets, and packets with unknown tokens.
    counts : counters.Counters
        Counts packets, new flows, and resets, and holds the latency histogram.
    """

    def __init__(
        self,
        view: fleetview.FleetView,
        flows: flowtable.FlowTable,
        chooser: targetchoice.TargetChooser,
        suspicions: suspicion.Suspicions,
        prober: connectionprobes.ConnectionProber,
        send: SendDatagram,
        has_unread_packets: HasUnreadPackets,
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
        self.has_unread_packets = has_unread_packets
        self.caller_port = caller_port
        self.log = log
        self.counts = counts
        self.invariants = invariants.Invariants(log, counts)
        self.admission = admission.Admission(view, room.RoomEstimator(chooser, counts))
        view.on_new_run = self.begin_run
        self.handles_held = False  # Whether the packet in progress was held.
        # Whether it may have waited while the process was paused. Set by the receiver.
        self.is_late = False
        # New flows, to be checked at their deadline: deadline in monotonic seconds, ID
        # of the flow, and name of the target. The next deadline comes first.
        self.unanswered_openings: collections.deque[tuple[float, bytes, str]] = (
            collections.deque()
        )

    def begin_run(self, target: fleetmodel.Target) -> None:
        """Forget the earlier run of a target, whose flows have ended, if it had one.

        What showed that the earlier run had failed shows nothing about the new one.
        """
        self.suspicions.begin_run(target.name, target.started_ms)
        self.flows.remove_flows_of(target.name)
        self.prober.forget(target.name)

    def forget_evidence(self) -> None:
        """Forget requests and openings without replies, after a pause of this host.

        The replies may have come through other hosts meanwhile.
        """
        self.flows.clear_requests()
        self.suspicions.forget_flows()
        self.unanswered_openings.clear()

    def handle_held(self, datagram: bytes) -> None:
        """Handle a packet that arrived before this host could forward it."""
        self.handles_held = True
        try:
            self.handle(datagram)
        finally:
            self.handles_held = False

    def handle(self, datagram: bytes) -> None:
        """Forward or drop one received packet, or reset its flow."""
        packet = packets.decode(datagram)
        if packet is None:
            self.drop(reasons.Reason.MALFORMED)
            return
        configuration = self.view.configuration
        if configuration is None or not self.view.ready:
            self.drop(reasons.Reason.NO_CONFIGURATION)
            return
        if packet.accepting:
            # Only targets accept flows, and they send straight to the callers.
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
        """Count a dropped packet by reason."""
        self.counts.add("dropped_packets_total", reason=reasons.label(reason))

    def refuse_route(self, packet: fleetmodel.Packet) -> None:
        """Reset a flow to an address without a route, or drop its packet.

        An open flow is reset only if this host has forwarded its packets, and so knows
        that it is older than the removal of its route. Otherwise a newer configuration
        may have the route (again), and the caller repeats the packet.
        """
        is_opened_before = (
            packet.route in self.view.removed_routes and packet.flow in self.flows.flows
        )
        if packet.resetting or not (packet.opening or is_opened_before):
            self.drop(reasons.Reason.NO_SUCH_SERVICE)
            return
        self.reset(packet, reasons.Reason.NO_SUCH_SERVICE)

    def reset(self, packet: fleetmodel.Packet, reason: reasons.Reason) -> None:
        """Reset the flow of a packet, so that its caller does not have to time out.

        An opening packet that was held, or waited through a pause of this host, is
        dropped: a later copy of it may have opened the flow through another host
        meanwhile.
        """
        if (self.handles_held or self.is_late) and packet.opening:
            self.drop(reason)
            return
        position = 0 if packet.opening else packet.acknowledged
        copy = packet.copy if packet.opening else None
        self.reset_flow(packet.flow, position, reason, copy)

    def reset_flow(
        self,
        flow_id: bytes,
        position: int,
        reason: reasons.Reason,
        copy: int | None = None,
    ) -> None:
        """Reset a flow whose caller last acknowledged a position in the byte stream.

        `copy` is the number of the opening packet that is refused, if it is one.
        """
        label = reasons.label(reason)
        configuration = self.view.configuration
        flow = self.flows.flows.get(flow_id)
        self.counts.add("resets_total", reason=label)
        details: dict[str, typing.Any] = {}
        if copy is not None:
            details["copy"] = copy
        if flow is not None:
            now = clock.steady_s()
            details |= {"run": flow.run, "idle_s": now - flow.last_packet_at}
            if reason is reasons.Reason.TARGET_UNREACHABLE:
                details |= self.suspicions.describe_mark(flow.target, now)
        self.log.write(
            "flow_reset",
            flow=packets.describe_flow(flow_id),
            reason=label,
            target=flow.target if flow is not None else "none",
            config_version=configuration.version if configuration else 0,
            **details,
        )
        self.flows.remove(flow_id)
        self.send(
            packets.reset_for(flow_id, position),
            (packets.caller_ip(flow_id), self.caller_port),
        )

    def reset_flows(
        self, target: fleetmodel.Target, excluded_flow: bytes = b""
    ) -> None:
        """Reset the open flows of an unreachable target, except `excluded_flow`.

        Their callers then open new flows instead of sending requests that get no reply.
        """
        for flow_id, flow in list(self.flows.flows.items()):
            if flow.target == target.name and flow.opened and flow_id != excluded_flow:
                self.reset_flow(
                    flow_id, flow.acknowledged, reasons.Reason.TARGET_UNREACHABLE
                )

    def open_flow(
        self, packet: fleetmodel.Packet, route: fleetmodel.Route, version: int
    ) -> None:
        """Choose a target for an opening packet and send it there.

        Each copy of an opening packet goes to a target that was not tried yet, if there
        is one. A flow whose first copy meets a lack of capacity may be refused; a
        duplicate of a first copy that was admitted is not, nor is one that was held,
        since the flow may be open. A copy that comes after other packets of its flow is
        dropped: it shows nothing about a target, and would open the flow at a second.
        `version` is that of the configuration, for the log.
        """
        now = clock.steady_s()
        flow = self.flows.flows.get(packet.flow)
        is_recent = flow is not None and now - flow.last_packet_at < DUPLICATE_AGE_S
        if is_recent and flow is not None and flow.opened:
            self.drop(reasons.Reason.DUPLICATE)
            return
        is_duplicate = packet.copy == 0 and is_recent
        if packet.copy == 0:
            # The caller may reuse the port of an earlier flow.
            self.flows.remove(packet.flow)
            flow = None
        tried_targets = flow.tried_targets if flow is not None else ()
        is_late = self.is_late or (flow is not None and flow.was_held)
        if flow is not None and tried_targets and packet.copy and not is_late:
            self.suspect(
                tried_targets[-1],
                packet.flow,
                "opening_repeated",
                flow.last_packet_at,
                now,
            )
            self.record_repetition(tried_targets[-1], now)
        self.check_openings(now)
        service = choose_service(route, packet.flow)
        if packet.copy == 0 and not is_duplicate and not self.handles_held:
            refusal = self.admission.decide(
                route, service, packet.flow, now, clock.unix_s()
            )
            if refusal is not None:
                self.refuse_flow(packet, route, service, refusal, now)
                return
        crowded = self.admission.is_crowded(service)
        choice = self.chooser.choose(service, tried_targets, now, crowded)
        if choice is None:
            # No target may appear before the caller's next copies. Since no request
            # has run, a caller can safely try again after the reset. A delayed or
            # duplicated packet of a flow that is open must not end it.
            is_evacuated = self.view.is_service_evacuated(service)
            reason = (
                reasons.Reason.EVACUATED if is_evacuated else reasons.Reason.NO_TARGET
            )
            if is_duplicate or (flow is not None and flow.opened):
                self.drop(reason)
            else:
                self.reset(packet, reason)
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
        flow = self.flows.record_opening(packet.flow, target.name, now)
        flow.was_held = self.handles_held or self.is_late
        flow.run = target.started_ms
        if not flow.was_held:
            self.unanswered_openings.append(
                (now + OPENING_TIMEOUT_S, packet.flow, target.name)
            )
        self.counts.add("openings_total", service=service, copy=str(packet.copy))
        if packet.copy == 0:
            reach = "near" if target.domain == self.chooser.domain else "far"
            self.counts.add("placements_total", service=service, reach=reach)
        self.log.write(
            "flow_placed",
            flow=packets.describe_flow(packet.flow),
            copy=packet.copy,
            route=route.name,
            service=service,
            target=target.name,
            target_revision=entry.position,
            tried=len(tried_targets),
            load=load,
            config_version=version,
        )
        self.forward(packet, target)

    def refuse_flow(
        self,
        packet: fleetmodel.Packet,
        route: fleetmodel.Route,
        service: str,
        refusal: admission.Refusal,
        now: float,
    ) -> None:
        """Reset a new flow for which there is no capacity."""
        estimate = refusal.estimate
        self.counts.add("refusals_total", service=service, priority=str(route.priority))
        self.log.write(
            "flow_refused",
            flow=packets.describe_flow(packet.flow),
            route=route.name,
            service=service,
            rank=refusal.rank,
            requests_per_slot=estimate.requests_per_slot,
            probability=refusal.probability,
            heard_share=estimate.heard_share,
            oldest_report_s=max(0.0, now - estimate.oldest_at),
        )
        self.reset(packet, reasons.Reason.NO_ROOM)

    def record_repetition(self, target: str, now: float) -> None:
        """Record for the choice of a failure domain that an opening was repeated."""
        entry = self.view.entries.get(target)
        if entry is not None and self.chooser.domain_choice is not None:
            self.chooser.domain_choice.record_repetition(entry.target.domain, now)

    def measure_opening(
        self, flow_id: bytes, target: fleetmodel.Target, now: float
    ) -> None:
        """Measure the delay of a flow that the caller continues at its first target.

        It contains the ways from this host to the target, to the caller, and back.
        """
        flow = self.flows.flows.get(flow_id)
        if (
            flow is not None
            and not flow.opened
            and flow.tried_targets == (target.name,)
            and self.chooser.domain_choice is not None
        ):
            self.chooser.domain_choice.record_opening(
                target.domain, now - flow.last_packet_at, now
            )

    def check_openings(self, now: float) -> None:
        """Suspect targets whose new flows were not continued in `OPENING_TIMEOUT_S`.

        The host of a crashed target resets new flows at the caller, which opens another
        one at once, and no packet through this host shows it. Without this check the
        target would get even more new flows, since it has so few. While packets wait in
        this host's own buffer, the callers' may be among them, so nothing is judged.
        """
        if not self.unanswered_openings or self.unanswered_openings[0][0] > now:
            return
        if self.has_unread_packets():
            return
        while self.unanswered_openings and self.unanswered_openings[0][0] <= now:
            due_at, flow_id, target = self.unanswered_openings.popleft()
            flow = self.flows.flows.get(flow_id)
            if flow is not None and not flow.opened and flow.target == target:
                since = due_at - OPENING_TIMEOUT_S
                self.suspect(target, None, "opening_unanswered", since, now)

    def suspect(
        self, name: str, flow_id: bytes | None, evidence: str, since: float, now: float
    ) -> None:
        """Record evidence against a target, and probe it if it becomes suspect.

        The parameters are those of `suspicion.Suspicions.record_failure`.
        """
        if self.suspicions.record_failure(name, flow_id, evidence, since, now):
            entry = self.view.entries.get(name) or self.view.removed.get(name)
            if entry is not None:
                self.probe_target(entry.target, now)

    def probe_target(self, target: fleetmodel.Target, now: float) -> None:
        """Start a probe of a target.

        The control is the target that replied last among those that are not suspect, if
        possible in the failure domain of the probed target.
        """

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
        """Mark a target as unreachable if a probe that began at `started_at` shows it.

        A refused connection shows that the host was reached but the target does not
        run. A silent target may be alive behind a broken link, so silence counts only
        while others in its failure domain can be reached. The result is ignored if the
        target has restarted or is no longer in the view, or if it has replied since
        `OPENING_TIMEOUT_S` before the probe.
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
        """Return whether others in a target's failure domain can be reached.

        This is so if a peer there sends reports, or another target there has replied
        within `UNREACHABLE_AFTER_S`.
        """
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
            # The list of targets here may be stale. The caller repeats the packet
            # after 0.2 s.
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
        self.measure_opening(packet.flow, target, now)
        flow = self.flows.record_packet(packet.flow, target.name, now)
        flow.run = flow.run or target.started_ms
        self.track_progress(packet, flow, target.domain, now)
        proof = self.find_proof(flow, target, now)
        if proof is not None:
            self.suspicions.mark_unreachable(target.name, proof, now)
            self.reset_flows(target, packet.flow)
        # The flows that were known when the target was marked have been reset then. One
        # that came from another host, or was opened, since then may be answered.
        is_waiting = packet.data_bytes > 0 and flow.retransmissions > 0
        if is_waiting and self.suspicions.is_unreachable(target.name, now):
            self.reset(packet, reasons.Reason.TARGET_UNREACHABLE)
            return
        self.forward(packet, target)
        if packet.resetting or packet.closing:
            self.flows.remove(packet.flow)

    def track_progress(
        self, packet: fleetmodel.Packet, flow: flowtable.Flow, domain: str, now: float
    ) -> None:
        """Record replies, and new or repeated requests, that a packet reveals.

        `domain` is the failure domain of the flow's target.
        """
        if flow.acknowledged == flowtable.UNKNOWN_POSITION:
            # A single packet does not show whether the target has replied recently.
            flow.acknowledged = packet.acknowledged
        elif packet.acknowledged != flow.acknowledged:
            flow.acknowledged = packet.acknowledged
            if packet.data_bytes or packet.closing:
                # Callers acknowledge short answers only with the next data that they
                # send, so the time since the request is not its latency.
                self.flows.clear_request(flow)
            else:
                latency_s = self.flows.end_request(flow, now)
                if latency_s is not None:
                    self.counts.observe(latency_s)
            self.suspicions.record_reply(flow.target, domain, now)
        if not packet.data_bytes or self.is_late:
            # The times of packets that waited through a pause are not known.
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

    def find_proof(
        self, flow: flowtable.Flow, target: fleetmodel.Target, now: float
    ) -> str | None:
        """Return the proof by a flow's packets that its target is unreachable, if any.

        A live target acknowledges a repeated request at once, however long the request
        takes. The proof needs `UNREACHABLE_EVIDENCE` flows without replies, or a silent
        failure domain, and replies of other targets that show that the links of this
        host work. If a peer has confirmed it, one retransmission here is enough; the
        peer's report alone is not, since the peer's links may have failed.
        """
        request_sent_at = flow.request_sent_at
        if request_sent_at is None or self.suspicions.replied_since(
            target.name, request_sent_at
        ):
            return None
        if flow.retransmissions and self.suspicions.is_unreachable_at_peer(
            target.name, now
        ):
            return suspicion.PEER_PROOF if self.own_links_work(target, now) else None
        if (
            flow.retransmissions < MIN_RETRANSMISSIONS
            or now - request_sent_at < UNREACHABLE_AFTER_S
        ):
            return None
        too_few_flows = (
            self.suspicions.evidence_count(target.name, now) < UNREACHABLE_EVIDENCE
        )
        if too_few_flows and not self.chooser.is_domain_unreachable(target.domain, now):
            return None
        return "packets_without_reply" if self.own_links_work(target, now) else None

    def own_links_work(self, target: fleetmodel.Target, now: float) -> bool:
        """Return whether this host's links work, judged by other targets' replies.

        They work if most other targets in this host's failure domain have replied
        within `UNREACHABLE_AFTER_S`.
        """
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
        """Send a packet to a target, with the target's number and token in it."""
        self.counts.add("packets_total", outcome="forwarded")
        self.send(
            packets.for_target(packet, target.number, target.token), target.address
        )


def choose_service(route: fleetmodel.Route, flow_id: bytes) -> str:
    """Return the service for a new flow, chosen by the weights of the route.

    The choice depends on the route and the flow alone, so that all copies of an
    opening packet go to the same service whichever host receives them.
    """
    if len(route.split) == 1:
        return route.split[0][0]
    names = [name for name, _ in route.split]
    weights = [weight for _, weight in route.split]
    if sum(weights) <= 0:
        return names[0]
    return random.Random(flow_id).choices(names, weights)[0]
