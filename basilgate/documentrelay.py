"""Relays the store's documents between hosts, so that few of them call the store.

In each failure domain the host that has run longest watches the store and is the
upstream of the others, its downstreams, over TCP. A downstream that receives nothing
for `HEARTBEAT_TIMEOUT_S`, or whose upstream cannot reach the store, chooses another
upstream or watches the store itself after a delay by rank. A host whose documents are
stale gets newer ones from the peer that has them. A host that starts while its calls to
the store fail uses any peer that has the documents.
"""

import collections.abc
import socket
import struct
import threading
import time
import zlib

import msgspec

from basilgate import (
    clock,
    counters,
    documentcache,
    documentmerge,
    eventlog,
    fleetmodel,
    peertable,
)
from platformedge import bounds, documents, store

LENGTH_PREFIX = struct.Struct(">I")  # Compressed length of a message, in bytes.
# Decompressed size; far above a configuration as large as the store allows.
MAX_MESSAGE_BYTES = 16 << 20
HEARTBEAT_INTERVAL_S = 0.25
COMPRESSION_LEVEL = 1  # Shrinks 260 routes tenfold in about a millisecond.
# Tolerates a missed heartbeat (two intervals of 0.25 s) and a late timer, and leaves
# time to query the store within the 3 s limit for applying a change.
HEARTBEAT_TIMEOUT_S = 0.7
CONNECT_TIMEOUT_S = 0.3  # Round trips between failure domains take some milliseconds.
UPSTREAM_SEARCH_INTERVAL_S = 0.2  # About as long as the interval of the reports.
# Time for which a host that refused a connection is not chosen. If it has stopped, its
# last report is too old for it to be chosen (1.2 s) once this time is over.
AVOID_UNREACHABLE_S = 1.5
# Time to fetch newer documents from a peer: until the previous upstream's next
# heartbeat, a search interval, a connection, and a large configuration at 10 Mbit/s.
CATCH_UP_TIMEOUT_S = 1.0
# Encoded messages kept for other downstreams. After a change there is one for each
# kind, and some for downstreams that are a change behind.
MAX_ENCODED_MESSAGES = 8
SEND_TIMEOUT_S = 2.0  # A downstream that reads nothing for so long is dropped.


class Subscription(msgspec.Struct, array_like=True):
    """First message of a downstream: its host name, and its digest of each kind."""

    host: bounds.Name
    digests: dict[bounds.Name, bounds.Unsigned32]


class DocumentFrame(msgspec.Struct, array_like=True):
    """Message of an upstream: changes of a kind, or a heartbeat if the kind is empty.

    `revision` is the store's revision up to which the kind is known, `complete` whether
    all documents of the kind are listed. `reads` is true while the upstream watches the
    store and its calls succeed. A document is its name, its revision, and its content,
    which is empty if it was removed. `era` is the store's era of all revisions, in a
    heartbeat the latest one that the upstream knows. `confirmed` holds era and revision
    of the kinds of which the downstream has the same documents, `unstored` the names of
    overrides that the store lost, with the revisions of those that it has instead.
    `held` are the evacuations that the store lost and that stay in force for a time.
    `sent` ends a batch of messages: it holds the newest change of each kind of which
    the downstream now has all that the upstream has, and is None in other messages.
    """

    kind: bounds.Name
    revision: bounds.Revision
    complete: bool
    documents: list[tuple[bounds.Name, bounds.Revision, bytes]]
    reads: bool
    era: bounds.Era = 0
    confirmed: dict[bounds.Name, fleetmodel.Position] = {}
    unstored: dict[bounds.Name, bounds.Revision | None] = {}
    held: documentcache.Holds = {}
    sent: dict[bounds.Name, fleetmodel.Position] | None = None


ENCODER = msgspec.msgpack.Encoder()
SUBSCRIPTION_DECODER = msgspec.msgpack.Decoder(Subscription)
FRAME_DECODER = msgspec.msgpack.Decoder(DocumentFrame)

WatchesStore = collections.abc.Callable[[], bool]


