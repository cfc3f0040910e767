"""Choice of the target for each new flow in the forwarder."""

import collections.abc
import random

from basilgate import fleetview, flowtable, peertable, suspicion
from basilgate.policy import coldtargets, domainchoice

# Factor by which a target is slower while it is cold after its start, as the
# deployments state it. It does not follow from the configuration, whose `cold-per-s` is
# a rate: the factor would also need the service time.
COLD_FACTOR = 1.6
# Load in requests in progress per slot by which a target in the same failure domain may
# exceed one in another failure domain and still be preferred: flows that stay in their
# failure domain go on if it is cut off from the others.
OTHER_DOMAIN_EXTRA_LOAD = 0.3
# A service without a new flow for this long does not affect the readiness of the host.
SERVICE_IN_USE_S = 5.0
# Largest number of targets compared for one new flow, so that its cost does not grow
# with the service. The best of this many is close to the best of all.
MAX_COMPARED_TARGETS = 32
# Mean load in requests in progress per slot from which all slots of a target are in use
# half of the time, so that new flows spread over all failure domains.
FULL_LOAD = 0.8
# Multiple of the mean load above which a target is left out while most slots are in
# use: it is slower than the others.
SLOW_LOAD_FACTOR = 4.0
# Assumed share of time during which a flow of an idle service has a request in
# progress, so that targets with fewer flows are preferred there too.
MIN_REQUESTS_PER_FLOW = 0.005
# Penalty of a target that was already tried for a flow; lower ones add up to less.
TRIED_PENALTY = 4


