"""Steps for hosts that fetch newer documents from a peer."""

import threading
import types

import behave
from fleet_feed_steps import configuration, entry
from fleet_feed_steps import free_port as find_free_port
from fleet_feed_steps import quiet_log as open_quiet_log

from basilgate import (
    clock,
    counters,
    documentcache,
    documentrelay,
    eventlog,
    fleetmodel,
    fleetview,
    peerreports,
    peertable,
    storewatch,
    suspicion,
    tcplistener,
)
from platformedge import documents, store
from standins import fleetstore

PEER_IP, READER_IP, STOPPED_IP = "127.0.12.2", "127.0.12.3", "127.0.12.4"
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
        self.server = documentrelay.RelayServer(self.cache, bool, log, counts)

    def list_documents(self, targets, version, revision):
        """Apply listings with some targets and a version of the configuration."""
        position = fleetmodel.Position(1, revision)
        found = {
            documents.TARGETS_KIND: {
                f"i-{number:08x}": entry(number) for number in range(1, targets + 1)
            },
            documents.CONFIG_KIND: {documents.CONFIG_NAME: configuration(version)},
            documents.OVERRIDES_KIND: {},
        }
        for kind, specs in found.items():
            stored = [
                documents.StoredDocument(name, position, fleetstore.encode(spec))
                for name, spec in specs.items()
            ]
            self.cache.update(kind, store.Listing(stored, position, []), True)


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
    context.client = documentrelay.RelayClient(
        context.peers, context.host.cache, log, counts
    )
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
        threading.Lock(),
        log,
    )
    yield
    context.peers.socket.close()


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
    context.client.catch_up(PEER_IP)
    context.client.follow_upstream(PEER_IP)


@behave.when("the host follows the peer")
def follow_peer(context):
    """Follow the peer, which does not watch the store, while another host does."""
    context.client.follow_upstream(PEER_IP)


@behave.when("the peer reports what it knows and starts again without documents")
def restart_peer(context):
    """Lose the peer's documents after its report."""
    context.found = report(context, PEER_IP, context.peer)
    context.former_peer = context.peer
    log = eventlog.EventLog(context.null, "h2")
    context.peer = CatchUpHost(log, counters.Counters())


@behave.when("another peer reports the sixth target")
def report_sixth(context):
    """Hear of the target from another peer."""
    context.found = report(context, READER_IP, context.former_peer)


@behave.when("the peer and a host that has stopped report the sixth target")
def report_both(context):
    """Hear the stopped host last, so that it is asked first."""
    report(context, PEER_IP, context.peer)
    context.found = report(context, STOPPED_IP, context.peer)


@behave.when("{seconds:g} s of reports pass at the host")
def pass_reports(context, seconds):
    """Check each report, and fetch documents whenever a peer was asked."""
    now = clock.steady_s()
    for step in range(round(seconds / STEP_S)):
        for peer in context.peers.peers.values():
            peer.heard_at += STEP_S
        context.exchange.check_staleness(context.found, now + step * STEP_S)
        if context.client.is_catching_up():
            context.client.follow_upstream(context.client.newer_peer_ip)


@behave.then("the host knows {count:d} targets")
def check_targets(context, count):
    """Check the targets."""
    assert len(context.host.view.entries) == count, context.host.view.entries


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
