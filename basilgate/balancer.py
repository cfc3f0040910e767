"""Balancer process of one entry host: sockets, dispatch of frames, and shutdown."""

import collections.abc
import contextlib
import pathlib
import random
import signal
import sys
import time
import typing

import anyio
import anyio.abc
import fire
import fire.decorators
import logbook
from returns import result

from basilgate import (
    admin,
    admission,
    clock,
    configsync,
    controlmessages,
    datagrams,
    domainpings,
    effectiveconfig,
    explanations,
    flowopening,
    gauges,
    hoststatus,
    invariants,
    loadsharing,
    logs,
    membership,
    metrics,
    ownedtargets,
    pauses,
    placement,
    platformapi,
    probing,
    queueing,
    reasons,
    registry,
    rendezvous,
    replica,
    requestrecords,
    retries,
    settings,
    storedobjects,
    targetowner,
    tls,
    tokens,
    wire,
)
from peerproto import ttypes

LOGGER = logbook.Logger("balancer")

# Bits of `wire.Relayed.flags`, set by the balancer that relays a frame. Without any,
# the receiver routes the frame as if it had come from a caller.
# An OPEN that the opening host has placed: the receiver admits it to the target.
RELAY_FLAG_PLACED = 1
# A frame for a request that was left at the receiver, the target's previous owner.
RELAY_FLAG_PREVIOUS_OWNER = 2
# An OPEN that load sharing sent to another failure domain: it is placed there.
RELAY_FLAG_SHARED = 4

UPKEEP_INTERVAL_S = 1.0
STOP_POLL_INTERVAL_S = 0.1


# Metric labels, prepared because reading the name of an enum member is slow.
KIND_LABELS = {kind: {"kind": kind.name.lower()} for kind in wire.Kind}
DROP_LABELS = {reason: {"reason": reasons.label(reason)} for reason in reasons.Reason}


