"""Usage errors, and invariant checks whose failure stops the process."""

import typing

import logbook

from basilgate import invariants, logs, metrics

LOGGER = logbook.Logger("invariant")


class UsageError(Exception):
    """A command or settings file is invalid; the message names the faulty part."""


def invariant(name: str, holds: bool, **details: typing.Any) -> None:
    """Check an invariant; count and log a violation before raising.

    Parameters
    ----------
    name : str
        Name of the invariant in the log and in the metric's label.
    holds : bool
        Result of the check.
    **details : Any
        Values that are logged with a violation.

    Raises
    ------
    invariants.InvariantError
        If the invariant does not hold; it ends the process.
    """
    if holds:
        return
    metrics.INVARIANT_VIOLATIONS.inc({"invariant": name})
    logs.event(LOGGER.critical, "invariant_violated", invariant=name, **details)
    raise invariants.InvariantError(f"{name}: {details}")
