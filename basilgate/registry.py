"""Registries of named implementations, such as the policies in the settings."""

import collections.abc
import typing

Implementation = typing.TypeVar(
    "Implementation", bound=collections.abc.Callable[..., typing.Any]
)


class Registry(typing.Generic[Implementation]):
    """Maps names to interchangeable implementations, which decorators register.

    Parameters
    ----------
    kind : str
        What is registered, such as "queueing policy"; used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, Implementation] = {}

    def register(
        self, name: str
    ) -> collections.abc.Callable[[Implementation], Implementation]:
        """Return a decorator that registers a function or class under `name`.

        The decorator raises ValueError if the name is taken.
        """

        def add(implementation: Implementation) -> Implementation:
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = implementation
            return implementation

        return add

    def get(self, name: str) -> Implementation:
        """Return the implementation registered under `name`.

        Raises
        ------
        KeyError
            If there is none; the message lists the registered names.
        """
        if name not in self.entries:
            names = ", ".join(sorted(self.entries))
            raise KeyError(f"unknown {self.kind} {name!r}; known: {names}")
        return self.entries[name]

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self.entries)
