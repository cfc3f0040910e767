"""Clocks of the process, in one place so that tests can replace them.

Leases and timeouts need a clock that is never set back or forward: programs with an
anyio event loop use `anyio.current_time`, the others `steady_s`.
"""

import datetime
import time


def unix_s() -> float:
    """Return the Unix time in seconds; the system may set it back or forward."""
    return time.time()


def steady_s() -> float:
    """Return the monotonic time in seconds, for programs without anyio.

    Its zero point is arbitrary, so only differences have a meaning.
    """
    return time.monotonic()


def unix_ms() -> int:
    """Return the Unix time in milliseconds, rounded down."""
    return int(unix_s() * 1000)


def utc() -> datetime.datetime:
    """Return the current date and time in UTC."""
    return datetime.datetime.fromtimestamp(unix_s(), datetime.UTC)
