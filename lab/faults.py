"""Scripted and seeded faults of a running cluster.

A fault is an asynchronous function that causes it, waits, and ends it again. Faults
run side by side; one that needs a subject that another fault holds is skipped.
"""

import collections.abc
import dataclasses
import random
import time
import typing

import anyio
import anyio.abc

from basilgate import registry
from lab import cluster
from standins import faultyhost

PLATFORM = "platform"
CALLER_PREFIX = "127.0.0."
DELAY_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Planned occurrence of a fault; `at_s` counts from the start of the run."""

    at_s: float
    fault: str
    subject: str
    seconds: float


@dataclasses.dataclass(slots=True)
class Happened:
    """A fault that was caused; times are Unix seconds, `ended_at` 0 for not yet.

    `planned` marks a change that must not harm any request or flow.
    """

    fault: str
    subject: str
    planned: bool
    began_at: float
    ended_at: float = 0.0
    skipped: bool = False
    exit_status: int | None = None
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """How a fault is caused, and on what: host, target, domain, or platform."""

    cause: collections.abc.Callable[
        ["Bench", Happened, float], collections.abc.Awaitable[None]
    ]
    subject: str
    planned: bool = False


FAULTS: dict[str, Kind] = {}
CAUSES: registry.Registry[typing.Any] = registry.Registry("fault")


def fault(name: str, subject: str, planned: bool = False) -> typing.Any:
    """Return a decorator that registers a fault on a kind of subject."""

    def add(cause: typing.Any) -> typing.Any:
        FAULTS[name] = Kind(CAUSES.register(name)(cause), subject, planned)
        return cause

    return add


class Bench:
    """Causes faults in a cluster and logs what happened.

    Parameters
    ----------
    running : cluster.Cluster
        The cluster.
    """

    def __init__(self, running: cluster.Cluster) -> None:
        self.cluster = running
        self.happened: list[Happened] = []
        self.held: set[str] = set()
        # Network rules of each host, by the fault that set them.
        self.rules: dict[str, dict[int, list[faultyhost.Rule]]] = {}

    async def run(self, schedule: collections.abc.Iterable[Event]) -> None:
        """Cause the faults of a schedule and wait until the last has ended."""
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for event in schedule:
                await anyio.sleep_until(started + event.at_s)
                tasks.start_soon(self.cause, event)

    async def cause(self, event: Event) -> Happened:
        """Cause one fault and end it after its time."""
        kind = FAULTS[event.fault]
        happened = Happened(event.fault, event.subject, kind.planned, time.time())
        self.happened.append(happened)
        if event.subject in self.held or not self.is_present(kind, event.subject):
            happened.skipped = True
            happened.ended_at = happened.began_at
            return happened
        self.held.add(event.subject)
        try:
            await kind.cause(self, happened, event.seconds)
        finally:
            self.held.discard(event.subject)
            happened.ended_at = happened.ended_at or time.time()
        return happened

    def is_present(self, kind: Kind, subject: str) -> bool:
        """Tell whether the subject of a fault runs."""
        if kind.subject == "host":
            return self.cluster.hosts[subject].process is not None
        if kind.subject == "target":
            return self.cluster.targets[subject].process is not None
        return True

    async def start_host(self, name: str) -> None:
        """Start a host and bring the network faults in force to it."""
        await self.cluster.start_host(name)
        await self.push_rules(name)

    async def push_rules(self, name: str) -> None:
        """Send a host all rules in force, cuts first."""
        found = [r for rules in self.rules.get(name, {}).values() for r in rules]
        host = self.cluster.hosts[name]
        if host.process is not None:
            await self.cluster.set_rules(name, sorted(found, key=lambda r: not r.cut))

    async def with_rules(
        self, rules: dict[str, list[faultyhost.Rule]], seconds: float
    ) -> None:
        """Have rules in force at several hosts for a while."""
        key = time.monotonic_ns()
        try:
            await self.change_rules(rules, key)
            await anyio.sleep(seconds)
        finally:
            with anyio.CancelScope(shield=True):
                await self.change_rules({name: [] for name in rules}, key)

    async def change_rules(
        self, rules: dict[str, list[faultyhost.Rule]], key: int
    ) -> None:
        """Put rules in force at several hosts at the same time."""
        async with anyio.create_task_group() as tasks:
            for name, added in rules.items():
                held = self.rules.setdefault(name, {})
                held[key] = added
                if not added:
                    del held[key]
                tasks.start_soon(self.push_rules, name)

    def prefixes(self, domain: str) -> list[str]:
        """Return the IP prefixes of a domain's balancers and targets."""
        number = self.cluster.domains[domain]
        network = self.cluster.network
        return [f"{network}.{number}.", f"{network}.{100 + number}."]


