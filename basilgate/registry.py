"""Registries of interchangeable behaviour, filled by decorators."""

import collections.abc
import typing

Implementation = typing.TypeVar(
    "Implementation", bound=collections.abc.Callable[..., typing.Any]
)


class Registry(typing.Generic[Implementation]):
    """Named implementations of one kind.

    Parameters
    ----------
    kind : str
        What the entries implement, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, Implementation] = {}

    def register(
        self, name: str
    ) -> collections.abc.Callable[[Implementation], Implementation]:
        """Return a decorator that adds an implementation under `name`."""

        def add(implementation: Implementation) -> Implementation:
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = implementation
            return implementation

        return add

    def get(self, name: str) -> Implementation:
        """Return an implementation.

        Raises
        ------
        KeyError
            If there is none of that name; the message lists the known ones.
        """
        if name not in self.entries:
            names = ", ".join(sorted(self.entries))
            raise KeyError(f"unknown {self.kind} {name!r}; known: {names}")
        return self.entries[name]

    def names(self) -> list[str]:
        """Return the registered names in order."""
        return sorted(self.entries)
