"""Runs the packet program with a time of day that jumps.

The file that the environment names holds seconds that are added to the time of day; it
is read again at each look at the clock.
"""

import os
import pathlib
import time

from basilgate import clock, forwarderstart

OFFSET_VARIABLE = "BASILGATE_CLOCK_OFFSET"


def main() -> None:
    """Run the packet program; the first argument is that of `forwarderstart`."""
    path = pathlib.Path(os.environ[OFFSET_VARIABLE])
    clock.unix_s = lambda: time.time() + float(path.read_text() or 0)
    forwarderstart.main()


if __name__ == "__main__":
    main()
