"""Steps for configuration and targets on the users' platform."""

import collections
import http.client
import math
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import zlib

import behave

from basilgate import (
    counters,
    documentcache,
    eventlog,
    fleetview,
    forwarder,
    storewatch,
    tcplistener,
)
from basilgate.relay import relayclient, relaymessages, relayserver
from platformedge import documents, store
from standins import fleetstore

MAX_PRIMARY_WATCHES_PER_S = math.ceil(1.0 / storewatch.PRIMARY_WATCH_DURATION_S)
LIMIT_S = 20.0  # Bounds a step that never comes true; no verdict depends on it.
SERVICE_IP = "198.18.0.1"
HOSTS = ("127.0.11.1", "127.0.11.2", "127.0.11.3", "127.0.11.4")


def eventually(check, what):
    """Wait until a check holds."""
    ends_at = time.monotonic() + LIMIT_S
    while not check():
        assert time.monotonic() < ends_at, f"not in {LIMIT_S} s: {what}"
        time.sleep(0.02)


def entry(position, **changes):
    """Return what a target says of itself."""
    address = (f"10.1.0.{position}", 8080)
    return {**fleetstore.target_entry(address, "d1"), **changes}


def configuration(version):
    """Return a configuration as the operator writes it."""
    return fleetstore.configuration(version, SERVICE_IP, [443])


@behave.fixture
def served_store(context):
    """Serve a store on loopback."""
    context.store = fleetstore.FleetStore()
    server, context.address = fleetstore.serve(context.store)
    yield
    context.store.faults.silent = False
    server.shutdown()
    server.server_close()


@behave.given("a store with {count:d} targets")
def make_store(context, count):
    """Fill a store."""
    behave.use_fixture(served_store, context)
    context.store.put("config", "main", configuration(5))
    for position in range(1, count + 1):
        context.store.put("servers", f"i-{position:08x}", entry(position))


@behave.given("the store's listings that may be old stay as they are now")
def keep_old(context):
    """Keep a copy of the store for such listings."""
    context.store.faults.old = context.store.copy()


@behave.given("a target is added, one is removed, and configuration {version:d} comes")
def change_all(context, version):
    """Change targets and configuration."""
    context.store.put("servers", "i-000000bb", entry(8))
    context.store.remove("servers", "i-00000001")
    context.store.put("config", "main", configuration(version))


@behave.given("the store forgets its history")
def forget(context):
    """Drop the history."""
    context.store.forget_history()


@behave.then("configuration {version:d} is in force there")
def check_in_force(context, version):
    """Check the configuration of the host in this process."""
    view = context.host.view
    eventually(
        lambda: (
            view.configuration is not None and view.configuration.version == version
        ),
        f"configuration {version}",
    )


@behave.given("targets that change after each page of a listing")
def change_between_pages(context):
    """Add a target before the page that was read, and remove one behind it."""
    changes = iter(
        [
            lambda: context.store.put("servers", "i-00000000a", entry(90)),
            lambda: context.store.remove("servers", "i-00000007"),
        ]
    )
    context.store.faults.after_page = lambda: next(changes, lambda: None)()


@behave.then("it knows the targets that the store has")
def check_same(context):
    """Check the names."""
    entries = context.host.view.entries
    eventually(
        lambda: set(entries) == set(context.store.kinds["servers"]),
        f"{sorted(entries)} are {sorted(context.store.kinds['servers'])}",
    )


@behave.when("{count:d} hosts follow a store that answers {status:d} for {seconds:g} s")
def follow_refused(context, count, status, seconds):
    """Let many hosts follow the store, which then refuses all of them."""
    behave.use_fixture(quiet_log, context)
    hosts = [Host(context.address, context.null, rank) for rank in range(count)]
    eventually(lambda: all(host.view.ready for host in hosts), "all hosts are ready")
    with context.store.changed:
        context.store.faults.status = status
        for connection in (c for host in hosts for c in host.connections):
            connection.abort()
        calls = sum(context.store.calls.values())
    time.sleep(seconds)
    context.calls_each = (sum(context.store.calls.values()) - calls) / count / seconds
    context.store.faults.status = 0
    context.store.put("config", "main", configuration(9))
    eventually(
        lambda: all(host.view.configuration.version == 9 for host in hosts),
        "configuration 9 on all hosts",
    )