def encode_message(message: Subscription | DocumentFrame) -> bytes:
    """Return one compressed message with its length before it."""
    body = zlib.compress(ENCODER.encode(message), COMPRESSION_LEVEL)
    return LENGTH_PREFIX.pack(len(body)) + body


def send_message(
    connection: socket.socket, message: Subscription | DocumentFrame
) -> None:
    """Send one compressed message with its length."""
    connection.sendall(encode_message(message))


def receive_exactly(connection: socket.socket, count: int) -> bytes:
    """Return exactly the next `count` bytes of a connection.

    Raises
    ------
    OSError
        If the connection ends or nothing comes in time.
    """
    chunks = []
    while count:
        chunk = connection.recv(min(count, 65_536))
        if not chunk:
            raise ConnectionResetError("closed by the other host")
        chunks.append(chunk)
        count -= len(chunk)
    return b"".join(chunks)


def receive_message(connection: socket.socket) -> bytes:
    """Return the next message, decompressed but not decoded.

    Raises
    ------
    OSError
        If the connection ends, nothing comes in time, or the message is too long or
        damaged.
    """
    (length,) = LENGTH_PREFIX.unpack(receive_exactly(connection, LENGTH_PREFIX.size))
    if length > MAX_MESSAGE_BYTES:
        raise ConnectionAbortedError(f"message of {length} bytes")
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(
            receive_exactly(connection, length), MAX_MESSAGE_BYTES
        )
    except zlib.error as error:
        raise ConnectionAbortedError(f"damaged message: {error}") from None
    if not unpacker.eof:
        raise ConnectionAbortedError("damaged message: incomplete or too long")
    return body


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
            subscription = SUBSCRIPTION_DECODER.decode(receive_message(connection))
            host = subscription.host
            self.log.write("relay_client_connected", relay_client=host)
            sent_counts, confirmation = self.changes_known_to(subscription)
            if sent_counts:
                send_message(connection, confirmation)
            self.send_changes(connection, sent_counts)
        except (OSError, *documents.DECODE_ERRORS) as error:
            self.log.write("relay_client_lost", relay_client=host, reason=str(error))

    def changes_known_to(
        self, subscription: Subscription
    ) -> tuple[dict[str, int], DocumentFrame]:
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

    def heartbeat(self) -> DocumentFrame:
        """Return a message without documents."""
        reads = self.watches_store()
        return DocumentFrame("", 0, False, [], reads, self.cache.era)

    def end_of_batch(self, sent_counts: dict[str, int]) -> DocumentFrame:
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
            end = encode_message(self.end_of_batch(sent_counts))
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
                frame = make_frame(kind, listing, complete, reads)
                if kind == documents.OVERRIDES_KIND:
                    frame.unstored = unstored
                frame.held = held
                message = self.encoded[key] = encode_message(frame)
                self.counts.add("relay_encodings_total", kind=kind)
                while len(self.encoded) > MAX_ENCODED_MESSAGES:
                    del self.encoded[next(iter(self.encoded))]
        sent_counts[kind] = changes
        return message


def make_frame(
    kind: str, listing: store.Listing, complete: bool, reads: bool
) -> DocumentFrame:
    """Return the message with the documents of a listing.

    Documents of earlier eras are sent as of the listing's position, since the sender
    knows that nothing newer exists up to there.
    """
    era, revision = listing.position
    rows = []
    for document in listing.documents:
        is_of_era = document.position.era == era
        # Empty content is a removal, whatever the store's own document holds.
        content = b"" if document.removed else document.content or b"null"
        rows.append(
            (
                document.name,
                document.position.revision if is_of_era else revision,
                content,
            )
        )
    return DocumentFrame(kind, revision, complete, rows, reads, era)


def read_frame(frame: DocumentFrame) -> store.Listing:
    """Return the listing in a message."""
    received = [
        documents.StoredDocument(
            name, fleetmodel.Position(frame.era, revision), content, not content
        )
        for name, revision, content in frame.documents
    ]
    position = fleetmodel.Position(frame.era, frame.revision)
    return store.Listing(received, position, [])


