"""Parser for the Prometheus text format (exposition format)."""

import collections.abc
import dataclasses
import math
import re

# Metric name, optional labels, value, and an optional time, which is ignored.
SAMPLE_PATTERN = re.compile(
    r"(?P<name>[A-Za-z_:][\w:]*)(?:\{(?P<labels>.*)\})?\s+(?P<value>\S+)(?:\s+-?\d+)?"
)
LABEL_PATTERN = re.compile(r'([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"(?:,|$)')
# Escape sequences in label values, and the characters that they stand for.
ESCAPE_SEQUENCES = {r"\\": "\\", r"\"": '"', r"\n": "\n"}


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Value of one metric for one set of labels."""

    name: str
    labels: collections.abc.Mapping[str, str]
    value: float


def unescape(value: str) -> str:
    """Replace the escape sequences in a label value; unknown ones stay."""
    return re.sub(
        r"\\.", lambda match: ESCAPE_SEQUENCES.get(match.group(), match.group()), value
    )


def parse_labels(text: str) -> dict[str, str] | None:
    """Return the labels in the text between the braces, or None if malformed."""
    labels = {}
    position = 0
    while position < len(text):
        match = LABEL_PATTERN.match(text, position)
        if match is None:
            return None
        labels[match[1]] = unescape(match[2])
        position = match.end()
    return labels


def parse(text: str) -> list[Sample]:
    """Return the samples in a metrics page.

    Comments, malformed lines, and samples whose value is NaN are skipped.
    """
    samples = []
    for line in text.splitlines():
        match = SAMPLE_PATTERN.fullmatch(line.strip())
        if match is None or line.startswith("#"):
            continue
        labels = parse_labels(match["labels"] or "")
        try:
            value = float(match["value"])
        except ValueError:
            continue
        if labels is not None and not math.isnan(value):
            samples.append(Sample(match["name"], labels, value))
    return samples
