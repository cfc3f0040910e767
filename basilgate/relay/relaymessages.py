"""Messages by which hosts send each other the store's documents, over TCP."""

import math
import socket
import struct
import zlib

import msgspec

from basilgate import clock, documentcache, fleetmodel
from platformedge import bounds, documents, store

LENGTH_PREFIX = struct.Struct(">I")  # Compressed length of a message, in bytes.
# Decompressed size; far above a configuration as large as the store allows.
MAX_MESSAGE_BYTES = 16 << 20
# Time from the first to the last byte of a message, as long as its sender may take
# (relayserver.SEND_TIMEOUT_S).
MESSAGE_TIMEOUT_S = 2.0
COMPRESSION_LEVEL = 1  # Shrinks 260 routes tenfold in about a millisecond.


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


def encode_message(message: Subscription | DocumentFrame) -> bytes:
    """Return one compressed message with its length before it."""
    body = zlib.compress(ENCODER.encode(message), COMPRESSION_LEVEL)
    return LENGTH_PREFIX.pack(len(body)) + body


def send_message(
    connection: socket.socket, message: Subscription | DocumentFrame
) -> None:
    """Send one compressed message with its length."""
    connection.sendall(encode_message(message))


def receive_exactly(
    connection: socket.socket, count: int, deadline: float = math.inf
) -> bytes:
    """Return exactly the next `count` bytes of a connection.

    `deadline` is a steady time in seconds; the connection's own time limit applies to
    each read besides.

    Raises
    ------
    OSError
        If the connection ends or the bytes do not come in time.
    """
    silence_limit_s = connection.gettimeout()
    chunks = []
    try:
        while count:
            left_s = deadline - clock.steady_s()
            if left_s <= 0:
                raise TimeoutError("not received in time")
            if silence_limit_s is None or left_s < silence_limit_s:
                connection.settimeout(None if left_s == math.inf else left_s)
            chunk = connection.recv(min(count, 65_536))
            if not chunk:
                raise ConnectionResetError("closed by the other host")
            chunks.append(chunk)
            count -= len(chunk)
    finally:
        connection.settimeout(silence_limit_s)
    return b"".join(chunks)


def receive_message(connection: socket.socket, deadline: float = math.inf) -> bytes:
    """Return the next message, decompressed but not decoded.

    It has to be received by `deadline`, a steady time in seconds, and within
    `MESSAGE_TIMEOUT_S` of its first byte.

    Raises
    ------
    OSError
        If the connection ends, the message does not come in time, or it is too long or
        damaged.
    """
    prefix = receive_exactly(connection, 1, deadline)
    deadline = min(deadline, clock.steady_s() + MESSAGE_TIMEOUT_S)
    prefix += receive_exactly(connection, LENGTH_PREFIX.size - 1, deadline)
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if length > MAX_MESSAGE_BYTES:
        raise ConnectionAbortedError(f"message of {length} bytes")
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(
            receive_exactly(connection, length, deadline), MAX_MESSAGE_BYTES
        )
    except zlib.error as error:
        raise ConnectionAbortedError(f"damaged message: {error}") from None
    if not unpacker.eof:
        raise ConnectionAbortedError("damaged message: incomplete or too long")
    return body


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
