"""TCP listeners of the packet program, with a thread for each connection."""

import collections.abc
import socket
import threading

from basilgate import eventlog, fleetmodel

ACCEPT_BACKLOG = 64  # Hosts of one failure domain that may connect at once.
MAX_CONNECTIONS = 256  # Threads; most serve clients of this failure domain.

ServeConnection = collections.abc.Callable[[socket.socket], None]


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
        serve: ServeConnection,
        log: eventlog.EventLog,
    ) -> None:
        self.name = name
        self.serve = serve
        self.log = log
        self.free_slots = threading.Semaphore(MAX_CONNECTIONS)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(ACCEPT_BACKLOG)

    def run(self) -> None:
        """Accept connections until the process ends."""
        while True:
            self.free_slots.acquire()
            try:
                connection, _ = self.socket.accept()
            except OSError as error:
                self.free_slots.release()
                self.log.write("accept_failed", listener=self.name, error=str(error))
                continue
            threading.Thread(
                target=self.serve_and_close, args=(connection,), daemon=True
            ).start()

    def serve_and_close(self, connection: socket.socket) -> None:
        """Serve one connection and close it."""
        try:
            with connection:
                self.serve(connection)
        finally:
            self.free_slots.release()
