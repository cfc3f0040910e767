"""Opening of flows: the owner of an open, its choice, and its memory."""

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

OPEN_MEMORY_S = 10.0
# Share of the weight of a target whose home reports that it ramps up.
REPORTED_RAMP = 0.3


@dataclasses.dataclass(slots=True)
class Opened:
    """Placement of a recent open; `forget_at` is on the monotonic clock."""

    token: bytes
    target: int
    forget_at: float


class FlowOpener:
    """Decides where new flows go.

    Parameters
    ----------
    members : membership.Membership
        Members of the own domain.
    own : ownedtargets.OwnedTargets
        Homes of this host.
    store : replica.Replica
        Views of the other domains.
    ring : tokens.KeyRing
        Keys that sign tokens.
    policy : placement.Policy
        Choice among the candidates.
    token_lifetime_s : int
        Lifetime of a token in seconds.
    """

    def __init__(
        self,
        members: membership.Membership,
        own: ownedtargets.OwnedTargets,
        store: replica.Replica,
        ring: tokens.KeyRing,
        policy: placement.Policy,
        token_lifetime_s: int,
    ) -> None:
        self.members = members
        self.own = own
        self.store = store
        self.ring = ring
        self.policy = policy
        self.token_lifetime_s = token_lifetime_s
        self.rng = random.Random(members.me.incarnation)
        self.config = effectiveconfig.EffectiveConfig()
        self.recent: dict[int, Opened] = {}
        # Flows placed since the home's last report, by target.
        self.placed: dict[int, int] = {}
        # Flows placed in the last seconds, by target.
        self.fresh: dict[int, health.Recent] = {}
        # Newest load that a home at another host reported, by target.
        self.reported: dict[int, typing.Any] = {}
        # Domain that an open was spilled to, and when to forget it (monotonic).
        self.spilled: dict[int, tuple[str, float]] = {}
        self.is_reachable: collections.abc.Callable[[str], bool] = lambda _: True

    # Who decides.

    def domain_for(self, frame: wire.Frame) -> str | None:
        """Return the failure domain that an open belongs to."""
        weights: dict[str, float] = {}
        for target in self.config.by_service.get(frame.service, []):
            if target.admits and self.is_reachable(target.domain):
                weight = weights.get(target.domain, 0.0)
                weights[target.domain] = weight + target.weight
        return rendezvous.pick_weighted(frame.flow, weights)

    def opening_host(
        self, domain: str, flow: int, attempt: int
    ) -> storedobjects.Member | None:
        """Return the member of a domain that decides on an open.

        Any member of another domain passes an open on to its owner there.
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

    # The decision.

    def candidates(self, service: int) -> list[placement.Candidate]:
        """Return the targets of the own domain that may get a new flow."""
        found = []
        for target in self.config.by_service.get(service, []):
            if target.domain != self.members.domain or not target.admits:
                continue
            candidate = self.candidate(target, self.reported.get(target.id))
            if candidate is not None:
                found.append(candidate)
        return health.usable(found, lambda candidate: candidate.healthy)

    def candidate(
        self, target: effectiveconfig.Target, reported: typing.Any
    ) -> placement.Candidate | None:
        """Return a target with its load, None if it cannot take a flow."""
        mine = self.own.owners.get(target.id)
        placed = self.placed.get(target.id, 0)
        recent = self.fresh.get(target.id)
        fresh = recent.at(anyio.current_time()) if recent is not None else 0.0
        if mine is not None:
            if len(mine.flows) >= target.connections:
                return None
            return placement.Candidate(
                target,
                len(mine.flows),
                mine.slots_in_use(),
                len(mine.queue),
                fresh=fresh,
                utilisation=mine.utilisation(),
                reported_load=mine.monitor.reported_busy / max(1, target.slots),
                ramp=mine.monitor.share(anyio.current_time()),
                healthy=mine.healthy,
                exact=True,
            )
        if reported is None:
            return placement.Candidate(target, placed=placed, fresh=fresh)
        load = reported
        if load.flows + placed >= target.connections:
            return None
        utilisation = load.utilisation_permille / 1_000
        return placement.Candidate(
            target,
            load.flows,
            load.in_flight,
            load.queued,
            placed,
            fresh,
            utilisation=utilisation,
            reported_load=utilisation,
            ramp=REPORTED_RAMP if load.state & ownedtargets.LOAD_RAMPING else 1.0,
            healthy=bool(load.state & ownedtargets.LOAD_HEALTHY),
        )

    def remembered(self, flow: int) -> Opened | None:
        """Return the placement of a recent open of the same flow."""
        opened = self.recent.get(flow)
        if opened is not None and opened.forget_at > anyio.current_time():
            return opened
        return None

    def decide(self, frame: wire.Frame) -> result.Result[Opened, reasons.Reason]:
        """Place a flow and remember where."""
        known = self.remembered(frame.flow)
        if known is not None:
            return result.Success(known)
        if frame.service not in self.config.services:
            return result.Failure(reasons.Reason.NO_SUCH_SERVICE)
        if not self.ring.keys:
            return result.Failure(reasons.Reason.NO_CONFIGURATION)
        found = self.candidates(frame.service)
        if not found:
            return result.Failure(reasons.Reason.NO_TARGET)
        target = self.policy(found, self.rng).target
        self.placed[target.id] = self.placed.get(target.id, 0) + 1
        self.fresh.setdefault(target.id, health.Recent()).add(anyio.current_time())
        opened = Opened(
            self.mint(target, frame.flow),
            target.id,
            anyio.current_time() + OPEN_MEMORY_S,
        )
        self.recent[frame.flow] = opened
        metrics.OPENS.inc({"service": str(frame.service), "outcome": "placed"})
        return result.Success(opened)

    def mint(self, target: effectiveconfig.Target, flow: int) -> bytes:
        """Return a token that assigns a flow to a target."""
        claims = tokens.Placement(
            target.service,
            target.id,
            self.config.domain_numbers.get(target.domain, 0),
            int(clock.unix_s()) + self.token_lifetime_s,
        )
        return tokens.mint(self.ring, claims, flow)

    def forget(self) -> None:
        """Drop opens that are past the memory, and counts now reported."""
        now = anyio.current_time()
        for flow in [f for f, o in self.recent.items() if o.forget_at <= now]:
            del self.recent[flow]
        for flow in [f for f, (_, at) in self.spilled.items() if at <= now]:
            del self.spilled[flow]

    def on_loads(self, loads: collections.abc.Iterable[typing.Any]) -> None:
        """Take in a report; the flows placed before it are counted in it."""
        for load in loads:
            self.placed.pop(load.target, None)
            self.reported[load.target] = load
