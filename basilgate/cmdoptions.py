"""Options and output that all commands of the command line share."""

import datetime
import pathlib
import re
import sys

import fire.decorators

from basilgate import errors, outcomes

# Help lists public attributes, and fire's mark on functions would be among them. Set
# before any command is defined.
fire.decorators.FIRE_METADATA = "_fire_metadata"

DURATION = re.compile(r"^\+?(\d+)([smhd])$")
DURATION_UNITS_S = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}


class Shown:
    """What a call of the program prints, and its exit code."""

    def __init__(self, outcome: outcomes.Outcome, output: str) -> None:
        self._outcome = outcome
        self._output = output

    def __str__(self) -> str:
        return self._outcome.render(self._output)


def number(text: str, name: str) -> float:
    """Return a number that is not negative."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not value >= 0:
        raise errors.UsageError(f"--{name} {text}: expected a number, at least 0")
    return value


def moment(text: str, now: datetime.datetime) -> datetime.datetime | None:
    """Return the end that an ISO time or a duration such as ``90m`` stands for.

    A time without an offset is in UTC.
    """
    if not text:
        return None
    duration = DURATION.match(text)
    if duration is not None:
        seconds = int(duration[1]) * DURATION_UNITS_S[duration[2]]
        return now + datetime.timedelta(seconds=seconds)
    try:
        end = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"--expires {text}: expected a time such as "
        message += "2026-12-04T18:00Z or a duration such as 90m"
        raise errors.UsageError(message) from error
    end = end if end.tzinfo is not None else end.replace(tzinfo=datetime.UTC)
    if end <= now:
        raise errors.UsageError(f"--expires {text} has passed")
    return end


def check_output(output: str) -> None:
    """Refuse an unknown format."""
    if output not in ("text", "json"):
        raise errors.UsageError(f"--output {output}: expected text or json")


def read_text(file: str) -> str:
    """Return the content of a file, ``-`` for standard input."""
    try:
        if file == "-":
            return sys.stdin.read()
        return pathlib.Path(file).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(f"{file}: {error}") from error
