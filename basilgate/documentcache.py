"""Cache of the store's undecoded documents, for this host and its downstreams."""

import collections.abc
import threading
import zlib

import msgspec

from platformedge import documents, store

MAX_TOMBSTONES = 10_000  # Targets that are replaced within a day at a large site.

ApplyListing = collections.abc.Callable[[store.Listing, bool], None]


class KindCache(msgspec.Struct):
    """Cached documents of one kind, by name.

    A removed document stays as a tombstone, a document without content, so that
    downstreams receive its removal. `apply` applies a listing to the view. `revision`
    is the store's revision up to which the kind is known, 0 before the first listing;
    `newest` is the revision of the latest change among the documents. `changes` counts
    the listings applied here, and `changed_at` holds that count, not a time, at the
    last change of each document. `digest` is the checksum at the change count
    `digest_changes`.
    """

    documents: dict[str, documents.StoredDocument]
    apply: ApplyListing
    revision: int = 0
    newest: int = 0
    changes: int = 0
    changed_at: dict[str, int] = msgspec.field(default_factory=dict)
    digest: int = 0
    digest_changes: int = 0


class DocumentCache:
    """Keeps the documents of each kind, and applies each change to the view.

    `changed` is a condition on the lock, notified at each change, which wakes the
    threads that relay documents. `update` takes the lock itself.

    Parameters
    ----------
    appliers : mapping
        Function that applies a listing to the view, by kind. Its second argument is
        whether the listing is complete.
    lock : threading.Lock
        Guards the cache and the view.
    """

    def __init__(
        self, appliers: collections.abc.Mapping[str, ApplyListing], lock: threading.Lock
    ) -> None:
        self.kinds = {kind: KindCache({}, apply) for kind, apply in appliers.items()}
        self.changed = threading.Condition(lock)

    def revision(self, kind: str) -> int:
        """Return the store's revision up to which a kind is known, 0 if unlisted."""
        return self.kinds[kind].revision

    def newest(self, kind: str) -> int:
        """Return the revision of the latest change of a kind."""
        return self.kinds[kind].newest

    def changes(self) -> dict[str, int]:
        """Return the number of listings applied here, by kind."""
        return {kind: cached.changes for kind, cached in self.kinds.items()}

    def digest(self, kind: str) -> int:
        """Return a checksum of a kind's names and revisions, 0 before a listing.

        The caller holds the lock.
        """
        cached = self.kinds[kind]
        if cached.digest_changes != cached.changes:
            listed = sorted(
                (d.name, d.revision) for d in cached.documents.values() if d.content
            )
            cached.digest = zlib.crc32(repr(listed).encode()) or 1
            cached.digest_changes = cached.changes
        return cached.digest

    def update(self, kind: str, listing: store.Listing, complete: bool) -> bool:
        """Store and apply documents, except those cached at a later revision.

        Returns False if the listing was ignored.

        Parameters
        ----------
        kind : str
            Kind of the documents.
        listing : store.Listing
            Documents to store, and the revision up to which they are known.
        complete : bool
            Whether documents that the listing lacks were removed. A complete listing
            older than the cache is ignored.
        """
        cached = self.kinds[kind]
        with self.changed:
            if complete and listing.revision < cached.revision:
                return False
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
        return True

    def evict_tombstones(self, cached: KindCache) -> None:
        """Drop the oldest tombstones beyond `MAX_TOMBSTONES`."""
        removed = [d for d in cached.documents.values() if not d.content]
        removed.sort(key=lambda document: document.revision)
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
            if (document.content if complete else cached.changed_at[name] > changes)
        ]
        return store.Listing(changed_documents, cached.revision, []), complete
