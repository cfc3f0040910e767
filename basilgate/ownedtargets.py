"""The targets that this host is home for, and their changes of hands."""

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

HANDOVER_RETRY_S = 0.1
UPKEEP_S = 0.25

Call = collections.abc.Callable[
    [controlmessages.Codec, tuple[str, int], str, typing.Any],
    collections.abc.Awaitable[result.Result[tuple[str, typing.Any], reasons.Reason]],
]
OnStarted = collections.abc.Callable[[targetowner.Home], None]
ServeSlot = collections.abc.Callable[
    [targetowner.Home, int], collections.abc.Coroutine[typing.Any, typing.Any, None]
]

LOAD_HEALTHY = 1
LOAD_DRAINING = 2
LOAD_RAMPING = 4
# A target below this share of its weight is reported as ramping up.
RAMPING_BELOW = 0.6


class Homes:
    """Homes at this host, kept in step with the domain view.

    Parameters
    ----------
    members : membership.Membership
        View and lease of this host.
    context : targetowner.Context
        What each home needs of the balancer.
    codec : controlmessages.Codec
        Encoding of control messages.
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
        self.homes: dict[int, targetowner.Home] = {}
        # Homes handed over whose last requests still run here.
        self.departing: dict[int, list[targetowner.Home]] = {}
        # Handovers that no new home has taken yet.
        self.handing_over: set[targetowner.Home] = set()
        self.assignment: dict[int, storedobjects.Member] = {}
        self.tasks: anyio.abc.TaskGroup | None = None
        self.incarnation = members.me.incarnation
        self.answer_buffer_bytes: float = math.inf
        # Replaced in tests that use no sockets.
        self.call: Call = controlmessages.call
        self.serve_slot: ServeSlot = slots.serve
        self.on_started: OnStarted = lambda _: None

    # Queries.

    def loads(self) -> list[typing.Any]:
        """Return the load of each target of this host for heartbeats."""
        return [
            ttypes.TargetLoad(
                target=number,
                in_flight=min(entry.slots_in_use(), 32_767),
                queued=min(len(entry.queue), 32_767),
                flows=len(entry.flows),
                state=load_state(entry),
                utilisation_permille=int(1_000 * entry.utilisation()),
            )
            for number, entry in self.homes.items()
        ]

    def is_idle(self) -> bool:
        """Tell whether no request runs here, and no answer or handover is left.

        A host that announced its end before a handover was taken would let the new
        home start without its records.
        """
        if self.handing_over:
            return False
        leaving = [entry for group in self.departing.values() for entry in group]
        return all(entry.is_idle() for entry in [*self.homes.values(), *leaving])

    # Changes of hands.

    def reassign(self, config: effectiveconfig.EffectiveConfig) -> None:
        """Start and hand over homes after a change of view or configuration."""
        self.config = config
        if self.members.me.incarnation != self.incarnation:
            self.abandon()
        targets = {t.id: t for t in config.by_domain.get(self.members.domain, [])}
        for number, target in targets.items():
            member = self.members.home_of(number)
            former = self.assignment.get(number)
            if member is None:
                continue
            self.assignment[number] = member
            if member != self.members.me:
                if number in self.homes:
                    self.hand_over(number)
            elif number in self.homes:
                self.homes[number].target = target
                self.update_rights(self.homes[number])
            else:
                self.start_home(target, former)
        for number in [number for number in self.homes if number not in targets]:
            # The sheet no longer has the target; its requests run to their end.
            self.retire(self.homes.pop(number))
            self.assignment.pop(number, None)
        self.check_formers()

    def abandon(self) -> None:
        """Give up all homes after this host was removed from the view."""
        self.incarnation = self.members.me.incarnation
        for entry in self.homes.values():
            entry.handed_over_to = "removed"
            self.retire(entry)
        self.homes.clear()

    def start_home(
        self, target: effectiveconfig.Target, former: storedobjects.Member | None
    ) -> None:
        """Become the home of a target."""
        service = self.config.services[target.service]
        entry = targetowner.Home(target, service, self.context, self.members.me.host)
        entry.left_running = lambda: self.left_running(entry)
        entry.started_epoch = self.members.epoch
        self.homes[target.id] = entry
        if former is not None and former != self.members.me:
            entry.former = (former.host, former.incarnation)
            entry.takeover(math.inf, former.host, complete=False)
        self.update_rights(entry)
        entry.log("home_started", former=former.host if former is not None else "")
        if self.tasks is not None:
            self.tasks.start_soon(self.run_home, entry)

    def update_rights(self, entry: targetowner.Home) -> None:
        """Set what a new home may do, by what is known of the former one."""
        if entry.former is None:
            return
        host, incarnation = entry.former
        if self.members.may_return(host, incarnation):
            silent = self.members.is_withheld(host)
            entry.takeover(math.inf, "" if silent else host, complete=False)
        else:
            entry.former = None
            entry.takeover(
                anyio.current_time() + membership.TAKEOVER_WAIT_S, "", complete=False
            )
            entry.log("takeover", former=host)
            metrics.HANDOVERS.inc({"direction": "in", "outcome": "takeover"})

    def check_formers(self) -> None:
        """Give up requests left at former homes that have died."""
        present = {host for host, _ in self.members.identities()}
        for entry in self.homes.values():
            hosts = {record.former for record in entry.records.values()}
            for host in hosts - present - {""}:
                handovers.former_lost(entry, host)

    async def run_home(self, entry: targetowner.Home) -> None:
        """Run the slots and the upkeep of one home until it is retired."""
        self.on_started(entry)
        with entry.scope:
            async with anyio.create_task_group() as tasks:
                for number in range(entry.target.slots):
                    tasks.start_soon(self.serve_slot, entry, number)
                while True:
                    self.check_handover(entry)
                    await entry.expire()
                    self.evict_answers()
                    await anyio.sleep(UPKEEP_S)

    def evict_answers(self) -> None:
        """Drop the answers that expire first while all together take too much."""
        leaving = [entry for group in self.departing.values() for entry in group]
        entries = [*self.homes.values(), *leaving]
        excess = sum(e.buffered_bytes for e in entries) - self.answer_buffer_bytes
        if excess <= 0:
            return
        kept = [
            (record.keep_until_ms, number, record)
            for number, entry in enumerate(entries)
            for record in entry.records.values()
            if record.answer is not None and record.answer.complete
        ]
        for _, number, record in sorted(kept, key=lambda found: found[:2]):
            if excess <= 0:
                return
            entry = entries[number]
            before = entry.buffered_bytes
            entry.drop_answer(record)
            excess -= before - entry.buffered_bytes
            metrics.EVICTED.inc({"service": entry.service.name})

    def check_handover(self, entry: targetowner.Home) -> None:
        """Go on without a handover that does not come.

        The host that was home under an earlier view may have skipped it, and never
        have been the home.
        """
        if entry.awaiting_from and anyio.current_time() >= entry.await_until:
            entry.log("handover_missed", former=entry.awaiting_from)
            metrics.HANDOVERS.inc({"direction": "in", "outcome": "missed"})
            entry.former = None
            entry.takeover(anyio.current_time(), "", complete=False)

    def retire(self, entry: targetowner.Home) -> None:
        """Let a home end once its last requests are answered."""
        self.departing.setdefault(entry.target.id, []).append(entry)
        if self.tasks is not None:
            self.tasks.start_soon(self.finish_departing, entry)

    async def finish_departing(self, entry: targetowner.Home) -> None:
        """Wait for the last requests of a home that was handed over."""
        while not entry.is_idle():
            await anyio.sleep(UPKEEP_S)
        entry.scope.cancel()
        group = self.departing.get(entry.target.id, [])
        if entry in group:
            group.remove(entry)
        if not group:
            self.departing.pop(entry.target.id, None)

    def left_running(self, entry: targetowner.Home) -> int:
        """Return the requests of a target that run at earlier homes of this host."""
        departing = self.departing.get(entry.target.id, [])
        return sum(len(other.running) for other in departing if other is not entry)

    def hand_over(self, number: int) -> None:
        """Start to hand a target to its new home."""
        entry = self.homes.pop(number)
        entry.handed_over_to = self.assignment[number].host
        handover = handovers.export(
            entry, self.members.me.incarnation, self.members.epoch
        )
        self.departing.setdefault(number, []).append(entry)
        self.handing_over.add(entry)
        if self.tasks is not None:
            self.tasks.start_soon(self.send_handover, entry, handover)

    async def send_handover(
        self, entry: targetowner.Home, handover: typing.Any
    ) -> None:
        """Give a target's records to its new home, whichever that is by now."""
        number = entry.target.id
        # Member that may have taken the handover although its answer was lost.
        heir: tuple[str, int] | None = None
        while True:
            member = self.assignment.get(number)
            if member is None:
                break
            if member == self.members.me:
                self.handing_over.discard(entry)
                await self.take_back(entry, handover, heir)
                return
            address = settings.split_address(member.peers)
            answer = await self.call(self.codec, address, "handover", handover)
            if accepted(answer):
                entry.handed_over_to = member.host
                entry.log("handed_over", to=member.host)
                metrics.HANDOVERS.inc({"direction": "out", "outcome": "accepted"})
                break
            if isinstance(answer, result.Failure):
                heir = (member.host, member.incarnation)
            metrics.HANDOVERS.inc({"direction": "out", "outcome": "retried"})
            await anyio.sleep(HANDOVER_RETRY_S)
        self.handing_over.discard(entry)
        await self.finish_departing(entry)

    async def take_back(
        self,
        entry: targetowner.Home,
        handover: typing.Any,
        heir: tuple[str, int] | None,
    ) -> None:
        """Become the home again before the handover was known to be taken.

        A member that may have taken it is treated as the former home: it may have
        run requests that this host has no records of.
        """
        number = entry.target.id
        group = self.departing.get(number, [])
        if entry in group:
            group.remove(entry)
        replaced = self.homes.get(number)
        if replaced is not None:
            self.retire(replaced)
        self.homes[number] = entry
        if heir is not None:
            entry.former = heir
            entry.started_epoch = self.members.epoch
            entry.takeover(math.inf, heir[0], complete=False)
            self.update_rights(entry)
        await handovers.resume(entry, handover)

    async def on_handover(self, message: typing.Any) -> reasons.Reason:
        """Take over a target from its former home; a reason refuses it."""
        if (message.host, message.incarnation) not in self.members.identities():
            return reasons.Reason.UNKNOWN_PEER
        entry = self.homes.get(message.target)
        if entry is None:
            return reasons.Reason.NO_HOME
        if message.serial not in entry.loaded:
            await handovers.load(entry, message)
            entry.log("handover_taken", former=message.host)
            metrics.HANDOVERS.inc({"direction": "in", "outcome": "accepted"})
        return reasons.Reason.NONE

    async def report(
        self, entry: targetowner.Home, record: requestrecords.Record
    ) -> None:
        """Tell the new home that a request left here has ended."""
        number = entry.target.id
        member = self.assignment.get(number)
        if member is None:
            return
        message = ttypes.Completion(
            host=self.members.me.host,
            incarnation=self.members.me.incarnation,
            target=number,
            flow=controlmessages.signed(record.flow),
            request=controlmessages.signed32(record.request),
            state=int(record.state),
            reason=int(record.reason),
        )
        if member == self.members.me:
            self.on_completion(message)
        elif self.tasks is not None:
            self.tasks.start_soon(self.send_completion, number, message)

    async def send_completion(self, number: int, message: typing.Any) -> None:
        """Send a completion until the target's home has taken it."""
        for _ in range(20):
            member = self.assignment.get(number)
            if member is None or member == self.members.me:
                return
            address = settings.split_address(member.peers)
            answer = await self.call(self.codec, address, "completion", message)
            if accepted(answer):
                return
            await anyio.sleep(HANDOVER_RETRY_S)

    def on_completion(self, message: typing.Any) -> reasons.Reason:
        """Take in the end of a request that a former home was running."""
        entry = self.homes.get(message.target)
        if entry is None or entry.awaiting_from:
            return reasons.Reason.NO_HOME
        handovers.on_completion(entry, message)
        return reasons.Reason.NONE

    # Frames.

    def former_of(self, target: int, frame: wire.Frame) -> str:
        """Return the former home that still has a request, empty if none."""
        entry = self.homes.get(target)
        record = entry.records.get(frame.key) if entry is not None else None
        return record.former if record is not None else ""

    async def on_left_frame(
        self, target: int, frame: wire.Frame, caller: wire.Address
    ) -> reasons.Reason:
        """Handle a frame about a request that was left at this former home."""
        for entry in self.departing.get(target, []):
            if frame.key in entry.records:
                return await entry.on_frame(frame, caller)
        return reasons.Reason.NO_HOME


def load_state(entry: targetowner.Home) -> int:
    """Return the flags of a target's load in heartbeats."""
    ramping = entry.monitor.share(anyio.current_time()) < RAMPING_BELOW
    return (
        (LOAD_HEALTHY if entry.healthy else 0)
        | (LOAD_DRAINING if entry.target.leaving else 0)
        | (LOAD_RAMPING if ramping else 0)
    )


def accepted(answer: result.Result[tuple[str, typing.Any], reasons.Reason]) -> bool:
    """Tell whether a peer accepted a message."""
    if isinstance(answer, result.Failure):
        logs.event(
            LOGGER.debug, "peer_call_failed", reason=reasons.label(answer.failure())
        )
        return False
    field, message = answer.unwrap()
    return field == "acknowledgement" and bool(message.accepted)
