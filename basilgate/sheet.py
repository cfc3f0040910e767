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

# Parts are kept below this size if possible: a change of one line makes every host read
# one part. The limit of one part is storedobjects.MAX_PART_BYTES.
PART_TARGET_BYTES = 24_000
MAX_PARTS = 1_024  # Parts grow beyond PART_TARGET_BYTES rather than exceed this.

# Heading of a section: ``[kind]`` or ``[kind name]``.
HEADING = re.compile(r"^\[\s*(\S+)(?:\s+(\S+))?\s*\]$")
# Prefixes of the CSV columns that describe the service and the failure domain of the
# target in the row.
SERVICE_PREFIX = "service_"
DOMAIN_PREFIX = "failure_domain_"

Model = typing.TypeVar("Model", bound=storedobjects.Model)
Part = dict[str, typing.Any]  # Content of a storedobjects.SheetPart as JSON.


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Problem:
    """A fault in a sheet.

    Attributes
    ----------
    line : int
        Line of the text, counted from 1.
    message : str
        What is wrong.
    """

    line: int
    message: str


@dataclasses.dataclass(slots=True)
class Section:
    """One section of a sheet, unchecked.

    Attributes
    ----------
    kind : str
        What the section describes: one of the keys of `MODELS`, or an unknown word.
    name : str
        Name of what it describes, ``service/name`` for a target in CSV. Empty for
        ``[sheet]``.
    line : int
        Line on which the section starts.
    values : dict of str to (str, int)
        Value and line of each key.
    """

    kind: str
    name: str
    line: int
    values: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """Checked content of a sheet.

    Attributes
    ----------
    date : datetime.date or None
        Day for which the sheet was planned, None if the content was read from
        parts.
    planner : str
        Author of the sheet.
    """

    domains: tuple[storedobjects.SheetDomain, ...] = ()
    services: tuple[storedobjects.SheetService, ...] = ()
    targets: tuple[storedobjects.SheetTarget, ...] = ()
    date: datetime.date | None = None
    planner: str = ""


class Heading(storedobjects.Model):
    """Section ``[sheet]``: the day of the sheet and its author."""

    date: datetime.date
    planner: str = ""


# Reading INI and CSV.


def read_ini(text: str) -> tuple[list[Section], list[Problem]]:
    """Return the sections of an INI sheet, and a problem for each unreadable line."""
    sections: list[Section] = []
    problems: list[Problem] = []
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if not line or line[0] in "#;":
            continue
        heading = HEADING.match(line)
        if heading is not None:
            sections.append(Section(heading[1], heading[2] or "", number))
            continue
        key, separator, value = line.partition("=")
        if line.startswith("[") or not separator:
            problems.append(Problem(number, "neither [section] nor key = value"))
        elif not sections:
            problems.append(Problem(number, "value before the first section"))
        else:
            add_value(sections[-1], key.strip(), value.strip(), number, problems)
    return sections, problems


def add_value(
    section: Section, key: str, value: str, line: int, problems: list[Problem]
) -> None:
    """Set a value of a section; add a problem if it has another value already."""
    previous = section.values.get(key)
    if previous is None:
        section.values[key] = (value, line)
    elif previous[0] != value:
        problems.append(
            Problem(line, f"{key} = {value!r} conflicts with line {previous[1]}")
        )


def read_csv(text: str) -> tuple[list[Section], list[Problem]]:
    """Return the sections that a CSV sheet describes, and its problems.

    Each row describes a target. The columns of its service (`service` and
    ``service_...``), of its failure domain (`failure_domain` and
    ``failure_domain_...``), `date`, and `planner` are repeated in each row.
    """
    reader = csv.reader(io.StringIO(text))
    sections: dict[tuple[str, str], Section] = {}
    problems: list[Problem] = []
    columns: list[str] = []
    try:
        for cells in reader:
            if not any(cell.strip() for cell in cells):
                continue
            if columns:
                read_cells(sections, columns, cells, reader.line_num, problems)
                continue
            columns = [cell.strip() for cell in cells]
            for name in sorted({c for c in columns if columns.count(c) > 1}):
                problems.append(Problem(reader.line_num, f"column {name} is repeated"))
    except csv.Error as error:
        problems.append(Problem(max(1, reader.line_num), f"not CSV: {error}"))
    return list(sections.values()), problems


