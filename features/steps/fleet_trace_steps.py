"""Steps for the way from a failed flow to its cause."""

import os
import socket
import time

import behave
from fleet_feed_steps import Process, eventually
from fleet_forwarding_steps import configuration, route

from basilgate import clock, eventlog, fleettrace


def read_log(context):
    """Return all that the hosts of a scenario have logged."""
    if "hosts" in context:
        return context.past + "".join(host.log() for host in context.hosts)
    os.set_blocking(context.log_reader, False)
    parts = []
    while True:
        try:
            parts.append(os.read(context.log_reader, 65_536))
        except BlockingIOError:
            return b"".join(parts).decode()


@behave.then("the trace of {flow} says {cause}")
def check_trace(context, flow, cause):
    """Trace a flow by program."""
    flow = context.flow if flow == "that flow" else flow
    context.story = fleettrace.trace(read_log(context), flow)
    assert context.story.cause.value == cause, context.story


ODD_LOGS = {
    "a key without value": ("time=1 ", "a"),
    "an open quote": ("time=1 ", 'a="\\"'),
    "lines of one flow": (
        "",
        "time=1 event=configuration_in_force host=h1 flow=f version=1 "
        "config_version=5\n",
    ),
}


@behave.given("a log of {size:d} bytes that repeats {text}")
def make_odd_log(context, size, text):
    """Repeat a text."""
    begin, repeated = ODD_LOGS[text]
    context.odd_log = begin + repeated * (size // len(repeated))


@behave.then("it is traced within {limit_s:d} s of processor time")
def check_trace_time(context, limit_s):
    """Check the time; quadratic work takes several seconds to minutes."""
    started_s = time.thread_time()
    fleettrace.trace(context.odd_log, "f")
    taken_s = time.thread_time() - started_s
    assert taken_s <= limit_s, taken_s


@behave.then("it shows {events}")
def check_lines(context, events):
    """Check that each event has a line."""
    for event in events.split(", "):
        shown = [line for line in context.story.lines if f" event={event} " in line]
        assert shown, (event, context.story.lines)


@behave.then("the line of {event} has {keys}")
def check_keys(context, event, keys):
    """Check the keys of the event's line, and their values where they are given."""
    (line, *_) = [s for s in context.story.lines if f" event={event} " in s]
    for key in keys.split(", "):
        expected = key if key.endswith("=") else f"{key} "
        assert f" {expected}" in f"{line} ", (key, line)


@behave.given("another host that has had configuration 9 for 5 s")
def add_host(context):
    """Let another host be ahead, and this one have lost the store."""
    rig = context.fleet
    other = eventlog.EventLog(context.log_descriptor, "h2")
    view = type(rig.view)(other, rig.counts, 60.0)
    view.apply_configuration(configuration(9, route()))
    rig.log.write("store_lost", kind="config", reason="timeout", revision=5)
    rig.now += 5.0


@behave.when("a flow opens at the second host")
def open_at_second(context):
    """Send an opening packet to the second host."""
    host = context.hosts[1]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        opening = bytes.fromhex("1122334400000000000000004000000000000000")
        opening += (2_000).to_bytes(2, "big") + socket.inet_aton("127.0.0.1")
        opening += socket.inet_aton("198.18.0.1") + (443).to_bytes(2, "big")
        caller.sendto(opening, (host.ip, host.port + 1))
    context.flow = "127.0.0.1:2000>198.18.0.1:443"
    eventually(lambda: f"flow={context.flow} " in host.log(), "the flow is placed")


@behave.when("the second host is killed and starts again")
def restart_second(context):
    """Kill a host and start it anew."""
    host = context.hosts[1]
    host.process.kill()
    host.process.wait()
    context.past = host.log()
    context.hosts[1] = Process(context, host.ip)
    eventually(lambda: context.hosts[1].status() == 200, "the host is ready")


@behave.fixture
def log_pipe(context):
    """Give a pipe to log to."""
    context.log_reader, context.log_descriptor = os.pipe()
    real = clock.steady_s
    context.steady_now = 50.0
    clock.steady_s = lambda: context.steady_now
    context.events = eventlog.EventLog(context.log_descriptor, "h1")
    yield
    clock.steady_s = real
    os.close(context.log_reader)
    os.close(context.log_descriptor)


@behave.given("an event log")
@behave.given("an event log whose reader has stopped")
def make_log(context):
    """Set up a log."""
    behave.use_fixture(log_pipe, context)


@behave.when("{count:d} events are written at once")
def write_at_once(context, count):
    """Write events without any time between them."""
    for position in range(count):
        context.events.write("something", position=position)


@behave.when("{count:d} events are written slowly")
def write_slowly(context, count):
    """Write long events below the ceiling."""
    for _ in range(count):
        context.events.write("something", text="x" * 500)
        context.steady_now += 0.1


@behave.then("at most {count:d} lines are written")
def check_ceiling(context, count):
    """Check the number of lines, and that those left out are counted."""
    lines = read_log(context).splitlines()
    assert 0 < len(lines) <= count, len(lines)
    assert context.events.omitted_total == 1_000 - len(lines)


@behave.then("a later line tells how many were left out")
def check_told(context):
    """Check the next line."""
    omitted = context.events.omitted_since_write
    context.steady_now += 1.0
    context.events.write("next")
    assert f" omitted_lines={omitted}\n" in read_log(context)


@behave.then("lines are left out and counted")
def check_left_out(context):
    """Check that writing went on although the pipe is full."""
    written = len(read_log(context).splitlines())
    assert 0 < written < 1_000
    assert context.events.omitted_total == 1_000 - written
