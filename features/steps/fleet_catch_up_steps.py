"""Steps for hosts that fetch newer documents from a peer."""

import contextlib
import math
import threading
import time
import types

import behave
from fleet_feed_steps import configuration, entry
from fleet_feed_steps import free_port as find_free_port
from fleet_feed_steps import quiet_log as open_quiet_log

from basilgate import (
    clock,
    counters,
    documentcache,
    eventlog,
    fleetmodel,
    fleetview,
    peerreports,
    peertable,
    storewatch,
    suspicion,
    tcplistener,
)
from basilgate.relay import documentfetch, relayclient, relaymessages, relayserver
from platformedge import documents, store
from standins import fleetstore

PEER_IP, READER_IP, STOPPED_IP = "127.0.12.2", "127.0.12.3", "127.0.12.4"
SILENT_IPS, TRICKLING_IP = ("127.0.12.5", "127.0.12.6"), "127.0.12.7"
TRICKLE_PAUSE_S = 0.3  # Shorter than the time after which an upstream is silent.
KINDS = (documents.CONFIG_KIND, documents.TARGETS_KIND, documents.OVERRIDES_KIND)
STEP_S = 0.1


class CatchUpHost:
    """Documents of one host in this process, which it relays to others."""

    def __init__(self, log, counts):
        self.counts = counts
        self.view = fleetview.FleetView(log, counts, 60.0)
        updater = storewatch.ViewUpdater(self.view, log, counts)
        appliers = dict(
            zip(
                KINDS,
                (
                    updater.apply_configuration,
                    updater.apply_targets,
                    updater.apply_overrides,
                ),
                strict=True,
            )
        )
        self.cache = documentcache.DocumentCache(appliers, threading.Lock())
        self.server = relayserver.RelayServer(self.cache, bool, log, counts)

    def list_documents(self, targets, version, revision, era=0):
        """Apply listings with some targets and a version of the configuration.

        With `store.UNCONFIRMED_ERA` only that of targets may be old, as at a start.
        """
        found = {
            documents.TARGETS_KIND: {
                f"i-{number:08x}": entry(number) for number in range(1, targets + 1)
            },
            documents.CONFIG_KIND: {documents.CONFIG_NAME: configuration(version)},
            documents.OVERRIDES_KIND: {},
        }
        for kind, specs in found.items():
            of_targets = kind == documents.TARGETS_KIND
            position = fleetmodel.Position(era if of_targets else max(0, era), revision)
            stored = [
                documents.StoredDocument(name, position, fleetstore.encode(spec))
                for name, spec in specs.items()
            ]
            self.cache.update(kind, store.Listing(stored, position, []), True)


class RecordingFetcher(documentfetch.DocumentFetcher):
    """Keeps the addresses of the peers that were asked."""

    def __init__(self, peers, receiver, log):
        super().__init__(peers, receiver, log)
        self.asked = []

    def start(self, ip):
        """Note the peer, and ask it."""
        self.asked.append(ip)
        super().start(ip)


@behave.fixture
def peer_and_host(context):
    """Set up a host that can connect to a peer."""
    behave.use_fixture(open_quiet_log, context)
    log = eventlog.EventLog(context.null, "h1")
    counts = counters.Counters()
    port = find_free_port()
    settings = fleetmodel.HostSettings(
        name="h1",
        domain="d1",
        own_ip="127.0.12.1",
        listen=("127.0.12.1", 1),
        readiness=("127.0.12.1", 2),
        store=("127.0.12.1", 3),
        peer_ports=(port, port),
        seeds=(),
        grace_s=6.0,
        flow_age_limit_s=60.0,
    )
    context.peers = peertable.PeerTable(settings, log, counts)
    context.peer, context.host = (CatchUpHost(log, counts) for _ in range(2))
    context.client = relayclient.RelayClient(
        context.peers, context.host.cache, log, counts
    )
    context.fetcher = RecordingFetcher(context.peers, context.client.receiver, log)
    threading.Thread(target=listen(context, port, log).run, daemon=True).start()
    context.exchange = peerreports.ReportExchange(
        context.peers,
        context.host.view,
        None,
        suspicion.Suspicions(log, counts),
        None,
        None,
        context.host.cache,
        [types.SimpleNamespace(watches_store=False)],
        context.client,
        context.fetcher,
        threading.Lock(),
        log,
    )
    yield
    context.peers.socket.close()


