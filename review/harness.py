"""Deployment on loopback for the scripts of this review.

Forwarders run as processes of their own, started with the command of the deploy file.
The store, targets, callers, and routers are the stand-ins of this repository and run
in threads of the script.
"""

import collections.abc
import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import typing

from platformedge import packets
from standins import fleetcaller, fleetstore, fleettarget

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "order-desk"
SERVICE_IP = "127.9.9.9"
SERVICE_PORT = 443
# Bounds of sites/sonor-gate.toml, in seconds.
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
STABLE_S = 4.0
HISTORY_S = 20.0
PROBE_INTERVAL_S = 0.5
CALLER_PAUSE_S = 0.15  # Of a caller between two flows.
START_LIMIT_S = 30.0
PORTS_PER_HOST = 4
BROKEN_STATUS = 10  # `run.sh` turns it into 1.

SETTINGS = """\
node = "front-{ip}"
role = "forwarder"
machine-class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
internal-ports = [{peer_port},{peer_port}]
seeds = [{seeds}]
bootstrap = true
counts-loss = false
discovery = "platform"
entry = "announce"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "mod"
access-mode = "echo"
[zones]
z1 = "r1"
z2 = "r1"
[listen]
datagram-addr = "{ip}:{port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-skew-ms = 12000
recovery-s = 12
reorder-ms = 2000
max-flow-s = 60
[platform]
address = "{store}"
access-mode = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"""


class CaseError(Exception):
    """The case cannot run; the script ends with status 2."""


class Record:
    """Lines of the record, with the time since the start of the script."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.began_at = time.monotonic()
        self.lines: list[str] = []
        self.lock = threading.Lock()

    def write(self, text: str, moment: float | None = None) -> None:
        """Add a line, as of a moment of the monotonic clock."""
        moment = time.monotonic() if moment is None else moment
        with self.lock:
            self.lines.append(f"{moment - self.began_at:8.3f} {text}")

    def save(self) -> None:
        """Write the lines to the file, in the order of their times."""
        self.path.write_text("\n".join(sorted(self.lines)) + "\n")


class Store(fleetstore.FleetStore):
    """Store whose answers look as those that `fleetbench wire` shows.

    The members of an event come in the order of that example. Changes are kept for
    `HISTORY_S`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.noted: list[tuple[float, int]] = []

    def note(self, kind: str, stored: dict[str, typing.Any], deleted: bool) -> None:
        """Keep a change for watches and wake them."""
        self.noted.append((time.monotonic(), self.revision))
        super().note(kind, stored, deleted)

    def trim_history(self) -> None:
        """Drop the changes that are older than `HISTORY_S`."""
        with self.changed:
            while self.noted and time.monotonic() - self.noted[0][0] > HISTORY_S:
                _, self.forgotten = self.noted.pop(0)
            self.history = [row for row in self.history if row[0] > self.forgotten]

    def wait(
        self, kind: str, after: int, wait_s: float
    ) -> dict[str, typing.Any] | None:
        """Return the changes of a kind after a revision; None if they are gone."""
        self.trim_history()
        found = super().wait(kind, after, wait_s)
        if found is None:
            return None
        events = [
            {"deleted": event["deleted"], "object": event["object"]}
            for event in found["events"]
        ]
        return {"events": events, "as-of": found["as-of"]}


