"""Updates the gauges of a balancer, and measures the lag of its event loop."""

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

MEMORY_USE_FILE = pathlib.Path("/proc/self/statm")
START_TIME_S = time.time()  # Unix time; the module is imported at process start.
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

MEASURING_INTERVAL_S = 0.1
# The longest lag in this window is reported, so that a scrape every few seconds
# does not miss a short one.
LAG_WINDOW_S = 10.0

# Values of the label `state` of the metric `basilgate_homes`.
OWNERSHIP_STATES = (
    "serving",
    "awaiting_handover",
    "takeover_wait",
    "no_lease",
    "departing",
)


class LoopClock:
    """Measures how late the event loop resumes a sleeping task.

    `run` must run as a task of that loop. `lag_s` may be called while the loop is
    late, as the lag of the present measurement counts as well.
    """

    def __init__(self) -> None:
        # Monotonic time in seconds at which `run` should resume.
        self.due_at = anyio.current_time()
        # Monotonic time and lag in seconds of measurements within `LAG_WINDOW_S`, in
        # falling order of lag: the first is the longest.
        self.lags: collections.deque[tuple[float, float]] = collections.deque()

    async def run(self) -> None:
        """Measure the lag every `MEASURING_INTERVAL_S` until cancelled."""
        while True:
            self.due_at = anyio.current_time() + MEASURING_INTERVAL_S
            await anyio.sleep(MEASURING_INTERVAL_S)
            now = anyio.current_time()
            lag = max(0.0, now - self.due_at)
            # Drops earlier lags that are not longer: this one outlasts them in the
            # window, so they can no longer be the longest.
            while self.lags and self.lags[-1][1] <= lag:
                self.lags.pop()
            self.lags.append((now, lag))

    def lag_s(self) -> float:
        """Return the longest lag in seconds of the window and of the present wait."""
        now = anyio.current_time()
        while self.lags and self.lags[0][0] < now - LAG_WINDOW_S:
            self.lags.popleft()
        longest = self.lags[0][1] if self.lags else 0.0
        return max(longest, now - self.due_at)


def ownership_state(owner: targetowner.TargetOwner) -> str:
    """Return the state of a target at its owner, one of `OWNERSHIP_STATES`."""
    if owner.handed_over_to:
        return "departing"
    if owner.awaiting_from:
        return "awaiting_handover"
    if anyio.current_time() < owner.authority_at:
        return "takeover_wait"
    return "serving" if owner.has_authority() else "no_lease"


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    return int(MEMORY_USE_FILE.read_text(encoding="ascii").split()[1]) * PAGE_BYTES


def refresh(
    members: membership.Membership,
    owned_targets: ownedtargets.OwnedTargets,
    config: effectiveconfig.EffectiveConfig,
    loop_clock: LoopClock,
) -> None:
    """Set all gauges to the present state of the host.

    Services of which this host owns no target are set to 0.

    Parameters
    ----------
    members : membership.Membership
        Source of the time until which the host's lease runs.
    owned_targets : ownedtargets.OwnedTargets
        Targets of this host, whose flows and requests are counted.
    config : effectiveconfig.EffectiveConfig
        Source of the services to report.
    loop_clock : LoopClock
        Source of the event loop's lag.
    """
    lease_left_s = members.lease_until() - anyio.current_time()
    metrics.LEASE_LEFT.set({}, max(0.0, lease_left_s))
    departing = [owner for group in owned_targets.departing.values() for owner in group]
    owners = [*owned_targets.owners.values(), *departing]
    states = collections.Counter(
        ownership_state(owner) for owner in owned_targets.owners.values()
    )
    states["departing"] += len(departing)
    for state in OWNERSHIP_STATES:
        metrics.HOMES.set({"state": state}, states[state])
    service_names = [service.name for service in config.services.values()]
    set_service_sums(
        metrics.RUNNING, service_names, owners, lambda owner: len(owner.running)
    )
    set_service_sums(
        metrics.FLOWS, service_names, owners, lambda owner: len(owner.flows)
    )
    set_service_sums(
        metrics.BUFFERED, service_names, owners, lambda owner: owner.buffered_bytes
    )
    queued = collections.Counter(
        (owner.service.name, request.work_class)
        for owner in owners
        for request in owner.queue.waiting()
    )
    for service_name in service_names:
        for work_class in wire.WorkClass:
            labels = {"service": service_name, "work_class": work_class.name.lower()}
            metrics.QUEUED.set(labels, queued[(service_name, work_class)])
    metrics.LOOP_LAG.set({}, loop_clock.lag_s())
    metrics.RESIDENT.set({}, resident_bytes())
    metrics.CPU.set({}, time.process_time())
    metrics.START_TIME.set({}, START_TIME_S)


def set_service_sums(
    gauge: typing.Any,
    service_names: list[str],
    owners: list[targetowner.TargetOwner],
    value_of: collections.abc.Callable[[targetowner.TargetOwner], int],
) -> None:
    """Set a gauge, for each service, to the sum over the service's owned targets."""
    sums: collections.Counter[str] = collections.Counter()
    for owner in owners:
        sums[owner.service.name] += value_of(owner)
    for service_name in service_names:
        gauge.set({"service": service_name}, sums[service_name])