@fault("kill", "host")
async def kill(bench: Bench, happened: Happened, seconds: float) -> None:
    """Kill a balancer and start it again."""
    await bench.cluster.kill_host(happened.subject)
    await anyio.sleep(seconds)
    await bench.start_host(happened.subject)


@fault("pause", "host")
async def pause(bench: Bench, happened: Happened, seconds: float) -> None:
    """Pause a balancer, often past its lease, and resume it."""
    bench.cluster.pause_host(happened.subject)
    try:
        await anyio.sleep(seconds)
    finally:
        bench.cluster.resume_host(happened.subject)
    await bench.push_rules(happened.subject)


@fault("planned_stop", "host", planned=True)
async def planned_stop(bench: Bench, happened: Happened, seconds: float) -> None:
    """Stop a balancer as planned and start it again after a while."""
    happened.exit_status = await bench.cluster.stop_host(happened.subject)
    await anyio.sleep(seconds)
    await bench.start_host(happened.subject)


@fault("restart", "host", planned=True)
async def restart(bench: Bench, happened: Happened, seconds: float) -> None:
    """Stop a balancer as planned and start it again at once."""
    del seconds
    await planned_stop(bench, happened, 0.0)


@fault("join", "domain", planned=True)
async def join(bench: Bench, happened: Happened, seconds: float) -> None:
    """Add a balancer to a domain and remove it again as planned."""
    running = bench.cluster
    number = 1 + sum(h.domain == happened.subject for h in running.hosts.values())
    host = running.add_host(happened.subject, number)
    await bench.start_host(host.name)
    await anyio.sleep(max(seconds, 4.0))
    happened.exit_status = await running.stop_host(host.name)


@fault("drain", "target", planned=True)
async def drain(bench: Bench, happened: Happened, seconds: float) -> None:
    """Declare a target leaving, and lift that again."""
    await hold_override(bench, happened, seconds)


async def hold_override(bench: Bench, happened: Happened, seconds: float) -> None:
    """Have an override of the fault's name in force for at least 5 s."""
    stored = await bench.cluster.override(happened.fault, happened.subject)
    if stored is None:
        happened.skipped = True
        return
    happened.revision = stored.revision
    happened.began_at = time.time()
    await anyio.sleep(max(seconds, 5.0))
    happened.ended_at = time.time()
    await bench.cluster.remove(stored)


@fault("pull", "target", planned=True)
async def pull(bench: Bench, happened: Happened, seconds: float) -> None:
    """Keep new flows from a target, and lift that again."""
    await hold_override(bench, happened, seconds)


@fault("target_death", "target")
async def target_death(bench: Bench, happened: Happened, seconds: float) -> None:
    """Kill a target and start it again."""
    await bench.cluster.kill_target(happened.subject)
    await anyio.sleep(seconds)
    await bench.cluster.start_target(happened.subject)


@fault("freeze", "target")
async def freeze(bench: Bench, happened: Happened, seconds: float) -> None:
    """Let a target leave its requests unanswered for a while."""
    await bench.cluster.set_behaviour(happened.subject, frozen=True)
    await anyio.sleep(seconds)
    await bench.cluster.set_behaviour(happened.subject, frozen=False)


@fault("slow_target", "target")
async def slow_target(bench: Bench, happened: Happened, seconds: float) -> None:
    """Let a target take ten times as long."""
    await bench.cluster.set_behaviour(happened.subject, slow_factor=10.0)
    await anyio.sleep(seconds)
    await bench.cluster.set_behaviour(happened.subject, slow_factor=1.0)


@fault("domain_cut", "domain")
async def domain_cut(bench: Bench, happened: Happened, seconds: float) -> None:
    """Cut a failure domain off from the other domains."""
    rules = {}
    inside = bench.prefixes(happened.subject)
    outside = [
        prefix
        for domain in bench.cluster.domains
        if domain != happened.subject
        for prefix in bench.prefixes(domain)
    ]
    for host in bench.cluster.hosts.values():
        far = outside if host.domain == happened.subject else inside
        rules[host.name] = [faultyhost.Rule(prefix, cut=True) for prefix in far]
    await bench.with_rules(rules, seconds)


