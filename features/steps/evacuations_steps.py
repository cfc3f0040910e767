"""Steps for evacuations of failure domains."""

import json
import threading
import types
import zlib

import behave
import fleet_forwarding_steps as rigs
import msgspec
from fleet_trace_steps import read_log

from basilgate import (
    documentcache,
    fleetcommands,
    fleetmodel,
    fleettrace,
    peerreports,
    peertable,
    storewatch,
)
from basilgate.relay import relayclient, relaymessages, relayserver
from platformedge import documents, store
from standins import fleetstore

KIND = documents.EVACUATIONS_KIND
DOMAINS = ("d1", "d2", "d3")


class Host:
    """The view and the documents of one host; revisions rise with each change."""

    def __init__(self, rig):
        self.rig = rig
        self.era, self.revision = 1, 10
        updater = storewatch.ViewUpdater(rig.view, rig.log, rig.counts)
        appliers = {KIND: updater.apply_evacuations}
        self.cache = documentcache.DocumentCache(appliers, threading.Lock())
        self.list_all([])

    @property
    def position(self):
        """The point of the store's history up to which the host knows all."""
        return fleetmodel.Position(self.era, self.revision)

    def change(self, name, content, removed=False):
        """Take a change from the store."""
        self.revision += 1
        changed = documents.StoredDocument(name, self.position, content, removed)
        self.cache.update(KIND, store.Listing([changed], self.position, []), False)

    def list_all(self, names):
        """Take a listing of the store."""
        found = [documents.StoredDocument(n, self.position, b"{}") for n in names]
        self.cache.update(KIND, store.Listing(found, self.position, []), True)

    def domains(self):
        """Return the failure domains whose targets may get new flows."""
        found = self.rig.view.candidates("desk")
        return sorted(entry.target.domain for entry in found)


def make_host(context):
    """Set up a host with a target in each failure domain."""
    targets = [
        rigs.target(number, domain=domain)
        for number, domain in enumerate(DOMAINS, start=1)
    ]
    return Host(rigs.make_rig(context, targets))


@behave.given("a host with a target in each of d1, d2, and d3")
def set_up(context):
    """Set up a host that has an empty list of evacuations."""
    context.host = make_host(context)


@behave.when("{names} is evacuated")
@behave.when("{names} are evacuated")
def evacuate(context, names):
    """Write evacuations."""
    for name in names.split(" and "):
        context.host.change(name, b"{}")


@behave.when("d1 is evacuated by the object {text}")
def evacuate_by(context, text):
    """Decode an object of the store as it came."""
    context.host.revision = 20
    changed = documents.decode_object(text.encode(), 1)
    listing = store.Listing([changed], context.host.position, [])
    context.host.cache.update(KIND, listing, False)


@behave.when("d1 is evacuated without content")
def evacuate_without(context):
    """Take a document that has no content and was not removed."""
    context.host.change("d1", b"")


@behave.when("the evacuation of {name} is removed")
def remove(context, name):
    """Remove an evacuation."""
    context.host.change(name, b"", True)


@behave.then("new flows go to {names}")
def check_domains(context, names):
    """Check where new flows go, and that they do."""
    expected = names.removesuffix(" there too").split(", ")
    is_there = names.endswith(" there too")
    host = context.downstream if is_there else context.host
    assert host.domains() == expected, host.domains()
    opened = {host.rig.open(next(context.ports)) for _ in range(30)}
    found = {DOMAINS[number - 1] for number in opened}
    # The near failure domain is preferred while it gets new flows.
    assert found <= set(expected) and ("d1" in found) == ("d1" in expected), found


@behave.then("an open flow in d1 goes on")
def check_open_flow(context):
    """Send a packet of a flow that was open before."""
    ((datagram, address),) = context.fleet.handle(
        rigs.packet(1_999, rigs.ACK, token=1, data=b"GET")
    )
    assert address == rigs.target(1).address, datagram


