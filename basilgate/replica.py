"""Copy of the platform's objects that never steps back."""

import collections.abc
import dataclasses

import logbook
import xxhash
from returns import result

from basilgate import logs, metrics, objects

LOGGER = logbook.Logger("replica")

Callback = collections.abc.Callable[[objects.StoredObject], None]


def fingerprint(name: str, version: int) -> int:
    """Return the 63-bit hash of one object's name and version."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{version}".encode()) >> 1


@dataclasses.dataclass(slots=True)
class Replica:
    """Newest known version of each object.

    Removed objects stay as tombstones, so that a peer with an older version
    cannot bring them back.

    Attributes
    ----------
    revision : int
        Highest revision of the platform's store among the applied objects.
    digest : int
        Sum of the fingerprints of all objects, equal on equal replicas.
    """

    stored: dict[str, objects.StoredObject] = dataclasses.field(default_factory=dict)
    parsed: dict[str, objects.Written] = dataclasses.field(default_factory=dict)
    revision: int = 0
    digest: int = 0
    callbacks: list[Callback] = dataclasses.field(default_factory=list)

    def subscribe(self, callback: Callback) -> None:
        """Call `callback` with each object that is applied."""
        self.callbacks.append(callback)

    def apply(self, stored: objects.StoredObject) -> bool:
        """Take an object over if it is newer than the held one and valid."""
        held = self.stored.get(stored.name)
        held_version = held.version if held is not None else 0
        if stored.version <= held_version:
            if stored.version < held_version:
                metrics.REVERTS_REFUSED.inc({})
            return False
        if stored.value is None:
            self.parsed.pop(stored.name, None)
        else:
            parsed = objects.parse(stored.name, stored.value)
            if isinstance(parsed, result.Failure):
                logs.event(
                    LOGGER.warning,
                    "object_refused",
                    object=stored.name,
                    version=stored.version,
                    problem=parsed.failure(),
                )
                return False
            self.parsed[stored.name] = parsed.unwrap()
        if held is not None:
            self.digest -= fingerprint(stored.name, held_version)
        self.digest = (self.digest + fingerprint(stored.name, stored.version)) & (
            (1 << 63) - 1
        )
        self.stored[stored.name] = stored
        self.revision = max(self.revision, stored.revision)
        metrics.CONFIG_REVISION.set({}, self.revision)
        for callback in self.callbacks:
            callback(stored)
        return True

    def versions(self) -> dict[str, int]:
        """Return the version of each object, tombstones included."""
        return {name: stored.version for name, stored in self.stored.items()}

    def newer_than(
        self, versions: collections.abc.Mapping[str, int]
    ) -> list[objects.StoredObject]:
        """Return the objects that a replica with `versions` does not have."""
        return [
            stored
            for name, stored in self.stored.items()
            if stored.version > versions.get(name, 0)
        ]

    def under(self, prefix: str) -> dict[str, objects.Written]:
        """Return the objects whose names start with `prefix`."""
        return {n: value for n, value in self.parsed.items() if n.startswith(prefix)}