@behave.then("{hosts:d} hosts would make less than {rate:d} calls a second")
def check_rate(context, hosts, rate):
    """Check the rate of calls of the capacity goal."""
    assert 0 < context.calls_each * hosts < rate, context.calls_each


# Valid JSON that no decoder with a stack of its own takes.
TOO_DEEP = fleetstore.RawJson(b"[" * 100_000 + b"]" * 100_000)
ENTRIES = {
    "without an address": ("i-000000aa", {"service": "desk", "slots": 3}),
    "with text for the slots": ("i-000000aa", entry(9, slots="three")),
    "with an unknown state": ("i-000000aa", entry(9, state="resting")),
    "whose name has no digits": ("i-xyz", entry(9)),
    "that is a list": ("i-000000aa", ["ready"]),
    "that is nested too deep": ("i-000000aa", TOO_DEEP),
    "with half a character": ("i-000000aa", fleetstore.RawJson(b'["\\ud800"]')),
    "with a control character": ("i-000000aa", fleetstore.RawJson(b'["\x01"]')),
    "with an address and more": ("i-000000aa", entry(9, address="10.1.0.9 x:80")),
    "with a host name as address": ("i-000000aa", entry(9, address="target:80")),
}


@behave.given("an entry {what}")
def add_foreign(context, what):
    """Add the entry of a foreign writer."""
    context.store.put("servers", *ENTRIES[what])


class Older:
    """Stands for a PeerTable: some peers have run longer, none watches the store."""

    def __init__(self, count=0):
        self.count = count

    def upstream_rank(self, now):  # noqa: ARG002
        """Return how many have run longer."""
        return self.count

    def choose_upstream(self, *_):
        """Return no source."""


class Host:
    """The parts of a host that follow the store, in this process."""

    def __init__(self, address, descriptor, rank=0):
        self.log = eventlog.EventLog(descriptor, "h1")
        self.counts = counters.Counters()
        self.view = fleetview.FleetView(self.log, self.counts, 60.0)
        feed = storewatch.ViewUpdater(self.view, self.log, self.counts)
        appliers = {
            documents.CONFIG_KIND: feed.apply_configuration,
            documents.TARGETS_KIND: feed.apply_targets,
            documents.OVERRIDES_KIND: feed.apply_overrides,
        }
        self.cache = documentcache.DocumentCache(appliers, threading.Lock())
        relay_client = relayclient.RelayClient(
            Older(rank), self.cache, self.log, self.counts
        )
        self.connections = []
        self.watchers = watchers = []
        for kind in appliers:
            connection = store.Connection(address)
            self.connections.append(connection)
            found = storewatch.KindWatcher(
                kind,
                connection,
                self.cache,
                relay_client,
                self.log,
                self.counts,
                watchers[0] if watchers else None,
            )
            watchers.append(found)
        for found in watchers:
            found.siblings = [other for other in watchers if other is not found]
            threading.Thread(target=found.run, daemon=True).start()


@behave.fixture
def quiet_log(context):
    """Give a descriptor whose reader throws everything away."""
    context.null = os.open(os.devnull, os.O_WRONLY)
    yield
    # Threads of the host may still write; the descriptor ends with the process.


@behave.when("a host follows the store")
def follow(context):
    """Follow the store in this process."""
    behave.use_fixture(quiet_log, context)
    context.host = Host(context.address, context.null)
    view = context.host.view
    eventually(lambda: view.ready, "the host is ready")
    context.first_ready = {
        "version": view.configuration.version,
        "candidates": [found.target.name for found in view.candidates("desk")],
    }


