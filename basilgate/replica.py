"""Copy of the platform's objects that never steps back."""

import collections.abc
import dataclasses
import json
import typing
import zlib

import logbook
import xxhash
from returns import result

from basilgate import logs, metrics, storedobjects

LOGGER = logbook.Logger("replica")

DIGEST_MASK = (1 << 63) - 1
# Tombstones beyond this number are dropped, oldest first, where the revision up
# to which the replica is complete makes them superfluous.
MAX_TOMBSTONES = 1_000

Callback = collections.abc.Callable[[storedobjects.StoredObject], None]
BatchCallback = collections.abc.Callable[[list[storedobjects.StoredObject]], None]


def fingerprint(name: str, version: int) -> int:
    """Return the 63-bit hash of one object's name and version."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{version}".encode()) >> 1


@dataclasses.dataclass(slots=True)
class Replica:
    """Newest known version of each object.

    Objects are ordered by the store's revision at which they were written. Removed
    objects stay as tombstones, so that a peer with an older version cannot bring
    them back. A sheet is in force once all its parts are here; until then the
    former sheet and its parts are kept.

    Attributes
    ----------
    revision : int
        Highest revision of the platform's store among the applied objects.
    complete_revision : int
        Revision up to which every change is known: an object that was written up
        to it and is not held has been removed since.
    digest : int
        Sum of the fingerprints of the objects in force, without sheet parts;
        equal on hosts that have the same configuration in force.
    sheet : storedobjects.Sheet or None
        Manifest of the sheet in force.
    sheet_version : int
        Version of the object that holds it.
    """

    stored: dict[str, storedobjects.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    parsed: dict[str, storedobjects.Written] = dataclasses.field(default_factory=dict)
    # Sheet parts as compressed JSON text. They are read when a sheet comes into
    # force and when a peer asks; decoded, they would fill a fifth of the 64 MB that
    # a host may use at the capacity goal.
    compressed_parts: dict[str, bytes] = dataclasses.field(default_factory=dict)
    # Newest version of each object that was refused as malformed.
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 0
    complete_revision: int = 0
    digest: int = 0
    sheet: storedobjects.Sheet | None = None
    sheet_version: int = 0
    tombstones: int = 0
    callbacks: list[Callback] = dataclasses.field(default_factory=list)
    batch_callbacks: list[BatchCallback] = dataclasses.field(default_factory=list)

    def subscribe(self, callback: Callback) -> None:
        """Call `callback` with each object that is applied."""
        self.callbacks.append(callback)

    def subscribe_batches(self, callback: BatchCallback) -> None:
        """Call `callback` once for all objects that are applied together."""
        self.batch_callbacks.append(callback)

    # Changes.

    def apply(self, stored: storedobjects.StoredObject) -> bool:
        """Take an object over if it is newer than the held one and valid."""
        return self.apply_all([stored]) > 0

    def apply_all(
        self, batch: collections.abc.Iterable[storedobjects.StoredObject]
    ) -> int:
        """Take over the objects that are newer and valid; return their number."""
        changed = [stored for stored in batch if self.accept(stored)]
        if not changed:
            return 0
        self.activate_sheet()
        self.discard_unreferenced_parts()
        metrics.CONFIG_REVISION.set({}, self.revision)
        for stored in changed:
            for callback in self.callbacks:
                callback(stored)
        for batch_callback in self.batch_callbacks:
            batch_callback(changed)
        return len(changed)

    def apply_listing(
        self,
        prefix: str,
        revision: int,
        listed: collections.abc.Iterable[storedobjects.StoredObject],
    ) -> int:
        """Take over everything under a prefix; what is not listed was removed.

        A held object that was written after the listing's revision stays: the
        listing came from a store that lags behind.
        """
        found = {stored.name: stored for stored in listed}
        gone = [
            storedobjects.StoredObject(name, 0, revision, None)
            for name, held in self.stored.items()
            if name.startswith(prefix)
            and held.value is not None
            and name not in found
            and held.revision < revision
        ]
        return self.apply_all([*found.values(), *gone])

    def mark_complete(self, revision: int) -> None:
        """Note that every change up to `revision` has been applied."""
        self.complete_revision = max(self.complete_revision, revision)

    def is_stale(self, stored: storedobjects.StoredObject) -> bool:
        """Tell whether an object is not newer than what is known; count reverts."""
        held = self.stored.get(stored.name)
        if held is None:
            stale = (
                stored.revision <= self.complete_revision
                and stored.name not in self.refused
            )
            reverting = stale and stored.value is not None
        else:
            stale = (stored.revision, stored.version) <= (held.revision, held.version)
            differs = stored.version != held.version
            reverting = stale and differs and bool(stored.value or held.value)
        if reverting:
            metrics.REVERTS_REFUSED.inc({})
        return stale

    def accept(self, stored: storedobjects.StoredObject) -> bool:
        """Store one object without telling anybody."""
        held = self.stored.get(stored.name)
        if storedobjects.is_part(stored.name):
            # A part never changes. The manifest decides how long it is kept.
            if stored.value is None or held is not None:
                return False
        elif self.is_stale(stored):
            return False
        if stored.value is not None:
            parsed = storedobjects.parse(stored.name, stored.value)
            if isinstance(parsed, result.Failure):
                self.refuse(stored, parsed.failure())
                return False
            if storedobjects.is_part(stored.name):
                text = json.dumps(stored.value).encode()
                self.compressed_parts[stored.name] = zlib.compress(text)
                stored = dataclasses.replace(stored, value={})
            else:
                self.parsed[stored.name] = parsed.unwrap()
        else:
            self.parsed.pop(stored.name, None)
        self.refused.pop(stored.name, None)
        self.update_totals(held, -1)
        self.update_totals(stored, 1)
        self.stored[stored.name] = stored
        if not storedobjects.is_part(stored.name):
            self.revision = max(self.revision, stored.revision)
        return True

    def update_totals(
        self, stored: storedobjects.StoredObject | None, sign: int
    ) -> None:
        """Add one object to the digest, or take it out."""
        if stored is None:
            return
        if stored.value is None:
            self.tombstones += sign
        elif stored.name != storedobjects.SHEET and not storedobjects.is_part(
            stored.name
        ):
            self.add_to_digest(sign * fingerprint(stored.name, stored.version))

    def add_to_digest(self, value: int) -> None:
        """Add a fingerprint to the digest."""
        self.digest = (self.digest + value) & DIGEST_MASK

    def refuse(self, stored: storedobjects.StoredObject, problem: str) -> None:
        """Log a malformed object once for each version."""
        if self.refused.get(stored.name, 0) >= stored.version:
            return
        self.refused[stored.name] = stored.version
        metrics.OBJECTS_REFUSED.inc({})
        logs.event(
            LOGGER.warning,
            "object_refused",
            object=stored.name,
            version=stored.version,
            problem=problem,
        )

    # The sheet.

    def missing_parts(self) -> list[str]:
        """Return the names of parts that the newest manifest needs."""
        newest = self.parsed.get(storedobjects.SHEET)
        if not isinstance(newest, storedobjects.Sheet):
            return []
        names = [storedobjects.SHEET_PART_PREFIX + part for part in newest.parts]
        return [name for name in names if name not in self.compressed_parts]

    def activate_sheet(self) -> None:
        """Bring the newest manifest into force if all its parts are here."""
        manifest = self.stored.get(storedobjects.SHEET)
        newest = self.parsed.get(storedobjects.SHEET)
        # No command removes the sheet; without a manifest the last one stays.
        if manifest is None or not isinstance(newest, storedobjects.Sheet):
            return
        if manifest.version == self.sheet_version or self.missing_parts():
            return
        if self.sheet_version:
            self.add_to_digest(-fingerprint(storedobjects.SHEET, self.sheet_version))
        self.add_to_digest(fingerprint(storedobjects.SHEET, manifest.version))
        self.sheet = newest
        self.sheet_version = manifest.version

    def sheet_parts(self) -> collections.abc.Iterator[storedobjects.SheetPart]:
        """Return the parts of the sheet in force, in the manifest's order."""
        for digest in self.sheet.parts if self.sheet is not None else ():
            name = storedobjects.SHEET_PART_PREFIX + digest
            yield storedobjects.SheetPart.model_validate(self.decompress_part(name))

    def decompress_part(self, name: str) -> dict[str, typing.Any]:
        """Return the value of a sheet part."""
        value: dict[str, typing.Any] = json.loads(
            zlib.decompress(self.compressed_parts[name])
        )
        return value

    def referenced_parts(self) -> set[str]:
        """Return the names of parts of the sheet in force and of the newest."""
        manifests = [self.sheet, self.parsed.get(storedobjects.SHEET)]
        return {
            storedobjects.SHEET_PART_PREFIX + part
            for manifest in manifests
            if isinstance(manifest, storedobjects.Sheet)
            for part in manifest.parts
        }

    def discard_unreferenced_parts(self) -> None:
        """Drop parts that no manifest names, and tombstones beyond the bound."""
        manifest = self.stored.get(storedobjects.SHEET)
        written = manifest.revision if manifest is not None else 0
        named = self.referenced_parts()
        unnamed = [
            name
            for name, stored in self.stored.items()
            if storedobjects.is_part(name)
            and name not in named
            and stored.revision < written
        ]
        for name in unnamed:
            # Parts written after the manifest may belong to the next one.
            del self.stored[name]
            del self.compressed_parts[name]
        if self.tombstones <= MAX_TOMBSTONES:
            return
        removed = sorted(
            (stored.revision, name)
            for name, stored in self.stored.items()
            if stored.value is None and stored.revision <= self.complete_revision
        )
        for _, name in removed[: self.tombstones - MAX_TOMBSTONES // 2]:
            self.update_totals(self.stored.pop(name), -1)

    # Exchange with peers.

    def revisions(self) -> dict[str, int]:
        """Return the revision of each object, tombstones included.

        Versions do not order tombstones: a host that missed the history does not
        know which version a removal had.
        """
        return {name: stored.revision for name, stored in self.stored.items()}

    def live_versions(self) -> dict[str, int]:
        """Return the version in force of each object, without sheet parts."""
        found = {
            name: stored.version
            for name, stored in self.stored.items()
            if stored.value is not None
            and name != storedobjects.SHEET
            and not storedobjects.is_part(name)
        }
        if self.sheet_version:
            found[storedobjects.SHEET] = self.sheet_version
        return found

    def newer_than(
        self, revisions: collections.abc.Mapping[str, int]
    ) -> list[storedobjects.StoredObject]:
        """Return what a replica with objects of these revisions lacks.

        Names that are not known here come back as removed at the revision up to
        which this replica is complete.
        """
        named = self.referenced_parts()
        newer = [
            dataclasses.replace(stored, value=self.decompress_part(name))
            if storedobjects.is_part(name)
            else stored
            for name, stored in self.stored.items()
            if (
                name in named and name not in revisions
                if storedobjects.is_part(name)
                else stored.revision > revisions.get(name, 0)
            )
        ]
        unknown = [
            storedobjects.StoredObject(name, 0, self.complete_revision, None)
            for name, revision in revisions.items()
            if name not in self.stored
            and name not in self.refused
            and not storedobjects.is_part(name)
            and revision < self.complete_revision
        ]
        return newer + unknown

    def under(self, prefix: str) -> dict[str, storedobjects.Written]:
        """Return the objects whose names start with `prefix`."""
        return {n: value for n, value in self.parsed.items() if n.startswith(prefix)}

    def accepted_order(self, prefix: str) -> list[storedobjects.Written]:
        """Return the objects under `prefix` in the order of their acceptance."""
        names = sorted(
            self.under(prefix), key=lambda name: (self.stored[name].revision, name)
        )
        return [self.parsed[name] for name in names]
