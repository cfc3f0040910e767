"""Planned handover of a target from its owner to the next one."""

import math
import time
import typing

import anyio

from basilgate import clock, controlmessages, reasons, requestrecords, targetowner, wire
from peerproto import ttypes


def export_handover(
    owner: targetowner.TargetOwner, incarnation: int, epoch: int
) -> typing.Any:
    """Return the handover message with all that the next owner needs.

    Takes the queued requests out of the queue, so that none is forwarded here.

    Parameters
    ----------
    owner : targetowner.TargetOwner
        Owner to export.
    incarnation : int
        Incarnation of this host.
    epoch : int
        Epoch of this host's view.
    """
    queued = []
    for entry in list(owner.queue.waiting()):
        record = owner.records.get(entry.key)
        owner.queue.remove(entry.key)
        if record is not None and record.frame is not None:
            frame = wire.encode(record.frame)
            queued.append(ttypes.QueuedRequest(*record.caller, frame))
            del owner.records[entry.key]
    authority_ms = 0
    if anyio.current_time() < owner.authority_at < math.inf:
        left_s = owner.authority_at - anyio.current_time()
        authority_ms = clock.unix_ms() + int(left_s * 1000)
    former_host, former_incarnation = owner.previous_owner or ("", 0)
    return ttypes.Handover(
        host=owner.host,
        incarnation=incarnation,
        epoch=epoch,
        target=owner.target.id,
        records=[
            requestrecords.export_record(record, owner.host)
            for record in owner.records.values()
        ],
        queued=queued,
        flows=[
            ttypes.FlowEntry(controlmessages.signed(flow), expires)
            for flow, expires in owner.flows.items()
        ],
        authority_ms=authority_ms,
        incomplete_until_ms=owner.incomplete_until_ms,
        serial=time.time_ns(),
        former_host=former_host,
        former_incarnation=former_incarnation,
    )


async def apply_handover(owner: targetowner.TargetOwner, handover: typing.Any) -> None:
    """Apply the handover of a previous owner.

    The right to forward is applied only from the awaited host, or from one that may
    have been the owner since. Any other sender was the owner at an earlier time and
    repeats a handover whose answer was lost; it adds flows and requests only.
    """
    for exported in handover.records:
        apply_record(owner, requestrecords.import_record(exported))
    for flow_entry in handover.flows:
        flow = controlmessages.unsigned(flow_entry.flow)
        owner.flows[flow] = max(owner.flows.get(flow, 0), flow_entry.expires_ms)
    owner.applied_serials.add(handover.serial)
    # A host that skipped views may have been the owner until the view in which this
    # ownership started. A repeated handover of an earlier owner has an older epoch.
    sender_is_recent = handover.epoch >= owner.started_epoch and owner.awaiting_from
    if handover.host == owner.rights_from or sender_is_recent:
        apply_rights(owner, handover)
    for queued_request in handover.queued:
        frame = wire.decode(queued_request.frame).value_or(None)
        if frame is not None and frame.key not in owner.records:
            await owner.on_request(
                frame, (queued_request.caller_host, queued_request.caller_port)
            )
    owner.work_added.set()


def apply_record(owner: targetowner.TargetOwner, record: requestrecords.Record) -> None:
    """Store a record of the handover, unless the own record is further along.

    An own record is replaced only while its request is queued or waiting.
    """
    own_record = owner.records.get(record.key)
    if own_record is not None:
        if own_record.state not in (
            requestrecords.RecordState.QUEUED,
            requestrecords.RecordState.WAITING,
        ):
            return
        owner.queue.remove(own_record.key)
        record.caller = own_record.caller
    owner.records[record.key] = record
    if (
        record.state is requestrecords.RecordState.RUNNING
        and record.previous_owner != owner.host
    ):
        owner.previous_owner_running.add(record.key)


def apply_rights(owner: targetowner.TargetOwner, handover: typing.Any) -> None:
    """Set the right to forward as the previous owner had it.

    If the previous owner was itself awaiting a handover, this owner awaits it from
    the same host.
    """
    owner.previous_owner = None
    owner.awaiting_from = owner.rights_from = ""
    owner.authority_at = 0.0
    if handover.former_host:
        owner.previous_owner = (handover.former_host, handover.former_incarnation)
        owner.awaiting_from = owner.rights_from = handover.former_host
        owner.handover_deadline = anyio.current_time() + targetowner.HANDOVER_TIMEOUT_S
        owner.authority_at = math.inf
    elif handover.authority_ms:
        left_s = (handover.authority_ms - clock.unix_ms()) / 1000
        owner.authority_at = anyio.current_time() + left_s
    owner.incomplete_until_ms = handover.incomplete_until_ms


def apply_completion(owner: targetowner.TargetOwner, message: typing.Any) -> None:
    """Record the end of a request that a previous owner was still running."""
    flow = controlmessages.unsigned(message.flow)
    record = owner.records.get((flow, controlmessages.unsigned32(message.request)))
    if record is None or record.previous_owner != message.host:
        return
    if record.state is requestrecords.RecordState.RUNNING:
        owner.previous_owner_running.discard(record.key)
        record.state = requestrecords.RecordState(message.state)
        record.reason = reasons.from_code(message.reason)
    owner.work_added.set()


def previous_owner_lost(owner: targetowner.TargetOwner, host: str) -> None:
    """End the requests that were left at a host which is no longer a member.

    Their slots become free, and their outcomes unknown.
    """
    for record in owner.records.values():
        if record.previous_owner == host:
            owner.previous_owner_running.discard(record.key)
            if requestrecords.stays_at_previous_owner(record.state):
                record.state = requestrecords.RecordState.UNKNOWN
                record.reason = reasons.Reason.HOME_CHANGED
            record.previous_owner = ""
    owner.work_added.set()


async def resume(owner: targetowner.TargetOwner, handover: typing.Any) -> None:
    """Continue as the owner after a handover that nobody is known to have accepted.

    Queues again the requests that the handover took out of the queue.
    """
    owner.handed_over_to = ""
    for queued_request in handover.queued:
        frame = wire.decode(queued_request.frame).value_or(None)
        if frame is not None:
            await owner.on_request(
                frame, (queued_request.caller_host, queued_request.caller_port)
            )
    owner.work_added.set()
