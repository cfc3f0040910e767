"""Event loop whose clock jumps to the next timer, for tests that wait for long.

A test runs as fast as its events, with the same times in each run. It must use no
sockets: the loop does not wait for them.
"""

import asyncio
import collections.abc
import selectors
import typing
import unittest.mock

import anyio

from basilgate import clock

# 2026-01-01 00:00:00 UTC.
START_UNIX_S = 1_767_225_600.0

Value = typing.TypeVar("Value")


class JumpingSelector(selectors.DefaultSelector):
    """Selector that advances a virtual clock instead of waiting."""

    now_s = 1_000.0

    def select(self, timeout: float | None = None) -> typing.Any:
        """Advance the clock by `timeout` seconds and return what is ready."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of a `JumpingSelector`."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now_s


def run(main: collections.abc.Callable[[], collections.abc.Awaitable[Value]]) -> Value:
    """Run an asynchronous function on virtual time and return its result."""

    def unix_s() -> float:
        return START_UNIX_S + asyncio.get_running_loop().time()

    with unittest.mock.patch.object(clock, "unix_s", unix_s):
        return anyio.run(main, backend_options={"loop_factory": VirtualLoop})
