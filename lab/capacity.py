"""Measures the control cost of clusters of 1 to 64 balancers on loopback.

Each cell of the matrix starts one cluster, idle first and then under a change of
configuration every few seconds. A few target processes stand for all targets.
Prints a table and writes ``out/capacity.json``.
"""

import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing

import anyio
import fire
import fire.decorators
import httpx

from lab import cluster, scale, slopes

OUT = pathlib.Path("out/capacity.json")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
MAX_NODES = 64
TARGET_PROCESSES = 4
SETTLE_S = 4.0
START_LIMIT_S = 120.0
CHANGE_PAUSE_S = 2.0
ABSENT_DOMAIN = "elsewhere"
ABSENT_SERVICE = cluster.ServicePlan("stub", 1, "short", {})


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One cluster: balancers, failure domains, and targets for each balancer.

    `total_targets` and `services` set the size of the sheet; targets beyond those
    of the running domains belong to a domain without balancers. `stagger_s` is the
    pause between two starts; 0 starts all at once, as after an outage.
    """

    nodes: int
    domains: int
    targets: float = 8.5
    total_targets: int = 0
    services: int = 20
    stagger_s: float = 0.25

    @property
    def label(self) -> str:
        """Name in tables."""
        return f"{self.nodes}/{self.domains}"


SLOPE_CELLS = tuple(
    Cell(nodes, domains)
    for nodes, domains in (
        (1, 1),
        (64, 8),
        (16, 1),
        (16, 8),
        (64, 1),
        (32, 4),
        (8, 1),
        (32, 1),
        (4, 1),
        (16, 2),
        (2, 1),
        (2, 2),
        (4, 2),
        (8, 4),
        (32, 8),
        (64, 2),
    )
)
TARGET_CELLS = (Cell(16, 1, 0.0), Cell(16, 1, 4.0), Cell(16, 1, 17.0))
SHEET_CELLS = tuple(
    Cell(nodes, 1, 8.5, scale.TARGETS, scale.SERVICES) for nodes in (1, 8)
) + (Cell(64, 8, 8.5, scale.TARGETS, scale.SERVICES),)
OUTAGE_CELLS = tuple(Cell(n, d, stagger_s=0.0) for n, d in ((16, 1), (32, 4), (64, 8)))
QUICK_CELLS = (Cell(1, 1), Cell(4, 1), Cell(8, 2))
MATRICES = {
    "all": SHEET_CELLS + SLOPE_CELLS + TARGET_CELLS,
    "slopes": SLOPE_CELLS,
    "targets": TARGET_CELLS,
    "sheet": SHEET_CELLS,
    "quick": QUICK_CELLS,
    "outage": OUTAGE_CELLS,
    "largest": (Cell(1, 1), Cell(64, 1), Cell(64, 8), SHEET_CELLS[-1]),
}
# Calls that balancers make; the writer of the changes uses other paths.
BALANCER_CALLS = ("GET /watch", "GET /objects")


class StubbedCluster(cluster.Cluster):
    """Cluster whose many targets are served by a few processes."""

    def __init__(self, cell: Cell, folder: pathlib.Path) -> None:
        names = [f"domain-{n}" for n in range(1, cell.domains + 1)]
        balancers = {name: cell.nodes // cell.domains for name in names}
        super().__init__(cluster.Plan(balancers, ()), folder)
        self.cell = cell
        self.start_limit_s = START_LIMIT_S

    async def start_host(self, name: str) -> None:
        """Start a balancer and pause before the next."""
        await super().start_host(name)
        await anyio.sleep(self.cell.stagger_s)

    def layout(self) -> None:
        """Name the balancers and the stub processes."""
        super().layout()
        for number in range(1, TARGET_PROCESSES + 1):
            name = f"stub-{number}"
            address = f"{self.network}.200.{number}"
            self.targets[name] = cluster.TargetHost(
                name, number, "", ABSENT_SERVICE, address
            )

    async def is_ready(self) -> bool:
        """Tell whether each balancer is in the view of its domain and configured.

        Homes that wait for a handover are counted in the results instead, so that
        a cell is measured even if some of them wait for long.
        """
        for name, host in self.hosts.items():
            status = await self.status(name)
            members = self.plan.balancers[host.domain]
            if len(status["members"]) != members or not status["configured"]:
                return False
        return True

    async def homes_waiting(self) -> int:
        """Return the number of homes that may not forward."""
        states = [await self.status(name) for name in self.hosts]
        return sum(int(state["homes_waiting"]) for state in states)

    def size(self) -> scale.Size:
        """Return what the sheet holds."""
        counts = {
            domain: round(self.cell.targets * balancers)
            for domain, balancers in self.plan.balancers.items()
        }
        absent = self.cell.total_targets - sum(counts.values())
        if absent > 0:
            counts[ABSENT_DOMAIN] = absent
        return scale.Size(self.cell.services, counts)

    async def write_configuration(self) -> None:
        """Write the token key and the sheet in parts."""
        await self.write("key/1", {"id": 1, "secret": "17" * 32})
        addresses = [target.address for target in self.targets.values()]
        parts = scale.sheet_parts(self.size(), addresses)
        for name, part in parts.items():
            await self.write(f"sheet-part/{name}", part)
        await self.write("sheet", scale.manifest(parts))

    async def platform_calls(self) -> dict[str, int]:
        """Return the platform's calls so far, by method and path."""
        response = await self.http.get(self.platform_url + "/calls")
        return {k: v for k, v in response.json().items() if not k.startswith("from")}

    async def watch_bytes(self, changed: int) -> float:
        """Return the bytes of one watch that reports `changed` changes."""
        revision = int(
            (await self.http.get(self.platform_url + "/objects")).json()["revision"]
        )
        params = {"since": str(revision - changed), "timeout": "0.01"}
        response = await self.http.get(self.platform_url + "/watch", params=params)
        request = response.request
        headers = [*request.headers.raw, *response.headers.raw]
        fixed = sum(len(name) + len(value) + 4 for name, value in headers) + 60
        return float(fixed + len(request.url.raw_path) + len(response.content))