@behave.fixture
def raw_listener(context, ip, serve):
    """Serve connections to an address; `serve` also gets an event that ends it."""
    log = eventlog.EventLog(context.null, "h3")
    address = (ip, context.peers.port)
    ended = threading.Event()
    listener = tcplistener.Listener(
        address, "raw", lambda connection: serve(connection, ended), log
    )
    threading.Thread(target=listener.run, daemon=True).start()
    yield
    ended.set()
    listener.socket.close()


def listen(context, port, log):
    """Return a listener that serves the documents which the peer has at the time."""
    return tcplistener.Listener(
        (PEER_IP, port),
        "relay",
        lambda connection: context.peer.server.serve(connection),
        log,
    )


def report(context, ip, host, reads=False):
    """Let this host hear a report with what a host knows."""
    newest = host.cache.newest_reported(documents.TARGETS_KIND)
    version = host.view.configuration.version if host.view.configuration else 0
    found = peertable.Report(
        ip, "d1", ip, 1, version, newest.revision, reads, {}, [], [], [], newest.era
    )
    context.peers.record_report(found, clock.steady_s())
    return found


def new_host(context):
    """Return another host without documents."""
    log = eventlog.EventLog(context.null, "h2")
    return CatchUpHost(log, counters.Counters())


@behave.given("a host and a peer that both know 5 targets and configuration 5")
def make_both(context):
    """Set up both with the same documents."""
    behave.use_fixture(peer_and_host, context)
    for host in (context.peer, context.host):
        host.list_documents(5, 5, 10)


@behave.given("the peer alone knows a sixth target")
def add_target(context):
    """Let the peer know more."""
    context.peer.list_documents(6, 5, 11)


@behave.given("the peer alone knows a sixth target and configuration 6")
def add_both(context):
    """Let the peer know more of two kinds."""
    context.peer.list_documents(6, 6, 12)


@behave.given("a host that watches the store is heard")
def hear_reader(context):
    """Let the host have another upstream to choose."""
    report(context, READER_IP, context.peer, reads=True)


@behave.when("the host catches up with the peer")
def catch_up(context):
    """Fetch documents from the peer once."""
    context.fetcher.fetch(PEER_IP)


@behave.when("the host follows the peer")
def follow_peer(context):
    """Follow the peer, which does not watch the store, while another host does."""
    context.client.follow_upstream(PEER_IP)


@behave.when("the peer reports what it knows and starts again without documents")
def restart_peer(context):
    """Lose the peer's documents after its report."""
    context.found = report(context, PEER_IP, context.peer)
    context.peer = new_host(context)


@behave.given(
    "the peer has started again and knows a sixth target from a listing that may be old"
)
def restart_with_old_listing(context):
    """Replace the peer by one with a first listing."""
    context.peer = new_host(context)
    context.peer.list_documents(6, 5, 11, store.UNCONFIRMED_ERA)


@behave.when("another peer reports the sixth target")
def report_sixth(context):
    """Hear of the target from another peer."""
    reader = new_host(context)
    reader.list_documents(6, 5, 11)
    context.found = report(context, READER_IP, reader)


@behave.when("the peer and a host that has stopped report the sixth target")
def report_both(context):
    """Hear the stopped host last, so that it is asked first."""
    report(context, PEER_IP, context.peer)
    context.found = report(context, STOPPED_IP, context.peer)


@behave.when("the peer reports the sixth target")
def report_peer(context):
    """Hear the peer alone."""
    report(context, PEER_IP, context.peer)


@behave.when("{seconds:g} s of reports pass at the host")
def pass_reports(context, seconds):
    """Check each report, and fetch documents whenever a peer was asked."""
    now = clock.steady_s()
    for step in range(round(seconds / STEP_S)):
        for peer in context.peers.peers.values():
            peer.heard_at = now + step * STEP_S
            context.exchange.check_staleness(peer.report, peer.heard_at)
        while context.fetcher.asked_ips:
            time.sleep(0.005)


@behave.then("the host knows {count:d} targets")
def check_targets(context, count):
    """Check the targets."""
    assert len(context.host.view.entries) == count, list(context.host.view.entries)


@behave.then("the host has configuration {version:d}")
def check_configuration(context, version):
    """Check the configuration."""
    assert context.host.view.configuration.version == version


@behave.then("the host is still behind")
def check_behind(context):
    """Check that the host does not count as current."""
    assert len(context.host.view.entries) == 5
    assert context.exchange.is_newer(context.found)


@behave.given("a store that stops answering after the first listings")
def stop_watches(context):
    """Answer no watch."""
    context.store.faults.unanswered = "watch="


