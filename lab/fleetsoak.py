"""Randomized soak of the packet program: real processes, faults from outside.

``python -m lab.fleetsoak --seed N --seconds S`` starts forwarders, targets, callers,
and a store on loopback, injects faults that the seed decides, and judges what callers
and targets saw. It ends with status 1 if a promise was broken. Runs of different seeds
have different addresses, so that some can run at a time; ``--logs DIR`` keeps the logs.
``--profile planned`` plays the faults of `soakfaults` with some more hosts, ``--profile
changes`` those of `soakstore`; ``--hosts`` sets how many.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import functools
import http.client
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import fire

from basilgate import forwarder
from basilgate.policy import domainchoice
from lab import soakfaults, soakroutes, soakstore
from platformedge import packets
from standins import fleetcaller, fleetstore, fleettarget, linkproxy, skewedhost

DOMAINS = ("d1", "d1", "d2", "d2")
HOSTS = {"usual": 4, "planned": 8, "changes": 12}  # By profile.
TARGETS = {"usual": 5, "planned": 12, "changes": 12}
SERVICE_IP = "198.18.0.1"
SERVICE_PORT = 443
LOW_PORT = 444  # Its route has the lower priority.
PRIORITIES = {SERVICE_PORT: 1, LOW_PORT: 2}
SLOTS = 2
SERVICE_S = 0.03  # Time of a request.
CALLERS = 12
KEEPERS = 8  # Callers of the planned profile that keep their flows.
KEPT_REQUESTS = 200
KEPT_PAUSE_S = 1.5
CROWD_ADDRESSES = 6  # Admission decides by address.
CROWD = 30  # Callers of a burst.
TRIES = 3  # Of a caller, without a pause.
REFUSED_PAUSE_S = 0.3
COLD_START_S = 2.0
# The usual load is about nine openings per second for each target, so these bind.
COLD_RATE_PER_S, COLD_OVERAGE, COLD_SLACK = 2, 1.5, 5
COLD_LIMIT = COLD_RATE_PER_S * COLD_OVERAGE + COLD_SLACK
DOMAIN_PRICE_MS = "2"  # Of seeds that are odd; without it, the default applies.
HOST_COMMAND = (sys.executable, "-m", "standins.skewedhost")
START_LIMIT_S = 20.0
VERSION_METRIC = "basilgate_config_version"
# Bounds of the platform: a change is in force after 3 s, and a fault excuses what
# follows within 4 s of its end.
BOUND_S = 3.0
EXCUSED_S = 4.0
HOST_FAULT_PAUSE_S = (0.0, 2.0)
STORE_FAULT_PAUSE_S = (6.0, 14.0)  # Between two faults of the whole store.
VERSION_PAUSE_S = 0.2  # Between two looks at the hosts' configurations.
FAULT_PAUSE_S = (0.3, 1.5)  # Series of faults overlap.
FAULT_SPAN_S = (0.5, 3.0)
REPORT_DELAY_S = 1.2  # After the store's return, until targets report again.
ENTRY_EXPIRY_S = 3.6  # Three reports of a target are missing.
RETURN_PAUSE_S = (0.0, 8.0)  # Between two returns of the store.
EVACUATION_PAUSE_S = (0.0, 8.0)  # Between two evacuations.
BURST_PAUSE_S = (0.0, 4.0)  # Between two bursts.
OUTAGE_PAUSE_S = (0.0, 4.0)  # Between two outages of a failure domain.
OUTAGE_BOUND_S = 1.5  # Until hosts have found that targets are out.
EVACUATION_BOUND_S = 5.0  # Until no host opens flows to an evacuated failure domain.
CALM_S = 6.0  # At the end, to see that all is served again.
CALM_SHARE = 0.9  # Of the requests of the last seconds that must be answered.


def domain_of(number: int) -> str:
    """Return the failure domain of a target."""
    return DOMAINS[number % len(DOMAINS)]


@dataclasses.dataclass(slots=True)
class Evidence:
    """What the soak saw; a disturbance is a span of time with its subject."""

    answered: int = 0
    lost: int = 0
    calm_answered: int = 0
    calm_asked: int = 0
    turned_away: int = 0
    cold_peak: int = 0  # Most openings of a cold target in a second.
    refused: int = 0
    outage_flows: int = 0  # Flows that `check_outages` has judged.
    versions_judged: int = 0
    routes_judged: int = 0  # Flows by routes that changes of the configuration bring.
    drained_late: int = 0  # Openings after the bound, through hosts out of touch.
    resets_excused: int = 0  # Of flows of live targets, by hosts with faults.
    violations: list[str] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[float, float, str]] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)


class Host:
    """One forwarder as a process of its own."""

    def __init__(self, soak: "Soak", ip: str, domain: str) -> None:
        self.soak = soak
        self.ip = ip
        self.domain = domain
        self.path = soak.folder / f"{ip}.toml"
        self.faults = fleetstore.Faults()
        _, address = fleetstore.serve(soak.store, self.faults)
        # The host's own link to the store.
        self.link = linkproxy.LinkProxy(address)
        self.path.write_text(
            fleetstore.settings_text(
                ip, domain, soak.port, self.link.address, soak.host_ips[:3], ["places"]
            )
            + f"[bounds]\ncold-overage = {COLD_OVERAGE}\ncold-slack = {COLD_SLACK}\n"
        )
        self.clock_path = soak.folder / f"{ip}.offset"
        self.clock_path.write_text("0")
        # Held while a fault has the process.
        self.lock = threading.Lock()
        self.process = self.start()

    def start(self) -> subprocess.Popen[bytes]:
        """Start the process; its output is appended to one log."""
        with (self.soak.folder / f"{self.ip}.log").open("ab") as output:
            return subprocess.Popen(
                [*HOST_COMMAND, f"{self.ip}:{self.soak.port + 1}"],
                env={
                    **os.environ,
                    forwarder.SETTINGS_VARIABLE: str(self.path),
                    skewedhost.OFFSET_VARIABLE: str(self.clock_path),
                    **self.soak.price,
                },
                stdout=output,
                stderr=output,
            )

    def note_own_end(self) -> None:
        """Report a process that has ended by itself; to be called with the lock."""
        if self.process.poll() is not None:
            problem = f"{self.ip} ended by itself with {self.process.returncode}"
            self.soak.evidence.violations.append(problem)
            self.process = self.start()

    def is_ready(self) -> bool:
        """Ask as a router does."""
        client = http.client.HTTPConnection(self.ip, self.soak.port + 2, timeout=0.5)
        try:
            client.request("GET", "/v1/readiness")
            return client.getresponse().status == 200
        except OSError:
            return False
        finally:
            client.close()

    def config_version(self) -> int:
        """Return the version of the configuration in force, 0 if it is not known."""
        client = http.client.HTTPConnection(self.ip, forwarder.METRICS_PORT, timeout=2)
        try:
            client.request("GET", forwarder.METRICS_PATH)
            page = client.getresponse().read().decode()
        except OSError:
            return 0
        finally:
            client.close()
        lines = [line.split() for line in page.splitlines()]
        versions = [line[1] for line in lines if line[:1] == [VERSION_METRIC]]
        return int(float(versions[0])) if versions else 0


class Soak:
    """Processes, traffic, faults, and checks of one run."""

    domain_of = staticmethod(domain_of)
    service_ip = SERVICE_IP

    def __init__(
        self, seed: int, folder: pathlib.Path, profile: str = "usual", hosts: int = 0
    ) -> None:
        self.profile = profile
        self.planned = profile != "usual"
        self.rng = random.Random(seed)
        self.returns_rng = random.Random(f"returns of {seed}")
        self.evacuations_rng = random.Random(f"evacuations of {seed}")
        self.bursts_rng = random.Random(f"bursts of {seed}")
        self.outages_rng = random.Random(f"outages of {seed}")
        self.host_faults_rng = random.Random(f"strikes of {seed}")
        self.store_faults_rng = random.Random(f"store of {seed}")
        self.price = {domainchoice.PRICE_VARIABLE: DOMAIN_PRICE_MS} if seed % 2 else {}
        self.folder = folder
        # A network of its own for each seed: hosts, targets, callers.
        net = f"127.{100 + seed % 100}"
        count = hosts or HOSTS[profile]
        self.host_ips = [f"{net}.31.{n + 1}" for n in range(count)]
        targets = TARGETS[profile]
        self.target_ips = [f"{net}.32.{n + 1}" for n in range(targets)]
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1] // 4 * 4
        self.store = fleetstore.FleetStore()
        self.evidence = Evidence()
        self.ending = threading.Event()
        self.calm = threading.Event()
        self.version = 1
        # When each version of the configuration was written.
        self.versions: list[tuple[float, int]] = []
        self.routes = soakroutes.ChangedRoutes(self)
        self.ports: tuple[int, ...] = ()
        # When each target was listed for the first time, by its number.
        self.listed_at: dict[int, float] = {}
        # What each target last reported, by its number: state and count of reports.
        # Missing if it has left.
        self.reported: dict[int, tuple[str, int]] = {}
        # When each flow was opened or given up, and its port.
        self.flows: list[tuple[float, int, fleetcaller.Flow]] = []
        # When targets announced that they leave.
        self.leavings: list[tuple[float, fleettarget.FleetTarget]] = []
        # Spans in which a target is not there, with its number; its flows end.
        self.gaps: list[tuple[float, float, int]] = []
        # Targets that are being stopped or started again, by their number.
        self.claimed: set[int] = set()
        # Entries of other writers name this address, which must get nothing.
        self.trap = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.trap.bind((f"{net}.34.1", 0))
        # Until when each target is cold after its start, by its number.
        self.cold_until: dict[int, float] = {}
        # Spans of time in which targets are cold, and domains have few targets.
        self.cold_spans: list[tuple[float, float, fleettarget.FleetTarget]] = []
        self.outages: list[tuple[float, float, str]] = []
        # Failure domain that is evacuated now, if any.
        self.evacuated: str | None = None
        # Spans of time in which no flow may be opened in a failure domain.
        self.evacuations: list[tuple[float, float, str]] = []
        # Held while something is written to the store, or the store returns.
        self.writing = threading.RLock()
        self.targets = [self.add_target(n + 1) for n in range(targets)]
        self.write_configuration()
        self.hosts = [
            Host(self, ip, domain_of(position))
            for position, ip in enumerate(self.host_ips)
        ]
        # The first has the usual callers, the others those of bursts.
        self.callers = [
            fleetcaller.Callers(f"{net}.33.{n + 1}", self.port + 1, seed)
            for n in range(1 + CROWD_ADDRESSES)
        ]

    def add_target(self, number: int) -> fleettarget.FleetTarget:
        """Start a target and list it."""
        ip = self.target_ips[number % len(self.target_ips)]
        port = self.port + 1
        found = fleettarget.FleetTarget(number, "desk", ip, port, SLOTS, SERVICE_S)
        self.list_target(found, "ready")
        return found

    def list_target(self, target: fleettarget.FleetTarget, state: str) -> None:
        """Write a target's entry."""
        domain = domain_of(target.number)
        with self.writing:
            self.listed_at.setdefault(target.number, time.monotonic())
            _, seq = self.reported.get(target.number, ("", 0))
            self.reported[target.number] = (state, seq + 1)
            cold_until = self.cold_until.get(target.number, 0.0)
            entry = fleetstore.target_entry(
                target.address,
                domain,
                cold_s=max(0.0, cold_until - time.monotonic()),
                state=state,
                seq=seq + 1,
                slots=SLOTS,
            )
            entry["born"] += int(cold_until * 1e3)
            self.store.put("servers", f"i-{target.number:08x}", entry)

    def remove_target(self, target: fleettarget.FleetTarget) -> None:
        """Remove the entry of a target that has left."""
        with self.writing:
            self.reported.pop(target.number, None)
            self.store.remove("servers", f"i-{target.number:08x}")

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        with self.writing:
            self.version += self.rng.randint(1, 3)
            self.ports = (*PRIORITIES, 8_000 + self.version % 50)
            self.write_version()
            self.versions.append((time.monotonic(), self.version))
            self.routes.note(self.version, self.ports[-1])

    def write_version(self) -> None:
        """Write the present version of the configuration."""
        spec = fleetstore.configuration(self.version, SERVICE_IP, self.ports)
        for route, priority in zip(spec["routes"], PRIORITIES.values(), strict=False):
            route["priority"] = priority
        figures = {"cold-start-s": COLD_START_S, "cold-per-s": COLD_RATE_PER_S}
        spec["services"][0].update(figures)
        self.store.put("config", "main", spec)

    def write_again(self) -> None:
        """Write what the operator and the targets wrote, after the store's return."""
        with self.writing:
            self.write_version()
            self.write_evacuations()
            for target in self.targets:
                reported = self.reported.get(target.number)
                if reported is not None:
                    self.list_target(target, reported[0])

    def write_evacuations(self) -> None:
        """Let the store have the present evacuation and no other."""
        with self.writing:
            for domain in set(DOMAINS):
                if domain == self.evacuated:
                    self.store.put("evacuations", domain, {})
                else:
                    self.store.remove("evacuations", domain)

    def expire_entries(self) -> None:
        """Remove entries that only the copy has, as their targets no longer report."""
        with self.writing:
            for target in self.targets:
                if target.number not in self.reported:
                    self.store.remove("servers", f"i-{target.number:08x}")

    def disturb(self, subject: str, span_s: float) -> None:
        """Note that a subject is disturbed from now on for a time."""
        now = time.monotonic()
        self.evidence.disturbed.append((now, now + span_s, subject))

    def is_excused(self, subject: str, moment: float) -> bool:
        """Tell whether a subject was disturbed shortly before a moment."""
        return any(
            found == subject and began <= moment <= ended + EXCUSED_S
            # A copy, since other threads change the list.
            for began, ended, found in list(self.evidence.disturbed)
        )

    def is_in_touch(self, ip: str, moment: float) -> bool:
        """Tell whether no fault had a host shortly before a moment."""
        return not self.is_excused("hosts", moment) and not self.is_excused(ip, moment)

    def can_serve(self, target: fleettarget.FleetTarget, moment: float) -> bool:
        """Tell whether neither a target nor its failure domain was disturbed."""
        number = target.number
        names = (f"target {number}", f"leaving {number}", f"domain {domain_of(number)}")
        return not any(self.is_excused(name, moment) for name in names)

    def route(self) -> None:
        """Keep the router's list of ready hosts, as the platform does."""
        misses = dict.fromkeys(self.host_ips, 2)
        while not self.ending.is_set():
            for host in self.hosts:
                misses[host.ip] = 0 if host.is_ready() else misses[host.ip] + 1
            usable = [ip for ip, count in misses.items() if count < 2]
            for callers in self.callers:
                callers.hosts = usable or list(self.host_ips)
            time.sleep(0.5)

    def call(
        self,
        position: int,
        port: int,
        name: str,
        pause_s: float,
        ends_at: float,
        longest: int = 8,
    ) -> None:
        """Call a port until a time, from the address at a position of `callers`.

        A flow is kept for `longest` requests at most.
        """
        callers = self.callers[position]
        rng = random.Random(int(name.partition("-")[0]))
        position = 0
        while not self.ending.is_set() and time.monotonic() < ends_at:
            for _ in range(TRIES):
                flow = callers.open(SERVICE_IP, port)
                self.flows.append((time.monotonic(), port, flow))
                if flow.opened_by is not None:
                    break
            else:
                time.sleep(REFUSED_PAUSE_S)
            for _ in range(rng.randint(1, longest)):
                if flow.ended or self.ending.is_set():
                    break
                position += 1
                calm = self.calm.is_set()
                answer = callers.ask(flow, f"{name}-{position}".encode())
                self.judge(answer, calm)
                time.sleep(rng.uniform(0.0, pause_s))
            # Also resets in a pause between two requests.
            self.judge_end(flow)
            callers.send(flow, 4 | 16, 1, b"")

    def judge(self, answer: bytes | None, calm: bool) -> None:
        """Check one request."""
        evidence = self.evidence
        if answer is not None and answer.endswith(b" full"):
            # It was not run; in calm, it counts as lost.
            evidence.turned_away += 1
            evidence.calm_asked += calm
            return
        evidence.answered += answer is not None
        evidence.lost += answer is None
        evidence.calm_asked += calm
        evidence.calm_answered += calm and answer is not None
        if answer is not None and not answer.endswith(b" desk"):
            evidence.violations.append(f"answer of another service: {answer!r}")

    def judge_end(self, flow: fleetcaller.Flow) -> None:
        """Check that a flow that its caller is about to end was not reset before."""
        if flow.ended != "reset" or flow.opened_by is None:
            return
        subject = f"target {flow.opened_by}"
        # Whether its target went away meanwhile.
        gone = any(
            number == flow.opened_by
            and flow.opened_at < up_at
            and down_at <= flow.ended_at
            for down_at, up_at, number in self.gaps
        )
        if gone or self.is_excused(subject, flow.ended_at):
            return
        if self.is_excused(f"unplanned {flow.ended_by}", flow.ended_at):
            self.evidence.resets_excused += 1
        else:
            problem = f"flow of a live {subject} was reset by {flow.ended_by}"
            problem += f": {packets.describe_flow(flow.key)}"
            self.evidence.violations.append(problem)

    def check_openings(self) -> None:
        """Check that no target got what was not for it, or openings after it left."""
        for target in self.targets:
            if target.foreign:
                problem = f"{target.foreign} foreign datagrams at {target.number}"
                self.evidence.violations.append(problem)
        for began, target in self.leavings:
            gaps = [at for at, _, number in self.gaps if number == target.number]
            ended = min((at for at in gaps if at > began), default=float("inf"))
            for moment, _, host in target.openings:
                if not began + BOUND_S < moment < ended:
                    continue
                if not self.is_in_touch(host, moment):
                    self.evidence.drained_late += 1
                    continue
                problem = f"opening at leaving {target.number}, too late, by {host}"
                problem += f" after {moment - began:.2f} s"
                self.evidence.violations.append(problem)
        self.trap.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            number = int.from_bytes(self.trap.recv(2_048)[:8], "big")
            problem = f"packet to i-{number:08x}, which another writer has written"
            self.evidence.violations.append(problem)

    def check_flows(self) -> None:
        """Check that no packet of an open flow reached another target."""
        known = {key: flow for one in self.callers for key, flow in one.flows.items()}
        for target in self.targets:
            for key, (moment, host) in target.heard.items():
                flow = known.get(key)
                if flow is None or flow.opened_by in (None, target.number):
                    continue
                if moment > flow.opened_at:
                    problem = f"packet of a flow of {flow.opened_by} at {target.number}"
                    self.evidence.violations.append(f"{problem}, by {host}")

    def check_evacuations(self) -> None:
        """Check that no flow was opened in a failure domain while it was evacuated."""
        for target in self.targets:
            for began, ended, domain in self.evacuations:
                if domain != domain_of(target.number):
                    continue
                for moment, _, host in target.openings:
                    late = began + EVACUATION_BOUND_S < moment < ended
                    if late and self.is_in_touch(host, moment):
                        problem = f"opening at {target.number}, {domain} is evacuated"
                        self.evidence.violations.append(problem)

    def check_cold_targets(self) -> None:
        """Check that no cold target got more opening packets than its limit."""
        for began, ended, target in self.cold_spans:
            times = [t for t in target.opening_times if began <= t < ended]
            peak = max((sum(t <= u < t + 1 for u in times) for t in times), default=0)
            self.evidence.cold_peak = max(self.evidence.cold_peak, peak)
            if peak > COLD_LIMIT:
                problem = f"{peak} openings in 1 s at {target.number}, which is cold"
                self.evidence.violations.append(problem)

    def check_refusals(self) -> None:
        """Check that no flow of the higher priority was refused without need."""
        for moment, port, flow in self.flows:
            if flow.ended != "reset" or flow.opened_by is not None:
                continue
            self.evidence.refused += 1
            if self.is_excused("store", moment):
                # Hosts learn late that an evacuation has ended, and its targets are
                # cold from then on.
                continue
            able = [
                target.number
                for target in self.targets
                # Hosts have to know a target that was listed so long before.
                if self.listed_at[target.number] < moment - BOUND_S
                and self.can_serve(target, moment)
            ]
            if port == SERVICE_PORT and able:
                problem = f"flow of high priority was refused by {flow.host}"
                problem += f"; targets that could serve it: {able}"
                self.evidence.violations.append(problem)

    def check_outages(self) -> None:
        """Check that callers of a domain with few targets got those of the others."""
        domains = {host.ip: host.domain for host in self.hosts}
        for began, ended, domain in self.outages:
            others = [t for t in self.targets if domain_of(t.number) != domain]
            opened = [
                flow.opened_by
                for moment, port, flow in self.flows
                if began + OUTAGE_BOUND_S <= moment < ended
                and port == SERVICE_PORT
                and domains.get(flow.host) == domain
                and not self.is_excused(flow.host, moment)
                and any(self.can_serve(target, moment) for target in others)
            ]
            self.evidence.outage_flows += len(opened)
            found = [number for number in opened if number is not None]
            far = any(domain_of(number) != domain for number in found)
            if opened and (not far or len(found) < CALM_SHARE * len(opened)):
                problem = f"{len(found)} of {len(opened)} flows opened, {domain} is out"
                self.evidence.violations.append(problem)

    def check_versions(self) -> None:
        """Check that each host has the latest configuration in force."""
        for host in self.hosts:
            found = host.config_version()
            if found != self.version:
                problem = f"{host.ip} has configuration {found}, not {self.version}"
                self.evidence.violations.append(problem)

    def check_logs(self) -> None:
        """Check that no host had an unexpected error, which drops what it was doing."""
        for host in self.hosts:
            lines = (self.folder / f"{host.ip}.log").read_text().splitlines()
            found = [line for line in lines if " event=unexpected_error " in line]
            if found:
                problem = f"{len(found)} unexpected errors of {host.ip}"
                self.evidence.violations.append(f"{problem}, ... {found[-1][-80:]}")

    def watch_hosts(self) -> None:
        """Check all the time that hosts run, with a configuration that is not old."""
        while not self.ending.is_set():
            for host in self.hosts:
                if not host.lock.acquire(blocking=False):
                    continue
                host.note_own_end()
                host.lock.release()
                asked_at = time.monotonic()
                due = [v for at, v in self.versions if at < asked_at - BOUND_S]
                found = host.config_version()
                moments = (asked_at, time.monotonic())
                if found and all(self.is_in_touch(host.ip, at) for at in moments):
                    self.evidence.versions_judged += 1
                    if due and found < due[-1]:
                        problem = f"{host.ip} has configuration {found}, late"
                        self.evidence.violations.append(f"{problem}: {due[-1]} is due")
            time.sleep(VERSION_PAUSE_S)

    def run(self, seconds: float) -> Evidence:
        """Run traffic and faults, and return what was seen."""
        jobs: list[collections.abc.Callable[[], None]] = [self.route]
        for n in range(CALLERS):
            port = SERVICE_PORT if n % 3 else LOW_PORT
            jobs.append(
                functools.partial(self.call, 0, port, str(n), 0.1, float("inf"))
            )
        if self.planned:
            jobs += [self.watch_hosts, *self.routes.jobs()]
            for n in range(KEEPERS):
                args = (0, SERVICE_PORT, str(CALLERS + n), KEPT_PAUSE_S, float("inf"))
                jobs.append(functools.partial(self.call, *args, KEPT_REQUESTS))
        try:
            ends_at = time.monotonic() + START_LIMIT_S
            while not all(host.is_ready() for host in self.hosts):
                if time.monotonic() > ends_at:
                    raise TimeoutError("hosts are not ready")
                time.sleep(0.05)
            for callers in self.callers:
                callers.hosts = list(self.host_ips)
            threads = [threading.Thread(target=job, daemon=True) for job in jobs]
            for thread in threads:
                thread.start()
            self.inject(seconds - CALM_S)
            time.sleep(CALM_S / 2)
            self.calm.set()
            time.sleep(CALM_S / 2)
            self.check_versions()
            self.ending.set()
            for thread in threads:
                thread.join(START_LIMIT_S)
        finally:
            for host in self.hosts:
                host.note_own_end()
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        self.check_logs()
        self.check_openings()
        self.check_flows()
        self.check_evacuations()
        self.check_cold_targets()
        self.check_refusals()
        self.check_outages()
        self.evidence.violations += self.routes.check(BOUND_S)
        self.evidence.routes_judged = self.routes.judged
        asked, answered = self.evidence.calm_asked, self.evidence.calm_answered
        if not asked or answered < CALM_SHARE * asked:
            self.evidence.violations.append(
                f"only {answered} of {asked} served in calm"
            )
        return self.evidence

    def inject(self, seconds: float) -> None:
        """Start faults until the time is over, and end all of them."""
        ends_at = time.monotonic() + seconds
        repeated = [
            (evacuate_domain, self.evacuations_rng, EVACUATION_PAUSE_S),
            (burst_class, self.bursts_rng, BURST_PAUSE_S),
        ]
        if self.planned:
            disturb = {
                "planned": soakfaults.disturb_hosts,
                "changes": soakstore.suspend_readers,
            }[self.profile]
            repeated.append((disturb, self.host_faults_rng, HOST_FAULT_PAUSE_S))
            if self.profile == "changes":
                repeated.append(
                    (
                        soakstore.disturb_store,
                        self.store_faults_rng,
                        STORE_FAULT_PAUSE_S,
                    )
                )
        else:
            # They excuse all hosts, so that they would hide faults of planned work.
            repeated += [
                (restore_store, self.returns_rng, RETURN_PAUSE_S),
                (restart_domain, self.outages_rng, OUTAGE_PAUSE_S),
            ]
        spans = [
            threading.Thread(target=self.repeat, args=(ends_at, *found))
            for found in repeated
        ]
        faults = {
            "usual": FAULTS,
            "planned": soakfaults.FAULTS,
            "changes": soakstore.FAULTS,
        }[self.profile]
        for span in spans:
            span.start()
        while time.monotonic() < ends_at:
            fault = self.rng.choice(faults)
            span_s = self.rng.uniform(*FAULT_SPAN_S)
            self.evidence.faults.append(fault.__name__)
            span = threading.Thread(target=fault, args=(self, span_s))
            span.start()
            spans.append(span)
            time.sleep(self.rng.uniform(*FAULT_PAUSE_S))
        for span in spans:
            span.join()

    def repeat(
        self,
        ends_at: float,
        fault: "Fault",
        rng: random.Random,
        pause_s: tuple[float, float],
    ) -> None:
        """Repeat a fault after pauses until a time of the monotonic clock."""
        while True:
            time.sleep(rng.uniform(*pause_s))
            if time.monotonic() >= ends_at:
                return
            fault(self, rng.uniform(*FAULT_SPAN_S))