@behave.then("the evacuation of {name} ended now")
def check_ended(context, name):
    """Check what other components learn of the end."""
    evacuations = context.fleet.view.evacuations
    assert evacuations.ended_at(name) == context.fleet.now
    assert evacuations.ended_at("d2") is None and not evacuations.in_force(name)


@behave.then("new flows are reset at once with the reason evacuated")
def check_reset(context):
    """Open a flow."""
    assert context.fleet.open(2_000) is None
    assert " reason=evacuated " in read_into(context)


def read_into(context):
    """Return all that was logged so far."""
    context.logged = context.logged if "logged" in context else ""
    context.logged += read_log(context)
    return context.logged


@behave.then("the reset flow is traced to evacuations of {names}")
def check_trace(context, names):
    """Trace the flow by program, in logs of which the evacuations are old."""
    found = fleettrace.trace(read_into(context), "100.64.0.7:2000>198.18.0.1:443")
    assert found.cause is fleettrace.Cause.EVACUATED, found
    for name in names.split(", "):
        assert any(f" domain={name} " in line for line in found.lines), found


@behave.then("the host keeps the evacuation of {name}")
def check_kept(context, name):
    """Check the view and the gauge."""
    assert context.fleet.view.evacuations.in_force(name)
    assert "\nbasilgate_evacuations 1\n" in context.fleet.counts.exposition()


@behave.when("an operator pins the target in d1")
def pin(context):
    """Put a pin in force."""
    context.fleet.view.apply_override(
        fleetmodel.Override("i-1", "pin", "desk", "i-1", None, None)
    )


@behave.then("the log of evacuations has {event} {times}")
@behave.then("the log of overrides has {event} {times}")
def check_logged(context, event, times):
    """Count the events."""
    expected = {"once": 1, "twice": 2}[times]
    assert read_into(context).count(f" event={event} ") == expected, context.logged


@behave.given(
    "a host that knows all but the evacuations, in a deployment that {has} them"
)
def make_unlisted(context, has):
    """Set up a host without a list of evacuations."""
    rig = rigs.make_rig(context, [rigs.target(1)])
    rig.view.has_evacuations = has == "has"


@behave.then("with those evacuations it is ready: {answer}")
def check_ready(context, answer):
    """Check whether the host may decide."""
    assert context.fleet.view.ready == (answer == "yes")


@behave.when("it gets an empty list of evacuations")
def list_none(context):
    """Take an empty listing."""
    Host(context.fleet)


@behave.when("the host has placed a flow and hears no other failure domain")
def isolate(context):
    """Open a flow while all other failure domains are silent."""
    context.fleet.open(2_000)
    context.fleet.peers.reachable_domains = {"d1": True, "d2": False, "d3": False}
    context.fleet.now += 1.0


@behave.then("the host gives up readiness")
def check_isolated(context):
    """Check what the readiness page is decided by."""
    assert context.fleet.chooser.is_isolated(context.fleet.now)


# Return of the store.


@behave.when("the store comes back with evacuations of {names}")
def restore(context, names):
    """Take the listing of a copy, whose revisions are lower."""
    host = context.host
    host.era, host.revision = host.era + 1, 5
    host.list_all([] if names == "none" else names.split(" and "))


@behave.when("another listing has evacuations of {name}")
def list_again(context, name):
    """Take another listing of the same era."""
    context.host.list_all([name])


@behave.when("{seconds:g} s of holding pass")
@behave.when("{seconds:g} s of holding passes")
def pass_time(context, seconds):
    """Let time pass, and end the holds that are over as maintenance does."""
    context.fleet.now += seconds
    for host in (context.host, context.downstream if "downstream" in context else None):
        if host is not None:
            host.cache.end_holds(KIND, context.fleet.now)


# Relay.


