"""Measures how configuration spreads: on a cluster, and at the capacity goal.

Run ``python -m lab.configbench --seed 1``; it ends by itself, prints a table, and
writes out/configbench.json. Times depend on the machine and its load.
"""

import argparse
import collections.abc
import dataclasses
import datetime
import json
import pathlib
import random
import re
import statistics
import sys
import time
import tracemalloc
import typing

import anyio
from returns import result

from basilgate import (
    clock,
    commands,
    effectiveconfig,
    platformapi,
    queries,
    replica,
    storedobjects,
)
from basilgate import sheet as sheets
from lab import cluster, confighosts
from standins import platform as platform_standin

PLAN = cluster.Plan(
    balancers={"suceava": 2, "radauti": 2, "gura": 2, "siret": 2},
    services=(
        cluster.ServicePlan("order-desk", 1, "short", {"suceava": 1, "radauti": 1}),
        cluster.ServicePlan("photo-store", 2, "long", {"gura": 1, "siret": 1}),
    ),
)
POLL_S = 0.02
# Changes that are not in force after this time are counted as late.
CHANGE_LIMIT_S = 30.0
OBSERVED_S = 20.0
RECOVERY_LIMIT_S = 30.0
CONTROL_BYTES = re.compile(r'^basilgate_control_bytes_total\{.*"sent".*\} ([\d.]+)')

SERVICES, TARGETS, DOMAINS, OVERRIDES = 1_400, 4_700, 8, 800


class TimedClient(platformapi.PlatformClient):
    """Client that notes when the last write was accepted, on the monotonic clock."""

    accepted_at = 0.0

    async def put(
        self,
        name: str,
        value: collections.abc.Mapping[str, typing.Any],
        expect_version: int,
    ) -> result.Result[storedobjects.StoredObject, platformapi.Problem]:
        """Write an object and note the time of its acceptance."""
        answer = await super().put(name, value, expect_version)
        if isinstance(answer, result.Success):
            self.accepted_at = time.monotonic()
        return answer

    async def delete(
        self, name: str, version: int
    ) -> result.Result[storedobjects.StoredObject, platformapi.Problem]:
        """Remove an object and note the time of its acceptance."""
        answer = await super().delete(name, version)
        if isinstance(answer, result.Success):
            self.accepted_at = time.monotonic()
        return answer


@dataclasses.dataclass(slots=True)
class Spread:
    """Seconds from acceptance to force on all hosts, for one kind of fault."""

    seconds: list[float] = dataclasses.field(default_factory=list)
    late: int = 0

    def summary(self) -> dict[str, float]:
        """Return number, median, and largest value."""
        return {
            "changes": len(self.seconds) + self.late,
            "median_s": statistics.median(self.seconds) if self.seconds else -1.0,
            "largest_s": max(self.seconds, default=-1.0),
            "late": self.late,
        }


