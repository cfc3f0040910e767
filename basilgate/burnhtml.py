"""Burn report as a self-contained HTML page."""

import html

from basilgate import burnplots, burnrates, burnsettings, burntext

# Share of the error budget; less than this is highlighted in the table.
LOW_BUDGET_SHARE = 0.25

STYLE = """
:root { color-scheme: light; }
body { font: 15px/1.45 system-ui, sans-serif; color: #1a1a1a; margin: 2rem auto;
  max-width: 62rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin: 0; }
h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; }
p.when { color: #555; margin: .2rem 0 1rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .3rem .6rem; text-align: right; border-bottom: 1px solid #e2e2e2; }
th { font-weight: 600; color: #444; border-bottom: 2px solid #bbb; }
th.name, td.name { text-align: left; }
tr.total td { font-weight: 600; background: #f6f6f6; }
td.bad { color: #a40000; font-weight: 600; }
ul.alerts { list-style: none; padding: 0; }
ul.alerts li { border-left: 4px solid #c00; background: #fdf0f0; margin: .3rem 0;
  padding: .4rem .8rem; }
p.quiet { border-left: 4px solid #2a7a2a; background: #f1f8f1; padding: .4rem .8rem; }
svg { max-width: 100%; height: auto; }
"""


def cell(text: str, css_class: str = "") -> str:
    """Return a table cell with escaped text and an optional CSS class."""
    attribute = f' class="{css_class}"' if css_class else ""
    return f"<td{attribute}>{html.escape(text)}</td>"


def burn_table(report: burnrates.Report) -> str:
    """Return the table of burn rates and budgets by service and work class."""
    windows = [burntext.window_name(length_s) for length_s in report.windows_s]
    header = '<th class="name">service</th><th class="name">class</th>'
    titles = ["objective", "requests", "errors", *windows, "budget left"]
    header += "".join(f"<th>{html.escape(title)}</th>" for title in titles)
    rows = []
    for line in report.lines:
        is_total = line.work_class == burnrates.ALL_CLASSES
        objective = f"{100 * line.objective.availability:g}%"
        if line.work_class != "open":
            objective += f" in {line.objective.latency_ms:g} ms"
        cells = [
            cell(line.service if is_total else "", "name"),
            cell(line.work_class, "name"),
            cell(objective),
            cell(f"{line.tally.total:,.0f}"),
            cell(f"{line.tally.errors:,.0f}"),
        ]
        for length_s in report.windows_s:
            burn_rate = line.burns[length_s]
            cells.append(
                cell(
                    burntext.format_burn_rate(burn_rate),
                    "bad" if (burn_rate or 0) > 1 else "",
                )
            )
        budget_left = line.budget_left
        is_low = budget_left is not None and budget_left < LOW_BUDGET_SHARE
        cells.append(cell(burntext.format_share(budget_left), "bad" if is_low else ""))
        row_class = ' class="total"' if is_total else ""
        rows.append(f"<tr{row_class}>{''.join(cells)}</tr>")
    body = "\n".join(rows)
    return (
        f'<div class="scroll"><table><thead><tr>{header}</tr></thead>'
        f"<tbody>{body}</tbody></table></div>"
    )


def alert_list(report: burnrates.Report) -> str:
    """Return the list of alerts, or a paragraph that there are none."""
    items = [
        f"<li><strong>{html.escape(alert.name)}</strong>: "
        f"{html.escape(line.service)} ({html.escape(line.work_class)}) burns its "
        f"budget at {alert.long_burn:.1f} over the long window and "
        f"{alert.short_burn:.1f} over the short one; threshold "
        f"{alert.threshold:g}</li>"
        for line in report.lines
        for alert in line.alerts
    ]
    if not items:
        return '<p class="quiet">No alerts.</p>'
    return f'<ul class="alerts">{"".join(items)}</ul>'


def error_table(report: burnrates.Report) -> str:
    """Return the table of errors by service, work class, outcome, and reason."""
    rows = [
        "<tr>"
        + cell(line.service, "name")
        + cell(line.work_class, "name")
        + cell(outcome, "name")
        + cell(f"{count:,.0f}")
        + cell(f"{100 * count / line.tally.total:.2g}%")
        + "</tr>"
        for line in report.lines
        if line.work_class != burnrates.ALL_CLASSES
        for outcome, count in sorted(line.tally.bad.items(), key=lambda item: -item[1])
    ]
    if not rows:
        return "<p>No errors.</p>"
    names = ("service", "class", "outcome")
    header = "".join(f'<th class="name">{name}</th>' for name in names)
    return (
        f'<div class="scroll"><table><thead><tr>{header}<th>errors</th>'
        f"<th>share of requests</th></tr></thead><tbody>{''.join(rows)}</tbody>"
        "</table></div>"
    )


def render(report: burnrates.Report, config: burnsettings.BurnSettings) -> str:
    """Return the report as an HTML page that loads no other files."""
    thresholds = {name: rule.burn for name, rule in config.alert.items()}
    note_items = "".join(
        f"<li>{html.escape(note)}</li>" for note in burntext.notes(report)
    )
    notes_section = f"<h2>Notes</h2><ul>{note_items}</ul>" if note_items else ""
    end_time = burntext.format_time(report.end_s)
    period = burntext.window_name(report.period_s)
    return f"""<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Burn of service-level objectives</title>
<style>{STYLE}</style>
</head>
<body>
<h1>Burn of service-level objectives</h1>
<p class="when">{end_time}; {len(report.hosts)} balancers; budget period {period}.
A burn rate of 1 uses up the budget exactly by the end of the period.</p>
{alert_list(report)}
<h2>Burn rate by window</h2>
{burn_table(report)}
<h2>Burn rate over time</h2>
{burnplots.plot_burn(report, thresholds)}
<h2>Error budget left</h2>
{burnplots.plot_budget(report)}
<h2>Errors by outcome and reason</h2>
{burnplots.plot_reasons(report)}
{error_table(report)}
{notes_section}
</body>
</html>
"""
