"""Steps for reports between balancers."""

import os
import random
import socket
import threading

import behave
import hypothesis
import hypothesis.strategies as st
from fleet_feed_steps import free_port

from basilgate import (
    clock,
    counters,
    documentcache,
    eventlog,
    fleetmodel,
    peertable,
    storewatch,
)
from basilgate.relay import relayclient, relaymessages

NEAR, FAR, TOKEN = "d1", "d2", 77


def report(ip, domain, started_ms=1, flows=0, version=9, reads=True):
    """Return a report of another host."""
    loads = {TOKEN: (flows, 0.5)}
    return peertable.Report(
        ip, domain, ip, started_ms, version, 5, reads, loads, [], [], []
    )


@behave.fixture
def with_neighbours(context):
    """Set up the exchange of reports of one host."""
    null = os.open(os.devnull, os.O_WRONLY)
    port = free_port()
    settings = fleetmodel.HostSettings(
        name="h1",
        domain=NEAR,
        own_ip="127.0.0.1",
        listen=("127.0.0.1", 1),
        readiness=("127.0.0.1", 2),
        store=("127.0.0.1", 3),
        peer_ports=(port, port),
        seeds=(),
        grace_s=6.0,
        flow_age_limit_s=60.0,
    )
    log = eventlog.EventLog(null, "h1")
    context.peers = peertable.PeerTable(settings, log, counters.Counters())
    context.peers.started_ms = 50
    context.now = 100.0
    cache = documentcache.DocumentCache({"config": lambda *_: None}, threading.Lock())
    context.relay_client = relayclient.RelayClient(
        context.peers, cache, log, context.peers.counts
    )
    real, clock.steady_s = clock.steady_s, lambda: context.now
    yield
    clock.steady_s = real
    context.peers.socket.close()
    os.close(null)


@behave.given("a host with neighbours")
def make_host(context):
    """Set up a host."""
    behave.use_fixture(with_neighbours, context)


@behave.when("two neighbours report {first:d} and {second:d} flows at a target")
def take_reports(context, first, second):
    """Take a report of a near and of a far host."""
    context.peers.record_report(report("127.0.0.2", NEAR, flows=first), context.now)
    context.peers.record_report(report("127.0.0.3", FAR, flows=second), context.now)
    context.regained = context.peers.refresh(context.now)


@behave.when("{seconds:g} s pass without reports")
def pass_time(context, seconds):
    """Let time pass."""
    context.now += seconds
    context.peers.refresh(context.now)


@behave.when("this host pauses for {seconds:g} s")
def pause(context, seconds):
    """Let time pass in which this host does nothing."""
    context.now += seconds
    context.peers.restart_silence_timers(context.now)
    context.peers.refresh(context.now)


@behave.then("{count:d} flows are known there")
def check_flows(context, count):
    """Check the sum of the loads."""
    assert context.peers.loads.get(TOKEN, (0, 0.0))[0] == count


@behave.then("the far failure domain is silent")
def check_silent(context):
    """Check the far failure domain."""
    assert context.peers.is_domain_silent(FAR)


@behave.then("the far failure domain is not silent")
def check_not_silent(context):
    """Check the far failure domain."""
    assert not context.peers.is_domain_silent(FAR)


@behave.then("the far failure domain is heard again")
def check_heard(context):
    """Check that the change is told once."""
    assert FAR in context.regained and not context.peers.is_domain_silent(FAR)
    assert context.peers.refresh(context.now) == []


@behave.when("near hosts have started at {near}, this one at 50, and a far one at 1")
def take_starts(context, near):
    """Take reports of hosts that follow the store."""
    context.peers.record_report(report("127.0.0.99", FAR), context.now)
    for entry in [] if near == "none" else near.split(", "):
        started, _, behind = entry.partition(" ")
        version = 8 if behind else 9
        found = report(f"127.0.0.{started}", NEAR, int(started), version=version)
        context.peers.record_report(found, context.now)


@behave.when("this host is refused by the store: {refused}")
def choose(context, refused):
    """Choose a source."""
    context.relay_source = context.peers.choose_upstream(
        context.now, refused == "yes", True, []
    )


@behave.then("it follows {relay_source}")
def check_relay_source(context, relay_source):
    """Check the choice."""
    expected = {"nobody": None, "the far": "127.0.0.99"}
    if relay_source.startswith("near"):
        expected[relay_source] = f"127.0.0.{relay_source.split()[1]}"
    assert context.relay_source == expected[relay_source], context.relay_source