Fault = collections.abc.Callable[[Soak, float], None]
FAULTS: list[Fault] = []


def register(fault: Fault) -> Fault:
    """Add a fault to those that the seed chooses from."""
    FAULTS.append(fault)
    return fault


@register
def kill_host(soak: Soak, span_s: float) -> None:
    """Kill a forwarder and start it again."""
    host = soak.rng.choice(soak.hosts)
    soak.disturb("hosts", span_s)
    soak.disturb(host.ip, span_s)
    with host.lock:
        host.process.kill()
        host.process.wait()
        time.sleep(span_s)
        host.process = host.start()


@register
def restart_host(soak: Soak, span_s: float) -> None:
    """Stop a forwarder as planned; it must exit with 0."""
    del span_s
    host = soak.rng.choice(soak.hosts)
    with host.lock:
        # A signal that comes before the interpreter has loaded the program ends it as
        # any other; it has not forwarded anything then.
        if not host.is_ready():
            return
        host.process.send_signal(signal.SIGTERM)
        status = host.process.wait(START_LIMIT_S)
        if status != 0:
            soak.evidence.violations.append(f"exit status {status} after SIGTERM")
        host.process = host.start()


@register
def pause_host(soak: Soak, span_s: float) -> None:
    """Suspend a forwarder."""
    host = soak.rng.choice(soak.hosts)
    soak.disturb("hosts", span_s)
    soak.disturb(host.ip, span_s)
    with host.lock:
        host.process.send_signal(signal.SIGSTOP)
        time.sleep(span_s)
        host.process.send_signal(signal.SIGCONT)


