"""Steps for forwarding on the users' platform."""

import collections
import os
import signal
import socket
import struct
import threading
import types

import behave
import hypothesis
import hypothesis.strategies as st
import msgspec

from basilgate import (
    clock,
    connectionprobes,
    counters,
    documentcache,
    eventlog,
    fleetmodel,
    fleetview,
    flowtable,
    forwarding,
    invariants,
    peerreports,
    peertable,
    suspicion,
    targetchoice,
)

SERVICE_IP = "198.18.0.1"
CALLER_PORT = 8172
NEAR, FAR = "d1", "d2"
OPEN, ACK, RESET = 64, 16, 128


class WantedProbes(connectionprobes.ConnectionProber):
    """Notes which targets are to be tried; steps say what a trial finds."""

    def __init__(self, log, counts):
        super().__init__(log, counts)
        self.wanted = []

    def start_probe(self, target, control, now):
        """Note a wish."""
        assert control is None or control.name != target.name
        self.wanted.append((target, now))


class Rig:
    """A forwarder with a clock of its own and a list of what it sent."""

    def __init__(self, context):
        self.now = 1_000.0
        self.sent = []
        # Whether packets wait to be received by the host.
        self.backlogged = False
        self.log = eventlog.EventLog(context.log_descriptor, "h1")
        self.counts = counters.Counters()
        self.view = fleetview.FleetView(self.log, self.counts, 60.0)
        self.flows = flowtable.FlowTable()
        self.peers = peertable.PeerTable.__new__(peertable.PeerTable)
        self.peers.loads, self.peers.reachable_domains = {}, {}
        self.suspicions = suspicion.Suspicions(self.log, self.counts)
        self.chooser = targetchoice.TargetChooser(
            self.view,
            self.flows,
            self.peers,
            self.suspicions,
            NEAR,
            context.rng,
        )
        self.prober = WantedProbes(self.log, self.counts)
        self.forwarder = forwarding.Forwarder(
            self.view,
            self.flows,
            self.chooser,
            self.suspicions,
            self.prober,
            lambda datagram, address: self.sent.append((datagram, address)),
            lambda: self.backlogged,
            CALLER_PORT,
            self.log,
            self.counts,
        )

    def handle(self, datagram):
        """Handle one packet and return what was sent for it."""
        before = len(self.sent)
        self.forwarder.handle(datagram)
        return self.sent[before:]

    def open(self, port, copy=0):
        """Send an opening packet; return the number of the target."""
        sent = self.handle(packet(port, OPEN, acknowledged=copy))
        assert len(sent) == 1, sent
        return struct.unpack(">Q", sent[0][0][:8])[0] if is_forwarded(sent[0]) else None


def is_forwarded(sent):
    """Tell whether a datagram went to a target."""
    return sent[1][1] != CALLER_PORT


def packet(port, flags, sequence=1, acknowledged=0, token=0, data=b"", to=443):
    """Return a packet of a caller."""
    return (
        struct.pack(
            ">IIIBBHIHIIH",
            sequence,
            acknowledged,
            0x12345678,
            flags,
            0,
            len(data),
            token,
            port,
            int.from_bytes(socket.inet_aton("100.64.0.7"), "big"),
            int.from_bytes(socket.inet_aton(SERVICE_IP), "big"),
            to,
        )
        + data
    )


def route(port=443, split=(("desk", 1.0),)):
    """Return a route."""
    key = socket.inet_aton(SERVICE_IP) + port.to_bytes(2, "big")
    return fleetmodel.Route(f"r{port}", key, tuple(split))


def configuration(version, *routes):
    """Return a configuration."""
    by_key = {found.key: found for found in routes}
    return fleetmodel.Configuration(version, by_key, 15.0)


def target(number, domain=NEAR, service="desk", leaving=False, born=1):
    """Return a target."""
    return fleetmodel.Target(
        name=f"i-{number:x}",
        number=number,
        token=((number >> 32) ^ number) & 0xFFFFFFFF,
        service=service,
        address=("10.1.0.1", 8_000 + number % 1_000),
        domain=domain,
        slots=3,
        leaving=leaving,
        cold_s=0.0,
        started_ms=born,
    )


@behave.fixture
def steady_clock(context):
    """Let the rig's time pass only when a step says so."""
    read, write = os.pipe()
    context.log_reader, context.log_descriptor = read, write
    real, real_unix = clock.steady_s, clock.unix_s
    clock.steady_s = lambda: context.fleet.now if "fleet" in context else 1_000.0
    clock.unix_s = lambda: 1.0e9 + clock.steady_s()
    yield
    clock.steady_s, clock.unix_s = real, real_unix
    os.close(read)
    os.close(write)


def at_revision(revision):
    """Return a point of the store's history before any return from a copy."""
    return fleetmodel.Position(1, revision)


