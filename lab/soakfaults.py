"""Faults of the soak's planned profile: planned work beside faults of a few hosts.

A fault notes only the hosts that it touches, so that all others are judged meanwhile.
`FAULTS` are those that a seed chooses from, `HOST_FAULTS` what happens to one host of
them.
"""

import collections.abc
import contextlib
import functools
import json
import random
import signal
import threading
import time
import typing

from standins import fleetstore, fleettarget

if typing.TYPE_CHECKING:
    from lab import fleetsoak

Fault = collections.abc.Callable[["fleetsoak.Soak", float], None]
HostFault = collections.abc.Callable[["fleetsoak.Soak", "fleetsoak.Host", float], None]
Job = collections.abc.Callable[[], None]
FAULTS: list[Fault] = []
HOST_FAULTS: list[HostFault] = []

DRAIN_S = 3.0  # How long a target serves after it has announced that it leaves.
COLD_START_S = 2.0
DOWN_S = (0.0, 1.0)  # Until a target that has exited is started again.
SILENT_S = (0.3, 1.0)  # Hosts suspect a silent target within this time.
SERIES_PAUSE_S = (0.0, 0.6)
READY_LIMIT_S = 20.0
SPARED_TARGETS = 3  # Ready targets of each domain that planned work leaves alone.
MAX_FAULTY_HOSTS = 3  # Hosts that a fault touches.
DEPTH = 100_000
ODD_ID = 0xDD00_0000
ODD_NAMES = ["i-", "no", "i-" + 17 * "1"]  # No ids.
TORN_NAME = "i-dddddddd"
TORN_BYTES = 100_000


def register(fault: Fault) -> Fault:
    """Add a fault to those that the seed chooses from."""
    FAULTS.append(fault)
    return fault


def host_fault(found: HostFault) -> HostFault:
    """Add something that happens to a host while its lock is held."""
    HOST_FAULTS.append(found)
    return found


@host_fault
def stop(soak: "fleetsoak.Soak", host: "fleetsoak.Host", span_s: float) -> None:
    """Stop a host as planned and start it again; it must exit with 0."""
    if not host.is_ready():
        return
    host.process.send_signal(signal.SIGTERM)
    if soak.rng.random() < 0.3:
        host.process.send_signal(signal.SIGHUP)
    if soak.rng.random() < 0.3:
        soak.disturb(f"unplanned {host.ip}", span_s / 4)
        freeze(soak, host, span_s / 4)
    status = host.process.wait(READY_LIMIT_S)
    if status != 0:
        problem = f"{host.ip}: exit status {status} after SIGTERM"
        soak.evidence.violations.append(problem)
    start(host)


@host_fault
def kill(soak: "fleetsoak.Soak", host: "fleetsoak.Host", span_s: float) -> None:
    """Kill a host and start it again after a time."""
    del soak
    host.process.kill()
    host.process.wait()
    time.sleep(span_s)
    start(host)


@host_fault
def freeze(soak: "fleetsoak.Soak", host: "fleetsoak.Host", span_s: float) -> None:
    """Suspend a host for a time."""
    del soak
    host.process.send_signal(signal.SIGSTOP)
    time.sleep(span_s)
    host.process.send_signal(signal.SIGCONT)


@host_fault
def refuse_host(soak: "fleetsoak.Soak", host: "fleetsoak.Host", span_s: float) -> None:
    """Let the store refuse a host, be slow or silent for it, or only its watches."""
    changes: list[dict[str, typing.Any]] = [
        {"status": 503},
        {"status": 429},
        {"refused": "watch"},
    ]
    changes += [{"silent": True}, {"unanswered": "watch"}, {"delay_s": span_s / 2}]
    vars(host.faults).update(soak.rng.choice(changes))
    time.sleep(span_s)
    old = host.faults.old
    vars(host.faults).update({**vars(fleetstore.Faults()), "old": old})


@host_fault
def cut(soak: "fleetsoak.Soak", host: "fleetsoak.Host", span_s: float) -> None:
    """Cut a host off from the store, in one direction or both."""
    host.link.silent_up, host.link.silent_down = soak.rng.choice(
        [(True, True), (True, False), (False, True)]
    )
    time.sleep(span_s)
    host.link.silent_up, host.link.silent_down = False, False
    host.link.reset()


