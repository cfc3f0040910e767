"""Burn report as one self-contained HTML file."""

import html

from basilgate import burnplots, burnrates, burnsettings, burntext

# Share of the budget below which a service is marked.
LOW_BUDGET = 0.25

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


def cell(text: str, style: str = "") -> str:
    """Return a table cell."""
    attribute = f' class="{style}"' if style else ""
    return f"<td{attribute}>{html.escape(text)}</td>"


def summary(report: burnrates.Report) -> str:
    """Return the table of burn rates and budgets."""
    windows = [burntext.window_name(length) for length in report.windows_s]
    head = '<th class="name">service</th><th class="name">class</th>'
    titles = ["objective", "requests", "errors", *windows, "budget left"]
    head += "".join(f"<th>{html.escape(title)}</th>" for title in titles)
    rows = []
    for line in report.lines:
        total = line.work_class == burnrates.ALL_CLASSES
        objective = f"{100 * line.objective.availability:g}%"
        if line.work_class != "open":
            objective += f" in {line.objective.latency_ms:g} ms"
        cells = [
            cell(line.service if total else "", "name"),
            cell(line.work_class, "name"),
            cell(objective),
            cell(f"{line.tally.total:,.0f}"),
            cell(f"{line.tally.errors:,.0f}"),
        ]
        for length in report.windows_s:
            burn = line.burns[length]
            cells.append(cell(burntext.number(burn), "bad" if (burn or 0) > 1 else ""))
        left = line.budget_left
        low = left is not None and left < LOW_BUDGET
        cells.append(cell(burntext.percent(left), "bad" if low else ""))
        style = ' class="total"' if total else ""
        rows.append(f"<tr{style}>{''.join(cells)}</tr>")
    body = "\n".join(rows)
    return (
        f'<div class="scroll"><table><thead><tr>{head}</tr></thead>'
        f"<tbody>{body}</tbody></table></div>"
    )


def alerts(report: burnrates.Report) -> str:
    """Return the alerts that hold."""
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


def breakdown(report: burnrates.Report) -> str:
    """Return the table of errors by service, class, outcome, and reason."""
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
        for outcome, count in sorted(line.tally.bad.items(), key=lambda b: -b[1])
    ]
    if not rows:
        return "<p>No errors.</p>"
    names = ("service", "class", "outcome")
    head = "".join(f'<th class="name">{name}</th>' for name in names)
    return (
        f'<div class="scroll"><table><thead><tr>{head}<th>errors</th>'
        f"<th>share of requests</th></tr></thead><tbody>{''.join(rows)}</tbody>"
        "</table></div>"
    )


def render(report: burnrates.Report, config: burnsettings.BurnSettings) -> str:
    """Return the report as an HTML page that loads nothing else."""
    thresholds = {name: rule.burn for name, rule in config.alert.items()}
    told = "".join(f"<li>{html.escape(note)}</li>" for note in burntext.notes(report))
    shown = f"<h2>Notes</h2><ul>{told}</ul>" if told else ""
    when = burntext.moment(report.end_s)
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
<p class="when">{when}; {len(report.hosts)} balancers; budget period {period}.
A burn rate of 1 uses up the budget exactly by the end of the period.</p>
{alerts(report)}
<h2>Burn rate by window</h2>
{summary(report)}
<h2>Burn rate over time</h2>
{burnplots.plot_burn(report, thresholds)}
<h2>Error budget left</h2>
{burnplots.plot_budget(report)}
<h2>Errors by outcome and reason</h2>
{burnplots.plot_reasons(report)}
{breakdown(report)}
{shown}
</body>
</html>
"""
