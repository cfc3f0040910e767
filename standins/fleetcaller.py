"""Stand-in of callers and routers on the users' platform."""

import collections.abc
import dataclasses
import random
import socket
import struct
import threading
import time

from platformedge import packets

COPIES_S = (0.0, 0.2, 0.6)  # Opening packets of a caller, from the first.
REPEATS_S = (0.0, 0.2, 0.6, 1.4)  # Packets of a request without acknowledgement.
OPEN_LIMIT_S = 1.4
DEADLINE_S = 2.0


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow as its caller sees it; `host` gets its first packets.

    `ended_by` is the address that sent the reset, if one did.
    """

    key: bytes
    host: str = ""
    opened_by: int | None = None
    token: int = 0
    answers: set[bytes] = dataclasses.field(default_factory=set)
    opened_at: float = 0.0
    ended: str = ""
    ended_at: float = 0.0
    ended_by: str = ""


class Callers:
    """Callers at one address, whose packets a router spreads over ready hosts.

    Parameters
    ----------
    ip, port : str, int
        Address of the callers; the port is that of the forwarders.
    seed : int
        Decides which host gets a flow.
    """

    def __init__(self, ip: str, port: int, seed: int) -> None:
        self.ip = ip
        self.port = port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, port))
        self.hosts: list[str] = []
        self.flows: dict[bytes, Flow] = {}
        self.changed = threading.Condition()
        self.next_port = 1_024 + seed % 1_000
        self.rng = random.Random(seed)
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self) -> None:
        """Take packets of targets and resets of hosts."""
        while True:
            datagram, (sender, _) = self.socket.recvfrom(2_048)
            packet = packets.decode(datagram)
            if packet is None:
                continue
            port, host, caller, caller_port = struct.unpack(">HIIH", packet.flow)
            key = struct.pack(">HIIH", caller_port, caller, host, port)
            with self.changed:
                flow = self.flows.get(key)
                if flow is not None:
                    if packet.resetting and not flow.ended:
                        flow.ended_by = sender
                    self.note(flow, packet.resetting, packet.sequence, datagram)
                    self.changed.notify_all()

    def note(self, flow: Flow, resetting: bool, sequence: int, datagram: bytes) -> None:
        """Take one packet of a flow; the first target that accepts it has it.

        A reset before that ends the attempt, so that a later acceptance has no effect.
        """
        data = datagram[packets.HEADER.size :]
        if resetting:
            if not flow.ended:
                flow.ended, flow.ended_at = "reset", time.monotonic()
        elif data:
            flow.answers.add(data)
        elif flow.opened_by is None and not flow.ended:
            flow.opened_by, flow.opened_at = sequence, time.monotonic()
            flow.token = int.from_bytes(datagram[16:20], "big")

    def host_for(self, key: bytes) -> str | None:
        """Return the host that the router picks for a flow at the moment."""
        hosts = self.hosts
        return hosts[hash(key) % len(hosts)] if hosts else None

    def send(self, flow: Flow, flags: int, acknowledged: int, data: bytes) -> None:
        """Send one packet of a flow through the router."""
        port, caller, service, service_port = packets.FLOW.unpack(flow.key)
        head = packets.HEADER.pack(
            1,
            acknowledged,
            7,
            flags,
            0,
            len(data),
            flow.token,
            port,
            caller,
            service,
            service_port,
        )
        host = self.host_for(flow.key)
        if host is not None:
            self.socket.sendto(head + data, (host, self.port))

    def open(self, address: str, port: int) -> Flow:
        """Open a flow; `opened_by` is None if nobody accepted it in time."""
        service = int.from_bytes(socket.inet_aton(address), "big")
        caller = int.from_bytes(socket.inet_aton(self.ip), "big")
        began_at = time.monotonic()
        with self.changed:
            self.next_port = self.next_port % 60_000 + 1
            key = packets.FLOW.pack(self.next_port, caller, service, port)
            flow = self.flows[key] = Flow(key, self.host_for(key) or "")
        for copy, delay_s in enumerate((*COPIES_S, OPEN_LIMIT_S)):
            if self.wait(began_at + delay_s, lambda: accepted(flow)):
                break
            if delay_s < OPEN_LIMIT_S:
                self.send(flow, packets.FLAG_OPEN, copy, b"")
        if flow.opened_by is None:
            flow.ended = flow.ended or "not_opened"
        else:
            self.send(flow, packets.FLAG_ACK, flow.opened_by, b"")
        return flow

    def ask(self, flow: Flow, request: bytes) -> bytes | None:
        """Send a request; return the answer, None without one in time."""
        began_at = time.monotonic()
        found: list[bytes] = []

        def answered() -> bool:
            found[:] = [a for a in flow.answers if a.startswith(request + b" ")]
            return bool(found) or bool(flow.ended)

        for delay_s in (*REPEATS_S, DEADLINE_S):
            if self.wait(began_at + delay_s, answered):
                break
            if delay_s < DEADLINE_S:
                self.send(flow, packets.FLAG_ACK, flow.opened_by or 0, request)
        if found:
            # The acknowledgement of the answer is what hosts see of it.
            self.send(flow, packets.FLAG_ACK, (flow.opened_by or 0) + 1, b"")
            return found[0]
        if not flow.ended:
            flow.ended, flow.ended_at = "deadline", time.monotonic()
        return None

    def wait(self, until: float, holds: collections.abc.Callable[[], bool]) -> bool:
        """Wait until something holds or a time has come; tell whether it holds."""
        with self.changed:
            return bool(
                self.changed.wait_for(holds, max(0.0, until - time.monotonic()))
            )


def accepted(flow: Flow) -> bool:
    """Tell whether a flow was accepted or refused."""
    return flow.opened_by is not None or bool(flow.ended)
