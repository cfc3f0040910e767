"""What each fault costs: broken flows, untrue outcomes, and time without service.

``python -m lab.faultbench --seed N`` runs one cluster for each fault, prints a
table, writes ``out/faultbench.json``, and ends with a non-zero status if a bound is
missed. The bounds come from section 1.2 of docs/design.md.
"""

import collections
import dataclasses
import itertools
import json
import sys
import typing

import fire
import fire.decorators

from basilgate import rendezvous
from lab import checker, cluster, faults, load, soak

FAULT_AT_S = 8.0
WINDOW_S = 16.0
NEVER = ("run_twice", "wrong_service", "false_not_run")
NEVER_WHEN_PLANNED = ("flow_broken", *NEVER)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Faults to measure; the first event decides which targets are affected."""

    name: str
    events: tuple[faults.Event, ...]
    planned: bool = False


def busiest_host() -> str:
    """Return the host that is home for the most targets, by the rule of the homes."""
    homes: collections.Counter[str] = collections.Counter()
    for target in cluster.planned_targets(soak.SONOR):
        count = soak.SONOR.balancers[target.domain]
        hosts = [f"{target.domain}-{number + 1}" for number in range(count)]
        homes[rendezvous.pick(target.id, hosts) or ""] += 1
    return homes.most_common(1)[0][0]


VICTIM = busiest_host()
DOMAIN = VICTIM.rpartition("-")[0]
TARGET = f"order-desk-{DOMAIN}-1"
SCENARIOS = (
    Scenario("planned stop", (faults.Event(8, "planned_stop", VICTIM, 6),), True),
    Scenario("join", (faults.Event(8, "join", DOMAIN, 6),), True),
    Scenario("drain", (faults.Event(8, "drain", TARGET, 8),), True),
    Scenario("kill", (faults.Event(8, "kill", VICTIM, 12),)),
    Scenario("pause and resume", (faults.Event(8, "pause", VICTIM, 9),)),
    Scenario("domain cut", (faults.Event(8, "domain_cut", DOMAIN, 8),)),
    Scenario(
        "kill in a platform outage",
        (
            faults.Event(8, "kill", VICTIM, 14),
            faults.Event(7.5, "platform_outage", faults.PLATFORM, 8),
        ),
    ),
)


def affected(evidence: checker.Evidence, event: faults.Event, at: float) -> set[str]:
    """Return the targets that a fault concerns."""
    kind = faults.FAULTS[event.fault].subject
    if kind == "target":
        return {event.subject}
    if kind == "domain":
        return {t.name for t in evidence.targets.values() if t.domain == event.subject}
    earlier = [
        sample.homes
        for sample in evidence.samples
        if sample.host == event.subject and sample.at < at
    ]
    return set(earlier[-1]) if earlier else set()


def longest_gap_s(
    evidence: checker.Evidence,
    targets: set[str],
    since: float,
    until: float,
    idempotent: bool,
) -> float:
    """Return the longest time in which one of the targets started no request."""
    started: dict[str, list[float]] = collections.defaultdict(list)
    for line in checker.starts(evidence):
        wanted = line["target"] in targets and line["idempotent"] == idempotent
        if wanted and since < line["time"] < until:
            started[line["target"]].append(line["time"])
    longest = 0.0
    for name in targets:
        times = [since, *started[name], until]
        gaps = (after - before for before, after in itertools.pairwise(times))
        longest = max(longest, *gaps)
    return longest


def measure(scenario: Scenario, report: soak.Report) -> dict[str, typing.Any]:
    """Return the row of the table for one fault."""
    evidence = report.evidence
    first = scenario.events[0]
    happened = next(h for h in evidence.happened if h.fault == first.fault)
    began = happened.began_at
    targets = affected(evidence, first, began)
    counted = collections.Counter(violation.line for violation in report.violations)
    requests = [r for r in evidence.seen.requests if not r.probe]
    unknown = sum(r.outcome == "unknown" for r in requests)
    row: dict[str, typing.Any] = {
        "fault": scenario.name,
        "planned": scenario.planned,
        "requests": len(requests),
        "affected_targets": len(targets),
        **{line: counted[line] for line in NEVER_WHEN_PLANNED},
        "unknown_share": round(unknown / max(1, len(requests)), 4),
        "not_run": sum(r.outcome == "not_run" for r in requests),
    }
    for idempotent, label in ((True, "idempotent"), (False, "non_idempotent")):
        row[f"{label}_gap_s"] = round(
            longest_gap_s(evidence, targets, began, began + WINDOW_S, idempotent), 2
        )
        row[f"{label}_gap_before_s"] = round(
            longest_gap_s(evidence, targets, began - 5.0, began, idempotent), 2
        )
    return row


def missed_bounds(row: dict[str, typing.Any]) -> list[str]:
    """Return the bounds that a row misses."""
    lines = NEVER_WHEN_PLANNED if row["planned"] else NEVER
    return [f"{row['fault']}: {line}={row[line]}" for line in lines if row[line]]


def table(rows: list[dict[str, typing.Any]]) -> str:
    """Return the rows as a Markdown table."""
    heads = {
        "fault": "fault",
        "requests": "requests",
        "flow_broken": "flows broken",
        "run_twice": "run twice",
        "wrong_service": "wrong service",
        "false_not_run": 'false "not run"',
        "not_run": "not run",
        "unknown_share": "share unknown",
        "idempotent_gap_s": "idempotent gap, s (before)",
        "non_idempotent_gap_s": "non-idempotent gap, s (before)",
    }
    lines = ["| " + " | ".join(heads.values()) + " |", "|---" * len(heads) + "|"]
    for row in rows:
        cells = []
        for key in heads:
            before = row.get(key.replace("_gap_s", "_gap_before_s"))
            text = str(row[key])
            cells.append(f"{text} ({before})" if key.endswith("_gap_s") else text)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


async def run(seed: int, names: tuple[str, ...]) -> int:
    """Run the scenarios and return the exit status."""
    rows = []
    load_plan = load.plan_for(1, 2, scale=2.0, short_flows_per_s=5.0, stray_share=0.02)
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        name = "faultbench-" + scenario.name.replace(" ", "-")
        events = sorted(scenario.events, key=lambda event: event.at_s)
        report = await soak.run_experiment(
            name, soak.SONOR, load_plan, events, seed, FAULT_AT_S + WINDOW_S
        )
        soak.save(report)
        rows.append(measure(scenario, report))
        print(json.dumps(rows[-1]), flush=True)
        for violation in report.violations[: soak.SHOWN_VIOLATIONS]:
            print(f"VIOLATION seed={seed} {violation}")
    missed = [text for row in rows for text in missed_bounds(row)]
    content = {"seed": seed, "versions": soak.versions(), "rows": rows}
    path = soak.OUT / "faultbench.json"
    path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    print(table(rows))
    for text in missed:
        print(f"bound missed: {text}")
    return 1 if missed else 0


@fire.decorators.SetParseFns(seed=int, faults=str)
def main(seed: int = 1, faults: str = "") -> None:
    """Measure what each fault costs.

    Parameters
    ----------
    seed : int
        Seed of the load.
    faults : str
        Comma-separated names of the faults to measure; all of them if empty.
    """
    names = tuple(name for name in faults.split(",") if name)
    sys.exit(cluster.run_interruptible(run, seed, names))


if __name__ == "__main__":
    fire.Fire(main)
