"""Membership of a failure domain: view, heartbeats, and the home's lease.

The protocol and its timing argument are in docs/design.md, section 6.
"""

import collections.abc
import dataclasses
import random
import time
import typing

import anyio
import anyio.abc
import logbook
import pydantic
from returns import result

from basilgate import (
    controlmessages,
    logs,
    metrics,
    platformapi,
    reasons,
    rendezvous,
    replica,
    settings,
    storedobjects,
)
from peerproto import ttypes

LOGGER = logbook.Logger("membership")

# The interval grows with the domain, so that heartbeats stay within the control
# budget: 69 members cost about 65 messages a second each way.
MIN_HEARTBEAT_INTERVAL_S = 0.5
HEARTBEATS_PER_S = 64
# Loads are sent less often than heartbeats in large domains: with 9 targets at each
# of 69 members they would otherwise take 14 KB of the 24 KB a second.
LOAD_REPORTS_PER_S = 24
SUSPECT_AFTER_INTERVAL_S = 1.1
DEAD_AFTER_INTERVAL_S = 1.7
LEASE_S = 5.0
CLOCK_SKEW_S = 0.25
# A copy of a datagram does not arrive later than this after its first copy.
DATAGRAM_LIFETIME_S = 2.0
# The former home may forward until its lease ends, and a duplicate of what it
# forwarded last may arrive here within a datagram's lifetime.
TAKEOVER_WAIT_S = LEASE_S + CLOCK_SKEW_S + DATAGRAM_LIFETIME_S
# A joiner does not wait for the confirmation of a member silent for this long.
JOIN_SILENCE_LIMIT_S = 30.0
JOIN_RETRY_S = 0.5
# At most 8 s between two attempts to join.
JOIN_BACKOFF_DOUBLINGS = 4
# The last heartbeat is repeated because a datagram can be lost.
FINAL_HEARTBEAT_COPIES = 3
FINAL_HEARTBEAT_PAUSE_S = 0.02
REMOVAL_STAGGER_S = 0.05
MAX_REMOVAL_STAGGER_S = 0.3
# Wait of a member that hears nobody, before it removes the others.
ISOLATION_WAIT_S = 0.6
MICROSECONDS_PER_S = 1_000_000