def make_rig(context, targets, version=5, routes=None):
    """Set up a forwarder that knows a configuration and targets."""
    behave.use_fixture(steady_clock, context)
    context.fleet = Rig(context)
    routes = [route()] if routes is None else routes
    context.fleet.view.apply_configuration(configuration(version, *routes))
    for found in targets:
        context.fleet.view.apply_target(found, at_revision(10))
    context.fleet.view.targets_listed = True
    context.fleet.view.overrides_listed = True
    context.ports = iter(range(2_000, 60_000))
    return context.fleet


@behave.given("a forwarder with {count:d} targets")
def make_forwarder(context, count):
    """Set up a forwarder."""
    make_rig(context, [target(n) for n in range(1, count + 1)])


@behave.given("a forwarder with a configuration and no list of targets")
def make_unready(context):
    """Set up a forwarder that must not decide yet."""
    make_rig(context, [])
    context.fleet.view.targets_listed = False


@behave.given("a forwarder with a route split 3 to 1 over two services")
def make_split(context):
    """Set up a forwarder with a split route."""
    split = (("desk", 75.0), ("photo", 25.0))
    found = [target(1), target(2, service="photo")]
    make_rig(context, found, routes=[route(split=split)])


@behave.given("two targets whose numbers fold to the same token")
def make_collision(context):
    """Set up targets that share a token."""
    low, high = target(0x0000000700000001), target(0x0000000300000005)
    assert low.token == high.token
    context.numbers = sorted((low.number, high.number))
    make_rig(context, [low, high])


@behave.given("a forwarder with a near and a far target")
def make_near_and_far(context):
    """Set up targets in two failure domains."""
    make_rig(context, [target(1), target(2, domain=FAR)])


@behave.given("a forwarder with a far target only")
def make_far(context):
    """Set up a target in another failure domain."""
    make_rig(context, [target(2, domain=FAR)])


@behave.then("the host is stranded: {answer}")
def check_stranded(context, answer):
    """Check whether the host is to give up readiness."""
    rig = context.fleet
    assert rig.chooser.is_isolated(rig.now) == (answer == "yes")


@behave.given("a forwarder with 3 targets and two flows at the first{others}")
def make_two_flows(context, others):
    """Set up three flows at one target, and one at each other target."""
    rig = make_rig(context, [target(n) for n in range(1, 4)])
    context.first = (2_001, 2_002)
    context.ports = iter(range(4_000, 60_000))
    for port in (*context.first, 2_003):
        rig.handle(packet(port, ACK, token=1, acknowledged=5))
    for port, number in ((2_010, 2), (2_011, 3)):
        rig.handle(packet(port, ACK, token=number, acknowledged=99))
    rig.now += 1.0
    context.others_busy = bool(others)
    context.sent_before = len(rig.sent)


@behave.given("a forwarder with 3 targets and two flows at the first")
def make_two_flows_alone(context):
    """Set up the flows without replies of other targets."""
    make_two_flows(context, "")


def reply_from_others(context, position):
    """Let the other targets reply, if they are said to."""
    if context.others_busy:
        for port, number in ((2_010, 2), (2_011, 3)):
            context.fleet.handle(
                packet(port, ACK, token=number, acknowledged=100 + position)
            )


def repeat_requests(context, ports, gaps=(0.0, 0.2, 0.4), replying=None):
    """Send requests and their repetitions."""
    rig = context.fleet
    for position, gap in enumerate(gaps):
        rig.now += gap
        reply_from_others(context, position)
        if replying is not None and position == 1:
            rig.handle(packet(replying, ACK, token=1, acknowledged=9))
        for port in ports:
            ask = packet(port, ACK, sequence=50, token=1, acknowledged=5, data=b"GET")
            rig.handle(ask)
            rig.now += 0.001


@behave.when("both flows repeat their requests twice without a reply")
def repeat_both(context):
    """Repeat the requests of both flows."""
    repeat_requests(context, context.first)


@behave.when("both flows' requests and repetitions are read late, after a pause")
def read_late(context):
    """Read what has waited in the socket's buffer."""
    rig = context.fleet
    rig.forwarder.forget_evidence()
    rig.forwarder.is_late = True
    repeat_requests(context, context.first, gaps=(0.0, 0.0, 0.0))
    rig.forwarder.is_late = False


@behave.when("both flows have repeated their requests twice, and the host pauses")
def pause_after_repetitions(context):
    """Repeat the requests, too soon for a proof, before a pause."""
    repeat_requests(context, context.first, gaps=(0.0, 0.1, 0.1))
    context.fleet.forwarder.forget_evidence()


@behave.when("both flows repeat their requests once, 1 s later")
def repeat_after_pause(context):
    """Repeat the requests at last."""
    repeat_requests(context, context.first, gaps=(1.0,))