@register
@soakfaults.register
@soakstore.register
def reload_host(soak: Soak, span_s: float) -> None:
    """Send SIGHUP to a forwarder."""
    del span_s
    host = soak.rng.choice(soak.hosts)
    with host.lock:
        # The program has its handlers once it is ready.
        if host.is_ready():
            host.process.send_signal(signal.SIGHUP)


@register
def refuse_host(soak: Soak, span_s: float) -> None:
    """Let the store refuse one host, or be silent for it."""
    faults = soak.rng.choice(soak.hosts).faults
    soak.disturb("hosts", span_s)
    faults.status, faults.silent = soak.rng.choice(
        [(503, False), (429, False), (0, True)]
    )
    time.sleep(span_s)
    faults.status, faults.silent = 0, False


@register
def break_link(soak: Soak, span_s: float) -> None:
    """Delay, reset, or silence the connections of a host to the store."""
    link = soak.rng.choice(soak.hosts).link
    fault = soak.rng.choice(["delay", "reset", "silent", "up", "down"])
    soak.disturb("hosts", span_s)
    link.delay_s = 0.3 if fault == "delay" else 0.0
    link.silent_up = fault in ("silent", "up")
    link.silent_down = fault in ("silent", "down")
    if fault == "reset":
        link.reset()
    time.sleep(span_s)
    link.delay_s, link.silent_up, link.silent_down = 0.0, False, False


