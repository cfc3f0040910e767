"""Event log of the forwarder: limited in rate, and never blocked by a slow reader.

The forwarder uses this instead of `basilgate.logs`, since importing logbook takes
0.11 s of processor time, which is half a second on the smallest entry host.
"""

import os
import re
import typing

import msgspec

from basilgate import clock

UNQUOTED_VALUE = re.compile(r"[\w.:/@+,\->\[\]]+")
# Keeps logging below 5% of the smallest entry host, which has 0.236 of a core: at 20 us
# a line, this rate takes 4 ms of processor time a second, which is 1.7% of that host.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 400.0  # Lines of two seconds at the highest rate.


def format_value(value: typing.Any) -> str:
    """Return a value as text for a log line.

    Floats have six significant digits. Texts with characters other than those of
    `UNQUOTED_VALUE` become JSON strings.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return (
        text if UNQUOTED_VALUE.fullmatch(text) else msgspec.json.encode(text).decode()
    )


class EventLog:
    """Writes one line of key=value pairs for each event.

    At most `MAX_LINES_PER_S` lines are written per second, after a burst of at most
    `MAX_BURST_LINES`. Lines above this rate, and lines that do not fit into a full
    pipe, are omitted; the next line written states their number as `omitted_lines`.
    Threads share an instance without a lock, so the limit and the counts of omitted
    lines are approximate.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; the constructor makes it non-blocking.
    host : str
        Name of this host, written in each line.
    """

    def __init__(self, descriptor: int, host: str) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.host = host
        # Lines that may be written now; refilled at `MAX_LINES_PER_S`.
        self.available_lines = MAX_BURST_LINES
        self.refilled_at = clock.steady_s()
        # Lines omitted since the last one that was written, and since the start.
        self.omitted_since_write = 0
        self.omitted_total = 0

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write one event with its fields, or count it as omitted."""
        now = clock.steady_s()
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.available_lines = min(MAX_BURST_LINES, self.available_lines + refill)
        self.refilled_at = now
        if self.available_lines < 1:
            self.count_omission()
            return
        self.available_lines -= 1
        prefix = f"time={clock.unix_s():.3f} event={event} host={self.host}"
        pairs = [f"{key}={format_value(value)}" for key, value in fields.items()]
        if self.omitted_since_write:
            pairs.append(f"omitted_lines={self.omitted_since_write}")
        line = " ".join([prefix, *pairs]) + "\n"
        try:
            os.write(self.descriptor, line.encode())
        except OSError:
            # The reader is gone or slow; forwarding must not wait for it.
            self.count_omission()
            return
        self.omitted_since_write = 0

    def count_omission(self) -> None:
        """Count a line that was not written."""
        self.omitted_since_write += 1
        self.omitted_total += 1
