"""Starts balancers, targets, and the platform as processes on loopback."""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
import typing

import anyio
import anyio.abc
import httpx
from returns import result

from basilgate import datagrams, platformapi, storedobjects
from standins import faultyhost, hostlist

SECRET = "5a" * 32
CALLERS_PORT = 7000
PEERS_PORT = 7001
ADMIN_PORT = 7002
TARGET_PORT = 8000
TARGET_ADMIN_PORT = 8001
PLATFORM_PORT = 9000
START_LIMIT_S = 30.0
STOP_LIMIT_S = 90.0
CONTROL_TRIES = 5
CONTROL_WAIT_S = 0.3
FAULTY_MODULE = "standins.faultyhost"
INTERRUPTED_STATUS = 130
OPERATOR_TRIES = 40
OPERATOR_PAUSE_S = 0.5

Write = collections.abc.Callable[
    [],
    collections.abc.Awaitable[
        result.Result[storedobjects.StoredObject, platformapi.Problem]
    ],
]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service and the number of its targets in each failure domain."""

    name: str
    id: int
    work_class: str
    targets: dict[str, int]
    queue_limit: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to start; `balancers` is the number of balancers by failure domain."""

    balancers: dict[str, int]
    services: tuple[ServicePlan, ...]
    extra_settings: str = ""
    balancer_module: str = "basilgate.balancer"
    # Time until the fabric notices that a host has come or gone.
    fabric_lag_s: float = 2.0


@dataclasses.dataclass(slots=True)
class Host:
    """A balancer process."""

    name: str
    domain: str
    address: str
    settings_file: pathlib.Path
    process: anyio.abc.Process | None = None

    @property
    def callers(self) -> tuple[str, int]:
        """Address that takes frames from the fabric."""
        return (self.address, CALLERS_PORT)

    @property
    def admin_url(self) -> str:
        """Base URL of the admin interface."""
        return f"http://{self.address}:{ADMIN_PORT}"


@dataclasses.dataclass(slots=True)
class TargetHost:
    """A target process."""

    name: str
    id: int
    domain: str
    service: ServicePlan
    address: str
    process: anyio.abc.Process | None = None

    @property
    def admin_url(self) -> str:
        """Base URL of the health and load endpoints."""
        return f"http://{self.address}:{TARGET_ADMIN_PORT}"


def planned_targets(plan: Plan) -> list[TargetHost]:
    """Return the targets of a plan, without addresses."""
    places = [
        (service, domain, number)
        for service in plan.services
        for domain, count in service.targets.items()
        for number in range(1, count + 1)
    ]
    return [
        TargetHost(f"{service.name}-{domain}-{number}", ident, domain, service, "")
        for ident, (service, domain, number) in enumerate(places, start=1)
    ]


