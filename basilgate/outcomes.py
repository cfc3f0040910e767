"""Results of commands and queries, and their exit codes."""

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
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_ACCEPTED = 4
    OUTCOME_UNKNOWN = 5
    INVALID_SHEET = 6
    NOT_IN_FORCE = 7
    NO_ANSWER = 8
    NOT_FOUND = 9


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a command or query came to.

    `data` is the result for programs, `lines` the same for people.
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


WRITE_EXITS = {
    platformapi.ProblemKind.CONFLICT: Exit.CONFLICT,
    platformapi.ProblemKind.NOT_FOUND: Exit.NOT_FOUND,
    platformapi.ProblemKind.OUTCOME_UNKNOWN: Exit.OUTCOME_UNKNOWN,
    platformapi.ProblemKind.INVALID: Exit.OUTCOME_UNKNOWN,
}


def write_failed(problem: platformapi.Problem, what: str) -> Outcome:
    """Return the outcome of a write that the platform did not confirm."""
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
    """Return the outcome of a command that ended before it wrote anything."""
    line = f"not accepted: cannot read {what} ({problem.kind.value}); "
    line += "nothing was changed"
    return Outcome(Exit.NOT_ACCEPTED, [line], {"problem": problem.kind.value})


def format_utc(time: datetime.datetime | None) -> str:
    """Return a time in UTC as text, ``-`` for none."""
    if time is None:
        return "-"
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.astimezone(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def table(rows: collections.abc.Sequence[collections.abc.Sequence[str]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
