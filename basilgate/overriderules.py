"""Effect of overrides on targets of sheets and on self-registered targets."""

import collections.abc
import typing


class OverrideLike(typing.Protocol):
    """Properties of an override that the rules use, whichever model holds it."""

    @property
    def kind(self) -> str:
        """One of ``pin``, ``pull``, ``weight``, and ``drain``."""

    @property
    def service(self) -> str:
        """Name of the target's service."""

    @property
    def target(self) -> str:
        """Name of the target."""

    @property
    def weight(self) -> int | None:
        """Weight that a ``weight`` override sets, None for other kinds."""


class ExpiringOverride(OverrideLike, typing.Protocol):
    """An override with an optional end, given as Unix time in seconds."""

    @property
    def expires_at_s(self) -> float | None:
        """Unix time in seconds at which the override ends, None for never."""


OverrideType = typing.TypeVar("OverrideType", bound=ExpiringOverride)


def is_draining(kind: str, leaving: bool) -> bool:
    """Return whether a target is drained under an override of `kind`.

    Parameters
    ----------
    kind : str
        Kind of the override.
    leaving : bool
        Whether the target is drained without the override.
    """
    return kind == "drain" or (leaving and kind != "pin")


def admits(kind: str, weight: float, leaving: bool) -> bool:
    """Return whether a target may get new flows under an override of `kind`.

    Parameters
    ----------
    kind : str
        Kind of the override.
    weight : float
        Weight of the target with the override applied.
    leaving : bool
        Whether the target is drained without the override.
    """
    if kind == "pin":
        return True
    return weight > 0 and not is_draining(kind, leaving) and kind != "pull"


def weight_of(override: OverrideLike | None, planned: int) -> int:
    """Return a target's weight with its override applied.

    A pinned target gets at least weight 1, so that it gets new flows.

    Parameters
    ----------
    override : OverrideLike or None
        The override in force, None without one.
    planned : int
        Weight of the target without the override.
    """
    if override is None:
        return planned
    if override.kind == "weight" and override.weight is not None:
        return override.weight
    return max(planned, 1) if override.kind == "pin" else planned


def newest_active(
    overrides: collections.abc.Iterable[OverrideType], now_s: float
) -> dict[tuple[str, str], OverrideType]:
    """Return the newest unexpired override of each target.

    Parameters
    ----------
    overrides : iterable of ExpiringOverride
        Overrides in the order in which the store accepted them.
    now_s : float
        Unix time in seconds with which the ends of the overrides are compared.

    Returns
    -------
    dict of (str, str) to ExpiringOverride
        Overrides by the names of service and target.
    """
    return {
        (override.service, override.target): override
        for override in overrides
        if override.expires_at_s is None or override.expires_at_s > now_s
    }
