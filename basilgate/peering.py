"""Control messages between balancers: encoding, authentication, and calls."""

import dataclasses
import hashlib
import hmac
import json
import struct
import typing

import anyio
import anyio.abc
import anyio.streams.buffered
import thrift.protocol.TCompactProtocol
import thrift.protocol.TProtocol
import thrift.Thrift
import thrift.transport.TTransport
import thrift.TSerialization
from returns import result

from basilgate import metrics, objects, reasons, wire
from peerproto import ttypes

CONTROL_MAGIC = 0xBA53
ENVELOPE = struct.Struct("!H8s")
LENGTH = struct.Struct("!I")
MAC_BYTES = 8
MAX_CONTROL_DATAGRAM_BYTES = 8_192
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_S = 3.0

PROTOCOL = thrift.protocol.TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_MESSAGE_BYTES, container_length_limit=1_000_000
)

# Fields of the union, by the names in idl/peer.thrift.
FIELDS = (
    "heartbeat",
    "domain_ping",
    "sync_request",
    "sync_reply",
    "handover",
    "acknowledgement",
    "completion",
    "view_changed",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """Encodes and decodes messages under the secret shared by all balancers."""

    secret: bytes

    def mac(self, payload: bytes) -> bytes:
        """Return the MAC of a payload."""
        digest = hashlib.blake2b(payload, digest_size=MAC_BYTES, key=self.secret)
        return digest.digest()

    def encode(self, field: str, message: typing.Any) -> bytes:
        """Return the datagram for one message."""
        payload: bytes = thrift.TSerialization.serialize(
            ttypes.Message(**{field: message}), PROTOCOL
        )
        datagram = ENVELOPE.pack(CONTROL_MAGIC, self.mac(payload)) + payload
        count(field, "sent", len(datagram))
        return datagram

    def decode(
        self, datagram: bytes
    ) -> result.Result[tuple[str, typing.Any], reasons.Reason]:
        """Return the field name and the message, or the reason to drop it."""
        if len(datagram) < ENVELOPE.size:
            return result.Failure(reasons.Reason.TRUNCATED)
        magic, mac = ENVELOPE.unpack_from(datagram)
        payload = datagram[ENVELOPE.size :]
        if magic != CONTROL_MAGIC:
            return result.Failure(reasons.Reason.MALFORMED)
        if not hmac.compare_digest(mac, self.mac(payload)):
            return result.Failure(reasons.Reason.BAD_MAC)
        try:
            union = thrift.TSerialization.deserialize(
                ttypes.Message(), payload, PROTOCOL
            )
            present = [name for name in FIELDS if getattr(union, name) is not None]
            if len(present) != 1:
                return result.Failure(reasons.Reason.MALFORMED)
            message = getattr(union, present[0])
            message.validate()
        except (
            thrift.Thrift.TException,
            thrift.protocol.TProtocol.TProtocolException,
            EOFError,
            ValueError,
            TypeError,
            MemoryError,
            OverflowError,
            IndexError,
        ):
            return result.Failure(reasons.Reason.MALFORMED)
        count(present[0], "received", len(datagram))
        return result.Success((present[0], message))


def count(field: str, direction: str, size: int) -> None:
    """Count one control message of `size` bytes."""
    labels = {"direction": direction, "message": field}
    metrics.CONTROL_MESSAGES.inc(labels)
    metrics.CONTROL_BYTES.add(labels, size)


async def send_stream(stream: anyio.abc.ByteSendStream, datagram: bytes) -> None:
    """Send one encoded message over TCP."""
    await stream.send(LENGTH.pack(len(datagram)) + datagram)


async def receive_stream(
    stream: anyio.streams.buffered.BufferedByteReceiveStream,
) -> bytes:
    """Return the next encoded message of a TCP connection.

    Raises
    ------
    ValueError
        If the length is above `MAX_MESSAGE_BYTES`.
    anyio.EndOfStream, anyio.IncompleteRead
        If the connection ends.
    """
    (length,) = LENGTH.unpack(await stream.receive_exactly(LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f"message of {length} bytes")
    return await stream.receive_exactly(length)


async def call(
    codec: Codec,
    address: tuple[str, int],
    field: str,
    message: typing.Any,
    timeout_s: float = CALL_TIMEOUT_S,
) -> result.Result[tuple[str, typing.Any], reasons.Reason]:
    """Send one message over TCP and return the answer."""
    with anyio.move_on_after(timeout_s):
        try:
            async with await anyio.connect_tcp(*address) as stream:
                await send_stream(stream, codec.encode(field, message))
                reader = anyio.streams.buffered.BufferedByteReceiveStream(stream)
                return codec.decode(await receive_stream(reader))
        except (
            OSError,
            ValueError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
        ):
            return result.Failure(reasons.Reason.NO_REPLY)
    return result.Failure(reasons.Reason.NO_REPLY)


def seal_relayed(codec: Codec, relayed: wire.Relayed) -> bytes:
    """Return the authenticated datagram for a relayed frame."""
    datagram = wire.encode_relayed(relayed)
    return datagram + codec.mac(datagram)


def open_relayed(
    codec: Codec, datagram: bytes
) -> result.Result[wire.Relayed, reasons.Reason]:
    """Return the relayed frame in a datagram, or the reason to drop it."""
    content, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
    decoded = wire.decode_relayed(content)
    if isinstance(decoded, result.Failure):
        return decoded
    if not hmac.compare_digest(mac, codec.mac(content)):
        return result.Failure(reasons.Reason.BAD_MAC)
    return decoded


def to_thrift(stored: objects.StoredObject) -> typing.Any:
    """Return an object of the platform as a message part."""
    text = "" if stored.value is None else json.dumps(stored.value, default=dict)
    return ttypes.StoredObject(
        stored.name, stored.version, stored.revision, text, stored.value is None
    )


def from_thrift(part: typing.Any) -> objects.StoredObject | None:
    """Return the object in a message part, None if it is malformed."""
    if part.removed:
        return objects.StoredObject(part.name, part.version, part.revision, None)
    try:
        value = json.loads(part.value)
    except ValueError:
        return None
    if not isinstance(value, dict):
        return None
    return objects.StoredObject(part.name, part.version, part.revision, value)


def signed(value: int) -> int:
    """Return an unsigned 64-bit id as the signed integer of a message."""
    return value - (1 << 64) if value >= 1 << 63 else value


def unsigned(value: int) -> int:
    """Return the unsigned 64-bit id for the signed integer of a message."""
    return value & 0xFFFFFFFFFFFFFFFF


def signed32(value: int) -> int:
    """Return an unsigned 32-bit id as the signed integer of a message."""
    return value - (1 << 32) if value >= 1 << 31 else value


def unsigned32(value: int) -> int:
    """Return the unsigned 32-bit id for the signed integer of a message."""
    return value & 0xFFFFFFFF