class Cluster:
    """Processes of one experiment; use `running` to start and end them.

    Parameters
    ----------
    plan : Plan
        What to start.
    folder : pathlib.Path
        Folder for settings, journals, and logs.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        # Processes of different runs use different addresses.
        run = 16 + (os.getpid() + time.time_ns() // 1_000_000) % 220
        self.network = f"127.{run}"
        self.platform_url = f"http://{self.network}.0.1:{PLATFORM_PORT}"
        self.domains = {name: n for n, name in enumerate(plan.balancers, start=1)}
        self.hosts: dict[str, Host] = {}
        self.targets: dict[str, TargetHost] = {}
        self.platform: anyio.abc.Process | None = None
        self.http = httpx.AsyncClient(timeout=5.0, trust_env=False)
        self.operator = platformapi.PlatformClient(self.platform_url)
        self.processes: list[anyio.abc.Process] = []
        self.start_limit_s = START_LIMIT_S
        self.fabric = hostlist.HostList(plan.fabric_lag_s)

    def layout(self) -> None:
        """Name and address every host and target."""
        for domain, count in self.plan.balancers.items():
            for number in range(1, count + 1):
                self.add_host(domain, number)
        for target in planned_targets(self.plan):
            number = 100 + self.domains[target.domain]
            target.address = f"{self.network}.{number}.{target.id % 250}"
            self.targets[target.name] = target

    def add_host(self, domain: str, number: int) -> Host:
        """Name and address a balancer host."""
        name = f"{domain}-{number}"
        address = f"{self.network}.{self.domains[domain]}.{number}"
        host = Host(name, domain, address, self.folder / f"{name}.ini")
        planned = range(1, self.plan.balancers[domain] + 1)
        network = address.rpartition(".")[0]
        seeds = ",".join(
            f"{network}.{other}:{PEERS_PORT}" for other in planned if other != number
        )
        host.settings_file.write_text(
            f"[host]\nname = {name}\nfailure_domain = {domain}\n"
            f"[listen]\ncallers = {address}:{CALLERS_PORT}\n"
            f"peers = {address}:{PEERS_PORT}\nadmin = {address}:{ADMIN_PORT}\n"
            f"[platform]\nurl = {self.platform_url}\n"
            f"[peers]\nsecret = {SECRET}\nseeds = {seeds}\n" + self.plan.extra_settings,
            encoding="utf-8",
        )
        self.hosts[name] = host
        return host

    async def spawn(self, log: str, *command: str) -> anyio.abc.Process:
        """Start a Python module as a process; its output goes to a log file."""
        path = self.folder / f"{log}.log"
        # A cancelled run must not lose track of a process that is being started.
        with path.open("a", encoding="utf-8") as output, anyio.CancelScope(shield=True):
            process = await anyio.open_process(
                [sys.executable, "-m", *command], stdout=output, stderr=output
            )
            self.processes.append(process)
        return process

    async def start_host(self, name: str) -> None:
        """Start a balancer."""
        host = self.hosts[name]
        host.process = await self.spawn(
            name, self.plan.balancer_module, f"--settings_file={host.settings_file}"
        )
        self.fabric.update(self.caller_addresses())

    async def start_target(self, name: str) -> None:
        """Start a target."""
        target = self.targets[name]
        target.process = await self.spawn(
            name,
            "standins.target",
            f"--name={name}",
            f"--service={target.service.id}",
            f"--address={target.address}:{TARGET_PORT}",
            f"--admin_address={target.address}:{TARGET_ADMIN_PORT}",
            f"--journal={self.folder / (name + '.jsonl')}",
        )

    async def start_platform(self) -> None:
        """Start the platform."""
        self.platform = await self.spawn(
            "platform",
            "standins.platform",
            f"--address={self.network}.0.1:{PLATFORM_PORT}",
        )

    def sheet_part(self) -> dict[str, typing.Any]:
        """Return the sheet's content for the planned services and targets."""
        part = storedobjects.SheetPart(
            domains=tuple(
                storedobjects.SheetDomain(name=name, number=number)
                for name, number in self.domains.items()
            ),
            services=tuple(
                storedobjects.SheetService(
                    name=s.name,
                    id=s.id,
                    work_class=typing.cast(typing.Any, s.work_class),
                    queue_limit=s.queue_limit,
                )
                for s in self.plan.services
            ),
            targets=tuple(
                storedobjects.SheetTarget(
                    name=target.name,
                    id=target.id,
                    service=target.service.name,
                    failure_domain=target.domain,
                    address=f"{target.address}:{TARGET_PORT}",
                    admin=f"{target.address}:{TARGET_ADMIN_PORT}",
                )
                for target in self.targets.values()
            ),
        )
        return part.model_dump(mode="json")

    async def write(self, name: str, value: dict[str, typing.Any]) -> None:
        """Write an object to the platform, whatever its version."""
        url = f"{self.platform_url}/objects/{name}"
        held = await self.http.get(url)
        version = held.json().get("version", 0) if held.status_code == 200 else 0
        body = {"value": value, "expect_version": version}
        (await self.http.put(url, json=body)).raise_for_status()

    async def override(
        self, kind: str, target: str, **fields: typing.Any
    ) -> storedobjects.StoredObject | None:
        """Write an override of a target; None if the platform stays unreachable."""
        name = f"{storedobjects.OVERRIDE_PREFIX}{kind}-{target}"
        value = {
            "id": f"{kind}-{target}",
            "kind": kind,
            "service": self.targets[target].service.name,
            "target": target,
            "operator": "lab",
            "reason": "experiment",
            "created_at": "2026-12-04T06:00:00Z",
            **fields,
        }
        return await self.persist(lambda: self.operator.put(name, value, 0))

    async def remove(self, stored: storedobjects.StoredObject) -> None:
        """Remove an object that was written before."""
        await self.persist(lambda: self.operator.delete(stored.name, stored.version))

    async def persist(self, write: Write) -> storedobjects.StoredObject | None:
        """Repeat a conditional write until it is accepted or settled otherwise."""
        for _ in range(OPERATOR_TRIES):
            answer = await write()
            if isinstance(answer, result.Success):
                stored: storedobjects.StoredObject = answer.unwrap()
                return stored
            kind = answer.failure().kind
            if kind is platformapi.ProblemKind.NOT_FOUND:
                return None
            await anyio.sleep(OPERATOR_PAUSE_S)
        return None

    async def write_configuration(self) -> None:
        """Write the token key and the sheet."""
        await self.write("key/1", {"id": 1, "secret": "17" * 32})
        part = self.sheet_part()
        digest = storedobjects.content_address(part)
        await self.write(storedobjects.SHEET_PART_PREFIX + digest, part)
        manifest = storedobjects.Sheet(
            date="2026-12-04",
            applied_at="2026-12-04T06:00:00Z",
            parts=(digest,),
        )
        await self.write(storedobjects.SHEET, manifest.model_dump(mode="json"))

    async def wait_for(
        self, what: str, check: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Wait until an asynchronous check holds."""
        with anyio.move_on_after(self.start_limit_s):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if await check():
                        return
                await anyio.sleep(0.1)
        raise TimeoutError(f"{what} did not happen within {self.start_limit_s} s")

    async def status(self, name: str) -> dict[str, typing.Any]:
        """Return a balancer's status."""
        response = await self.http.get(self.hosts[name].admin_url + "/status")
        return dict(response.json())

    async def is_ready(self) -> bool:
        """Tell whether each balancer sees all members and has the configuration."""
        for name, host in self.hosts.items():
            if host.process is None:
                continue
            status = await self.status(name)
            expected = [
                h.name
                for h in self.hosts.values()
                if h.domain == host.domain and h.process is not None
            ]
            if sorted(status["members"]) != sorted(expected):
                return False
            if not status["member"] or status["homes_waiting"]:
                return False
            if not status["configured"]:
                return False
        return True

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        self.layout()
        await self.start_platform()
        await self.wait_for("platform", self.platform_answers)
        await self.write_configuration()
        for name in self.targets:
            await self.start_target(name)
        for name in self.hosts:
            await self.start_host(name)
        await self.wait_for("ready", self.is_ready)

    async def platform_answers(self) -> bool:
        """Tell whether the platform answers."""
        return (await self.http.get(self.platform_url + "/calls")).status_code == 200

    async def set_platform_faults(self, **faults: typing.Any) -> None:
        """Set what goes wrong at the platform."""
        url = self.platform_url + "/faults"
        (await self.http.post(url, json=faults)).raise_for_status()

    async def set_behaviour(self, target: str, **behaviour: typing.Any) -> None:
        """Set what a target does."""
        url = self.targets[target].admin_url + "/behaviour"
        (await self.http.post(url, json=behaviour)).raise_for_status()

    async def stop_host(self, name: str) -> int:
        """Stop a balancer as planned and return its exit status."""
        process = self.hosts[name].process
        assert process is not None
        process.terminate()
        self.fabric.update(
            [h.callers for h in self.hosts.values() if h.process and h.name != name]
        )
        with anyio.fail_after(STOP_LIMIT_S):
            status = await process.wait()
        self.hosts[name].process = None
        return status

    async def kill_host(self, name: str) -> None:
        """End a balancer without warning."""
        process = self.hosts[name].process
        assert process is not None
        process.kill()
        await process.wait()
        self.hosts[name].process = None
        self.fabric.update(self.caller_addresses())

    async def kill_target(self, name: str) -> None:
        """End a target without warning."""
        process = self.targets[name].process
        assert process is not None
        process.kill()
        await process.wait()
        self.targets[name].process = None

    async def set_rules(
        self, name: str, rules: collections.abc.Sequence[faultyhost.Rule]
    ) -> bool:
        """Set the network faults of a host; False if it does not answer."""
        content = json.dumps([dataclasses.asdict(rule) for rule in rules]).encode()
        udp = await datagrams.open_socket(("127.0.0.1", 0))
        try:
            for _ in range(CONTROL_TRIES):
                address = self.hosts[name].address
                await udp.sendto(content, address, faultyhost.CONTROL_PORT)
                with anyio.move_on_after(CONTROL_WAIT_S):
                    await udp.receive()
                    return True
        finally:
            await udp.aclose()
        return False

    def resident_kb(self) -> dict[str, int]:
        """Return the resident memory of each balancer in kilobytes."""
        found = {}
        for host in self.hosts.values():
            if host.process is not None:
                status = pathlib.Path(f"/proc/{host.process.pid}/status").read_text()
                matched = re.search(r"VmRSS:\s+(\d+)", status)
                found[host.name] = int(matched[1]) if matched else 0
        return found

    def pause_host(self, name: str) -> None:
        """Stop a balancer's execution for a while."""
        process = self.hosts[name].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)

    def resume_host(self, name: str) -> None:
        """Continue a paused balancer."""
        process = self.hosts[name].process
        assert process is not None
        process.send_signal(signal.SIGCONT)

    async def end(self) -> None:
        """End every process that was started."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            await process.wait()
        await self.http.aclose()
        await self.operator.http.aclose()

    def caller_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the balancers that run."""
        return [host.callers for host in self.hosts.values() if host.process]

    def journal(self) -> list[dict[str, typing.Any]]:
        """Return what all targets have written, in the order of time."""
        lines = []
        for path in self.folder.glob("*.jsonl"):
            lines += [
                json.loads(line)
                for line in path.read_text(encoding="utf-8").splitlines()
            ]
        return sorted(lines, key=lambda line: float(line["time"]))


@contextlib.asynccontextmanager
async def running(plan: Plan) -> collections.abc.AsyncIterator[Cluster]:
    """Start a cluster and end all its processes on leaving."""
    with tempfile.TemporaryDirectory(prefix="basilgate-") as folder:
        cluster = Cluster(plan, pathlib.Path(folder))
        try:
            await cluster.start()
            yield cluster
        except TimeoutError:
            show_logs(cluster)
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await cluster.end()


def run_interruptible(
    function: collections.abc.Callable[..., collections.abc.Awaitable[int]],
    *arguments: typing.Any,
) -> int:
    """Run an experiment and return its status; a signal ends it and its processes."""

    async def end_on_signal(scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                scope.cancel()

    async def run() -> int:
        status = INTERRUPTED_STATUS
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end_on_signal, tasks.cancel_scope)
            status = await function(*arguments)
            tasks.cancel_scope.cancel()
        return status

    return anyio.run(run)


def show_logs(cluster: Cluster) -> None:
    """Print the end of each log, for a run that did not start."""
    for path in sorted(cluster.folder.glob("*.log")):
        lines = path.read_text(encoding="utf-8").splitlines()
        for line in lines[-20:]:
            print(f"{path.name}: {line}", file=sys.stderr)
