"""Cache of the store's undecoded documents, for this host and its downstreams."""

import collections.abc
import threading
import typing
import zlib

import msgspec

from basilgate import clock, documentmerge, fleetmodel
from platformedge import bounds, documents, store

MAX_TOMBSTONES = 10_000  # Targets that are replaced within a day at a large site.
# Changes within seconds at a large site; an older one counts as not received.
MAX_RECEIVED_CHANGES = 1_024
# Position of a kind of which nothing is cached, before that of any listing.
UNLISTED = fleetmodel.Position(store.UNCONFIRMED_ERA, 0)

# Documents that the store lost and that stay known for a time, by name: the remaining
# time in seconds, and the position up to which the store is known not to have them.
Holds = dict[bounds.Name, tuple[bounds.Seconds, fleetmodel.Position]]

ApplyChanges = collections.abc.Callable[[list[documents.StoredDocument], bool], None]


class KindCache(msgspec.Struct):
    """Cached documents of one kind, by name.

    A removed document stays as a tombstone, so that downstreams receive its removal.
    `apply` applies changed documents to the view. `position` is the point of the
    store's history up to which the kind is known; `newest` is the position of the
    latest change among the documents. `changes` counts the listings applied here, and
    `changed_at` holds that count, not a time, at the last change of each document.
    `digest` is the checksum at the change count `digest_changes`. `unstored` are the
    names of documents whose state the store lost when it came back from a copy, each
    with the revision of the store's own document, None if it has none. `kept` counts
    the documents that stayed as they were when the last listing of a later era had them
    in an older state or not at all. `held_until` is the time, in seconds of the steady
    clock, at which an unstored document counts as removed; a kind without a limit in
    `documentmerge.HOLD_S` has no such times.
    """

    documents: dict[str, documents.StoredDocument]
    apply: ApplyChanges
    position: fleetmodel.Position = UNLISTED
    newest: fleetmodel.Position = UNLISTED
    changes: int = 0
    changed_at: dict[str, int] = msgspec.field(default_factory=dict)
    digest: int = 0
    digest_changes: int = 0
    unstored: dict[str, int | None] = msgspec.field(default_factory=dict)
    kept: int = 0
    held_until: dict[str, float] = msgspec.field(default_factory=dict)


