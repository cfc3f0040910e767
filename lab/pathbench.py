"""Cost of the packet path: `python -m lab.pathbench`.

Times are processor times of this process, given as ratios to a bare anyio UDP relay
that forwards the same packets, also those of the packet program. The cases run in
turns, and the median over the turns counts, so that the load of the machine cancels
out.
"""

import collections.abc
import cProfile
import dataclasses
import json
import math
import pathlib
import pstats
import socket
import statistics
import time
import timeit
import tracemalloc

import anyio
import anyio.abc
import fire
import fire.decorators

from basilgate import (
    client,
    controlmessages,
    datagrams,
    flowopening,
    requestrecords,
    tokens,
    wire,
)
from lab import fleetpath, solo

# A batch has to fit into a receive buffer of the usual size.
BATCH = 150
LIMIT_S = 10.0
BODY_BYTES = 100
STATE_COUNT = 10_000
OUT = pathlib.Path("out/pathbench.json")
RELAY_ADDRESS = "127.239.1.1"
FLOW = 77


class PlainSocket:
    """UDP socket of anyio and nothing else.

    Parameters
    ----------
    udp : anyio.abc.UDPSocket
        The socket.
    """

    def __init__(self, udp: anyio.abc.UDPSocket) -> None:
        self.udp = udp

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram."""
        await self.udp.sendto(data, host, port)

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""
        return await self.udp.receive()

    async def aclose(self) -> None:
        """Close the socket."""
        await self.udp.aclose()


class CountedSocket:
    """Socket that tells when a number of datagrams has been sent.

    Parameters
    ----------
    udp : datagrams.DatagramSocket
        The socket; sends go through it.
    """

    def __init__(self, udp: datagrams.DatagramSocket) -> None:
        self.udp = udp
        self.left = 0
        self.done = anyio.Event()

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram and count it."""
        await self.udp.sendto(data, host, port)
        self.left -= 1
        if self.left == 0:
            self.done.set()

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""
        return await self.udp.receive()

    async def aclose(self) -> None:
        """Close the socket."""
        await self.udp.aclose()


@dataclasses.dataclass(slots=True)
class Case:
    """A way for packets to go: sent to `address`, each gives one packet on `out`."""

    name: str
    datagram: bytes
    address: tuple[str, int]
    out: CountedSocket


async def relay_bare(udp: CountedSocket, sink: tuple[str, int]) -> None:
    """Forward all datagrams to the sink."""
    while True:
        datagram, _ = await udp.receive()
        await udp.sendto(datagram, *sink)


async def measure(case: Case, sender: socket.socket) -> float:
    """Return the processor time of one packet in seconds.

    Raises
    ------
    TimeoutError
        If not all packets come out.
    """
    for _ in range(BATCH):
        sender.sendto(case.datagram, case.address)
    case.out.left = BATCH
    case.out.done = anyio.Event()
    started_s = time.process_time()
    with anyio.fail_after(LIMIT_S):
        await case.out.done.wait()
    return (time.process_time() - started_s) / BATCH


def request(server: solo.Solo, target: int) -> bytes:
    """Return an idempotent request to a target."""
    placement = tokens.Placement(solo.SERVICE, target, 1, solo.NEVER)
    frame = wire.Frame(
        wire.Kind.REQUEST,
        solo.SERVICE,
        FLOW,
        request=1,
        flags=wire.FLAG_IDEMPOTENT,
        deadline_ms=client.now_ms() + 59_000,
        token=tokens.mint(server.balancer.ring, placement, FLOW),
        body=bytes(BODY_BYTES),
    )
    return wire.encode(frame)