def connect(context, downstream):
    """Let a downstream take this host's documents; returns the client."""
    upstream, log = context.host.cache, context.fleet.log
    counts = context.fleet.counts
    context.server = relayserver.RelayServer(upstream, lambda: True, log, counts)
    context.client = relayclient.RelayClient(
        peertable.PeerTable.__new__(peertable.PeerTable), downstream.cache, log, counts
    )
    digests = {KIND: downstream.cache.digest(KIND)}
    subscription = relaymessages.Subscription("h2", digests)
    context.sent, confirmation = context.server.changes_known_to(subscription)
    if context.sent:
        receive(context, relaymessages.encode_message(confirmation))
    take_changes(context)


def receive(context, message):
    """Let the downstream take the bytes of a message."""
    context.last_message = message
    body = zlib.decompress(message[4:])
    context.client.apply_frame(relaymessages.FRAME_DECODER.decode(body))


@behave.when("a host without documents takes those of this host")
def add_downstream(context):
    """Connect a host that starts."""
    fleet, ports = context.fleet, context.ports
    context.downstream = make_host(context)
    context.downstream.cache.kinds[KIND].position = documentcache.UNLISTED
    # Both hosts have the time of the first one.
    context.downstream.rig, context.fleet, context.ports = context.fleet, fleet, ports
    connect(context, context.downstream)


@behave.when("a host with the same documents connects to this host")
def connect_same(context):
    """Connect a host that has the documents of the first era from elsewhere."""
    if "downstream" not in context:
        add_downstream(context)
    assert context.downstream.cache.digest(KIND) == context.host.cache.digest(KIND)
    connect(context, context.downstream)
    assert context.sent


@behave.when("the downstream takes the changes")
def take_changes(context):
    """Send what the downstream lacks."""
    for _, message in context.server.messages_after(context.sent):
        receive(context, message)


@behave.when("the upstream is lost for {seconds:g} s")
def lose_upstream(context, seconds):
    """Let the downstream alone go on."""
    context.fleet.now += seconds
    context.downstream.cache.end_holds(KIND, context.fleet.now)


@behave.when("a second downstream follows the first one")
def add_second(context):
    """Connect a third host to the downstream."""
    links = [(context.server, context.client, context.sent)]
    upstream, first = context.host, context.downstream
    context.host = first
    add_downstream(context)
    context.links = [*links, (context.server, context.client, context.sent)]
    context.downstreams = (first, context.downstream)
    context.host = upstream


@behave.when("both downstreams take the changes three times")
def take_all(context):
    """Pass changes on from host to host."""
    context.messages = 0
    for link in context.links * 3:
        context.server, context.client, context.sent = link
        context.messages += len(context.server.messages_after(dict(context.sent)))
        take_changes(context)


@behave.when(
    "the second downstream takes the changes before the first hears of the hold"
)
def take_early(context):
    """Let the first downstream's threads alternate at the worst moment."""
    (server, client, sent), second = context.links
    ((_, message),) = server.messages_after(sent)
    body = zlib.decompress(message[4:])
    frame = relaymessages.FRAME_DECODER.decode(body)
    held, frame.held = frame.held, {}
    context.messages = 1
    for part in (frame, relaymessages.DocumentFrame("", 0, False, [], True, held=held)):
        client.apply_frame(part)
        context.server, context.client, context.sent = second
        context.messages += len(context.server.messages_after(dict(context.sent)))
        take_changes(context)


@behave.when("the last message comes again")
def repeat_message(context):
    """Take a late second copy of a message."""
    receive(context, context.last_message)


@behave.then("both hosts have the same documents")
def check_same(context):
    """Check that a new connection would not send them again."""
    assert context.downstream.cache.digest(KIND) == context.host.cache.digest(KIND)


@behave.then("both downstreams have ended the evacuation after few messages")
def check_ended_at_all(context):
    """Let each end its holds by its own clock, without a message."""
    for host in context.downstreams:
        host.cache.end_holds(KIND, context.fleet.now)
        assert host.domains() == list(DOMAINS), host.domains()
    # Each link has one for the return, and the second one another for the hold.
    assert 2 <= context.messages <= 3, context.messages