class TargetChooser:
    """Chooses the least loaded target, with preference for the same failure domain.

    Not safe for threads: `ForwarderProcess.lock` guards each use. `now` is always
    `clock.steady_s()`.

    Parameters
    ----------
    view : fleetview.FleetView
        Provides the targets that may get new flows.
    flows : flowtable.FlowTable
        Provides the load that flows through this host put on a target.
    peers : peertable.PeerTable
        Provides the load that flows through other hosts put on a target, and the
        failure domains that can be reached.
    suspicions : suspicion.Suspicions
        Provides the targets to avoid.
    domain : str
        Failure domain of this host.
    rng : random.Random
        Chooses between targets of equal load, so that hosts do not all choose the same.
    limiter : coldtargets.ColdTargetLimiter or None
        Limits the flows to cold targets; without it they are chosen by their load.
    domain_choice : domainchoice.DomainChoice, optional
        Decides by how much the load of a target in another failure domain has to be
        lower. Without it that is `OTHER_DOMAIN_EXTRA_LOAD`.
    """

    def __init__(
        self,
        view: fleetview.FleetView,
        flows: flowtable.FlowTable,
        peers: peertable.PeerTable,
        suspicions: suspicion.Suspicions,
        domain: str,
        rng: random.Random,
        limiter: coldtargets.ColdTargetLimiter | None = None,
        domain_choice: domainchoice.DomainChoice | None = None,
    ) -> None:
        self.view = view
        self.flows = flows
        self.peers = peers
        self.suspicions = suspicions
        self.domain = domain
        self.rng = rng
        self.limiter = limiter
        self.domain_choice = domain_choice
        # Monotonic time of the last new flow in seconds, by service.
        self.last_opening_at: dict[str, float] = {}

    def flows_and_requests(
        self, entry: fleetview.TargetEntry, now: float
    ) -> tuple[int, float]:
        """Return the flows and the requests in progress at a target over all hosts."""
        target = entry.target
        flows, running = self.peers.loads.get(target.token, (0, 0.0))
        return (
            flows + self.flows.open_flows[target.name],
            running + self.flows.running(target.name, now),
        )

    def loads(
        self, entries: collections.abc.Sequence[fleetview.TargetEntry], now: float
    ) -> list[float]:
        """Return the load per slot of each target if it got one more flow.

        The load is the mean of two numbers of requests in progress: the actual one,
        which reveals slow targets, and the one expected for the target's flows, which
        accounts for flows that have not sent requests yet.
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
        self,
        service: str,
        tried_targets: collections.abc.Sequence[str],
        now: float,
        crowded: bool = False,
    ) -> tuple[fleetview.TargetEntry, float] | None:
        """Return a target for a new flow with its load per slot, None without any.

        Targets in `tried_targets`, suspect targets, and targets in unreachable failure
        domains are chosen only if no others are left. A cold target is chosen only
        within its limit; one whose limit is not enforced is also chosen if no other
        target is left that is neither suspect nor unreachable. The opening packet to
        the returned target counts against its limit. While most slots of the service
        are in use (`crowded`), the choice is random, see `draw`.
        """
        self.last_opening_at[service] = now
        candidates = self.view.candidates(service)
        if not candidates:
            return None
        usable = candidates
        reserve: list[fleetview.TargetEntry] = []
        if self.limiter is not None:
            usable, reserve = self.limiter.select(service, candidates, now)
        compared = self.sample(usable)
        # If most entries are removed at the same time, the store was unreachable for
        # the targets; if only some are, these targets have failed.
        judged = compared if usable is candidates else candidates
        removed_count = sum(entry.closes_at is not None for entry in judged)
        penalize_removed = removed_count * 2 < len(judged)
        penalties = [
            self.penalty(entry, tried_targets, penalize_removed, now)
            for entry in compared
        ]
        if reserve and all(penalty % TRIED_PENALTY for penalty in penalties):
            left = [
                entry
                for entry in usable
                if self.penalty(entry, (), penalize_removed, now) == 0
            ]
            compared = self.sample(left or [*usable, *reserve])
            penalties = [
                self.penalty(entry, tried_targets, penalize_removed, now)
                for entry in compared
            ]
        if not compared:
            if self.limiter is not None:
                self.limiter.record_refusal(service, now)
            return None
        lowest_penalty = min(penalties)
        least_penalized = [
            entry
            for entry, penalty in zip(compared, penalties, strict=True)
            if penalty == lowest_penalty
        ]
        loads = self.loads(least_penalized, now)
        extra_loads = {self.domain: 0.0}
        if self.domain_choice is not None:
            extra_loads = self.domain_choice.extra_loads(
                service, least_penalized, loads, now
            )

        def cost(index: int) -> tuple[float, float]:
            domain = least_penalized[index].target.domain
            extra_load = extra_loads.get(domain, OTHER_DOMAIN_EXTRA_LOAD)
            return loads[index] + extra_load, self.rng.random()

        if crowded:
            best_index = self.draw(least_penalized, loads, extra_loads, now)
        else:
            best_index = min(range(len(least_penalized)), key=cost)
        chosen = least_penalized[best_index]
        if self.limiter is not None:
            self.limiter.record_opening(chosen, now)
        if self.domain_choice is not None:
            self.domain_choice.record_placement(
                service, chosen.target.domain, loads[best_index], now
            )
        return chosen, loads[best_index]

    def draw(
        self,
        entries: collections.abc.Sequence[fleetview.TargetEntry],
        loads: collections.abc.Sequence[float],
        extra_loads: collections.abc.Mapping[str, float],
        now: float,
    ) -> int:
        """Return the index of a target drawn at random, in proportion to its slots.

        Loads are a second old, so hosts that all choose the least loaded target, or the
        better of two, fill its queue together. The target is of the own failure domain
        unless the mean load there is above `FULL_LOAD`, or above that of the others by
        their extra load. Targets that are far busier than the mean are left out.
        """
        near = [i for i, entry in enumerate(entries) if self.is_near(entry)]
        far = [i for i, entry in enumerate(entries) if not self.is_near(entry)]
        drawn_from = near or far
        if near and far:
            near_load = sum(loads[i] for i in near) / len(near)
            far_load = sum(
                loads[i]
                + extra_loads.get(entries[i].target.domain, OTHER_DOMAIN_EXTRA_LOAD)
                for i in far
            ) / len(far)
            if near_load > min(FULL_LOAD, far_load):
                drawn_from = near + far
        limit = SLOW_LOAD_FACTOR * sum(loads[i] for i in drawn_from) / len(drawn_from)
        drawn_from = [i for i in drawn_from if loads[i] <= limit]
        slots = [effective_slots(entries[i], now) for i in drawn_from]
        return self.rng.choices(drawn_from, slots)[0]

    def is_near(self, entry: fleetview.TargetEntry) -> bool:
        """Return whether a target is in the failure domain of this host."""
        return entry.target.domain == self.domain

    def sample(
        self, entries: list[fleetview.TargetEntry]
    ) -> list[fleetview.TargetEntry]:
        """Return the targets, or `MAX_COMPARED_TARGETS` of them if they are more."""
        if len(entries) <= MAX_COMPARED_TARGETS:
            return entries
        return self.rng.sample(entries, MAX_COMPARED_TARGETS)

    def penalty(
        self,
        entry: fleetview.TargetEntry,
        tried_targets: collections.abc.Sequence[str],
        penalize_removed: bool,
        now: float,
    ) -> int:
        """Return a rank of reasons to avoid a target, 0 if there is none.

        A target already tried for the flow ranks worst, then one in an unreachable
        failure domain, then one that is suspect. `penalize_removed` is whether a target
        removed from the store counts as suspect.
        """
        name = entry.target.name
        penalty = TRIED_PENALTY if name in tried_targets else 0
        if self.is_domain_unreachable(entry.target.domain, now):
            penalty += 2
        penalized_as_removed = penalize_removed and entry.closes_at is not None
        return penalty + (penalized_as_removed or self.suspicions.is_suspect(name, now))

    def is_isolated(self, now: float) -> bool:
        """Return whether callers should use hosts of other failure domains instead.

        This is so if this host can reach none of the other failure domains that it
        knows, and in its own failure domain all targets of a service in use are suspect
        or there are none.
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
        """Return whether neither hosts nor targets of another failure domain reply."""
        if domain == self.domain or not self.peers.is_domain_silent(domain):
            return False
        return not self.suspicions.domain_replied_since(
            domain, now - suspicion.REPLY_AGE_LIMIT_S
        )


def effective_slots(entry: fleetview.TargetEntry, now: float) -> float:
    """Return the slots of a target, scaled by its weight and fewer while it is cold."""
    slots = entry.target.slots * entry.relative_weight
    return slots / (COLD_FACTOR if now < entry.warm_at else 1.0)
