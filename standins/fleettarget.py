"""Stand-in of a target on the users' platform: flows of raw packets over UDP."""

import heapq
import socket
import struct
import threading
import time

from platformedge import packets

REPLY = struct.Struct(">IIIBBHIHIIH")
TICK_S = 0.1  # How soon a stopped target's thread ends.
MIN_WAIT_S = 0.0005  # A timeout of 0 would make the socket non-blocking.
QUEUE_LENGTH = 4  # Requests that wait for a slot.


class FleetTarget:
    """Accepts flows, runs requests, and says what it got.

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
    slots, service_s : int, float, optional
        Requests that run at a time, and time of each in seconds. More than
        `QUEUE_LENGTH` others are turned away. Without slots all are answered at once.
    """

    def __init__(
        self,
        number: int,
        service: str,
        ip: str,
        caller_port: int,
        slots: int = 0,
        service_s: float = 0.0,
    ) -> None:
        self.number = number
        self.service = service
        self.caller_port = caller_port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, 0))
        self.socket.settimeout(TICK_S)
        self.address: tuple[str, int] = self.socket.getsockname()
        self.flows: set[bytes] = set()
        # Time, flow, and sending host of each first opening packet.
        self.openings: list[tuple[float, bytes, str]] = []
        # Time and sending host of the last other packet of each flow.
        self.heard: dict[bytes, tuple[float, str]] = {}
        # Times of all opening packets, copies included.
        self.opening_times: list[float] = []
        self.service_s = service_s
        # When slots are free; end, flow, token, and request of those in progress.
        self.free_at = [0.0] * slots
        self.running: list[tuple[float, bytes, int, bytes]] = []
        self.ran: set[bytes] = set()
        self.foreign = 0
        self.silent = False
        # Down until `down` is cleared, whatever other faults end.
        self.down = False
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
        if not self.ended and not self.down:
            self.listen()
            self.silent = False

    def run(self) -> None:
        """Serve datagrams until the target ends."""
        while not self.ended:
            due_at = self.running[0][0] if self.running else float("inf")
            wait_s = min(TICK_S, max(MIN_WAIT_S, due_at - time.monotonic()))
            self.socket.settimeout(wait_s)
            try:
                datagram, (sender, _) = self.socket.recvfrom(2_048)
            except TimeoutError:
                datagram, sender = b"", ""
            self.finish()
            if datagram and not self.silent and not self.down:
                self.take(datagram, sender)
        self.stop_listening()
        self.socket.close()

    def take(self, datagram: bytes, sender: str) -> None:
        """Handle one datagram of a host."""
        number = packets.TARGET_PREFIX.unpack_from(datagram)[0]
        packet = packets.decode(datagram[packets.TARGET_PREFIX.size :])
        if number != self.number or packet is None:
            self.foreign += 1
            return
        if packet.opening:
            self.opening_times.append(time.monotonic())
            if packet.copy == 0 or packet.flow not in self.flows:
                self.openings.append((time.monotonic(), packet.flow, sender))
            self.flows.add(packet.flow)
            self.reply(packet.flow, packet.token, packets.FLAG_OPEN | packets.FLAG_ACK)
            return
        self.heard[packet.flow] = time.monotonic(), sender
        if packet.flow not in self.flows:
            self.reply(packet.flow, packet.token, packets.FLAG_RESET)
        elif packet.data_bytes:
            self.accept(packet.flow, packet.token, packet.datagram)

    def accept(self, flow: bytes, token: int, datagram: bytes) -> None:
        """Run a request, or say that it was not run."""
        request = datagram[packets.HEADER.size :]
        end = time.monotonic()
        if self.free_at and len(self.running) >= len(self.free_at) + QUEUE_LENGTH:
            self.reply(flow, token, packets.FLAG_ACK, request + b" full")
            return
        if self.free_at:
            end = max(end, heapq.heappop(self.free_at)) + self.service_s
            heapq.heappush(self.free_at, end)
        heapq.heappush(self.running, (end, flow, token, request))
        self.finish()

    def finish(self) -> None:
        """Answer the requests that have ended, unless the target has crashed."""
        while self.running and self.running[0][0] <= time.monotonic():
            _, flow, token, request = heapq.heappop(self.running)
            if self.silent or self.down or flow not in self.flows:
                continue
            self.ran.add(request)
            answer = request + b" " + self.service.encode()
            self.reply(flow, token, packets.FLAG_ACK, answer)

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
