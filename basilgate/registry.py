"""Registries of interchangeable behaviour, filled by decorators."""

import collections.abc
import typing

Entry = typing.TypeVar("Entry", bound=collections.abc.Callable[..., typing.Any])


class Registry(typing.Generic[Entry]):
    """Named implementations of one policy.

    Parameters
    ----------
    policy : str
        What the entries implement, for error messages.
    """

    def __init__(self, policy: str) -> None:
        self.policy = policy
        self.entries: dict[str, Entry] = {}

    def register(self, name: str) -> collections.abc.Callable[[Entry], Entry]:
        """Return a decorator that adds an implementation under `name`."""

        def add(entry: Entry) -> Entry:
            if name in self.entries:
                raise ValueError(f"{self.policy} {name!r} is registered twice")
            self.entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> Entry:
        """Return an implementation.

        Raises
        ------
        KeyError
            If there is none of that name; the message lists the known ones.
        """
        if name not in self.entries:
            known = ", ".join(sorted(self.entries))
            raise KeyError(f"unknown {self.policy} {name!r}; known: {known}")
        return self.entries[name]

    def names(self) -> list[str]:
        """Return the registered names in order."""
        return sorted(self.entries)
