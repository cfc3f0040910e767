"""Stand-in of a target on the users' platform: flows of raw packets over UDP."""

import socket
import struct
import threading
import time

from platformedge import packets

REPLY = struct.Struct(">IIIBBHIHIIH")
TICK_S = 0.1  # How soon a stopped target's thread ends.


class FleetTarget:
    """Accepts flows, answers each request at once, and says what it got.

    Parameters
    ----------
    number : int
        Number that addresses it.
    service : str
        Its service, part of each answer.
    ip : str
        Its address; the port is chosen.
    caller_port : int
        Port of all callers.
    """

    def __init__(self, number: int, service: str, ip: str, caller_port: int) -> None:
        self.number = number
        self.service = service
        self.caller_port = caller_port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, 0))
        self.socket.settimeout(TICK_S)
        self.address: tuple[str, int] = self.socket.getsockname()
        self.flows: set[bytes] = set()
        # Time and flow of each first opening packet.
        self.openings: list[tuple[float, bytes]] = []
        self.ran: set[bytes] = set()
        self.foreign = 0
        self.silent = False
        self.ended = False
        # Health checks come over TCP to the same address.
        self.health: socket.socket | None = None
        self.listen()
        threading.Thread(target=self.run, daemon=True).start()

    def listen(self) -> None:
        """Take TCP connections; nothing is read from them."""
        self.stop_listening()
        self.health = socket.create_server(self.address)

    def stop_listening(self) -> None:
        """Refuse TCP connections."""
        if self.health is not None:
            self.health.close()
            self.health = None

    def crash(self) -> None:
        """Take nothing any more, and forget all flows."""
        self.silent = True
        self.stop_listening()
        self.flows.clear()

    def restart(self) -> None:
        """Serve again, without the flows of before, unless it has ended."""
        if not self.ended:
            self.listen()
            self.silent = False

    def run(self) -> None:
        """Serve datagrams until the target ends."""
        while not self.ended:
            try:
                datagram = self.socket.recv(2_048)
            except TimeoutError:
                continue
            if not self.silent:
                self.take(datagram)
        self.stop_listening()
        self.socket.close()

    def take(self, datagram: bytes) -> None:
        """Handle one datagram."""
        number = packets.TARGET_PREFIX.unpack_from(datagram)[0]
        packet = packets.decode(datagram[packets.TARGET_PREFIX.size :])
        if number != self.number or packet is None:
            self.foreign += 1
            return
        if packet.opening:
            if packet.copy == 0 or packet.flow not in self.flows:
                self.openings.append((time.monotonic(), packet.flow))
            self.flows.add(packet.flow)
            self.reply(packet.flow, packet.token, packets.FLAG_OPEN | packets.FLAG_ACK)
        elif packet.flow not in self.flows:
            self.reply(packet.flow, packet.token, packets.FLAG_RESET)
        elif packet.data_bytes:
            request = packet.datagram[packets.HEADER.size :]
            self.ran.add(request)
            answer = request + b" " + self.service.encode()
            self.reply(packet.flow, packet.token, packets.FLAG_ACK, answer)

    def reply(self, flow: bytes, token: int, flags: int, data: bytes = b"") -> None:
        """Send a packet straight to the caller."""
        caller_port, caller, service, service_port = packets.FLOW.unpack(flow)
        head = REPLY.pack(
            self.number & 0xFFFFFFFF,
            1,
            0,
            flags,
            0,
            len(data),
            token,
            service_port,
            service,
            caller,
            caller_port,
        )
        self.socket.sendto(head + data, (packets.dotted(caller), self.caller_port))
