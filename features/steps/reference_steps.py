"""Steps for the reference pages."""

import pathlib
import re
import struct
import typing

import behave
import pydantic

from basilgate import (
    client,
    counters,
    metrics,
    reasons,
    settings,
    slots,
    targetowner,
    tokens,
    wire,
)

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
    context.page = (DOCS / name).read_text(encoding="utf-8")
    context.rows = rows(context.page)


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


@behave.then("the reference has the fields, kinds, and limits of the code")
def check_frame(context):
    """Compare the tables with the header, and the numbers with the constants."""
    fields = [c for heading, c in context.rows if heading == "Frame" and len(c) == 4]
    header = [(int(c[0]), int(c[1])) for c in fields if c[1].isdigit()]
    offset = 0
    expected = []
    for code in re.findall(r"\d*[A-Za-z]", wire.HEADER_LAYOUT.format.lstrip("!")):
        size = struct.calcsize("!" + code)
        expected.append((offset, size))
        offset += size
    assert header == expected, header
    assert offset == wire.HEADER_BYTES == 72
    kinds = {c[1]: int(c[0]) for c in fields if not c[1].isdigit()}
    assert kinds == {kind.name: int(kind) for kind in wire.Kind}, kinds
    text = " ".join(context.page.split())
    default = settings.LimitsSection()
    for phrase in (
        f"body of 0 to {wire.MAX_BODY_BYTES:,} bytes",
        f"after {client.OPEN_RETRANSMIT_S} s, {2 * client.OPEN_RETRANSMIT_S} s, "
        f"and then every {client.MAX_BACKOFF_FACTOR * client.OPEN_RETRANSMIT_S} s",
        f"at most {default.max_deadline_s:.0f} s from now",
        f"after {client.REQUEST_RETRANSMIT_S} s, {2 * client.REQUEST_RETRANSMIT_S} s",
        f"wait at least {client.PENDING_RETRANSMIT_S:.0f} s between copies",
        f"first {targetowner.UNPROMPTED_PIECES} pieces on its own",
        f"arrived for {1000 * client.PULL_TIMEOUT_S:.0f} ms",
        f"at most {targetowner.MAX_PULLED_PIECES} pieces",
        f"the answer for at least {targetowner.ANSWER_RETENTION_S:.0f} s",
        f"silent for {default.flow_idle_s:.0f} s",
        f"KEEPALIVE every {client.KEEPALIVE_INTERVAL_S:.0f} s",
        f"within {slots.CANCEL_GRACE_S:.0f} s",
        f"in {wire.LENGTH_PREFIX.size} bytes",
        f"reason {int(reasons.Reason.START_BY_PASSED)} (`start_by_passed`)",
    ):
        assert phrase in text, phrase


@behave.then("each reference example has the bytes that the code makes of it")
def check_examples(context):
    """Encode the fields of each example, and decode its bytes."""
    examples = re.findall(r"```example\n(.*?)\n\n(.*?)\n```", context.page, re.S)
    assert len(examples) == context.page.count("```example") > 5
    ring = tokens.KeyRing()
    ring.add(1, bytes(range(32)))
    for fields, text in examples:
        values = dict(line.split(": ") for line in fields.splitlines())
        kind = wire.Kind[values.pop("kind")]
        raw = {
            n: bytes.fromhex(values.pop(n)) for n in ("token", "body") if n in values
        }
        frame = wire.Frame(kind, **raw, **{n: int(v) for n, v in values.items()})
        datagram = bytes.fromhex(text)
        assert wire.encode(frame) == datagram, fields
        assert wire.decode(datagram).unwrap() == frame, fields
        if "token" in raw:
            placed = tokens.verify(ring, frame.token, frame.flow, frame.service, 0)
            assert placed.unwrap().target == 42


@behave.then("the reference lists every metric of the packet program")
def check_fleet_metrics(context):
    """Compare the page with the documentation strings."""
    described = {c[0].strip("`"): c[3] for _, c in context.rows}
    expected = {f"basilgate_{n}": text for n, text in counters.DOCUMENTATION.items()}
    assert described == expected, set(described) ^ set(expected)


@behave.then("the reference lists every event that the code logs")
def check_events(context):
    """Compare the table of events with the calls that write them."""
    described = set()
    for heading, cells in context.rows:
        if heading == "Events":
            described |= set(re.findall(r"`(\w+)`", cells[0]))
    package = pathlib.Path(__file__).parents[2] / "basilgate"
    source = "".join(path.read_text() for path in sorted(package.rglob("*.py")))
    written = set(re.findall(r'\blog\.write\(\s*"(\w+)"', source))
    assert written <= described, written - described
    assert described <= written, described - written
