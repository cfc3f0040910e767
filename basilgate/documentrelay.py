"""Documents of the store passed on between balancers, so that few of them read it.

In each failure domain the host that has run longest follows the store and is the source
of the others, its clients, over TCP. A client that hears nothing for `BEAT_LIMIT_S`, or
whose source has trouble with the store, looks for another source or follows the store
itself in its turn. A host that is behind a neighbour takes what that one knows. A host
that starts while the store turns it away takes any host that has the documents for its
source.
"""

import collections.abc
import socket
import struct
import time
import zlib

import msgspec

from basilgate import clock, counters, documentcache, eventlog, peertable
from platformedge import documents, store

LENGTH_PREFIX = struct.Struct(">I")
MAX_MESSAGE_BYTES = 16 << 20  # Far above a configuration of the store's value limit.
HEARTBEAT_INTERVAL_S = 0.25
COMPRESSION_LEVEL = 1  # A configuration of 260 routes shrinks tenfold in a millisecond.
# Two beats and a late timer; leaves time to ask the store within the 3 s of a change.
HEARTBEAT_TIMEOUT_S = 0.7
CONNECT_TIMEOUT_S = 0.3  # Round trips between failure domains take some milliseconds.
UPSTREAM_SEARCH_INTERVAL_S = (
    0.2  # Between two looks for a source; a report comes about as often.
)
# Time for which a host that did not take a connection is no source; by then it is no
# longer heard if it has gone.
AVOID_UNREACHABLE_S = 1.5
# A sign of life of the former source, a pause, a connection, and a large configuration
# at 10 Mbit/s.
CATCH_UP_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 2.0  # A client that does not read for so long is dropped.


class Subscription(msgspec.Struct, array_like=True):
    """First message of a client, with the digests of the kinds that it has."""

    host: str
    digests: dict[str, int]


class DocumentFrame(msgspec.Struct, array_like=True):
    """Message of a source; without a kind it is a sign of life.

    `reads` tells whether the source follows the store without trouble. A document
    is its name, revision, and content, which is empty once it is removed.
    """

    kind: str
    revision: int
    complete: bool
    documents: list[tuple[str, int, bytes]]
    reads: bool


ENCODER = msgspec.msgpack.Encoder()
SUBSCRIPTION_DECODER = msgspec.msgpack.Decoder(Subscription)
FRAME_DECODER = msgspec.msgpack.Decoder(DocumentFrame)

WatchesStore = collections.abc.Callable[[], bool]


def send_message(
    connection: socket.socket, message: Subscription | DocumentFrame
) -> int:
    """Send one message; return its bytes."""
    body = zlib.compress(ENCODER.encode(message), COMPRESSION_LEVEL)
    connection.sendall(LENGTH_PREFIX.pack(len(body)) + body)
    return len(body) + LENGTH_PREFIX.size


def receive_exactly(connection: socket.socket, count: int) -> bytes:
    """Return the next bytes of a connection.

    Raises
    ------
    OSError
        If the connection ends or nothing comes in time.
    """
    chunks = []
    while count:
        chunk = connection.recv(min(count, 65_536))
        if not chunk:
            raise ConnectionResetError("closed by the other balancer")
        chunks.append(chunk)
        count -= len(chunk)
    return b"".join(chunks)


def receive_message(connection: socket.socket) -> bytes:
    """Return the next message, undecoded.

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


class RelayServer:
    """Passes documents on to clients.

    Parameters
    ----------
    cache : documentcache.DocumentCache
        The documents.
    watches_store : callable
        Tells whether this host follows the store without trouble.
    log, counts
        Log and metrics.
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

    def serve(self, connection: socket.socket) -> None:
        """Send one client what it lacks, and then each change."""
        connection.settimeout(SEND_TIMEOUT_S)
        host = "unknown"
        try:
            subscription = SUBSCRIPTION_DECODER.decode(receive_message(connection))
            host = subscription.host
            self.log.write("relay_client_connected", relay_client=host)
            self.send_changes(connection, self.changes_known_to(subscription))
        except (OSError, msgspec.MsgspecError) as error:
            self.log.write("relay_client_lost", relay_client=host, reason=str(error))

    def changes_known_to(self, subscription: Subscription) -> dict[str, int]:
        """Return the counts of changes that a client has, by kind.

        A client that has the same documents gets none: links of 10 Mbit/s would be
        full for a second if a new source sent all documents to all clients.
        """
        with self.cache.changed:
            changes = self.cache.changes()
            return {
                kind: changes[kind]
                for kind, digest in subscription.digests.items()
                if kind in changes and digest and digest == self.cache.digest(kind)
            }

    def send_changes(
        self, connection: socket.socket, sent_counts: dict[str, int]
    ) -> None:
        """Send changes and signs of life until the connection breaks."""
        while True:
            frames = self.frames_after(sent_counts)
            if not frames:
                frames = [DocumentFrame("", 0, False, [], self.watches_store())]
            for frame in frames:
                size = send_message(connection, frame)
                kind = frame.kind or "beat"
                self.counts.add("peer_messages_total", direction="out", kind=kind)
                self.counts.add("peer_bytes_total", size, direction="out")
            with self.cache.changed:
                if not self.has_changes(sent_counts):
                    self.cache.changed.wait(HEARTBEAT_INTERVAL_S)

    def has_changes(self, sent_counts: dict[str, int]) -> bool:
        """Tell whether something has changed; the caller holds the lock."""
        changes = self.cache.changes()
        return any(changes[kind] > sent_counts.get(kind, 0) for kind in changes)

    def frames_after(self, sent_counts: dict[str, int]) -> list[DocumentFrame]:
        """Return what has changed since what was sent, and note it as sent."""
        frames = []
        with self.cache.changed:
            for kind, changes in self.cache.changes().items():
                unsent = self.cache.changes_after(kind, sent_counts.get(kind, 0))
                if unsent is None:
                    continue
                listing, complete = unsent
                rows = [(d.name, d.revision, d.content) for d in listing.documents]
                reads = self.watches_store()
                frames.append(
                    DocumentFrame(kind, listing.revision, complete, rows, reads)
                )
                sent_counts[kind] = changes
        return frames