@dataclasses.dataclass(slots=True)
class Sample:
    """State of one process at one moment; `cpu_s` is user and system time."""

    at_s: float
    cpu_s: float
    rss_bytes: int
    private_bytes: int
    control: dict[str, float] = dataclasses.field(default_factory=dict)


def process_sample(pid: int) -> Sample:
    """Read processor time and memory of a process."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    resident, shared = int(pages[1]), int(pages[2])
    return Sample(
        time.monotonic(),
        ticks / TICKS_PER_S,
        resident * PAGE_BYTES,
        (resident - shared) * PAGE_BYTES,
    )


async def control_counters(running: StubbedCluster, name: str) -> dict[str, float]:
    """Return a balancer's counts of control messages and bytes, by kind."""
    url = running.hosts[name].admin_url + "/metrics"
    text = (await running.http.get(url)).text
    found = {}
    for line in text.splitlines():
        for metric in ("control_bytes", "control_messages"):
            prefix = f"basilgate_{metric}_total{{"
            if line.startswith(prefix):
                labels, _, value = line[len(prefix) :].partition("} ")
                found[f"{metric} {kind_of(labels)}"] = float(value)
    return found


def kind_of(labels: str) -> str:
    """Return message and direction from the labels of a counter."""
    pairs = dict(pair.split("=", 1) for pair in labels.split(","))
    return f"{pairs['message']} {pairs['direction']}".replace('"', "")


async def window(
    running: StubbedCluster, length_s: float
) -> tuple[list[dict[str, float]], dict[str, float]]:
    """Return the rates of each balancer and of the platform over one window."""
    names = list(running.hosts)
    before, after = {}, {}
    counters = {name: await control_counters(running, name) for name in names}
    calls = await running.platform_calls()
    for name in names:
        before[name] = process_sample(pid_of(running, name))
    started = time.monotonic()
    await anyio.sleep(length_s)
    for name in names:
        after[name] = process_sample(pid_of(running, name))
    calls_after = await running.platform_calls()
    taken_s = time.monotonic() - started
    rates = []
    for name in names:
        later = await control_counters(running, name)
        span = after[name].at_s - before[name].at_s
        rate = {
            kind: (value - counters[name].get(kind, 0.0)) / taken_s
            for kind, value in later.items()
        }
        rate["cpu_share"] = (after[name].cpu_s - before[name].cpu_s) / span
        rate["rss_bytes"] = float(after[name].rss_bytes)
        rate["private_bytes"] = float(after[name].private_bytes)
        rates.append(rate)
    platform = {
        call: (value - calls.get(call, 0)) / taken_s
        for call, value in calls_after.items()
    }
    return rates, platform


def pid_of(running: cluster.Cluster, name: str) -> int:
    """Return the process id of a balancer."""
    process = running.hosts[name].process
    assert process is not None
    return process.pid


async def change_configuration(running: StubbedCluster, pause_s: float) -> None:
    """Write an override of another target every `pause_s` seconds."""
    number = 0
    targets = sum(running.size().targets.values())
    while True:
        number += 1
        target = 1 + number * 7 % max(1, targets)
        value = scale.override(number, "service-0001", f"target-{target:05d}")
        await running.write(f"override/{value['id']}", value)
        await anyio.sleep(pause_s)


def median_rates(windows: list[list[dict[str, float]]]) -> dict[str, float]:
    """Return the median over windows of the mean over balancers."""
    kinds = {kind for rates in windows for rate in rates for kind in rate}
    return {
        kind: statistics.median(
            statistics.fmean(rate.get(kind, 0.0) for rate in rates) for rates in windows
        )
        for kind in sorted(kinds)
    }