class Bench:
    """Changes of the configuration of a running cluster, and what hosts report.

    Parameters
    ----------
    running : cluster.Cluster
        Balancers and the platform.
    client : TimedClient
        The platform, as an operator reaches it.
    rng : random.Random
        Chooses the changes.
    """

    def __init__(
        self, running: cluster.Cluster, client: TimedClient, rng: random.Random
    ) -> None:
        self.running = running
        self.client = client
        self.rng = rng
        self.session = queries.Session(client, running.http)
        # Versions that were accepted, 0 for removed, by object.
        self.accepted: dict[str, int] = {}
        self.shown: set[tuple[str, str]] = set()
        self.reverts = 0
        self.changes = 0
        self.overrides: list[tuple[str, int]] = []

    async def host_versions(self, name: str) -> dict[str, int] | None:
        """Return what one host has in force, None if it does not answer."""
        wanted = ",".join(self.accepted)
        admin = self.running.hosts[name].admin_url.removeprefix("http://")
        status = await self.session.query_host(admin, "status", objects=wanted)
        return status["configuration"]["objects"] if status is not None else None

    async def check(self, name: str, wanted: dict[str, int], done: set[str]) -> None:
        """Note whether one host has a change, and count what it went back on."""
        held = await self.host_versions(name)
        if held is None:
            return
        for changed, version in self.accepted.items():
            matches = queries.has_versions(held, {changed: version})
            if matches:
                self.shown.add((name, changed))
            elif (name, changed) in self.shown:
                self.reverts += 1
        if queries.has_versions(held, wanted):
            done.add(name)

    async def spread(self, wanted: dict[str, int], into: Spread) -> None:
        """Wait until a change is in force on all hosts that run."""
        accepted_at = self.client.accepted_at
        for name, version in wanted.items():
            self.accepted[name] = version
            self.shown -= {(host, name) for host in self.running.hosts}
        self.changes += 1
        hosts = {name for name, h in self.running.hosts.items() if h.process}
        done: set[str] = set()
        while done < hosts and time.monotonic() - accepted_at < CHANGE_LIMIT_S:
            async with anyio.create_task_group() as tasks:
                for name in hosts - done:
                    tasks.start_soon(self.check, name, wanted, done)
            if done < hosts:
                await anyio.sleep(POLL_S)
        if done < hosts:
            into.late += 1
        else:
            into.seconds.append(time.monotonic() - accepted_at)

    async def change(self) -> dict[str, int]:
        """Make one change that the platform accepts; return what it changed."""
        action = self.rng.random()
        if action < 0.2 and self.overrides:
            place = self.rng.randrange(len(self.overrides))
            name, version = self.overrides.pop(place)
            (await self.client.delete(name, version)).unwrap()
            return {name: 0}
        if action < 0.35:
            return await self.change_sheet()
        return await self.change_override()

    async def change_override(self) -> dict[str, int]:
        """Set an override of a random target."""
        target = self.rng.choice(list(self.running.targets.values()))
        name = f"bench.{self.changes}"
        value = storedobjects.Override(
            id=name,
            kind="weight",
            weight=self.rng.randint(1, 200),
            service=target.service.name,
            target=target.name,
            operator="bench",
            created_at=clock.utc(),
        )
        key = storedobjects.OVERRIDE_PREFIX + name
        written = await self.client.put(key, value.model_dump(mode="json"), 0)
        version = written.unwrap().version
        self.overrides.append((key, version))
        return {key: version}

    async def change_sheet(self) -> dict[str, int]:
        """Apply the sheet with another weight for one target."""
        stored = (await queries.read_sheet(self.client)).unwrap()
        targets = list(stored.content.targets)
        place = self.rng.randrange(len(targets))
        targets[place] = targets[place].model_copy(
            update={"weight": targets[place].weight % 500 + 1}
        )
        content = dataclasses.replace(stored.content, targets=tuple(targets))
        text = ini(content)
        outcome = await commands.apply_sheet(
            self.session, text, stored.version, "bench"
        )
        assert outcome.exit == 0, outcome.lines
        return {storedobjects.SHEET: int(outcome.data["version"])}

    # Phases.

    async def phase_up(self, changes: int) -> Spread:
        """Make changes while everything works."""
        found = Spread()
        for _ in range(changes):
            await self.spread(await self.change(), found)
        return found

    async def phase_cut(self, changes: int) -> Spread:
        """Make changes while one failure domain does not reach the platform."""
        network = self.running.hosts["suceava-1"].address.rpartition(".")[0] + "."
        await self.running.set_platform_faults(cut_hosts=[network])
        found = await self.phase_up(changes)
        await self.running.set_platform_faults(cut_hosts=[])
        await self.recover()
        return found

    async def phase_down(self, changes: int) -> Spread:
        """Make changes that one host sees before the platform is down."""
        found = Spread()
        names = list(self.running.hosts)
        for _ in range(changes):
            kept = self.rng.choice(names)
            cut = [h.address for n, h in self.running.hosts.items() if n != kept]
            await self.running.set_platform_faults(cut_hosts=cut)
            changed = await self.change_override()
            await self.running.set_platform_faults(down=True)
            await self.spread(changed, found)
            await self.running.set_platform_faults(down=False, cut_hosts=[])
            await self.recover()
        return found

    async def phase_restart(self) -> float:
        """Restart a host while the platform is down; return seconds to force."""
        await self.running.set_platform_faults(down=True)
        await self.running.kill_host("radauti-2")
        started = time.monotonic()
        await self.running.start_host("radauti-2")
        seconds = -1.0
        while time.monotonic() - started < RECOVERY_LIMIT_S:
            held = await self.host_versions("radauti-2")
            if held is not None and queries.has_versions(held, self.accepted):
                seconds = time.monotonic() - started
                break
            await anyio.sleep(POLL_S)
        await self.running.set_platform_faults(down=False)
        await self.recover()
        return seconds

    async def recover(self) -> None:
        """Wait until every host follows the platform again."""
        with anyio.fail_after(RECOVERY_LIMIT_S):
            while True:
                states = [await self.running.status(n) for n in self.running.hosts]
                if all(state["platform_lost_at"] is None for state in states):
                    return
                await anyio.sleep(0.1)

    async def observe(self, changes_per_s: float) -> dict[str, float]:
        """Return platform calls and control bytes a second and host."""
        hosts = len(self.running.hosts)
        calls, sent = await self.platform_calls(), await self.control_bytes()
        started = time.monotonic()
        while time.monotonic() - started < OBSERVED_S:
            if changes_per_s:
                self.accepted |= await self.change_override()
                self.changes += 1
            await anyio.sleep(1 / changes_per_s if changes_per_s else 1.0)
        elapsed = time.monotonic() - started
        return {
            "calls_per_s_host": (await self.platform_calls() - calls) / elapsed / hosts,
            "control_bytes_per_s_host": (await self.control_bytes() - sent)
            / elapsed
            / hosts,
        }

    async def platform_calls(self) -> int:
        """Return the number of calls that balancers have made."""
        answer = await self.running.http.get(self.running.platform_url + "/calls")
        addresses = {f"from {host.address}" for host in self.running.hosts.values()}
        return sum(n for label, n in answer.json().items() if label in addresses)

    async def control_bytes(self) -> float:
        """Return the bytes of control messages that all hosts have sent."""
        total = 0.0
        for host in self.running.hosts.values():
            text = (await self.running.http.get(host.admin_url + "/metrics")).text
            found = [CONTROL_BYTES.match(line) for line in text.splitlines()]
            total += sum(float(match[1]) for match in found if match)
        return total

    async def lost_changes(self) -> int:
        """Return the accepted changes that some host does not have at the end."""
        lost = set()
        for name in self.running.hosts:
            held = await self.host_versions(name) or {}
            lost |= {
                changed
                for changed, version in self.accepted.items()
                if not queries.has_versions(held, {changed: version})
            }
        return len(lost)