@fault("host_cut", "host")
async def host_cut(bench: Bench, happened: Happened, seconds: float) -> None:
    """Cut a balancer off from all others, but not from callers and targets."""
    network = bench.cluster.network
    far = [
        faultyhost.Rule(f"{network}.{number}.", cut=True)
        for number in bench.cluster.domains.values()
    ]
    await bench.with_rules({happened.subject: far}, seconds)


@fault("platform_cut", "domain")
async def platform_cut(bench: Bench, happened: Happened, seconds: float) -> None:
    """Cut a failure domain off from the platform."""
    prefix = bench.prefixes(happened.subject)[0]
    await bench.cluster.set_platform_faults(cut_hosts=[prefix])
    await anyio.sleep(seconds)
    await bench.cluster.set_platform_faults(cut_hosts=[])


@fault("platform_outage", "platform")
async def platform_outage(bench: Bench, happened: Happened, seconds: float) -> None:
    """Have the platform refuse every call."""
    del happened
    await bench.cluster.set_platform_faults(down=True)
    await anyio.sleep(seconds)
    await bench.cluster.set_platform_faults(down=False)


@fault("slow_platform", "platform")
async def slow_platform(bench: Bench, happened: Happened, seconds: float) -> None:
    """Delay the platform's answers by more than a second."""
    del happened
    await bench.cluster.set_platform_faults(delay_s=1.5)
    await anyio.sleep(seconds)
    await bench.cluster.set_platform_faults(delay_s=0.0)


@fault("lost_answers", "platform")
async def lost_answers(bench: Bench, happened: Happened, seconds: float) -> None:
    """Lose the answers of the next writes after they took effect."""
    del happened
    await bench.cluster.set_platform_faults(lose_answers=3)
    await anyio.sleep(seconds)
    await bench.cluster.set_platform_faults(lose_answers=0)


async def disturb(
    bench: Bench, subject: str, seconds: float, **fields: typing.Any
) -> None:
    """Disturb the datagrams between a domain, all other hosts, and callers."""
    network = bench.cluster.network
    prefixes = [f"{network}.{n}." for n in bench.cluster.domains.values()]
    rules = [faultyhost.Rule(p, **fields) for p in [CALLER_PREFIX, *prefixes]]
    hosts = [h.name for h in bench.cluster.hosts.values() if h.domain == subject]
    await bench.with_rules({name: rules for name in hosts}, seconds)


@fault("loss", "domain", planned=True)
async def loss(bench: Bench, happened: Happened, seconds: float) -> None:
    """Lose one datagram in fifty."""
    await disturb(bench, happened.subject, seconds, loss=0.02)


@fault("duplication", "domain", planned=True)
async def duplication(bench: Bench, happened: Happened, seconds: float) -> None:
    """Repeat one datagram in ten."""
    await disturb(bench, happened.subject, seconds, duplication=0.1)


@fault("reordering", "domain", planned=True)
async def reordering(bench: Bench, happened: Happened, seconds: float) -> None:
    """Send one datagram in ten late, and all with the delay between domains."""
    await disturb(bench, happened.subject, seconds, reordering=0.1, delay_s=DELAY_S)


def schedule(
    plan: cluster.Plan,
    targets: collections.abc.Sequence[str],
    seed: int,
    seconds: float,
    names: collections.abc.Iterable[str] = (),
) -> list[Event]:
    """Return random faults that end within `seconds`, the same for each seed.

    Parameters
    ----------
    plan : cluster.Plan
        What is started.
    targets : sequence of str
        Names of the targets.
    seed : int
        Seed of the schedule.
    seconds : float
        Time that the faults may take.
    names : iterable of str
        Faults to choose from; all of them if empty.
    """
    rng = random.Random(seed)
    subjects = {
        "host": [f"{d}-{n + 1}" for d, c in plan.balancers.items() for n in range(c)],
        "target": list(targets),
        "domain": list(plan.balancers),
        "platform": [PLATFORM],
    }
    chosen = sorted(names) or sorted(FAULTS)
    events: list[Event] = []
    at = 2.0
    while True:
        lasts = rng.uniform(2.0, 12.0)
        name = rng.choice(chosen)
        subject = rng.choice(subjects[FAULTS[name].subject])
        if at + lasts > seconds:
            return events
        events.append(Event(round(at, 2), name, subject, round(lasts, 2)))
        at += rng.expovariate(1 / 4.0)
