"""Sharing of load between targets and between failure domains.

`load_transfer` follows "The load transfer model" (Bernard Ycart; summary by Philippe
Robert, INRIA 1996): a request that arrives at a full node moves down the gradient of
the load to a local minimum among the neighbours, and a node that empties takes over
work from a fuller neighbour.
"""

import collections.abc
import dataclasses
import typing

import anyio

from basilgate import (
    metrics,
    placement,
    registry,
    requestrecords,
    retries,
    targetowner,
    wire,
)
from peerproto import ttypes

# With 8 failure domains a host sends and receives 28 pings a second. The loads of
# more services in each would exceed the budget of 24 KB a second.
SERVICES_PER_PING = 5
# A load that another domain reported is used for this time.
DOMAIN_LOAD_LIFETIME_S = 5.0
# Time that a request needs on its way to another home, with a reserve.
MOVE_TIME_MS = 20


@dataclasses.dataclass(slots=True)
class Load:
    """Load of a target or of a domain's targets of one service.

    `sent` is the work sent there since its last report.
    """

    name: str
    busy: float
    slots: int
    queued: int
    sent: int = 0

    @property
    def relative(self) -> float:
        """Requests for each slot."""
        return (self.busy + self.queued + self.sent) / max(self.slots, 1)

    @property
    def is_full(self) -> bool:
        """Whether no slot is free."""
        return self.relative >= 1.0


Loads = collections.abc.Sequence[Load]


class SharingPolicy(typing.Protocol):
    """What decides whether work goes to a neighbour."""

    # Whether waiting work moves when a neighbour reports room.
    moves_waiting: bool

    def choose(self, own: Load, others: Loads) -> Load | None:
        """Return the neighbour that an arrival goes to, None to keep it."""


POLICIES: registry.Registry[collections.abc.Callable[[], SharingPolicy]] = (
    registry.Registry("spill policy")
)


@POLICIES.register("none")
class NoSpill:
    """Keeps all work where it arrives."""

    moves_waiting = False

    def choose(self, own: Load, others: Loads) -> Load | None:  # noqa: ARG002
        """Keep the arrival."""
        return None


@POLICIES.register("one_hop")
class OneHop:
    """Sends what arrives at a full node to the least loaded one with room."""

    moves_waiting = False

    def choose(self, own: Load, others: Loads) -> Load | None:
        """Return the least loaded neighbour if it has a free slot."""
        if not own.is_full or not others:
            return None
        least = min(others, key=lambda load: load.relative)
        return None if least.is_full else least


@POLICIES.register("load_transfer")
class LoadTransfer:
    """Moves work down the gradient of the load, also between full nodes.

    All nodes of a domain are neighbours, so that the least loaded neighbour is
    the local minimum and one step reaches it.
    """

    moves_waiting = True

    def choose(self, own: Load, others: Loads) -> Load | None:
        """Return the least loaded neighbour if the arrival is better off there."""
        if not own.is_full or not others:
            return None
        least = min(others, key=lambda load: load.relative)
        # A step must lead downwards with the request counted on both sides.
        gain = own.relative - least.relative - 1 / max(least.slots, 1)
        return least if gain > 0 else None


def load_of(candidate: placement.Candidate, sent: int = 0) -> Load:
    """Return the load of a target."""
    return Load(
        str(candidate.target.id),
        candidate.in_flight,
        candidate.target.slots,
        candidate.queued,
        sent,
    )


def total_load(name: str, candidates: placement.Candidates) -> Load:
    """Return the load of several targets together."""
    return Load(
        name,
        sum(placement.busy_slots(c) - c.queued for c in candidates),
        sum(c.target.slots for c in candidates),
        sum(c.queued for c in candidates),
    )