def ini(content: sheets.Content) -> str:
    """Return a sheet as INI text."""
    lines = ["[sheet]", f"date = {content.date or datetime.date(2026, 12, 4)}"]
    sections: tuple[tuple[str, collections.abc.Sequence[typing.Any]], ...] = (
        ("failure_domain", content.domains),
        ("service", content.services),
        ("target", content.targets),
    )
    for kind, models in sections:
        for model in models:
            lines.append(f"[{kind} {model.name}]")
            values = model.model_dump(mode="json", exclude={"name"})
            lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines)


async def on_cluster(seed: int) -> dict[str, typing.Any]:
    """Return the figures of 8 balancers in 4 failure domains."""
    rng = random.Random(seed)
    async with (
        cluster.running(PLAN) as running,
        TimedClient(running.platform_url, timeout_s=5.0) as client,
    ):
        bench = Bench(running, client, rng)
        await bench.recover()
        figures: dict[str, typing.Any] = {"idle": await bench.observe(0.0)}
        figures["up"] = (await bench.phase_up(20)).summary()
        figures["domain_cut"] = (await bench.phase_cut(10)).summary()
        figures["down_after"] = (await bench.phase_down(5)).summary()
        figures["changing"] = await bench.observe(1.0)
        figures["restart_in_outage_s"] = await bench.phase_restart()
        await anyio.sleep(2.0)
        figures["changes"] = bench.changes
        figures["lost_changes"] = await bench.lost_changes()
        figures["reverts"] = bench.reverts
    return figures


# The capacity goal.


def capacity_content(rng: random.Random) -> sheets.Content:
    """Return a sheet at the size of the capacity goal."""
    domains = [f"domain-{number}" for number in range(1, DOMAINS + 1)]
    targets = []
    for number in range(1, TARGETS + 1):
        service = number if number <= SERVICES else rng.randint(1, SERVICES)
        domain = rng.randrange(DOMAINS)
        address = f"10.{domain}.{number // 250}.{number % 250 + 1}"
        targets.append(
            storedobjects.SheetTarget(
                name=f"target-{number}",
                id=number,
                service=f"service-{service}",
                failure_domain=domains[domain],
                address=f"{address}:8000",
                admin=f"{address}:8001",
            )
        )
    return sheets.Content(
        tuple(
            storedobjects.SheetDomain(name=n, number=i + 1)
            for i, n in enumerate(domains)
        ),
        tuple(
            storedobjects.SheetService(
                name=f"service-{number}",
                id=number,
                address=f"203.0.113.{number % 250 + 1}:{443 + number}",
                work_class="short",
            )
            for number in range(1, SERVICES + 1)
        ),
        tuple(targets),
        datetime.date(2026, 12, 4),
    )


