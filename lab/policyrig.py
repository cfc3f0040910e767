"""Homes, openers, and policies with in-process targets under a virtual clock."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import random
import types
import typing
import unittest.mock

import anyio
import anyio.abc

from basilgate import (
    admission,
    clock,
    effectiveconfig,
    flowopening,
    loadsharing,
    ownedtargets,
    placement,
    probing,
    queueing,
    reasons,
    rendezvous,
    requestrecords,
    retries,
    slots,
    targetowner,
    tokens,
    wire,
)
from standins import virtualtime

SERVICE = 1
REPORT_INTERVAL_S = 0.5
DOMAIN_INTERVAL_S = 1.0
UPKEEP_S = 0.25
RELAY_DELAY_S = 0.001
Result = typing.TypeVar("Result")


def run(
    main: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
) -> Result:
    """Run a coroutine function under the virtual clock, with fake targets."""
    with unittest.mock.patch.object(slots, "connect", connect):
        return virtualtime.run(main)


class FakeTarget:
    """Target in this process; the body of a request starts with its work in us."""

    def __init__(self, number: int, slot_count: int) -> None:
        self.number = number
        self.slots = slot_count
        self.busy = 0
        self.peak = 0
        self.frozen = False
        self.shedding = False
        self.sheds = 0
        self.dead = False
        self.slow_factor = 1.0
        self.busy_s = 0.0
        self.started: collections.Counter[queueing.Key] = collections.Counter()
        self.connections: list[FakeConnection] = []

    def break_connections(self) -> None:
        """Drop all connections, as a crash does."""
        for connection in list(self.connections):
            connection.end()


class FakeConnection(anyio.abc.ByteStream):
    """Slot connection to a fake target."""

    def __init__(self, target: FakeTarget) -> None:
        self.target = target
        self.buffer = bytearray()
        self.arrived = asyncio.Event()
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        self.started_at = 0.0
        self.running: wire.Frame | None = None
        target.connections.append(self)

    async def send(self, item: bytes) -> None:
        """Take a frame from the home."""
        if self.closed:
            raise anyio.ClosedResourceError
        frame = wire.decode(item[4:]).unwrap()
        if frame.kind is wire.Kind.CANCEL:
            self.cancel()
        elif self.target.shedding:
            self.target.sheds += 1
            self.answer(frame, wire.Kind.SHED, reasons.Reason.SHED_BY_TARGET)
        else:
            self.start(frame)

    def start(self, frame: wire.Frame) -> None:
        """Start to work on a request."""
        target = self.target
        target.started[frame.key] += 1
        target.busy += 1
        target.peak = max(target.peak, target.busy)
        self.running = frame
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        if not target.frozen:
            work_s = int(frame.body.split()[0]) / 1e6 * target.slow_factor
            self.timer = loop.call_later(work_s, self.complete)

    def stop_work(self) -> wire.Frame | None:
        """Free the slot and return the request that held it."""
        frame, self.running = self.running, None
        if frame is not None:
            self.target.busy -= 1
            now = asyncio.get_running_loop().time()
            self.target.busy_s += now - self.started_at
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        return frame

    def complete(self) -> None:
        """Answer the request that has run."""
        frame = self.stop_work()
        if frame is not None:
            self.answer(frame, wire.Kind.ANSWER)

    def cancel(self) -> None:
        """Stop the running request; a frozen target does not react."""
        if self.target.frozen:
            return
        frame = self.stop_work()
        if frame is not None:
            self.answer(frame, wire.Kind.CANCELLED, flags=wire.FLAG_STARTED)

    def answer(
        self,
        frame: wire.Frame,
        kind: wire.Kind,
        reason: reasons.Reason = reasons.Reason.NONE,
        flags: int = 0,
    ) -> None:
        """Send a frame to the home."""
        reply = wire.Frame(
            kind,
            frame.service,
            frame.flow,
            frame.request,
            reason=int(reason),
            flags=flags,
            pieces=1,
            body=b"done",
        )
        encoded = wire.encode(reply)
        self.buffer += wire.LENGTH_PREFIX.pack(len(encoded)) + encoded
        self.arrived.set()

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return bytes for the home."""
        while not self.buffer:
            if self.closed:
                raise anyio.EndOfStream
            self.arrived.clear()
            await self.arrived.wait()
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        return data

    def end(self) -> None:
        """End the connection and the work on it."""
        self.closed = True
        self.stop_work()
        if self in self.target.connections:
            self.target.connections.remove(self)
        self.arrived.set()

    async def aclose(self) -> None:
        """Close the home's end."""
        self.end()

    async def send_eof(self) -> None:
        """Do nothing: the home does not end its side alone."""


RIGS: dict[tuple[str, int], FakeTarget] = {}


