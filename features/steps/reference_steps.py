"""Steps for the reference pages."""

import pathlib
import re
import typing

import behave
import pydantic

from basilgate import metrics, reasons, settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
UNITS = {"_s": "s", "_bytes": "bytes"}


def rows(page):
    """Return the cells of each table row, with the heading before the table."""
    heading = ""
    found = []
    for line in page.splitlines():
        if line.startswith("## "):
            heading = line.removeprefix("## ")
        elif line.startswith("|") and not re.match(
            r"\|(---|.*\| (meaning|effect))", line
        ):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            found.append((heading, cells))
    return found


@behave.when("the reference page {name} is read")
def read_page(context, name):
    """Read the tables of a page."""
    context.rows = rows((DOCS / name).read_text(encoding="utf-8"))


@behave.then("the reference lists every metric with type and meaning")
def check_metrics(context):
    """Compare the page with the registry."""
    described = [(c[0].strip("`"), c[1], c[3]) for _, c in context.rows]
    registered = [(m.name, m.kind.name, m.doc) for m in metrics.REGISTRY.get_all()]
    assert described == sorted(registered), set(described) ^ set(registered)


@behave.then("the reference lists every reason with code and kind")
def check_reasons(context):
    """Compare the page with the enumeration."""
    described = [(int(c[0]), c[1].strip("`"), c[2]) for _, c in context.rows]
    expected = [
        (
            int(reason),
            reasons.label(reason),
            "dropped" if reason < 40 else "not run" if reason < 80 else "unknown",
        )
        for reason in reasons.Reason
        if reason is not reasons.Reason.NONE
    ]
    assert described == expected, set(described) ^ set(expected)
    assert all(c[3] and c[4] for _, c in context.rows)


def section_model(annotation):
    """Return the model of a section, which may be optional."""
    for part in (annotation, *typing.get_args(annotation)):
        if isinstance(part, type) and issubclass(part, pydantic.BaseModel):
            return part
    raise AssertionError(annotation)


def default_of(field):
    """Return the default of a setting as the page shows it."""
    if field.is_required():
        return "required"
    return "none" if field.default in ((), None) else f"`{field.default}`"


@behave.then("the reference lists every setting with unit and default")
def check_settings(context):
    """Compare the page with the models."""
    described = {(heading, c[0]): (c[1], c[2]) for heading, c in context.rows}
    expected = {}
    for section, part in settings.Settings.model_fields.items():
        for key, field in section_model(part.annotation).model_fields.items():
            units = [unit for end, unit in UNITS.items() if key.endswith(end)]
            unit = "calls/s" if key == "call_budget" else "".join(units)
            expected[(f"[{section}]", f"`{key}`")] = (unit, default_of(field))
    assert described == expected, set(described.items()) ^ set(expected.items())
    assert all(c[3] for _, c in context.rows)
