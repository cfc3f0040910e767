"""Probes of the targets' health and load endpoints, and the verdict on each."""

import random

import anyio
import httpx
import logbook

from basilgate import logs, metrics, requestrecords, targetowner, wire

LOGGER = logbook.Logger("health")

PROBE_INTERVAL_S = 1.0
# Probes of many homes must not coincide.
PROBE_JITTER = 0.2
PROBE_TIMEOUT_S = 0.8
# The load endpoint lags by seconds anyway; it is read less often.
PROBES_PER_LOAD_READ = 4
# A target is frozen if nothing that it runs was answered for this long, and for
# FROZEN_RATIO times the usual time of that work.
FROZEN_S = 2.0
FROZEN_RATIO = 10.0
# Usual time of work of which none has ended yet; a first straggler takes some
# seconds and does not make its target look frozen.
DEFAULT_SERVICE_TIME_S = 1.0


def is_frozen(owner: targetowner.TargetOwner, now: float) -> bool:
    """Tell whether a target leaves all that it runs unanswered for too long.

    Free slots show nothing, unless probes fail as well.
    """
    running = list(owner.running.values())
    if now - owner.monitor.last_good_at < FROZEN_S:
        return False
    if len(running) < owner.target.slots and not owner.monitor.probe_failures:
        return False

    def overdue(record: requestrecords.Record) -> bool:
        usual_s = usual_time_s(owner, record.work_class)
        silent_s = now - max(record.started_at, record.progress_at)
        return silent_s > max(FROZEN_S, FROZEN_RATIO * usual_s)

    return bool(running) and all(overdue(record) for record in running)


def usual_time_s(owner: targetowner.TargetOwner, work_class: wire.WorkClass) -> float:
    """Return the usual time of a class in seconds, here or else at the service."""
    own_s = owner.admission.service_s(work_class)
    quickest_s = owner.learner.quickest.value
    if own_s or work_class is wire.WorkClass.LONG or not quickest_s:
        return own_s or DEFAULT_SERVICE_TIME_S
    return quickest_s


def update_health(owner: targetowner.TargetOwner) -> None:
    """Bring the verdict on a home's target up to date."""
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
    """Reads the health and load endpoints of the targets of this host.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # One client for all targets bounds memory; it opens no socket before use.
        self.client = httpx.AsyncClient(
            timeout=PROBE_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=64),
            trust_env=False,
        )

    async def run(self, owner: targetowner.TargetOwner) -> None:
        """Probe one target until its home ends here."""
        rounds = 0
        while not (owner.handed_over_to or owner.scope.cancel_called):
            spread = self.rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
            await anyio.sleep(PROBE_INTERVAL_S * spread)
            host, port = owner.target.admin
            url = f"http://{host}:{port}"
            answered_s = anyio.current_time() - owner.monitor.last_good_at
            # An answer to a real request says more, and a probe costs 2 to 3 ms
            # of processor time.
            proven = answered_s < PROBE_INTERVAL_S
            owner.monitor.on_probe(proven or await self.is_healthy(url))
            if rounds % PROBES_PER_LOAD_READ == 0:
                await self.read_load(owner, url)
            rounds += 1
            update_health(owner)

    async def is_healthy(self, url: str) -> bool:
        """Return what the health endpoint says; no answer means no."""
        try:
            answer = await self.client.get(url + "/health")
        except httpx.HTTPError:
            metrics.PROBES_FAILED.inc({"endpoint": "health"})
            return False
        return answer.status_code == httpx.codes.OK

    async def read_load(self, owner: targetowner.TargetOwner, url: str) -> None:
        """Take in the load that a target reports; without it nothing is assumed."""
        busy = 0
        try:
            busy = int((await self.client.get(url + "/load")).json()["busy"])
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            metrics.PROBES_FAILED.inc({"endpoint": "load"})
        owner.monitor.on_load(busy, len(owner.running))
