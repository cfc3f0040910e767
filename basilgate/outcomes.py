"""Outcomes of commands and queries, their output, and their exit codes."""

import collections.abc
import dataclasses
import datetime
import enum
import json
import typing

from basilgate import platformapi


class Exit(enum.IntEnum):
    """Exit codes of `basilgate`; docs/operators.md lists them."""

    OK = 0
    FAILED = 1  # Internal error, or findings of `fleet check`.
    USAGE = 2  # Wrong arguments; nothing was changed.
    CONFLICT = 3  # The object has changed since the operator read it.
    NOT_ACCEPTED = 4  # Nothing was changed.
    OUTCOME_UNKNOWN = 5  # A write may or may not have been carried out.
    INVALID_SHEET = 6
    NOT_IN_FORCE = 7  # Accepted, but not in force on all hosts within the wait.
    NO_ANSWER = 8  # A query got no answer from the platform or the hosts.
    NOT_FOUND = 9


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a command or query.

    `lines` are the text output, `data` the JSON output with the same content.
    """

    exit: Exit
    lines: list[str] = dataclasses.field(default_factory=list)
    data: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    def render(self, output: str) -> str:
        """Return the result as text, or as JSON if `output` is ``json``."""
        if output == "json":
            body = {"outcome": self.exit.name.lower(), **self.data}
            return json.dumps(body, indent=2, default=str)
        return "\n".join(self.lines)


# Exit codes by the problem of a write; `NOT_ACCEPTED` for all others.
WRITE_EXITS = {
    platformapi.ProblemKind.CONFLICT: Exit.CONFLICT,
    platformapi.ProblemKind.NOT_FOUND: Exit.NOT_FOUND,
    platformapi.ProblemKind.OUTCOME_UNKNOWN: Exit.OUTCOME_UNKNOWN,
    platformapi.ProblemKind.INVALID: Exit.OUTCOME_UNKNOWN,
}


def write_failed(problem: platformapi.Problem, what: str) -> Outcome:
    """Return the outcome of a write that the platform did not confirm.

    Parameters
    ----------
    problem : platformapi.Problem
        Problem that the write ended with.
    what : str
        Object of the write, for the message.
    """
    code = WRITE_EXITS.get(problem.kind, Exit.NOT_ACCEPTED)
    lines = {
        Exit.CONFLICT: f"conflict: {what} has version {problem.version} by now; "
        "nothing was changed, read it again",
        Exit.NOT_FOUND: f"not found: {what}",
        Exit.OUTCOME_UNKNOWN: f"unknown whether accepted: {what}; "
        "look at it before you repeat the command",
        Exit.NOT_ACCEPTED: f"not accepted: {what} ({problem.kind.value}); "
        "nothing was changed",
    }
    data = {"problem": problem.kind.value, "version": problem.version}
    return Outcome(code, [lines[code]], data)


def read_failed(problem: platformapi.Problem, what: str) -> Outcome:
    """Return the outcome of a command that ended before it changed anything.

    Parameters
    ----------
    problem : platformapi.Problem
        Problem that the last call to the platform ended with.
    what : str
        What could not be read, for the message.
    """
    line = f"not accepted: cannot read {what} ({problem.kind.value}); "
    line += "nothing was changed"
    return Outcome(Exit.NOT_ACCEPTED, [line], {"problem": problem.kind.value})


def format_utc(time: datetime.datetime | None) -> str:
    """Return a time as ISO 8601 text in UTC, ``-`` for None.

    A time without an offset is taken as UTC.
    """
    if time is None:
        return "-"
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.astimezone(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def table(rows: collections.abc.Sequence[collections.abc.Sequence[str]]) -> list[str]:
    """Return one line for each row, with columns padded to the same width.

    The rows must have the same number of cells, and there must be at least one.
    """
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
