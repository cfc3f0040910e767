"""Load sharing: moves work between targets and between failure domains.

`load_transfer` follows "The load transfer model" (Bernard Ycart; summary by Philippe
Robert, INRIA 1996): a request that arrives at a full node moves to less loaded
neighbours until none is less loaded, and a node that becomes idle receives work from
a more loaded neighbour. Here the nodes are the targets of a service in one failure
domain, or the failure domains.
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

# Loads carried by one ping to another failure domain. With 8 domains a host sends and
# receives 28 pings a second: each second it pings one host in each of the 7 others, is
# pinged as often on average, and each ping is answered by one. More loads in each would
# exceed the 24 KB a second that control messages may take.
SERVICES_PER_PING = 5
# Time for which a load reported by another domain is used, and for which pings ask
# for a service's load after it was needed.
DOMAIN_LOAD_LIFETIME_S = 5.0
# Time that a request needs to reach another owner, with a reserve.
MOVE_TIME_MS = 20


@dataclasses.dataclass(slots=True)
class Load:
    """Load of a target, or of all targets of one service in a failure domain.

    Attributes
    ----------
    name : str
        Target id or name of the failure domain; empty for this host's own.
    busy : float
        Number of slots in use.
    slots, queued : int
        Number of slots and of queued requests.
    sent : int
        Number of requests or flows sent there since its last report.
    """

    name: str
    busy: float
    slots: int
    queued: int
    sent: int = 0

    @property
    def relative(self) -> float:
        """Running, queued, and sent requests per slot."""
        return (self.busy + self.queued + self.sent) / max(self.slots, 1)

    @property
    def is_full(self) -> bool:
        """Whether no slot is free."""
        return self.relative >= 1.0


Loads = collections.abc.Sequence[Load]


class SharingPolicy(typing.Protocol):
    """Interface of a policy that decides where the work of a full target goes."""

    # Whether queued requests move too when another target reports room.
    moves_queued: bool

    def choose(self, own: Load, others: Loads) -> Load | None:
        """Return the load of the node that a request goes to, None to keep it here."""


POLICIES: registry.Registry[collections.abc.Callable[[], SharingPolicy]] = (
    registry.Registry("load sharing policy")
)


@POLICIES.register("none")
class NoSharing:
    """Keeps all work where it arrives."""

    moves_queued = False

    def choose(self, own: Load, others: Loads) -> Load | None:  # noqa: ARG002
        """Return None: the request stays."""
        return None


@POLICIES.register("one_hop")
class OneHop:
    """Sends a request at a full node to the least loaded node with a free slot."""

    moves_queued = False

    def choose(self, own: Load, others: Loads) -> Load | None:
        """Return the least loaded other node if it has a free slot."""
        if not own.is_full or not others:
            return None
        least = min(others, key=lambda load: load.relative)
        return None if least.is_full else least


@POLICIES.register("load_transfer")
class LoadTransfer:
    """Sends a request at a full node to the least loaded node, even if that is full.

    All nodes of a failure domain are neighbours in the sense of the model, so one
    step leads to the least loaded node.
    """

    moves_queued = True

    def choose(self, own: Load, others: Loads) -> Load | None:
        """Return the least loaded other node if it would still be less loaded."""
        if not own.is_full or not others:
            return None
        least = min(others, key=lambda load: load.relative)
        # The load there with the request must stay below the load here without it.
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
    """Return the summed load of several targets."""
    return Load(
        name,
        # `busy_slots` includes the queued requests, which `Load` counts separately.
        sum(placement.busy_slots(c) - c.queued for c in candidates),
        sum(c.target.slots for c in candidates),
        sum(c.queued for c in candidates),
    )


class DomainLoads:
    """Loads of services in other failure domains, exchanged by domain pings."""

    def __init__(self) -> None:
        # Load and monotonic time of its expiry, by service id and failure domain.
        self.by_service: dict[int, dict[str, tuple[Load, float]]] = {}
        # Monotonic time until which pings ask for the load of a service, by service id.
        self.wanted_until: dict[int, float] = {}
        # Index of the next of these services to ask for, as a ping has room for few.
        self.next_index = 0

    def update(self, domain: str, loads: collections.abc.Iterable[typing.Any]) -> None:
        """Store the loads reported by another domain.

        As in `report`, `target` is the service id and `flows` the number of slots.
        """
        expires_at = anyio.current_time() + DOMAIN_LOAD_LIFETIME_S
        for reported in loads:
            slots = reported.flows
            busy = slots * reported.utilisation_permille / 1_000
            load = Load(domain, busy, slots, reported.queued)
            self.by_service.setdefault(reported.target, {})[domain] = (load, expires_at)

    def current_loads(
        self, service: int, is_reachable: collections.abc.Callable[[str], bool]
    ) -> list[Load]:
        """Return the unexpired loads of a service in other, reachable domains."""
        now = anyio.current_time()
        return [
            load
            for domain, (load, expires_at) in self.by_service.get(service, {}).items()
            if expires_at > now and is_reachable(domain) and load.slots
        ]

    def least(
        self, service: int, is_reachable: collections.abc.Callable[[str], bool]
    ) -> Load | None:
        """Return the load of the least loaded other domain, None if it is full.

        Also has the next pings ask for the load of the service.
        """
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
        """Return the failure domain for a new flow, None to open it here."""
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
        """Have the next pings ask other domains for the load of a service."""
        self.wanted_until[service] = anyio.current_time() + DOMAIN_LOAD_LIFETIME_S

    def asked(self, services: collections.abc.Sequence[int]) -> list[int]:
        """Return the ids of the services whose loads the next ping asks for.

        With up to `SERVICES_PER_PING` services these are all. Otherwise only services
        that are full here are asked for, in turn: pings cannot carry the loads of all
        services of a large sheet, such as 1,400.
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
        """Return this domain's loads of the given services, for a ping.

        In these, `target` is the service id and `flows` the number of slots.
        """
        parts = []
        for service in services:
            load = total_load("", candidates(service))
            busy = int(1_000 * load.busy / max(load.slots, 1))
            queued = min(load.queued, 32_767)
            # `update` does not read the number of requests in progress, 0 here, and the
            # state, 1 for healthy.
            parts.append(ttypes.TargetLoad(service, 0, queued, load.slots, 1, busy))
        return parts