class RelayClient:
    """Follows the documents of another host while that spares calls to the store.

    Parameters
    ----------
    peers : peertable.PeerTable
        The hosts to choose from.
    cache : documentcache.DocumentCache
        The documents.
    log, counts
        Log and metrics.
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
        self.fresh_until = 0.0
        self.upstream = ""
        # Time until which a host is no source, by its address.
        self.avoided_until: dict[str, float] = {}
        # A host that has known more than this one, until when to ask it, and whether it
        # has nothing more to tell.
        self.newer_peer_ip = ""
        self.newer_peer_until = 0.0
        self.caught_up = False
        # Whether the store turns this host away.
        self.store_fails: WatchesStore = bool

    def is_fresh(self) -> bool:
        """Tell whether a source that follows the store was heard a moment ago."""
        return clock.steady_s() < self.fresh_until

    def rank(self) -> int:
        """Return how many near hosts are to follow the store before this one."""
        return self.peers.upstream_rank(clock.steady_s())

    def catch_up(self, ip: str) -> None:
        """Take what another host knows, whether or not it follows the store."""
        self.newer_peer_ip = ip
        self.caught_up = False
        self.newer_peer_until = clock.steady_s() + CATCH_UP_TIMEOUT_S

    def run(self) -> None:
        """Follow a source whenever there is one, until the process ends."""
        while True:
            ip = self.choose_upstream()
            if ip is not None:
                self.follow_upstream(ip)
            time.sleep(UPSTREAM_SEARCH_INTERVAL_S)

    def choose_upstream(self) -> str | None:
        """Return the address of the source, None to read the store.

        A source is kept while it follows the store.
        """
        now = clock.steady_s()
        if now < self.newer_peer_until and not self.caught_up:
            return self.newer_peer_ip
        if self.upstream and now < self.fresh_until:
            return self.upstream
        has_all_kinds = all(self.cache.changes().values())
        avoided_ips = [ip for ip, until in self.avoided_until.items() if now < until]
        return self.peers.choose_upstream(
            now, self.store_fails(), has_all_kinds, avoided_ips
        )

    def follow_upstream(self, ip: str) -> None:
        """Take documents from a host while it is heard and is the right one."""
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
            while self.choose_upstream() == ip:
                self.apply_frame(FRAME_DECODER.decode(receive_message(connection)))
            self.log.write("relay_lost", relay_source=ip, reason="other_source")
        except (OSError, msgspec.MsgspecError) as error:
            self.log.write("relay_lost", relay_source=ip, reason=str(error))
        finally:
            self.fresh_until = 0.0
            self.upstream = ""
            connection.close()

    def apply_frame(self, frame: DocumentFrame) -> None:
        """Take over a message of the source."""
        kind = frame.kind or "beat"
        self.counts.add("peer_messages_total", direction="in", kind=kind)
        if not frame.kind and self.upstream == self.newer_peer_ip:
            self.caught_up = True
        if frame.kind in self.cache.kinds:
            received = [documents.StoredDocument(*row) for row in frame.documents]
            listing = store.Listing(received, frame.revision, [])
            self.cache.update(frame.kind, listing, frame.complete)
        self.fresh_until = (
            clock.steady_s() + HEARTBEAT_TIMEOUT_S if frame.reads else 0.0
        )