@behave.when("both flows repeat their requests twice, and one of them gets a reply")
def repeat_with_reply(context):
    """Repeat the requests while the target acknowledges another flow."""
    repeat_requests(context, context.first, replying=2_003)


@behave.when("one flow repeats its request twice without a reply")
def repeat_one(context):
    """Repeat the request of one flow."""
    repeat_requests(context, context.first[:1])


@behave.when("the other flow repeats its request twice without a reply")
def repeat_other(context):
    """Repeat the request of the second flow."""
    repeat_requests(context, context.first[1:])


@behave.when("a neighbour says that the first target is lost")
def say_lost(context):
    """Take over a neighbour's report."""
    rig = context.fleet
    reply_from_others(context, 50)
    rig.suspicions.record_peer_failure("i-1", True, rig.now, "h2")
    rig.handle(packet(2_003, ACK, token=1, acknowledged=5))


def exchange_of(context):
    """Return the part of the host that acts on reports, made on first use."""
    if "exchange" not in context:
        rig = context.fleet
        rig.peers.settings = types.SimpleNamespace(domain=NEAR)
        cache = documentcache.DocumentCache({}, threading.Lock())
        context.exchange = peerreports.ReportExchange(
            rig.peers,
            rig.view,
            rig.flows,
            rig.suspicions,
            rig.chooser,
            rig.forwarder,
            cache,
            [],
            None,
            None,
            threading.Lock(),
            rig.log,
        )
    return context.exchange


@behave.when("{which} neighbour's report says that the first target is {state}")
def report_target(context, which, state):
    """Take over a report of a host that has the targets up to the revision 10."""
    rig = context.fleet
    tokens = [1] if state == "lost" else []
    name = "h3" if which == "another" else "h2"
    revision = 90 if which == "a newer" else 10
    report = peertable.Report(
        name, NEAR, "10.1.0.2", 1, 5, revision, False, {}, tokens, tokens, [], era=1
    )
    reply_from_others(context, int(rig.now * 10) % 100)
    exchange_of(context).apply_peer_failures(report, rig.now)


@behave.when("a new run of the first target begins {where}")
def start_again(context, where):
    """List a new run of the target."""
    again = target(1, born=2)
    if where == "at another address":
        again = msgspec.structs.replace(target(1), address=("10.1.0.9", 8_009))
    rig = context.fleet
    context.resets_before = len(resets(context))
    rig.prober.next_probe_at["i-1"] = rig.now + connectionprobes.PROBE_INTERVAL_S
    assert rig.view.apply_target(again, at_revision(90))


@behave.then(
    "no flow of the earlier run is counted, no target is suspect, and all may be probed"
)
def check_clean(context):
    """Check what the host knows of the target, after the due time of openings."""
    rig = context.fleet
    assert rig.flows.open_flows["i-1"] == 0
    assert rig.prober.next_probe_at == {}
    rig.now += 0.11
    check_no_suspect(context)
    assert not rig.suspicions.is_suspect("i-1", rig.now)


@behave.when("the caller of a new flow sends a request")
def ask_on_new_flow(context):
    """Send a request of a flow that was opened elsewhere."""
    ask = packet(2_005, ACK, sequence=1, token=1, acknowledged=5, data=b"GET")
    context.answered = context.fleet.handle(ask)


@behave.then("the request is forwarded")
def check_forwarded(context):
    """Check what was sent for the last request."""
    assert [is_forwarded(sent) for sent in context.answered] == [True]


@behave.when("the caller of the new flow repeats its request {delay:g} s later")
def repeat_on_new_flow(context, delay):
    """Repeat the request of the flow that was opened elsewhere."""
    context.fleet.now += delay
    ask_on_new_flow(context)


@behave.then("that flow is reset")
def check_new_flow_reset(context):
    """Check the last reset."""
    assert [is_forwarded(sent) for sent in context.answered] == [False]
    assert resets(context)[-1] == 2_005


@behave.then("its reports name the first target as lost and suspect: {answer}")
def check_reported(context, answer):
    """Check what is told to peers while the flows are reset here."""
    suspicions, now = context.fleet.suspicions, context.fleet.now
    assert suspicions.is_unreachable("i-1", now)
    assert suspicions.own_unreachable(now) == (["i-1"] if answer == "yes" else [])
    assert suspicions.own_suspects(now) == (["i-1"] if answer == "yes" else [])


@behave.then("no more flows than before are reset")
def check_no_more_resets(context):
    """Check that the evidence was not added to that against the earlier run."""
    assert len(resets(context)) == context.resets_before


@behave.when("its flows send packets")
def send_on_flows(context):
    """Let callers send a packet of each flow at the first target."""
    for port in (*context.first, 2_003):
        context.fleet.handle(packet(port, ACK, token=1, acknowledged=5))


@behave.when("one flow repeats its request once without a reply")
def repeat_once(context):
    """Repeat the request of one flow once."""
    repeat_requests(context, context.first[:1], gaps=(0.0, 0.2))


