"""Plots of the burn report as SVG elements."""

import collections.abc
import datetime
import io
import typing

import matplotlib
import matplotlib.dates
import matplotlib.figure

from basilgate import burnrates, burntext

# Okabe-Ito palette, whose colours colour-blind readers can distinguish.
COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000")
DASHES = ("solid", "dashed", "dotted", "dashdot")
# Services per plot; more lines are hard to distinguish, so the worst are plotted.
MAX_CURVES = 8
# Outcomes in the bar chart; the most frequent ones are plotted.
MAX_BARS = 12
WIDTH_IN = 9.5
HEIGHT_IN = 3.4


def to_svg(figure: typing.Any) -> str:
    """Return a figure as an SVG element."""
    buffer = io.StringIO()
    # Keeps text as text instead of outlines, so that readers can select it. The fixed
    # salt and the missing date give equal figures equal SVG text.
    style = {"svg.fonttype": "none", "svg.hashsalt": "basilgate"}
    with matplotlib.rc_context(style):
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def new_figure(height_in: float = HEIGHT_IN) -> tuple[typing.Any, typing.Any]:
    """Return a figure with horizontal grid lines, and its axes."""
    figure = matplotlib.figure.Figure(
        figsize=(WIDTH_IN, height_in), layout="constrained"
    )
    axes = figure.subplots()
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", color="#dddddd", linewidth=0.7)
    axes.set_axisbelow(True)
    return figure, axes


def worst_services(
    curves: collections.abc.Mapping[str, list[float | None]], high_is_bad: bool
) -> list[str]:
    """Return the worst services, at most `MAX_CURVES`, sorted by name.

    Services without any values are left out.

    Parameters
    ----------
    curves : mapping
        Values over time by service; None where there were no requests.
    high_is_bad : bool
        Whether to rank services by their highest value instead of their lowest.
    """

    def rank(service: str) -> float:
        values = [value for value in curves[service] if value is not None]
        if not values:
            return float("inf")
        return -max(values) if high_is_bad else min(values)

    plottable = [name for name in curves if any(v is not None for v in curves[name])]
    return sorted(sorted(plottable, key=rank)[:MAX_CURVES])


def draw_curves(
    axes: typing.Any,
    times_s: list[float],
    curves: collections.abc.Mapping[str, list[float | None]],
    services: list[str],
    scale: float = 1.0,
) -> None:
    """Draw one line for each service over time (UTC).

    Parameters
    ----------
    axes : matplotlib.axes.Axes
        Axes to draw on.
    times_s : list of float
        Unix times of the points.
    curves : mapping
        Values at `times_s` by service; None leaves a gap in the line.
    services : list of str
        Services to draw.
    scale : float
        Factor by which the values are multiplied.
    """
    times = [datetime.datetime.fromtimestamp(t, datetime.UTC) for t in times_s]
    for index, service in enumerate(services):
        values = [float("nan") if v is None else v * scale for v in curves[service]]
        axes.plot(
            times,
            values,
            label=service,
            color=COLOURS[index % len(COLOURS)],
            linestyle=DASHES[index % len(DASHES)],
            linewidth=1.8,
        )
    locator = matplotlib.dates.AutoDateLocator(tz=datetime.UTC)
    axes.xaxis.set_major_locator(locator)
    axes.xaxis.set_major_formatter(
        matplotlib.dates.ConciseDateFormatter(locator, tz=datetime.UTC)
    )
    axes.set_xlabel("time (UTC)")
    if services:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)


def plot_burn(
    report: burnrates.Report, thresholds: collections.abc.Mapping[str, float]
) -> str:
    """Return the plot of burn rates over time.

    Parameters
    ----------
    report : burnrates.Report
        Source of the burn rates.
    thresholds : mapping
        Burn rates of the alert rules by name, drawn as horizontal lines.
    """
    figure, axes = new_figure()
    services = worst_services(report.curves, high_is_bad=True)
    draw_curves(axes, report.times_s, report.curves, services)
    window = burntext.window_name(min(report.windows_s))
    axes.set_ylabel(f"burn rate over {window}")
    # Burn rates span several orders of magnitude, so the scale is logarithmic above
    # 1; below 1 it is linear, so that it can show 0.
    axes.set_yscale("symlog", linthresh=1.0)
    axes.yaxis.set_major_formatter(lambda value, _: f"{value:g}")
    axes.set_ylim(bottom=0)
    for name, threshold in thresholds.items():
        axes.axhline(threshold, color="#999999", linewidth=1, linestyle=(0, (2, 2)))
        axes.annotate(
            f"{name} {threshold:g}",
            (0.005, threshold),
            xycoords=("axes fraction", "data"),
            textcoords="offset points",
            xytext=(0, 2),
            fontsize=8,
            color="#666666",
        )
    return to_svg(figure)


def plot_budget(report: burnrates.Report) -> str:
    """Return the plot of the error budget left over time."""
    figure, axes = new_figure()
    services = worst_services(report.budgets, high_is_bad=False)
    draw_curves(axes, report.times_s, report.budgets, services, scale=100)
    axes.set_ylabel("error budget left (%)")
    lowest, _ = axes.get_ylim()
    axes.set_ylim(min(lowest, 0), 100)
    axes.axhline(0, color="#333333", linewidth=1)
    return to_svg(figure)


def plot_reasons(report: burnrates.Report) -> str:
    """Return the bar chart of errors by outcome and reason, "" without errors."""
    counts_by_outcome: dict[str, dict[str, float]] = {}
    for line in report.lines:
        if line.work_class == burnrates.ALL_CLASSES:
            for outcome, count in line.tally.bad.items():
                counts_by_outcome.setdefault(outcome, {})[line.service] = count
    outcomes = sorted(
        counts_by_outcome, key=lambda outcome: sum(counts_by_outcome[outcome].values())
    )
    shown = outcomes[-MAX_BARS:]
    if not shown:
        return ""
    figure, axes = new_figure(max(1.4, 0.8 + 0.32 * len(shown)))
    axes.grid(visible=False, axis="y")
    axes.grid(axis="x", color="#dddddd", linewidth=0.7)
    bar_ends = dict.fromkeys(shown, 0.0)
    services = sorted(
        {name for outcome in shown for name in counts_by_outcome[outcome]}
    )
    for index, service in enumerate(services):
        counts = [counts_by_outcome[outcome].get(service, 0.0) for outcome in shown]
        axes.barh(
            shown,
            counts,
            left=[bar_ends[outcome] for outcome in shown],
            label=service,
            color=COLOURS[index % len(COLOURS)],
            height=0.65,
        )
        for outcome, count in zip(shown, counts, strict=True):
            bar_ends[outcome] += count
    for outcome in shown:
        axes.annotate(
            f"{bar_ends[outcome]:.0f}",
            (bar_ends[outcome], outcome),
            textcoords="offset points",
            xytext=(4, 0),
            va="center",
            fontsize=9,
        )
    axes.set_xlabel("requests that count against the objective, whole budget period")
    axes.margins(x=0.08)
    if services:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    return to_svg(figure)