@register
def step_clock(soak: Soak, span_s: float) -> None:
    """Let the time of day jump on some hosts, and back again."""
    hosts = soak.rng.sample(soak.hosts, 2)
    for host in hosts:
        host.clock_path.write_text(str(soak.rng.choice([-4.0, 4.0])))
    time.sleep(span_s)
    for host in hosts:
        host.clock_path.write_text("0")


@register
@soakfaults.register
@soakstore.register
def age_listings(soak: Soak, span_s: float) -> None:
    """Let listings that may be old stay as they are for a time."""
    old = soak.store.copy()
    for host in soak.hosts:
        host.faults.old = old
    time.sleep(span_s)
    for host in soak.hosts:
        host.faults.old = None


@register
@soakfaults.register
@soakstore.register
def forget_history(soak: Soak, span_s: float) -> None:
    """Let the store drop its history."""
    del span_s
    soak.store.forget_history()


@register
@soakfaults.register
def silence_target(soak: Soak, span_s: float) -> None:
    """Let packets to a target be lost for a time."""
    target = soak.rng.choice(soak.targets)
    soak.disturb(f"target {target.number}", span_s)
    target.silent = True
    time.sleep(span_s)
    target.silent = False


@register
def crash_target(soak: Soak, span_s: float) -> None:
    """Let a target crash and start again."""
    target = soak.rng.choice(soak.targets)
    soak.disturb(f"target {target.number}", span_s)
    target.crash()
    time.sleep(span_s)
    target.restart()


