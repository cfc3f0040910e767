"""UDP sockets that several tasks may send on."""

import collections.abc
import contextlib
import os
import socket
import typing

import anyio
import anyio.abc

# Bursts of answer pieces overflow the usual 208 KB buffer.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class DatagramSocket(typing.Protocol):
    """What balancers and callers need of a UDP socket."""

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; a failure counts as a lost datagram."""

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""

    async def aclose(self) -> None:
        """Close the socket."""


Factory = collections.abc.Callable[
    [tuple[str, int]], collections.abc.Awaitable[DatagramSocket]
]


class SharedSocket:
    """UDP socket that several tasks may send on.

    Sends go to the system at once. The way through the event loop, with anyio's
    lock and checkpoints, took more time than the system call; it remains for the
    case that the send buffer is full.

    Parameters
    ----------
    udp : anyio.abc.UDPSocket
        The open socket.
    """

    def __init__(self, udp: anyio.abc.UDPSocket) -> None:
        self.udp = udp
        self.send_lock = anyio.Lock(fast_acquire=True)
        # asyncio gives out its socket without the methods that send.
        raw = udp.extra(anyio.abc.SocketAttribute.raw_socket)
        self.send_socket = socket.socket(fileno=os.dup(raw.fileno()))

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; a failure counts as a lost datagram."""
        try:
            self.send_socket.sendto(data, (host, port))
        except BlockingIOError:
            async with self.send_lock:
                with contextlib.suppress(OSError):
                    await self.udp.sendto(data, host, port)
        except OSError:
            pass

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""
        datagram, (host, port) = await self.udp.receive()
        return datagram, (host, port)

    async def aclose(self) -> None:
        """Close the socket."""
        self.send_socket.close()
        await self.udp.aclose()


async def open_socket(address: tuple[str, int]) -> DatagramSocket:
    """Open a UDP socket on a local address; port 0 takes any free port."""
    host, port = address
    udp = await anyio.create_udp_socket(local_host=host, local_port=port)
    raw = udp.extra(anyio.abc.SocketAttribute.raw_socket)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        raw.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return SharedSocket(udp)
