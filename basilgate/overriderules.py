"""Rules of overrides, for sheets and for targets that register themselves."""

import collections.abc
import typing


class OverrideLike(typing.Protocol):
    """What the rules need to know of an override."""

    @property
    def kind(self) -> str:
        """One of ``pin``, ``pull``, ``weight``, and ``drain``."""

    @property
    def service(self) -> str:
        """Service of the target."""

    @property
    def target(self) -> str:
        """Name of the target."""

    @property
    def weight(self) -> int | None:
        """Share of new flows of a ``weight`` override."""


class ExpiringOverride(OverrideLike, typing.Protocol):
    """An override whose end is Unix time in seconds."""

    @property
    def expires_at_s(self) -> float | None:
        """Unix time of its end, None without one."""


OverrideType = typing.TypeVar("OverrideType", bound=ExpiringOverride)


def is_draining(kind: str, leaving: bool) -> bool:
    """Tell whether a target is on its way out under an override of `kind`."""
    return kind == "drain" or (leaving and kind != "pin")


def admits(kind: str, weight: float, leaving: bool) -> bool:
    """Tell whether a target may get new flows under an override of `kind`."""
    if kind == "pin":
        return True
    return weight > 0 and not is_draining(kind, leaving) and kind != "pull"


def weight_of(override: OverrideLike | None, planned: int) -> int:
    """Return a target's weight with its override applied."""
    if override is None:
        return planned
    if override.kind == "weight" and override.weight is not None:
        return override.weight
    return max(planned, 1) if override.kind == "pin" else planned


def newest_active(
    overrides: collections.abc.Iterable[OverrideType], now_s: float
) -> dict[tuple[str, str], OverrideType]:
    """Return the newest override that has not expired, by service and target.

    The overrides come in the order of their acceptance.
    """
    return {
        (override.service, override.target): override
        for override in overrides
        if override.expires_at_s is None or override.expires_at_s > now_s
    }
