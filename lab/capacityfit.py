"""Fits slopes to the cells that lab/capacity.py measured, by least squares.

Reads ``out/capacity.json``, prints the slopes with their residuals and the value at
the capacity goal, and writes ``out/capacityfit.json``.
"""

import json
import pathlib
import sys
import typing

import numpy

from basilgate import membership
from lab import capacity, scale

OUT = pathlib.Path("out/capacityfit.json")
Terms = dict[str, float]

MEMBERS_AT_GOAL = scale.DOMAIN_MEMBERS
TARGETS_AT_GOAL = scale.TARGETS / scale.NODES


def heartbeats_per_s(members: float) -> float:
    """Return the heartbeats that a member sends a second."""
    return (members - 1) / membership.heartbeat_interval_s(round(members))


def processor_terms(cell: capacity.Cell) -> Terms:
    """Return what processor time grows with."""
    return {
        "constant": 1.0,
        "heartbeat a second": heartbeats_per_s(cell.nodes / cell.domains),
        "other failure domain": float(cell.domains - 1),
        "target of the node": cell.targets,
    }


def memory_terms(cell: capacity.Cell) -> Terms:
    """Return what memory grows with."""
    return {
        "constant": 1.0,
        "member of the domain": cell.nodes / cell.domains - 1,
        "target of the sheet": float(max(cell.total_targets, cell.nodes * 8.5)),
    }


GOAL_PROCESSOR = {
    "constant": 1.0,
    "heartbeat a second": heartbeats_per_s(MEMBERS_AT_GOAL),
    "other failure domain": float(scale.DOMAINS - 1),
    "target of the node": TARGETS_AT_GOAL,
}
GOAL_MEMORY = {
    "constant": 1.0,
    "member of the domain": MEMBERS_AT_GOAL - 1.0,
    "target of the sheet": float(scale.TARGETS),
}


def fit(rows: list[Terms], values: list[float], goal: Terms) -> dict[str, typing.Any]:
    """Return slopes, the largest residual, and the value at the goal."""
    names = list(rows[0])
    matrix = numpy.array([[row[name] for name in names] for row in rows])
    solved = numpy.linalg.lstsq(matrix, numpy.array(values), rcond=None)
    slopes = solved[0]
    residuals = numpy.abs(matrix @ slopes - numpy.array(values))
    at_goal = sum(slope * goal[name] for name, slope in zip(names, slopes, strict=True))
    return {
        "slopes": {name: float(s) for name, s in zip(names, slopes, strict=True)},
        "rank": int(solved[2]),
        "largest_residual": float(residuals.max()),
        "cells": len(rows),
        "at_goal": float(at_goal),
    }


def message_sizes(states: list[dict[str, typing.Any]]) -> dict[str, dict[str, float]]:
    """Return bytes by message of each kind and direction, over all cells."""
    found: dict[str, dict[str, float]] = {}
    kinds = {k for state in states for k in state if k.startswith("control_messages ")}
    for kind in sorted(kinds):
        what = kind.removeprefix("control_messages ")
        pairs = [
            (state[kind], state.get(f"control_bytes {what}", 0.0))
            for state in states
            if state.get(kind, 0.0) > 0
        ]
        if pairs:
            counts, sizes = numpy.array(pairs).T
            found[what] = {
                "bytes_each": float(counts @ sizes / (counts @ counts)),
                "most_per_s": float(counts.max()),
            }
    return found


def main() -> int:
    """Fit and print."""
    found = json.loads(capacity.OUT.read_text(encoding="utf-8"))
    measured = [entry for entry in found if "error" not in entry]
    cells = [capacity.Cell(**entry["cell"]) for entry in measured]
    idle = [entry["idle"] for entry in measured]
    fits = {
        "processor share": fit(
            [processor_terms(cell) for cell in cells],
            [state["cpu_share"] for state in idle],
            GOAL_PROCESSOR,
        ),
        "resident bytes": fit(
            [memory_terms(cell) for cell in cells],
            [state["rss_bytes"] for state in idle],
            GOAL_MEMORY,
        ),
    }
    for name, result in fits.items():
        print(f"{name}: {result['cells']} cells, rank {result['rank']}")
        for term, slope in result["slopes"].items():
            print(f"  {term:24s} {slope:14.6g}")
        print(f"  largest residual         {result['largest_residual']:14.6g}")
        print(f"  at the capacity goal     {result['at_goal']:14.6g}")
    sizes = message_sizes(idle)
    for kind, entry in sizes.items():
        print(
            f"{kind:28s} {entry['bytes_each']:8.1f} bytes each, "
            f"at most {entry['most_per_s']:.1f} a second"
        )
    OUT.write_text(json.dumps({"fits": fits, "messages": sizes}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
