"""Slot connections: one task for each TCP connection from an owner to its target."""

import dataclasses

import anyio
import anyio.abc
import anyio.streams.buffered
import anyio.streams.memory
import logbook
from returns import result

from basilgate import logs, reasons, requestrecords, targetowner, wire

LOGGER = logbook.Logger("slots")

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.2
# A target that has not answered a CANCEL frame by then loses its connection.
CANCEL_GRACE_S = 1.0
# Frames of a target that wait in memory for the task that handles them.
MAX_BUFFERED_FRAMES = 64


@dataclasses.dataclass(slots=True)
class Slot:
    """One connection to a target, which runs one request at a time.

    Attributes
    ----------
    number : int
        Index of the slot at its target, from 0.
    stream : anyio.abc.ByteStream
        TCP connection; frames to the target are written to it.
    frames : MemoryObjectReceiveStream of wire.Frame
        Decoded frames from the target; ends with the connection.
    """

    owner: targetowner.TargetOwner
    number: int
    stream: anyio.abc.ByteStream
    frames: anyio.streams.memory.MemoryObjectReceiveStream[wire.Frame]


async def serve(owner: targetowner.TargetOwner, number: int) -> None:
    """Keep one slot connected and run requests on it until the task is cancelled."""
    while True:
        stream = await connect(owner)
        if stream is not None:
            owner.connected_slots += 1
            try:
                await serve_connection(owner, number, stream)
            finally:
                owner.connected_slots -= 1
        await anyio.sleep(RECONNECT_PAUSE_S)


