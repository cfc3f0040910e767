"""The targets that this host owns, and their changes of ownership."""

import collections.abc
import math
import typing

import anyio
import anyio.abc
import logbook
from returns import result

from basilgate import (
    controlmessages,
    effectiveconfig,
    handovers,
    logs,
    membership,
    metrics,
    reasons,
    requestrecords,
    settings,
    slots,
    storedobjects,
    targetowner,
    wire,
)
from peerproto import ttypes

LOGGER = logbook.Logger("homes")

HANDOVER_RETRY_INTERVAL_S = 0.1
# Interval of checks for expired requests, handovers, and answers.
UPKEEP_INTERVAL_S = 0.25

# Sends a control message to a peer and returns the field and the message of its answer.
Call = collections.abc.Callable[
    [controlmessages.Codec, tuple[str, int], str, typing.Any],
    collections.abc.Awaitable[result.Result[tuple[str, typing.Any], reasons.Reason]],
]
OnStarted = collections.abc.Callable[[targetowner.TargetOwner], None]
ServeSlot = collections.abc.Callable[
    [targetowner.TargetOwner, int],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]

# Flags of the state in a `TargetLoad` of a heartbeat.
LOAD_HEALTHY = 1
LOAD_DRAINING = 2
LOAD_RAMPING = 4
# A target below this share of its weight is reported as ramping up.
RAMPING_BELOW_SHARE = 0.6