@behave.then("it does not claim to watch the store")
def check_no_claim(context):
    """Check what the host would tell its downstreams."""
    assert not any(watcher.watches_store for watcher in context.host.watchers)
    context.store.faults.unanswered = ""


class PreviousRelayServer(relayserver.RelayServer):
    """Sends heartbeats as the previous version does, without the end of a batch."""

    def end_of_batch(self, sent_counts):
        """Return a heartbeat."""
        del sent_counts
        return self.heartbeat()


@behave.given("the peer runs the previous version")
def downgrade_peer(context):
    """Let the peer never say that a batch has ended."""
    server = context.peer.server
    context.peer.server = PreviousRelayServer(
        server.cache, bool, server.log, server.counts
    )


@behave.when("the host follows the peer for {seconds:g} s")
def follow_for(context, seconds):
    """Follow the peer in a thread of its own."""
    thread = threading.Thread(
        target=context.client.follow_upstream, args=(PEER_IP,), daemon=True
    )
    thread.start()
    thread.join(seconds)
    context.left = not thread.is_alive()


@behave.then("it has left the peer")
def check_left(context):
    """Check that the connection has ended."""
    assert context.left


@behave.when("no waiting call to the store is answered any more")
def lose_waiting(context):
    """Lose the answers to the calls in progress; later calls are answered."""
    context.store.faults.lost_before = time.monotonic()


@behave.when("a third target is added to the store")
def add_third(context):
    """Add a target."""
    context.store.put("servers", "i-000000bb", entry(8))


@behave.then("the host knows {count:d} targets while its other watches still wait")
def check_known(context, count):
    """Check that the change arrives long before the lost watches end."""
    limit_s = storewatch.WATCH_DURATION_S / 2
    ends_at = time.monotonic() + limit_s
    while len(context.host.view.entries) != count:
        assert time.monotonic() < ends_at, f"not in {limit_s} s"
        time.sleep(0.02)


@behave.given("one peer reports configuration 6 and another the sixth target")
def make_two_reports(context):
    """Prepare reports that ask for documents of different kinds."""
    ahead, other = new_host(context), new_host(context)
    ahead.list_documents(5, 6, 10)
    other.list_documents(6, 5, 11)
    context.now = clock.steady_s()
    context.reports = [
        report(context, STOPPED_IP, ahead),
        report(context, READER_IP, other),
    ]


@behave.when("{seconds:g} s of both reports pass")
def pass_both(context, seconds):
    """Take both reports every 0.1 s, while an upstream supplies the host."""
    context.client.fresh_until = math.inf
    context.fetcher.asked.clear()
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        for found in context.reports:
            context.peers.peers[found.ip].heard_at = context.now
            context.exchange.check_staleness(found, context.now)


@behave.when("the host gets configuration 6")
def get_configuration(context):
    """Meet the first report."""
    content = fleetstore.encode(configuration(6))
    position = fleetmodel.Position(0, 11)
    stored = documents.StoredDocument(documents.CONFIG_NAME, position, content)
    listing = store.Listing([stored], position, [])
    context.host.cache.update(documents.CONFIG_KIND, listing, True)


@behave.then("the host asks the peer that has the sixth target")
def check_asked(context):
    """Check who was asked at last."""
    assert context.fetcher.asked[-1:] == [READER_IP], context.fetcher.asked


@behave.given("a peer reports a configuration that the host cannot read")
def make_unreadable(context):
    """Let a version be newer than the host's for good."""
    ahead = new_host(context)
    ahead.list_documents(5, 6, 10)
    context.now = clock.steady_s()
    context.reports = [
        report(context, f"127.0.13.{number}", ahead) for number in range(1, 41)
    ]


@behave.when("{seconds:g} s of its reports and those of 39 others pass")
def count_requests(context, seconds):
    """Ask peers of which none has anything to send."""
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        for found in context.reports:
            context.peers.peers[found.ip].heard_at = context.now
            context.exchange.check_staleness(found, context.now)


@behave.then("the host has asked at most {count:d} times")
def check_requests(context, count):
    """Check that the host does not ask all peers in turn without an end."""
    assert 0 < len(context.fetcher.asked) <= count, len(context.fetcher.asked)


@behave.given(
    "the host has started with a listing that may be old, in which target 1 leaves"
)
def start_with_old_listing(context):
    """Let the host know a later report of the target than the peer."""
    host = context.host
    entries = host.view.entries
    host.view.entries = {}
    host.cache.kinds[documents.TARGETS_KIND] = documentcache.KindCache(
        {}, host.cache.kinds[documents.TARGETS_KIND].apply
    )
    position = fleetmodel.Position(store.UNCONFIRMED_ERA, 14)
    apply_entry(context, position, True, state="draining", seq=7)
    assert set(entries) > set(host.view.entries)


