"""Reading of metrics in the Prometheus text format."""

import collections.abc
import dataclasses
import math
import re

SAMPLE = re.compile(
    r"(?P<name>[A-Za-z_:][\w:]*)(?:\{(?P<labels>.*)\})?\s+(?P<value>\S+)(?:\s+-?\d+)?"
)
LABEL = re.compile(r'([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"(?:,|$)')
ESCAPES = {r"\\": "\\", r"\"": '"', r"\n": "\n"}


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One line of an exposition."""

    name: str
    labels: collections.abc.Mapping[str, str]
    value: float


def unescape(value: str) -> str:
    """Return a label value without escapes."""
    return re.sub(r"\\.", lambda m: ESCAPES.get(m.group(), m.group()), value)


def parse_labels(text: str) -> dict[str, str] | None:
    """Return the labels between the braces, None if they are malformed."""
    labels = {}
    position = 0
    while position < len(text):
        found = LABEL.match(text, position)
        if found is None:
            return None
        labels[found[1]] = unescape(found[2])
        position = found.end()
    return labels


def parse(text: str) -> list[Sample]:
    """Return the samples of an exposition; malformed and NaN lines are left out."""
    samples = []
    for line in text.splitlines():
        found = SAMPLE.fullmatch(line.strip())
        if found is None or line.startswith("#"):
            continue
        labels = parse_labels(found["labels"] or "")
        try:
            value = float(found["value"])
        except ValueError:
            continue
        if labels is not None and not math.isnan(value):
            samples.append(Sample(found["name"], labels, value))
    return samples