def start(host: "fleetsoak.Host") -> None:
    """Start a process and wait until it is ready."""
    host.process = host.start()
    ends_at = time.monotonic() + READY_LIMIT_S
    while not host.is_ready() and time.monotonic() < ends_at:
        time.sleep(0.05)


def apply_to_host(
    soak: "fleetsoak.Soak", host: "fleetsoak.Host", found: HostFault, span_s: float
) -> None:
    """Let something happen to a host, unless a fault has it already."""
    if not host.lock.acquire(blocking=False):
        return
    disturbed = soak.evidence.disturbed
    # Resets by a host count also while it is stopped as planned.
    subjects = [host.ip] if found is stop else [host.ip, f"unplanned {host.ip}"]
    began = time.monotonic()
    endless = [(began, float("inf"), subject) for subject in subjects]
    disturbed.extend(endless)
    try:
        host.note_own_end()
        found(soak, host, span_s)
    finally:
        for noted in endless:
            disturbed.append((began, time.monotonic(), noted[2]))
            disturbed.remove(noted)
        host.lock.release()


@contextlib.contextmanager
def claim(
    soak: "fleetsoak.Soak", count: int
) -> collections.abc.Iterator[list[fleettarget.FleetTarget]]:
    """Choose ready targets that no other planned work has, as many as are spare."""
    with soak.writing:
        ready = [
            target
            for target in soak.targets
            if soak.reported.get(target.number, ("",))[0] == "ready"
            and target.number not in soak.claimed
        ]
        soak.rng.shuffle(ready)
        found: list[fleettarget.FleetTarget] = []
        for target in ready:
            left = [other for other in ready if other not in found]
            domain = soak.domain_of(target.number)
            near = [other for other in left if soak.domain_of(other.number) == domain]
            if len(found) < count and len(near) > SPARED_TARGETS:
                found.append(target)
        soak.claimed.update(target.number for target in found)
    try:
        yield found
    finally:
        soak.claimed.difference_update(target.number for target in found)


def announce(
    soak: "fleetsoak.Soak", targets: list[fleettarget.FleetTarget], span_s: float
) -> None:
    """Let targets announce that they leave, within a span that excuses their callers.

    They serve on for the time of draining.
    """
    for target in targets:
        soak.disturb(f"leaving {target.number}", span_s)
        soak.list_target(target, "draining")
        soak.leavings.append((time.monotonic(), target))
    time.sleep(DRAIN_S)


def begin_again(
    soak: "fleetsoak.Soak", targets: list[fleettarget.FleetTarget], down_s: float
) -> None:
    """Let targets exit and start again under their ids, cold for a time."""
    now = time.monotonic()
    for target in targets:
        soak.gaps.append((now, now + down_s, target.number))
        target.down = True
        target.crash()
    time.sleep(down_s)
    for target in targets:
        with soak.writing:
            soak.reported.pop(target.number, None)
            soak.cold_until[target.number] = time.monotonic() + COLD_START_S
            target.down = False
            target.restart()
            soak.list_target(target, "ready")
    time.sleep(COLD_START_S)
    for target in targets:
        soak.list_target(target, "ready")