@register
def replace_target(soak: Soak, span_s: float) -> None:
    """Let a target leave for good, and start another one."""
    target = soak.rng.choice(soak.targets)
    soak.targets.append(soak.add_target(len(soak.targets) + 1))
    soak.list_target(target, "draining")
    # Its entry has the last word: it stays among those that leave.
    soak.leavings.append((time.monotonic(), target))
    soak.disturb(f"leaving {target.number}", span_s)
    time.sleep(BOUND_S + span_s)
    soak.remove_target(target)
    soak.disturb(f"target {target.number}", float("inf"))
    target.ended = True


@register
@soakfaults.register
def change_configuration(soak: Soak, span_s: float) -> None:
    """Write a new configuration."""
    del span_s
    soak.write_configuration()


def restore_store(soak: Soak, span_s: float) -> None:
    """Let the store return from a copy, which is as old as the span is long.

    Not registered: returns come at moments of their own, so that the other faults of a
    seed stay the same.
    """
    found = soak.store.copy()
    time.sleep(span_s)
    for host in soak.hosts:
        host.link.reset()
    soak.disturb("hosts", REPORT_DELAY_S)
    with soak.writing:
        soak.store.restore(found)
    soak.evidence.faults.append("restore_store")
    # Targets report again within two seconds, and entries without reports expire.
    time.sleep(REPORT_DELAY_S)
    soak.write_again()
    time.sleep(ENTRY_EXPIRY_S - REPORT_DELAY_S)
    soak.expire_entries()


