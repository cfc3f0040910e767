"""Gauges of the state of a balancer, and the delay of its event loop."""

import collections
import collections.abc
import os
import pathlib
import time
import typing

import anyio

from basilgate import (
    effectiveconfig,
    membership,
    metrics,
    ownedtargets,
    targetowner,
    wire,
)

STATM = pathlib.Path("/proc/self/statm")
STARTED_S = time.time()
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

TICK_S = 0.1
# Lag is reported for this time, so that a scrape every few seconds sees it.
LAG_KEPT_S = 10.0

STATES = ("serving", "awaiting_handover", "takeover_wait", "no_lease", "departing")


class LoopClock:
    """Measures how late the event loop runs what is due."""

    def __init__(self) -> None:
        self.due_at = anyio.current_time()
        # Monotonic time and lag in seconds of the ticks within `LAG_KEPT_S`.
        self.lags: collections.deque[tuple[float, float]] = collections.deque()

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self.due_at = anyio.current_time() + TICK_S
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            lag = max(0.0, now - self.due_at)
            # An earlier, smaller lag cannot be the longest one again.
            while self.lags and self.lags[-1][1] <= lag:
                self.lags.pop()
            self.lags.append((now, lag))

    def lag_s(self) -> float:
        """Return the longest lag in the last seconds, the present one included."""
        now = anyio.current_time()
        while self.lags and self.lags[0][0] < now - LAG_KEPT_S:
            self.lags.popleft()
        longest = self.lags[0][1] if self.lags else 0.0
        return max(longest, now - self.due_at)


def state_of(owner: targetowner.TargetOwner) -> str:
    """Return the name of the state of a home, one of `STATES`."""
    if owner.handed_over_to:
        return "departing"
    if owner.awaiting_from:
        return "awaiting_handover"
    if anyio.current_time() < owner.authority_at:
        return "takeover_wait"
    return "serving" if owner.has_authority() else "no_lease"


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(STATM.read_text(encoding="ascii").split()[1]) * PAGE_BYTES


def refresh(
    members: membership.Membership,
    targets: ownedtargets.OwnedTargets,
    config: effectiveconfig.EffectiveConfig,
    clock: LoopClock,
) -> None:
    """Bring all gauges up to date; a service without homes here reads 0."""
    lease_left_s = members.lease_until() - anyio.current_time()
    metrics.LEASE_LEFT.set({}, max(0.0, lease_left_s))
    departing = [owner for group in targets.departing.values() for owner in group]
    entries = [*targets.owners.values(), *departing]
    states = collections.Counter(state_of(owner) for owner in targets.owners.values())
    states["departing"] += len(departing)
    for state in STATES:
        metrics.HOMES.set({"state": state}, states[state])
    names = [service.name for service in config.services.values()]
    set_sums(metrics.RUNNING, names, entries, lambda owner: len(owner.running))
    set_sums(metrics.FLOWS, names, entries, lambda owner: len(owner.flows))
    set_sums(metrics.BUFFERED, names, entries, lambda owner: owner.buffered_bytes)
    queued = collections.Counter(
        (owner.service.name, waiting.work_class)
        for owner in entries
        for waiting in owner.queue.waiting()
    )
    for name in names:
        for work_class in wire.WorkClass:
            labels = {"service": name, "work_class": work_class.name.lower()}
            metrics.QUEUED.set(labels, queued[(name, work_class)])
    metrics.LOOP_LAG.set({}, clock.lag_s())
    metrics.RESIDENT.set({}, resident_bytes())
    metrics.CPU.set({}, time.process_time())
    metrics.START_TIME.set({}, STARTED_S)


def set_sums(
    gauge: typing.Any,
    names: list[str],
    entries: list[targetowner.TargetOwner],
    measure: collections.abc.Callable[[targetowner.TargetOwner], int],
) -> None:
    """Set a gauge to the sum over the homes of each service."""
    sums: collections.Counter[str] = collections.Counter()
    for owner in entries:
        sums[owner.service.name] += measure(owner)
    for name in names:
        gauge.set({"service": name}, sums[name])