async def connect(owner: targetowner.TargetOwner) -> anyio.abc.ByteStream | None:
    """Connect a slot to its fake target, None if that is dead."""
    target = RIGS[owner.target.address]
    return None if target.dead else FakeConnection(target)


@dataclasses.dataclass(slots=True)
class Ended:
    """How a request ended at its caller; times in virtual seconds."""

    kind: wire.Kind
    reason: reasons.Reason
    sent_at: float
    ended_at: float
    deadline_ms: int
    tag: str

    @property
    def latency_s(self) -> float:
        """Time from sending to the end."""
        return self.ended_at - self.sent_at


@dataclasses.dataclass(slots=True)
class Plan:
    """What a rig consists of."""

    domains: dict[str, int] = dataclasses.field(default_factory=lambda: {"a": 7})
    hosts: int = 3
    slots: int = 3
    queue_limit: int = 64
    placement: str = "exact"
    queueing: str = "classed_edf"
    admission: str = "adaptive"
    spill: str = "load_transfer"
    work_class: str = "learned"
    retry_share: float = retries.RETRY_SHARE
    connections: int = 2_000


class Host:
    """One balancer host: real homes, opener, spiller, and retrier."""

    def __init__(self, rig: "Rig", domain: str, name: str) -> None:
        self.rig = rig
        self.domain = domain
        self.name = name
        plan = rig.plan
        self.own = typing.cast(
            ownedtargets.OwnedTargets, types.SimpleNamespace(owners={})
        )
        members: typing.Any = types.SimpleNamespace(
            domain=domain, me=types.SimpleNamespace(incarnation=hash_name(name))
        )
        store: typing.Any = None
        self.opener = flowopening.FlowOpener(
            members,
            self.own,
            store,
            rig.ring,
            placement.POLICIES.get(plan.placement),
            86_400,
        )
        self.opener.config = rig.config
        passing = retries.RequestPassing(self.candidates, self.mint, self.deliver)
        self.retrier = retries.Retrier(passing, self.choose, plan.retry_share)
        self.policy = loadsharing.POLICIES.get(plan.spill)()
        self.load_sharer = loadsharing.LoadSharer(self.policy, passing)
        self.load_sharer.elsewhere = self.target_elsewhere
        self.domain_loads = loadsharing.DomainLoads()
        self.context = targetowner.Context(
            send=rig.take_reply,
            lease_until=lambda: anyio.current_time() + 5.0,
            retry=self.retrier.retry,
            report=ignore_report,
            make_queue=queueing.POLICIES.get(plan.queueing),
            max_deadline_s=60.0,
            max_answer_bytes=1 << 20,
            flow_idle_s=10_000.0,
            make_admission=admission.POLICIES.get(plan.admission),
            move=self.load_sharer.move,
            resend=passing.resend,
            record_request=self.retrier.record_request,
        )

    def candidates(self, service: int) -> list[placement.Candidate]:
        """Return the usable targets of the domain."""
        return self.opener.candidates(service)

    def choose(self, candidates: placement.Candidates) -> placement.Candidate:
        """Return the target that a retry goes to."""
        return self.opener.policy(candidates, self.opener.rng)

    def mint(self, candidate: placement.Candidate, flow: int) -> bytes:
        """Return a token for a flow at a target."""
        return self.opener.mint(candidate.target, flow)

    async def deliver(self, frame: wire.Frame, caller: wire.Address) -> None:
        """Bring a frame to the home of its token's target."""
        self.rig.deliver(frame, caller, self.name)

    def target_elsewhere(self, service: int) -> placement.Candidate | None:
        """Return a target in the least loaded domain that has room."""
        least = self.domain_loads.least(service, lambda _: True)
        if least is None:
            return None
        least.sent += 1
        targets = self.rig.config.by_domain[least.name]
        return placement.Candidate(self.opener.rng.choice(targets))

    def on_report(self, loads: list[typing.Any]) -> None:
        """Take in the heartbeat of another host."""
        self.opener.on_loads(loads)
        for load in loads:
            self.load_sharer.on_report(load.target)

    async def rebalance(self) -> None:
        """Move waiting work to targets that have room."""
        for owner in self.own.owners.values():
            if len(owner.queue):
                await self.load_sharer.rebalance(owner)


async def ignore_report(
    owner: targetowner.TargetOwner, record: requestrecords.Record
) -> None:
    """Report nothing: no home changes hands in a rig."""
    del owner, record


def hash_name(name: str) -> int:
    """Return a number for a name that is the same in each run."""
    return rendezvous.score(0, name)