class RelayClient:
    """Receives documents from an upstream, which saves calls to the store.

    `run` needs a thread of its own; the other methods may be called from any thread.

    Parameters
    ----------
    peers : peertable.PeerTable
        Chooses the upstream by the peers' reports.
    cache : documentcache.DocumentCache
        Receives the documents.
    log : eventlog.EventLog
        Receives the start and end of each connection.
    counts : counters.Counters
        Counts messages received.
    """

    def __init__(
        self,
        peers: peertable.PeerTable,
        cache: documentcache.DocumentCache,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.peers = peers
        self.cache = cache
        self.log = log
        self.counts = counts
        # Time, in seconds of the steady clock, until which the upstream counts as
        # watching the store; 0 if it does not.
        self.fresh_until = 0.0
        self.upstream = ""  # IP address; empty if not connected.
        # Time until which a host is not chosen as upstream, by its address.
        self.avoided_until: dict[str, float] = {}
        # When an upstream was given up since it sent nothing, by its address. A process
        # that is suspended still accepts connections, so it is not chosen before it is
        # heard again.
        self.silent_since: dict[str, float] = {}
        # Address of a peer with newer documents, and the time until which to use it as
        # upstream; 0 once all its documents were received or it could not send them.
        self.newer_peer_ip = ""
        self.newer_peer_until = 0.0
        # The newest change of each kind that an upstream has confirmed to have sent.
        self.received: dict[str, fleetmodel.Position] = {}
        # Whether the upstream has sent all documents that this host lacked, and whether
        # its last message was a heartbeat.
        self.batch_ended = False
        self.heartbeat_received = False
        # Returns whether this host's calls to the store fail. `bool` returns False and
        # is used until the process sets its own function.
        self.store_fails: WatchesStore = bool

    def is_fresh(self) -> bool:
        """Return whether an upstream that watches the store sent a message recently."""
        return clock.steady_s() < self.fresh_until

    def rank(self) -> int:
        """Return how many hosts of the own failure domain call the store earlier."""
        return self.peers.upstream_rank(clock.steady_s())

    def catch_up(self, ip: str) -> None:
        """Use the peer at `ip` as upstream for a time, even if it watches no store."""
        self.newer_peer_ip = ip
        self.newer_peer_until = clock.steady_s() + CATCH_UP_TIMEOUT_S

    def is_catching_up(self) -> bool:
        """Return whether documents are being fetched from a peer with newer ones."""
        return clock.steady_s() < self.newer_peer_until

    def run(self) -> None:
        """Receive documents whenever there is an upstream, until the process ends."""
        while True:
            ip = self.choose_upstream()
            if ip is not None:
                self.follow_upstream(ip)
            time.sleep(UPSTREAM_SEARCH_INTERVAL_S)

    def choose_upstream(self) -> str | None:
        """Return the address of the upstream, None to call the store instead.

        The current upstream is kept while it watches the store, unless a peer has newer
        documents.
        """
        now = clock.steady_s()
        if now < self.newer_peer_until:
            return self.newer_peer_ip
        if self.upstream and now < self.fresh_until:
            return self.upstream
        has_all_kinds = all(self.cache.changes().values())
        avoided_ips = [ip for ip, until in self.avoided_until.items() if now < until]
        avoided_ips += [
            ip
            for ip, since in self.silent_since.items()
            if not self.peers.was_heard_after(ip, since)
        ]
        return self.peers.choose_upstream(
            now, self.store_fails(), has_all_kinds, avoided_ips, self.cache.era
        )

    def may_leave(self, ip: str) -> bool:
        """Return whether to leave the upstream at `ip`.

        A batch of several kinds is received whole, since the next upstream may lack
        the rest of it, unless a peer with newer documents takes its place.
        """
        chosen = self.choose_upstream()
        return chosen != ip and (self.batch_ended or self.is_catching_up())

    def follow_upstream(self, ip: str) -> None:
        """Receive documents from the host at `ip` while it remains the chosen one."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.settimeout(CONNECT_TIMEOUT_S)
        try:
            try:
                connection.connect((ip, self.peers.port))
            except OSError:
                self.avoided_until[ip] = clock.steady_s() + AVOID_UNREACHABLE_S
                raise
            store.enable_keepalive(connection)
            connection.settimeout(HEARTBEAT_TIMEOUT_S)
            with self.cache.changed:
                digests = {kind: self.cache.digest(kind) for kind in self.cache.kinds}
            send_message(connection, Subscription(self.peers.settings.name, digests))
            self.log.write("relay_connected", relay_source=ip)
            self.upstream = ip
            self.batch_ended = self.heartbeat_received = False
            self.silent_since.pop(ip, None)
            while not self.may_leave(ip):
                self.apply_frame(FRAME_DECODER.decode(receive_message(connection)))
            self.log.write("relay_lost", relay_source=ip, reason="other_source")
        except TimeoutError as error:
            self.silent_since[ip] = clock.steady_s()
            self.log.write("relay_lost", relay_source=ip, reason=str(error))
            if ip == self.newer_peer_ip:
                self.newer_peer_until = 0.0
        except (OSError, *documents.DECODE_ERRORS) as error:
            self.log.write("relay_lost", relay_source=ip, reason=str(error))
            if ip == self.newer_peer_ip:
                self.newer_peer_until = 0.0
        finally:
            self.fresh_until = 0.0
            self.upstream = ""
            connection.close()

    def apply_frame(self, frame: DocumentFrame) -> None:
        """Apply a message of the upstream to the cache, and update its freshness.

        An upstream that has not heard of the store's return does not count as fresh.
        """
        kind = frame.kind or "beat"
        self.counts.add("peer_messages_total", direction="in", kind=kind)
        # An upstream of a version without `sent` shows by two heartbeats in a row that
        # it has nothing left to send.
        is_heartbeat = not frame.kind
        self.batch_ended = frame.sent is not None or (
            is_heartbeat and self.heartbeat_received
        )
        self.heartbeat_received = is_heartbeat
        known_era = self.cache.era
        if frame.kind in self.cache.kinds:
            self.apply_documents(frame)
        for name, position in frame.confirmed.items():
            if name in self.cache.kinds and position > self.cache.position(name):
                self.cache.update(name, store.Listing([], position, []), False)
        if frame.unstored and documents.OVERRIDES_KIND in self.cache.kinds:
            self.cache.add_unstored(documents.OVERRIDES_KIND, frame.unstored)
        if frame.held and documents.EVACUATIONS_KIND in self.cache.kinds:
            self.cache.add_holds(documents.EVACUATIONS_KIND, frame.held)
        if self.cache.era > known_era:
            self.log.write(
                "store_era_changed",
                kind=kind,
                era=self.cache.era,
                previous=known_era,
                relay_source=self.upstream,
            )
        if frame.sent is not None:
            self.end_batch(frame.sent)
        is_fresh = frame.reads and frame.era >= self.cache.era
        self.fresh_until = clock.steady_s() + HEARTBEAT_TIMEOUT_S if is_fresh else 0.0

    def end_batch(self, sent: dict[str, fleetmodel.Position]) -> None:
        """Record what the upstream has sent; a peer that was asked has sent all."""
        for kind, position in sent.items():
            known = self.received.get(kind, documentcache.UNLISTED)
            self.received[kind] = max(known, position)
        if self.upstream == self.newer_peer_ip and self.is_catching_up():
            self.newer_peer_until = 0.0

    def apply_documents(self, frame: DocumentFrame) -> None:
        """Apply the documents of a message; log it if they are from a later era."""
        previous = self.cache.position(frame.kind)
        listing = read_frame(frame)
        applied = self.cache.update(frame.kind, listing, frame.complete)
        if frame.documents and frame.kind in documentmerge.OPERATOR_KINDS:
            self.log.write(
                "change_received",
                kind=frame.kind,
                revision=listing.position,
                source=self.upstream,
            )
        if listing.position.era > previous.era:
            described = self.cache.describe_listing(frame.kind, listing, previous)
            self.log.write(
                "kind_listed", **described, applied=applied, relay_source=self.upstream
            )