def evacuate_domain(soak: Soak, span_s: float) -> None:
    """Evacuate a failure domain, and take that back; not registered, as above."""
    soak.evacuated = domain = soak.evacuations_rng.choice(DOMAINS)
    soak.write_evacuations()
    began = time.monotonic()
    soak.evidence.faults.append("evacuate_domain")
    # Its targets may count as cold for a time afterwards.
    soak.disturb(f"domain {domain}", EVACUATION_BOUND_S + span_s)
    time.sleep(EVACUATION_BOUND_S + span_s)
    soak.evacuations.append((began, time.monotonic(), domain))
    soak.evacuated = None
    soak.write_evacuations()


def burst_class(soak: Soak, span_s: float) -> None:
    """Let callers of one priority call without pauses; not registered, as above."""
    port = soak.bursts_rng.choice(list(PRIORITIES))
    ends_at = time.monotonic() + span_s
    soak.evidence.faults.append(f"burst_class {port}")
    threads = []
    for n in range(CROWD):
        name = f"{CALLERS + n}-{ends_at:.3f}"
        args = (1 + n % CROWD_ADDRESSES, port, name, 0.0, ends_at)
        threads.append(threading.Thread(target=soak.call, args=args))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def restart_domain(soak: Soak, span_s: float) -> None:
    """Let the targets of a failure domain crash and return cold, all or but one.

    Not registered, as above. The entries expire meanwhile.
    """
    # Mostly the domain that is evacuated, so that there are others to serve callers.
    domain = soak.outages_rng.choice([*DOMAINS[::2], *[soak.evacuated] * 4])
    domain = domain or soak.outages_rng.choice(DOMAINS)
    left = soak.outages_rng.choice([0, 1])
    near = [t for t in soak.targets if domain_of(t.number) == domain]
    ready = [t for t in near if soak.reported.get(t.number, ("",))[0] == "ready"]
    targets = ready[left:]
    soak.evidence.faults.append(f"restart_domain {domain} {left}")
    began = time.monotonic()
    soak.disturb(f"domain {domain}", ENTRY_EXPIRY_S + span_s + COLD_START_S)
    for target in targets:
        soak.disturb(f"target {target.number}", ENTRY_EXPIRY_S + span_s)
        target.down = True
        target.crash()
        with soak.writing:
            soak.reported.pop(target.number, None)
    time.sleep(ENTRY_EXPIRY_S)
    soak.expire_entries()
    time.sleep(span_s)
    soak.outages.append((began, time.monotonic(), domain))
    returned = [t for t in targets if t.number not in soak.reported and not t.ended]
    for target in targets:
        target.down = False
        now = time.monotonic()
        if target in returned:
            soak.cold_until[target.number] = now + COLD_START_S
            soak.cold_spans.append((now, now + COLD_START_S, target))
            soak.list_target(target, "ready")
        target.restart()
    time.sleep(COLD_START_S)
    with soak.writing:
        for target in returned:
            if soak.reported.get(target.number, ("",))[0] == "ready":
                soak.list_target(target, "ready")


def main(
    seed: int = 1,
    seconds: float = 30.0,
    logs: str = "",
    profile: str = "usual",
    hosts: int = 0,
) -> int:
    """Run one soak, print what was seen, and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        evidence = Soak(seed, pathlib.Path(folder), profile, hosts).run(seconds)
        if logs:
            shutil.copytree(folder, logs, dirs_exist_ok=True)
    print(
        f"seed {seed}: {evidence.answered} answered, {evidence.lost} lost, "
        f"{evidence.turned_away} turned away, {evidence.cold_peak} at a cold target, "
        f"{evidence.refused} flows refused, {evidence.outage_flows} judged in outages, "
        f"{evidence.versions_judged} versions judged, "
        f"{evidence.routes_judged} flows by changed routes judged, "
        f"{evidence.drained_late} late openings excused, "
        f"{evidence.resets_excused} resets excused"
    )
    print(f"faults: {', '.join(evidence.faults)}")
    for violation, count in collections.Counter(evidence.violations).items():
        print(f"VIOLATION {violation}" + f", {count} times" * (count > 1))
    return 1 if evidence.violations else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