async def measure_cell(
    cell: Cell, length_s: float, windows: int
) -> dict[str, typing.Any]:
    """Start a cluster and measure it idle and under change."""
    found: dict[str, typing.Any] = {"cell": dataclasses.asdict(cell)}
    with tempfile.TemporaryDirectory(prefix="basilgate-") as folder:
        running = StubbedCluster(cell, pathlib.Path(folder))
        started = time.monotonic()
        try:
            await running.start()
            found["start_s"] = time.monotonic() - started
            found["start_calls"] = await running.platform_calls()
            await anyio.sleep(SETTLE_S)
            found["homes_waiting"] = await running.homes_waiting()
            found["idle"] = await measure_state(running, length_s, windows)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(change_configuration, running, CHANGE_PAUSE_S)
                await anyio.sleep(CHANGE_PAUSE_S)
                found["change"] = await measure_state(running, length_s, windows)
                tasks.cancel_scope.cancel()
            found["watch_bytes"] = {n: await running.watch_bytes(n) for n in (0, 1)}
        except (TimeoutError, httpx.HTTPError) as error:
            found["error"] = repr(error)
        finally:
            with anyio.CancelScope(shield=True):
                await running.end()
    return found


async def measure_state(
    running: StubbedCluster, length_s: float, windows: int
) -> dict[str, typing.Any]:
    """Measure several windows of one state."""
    measured = []
    platforms = []
    references = []
    for _ in range(windows):
        references.append(slopes.seconds(slopes.reference))
        rates, platform = await window(running, length_s)
        measured.append(rates)
        platforms.append(platform)
    shares = [statistics.fmean(r["cpu_share"] for r in rates) for rates in measured]
    found: dict[str, typing.Any] = median_rates(measured)
    found["cpu_share_low"], found["cpu_share_high"] = min(shares), max(shares)
    found["cpu_share_busiest"] = max(r["cpu_share"] for rs in measured for r in rs)
    found["rss_bytes_largest"] = max(r["rss_bytes"] for rs in measured for r in rs)
    found["platform"] = median_rates([[platform] for platform in platforms])
    found["reference_s"] = statistics.median(references)
    found["machine_load"] = os.getloadavg()[0]
    return found


def total(state: collections.abc.Mapping[str, float], metric: str, end: str) -> float:
    """Return the sum of one metric over all kinds in one direction."""
    return sum(
        value
        for kind, value in state.items()
        if kind.startswith(metric + " ") and kind.endswith(end)
    )


HEADINGS = (
    "nodes/dom tgts state   cpu% (low-high, busiest)    rss MB  B/s out   B/s in"
    "  msg/s out  calls/s node  ref ms  load"
)


def rows(found: dict[str, typing.Any]) -> list[str]:
    """Return the lines of the table for one cell."""
    cell = Cell(**found["cell"])
    if "error" in found:
        return [f"{cell.label:9s} {found['error']}"]
    lines = [
        f"{cell.label:9s} ready after {found['start_s']:.1f} s,"
        f" {found['homes_waiting']} homes wait for a handover"
    ]
    for name in ("idle", "change"):
        state = found[name]
        calls = sum(state["platform"].get(call, 0.0) for call in BALANCER_CALLS)
        shares = [
            100 * state[f"cpu_share{k}"] for k in ("", "_low", "_high", "_busiest")
        ]
        lines.append(
            f"{cell.label:9s} {cell.targets:4.1f} {name:6s}"
            f" {shares[0]:5.2f} ({shares[1]:.2f}-{shares[2]:.2f}, {shares[3]:.2f})"
            f" {state['rss_bytes'] / 2**20:8.1f}"
            f" {total(state, 'control_bytes', 'sent'):8.0f}"
            f" {total(state, 'control_bytes', 'received'):8.0f}"
            f" {total(state, 'control_messages', 'sent'):10.1f}"
            f" {calls / cell.nodes:13.3f}"
            f" {state['reference_s'] * 1e3:7.1f} {state['machine_load']:5.1f}"
        )
    return lines


async def measure(
    cells: collections.abc.Iterable[Cell], length_s: float, windows: int
) -> list[dict[str, typing.Any]]:
    """Measure each cell and print its rows as they come."""
    print(HEADINGS)
    found = []
    for cell in cells:
        found.append(await measure_cell(cell, length_s, windows))
        print("\n".join(rows(found[-1])), flush=True)
        OUT.parent.mkdir(exist_ok=True)
        OUT.write_text(json.dumps(found, indent=1), encoding="utf-8")
    return found


@fire.decorators.SetParseFns(matrix=str, window_s=float, windows=int)
def run(matrix: str = "all", window_s: float = 10.0, windows: int = 3) -> None:
    """Measure the cells of a matrix.

    Parameters
    ----------
    matrix : str
        One of all, slopes, targets, sheet, largest, outage, quick.
    window_s : float
        Length of one window in seconds.
    windows : int
        Windows for each state; medians are taken over them.
    """
    # An installed package has compiled modules; compiling at start would leave
    # several MB resident that no installed process has.
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    os.environ["PYTHONPYCACHEPREFIX"] = str(OUT.parent.resolve() / "pycache")
    cells = MATRICES[matrix]
    assert all(cell.nodes <= MAX_NODES for cell in cells)
    found = anyio.run(functools.partial(measure, cells, window_s, windows))
    sys.exit(1 if any("error" in entry for entry in found) else 0)


if __name__ == "__main__":
    fire.Fire(run)