@behave.then("it knows {count:d} targets")
def check_count(context, count):
    """Check the number of listed targets."""
    entries = context.host.view.entries
    eventually(lambda: len(entries) == count, f"{len(entries)} targets")


@behave.then("what cannot be read is counted")
def check_unreadable(context):
    """Check the counter."""
    assert context.host.counts.total("unreadable_documents_total") == 1


@behave.when("the first target's entry becomes {what}")
def spoil(context, what):
    """Replace an entry by something else."""
    spec = {"unreadable": "nonsense", "nested too deep": TOO_DEEP}[what]
    context.store.put("servers", "i-00000001", spec)


def end_trouble(context, trouble):
    """Let the store work again."""
    if trouble == "is silent":
        time.sleep(0.3)
    context.store.faults.status = 0
    context.store.faults.silent = False


@behave.when("the store {trouble} while a target is added and one is removed")
def change_in_trouble(context, trouble):
    """Change targets during a trouble."""
    faults = context.store.faults
    if trouble.startswith("answers"):
        faults.status = int(trouble.split()[1])
    elif trouble == "is silent":
        faults.silent = True
    if trouble not in ("forgets its history", "is silent"):
        for connection in context.host.connections:
            connection.abort()
    if trouble.startswith("answers"):
        # One kind asks alone while the store fails.
        calls = sum(context.store.calls.values())
        eventually(
            lambda: sum(context.store.calls.values()) > calls + 3, "calls that fail"
        )
    with context.store.changed:
        context.store.put_quietly("servers", "i-000000bb", entry(8))
        context.store.remove_quietly("servers", "i-00000001")
        if trouble == "forgets its history":
            context.store.forget_history()
    end_trouble(context, trouble)


@behave.then("it knows the added target and not the removed one")
def check_changes(context):
    """Check what is known in the end."""
    entries = context.host.view.entries
    eventually(
        lambda: "i-000000bb" in entries and "i-00000001" not in entries,
        f"targets are {sorted(entries)}",
    )


@behave.when("the first target starts again at another address")
def restart_target(context):
    """Start a target again under its name."""
    context.store.put("servers", "i-00000001", entry(7, born=1_700_000_009_999, seq=1))


@behave.then("its flows go to the new address")
def check_new_address(context):
    """Check where the token leads."""
    eventually(
        lambda: context.host.view.target_for(1).address == ("10.1.0.7", 8080),
        "the token leads to the new address",
    )