class Balancer:
    """Creates and connects the parts of a balancer, routes frames, and runs all tasks.

    Everything runs on one event loop, so no part needs a lock.

    Parameters
    ----------
    config : settings.Settings
        Validated settings of this process.
    socket_factory : callable
        Opens the UDP sockets; tests of faulty networks replace it.
    """

    def __init__(
        self,
        config: settings.Settings,
        socket_factory: datagrams.Factory = datagrams.open_socket,
    ) -> None:
        self.settings = config
        self.socket_factory = socket_factory
        self.codec = controlmessages.Codec(
            bytes.fromhex(config.peers.secret), tls.calling(config.tls)
        )
        self.ring = tokens.KeyRing()
        self.store = replica.Replica()
        self.effective = effectiveconfig.EffectiveConfig()
        self.base = effectiveconfig.PreparedSheet()
        self.base_version = 0
        self.rng = random.Random(time.time_ns())
        self.caller_socket: datagrams.DatagramSocket
        self.peer_socket: datagrams.DatagramSocket
        self.platform = platformapi.PlatformClient(
            str(config.platform.url),
            config.platform.call_budget,
            config.platform.timeout_s,
            settings.split_address(config.listen.peers)[0],
        )
        me = storedobjects.Member(
            host=config.host.name,
            incarnation=membership.new_incarnation(),
            callers=config.listen.callers,
            peers=config.listen.peers,
            admin=config.listen.admin,
        )
        self.members = membership.Membership(
            me,
            config.host.failure_domain,
            self.store,
            self.platform,
            self.codec,
            self.send_to_peer,
        )
        passing = retries.RequestPassing(self.candidates, self.mint, self.deliver)
        self.retrier = retries.Retrier(
            passing, self.choose_target, config.limits.retry_share
        )
        self.sharing_policy = loadsharing.POLICIES.get(config.policies.spill)()
        self.load_sharer = loadsharing.LoadSharer(self.sharing_policy, passing)
        self.load_sharer.elsewhere = self.target_in_other_domain
        self.prober = probing.Prober(self.rng)
        context = targetowner.Context(
            send=self.send_to_caller,
            lease_until=self.members.lease_until,
            retry=self.retrier.retry,
            report=self.report_completion,
            make_queue=queueing.POLICIES.get(config.policies.queueing),
            max_deadline_s=config.limits.max_deadline_s,
            max_answer_bytes=config.limits.max_answer_bytes,
            flow_idle_s=config.limits.flow_idle_s,
            make_admission=admission.POLICIES.get(config.policies.admission),
            move=self.load_sharer.move,
            resend=passing.resend,
            record_request=self.retrier.record_request,
            share_by_flow=config.limits.caller_identity == "flow",
        )
        self.owned_targets = ownedtargets.OwnedTargets(
            self.members, context, self.codec
        )
        self.owned_targets.answer_buffer_bytes = config.limits.answer_buffer_bytes
        self.opener = flowopening.FlowOpener(
            self.members,
            self.owned_targets,
            self.store,
            self.ring,
            placement.POLICIES.get(config.policies.placement),
            config.limits.token_lifetime_s,
        )
        self.owned_targets.on_started = self.on_owner_started
        self.members.loads = self.owned_targets.loads
        self.members.on_change = self.on_view_change
        self.sync = configsync.ConfigSync(
            self.store,
            self.platform,
            self.members,
            self.codec,
            configsync.addresses(config.peers.seeds),
            config.platform.watch_timeout_s,
        )
        self.members.on_stale_replica = self.sync.record_newer_view
        self.store.subscribe_batches(self.on_objects)
        self.members.may_join = self.has_configuration
        self.clock = gauges.LoopClock()
        self.control_context = controlmessages.context_of(
            settings.split_address(config.listen.peers)
        )
        self.pings = domainpings.DomainPings(
            self.members,
            self.store,
            self.sync,
            self.codec,
            self.opener,
            self.send_to_peer,
            self.rng,
        )
        self.opener.is_reachable = self.pings.is_reachable
        self.host_status = hoststatus.HostStatus(
            self.observer, self.sync, self.owned_targets, self.ring, self.clock
        )

    # Configuration.

    def has_configuration(self) -> bool:
        """Return whether the configuration is known well enough to join the view.

        The platform must have been read completely once. If it has a sheet, that or
        an earlier sheet must be in force.
        """
        if self.store.complete_revision == 0:
            return False
        return bool(self.effective.services) or not self.store.missing_parts()

    def on_objects(self, applied: list[storedobjects.StoredObject]) -> None:
        """Reload the keys or the configuration if a batch of objects changes them."""
        names = [stored.name for stored in applied]
        if any(name.startswith(storedobjects.KEY_PREFIX) for name in names):
            self.load_keys()
        other_prefixes = (storedobjects.KEY_PREFIX, storedobjects.VIEW_PREFIX)
        if any(not name.startswith(other_prefixes) for name in names):
            self.load_config()

    def load_keys(self) -> None:
        """Load the token keys from the replica and choose the key that signs."""
        stored_keys = self.store.accepted_order(storedobjects.KEY_PREFIX)
        keys = [key for key in stored_keys if isinstance(key, storedobjects.Key)]
        for key in keys:
            self.ring.add(key.id, bytes.fromhex(key.secret))
        self.ring.retain({key.id for key in keys})
        now = clock.utc()
        self.ring.current = effectiveconfig.signing_key(keys, now) or 0

    def load_config(self) -> None:
        """Merge the sheet and the overrides into the effective configuration.

        While parts of a new sheet are missing, the previous sheet stays in force.
        """
        now = clock.utc()
        if self.base_version != self.store.sheet_version:
            self.base = effectiveconfig.prepare_sheet(self.store.sheet_parts())
            self.base_version = self.store.sheet_version
        overrides = effectiveconfig.overrides_of(self.store)
        self.effective = effectiveconfig.merge(self.base, overrides, now)
        self.opener.config = self.effective
        self.owned_targets.reassign(self.effective)

    def on_view_change(self) -> None:
        """Start and hand over targets after a change of the domain view."""
        self.owned_targets.reassign(self.effective)

    # Sockets.

    async def send_to_caller(self, frame: wire.Frame, caller: wire.Address) -> None:
        """Send a frame to a caller."""
        await self.caller_socket.sendto(wire.encode(frame), *caller)

    async def send_to_peer(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to another balancer."""
        await self.peer_socket.sendto(datagram, *address)

    async def serve_callers(self) -> None:
        """Handle callers' frames, sent by callers or relayed by other balancers."""
        guard = pauses.PauseGuard(
            self.caller_socket, settings.split_address(self.settings.listen.callers)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(guard.check_periodically)
            await self.receive_callers(guard)

    async def receive_callers(self, guard: pauses.PauseGuard) -> None:
        """Route each frame that is not stale.

        Balancers relay frames to this socket, not to the one for control messages,
        so that relayed frames cannot delay heartbeats.
        """
        while True:
            datagram, caller = await self.caller_socket.receive()
            if await guard.is_stale(datagram):
                drop(reasons.Reason.STALE)
                continue
            with contained("callers"):
                if int.from_bytes(datagram[:2], "big") == wire.RELAY_MAGIC:
                    await self.on_relayed(datagram)
                else:
                    await self.on_datagram(datagram, caller)

    async def on_datagram(self, datagram: bytes, caller: wire.Address) -> None:
        """Handle a frame that a caller sent to this host."""
        decoded = wire.decode(datagram)
        if isinstance(decoded, result.Failure):
            drop(decoded.failure())
            return
        frame = decoded.unwrap()
        metrics.FRAMES.inc(KIND_LABELS[frame.kind])
        await self.route(frame, datagram, caller, hops=0, flags=0)

    async def serve_peers(self) -> None:
        """Handle the control messages that other balancers send as datagrams."""
        guard = pauses.PauseGuard(
            self.peer_socket, settings.split_address(self.settings.listen.peers)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(guard.check_periodically)
            await self.receive_peers(guard)

    async def receive_peers(self, guard: pauses.PauseGuard) -> None:
        """Handle each control message that is not stale."""
        while True:
            datagram, address = await self.peer_socket.receive()
            if await guard.is_stale(datagram):
                drop(reasons.Reason.STALE)
                continue
            with contained("peers"):
                await self.on_control(datagram, address)

    async def on_relayed(self, datagram: bytes) -> None:
        """Handle a caller's frame that another balancer relayed."""
        opened = controlmessages.open_relayed(self.codec, datagram)
        if isinstance(opened, result.Failure):
            drop(opened.failure())
            return
        relayed = opened.unwrap()
        decoded = wire.decode(relayed.frame)
        if isinstance(decoded, result.Failure):
            drop(decoded.failure())
            return
        await self.route(
            decoded.unwrap(),
            relayed.frame,
            relayed.caller,
            relayed.hops,
            relayed.flags,
        )

    async def relay(
        self,
        member: storedobjects.Member,
        datagram: bytes,
        caller: wire.Address,
        hops: int,
        flags: int = 0,
    ) -> None:
        """Relay a caller's frame to another balancer.

        Parameters
        ----------
        member : storedobjects.Member
            Balancer to relay to.
        datagram : bytes
            The encoded frame.
        caller : (str, int)
            Address that answers go to.
        hops : int
            Number of relays so far; at `wire.MAX_HOPS` the frame is dropped.
        flags : int
            `RELAY_FLAG_*` bits for the receiver.
        """
        if hops >= wire.MAX_HOPS:
            drop(reasons.Reason.TOO_MANY_HOPS)
            return
        relayed = wire.Relayed(hops + 1, flags, caller, 0, datagram)
        metrics.RELAYED.inc({})
        await self.caller_socket.sendto(
            controlmessages.seal_relayed(self.codec, relayed),
            *settings.split_address(member.callers),
        )

    # Routing of callers' frames.

    async def route(
        self,
        frame: wire.Frame,
        datagram: bytes,
        caller: wire.Address,
        hops: int,
        flags: int,
    ) -> None:
        """Handle a frame or relay it to the opening host or the target's owner.

        Parameters
        ----------
        frame : wire.Frame
            The decoded frame.
        datagram : bytes
            The same frame encoded, for relaying.
        caller : (str, int)
            Address that answers go to.
        hops : int
            Number of balancers that have relayed the frame.
        flags : int
            `RELAY_FLAG_*` bits of a relayed frame, 0 for a frame from a caller.
        """
        if frame.kind is wire.Kind.OPEN and not flags & RELAY_FLAG_PLACED:
            await self.on_open(frame, datagram, caller, hops, flags)
            return
        verified = tokens.verify(
            self.ring, frame.token, frame.flow, frame.service, clock.unix_s()
        )
        if isinstance(verified, result.Failure):
            drop(verified.failure())
            return
        target = self.effective.targets.get(verified.unwrap().target)
        if target is None:
            drop(reasons.Reason.NO_TARGET)
            return
        if target.service != frame.service:
            drop(reasons.Reason.TOKEN_WRONG_SERVICE)
            return
        if flags & RELAY_FLAG_PREVIOUS_OWNER:
            drop(await self.owned_targets.on_left_frame(target.id, frame, caller))
            return
        member = self.owner_of(target, frame.attempt)
        if member is None:
            drop(reasons.Reason.NO_HOME)
        elif self.is_this_process(member):
            await self.handle_as_owner(target, frame, datagram, caller, hops)
        else:
            await self.relay(member, datagram, caller, hops, flags)

    def is_this_process(self, member: storedobjects.Member) -> bool:
        """Return whether a member is this process.

        Host and incarnation identify a process; comparing all fields is slower.
        """
        me = self.members.me
        return member.incarnation == me.incarnation and member.host == me.host

    def owner_of(
        self, target: effectiveconfig.Target, attempt: int = 0
    ) -> storedobjects.Member | None:
        """Return the owner of a target in any failure domain, None if none is known.

        For another domain, retransmissions (`attempt` > 0) select other members:
        any member there relays the frame to the owner.
        """
        if target.domain == self.members.domain:
            return self.members.owner_of(target.id)
        view = self.store.parsed.get(storedobjects.VIEW_PREFIX + target.domain)
        if not isinstance(view, storedobjects.View):
            return None
        by_host = {member.host: member for member in view.members}
        name = rendezvous.pick_next(target.id, by_host, attempt)
        return by_host[name] if name is not None else None

    async def handle_as_owner(
        self,
        target: effectiveconfig.Target,
        frame: wire.Frame,
        datagram: bytes,
        caller: wire.Address,
        hops: int,
    ) -> None:
        """Handle a frame whose target this host owns."""
        owner = self.owned_targets.owners.get(target.id)
        if owner is None:
            drop(reasons.Reason.NO_HOME)
            return
        if frame.kind is wire.Kind.OPEN:
            await self.admit_flow(owner, frame, caller)
            return
        if frame.kind is wire.Kind.KEEPALIVE:
            owner.touch_flow(frame.flow)
            reply = wire.Frame(
                wire.Kind.ALIVE,
                frame.service,
                frame.flow,
                token=self.opener.mint(target, frame.flow),
            )
            await self.send_to_caller(reply, caller)
            return
        previous_owner = self.owned_targets.previous_owner_of(target.id, frame)
        if previous_owner == self.members.me.host:
            drop(await self.owned_targets.on_left_frame(target.id, frame, caller))
            return
        member = self.members.members().get(previous_owner) if previous_owner else None
        if member is not None:
            await self.relay(member, datagram, caller, hops, RELAY_FLAG_PREVIOUS_OWNER)
            return
        drop(await owner.on_frame(frame, caller))

    # Opens.

    async def on_open(
        self,
        frame: wire.Frame,
        datagram: bytes,
        caller: wire.Address,
        hops: int,
        flags: int,
    ) -> None:
        """Place a flow, or relay its OPEN to the opening host.

        `hops` and `flags` are those of `route`.
        """
        if frame.service not in self.effective.services:
            if self.effective.services:
                await self.refuse_open(frame, caller, reasons.Reason.NO_SUCH_SERVICE)
            return
        shared = bool(flags & RELAY_FLAG_SHARED)
        domain = self.members.domain if shared else self.opener.domain_for(frame)
        if domain is None:
            await self.refuse_open(frame, caller, reasons.Reason.NO_TARGET)
            return
        opening_host = self.opener.opening_host(domain, frame.flow, frame.attempt)
        if opening_host is None:
            drop(reasons.Reason.NO_HOME)
        # The last hop is kept for the relay to the target's owner.
        elif opening_host == self.members.me or hops >= wire.MAX_HOPS - 1:
            if shared or not await self.share_open(frame, datagram, caller, hops):
                await self.place_and_forward(frame, caller, hops)
        else:
            await self.relay(opening_host, datagram, caller, hops)

    async def share_open(
        self, frame: wire.Frame, datagram: bytes, caller: wire.Address, hops: int
    ) -> bool:
        """Relay an OPEN to another failure domain if load sharing chooses one.

        Returns False if the flow is to be placed in this domain.
        """
        if hops >= wire.MAX_HOPS - 1 or self.opener.find_recent(frame.flow) is not None:
            return False
        now = anyio.current_time()
        domain, _ = self.opener.shared_opens.get(frame.flow, ("", 0.0))
        if not domain:
            chosen = self.pings.domain_loads.domain_for_open(
                self.sharing_policy,
                frame.service,
                self.opener.candidates(frame.service),
                self.pings.is_reachable,
            )
            if chosen is None:
                return False
            domain = chosen
        opening_host = self.opener.opening_host(domain, frame.flow, frame.attempt)
        if opening_host is None:
            return False
        self.opener.shared_opens[frame.flow] = (
            domain,
            now + flowopening.PLACEMENT_MEMORY_S,
        )
        service = self.effective.services[frame.service].name
        metrics.SPILLED.inc({"service": service, "kind": "open"})
        await self.relay(opening_host, datagram, caller, hops, RELAY_FLAG_SHARED)
        return True

    async def place_and_forward(
        self, frame: wire.Frame, caller: wire.Address, hops: int
    ) -> None:
        """Place a flow and pass its OPEN to the target's owner, with a token."""
        decided = self.opener.place_flow(frame)
        if isinstance(decided, result.Failure):
            await self.refuse_open(frame, caller, decided.failure())
            return
        opened = decided.unwrap()
        frame.token = opened.token
        target = self.effective.targets.get(opened.target_id)
        member = self.owner_of(target) if target is not None else None
        if target is None or member is None:
            await self.refuse_open(frame, caller, reasons.Reason.NO_TARGET)
        elif member == self.members.me:
            await self.handle_as_owner(target, frame, wire.encode(frame), caller, hops)
        else:
            await self.relay(
                member, wire.encode(frame), caller, hops, RELAY_FLAG_PLACED
            )

    async def admit_flow(
        self, owner: targetowner.TargetOwner, frame: wire.Frame, caller: wire.Address
    ) -> None:
        """Admit a placed flow to a target that this host owns; answer the caller."""
        refused = owner.admit_flow(frame.flow)
        if refused is not reasons.Reason.NONE:
            await self.refuse_open(frame, caller, refused)
            return
        metrics.OPENS.inc({"service": owner.service.name, "outcome": "opened"})
        opened = wire.Frame(
            wire.Kind.OPENED, frame.service, frame.flow, token=frame.token
        )
        await self.send_to_caller(opened, caller)

    async def refuse_open(
        self, frame: wire.Frame, caller: wire.Address, reason: reasons.Reason
    ) -> None:
        """Send the caller the reason why its flow was not opened."""
        service = self.effective.services.get(frame.service)
        label = service.name if service is not None else "none"
        metrics.OPENS.inc({"service": label, "outcome": reasons.label(reason)})
        refusal = wire.Frame(
            wire.Kind.REFUSED, frame.service, frame.flow, reason=int(reason)
        )
        await self.send_to_caller(refusal, caller)

    # Callbacks of target owners, retries, and load sharing.

    def candidates(self, service: int) -> list[placement.Candidate]:
        """Return the targets of a service in this domain that may get new work."""
        return self.opener.candidates(service)

    def choose_target(self, candidates: placement.Candidates) -> placement.Candidate:
        """Choose the target of a retry by the placement policy."""
        return self.opener.policy(candidates, self.rng)

    def mint(self, candidate: placement.Candidate, flow: int) -> bytes:
        """Return a token that assigns a flow to a candidate's target."""
        return self.opener.mint(candidate.target, flow)

    async def deliver(self, frame: wire.Frame, caller: wire.Address) -> None:
        """Route a frame that this host sends for a caller by the token in it."""
        await self.route(frame, wire.encode(frame), caller, hops=0, flags=0)

    def target_in_other_domain(self, service: int) -> placement.Candidate | None:
        """Return a target in the least loaded other domain, None if all are full.

        The request counts as load of that domain until its next report.
        """
        least = self.pings.domain_loads.least(service, self.pings.is_reachable)
        if least is None:
            return None
        targets = [
            target
            for target in self.effective.by_service.get(service, [])
            if target.domain == least.name and target.admits
        ]
        if not targets:
            return None
        least.sent += 1
        return placement.Candidate(self.rng.choice(targets))

    def on_owner_started(self, owner: targetowner.TargetOwner) -> None:
        """Start to probe a target that this host owns from now on.

        The target's share of new flows ramps up, unless a previous owner may still
        run requests or send a handover: then the target has been in use.
        """
        if owner.previous_owner is None and not owner.awaiting_from:
            owner.monitor.start_ramp(anyio.current_time())
        if self.owned_targets.tasks is not None:
            self.owned_targets.tasks.start_soon(self.prober.run, owner)

    async def rebalance(self) -> None:
        """Move queued requests to targets with room, by the load sharing policy."""
        for owner in list(self.owned_targets.owners.values()):
            if len(owner.queue):
                await self.load_sharer.rebalance(owner)

    async def report_completion(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> None:
        """Report the end of a request that ran here to the target's new owner."""
        await self.owned_targets.report(owner, record)

    # Control messages.

    async def on_control(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Handle a control message that arrived as a datagram."""
        decoded = self.codec.decode(datagram, self.control_context)
        if isinstance(decoded, result.Failure):
            drop(decoded.failure())
            return
        field, message = decoded.unwrap()
        if field == "heartbeat":
            started_s = time.thread_time()
            refusal = self.members.on_heartbeat(message, address)
            metrics.CONTROL_CPU.add({}, time.thread_time() - started_s)
            if refusal is not None:
                drop(refusal)
                return
            loads = message.loads or []
            self.opener.on_loads(loads)
            for load in loads:
                self.load_sharer.on_report(load.target)
            await self.rebalance()
        elif field == "view_changed":
            self.members.on_view_changed(message)
        elif field == "domain_ping":
            drop(await self.pings.on_ping(message, address))
        else:
            drop(reasons.Reason.UNEXPECTED_KIND)

    async def serve_call(self, stream: anyio.abc.ByteStream) -> None:
        """Answer one call that another balancer makes over TCP."""
        async with stream:
            drop(
                await controlmessages.answer_call(self.codec, stream, self.answer_call)
            )

    async def answer_call(
        self, field: str, message: typing.Any
    ) -> tuple[str, typing.Any]:
        """Return the union field and the message that answer a balancer's call."""
        if field == "sync_request":
            return "sync_reply", configsync.sync_reply(self.store, message)
        refusal = reasons.Reason.UNEXPECTED_KIND
        if field == "handover":
            refusal = await self.owned_targets.on_handover(message)
        elif field == "completion":
            refusal = self.owned_targets.on_completion(message)
        if refusal is not reasons.Reason.NONE:
            drop(refusal)
        return "acknowledgement", ttypes.Acknowledgement(
            refusal is reasons.Reason.NONE, int(refusal)
        )

    # Queries.

    def observer(self) -> explanations.Observer:
        """Return the state from which `status` and `explain` are answered."""
        return explanations.Observer(
            self.store,
            self.base,
            self.effective,
            self.members,
            self.owned_targets.owners,
        )

    # Run and shutdown.

    async def upkeep(self) -> None:
        """Expire placements, rebalance queues, and apply due changes, once a second.

        Due changes are the switch to a newer token key and the end of an override.
        """
        while True:
            await anyio.sleep(UPKEEP_INTERVAL_S)
            self.opener.evict_expired()
            self.load_keys()
            await self.rebalance()
            expiry = self.effective.next_expiry_s
            if expiry is not None and expiry <= clock.unix_s():
                self.load_config()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then hand over all targets and return."""
        listen = self.settings.listen
        self.caller_socket = await self.socket_factory(
            settings.split_address(listen.callers)
        )
        self.peer_socket = await self.socket_factory(
            settings.split_address(listen.peers)
        )
        calls_address = settings.split_address(listen.peers)
        calls = tls.call_listener(
            await anyio.create_tcp_listener(
                local_host=calls_address[0], local_port=calls_address[1]
            ),
            self.settings.tls,
        )
        application = admin.application(
            {"status": self.host_status.status, "explain": self.host_status.explain},
            self.host_status.health,
            self.host_status.refresh_metrics,
        )
        async with self.platform, anyio.create_task_group() as tasks:
            self.owned_targets.tasks = tasks
            tasks.start_soon(self.serve_callers)
            tasks.start_soon(self.serve_peers)
            tasks.start_soon(calls.serve, self.serve_call)
            tasks.start_soon(
                admin.serve,
                application,
                settings.split_address(listen.admin),
                tls.listener_context(self.settings.tls, "admin"),
            )
            tasks.start_soon(self.sync.run)
            tasks.start_soon(self.members.run)
            tasks.start_soon(self.pings.run)
            tasks.start_soon(self.upkeep)
            tasks.start_soon(self.clock.run)
            logs.event(LOGGER.info, "started", incarnation=self.members.me.incarnation)
            await wait_for_signal()
            await self.stop()
            tasks.cancel_scope.cancel()
        await self.prober.client.aclose()
        logs.event(LOGGER.info, "stopped")

    async def stop(self) -> None:
        """Hand over every target, answer the requests in progress, and leave the view.

        This takes at most `limits.max_deadline_s`, the latest deadline that a request
        can have.
        """
        logs.event(LOGGER.info, "stopping")
        stop_at = anyio.current_time() + self.settings.limits.max_deadline_s
        self.members.leaving = True
        for peer in list(self.members.peers.values()):
            await self.members.send_heartbeat(peer)
        self.on_view_change()
        while anyio.current_time() < stop_at:
            alone = not self.members.staying()
            handed_over = (
                not self.owned_targets.owners and not self.owned_targets.departing
            )
            if self.owned_targets.is_idle() and (alone or handed_over):
                break
            await anyio.sleep(STOP_POLL_INTERVAL_S)
        await self.members.leave()


def drop(reason: reasons.Reason) -> None:
    """Count a dropped datagram or refused call; `Reason.NONE` counts nothing."""
    if reason is not reasons.Reason.NONE:
        metrics.DROPPED.inc(DROP_LABELS[reason])


@contextlib.contextmanager
def contained(source: str) -> collections.abc.Iterator[None]:
    """Log and count an unexpected error in the handling of one datagram.

    A datagram that ended one host would end the next, since callers send it again. A
    violated invariant still ends the process.
    """
    try:
        yield
    except invariants.InvariantError:
        raise
    except Exception as error:
        metrics.UNEXPECTED_ERRORS.inc({"source": source})
        logs.event(LOGGER.error, "unexpected_error", source=source, error=repr(error))


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


@fire.decorators.SetParseFn(str)
def serve(settings_file: str) -> None:
    """Run the balancer of one entry host until SIGTERM or SIGINT.

    Parameters
    ----------
    settings_file : str
        Path of the INI file with the settings.
    """
    sys.exit(run_process(settings_file))


def unknown_policy(config: settings.Settings) -> str:
    """Return a message about a policy that does not exist, empty if all exist."""
    chosen: tuple[tuple[str, registry.Registry[typing.Any], str], ...] = (
        ("placement", placement.POLICIES, config.policies.placement),
        ("queueing", queueing.POLICIES, config.policies.queueing),
    )
    for key, policies, name in chosen:
        if name not in policies.entries:
            valid_names = ", ".join(policies.names())
            return f"[policies] {key}: unknown policy {name!r}; known: {valid_names}"
    return ""


def run_process(
    settings_file: str, socket_factory: datagrams.Factory = datagrams.open_socket
) -> int:
    """Run a balancer and return its exit status.

    The status is 2 for invalid settings and 70 (EX_SOFTWARE) if an invariant was
    violated.
    """
    loaded = settings.load(pathlib.Path(settings_file))
    if isinstance(loaded, result.Failure):
        print(f"{settings_file}: {loaded.failure()}", file=sys.stderr)
        return 2
    config = loaded.unwrap()
    problem = tls.files_problem(config.tls) or unknown_policy(config)
    if problem:
        print(f"{settings_file}: {problem}", file=sys.stderr)
        return 2
    logs.start(config.logging.level, host=config.host.name)

    async def run() -> None:
        await Balancer(config, socket_factory).run()

    try:
        anyio.run(run)
    except BaseExceptionGroup as group:
        violations = group.subgroup(invariants.InvariantError)
        if violations is None:
            raise
        return 70
    return 0


def main() -> None:
    """Run the command `basilgate-balancer`."""
    fire.Fire(serve, name="basilgate-balancer")


if __name__ == "__main__":
    main()
