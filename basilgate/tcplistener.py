"""TCP listeners of the forwarder, with a thread for each connection."""

import collections.abc
import socket
import threading

from basilgate import eventlog, fleetmodel

ACCEPT_BACKLOG = 64  # Hosts of one failure domain that may connect at the same time.
MAX_CONNECTIONS = 256  # Threads; most serve hosts of the same failure domain.

ServeConnection = collections.abc.Callable[[socket.socket], None]


class Listener:
    """Accepts TCP connections and serves each in a thread of its own.

    It listens once constructed and accepts while `run` runs. At `MAX_CONNECTIONS` open
    connections `run` waits for one to end before it accepts the next.

    Parameters
    ----------
    address : (str, int)
        IPv4 address and port to listen on.
    name : str
        Name of the listener in the log.
    serve : callable
        Called in the connection's thread with its socket; the listener closes the
        socket afterwards.
    log : eventlog.EventLog
        Receives `accept_failed` if a connection cannot be accepted.

    Raises
    ------
    OSError
        If the address cannot be bound, for example because it is in use.
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
        """Accept connections in the calling thread until the process ends."""
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
        """Serve one connection in the calling thread, then close it."""
        try:
            with connection:
                self.serve(connection)
        finally:
            self.free_slots.release()
