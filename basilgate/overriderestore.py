"""Writes overrides to the store again that it lost by coming back from a copy."""

import collections.abc
import time

import msgspec

from basilgate import clock, counters, documentcache, eventlog, peertable
from platformedge import documents, store

CHECK_INTERVAL_S = 0.25
# The hosts that watch the store write in the order of their start, a step apart, and
# each host its next attempt: writes reach the watching hosts within this time, so that
# the others write nothing. One step passes before the first write, until the reports
# show which hosts watch the store again.
TURN_S = 0.5
MAX_DELAYED_RANKS = 8
WRITE_TIMEOUT_S = 2.0


class OverrideRestorer:
    """Makes the store hold the overrides that this host knows to be newer.

    What operators set stays in force on the hosts when the store comes back without it,
    and what they released stays released; but a host that starts knows only the store.
    Writes are conditional, so that several hosts may write, and an operator's later
    command wins. `run` needs a thread of its own.

    Parameters
    ----------
    connection : store.Connection
        Connection for the writes, which opens a new one for each call.
    cache : documentcache.DocumentCache
        Supplies the overrides, and which of them the store lost.
    peers : peertable.PeerTable
        Supplies the rank among the hosts that watch the store.
    watches_store : callable
        Returns whether this host watches the store; only then it writes.
    log : eventlog.EventLog
        Receives an event for each write.
    counts : counters.Counters
        Counts writes by outcome.
    """

    def __init__(
        self,
        connection: store.Connection,
        cache: documentcache.DocumentCache,
        peers: peertable.PeerTable,
        watches_store: collections.abc.Callable[[], bool],
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.connection = connection
        self.cache = cache
        self.peers = peers
        self.watches_store = watches_store
        self.log = log
        self.counts = counts
        # Time, in seconds of the steady clock, from which turns count: that at which
        # this host found overrides to write, or wrote some. None without any.
        self.turns_from: float | None = None

    def run(self) -> None:
        """Write lost overrides whenever there are any, until the process ends."""
        while True:
            time.sleep(CHECK_INTERVAL_S)
            self.restore_due(clock.steady_s())

    def restore_due(self, now: float) -> None:
        """Write all lost overrides if it is this host's turn."""
        lost = self.lost_documents() if self.watches_store() else []
        if not lost:
            self.turns_from = None
            return
        if self.turns_from is None:
            self.turns_from = now
        rank = min(self.peers.reader_rank(now), MAX_DELAYED_RANKS)
        if now < self.turns_from + TURN_S * (rank + 1):
            return
        self.turns_from = now
        for document, revision in lost:
            self.restore(document, revision)

    def lost_documents(self) -> list[tuple[documents.StoredDocument, int | None]]:
        """Return the lost overrides, each with the revision of the store's own one.

        Overrides that have expired or that cannot be read are left out.
        """
        with self.cache.changed:
            cached = self.cache.kinds[documents.OVERRIDES_KIND]
            unstored = [
                (cached.documents[name], revision)
                for name, revision in cached.unstored.items()
                if name in cached.documents
            ]
        return [found for found in unstored if is_in_effect(found[0])]

    def restore(self, document: documents.StoredDocument, revision: int | None) -> None:
        """Write one override, or remove it, if the store's own one is unchanged."""
        kind, name = documents.OVERRIDES_KIND, document.name
        result: store.Failure | None = None
        if not document.removed:
            result = store.write_object(
                self.connection,
                kind,
                name,
                msgspec.Raw(document.content),
                revision,
                WRITE_TIMEOUT_S,
            )
        elif revision is not None:
            result = store.delete_object(
                self.connection, kind, name, revision, WRITE_TIMEOUT_S
            )
        if result in (store.Failure.CONFLICT, store.Failure.NOT_FOUND):
            # Somebody else was first; the watch brings what the store has now.
            self.cache.forget_unstored(kind, name)
        outcome = "ok" if result is None else result.value
        self.counts.add("overrides_restored_total", outcome=outcome)
        self.log.write(
            "override_restored",
            override=name,
            removed=document.removed,
            replaced=revision if revision is not None else "none",
            outcome=outcome,
        )


def is_in_effect(document: documents.StoredDocument) -> bool:
    """Return whether the store has to hold an override, or to know of its end."""
    try:
        record = documents.decode_override_record(document.name, document.content)
    except documents.DocumentError:
        return False
    if document.removed or record.released_at_s is not None:
        return True
    return record.expires_at_s is None or record.expires_at_s > clock.unix_s()
