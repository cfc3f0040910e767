"""Plots of an experiment over time."""

import pathlib

import matplotlib.axes
import matplotlib.figure

from lab import faults, load

OUTCOME_MARKS = {"not_run": ("x", "black"), "unknown": ("v", "red")}


def plot_run(
    path: pathlib.Path, seen: load.Seen, happened: list[faults.Happened], title: str
) -> None:
    """Write a PNG with each request's time over its moment, and the faults.

    Parameters
    ----------
    path : pathlib.Path
        File to write.
    seen : load.Seen
        What the callers saw.
    happened : list of faults.Happened
        Faults, shown as bars below the requests.
    title : str
        Title of the plot.
    """
    figure = matplotlib.figure.Figure(figsize=(13, 7), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True, height_ratios=(3, 1.4))
    start = min((r.meant_at for r in seen.requests), default=0.0)
    plot_requests(above, seen, start)
    above.set_title(title)
    plot_faults(below, happened, start)
    figure.savefig(path, dpi=90)


def plot_requests(axes: matplotlib.axes.Axes, seen: load.Seen, start: float) -> None:
    """Plot answered requests by stream, and the other outcomes on top."""
    streams = sorted({request.stream for request in seen.requests})
    for stream in streams:
        found = [
            r for r in seen.requests if r.stream == stream and r.outcome == "answered"
        ]
        axes.scatter(
            [r.meant_at - start for r in found],
            [max(r.seconds, 1e-4) for r in found],
            s=4,
            label=f"{stream} ({len(found)})",
        )
    for outcome, (marker, colour) in OUTCOME_MARKS.items():
        found = [r for r in seen.requests if r.outcome == outcome]
        axes.scatter(
            [r.meant_at - start for r in found],
            [max(r.seconds, 1e-4) for r in found],
            s=22,
            marker=marker,
            color=colour,
            label=f"{outcome} ({len(found)})",
        )
    axes.set_yscale("log")
    axes.set_ylabel("seconds from the intended sending")
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0))


def plot_faults(
    axes: matplotlib.axes.Axes, happened: list[faults.Happened], start: float
) -> None:
    """Plot one bar for each fault."""
    shown = [h for h in happened if not h.skipped]
    for row, fault in enumerate(shown):
        lasts = max(fault.ended_at - fault.began_at, 0.1)
        colour = "tab:blue" if fault.planned else "tab:red"
        axes.barh(row, lasts, left=fault.began_at - start, color=colour, height=0.8)
        label = f" {fault.fault} {fault.subject}"
        axes.text(fault.ended_at - start, row, label, fontsize=6, va="center")
    axes.set_yticks([])
    axes.set_xlabel("seconds (bars: faults, blue for planned changes)")
