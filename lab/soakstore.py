"""Faults of the soak's profile `changes`: a store that fails beside series of changes.

Planned work of targets and suspensions of hosts go on beside them. A fault of the
store as a whole excuses all hosts for a time, one of some hosts only these, and a lost
answer nobody.
"""

import collections.abc
import functools
import random
import signal
import threading
import time
import typing

from lab import soakfaults

if typing.TYPE_CHECKING:
    from lab import fleetsoak

FAULTS: list[soakfaults.Fault] = []

SERIES_LENGTH = (2, 6)
SERIES_PAUSES_S = (0.02, 0.2, 0.8)
STORE_SPAN_S = (0.3, 2.0)  # Of a fault of the whole store.
SUSPENDED_S = (0.5, 2.6)
MAX_SUSPENDED_HOSTS = 3
# Time before a change in which a host is suspended, so that it cannot get the change.
SUSPENSION_LEAD_S = 0.05
KINDS = ("config", "servers", "evacuations", "basilgate-overrides")


def register(fault: soakfaults.Fault) -> soakfaults.Fault:
    """Add a fault to those that the seed chooses from."""
    FAULTS.append(fault)
    return fault


def readers(soak: "fleetsoak.Soak") -> list["fleetsoak.Host"]:
    """Return the hosts that have connections to the store."""
    return [host for host in soak.hosts if host.link.opened] or soak.hosts


def write_series(soak: "fleetsoak.Soak", rng: random.Random) -> None:
    """Write some configurations one after the other."""
    for _ in range(rng.randint(*SERIES_LENGTH)):
        soak.write_configuration()
        time.sleep(rng.choice(SERIES_PAUSES_S))


@register
def write_changes(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Write a series of configurations while nothing else fails because of it."""
    del span_s
    write_series(soak, soak.rng)


def disturb_all(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Note that no host can learn anything from the store for a time."""
    soak.disturb("hosts", span_s)
    soak.disturb("store", span_s)


def stop_store(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let the store end right after a change, and start again."""
    span_s = min(span_s, STORE_SPAN_S[1])
    soak.write_configuration()
    disturb_all(soak, span_s)
    for host in soak.hosts:
        host.link.refusing = True
        host.link.reset()
    time.sleep(span_s)
    for host in soak.hosts:
        host.link.refusing = False
    soak.write_configuration()


def suspend_store(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let the store stand still right after a change, and end its connections."""
    span_s = min(span_s, STORE_SPAN_S[1])
    soak.write_configuration()
    disturb_all(soak, span_s)
    for host in soak.hosts:
        host.link.silent_down = True
    soak.write_configuration()
    time.sleep(span_s)
    for host in soak.hosts:
        host.link.reset()
        host.link.silent_down = False


def disturb_store(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let the whole store fail, in a thread of its own; not registered.

    It excuses all hosts, so that it would hide the other faults if it came often.
    """
    fault = soak.store_faults_rng.choice([stop_store, suspend_store])
    soak.evidence.faults.append(fault.__name__)
    fault(soak, span_s)


@register
def lose_answers(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let one host that watches the store lose the answers in progress on one kind."""
    del span_s
    host = soak.rng.choice(readers(soak))
    host.faults.lost_path = f"/{soak.rng.choice(KINDS)}?watch="
    host.faults.lost_before = time.monotonic()
    soak.write_configuration()


@register
def silence_links(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let bytes stop in one direction for hosts that watch the store, and change."""
    found = readers(soak)
    hosts = soak.rng.sample(found, min(len(found), soak.rng.randint(1, 3)))
    direction = soak.rng.choice(["silent_up", "silent_down"])
    for host in hosts:
        soak.disturb(host.ip, span_s)
        setattr(host.link, direction, True)
    write_series(soak, soak.rng)
    time.sleep(span_s)
    for host in hosts:
        setattr(host.link, direction, False)
        soak.disturb(host.ip, 0)


def suspend_readers(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Suspend hosts that watch the store around a change, beside planned work.

    Not registered: it has random numbers and a thread of its own.
    """
    rng = soak.host_faults_rng
    found = readers(soak) if rng.random() < 0.8 else soak.hosts
    hosts = rng.sample(found, min(len(found), rng.randint(1, MAX_SUSPENDED_HOSTS)))
    suspended_s = rng.uniform(*SUSPENDED_S)
    soak.evidence.faults.append(f"suspend {' '.join(host.ip for host in hosts)}")
    work = functools.partial(rng.choice(soakfaults.PLANNED), soak, span_s)
    planned = threading.Thread(target=work)
    planned.start()
    suspend = functools.partial(suspend_after_change, rng=rng)
    jobs: list[collections.abc.Callable[[], None]] = [
        functools.partial(soakfaults.apply_to_host, soak, host, suspend, suspended_s)
        for host in hosts
    ]
    threads = [threading.Thread(target=job) for job in jobs]
    if rng.random() < 0.5:
        # The delay that batches changes then ends after the suspension.
        soak.write_configuration()
        time.sleep(rng.uniform(0.0, 0.1))
    for thread in threads:
        thread.start()
    time.sleep(SUSPENSION_LEAD_S)
    soak.write_configuration()
    for thread in [*threads, planned]:
        thread.join()


def suspend_after_change(
    soak: "fleetsoak.Soak",
    host: "fleetsoak.Host",
    span_s: float,
    rng: random.Random,
) -> None:
    """Suspend a host; at times the store does not answer it for a while afterwards."""
    del soak
    silent = rng.random() < 0.5
    host.process.send_signal(signal.SIGSTOP)
    host.link.silent_up = silent
    time.sleep(span_s)
    host.process.send_signal(signal.SIGCONT)
    if silent:
        time.sleep(span_s)
        host.link.silent_up = False
