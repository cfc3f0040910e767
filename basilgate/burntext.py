"""Burn report as text and as JSON."""

import collections.abc
import dataclasses
import datetime
import json
import typing

from basilgate import burnrates

DAY_S = 86_400
HOUR_S = 3_600
MINUTE_S = 60


def window_name(length_s: float) -> str:
    """Return a window's length in the largest unit that divides it, such as ``6 h``."""
    for unit_s, unit in ((DAY_S, "d"), (HOUR_S, "h"), (MINUTE_S, "min")):
        if length_s >= unit_s and length_s % unit_s == 0:
            return f"{length_s / unit_s:.0f} {unit}"
    return f"{length_s:g} s"


def format_time(time_s: float) -> str:
    """Return a Unix time as UTC date and time, without fractions of a second."""
    utc_time = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S UTC")


def format_burn_rate(value: float | None) -> str:
    """Return a burn rate as text, a dash for None (no requests)."""
    return "-" if value is None else f"{value:.2f}"


def format_share(value: float | None) -> str:
    """Return a share as a percentage, a dash for None (no requests)."""
    return "-" if value is None else f"{100 * value:.1f}%"


def align_columns(
    header: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[collections.abc.Sequence[str]],
) -> list[str]:
    """Return the lines of a table; its first two columns are left-aligned."""
    widths = [max(len(row[n]) for row in [header, *rows]) for n in range(len(header))]
    lines = []
    for row in [header, *rows]:
        cells = [
            cell.ljust(width) if n < 2 else cell.rjust(width)
            for n, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        lines.append("  ".join(cells).rstrip())
    return lines


def notes(report: burnrates.Report) -> list[str]:
    """Return notes on missing data, such as failed scrapes and restarts."""
    sentences = []
    for host, (problem, failed_rounds) in sorted(report.silent.items()):
        times = "once" if failed_rounds == 1 else f"{failed_rounds} times"
        sentences.append(f"{host} did not answer ({times}): {problem}")
    recent_s = min(report.windows_s)
    for host, newest_s in report.hosts.items():
        if newest_s and report.end_s - newest_s > recent_s:
            sentences.append(
                f"{host} has no sample in the last {window_name(recent_s)}; its "
                f"newest one is from {format_time(newest_s)}"
            )
    for host, count in sorted(report.restarts.items()):
        times = "once" if count == 1 else f"{count} times"
        sentences.append(
            f"{host} restarted {times}; requests between its last sample and the "
            "restart are missing"
        )
    if report.without_requests:
        sentences.append("No requests: " + ", ".join(report.without_requests))
    covered_s = report.end_s - report.first_s
    if covered_s < report.period_s:
        sentences.append(
            f"Samples cover {covered_s / HOUR_S:.1f} h of the budget period of "
            f"{window_name(report.period_s)}"
        )
    return sentences


def render_text(report: burnrates.Report) -> str:
    """Return the report as plain text with tables."""
    header = ["service", "class", "requests", "errors"]
    header += [window_name(length) for length in report.windows_s]
    header += ["budget left"]
    rows = [
        [
            line.service,
            line.work_class,
            f"{line.tally.total:.0f}",
            f"{line.tally.errors:.0f}",
            *(format_burn_rate(line.burns[length]) for length in report.windows_s),
            format_share(line.budget_left),
        ]
        for line in report.lines
    ]
    lines = [f"Burn of service-level objectives at {format_time(report.end_s)}", ""]
    lines += align_columns(header, rows)
    alerts = [
        f"ALERT {alert.name}: {line.service} ({line.work_class}) burns at "
        f"{alert.long_burn:.1f} and {alert.short_burn:.1f}, "
        f"threshold {alert.threshold:g}"
        for line in report.lines
        for alert in line.alerts
    ]
    lines += ["", *(alerts or ["No alerts."])]
    breakdown = [
        [line.service, line.work_class, f"{count:.0f}", outcome]
        for line in report.lines
        if line.work_class != burnrates.ALL_CLASSES
        for outcome, count in sorted(line.tally.bad.items(), key=lambda item: -item[1])
    ]
    if breakdown:
        lines += ["", "Errors by outcome and reason"]
        lines += align_columns(["service", "class", "errors", "outcome"], breakdown)
    note_lines = notes(report)
    if note_lines:
        lines += ["", *note_lines]
    return "\n".join(lines) + "\n"


def to_plain_data(report: burnrates.Report) -> dict[str, typing.Any]:
    """Return the report as values that JSON can represent; times are Unix times."""
    data = dataclasses.asdict(report)
    for line, line_data in zip(report.lines, data["lines"], strict=True):
        line_data["tally"] |= {"total": line.tally.total, "errors": line.tally.errors}
        line_data["objective"] = line.objective.model_dump()
        line_data["burns"] = {
            f"{length_s:g}": burn_rate for length_s, burn_rate in line.burns.items()
        }
    data["silent"] = {
        host: {"problem": problem, "rounds": failed_rounds}
        for host, (problem, failed_rounds) in report.silent.items()
    }
    return data


def render_json(report: burnrates.Report) -> str:
    """Return the report as JSON text."""
    return json.dumps(to_plain_data(report), indent=2) + "\n"
