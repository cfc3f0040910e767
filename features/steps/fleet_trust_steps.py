"""Steps for failures that operators of similar systems have met."""

import signal
import socket
import threading
import time
import zlib

import behave
from fleet_feed_steps import (
    HOSTS,
    SERVICE_IP,
    TOO_DEEP,
    configuration,
    entry,
    eventually,
    free_port,
    quiet_log,
)

from basilgate import (
    counters,
    errorguard,
    eventlog,
    fleetmodel,
    forwarder,
    peertable,
)
from basilgate.relay import relaymessages
from platformedge import store

CALL_TIMEOUT_S = 5.0
NAMES = ("i-00000001", "i-00000002")
DEEP_ARRAYS = b"\x91" * 5_000 + b"\xc0"  # MessagePack of arrays of one element.


@behave.given("the store sends each answer again {after:g} s later")
def repeat_answers(context, after):
    """Send each answer twice."""
    # 0 turns the fault off, so at once is the shortest delay.
    context.store.faults.repeat_after_s = max(after, 1e-6)


@behave.given(
    "the store sends each answer again {after:g} s later, and each answer takes "
    "{delay:g} s"
)
def repeat_slow_answers(context, after, delay):
    """Send each answer twice, so that the second comes during the next call."""
    repeat_answers(context, after)
    context.store.faults.delay_s = delay


def read(connection, name):
    """Return the result of reading one target's entry."""
    return store.get_object(connection, "servers", name, CALL_TIMEOUT_S)


@behave.when("a client reads both targets in turn, {pause:g} s apart")
def read_in_turn(context, pause):
    """Read on one connection."""
    context.connection = store.Connection(context.address)
    context.results = []
    context.store.faults.delay_s = 0.0 if pause else 0.1
    for name in NAMES:
        context.results.append((name, read(context.connection, name)))
        time.sleep(pause)


@behave.then("no read got the other target's entry")
def check_own_answers(context):
    """Check that each result is the target's own or a failure."""
    for name, result in context.results:
        assert isinstance(result, store.Failure) or result.name == name, result
    assert not isinstance(context.results[0][1], store.Failure)


@behave.then("a client that reads again gets each target's entry")
def check_read_again(context):
    """Check that a failed read costs one call."""
    for name in NAMES:
        results = [read(context.connection, name) for _ in range(2)]
        assert any(
            not isinstance(result, store.Failure) and result.name == name
            for result in results
        ), results
    context.connection.close()


@behave.when("a client watches the targets twice after a change")
def watch_twice(context):
    """Watch from before a change of a target, and from after one of the routes."""
    connection = store.Connection(context.address)
    context.watches = []
    revision = context.store.revision
    context.store.put("servers", "i-000000bb", entry(8))
    for _ in range(2):
        position = fleetmodel.Position(context.store.era, revision)
        result = store.watch_kind(connection, "servers", position, 0.3, CALL_TIMEOUT_S)
        context.watches.append(result)
        revision = context.store.put("config", "main", configuration(9))
    connection.close()


@behave.then("the second watch did not get the first one's answer")
def check_watches(context):
    """Check what the watches returned."""
    first, second = context.watches
    assert [document.name for document in first.documents] == ["i-000000bb"], first
    assert isinstance(second, store.Failure) or not second.documents, second


@behave.given("a colleague's override of the first target")
def add_override(context):
    """Write an override."""
    spec = {"kind": "drain", "service": "desk", "target": NAMES[0], "operator": "Radu"}
    context.store.put("basilgate-overrides", NAMES[0], spec)


def malformed_report(what):
    """Return a datagram that is no valid report."""
    report = peertable.Report(
        "h9", "d1", HOSTS[3], 1, 1, 1, False, {1: (1, 0.5)}, [], [], []
    )
    if what == "an address that is none":
        report.neighbours = ["\0"]
    elif what == "a load that is no number":
        report.loads = {1: (1, float("nan"))}
    datagram = bytearray(peertable.ENCODER.encode(report))
    if what == "nested too deep":
        datagram[0] += 1  # One more element, of which the decoder knows nothing.
        datagram += DEEP_ARRAYS
    return bytes(datagram)