def free_port():
    """Return a port that is free at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings_text(context, ip, address=None, domain="d1"):
    """Return a settings file of the platform."""
    store_address = address or context.address
    port = context.peer_port
    seeds = context.seeds if "seeds" in context else HOSTS[:3]
    contracts = context.contracts if "contracts" in context else ()
    return fleetstore.settings_text(ip, domain, port, store_address, seeds, contracts)


class Process:
    """One forwarder as a process of its own."""

    def __init__(self, context, ip, address=None, domain="d1"):
        self.ip = ip
        self.port = context.peer_port
        self.path = pathlib.Path(context.folder) / f"{ip}.toml"
        self.path.write_text(settings_text(context, ip, address, domain))
        self.output = pathlib.Path(context.folder) / f"{ip}.log"
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "basilgate.forwarder"],
                env={**os.environ, forwarder.SETTINGS_VARIABLE: str(self.path)},
                stdout=output,
                stderr=output,
            )

    def log(self):
        """Return what the process has written."""
        return self.output.read_text()

    def get(self, port, path):
        """Return status and body of a page, None if there is no answer."""
        client = http.client.HTTPConnection(self.ip, port, timeout=5)
        try:
            client.request("GET", path)
            answer = client.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return None
        finally:
            client.close()

    def status(self):
        """Return the status of the readiness page, None without an answer."""
        found = self.get(self.port + 2, forwarder.READY_PATH)
        return found[0] if found else None

    def version(self):
        """Return the version of the configuration in force."""
        lines = [
            line for line in self.log().splitlines() if "configuration_in_force" in line
        ]
        return int(lines[-1].split("version=")[1].split()[0]) if lines else 0


@behave.fixture
def split_forwarders(context, places):
    """Start hosts in some failure domains, some with a store address of their own.

    `places` holds for each host whether it has that address, and its failure domain.
    """
    context.peer_port = free_port()
    context.relay_source_faults = fleetstore.Faults()
    server, address = fleetstore.serve(context.store, context.relay_source_faults)
    with tempfile.TemporaryDirectory() as context.folder:
        context.hosts = []
        for ip, (is_own, domain) in zip(HOSTS, places, strict=False):
            found = address if is_own else None
            context.hosts.append(Process(context, ip, found, domain))
            eventually(lambda: context.hosts[-1].status() == 200, "the host is ready")
        yield
        for host in context.hosts:
            host.process.kill()
            host.process.wait()
    context.relay_source_faults.silent = False
    server.shutdown()
    server.server_close()


@behave.given(
    "two hosts of one failure domain and one of another, the first with {address}"
)
def start_split(context, address):
    """Start the hosts."""
    is_shared = address.startswith("the second")
    places = [(True, "d1"), (is_shared, "d1"), (False, "d2")]
    behave.use_fixture(split_forwarders, context, places)


@behave.given("two hosts of one failure domain, the first with an address of its own")
def start_two(context):
    """Start the hosts."""
    behave.use_fixture(split_forwarders, context, [(True, "d1"), (False, "d1")])


@behave.given("two hosts of one failure domain, both with an address of their own")
def start_both(context):
    """Start the hosts."""
    behave.use_fixture(split_forwarders, context, [(True, "d1"), (True, "d1")])


@behave.when(
    "the settings of both hosts name another address, and the first gets SIGHUP"
)
def move_store(context):
    """Write the settings, and wait until both hosts have read them."""
    for host in context.hosts:
        host.path.write_text(settings_text(context, host.ip))
    context.hosts[0].process.send_signal(signal.SIGHUP)
    for host in context.hosts:
        eventually(
            lambda host=host: "event=settings_reloaded" in host.log(), "it reloads"
        )


@behave.when("the second host follows the first")
def wait_for_second(context):
    """Wait until the second host follows."""
    line = f"relay_source={HOSTS[0]}"
    eventually(lambda: line in context.hosts[1].log(), "relayed has started")


@behave.when("the store falls silent for the first host")
def silence_first(context):
    """Let the first host's store address answer nothing any more."""
    context.relay_source_faults.silent = True


@behave.fixture
def forwarders(context):
    """Start three forwarders, and end those that are left."""
    context.peer_port = free_port()
    with tempfile.TemporaryDirectory() as context.folder:
        context.hosts = []
        for ip in HOSTS[:3]:
            context.hosts.append(Process(context, ip))
            # The first one has run longest.
            eventually(lambda: context.hosts[-1].status() == 200, "the host is ready")
        yield
        for host in context.hosts:
            host.process.send_signal(signal.SIGCONT)
            host.process.kill()
            host.process.wait()


@behave.fixture
def many_forwarders(context, count):
    """Start many forwarders at once."""
    context.peer_port = free_port()
    ips = [f"127.0.12.{number}" for number in range(1, count + 1)]
    context.seeds = ips[:3]
    with tempfile.TemporaryDirectory() as context.folder:
        context.hosts = [Process(context, ip) for ip in ips]
        yield
        for host in context.hosts:
            host.process.kill()
        for host in context.hosts:
            host.process.wait()


@behave.given("{count:d} hosts of one failure domain that start at once")
def start_many(context, count):
    """Start forwarders that know three seeds."""
    behave.use_fixture(many_forwarders, context, count)


@behave.when("all of them are ready and {seconds:g} s have passed")
def wait_for_many(context, seconds):
    """Wait until the hosts have settled who watches the store."""
    for host in context.hosts:
        eventually(lambda host=host: host.status() == 200, "all hosts are ready")
    time.sleep(seconds)


