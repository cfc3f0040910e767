"""Sends the store's documents and their changes to other hosts."""

import collections.abc
import socket
import threading

from basilgate import counters, documentcache, eventlog
from basilgate.relay import relaymessages
from platformedge import documents

HEARTBEAT_INTERVAL_S = 0.25
# Encoded messages kept for other downstreams. After a change there is one for each
# kind, and some for downstreams that are a change behind.
MAX_ENCODED_MESSAGES = 8
SEND_TIMEOUT_S = 2.0  # A downstream that reads nothing for so long is dropped.

WatchesStore = collections.abc.Callable[[], bool]
# Kind, change counts before and after a message, and whether this host watches the
# store: downstreams for which these are the same get the same bytes.
MessageKey = tuple[str, int, int, bool]


class RelayServer:
    """Sends the cached documents and their changes to downstreams.

    `serve` runs in one thread for each connection and takes the cache's lock. A change
    is encoded and compressed once for all downstreams that lack it, since a small host
    would need seconds to do so for each host of a large failure domain.

    Parameters
    ----------
    cache : documentcache.DocumentCache
        Supplies the documents, and wakes the threads at each change.
    watches_store : callable
        Returns whether this host watches the store and its calls succeed; sent with
        each message, so that downstreams can choose another upstream.
    log : eventlog.EventLog
        Receives the start and end of each connection.
    counts : counters.Counters
        Counts messages and bytes sent.
    """

    def __init__(
        self,
        cache: documentcache.DocumentCache,
        watches_store: WatchesStore,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.cache = cache
        self.watches_store = watches_store
        self.log = log
        self.counts = counts
        # The latest encoded messages, the oldest first, and the lock that guards them
        # and lets one thread encode while the others wait for its result.
        self.encoded: dict[MessageKey, bytes] = {}
        self.encoding = threading.Lock()

    def serve(self, connection: socket.socket) -> None:
        """Send one downstream the documents that it lacks, and then each change."""
        connection.settimeout(SEND_TIMEOUT_S)
        host = "unknown"
        try:
            subscription = relaymessages.SUBSCRIPTION_DECODER.decode(
                relaymessages.receive_message(connection)
            )
            host = subscription.host
            self.log.write("relay_client_connected", relay_client=host)
            sent_counts, confirmation = self.changes_known_to(subscription)
            if sent_counts:
                relaymessages.send_message(connection, confirmation)
            self.send_changes(connection, sent_counts)
        except (OSError, *documents.DECODE_ERRORS) as error:
            self.log.write("relay_client_lost", relay_client=host, reason=str(error))

    def changes_known_to(
        self, subscription: relaymessages.Subscription
    ) -> tuple[dict[str, int], relaymessages.DocumentFrame]:
        """Return this host's change counts of the kinds that a downstream has.

        A kind with the same digest is not sent again: if a new upstream sent all
        documents to all downstreams, links of 10 Mbit/s would be full for a second. The
        second value is a heartbeat that confirms these kinds.
        """
        with self.cache.changed:
            changes = self.cache.changes()
            known = {
                kind: changes[kind]
                for kind, digest in subscription.digests.items()
                if kind in changes and digest and digest == self.cache.digest(kind)
            }
            confirmed = {kind: self.cache.position(kind) for kind in known}
            unstored = self.unstored_overrides()
            held = self.cache.holds(documents.EVACUATIONS_KIND)
        heartbeat = self.heartbeat()
        heartbeat.confirmed = confirmed
        heartbeat.unstored = unstored
        heartbeat.held = held
        return known, heartbeat

    def unstored_overrides(self) -> dict[str, int | None]:
        """Return a copy of the overrides that the store lost; needs the cache's lock.

        A downstream needs them to write them again if it takes this host's place.
        """
        cached = self.cache.kinds.get(documents.OVERRIDES_KIND)
        return dict(cached.unstored) if cached is not None else {}

    def heartbeat(self) -> relaymessages.DocumentFrame:
        """Return a message without documents."""
        reads = self.watches_store()
        return relaymessages.DocumentFrame("", 0, False, [], reads, self.cache.era)

    def end_of_batch(self, sent_counts: dict[str, int]) -> relaymessages.DocumentFrame:
        """Return the heartbeat after the messages up to some change counts."""
        heartbeat = self.heartbeat()
        with self.cache.changed:
            changes = self.cache.changes()
            heartbeat.sent = {
                kind: self.cache.newest_reported(kind)
                for kind in changes
                if changes[kind] and changes[kind] == sent_counts.get(kind)
            }
        return heartbeat

    def send_changes(
        self, connection: socket.socket, sent_counts: dict[str, int]
    ) -> None:
        """Send changes and heartbeats until the connection breaks.

        `sent_counts` holds the change count up to which each kind was sent.
        """
        while True:
            messages = self.messages_after(sent_counts)
            end = relaymessages.encode_message(self.end_of_batch(sent_counts))
            for kind, message in [*messages, ("beat", end)]:
                connection.sendall(message)
                self.counts.add("peer_messages_total", direction="out", kind=kind)
                self.counts.add("peer_bytes_total", len(message), direction="out")
            with self.cache.changed:
                if not self.has_changes(sent_counts):
                    self.cache.changed.wait(HEARTBEAT_INTERVAL_S)

    def has_changes(self, sent_counts: dict[str, int]) -> bool:
        """Return whether changes are unsent; the caller holds the cache's lock."""
        changes = self.cache.changes()
        return any(changes[kind] > sent_counts.get(kind, 0) for kind in changes)

    def messages_after(self, sent_counts: dict[str, int]) -> list[tuple[str, bytes]]:
        """Return kinds and messages with unsent changes, and update `sent_counts`."""
        messages = []
        for kind in self.cache.kinds:
            message = self.message_after(kind, sent_counts)
            if message is not None:
                messages.append((kind, message))
        return messages

    def message_after(self, kind: str, sent_counts: dict[str, int]) -> bytes | None:
        """Return the message with the unsent changes of a kind, None without any."""
        sent_count = sent_counts.get(kind, 0)
        reads = self.watches_store()
        with self.encoding:
            with self.cache.changed:
                changes = self.cache.changes()[kind]
                key = (kind, sent_count, changes, reads)
                held = (
                    self.cache.holds(kind) if kind == documents.EVACUATIONS_KIND else {}
                )
                # The remaining times of holds are other ones for each downstream.
                message = None if held else self.encoded.get(key)
                unsent = (
                    self.cache.changes_after(kind, sent_count)
                    if message is None
                    else None
                )
                unstored = self.unstored_overrides()
            if unsent is not None:
                listing, complete = unsent
                frame = relaymessages.make_frame(kind, listing, complete, reads)
                if kind == documents.OVERRIDES_KIND:
                    frame.unstored = unstored
                frame.held = held
                message = self.encoded[key] = relaymessages.encode_message(frame)
                self.counts.add("relay_encodings_total", kind=kind)
                while len(self.encoded) > MAX_ENCODED_MESSAGES:
                    del self.encoded[next(iter(self.encoded))]
        sent_counts[kind] = changes
        return message