@register
def replace_targets(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Stop targets as planned, and start others before."""
    with claim(soak, soak.rng.randint(1, 3)) as targets:
        with soak.writing:
            for _ in targets:
                soak.targets.append(soak.add_target(len(soak.targets) + 1))
        announce(soak, targets, float("inf"))
        time.sleep(span_s)
        for target in targets:
            soak.gaps.append((time.monotonic(), float("inf"), target.number))
            target.ended = True
            soak.remove_target(target)


@register
def restart_targets(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Stop targets as planned, and start them again under their ids."""
    down_s = soak.rng.uniform(*DOWN_S)
    with claim(soak, soak.rng.randint(1, 2)) as targets:
        announce(soak, targets, DRAIN_S + span_s + down_s)
        time.sleep(span_s)
        begin_again(soak, targets, down_s)


@register
def restart_suspected_target(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let a target be silent, crash, and start again under its id at once."""
    silent_s, down_s = soak.rng.uniform(*SILENT_S), soak.rng.uniform(0.0, span_s / 3)
    with claim(soak, 1) as targets:
        for target in targets:
            soak.disturb(f"target {target.number}", silent_s + down_s)
            target.silent = True
        time.sleep(silent_s)
        begin_again(soak, targets, down_s)


@register
def write_odd_entries(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let others write entries that name no target, change, and remove them."""
    entry = fleetstore.target_entry(soak.trap.getsockname(), "d1")
    odd = odd_entries(entry)
    name = f"i-{ODD_ID + len(soak.evidence.faults):08x}"
    torn = torn_entries(entry)
    # A generator of its own, so that a seed still plays what it did without these.
    torn_rng = random.Random(name)
    for kind in soak.rng.sample(list(odd), 2):
        soak.evidence.faults.append(f"{name} {kind}")
        soak.store.put("servers", name, odd[kind])
        soak.store.put("servers", soak.rng.choice(ODD_NAMES), entry)
        torn_kind = torn_rng.choice(list(torn))
        soak.evidence.faults.append(f"{TORN_NAME} {torn_kind}")
        soak.store.put("servers", TORN_NAME, torn[torn_kind])
        time.sleep(span_s / 2)
    for found in (name, TORN_NAME, *ODD_NAMES):
        soak.store.remove("servers", found)


def odd_entries(entry: fleetstore.Json) -> dict[str, typing.Any]:
    """Return entries that are not sound, each in one way."""
    text = json.dumps(entry).encode()
    digits = b"9" * 400
    nested = b"[" * DEPTH + b"]" * DEPTH
    host = entry["address"].partition(":")[0]
    return {
        "nested": fleetstore.RawJson(nested),
        "nested zone": fleetstore.RawJson(text.replace(b'"d1"', nested)),
        "slots": fleetstore.RawJson(text.replace(b'"slots": 3', b'"slots": ' + digits)),
        "seq": fleetstore.RawJson(text.replace(b'"seq": 1', b'"seq": ' + digits)),
        "born": fleetstore.RawJson(text.replace(b'"born": 1', b'"born": ' + digits)),
        "port out of range": {**entry, "address": f"{host}:99999"},
        "state": {**entry, "state": "resting"},
        "service": {**entry, "service": None},
        "list": [entry],
    }


def torn_entries(entry: fleetstore.Json) -> dict[str, fleetstore.RawJson]:
    """Return entries of which a part is missing, some of them padded."""
    text = json.dumps(entry).encode()
    middle = len(text) // 2
    hidden = b'\\,{"deleted":"\\",{"deleted":'
    return {
        "torn": fleetstore.RawJson(text[:middle]),
        "torn in a string": fleetstore.RawJson(text[: text.index(b"desk") + 2]),
        "without its begin": fleetstore.RawJson(text[middle:]),
        "padded with blanks": fleetstore.RawJson(text[:middle] + b" " * TORN_BYTES),
        "padded with events": fleetstore.RawJson(
            text[:middle] + hidden * (TORN_BYTES // len(hidden))
        ),
    }


def disturb_hosts(soak: "fleetsoak.Soak", span_s: float) -> None:
    """Let something happen to hosts beside writes and planned work; not registered.

    Mostly to such hosts that call the store; at times several are stopped as planned.
    """
    rng = soak.host_faults_rng
    readers = [host for host in soak.hosts if host.link.opened]
    hosts = readers if readers and rng.random() < 0.7 else soak.hosts
    host_faults = HOST_FAULTS if rng.random() < 0.7 else [stop]
    jobs: list[Job] = [soak.write_configuration]
    jobs.append(functools.partial(rng.choice(PLANNED), soak, span_s))
    for host in rng.sample(hosts, min(len(hosts), rng.randint(1, MAX_FAULTY_HOSTS))):
        found = rng.choice(host_faults)
        soak.evidence.faults.append(f"{found.__name__} {host.ip}")
        jobs.append(functools.partial(apply_to_host, soak, host, found, span_s))
    rng.shuffle(jobs)
    threads = [threading.Thread(target=job) for job in jobs]
    for thread in threads:
        thread.start()
        time.sleep(rng.uniform(*SERIES_PAUSE_S))
    for thread in threads:
        thread.join()


# Planned work that goes on beside faults of hosts.
PLANNED: list[Fault] = [replace_targets, restart_targets]
