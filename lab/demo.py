"""Shows the main job on loopback; ends with a table and a non-zero status on errors.

Eight balancers in two failure domains serve two services while flows are sprayed
packet by packet, an override pulls a target out, a balancer is restarted, and a
target is drained.
"""

import statistics
import sys
import typing

from basilgate import wire
from lab import checker, cluster, faults, load, soak

PLAN = cluster.Plan(
    balancers={"suceava": 4, "radauti": 4},
    services=(
        cluster.ServicePlan("order-desk", 1, "short", {"suceava": 3, "radauti": 4}),
        cluster.ServicePlan("photo-store", 2, "long", {"suceava": 2, "radauti": 1}),
    ),
)
LOAD = load.LoadPlan(
    streams=(
        load.Stream("reservation", 1, wire.WorkClass.SHORT, 60, idempotent_share=0.3),
        load.Stream(
            "photo",
            2,
            wire.WorkClass.LONG,
            0.7,
            work_ms=60.0,
            answer_bytes=2_000_000,
            idempotent_share=1.0,
            deadline_s=20.0,
        ),
    ),
    flows={1: 300, 2: 60},
    short_flows_per_s=130.0,
    short_flow_requests=1,
    stray_share=0.02,
)
SECONDS = 18.0
SETTLE_S = 2.0
FIRST_CHANGE_S = 4.0
SCHEDULE = [
    faults.Event(FIRST_CHANGE_S, "pull", "order-desk-suceava-1", 9.0),
    faults.Event(6.0, "restart", "suceava-2", 0.0),
    faults.Event(8.0, "drain", "photo-store-suceava-2", 8.0),
]
SEED = 20261204
VIOLATION_LABELS = {
    "flow_broken": "broken flows",
    "wrong_service": "packets at a wrong service",
    "false_not_run": "untrue 'not run'",
    "run_twice": "non-idempotent requests run twice",
    "request_cut": "requests cut off",
    "open_failed": "opens that failed",
    "leaving_target_used": "new flows at a leaving target",
    "unclean_stop": "unclean stops",
}


def imbalance(evidence: checker.Evidence, service: int) -> float:
    """Return largest over mean of the flows placed before the first change."""
    changed_at = min((h.began_at for h in evidence.happened), default=0.0)
    placed = {t.id: 0 for t in evidence.targets.values() if t.service.id == service}
    for flow in evidence.seen.flows.values():
        if flow.service == service and flow.asked_at < changed_at:
            placed[flow.target] += 1
    mean = statistics.fmean(placed.values())
    return max(placed.values()) / mean if mean else 0.0


def rows(report: soak.Report) -> list[tuple[str, typing.Any]]:
    """Return the lines of the closing table."""
    evidence = report.evidence
    requests = evidence.seen.requests
    outcomes = [request.outcome for request in requests]
    broken = [violation.line for violation in report.violations]
    found: list[tuple[str, typing.Any]] = [
        ("flows opened", len(evidence.seen.flows)),
        ("requests answered", outcomes.count("answered")),
        ("reported as not run", outcomes.count("not_run")),
        ("of unknown outcome", outcomes.count("unknown")),
        ("stray packets sent", evidence.seen.strays),
    ]
    found += [(label, broken.count(key)) for key, label in VIOLATION_LABELS.items()]
    latencies = evidence.seen.latencies()
    for stream in LOAD.streams:
        for percentile in (50, 99):
            value = latencies.percentile_ms(stream.name, percentile)
            found.append((f"{stream.name} p{percentile}, ms", f"{value:.1f}"))
    for service in PLAN.services:
        value = imbalance(evidence, service.id)
        found.append((f"{service.name} flows, largest over mean", f"{value:.3f}"))
    resident = report.resident_kb.values()
    found.append(("balancer memory, largest, MB", f"{max(resident) / 1024:.1f}"))
    return found


async def run() -> int:
    """Run the demonstration and return the exit status."""
    report = await soak.run_experiment(
        "demo", PLAN, LOAD, SCHEDULE, SEED, SECONDS, SETTLE_S
    )
    soak.save(report)
    for happened in report.evidence.happened:
        print(f"done under load: {happened.fault} {happened.subject}")
    for label, value in rows(report):
        print(f"{label:<40}{value:>12}")
    for violation in report.violations:
        print(f"VIOLATION {violation}")
    for line in [line for found in report.traces[:1] for line in found]:
        print(f"  {line}")
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(cluster.run_interruptible(run))