@behave.when("random datagrams arrive")
def send_random(context):
    """Send bytes that are no report, and a report with another's address."""
    peers = context.peers
    address = ("127.0.0.1", peers.port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:

        @hypothesis.given(st.binary(max_size=200))
        def send(noise):
            sender.sendto(noise, address)
            assert peers.receive_report() is None

        send()
        sender.sendto(peertable.ENCODER.encode(report("127.0.0.9", FAR)), address)
        assert peers.receive_report() is None


@behave.then("no neighbour is known")
def check_none(context):
    """Check that nothing was taken over."""
    assert context.peers.peers == {}


@behave.then("{count:d} hosts are to ask before it")
def check_rank(context, count):
    """Check the rank."""
    assert context.peers.upstream_rank(context.now) == count


@behave.when("this host takes documents from the near 20")
def take_documents(context):
    """Follow a source that follows the store."""
    context.relay_client.upstream = "127.0.0.20"
    context.relay_client.apply_frame(
        relaymessages.DocumentFrame("", 0, False, [], True)
    )


@behave.when("a near host that has started at 10 is heard")
def hear_older(context):
    """Hear a host that would be chosen first."""
    context.peers.record_report(report("127.0.0.10", NEAR, 10), context.now)


@behave.when("the near 20 no longer follows the store")
def lose_store(context):
    """Take a sign of life of a source that lost the store."""
    context.relay_client.apply_frame(
        relaymessages.DocumentFrame("", 0, False, [], False)
    )


@behave.then("it stays with the near {started:d}")
@behave.then("it goes to the near {started:d}")
def check_source(context, started):
    """Check the choice."""
    assert context.relay_client.choose_upstream() == f"127.0.0.{started}"


@behave.when("the near 10 takes no connection")
def refuse_connection(context):
    """Let a connection fail; nothing listens at that address."""
    assert context.relay_client.choose_upstream() == "127.0.0.10"
    context.relay_client.follow_upstream("127.0.0.10")


class StartingHost:
    """A host that starts among many: its table of peers and one watch of the store.

    Times are those of the context's clock, in seconds.
    """

    def __init__(self, context, number, starts_at):
        self.ip = f"10.{number // 100}.0.{number % 100}"
        settings = fleetmodel.HostSettings(
            name=self.ip,
            domain=f"d{number % context.domains}",
            own_ip=self.ip,
            listen=(self.ip, 1),
            readiness=(self.ip, 2),
            store=(self.ip, 3),
            peer_ports=(1, 1),
            seeds=("10.0.0.0", "10.0.0.1", "10.0.0.2"),
            grace_s=6.0,
            flow_age_limit_s=60.0,
        )
        log = eventlog.EventLog(context.null, self.ip)
        counts = counters.Counters()
        self.peers = peertable.PeerTable.__new__(peertable.PeerTable)
        self.peers.rng = random.Random(number)
        self.peers.reset(settings, log, counts, int(starts_at * 1e3))
        self.starts_at = starts_at
        # Importing the program and listing take a second on the smallest hosts.
        self.lists_at = starts_at + 1.0
        cache = documentcache.DocumentCache(
            {"config": lambda *_: None}, threading.Lock()
        )
        self.client = relayclient.RelayClient(self.peers, cache, log, counts)
        self.watcher = storewatch.KindWatcher(
            "config", None, cache, self.client, log, counts
        )
        self.listed = self.called = False
        self.source = None

    def act(self, hosts, now):
        """List once, then follow a source or watch the store."""
        if now < self.lists_at:
            return
        if not self.listed:
            self.listed = True
            self.watcher.yield_after(storewatch.UPSTREAM_WAIT_S)
        self.source = self.client.choose_upstream()
        if self.source is not None:
            # A connection stays while its source watches the store.
            fresh = hosts[self.source].watcher.watching
            self.client.upstream = self.source
            self.client.fresh_until = now + 0.5 if fresh else 0.0
            self.watcher.watching = False
        elif self.watcher.may_call():
            self.watcher.watching = self.called = True

    def exchange(self, hosts, now):
        """Send a report to the hosts that are to get it."""
        self.peers.refresh(now)
        reads = self.watcher.watching
        sent = self.peers.make_report(1 if self.listed else 0, 1, reads, {}, [], [])
        for addressed, ips in self.peers.addressed_reports(sent):
            for ip in ips:
                receiver = hosts[ip]
                if now >= receiver.starts_at + 0.5:
                    receiver.peers.record_report(addressed, now)
        self.peers.interval_count += 1


@behave.fixture
def virtual_clock(context):
    """Let time pass only when a step says so."""
    context.null = os.open(os.devnull, os.O_WRONLY)
    context.now = 100.0
    real, clock.steady_s = clock.steady_s, lambda: context.now
    yield
    clock.steady_s = real
    os.close(context.null)


@behave.given(
    "{domains:d} failure domains of {count:d} hosts that start within {span:g} s and "
    "know three seeds"
)
def make_starting_hosts(context, domains, count, span):
    """Set up the hosts."""
    behave.use_fixture(virtual_clock, context)
    context.domains = domains
    found = [
        StartingHost(context, number, context.now + context.rng.uniform(0.0, span))
        for number in range(domains * count)
    ]
    context.starting = {host.ip: host for host in found}


@behave.when("{seconds:g} s pass in which they list once and exchange reports")
def exchange_reports(context, seconds):
    """Let each host act every 0.05 s and send its reports in their interval."""
    hosts = context.starting
    for _ in range(round(seconds / 0.05)):
        context.now += 0.05
        for host in hosts.values():
            since = context.now - host.starts_at
            intervals = since / peertable.REPORT_INTERVAL_S
            if since > 0.5 and intervals % 1 < 0.05 / peertable.REPORT_INTERVAL_S:
                host.exchange(hosts, context.now)
            host.act(hosts, context.now)


@behave.then("at most {count:d} hosts have watched the store")
def check_called(context, count):
    """Count the hosts that called."""
    called = [host.ip for host in context.starting.values() if host.called]
    assert 0 < len(called) <= count, len(called)


@behave.then("the others take documents from a host that watches it")
def check_sources(context):
    """Check the source of each host."""
    hosts = context.starting
    for host in hosts.values():
        assert host.watcher.watching or hosts[host.source].watcher.watching, host.ip
