"""Cache of the store's undecoded documents, for this host and its downstreams."""

import collections.abc
import threading
import typing
import zlib

import msgspec

from basilgate import documentmerge, fleetmodel
from platformedge import documents, store

MAX_TOMBSTONES = 10_000  # Targets that are replaced within a day at a large site.
# Position of a kind of which nothing is cached, before that of any listing.
UNLISTED = fleetmodel.Position(store.UNCONFIRMED_ERA, 0)

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
    in an older state or not at all.
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
        self.era = 0  # Latest era of the store that any response or peer has shown.

    def position(self, kind: str) -> fleetmodel.Position:
        """Return the point up to which a kind is known, `UNLISTED` if it is not."""
        return self.kinds[kind].position

    def newest(self, kind: str) -> fleetmodel.Position:
        """Return the position of the latest change of a kind in its era."""
        cached = self.kinds[kind]
        return max(cached.newest, fleetmodel.Position(cached.position.era, 0))

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
            if position.era > cached.position.era:
                cached.kept = len(lost)
            cached.changes += 1
            changed = [
                document
                for document in incoming
                if self.merge_document(kind, document, until)
            ]
            if not complete and position.era > cached.position.era:
                self.confirm_all(cached, position)
            cached.unstored.update({document.name: None for document in lost})
            cached.position = until
            self.era = max(self.era, until.era)
            self.evict_tombstones(cached)
            cached.apply(
                [cached.documents[document.name] for document in changed], complete
            )
            self.changed.notify_all()
        return True

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
        if newer is incoming:
            cached.unstored.pop(name, None)
        else:
            if stored is None or incoming.position.era > stored.position.era:
                cached.kept += 1
            if newer is not stored and kind in documentmerge.OPERATOR_KINDS:
                after = max(incoming.position, stored.position) if stored else None
                cached.unstored[name] = after.revision if after else None
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
