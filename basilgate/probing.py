"""Probes of the targets' health and load endpoints, and detection of frozen targets."""

import contextlib
import random

import anyio
import httpx
import logbook

from basilgate import logs, metrics, requestrecords, targetowner, wire

LOGGER = logbook.Logger("health")

PROBE_INTERVAL_S = 1.0
# Largest relative deviation of an interval, so that probes of many targets do not
# coincide.
PROBE_JITTER = 0.2
PROBE_TIMEOUT_S = 0.8
# The load endpoint is read with one of this many probes, since its figures lag by
# seconds anyway.
PROBES_PER_LOAD_READ = 4
# A target is frozen if nothing that it runs was answered for FROZEN_S, and for
# FROZEN_RATIO times the usual time of that work.
FROZEN_S = 2.0
FROZEN_RATIO = 10.0
# Usual time that is assumed for work of which none has ended yet. With FROZEN_RATIO, a
# slow first request, which takes some seconds, does not make its target look frozen.
DEFAULT_SERVICE_TIME_S = 1.0
MAX_BUSY_SLOTS = 1_000_000  # A report of more busy slots counts as none.


def is_frozen(owner: targetowner.TargetOwner, now: float) -> bool:
    """Return whether a target leaves all that it runs unanswered for too long.

    While slots are free, unanswered requests are no evidence unless probes fail too.

    Parameters
    ----------
    owner : targetowner.TargetOwner
        Owner of the target.
    now : float
        Monotonic time in seconds.
    """
    running = list(owner.running.values())
    if now - owner.monitor.last_good_at < FROZEN_S:
        return False
    if len(running) < owner.target.slots and not owner.monitor.probe_failures:
        return False

    def is_overdue(record: requestrecords.Record) -> bool:
        usual_s = usual_time_s(owner, record.work_class)
        silent_s = now - max(record.started_at, record.progress_at)
        return silent_s > max(FROZEN_S, FROZEN_RATIO * usual_s)

    return bool(running) and all(is_overdue(record) for record in running)


def usual_time_s(owner: targetowner.TargetOwner, work_class: wire.WorkClass) -> float:
    """Return the usual time in seconds that a request of a class holds a slot.

    It is the time measured at the target, or else, for work that is not long, that of
    the quickest work of the service, or else `DEFAULT_SERVICE_TIME_S`.
    """
    target_s = owner.admission.service_s(work_class)
    quickest_s = owner.learner.quickest.value
    if target_s or work_class is wire.WorkClass.LONG or not quickest_s:
        return target_s or DEFAULT_SERVICE_TIME_S
    return quickest_s


def update_health(owner: targetowner.TargetOwner) -> None:
    """Eject or reinstate an owned target by the evidence, and log a change."""
    now = anyio.current_time()
    healthy = owner.monitor.update(
        now, is_frozen(owner, now), owner.connected_slots == 0
    )
    if healthy != owner.healthy:
        owner.healthy = healthy
        cause = owner.monitor.ejection_cause.value
        logs.event(
            LOGGER.notice,
            "target_reinstated" if healthy else "target_ejected",
            target=owner.target.name,
            cause=cause,
            ejections=owner.monitor.ejections,
        )
        metrics.HEALTH_CHANGES.inc(
            {"cause": cause, "change": "reinstated" if healthy else "ejected"}
        )


class Prober:
    """Probes the health and load endpoints of the targets that this host owns.

    Parameters
    ----------
    rng : random.Random
        Source of the random deviation of the intervals.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # One client for all targets limits memory. It opens no socket before its first
        # use.
        self.client = httpx.AsyncClient(
            timeout=PROBE_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=64),
            trust_env=False,
        )

    async def run(self, owner: targetowner.TargetOwner) -> None:
        """Probe one target until this host no longer owns it."""
        probe_count = 0
        while not (owner.handed_over_to or owner.scope.cancel_called):
            jitter = self.rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
            await anyio.sleep(PROBE_INTERVAL_S * jitter)
            host, port = owner.target.admin
            url = f"http://{host}:{port}"
            answer_age_s = anyio.current_time() - owner.monitor.last_good_at
            # A recent answer to a real request replaces the probe: it is better
            # evidence, and a probe costs 2 to 3 ms of processor time.
            answered_recently = answer_age_s < PROBE_INTERVAL_S
            owner.monitor.on_probe(answered_recently or await self.is_healthy(url))
            if probe_count % PROBES_PER_LOAD_READ == 0:
                await self.read_load(owner, url)
            probe_count += 1
            update_health(owner)

    async def is_healthy(self, url: str) -> bool:
        """Return whether the health endpoint answers with status 200 in time."""
        try:
            answer = await self.client.get(url + "/health")
        except httpx.HTTPError:
            metrics.PROBES_FAILED.inc({"endpoint": "health"})
            return False
        return answer.status_code == httpx.codes.OK

    async def read_load(self, owner: targetowner.TargetOwner, url: str) -> None:
        """Record the busy slots that a target reports, 0 without a valid report."""
        busy_slots = None
        with contextlib.suppress(httpx.HTTPError):
            busy_slots = parse_load(await self.client.get(url + "/load"))
        if busy_slots is None:
            busy_slots = 0
            metrics.PROBES_FAILED.inc({"endpoint": "load"})
        owner.monitor.on_load(busy_slots, len(owner.running))


def parse_load(answer: httpx.Response) -> int | None:
    """Return the number of busy slots in a target's answer, None if it has none."""
    try:
        busy_slots = float(answer.json()["busy"])
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
    return int(busy_slots) if 0 <= busy_slots <= MAX_BUSY_SLOTS else None