@behave.when("a peer that has not heard of that tells of its hold")
def tell_late(context):
    """Take a hold as of the position of the return."""
    held = {"d1": (3.0, fleetmodel.Position(2, 5))}
    context.host.cache.add_holds(KIND, held)


@behave.when("a peer sends an evacuation of d1 from before the return")
def send_from_before(context):
    """Take a complete listing of the earlier era."""
    position = fleetmodel.Position(1, 99)
    found = documents.StoredDocument("d1", position, b"{}")
    context.host.cache.update(KIND, store.Listing([found], position, []), True)


# Reports.


class AskedPeers:
    """Stands for a RelayClient and its fetcher: notes which peers are asked."""

    upstream = ""

    def __init__(self):
        self.asked = []
        self.receiver = types.SimpleNamespace(received={})

    def start(self, ip):
        """Note a wish."""
        self.asked.append(ip)

    def is_busy(self):
        """Return False: each peer ends the connection at once."""
        return False

    def is_fresh(self):
        """Return whether an upstream watches the store."""
        return True


@behave.given("a host that exchanges reports")
def make_exchange(context):
    """Set up the part that acts on reports; all kinds are known up to 1.10."""
    rig = rigs.make_rig(context, [])
    operator_kinds = (documents.CONFIG_KIND, documents.OVERRIDES_KIND, KIND)
    kinds = (*operator_kinds, documents.TARGETS_KIND)
    cache = documentcache.DocumentCache(
        {kind: lambda *_: None for kind in kinds}, threading.Lock()
    )
    for kind in kinds:
        position = fleetmodel.Position(1, 10)
        cache.update(kind, store.Listing([], position, []), True)
    context.relay_client = AskedPeers()
    rig.peers.peers = {}
    unused = (rig.suspicions, rig.chooser, rig.forwarder)
    context.exchange = peerreports.ReportExchange(
        rig.peers,
        rig.view,
        rig.flows,
        *unused,
        cache,
        [],
        context.relay_client,
        context.relay_client,
        threading.Lock(),
        rig.log,
    )
    context.reports = []


def make_report(context, **changes):
    """Return a report of another peer that knows what this host knows."""
    ip = f"10.1.0.{len(context.reports) + 1}"
    fields = {"config_version": 5, "newest_target": 10}
    fields.update(newest_evacuation=10, newest_override=10)
    fields.update(changes)
    context.reports.append(
        peertable.Report(
            host=ip,
            domain="d1",
            ip=ip,
            started_ms=1,
            reads=False,
            loads={},
            suspects=[],
            lost=[],
            neighbours=[],
            era=1,
            **fields,
        )
    )


@behave.when("a peer reports a newer {kind}")
@behave.when("another peer reports a newer {kind}")
def report_newer(context, kind):
    """Add a peer that knows more of a kind."""
    newer = {
        "evacuation": {"newest_evacuation": 11},
        "override": {"newest_override": 11},
        "target": {"newest_target": 11},
        "configuration": {"config_version": 6},
    }
    make_report(context, **newer[kind])


@behave.when("a peer of an older version reports what this host knows")
def report_without(context):
    """Take a report whose last fields are missing."""
    make_report(context, newest_evacuation=0, newest_override=0)
    fields = msgspec.msgpack.decode(peertable.ENCODER.encode(context.reports[0]))
    datagram = msgspec.msgpack.encode(fields[:-2])
    context.reports = [peertable.decode_report(datagram)]
    assert context.reports[0].newest_evacuation_position is None
    assert context.reports[0].newest_override_position is None


@behave.when("{seconds:g} s of reports pass")
def exchange(context, seconds):
    """Take the report of each peer every 0.1 s."""
    context.relay_client.asked.clear()
    for _ in range(round(seconds * 10)):
        context.fleet.now += 0.1
        for found in context.reports:
            peer = peertable.Peer(found.ip, context.fleet.now, found)
            context.exchange.peers.peers[found.ip] = peer
            context.exchange.check_staleness(found, context.fleet.now)