@behave.then("at most {count:d} hosts watch the store")
def check_watches(context, count):
    """Count the watches that wait for a change."""
    assert 0 < context.store.waiting["config"] <= count, context.store.waiting


@behave.given("three hosts of one failure domain")
def start_hosts(context):
    """Start forwarders."""
    behave.use_fixture(forwarders, context)


@behave.when("all hosts have the documents")
def wait_for_relayed(context):
    """Wait until all but the first follow_source."""
    for host in context.hosts[1:]:
        eventually(
            lambda host=host: f"relay_connected host=host-{host.ip}" in host.log(),
            "relayed has started",
        )
        assert host.version() == 5


@behave.when("the store's calls are counted from now on")
def start_count(context):
    """Let watches that wait end, and count from then on."""
    # A change lets the watches of all hosts return; clients do not watch again.
    context.store.put("servers", "i-000000cc", entry(6))
    context.store.put("config", "main", configuration(7))
    context.store.put("basilgate-overrides", "x", {"kind": "unheard-of"})
    eventually(lambda: all(h.version() == 7 for h in context.hosts), "version 7")
    # The source gathers changes before it watches again, which must not be counted.
    kinds = ("servers", "config", "basilgate-overrides")
    eventually(
        lambda: [context.store.waiting[kind] for kind in kinds] == [1, 1, 1],
        "the source alone watches again",
    )
    context.store.calls = collections.Counter()


@behave.when("configuration 9 is written")
def write_configuration(context):
    """Write a new configuration."""
    context.store.put("config", "main", configuration(9))


@behave.then("configuration 9 is in force on all hosts")
def check_in_force(context):
    """Check all hosts."""
    eventually(lambda: all(h.version() == 9 for h in context.hosts), "version 9")


@behave.then("configuration 9 is in force on the other hosts")
def check_others_in_force(context):
    """Check all hosts but the first."""
    eventually(lambda: all(h.version() == 9 for h in context.hosts[1:]), "version 9")


@behave.then("one host alone has called the store")
def check_calls(context):
    """Check that one host started the watch of the configuration again.

    Its watches of the other kinds go on; a second host would start watches of all.
    """
    calls = context.store.calls
    eventually(lambda: calls["GET config"] >= 1, "the source watches again")
    # Clients that wrongly watched would do so within a few signs of life.
    time.sleep(1.0)
    assert calls["GET servers"] == calls["GET basilgate-overrides"] == 0, calls
    assert context.store.waiting["servers"] == 1, context.store.waiting
    assert calls["GET config"] <= 1 + MAX_PRIMARY_WATCHES_PER_S, calls


@behave.when("the source is killed")
def kill_relay_source(context):
    """Kill the first host."""
    context.hosts[0].process.kill()
    context.hosts[0].process.wait()


@behave.when("the source is frozen")
def freeze_relay_source(context):
    """Stop the first host, whose connections stay open."""
    context.hosts[0].process.send_signal(signal.SIGSTOP)


@behave.when("the store answers 503 from now on")
def break_store(context):
    """Refuse all calls."""
    context.store.faults.status = 503


@behave.when("a fourth host starts")
def start_fourth(context):
    """Start another host."""
    context.hosts.append(Process(context, HOSTS[3]))


@behave.then("the fourth host is ready")
def check_fourth(context):
    """Check readiness and what is in force."""
    eventually(lambda: context.hosts[3].status() == 200, "the host is ready")
    assert context.hosts[3].version() == 5


@behave.when("the second host gets SIGTERM")
def terminate(context):
    """Send SIGTERM."""
    context.hosts[1].process.send_signal(signal.SIGTERM)


@behave.then("it is not ready at once")
def check_not_ready(context):
    """Check readiness while the process still runs."""
    eventually(lambda: context.hosts[1].status() == 503, "readiness is withdrawn")