def read_cells(
    sections: dict[tuple[str, str], Section],
    columns: list[str],
    cells: list[str],
    line: int,
    problems: list[Problem],
) -> None:
    """Add the content of one CSV row to the sections; empty cells mean defaults.

    Parameters
    ----------
    sections : dict of (str, str) to Section
        Sections by kind and name, to which the row is added.
    columns : list of str
        Names of the columns.
    cells : list of str
        The row.
    line : int
        Line of the row.
    problems : list of Problem
        List to which the faults of the row are added.
    """
    if len(cells) > len(columns):
        problems.append(Problem(line, "more cells than columns"))
    present = {
        column: cell.strip()
        for column, cell in zip(columns, cells, strict=False)
        if cell.strip()
    }
    add_csv_row(sections, present, line, problems)


def add_csv_row(
    sections: dict[tuple[str, str], Section],
    cells: dict[str, str],
    line: int,
    problems: list[Problem],
) -> None:
    """Distribute the cells of one CSV row over the sections that they describe.

    Parameters
    ----------
    sections : dict of (str, str) to Section
        Sections by kind and name, to which the row is added.
    cells : dict of str to str
        Cells that are not empty, by column.
    line : int
        Line of the row.
    problems : list of Problem
        List to which the faults of the row are added.
    """

    def section_of(kind: str, name: str) -> Section:
        return sections.setdefault((kind, name), Section(kind, name, line))

    service, domain = cells.get("service", ""), cells.get("failure_domain", "")
    name = cells.get("target", "")
    if not service:
        problems.append(Problem(line, "service is missing"))
        return
    section_of("service", service)
    if name and ("target", f"{service}/{name}") in sections:
        problems.append(Problem(line, f"target {name} is repeated"))
        return
    for column, value in cells.items():
        if column in ("date", "planner"):
            add_value(section_of("sheet", ""), column, value, line, problems)
        elif column == "target":
            continue
        elif column.startswith(SERVICE_PREFIX):
            key = column.removeprefix(SERVICE_PREFIX)
            add_value(section_of("service", service), key, value, line, problems)
        elif column.startswith(DOMAIN_PREFIX) and domain:
            key = column.removeprefix(DOMAIN_PREFIX)
            add_value(section_of("failure_domain", domain), key, value, line, problems)
        elif name:
            target_section = section_of("target", f"{service}/{name}")
            add_value(target_section, column, value, line, problems)
        elif column != "service":
            problems.append(Problem(line, f"{column} without a target"))


# Checks.


def build_model(
    section: Section,
    model: type[Model],
    named: bool,
    problems: list[Problem],
) -> Model | None:
    """Return the checked model of one section, or None after adding its problems.

    Parameters
    ----------
    section : Section
        The section.
    model : type
        Model with which the values are checked.
    named : bool
        Whether the name in the section's heading is a field of the model.
    problems : list of Problem
        List to which the faults of the section are added.
    """
    values: dict[str, typing.Any] = {k: v for k, (v, _) in section.values.items()}
    name = section.name.rpartition("/")[2]
    if named and "name" in values:
        message = f"[{section.kind} {name}] name is not a known key"
        problems.append(Problem(section.values["name"][1], message))
    if named:
        values["name"] = name
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        for fault in error.errors():
            key = str(fault["loc"][0]) if fault["loc"] else ""
            line = section.values[key][1] if key in section.values else section.line
            problems.append(Problem(line, describe(section.kind, name, key, fault)))
    return None


def describe(kind: str, name: str, key: str, fault: typing.Any) -> str:
    """Return one line about a value that the model refuses.

    Parameters
    ----------
    kind, name : str
        Kind and name of the section.
    key : str
        Key of the value.
    fault : dict
        Fault as pydantic reports it.
    """
    heading = f"[{kind} {name}]" if name else f"[{kind}]"
    if fault["type"] == "missing":
        return f"{heading} {key} is missing"
    if fault["type"] == "extra_forbidden":
        return f"{heading} {key} is not a known key"
    return f"{heading} {key} = {fault['input']!r}: {fault['msg']}"


