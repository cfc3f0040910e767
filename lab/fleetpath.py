"""Processor time of the packets of `basilgate-forwarder`, for `lab.pathbench`."""

import os
import random
import socket
import struct
import time

from basilgate import (
    connectionprobes,
    counters,
    eventlog,
    fleetmodel,
    fleetview,
    flowtable,
    forwarding,
    peertable,
    suspicion,
    targetchoice,
)
from platformedge import packets

BATCH = 150
BODY_BYTES = 100
PACKET_ROUTE = bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big")
SIZES = (7, 60, 590)  # Targets of a service: today, once grown, at the capacity goal.


class PacketProgram:
    """The packet path of `basilgate-forwarder` with a real socket, without threads.

    Parameters
    ----------
    targets : int
        Targets of the service.
    sink : (str, int)
        Where all targets are.
    """

    def __init__(self, targets: int, sink: tuple[str, int]) -> None:
        self.null = os.open(os.devnull, os.O_WRONLY)
        log, counts = eventlog.EventLog(self.null, "h1"), counters.Counters()
        self.view = fleetview.FleetView(log, counts, 60.0)
        flows = flowtable.FlowTable()
        suspicions = suspicion.Suspicions(log, counts)
        settings = fleetmodel.HostSettings(
            "h1", "d1", sink[0], sink, sink, sink, (0, 0), (), 6.0, 60.0
        )
        self.peers = peertable.PeerTable(settings, log, counts)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        chooser = targetchoice.TargetChooser(
            self.view, flows, self.peers, suspicions, "d1", random.Random(1)
        )
        self.forwarder = forwarding.Forwarder(
            self.view,
            flows,
            chooser,
            suspicions,
            connectionprobes.ConnectionProber(log, counts),
            self.send,
            lambda: False,
            sink[1],
            log,
            counts,
        )
        route = fleetmodel.Route("r", PACKET_ROUTE, (("desk", 1.0),))
        self.view.apply_configuration(
            fleetmodel.Configuration(1, {PACKET_ROUTE: route}, 15.0)
        )
        for number in range(1, targets + 1):
            found = fleetmodel.Target(
                f"i-{number:x}", number, number, "desk", sink, "d1", 3, False, 0.0, 1
            )
            self.view.apply_target(found, fleetmodel.Position(1, number))
        self.view.targets_listed = self.view.overrides_listed = True
        self.port = 0

    def send(self, datagram: bytes, address: fleetmodel.Address) -> None:
        """Send a datagram."""
        self.socket.sendto(datagram, address)

    def close(self) -> None:
        """Close sockets and files."""
        self.socket.close()
        self.peers.socket.close()
        os.close(self.null)

    def packet(self, flags: int, token: int) -> bytes:
        """Return a packet of the next flow."""
        self.port = self.port % 60_000 + 1
        flow = struct.pack(">HI", self.port, 0x64400007) + PACKET_ROUTE
        head = struct.pack(">IIIBBHI", 1, 0, 7, flags, 0, BODY_BYTES, token)
        return head + flow + bytes(BODY_BYTES)


def bench(turns: int, ip: str) -> dict[str, list[float]]:
    """Return the processor time of one packet in seconds, by case."""
    times: dict[str, list[float]] = {}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind((ip, 0))
        for targets in SIZES:
            program = PacketProgram(targets, sink.getsockname())
            for name, flags, token in (
                (f"packet program, open flow, {targets} targets", packets.FLAG_ACK, 1),
                (f"packet program, opening, {targets} targets", packets.FLAG_OPEN, 0),
            ):
                for _ in range(turns):
                    found = [program.packet(flags, token) for _ in range(BATCH)]
                    started_s = time.process_time()
                    for datagram in found:
                        program.forwarder.handle(datagram)
                    spent_s = time.process_time() - started_s
                    times.setdefault(name, []).append(spent_s / BATCH)
            program.close()
    return times