Send = collections.abc.Callable[
    [bytes, tuple[str, int]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another member of the view.

    `suspect_at`, `dead_at`, `granted_until`, and `loads_due_at` are deadlines on
    the monotonic clock in seconds. `newest_sent_us` is echoed to the peer.
    `withheld` stops the echo, so that the peer's lease runs out.
    """

    member: storedobjects.Member
    suspect_at: float
    dead_at: float
    granted_until: float = 0.0
    loads_due_at: float = 0.0
    newest_sent_us: int = 0
    newest_epoch: int = 0
    config_revision: int = 0
    config_digest: int = 0
    leaving: bool = False
    echo_withheld: bool = False
    # A removal was written and its outcome is not known yet.
    removal_pending: bool = False
    # Incarnation of a later process at the same address, 0 for none. Only one
    # process can have the address, so the member itself has ended.
    successor_incarnation: int = 0
    loads: list[typing.Any] = dataclasses.field(default_factory=list)
    monitor_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )

    @property
    def address(self) -> tuple[str, int]:
        """Address for control messages and relayed frames."""
        return settings.split_address(self.member.peers)


def heartbeat_interval_s(member_count: int) -> float:
    """Return the seconds between two heartbeats to one peer."""
    return max(MIN_HEARTBEAT_INTERVAL_S, member_count / HEARTBEATS_PER_S)


def loads_interval_s(member_count: int) -> float:
    """Return the seconds between two reports of loads to one peer."""
    return max(MIN_HEARTBEAT_INTERVAL_S, member_count / LOAD_REPORTS_PER_S)


class Membership:
    """Part of one host in the view of its failure domain.

    Parameters
    ----------
    me : storedobjects.Member
        This process, with the incarnation of this start.
    domain : str
        Failure domain of this host.
    store : replica.Replica
        Source of the view; adopted views are applied to it.
    platform : platformapi.PlatformClient
        Where the view is changed by conditional writes.
    codec : controlmessages.Codec
        Encoding of control messages.
    send : callable
        Sends a datagram from the peer socket.
    """

    def __init__(
        self,
        me: storedobjects.Member,
        domain: str,
        store: replica.Replica,
        platform: platformapi.PlatformClient,
        codec: controlmessages.Codec,
        send: Send,
    ) -> None:
        self.me = me
        self.domain = domain
        self.store = store
        self.platform = platform
        self.codec = codec
        self.send = send
        self.rng = random.Random(me.incarnation)
        self.view: storedobjects.View | None = None
        self.peers: dict[str, Peer] = {}
        # Members that announced that they stopped, by host and incarnation.
        self.ended_members: set[tuple[str, int]] = set()
        self.carried_lease_until = 0.0
        self.joined_epoch = 0
        self.is_full_member = False
        # Newest sending time in a heartbeat.
        self.sent_us = 0
        self.stopped = False
        # What the queries return until the next change: the members of the view,
        # and those among them that lend and that have not ended.
        self.view_members: dict[str, storedobjects.Member] = {}
        self.current_members: dict[str, storedobjects.Member] = {}
        self.current_lease_grantors: dict[str, storedobjects.Member] = {}
        self.owner_choices = rendezvous.CachedChoices()
        self.own_leaving = False
        self.loads: collections.abc.Callable[[], list[typing.Any]] = list
        # Called with the address of a host that has a newer view.
        self.on_stale_replica: collections.abc.Callable[[tuple[str, int]], None] = (
            lambda _: None
        )
        # Hosts heard since this process started or was removed, and until when
        # silence of the members keeps it from joining.
        self.heard_hosts: set[str] = set()
        self.join_alone_at = anyio.current_time() + JOIN_SILENCE_LIMIT_S
        # A host that joined before it had the configuration would not know whose
        # targets it takes over, and would run their requests without the records.
        self.may_join: collections.abc.Callable[[], bool] = lambda: True
        self.on_change: collections.abc.Callable[[], None] = lambda: None
        self.tasks: anyio.abc.TaskGroup | None = None
        store.subscribe(self.on_object)

    # Queries.

    @property
    def view_name(self) -> str:
        """Name of the object that holds the view."""
        return storedobjects.VIEW_PREFIX + self.domain

    @property
    def epoch(self) -> int:
        """Epoch of the adopted view, 0 before the first."""
        return self.view.epoch if self.view is not None else 0

    def is_member(self) -> bool:
        """Tell whether the adopted view holds this incarnation."""
        return self.is_listed(self.me)

    def is_listed(self, member: storedobjects.Member) -> bool:
        """Tell whether the adopted view holds a member with this incarnation."""
        return self.view_members.get(member.host) == member

    def identities(self) -> set[tuple[str, int]]:
        """Return host and incarnation of each member of the view."""
        members = self.view.members if self.view is not None else ()
        return {(member.host, member.incarnation) for member in members}

    @property
    def leaving(self) -> bool:
        """Whether this host has announced that it leaves."""
        return self.own_leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self.own_leaving = leaving
        self.refresh_members()

    def members(self) -> dict[str, storedobjects.Member]:
        """Return the members of the view that have not ended, by host."""
        return self.current_members

    def lease_grantors(self) -> dict[str, storedobjects.Member]:
        """Return the members whose echo a lease needs, this one included.

        The echo of a restarted member comes from its successor: without it, a
        member that others have removed could keep its lease. A member that
        announced its end removes nobody any more.
        """
        return self.current_lease_grantors

    def owner_of(self, target: int) -> storedobjects.Member | None:
        """Return the home of a target of this domain, a staying member if any."""
        name = self.owner_choices.pick(target)
        return self.current_members[name] if name is not None else None

    def staying(self) -> list[str]:
        """Return the members that are neither leaving nor held for dead."""
        return [
            name
            for name in self.members()
            if not self.is_leaving(name) and not self.is_withheld(name)
        ]

    def is_withheld(self, host: str) -> bool:
        """Tell whether a member is held for dead and gets no echo."""
        peer = self.peers.get(host)
        return peer is not None and peer.echo_withheld

    def is_leaving(self, host: str) -> bool:
        """Tell whether a member has announced that it leaves."""
        if host == self.me.host:
            return self.leaving
        peer = self.peers.get(host)
        return peer is not None and peer.leaving

    def may_return(self, host: str, incarnation: int) -> bool:
        """Tell whether a member may still run work or hand it over."""
        member = self.members().get(host)
        return member is not None and member.incarnation == incarnation

    def lease_until(self) -> float:
        """Return the monotonic time until which non-idempotent work may start."""
        if not self.is_member():
            return self.carried_lease_until
        grantors = [name for name in self.lease_grantors() if name != self.me.host]
        if not grantors:
            return anyio.current_time() + LEASE_S
        granted = min(
            self.peers[name].granted_until if name in self.peers else 0.0
            for name in grantors
        )
        return max(granted, self.carried_lease_until)

    def is_alive(self, host: str) -> bool:
        """Tell whether a peer has been heard within the detection time."""
        if host == self.me.host:
            return True
        peer = self.peers.get(host)
        return peer is not None and anyio.current_time() < peer.dead_at

    # Changes.

    def refresh_members(self) -> None:
        """Take over who is a member and who stays, for the queries."""
        members = self.view.members if self.view is not None else ()
        self.view_members = {member.host: member for member in members}
        self.current_lease_grantors = {
            name: member
            for name, member in self.view_members.items()
            if (name, member.incarnation) not in self.ended_members
        }
        self.current_members = {
            name: member
            for name, member in self.current_lease_grantors.items()
            if name not in self.peers or not self.peers[name].successor_incarnation
        }
        self.owner_choices.set_names(self.staying() or self.current_members)

    def apply_change(self) -> None:
        """Bring a change of the membership into force."""
        self.refresh_members()
        self.on_change()

    # Views.

    def on_object(self, stored: storedobjects.StoredObject) -> None:
        """Adopt a newer view of the own domain."""
        if stored.name != self.view_name:
            return
        view = self.store.parsed.get(stored.name)
        if isinstance(view, storedobjects.View) and view.epoch > self.epoch:
            self.adopt(view)

    def adopt(self, view: storedobjects.View) -> None:
        """Take over a view and start one task for each new peer."""
        own_lease_until = self.lease_until() if self.is_member() else 0.0
        was_member = self.is_member()
        sole_before = was_member and not self.peers
        self.view = view
        metrics.VIEW_EPOCH.set({}, view.epoch)
        if self.me in view.members:
            self.carried_lease_until = own_lease_until
            if not was_member:
                self.joined_epoch = view.epoch
                self.is_full_member = len(view.members) == 1
            elif sole_before:
                self.is_full_member = True
        elif was_member:
            # Removed while alive. Work of this incarnation must not start again,
            # so the host comes back as a new one.
            self.carried_lease_until = 0.0
            self.is_full_member = False
            self.heard_hosts.clear()
            self.join_alone_at = anyio.current_time() + JOIN_SILENCE_LIMIT_S
            self.me = self.me.model_copy(update={"incarnation": new_incarnation()})
        identities = self.identities()
        self.ended_members &= identities
        for name, peer in list(self.peers.items()):
            if (name, peer.member.incarnation) not in identities:
                peer.monitor_scope.cancel()
                del self.peers[name]
            peer.removal_pending = False
        now = anyio.current_time()
        interval_s = heartbeat_interval_s(len(view.members))
        for member in view.members:
            if member.host != self.me.host and member.host not in self.peers:
                peer = Peer(
                    member,
                    suspect_at=now + interval_s + SUSPECT_AFTER_INTERVAL_S,
                    dead_at=now + interval_s + DEAD_AFTER_INTERVAL_S,
                )
                self.peers[member.host] = peer
                if self.tasks is not None:
                    self.tasks.start_soon(self.monitor_peer, peer)
        if self.tasks is not None:
            for peer in self.peers.values():
                self.tasks.start_soon(self.send_heartbeat, peer)
        logs.event(
            LOGGER.info,
            "view_adopted",
            epoch=view.epoch,
            members=",".join(m.host for m in view.members),
        )
        self.apply_change()

    async def write_view(
        self, members: collections.abc.Sequence[storedobjects.Member], cause: str
    ) -> bool:
        """Write the next view by a conditional write; adopt what is in force."""
        stored = self.store.stored.get(self.view_name)
        view = storedobjects.View(
            domain=self.domain, epoch=self.epoch + 1, members=tuple(members)
        )
        answer = await self.platform.put(
            self.view_name,
            view.model_dump(mode="json"),
            stored.version if stored is not None else 0,
        )
        if isinstance(answer, result.Success):
            logs.event(LOGGER.info, "view_written", epoch=view.epoch, why=cause)
            written = answer.unwrap()
            previous_view = self.view
            self.store.apply(written)
            if stored is not None and previous_view is not None:
                await self.push_view(previous_view, stored.version, written)
            return True
        logs.event(
            LOGGER.info,
            "view_not_written",
            epoch=view.epoch,
            why=cause,
            problem=answer.failure().kind.value,
        )
        if answer.failure().kind is platformapi.ProblemKind.CONFLICT:
            await self.refresh_view()
        return False

    async def refresh_view(self) -> bool:
        """Read the view from the platform; False if that failed."""
        answer = await self.platform.get(self.view_name)
        if isinstance(answer, result.Success):
            self.store.apply(answer.unwrap())
            return True
        return answer.failure().kind is platformapi.ProblemKind.NOT_FOUND

    async def push_view(
        self,
        previous_view: storedobjects.View,
        base_version: int,
        written: storedobjects.StoredObject,
    ) -> None:
        """Send the difference of a view that this host wrote to the members."""
        view = self.store.parsed.get(self.view_name)
        if not isinstance(view, storedobjects.View) or written.value is None:
            return
        hosts = {member.host for member in view.members}
        message = ttypes.ViewChanged(
            host=self.me.host,
            incarnation=self.me.incarnation,
            base_version=base_version,
            version=written.version,
            revision=written.revision,
            epoch=view.epoch,
            operation=view.operation,
            removed=[m.host for m in previous_view.members if m.host not in hosts],
            added=[
                member.model_dump_json()
                for member in view.members
                if member not in previous_view.members
            ],
        )
        for peer in list(self.peers.values()):
            context = controlmessages.context_of(peer.address)
            datagram = self.codec.encode("view_changed", message, context)
            await self.send(datagram, peer.address)

    # Tasks.

    async def run(self) -> None:
        """Join the view and keep the membership until cancelled."""
        failures = 0
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for peer in self.peers.values():
                tasks.start_soon(self.monitor_peer, peer)
            while True:
                must_wait = self.leaving or not self.may_join()
                if self.is_member() or must_wait or await self.join():
                    failures = 0
                else:
                    failures = min(failures + 1, JOIN_BACKOFF_DOUBLINGS)
                self.update_full_membership()
                # Jitter keeps hosts that join together from colliding again. The
                # growing pause lets a whole domain join, one write at a time,
                # within the budget of platform calls.
                longest_s = JOIN_RETRY_S * 2**failures
                await anyio.sleep(longest_s * self.rng.uniform(0.2, 1.0))

    async def join(self) -> bool:
        """Add this host to the view of its domain; False if a call failed."""
        if not self.has_stored_view() and not await self.refresh_view():
            return False
        other_members = [
            member
            for member in (self.view.members if self.view is not None else ())
            if member.host != self.me.host
        ]
        if self.view is not None and self.me in self.view.members:
            return True
        # A host that the members cannot hear would end their leases by joining.
        unheard = {member.host for member in other_members} - self.heard_hosts
        if unheard and anyio.current_time() < self.join_alone_at:
            return True
        return await self.write_view([*other_members, self.me], "join")

    def has_stored_view(self) -> bool:
        """Tell whether the replica has the view.

        The write is conditional on the held version, so an old view costs a
        conflict. Reading it before each attempt would use up the budget of
        platform calls and leave none for the write.
        """
        return self.view_name in self.store.parsed

    def update_full_membership(self) -> None:
        """Become a full member once all others have confirmed the join."""
        if self.is_full_member or not self.is_member():
            return
        now = anyio.current_time()
        grantors = [
            peer for name, peer in self.peers.items() if name in self.lease_grantors()
        ]
        if all(
            peer.newest_epoch >= self.joined_epoch
            or now >= peer.dead_at + JOIN_SILENCE_LIMIT_S
            for peer in grantors
        ):
            self.is_full_member = True
            logs.event(LOGGER.info, "member_full", epoch=self.epoch)

    async def monitor_peer(self, peer: Peer) -> None:
        """Send heartbeats to one peer and remove it from the view once dead."""
        with peer.monitor_scope:
            while not self.stopped:
                await self.send_heartbeat(peer)
                if anyio.current_time() >= peer.dead_at:
                    await self.remove_dead_peer(peer)
                elif (
                    peer.removal_pending
                    and self.is_full_member
                    and self.view is not None
                ):
                    # The peer is back. A new view keeps a delayed removal from
                    # taking effect after the echo is given again.
                    await self.write_view(self.view.members, "invalidate_removal")
                member_count = len(self.view.members) if self.view is not None else 1
                next_at = anyio.current_time() + heartbeat_interval_s(member_count)
                if anyio.current_time() < peer.dead_at:
                    next_at = min(next_at, peer.dead_at)
                await anyio.sleep_until(next_at)

    async def send_heartbeat(self, peer: Peer) -> None:
        """Send one heartbeat; the echo is withheld from a peer held for dead."""
        is_current = self.is_listed(peer.member)
        echo = peer.newest_sent_us if is_current and not peer.echo_withheld else 0
        # Each heartbeat is newer than the one before, or it would count as a copy.
        now_us = int(anyio.current_time() * MICROSECONDS_PER_S)
        self.sent_us = max(self.sent_us + 1, now_us)
        message = ttypes.Heartbeat(
            host=self.me.host,
            incarnation=self.me.incarnation,
            epoch=self.epoch,
            sent_us=self.sent_us,
            echo_us=echo,
            config_revision=self.store.revision,
            config_digest=self.store.digest,
            leaving=self.leaving,
            loads=self.loads_if_due(peer),
            ended=[
                ttypes.EndedMember(host, inc)
                for host, inc in sorted(self.ended_members)
            ],
        )
        context = controlmessages.context_of(peer.address)
        datagram = self.codec.encode("heartbeat", message, context)
        await self.send(datagram, peer.address)

    def loads_if_due(self, peer: Peer) -> list[typing.Any] | None:
        """Return the loads of this host's targets if a peer's report is due."""
        now = anyio.current_time()
        if now < peer.loads_due_at:
            return None
        member_count = len(self.peers) + 1
        # Half a heartbeat early, since heartbeats set the moments of reports.
        early_s = heartbeat_interval_s(member_count) / 2
        peer.loads_due_at = now + loads_interval_s(member_count) - early_s
        return self.loads()

    async def answer_unknown_host(self, address: tuple[str, int]) -> None:
        """Send a heartbeat that confirms nothing to a host outside the view."""
        self.sent_us = max(
            self.sent_us + 1, int(anyio.current_time() * MICROSECONDS_PER_S)
        )
        message = ttypes.Heartbeat(
            host=self.me.host,
            incarnation=self.me.incarnation,
            epoch=self.epoch,
            sent_us=self.sent_us,
            echo_us=0,
            config_revision=self.store.revision,
            config_digest=self.store.digest,
            leaving=self.leaving,
        )
        context = controlmessages.context_of(address)
        await self.send(self.codec.encode("heartbeat", message, context), address)

    def seems_isolated(self) -> bool:
        """Tell whether all of several peers fell silent at about the same time.

        The fault is more likely on this host's side. If it is, the other members
        hear each other and remove this host meanwhile.
        """
        now = anyio.current_time()
        return len(self.peers) >= 2 and all(
            now >= peer.suspect_at for peer in self.peers.values()
        )

    async def remove_dead_peer(self, peer: Peer) -> None:
        """Write a view without a dead peer."""
        if not self.is_full_member or not self.is_member() or self.leaving:
            return
        if self.seems_isolated():
            await anyio.sleep(ISOLATION_WAIT_S)
            if not await self.refresh_view() or not self.is_member():
                return
            if anyio.current_time() < peer.dead_at:
                return
        if not peer.echo_withheld:
            peer.echo_withheld = True
            logs.event(LOGGER.warning, "peer_dead", peer=peer.member.host)
            self.apply_change()
        # Lower ranks wait a little, so that one writer usually suffices.
        alive = [name for name in self.members() if self.is_alive(name)]
        order = rendezvous.rank(self.epoch, alive).index(self.me.host)
        epoch = self.epoch
        await anyio.sleep(min(REMOVAL_STAGGER_S * order, MAX_REMOVAL_STAGGER_S))
        if self.epoch != epoch or self.view is None:
            return
        dead = {
            other.member.host
            for other in self.peers.values()
            if other.echo_withheld and anyio.current_time() >= other.dead_at
        }
        if dead:
            survivors = [m for m in self.view.members if m.host not in dead]
            for name in dead:
                self.peers[name].removal_pending = True
            with anyio.CancelScope(shield=True):
                await self.write_view(survivors, "removal")

    async def leave(self) -> None:
        """Write a view without this host; members do it if the platform is down."""
        self.stopped = True
        self.ended_members.add((self.me.host, self.me.incarnation))
        self.refresh_members()
        for _ in range(FINAL_HEARTBEAT_COPIES):
            for peer in list(self.peers.values()):
                await self.send_heartbeat(peer)
            await anyio.sleep(FINAL_HEARTBEAT_PAUSE_S)
        if self.view is not None and self.is_member():
            other_members = [
                member for member in self.view.members if member.host != self.me.host
            ]
            await self.write_view(other_members, "leave")

    # Messages.

    def on_heartbeat(
        self, message: typing.Any, address: tuple[str, int]
    ) -> reasons.Reason | None:
        """Take in a heartbeat; return a reason if it is refused."""
        if message.epoch > self.epoch:
            self.on_stale_replica(address)
        peer = self.peers.get(message.host)
        if peer is None:
            if self.is_member() and self.tasks is not None:
                # A joiner needs to know that the members hear it.
                self.tasks.start_soon(self.answer_unknown_host, address)
            return reasons.Reason.UNKNOWN_PEER
        if message.incarnation < max(
            peer.member.incarnation, peer.successor_incarnation
        ):
            return reasons.Reason.STALE_INCARNATION
        if message.incarnation > max(
            peer.member.incarnation, peer.successor_incarnation
        ):
            if address != peer.address:
                return reasons.Reason.UNKNOWN_PEER
            self.on_restart(peer, message.incarnation)
        now = anyio.current_time()
        if message.echo_us > self.sent_us:
            return reasons.Reason.MALFORMED
        if message.sent_us <= peer.newest_sent_us:
            # A copy proves nothing about the present and must not delay removal.
            return reasons.Reason.DUPLICATE
        interval_s = heartbeat_interval_s(len(self.peers) + 1)
        if peer.echo_withheld and not peer.removal_pending:
            peer.echo_withheld = False
            self.apply_change()
        peer.suspect_at = now + interval_s + SUSPECT_AFTER_INTERVAL_S
        peer.dead_at = now + interval_s + DEAD_AFTER_INTERVAL_S
        peer.newest_sent_us = message.sent_us
        self.heard_hosts.add(message.host)
        if message.epoch > peer.newest_epoch and self.tasks is not None:
            # An answer at once spares a new epoch the wait for the next interval.
            self.tasks.start_soon(self.send_heartbeat, peer)
        peer.newest_epoch = max(peer.newest_epoch, message.epoch)
        peer.config_revision = message.config_revision
        peer.config_digest = message.config_digest
        if message.loads is not None:
            peer.loads = message.loads
        if message.leaving and not peer.leaving:
            peer.leaving = True
            self.apply_change()
        if message.echo_us and message.epoch == self.epoch:
            until = message.echo_us / MICROSECONDS_PER_S + LEASE_S
            peer.granted_until = max(peer.granted_until, until)
        for ended_member in message.ended or []:
            self.record_ended(ended_member.host, ended_member.incarnation)
        return None

    def on_restart(self, peer: Peer, incarnation: int) -> None:
        """Note that a member was restarted and is not in the view again yet."""
        peer.successor_incarnation = incarnation
        peer.newest_sent_us = 0
        peer.loads_due_at = 0.0
        logs.event(
            LOGGER.info,
            "member_restarted",
            peer=peer.member.host,
            incarnation=incarnation,
        )
        self.apply_change()

    def record_ended(self, host: str, incarnation: int) -> None:
        """Record that a member of the view has announced its end."""
        key = (host, incarnation)
        if key in self.ended_members or key not in self.identities():
            return
        self.ended_members.add(key)
        logs.event(LOGGER.info, "member_ended", peer=host, incarnation=incarnation)
        self.apply_change()

    def on_view_changed(self, message: typing.Any) -> None:
        """Adopt a view of which a peer pushed the difference."""
        stored = self.store.stored.get(self.view_name)
        if (
            stored is None
            or self.view is None
            or stored.version != message.base_version
        ):
            return
        try:
            added = [
                storedobjects.Member.model_validate_json(text) for text in message.added
            ]
        except pydantic.ValidationError:
            return
        replaced = {*message.removed, *(member.host for member in added)}
        retained = [m for m in self.view.members if m.host not in replaced]
        view = storedobjects.View(
            domain=self.domain,
            epoch=message.epoch,
            members=(*retained, *added),
            operation=message.operation,
        )
        self.store.apply(
            storedobjects.StoredObject(
                self.view_name,
                message.version,
                message.revision,
                view.model_dump(mode="json"),
            )
        )


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now."""
    return time.time_ns()