def check_unique(
    sections: collections.abc.Iterable[Section],
    what: str,
    value_of: collections.abc.Callable[[Section], str],
    problems: list[Problem],
) -> None:
    """Add a problem for each value that occurs in an earlier section too.

    Parameters
    ----------
    sections : iterable of Section
        Sections of one kind.
    what : str
        Key of the value, for the message.
    value_of : callable
        Returns the value that has to be unique; empty values are skipped.
    problems : list of Problem
        List to which the faults are added.
    """
    first_sections: dict[str, Section] = {}
    for section in sections:
        value = value_of(section)
        if value in first_sections:
            message = f"[{section.kind} {section.name}] duplicate {what} {value}, "
            message += f"also in the section of line {first_sections[value].line}"
            line = section.values[what][1] if what in section.values else section.line
            problems.append(Problem(line, message))
        elif value:
            first_sections[value] = section


MODELS: dict[str, type[storedobjects.Model]] = {
    "sheet": Heading,
    "failure_domain": storedobjects.SheetDomain,
    "service": storedobjects.SheetService,
    "target": storedobjects.SheetTarget,
}


def parse(text: str) -> result.Result[Content, list[Problem]]:
    """Return the content of a sheet in INI or CSV, or all problems that were found.

    A text whose first line with content starts with ``[`` is INI.
    """
    stripped_lines = (line.strip() for line in text.splitlines())
    first_line = next(
        (line for line in stripped_lines if line and line[0] not in "#;"), ""
    )
    sections, problems = (
        read_ini(text) if first_line.startswith("[") else read_csv(text)
    )
    models: dict[str, list[typing.Any]] = {kind: [] for kind in MODELS}
    for section in sections:
        if section.kind not in MODELS:
            problems.append(Problem(section.line, f"unknown section [{section.kind}]"))
            continue
        model = build_model(
            section, MODELS[section.kind], section.kind != "sheet", problems
        )
        if model is not None:
            models[section.kind].append(model)
    check_references(sections, problems)
    if problems:
        return result.Failure(sorted(problems))
    heading = models["sheet"][0]
    return result.Success(
        Content(
            domains=tuple(models["failure_domain"]),
            services=tuple(models["service"]),
            targets=tuple(models["target"]),
            date=heading.date,
            planner=heading.planner,
        )
    )


def written_value(section: Section, key: str) -> str:
    """Return a value as written in the sheet, numbers without leading zeros."""
    value = section.values.get(key, ("", 0))[0]
    return value.lstrip("0") or "0" if value.isdecimal() else value


def qualified_name(section: Section) -> str:
    """Return the name of a target in the form ``service/name``."""
    return f"{written_value(section, 'service')}/{section.name.rpartition('/')[2]}"


def check_references(sections: list[Section], problems: list[Problem]) -> None:
    """Add problems for repeated names and ids, and for unknown services and domains.

    The check uses the values as written, so that another fault in a section does not
    hide these.
    """
    by_kind: dict[str, list[Section]] = {kind: [] for kind in MODELS}
    for section in sections:
        by_kind.setdefault(section.kind, []).append(section)
    if not by_kind["sheet"]:
        problems.append(Problem(1, "[sheet] with date is missing"))
    for section in by_kind["sheet"][1:]:
        problems.append(Problem(section.line, "[sheet] is repeated"))
    for kind, key in (
        ("service", "id"),
        ("target", "id"),
        ("failure_domain", "number"),
    ):
        check_unique(
            by_kind[kind], key, functools.partial(written_value, key=key), problems
        )
    for kind in ("service", "failure_domain"):
        check_unique(by_kind[kind], "name", lambda section: section.name, problems)
    check_unique(by_kind["target"], "name", qualified_name, problems)
    names = {(section.kind, section.name) for section in sections}
    for section in by_kind["target"]:
        for kind in ("service", "failure_domain"):
            value = written_value(section, kind)
            if value and (kind, value) not in names:
                message = f"[target {section.name}] unknown {kind} {value}"
                problems.append(Problem(section.values[kind][1], message))


