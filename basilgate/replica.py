"""Copy of the platform's objects on one host, which never goes back to an older one."""

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

# Digests are sums modulo 2**63, to fit a signed 64-bit field.
DIGEST_MASK = (1 << 63) - 1
# Above this number the oldest tombstones are evicted down to half of it, but only those
# up to the revision at which the replica is complete: there, an absent object is known
# to have been removed.
MAX_TOMBSTONES = 1_000

Callback = collections.abc.Callable[[storedobjects.StoredObject], None]
BatchCallback = collections.abc.Callable[[list[storedobjects.StoredObject]], None]


def fingerprint(name: str, version: int) -> int:
    """Return the 63-bit hash of one object's name and version."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{version}".encode()) >> 1


@dataclasses.dataclass(slots=True)
class Replica:
    """Newest known version of each object of the platform's store.

    Objects are ordered by the store's revision at which they were written. An object is
    never replaced by an older one, whether it comes from the platform or a peer.
    Removed objects stay as tombstones, so that a peer with an older version cannot
    bring them back. A new sheet comes into force once all its parts are here; until
    then the previous sheet and its parts are kept.

    Attributes
    ----------
    stored : dict of str to storedobjects.StoredObject
        Newest version of each object by name, tombstones included. The values of
        sheet parts are in `compressed_parts` only.
    parsed : dict of str to storedobjects.Written
        Validated objects by name, without sheet parts and tombstones.
    revision : int
        Highest revision of the platform's store among the applied objects, without
        sheet parts.
    complete_revision : int
        Revision up to which every change is known: an object that was written up to
        it and is not stored here has been removed since.
    digest : int
        Sum of the fingerprints of the objects in force, without sheet parts. It is
        equal on hosts that have the same configuration in force.
    sheet : storedobjects.Sheet or None
        Manifest of the sheet in force.
    sheet_version : int
        Version of the object that holds this manifest, 0 without one.
    tombstones : int
        Number of tombstones in `stored`.
    callbacks : list of callable
        Called with each applied object.
    batch_callbacks : list of callable
        Called once with all objects that were applied together.
    """

    stored: dict[str, storedobjects.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    parsed: dict[str, storedobjects.Written] = dataclasses.field(default_factory=dict)
    # Sheet parts as compressed JSON text by object name. They are read when a sheet
    # comes into force and when a peer requests them; decoded, they would fill a fifth
    # of the 64 MB that a host may use at the capacity goal.
    compressed_parts: dict[str, bytes] = dataclasses.field(default_factory=dict)
    # Newest version of each object that was refused as malformed, by name.
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

    # Applying objects.

    def apply(self, stored: storedobjects.StoredObject) -> bool:
        """Store an object if it is valid and newer, and call the callbacks."""
        return self.apply_all([stored]) > 0

    def apply_all(
        self, batch: collections.abc.Iterable[storedobjects.StoredObject]
    ) -> int:
        """Store the objects that are valid and newer, and call the callbacks.

        Returns
        -------
        int
            Number of objects that were stored.
        """
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
        """Apply a listing of all objects under a prefix; unlisted ones were removed.

        An object that was written at or after the listing's revision stays, since the
        listing may come from a store that lags behind.

        Parameters
        ----------
        prefix : str
            Prefix of the names of the listed objects.
        revision : int
            Revision of the store that the listing reflects.
        listed : iterable of storedobjects.StoredObject
            The objects in the listing.

        Returns
        -------
        int
            Number of objects that were stored or removed.
        """
        by_name = {stored.name: stored for stored in listed}
        removed = [
            storedobjects.StoredObject(name, 0, revision, None)
            for name, current in self.stored.items()
            if name.startswith(prefix)
            and current.value is not None
            and name not in by_name
            and current.revision < revision
        ]
        return self.apply_all([*by_name.values(), *removed])

    def mark_complete(self, revision: int) -> None:
        """Record that every change up to `revision` has been applied."""
        self.complete_revision = max(self.complete_revision, revision)

    def is_stale(self, stored: storedobjects.StoredObject) -> bool:
        """Return whether an object is not newer than what this replica has.

        An object that would have replaced a newer version, or would have brought back a
        removed object, is counted as a refused revert.
        """
        current = self.stored.get(stored.name)
        if current is None:
            stale = (
                stored.revision <= self.complete_revision
                and stored.name not in self.refused
            )
            reverting = stale and stored.value is not None
        else:
            stale = (stored.revision, stored.version) <= (
                current.revision,
                current.version,
            )
            differs = stored.version != current.version
            reverting = stale and differs and bool(stored.value or current.value)
        if reverting:
            metrics.REVERTS_REFUSED.inc({})
        return stale

    def accept(self, stored: storedobjects.StoredObject) -> bool:
        """Store one object if it is valid and newer, without calling the callbacks.

        Returns
        -------
        bool
            Whether the object was stored.
        """
        current = self.stored.get(stored.name)
        if storedobjects.is_part(stored.name):
            # A part never changes, and only the manifests decide when it is discarded.
            if stored.value is None or current is not None:
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
        self.update_totals(current, -1)
        self.update_totals(stored, 1)
        self.stored[stored.name] = stored
        if not storedobjects.is_part(stored.name):
            self.revision = max(self.revision, stored.revision)
        return True

    def update_totals(
        self, stored: storedobjects.StoredObject | None, sign: int
    ) -> None:
        """Add one object to the digest or the number of tombstones, or subtract it.

        Parameters
        ----------
        stored : storedobjects.StoredObject or None
            The object; None changes nothing.
        sign : int
            1 to add the object, -1 to subtract it.
        """
        if stored is None:
            return
        if stored.value is None:
            self.tombstones += sign
        elif stored.name != storedobjects.SHEET and not storedobjects.is_part(
            stored.name
        ):
            self.add_to_digest(sign * fingerprint(stored.name, stored.version))

    def add_to_digest(self, change: int) -> None:
        """Add a fingerprint, or a negative one to subtract it, to the digest."""
        self.digest = (self.digest + change) & DIGEST_MASK

    def refuse(self, stored: storedobjects.StoredObject, problem: str) -> None:
        """Count and log a malformed object, once for each of its versions."""
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
        """Return the names of the newest manifest's parts that are not stored."""
        newest = self.parsed.get(storedobjects.SHEET)
        if not isinstance(newest, storedobjects.Sheet):
            return []
        names = [storedobjects.SHEET_PART_PREFIX + part for part in newest.parts]
        return [name for name in names if name not in self.compressed_parts]

    def activate_sheet(self) -> None:
        """Bring the newest manifest into force if all its parts are stored."""
        manifest = self.stored.get(storedobjects.SHEET)
        newest = self.parsed.get(storedobjects.SHEET)
        # No command removes the sheet. If the manifest is missing, the last sheet stays
        # in force.
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
        """Yield the parts of the sheet in force, in the manifest's order."""
        for digest in self.sheet.parts if self.sheet is not None else ():
            name = storedobjects.SHEET_PART_PREFIX + digest
            yield storedobjects.SheetPart.model_validate(self.decompress_part(name))

    def decompress_part(self, name: str) -> dict[str, typing.Any]:
        """Return the decoded value of the sheet part called `name`."""
        value: dict[str, typing.Any] = json.loads(
            zlib.decompress(self.compressed_parts[name])
        )
        return value

    def referenced_parts(self) -> set[str]:
        """Return the names of all parts of the sheet in force and of the newest one."""
        manifests = [self.sheet, self.parsed.get(storedobjects.SHEET)]
        return {
            storedobjects.SHEET_PART_PREFIX + part
            for manifest in manifests
            if isinstance(manifest, storedobjects.Sheet)
            for part in manifest.parts
        }

    def discard_unreferenced_parts(self) -> None:
        """Delete parts that no manifest names, and tombstones above the limit."""
        manifest = self.stored.get(storedobjects.SHEET)
        manifest_revision = manifest.revision if manifest is not None else 0
        referenced = self.referenced_parts()
        unreferenced = [
            name
            for name, stored in self.stored.items()
            if storedobjects.is_part(name)
            and name not in referenced
            and stored.revision < manifest_revision
        ]
        for name in unreferenced:
            # Parts that were written after the manifest stay, since they may belong to
            # the next one.
            del self.stored[name]
            del self.compressed_parts[name]
        if self.tombstones <= MAX_TOMBSTONES:
            return
        evictable = sorted(
            (stored.revision, name)
            for name, stored in self.stored.items()
            if stored.value is None and stored.revision <= self.complete_revision
        )
        for _, name in evictable[: self.tombstones - MAX_TOMBSTONES // 2]:
            self.update_totals(self.stored.pop(name), -1)

    # Sync with peers and queries.

    def revisions(self) -> dict[str, int]:
        """Return the revision of each object by name, tombstones included.

        Versions would not order tombstones: a host that missed an object's history does
        not know at which version it was removed.
        """
        return {name: stored.revision for name, stored in self.stored.items()}

    def live_versions(self) -> dict[str, int]:
        """Return the version in force of each object by name.

        Tombstones and sheet parts are left out.
        """
        versions = {
            name: stored.version
            for name, stored in self.stored.items()
            if stored.value is not None
            and name != storedobjects.SHEET
            and not storedobjects.is_part(name)
        }
        if self.sheet_version:
            versions[storedobjects.SHEET] = self.sheet_version
        return versions

    def newer_than(
        self, revisions: collections.abc.Mapping[str, int]
    ) -> list[storedobjects.StoredObject]:
        """Return the objects that a replica lacks, given the revisions of its objects.

        An object that the other replica has, and that this one does not know, is
        returned as removed at the revision up to which this replica is complete.

        Parameters
        ----------
        revisions : mapping of str to int
            Revisions of the other replica's objects by name.
        """
        referenced = self.referenced_parts()
        newer = [
            dataclasses.replace(stored, value=self.decompress_part(name))
            if storedobjects.is_part(name)
            else stored
            for name, stored in self.stored.items()
            if (
                name in referenced and name not in revisions
                if storedobjects.is_part(name)
                else stored.revision > revisions.get(name, 0)
            )
        ]
        removed = [
            storedobjects.StoredObject(name, 0, self.complete_revision, None)
            for name, revision in revisions.items()
            if name not in self.stored
            and name not in self.refused
            and not storedobjects.is_part(name)
            and revision < self.complete_revision
        ]
        return newer + removed

    def under(self, prefix: str) -> dict[str, storedobjects.Written]:
        """Return the validated objects whose names start with `prefix`, by name."""
        return {n: value for n, value in self.parsed.items() if n.startswith(prefix)}

    def accepted_order(self, prefix: str) -> list[storedobjects.Written]:
        """Return the validated objects under `prefix`, oldest write first.

        This is the order in which the platform accepted them.
        """
        names = sorted(
            self.under(prefix), key=lambda name: (self.stored[name].revision, name)
        )
        return [self.parsed[name] for name in names]
