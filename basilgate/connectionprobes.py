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
CONNECT_LIMIT_S = 0.1
ATTEMPTS = 2  # One opening packet may be lost by chance.
AGAIN_S = 1.0  # Between two trials of one target; below the shortest suspicion.
TRIALS_LIMIT = 32  # Threads; targets of one rack that may be lost at once.


class Verdict(enum.Enum):
    """What a trial shows; the value is the name in logs and metrics."""

    ANSWERS = "answers"
    REFUSES = "refuses"
    SILENT = "silent"
    UNKNOWN = "unknown"


REACHED = (Verdict.ANSWERS, Verdict.REFUSES)
ERROR_VERDICTS = {
    0: Verdict.ANSWERS,
    errno.ECONNREFUSED: Verdict.REFUSES,
    errno.ETIMEDOUT: Verdict.SILENT,
}

Report = collections.abc.Callable[[fleetmodel.Target, Verdict, float], None]


class Trials:
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
        self.report: Report | None = None
        self.places = threading.Semaphore(TRIALS_LIMIT)
        # Time from which a target may be tried again, by its name.
        self.next_at: dict[str, float] = {}

    def want(
        self, target: fleetmodel.Target, control: fleetmodel.Target | None, now: float
    ) -> None:
        """Try a target beside a control, unless it was tried a moment ago."""
        if now < self.next_at.get(target.name, 0.0):
            return
        if not self.places.acquire(blocking=False):
            self.log.write("trial_left_out", target=target.name)
            return
        self.next_at = {n: at for n, at in self.next_at.items() if at > now}
        self.next_at[target.name] = now + AGAIN_S
        threading.Thread(
            target=self.run, args=(target, control, now), daemon=True
        ).start()

    def run(
        self,
        target: fleetmodel.Target,
        control: fleetmodel.Target | None,
        began_at: float,
    ) -> None:
        """Try a target and report the verdict."""
        beside = control.address if control is not None else None
        try:
            verdict = try_target(target.address, beside)
        except OSError as error:
            # This host lacks descriptors or a way; that says nothing of the target.
            verdict = Verdict.UNKNOWN
            self.log.write("trial_failed", target=target.name, error=str(error))
        finally:
            self.places.release()
        self.counts.add("target_trials_total", verdict=verdict.value)
        self.log.write(
            "target_tried",
            target=target.name,
            verdict=verdict.value,
            control=control.name if control is not None else "none",
            took_s=clock.steady_s() - began_at,
        )
        if self.report is not None:
            self.report(target, verdict, began_at)


def try_target(
    address: fleetmodel.Address, control: fleetmodel.Address | None
) -> Verdict:
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
    for _ in range(ATTEMPTS):
        verdict, control_verdict = connect_to((address, control))
        if verdict is not Verdict.SILENT:
            return verdict
        if control_verdict not in REACHED:
            return Verdict.UNKNOWN
    return Verdict.SILENT


def connect_to(
    addresses: collections.abc.Sequence[fleetmodel.Address],
) -> list[Verdict]:
    """Connect to some addresses at the same time; return the verdict on each.

    Raises
    ------
    OSError
        If this host cannot try.
    """
    verdicts = [Verdict.SILENT] * len(addresses)
    with contextlib.ExitStack() as stack:
        poll = select.poll()
        waiting: dict[int, tuple[int, socket.socket]] = {}
        for position, address in enumerate(addresses):
            opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stack.enter_context(opened)
            opened.setblocking(False)
            opened.connect_ex(address)
            poll.register(opened, select.POLLOUT)
            waiting[opened.fileno()] = (position, opened)
        ends_at = clock.steady_s() + CONNECT_LIMIT_S
        while waiting:
            left_ms = max(0.0, ends_at - clock.steady_s()) * 1e3
            ready = poll.poll(left_ms)
            if not ready:
                break
            for descriptor, _ in ready:
                position, opened = waiting.pop(descriptor)
                poll.unregister(opened)
                error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                verdicts[position] = ERROR_VERDICTS.get(error, Verdict.UNKNOWN)
    return verdicts