# Division into parts.


def divide(content: Content) -> dict[str, Part]:
    """Return the sheet's parts by content address.

    Each service, target, and failure domain belongs to one bucket by the hash of its
    name, and each bucket becomes a part. A change of one line therefore changes one
    part, and applying the same sheet again changes none.
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
    for field, key, item in sorted(
        items, key=lambda field_key_item: field_key_item[:2]
    ):
        bucket = xxhash.xxh3_64_intdigest(f"{field}\0{key}".encode()) % buckets
        parts.setdefault(bucket, {}).setdefault(field, []).append(item)
    return {
        storedobjects.content_address(part): part
        for part in (parts[bucket] for bucket in sorted(parts))
    }


def named_items(
    content: Content,
) -> collections.abc.Iterator[tuple[str, str, storedobjects.Model]]:
    """Yield for each item its field in `SheetPart`, its unique name, and its model."""
    for domain in content.domains:
        yield "domains", domain.name, domain
    for service in content.services:
        yield "services", service.name, service
    for target in content.targets:
        yield "targets", f"{target.service}/{target.name}", target


def assemble(parts: collections.abc.Iterable[storedobjects.SheetPart]) -> Content:
    """Return the content of a sheet from its parts, without date and planner."""
    listed = list(parts)
    return Content(
        tuple(domain for part in listed for domain in part.domains),
        tuple(service for part in listed for service in part.services),
        tuple(target for part in listed for target in part.targets),
    )


# Comparison.


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two sheets.

    Attributes
    ----------
    action : str
        ``add``, ``remove``, or ``change``.
    what : str
        Kind and name of the item.
    details : str
        Fields that change, with both values.
    """

    action: str
    what: str
    details: str = ""

    def text(self) -> str:
        """Return the change as one line."""
        return " ".join(part for part in (self.action, self.what, self.details) if part)


def compare(current: Content, new: Content) -> list[Change]:
    """Return what a new sheet adds, removes, and changes.

    Parameters
    ----------
    current : Content
        Content of the sheet in the store.
    new : Content
        Content of the new sheet.
    """
    before = {(field, key): item for field, key, item in named_items(current)}
    after = {(field, key): item for field, key, item in named_items(new)}
    changes = []
    for field_and_name in sorted(before.keys() | after.keys()):
        what = f"{field_and_name[0].removesuffix('s')} {field_and_name[1]}"
        current_item, new_item = before.get(field_and_name), after.get(field_and_name)
        if current_item is None:
            changes.append(Change("add", what))
        elif new_item is None:
            changes.append(Change("remove", what))
        elif current_item != new_item:
            changes.append(Change("change", what, differences(current_item, new_item)))
    return changes


def differences(old: storedobjects.Model, new: storedobjects.Model) -> str:
    """Return the fields in which two models differ, with both values."""
    return ", ".join(
        f"{name}: {getattr(old, name)} -> {getattr(new, name)}"
        for name in type(old).model_fields
        if getattr(old, name) != getattr(new, name)
    )


def override_conflict(
    override: storedobjects.Override, target: storedobjects.SheetTarget | None
) -> str | None:
    """Return how an override contradicts the sheet, None if it does not."""
    if target is None:
        return "the sheet has no such target; the override has no effect"
    gets_flows = target.weight > 0 and target.state == "active"
    sheet_state = f"the sheet has state {target.state} and weight {target.weight}"
    contradicts = {
        "pin": not gets_flows,
        "pull": gets_flows,
        "drain": target.state != "drain",
        "weight": override.weight != target.weight or target.state == "drain",
    }
    return f"{sheet_state}; the override stays" if contradicts[override.kind] else None


def conflicts(
    content: Content, overrides: collections.abc.Iterable[storedobjects.Override]
) -> list[tuple[storedobjects.Override, str]]:
    """Return the overrides that contradict a sheet, each with an explanation."""
    targets = {(t.service, t.name): t for t in content.targets}
    contradictions = []
    for override in overrides:
        problem = override_conflict(
            override, targets.get((override.service, override.target))
        )
        if problem is not None:
            contradictions.append((override, problem))
    return contradictions
