"""Connection probes of targets whose packets get no reply.

Packets show that a target is unreachable only once callers have repeated several of
them. The host of a live target accepts a TCP connection within a round trip, however
busy the target is, so a probe decides some tenths of a second earlier. A probe sends
no request.
"""

import collections.abc
import contextlib
import enum
import errno
import select
import socket
import threading

from basilgate import clock, counters, eventlog, fleetmodel

# About fifty round trips between failure domains. A delayed wake-up does no harm, since
# a connection made in the meantime counts.
CONNECT_TIMEOUT_S = 0.1
MAX_ATTEMPTS = 2  # One attempt may fail because its opening packet was lost.
# Shortest time between two probes of one target; below `suspicion.FIRST_SUSPICION_S`,
# so that each new suspicion can be probed.
PROBE_INTERVAL_S = 1.0
# Threads; as many targets of one rack may become unreachable at the same time.
MAX_CONCURRENT_PROBES = 32


class ProbeResult(enum.Enum):
    """Result of a connection probe; the value is its name in logs and metrics."""

    ANSWERS = "answers"  # The connection was accepted.
    REFUSES = "refuses"  # The host was reached, but nothing listens at the address.
    SILENT = "silent"  # No reply, while the control was reached.
    UNKNOWN = "unknown"  # Neither the target nor the control was reached, or an error.


# Results that show that packets reach the host of the address and come back.
REACHED_RESULTS = (ProbeResult.ANSWERS, ProbeResult.REFUSES)
RESULTS_BY_ERRNO = {
    0: ProbeResult.ANSWERS,
    errno.ECONNREFUSED: ProbeResult.REFUSES,
    errno.ETIMEDOUT: ProbeResult.SILENT,
}

# Called with the target, the result, and the start of the probe as monotonic seconds.
ResultCallback = collections.abc.Callable[[fleetmodel.Target, ProbeResult, float], None]


class ConnectionProber:
    """Probes targets, each in a thread of its own, and passes on the results.

    `start_probe` returns at once and is not safe for threads: it is called under
    `ForwarderProcess.lock`. `on_result` runs in the thread of the probe without a lock.

    Parameters
    ----------
    log : eventlog.EventLog
        Receives the result of each probe, and probes that could not be made.
    counts : counters.Counters
        Counts probes by result.
    """

    def __init__(self, log: eventlog.EventLog, counts: counters.Counters) -> None:
        self.log = log
        self.counts = counts
        # Receives each result; None drops the results.
        self.on_result: ResultCallback | None = None
        self.free_slots = threading.Semaphore(MAX_CONCURRENT_PROBES)
        # Monotonic time from which a target may be probed again, by its name.
        self.next_probe_at: dict[str, float] = {}

    def start_probe(
        self, target: fleetmodel.Target, control: fleetmodel.Target | None, now: float
    ) -> None:
        """Probe a target unless it was probed less than `PROBE_INTERVAL_S` ago.

        Parameters
        ----------
        target : fleetmodel.Target
            Target to probe.
        control : fleetmodel.Target or None
            Target that is probably reachable. It is probed at the same time to show
            whether this host's links work. None if there is no such target.
        now : float
            Current monotonic time in seconds.
        """
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

    def forget(self, target: str) -> None:
        """Allow a probe of a target, given by name, at once."""
        self.next_probe_at.pop(target, None)

    def run(
        self,
        target: fleetmodel.Target,
        control: fleetmodel.Target | None,
        started_at: float,
    ) -> None:
        """Probe a target in the calling thread and pass the result to `on_result`.

        Needs one of `free_slots` to be acquired, and releases it.
        """
        control_address = control.address if control is not None else None
        try:
            probe_result = probe_target(target.address, control_address)
        except OSError as error:
            # This host lacks file descriptors or a network route, which shows nothing
            # about the target.
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
            run=target.started_ms,
            took_s=clock.steady_s() - started_at,
        )
        if self.on_result is not None:
            self.on_result(target, probe_result, started_at)


def probe_target(
    address: fleetmodel.Address, control: fleetmodel.Address | None
) -> ProbeResult:
    """Return the result of connection attempts to an address and to a control.

    The result is silence only if all `MAX_ATTEMPTS` attempts got no reply while the
    control was reached: otherwise packets of this host may be delayed in a full link.
    Without a control, silence therefore gives `ProbeResult.UNKNOWN`.

    Raises
    ------
    OSError
        If this host cannot create or use a socket.
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
    """Connect to several addresses at the same time and return the result of each.

    An address that does not reply within `CONNECT_TIMEOUT_S` is silent.

    Raises
    ------
    OSError
        If this host cannot create or use a socket.
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