@behave.when("a neighbour's proof and a repetition reset them")
def prove_at_neighbour(context):
    """Take over a neighbour's report, and repeat a request."""
    say_lost(context)
    repeat_once(context)


@behave.when(
    "the first target replies on a new flow, and a caller there sends a request"
)
def reply_on_new_flow(context):
    """Let the target accept a flow that was opened elsewhere, and answer there."""
    rig = context.fleet
    assert rig.suspicions.is_unreachable("i-1", rig.now)
    rig.now += 0.1
    for position in (5, 6):
        rig.handle(packet(2_004, ACK, token=1, acknowledged=position))
    rig.now += 0.1
    ask = packet(2_005, ACK, sequence=1, token=1, acknowledged=5, data=b"GET")
    context.answered = rig.handle(ask)


@behave.then("the request is forwarded, and the next report names no lost target")
def check_mark_ended(context):
    """Check what was sent, and what peers are told."""
    rig = context.fleet
    check_forwarded(context)
    assert rig.suspicions.own_unreachable(rig.now) == []


@behave.when("one flow repeats its request once, and another one gets a reply")
def repeat_once_with_reply(context):
    """Repeat a request while the target acknowledges another flow."""
    repeat_requests(context, context.first[:1], gaps=(0.0, 0.2), replying=2_003)


@behave.when("both flows' requests and their repetitions are read at once")
def repeat_at_once(context):
    """Read all packets after a pause."""
    repeat_requests(context, context.first, gaps=(0.0, 0.0, 0.0))


def resets(context):
    """Return the callers' ports of the resets."""
    found = [d for d, a in context.fleet.sent if a[1] == CALLER_PORT]
    assert all(d[12] == RESET and len(d) == 32 and d[8:12] == bytes(4) for d in found)
    return [int.from_bytes(datagram[30:32], "big") for datagram in found]


@behave.then("both flows and an idle third one are reset")
def check_reset_flows(context):
    """Check the resets."""
    assert sorted(resets(context)) == [2_001, 2_002, 2_003], resets(context)


@behave.then("nothing is reset")
def check_no_reset(context):
    """Check that no reset was sent, and that packets were forwarded."""
    assert resets(context) == []
    assert len(context.fleet.sent) > context.sent_before


@behave.when("random packets arrive")
def send_random(context):
    """Send arbitrary bytes, and bytes that end like a packet to the route."""
    rig = context.fleet
    context.checked = 0
    head = packet(9, OPEN)

    @hypothesis.given(
        st.binary(max_size=1_400), st.sampled_from([0, 12, 16, 32]), st.integers(0, 255)
    )
    def send(noise, keep, flags):
        datagram = (head[:keep] + noise)[:12] + bytes([flags]) + noise[13:]
        for sent, address in rig.handle(datagram):
            assert address == ("100.64.0.7", CALLER_PORT) or (
                sent[8 : 8 + 16] == datagram[:16] and sent[28:] == datagram[20:]
            )
        for sent, address in rig.handle(noise + head[len(noise) :]):
            if address[1] != CALLER_PORT:
                assert sent[8:24] == (noise + head[len(noise) :])[:16]
        context.checked += 1

    send()


@behave.then("each datagram sent carries a packet of a caller or is a reset")
def check_random(context):
    """Check that packets were handled, and that some were forwarded."""
    assert context.checked >= 300
    assert context.fleet.counts.total("dropped_packets_total") > 100
    assert any(is_forwarded(sent) for sent in context.fleet.sent)


@behave.when("a flow opens")
def open_flow(context):
    """Open a flow."""
    context.port = next(context.ports)
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(context.port, OPEN))


@behave.when("another forwarder takes the flow's next packet")
def take_elsewhere(context):
    """Hand the flow's next packet to a forwarder that never saw the flow."""
    number = struct.unpack(">Q", context.fleet.sent[-1][0][:8])[0]
    token = int.from_bytes(context.fleet.sent[-1][0][24:28], "big")
    assert token
    context.numbers = [number]
    make_rig(context, [target(n) for n in range(1, 4)])
    context.next = packet(context.port, ACK, token=token, data=b"GET /")
    context.fleet.handle(context.next)


@behave.then("the packet goes to the flow's target under its number")
def check_same_target(context):
    """Check number, address, and content."""
    ((datagram, address),) = context.fleet.sent
    number = struct.unpack(">Q", datagram[:8])[0]
    assert [number] == context.numbers
    assert address == target(number).address
    assert datagram[8:] == context.next


@behave.when("a flow opens and its opening packet comes {count:d} times more")
def open_with_copies(context, count):
    """Open a flow with copies."""
    context.numbers = []
    for copy in range(count + 1):
        context.numbers.append(context.fleet.open(2_000, copy))
        context.fleet.now += 0.2 * (copy + 1)


