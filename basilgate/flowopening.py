"""Opening of flows: which host places a flow, and on which target.

Rendezvous hashing of the flow id gives each flow an opening host. It chooses the
target and remembers its choice, so that a repeated OPEN gets the same target.
"""

import collections.abc
import dataclasses
import random
import typing

import anyio
from returns import result

from basilgate import (
    clock,
    effectiveconfig,
    health,
    membership,
    metrics,
    ownedtargets,
    placement,
    reasons,
    rendezvous,
    replica,
    storedobjects,
    tokens,
    wire,
)

# Time for which a repeated OPEN gets the placement of the first one.
PLACEMENT_MEMORY_S = 10.0
# Share of its weight that a ramping target of another host gets: that host reports
# only that the target ramps up, not how far.
REMOTE_RAMP_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class RecentPlacement:
    """Token and target of a flow placed here; `expires_at` is monotonic, in s."""

    token: bytes
    target_id: int
    expires_at: float


class FlowOpener:
    """Chooses the failure domain, the opening host, and the target of new flows.

    Used on the event loop's thread only.

    Parameters
    ----------
    members : membership.Membership
        Members of this domain, among which the opening host is chosen.
    owned_targets : ownedtargets.OwnedTargets
        Targets that this host owns, whose load is known without delay.
    store : replica.Replica
        Replica with the views of the other domains.
    ring : tokens.KeyRing
        Keys that sign tokens.
    policy : placement.Policy
        Chooses one of the candidates.
    token_lifetime_s : int
        Seconds until a new token expires.
    """

    def __init__(
        self,
        members: membership.Membership,
        owned_targets: ownedtargets.OwnedTargets,
        store: replica.Replica,
        ring: tokens.KeyRing,
        policy: placement.Policy,
        token_lifetime_s: int,
    ) -> None:
        self.members = members
        self.owned_targets = owned_targets
        self.store = store
        self.ring = ring
        self.policy = policy
        self.token_lifetime_s = token_lifetime_s
        self.rng = random.Random(members.me.incarnation)
        self.config = effectiveconfig.EffectiveConfig()
        self.recent_placements: dict[int, RecentPlacement] = {}
        # Number of flows placed here since the owner's last report, by target.
        self.placed_since_report: dict[int, int] = {}
        # Fading count of the flows placed here in the last seconds, by target.
        self.recent_counts: dict[int, health.Recent] = {}
        # Newest load that an owner at another host reported, by target.
        self.reported_loads: dict[int, typing.Any] = {}
        # Domain that load sharing chose for an OPEN, and when (monotonic) the choice
        # expires, by flow.
        self.shared_opens: dict[int, tuple[str, float]] = {}
        # Returns whether a failure domain can be reached.
        self.is_reachable: collections.abc.Callable[[str], bool] = lambda _: True

    # Opening host.

    def domain_for(self, frame: wire.Frame) -> str | None:
        """Return the failure domain of a new flow, None if no target admits flows.

        The flow id decides, in proportion to the weights of the domains' targets.
        """
        weights: dict[str, float] = {}
        for target in self.config.by_service.get(frame.service, []):
            if target.admits and self.is_reachable(target.domain):
                weight = weights.get(target.domain, 0.0)
                weights[target.domain] = weight + target.weight
        return rendezvous.pick_weighted(frame.flow, weights)

    def opening_host(
        self, domain: str, flow: int, attempt: int
    ) -> storedobjects.Member | None:
        """Return the member of a domain that places a flow, None without members.

        For another domain, retransmissions (`attempt` > 0) select other members:
        any member there relays the OPEN to the opening host.
        """
        if domain == self.members.domain:
            members = self.members.members()
            name = rendezvous.pick(flow, self.members.staying() or members)
            return members[name] if name is not None else None
        view = self.store.parsed.get(storedobjects.VIEW_PREFIX + domain)
        if not isinstance(view, storedobjects.View):
            return None
        by_host = {member.host: member for member in view.members}
        name = rendezvous.pick_next(flow, by_host, attempt)
        return by_host[name] if name is not None else None

    # Placement.

    def candidates(self, service: int) -> list[placement.Candidate]:
        """Return the targets of this domain that may get a new flow of a service."""
        candidates = []
        for target in self.config.by_service.get(service, []):
            if target.domain != self.members.domain or not target.admits:
                continue
            candidate = self.candidate_for(target, self.reported_loads.get(target.id))
            if candidate is not None:
                candidates.append(candidate)
        return health.usable(candidates, lambda candidate: candidate.healthy)

    def candidate_for(
        self, target: effectiveconfig.Target, reported: typing.Any
    ) -> placement.Candidate | None:
        """Return a target with its load, None if all its connections are used.

        Parameters
        ----------
        target : effectiveconfig.Target
            The target.
        reported : ttypes.TargetLoad or None
            Newest load that its owner reported; not used for a target of this host.
        """
        owner = self.owned_targets.owners.get(target.id)
        placed_since_report = self.placed_since_report.get(target.id, 0)
        recent_count = self.recent_counts.get(target.id)
        recently_placed = (
            recent_count.at(anyio.current_time()) if recent_count is not None else 0.0
        )
        if owner is not None:
            if len(owner.flows) >= target.connections:
                return None
            return placement.Candidate(
                target,
                len(owner.flows),
                owner.slots_in_use(),
                len(owner.queue),
                recently_placed=recently_placed,
                utilisation=owner.utilisation(),
                reported_load=owner.monitor.reported_busy / max(1, target.slots),
                ramp=owner.monitor.share(anyio.current_time()),
                healthy=owner.healthy,
                exact=True,
            )
        if reported is None:
            return placement.Candidate(
                target,
                placed_since_report=placed_since_report,
                recently_placed=recently_placed,
            )
        load = reported
        if load.flows + placed_since_report >= target.connections:
            return None
        utilisation = load.utilisation_permille / 1_000
        return placement.Candidate(
            target,
            load.flows,
            load.in_flight,
            load.queued,
            placed_since_report,
            recently_placed,
            utilisation=utilisation,
            reported_load=utilisation,
            ramp=REMOTE_RAMP_SHARE if load.state & ownedtargets.LOAD_RAMPING else 1.0,
            healthy=bool(load.state & ownedtargets.LOAD_HEALTHY),
        )

    def find_recent(self, flow: int) -> RecentPlacement | None:
        """Return the placement of a flow within `PLACEMENT_MEMORY_S`, else None."""
        recent = self.recent_placements.get(flow)
        if recent is not None and recent.expires_at > anyio.current_time():
            return recent
        return None

    def place_flow(
        self, frame: wire.Frame
    ) -> result.Result[RecentPlacement, reasons.Reason]:
        """Choose and record the target of a flow, or return why it cannot be opened."""
        recent = self.find_recent(frame.flow)
        if recent is not None:
            return result.Success(recent)
        if frame.service not in self.config.services:
            return result.Failure(reasons.Reason.NO_SUCH_SERVICE)
        if not self.ring.keys:
            return result.Failure(reasons.Reason.NO_CONFIGURATION)
        candidates = self.candidates(frame.service)
        if not candidates:
            return result.Failure(reasons.Reason.NO_TARGET)
        target = self.policy(candidates, self.rng).target
        self.placed_since_report[target.id] = (
            self.placed_since_report.get(target.id, 0) + 1
        )
        self.recent_counts.setdefault(target.id, health.Recent()).add(
            anyio.current_time()
        )
        new_placement = RecentPlacement(
            self.mint(target, frame.flow),
            target.id,
            anyio.current_time() + PLACEMENT_MEMORY_S,
        )
        self.recent_placements[frame.flow] = new_placement
        metrics.OPENS.inc({"service": str(frame.service), "outcome": "placed"})
        return result.Success(new_placement)

    def mint(self, target: effectiveconfig.Target, flow: int) -> bytes:
        """Return a signed token that assigns a flow to a target."""
        claims = tokens.Placement(
            target.service,
            target.id,
            self.config.domain_numbers.get(target.domain, 0),
            int(clock.unix_s()) + self.token_lifetime_s,
        )
        return tokens.mint(self.ring, claims, flow)

    def evict_expired(self) -> None:
        """Remove the expired placements and load sharing choices."""
        now = anyio.current_time()
        for flow in [
            f for f, o in self.recent_placements.items() if o.expires_at <= now
        ]:
            del self.recent_placements[flow]
        for flow in [f for f, (_, at) in self.shared_opens.items() if at <= now]:
            del self.shared_opens[flow]

    def on_loads(self, loads: collections.abc.Iterable[typing.Any]) -> None:
        """Record the loads that an owner reported.

        They include the flows placed before, so counting these starts at zero again.
        """
        for load in loads:
            self.placed_since_report.pop(load.target, None)
            self.reported_loads[load.target] = load
