"""Receives the store's documents from another host."""

import socket
import time

from basilgate import (
    clock,
    counters,
    documentcache,
    documentmerge,
    eventlog,
    fleetmodel,
    peertable,
)
from basilgate.relay import relaymessages, relayserver
from platformedge import documents, store

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
        self.store_fails: relayserver.WatchesStore = bool

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
            relaymessages.send_message(
                connection,
                relaymessages.Subscription(self.peers.settings.name, digests),
            )
            self.log.write("relay_connected", relay_source=ip)
            self.upstream = ip
            self.batch_ended = self.heartbeat_received = False
            self.silent_since.pop(ip, None)
            while not self.may_leave(ip):
                self.apply_frame(
                    relaymessages.FRAME_DECODER.decode(
                        relaymessages.receive_message(connection)
                    )
                )
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

    def apply_frame(self, frame: relaymessages.DocumentFrame) -> None:
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

    def apply_documents(self, frame: relaymessages.DocumentFrame) -> None:
        """Apply the documents of a message; log it if they are from a later era."""
        previous = self.cache.position(frame.kind)
        listing = relaymessages.read_frame(frame)
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