def apply_entry(context, position, complete, host=None, **changes):
    """Apply a listing with the first target alone."""
    content = fleetstore.encode(entry(1, **changes))
    stored = documents.StoredDocument("i-00000001", position, content)
    listing = store.Listing([stored], position, [])
    (host or context.host).cache.update(documents.TARGETS_KIND, listing, complete)


@behave.given("the peer has started again with an old listing in which target 1 leaves")
def restart_with_leaving(context):
    """Replace the peer by one with a first listing."""
    context.peer = new_host(context)
    position = fleetmodel.Position(store.UNCONFIRMED_ERA, 14)
    apply_entry(context, position, True, context.peer, state="draining", seq=7)


@behave.then("target 1 leaves on the host")
def check_leaves(context):
    """Check that the later report holds."""
    assert context.host.view.entries["i-00000001"].target.leaving


@behave.when("the store lists target 1 as ready again")
def list_ready(context):
    """Apply a change that the store accepted afterwards."""
    apply_entry(context, fleetmodel.Position(0, 15), False, state="ready", seq=8)


@behave.then("target 1 is ready on the host")
def check_ready(context):
    """Check that a later change replaces what was kept."""
    assert not context.host.view.entries["i-00000001"].target.leaving


@behave.when("a peer reports the sixth target and starts again without documents")
def report_and_restart(context):
    """Take the report of a peer that has nothing afterwards."""
    context.now = clock.steady_s()
    reader = new_host(context)
    reader.list_documents(6, 5, 11)
    context.reports = [report(context, STOPPED_IP, reader)]
    pass_both(context, 0.2)
    context.reports = [report(context, STOPPED_IP, new_host(context))]


@behave.when("another peer reports the sixth target {seconds:g} s later")
def report_late(context, seconds):
    """Hear of the same change from another peer after the grace."""
    pass_both(context, seconds)
    reader = new_host(context)
    reader.list_documents(6, 5, 11)
    context.reports.append(report(context, READER_IP, reader))


@behave.given("two hosts that accept connections and send nothing")
def start_silent_hosts(context):
    """Accept connections as the kernel does for a suspended process."""

    def serve(connection, ended):
        del connection
        ended.wait()

    for ip in SILENT_IPS:
        behave.use_fixture(raw_listener, context, ip, serve)


@behave.given("the first of them is heard as a host that watches the store")
@behave.when("the first of them is heard as a host that watches the store")
def hear_silent_host(context):
    """Take a report of a host that sends nothing on connections."""
    report(context, SILENT_IPS[0], context.peer, reads=True)


@behave.when("the host follows it until it gives up")
def follow_silent_host(context):
    """Follow the host that was chosen."""
    check_silent_host_chosen(context)
    context.client.follow_upstream(SILENT_IPS[0])


@behave.then("the host chooses no upstream")
def check_no_upstream(context):
    """Check the choice."""
    assert context.client.choose_upstream() is None


@behave.then("the host chooses it as upstream")
def check_silent_host_chosen(context):
    """Check the choice."""
    assert context.client.choose_upstream() == SILENT_IPS[0]


@behave.given("the host follows a host that watches the store")
def follow_reader(context):
    """Let the host have an upstream."""
    hear_reader(context)
    context.client.upstream, context.client.fresh_until = READER_IP, math.inf


@behave.then("the host still follows the host that watches the store")
def check_upstream_kept(context):
    """Check the upstream."""
    assert context.client.is_fresh()
    assert context.client.choose_upstream() == READER_IP == context.client.upstream


@behave.then("what the peer has sent counts as received")
def check_received(context):
    """Check the positions that the peer has confirmed."""
    cache = context.peer.cache
    expected = {kind: cache.newest_reported(kind) for kind in cache.kinds}
    assert context.fetcher.receiver.received == expected


@behave.when("the host catches up with the first of them")
def catch_up_in_vain(context):
    """Fetch from a host that sends nothing."""
    began_at = time.monotonic()
    context.fetcher.fetch(SILENT_IPS[0])
    context.fetched_s = time.monotonic() - began_at


@behave.then("it has given up after {limit_s:g} s, and nothing counts as received")
def check_given_up(context, limit_s):
    """Check when the transfer ended."""
    assert context.fetched_s < limit_s + STEP_S, context.fetched_s
    assert not context.fetcher.receiver.received and not context.fetcher.asked_ips


