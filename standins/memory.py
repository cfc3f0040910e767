"""Platform and network in memory, for tests of several members in one process."""

import collections
import collections.abc
import dataclasses
import random
import typing

import anyio
import anyio.abc
from returns import result

from basilgate import (
    clock,
    controlmessages,
    effectiveconfig,
    membership,
    ownedtargets,
    platformapi,
    queueing,
    reasons,
    replica,
    requestrecords,
    settings,
    storedobjects,
    targetowner,
    wire,
)
from peerproto import ttypes

DOMAIN = "d1"
CALLER = ("127.0.0.1", 9)

Problem = platformapi.Problem
ProblemKind = platformapi.ProblemKind


class MemoryPlatform:
    """Object store with conditional writes.

    `down` refuses calls, `lose_answers` drops that many answers after the write,
    `delay_s` delays each call.
    """

    def __init__(self) -> None:
        self.objects: dict[str, storedobjects.StoredObject] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.delay_s = 0.0
        self.writes = 0

    async def get(
        self, name: str
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Return one object."""
        await anyio.sleep(self.delay_s + 0.002)
        if self.down:
            return result.Failure(Problem(ProblemKind.UNAVAILABLE))
        held = self.objects.get(name)
        if held is None:
            return result.Failure(Problem(ProblemKind.NOT_FOUND))
        return result.Success(held)

    async def put(
        self,
        name: str,
        value: collections.abc.Mapping[str, typing.Any],
        expect_version: int,
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Write an object if its version is the expected one."""
        await anyio.sleep(self.delay_s + 0.002)
        if self.down:
            return result.Failure(Problem(ProblemKind.UNAVAILABLE))
        held = self.objects.get(name)
        version = held.version if held is not None else 0
        if version != expect_version:
            return result.Failure(Problem(ProblemKind.CONFLICT, name, version))
        self.revision += 1
        self.writes += 1
        stored = storedobjects.StoredObject(name, version + 1, self.revision, value)
        self.objects[name] = stored
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, name))
        return result.Success(stored)


@dataclasses.dataclass(slots=True)
class MemoryTarget:
    """Target that takes `work_s` for each request and notes what it starts."""

    work_s: float = 0.02
    running: int = 0
    peak: int = 0
    starts: collections.Counter[tuple[int, int]] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def run(self, frame: wire.Frame) -> bool:
        """Run a request; False if it came after its start-by time."""
        if clock.unix_ms() > frame.deadline_ms:
            return False
        self.starts[frame.key] += 1
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await anyio.sleep(self.work_s)
        finally:
            self.running -= 1
        return True