class Rig:
    """Hosts and fake targets of some failure domains.

    Parameters
    ----------
    plan : Plan
        Sizes and policies.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.ring = tokens.KeyRing()
        self.ring.add(1, bytes(32))
        self.ended: dict[queueing.Key, Ended] = {}
        self.sent: dict[queueing.Key, tuple[float, int, str]] = {}
        self.tokens: dict[int, bytes] = {}
        self.answer_tokens: dict[queueing.Key, bytes] = {}
        self.refused_opens: collections.Counter[str] = collections.Counter()
        self.control_messages = 0
        self.control_parts = 0
        self.passed = 0
        self.targets: dict[int, FakeTarget] = {}
        self.config = self.make_config()
        self.hosts: dict[str, Host] = {}
        self.owners: dict[int, targetowner.TargetOwner] = {}
        self.host_of: dict[int, str] = {}
        self.tasks: anyio.abc.TaskGroup
        self.next_request = 0
        self.started_at = 0.0
        # Called with each host's loads before they are sent, to falsify them.
        self.falsify: collections.abc.Callable[[list[typing.Any]], None] = lambda _: (
            None
        )

    def make_config(self) -> effectiveconfig.EffectiveConfig:
        """Return a configuration with one service."""
        plan = self.plan
        config = effectiveconfig.EffectiveConfig()
        config.services[SERVICE] = effectiveconfig.Service(
            "order-desk", SERVICE, plan.work_class, plan.queue_limit, 0.999, 1_000.0
        )
        config.by_service[SERVICE] = []
        number = 0
        for domain, count in plan.domains.items():
            for _ in range(count):
                number += 1
                address = ("rig", number)
                target = effectiveconfig.Target(
                    f"order-desk-{number}",
                    number,
                    SERVICE,
                    domain,
                    address,
                    address,
                    plan.slots,
                    plan.connections,
                    100,
                    admits=True,
                    leaving=False,
                    pinned=False,
                )
                config.targets[number] = target
                config.by_service[SERVICE].append(target)
                config.by_domain.setdefault(domain, []).append(target)
                self.targets[number] = FakeTarget(number, plan.slots)
                RIGS[address] = self.targets[number]
        return config

    def now(self) -> float:
        """Return the virtual seconds since the start."""
        return anyio.current_time() - self.started_at

    @property
    def slot_count(self) -> int:
        """Number of slots of all targets."""
        return sum(target.slots for target in self.targets.values())

    @contextlib.asynccontextmanager
    async def running(self) -> collections.abc.AsyncIterator["Rig"]:
        """Run homes, upkeep, and reports for the duration of a block."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.started_at = anyio.current_time()
            for domain, targets in self.config.by_domain.items():
                names = [f"{domain}-{n}" for n in range(self.plan.hosts)]
                for name in names:
                    self.hosts[name] = Host(self, domain, name)
                for position, target in enumerate(targets):
                    self.start_owner(target, names[position % len(names)])
            tasks.start_soon(self.upkeep)
            tasks.start_soon(self.report)
            tasks.start_soon(self.report_domains)
            await anyio.sleep(0.01)
            yield self
            tasks.cancel_scope.cancel()

    def start_owner(self, target: effectiveconfig.Target, name: str) -> None:
        """Start the home of a target at a host."""
        host = self.hosts[name]
        service = self.config.services[SERVICE]
        owner = targetowner.TargetOwner(target, service, host.context, name)
        host.own.owners[target.id] = owner
        self.owners[target.id] = owner
        self.host_of[target.id] = name
        for number in range(target.slots):
            self.tasks.start_soon(slots.serve, owner, number)

    async def upkeep(self) -> None:
        """Do what homes do at intervals."""
        while True:
            await anyio.sleep(UPKEEP_S)
            for owner in self.owners.values():
                probing.update_health(owner)
                await owner.expire()

    async def report(self) -> None:
        """Exchange heartbeats inside each domain."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            for host in self.hosts.values():
                loads = ownedtargets.OwnedTargets.loads(host.own)
                self.falsify(loads)
                for peer in self.hosts.values():
                    if peer is not host and peer.domain == host.domain:
                        self.control_messages += 1
                        self.control_parts += len(loads)
                        peer.on_report(loads)
            for host in self.hosts.values():
                await host.rebalance()

    async def report_domains(self) -> None:
        """Exchange the loads of the domains."""
        while len(self.config.by_domain) > 1:
            await anyio.sleep(DOMAIN_INTERVAL_S)
            for host in self.hosts.values():
                loads = host.domain_loads.report([SERVICE], host.candidates)
                for peer in self.hosts.values():
                    if peer.domain != host.domain:
                        self.control_messages += 1
                        self.control_parts += len(loads)
                        peer.domain_loads.update(host.domain, loads)

    # Callers.

    def owner(self, domain: str, flow: int) -> Host:
        """Return the host that places a flow in a domain."""
        names = [name for name, host in self.hosts.items() if host.domain == domain]
        return self.hosts[typing.cast(str, rendezvous.pick(flow, names))]

    def open(self, flow: int, domain: str = "a") -> bool:
        """Open a flow; False if that is refused."""
        frame = wire.Frame(wire.Kind.OPEN, SERVICE, flow)
        owner = self.owner(domain, flow)
        elsewhere = owner.domain_loads.domain_for_open(
            owner.policy, SERVICE, owner.candidates(SERVICE), lambda _: True
        )
        if elsewhere is not None:
            owner = self.owner(elsewhere, flow)
        decided = owner.opener.place_flow(frame)
        opened = decided.value_or(None)
        if opened is None:
            self.refused_opens[reasons.label(decided.failure())] += 1
            return False
        refused = self.owners[opened.target_id].admit_flow(flow)
        if refused is not reasons.Reason.NONE:
            self.refused_opens[reasons.label(refused)] += 1
            return False
        self.tokens[flow] = opened.token
        return True

    def target_of(self, flow: int) -> int:
        """Return the target that a flow was placed at."""
        return self.target_in(self.tokens[flow], flow)

    def target_in(self, token: bytes, flow: int) -> int:
        """Return the target that a token names."""
        return tokens.verify(self.ring, token, flow, SERVICE, 0.0).unwrap().target

    def request(
        self,
        flow: int,
        work_s: float,
        deadline_s: float,
        idempotent: bool = True,
        work_class: wire.WorkClass = wire.WorkClass.UNDECLARED,
        caller: str = "127.0.0.1",
        size: int = 32,
        tag: str = "",
    ) -> queueing.Key:
        """Send a request on a flow and return its key."""
        self.next_request += 1
        frame = wire.Frame(
            wire.Kind.REQUEST,
            SERVICE,
            flow,
            self.next_request,
            flags=wire.FLAG_IDEMPOTENT if idempotent else 0,
            work_class=work_class,
            deadline_ms=clock.unix_ms() + int(deadline_s * 1000),
            token=self.tokens[flow],
            body=(b"%d " % max(1, int(work_s * 1e6))).ljust(size, b"."),
        )
        self.sent[frame.key] = (self.now(), frame.deadline_ms, tag)
        self.deliver(frame, (caller, 1), "")
        return frame.key

    def cancel(self, key: queueing.Key) -> None:
        """Cancel a request."""
        flow, request = key
        frame = wire.Frame(
            wire.Kind.CANCEL, SERVICE, flow, request, token=self.tokens[flow]
        )
        self.deliver(frame, ("127.0.0.1", 1), "")

    def deliver(self, frame: wire.Frame, caller: wire.Address, sender: str) -> None:
        """Bring a frame to the home that its token names."""
        target = self.target_in(frame.token, frame.flow)
        if sender:
            self.passed += 1
        delay_s = RELAY_DELAY_S if sender and sender != self.host_of[target] else 0.0
        self.tasks.start_soon(self.arrive, frame, caller, target, delay_s)

    async def arrive(
        self, frame: wire.Frame, caller: wire.Address, target: int, delay_s: float
    ) -> None:
        """Hand a frame to a home after its time on the way."""
        await anyio.sleep(delay_s)
        await self.owners[target].on_frame(frame, caller)

    async def take_reply(self, frame: wire.Frame, caller: wire.Address) -> None:
        """Note the outcome that a caller is told."""
        del caller
        if frame.kind is wire.Kind.PENDING or frame.key in self.ended:
            return
        if frame.key not in self.sent:
            return
        self.answer_tokens[frame.key] = frame.token
        sent_at, deadline_ms, tag = self.sent[frame.key]
        self.ended[frame.key] = Ended(
            frame.kind,
            reasons.from_code(frame.reason),
            sent_at,
            self.now(),
            deadline_ms,
            tag,
        )

    # Results.

    def starts(self) -> collections.Counter[queueing.Key]:
        """Return how often each request was started at a target."""
        total: collections.Counter[queueing.Key] = collections.Counter()
        for target in self.targets.values():
            total.update(target.started)
        return total

    def untrue_refusals(self) -> int:
        """Return the number of requests told "not run" that were started."""
        starts = self.starts()
        return sum(
            ended.kind is wire.Kind.REFUSED and starts[key] > 0
            for key, ended in self.ended.items()
        )

    def oversubscribed(self) -> int:
        """Return the number of targets that had more requests than slots."""
        return sum(target.peak > target.slots for target in self.targets.values())

    def reasons(self) -> collections.Counter[str]:
        """Return the number of requests by outcome and reason."""
        return collections.Counter(
            ended.kind.name.lower()
            + ("" if not ended.reason else ":" + reasons.label(ended.reason))
            for ended in self.ended.values()
        )