@behave.then("it forwards packets for a while")
def check_forwards(context):
    """Send an opening packet to the stopping host and look for its decision."""
    host = context.hosts[1]
    opening = bytes.fromhex("112233440000000000000000400000000000000030397f000001")
    opening += socket.inet_aton(SERVICE_IP) + (443).to_bytes(2, "big")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(opening, (host.ip, host.port + 1))
    eventually(lambda: "event=flow_placed" in host.log(), "the packet was forwarded")


@behave.then("it exits with 0")
def check_exit(context):
    """Check the exit status and the last line."""
    assert context.hosts[1].process.wait(LIMIT_S) == 0
    assert "event=stopped" in context.hosts[1].log()


@behave.when("the second host's settings become unreadable and it gets SIGHUP")
def spoil_settings(context):
    """Write a bad settings file and ask for a reload."""
    context.hosts[1].path.write_text("node = 5")
    context.hosts[1].process.send_signal(signal.SIGHUP)


@behave.then("it logs {event}")
def check_log(context, event):
    """Check for a log line."""
    eventually(lambda: f"event={event} " in context.hosts[1].log(), event)


@behave.then("it is still ready")
def check_still_ready(context):
    """Check readiness."""
    assert context.hosts[1].status() == 200


@behave.given("a settings file {fault}")
def make_bad_settings(context, fault):
    """Write a settings file with a fault."""
    context.address, context.peer_port = ("127.0.0.1", 9), free_port()
    text = settings_text(context, HOSTS[0])
    replacements = {
        "without node": ("node =", "other ="),
        "with a number as zone": ('zone = "d1"', "zone = 1"),
        "with a wrong address": (f'ready = "{HOSTS[0]}', 'ready = "10.1.0'),
        "with falling ports": ("internal-ports = [", "internal-ports = [65535,1] # "),
        "that is no TOML": ("ip =", "ip = ="),
    }
    old, new = replacements[fault]
    assert old in text
    context.settings_text = text.replace(old, new)
    if fault == "with a wrong address":
        port = context.peer_port + 2
        context.settings_text = context.settings_text.replace(f"0:{port}", "0:1")