@behave.then("{count:d} targets were tried")
def check_tried(context, count):
    """Check that no target was tried twice."""
    assert len(set(context.numbers)) == count == len(context.numbers)


@behave.when(
    "a flow opens and goes on, and copy {copy:d} of its opening packet arrives"
)
def open_late(context, copy):
    """Read a copy of an opening packet after the packet that continues its flow."""
    rig = context.fleet
    number = rig.open(2_000)
    rig.now += 0.01
    rig.handle(packet(2_000, ACK, token=number, acknowledged=1))
    rig.now += 0.25
    context.number, context.before = number, len(rig.sent)
    rig.handle(packet(2_000, OPEN, acknowledged=copy))


@behave.then("no target is suspect after {seconds:g} s")
def check_no_suspect_later(context, seconds):
    """Let the due time of openings pass, and check all targets."""
    context.fleet.now += seconds
    check_no_suspect(context)


@behave.then("the flow is still at its target")
def check_flow_kept(context):
    """Check the count of flows, and that the flow counts as open."""
    flows = context.fleet.flows
    assert flows.open_flows == {f"i-{context.number:x}": 1}, flows.open_flows
    assert [flow.opened for flow in flows.flows.values()] == [True]


@behave.when("a packet with an unknown token arrives")
def send_unknown(context):
    """Send a packet with a token of no target."""
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(2_000, ACK, token=0xABCDEF, data=b"GET"))


@behave.then("nothing is sent")
def check_nothing(context):
    """Check that nothing left the host."""
    assert len(context.fleet.sent) == context.before


@behave.then("{count:d} packet is dropped as {reason}")
def check_dropped(context, count, reason):
    """Check the counted reason."""
    key = ("dropped_packets_total", (("reason", reason),))
    assert context.fleet.counts.counter_values[key] == count


@behave.when("an opening packet to an address without route arrives")
def send_opening_elsewhere(context):
    """Open a flow to an address without a route."""
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(2_000, OPEN, to=444))


@behave.when("a packet of {kind} flow whose route was removed arrives")
def send_after_removal(context, kind):
    """Remove the route of an open flow, which this host has seen before or not."""
    if kind == "a known":
        context.fleet.handle(packet(2_000, ACK, token=1))
    context.fleet.view.apply_configuration(configuration(6, route(port=80)))
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(2_000, ACK, token=1, data=b"GET"))


@behave.when("a later packet to an address without route arrives")
def send_later_elsewhere(context):
    """Send a packet of an unknown flow to an address without a route."""
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(2_000, ACK, token=1, to=444))


@behave.when("a reset to an address without route arrives")
def send_reset_elsewhere(context):
    """Send a reset to an address without a route."""
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(2_000, RESET, to=444))


@behave.when("a packet that accepts a flow arrives")
def send_accepting(context):
    """Send a packet that only targets send."""
    context.before = len(context.fleet.sent)
    context.fleet.handle(packet(2_000, OPEN | ACK, token=1))


@behave.then("the flow is reset")
def check_reset(context):
    """Check that one reset and nothing else was sent."""
    sent = context.fleet.sent[context.before :]
    assert len(sent) == 1, sent
    assert sent[0][1] == ("100.64.0.7", CALLER_PORT)
    assert len(resets(context)) == 1


@behave.when("the flow's target leaves")
def leave(context):
    """Let the target announce that it leaves."""
    number = struct.unpack(">Q", context.fleet.sent[-1][0][:8])[0]
    context.leaving = target(number, leaving=True)
    context.fleet.view.apply_target(context.leaving, at_revision(20))


@behave.when("{count:d} more flows open")
@behave.when("{count:d} flows open")
def open_flows(context, count):
    """Open flows."""
    context.numbers_before = context.numbers if "numbers" in context else []
    context.numbers = []
    for _ in range(count):
        port = next(context.ports)
        context.numbers.append(context.fleet.open(port))
        # The caller goes on with the token that its target returned.
        token = int.from_bytes(context.fleet.sent[-1][0][24:28], "big")
        context.fleet.now += 0.01
        context.fleet.handle(packet(port, ACK, token=token))


@behave.then("no new flow is at that target")
def check_not_there(context):
    """Check the targets of the new flows."""
    assert context.leaving.number not in context.numbers
    assert len(set(context.numbers)) == 2


@behave.then("the flow's next packet goes to that target")
def check_still_there(context):
    """Check that the old flow stays."""
    leaving = context.leaving
    sent = context.fleet.handle(packet(context.port, ACK, token=leaving.token))
    assert [address for _, address in sent] == [leaving.address]


@behave.when("the entry of that target vanishes")
def vanish(context):
    """Remove the entry of the only target."""
    assert context.fleet.view.remove_target("i-1", at_revision(20))


