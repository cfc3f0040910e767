"""Random faults from a seed over a loaded cluster, judged from outside.

``python -m lab.soak --seed N --minutes M`` ends with a non-zero status if an
invariant broke, and leaves a record in ``out/``.
"""

import dataclasses
import importlib.metadata
import json
import pathlib
import platform
import shutil
import sys
import time
import typing

import anyio
import fire
import fire.decorators

import basilgate
from lab import checker, cluster, faults, load, plots
from standins import fabric

OUT = pathlib.Path("out")
SETTLE_S = checker.RECOVERY_S
SHOWN_VIOLATIONS = 5
LIBRARIES = ("anyio", "thrift", "httpx", "uvicorn")

# The users' sizes, section 1.1 of docs/design.md.
SONOR = cluster.Plan(
    balancers={"suceava": 3, "radauti": 3, "falticeni": 2},
    services=(
        cluster.ServicePlan(
            "order-desk", 1, "short", {"suceava": 3, "radauti": 2, "falticeni": 2}
        ),
        cluster.ServicePlan(
            "photo-store", 2, "long", {"suceava": 1, "radauti": 1, "falticeni": 1}
        ),
    ),
    balancer_module=cluster.FAULTY_MODULE,
)
MAKSUPALVELUT = cluster.Plan(
    balancers={"kuopio": 3, "oulu": 2, "turku": 2, "vaasa": 2},
    services=(
        cluster.ServicePlan(
            "claims-hub", 1, "short", {"kuopio": 2, "oulu": 2, "turku": 2, "vaasa": 1}
        ),
        cluster.ServicePlan(
            "statement-desk",
            2,
            "long",
            {"kuopio": 1, "oulu": 1, "turku": 1, "vaasa": 1},
        ),
    ),
    balancer_module=cluster.FAULTY_MODULE,
)
FABRICS = {
    "smooth": fabric.FabricFaults(),
    "rough": fabric.FabricFaults(
        loss=0.01, duplication=0.02, reordering=0.02, late=0.05
    ),
}
PLANS = {"sonor": SONOR, "maksupalvelut": MAKSUPALVELUT}


@dataclasses.dataclass(slots=True)
class Report:
    """Result of one run."""

    name: str
    settings: dict[str, typing.Any]
    evidence: checker.Evidence
    violations: list[checker.Violation]
    traces: list[list[str]]
    schedule: list[faults.Event]
    resident_kb: dict[str, int]

    def as_json(self) -> dict[str, typing.Any]:
        """Return what is written to the run's file."""
        seen = self.evidence.seen
        kinds = [h.fault for h in self.evidence.happened if not h.skipped]
        return {
            "name": self.name,
            "settings": self.settings,
            "versions": versions(),
            "counts": seen.counts(),
            "strays": seen.strays,
            "latencies": seen.latencies().summary(),
            "faults": {kind: kinds.count(kind) for kind in sorted(set(kinds))},
            "skipped_faults": len(self.evidence.happened) - len(kinds),
            "schedule": [dataclasses.asdict(event) for event in self.schedule],
            "happened": [dataclasses.asdict(h) for h in self.evidence.happened],
            "violations": [dataclasses.asdict(v) for v in self.violations],
            "traces": self.traces,
            "resident_kb": self.resident_kb,
        }


def versions() -> dict[str, str]:
    """Return the versions of this project, Python, and the main libraries."""
    found = {name: importlib.metadata.version(name) for name in LIBRARIES}
    return {
        "basilgate": basilgate.__version__,
        "python": platform.python_version(),
        **found,
    }


