"""Steps for changes that have to reach hosts whose upstream gets none."""

import signal
import tempfile
import time

import behave
import fleet_feed_steps

from standins import fleetstore

NETWORK = "127.0.14"


@behave.fixture
def linked_hosts(context, count):
    """Start hosts one after the other, each with store faults of its own."""
    context.peer_port = fleet_feed_steps.free_port()
    ips = [f"{NETWORK}.{number}" for number in range(1, count + 1)]
    context.seeds = ips[:3]
    context.faults = [fleetstore.Faults() for _ in ips]
    served = [fleetstore.serve(context.store, faults) for faults in context.faults]
    with tempfile.TemporaryDirectory() as context.folder:
        context.hosts = []
        for ip, (_, address) in zip(ips, served, strict=True):
            host = fleet_feed_steps.Process(context, ip, address)
            context.hosts.append(host)
            fleet_feed_steps.eventually(
                lambda host=host: host.status() == 200, "the host is ready"
            )
        yield
        for host in context.hosts:
            host.process.send_signal(signal.SIGCONT)
            host.process.kill()
            host.process.wait()
    for faults, (server, _) in zip(context.faults, served, strict=True):
        faults.silent = False
        server.shutdown()
        server.server_close()


def version_times(host):
    """Return the Unix times at which a host got versions, by version."""
    lines = [line.split() for line in host.log().splitlines()]
    events = [
        dict(pair.split("=", 1) for pair in line if "=" in pair) for line in lines
    ]
    return {
        int(event["version"]): float(event["time"])
        for event in events
        if event.get("event") == "configuration_in_force"
    }


def write(context, version):
    """Write a configuration, and note when the store has accepted it."""
    spec = fleet_feed_steps.configuration(version)
    context.store.put("config", "main", spec)
    context.written_at = time.time()


@behave.given("{count:d} hosts of one failure domain with links of their own")
def start_hosts(context, count):
    """Start hosts, of which the first is the upstream of the others."""
    behave.use_fixture(linked_hosts, context, count)
    line = f"relay_source={NETWORK}.1"
    for host in context.hosts[1:]:
        fleet_feed_steps.eventually(
            lambda host=host: line in host.log(), "the hosts follow the first one"
        )


@behave.when("configuration {version:d} is in force on all of them")
def reach_all(context, version):
    """Write a configuration, and wait until each host has it."""
    write(context, version)
    fleet_feed_steps.eventually(
        lambda: all(version in version_times(host) for host in context.hosts),
        f"configuration {version}",
    )


@behave.when(
    "the store falls silent for the first {count:d} hosts and configuration {version:d}"
    " is written"
)
def silence(context, count, version):
    """Let the store answer some hosts nothing, and change the configuration."""
    context.disturbed = count
    for faults in context.faults[:count]:
        faults.silent = True
    write(context, version)


@behave.when(
    "the first host is suspended for {suspended_s:g} s and gets no answers afterwards,"
    " and configuration {version:d} is written"
)
def suspend(context, suspended_s, version):
    """Let the upstream stand still, and be cut off from the store afterwards."""
    context.disturbed = 1
    process = context.hosts[0].process
    process.send_signal(signal.SIGSTOP)
    context.faults[0].silent = True
    write(context, version)
    time.sleep(suspended_s)
    process.send_signal(signal.SIGCONT)


@behave.when(
    "the store is silent for all hosts for {silent_s:g} s, and those calls stay"
    " unanswered"
)
def lose_calls(context, silent_s):
    """Lose the calls that are open during an outage, up to its last moment."""
    for faults in context.faults:
        faults.silent = True
    time.sleep(silent_s)
    for faults in context.faults:
        faults.lost_before = time.monotonic()
        faults.silent = False


@behave.when("a target leaves and configuration {version:d} is written")
def change_both(context, version):
    """Let a target report its departure, and write a configuration."""
    entry = {**fleet_feed_steps.entry(1), "state": "draining"}
    context.store.put("servers", "i-00000001", entry)
    write(context, version)


@behave.then("all hosts know both within {limit_s:g} s")
def check_both(context, limit_s):
    """Compare when each host has the configuration and the departure with the limit.

    The limit is the time after which a store that has come back counts as stable.
    """
    context.disturbed = 0
    check_in_time(context, 8, limit_s)
    for host in context.hosts:
        fleet_feed_steps.eventually(
            lambda host=host: departure_times(host), "the departure"
        )
        delay_s = departure_times(host)[0] - context.written_at
        assert delay_s <= limit_s, (host.ip, delay_s)


def departure_times(host):
    """Return the Unix times at which a host learned of departures."""
    lines = [line for line in host.log().splitlines() if " leaving=True " in line]
    return [float(line.split("time=")[1].split()[0]) for line in lines]


@behave.then(
    "configuration {version:d} is in force on the other hosts within {limit_s:g} s"
)
def check_in_time(context, version, limit_s):
    """Compare when each host that no fault touches has the version with the limit."""
    hosts = context.hosts[context.disturbed :]
    fleet_feed_steps.eventually(
        lambda: all(version in version_times(host) for host in hosts),
        f"configuration {version}",
    )
    delays_s = {
        host.ip: round(version_times(host)[version] - context.written_at, 3)
        for host in hosts
    }
    context.delays_s = delays_s
    assert max(delays_s.values()) <= limit_s, delays_s
