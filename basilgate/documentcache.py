"""Documents of the store as this host holds them, undecoded, for itself and others."""

import collections.abc
import threading
import zlib

import msgspec

from platformedge import documents, store

MAX_TOMBSTONES = 10_000  # Names; targets that come and go on a day of a large site.

ApplyListing = collections.abc.Callable[[store.Listing, bool], None]


class KindCache(msgspec.Struct):
    """Documents of one kind.

    A removed document stays as one without content, so that others hear of it.
    `revision` is the store's revision up to which the kind is known, `newest` that
    of the latest change among the documents. `changes` counts changes here, and
    `changed_at` has that count for each document.
    """

    documents: dict[str, documents.StoredDocument]
    apply: ApplyListing
    revision: int = 0
    newest: int = 0
    changes: int = 0
    changed_at: dict[str, int] = msgspec.field(default_factory=dict)


class DocumentCache:
    """Documents by kind; each change is applied to the view and wakes lenders.

    Parameters
    ----------
    appliers : mapping
        Function that applies a listing to the view, by kind.
    lock : threading.Lock
        Held while the view changes.
    """

    def __init__(
        self, appliers: collections.abc.Mapping[str, ApplyListing], lock: threading.Lock
    ) -> None:
        self.kinds = {kind: KindCache({}, apply) for kind, apply in appliers.items()}
        self.changed = threading.Condition(lock)

    def revision(self, kind: str) -> int:
        """Return the store's revision up to which a kind is known, 0 for none."""
        return self.kinds[kind].revision

    def newest(self, kind: str) -> int:
        """Return the revision of the latest change of a kind."""
        return self.kinds[kind].newest

    def changes(self) -> dict[str, int]:
        """Return how often each kind has changed here."""
        return {kind: cached.changes for kind, cached in self.kinds.items()}

    def digest(self, kind: str) -> int:
        """Return a number for the names and revisions of a kind, 0 if unknown.

        The caller holds the lock.
        """
        cached = self.kinds[kind]
        if not cached.changes:
            return 0
        listed = sorted(
            (d.name, d.revision) for d in cached.documents.values() if d.content
        )
        return zlib.crc32(repr(listed).encode()) or 1

    def update(self, kind: str, listing: store.Listing, complete: bool) -> None:
        """Take over documents; those that are known at a later revision are ignored.

        Parameters
        ----------
        kind : str
            The kind.
        found : store.Listing
            The documents.
        complete : bool
            Whether documents that are not in the listing no longer exist.
        """
        cached = self.kinds[kind]
        with self.changed:
            if complete and listing.revision < cached.revision:
                return
            incoming = list(listing.documents)
            if complete:
                listed_names = {document.name for document in incoming}
                incoming += [
                    documents.StoredDocument(name, stored.revision, b"")
                    for name, stored in cached.documents.items()
                    if name not in listed_names and stored.content
                ]
            cached.changes += 1
            for document in incoming:
                stored = cached.documents.get(document.name)
                if stored is None or stored.revision <= document.revision:
                    cached.documents[document.name] = document
                    cached.changed_at[document.name] = cached.changes
                    cached.newest = max(cached.newest, document.revision)
            cached.revision = max(cached.revision, listing.revision)
            self.evict_tombstones(cached)
            cached.apply(listing, complete)
            self.changed.notify_all()

    def evict_tombstones(self, cached: KindCache) -> None:
        """Forget the oldest removed documents beyond a limit."""
        removed = [d for d in cached.documents.values() if not d.content]
        removed.sort(key=lambda document: document.revision)
        for document in removed[: max(0, len(removed) - MAX_TOMBSTONES)]:
            del cached.documents[document.name]
            del cached.changed_at[document.name]

    def changes_after(
        self, kind: str, changes: int
    ) -> tuple[store.Listing, bool] | None:
        """Return what has changed after a count of changes, and whether it is all.

        The caller holds the lock. None if nothing has changed.
        """
        cached = self.kinds[kind]
        if changes >= cached.changes:
            return None
        complete = changes == 0
        changed_documents = [
            document
            for name, document in cached.documents.items()
            if (document.content if complete else cached.changed_at[name] > changes)
        ]
        return store.Listing(changed_documents, cached.revision, []), complete