class Node:
    """One balancer of a failure domain: its membership and its homes.

    A paused node neither sends nor receives, and its tasks make no progress that
    others could see.
    """

    def __init__(self, network: "MemoryNetwork", name: str, number: int) -> None:
        self.network = network
        self.name = name
        self.address = (f"127.0.0.{number}", 7001)
        self.store = replica.Replica()
        self.scope = anyio.CancelScope()
        self.paused = False
        self.first_view: storedobjects.StoredObject | None = None
        me = storedobjects.Member(
            host=name,
            incarnation=network.next_incarnation(),
            callers=f"127.0.0.{number}:7000",
            peers=f"127.0.0.{number}:7001",
            admin=f"127.0.0.{number}:7002",
        )
        self.members = membership.Membership(
            me,
            DOMAIN,
            self.store,
            typing.cast(platformapi.PlatformClient, NodePlatform(self)),
            network.codec,
            self.send,
        )
        context = targetowner.Context(
            send=self.send_to_caller,
            lease_until=self.members.lease_until,
            retry=self.retry,
            report=self.report,
            make_queue=queueing.ClassedDeadlineQueue,
            max_deadline_s=60.0,
            max_answer_bytes=1 << 20,
            flow_idle_s=120.0,
        )
        self.owned_targets = ownedtargets.OwnedTargets(
            self.members, context, network.codec
        )
        self.owned_targets.call = self.call
        self.owned_targets.serve_slot = self.serve_slot
        self.members.on_change = self.on_change
        self.members.on_stale_replica = self.on_stale_replica
        self.members.loads = self.owned_targets.loads

    def on_change(self) -> None:
        """Follow a change of the view."""
        self.owned_targets.reassign(self.network.config)

    def on_stale_replica(self, address: tuple[str, int]) -> None:
        """Take a newer view from a peer."""
        peer = self.network.reachable(self, address)
        stored = peer.store.stored.get(self.members.view_name) if peer else None
        if stored is not None:
            self.store.apply(stored)

    async def run(self) -> None:
        """Run until the node is killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.owned_targets.tasks = tasks
                self.owned_targets.reassign(self.network.config)
                if self.first_view is not None:
                    self.store.apply(self.first_view)
                await self.members.run()

    async def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a control datagram through the network."""
        self.network.deliver(self, datagram, address)

    async def send_to_caller(self, frame: wire.Frame, caller: wire.Address) -> None:
        """Note an outcome that reaches the caller."""
        del caller
        if not self.paused and self.network.nodes.get(self.address) is self:
            self.network.outcomes.setdefault(frame.key, []).append(frame)

    async def retry(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> reasons.Reason:
        """Leave retries out."""
        del owner, record
        return reasons.Reason.NO_TARGET

    async def report(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> None:
        """Tell the new home about the end of a request."""
        await self.owned_targets.report(owner, record)

    async def call(
        self,
        codec: controlmessages.Codec,
        address: tuple[str, int],
        field: str,
        message: typing.Any,
    ) -> result.Result[tuple[str, typing.Any], reasons.Reason]:
        """Make a call between balancers."""
        await anyio.sleep(0.002)
        peer = self.network.reachable(self, address)
        if peer is None:
            await anyio.sleep(0.5)
            return result.Failure(reasons.Reason.NO_REPLY)
        _, copy = codec.decode(codec.encode(field, message)).unwrap()
        if field == "handover":
            refused = await peer.owned_targets.on_handover(copy)
        else:
            refused = peer.owned_targets.on_completion(copy)
        await anyio.sleep(0.002)
        if self.network.reachable(self, address) is None:
            return result.Failure(reasons.Reason.NO_REPLY)
        reply = ttypes.Acknowledgement(refused is reasons.Reason.NONE, int(refused))
        return result.Success(("acknowledgement", reply))

    async def serve_slot(self, owner: targetowner.TargetOwner, number: int) -> None:
        """Run requests of one slot at the target in memory."""
        del number
        target = self.network.targets[owner.target.id]
        while True:
            record = await owner.next_work()
            frame = owner.prepare_forward(record)
            while self.paused:
                await anyio.sleep(0.01)
            if await target.run(frame):
                answer = wire.Frame(
                    wire.Kind.ANSWER, 1, record.flow, record.request, body=b"answer"
                )
                await owner.on_piece(record, answer)
                await owner.finish(record, requestrecords.RecordState.ANSWERED)
            else:
                record.forwarded = False
                await owner.refuse(record, reasons.Reason.START_BY_PASSED)

    def receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Handle a control message."""
        context = controlmessages.context_of(self.address)
        field, message = self.network.codec.decode(datagram, context).unwrap()
        if field == "heartbeat":
            self.members.on_heartbeat(message, sender)
        elif field == "view_changed":
            self.members.on_view_changed(message)

    async def request(self, target: int, frame: wire.Frame, hops: int = 0) -> None:
        """Bring a caller's frame to the target's home, as the balancer does."""
        if self.paused:
            return
        member = self.members.owner_of(target)
        if member is None:
            return
        if member == self.members.me:
            owner = self.owned_targets.owners.get(target)
            if owner is not None and not self.owned_targets.previous_owner_of(
                target, frame
            ):
                await owner.on_frame(frame, CALLER)
        elif hops < wire.MAX_HOPS:
            peer = self.network.reachable(self, settings.split_address(member.peers))
            if peer is not None:
                await anyio.sleep(0.001)
                await peer.request(target, frame, hops + 1)


class NodePlatform:
    """The platform as one node reaches it."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def get(
        self, name: str
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Return one object."""
        if self.node.paused or self.node.name in self.node.network.off_platform:
            return result.Failure(Problem(ProblemKind.UNAVAILABLE))
        return await self.node.network.platform.get(name)

    async def put(
        self,
        name: str,
        value: collections.abc.Mapping[str, typing.Any],
        expect_version: int,
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Write an object if its version is the expected one."""
        if self.node.paused or self.node.name in self.node.network.off_platform:
            return result.Failure(Problem(ProblemKind.UNAVAILABLE))
        return await self.node.network.platform.put(name, value, expect_version)


class MemoryNetwork:
    """Nodes of one failure domain, with delays, losses, and cuts between them.

    Parameters
    ----------
    seed : int
        Seed of delays and losses.
    targets : int
        Number of targets of the domain.
    """

    def __init__(self, seed: int, targets: int = 3) -> None:
        self.platform = MemoryPlatform()
        self.codec = controlmessages.Codec(bytes(32))
        self.rng = random.Random(seed)
        self.nodes: dict[tuple[str, int], Node] = {}
        self.cuts: set[frozenset[str]] = set()
        self.off_platform: set[str] = set()
        self.loss = 0.0
        self.incarnations = 0
        self.outcomes: dict[tuple[int, int], list[wire.Frame]] = {}
        self.targets = {number: MemoryTarget() for number in range(1, targets + 1)}
        self.config = make_config(targets)
        self.tasks: anyio.abc.TaskGroup | None = None

    def next_incarnation(self) -> int:
        """Return a higher incarnation than all before."""
        self.incarnations += 1
        return self.incarnations

    def start(self, name: str, number: int) -> Node:
        """Start a node that joins; one at the same address is replaced."""
        node = Node(self, name, number)
        self.nodes[node.address] = node
        assert self.tasks is not None
        self.tasks.start_soon(node.run)
        return node

    async def start_members(self, count: int) -> None:
        """Start nodes that are members of the first view."""
        nodes = [Node(self, f"h{n}", n) for n in range(1, count + 1)]
        view = storedobjects.View(
            domain=DOMAIN, epoch=1, members=tuple(node.members.me for node in nodes)
        )
        name = storedobjects.VIEW_PREFIX + DOMAIN
        written = await self.platform.put(name, view.model_dump(mode="json"), 0)
        assert self.tasks is not None
        for node in nodes:
            self.nodes[node.address] = node
            node.first_view = written.unwrap()
            self.tasks.start_soon(node.run)

    def kill(self, node: Node) -> None:
        """End a node without warning."""
        node.scope.cancel()
        self.nodes.pop(node.address, None)

    def cut(self, one: Node, other: Node) -> None:
        """Stop everything between two nodes."""
        self.cuts.add(frozenset((one.name, other.name)))

    def reachable(self, source: Node, address: tuple[str, int]) -> Node | None:
        """Return the node at an address if both ends run and no cut is between."""
        target = self.nodes.get(address)
        if target is None or target.paused or source.paused:
            return None
        if frozenset((target.name, source.name)) in self.cuts:
            return None
        return target

    def deliver(self, source: Node, datagram: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after a short delay, unless it is lost."""
        if self.reachable(source, address) is None or self.rng.random() < self.loss:
            return
        assert self.tasks is not None
        self.tasks.start_soon(self.arrive, source, datagram, address)

    async def arrive(
        self, source: Node, datagram: bytes, address: tuple[str, int]
    ) -> None:
        """Hand a datagram over once its delay is past."""
        await anyio.sleep(self.rng.uniform(0.0005, 0.0015))
        target = self.nodes.get(address)
        if target is not None and not target.paused:
            target.receive(datagram, source.address)


def make_config(targets: int) -> effectiveconfig.EffectiveConfig:
    """Return a configuration with one service and some targets."""
    config = effectiveconfig.EffectiveConfig()
    config.services[1] = effectiveconfig.Service("desk", 1, "short", 64, 0.999, 1000.0)
    config.service_ids["desk"] = 1
    for number in range(1, targets + 1):
        target = effectiveconfig.Target(
            name=f"desk-{number}",
            id=number,
            service=1,
            domain=DOMAIN,
            address=("127.0.0.1", 1),
            admin=("127.0.0.1", 2),
            slots=3,
            connections=2_000,
            weight=100,
            admits=True,
            leaving=False,
            pinned=False,
        )
        config.targets[number] = target
        config.by_service.setdefault(1, []).append(target)
        config.by_domain.setdefault(DOMAIN, []).append(target)
    return config