@behave.then("documents are taken from that peer")
def check_asked(context):
    """Check who was asked."""
    assert set(context.relay_client.asked) == {"10.1.0.1"}, context.relay_client.asked


@behave.then("documents are taken from nobody")
def check_not_asked(context):
    """Check that nobody was asked."""
    assert context.relay_client.asked == []


@behave.then("documents are taken from both peers")
def check_both(context):
    """Check that both were asked by turns."""
    assert set(context.relay_client.asked) == {"10.1.0.1", "10.1.0.2"}


@behave.when("the first of them has sent all that it has")
def catch_up(context):
    """Let the peer that was asked last have sent everything."""
    context.caught_up = context.relay_client.asked[-1]
    report = next(r for r in context.reports if r.ip == context.caught_up)
    for kind in context.exchange.reported_kinds:
        position = peerreports.reported_position(report, kind)
        context.relay_client.receiver.received[kind] = position


@behave.then("documents are taken from the other one alone")
def check_other(context):
    """Check that only the other peer's documents count as unknown."""
    asked = set(context.relay_client.asked)
    assert len(asked) == 1 and context.caught_up not in asked, asked


# Operators.


class DirectConnection:
    """Stands for a store.Connection: reads a stand-in of the store without a network.

    `unknown` is a kind that the store does not know, empty for none.
    """

    def __init__(self, found):
        self.store = found
        self.unknown = ""

    def call(self, method, path, timeout_s, body=b""):  # noqa: ARG002
        """Answer a call for the page of a listing."""
        kind, _, query = path.removeprefix("/v1/objects/").partition("?")
        if kind == self.unknown:
            return store.Response(404, b"{}", self.store.era)
        page = self.store.list_page(kind, query.removeprefix("after="))
        return store.Response(200, json.dumps(page).encode(), self.store.era)

    def close(self):
        """Do nothing, as there is no connection."""


@behave.given("a store that operators read, with targets in d1 and d2")
def make_store(context):
    """Fill a store."""
    context.connection = DirectConnection(fleetstore.FleetStore())
    found = context.connection.store
    found.put("config", "main", fleetstore.configuration(5, rigs.SERVICE_IP, [443]))
    for number, domain in enumerate(("d1", "d2"), start=1):
        entry = fleetstore.target_entry((f"10.1.0.{number}", 80), domain)
        found.put("servers", f"i-{number}", entry)


@behave.given("its evacuations: {state}")
def fill_store(context, state):
    """Write evacuations, and a pin if the state has one."""
    if state == "unknown kind":
        context.connection.unknown = KIND
    for name in ("d1", "d9"):
        if f" {name}" in state:
            context.connection.store.put(KIND, name, {})
    if state.endswith("a pin"):
        spec = {"kind": "pin", "service": "desk", "target": "i-1"}
        context.connection.store.put(documents.OVERRIDES_KIND, "i-1", spec)


@behave.then("fleet evacuations shows {rows}")
def check_listed(context, rows):
    """Check domains and numbers of targets."""
    shown = fleetcommands.show_evacuations(context.connection)
    assert shown.exit is fleetcommands.Exit.OK, shown
    found = [f"{row[0]} {row[1]}" for row in shown.data["evacuations"]]
    assert (", ".join(found) or "none") == rows, found


@behave.then("new flows in d1 are shown as {shown}")
def check_shown(context, shown):
    """Check the commands that show targets."""
    context.explained = fleetcommands.explain(context.connection, "i-1").lines
    assert f"new flows: {shown}" in context.explained, context.explained
    listed = fleetcommands.show_targets(context.connection, "").data["targets"]
    (row,) = [row for row in listed if row[0] == "i-1"]
    assert f"{row[4]} ({row[5]})" == shown, row


@behave.then("a conflict is shown: {answer}")
def check_conflict(context, answer):
    """Check the explanation."""
    lines = [line for line in context.explained if line.startswith("conflict: ")]
    assert bool(lines) == (answer == "yes") and "d1" in "".join(lines) + "d1"