@behave.when("the second host receives {message}")
def send_message(context, message):
    """Send one message that is malformed."""
    host = context.hosts[1]
    if message.startswith("a report"):
        what = message.removeprefix("a report ").removeprefix("with ")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((HOSTS[3], 0))
            sender.sendto(malformed_report(what), (host.ip, host.port))
    elif message.startswith("a relay request"):
        request = relaymessages.Subscription("h9", {})
        body = bytearray(relaymessages.ENCODER.encode(request))
        body[0] += 1
        body = zlib.compress(bytes(body) + DEEP_ARRAYS)
        with socket.create_connection((host.ip, host.port)) as sender:
            sender.sendall(relaymessages.LENGTH_PREFIX.pack(len(body)) + body)
            sender.settimeout(CALL_TIMEOUT_S)
            assert sender.recv(1) == b""
    else:
        context.store.put("servers", "i-000000aa", TOO_DEEP)
    # Long enough for the loops that send to what a report has named.
    time.sleep(1.0)


@behave.then("no host has ended")
def check_running(context):
    """Check that all processes run and are ready."""
    for host in context.hosts:
        assert host.process.poll() is None, host.log()[-2_000:]
        assert host.status() == 200


def host_settings(port):
    """Return settings of a host on loopback."""
    address = "127.0.0.1"
    return fleetmodel.HostSettings(
        name="h1",
        domain="d1",
        own_ip=address,
        listen=(address, port),
        readiness=(address, port),
        store=(address, port),
        peer_ports=(port, port),
        seeds=(),
        grace_s=6.0,
        flow_age_limit_s=60.0,
    )


@behave.fixture
def failing_host(context):
    """Run the packet loop of a host whose first packet raises an error."""
    process = forwarder.ForwarderProcess(host_settings(free_port()), "none.toml")
    context.handled = []

    def handle(datagram):
        context.handled.append(datagram)
        if len(context.handled) == 1:
            raise LookupError("first packet")

    process.forwarder.handle = handle
    process.socket.bind(("127.0.0.1", 0))
    context.process = process
    loop = threading.Thread(target=process.forward_packets, daemon=True)
    loop.start()
    yield
    process.stopped.set()
    loop.join()
    process.socket.close()
    process.peers.socket.close()


@behave.given("a host whose handling of the first packet fails")
def make_failing_host(context):
    """Start the packet loop."""
    behave.use_fixture(failing_host, context)


@behave.when("it receives {count:d} packets")
def send_packets(context, count):
    """Send packets."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for number in range(count):
            caller.sendto(bytes([number]), context.process.socket.getsockname())


@behave.then("both were handled, and the error of the first one is counted")
def check_handled(context):
    """Check that the loop went on."""
    eventually(lambda: len(context.handled) == 2, "both packets are handled")
    counts = context.process.counts
    assert counts.counter_values["unexpected_errors_total", (("activity", "packet"),)]


@behave.given("a loop that fails twice")
def make_loop(context):
    """Make a loop."""
    context.runs = 0

    def loop():
        context.runs += 1
        if context.runs < 3:
            raise LookupError(f"run {context.runs}")

    context.loop = loop


@behave.when("it runs under the guard")
def run_loop(context):
    """Run it to its end."""
    behave.use_fixture(quiet_log, context)
    context.counts = counters.Counters()
    log = eventlog.EventLog(context.null, "h1")
    errorguard.ErrorGuard(log, context.counts).run_loop("loop", context.loop)


@behave.then("it has run {runs:d} times, and {errors:d} errors are counted")
def check_loop(context, runs, errors):
    """Check the counts."""
    assert context.runs == runs
    assert context.counts.total("unexpected_errors_total") == errors


@behave.when(
    "it is suspended until its drain has ended, while {count:d} packets arrive"
)
def suspend_at_end(context, count):
    """Let packets wait in the buffer at the end of the drain."""
    host = context.hosts[1]
    eventually(lambda: "event=stopping" in host.log(), "it is stopping")
    host.process.send_signal(signal.SIGSTOP)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for number in range(count):
            opening = bytes(12) + b"\x40" + bytes(7)
            opening += (20_000 + number).to_bytes(2, "big") + socket.inet_aton(host.ip)
            opening += socket.inet_aton(SERVICE_IP) + (443).to_bytes(2, "big")
            caller.sendto(opening, (host.ip, host.port + 1))
    time.sleep(forwarder.MAX_DRAIN_S + 0.5)
    host.process.send_signal(signal.SIGCONT)


@behave.then("it has forwarded {count:d} packets")
def check_forwarded(context, count):
    """Check the last line of the log."""
    last = context.hosts[1].log().splitlines()[-1]
    assert f"event=stopped host=host-{HOSTS[1]} forwarded={count}" in last, last
