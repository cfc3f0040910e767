"""Estimate of the requests per slot of a service, over all hosts."""

import math

import msgspec

from basilgate import counters, fleetview, flowtable, peertable, targetchoice

# An estimate is used for this long: new reports change it no sooner.
ESTIMATE_AGE_LIMIT_S = peertable.REPORT_INTERVAL_S
# Smallest share of the known hosts, in the own failure domain and over all that can be
# reached, whose reports make an estimate.
MIN_HEARD_SHARE = 0.25


class RoomEstimate(msgspec.Struct, frozen=True, gc=False):
    """Requests per slot of the usable targets of a service, and what it rests on.

    Attributes
    ----------
    requests_per_slot : float
        Requests in progress, over all hosts, divided by the slots. About 1 if all slots
        are in use and queues are short.
    slots : int
        Slots of the usable targets.
    latency_s : float
        Mean latency of this host's requests to these targets, 0 if unknown.
    heard_share : float
        Share of the known hosts whose reports were used, the lower of that of the own
        failure domain and that of all that can be reached.
    oldest_at : float
        Time of the oldest report used, in seconds of the steady clock.
    trusted : bool
        Whether the estimate may be used to refuse flows.
    """

    requests_per_slot: float
    slots: int
    latency_s: float
    heard_share: float
    oldest_at: float
    trusted: bool


class RoomEstimator:
    """Estimates the requests per slot of a service.

    Not safe for threads: `ForwarderProcess.lock` guards each use. `now` is always
    `clock.steady_s()`.

    Parameters
    ----------
    chooser : targetchoice.TargetChooser
        Provides targets, flows, peers, suspicions, and unreachable failure domains.
    counts : counters.Counters
        Holds the last estimate of each service.
    """

    def __init__(
        self, chooser: targetchoice.TargetChooser, counts: counters.Counters
    ) -> None:
        self.chooser = chooser
        self.counts = counts
        # Last estimate with the time until which it is used, by service.
        self.estimates: dict[str, tuple[float, RoomEstimate]] = {}

    def estimate(self, service: str, now: float) -> RoomEstimate:
        """Return the estimate for a service, at most `ESTIMATE_AGE_LIMIT_S` old."""
        cached = self.estimates.get(service)
        if cached is not None and now < cached[0]:
            return cached[1]
        estimate = self.compute(service, now)
        self.estimates[service] = now + ESTIMATE_AGE_LIMIT_S, estimate
        self.counts.set_gauge(
            "room_requests_per_slot",
            estimate.requests_per_slot if estimate.trusted else -1.0,
            service=service,
        )
        return estimate

    def usable_targets(self, service: str, now: float) -> list[fleetview.TargetEntry]:
        """Return the targets of a service that can take a new flow.

        Suspect targets, those in unreachable failure domains, and those at their limit
        of flows are left out.
        """
        chooser = self.chooser
        configuration = chooser.view.configuration
        described = configuration.services.get(service) if configuration else None
        flow_limit = described.flow_limit if described is not None else None
        usable = []
        for entry in chooser.view.candidates(service):
            target = entry.target
            if chooser.is_domain_unreachable(target.domain, now):
                continue
            if chooser.suspicions.is_suspect(target.name, now):
                continue
            if (
                flow_limit is not None
                and chooser.flows.open_flows[target.name]
                + chooser.peers.loads.get(target.token, (0, 0.0))[0]
                >= flow_limit
            ):
                continue
            usable.append(entry)
        return usable

    def compute(self, service: str, now: float) -> RoomEstimate:
        """Return a new estimate for a service.

        The requests that a failure domain reports are scaled up from the hosts heard to
        all of its hosts that are alive. A failure domain without any host heard adds
        nothing.
        """
        chooser, peers = self.chooser, self.chooser.peers
        usable = self.usable_targets(service, now)
        slots = sum(entry.target.slots for entry in usable)
        tokens = [entry.target.token for entry in usable]
        names = [entry.target.name for entry in usable]
        latency_s, bias, requests = self.own_requests(names, now)
        known = peers.unreported_count
        heard = 0
        own_share = 1.0
        oldest_at = math.inf
        for domain, reported in peers.domain_loads.items():
            if chooser.is_domain_unreachable(domain, now):
                continue
            known += reported.known
            heard += reported.heard
            oldest_at = min(oldest_at, reported.oldest_at)
            if domain == chooser.domain:
                own_share = reported.heard / reported.known
            if reported.heard:
                scale = reported.recent / reported.heard
                loads = reported.loads
                requests += scale * sum(
                    loads[token][1] for token in tokens if token in loads
                )
        # Without known hosts this one may be the only one; its own requests are no more
        # than there are.
        heard_share = min(own_share, heard / known if known else 1.0)
        return RoomEstimate(
            requests / bias / slots if slots else 0.0,
            slots,
            latency_s,
            heard_share,
            oldest_at if heard else now,
            slots > 0 and latency_s > 0 and heard_share >= MIN_HEARD_SHARE,
        )

    def own_requests(self, names: list[str], now: float) -> tuple[float, float, float]:
        """Return mean latency, bias, and number of this host's requests in progress.

        The number contains the latency that is assumed for a target until answers
        replace it, far too long for most services. The bias is the factor by which it
        is too high; since requests are spread evenly, it is that of the peers as well.
        The latency is 0 if none was measured.
        """
        flows = self.chooser.flows
        requests = biased = rate = measured = 0.0
        for name in names:
            activity = flows.activities.get(name)
            if activity is None:
                continue
            running = activity.running(now)
            requests += running
            latency_s = activity.measured_latency_s()
            if latency_s is not None:
                weight = activity.recent_requests(now)
                biased += running
                rate += weight
                measured += weight * latency_s
        if measured <= 0:
            return 0.0, 1.0, requests
        return measured / rate, biased * flowtable.RATE_WINDOW_S / measured, requests
