"""Starts `basilgate-forwarder`, with the callers' socket bound before other work.

On a tenth of a core the imports take most of a second. Packets that arrive meanwhile
wait in the socket's buffer; without a socket they would be lost.
"""

import socket
import sys

# Holds about 800 packets of full size, which arrive in one second at 10 Mbit/s.
RECEIVE_BUFFER_BYTES = 1 << 20


def open_callers_socket() -> socket.socket:
    """Return an unbound UDP socket for callers' packets."""
    callers_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    callers_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return callers_socket


def bind_early(text: str) -> socket.socket | None:
    """Return a socket bound to an `address:port`, None if that is not possible.

    The settings decide; this address only allows to bind before they are read.
    """
    host, _, port = text.rpartition(":")
    callers_socket = open_callers_socket()
    try:
        callers_socket.bind((host, int(port)))
    except (OSError, ValueError, OverflowError):
        callers_socket.close()
        return None
    return callers_socket


def main() -> None:
    """Run the forwarder; the first argument is the address of the callers' socket."""
    bound = bind_early(sys.argv[1]) if len(sys.argv) > 1 else None
    # Imported only now, since this is what takes long.
    from basilgate import forwarder

    forwarder.main(bound)


if __name__ == "__main__":
    main()
