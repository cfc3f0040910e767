"""UDP sockets on which several tasks of an event loop may send."""

import collections.abc
import contextlib
import os
import socket
import typing

import anyio
import anyio.abc

# Bursts of answer pieces overflow the default buffer of 208 KB.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class DatagramSocket(typing.Protocol):
    """Interface of the UDP sockets that balancers and callers use."""

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; a failure raises no error, the datagram is just lost."""

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Wait for the next datagram; return it and its sender's address."""

    async def aclose(self) -> None:
        """Close the socket."""


Factory = collections.abc.Callable[
    [tuple[str, int]], collections.abc.Awaitable[DatagramSocket]
]


class SharedSocket:
    """UDP socket on which several tasks may send, and one may receive.

    Datagrams are sent by a direct system call. Sending through the event loop, with
    anyio's lock and checkpoints, takes more time than the system call itself; it is
    used only while the send buffer is full.

    Parameters
    ----------
    udp : anyio.abc.UDPSocket
        The open socket; this object closes it.
    """

    def __init__(self, udp: anyio.abc.UDPSocket) -> None:
        self.udp = udp
        self.send_lock = anyio.Lock(fast_acquire=True)
        # asyncio exposes its socket without methods to send, so it is duplicated.
        raw = udp.extra(anyio.abc.SocketAttribute.raw_socket)
        self.send_socket = socket.socket(fileno=os.dup(raw.fileno()))

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; a failure raises no error, the datagram is just lost."""
        try:
            self.send_socket.sendto(data, (host, port))
        except BlockingIOError:
            async with self.send_lock:
                with contextlib.suppress(OSError):
                    await self.udp.sendto(data, host, port)
        except OSError:
            pass

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Wait for the next datagram; return it and its sender's address."""
        datagram, (host, port) = await self.udp.receive()
        return datagram, (host, port)

    async def aclose(self) -> None:
        """Close the socket."""
        self.send_socket.close()
        await self.udp.aclose()


async def open_socket(address: tuple[str, int]) -> DatagramSocket:
    """Open a UDP socket on a local address; port 0 selects any free port."""
    host, port = address
    udp = await anyio.create_udp_socket(local_host=host, local_port=port)
    raw = udp.extra(anyio.abc.SocketAttribute.raw_socket)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        raw.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return SharedSocket(udp)