class LoadSharer:
    """Moves idempotent requests from full or unhealthy targets to other targets.

    Parameters
    ----------
    policy : SharingPolicy
        Decides whether and where a request moves.
    passing : retries.RequestPassing
        Passes the request on to the chosen target.
    """

    def __init__(self, policy: SharingPolicy, passing: retries.RequestPassing) -> None:
        self.policy = policy
        self.passing = passing
        # Number of requests moved to a target since its owner last reported, by
        # target id.
        self.sent_since_report: dict[int, int] = {}
        # Returns a target of the given service in another failure domain that has
        # room, None without such a domain or target.
        self.elsewhere: collections.abc.Callable[[int], placement.Candidate | None] = (
            lambda _: None
        )

    def on_report(self, target: int) -> None:
        """Reset the count of a target whose owner has reported a new load."""
        self.sent_since_report.pop(target, None)

    async def move(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> bool:
        """Move a request that was not forwarded yet; return False if it stays."""
        if not record.idempotent or record.frame is None or record.received_pass_flags:
            return False
        if owner.awaiting_from or owner.handed_over_to:
            return False
        service_s = owner.admission.service_s(record.work_class)
        left_ms = record.deadline_ms - targetowner.now_ms()
        if left_ms < 1000 * service_s + MOVE_TIME_MS:
            # It would arrive too late to be answered or refused in time.
            return False
        # While long work runs, the last free slot is kept for requests that cannot
        # move.
        reserved_slots = 1 if owner.long_running() else 0
        busy = owner.slots_in_use() + reserved_slots
        own = Load("", busy, owner.target.slots, len(owner.queue))
        if owner.healthy and not own.is_full:
            return False
        chosen = self.choose(owner, own)
        if chosen is None:
            return False
        # The load of a target that this host owns (`exact`) is counted without delay,
        # so it includes the request from now on.
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
        """Return the target that a request moves to, None if it stays.

        Other failure domains are tried only if all targets of this one are full.
        """
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
            # An unhealthy target counts as more loaded than any other.
            own = dataclasses.replace(own, queued=1_000_000)
        chosen = self.policy.choose(own, loads)
        if chosen is not None:
            return by_name[chosen.name]
        if isinstance(self.policy, NoSharing) or any(
            not load.is_full for load in loads
        ):
            return None
        return self.elsewhere(owner.target.service)

    async def rebalance(self, owner: targetowner.TargetOwner) -> None:
        """Move queued requests to other targets until the policy keeps one.

        Does nothing at a healthy target unless the policy moves queued requests.
        """
        if not (self.policy.moves_queued or not owner.healthy):
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