def timed(
    action: collections.abc.Callable[[], typing.Any], repeats: int = 5
) -> tuple[float, typing.Any]:
    """Return the median of the seconds that an action takes, and its result."""
    seconds = []
    found = None
    for _ in range(repeats):
        started = time.perf_counter()
        found = action()
        seconds.append(time.perf_counter() - started)
    return statistics.median(seconds), found


def capacity_overrides(
    rng: random.Random, content: sheets.Content
) -> list[storedobjects.Override]:
    """Return standing overrides of random targets."""
    chosen = rng.sample(content.targets, OVERRIDES)
    return [
        storedobjects.Override(
            id=f"o.{number}",
            kind="pull",
            service=target.service,
            target=target.name,
            operator="bench",
            reason="maintenance of the rack",
            created_at=clock.utc(),
        )
        for number, target in enumerate(chosen)
    ]


def sizes(rng: random.Random) -> dict[str, typing.Any]:
    """Return sizes and processing times of a sheet at the capacity goal."""
    content = capacity_content(rng)
    text = ini(content)
    parse_s, parsed = timed(lambda: sheets.parse(text), 3)
    divide_s, parts = timed(lambda: sheets.divide(parsed.unwrap()), 3)
    bytes_of = [len(storedobjects.canonical_json(part)) for part in parts.values()]
    changed = list(content.targets)
    changed[99] = changed[99].model_copy(update={"weight": 7})
    others = sheets.divide(dataclasses.replace(content, targets=tuple(changed)))
    manifest = storedobjects.Sheet(
        date=datetime.date(2026, 12, 4),
        applied_at=clock.utc(),
        parts=tuple(parts),
    )
    stored = [
        storedobjects.StoredObject(storedobjects.SHEET_PART_PREFIX + name, 1, 1, part)
        for name, part in parts.items()
    ]
    stored.append(
        storedobjects.StoredObject(
            storedobjects.SHEET, 1, 2, manifest.model_dump(mode="json")
        )
    )
    stored += [
        storedobjects.StoredObject(
            storedobjects.OVERRIDE_PREFIX + entry.id,
            1,
            3,
            entry.model_dump(mode="json"),
        )
        for entry in capacity_overrides(rng, content)
    ]

    def load() -> replica.Replica:
        store = replica.Replica()
        store.apply_all(stored)
        return store

    load_s, store = timed(load, 3)
    memory_bytes = memory_of(stored)
    now = clock.utc()
    prepare_s, base = timed(lambda: effectiveconfig.prepare_sheet(store.sheet_parts()))
    merge_s, merged = timed(
        lambda: effectiveconfig.merge(base, effectiveconfig.overrides_of(store), now)
    )
    return {
        "sheet_ini_bytes": len(text),
        "parts": len(parts),
        "parts_bytes": sum(bytes_of),
        "largest_part_bytes": max(bytes_of),
        "manifest_bytes": len(
            storedobjects.canonical_json(manifest.model_dump(mode="json"))
        ),
        "parts_changed_by_one_line": len(set(others) - set(parts)),
        "targets": len(merged.targets),
        "overrides": OVERRIDES,
        "parse_s": parse_s,
        "divide_s": divide_s,
        "load_replica_s": load_s,
        "memory_bytes": memory_bytes,
        "prepare_sheet_s": prepare_s,
        "merge_s": merge_s,
    }


def memory_of(stored: collections.abc.Iterable[storedobjects.StoredObject]) -> int:
    """Return the bytes of a replica and the configuration merged from it."""
    texts = [json.dumps(dataclasses.astuple(entry)) for entry in stored]
    tracemalloc.start()
    store = replica.Replica()
    store.apply_all(storedobjects.StoredObject(*json.loads(text)) for text in texts)
    base = effectiveconfig.prepare_sheet(store.sheet_parts())
    merged = effectiveconfig.merge(
        base, effectiveconfig.overrides_of(store), clock.utc()
    )
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(merged.targets) == TARGETS
    return used


