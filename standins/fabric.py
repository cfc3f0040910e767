"""Stand-in of the fabric: sprays datagrams, and loses or repeats them by seed."""

import collections
import dataclasses
import random
import time

from basilgate import datagrams


@dataclasses.dataclass(slots=True)
class FabricFaults:
    """Shares of datagrams (0 to 1) to which something happens.

    A reordered datagram is sent after the next one. Of a late one, a copy arrives
    up to `late_s` seconds afterwards; the fabric's datagram lifetime is 2 s.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    late: float = 0.0
    late_s: float = 1.8


class SprayingTransport:
    """Caller's transport that sends each datagram to any balancer.

    Parameters
    ----------
    udp : datagrams.DatagramSocket
        The caller's socket.
    balancers : list of (str, int)
        Addresses of the balancers; the list may change while in use.
    seed : int
        Seed of the spraying and the faults.
    faults : FabricFaults or None
        What goes wrong, in both directions.
    """

    def __init__(
        self,
        udp: datagrams.DatagramSocket,
        balancers: list[tuple[str, int]],
        seed: int,
        faults: FabricFaults | None = None,
    ) -> None:
        self.udp = udp
        self.balancers = balancers
        self.rng = random.Random(seed)
        self.faults = faults or FabricFaults()
        self.reordered: list[bytes] = []
        # Copies that arrive late, with the monotonic time at which they are due.
        self.late: collections.deque[tuple[float, bytes]] = collections.deque()
        self.repeated: list[bytes] = []

    def happens(self, share: float) -> bool:
        """Draw whether a fault of the given share happens."""
        return share > 0 and self.rng.random() < share

    async def send(self, datagram: bytes) -> None:
        """Send a datagram to a random balancer, subject to the faults."""
        held, self.reordered = self.reordered, []
        copies = 1 + self.happens(self.faults.duplication)
        if self.happens(self.faults.loss):
            copies -= 1
        if self.happens(self.faults.reordering):
            self.reordered.append(datagram)
            copies = 0
        if self.happens(self.faults.late):
            due_at = time.monotonic() + self.rng.uniform(0, self.faults.late_s)
            self.late.append((due_at, datagram))
        for _ in range(copies):
            await self.spray(datagram)
        for other in held:
            await self.spray(other)
        while self.late and self.late[0][0] <= time.monotonic():
            await self.spray(self.late.popleft()[1])

    async def spray(self, datagram: bytes) -> None:
        """Send a datagram to a random balancer."""
        await self.udp.sendto(datagram, *self.rng.choice(self.balancers))

    async def receive(self) -> bytes:
        """Return the next datagram that is not lost."""
        if self.repeated:
            return self.repeated.pop()
        while True:
            datagram, _ = await self.udp.receive()
            if self.happens(self.faults.loss):
                continue
            if self.happens(self.faults.duplication):
                self.repeated.append(datagram)
            return datagram

    async def aclose(self) -> None:
        """Close the socket."""
        await self.udp.aclose()


async def connect(
    local_host: str,
    balancers: list[tuple[str, int]],
    seed: int,
    faults: FabricFaults | None = None,
) -> SprayingTransport:
    """Return a transport for one caller."""
    udp = await datagrams.open_socket((local_host, 0))
    return SprayingTransport(udp, balancers, seed, faults)
