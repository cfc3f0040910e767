"""The daily sheet: parsing, checks, division into parts, and comparison."""

import collections.abc
import csv
import dataclasses
import datetime
import functools
import io
import re
import typing

import pydantic
import xxhash
from returns import result

from basilgate import storedobjects

# A change of one line makes every host read one part, so parts are kept small;
# the bound of one part is storedobjects.MAX_PART_BYTES.
PART_TARGET_BYTES = 24_000
MAX_PARTS = 1_024

HEADING = re.compile(r"^\[\s*(\S+)(?:\s+(\S+))?\s*\]$")
SERVICE_PREFIX = "service_"
DOMAIN_PREFIX = "failure_domain_"

Model = typing.TypeVar("Model", bound=storedobjects.Model)
Part = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Problem:
    """Something wrong in a sheet, with the line where it stands."""

    line: int
    message: str


@dataclasses.dataclass(slots=True)
class Section:
    """One section of a sheet: values by key, each with its line."""

    kind: str
    name: str
    line: int
    values: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What a sheet says."""

    domains: tuple[storedobjects.SheetDomain, ...] = ()
    services: tuple[storedobjects.SheetService, ...] = ()
    targets: tuple[storedobjects.SheetTarget, ...] = ()
    date: datetime.date | None = None
    planner: str = ""


class Heading(storedobjects.Model):
    """``[sheet]``: the day and the planner."""

    date: datetime.date
    planner: str = ""


# Reading.


def read_ini(text: str) -> tuple[list[Section], list[Problem]]:
    """Return the sections of an INI sheet, and what cannot be read."""
    rows: list[Section] = []
    problems: list[Problem] = []
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if not line or line[0] in "#;":
            continue
        heading = HEADING.match(line)
        if heading is not None:
            rows.append(Section(heading[1], heading[2] or "", number))
            continue
        key, separator, value = line.partition("=")
        if line.startswith("[") or not separator:
            problems.append(Problem(number, "neither [section] nor key = value"))
        elif not rows:
            problems.append(Problem(number, "value before the first section"))
        else:
            add_value(rows[-1], key.strip(), value.strip(), number, problems)
    return rows, problems


def add_value(
    row: Section, key: str, value: str, line: int, problems: list[Problem]
) -> None:
    """Set one value of a section; a second one that differs is a problem."""
    held = row.values.get(key)
    if held is None:
        row.values[key] = (value, line)
    elif held[0] != value:
        problems.append(
            Problem(line, f"{key} = {value!r} conflicts with line {held[1]}")
        )


def read_csv(text: str) -> tuple[list[Section], list[Problem]]:
    """Return the sections of a CSV sheet, and what cannot be read.

    Each row describes a target. The columns of its service (`service` and
    ``service_...``), of its failure domain (`failure_domain` and
    ``failure_domain_...``), `date`, and `planner` are repeated in each row.
    """
    reader = csv.reader(io.StringIO(text))
    rows: dict[tuple[str, str], Section] = {}
    problems: list[Problem] = []
    columns: list[str] = []
    try:
        for cells in reader:
            if not any(cell.strip() for cell in cells):
                continue
            if columns:
                read_cells(rows, columns, cells, reader.line_num, problems)
                continue
            columns = [cell.strip() for cell in cells]
            for name in sorted({c for c in columns if columns.count(c) > 1}):
                problems.append(Problem(reader.line_num, f"column {name} is repeated"))
    except csv.Error as error:
        problems.append(Problem(max(1, reader.line_num), f"not CSV: {error}"))
    return list(rows.values()), problems


def read_cells(
    rows: dict[tuple[str, str], Section],
    columns: list[str],
    cells: list[str],
    line: int,
    problems: list[Problem],
) -> None:
    """Take in one row of a CSV sheet; empty cells stand for defaults."""
    if len(cells) > len(columns):
        problems.append(Problem(line, "more cells than columns"))
    present = {
        column: cell.strip()
        for column, cell in zip(columns, cells, strict=False)
        if cell.strip()
    }
    add_csv_row(rows, present, line, problems)


def add_csv_row(
    rows: dict[tuple[str, str], Section],
    cells: dict[str, str],
    line: int,
    problems: list[Problem],
) -> None:
    """Distribute the cells of one row over the sections that they describe."""

    def section(kind: str, name: str) -> Section:
        return rows.setdefault((kind, name), Section(kind, name, line))

    service, domain = cells.get("service", ""), cells.get("failure_domain", "")
    name = cells.get("target", "")
    if not service:
        problems.append(Problem(line, "service is missing"))
        return
    section("service", service)
    if name and ("target", f"{service}/{name}") in rows:
        problems.append(Problem(line, f"target {name} is repeated"))
        return
    for column, value in cells.items():
        if column in ("date", "planner"):
            add_value(section("sheet", ""), column, value, line, problems)
        elif column == "target":
            continue
        elif column.startswith(SERVICE_PREFIX):
            key = column.removeprefix(SERVICE_PREFIX)
            add_value(section("service", service), key, value, line, problems)
        elif column.startswith(DOMAIN_PREFIX) and domain:
            key = column.removeprefix(DOMAIN_PREFIX)
            add_value(section("failure_domain", domain), key, value, line, problems)
        elif name:
            row = section("target", f"{service}/{name}")
            add_value(row, column, value, line, problems)
        elif column != "service":
            problems.append(Problem(line, f"{column} without a target"))


# Checks.


def build_model(
    row: Section,
    model: type[Model],
    named: bool,
    problems: list[Problem],
) -> Model | None:
    """Return the checked model of one section, None with what is wrong."""
    values: dict[str, typing.Any] = {k: v for k, (v, _) in row.values.items()}
    name = row.name.rpartition("/")[2]
    if named and "name" in values:
        message = f"[{row.kind} {name}] name is not a known key"
        problems.append(Problem(row.values["name"][1], message))
    if named:
        values["name"] = name
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        for found in error.errors():
            key = str(found["loc"][0]) if found["loc"] else ""
            line = row.values[key][1] if key in row.values else row.line
            problems.append(Problem(line, describe(row.kind, name, key, found)))
    return None


def describe(kind: str, name: str, key: str, found: typing.Any) -> str:
    """Return one line about a value that does not fit."""
    place = f"[{kind} {name}]" if name else f"[{kind}]"
    if found["type"] == "missing":
        return f"{place} {key} is missing"
    if found["type"] == "extra_forbidden":
        return f"{place} {key} is not a known key"
    return f"{place} {key} = {found['input']!r}: {found['msg']}"


def check_unique(
    rows: collections.abc.Iterable[Section],
    what: str,
    key: collections.abc.Callable[[Section], str],
    problems: list[Problem],
) -> None:
    """Report each value that occurs a second time."""
    seen: dict[str, Section] = {}
    for row in rows:
        value = key(row)
        if value in seen:
            message = f"[{row.kind} {row.name}] duplicate {what} {value}, "
            message += f"also in the section of line {seen[value].line}"
            line = row.values[what][1] if what in row.values else row.line
            problems.append(Problem(line, message))
        elif value:
            seen[value] = row


MODELS: dict[str, type[storedobjects.Model]] = {
    "sheet": Heading,
    "failure_domain": storedobjects.SheetDomain,
    "service": storedobjects.SheetService,
    "target": storedobjects.SheetTarget,
}


def parse(text: str) -> result.Result[Content, list[Problem]]:
    """Return what a sheet in INI or CSV says, or everything that is wrong with it.

    A text whose first line with content starts with ``[`` is INI.
    """
    lines = (line.strip() for line in text.splitlines())
    first = next((line for line in lines if line and line[0] not in "#;"), "")
    rows, problems = read_ini(text) if first.startswith("[") else read_csv(text)
    built: dict[str, list[typing.Any]] = {kind: [] for kind in MODELS}
    for row in rows:
        if row.kind not in MODELS:
            problems.append(Problem(row.line, f"unknown section [{row.kind}]"))
            continue
        model = build_model(row, MODELS[row.kind], row.kind != "sheet", problems)
        if model is not None:
            built[row.kind].append(model)
    check_references(rows, problems)
    if problems:
        return result.Failure(sorted(problems))
    heading = built["sheet"][0]
    return result.Success(
        Content(
            domains=tuple(built["failure_domain"]),
            services=tuple(built["service"]),
            targets=tuple(built["target"]),
            date=heading.date,
            planner=heading.planner,
        )
    )


def written_value(row: Section, key: str) -> str:
    """Return a value as it stands in the sheet, numbers without leading zeros."""
    value = row.values.get(key, ("", 0))[0]
    return value.lstrip("0") or "0" if value.isdecimal() else value


def qualified_name(row: Section) -> str:
    """Return the service and the name of a target."""
    return f"{written_value(row, 'service')}/{row.name.rpartition('/')[2]}"


def check_references(rows: list[Section], problems: list[Problem]) -> None:
    """Report what is doubled, and targets whose service or domain is unknown.

    The check uses the values as written, so that another fault in the same
    section hides nothing.
    """
    by_kind: dict[str, list[Section]] = {kind: [] for kind in MODELS}
    for row in rows:
        by_kind.setdefault(row.kind, []).append(row)
    if not by_kind["sheet"]:
        problems.append(Problem(1, "[sheet] with date is missing"))
    for row in by_kind["sheet"][1:]:
        problems.append(Problem(row.line, "[sheet] is repeated"))
    for kind, key in (
        ("service", "id"),
        ("target", "id"),
        ("failure_domain", "number"),
    ):
        check_unique(
            by_kind[kind], key, functools.partial(written_value, key=key), problems
        )
    for kind in ("service", "failure_domain"):
        check_unique(by_kind[kind], "name", lambda row: row.name, problems)
    check_unique(by_kind["target"], "name", qualified_name, problems)
    names = {(row.kind, row.name) for row in rows}
    for row in by_kind["target"]:
        for kind in ("service", "failure_domain"):
            value = written_value(row, kind)
            if value and (kind, value) not in names:
                message = f"[target {row.name}] unknown {kind} {value}"
                problems.append(Problem(row.values[kind][1], message))


# Parts.


def divide(content: Content) -> dict[str, Part]:
    """Return the sheet's parts by content address.

    Each service, target, and failure domain belongs to one bucket by the hash of
    its name, so a change of one line changes one part, and applying the same
    sheet again changes none.
    """
    items: list[tuple[str, str, Part]] = [
        (field, key, model.model_dump(mode="json", exclude_defaults=True))
        for field, key, model in named_items(content)
    ]
    size = sum(len(storedobjects.canonical_json(item)) + 1 for _, _, item in items)
    buckets = 1
    while size / buckets > PART_TARGET_BYTES and buckets < MAX_PARTS:
        buckets *= 2
    parts: dict[int, Part] = {}
    for field, key, item in sorted(items, key=lambda entry: entry[:2]):
        bucket = xxhash.xxh3_64_intdigest(f"{field}\0{key}".encode()) % buckets
        parts.setdefault(bucket, {}).setdefault(field, []).append(item)
    return {
        storedobjects.content_address(part): part
        for part in (parts[bucket] for bucket in sorted(parts))
    }


def named_items(
    content: Content,
) -> collections.abc.Iterator[tuple[str, str, storedobjects.Model]]:
    """Return everything in a sheet with its field and its unique name."""
    for domain in content.domains:
        yield "domains", domain.name, domain
    for service in content.services:
        yield "services", service.name, service
    for target in content.targets:
        yield "targets", f"{target.service}/{target.name}", target


def assemble(parts: collections.abc.Iterable[storedobjects.SheetPart]) -> Content:
    """Return the content of a sheet from its parts."""
    listed = list(parts)
    return Content(
        tuple(domain for part in listed for domain in part.domains),
        tuple(service for part in listed for service in part.services),
        tuple(target for part in listed for target in part.targets),
    )


# Comparison.


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two sheets."""

    action: str
    what: str
    details: str = ""

    def text(self) -> str:
        """Return the change as one line."""
        return " ".join(part for part in (self.action, self.what, self.details) if part)


def compare(held: Content, new: Content) -> list[Change]:
    """Return what a new sheet adds, removes, and changes."""
    before = {(field, key): model for field, key, model in named_items(held)}
    after = {(field, key): model for field, key, model in named_items(new)}
    changes = []
    for place in sorted(before.keys() | after.keys()):
        what = f"{place[0].removesuffix('s')} {place[1]}"
        old, model = before.get(place), after.get(place)
        if old is None:
            changes.append(Change("add", what))
        elif model is None:
            changes.append(Change("remove", what))
        elif old != model:
            changes.append(Change("change", what, differences(old, model)))
    return changes


def differences(old: storedobjects.Model, new: storedobjects.Model) -> str:
    """Return the fields in which two models differ."""
    return ", ".join(
        f"{name}: {getattr(old, name)} -> {getattr(new, name)}"
        for name in type(old).model_fields
        if getattr(old, name) != getattr(new, name)
    )


def override_conflict(
    override: storedobjects.Override, target: storedobjects.SheetTarget | None
) -> str | None:
    """Return how an override contradicts a sheet, None if it does not."""
    if target is None:
        return "the sheet has no such target; the override has no effect"
    gets_flows = target.weight > 0 and target.state == "active"
    planned = f"the sheet says {target.state} with weight {target.weight}"
    contradicts = {
        "pin": not gets_flows,
        "pull": gets_flows,
        "drain": target.state != "drain",
        "weight": override.weight != target.weight or target.state == "drain",
    }
    return f"{planned}; the override stays" if contradicts[override.kind] else None


def conflicts(
    content: Content, overrides: collections.abc.Iterable[storedobjects.Override]
) -> list[tuple[storedobjects.Override, str]]:
    """Return the overrides that contradict a sheet, each with the reason."""
    targets = {(t.service, t.name): t for t in content.targets}
    found = []
    for override in overrides:
        problem = override_conflict(
            override, targets.get((override.service, override.target))
        )
        if problem is not None:
            found.append((override, problem))
    return found