@behave.when("the entries of {count:d} targets vanish")
def vanish_some(context, count):
    """Remove the entries of the first targets."""
    for number in range(1, count + 1):
        assert context.fleet.view.remove_target(f"i-{number:x}", at_revision(20))


@behave.then("flows are at {count:d} targets")
def check_spread(context, count):
    """Check how many targets have flows."""
    assert len(set(context.numbers)) == count, collections.Counter(context.numbers)


@behave.then("no target has more than twice its share")
def check_share(context):
    """Check the target with most flows."""
    counts = collections.Counter(context.numbers)
    share = len(context.numbers) / len(counts)
    assert max(counts.values()) <= 2 * share, counts


@behave.when("the entry is back")
def come_back(context):
    """List the target again."""
    assert context.fleet.view.apply_target(target(1), at_revision(30))


@behave.when("{seconds:g} s pass")
def pass_time(context, seconds):
    """Let time pass."""
    context.fleet.now += seconds


@behave.then("new flows open there")
def check_open(context):
    """Check that a new flow reaches the target."""
    assert context.fleet.open(next(context.ports)) == 1


@behave.then("new flows are reset")
def check_refused(context):
    """Check that a new flow is refused."""
    assert context.fleet.open(next(context.ports)) is None


@behave.when("configuration 9 comes, and then configuration 8")
def step_back(context):
    """Offer an older configuration."""
    assert context.fleet.view.apply_configuration(configuration(9, route()))
    assert not context.fleet.view.apply_configuration(configuration(8, route()))


@behave.when("configuration 9 comes")
def take_new(context):
    """Put a new configuration in force."""
    assert context.fleet.view.apply_configuration(configuration(9, route()))


@behave.then("configuration 9 is in force")
def check_version(context):
    """Check the version."""
    assert context.fleet.view.configuration.version == 9


@behave.when(
    "the target leaves at revision 50, and an entry of revision 40 says it is ready"
)
def step_target_back(context):
    """Offer an older entry."""
    assert context.fleet.view.apply_target(target(1, leaving=True), at_revision(50))
    assert not context.fleet.view.apply_target(target(1), at_revision(40))


@behave.then("about 300 are at the first service")
def check_split(context):
    """Check the share within four standard deviations."""
    assert 265 <= context.numbers.count(1) <= 335, context.numbers.count(1)


@behave.then("all are at the target with the lower number")
def check_collision(context):
    """Check that the other target gets none."""
    assert set(context.numbers) == {min(*context.numbers, 0x0000000300000005)}
    assert set(context.numbers) == {0x0000000300000005}


@behave.when("the first target has the override {override}")
def override_first(context, override):
    """Set an override of the first target."""
    view = context.fleet.view
    kind = override.replace("an expired ", "").replace("a removed ", "").split()[0]
    weight = 0 if kind == "weight" else None
    expires_at_s = 1.0 if "expired" in override else None
    if "leaving" in override:
        view.apply_target(target(1, leaving=True), at_revision(20))
    found = fleetmodel.Override("o1", kind, "desk", "i-1", weight, expires_at_s)
    view.apply_override(found)
    if "removed" in override:
        view.remove_override("o1")


@behave.when("an entry of the first target says that it leaves")
def announce_departure(context):
    """Apply its report."""
    assert context.fleet.view.apply_target(target(1, leaving=True), at_revision(50))


@behave.when("an entry of the first target shows another run")
def start_again(context):
    """Apply the first report of another run."""
    assert context.fleet.view.apply_target(target(1, born=2), at_revision(60))


@behave.then("the first target gets no flow")
def check_no_flow(context):
    """Check that all flows are at the second target."""
    assert set(context.numbers) == {2}


@behave.then("the first target gets flows")
def check_flows(context):
    """Check that flows are at both targets."""
    assert set(context.numbers) == {1, 2}


@behave.when("the near target is reported to run 3 requests")
def report_busy(context):
    """Let another host report load."""
    context.fleet.peers.loads = {1: (10, 3.0)}


@behave.when("the hosts of the far failure domain go silent")
def silence(context):
    """Let no report of the far failure domain arrive."""
    context.fleet.peers.reachable_domains = {FAR: False}


@behave.when("the far target replies")
def reply_far(context):
    """Show progress of a flow at the far target."""
    for position in (76, 77):
        context.fleet.handle(packet(1_999, ACK, token=2, acknowledged=position))


@behave.when("{count:d} flows open and those at the first target are reset there")
def open_half(context, count):
    """Open flows; callers of the first target's flows are silent afterwards."""
    numbers = set()
    for _ in range(count):
        port = next(context.ports)
        number = context.fleet.open(port)
        numbers.add(number)
        if number == 2:
            context.fleet.handle(packet(port, ACK, token=2, acknowledged=5))
        context.fleet.now += 0.001
    assert numbers == {1, 2}


