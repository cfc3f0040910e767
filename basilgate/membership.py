"""Membership of a failure domain: view, heartbeats, and leases.

A view is a list of members with an epoch that is stored on the platform and changed
by conditional writes. A heartbeat echoes the sending time of the peer's last one; the
echoes of all members give a host its lease, during which it may start non-idempotent
requests. The protocol and its timing are explained in docs/design.md, section 6.
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

# The heartbeat interval grows with the number of members, to keep the traffic of
# control messages within its limit: a host among 69 members sends and receives about
# 65 heartbeats a second.
MIN_HEARTBEAT_INTERVAL_S = 0.5
HEARTBEATS_PER_S = 64
# In large domains fewer heartbeats carry loads: with 9 targets at each of 69 members,
# loads in all of them would take 14 KB of the limit of 24 KB a second.
LOAD_REPORTS_PER_S = 24
# A peer without heartbeats is suspect, and later dead, when these times have passed
# after the heartbeat interval.
SUSPECT_AFTER_INTERVAL_S = 1.1
DEAD_AFTER_INTERVAL_S = 1.7
# Counted from the sending of a heartbeat that a peer has echoed.
LEASE_S = 5.0
CLOCK_SKEW_S = 0.25  # Largest clock error of a host that the protocol tolerates.
# A duplicate of a datagram arrives at most this long after the first copy.
DATAGRAM_LIFETIME_S = 2.0
# Wait of a new owner for a previous owner that has not handed over: that one may
# forward requests until its lease ends, and a duplicate of the last one may arrive
# here within the lifetime of a datagram.
TAKEOVER_WAIT_S = LEASE_S + CLOCK_SKEW_S + DATAGRAM_LIFETIME_S
# A joiner stops waiting for heartbeats of members that are silent for this long.
JOIN_SILENCE_LIMIT_S = 30.0
JOIN_RETRY_S = 0.5
# Doublings of `JOIN_RETRY_S` after failures, to at most 8 s between attempts.
JOIN_BACKOFF_DOUBLINGS = 4
# A leaving host repeats its final heartbeat because a datagram can be lost.
FINAL_HEARTBEAT_COPIES = 3
FINAL_HEARTBEAT_PAUSE_S = 0.02
# Delay of the write of a removal for each rank among the members that are alive.
REMOVAL_STAGGER_S = 0.05
MAX_REMOVAL_STAGGER_S = 0.3
# Wait of a member that receives no heartbeats before it removes its silent peers.
ISOLATION_WAIT_S = 0.6
MICROSECONDS_PER_S = 1_000_000

Send = collections.abc.Callable[
    [bytes, tuple[str, int]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another member of the view, and what its heartbeats have reported.

    Times whose names end in `_at` or `_until` are monotonic, in seconds.
    """

    member: storedobjects.Member
    # When the peer counts as suspect and as dead if no heartbeat comes.
    suspect_at: float
    dead_at: float
    # End of the lease that the peer's echoes grant to this host.
    granted_until: float = 0.0
    # When the next heartbeat to the peer carries this host's loads.
    loads_due_at: float = 0.0
    # `sent_us` of the newest heartbeat from the peer, which is echoed to it.
    newest_sent_us: int = 0
    # Highest epoch in a heartbeat from the peer.
    newest_epoch: int = 0
    # Revision and digest of the configuration that the peer has in force.
    config_revision: int = 0
    config_digest: int = 0
    leaving: bool = False
    # The peer counts as dead and gets no echo, so that its lease runs out.
    echo_withheld: bool = False
    # A write that removes the peer was started and no newer view is adopted yet.
    removal_pending: bool = False
    # Incarnation of a later process at the same address, 0 for none. Only one
    # process can bind the address, so the member in the view has ended.
    successor_incarnation: int = 0
    # Newest `TargetLoad` of each target that the peer owns.
    loads: list[typing.Any] = dataclasses.field(default_factory=list)
    # Cancels the task that sends heartbeats to the peer.
    monitor_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )

    @property
    def address(self) -> tuple[str, int]:
        """Host and port for control messages."""
        return settings.split_address(self.member.peers)


def heartbeat_interval_s(member_count: int) -> float:
    """Return the seconds between two heartbeats to one peer."""
    return max(MIN_HEARTBEAT_INTERVAL_S, member_count / HEARTBEATS_PER_S)