async def run_experiment(
    name: str,
    plan: cluster.Plan,
    load_plan: load.LoadPlan,
    schedule: list[faults.Event],
    seed: int,
    seconds: float,
    settle_s: float = SETTLE_S,
) -> Report:
    """Run load and faults on a new cluster and judge what was seen.

    Parameters
    ----------
    name : str
        Name of the run's files.
    plan : cluster.Plan
        What to start.
    load_plan : load.LoadPlan
        What the callers do.
    schedule : list of faults.Event
        Faults to cause.
    seed : int
        Seed of the load.
    seconds : float
        Time for the faults; the load goes on for `settle_s` more.
    settle_s : float
        Time without faults before the flows are probed.
    """
    async with cluster.running(plan) as running:
        bench = faults.Bench(running)
        samples: list[checker.Sample] = []
        generator = load.Load(load_plan, running.fabric.current, seed)
        async with anyio.create_task_group() as watching:
            watching.start_soon(checker.sample_balancers, running, samples)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generator.run, seconds + settle_s)
                tasks.start_soon(bench.run, schedule)
            watching.cancel_scope.cancel()
        evidence = checker.Evidence(
            generator.seen, running.journal(), bench.happened, running.targets, samples
        )
        violations = checker.judge(evidence)
        traces = [
            checker.trace(evidence, violation, running.folder)
            for violation in violations[:SHOWN_VIOLATIONS]
        ]
        if violations:
            kept = OUT / f"{name}-logs"
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(running.folder, kept)
        return Report(
            name,
            {"seed": seed, "seconds": seconds, "settle_s": settle_s},
            evidence,
            violations,
            traces,
            schedule,
            running.resident_kb(),
        )


def save(report: Report) -> pathlib.Path:
    """Write the run's file and plot, and return the file's path."""
    OUT.mkdir(exist_ok=True)
    path = OUT / f"{report.name}.json"
    path.write_text(json.dumps(report.as_json(), indent=1) + "\n", encoding="utf-8")
    evidence = report.evidence
    title = f"{report.name}: {len(report.violations)} violations"
    plots.plot_run(path.with_suffix(".png"), evidence.seen, evidence.happened, title)
    return path


def show(report: Report) -> None:
    """Print counts, violations, and the traces of the first ones."""
    found = report.as_json()
    for key in ("settings", "counts", "faults"):
        print(f"{key}: {json.dumps(found[key])}")
    for name, values in found["latencies"].items():
        print(f"latency {name}: {json.dumps(values)}")
    for violation in report.violations[:50]:
        print(f"VIOLATION seed={report.settings['seed']} {violation}")
    for violation, trace in zip(report.violations, report.traces, strict=False):
        print(f"trace of {violation.line} at {violation.at:.3f}:")
        print("\n".join(f"  {line}" for line in trace))
    print(f"{len(report.violations)} violations")


async def soak(
    seed: int,
    seconds: float,
    brief: str = "",
    names: tuple[str, ...] = (),
    fabric_name: str = "smooth",
) -> Report:
    """Run random faults for some time; the seed picks the size if none is named."""
    chosen = brief or sorted(PLANS)[seed % len(PLANS)]
    plan = PLANS[chosen]
    targets = [target.name for target in cluster.planned_targets(plan)]
    schedule = faults.schedule(plan, targets, seed, seconds, names)
    load_plan = load.plan_for(
        1,
        2,
        short_flows_per_s=3.0,
        stray_share=0.02,
        faults=FABRICS[fabric_name],
    )
    name = f"soak-{chosen}-{seed}"
    report = await run_experiment(name, plan, load_plan, schedule, seed, seconds)
    report.settings |= {
        "brief": chosen,
        "faults": list(names),
        "fabric": fabric_name,
    }
    return report


@fire.decorators.SetParseFns(seed=int, minutes=float, brief=str, faults=str, fabric=str)
def main(
    seed: int = 1,
    minutes: float = 2.0,
    brief: str = "",
    faults: str = "",
    fabric: str = "smooth",
) -> None:
    """Run random faults over a loaded cluster.

    Parameters
    ----------
    seed : int
        Seed of faults and load.
    minutes : float
        Time for the faults.
    brief : str
        Size to run: sonor or maksupalvelut; the seed decides if empty.
    faults : str
        Comma-separated faults to choose from; all of them if empty.
    fabric : str
        Way from the callers to the balancers: smooth, or rough with loss,
        duplication, reordering, and late copies all the time.
    """
    began = time.monotonic()
    names = tuple(name for name in faults.split(",") if name)

    async def run() -> int:
        report = await soak(seed, minutes * 60, brief, names, fabric)
        path = save(report)
        show(report)
        print(f"{path}, {time.monotonic() - began:.0f} s")
        return 1 if report.violations else 0

    sys.exit(cluster.run_interruptible(run))


if __name__ == "__main__":
    fire.Fire(main)
