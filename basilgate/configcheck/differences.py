"""What differs between two configurations, field by field in the file's names."""

import collections.abc
import dataclasses
import typing

from basilgate.configcheck import model, wording

MAX_SHOWN = 200  # Characters of a value; a route without a split fits.


class Absent:
    """Stands for a value that is not stated; null is one that is."""


ABSENT: typing.Final = Absent()


@dataclasses.dataclass(slots=True)
class Difference:
    """One difference.

    Attributes
    ----------
    change : str
        ``added``, ``removed``, or ``changed``.
    entry : str
        Entry that differs, such as ``route 'r443'``.
    field : str
        Name of the field in the file; empty for an entry as a whole.
    before, after : Any
        JSON values; `ABSENT` where there is none.
    """

    change: str
    entry: str
    field: str = ""
    before: typing.Any = ABSENT
    after: typing.Any = ABSENT

    def line(self) -> str:
        """Return the difference as one line of text."""
        sign = {"added": "+", "removed": "-", "changed": "~"}[self.change]
        if not self.field:
            stated = self.before if self.after is ABSENT else self.after
            return f"{sign} {self.entry}: {wording.shown(stated, MAX_SHOWN)}"
        values = [
            "absent" if value is ABSENT else wording.shown(value, MAX_SHOWN)
            for value in (self.before, self.after)
        ]
        field = wording.printable(self.field)
        return f"{sign} {self.entry} {field}: {values[0]} -> {values[1]}"

    def data(self) -> dict[str, typing.Any]:
        """Return the difference for JSON output; absent values are left out."""
        values = {"before": self.before, "after": self.after}
        found = {"change": self.change, "entry": self.entry, "field": self.field}
        return found | {k: v for k, v in values.items() if v is not ABSENT}


def equal(before: typing.Any, after: typing.Any) -> bool:
    """Return whether two JSON values are equal; true is not 1, but 1.0 is."""
    if isinstance(before, dict) and isinstance(after, dict):
        return before.keys() == after.keys() and all(
            equal(value, after[name]) for name, value in before.items()
        )
    if isinstance(before, list) and isinstance(after, list):
        return len(before) == len(after) and all(map(equal, before, after))
    return isinstance(before, bool) == isinstance(after, bool) and bool(before == after)


def compare_fields(
    entry: str,
    before: collections.abc.Mapping[str, typing.Any],
    after: collections.abc.Mapping[str, typing.Any],
) -> list[Difference]:
    """Return the differing fields of an entry, in the order of the newer version."""
    return [
        Difference(
            "changed", entry, name, before.get(name, ABSENT), after.get(name, ABSENT)
        )
        for name in [*after, *(name for name in before if name not in after)]
        if name not in before
        or name not in after
        or not equal(before[name], after[name])
    ]


def by_name(
    entries: collections.abc.Iterable[model.Entry],
) -> dict[tuple[str, int], model.Entry]:
    """Return entries by name and number among those of the name.

    An entry without a readable name goes by its position.
    """
    found: dict[tuple[str, int], model.Entry] = {}
    counts: dict[str, int] = {}
    for entry in entries:
        name = entry.place if entry.name is None else repr(entry.name)
        counts[name] = counts.get(name, 0) + 1
        found[name, counts[name]] = entry
    return found


def compare_entries(
    label: str,
    before: collections.abc.Iterable[model.Entry],
    after: collections.abc.Iterable[model.Entry],
) -> list[Difference]:
    """Return the entries that only one version has, and the fields that differ."""
    old, new = by_name(before), by_name(after)
    found = []
    for key in [*new, *(key for key in old if key not in new)]:
        entry = new.get(key) or old[key]
        title = f"{label} {entry.place if entry.name is None else ascii(entry.name)}"
        if key[1] > 1:
            title += f" (number {key[1]} of this name)"
        if key not in old:
            found.append(Difference("added", title, after=entry.stated))
        elif key not in new:
            found.append(Difference("removed", title, before=entry.stated))
        else:
            found += compare_fields(title, old[key].stated, entry.stated)
    return found


def compare(before: model.Draft, after: model.Draft) -> list[Difference]:
    """Return what differs: version and other fields, limits, routes, then services."""
    return [
        *compare_fields("configuration", before.plain_fields(), after.plain_fields()),
        *compare_fields("limits", before.limits.stated, after.limits.stated),
        *compare_entries("route", before.routes, after.routes),
        *compare_entries("service", before.services, after.services),
    ]