class DocumentCache:
    """Keeps the documents of each kind, and applies each change to the view.

    `changed` is a condition on the lock, notified at each change, which wakes the
    threads that relay documents. `update` takes the lock itself.

    Parameters
    ----------
    appliers : mapping
        Function that applies changed documents to the view, by kind. Its second
        argument is whether all documents of the kind are known with them.
    lock : threading.Lock
        Guards the cache and the view.
    """

    def __init__(
        self,
        appliers: collections.abc.Mapping[str, ApplyChanges],
        lock: threading.Lock,
    ) -> None:
        self.kinds = {kind: KindCache({}, apply) for kind, apply in appliers.items()}
        self.changed = threading.Condition(lock)
        # Positions of the latest changes received, of any kind, in the order received.
        self.received_changes: dict[fleetmodel.Position, None] = {}
        self.era = 0  # Latest era of the store that any response or peer has shown.

    def position(self, kind: str) -> fleetmodel.Position:
        """Return the point up to which a kind is known, `UNLISTED` if it is not."""
        return self.kinds[kind].position

    def newest(self, kind: str) -> fleetmodel.Position:
        """Return the position of the latest change of a kind in its era."""
        cached = self.kinds[kind]
        return max(cached.newest, fleetmodel.Position(cached.position.era, 0))

    def newest_reported(self, kind: str) -> fleetmodel.Position:
        """Return the position of the latest change of a kind as told to peers.

        Peers do not take over a listing that may be old, so none is claimed.
        """
        newest = self.newest(kind)
        return newest if newest.era >= 0 else fleetmodel.Position(0, 0)

    def lacks_change(self, kind: str, position: fleetmodel.Position) -> bool:
        """Return whether a change up to a position has come with no kind so far.

        It may be a change of `kind`, or of one that this host does not watch.
        """
        known = self.position(kind)
        if position.era != known.era:
            return position > known
        with self.changed:
            return any(
                fleetmodel.Position(known.era, revision) not in self.received_changes
                for revision in range(known.revision + 1, position.revision + 1)
            )

    def raise_era(self, era: int) -> bool:
        """Record an era of the store; return whether it is later than those known."""
        with self.changed:
            is_later = era > self.era
            self.era = max(self.era, era)
        return is_later

    def changes(self) -> dict[str, int]:
        """Return the number of listings applied here, by kind."""
        return {kind: cached.changes for kind, cached in self.kinds.items()}

    def digest(self, kind: str) -> int:
        """Return a checksum of a kind's names and contents, 0 before a listing.

        Revisions would not do: the store gives them out again after its return. The
        caller holds the lock.
        """
        cached = self.kinds[kind]
        if cached.digest_changes != cached.changes:
            listed = sorted(
                (document.name, zlib.crc32(document.content))
                for document in cached.documents.values()
                if not document.removed
            )
            cached.digest = zlib.crc32(repr(listed).encode()) or 1
            cached.digest_changes = cached.changes
        return cached.digest

    def update(self, kind: str, listing: store.Listing, complete: bool) -> bool:
        """Store and apply documents, except those cached in a newer state.

        Returns False if the listing was ignored.

        Parameters
        ----------
        kind : str
            Kind of the documents.
        listing : store.Listing
            Documents to store, and the position up to which they are known.
        complete : bool
            Whether documents that the listing lacks were removed. A complete listing
            older than the cache, of the same era, is ignored. Without `complete`, the
            sender of a listing of a later era had the cached documents before.
        """
        cached = self.kinds[kind]
        position = listing.position
        with self.changed:
            if (
                complete
                and position < cached.position
                and position.era == cached.position.era
            ):
                return False
            self.note_changes(listing)
            incoming = list(listing.documents)
            lost: list[documents.StoredDocument] = []
            if position.era < cached.position.era:
                # The sender has not heard of the store's return: what it lacks means
                # nothing, and of targets the store's listing has the last word.
                incoming = [
                    document
                    for document in incoming
                    if document.name in cached.documents
                    or kind in documentmerge.OPERATOR_KINDS
                ]
            elif complete:
                removed, lost = self.missing_documents(kind, listing)
                incoming += removed + lost
            until = max(position, cached.position)
            held_until: dict[str, float] = {}
            if position.era > cached.position.era:
                cached.kept = len(lost)
            else:
                # Another listing of the same era does not extend a hold.
                held_until.update(cached.held_until)
            cached.changes += 1
            changed = [
                document
                for document in incoming
                if self.merge_document(kind, document, until)
            ]
            if not complete and position.era > cached.position.era:
                self.confirm_all(cached, position)
            for document in lost:
                self.mark_unstored(
                    kind, document.name, None, held_until.get(document.name)
                )
            cached.position = until
            self.era = max(self.era, until.era)
            self.evict_tombstones(cached)
            cached.apply(
                [cached.documents[document.name] for document in changed], complete
            )
            self.changed.notify_all()
        return True

    def note_changes(self, listing: store.Listing) -> None:
        """Keep the positions of a listing's changes; the caller holds the lock."""
        for document in listing.documents:
            self.received_changes[document.position] = None
        while len(self.received_changes) > MAX_RECEIVED_CHANGES:
            del self.received_changes[next(iter(self.received_changes))]

    def describe_listing(
        self, kind: str, listing: store.Listing, previous: fleetmodel.Position
    ) -> dict[str, typing.Any]:
        """Return what the log tells of a listing; `previous` is the position before."""
        return {
            "kind": kind,
            "revision": listing.position,
            "previous_revision": previous,
            "documents": len(listing.documents),
            "kept": self.kinds[kind].kept,
        }

    def add_unstored(
        self, kind: str, unstored: collections.abc.Mapping[str, int | None]
    ) -> None:
        """Record documents of which another host knows that the store lost them."""
        cached = self.kinds[kind]
        with self.changed:
            for name, revision in unstored.items():
                if name in cached.documents:
                    cached.unstored.setdefault(name, revision)

    def forget_unstored(self, kind: str, name: str) -> None:
        """Record that the store's own document has changed since it lost this one."""
        with self.changed:
            self.kinds[kind].unstored.pop(name, None)

    def mark_unstored(
        self, kind: str, name: str, revision: int | None, until: float | None = None
    ) -> None:
        """Record that the store lost a document; the caller holds the lock.

        `until` is the time at which a hold ends that has begun before.
        """
        cached = self.kinds[kind]
        cached.unstored[name] = revision
        hold_s = documentmerge.HOLD_S.get(kind)
        if hold_s is not None:
            new_until = clock.steady_s() + hold_s
            cached.held_until[name] = until if until is not None else new_until

    def holds(self, kind: str) -> Holds:
        """Return the documents of a kind that are held; the caller holds the lock."""
        cached = self.kinds.get(kind)
        if cached is None or not cached.held_until:
            return {}
        now = clock.steady_s()
        return {
            name: (max(0.0, until - now), cached.position)
            for name, until in cached.held_until.items()
            if name in cached.unstored
        }

    def add_holds(self, kind: str, holds: Holds) -> None:
        """Record which documents another host holds, and for how long.

        A document of a later position than the one up to which the other host knows
        the kind was written again, so it is not held. New holds are passed on to
        downstreams.
        """
        cached = self.kinds[kind]
        with self.changed:
            now = clock.steady_s()
            for name, (remaining_s, position) in holds.items():
                document = cached.documents.get(name)
                if document is None or document.removed or document.position > position:
                    continue
                until = cached.held_until.get(name)
                if until is None:
                    cached.changes += 1
                    cached.changed_at[name] = cached.changes
                    self.changed.notify_all()
                    until = now + remaining_s
                cached.unstored.setdefault(name, None)
                cached.held_until[name] = min(until, now + remaining_s)

    def end_holds(self, kind: str, now: float) -> list[str]:
        """Remove the documents whose hold is over, and return their names.

        The removal is passed on to downstreams as those by operators are.
        """
        cached = self.kinds[kind]
        with self.changed:
            due = [
                name
                for name, until in cached.held_until.items()
                if now >= until and name in cached.unstored
            ]
            position = cached.position
        if due:
            removed = [documents.StoredDocument(n, position, b"", True) for n in due]
            self.update(kind, store.Listing(removed, position, []), False)
        return due

    def missing_documents(
        self, kind: str, listing: store.Listing
    ) -> tuple[list[documents.StoredDocument], list[documents.StoredDocument]]:
        """Return which cached documents a complete listing shows to be removed or lost.

        What operators wrote before the store's return stays in force if the copy lacks
        it. Both get the position of the listing.
        """
        cached = self.kinds[kind]
        position = listing.position
        listed_names = {document.name for document in listing.documents}
        removed, lost = [], []
        for name, stored in cached.documents.items():
            if name in listed_names or stored.removed or stored.position > position:
                continue
            is_from_before = stored.position.era < position.era
            if kind in documentmerge.OPERATOR_KINDS and (
                is_from_before or name in cached.unstored
            ):
                lost.append(msgspec.structs.replace(stored, position=position))
            else:
                removed.append(documents.StoredDocument(name, position, b"", True))
        return removed, lost

    def confirm_all(self, cached: KindCache, position: fleetmodel.Position) -> None:
        """Give documents of earlier eras the position at which they are confirmed."""
        for name, stored in cached.documents.items():
            if stored.position.era < position.era:
                cached.documents[name] = msgspec.structs.replace(
                    stored, position=position
                )

    def merge_document(
        self, kind: str, incoming: documents.StoredDocument, until: fleetmodel.Position
    ) -> bool:
        """Cache a document unless the cached one is newer; return whether it differs.

        `until` is the position up to which the cache and the sender know the kind.
        """
        cached = self.kinds[kind]
        name = incoming.name
        stored = cached.documents.get(name)
        newer = newer_document(kind, stored, incoming, until)
        was_unstored = name in cached.unstored
        # The same state once more, from another host that holds it, ends no hold.
        is_held = (
            name in cached.held_until
            and stored is not None
            and incoming.position == stored.position
            and not incoming.removed
        )
        if newer is incoming:
            if not is_held:
                cached.unstored.pop(name, None)
                cached.held_until.pop(name, None)
        else:
            if stored is None or incoming.position.era > stored.position.era:
                cached.kept += 1
            if newer is not stored and kind in documentmerge.OPERATOR_KINDS:
                after = max(incoming.position, stored.position) if stored else None
                self.mark_unstored(kind, name, after.revision if after else None)
        if newer.removed and not newer.content and stored is not None:
            newer = msgspec.structs.replace(newer, content=stored.content)
        differs = stored is None or (newer.content, newer.removed) != (
            stored.content,
            stored.removed,
        )
        cached.documents[name] = newer
        cached.newest = max(cached.newest, newer.position)
        if differs or was_unstored:
            # Downstreams also need to know that the store has the document again.
            cached.changed_at[name] = cached.changes
        return differs

    def evict_tombstones(self, cached: KindCache) -> None:
        """Drop the oldest tombstones beyond `MAX_TOMBSTONES`."""
        removed = [d for d in cached.documents.values() if d.removed]
        removed.sort(key=lambda document: document.position)
        for document in removed[: max(0, len(removed) - MAX_TOMBSTONES)]:
            del cached.documents[document.name]
            del cached.changed_at[document.name]

    def changes_after(
        self, kind: str, changes: int
    ) -> tuple[store.Listing, bool] | None:
        """Return the documents changed after a change count, None if there are none.

        The second value is whether all documents are returned, without tombstones, as
        is done for a count of 0. The caller holds the lock.
        """
        cached = self.kinds[kind]
        if changes >= cached.changes:
            return None
        complete = changes == 0
        changed_documents = [
            document
            for name, document in cached.documents.items()
            if (not document.removed if complete else cached.changed_at[name] > changes)
        ]
        return store.Listing(changed_documents, cached.position, []), complete


def newer_document(
    kind: str,
    stored: documents.StoredDocument | None,
    incoming: documents.StoredDocument,
    until: fleetmodel.Position,
) -> documents.StoredDocument:
    """Return the newer of two states of a document, or a copy at a later position.

    The copy is a state from before the store's return, which the store has lost.
    """
    if stored is None:
        if incoming.position.era < until.era:
            return msgspec.structs.replace(incoming, position=until)
        return incoming
    merge = documentmerge.MERGES.entries.get(kind)
    if merge is None:
        return documentmerge.later(stored, incoming)
    return merge(stored, incoming, until)