async def connect(owner: targetowner.TargetOwner) -> anyio.abc.ByteStream | None:
    """Connect to the target; return None on an error or a timeout."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp(*owner.target.address)
    except (OSError, TimeoutError):
        return None


async def serve_connection(
    owner: targetowner.TargetOwner, number: int, stream: anyio.abc.ByteStream
) -> None:
    """Run requests on one connection until it ends."""
    sender, receiver = anyio.create_memory_object_stream[wire.Frame](
        MAX_BUFFERED_FRAMES
    )
    slot = Slot(owner, number, stream, receiver)
    async with stream, receiver, anyio.create_task_group() as tasks:
        tasks.start_soon(read_frames, stream, sender, tasks.cancel_scope, slot)
        while True:
            record = await owner.next_work()
            with anyio.CancelScope(shield=True):
                if not await run_request(slot, record):
                    break
        tasks.cancel_scope.cancel()


async def read_frames(
    stream: anyio.abc.ByteStream,
    sender: anyio.streams.memory.MemoryObjectSendStream[wire.Frame],
    connection_scope: anyio.CancelScope,
    slot: Slot,
) -> None:
    """Decode the frames of a target and queue them for `receive_outcome`.

    Stops at a malformed frame or the end of the connection, and then cancels
    `connection_scope`, in which the connection waits for its next request.
    """
    reader = anyio.streams.buffered.BufferedByteReceiveStream(stream)
    async with sender:
        try:
            while True:
                prefix = await reader.receive_exactly(wire.LENGTH_PREFIX.size)
                (length,) = wire.LENGTH_PREFIX.unpack(prefix)
                if length > wire.MAX_FRAME_BYTES:
                    break
                decoded = wire.decode(await reader.receive_exactly(length))
                if isinstance(decoded, result.Failure):
                    break
                await sender.send(decoded.unwrap())
        except (
            OSError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass
    logs.event(LOGGER.debug, "slot_closed", target=slot.owner.target.name)
    connection_scope.cancel()


async def send(slot: Slot, frame: wire.Frame) -> bool:
    """Send one frame to the target; return False if the connection has ended."""
    encoded = wire.encode(frame)
    try:
        await slot.stream.send(wire.LENGTH_PREFIX.pack(len(encoded)) + encoded)
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return False
    return True


async def run_request(slot: Slot, record: requestrecords.Record) -> bool:
    """Forward one request and handle its outcome; return False to reconnect."""
    owner = slot.owner
    if not record.idempotent and not owner.has_authority():
        # The lease expired after the request was chosen; nothing was sent.
        owner.release(record)
        record.state = requestrecords.RecordState.QUEUED
        await owner.enqueue(record)
        return True
    if not await send(slot, owner.prepare_forward(record)):
        await handle_connection_lost(owner, record)
        return False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_when_due, slot, record)
        usable = await receive_outcome(slot, record)
        tasks.cancel_scope.cancel()
    return usable


async def cancel_when_due(slot: Slot, record: requestrecords.Record) -> None:
    """Cancel a running request when its caller cancels it or its deadline passes."""
    left_s = record.deadline_ms / 1000 - targetowner.now_ms() / 1000
    with anyio.move_on_after(left_s):
        await record.cancel.wait()
    await send(slot, slot.owner.make_frame(record, wire.Kind.CANCEL))
    await anyio.sleep(CANCEL_GRACE_S)
    # The target ignored the CANCEL frame: close the connection to stop the work.
    await slot.stream.aclose()


async def receive_outcome(slot: Slot, record: requestrecords.Record) -> bool:
    """Handle frames of the target until the request ends.

    Returns False if the connection can no longer be used: it ended, the answer was
    too large, or the target broke the protocol.
    """
    owner = slot.owner
    while True:
        try:
            frame = await slot.frames.receive()
        except anyio.EndOfStream:
            await handle_connection_lost(owner, record)
            return False
        if frame.key != record.key:
            # Late frame of an earlier request on this connection.
            continue
        if frame.kind is wire.Kind.ANSWER:
            problem = owner.check_piece(record, frame)
            if problem is reasons.Reason.ANSWER_TOO_LARGE:
                await owner.finish(record, requestrecords.RecordState.UNKNOWN, problem)
                return False
            if problem is not reasons.Reason.NONE:
                await handle_connection_lost(owner, record)
                return False
            if await owner.on_piece(record, frame):
                await owner.finish(record, requestrecords.RecordState.ANSWERED)
                return True
        elif frame.kind is wire.Kind.SHED:
            record.forwarded = record.forward_count > 1
            await handle_not_started(owner, record, reasons.from_code(frame.reason))
            return True
        elif frame.kind is wire.Kind.CANCELLED:
            await handle_cancelled(owner, record, bool(frame.flags & wire.FLAG_STARTED))
            return True
        else:
            await handle_connection_lost(owner, record)
            return False


async def handle_cancelled(
    owner: targetowner.TargetOwner, record: requestrecords.Record, started: bool
) -> None:
    """End a request that the target reports as cancelled.

    `started` is whether the target had started it: its outcome is then unknown.
    """
    by_caller = record.cancel.is_set()
    if started:
        after_start = reasons.Reason.CANCELLED_AFTER_START
        reason = after_start if by_caller else reasons.Reason.DEADLINE_PASSED
        await owner.finish(record, requestrecords.RecordState.UNKNOWN, reason)
    else:
        record.forwarded = record.forward_count > 1
        reason = (
            reasons.Reason.CANCELLED if by_caller else reasons.Reason.DEADLINE_PASSED
        )
        await owner.refuse(record, reason)


async def handle_not_started(
    owner: targetowner.TargetOwner,
    record: requestrecords.Record,
    reason: reasons.Reason,
) -> None:
    """Retry a request that the target did not start, or end it with `reason`."""
    reported = (
        reason if reason is not reasons.Reason.NONE else reasons.Reason.SHED_BY_TARGET
    )
    owner.end_run(record, requestrecords.RecordState.REFUSED, reported)
    if record.idempotent:
        problem = await owner.context.retry(owner, record)
        if problem is reasons.Reason.NONE:
            return
        if problem is reasons.Reason.RETRY_BUDGET:
            reported = problem
    await owner.refuse(record, reported)


async def handle_connection_lost(
    owner: targetowner.TargetOwner, record: requestrecords.Record
) -> None:
    """Retry a request whose connection failed, or end it as unknown.

    Only idempotent requests without an answer piece are retried.
    """
    reason = reasons.Reason.TARGET_CONNECTION_LOST
    owner.end_run(record, requestrecords.RecordState.UNKNOWN, reason)
    if record.idempotent and record.answer is None:
        problem = await owner.context.retry(owner, record)
        if problem is reasons.Reason.NONE:
            return
        if problem is reasons.Reason.RETRY_BUDGET:
            reason = problem
    await owner.finish(record, requestrecords.RecordState.UNKNOWN, reason)