@behave.given("an upstream that sends a byte of a message now and then")
def start_trickling_upstream(context):
    """Send a message that does not end, faster than the downstream times out."""
    trickled = context.trickled = {"until": 0.0}

    def serve(connection, ended):
        message = relaymessages.LENGTH_PREFIX.pack(1_000) + bytes(1_000)
        with contextlib.suppress(OSError):
            for byte in message:
                connection.sendall(bytes([byte]))
                trickled["until"] = time.monotonic()
                if ended.wait(TRICKLE_PAUSE_S):
                    return

    behave.use_fixture(raw_listener, context, TRICKLING_IP, serve)
    report(context, TRICKLING_IP, context.host, reads=True)


def report_until_known(context, reporters, limit_s):
    """Exchange reports in real time until the host knows the sixth target.

    `reporters` are addresses with whether each watches the store, the one that is heard
    last at the end.
    """
    threading.Thread(target=context.client.run, daemon=True).start()
    ends_at = time.monotonic() + limit_s
    while len(context.host.view.entries) < 6 and time.monotonic() < ends_at:
        for found in [
            report(context, ip, context.peer, reads) for ip, reads in reporters
        ]:
            context.exchange.check_staleness(found, clock.steady_s())
        time.sleep(peertable.REPORT_INTERVAL_S)


@behave.when("they and the peer report the sixth target for at most {limit_s:g} s")
def report_silent_hosts(context, limit_s):
    """Let the hosts that send nothing be heard last, so that they are asked first."""
    reporters = [(ip, False) for ip in (PEER_IP, *SILENT_IPS)]
    report_until_known(context, reporters, limit_s)


@behave.when(
    "the upstream and the peer report the sixth target for at most {limit_s:g} s"
)
def report_trickling(context, limit_s):
    """Let the upstream be the one that the host would follow."""
    report_until_known(context, [(PEER_IP, False), (TRICKLING_IP, True)], limit_s)


@behave.then("the host has left the upstream that trickles within {limit_s:g} s")
def check_left_trickling(context, limit_s):
    """Wait until the upstream can send no more."""
    ends_at = time.monotonic() + limit_s
    while time.monotonic() - context.trickled["until"] < 2 * TRICKLE_PAUSE_S:
        assert time.monotonic() < ends_at, (
            "the host still takes what the upstream sends"
        )
        time.sleep(0.02)


@behave.when("the answer to its watch of {kind} is lost")
def lose_one(context, kind):
    """Lose the answer to the call in progress for one kind; later ones are answered."""
    context.store.faults.lost_path = f"/{kind}?watch="
    context.store.faults.lost_before = time.monotonic()


@behave.when("an override of a target is added")
def add_override(context):
    """Pull a target."""
    pulled = {"kind": "pull", "service": "desk", "target": "i-00000001"}
    context.store.put("basilgate-overrides", "i-00000001", pulled)


@behave.then("the host has {count:d} {what} within {limit_s:g} s")
def check_in_time(context, count, what, limit_s):
    """Wait for targets or overrides."""
    view = context.host.view
    found = {"targets": view.entries, "overrides": view.overrides}[what]
    ends_at = time.monotonic() + limit_s
    while len(found) != count:
        assert time.monotonic() < ends_at, f"{len(found)} {what} after {limit_s} s"
        time.sleep(0.02)


@behave.when("the host has received a target at revision {revision:d}")
def receive_target(context, revision):
    """Apply a change of one kind."""
    apply_entry(context, fleetmodel.Position(0, revision), False)


@behave.when(
    "the store has come back from a copy, and all kinds are listed up to revision"
    " {revision:d}"
)
def list_in_next_era(context, revision):
    """Learn of the next era, and list all kinds."""
    context.host.cache.raise_era(1)
    context.host.list_documents(5, 5, revision, 1)


def lacks_change(context, revision):
    """Return whether a change up to a revision may be of an override."""
    cache = context.host.cache
    position = fleetmodel.Position(cache.era, revision)
    return cache.lacks_change(documents.OVERRIDES_KIND, position)


@behave.then("no change up to revision {revision:d} is missing")
def check_complete(context, revision):
    """Check that each revision is accounted for."""
    assert not lacks_change(context, revision)


@behave.then("a change up to revision {revision:d} is missing")
def check_missing(context, revision):
    """Check that a revision of the earlier era does not count."""
    assert lacks_change(context, revision)