@behave.then("no new flow is at the first target")
def check_second_only(context):
    """Check the targets of the new flows."""
    assert set(context.numbers) == {2}, context.numbers


@behave.when("a flow opens at the first target and is not continued")
def open_at_first(context):
    """Open flows until one is at the first target, and continue the others."""
    for port in context.ports:
        if context.fleet.open(port) == 1:
            return
        context.fleet.handle(packet(port, ACK, token=2, acknowledged=5))


@behave.when("another flow at that target goes on")
def go_on(context):
    """Let a flow of the first target make progress."""
    context.fleet.now += 0.01
    for position in (6, 7):
        context.fleet.handle(packet(1_999, ACK, token=1, acknowledged=position))


@behave.then("new flows are at both targets")
def check_both(context):
    """Check the targets of the new flows."""
    assert set(context.numbers) == {1, 2}, context.numbers


@behave.then("all are at the near target")
@behave.then("the new ones are at the near target")
def check_near(context):
    """Check the targets."""
    assert set(context.numbers) == {1}, collections.Counter(context.numbers)


@behave.then("the new ones are at the far target")
def check_far(context):
    """Check the targets."""
    assert set(context.numbers) == {2}, collections.Counter(context.numbers)


@behave.when("the choice of a target returns one of another service")
def choose_wrongly(context):
    """Let the choice fail on purpose."""
    rig = context.fleet
    wrong = fleetview.TargetEntry(target(9, service="photo"), 1, 0.0)
    rig.chooser.choose = lambda *_: (wrong, 0.0)
    context.broken = None
    try:
        rig.open(next(context.ports))
    except invariants.InvariantError as error:
        context.broken = str(error)


@behave.then("the invariant {name} is broken, counted, and nothing was sent")
def check_broken(context, name):
    """Check what was raised and counted."""
    assert context.broken is not None and context.broken.startswith(name)
    key = ("invariant_violations_total", (("invariant", name),))
    assert context.fleet.counts.counter_values[key] == 1
    assert context.fleet.sent == []


@behave.when("a repeated request of a flow that began elsewhere arrives")
def move_here(context):
    """Send a request of a flow that this host has not seen."""
    context.fleet.handle(packet(2_000, ACK, token=1, acknowledged=5, data=b"GET"))


@behave.then("its target is not known to have replied")
def check_no_reply(context):
    """Check what was learnt."""
    assert not context.fleet.suspicions.replied_since("i-1", 0.0)
    context.fleet.handle(packet(2_000, ACK, token=1, acknowledged=6))
    assert context.fleet.suspicions.replied_since("i-1", 0.0)


@behave.when("a flow opens from the same port")
def reopen(context):
    """Open a flow from a port that was used."""
    context.fleet.open(2_000)


@behave.then("its record knows one try only")
def check_one_try(context):
    """Check the record of the flow."""
    (flow,) = context.fleet.flows.flows.values()
    assert flow.tried_targets == ("i-1",)


@behave.when("an opening at the first target is not continued")
def open_unanswered(context):
    """Open a flow while the other targets are pulled, and wait for its due time."""
    rig = context.fleet
    for name in ("i-2", "i-3"):
        found = fleetmodel.Override(name, "pull", "desk", name, None, None)
        rig.view.apply_override(found)
    assert rig.open(3_000) == 1
    rig.now += 0.11
    rig.forwarder.check_openings(rig.now)


@behave.when("the hosts of its failure domain are {heard}")
def hear_domain(context, heard):
    """Let other hosts of the near failure domain be heard or not."""
    context.fleet.peers.reachable_domains = {NEAR: heard == "heard"}


@behave.when("its trial ends with {verdict} {how}")
def end_trial(context, verdict, how):
    """Report the verdict of the trial that was wanted."""
    rig = context.fleet
    ((tried, began_at),) = rig.prober.wanted
    assert tried.name == "i-1"
    rig.now += 0.2
    if how == "after a reply":
        for position in (8, 9):
            rig.handle(packet(2_003, ACK, token=1, acknowledged=position))
    elif how == "after a restart":
        again = target(1, born=2)
        assert rig.view.apply_target(again, at_revision(90))
    rig.forwarder.handle_probe_result(
        tried, connectionprobes.ProbeResult(verdict), began_at
    )


@behave.when("the trial connection that follows is refused")
def refuse_trial(context):
    """Run a real trial of the target's address, at which nothing listens."""
    rig = context.fleet
    ((tried, began_at),) = rig.prober.wanted
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as unused:
        unused.bind(("127.0.0.1", 0))
        here = msgspec.structs.replace(tried, address=unused.getsockname())
        verdicts = []
        rig.prober.on_result = lambda _, verdict, at: verdicts.append((verdict, at))
        rig.prober.free_slots.acquire()
        rig.prober.run(here, None, began_at)
    ((verdict, at),) = verdicts
    rig.forwarder.handle_probe_result(tried, verdict, at)