class DomainLoads:
    """Loads of the services in the failure domains, as pings carry them."""

    def __init__(self) -> None:
        # Load and its expiry on the monotonic clock, by service and domain.
        self.by_service: dict[int, dict[str, tuple[Load, float]]] = {}
        # Services that were full here, and until when pings ask for them.
        self.wanted_until: dict[int, float] = {}
        self.next_index = 0

    def update(self, domain: str, loads: collections.abc.Iterable[typing.Any]) -> None:
        """Take in the loads that another domain reports."""
        expires_at = anyio.current_time() + DOMAIN_LOAD_LIFETIME_S
        for part in loads:
            slots = part.flows
            busy = slots * part.utilisation_permille / 1_000
            load = Load(domain, busy, slots, part.queued)
            self.by_service.setdefault(part.target, {})[domain] = (load, expires_at)

    def current_loads(
        self, service: int, is_reachable: collections.abc.Callable[[str], bool]
    ) -> list[Load]:
        """Return the loads of a service in the other domains known lately."""
        now = anyio.current_time()
        return [
            load
            for domain, (load, expires_at) in self.by_service.get(service, {}).items()
            if expires_at > now and is_reachable(domain) and load.slots
        ]

    def least(
        self, service: int, is_reachable: collections.abc.Callable[[str], bool]
    ) -> Load | None:
        """Return the least loaded other domain if it has a free slot."""
        self.request_load(service)
        others = self.current_loads(service, is_reachable)
        least = min(others, key=lambda load: load.relative, default=None)
        return None if least is None or least.is_full else least

    def domain_for_open(
        self,
        policy: SharingPolicy,
        service: int,
        candidates: placement.Candidates,
        is_reachable: collections.abc.Callable[[str], bool],
    ) -> str | None:
        """Return the domain that an open goes to, None to keep it here."""
        own = total_load("", candidates)
        if not own.slots:
            return None
        if own.is_full:
            self.request_load(service)
        chosen = policy.choose(own, self.current_loads(service, is_reachable))
        if chosen is None:
            return None
        chosen.sent += 1
        return chosen.name

    def request_load(self, service: int) -> None:
        """Ask other domains for a service's load with the next pings."""
        self.wanted_until[service] = anyio.current_time() + DOMAIN_LOAD_LIFETIME_S

    def asked(self, services: collections.abc.Sequence[int]) -> list[int]:
        """Return the services that a ping asks for, some at a time.

        With few services all of them, otherwise those that are full here: pings
        cannot carry the loads of 1,400 services.
        """
        if len(services) <= SERVICES_PER_PING:
            return list(services)
        now = anyio.current_time()
        self.wanted_until = {
            s: until for s, until in self.wanted_until.items() if until > now
        }
        services_wanted = list(self.wanted_until)
        chosen = [
            services_wanted[(self.next_index + offset) % len(services_wanted)]
            for offset in range(min(SERVICES_PER_PING, len(services_wanted)))
        ]
        self.next_index += SERVICES_PER_PING
        return chosen

    def report(
        self,
        services: collections.abc.Iterable[int],
        candidates: collections.abc.Callable[[int], list[placement.Candidate]],
    ) -> list[typing.Any]:
        """Return the own domain's loads of some services for a ping.

        A part has the service in `target` and its number of slots in `flows`.
        """
        parts = []
        for service in services:
            load = total_load("", candidates(service))
            busy = int(1_000 * load.busy / max(load.slots, 1))
            queued = min(load.queued, 32_767)
            parts.append(ttypes.TargetLoad(service, 0, queued, load.slots, 1, busy))
        return parts


class LoadSharer:
    """Moves idempotent requests that wait at a full target to another one.

    Parameters
    ----------
    policy : SharingPolicy
        Decision.
    passing : retries.RequestPassing
        Way to the other target.
    """

    def __init__(self, policy: SharingPolicy, passing: retries.RequestPassing) -> None:
        self.policy = policy
        self.passing = passing
        # Requests moved to a target since its home last reported.
        self.sent_since_report: dict[int, int] = {}
        # Returns a target of another domain that has room, None if there is none.
        self.elsewhere: collections.abc.Callable[[int], placement.Candidate | None] = (
            lambda _: None
        )

    def on_report(self, target: int) -> None:
        """Forget what was moved to a target that has just reported."""
        self.sent_since_report.pop(target, None)

    async def move(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> bool:
        """Move a request that has not been forwarded; False keeps it."""
        if not record.idempotent or record.frame is None or record.received_pass_flags:
            return False
        if owner.awaiting_from or owner.handed_over_to:
            return False
        service_s = owner.admission.service_s(record.work_class)
        left_ms = record.deadline_ms - targetowner.now_ms()
        if left_ms < 1000 * service_s + MOVE_TIME_MS:
            # It would arrive too late to be answered or refused there.
            return False
        # Beside long work, the last free slot is kept for what cannot move.
        kept = 1 if owner.long_running() else 0
        busy = owner.slots_in_use() + kept
        own = Load("", busy, owner.target.slots, len(owner.queue))
        if owner.healthy and not own.is_full:
            return False
        chosen = self.choose(owner, own)
        if chosen is None:
            return False
        if not chosen.exact:
            self.sent_since_report[chosen.target.id] = (
                self.sent_since_report.get(chosen.target.id, 0) + 1
            )
        metrics.SPILLED.inc({"service": owner.service.name, "kind": "request"})
        await self.passing.send(owner, record, chosen, wire.FLAG_SPILLED)
        return True

    def choose(
        self, owner: targetowner.TargetOwner, own: Load
    ) -> placement.Candidate | None:
        """Return the target that a request goes to, None to keep it."""
        by_name = {
            str(candidate.target.id): candidate
            for candidate in self.passing.candidates(owner.target.service)
            if candidate.target.id != owner.target.id
        }
        loads = [
            load_of(candidate, self.sent_since_report.get(candidate.target.id, 0))
            for candidate in by_name.values()
        ]
        if not owner.healthy:
            # Whatever waits at a target without answers is better off elsewhere.
            own = dataclasses.replace(own, queued=1_000_000)
        chosen = self.policy.choose(own, loads)
        if chosen is not None:
            return by_name[chosen.name]
        if isinstance(self.policy, NoSpill) or any(not load.is_full for load in loads):
            return None
        return self.elsewhere(owner.target.service)

    async def rebalance(self, owner: targetowner.TargetOwner) -> None:
        """Move waiting work after a report, if a neighbour has taken up less."""
        if not (self.policy.moves_waiting or not owner.healthy):
            return
        for entry in list(owner.queue.waiting()):
            record = owner.records.get(entry.key)
            if record is None or not record.idempotent or record.received_pass_flags:
                continue
            if not owner.queue.remove(entry.key):
                continue
            if not await self.move(owner, record):
                owner.queue.push(entry)
                return
