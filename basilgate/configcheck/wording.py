"""Texts of messages: ASCII of limited length, whatever a file contains."""

import collections.abc
import json
import typing

MAX_SHOWN = 60  # Characters of a value.
MAX_NAMES = 5  # Names in a list; there may be thousands of targets.


def shown(value: typing.Any, limit: int = MAX_SHOWN) -> str:
    """Return a value as JSON in ASCII, cut after `limit` characters."""
    text = json.dumps(value)
    return text if len(text) <= limit else f"{text[:limit]}..."


def printable(text: str) -> str:
    """Return a text as it is if it is printable ASCII, else quoted and escaped."""
    return text if text.isascii() and text.isprintable() else ascii(text)


def listed(names: collections.abc.Iterable[str]) -> str:
    """Return names in order, quoted; the first `MAX_NAMES` of many."""
    found = sorted(names)
    text = ", ".join(f"{name!a}" for name in found[:MAX_NAMES])
    more = len(found) - MAX_NAMES
    return f"{text} and {more} more" if more > 0 else text
