"""Findings of a configuration, and the registry of the checks that make them."""

import collections.abc
import dataclasses

from basilgate import registry
from basilgate.configcheck import model


@dataclasses.dataclass(slots=True)
class Finding:
    """Result of a check.

    Attributes
    ----------
    severity : model.Severity
        Effect of what was found.
    entry : str
        Position of the entry in the file, and its name if it has one.
    field : str
        Name of the field in the file; empty if the whole entry is meant.
    message : str
        What is wrong.
    name : str
        Name of the check, which `find` fills in.
    """

    severity: model.Severity
    entry: str
    field: str
    message: str
    name: str = ""

    def line(self) -> str:
        """Return the finding as one line of text."""
        field = f" {self.field}" if self.field else ""
        text = f"{self.severity.value}: {self.entry}{field}: {self.message}"
        return f"{text} [{self.name}]"

    def data(self) -> dict[str, str]:
        """Return the finding for JSON output."""
        return {
            "name": self.name,
            "severity": self.severity.value,
            "entry": self.entry,
            "field": self.field,
            "message": self.message,
        }


Check = collections.abc.Callable[[model.Situation], collections.abc.Iterable[Finding]]
CHECKS: registry.Registry[Check] = registry.Registry("check")


def error(entry: model.Entry, attribute: str, message: str) -> Finding:
    """Return an error in an attribute of an entry; empty for the whole entry."""
    return make(model.Severity.ERROR, entry, attribute, message)


def warning(entry: model.Entry, attribute: str, message: str) -> Finding:
    """Return a warning on an attribute of an entry; empty for the whole entry."""
    return make(model.Severity.WARNING, entry, attribute, message)


def make(
    severity: model.Severity, entry: model.Entry, attribute: str, message: str
) -> Finding:
    """Return a finding that names the attribute as the file does."""
    field = entry.field_names.get(attribute, attribute)
    return Finding(severity, entry.title, field, message)


def find(situation: model.Situation) -> list[Finding]:
    """Return the findings of all checks: errors first, then in the checks' order."""
    found = []
    for name, check in CHECKS.entries.items():
        found += [dataclasses.replace(made, name=name) for made in check(situation)]
    return sorted(found, key=lambda made: made.severity is not model.Severity.ERROR)
