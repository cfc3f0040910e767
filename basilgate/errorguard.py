"""Contains unexpected errors to the message, connection, or call that caused them."""

import collections.abc
import threading
import time

from basilgate import counters, eventlog

# Delay before a loop that failed runs again, so that an error which persists takes
# little processor time.
RESTART_DELAY_S = 0.2


class ErrorGuard:
    """Logs and counts unexpected errors, and keeps the process and its loops running.

    A message that makes a host stop would stop the next host too, since it is sent
    again or stored for all of them. May be used by any thread.

    Parameters
    ----------
    log : eventlog.EventLog
        Receives `unexpected_error` with the trace of the exception.
    counts : counters.Counters
        Counts errors by activity.
    """

    def __init__(self, log: eventlog.EventLog, counts: counters.Counters) -> None:
        self.log = log
        self.counts = counts

    def record(self, activity: str, error: BaseException | None) -> None:
        """Log and count an error; `activity` names the part of the program."""
        # Imported here because the import takes a tenth of the start time.
        import traceback

        self.counts.add("unexpected_errors_total", activity=activity)
        trace = "".join(traceback.format_exception(error)) if error else "none"
        self.log.write("unexpected_error", activity=activity, exception=trace)

    def record_thread_failure(self, failure: threading.ExceptHookArgs) -> None:
        """Log and count an error that ended a thread; used as `threading.excepthook`.

        Only threads that serve one connection or one probe can end so.
        """
        name = failure.thread.name if failure.thread is not None else "unknown"
        # Names of threads are numbered, but metrics need few distinct labels.
        self.record(name.split("-")[0].lower(), failure.exc_value)

    def run_loop(self, activity: str, loop: collections.abc.Callable[[], None]) -> None:
        """Run a loop until it returns, and start it again after an unexpected error."""
        while True:
            try:
                loop()
            except Exception as error:
                self.record(activity, error)
                time.sleep(RESTART_DELAY_S)
            else:
                return