@behave.when("a host starts with it")
def start_badly(context):
    """Run the program to its end."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.toml"
        path.write_text(context.settings_text)
        context.ended = subprocess.run(
            [sys.executable, "-m", "basilgate.forwarder"],
            env={**os.environ, forwarder.SETTINGS_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )


@behave.then("it exits with 2 and one line with {text}")
def check_bad_exit(context, text):
    """Check status and message."""
    assert context.ended.returncode == 2, context.ended
    lines = context.ended.stderr.splitlines()
    assert len(lines) == 1 and text in lines[0], lines


@behave.then("the second host's metrics contain {name}")
def check_metrics(context, name):
    """Fetch the metrics."""
    host = context.hosts[1]
    status, body = host.get(forwarder.METRICS_PORT, forwarder.METRICS_PATH)
    assert status == 200 and f"\n{name} 5\n" in body, body


@behave.fixture
def relay_source(context):
    """Let the host in this process relay_to."""
    host = context.host
    address = ("127.0.0.1", free_port())
    context.relay_source = relayserver.RelayServer(
        host.cache, lambda: True, host.log, host.counts
    )
    listener = tcplistener.Listener(
        address, "relay", context.relay_source.serve, host.log
    )
    threading.Thread(target=listener.run, daemon=True).start()
    context.relay_source_address = address
    yield


def follow_source(context, digests):
    """Return a connection that has asked the source."""
    if "relay_source" not in context:
        behave.use_fixture(relay_source, context)
    opened = socket.create_connection(context.relay_source_address, timeout=LIMIT_S)
    relaymessages.send_message(opened, relaymessages.Subscription("h9", digests))
    return opened


def receive_frames(opened, count):
    """Return frames, and the bytes that they took."""
    frames, size = [], 0
    for _ in range(count):
        (length,) = relaymessages.LENGTH_PREFIX.unpack(
            relaymessages.receive_exactly(opened, relaymessages.LENGTH_PREFIX.size)
        )
        body = relaymessages.receive_exactly(opened, length)
        frames.append(relaymessages.FRAME_DECODER.decode(zlib.decompress(body)))
        size += length
    return frames, size


@behave.when("a host with the same documents follows it")
def follow_source_same(context):
    """Follow with equal digests."""
    cache = context.host.cache
    opened = follow_source(context, {kind: cache.digest(kind) for kind in cache.kinds})
    context.frames, _ = receive_frames(opened, 2)
    opened.close()


@behave.then("it gets signs of life and no documents")
def check_beats(context):
    """Check the frames."""
    assert [frame.kind for frame in context.frames] == ["", ""], context.frames
    assert all(frame.reads for frame in context.frames)


@behave.when("a host without documents follows it")
def follow_source_all(context):
    """Follow with no digests."""
    opened = follow_source(context, {})
    context.frames, context.size = receive_frames(opened, 2)
    opened.close()


@behave.then("it gets all documents in fewer bytes than they have")
def check_all(context):
    """Check the frames and their size."""
    by_kind = {frame.kind: frame for frame in context.frames}
    assert len(by_kind["servers"].documents) == 7
    assert all(frame.complete for frame in context.frames)
    contents = [d[2] for frame in context.frames for d in frame.documents]
    assert context.size < sum(map(len, contents))


def encodings(context):
    """Return the number of changes that the source has encoded."""
    return context.host.counts.total("relay_encodings_total")


@behave.when("{count:d} hosts without documents follow it")
def follow_many(context, count):
    """Follow with several clients, once the first listing is confirmed."""
    cache, era = context.host.cache, context.store.era
    eventually(
        lambda: all(cache.position(kind).era == era for kind in cache.kinds),
        "all kinds are known from the present era",
    )
    context.encoded_before = encodings(context)
    context.clients = [follow_source(context, {}) for _ in range(count)]


@behave.then("all of them get the documents, and each kind was encoded once")
def check_many(context):
    """Check the first messages of each client."""
    for opened in context.clients:
        frames, _ = receive_frames(opened, 3)
        kinds = {frame.kind: len(frame.documents) for frame in frames}
        assert kinds == {"config": 1, "servers": 7, "basilgate-overrides": 0}, kinds
    assert encodings(context) == context.encoded_before + 3, encodings(context)


@behave.then("all of them get it, and it was encoded once")
def check_many_change(context):
    """Check the message with the change, among signs of life."""
    for opened in context.clients:
        frame = None
        while frame is None or not frame.kind:
            (frame,), _ = receive_frames(opened, 1)
        assert frame.kind == "config" and len(frame.documents) == 1
        opened.close()
    assert encodings(context) == context.encoded_before + 4, encodings(context)


@behave.when("a client sends {what}")
def send_damaged(context, what):
    """Send something that is no message."""
    follow_source(context, {}).close()
    bomb = zlib.compress(bytes(relaymessages.MAX_MESSAGE_BYTES + 1))
    sent = {
        "random bytes": relaymessages.LENGTH_PREFIX.pack(16) + bytes(range(16)),
        "a length of 4 GB": b"\xff\xff\xff\xff",
        "an inflated message": relaymessages.LENGTH_PREFIX.pack(len(bomb)) + bomb,
    }[what]
    with socket.create_connection(
        context.relay_source_address, timeout=LIMIT_S
    ) as opened:
        opened.sendall(sent)
        try:
            context.rest = opened.recv(1)
        except ConnectionResetError:
            context.rest = b""


@behave.then("the source closes that connection and serves another client")
def check_relay_source(context):
    """Check that the source goes on."""
    assert context.rest == b""
    follow_source_all(context)
    assert context.frames[0].documents


@behave.fixture
def taken_port(context):
    """Listen on the metrics port of the first host."""
    with socket.create_server((HOSTS[0], forwarder.METRICS_PORT)):
        yield


@behave.given("something else listens on the first host's metrics port")
def take_port(context):
    """Take the port."""
    behave.use_fixture(taken_port, context)


@behave.then("the first host logs {event}")
def check_first_log(context, event):
    """Check for a log line of the first host."""
    assert f"event={event} " in context.hosts[0].log()


@behave.when("the second host's settings change without a signal")
def change_settings(context):
    """Write other seeds into the settings file."""
    path = context.hosts[1].path
    path.write_text(path.read_text().replace(f'"{HOSTS[2]}:1"', f'"{HOSTS[3]}:1"'))


@behave.when("the second host is suspended for {seconds:g} s while {what}")
def suspend(context, seconds, what):
    """Stop a process and let it go on."""
    assert what == "configuration 9 is written"
    process = context.hosts[1].process
    process.send_signal(signal.SIGSTOP)
    context.store.put("config", "main", configuration(9))
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)


@behave.then("the second host notes the pause, and configuration 9 is in force on it")
def check_after_pause(context):
    """Check the log and the metrics of the host."""
    host = context.hosts[1]
    eventually(lambda: "event=pause_detected" in host.log(), "pause_detected")
    eventually(lambda: "version=9" in host.log(), "configuration 9")


@behave.when("the first host gets SIGTERM")
def terminate_source(context):
    """Send SIGTERM to the source once the others follow it."""
    connected = f"event=relay_connected host=host-{{}} relay_source={HOSTS[0]}"
    for host in context.hosts[1:]:
        eventually(
            lambda host=host: connected.format(host.ip) in host.log(), "relay_connected"
        )
    context.hosts[0].process.send_signal(signal.SIGTERM)


@behave.then("the other hosts have left it before it closes their connections")
def check_left(context):
    """Check why the connections to the source ended."""
    assert context.hosts[0].process.wait(LIMIT_S) == 0
    for host in context.hosts[1:]:
        lost = [
            line
            for line in host.log().splitlines()
            if "event=relay_lost" in line and f"relay_source={HOSTS[0]} " in line
        ]
        assert lost and all("reason=other_source" in line for line in lost), lost


@behave.then("configuration 9 reaches them")
def check_reaches(context):
    """Write a configuration and wait for it on the other hosts."""
    context.store.put("config", "main", configuration(9))
    eventually(lambda: all(h.version() == 9 for h in context.hosts[1:]), "version 9")


@behave.given("configuration 9 comes and an override pulls the first target")
def withdraw(context):
    """Change what operators write."""
    context.store.put("config", "main", configuration(9))
    pulled = {"kind": "pull", "service": "desk", "target": "i-00000001"}
    context.store.put("basilgate-overrides", "i-00000001", pulled)


@behave.given("the store answers no watches")
def refuse_watches(context):
    """Refuse watches only."""
    context.store.faults.refused = "watch="


@behave.given("the store refuses to list overrides")
def refuse_overrides(context):
    """Refuse one kind only."""
    context.store.faults.refused = "basilgate-overrides"


@behave.when("the store lists overrides again")
def accept_overrides(context):
    """Refuse nothing any more."""
    context.store.faults.refused = ""


@behave.then("configuration 9 and the override are in force as soon as it is ready")
def check_withdrawn(context):
    """Check what the host does in the first moment in which it is ready."""
    view = context.first_ready
    assert view["version"] == 9, view
    assert view["candidates"] == ["i-00000002"], view


@behave.when("a host follows the store for {seconds:g} s")
def follow_for(context, seconds):
    """Follow the store without waiting for readiness."""
    behave.use_fixture(quiet_log, context)
    context.host = Host(context.address, context.null)
    eventually(lambda: context.host.view.targets_listed, "the targets are listed")
    time.sleep(seconds)


@behave.then("it has the targets and the configuration and is not ready")
def check_not_ready_yet(context):
    """Check what it knows."""
    view = context.host.view
    assert view.targets_listed and view.configuration is not None and not view.ready


@behave.then("the host becomes ready")
def check_ready(context):
    """Wait for readiness."""
    eventually(lambda: context.host.view.ready, "the host is ready")
