"""TCP listeners of the packet program, with a thread for each connection."""

import collections.abc
import socket
import threading

from basilgate import eventlog, fleetmodel

BACKLOG = 64  # Hosts of one failure domain that may connect at once.
CONNECTIONS_LIMIT = 256  # Threads; most serve clients of this failure domain.

Serve = collections.abc.Callable[[socket.socket], None]


class Listener:
    """Accepts connections and serves each in a thread.

    Parameters
    ----------
    address : (str, int)
        Where to listen.
    name : str
        What it serves, for the log.
    serve : callable
        Serves one connection; the listener closes it afterwards.
    log : eventlog.EventLog
        Log of failures.

    Raises
    ------
    OSError
        If the address is taken.
    """

    def __init__(
        self,
        address: fleetmodel.Address,
        name: str,
        serve: Serve,
        log: eventlog.EventLog,
    ) -> None:
        self.name = name
        self.serve = serve
        self.log = log
        self.places = threading.Semaphore(CONNECTIONS_LIMIT)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(BACKLOG)

    def run(self) -> None:
        """Accept connections until the process ends."""
        while True:
            self.places.acquire()
            try:
                accepted, _ = self.socket.accept()
            except OSError as error:
                self.places.release()
                self.log.write("accept_failed", listener=self.name, error=str(error))
                continue
            threading.Thread(target=self.hold, args=(accepted,), daemon=True).start()

    def hold(self, accepted: socket.socket) -> None:
        """Serve one connection and close it."""
        try:
            with accepted:
                self.serve(accepted)
        finally:
            self.places.release()
