"""Choice of the target for a new flow on the packet path."""

import collections.abc
import random

from basilgate import fleetview, flowtable, peertable, suspicion

# A target is slower by this factor while it is cold after its start.
COLD_FACTOR = 1.6  # Slow-down that the deployments state for a cold start.
# Running requests for each slot by which a near target may be busier than a far one.
# Flows that stay in their failure domain survive a cut of it.
OTHER_DOMAIN_EXTRA_LOAD = 0.3
SERVICE_IN_USE_S = 5.0  # Services without openings for so long do not count.
# Targets that are compared for one opening, so that its cost does not grow with the
# service; the best of so many is near the best of all.
MAX_COMPARED_TARGETS = 32
MIN_REQUESTS_PER_FLOW = (
    0.005  # Share of time in which an idle service's flow has a request.
)


class TargetChooser:
    """Chooses the least loaded target, near ones first.

    Parameters
    ----------
    view : fleetview.FleetView
        Targets by service.
    flows : flowtable.FlowTable
        Flows and running requests that pass here.
    peers : peertable.PeerTable
        Those that pass at other hosts.
    suspicions : suspicion.Suspicions
        Targets that seem to be gone.
    domain : str
        Failure domain of this host.
    rng : random.Random
        Decides between equals, so that hosts do not choose alike.
    """

    def __init__(
        self,
        view: fleetview.FleetView,
        flows: flowtable.FlowTable,
        peers: peertable.PeerTable,
        suspicions: suspicion.Suspicions,
        domain: str,
        rng: random.Random,
    ) -> None:
        self.view = view
        self.flows = flows
        self.peers = peers
        self.suspicions = suspicions
        self.domain = domain
        self.rng = rng
        # Time of the last opening by service.
        self.last_opening_at: dict[str, float] = {}

    def flows_and_requests(
        self, entry: fleetview.TargetEntry, now: float
    ) -> tuple[int, float]:
        """Return flows and running requests of a target on all hosts."""
        target = entry.target
        flows, running = self.peers.loads.get(target.token, (0, 0.0))
        return (
            flows + self.flows.open_flows[target.name],
            running + self.flows.running(target.name, now),
        )

    def loads(
        self, entries: collections.abc.Sequence[fleetview.TargetEntry], now: float
    ) -> list[float]:
        """Return the load of each target for each slot, with one more flow.

        The load is the mean of the requests that run, which shows slow targets, and
        of those that its flows usually have running, which shows flows that were
        placed a moment ago.
        """
        totals = [self.flows_and_requests(entry, now) for entry in entries]
        flows = sum(flow_count for flow_count, _ in totals)
        running = sum(requests for _, requests in totals)
        requests_per_flow = max(MIN_REQUESTS_PER_FLOW, running / max(1, flows))
        return [
            (requests + (flow_count + 1) * requests_per_flow)
            / 2
            / effective_slots(entry, now)
            for entry, (flow_count, requests) in zip(entries, totals, strict=True)
        ]

    def choose(
        self, service: str, tried_targets: collections.abc.Sequence[str], now: float
    ) -> tuple[fleetview.TargetEntry, float] | None:
        """Return a target for a new flow with its load, None if there is none.

        Targets that were tried, are suspect, or are in a failure domain that cannot
        be reached are taken only when no other is left.
        """
        self.last_opening_at[service] = now
        candidates = self.view.candidates(service)
        if not candidates:
            return None
        if len(candidates) > MAX_COMPARED_TARGETS:
            candidates = self.rng.sample(candidates, MAX_COMPARED_TARGETS)
        # Many entries lapse together if the store was away, a few if targets died.
        removed_count = sum(entry.closes_at is not None for entry in candidates)
        penalize_removed = removed_count * 2 < len(candidates)
        penalties = [
            self.penalty(entry, tried_targets, penalize_removed, now)
            for entry in candidates
        ]
        lowest_penalty = min(penalties)
        least_penalized = [
            entry
            for entry, penalty in zip(candidates, penalties, strict=True)
            if penalty == lowest_penalty
        ]
        loads = self.loads(least_penalized, now)

        def cost(index: int) -> tuple[float, float]:
            same_domain = least_penalized[index].target.domain == self.domain
            return loads[index] + (
                0 if same_domain else OTHER_DOMAIN_EXTRA_LOAD
            ), self.rng.random()

        chosen = min(range(len(least_penalized)), key=cost)
        return least_penalized[chosen], loads[chosen]

    def penalty(
        self,
        entry: fleetview.TargetEntry,
        tried_targets: collections.abc.Sequence[str],
        penalize_removed: bool,
        now: float,
    ) -> int:
        """Return how much speaks against a target; 0 if nothing does.

        `died` tells whether targets whose entries lapsed are rather dead.
        """
        name = entry.target.name
        penalty = 4 if name in tried_targets else 0
        if self.is_domain_unreachable(entry.target.domain, now):
            penalty += 2
        penalized_as_removed = penalize_removed and entry.closes_at is not None
        return penalty + (penalized_as_removed or self.suspicions.is_suspect(name, now))

    def is_isolated(self, now: float) -> bool:
        """Tell whether hosts of other failure domains would serve the callers better.

        That is so if no other failure domain can be reached, and a service that is
        asked for has no usable target here.
        """
        domains = self.peers.reachable_domains
        other_domains = [domain for domain in domains if domain != self.domain]
        if not other_domains or not all(
            self.is_domain_unreachable(domain, now) for domain in other_domains
        ):
            return False
        for service, last_opening_at in self.last_opening_at.items():
            candidates = self.view.candidates(service)
            if now - last_opening_at > SERVICE_IN_USE_S or not candidates:
                continue
            if not any(
                entry.target.domain == self.domain
                and not self.suspicions.is_suspect(entry.target.name, now)
                for entry in candidates
            ):
                return True
        return False

    def is_domain_unreachable(self, domain: str, now: float) -> bool:
        """Tell whether neither hosts nor targets of another domain reply."""
        if domain == self.domain or not self.peers.is_domain_silent(domain):
            return False
        since = now - suspicion.REPLY_AGE_LIMIT_S
        return not any(
            self.suspicions.replied_since(entry.target.name, since)
            for entry in self.view.entries.values()
            if entry.target.domain == domain
        )


def effective_slots(entry: fleetview.TargetEntry, now: float) -> float:
    """Return the slots of a target, fewer while it is cold or has a low weight."""
    slots = entry.target.slots * entry.relative_weight
    return slots / (COLD_FACTOR if now < entry.warm_at else 1.0)