@behave.then("the flows at the first target are {result}")
def check_flows_of_lost(context, result):
    """Check the resets of its open flows."""
    rig = context.fleet
    expected = [2_001, 2_002, 2_003] if result == "reset" else []
    assert rig.suspicions.is_unreachable("i-1", rig.now) == (result == "reset")
    assert sorted(resets(context)) == expected, resets(context)


@behave.then("no target is tried")
def check_untried(context):
    """Check that nothing was wanted."""
    assert context.fleet.prober.wanted == []


@behave.fixture
def tcp_address(context, kind):
    """Give an address that answers, refuses, or drops opening packets."""
    opened = [socket.socket(socket.AF_INET, socket.SOCK_STREAM)]
    opened[0].bind(("127.0.0.1", 0))
    if kind != "refuses":
        opened[0].listen(0 if kind == "is silent" else 16)
    while kind == "is silent" and len(opened) < 8:
        # Connections that nobody accepts fill the queue.
        filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        filler.setblocking(False)
        filler.connect_ex(opened[0].getsockname())
        opened.append(filler)
    yield opened[0].getsockname()
    for found in opened:
        found.close()


@behave.given("an address that {kind} beside a control that {control}")
def make_address(context, kind, control):
    """Set up a pair of addresses."""
    context.address = behave.use_fixture(tcp_address, context, kind)
    context.control = None
    if control != "is missing":
        context.control = behave.use_fixture(tcp_address, context, control)


@behave.then("a trial of it ends with {verdict}")
def check_trial(context, verdict):
    """Try the address for real."""
    found = connectionprobes.probe_target(context.address, context.control)
    assert found is connectionprobes.ProbeResult(verdict), found


@behave.given("a forwarder with {count:d} targets, all in a silent failure domain")
def make_many_silent(context, count):
    """Set up a forwarder with many far targets, and count the look-ups."""
    rig = make_rig(context, [target(n, domain=FAR) for n in range(1, count + 1)])
    rig.peers.reachable_domains[FAR] = False
    context.lookups = 0
    replied_since = rig.suspicions.replied_since

    def count_lookup(name, since):
        context.lookups += 1
        return replied_since(name, since)

    rig.suspicions.replied_since = count_lookup


@behave.then("the replies of at most {count:d} targets were looked up")
def check_lookups(context, count):
    """Check the number of look-ups."""
    assert context.lookups <= count, context.lookups


@behave.when("a flow opens, and its caller's next packet waits in the host's buffer")
def open_backlogged(context):
    """Open a flow, and keep the packet that continues it."""
    rig = context.fleet
    number = rig.open(3_000)
    rig.backlogged = True
    context.unread = packet(3_000, ACK, token=number, acknowledged=1, data=b"GET")


@behave.when("the host has read all packets")
def read_backlog(context):
    """Handle the packet that was kept."""
    rig = context.fleet
    rig.backlogged = False
    rig.handle(context.unread)


@behave.then("no target is suspect")
def check_no_suspect(context):
    """Check all targets, as the reports to peers do."""
    rig = context.fleet
    rig.forwarder.check_openings(rig.now)
    assert rig.suspicions.own_suspects(rig.now) == []


@behave.fixture
def caller_of_second(context):
    """Give the socket at which a caller of the second host gets its resets."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.bind(("127.64.0.7", context.hosts[1].port + 1))
        context.caller = caller
        yield


@behave.when("the second host is paused for {seconds:g} s")
def pause_second(context, seconds):
    """Suspend the process of a host, and let it go on later."""
    behave.use_fixture(caller_of_second, context)
    process = context.hosts[1].process
    process.send_signal(signal.SIGSTOP)
    context.resume = threading.Timer(seconds, process.send_signal, [signal.SIGCONT])
    context.resume.start()


@behave.when("an opening packet to an address without route reaches it")
def open_without_route(context):
    """Send an opening packet of a new flow to the second host."""
    host = context.hosts[1]
    context.port = next(context.ports) if "ports" in context else 2_000
    context.ports = iter(range(context.port + 1, 60_000))
    opening = bytearray(packet(context.port, OPEN, to=444))
    opening[22:26] = socket.inet_aton(context.caller.getsockname()[0])
    context.caller.sendto(opening, (host.ip, host.port + 1))


@behave.then("its caller gets no reset until {seconds:g} s after the pause")
def check_not_refused(context, seconds):
    """Check that nothing comes once the host goes on."""
    context.resume.join()
    context.caller.settimeout(seconds)
    try:
        found = context.caller.recv(2_048)
    except TimeoutError:
        return
    raise AssertionError(found)


@behave.then("its caller gets a reset")
def check_refused_now(context):
    """Check that a caller need not wait for a timeout."""
    context.caller.settimeout(2.0)
    assert context.caller.recv(2_048)[12] == RESET
