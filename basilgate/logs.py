"""Structured logs: one line of key=value pairs for each event."""

import collections.abc
import datetime
import json
import re
import sys
import typing

import logbook

# Values that are written without quotes.
PLAIN_VALUE = re.compile(r"[\w.:/@+,\-\[\]]+")


def format_value(value: typing.Any) -> str:
    """Return a value for a log line, as a JSON string if it needs quotes.

    Floats are rounded to six significant digits.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_pairs(pairs: collections.abc.Mapping[str, typing.Any]) -> str:
    """Return the pairs as key=value, separated by spaces."""
    return " ".join(f"{key}={format_value(value)}" for key, value in pairs.items())


def event(
    write: collections.abc.Callable[..., None], name: str, **fields: typing.Any
) -> None:
    """Log one event.

    Parameters
    ----------
    write : callable
        Method of a logger that sets the level, such as ``LOGGER.info``.
    name : str
        Name of the event.
    **fields : Any
        Further pairs of the line.
    """
    write(format_pairs({"event": name, **fields}))


def format_record(record: logbook.LogRecord) -> str:
    """Return the line for a log record, with the present time in UTC."""
    now = datetime.datetime.now(datetime.UTC)
    prefix = {
        "time": now.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "module": record.channel,
    }
    line = f"{format_pairs(prefix)} {record.message}"
    if record.formatted_exception:
        line += " " + format_pairs({"exception": record.formatted_exception})
    return line


def start(level: str, **common: typing.Any) -> None:
    """Write log lines of `level` and above to standard error.

    Parameters
    ----------
    level : str
        Name of a logbook level, such as ``INFO``.
    **common : Any
        Pairs that end each line, such as the host's name.
    """
    suffix = format_pairs(common)

    def formatter(record: logbook.LogRecord, handler: logbook.Handler) -> str:
        del handler
        line = format_record(record)
        return f"{line} {suffix}" if suffix else line

    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = formatter
    handler.push_application()