def cases_of(server: solo.Solo, bare: CountedSocket) -> list[Case]:
    """Return the cases; the first is the bare relay."""
    out = CountedSocket(server.balancer.caller_socket)
    server.balancer.caller_socket = out
    own = request(server, solo.TARGET)
    caller = server.caller.extra(anyio.abc.SocketAttribute.local_address)
    relayed = wire.Relayed(1, 0, (str(caller[0]), int(caller[1])), 0, own)
    sealed = controlmessages.seal_relayed(server.codec, relayed)
    return [
        Case("bare relay", own, (RELAY_ADDRESS, 7000), bare),
        # A repeated request: the home decodes, verifies, looks up, and replies.
        Case("at the home", own, server.callers, out),
        Case(
            "relay to the home", request(server, solo.OTHER_TARGET), server.callers, out
        ),
        Case("at the home, relayed", sealed, server.callers, out),
    ]


async def bench_packets(turns: int, profile: bool) -> dict[str, list[float]]:
    """Return the processor time of one packet for each case and turn."""
    times: dict[str, list[float]] = {}
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sink, sender:
        async with solo.running(with_peer=True) as server:
            sink.bind((solo.peer_address(server.peers[0]), 7000))
            # Nothing sends heartbeats for the second member.
            server.balancer.members.peers[solo.PEER].dead_at = math.inf
            udp = await anyio.create_udp_socket(
                local_host=RELAY_ADDRESS, local_port=7000
            )
            bare = CountedSocket(PlainSocket(udp))
            cases = cases_of(server, bare)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(relay_bare, bare, sink.getsockname())
                # The first copy is queued without a reply.
                sender.sendto(cases[1].datagram, cases[1].address)
                await anyio.sleep(0.1)
                for case in cases:
                    await measure(case, sender)
                profiler = cProfile.Profile()
                for _ in range(turns):
                    for case in cases:
                        if profile and case is not cases[0]:
                            profiler.enable()
                        times.setdefault(case.name, []).append(
                            await measure(case, sender)
                        )
                        profiler.disable()
                if profile:
                    pstats.Stats(profiler).sort_stats("tottime").print_stats(25)
                tasks.cancel_scope.cancel()
            await bare.aclose()
    return times


def bench_functions(turns: int) -> dict[str, list[float]]:
    """Return the time of one call in seconds of each step of the path."""
    ring = tokens.KeyRing()
    ring.add(1, solo.KEY)
    codec = controlmessages.Codec(bytes.fromhex(solo.SECRET))
    placement = tokens.Placement(solo.SERVICE, solo.TARGET, 1, solo.NEVER)
    token = tokens.mint(ring, placement, FLOW)
    frame = wire.Frame(
        wire.Kind.REQUEST, solo.SERVICE, FLOW, 1, token=token, body=bytes(BODY_BYTES)
    )
    datagram = wire.encode(frame)
    relayed = wire.Relayed(1, 0, ("127.0.0.1", 9), 0, datagram)
    sealed = controlmessages.seal_relayed(codec, relayed)
    steps: dict[str, collections.abc.Callable[[], object]] = {
        "decode": lambda: wire.decode(datagram),
        "verify token": lambda: tokens.verify(ring, token, FLOW, solo.SERVICE, 0.0),
        "encode": lambda: wire.encode(frame),
        "seal relayed": lambda: controlmessages.seal_relayed(codec, relayed),
        "open relayed": lambda: controlmessages.open_relayed(codec, sealed),
    }
    times: dict[str, list[float]] = {}
    for _ in range(turns):
        for name, step in steps.items():
            spent = timeit.timeit(step, number=2_000, timer=time.process_time)
            times.setdefault(name, []).append(spent / 2_000)
    return times