class OwnedTargets:
    """Starts, hands over, and ends the target owners of this host.

    Which targets the host owns follows from the domain view and the configuration.
    All methods run in the event loop's thread.

    Parameters
    ----------
    members : membership.Membership
        View and lease of this host.
    context : targetowner.Context
        Functions and limits of the balancer that each owner uses.
    codec : controlmessages.Codec
        Encodes control messages to other owners.
    """

    def __init__(
        self,
        members: membership.Membership,
        context: targetowner.Context,
        codec: controlmessages.Codec,
    ) -> None:
        self.members = members
        self.context = context
        self.codec = codec
        self.config = effectiveconfig.EffectiveConfig()
        # Owner of each target of this host, by target id.
        self.owners: dict[int, targetowner.TargetOwner] = {}
        # Owners that have lost their target but still run requests or keep answers,
        # by target id.
        self.departing: dict[int, list[targetowner.TargetOwner]] = {}
        # Those of them whose handover no new owner has accepted yet.
        self.handing_over: set[targetowner.TargetOwner] = set()
        # Member that owns each target of the domain, by target id.
        self.assignment: dict[int, storedobjects.Member] = {}
        # Runs the owners and handovers; None before the process has started.
        self.tasks: anyio.abc.TaskGroup | None = None
        self.incarnation = members.me.incarnation
        # Limit for the answers that all owners keep.
        self.answer_buffer_bytes: float = math.inf
        # Tests without sockets replace these two.
        self.call: Call = controlmessages.call
        self.serve_slot: ServeSlot = slots.serve
        # Called when an owner starts to run.
        self.on_started: OnStarted = lambda _: None

    # Queries.

    def loads(self) -> list[typing.Any]:
        """Return the `ttypes.TargetLoad` of each owned target, for heartbeats."""
        return [
            ttypes.TargetLoad(
                target=target_id,
                in_flight=min(owner.slots_in_use(), 32_767),
                queued=min(len(owner.queue), 32_767),
                flows=len(owner.flows),
                state=load_flags(owner),
                utilisation_permille=int(1_000 * owner.utilisation()),
            )
            for target_id, owner in self.owners.items()
        ]

    def is_idle(self) -> bool:
        """Return whether this host has no running request, kept answer, or handover.

        If the host announced that it leaves before its handover was accepted, the new
        owner could start without the records.
        """
        if self.handing_over:
            return False
        departing = [owner for owners in self.departing.values() for owner in owners]
        return all(owner.is_idle() for owner in [*self.owners.values(), *departing])

    # Changes of ownership.

    def reassign(self, config: effectiveconfig.EffectiveConfig) -> None:
        """Start, update, and hand over owners after a new view or configuration."""
        self.config = config
        if self.members.me.incarnation != self.incarnation:
            self.abandon_all()
        targets = {t.id: t for t in config.by_domain.get(self.members.domain, [])}
        for target_id, target in targets.items():
            member = self.members.owner_of(target_id)
            previous_owner = self.assignment.get(target_id)
            if member is None:
                continue
            self.assignment[target_id] = member
            if member != self.members.me:
                if target_id in self.owners:
                    self.start_handover(target_id)
            elif target_id in self.owners:
                self.owners[target_id].target = target
                self.update_rights(self.owners[target_id])
            else:
                self.start_owner(target, previous_owner)
        for target_id in [
            target_id for target_id in self.owners if target_id not in targets
        ]:
            # The configuration no longer has the target; running requests finish.
            self.retire(self.owners.pop(target_id))
            self.assignment.pop(target_id, None)
        self.check_previous_owners()

    def abandon_all(self) -> None:
        """Retire all owners after this host was removed from the view.

        It has joined again with a new incarnation.
        """
        self.incarnation = self.members.me.incarnation
        for owner in self.owners.values():
            owner.handed_over_to = "removed"
            self.retire(owner)
        self.owners.clear()

    def start_owner(
        self,
        target: effectiveconfig.Target,
        previous_owner: storedobjects.Member | None,
    ) -> None:
        """Start the owner of a target.

        `previous_owner` is the member that owned the target before, None if unknown.
        """
        service = self.config.services[target.service]
        owner = targetowner.TargetOwner(
            target, service, self.context, self.members.me.host
        )
        owner.running_at_earlier_owners = lambda: self.running_at_earlier_owners(owner)
        owner.started_epoch = self.members.epoch
        self.owners[target.id] = owner
        if previous_owner is not None and previous_owner != self.members.me:
            owner.previous_owner = (previous_owner.host, previous_owner.incarnation)
            owner.start_takeover(math.inf, previous_owner.host, complete=False)
        self.update_rights(owner)
        owner.log(
            "home_started",
            former=previous_owner.host if previous_owner is not None else "",
        )
        if self.tasks is not None:
            self.tasks.start_soon(self.run_owner, owner)

    def update_rights(self, owner: targetowner.TargetOwner) -> None:
        """Set from when a new owner may forward, by the state of the previous owner.

        While the previous owner is a member, its handover is awaited, unless the
        member counts as dead. After its removal from the view the takeover wait
        begins.
        """
        if owner.previous_owner is None:
            return
        host, incarnation = owner.previous_owner
        if self.members.may_return(host, incarnation):
            counts_as_dead = self.members.is_withheld(host)
            owner.start_takeover(
                math.inf, "" if counts_as_dead else host, complete=False
            )
        else:
            owner.previous_owner = None
            owner.start_takeover(
                anyio.current_time() + membership.TAKEOVER_WAIT_S, "", complete=False
            )
            owner.log("takeover", former=host)
            metrics.HANDOVERS.inc({"direction": "in", "outcome": "takeover"})

    def check_previous_owners(self) -> None:
        """End the requests that were left at hosts which are no longer members."""
        present = {host for host, _ in self.members.identities()}
        for owner in self.owners.values():
            hosts = {record.previous_owner for record in owner.records.values()}
            for host in hosts - present - {""}:
                handovers.previous_owner_lost(owner, host)

    async def run_owner(self, owner: targetowner.TargetOwner) -> None:
        """Run the slots and the upkeep of one owner until its scope is cancelled."""
        self.on_started(owner)
        with owner.scope:
            async with anyio.create_task_group() as tasks:
                for slot_number in range(owner.target.slots):
                    tasks.start_soon(self.serve_slot, owner, slot_number)
                while True:
                    self.check_handover_timeout(owner)
                    await owner.expire()
                    self.evict_answers()
                    await anyio.sleep(UPKEEP_INTERVAL_S)

    def evict_answers(self) -> None:
        """Drop the complete answers that expire first while all exceed the limit."""
        departing = [owner for owners in self.departing.values() for owner in owners]
        all_owners = [*self.owners.values(), *departing]
        excess_bytes = (
            sum(e.buffered_bytes for e in all_owners) - self.answer_buffer_bytes
        )
        if excess_bytes <= 0:
            return
        complete_answers = [
            (record.keep_until_ms, index, record)
            for index, owner in enumerate(all_owners)
            for record in owner.records.values()
            if record.answer is not None and record.answer.complete
        ]
        for _, index, record in sorted(complete_answers, key=lambda item: item[:2]):
            if excess_bytes <= 0:
                return
            owner = all_owners[index]
            bytes_before = owner.buffered_bytes
            owner.drop_answer(record)
            excess_bytes -= bytes_before - owner.buffered_bytes
            metrics.EVICTED.inc({"service": owner.service.name})

    def check_handover_timeout(self, owner: targetowner.TargetOwner) -> None:
        """Stop waiting for a handover that is overdue.

        The host that owned the target in an earlier view may have skipped that view
        and never have been the owner.
        """
        if owner.awaiting_from and anyio.current_time() >= owner.handover_deadline:
            owner.log("handover_missed", former=owner.awaiting_from)
            metrics.HANDOVERS.inc({"direction": "in", "outcome": "missed"})
            owner.previous_owner = None
            owner.start_takeover(anyio.current_time(), "", complete=False)

    def retire(self, owner: targetowner.TargetOwner) -> None:
        """Keep an owner that has lost its target until its last requests have ended."""
        self.departing.setdefault(owner.target.id, []).append(owner)
        if self.tasks is not None:
            self.tasks.start_soon(self.await_departing, owner)

    async def await_departing(self, owner: targetowner.TargetOwner) -> None:
        """Stop the slots of a departing owner once it is idle, and remove it."""
        while not owner.is_idle():
            await anyio.sleep(UPKEEP_INTERVAL_S)
        owner.scope.cancel()
        departing = self.departing.get(owner.target.id, [])
        if owner in departing:
            departing.remove(owner)
        if not departing:
            self.departing.pop(owner.target.id, None)

    def running_at_earlier_owners(self, owner: targetowner.TargetOwner) -> int:
        """Return how many requests run at earlier owners of the same target."""
        departing = self.departing.get(owner.target.id, [])
        return sum(len(other.running) for other in departing if other is not owner)

    def start_handover(self, target_id: int) -> None:
        """Stop forwarding to a target and start to send its handover."""
        owner = self.owners.pop(target_id)
        owner.handed_over_to = self.assignment[target_id].host
        handover = handovers.export_handover(
            owner, self.members.me.incarnation, self.members.epoch
        )
        self.departing.setdefault(target_id, []).append(owner)
        self.handing_over.add(owner)
        if self.tasks is not None:
            self.tasks.start_soon(self.send_handover, owner, handover)

    async def send_handover(
        self, owner: targetowner.TargetOwner, handover: typing.Any
    ) -> None:
        """Send a handover until the target's current owner accepts it.

        That owner may change meanwhile, and may be this host again.
        """
        target_id = owner.target.id
        # Member (host and incarnation) that may have accepted although no answer came.
        successor: tuple[str, int] | None = None
        while True:
            member = self.assignment.get(target_id)
            if member is None:
                break
            if member == self.members.me:
                self.handing_over.discard(owner)
                await self.resume_ownership(owner, handover, successor)
                return
            address = settings.split_address(member.peers)
            answer = await self.call(self.codec, address, "handover", handover)
            if accepted(answer):
                owner.handed_over_to = member.host
                owner.log("handed_over", to=member.host)
                metrics.HANDOVERS.inc({"direction": "out", "outcome": "accepted"})
                break
            if isinstance(answer, result.Failure):
                successor = (member.host, member.incarnation)
            metrics.HANDOVERS.inc({"direction": "out", "outcome": "retried"})
            await anyio.sleep(HANDOVER_RETRY_INTERVAL_S)
        self.handing_over.discard(owner)
        await self.await_departing(owner)

    async def resume_ownership(
        self,
        owner: targetowner.TargetOwner,
        handover: typing.Any,
        successor: tuple[str, int] | None,
    ) -> None:
        """Become the owner again after a handover without a known acceptance.

        A member that may have accepted it (`successor`) is treated as the previous
        owner: it may have run requests that this host has no records of.
        """
        target_id = owner.target.id
        departing = self.departing.get(target_id, [])
        if owner in departing:
            departing.remove(owner)
        replaced = self.owners.get(target_id)
        if replaced is not None:
            self.retire(replaced)
        self.owners[target_id] = owner
        if successor is not None:
            owner.previous_owner = successor
            owner.started_epoch = self.members.epoch
            owner.start_takeover(math.inf, successor[0], complete=False)
            self.update_rights(owner)
        await handovers.resume(owner, handover)

    async def on_handover(self, message: typing.Any) -> reasons.Reason:
        """Apply a previous owner's handover once; return NONE, or why it is refused."""
        if (message.host, message.incarnation) not in self.members.identities():
            return reasons.Reason.UNKNOWN_PEER
        owner = self.owners.get(message.target)
        if owner is None:
            return reasons.Reason.NO_HOME
        if message.serial not in owner.applied_serials:
            await handovers.apply_handover(owner, message)
            owner.log("handover_taken", former=message.host)
            metrics.HANDOVERS.inc({"direction": "in", "outcome": "accepted"})
        return reasons.Reason.NONE

    async def report(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> None:
        """Report to the new owner that a request left at this host has ended."""
        target_id = owner.target.id
        member = self.assignment.get(target_id)
        if member is None:
            return
        message = ttypes.Completion(
            host=self.members.me.host,
            incarnation=self.members.me.incarnation,
            target=target_id,
            flow=controlmessages.signed(record.flow),
            request=controlmessages.signed32(record.request),
            state=int(record.state),
            reason=int(record.reason),
        )
        if member == self.members.me:
            self.on_completion(message)
        elif self.tasks is not None:
            self.tasks.start_soon(self.send_completion, target_id, message)

    async def send_completion(self, target_id: int, message: typing.Any) -> None:
        """Send a completion up to 20 times, until the target's owner accepts it."""
        for _ in range(20):
            member = self.assignment.get(target_id)
            if member is None or member == self.members.me:
                return
            address = settings.split_address(member.peers)
            answer = await self.call(self.codec, address, "completion", message)
            if accepted(answer):
                return
            await anyio.sleep(HANDOVER_RETRY_INTERVAL_S)

    def on_completion(self, message: typing.Any) -> reasons.Reason:
        """Record the end of a request at a previous owner; return why it is refused."""
        owner = self.owners.get(message.target)
        if owner is None or owner.awaiting_from:
            return reasons.Reason.NO_HOME
        handovers.apply_completion(owner, message)
        return reasons.Reason.NONE

    # Frames.

    def previous_owner_of(self, target: int, frame: wire.Frame) -> str:
        """Return the host of the previous owner that keeps a request, empty if none."""
        owner = self.owners.get(target)
        record = owner.records.get(frame.key) if owner is not None else None
        return record.previous_owner if record is not None else ""

    async def on_left_frame(
        self, target: int, frame: wire.Frame, caller: wire.Address
    ) -> reasons.Reason:
        """Handle a frame about a request that a departing owner at this host keeps."""
        for owner in self.departing.get(target, []):
            if frame.key in owner.records:
                return await owner.on_frame(frame, caller)
        return reasons.Reason.NO_HOME


def load_flags(owner: targetowner.TargetOwner) -> int:
    """Return the flags of a target's state for heartbeats."""
    ramping = owner.monitor.share(anyio.current_time()) < RAMPING_BELOW_SHARE
    return (
        (LOAD_HEALTHY if owner.healthy else 0)
        | (LOAD_DRAINING if owner.target.leaving else 0)
        | (LOAD_RAMPING if ramping else 0)
    )


def accepted(answer: result.Result[tuple[str, typing.Any], reasons.Reason]) -> bool:
    """Return whether a peer answered a call and accepted its message."""
    if isinstance(answer, result.Failure):
        logs.event(
            LOGGER.debug, "peer_call_failed", reason=reasons.label(answer.failure())
        )
        return False
    field, message = answer.unwrap()
    return field == "acknowledgement" and bool(message.accepted)
