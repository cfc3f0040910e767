"""Open-loop load on the balancers, with a log of what the callers saw.

Latency counts from the moment at which a request was meant to be sent, so that a
stalled caller or balancer does not hide the wait.
"""

import collections.abc
import dataclasses
import json
import pathlib
import random
import sys
import time
import typing

import anyio
import anyio.abc
import fire
import fire.decorators
from returns import result

from basilgate import client, reasons, wire
from lab import histograms
from standins import fabric, target

TARGET_IN_TOKEN = slice(4, 8)
OPEN_LIMIT_S = 5.0
# A request id that no caller's flow reaches, for packets sent to a wrong service.
STRAY_REQUEST = 0xFFFF_0000

Addresses = collections.abc.Callable[[], list[tuple[str, int]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Arrivals of one kind of request.

    `per_s` is the mean rate of Poisson arrivals, `work_ms` the median of lognormal
    service times with shape `sigma`. A share of stragglers takes
    `straggler_factor` times as long. `rate` multiplies the rate over time.
    """

    name: str
    service: int
    work_class: wire.WorkClass
    per_s: float
    work_ms: float = 5.0
    sigma: float = 0.6
    straggler_share: float = 0.0
    straggler_factor: float = 50.0
    answer_bytes: int = 64
    idempotent_share: float = 0.5
    deadline_s: float = 10.0
    rate: collections.abc.Callable[[float], float] = lambda _: 1.0

    def draw_work_ms(self, rng: random.Random) -> float:
        """Return a service time; none is so long that it misses its deadline."""
        drawn = self.work_ms * rng.lognormvariate(0.0, self.sigma)
        if rng.random() < self.straggler_share:
            drawn *= self.straggler_factor
        return min(drawn, self.deadline_s * 1000 / 8)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What the callers do.

    `flows` are the long-lived flows of each service id, `short_flows_per_s` the
    rate of flows that send a few requests and close. `stray_share` is the share of
    requests after which the same flow sends a packet for another service.
    """

    streams: tuple[Stream, ...]
    flows: dict[int, int]
    callers: int = 4
    short_flows_per_s: float = 0.0
    short_flow_requests: int = 2
    stray_share: float = 0.0
    faults: fabric.FabricFaults = dataclasses.field(default_factory=fabric.FabricFaults)


@dataclasses.dataclass(slots=True)
class FlowSeen:
    """A flow as its caller saw it; times are Unix seconds, 0 for not yet."""

    flow: int
    caller: int
    service: int
    target: int
    asked_at: float
    opened_at: float
    closed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class RequestSeen:
    """A request as its caller saw it; times are Unix seconds.

    `outcome` is answered, not_run, or unknown; `whole` tells whether an answer was
    complete and the own one. `probe` marks the last request of a flow, which finds
    out whether the flow still works.
    """

    stream: str
    flow: int
    request: int
    service: int
    idempotent: bool
    meant_at: float
    sent_at: float
    deadline_at: float
    ended_at: float = 0.0
    outcome: str = ""
    reason: str = ""
    whole: bool = True
    probe: bool = False

    @property
    def seconds(self) -> float:
        """Time from the intended sending to the outcome."""
        return self.ended_at - self.meant_at


@dataclasses.dataclass(slots=True)
class Seen:
    """Everything that the callers saw."""

    flows: dict[int, FlowSeen] = dataclasses.field(default_factory=dict)
    requests: list[RequestSeen] = dataclasses.field(default_factory=list)
    failed_opens: list[tuple[float, int, str]] = dataclasses.field(default_factory=list)
    strays: int = 0

    def latencies(self) -> histograms.Latencies:
        """Return the latencies of the answered requests by stream."""
        found = histograms.Latencies()
        for request in self.requests:
            if request.outcome == "answered" and not request.probe:
                found.add(request.stream, request.seconds)
        return found

    def counts(self) -> dict[str, int]:
        """Return the number of requests by outcome and reason."""
        counted: dict[str, int] = {"flows": len(self.flows)}
        for _, _, reason in self.failed_opens:
            label = f"open_failed:{reason}"
            counted[label] = counted.get(label, 0) + 1
        for request in self.requests:
            label = request.outcome or "unfinished"
            if request.reason:
                label += f":{request.reason}"
            counted[label] = counted.get(label, 0) + 1
        return dict(sorted(counted.items()))


def describe_outcome(outcome: client.Outcome) -> tuple[str, str]:
    """Return outcome and reason in words."""
    if isinstance(outcome, client.Answered):
        return "answered", ""
    label = "not_run" if isinstance(outcome, client.NotRun) else "unknown"
    return label, reasons.label(outcome.reason)


class Load:
    """Callers of one experiment.

    Parameters
    ----------
    plan : LoadPlan
        What the callers do.
    addresses : callable
        Returns the balancers that the fabric sprays over.
    seed : int
        Seed of arrivals, service times, and spraying.
    """

    def __init__(self, plan: LoadPlan, addresses: Addresses, seed: int) -> None:
        self.plan = plan
        self.addresses = addresses
        self.seed = seed
        self.seen = Seen()
        self.clients: list[client.Client] = []
        self.flows: dict[int, list[client.Flow]] = {}
        self.balancers = addresses()
        self.tasks: anyio.abc.TaskGroup

    async def run(self, seconds: float) -> None:
        """Run the load, wait for the last outcomes, and probe every flow."""
        async with anyio.create_task_group() as whole:
            await self.connect(whole)
            whole.start_soon(self.follow_hosts)
            async with anyio.create_task_group() as self.tasks:
                await self.open_all()
                started = anyio.current_time()
                for number, stream in enumerate(self.plan.streams):
                    rng = random.Random(f"{self.seed}/{number}")
                    self.tasks.start_soon(self.arrive, stream, rng, started, seconds)
                if self.plan.short_flows_per_s:
                    self.tasks.start_soon(self.short_flows, started, seconds)
            await self.probe()
            whole.cancel_scope.cancel()

    async def connect(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the callers, each with its own socket."""
        for number in range(self.plan.callers):
            transport = await fabric.connect(
                "127.0.0.1",
                self.balancers,
                self.seed * 1_000 + number,
                self.plan.faults,
            )
            caller = client.Client(transport, seed=self.seed * 1_000 + number)
            ready = anyio.Event()
            tasks.start_soon(self.hold, caller, ready)
            await ready.wait()
            self.clients.append(caller)

    async def hold(self, caller: client.Client, ready: anyio.Event) -> None:
        """Keep one caller until the load ends."""
        async with caller:
            ready.set()
            await anyio.sleep_forever()

    async def follow_hosts(self) -> None:
        """Take over changes of the fabric's list of balancers."""
        while True:
            current = self.addresses()
            if current:
                self.balancers[:] = current
            await anyio.sleep(0.25)

    async def open_all(self) -> None:
        """Open the long-lived flows."""
        async with anyio.create_task_group() as tasks:
            for service, count in self.plan.flows.items():
                self.flows.setdefault(service, [])
                for number in range(count):
                    caller = number % len(self.clients)
                    tasks.start_soon(self.open_long, caller, service)
                    await anyio.sleep(0.002)

    async def open_long(self, caller: int, service: int) -> None:
        """Open one long-lived flow."""
        flow = await self.open(caller, service)
        if flow is not None:
            self.flows[service].append(flow)

    async def open(self, caller: int, service: int) -> client.Flow | None:
        """Open one flow and log it."""
        asked_at = time.time()
        deadline_ms = int((asked_at + OPEN_LIMIT_S) * 1000)
        opened = await self.clients[caller].open(service, deadline_ms)
        if isinstance(opened, result.Failure):
            reason = reasons.label(opened.failure())
            self.seen.failed_opens.append((asked_at, service, reason))
            return None
        flow = opened.unwrap()
        number = int.from_bytes(flow.token[TARGET_IN_TOKEN], "big")
        self.seen.flows[flow.number] = FlowSeen(
            flow.number, caller, service, number, asked_at, time.time()
        )
        return flow

    async def arrive(
        self, stream: Stream, rng: random.Random, started: float, seconds: float
    ) -> None:
        """Send requests at random moments, whatever became of the earlier ones."""
        at = started
        while True:
            factor = max(stream.rate(at - started), 1e-6)
            at += rng.expovariate(stream.per_s * factor)
            if at >= started + seconds:
                return
            await anyio.sleep_until(at)
            flows = self.flows[stream.service]
            if not flows:
                continue
            flow = rng.choice(flows)
            late_s = anyio.current_time() - at
            self.tasks.start_soon(
                self.request, stream, flow, rng.getrandbits(64), late_s
            )

    async def request(
        self,
        stream: Stream,
        flow: client.Flow,
        seed: int,
        late_s: float,
        probe: bool = False,
    ) -> RequestSeen:
        """Send one request, log its outcome, and check its answer."""
        rng = random.Random(seed)
        idempotent = probe or rng.random() < stream.idempotent_share
        work_ms = stream.draw_work_ms(rng)
        body = {"work_ms": work_ms, "answer_bytes": stream.answer_bytes}
        now = time.time()
        seen = RequestSeen(
            stream.name,
            flow.number,
            flow.next_request,
            stream.service,
            idempotent,
            now - late_s,
            now,
            now + stream.deadline_s,
            probe=probe,
        )
        self.seen.requests.append(seen)
        outcome = await flow.request(
            json.dumps(body).encode(),
            int(seen.deadline_at * 1000),
            idempotent,
            stream.work_class,
        )
        seen.ended_at = time.time()
        seen.outcome, seen.reason = describe_outcome(outcome)
        if isinstance(outcome, client.Answered):
            frame = wire.Frame(
                wire.Kind.REQUEST, stream.service, flow.number, seen.request
            )
            run_number = outcome.body[: target.RUN_BYTES]
            expected = target.answer_body(frame, stream.answer_bytes, run_number)
            seen.whole = outcome.body == expected
        if rng.random() < self.plan.stray_share:
            await self.stray(flow)
        return seen

    async def stray(self, flow: client.Flow) -> None:
        """Send a packet for another service under a flow's token."""
        others = [s for s in self.plan.flows if s != flow.service]
        for service in others:
            frame = wire.Frame(
                wire.Kind.REQUEST,
                service,
                flow.number,
                request=STRAY_REQUEST + self.seen.strays,
                deadline_ms=client.now_ms() + 2_000,
                token=flow.token,
            )
            self.seen.strays += 1
            await flow.client.transport.send(wire.encode(frame))

    async def short_flows(self, started: float, seconds: float) -> None:
        """Open flows that send a few requests and close."""
        rng = random.Random(f"{self.seed}/short")
        at = started
        while True:
            at += rng.expovariate(self.plan.short_flows_per_s)
            if at >= started + seconds:
                return
            await anyio.sleep_until(at)
            stream = rng.choice(
                [s for s in self.plan.streams if s.work_class is wire.WorkClass.SHORT]
            )
            caller = rng.randrange(len(self.clients))
            self.tasks.start_soon(self.short_flow, stream, caller, rng.getrandbits(64))

    async def short_flow(self, stream: Stream, caller: int, seed: int) -> None:
        """Run one short flow."""
        flow = await self.open(caller, stream.service)
        if flow is None:
            return
        rng = random.Random(seed)
        for _ in range(self.plan.short_flow_requests):
            await self.request(stream, flow, rng.getrandbits(64), 0.0)
        await flow.close()
        self.seen.flows[flow.number].closed_at = time.time()

    async def probe(self) -> None:
        """Send a last request on every long-lived flow."""
        streams = {stream.service: stream for stream in reversed(self.plan.streams)}
        rng = random.Random(f"{self.seed}/probe")
        async with anyio.create_task_group() as tasks:
            for service, flows in self.flows.items():
                stream = dataclasses.replace(
                    streams[service],
                    name="probe",
                    answer_bytes=64,
                    straggler_share=0.0,
                    work_ms=2.0,
                    deadline_s=15.0,
                )
                for flow in flows:
                    tasks.start_soon(
                        self.request, stream, flow, rng.getrandbits(64), 0.0, True
                    )
                    await anyio.sleep(0.005)


def plan_for(
    short_service: int, long_service: int, scale: float = 1.0, **changes: typing.Any
) -> LoadPlan:
    """Return the usual mix: short work with stragglers, and photos of 2 MB."""
    streams = (
        Stream("short", short_service, wire.WorkClass.SHORT, 40 * scale),
        Stream(
            "straggling",
            short_service,
            wire.WorkClass.SHORT,
            5 * scale,
            straggler_share=0.1,
        ),
        Stream(
            "photo",
            long_service,
            wire.WorkClass.LONG,
            0.5 * scale,
            work_ms=60.0,
            answer_bytes=2_000_000,
            idempotent_share=1.0,
            deadline_s=20.0,
        ),
        Stream("notice", long_service, wire.WorkClass.SHORT, 10 * scale),
    )
    plan = LoadPlan(streams, {short_service: 120, long_service: 40})
    return dataclasses.replace(plan, **changes)


@fire.decorators.SetParseFns(balancers=str, seed=int, seconds=float, out=str)
def run(
    balancers: str,
    short_service: int = 1,
    long_service: int = 2,
    seed: int = 1,
    seconds: float = 10.0,
    scale: float = 1.0,
    out: str = "out/load.json",
) -> None:
    """Send the usual mix to balancers that run already.

    Parameters
    ----------
    balancers : str
        Comma-separated ``ip:port`` of the balancers' caller addresses.
    short_service, long_service : int
        Service ids of the short work and of the photos.
    seed : int
        Seed of the run.
    seconds : float
        Duration of the arrivals.
    scale : float
        Factor on all rates.
    out : str
        File for counts and latencies.
    """
    addresses = [
        (host, int(port))
        for host, _, port in (item.rpartition(":") for item in balancers.split(","))
    ]
    load = Load(
        plan_for(short_service, long_service, scale), lambda: list(addresses), seed
    )
    anyio.run(load.run, seconds)
    found = {
        "seed": seed,
        "seconds": seconds,
        "counts": load.seen.counts(),
        "latencies": load.seen.latencies().summary(),
    }
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(found, indent=2) + "\n", encoding="utf-8")
    json.dump(found, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    fire.Fire(run)
