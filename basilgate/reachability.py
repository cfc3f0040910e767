"""Trial connections to targets whose packets get no reply.

Packets show a lost target only once callers have repeated several of them. The host of
a live target takes a TCP connection within a round trip, however busy the target is,
so that a trial decides some tenths of a second earlier. No request is sent.
"""

import collections.abc
import enum
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

    def want(self, target: fleetmodel.Target, now: float) -> None:
        """Try a target soon, unless it was tried a moment ago."""
        if now < self.next_at.get(target.name, 0.0):
            return
        if not self.places.acquire(blocking=False):
            self.log.write("trial_left_out", target=target.name)
            return
        self.next_at = {n: at for n, at in self.next_at.items() if at > now}
        self.next_at[target.name] = now + AGAIN_S
        threading.Thread(target=self.run, args=(target, now), daemon=True).start()

    def run(self, target: fleetmodel.Target, began_at: float) -> None:
        """Try a target and report the verdict."""
        try:
            verdict = try_address(target.address)
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
            took_s=clock.steady_s() - began_at,
        )
        if self.report is not None:
            self.report(target, verdict, began_at)


def try_address(address: fleetmodel.Address) -> Verdict:
    """Return whether something takes TCP connections at an address.

    Raises
    ------
    OSError
        If this host cannot try.
    """
    for _ in range(ATTEMPTS):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as opened:
            opened.settimeout(CONNECT_LIMIT_S)
            try:
                opened.connect(address)
            except ConnectionRefusedError:
                return Verdict.REFUSES
            except TimeoutError:
                continue
            return Verdict.ANSWERS
    return Verdict.SILENT
