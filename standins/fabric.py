"""Stand-in of the fabric: sprays datagrams, and loses or duplicates them by seed."""

import dataclasses
import random

from basilgate import datagrams


@dataclasses.dataclass(slots=True)
class FabricFaults:
    """Share of datagrams that are lost, duplicated, or delayed (0 to 1)."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.02


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
        self.delayed: list[bytes] = []

    async def send(self, datagram: bytes) -> None:
        """Send a datagram to a random balancer, subject to the faults."""
        copies = 1 + (self.rng.random() < self.faults.duplication)
        if self.rng.random() < self.faults.loss:
            copies -= 1
        for _ in range(copies):
            await self.udp.sendto(datagram, *self.rng.choice(self.balancers))
        if self.delayed:
            late = self.delayed.pop()
            await self.udp.sendto(late, *self.rng.choice(self.balancers))
        if self.rng.random() < self.faults.reordering:
            # A copy that arrives after the next datagram.
            self.delayed.append(datagram)

    async def receive(self) -> bytes:
        """Return the next datagram that is not lost."""
        while True:
            datagram, _ = await self.udp.receive()
            if self.rng.random() >= self.faults.loss:
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
