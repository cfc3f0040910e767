"""Parsing of options and printing of outcomes for all commands of `basilgate`."""

import datetime
import pathlib
import re
import sys

import fire.decorators

from basilgate import errors, outcomes

# The name under which fire stores its settings on functions. Help lists public
# attributes, so a private name hides it. Must be set before any command is defined.
fire.decorators.FIRE_METADATA = "_fire_metadata"

# A count and a unit, such as ``90m`` or ``+2h``.
DURATION = re.compile(r"^\+?(\d+)([smhd])$")
DURATION_UNITS_S = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}


class Shown:
    """Outcome of a command in the output format that the operator chose.

    fire prints it with ``str``. The attributes are private, as fire would offer
    public ones as further commands.
    """

    def __init__(self, outcome: outcomes.Outcome, output: str) -> None:
        self._outcome = outcome
        self._output = output

    def __str__(self) -> str:
        return self._outcome.render(self._output)


def number(text: str, name: str) -> float:
    """Return the number that an option's text stands for.

    Parameters
    ----------
    text : str
        Value of the option.
    name : str
        Name of the option, for the message.

    Raises
    ------
    errors.UsageError
        If the text is not a number of at least 0.
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not value >= 0:
        raise errors.UsageError(f"--{name} {text}: expected a number, at least 0")
    return value


def moment(text: str, now: datetime.datetime) -> datetime.datetime | None:
    """Return the time that the option ``--expires`` stands for, None if it is empty.

    Parameters
    ----------
    text : str
        ISO 8601 time, in UTC if it has no offset, or a duration from now such as
        ``90m``.
    now : datetime.datetime
        Start of a duration, and the time that the result must lie after.

    Raises
    ------
    errors.UsageError
        If the text is neither, or the time is not after `now`.
    """
    if not text:
        return None
    duration = DURATION.match(text)
    if duration is not None:
        try:
            seconds = int(duration[1]) * DURATION_UNITS_S[duration[2]]
            return now + datetime.timedelta(seconds=seconds)
        except (OverflowError, ValueError) as error:
            # ValueError: a number of thousands of digits.
            message = f"--expires {text}: the end is after the year 9999"
            raise errors.UsageError(message) from error
    try:
        end = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"--expires {text}: expected a time such as "
        message += "2026-12-04T18:00Z or a duration such as 90m"
        raise errors.UsageError(message) from error
    end = end if end.tzinfo is not None else end.replace(tzinfo=datetime.UTC)
    if end <= now:
        raise errors.UsageError(f"--expires {text}: the time has passed")
    return end


def check_output(output: str) -> None:
    """Raise `errors.UsageError` unless the output format is text or json."""
    if output not in ("text", "json"):
        raise errors.UsageError(f"--output {output}: expected text or json")


def read_text(file: str) -> str:
    """Return the text of a UTF-8 file, or of standard input if `file` is ``-``.

    Raises
    ------
    errors.UsageError
        If the file cannot be read or is not UTF-8.
    """
    try:
        if file == "-":
            return sys.stdin.read()
        return pathlib.Path(file).read_text(encoding="utf-8-sig")
    except (OSError, ValueError) as error:
        # ValueError: not UTF-8, or a path with a null character.
        raise errors.UsageError(f"{file}: {error}") from error
