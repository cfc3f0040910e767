"""Loopback proxy of TCP connections that delays, resets, or silences them."""

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
HELD_CHECK_S = 0.02  # How soon held bytes go on after a silence.
# With this option closing a connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkProxy:
    """Passes connections on to one address, with faults.

    Parameters
    ----------
    target : (str, int)
        Where connections go.

    Attributes
    ----------
    delay_s : float
        Delay of all bytes, in seconds.
    silent_up, silent_down : bool
        Bytes to the target, or from it, are held until this ends.
    refusing : bool
        New connections are reset at once, as if nothing listened.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.delay_s = 0.0
        self.silent_up = False
        self.silent_down = False
        self.refusing = False
        self.lock = threading.Lock()
        self.opened: set[socket.socket] = set()
        self.socket = socket.create_server(("127.0.0.1", 0))
        host, port = self.socket.getsockname()
        self.address: tuple[str, int] = (host, port)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Accept connections until the proxy is closed."""
        while True:
            try:
                client, _ = self.socket.accept()
            except OSError:
                return
            if self.refusing:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                client.close()
                continue
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            with self.lock:
                self.opened |= {client, server}
            for source, sink, up in ((client, server, True), (server, client, False)):
                threading.Thread(
                    target=self.pump, args=(source, sink, up), daemon=True
                ).start()

    def pump(self, source: socket.socket, sink: socket.socket, up: bool) -> None:
        """Pass bytes on in one direction until either end is closed."""
        # Either end may be closed by the other direction or by a reset.
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                time.sleep(self.delay_s)
                while self.silent_up if up else self.silent_down:
                    time.sleep(HELD_CHECK_S)
                sink.sendall(data)
        self.close(source, sink)

    def close(self, *opened: socket.socket) -> None:
        """Close sockets."""
        with self.lock:
            self.opened -= set(opened)
        for found in opened:
            with contextlib.suppress(OSError):
                found.shutdown(socket.SHUT_RDWR)
            found.close()

    def reset(self) -> None:
        """Reset all connections."""
        with self.lock:
            opened = list(self.opened)
        for found in opened:
            with contextlib.suppress(OSError):
                found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close(*opened)