async def spread_at_capacity(rng: random.Random) -> dict[str, typing.Any]:
    """Return how changes spread to 8 hosts in one process at the capacity goal."""
    content = capacity_content(rng)
    standin = platform_standin.Platform()
    hosts = [
        confighosts.ConfigHost(f"h{n}", f"domain-{n % 4 + 1}", connect(standin))
        for n in range(8)
    ]
    session = confighosts.session(connect(standin))
    outcome = await commands.apply_sheet(session, ini(content), 0, "bench")
    for entry in capacity_overrides(rng, content):
        name = storedobjects.OVERRIDE_PREFIX + entry.id
        standin.store.write(name, entry.model_dump(mode="json"))
    figures: dict[str, typing.Any] = {"writes": standin.store.revision}
    async with anyio.create_task_group() as tasks:
        standin.calls.clear()
        started = time.monotonic()
        for host in hosts:
            await tasks.start(host.run)
        await until(lambda: all(host.store.complete_revision for host in hosts))
        await until(lambda: all(host.store.sheet_version == 1 for host in hosts))
        figures["start_s"] = time.monotonic() - started
        reads = sum(n for k, n in standin.calls.items() if k.startswith("GET /obj"))
        figures["start_reads_per_host"] = reads / len(hosts)
        figures["override_s"] = await capacity_override(standin, hosts)
        targets = list(content.targets)
        targets[99] = targets[99].model_copy(update={"weight": 7})
        changed = dataclasses.replace(content, targets=tuple(targets))
        before = standin.store.revision
        outcome = await commands.apply_sheet(session, ini(changed), 1, "bench")
        started = time.monotonic()
        await until(lambda: all(host.store.sheet_version == 2 for host in hosts))
        figures["sheet_line_s"] = time.monotonic() - started
        figures["sheet_line_writes"] = standin.store.revision - before
        figures["sheet_line_exit"] = int(outcome.exit)
        figures["reverts"] = sum(len(host.reverts) for host in hosts)
        tasks.cancel_scope.cancel()
    return figures


def connect(standin: platform_standin.Platform) -> platformapi.PlatformClient:
    """Return a client whose calls may wait for the other hosts' work."""
    client = confighosts.connect(standin)
    client.timeout_s = CHANGE_LIMIT_S
    return client


async def capacity_override(
    standin: platform_standin.Platform,
    hosts: collections.abc.Sequence[confighosts.ConfigHost],
) -> float:
    """Return the seconds until an override has been merged by all hosts."""
    merged: set[str] = set()
    for host in hosts:

        def merge(_: object, host: confighosts.ConfigHost = host) -> None:
            host.effective()
            merged.add(host.name)

        host.store.subscribe_batches(merge)
    value = storedobjects.Override(
        id="late",
        kind="drain",
        service="service-1",
        target="target-1",
        operator="bench",
        created_at=clock.utc(),
    )
    standin.store.write("override/late", value.model_dump(mode="json"))
    started = time.monotonic()
    await until(lambda: len(merged) == len(hosts))
    return time.monotonic() - started


async def until(check: collections.abc.Callable[[], bool]) -> None:
    """Wait until a check holds."""
    with anyio.fail_after(4 * CHANGE_LIMIT_S):
        while not check():
            await anyio.sleep(0.005)


def show(figures: dict[str, typing.Any], prefix: str = "") -> None:
    """Print figures as a table."""
    for name, value in figures.items():
        if isinstance(value, dict):
            show(value, f"{prefix}{name}.")
        else:
            text = f"{value:.4g}" if isinstance(value, float) else str(value)
            print(f"{prefix + name:<44} {text:>14}")


def main() -> int:
    """Run all measurements; non-zero if a change was lost, late, or reverted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    figures: dict[str, typing.Any] = {"seed": arguments.seed}
    figures["capacity"] = sizes(random.Random(arguments.seed))
    figures["capacity_spread"] = anyio.run(
        spread_at_capacity, random.Random(arguments.seed)
    )
    figures["cluster"] = anyio.run(on_cluster, arguments.seed)
    show(figures)
    path = pathlib.Path("out") / "configbench.json"
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    found = figures["cluster"]
    faults = found["lost_changes"] + found["reverts"]
    faults += sum(found[phase]["late"] for phase in ("up", "domain_cut", "down_after"))
    return 0 if faults == 0 and found["restart_in_outage_s"] >= 0 else 1


if __name__ == "__main__":
    sys.exit(main())
