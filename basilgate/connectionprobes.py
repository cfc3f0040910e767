"""Trial connections to targets whose packets get no reply.

Packets show a lost target only once callers have repeated several of them. The host of
a live target takes a TCP connection within a round trip, however busy the target is,
so that a trial decides some tenths of a second earlier. No request is sent.
"""

import collections.abc
import contextlib
import enum
import errno
import select
import socket
import threading

from basilgate import clock, counters, eventlog, fleetmodel

# Some fifty round trips between failure domains; a late timer does not matter, since a
# connection that was made meanwhile counts.
CONNECT_TIMEOUT_S = 0.1
MAX_ATTEMPTS = 2  # One opening packet may be lost by chance.
PROBE_INTERVAL_S = (
    1.0  # Between two trials of one target; below the shortest suspicion.
)
MAX_CONCURRENT_PROBES = 32  # Threads; targets of one rack that may be lost at once.


class ProbeResult(enum.Enum):
    """What a trial shows; the value is the name in logs and metrics."""

    ANSWERS = "answers"
    REFUSES = "refuses"
    SILENT = "silent"
    UNKNOWN = "unknown"


REACHED_RESULTS = (ProbeResult.ANSWERS, ProbeResult.REFUSES)
RESULTS_BY_ERRNO = {
    0: ProbeResult.ANSWERS,
    errno.ECONNREFUSED: ProbeResult.REFUSES,
    errno.ETIMEDOUT: ProbeResult.SILENT,
}

ResultCallback = collections.abc.Callable[[fleetmodel.Target, ProbeResult, float], None]


class ConnectionProber:
    """Tries targets, each in a thread of its own, and reports the verdicts.

    Parameters
    ----------
    log, counts
        Log and metrics.
    """

    def __init__(self, log: eventlog.EventLog, counts: counters.Counters) -> None:
        self.log = log
        self.counts = counts
        # Called with target, verdict, and the time at which the trial began.
        self.on_result: ResultCallback | None = None
        self.free_slots = threading.Semaphore(MAX_CONCURRENT_PROBES)
        # Time from which a target may be tried again, by its name.
        self.next_probe_at: dict[str, float] = {}

    def start_probe(
        self, target: fleetmodel.Target, control: fleetmodel.Target | None, now: float
    ) -> None:
        """Try a target beside a control, unless it was tried a moment ago."""
        if now < self.next_probe_at.get(target.name, 0.0):
            return
        if not self.free_slots.acquire(blocking=False):
            self.log.write("trial_left_out", target=target.name)
            return
        self.next_probe_at = {
            name: at for name, at in self.next_probe_at.items() if at > now
        }
        self.next_probe_at[target.name] = now + PROBE_INTERVAL_S
        threading.Thread(
            target=self.run, args=(target, control, now), daemon=True
        ).start()

    def run(
        self,
        target: fleetmodel.Target,
        control: fleetmodel.Target | None,
        started_at: float,
    ) -> None:
        """Try a target and report the verdict."""
        control_address = control.address if control is not None else None
        try:
            probe_result = probe_target(target.address, control_address)
        except OSError as error:
            # This host lacks descriptors or a way; that says nothing of the target.
            probe_result = ProbeResult.UNKNOWN
            self.log.write("trial_failed", target=target.name, error=str(error))
        finally:
            self.free_slots.release()
        self.counts.add("target_trials_total", verdict=probe_result.value)
        self.log.write(
            "target_tried",
            target=target.name,
            verdict=probe_result.value,
            control=control.name if control is not None else "none",
            took_s=clock.steady_s() - started_at,
        )
        if self.on_result is not None:
            self.on_result(target, probe_result, started_at)


def probe_target(
    address: fleetmodel.Address, control: fleetmodel.Address | None
) -> ProbeResult:
    """Return what trials of an address show, beside those of a control.

    Silence counts only while the control is reached: packets of this host may wait in
    a full link.

    Raises
    ------
    OSError
        If this host cannot try.
    """
    if control is None:
        control = address
    for _ in range(MAX_ATTEMPTS):
        probe_result, control_result = probe_addresses((address, control))
        if probe_result is not ProbeResult.SILENT:
            return probe_result
        if control_result not in REACHED_RESULTS:
            return ProbeResult.UNKNOWN
    return ProbeResult.SILENT


def probe_addresses(
    addresses: collections.abc.Sequence[fleetmodel.Address],
) -> list[ProbeResult]:
    """Connect to some addresses at the same time; return the verdict on each.

    Raises
    ------
    OSError
        If this host cannot try.
    """
    results = [ProbeResult.SILENT] * len(addresses)
    with contextlib.ExitStack() as stack:
        poll = select.poll()
        pending: dict[int, tuple[int, socket.socket]] = {}
        for index, address in enumerate(addresses):
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stack.enter_context(connection)
            connection.setblocking(False)
            connection.connect_ex(address)
            poll.register(connection, select.POLLOUT)
            pending[connection.fileno()] = (index, connection)
        deadline = clock.steady_s() + CONNECT_TIMEOUT_S
        while pending:
            remaining_ms = max(0.0, deadline - clock.steady_s()) * 1e3
            ready = poll.poll(remaining_ms)
            if not ready:
                break
            for descriptor, _ in ready:
                index, connection = pending.pop(descriptor)
                poll.unregister(connection)
                error_number = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                results[index] = RESULTS_BY_ERRNO.get(error_number, ProbeResult.UNKNOWN)
    return results
