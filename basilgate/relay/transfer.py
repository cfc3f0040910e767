"""Connections to hosts that send documents, and what applies their messages."""

import math
import socket

from basilgate import (
    counters,
    documentcache,
    documentmerge,
    eventlog,
    fleetmodel,
)
from basilgate.relay import relaymessages
from platformedge import documents, store

CONNECT_TIMEOUT_S = 0.3  # Round trips between failure domains take some milliseconds.


class DocumentReceiver:
    """Applies the messages of other hosts to the cache.

    Its methods may be called from any thread.

    Parameters
    ----------
    cache : documentcache.DocumentCache
        Receives the documents.
    log : eventlog.EventLog
        Receives changes of the store's era, and operators' changes with their source.
    counts : counters.Counters
        Counts messages received.
    """

    def __init__(
        self,
        cache: documentcache.DocumentCache,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.cache = cache
        self.log = log
        self.counts = counts
        # The newest change of each kind that another host has confirmed to have sent.
        self.received: dict[str, fleetmodel.Position] = {}

    def apply_frame(self, frame: relaymessages.DocumentFrame, source: str) -> None:
        """Apply a message from the host with the address `source`."""
        kind = frame.kind or "beat"
        self.counts.add("peer_messages_total", direction="in", kind=kind)
        known_era = self.cache.era
        if frame.kind in self.cache.kinds:
            self.apply_documents(frame, source)
        for name, position in frame.confirmed.items():
            if name in self.cache.kinds and position > self.cache.position(name):
                listing = store.Listing([], position, [])
                self.apply_listing(name, listing, False, source)
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
                relay_source=source,
            )
        for name, position in (frame.sent or {}).items():
            known = self.received.get(name, documentcache.UNLISTED)
            self.received[name] = max(known, position)

    def apply_documents(self, frame: relaymessages.DocumentFrame, source: str) -> None:
        """Apply the documents of a message."""
        listing = relaymessages.read_frame(frame)
        self.apply_listing(frame.kind, listing, frame.complete, source)
        if frame.documents and frame.kind in documentmerge.OPERATOR_KINDS:
            self.log.write(
                "change_received",
                kind=frame.kind,
                revision=listing.position,
                source=source,
            )

    def apply_listing(
        self, kind: str, listing: store.Listing, complete: bool, source: str
    ) -> None:
        """Apply what a host has sent or confirmed; log it if it is of a later era."""
        previous = self.cache.position(kind)
        applied = self.cache.update(kind, listing, complete)
        if listing.position.era > previous.era:
            described = self.cache.describe_listing(kind, listing, previous)
            self.log.write(
                "kind_listed", **described, applied=applied, relay_source=source
            )


class DocumentTransfer:
    """One connection to a host that sends documents; a context manager.

    Parameters
    ----------
    ip : str
        Address of the other host.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Whether the host has sent all documents that this host lacked, and whether its
        # last message was a heartbeat.
        self.batch_ended = False
        self.heartbeat_received = False

    def __enter__(self) -> "DocumentTransfer":
        """Return this transfer."""
        return self

    def __exit__(self, *error: object) -> None:
        """Close the connection."""
        self.connection.close()

    def connect(self, port: int) -> None:
        """Connect to a port of the host.

        Raises
        ------
        OSError
            If the host does not accept the connection in time.
        """
        self.connection.settimeout(CONNECT_TIMEOUT_S)
        self.connection.connect((self.ip, port))
        store.enable_keepalive(self.connection)

    def subscribe(
        self,
        host: str,
        cache: documentcache.DocumentCache,
        silence_timeout_s: float,
    ) -> None:
        """Ask for the documents that `cache` lacks, and for later changes.

        `host` is the name of this host. From now on the connection counts as broken
        once it was silent for `silence_timeout_s` seconds.

        Raises
        ------
        OSError
            If the connection breaks.
        """
        self.connection.settimeout(silence_timeout_s)
        with cache.changed:
            digests = {kind: cache.digest(kind) for kind in cache.kinds}
        subscription = relaymessages.Subscription(host, digests)
        relaymessages.send_message(self.connection, subscription)

    def receive(self, deadline: float = math.inf) -> relaymessages.DocumentFrame:
        """Return the next message, which has to be received by a steady time.

        Raises
        ------
        OSError
            If the connection breaks, or the message does not come in time.
        msgspec.DecodeError
            If the message cannot be decoded.
        """
        body = relaymessages.receive_message(self.connection, deadline)
        frame = relaymessages.FRAME_DECODER.decode(body)
        # A host of a version without `sent` shows by two heartbeats in a row that it
        # has nothing left to send.
        is_heartbeat = not frame.kind
        self.batch_ended = frame.sent is not None or (
            is_heartbeat and self.heartbeat_received
        )
        self.heartbeat_received = is_heartbeat
        return frame
