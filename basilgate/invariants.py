"""Invariant checks of the forwarder; other programs use `basilgate.errors`."""

import typing

from basilgate import counters, eventlog


class InvariantError(Exception):
    """An invariant does not hold: a fault of the program, whose effect is prevented."""


class Invariants:
    """Checks invariants; counts and logs each violation before it is raised.

    Parameters
    ----------
    log : eventlog.EventLog
        Receives `invariant_violated` with the details of the check.
    counts : counters.Counters
        Counts violations by invariant.
    """

    def __init__(self, log: eventlog.EventLog, counts: counters.Counters) -> None:
        self.log = log
        self.counts = counts

    def check(self, name: str, holds: bool, **details: typing.Any) -> None:
        """Check one invariant.

        Parameters
        ----------
        name : str
            Name of the invariant in logs and metrics.
        holds : bool
            Result of the check.
        **details
            Values to log if the invariant does not hold.

        Raises
        ------
        InvariantError
            If the invariant does not hold.
        """
        if holds:
            return
        self.counts.add("invariant_violations_total", invariant=name)
        self.log.write("invariant_violated", invariant=name, **details)
        raise InvariantError(f"{name}: {details}")