def allocated(fill: collections.abc.Callable[[], object]) -> float:
    """Return the bytes that `fill` allocates and keeps, per `STATE_COUNT`."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = fill()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / STATE_COUNT


async def bench_state() -> dict[str, float]:
    """Return the bytes that one flow, request, and open occupy."""
    async with solo.running() as server:
        owner = server.balancer.owned_targets.owners[solo.TARGET]
        bodies = [
            wire.decode(
                wire.encode(
                    wire.Frame(
                        wire.Kind.REQUEST,
                        solo.SERVICE,
                        flow,
                        request=1,
                        deadline_ms=client.now_ms() + 30_000,
                        body=bytes(BODY_BYTES),
                    )
                )
            ).unwrap()
            for flow in range(1, STATE_COUNT + 1)
        ]

        def flows() -> None:
            for number in range(STATE_COUNT):
                owner.touch_flow(number << 40)

        def all_records(
            state: requestrecords.RecordState,
        ) -> list[requestrecords.Record]:
            return [
                requestrecords.Record(
                    frame.flow,
                    1,
                    False,
                    frame.deadline_ms,
                    state,
                    ("127.0.0.1", 9),
                    0.0,
                    keep_until_ms=frame.deadline_ms + 2_000,
                    frame=frame if state is requestrecords.RecordState.QUEUED else None,
                )
                for frame in bodies
            ]

        def table(
            state: requestrecords.RecordState,
        ) -> dict[tuple[int, int], requestrecords.Record]:
            return {record.key: record for record in all_records(state)}

        def opens() -> None:
            opener: flowopening.FlowOpener = server.balancer.opener
            for number in range(STATE_COUNT):
                frame = wire.Frame(wire.Kind.OPEN, solo.SERVICE, number << 40)
                opener.place_flow(frame)

        queued = table(requestrecords.RecordState.QUEUED)
        frame_bytes = allocated(
            lambda: [
                wire.decode(wire.encode(r.frame)) for r in queued.values() if r.frame
            ]
        )
        return {
            "flow at its home": allocated(flows),
            "ended request (record kept)": allocated(
                lambda: table(requestrecords.RecordState.UNKNOWN)
            ),
            f"frame of a queued request ({BODY_BYTES}-byte body)": frame_bytes,
            "open in the owner's memory (10 s)": allocated(opens),
        }


def summarise(
    packet_times: dict[str, list[float]],
    functions: dict[str, list[float]],
    state: dict[str, float],
) -> dict[str, dict[str, float]]:
    """Return medians as ratios to the bare relay, paired by turn."""
    bare = packet_times["bare relay"]
    ratios = {
        name: statistics.median(t / b for t, b in zip(times, bare, strict=True))
        for name, times in packet_times.items()
    }
    ratios["whole path with the extra hop"] = statistics.median(
        (relay + at_home) / b
        for relay, at_home, b in zip(
            packet_times["relay to the home"],
            packet_times["at the home, relayed"],
            bare,
            strict=True,
        )
    )
    unit = statistics.median(bare)
    return {
        "packets": ratios,
        "functions": {
            name: statistics.median(times) / unit for name, times in functions.items()
        },
        "state_bytes": state,
    }


def show(summary: dict[str, dict[str, float]]) -> None:
    """Print the tables."""
    titles = {
        "packets": "processor time of a packet, bare UDP relay = 1",
        "functions": "time of a step, bare UDP relay of a packet = 1",
        "state_bytes": "bytes of state",
    }
    for part, values in summary.items():
        print(titles[part])
        for name, value in values.items():
            shown = f"{value:10.0f}" if part == "state_bytes" else f"{value:10.2f}"
            print(f"  {name:45}{shown}")


@fire.decorators.SetParseFn(str)
def main(turns: str = "15", profile: str = "") -> None:
    """Measure the packet path; print tables and write JSON to ``out``.

    Parameters
    ----------
    turns : str
        How often each case is measured.
    profile : str
        Anything but an empty text profiles the packets first.
    """
    count = int(turns)
    packet_times = anyio.run(bench_packets, count, bool(profile))
    packet_times.update(fleetpath.bench(count, RELAY_ADDRESS))
    functions = bench_functions(count)
    state = anyio.run(bench_state)
    summary = summarise(packet_times, functions, state)
    show(summary)
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(summary, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main, name="pathbench")