class Host:
    """One forwarder process on an entry host."""

    def __init__(self, deployment: "Deployment", ip: str, zone: str) -> None:
        self.deployment = deployment
        self.ip = ip
        self.zone = zone
        self.path = deployment.folder / f"{ip}.toml"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    def write_settings(self, store: tuple[str, int]) -> None:
        """Write the settings file as a whole, as a rename puts it in place."""
        port = self.deployment.port
        seeds = ",".join(f'"{ip}:{port + 3}"' for ip in self.deployment.host_ips[:3])
        text = SETTINGS.format(
            ip=self.ip,
            zone=self.zone,
            peer_port=port,
            port=port + 1,
            ready_port=port + 2,
            control_port=port + 3,
            seeds=seeds,
            store=f"{store[0]}:{store[1]}",
        )
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        fresh.rename(self.path)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["forwarder"]["run"].replace(
            "{{listen.datagram-addr}}", f"{self.ip}:{self.deployment.port + 1}"
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": "target/deps",
            "BASILGATE_CONFIG": str(self.path),
        }
        with (self.deployment.folder / f"{self.ip}.log").open("ab") as output:
            self.process = subprocess.Popen(
                command.split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_at = time.monotonic()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    def exit_status(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self.process.poll() if self.process is not None else None

    def is_ready(self) -> bool:
        """Ask for readiness as a router does."""
        client = http.client.HTTPConnection(
            self.ip, self.deployment.port + 2, timeout=PROBE_INTERVAL_S
        )
        try:
            client.request("GET", "/v1/readiness")
            return client.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            client.close()

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of an event in the log of the process."""
        text = (self.deployment.folder / f"{self.ip}.log").read_text()
        return [line for line in text.splitlines() if f" event={event} " in line]


class Deployment:
    """A small deployment: a store, hosts in two zones, targets, and callers."""

    def __init__(self, record: Record, hosts: int, targets: int) -> None:
        self.record = record
        self.holder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.holder.name)
        self.store = Store()
        self.store_server, self.store_address = fleetstore.serve(self.store)
        net, self.port = free_network(hosts)
        self.host_ips = [f"{net}.1.{n + 1}" for n in range(hosts)]
        self.targets = [
            fleettarget.FleetTarget(
                n + 1, SERVICE, f"{net}.2.{n + 1}", self.port + 1, 3, 0.03
            )
            for n in range(targets)
        ]
        self.callers = fleetcaller.Callers(f"{net}.3.1", self.port + 1, 1)
        self.hosts = [Host(self, ip, zone_of(n)) for n, ip in enumerate(self.host_ips)]
        self.ending = threading.Event()
        self.answered_at: list[float] = []  # When requests were answered.
        self.threads: list[threading.Thread] = []

    def list_target(self, target: fleettarget.FleetTarget, state: str) -> None:
        """Write a target's entry, which is its report to the store."""
        entry = fleetstore.target_entry(
            target.address,
            zone_of(target.number),
            SERVICE,
            state=state,
            seq=1 if state == "ready" else 2,
        )
        self.store.put("servers", target_name(target), entry)
        self.record.write(f"store: accepted {target_name(target)} {state}")

    def remove_target(self, target: fleettarget.FleetTarget) -> None:
        """Remove the entry of a target that has left."""
        self.store.remove("servers", target_name(target))
        self.record.write(f"store: accepted the removal of {target_name(target)}")

    def write_configuration(
        self, version: int, ports: collections.abc.Sequence[int]
    ) -> float:
        """Write a version of the configuration; return when it was accepted."""
        spec = fleetstore.configuration(version, SERVICE_IP, ports, SERVICE)
        self.store.put("config", "main", spec)
        moment = time.monotonic()
        self.record.write(f"store: accepted configuration {version}, routes {ports}")
        return moment

    def start(self) -> None:
        """Start all processes, and routers once they are ready."""
        for target in self.targets:
            self.list_target(target, "ready")
        for host in self.hosts:
            host.write_settings(self.store_address)
            host.start()
        deadline = time.monotonic() + START_LIMIT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > deadline:
                raise CaseError("the forwarders are not ready")
            time.sleep(0.05)
        self.callers.hosts = list(self.host_ips)
        self.record.write(f"{len(self.hosts)} forwarders are ready")
        self.run_thread(self.route)

    def run_thread(self, job: collections.abc.Callable[[], None]) -> None:
        """Run a function in a thread that `stop` waits for."""
        thread = threading.Thread(target=job, daemon=True)
        self.threads.append(thread)
        thread.start()

    def call(self, name: str) -> None:
        """Open a flow for each request until the deployment stops."""
        count = 0
        while not self.ending.is_set():
            count += 1
            request = f"reserve-{name}-{count}"
            flow = self.callers.open(SERVICE_IP, SERVICE_PORT)
            if flow.opened_by is not None:
                self.record.write(
                    f"caller: {describe(flow)} opened at i-{flow.opened_by:08x} "
                    f"through {flow.host}"
                )
                answer = self.callers.ask(flow, request.encode())
                if answer:
                    self.answered_at.append(time.monotonic())
                self.record.write(
                    f"caller: {request} at i-{flow.opened_by:08x} "
                    + ("answered" if answer else "never answered")
                )
                closing = packets.FLAG_FINISH | packets.FLAG_ACK
                self.callers.send(flow, closing, flow.opened_by + 1, b"")
            time.sleep(CALLER_PAUSE_S)

    def start_callers(self, count: int) -> None:
        """Start callers in threads of their own."""
        for number in range(count):
            self.run_thread(lambda name=str(number): self.call(name))

    def late_openings(
        self, target: fleettarget.FleetTarget, accepted_at: float, gone_at: float
    ) -> list[str]:
        """Return the breaches of DRAIN at a target.

        `accepted_at` is when the store accepted that it is draining, `gone_at` when it
        ended.
        """
        name = target_name(target)
        for moment, _, host in target.openings:
            self.record.write(f"{name}: took a flow that {host} sent on", moment)
        return [
            f"DRAIN: {name} got a new flow through {host} {moment - accepted_at:.2f} s "
            "after the store had accepted that it is draining"
            for moment, _, host in target.openings
            if accepted_at + DRAIN_S < moment < gone_at
        ]

    def route(self) -> None:
        """Keep the router's list of hosts: two missed probes take a host out."""
        misses = dict.fromkeys(self.host_ips, 0)
        while not self.ending.wait(PROBE_INTERVAL_S):
            for host in self.hosts:
                misses[host.ip] = 0 if host.is_ready() else misses[host.ip] + 1
            usable = [ip for ip, count in misses.items() if count < 2]
            self.callers.hosts = usable or list(self.host_ips)

    def stop(self) -> None:
        """End the threads and all processes that were started."""
        self.ending.set()
        for thread in self.threads:
            thread.join(10.0)
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for target in self.targets:
            target.ended = True
        self.store_server.shutdown()
        self.holder.cleanup()


def zone_of(number: int) -> str:
    """Return the zone of a host or target."""
    return f"z{number % 2 + 1}"


def target_name(target: fleettarget.FleetTarget) -> str:
    """Return the id under which a target registers itself."""
    return f"i-{target.number:08x}"


def free_network(hosts: int) -> tuple[str, int]:
    """Return a loopback network, and the first of four ports free on all its hosts."""
    rng = random.Random(os.getpid() * 1_000 + int(time.time()))
    for _ in range(50):
        net = f"127.{rng.randint(60, 250)}"
        port = rng.randint(20_000, 30_000) // PORTS_PER_HOST * PORTS_PER_HOST
        if all(
            is_free(f"{net}.{part}.{n + 1}", port + offset)
            for part in (1, 3)
            for n in range(hosts)
            for offset in range(PORTS_PER_HOST)
        ):
            return net, port
    raise CaseError("no free ports")


def is_free(ip: str, port: int) -> bool:
    """Return whether a port can be bound over TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def describe(flow: fleetcaller.Flow) -> str:
    """Return the addresses and ports of a flow."""
    return packets.describe_flow(flow.key)


def run_case(
    folder: pathlib.Path,
    case: collections.abc.Callable[[Record, bool], typing.Any],
) -> typing.NoReturn:
    """Run a case, save its record, and end with the status that the issue asks for.

    The case gets the record, and whether to make the disruption. It returns the
    breaches of the rule that it has seen.
    """
    # So that a script that is stopped early ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if trouble else 'no'}")
    status = 2
    try:
        breaches = case(record, trouble)
        for breach in breaches:
            record.write(f"BROKEN: {breach}")
        record.write(f"{len(breaches)} breaches of the rule")
        print(f"{len(breaches)} breaches of the rule; see record.txt")
        status = BROKEN_STATUS if breaches else 0
    except Exception as error:
        # Anything that fails here says nothing about the rule.
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    record.save()
    sys.exit(status)