def loads_interval_s(member_count: int) -> float:
    """Return the seconds between two heartbeats with loads to one peer."""
    return max(MIN_HEARTBEAT_INTERVAL_S, member_count / LOAD_REPORTS_PER_S)


class Membership:
    """Takes part in the view of a failure domain for one host.

    Joins the view, sends heartbeats to the other members, removes dead ones, and
    computes this host's lease and the owners of targets. All methods run on the event
    loop's thread; heartbeats need the task `run`.

    Parameters
    ----------
    me : storedobjects.Member
        This process, with the incarnation of this start.
    domain : str
        Failure domain of this host.
    store : replica.Replica
        Replica of the stored objects, where newer views appear; views that this host
        reads or writes are applied to it.
    platform : platformapi.PlatformClient
        Client through which the view is read and written.
    codec : controlmessages.Codec
        Encodes and authenticates control messages.
    send : callable
        Sends a datagram to the peer address of another host.
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
        # Host and incarnation of the members that announced that they have ended.
        self.ended_members: set[tuple[str, int]] = set()
        # End (monotonic) of the lease held when the view changed: it stays valid
        # while the members of the new view have not granted a later one.
        self.carried_lease_until = 0.0
        # Epoch of the view by which this host joined.
        self.joined_epoch = 0
        # Whether the other members have confirmed the join, see
        # `update_full_membership`. Only a full member removes peers.
        self.is_full_member = False
        # Time of the newest heartbeat that this host sent (monotonic, microseconds).
        self.sent_us = 0
        self.stopped = False
        # Results of the queries, by host, computed at each change: all members of
        # the view, those that have not ended, and those that grant leases.
        self.view_members: dict[str, storedobjects.Member] = {}
        self.current_members: dict[str, storedobjects.Member] = {}
        self.current_lease_grantors: dict[str, storedobjects.Member] = {}
        self.owner_choices = rendezvous.CachedChoices()
        self.own_leaving = False
        # Returns the `TargetLoad` of each target that this host owns.
        self.loads: collections.abc.Callable[[], list[typing.Any]] = list
        # Called with the address of a host whose heartbeat has a higher epoch.
        self.on_stale_replica: collections.abc.Callable[[tuple[str, int]], None] = (
            lambda _: None
        )
        # Hosts whose heartbeats arrived since this process started or was removed,
        # and when (monotonic) it joins although some members are silent.
        self.heard_hosts: set[str] = set()
        self.join_alone_at = anyio.current_time() + JOIN_SILENCE_LIMIT_S
        # Returns whether this host has the configuration. Without it a joiner would
        # not know the previous owners of its targets, and would run requests without
        # the records of earlier attempts.
        self.may_join: collections.abc.Callable[[], bool] = lambda: True
        # Called after each change of the members or of their state.
        self.on_change: collections.abc.Callable[[], None] = lambda: None
        # Task group of `run`, None before it starts.
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
        """Return whether the adopted view has this incarnation of this host."""
        return self.is_listed(self.me)

    def is_listed(self, member: storedobjects.Member) -> bool:
        """Return whether a member is in the adopted view with the same incarnation."""
        return self.view_members.get(member.host) == member

    def identities(self) -> set[tuple[str, int]]:
        """Return host and incarnation of each member of the view."""
        members = self.view.members if self.view is not None else ()
        return {(member.host, member.incarnation) for member in members}

    @property
    def leaving(self) -> bool:
        """Whether this host announces that it is leaving."""
        return self.own_leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self.own_leaving = leaving
        self.refresh_members()

    def members(self) -> dict[str, storedobjects.Member]:
        """Return the members of the view that have not ended, by host."""
        return self.current_members

    def lease_grantors(self) -> dict[str, storedobjects.Member]:
        """Return the members whose echo a lease needs, this host included, by host.

        A restarted member is among them, and its new process sends the echo: without
        it, a member that others have removed could keep its lease. A member that
        announced its end is not, since it removes nobody any more.
        """
        return self.current_lease_grantors

    def owner_of(self, target: int) -> storedobjects.Member | None:
        """Return the owner of a target of this domain, None without members.

        Members that are leaving or count as dead own targets only if no other does.
        """
        name = self.owner_choices.pick(target)
        return self.current_members[name] if name is not None else None

    def staying(self) -> list[str]:
        """Return the hosts of the members that are neither leaving nor dead."""
        return [
            name
            for name in self.members()
            if not self.is_leaving(name) and not self.is_withheld(name)
        ]

    def is_withheld(self, host: str) -> bool:
        """Return whether a member counts as dead, so that its echo is withheld."""
        peer = self.peers.get(host)
        return peer is not None and peer.echo_withheld

    def is_leaving(self, host: str) -> bool:
        """Return whether a member has announced that it is leaving."""
        if host == self.me.host:
            return self.leaving
        peer = self.peers.get(host)
        return peer is not None and peer.leaving

    def may_return(self, host: str, incarnation: int) -> bool:
        """Return whether an incarnation may still run requests or hand over targets."""
        member = self.members().get(host)
        return member is not None and member.incarnation == incarnation

    def lease_until(self) -> float:
        """Return the monotonic time until which non-idempotent requests may start."""
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
        """Return whether a host is this one or a peer that has sent heartbeats lately.

        A peer stays alive until `Peer.dead_at`.
        """
        if host == self.me.host:
            return True
        peer = self.peers.get(host)
        return peer is not None and anyio.current_time() < peer.dead_at

    # Changes.

    def refresh_members(self) -> None:
        """Recompute the results of the queries from the view and the peers' states."""
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
        """Update the queries after a change of members and report it to `on_change`."""
        self.refresh_members()
        self.on_change()

    # Views.

    def on_object(self, stored: storedobjects.StoredObject) -> None:
        """Adopt the object if it is a view of this domain with a higher epoch."""
        if stored.name != self.view_name:
            return
        view = self.store.parsed.get(stored.name)
        if isinstance(view, storedobjects.View) and view.epoch > self.epoch:
            self.adopt(view)

    def adopt(self, view: storedobjects.View) -> None:
        """Make a view the current one and start a heartbeat task for each new peer."""
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
            # Removed while running. This incarnation must start no more requests, so
            # the host joins again with a new incarnation.
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
        """Write the next view on condition that the stored one has not changed.

        On success the view is adopted and pushed to the peers. On a conflict the
        stored view is read and adopted instead.

        Parameters
        ----------
        members : sequence of storedobjects.Member
            Members of the next view.
        cause : str
            Why the view changes, for the log.

        Returns
        -------
        bool
            Whether the view was written.
        """
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
        """Read the view from the platform and adopt it if it is newer.

        Returns False if the call failed; a view that does not exist is no failure.
        """
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
        """Send the peers how the view that this host has written differs.

        Parameters
        ----------
        previous_view : storedobjects.View
            View before the write.
        base_version : int
            Version of the stored object that held the previous view.
        written : storedobjects.StoredObject
            The object that holds the new view.
        """
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
        """Join the view and stay a member until cancelled."""
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
                # Jitter keeps the writes of hosts that join together from conflicting
                # again. Longer pauses after failures let all hosts of a domain join,
                # one write at a time, within the budget of platform calls.
                longest_s = JOIN_RETRY_S * 2**failures
                await anyio.sleep(longest_s * self.rng.uniform(0.2, 1.0))

    async def join(self) -> bool:
        """Add this host to the view, unless it has to wait for the members.

        Returns False if a call to the platform failed or the write conflicted.
        """
        if not self.has_stored_view() and not await self.refresh_view():
            return False
        other_members = [
            member
            for member in (self.view.members if self.view is not None else ())
            if member.host != self.me.host
        ]
        if self.view is not None and self.me in self.view.members:
            return True
        # A host whose heartbeats do not reach the members would end their leases by
        # joining, since a lease needs the echoes of all members. So it first waits for
        # a heartbeat of each member.
        unheard = {member.host for member in other_members} - self.heard_hosts
        if unheard and anyio.current_time() < self.join_alone_at:
            return True
        return await self.write_view([*other_members, self.me], "join")

    def has_stored_view(self) -> bool:
        """Return whether the replica has a view, possibly an old one.

        A write that is based on an old view only conflicts. Reading the view before
        each attempt to join would use up the budget of platform calls and leave none
        for the write.
        """
        return self.view_name in self.store.parsed

    def update_full_membership(self) -> None:
        """Make this host a full member once all other members know of its join.

        A member knows of it when its heartbeats have the epoch of the join. One that
        has been dead for `JOIN_SILENCE_LIMIT_S` is not waited for.
        """
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
        """Send heartbeats to a peer and remove it from the view if it is dead.

        Ends when this host leaves or the peer is removed.
        """
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
                    # The peer sends heartbeats again. A new view makes a removal that
                    # is still on its way conflict, so that the peer gets no echo while
                    # it can be removed.
                    await self.write_view(self.view.members, "invalidate_removal")
                member_count = len(self.view.members) if self.view is not None else 1
                next_at = anyio.current_time() + heartbeat_interval_s(member_count)
                if anyio.current_time() < peer.dead_at:
                    next_at = min(next_at, peer.dead_at)
                await anyio.sleep_until(next_at)

    async def send_heartbeat(self, peer: Peer) -> None:
        """Send one heartbeat, without an echo if the peer counts as dead."""
        is_current = self.is_listed(peer.member)
        echo = peer.newest_sent_us if is_current and not peer.echo_withheld else 0
        # A heartbeat whose time is not later than the last one's counts as a duplicate.
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
                ttypes.EndedMember(host, incarnation)
                for host, incarnation in sorted(self.ended_members)
            ],
        )
        context = controlmessages.context_of(peer.address)
        datagram = self.codec.encode("heartbeat", message, context)
        await self.send(datagram, peer.address)

    def loads_if_due(self, peer: Peer) -> list[typing.Any] | None:
        """Return the loads of this host's targets if they are due, else None.

        Returning them schedules the next report to the peer.
        """
        now = anyio.current_time()
        if now < peer.loads_due_at:
            return None
        member_count = len(self.peers) + 1
        # Loads travel with heartbeats. Half a heartbeat interval earlier, a heartbeat
        # that is sent slightly too early still carries the loads that are due.
        early_s = heartbeat_interval_s(member_count) / 2
        peer.loads_due_at = now + loads_interval_s(member_count) - early_s
        return self.loads()

    async def answer_unknown_host(self, address: tuple[str, int]) -> None:
        """Send a heartbeat without an echo to a host outside the view."""
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
        """Return whether there are two or more peers and all of them are suspect.

        Then the fault is probably on this host's side, and the other members, which
        receive each other's heartbeats, remove this host.
        """
        now = anyio.current_time()
        return len(self.peers) >= 2 and all(
            now >= peer.suspect_at for peer in self.peers.values()
        )

    async def remove_dead_peer(self, peer: Peer) -> None:
        """Write a view without a dead peer and other peers that are dead by then.

        Does nothing if this host is not a full member or is leaving.
        """
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
        # The members write one after another in an order that each epoch changes, so
        # that usually the first one succeeds and the others need no call.
        alive = [name for name in self.members() if self.is_alive(name)]
        own_rank = rendezvous.rank(self.epoch, alive).index(self.me.host)
        epoch = self.epoch
        await anyio.sleep(min(REMOVAL_STAGGER_S * own_rank, MAX_REMOVAL_STAGGER_S))
        if self.epoch != epoch or self.view is None:
            return
        dead = {
            silent_peer.member.host
            for silent_peer in self.peers.values()
            if silent_peer.echo_withheld and anyio.current_time() >= silent_peer.dead_at
        }
        if dead:
            survivors = [m for m in self.view.members if m.host not in dead]
            for name in dead:
                self.peers[name].removal_pending = True
            with anyio.CancelScope(shield=True):
                await self.write_view(survivors, "removal")

    async def leave(self) -> None:
        """Announce the end of this process and write a view without it.

        If the platform does not answer, the other members remove this host later.
        """
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
        """Apply a heartbeat; return a reason if it is refused, else None.

        `address` is the address that it came from.
        """
        if message.epoch > self.epoch:
            self.on_stale_replica(address)
        peer = self.peers.get(message.host)
        if peer is None:
            if self.is_member() and self.tasks is not None:
                # A joiner waits for a heartbeat of each member, see `join`.
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
            # A duplicate does not show that the peer is alive and must not delay its
            # removal.
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
            # The peer needs echoes for a newer view that it has adopted. Sending one
            # at once spares it the wait for the next heartbeat interval.
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
        """Record that a member restarted with an incarnation not yet in the view."""
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
        """Record that a member of the view has ended, as it announced."""
        key = (host, incarnation)
        if key in self.ended_members or key not in self.identities():
            return
        self.ended_members.add(key)
        logs.event(LOGGER.info, "member_ended", peer=host, incarnation=incarnation)
        self.apply_change()

    def on_view_changed(self, message: typing.Any) -> None:
        """Adopt a view whose difference a peer has pushed.

        It is ignored unless it applies to the version that this host has.
        """
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
    """Return a new incarnation: Unix time in nanoseconds, so later ones are higher."""
    return time.time_ns()
