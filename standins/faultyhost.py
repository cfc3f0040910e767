"""Runs a balancer whose network loses, repeats, delays, or cuts off datagrams.

The control port takes JSON datagrams: a list of rules, each with the fields of
`Rule`, which replaces the rules in force. The number of rules is sent back.
"""

import asyncio
import collections.abc
import dataclasses
import json
import random
import sys
import typing

import anyio
import anyio.abc
import fire
import fire.decorators

from basilgate import balancer, datagrams

CONTROL_PORT = 7003
# A connection attempt across a cut gets no answer for this long.
CUT_CONNECT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Faults of the datagrams to and from addresses with a prefix.

    `loss`, `duplication`, and `reordering` are shares (0 to 1). Sent datagrams are
    delayed by `delay_s`; a reordered one is delayed by another `late_s`. `cut`
    loses everything and also holds up TCP connections.
    """

    prefix: str
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0
    late_s: float = 0.05
    cut: bool = False


class Network:
    """Rules in force at this host.

    Parameters
    ----------
    seed : int
        Seed of the random faults.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rules: list[Rule] = []
        self.late: set[asyncio.Task[None]] = set()
        self.control: asyncio.DatagramTransport | None = None

    def rule_for(self, host: str) -> Rule | None:
        """Return the first rule for an address."""
        for rule in self.rules:
            if host.startswith(rule.prefix):
                return rule
        return None

    def is_cut(self, host: str) -> bool:
        """Tell whether an address cannot be reached."""
        rule = self.rule_for(host)
        return rule is not None and rule.cut

    def happens(self, share: float) -> bool:
        """Draw whether a fault of the given share happens."""
        return share > 0 and self.rng.random() < share

    def send_later(
        self,
        delay_s: float,
        send: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Send after a delay, without holding up the sender."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await send()

        task = asyncio.get_running_loop().create_task(wait())
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def connect_tcp(
        self, remote_host: str, remote_port: int, **options: typing.Any
    ) -> anyio.abc.SocketStream:
        """Connect as `anyio.connect_tcp` does, unless the address is cut off."""
        if self.is_cut(remote_host):
            await anyio.sleep(CUT_CONNECT_S)
            raise OSError(f"{remote_host} is cut off")
        stream: anyio.abc.SocketStream = await CONNECT_TCP(
            remote_host, remote_port, **options
        )
        return stream

    async def open_socket(self, address: tuple[str, int]) -> datagrams.DatagramSocket:
        """Open a socket that is subject to the rules, and the control port."""
        if self.control is None:
            loop = asyncio.get_running_loop()
            self.control, _ = await loop.create_datagram_endpoint(
                lambda: Control(self), local_addr=(address[0], CONTROL_PORT)
            )
        return FaultySocket(self, await datagrams.open_socket(address))


CONNECT_TCP = anyio.connect_tcp


class Control(asyncio.DatagramProtocol):
    """Control port of a faulty host."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the replies."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Replace the rules."""
        self.network.rules = [Rule(**fields) for fields in json.loads(data)]
        assert self.transport is not None
        self.transport.sendto(b"%d" % len(self.network.rules), addr)


class FaultySocket:
    """UDP socket that is subject to the rules of a network.

    Parameters
    ----------
    network : Network
        Rules in force.
    udp : datagrams.DatagramSocket
        The socket itself.
    """

    def __init__(self, network: Network, udp: datagrams.DatagramSocket) -> None:
        self.network = network
        self.udp = udp
        self.repeated: list[tuple[bytes, tuple[str, int]]] = []

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram, subject to the rule for its receiver."""
        rule = self.network.rule_for(host)
        if rule is None:
            await self.udp.sendto(data, host, port)
            return
        if rule.cut or self.network.happens(rule.loss):
            return
        delay_s = rule.delay_s
        if self.network.happens(rule.reordering):
            delay_s += rule.late_s
        for _ in range(1 + self.network.happens(rule.duplication)):
            if delay_s:
                self.network.send_later(
                    delay_s, lambda: self.udp.sendto(data, host, port)
                )
            else:
                await self.udp.sendto(data, host, port)

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram that its sender's rule lets pass."""
        if self.repeated:
            return self.repeated.pop()
        while True:
            datagram, sender = await self.udp.receive()
            rule = self.network.rule_for(sender[0])
            if rule is None:
                return datagram, sender
            if rule.cut or self.network.happens(rule.loss):
                continue
            if self.network.happens(rule.duplication):
                self.repeated.append((datagram, sender))
            return datagram, sender

    async def aclose(self) -> None:
        """Close the socket."""
        await self.udp.aclose()


@fire.decorators.SetParseFns(settings_file=str, seed=int)
def run(settings_file: str, seed: int = 1) -> None:
    """Run a balancer on a faulty network until SIGTERM."""
    network = Network(seed)
    anyio.connect_tcp = network.connect_tcp  # type: ignore[assignment]
    sys.exit(balancer.run_process(settings_file, network.open_socket))


if __name__ == "__main__":
    fire.Fire(run)
