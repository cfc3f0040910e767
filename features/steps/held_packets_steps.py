"""Steps for packets that arrive while a host starts."""

import socket
import threading
import time

import behave
from fleet_forwarding_steps import OPEN, packet
from fleet_trust_steps import eventually, free_port, host_settings

from basilgate import forwarder, forwarderstart, heldpackets

ACK = 16


@behave.given("packets are held")
def hold(context):
    """Hold packets."""
    context.now = 1_000.0
    context.held = heldpackets.HeldPackets()


@behave.when("requests of {count:d} flows arrive {gap:g} s apart")
def requests_arrive(context, count, gap):
    """Receive a request of each flow."""
    for number in range(1, count + 1):
        context.held.add(packet(number, ACK, data=b"GET"), context.now)
        context.now += gap if number < count else 0.0


@behave.when(
    "an opening packet of flow 1 arrives, and its copies after {first:g} s and "
    "{second:g} s"
)
def copies_arrive(context, first, second):
    """Receive all copies of an opening packet."""
    for copy, delay in enumerate((0.0, first, second)):
        context.held.add(packet(1, OPEN, acknowledged=copy), context.now + delay)
    context.now += second


@behave.when("a request of flow 1 arrives, and again after {delay:g} s")
def request_arrives_twice(context, delay):
    """Receive a request and its retransmission."""
    for _ in range(2):
        context.held.add(packet(1, ACK, data=b"GET"), context.now)
        context.now += delay


@behave.when("a packet of {size:d} bytes arrives")
def malformed_packet(context, size):
    """Receive a malformed packet."""
    context.held.add(bytes(size), context.now)


def port_of(datagram):
    """Return the caller's port of a packet."""
    return int.from_bytes(datagram[20:22], "big")


@behave.then("the host gets the requests of the flows {numbers}")
def check_requests(context, numbers):
    """Check which packets are forwarded."""
    ports = [port_of(datagram) for datagram in context.held.take(context.now)]
    assert ports == [int(number) for number in numbers.split(",")], ports


@behave.then("the host gets only the last copy")
def check_copy(context):
    """Check the one packet."""
    (datagram,) = context.held.take(context.now)
    assert int.from_bytes(datagram[4:8], "big") == 2, datagram


@behave.then("the host gets {count:d} packets")
def check_count(context, count):
    """Check the number of packets."""
    assert len(context.held.take(context.now)) == count


@behave.when(
    "an opening packet arrives that {was} held, and {delay:g} s later its copy"
)
def open_twice(context, was, delay):
    """Open a flow twice."""
    fleet = context.fleet
    handle = fleet.forwarder.handle if was == "was not" else None
    (handle or fleet.forwarder.handle_held)(packet(1, OPEN))
    fleet.now += delay
    fleet.forwarder.check_openings(fleet.now)
    fleet.handle(packet(1, OPEN, acknowledged=1))


@behave.then("{count:d} targets are suspect")
def check_suspects(context, count):
    """Check the evidence against targets."""
    fleet = context.fleet
    assert len(fleet.suspicions.own_suspects(fleet.now)) == count


@behave.fixture
def starting_host(context):
    """Make a process with a socket that was bound before."""
    settings = host_settings(free_port())
    bound = forwarderstart.bind_early("127.0.0.1:0")
    process = forwarder.ForwarderProcess(settings, "none.toml", bound)
    context.handled = []
    process.forwarder.handle_held = context.handled.append
    context.process = process
    yield
    process.stopped.set()
    process.socket.close()
    process.peers.socket.close()


@behave.given("a socket that was bound early")
def bind_early(context):
    """Bind the socket."""
    behave.use_fixture(starting_host, context)


@behave.when("{count:d} opening packets arrive before the process runs")
def packets_before(context, count):
    """Send packets."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for port in range(count):
            address = context.process.socket.getsockname()
            caller.sendto(packet(port + 1, OPEN), address)


@behave.when("it becomes ready after {delay:g} s")
def become_ready(context, delay):
    """Run the packet loop, and then apply all documents."""
    view = context.process.view
    loop = threading.Thread(target=context.process.hold_packets, daemon=True)
    loop.start()
    time.sleep(delay)
    assert not context.handled
    view.configuration = object()
    view.targets_listed = view.overrides_listed = True
    context.loop = loop


@behave.then("{count:d} packets were handled")
def check_handled(context, count):
    """Check that none was lost."""
    eventually(lambda: len(context.handled) == count, "all packets are handled")
    context.loop.join()
