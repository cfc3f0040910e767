"""Steps for a store that returns from a copy of its data."""

import json
import signal
import threading
import time
import types
import zlib

import behave
import fleet_commands_steps
from fleet_feed_steps import TOO_DEEP, configuration, entry, eventually, quiet_log

from basilgate import (
    counters,
    documentcache,
    eventlog,
    fleetmodel,
    forwarder,
    outcomes,
)
from basilgate.relay import relayclient, relaymessages, relayserver
from platformedge import documents, store

FIRST = "i-00000001"
JOINED = "i-000000bb"
OVERRIDES = documents.OVERRIDES_KIND


def listed_again(host, era):
    """Return whether a host has all kinds from an era of the store."""
    return all(cached.position.era == era for cached in host.cache.kinds.values())


@behave.given("a copy of the store")
def copy_store(context):
    """Keep the store as it is now."""
    context.copy = context.store.copy()


@behave.when("configurations {first:d} and {second:d} are in force there")
def bring_into_force(context, first, second):
    """Write configurations, and wait until the host has each."""
    view = context.host.view
    for version in (first, second):
        context.store.put("config", "main", configuration(version))
        eventually(
            lambda version=version: view.configuration.version == version,
            f"configuration {version}",
        )


@behave.when("the store returns from the copy")
def restore(context):
    """Lose what was written since the copy."""
    context.store.restore(context.copy)


@behave.when("the store keeps waiting watches and returns from the copy")
def restore_with_watches(context):
    """Lose what was written since the copy, while the watches wait on."""
    context.store.faults.keep_watches = True
    context.store.restore(context.copy)


@behave.when("the operator writes configuration {again:d} again, and then {version:d}")
def write_again(context, again, version):
    """Write two versions, of which the second gets the last revision before."""
    with context.store.changed:
        context.store.put_quietly("config", "main", configuration(again))
        context.store.put_quietly("config", "main", configuration(version))


@behave.then("the host has listed all kinds again")
def check_listed(context):
    """Wait until all kinds are known from the store's present era."""
    eventually(
        lambda: listed_again(context.host, context.store.era), "all kinds are listed"
    )


@behave.then("a host that starts from its documents has configuration {version:d}")
def check_passed_on(context, version):
    """Check what a starting host gets."""
    with context.host.cache.changed:
        listing, complete = context.host.cache.changes_after("config", 0)
    assert complete
    (document,) = listing.documents
    assert documents.decode_configuration(document.content).version == version


def put_first(context, **changes):
    """Write an entry of the first target."""
    context.store.put("servers", FIRST, entry(1, **changes))


@behave.when("the first target {change}")
def change_first(context, change):
    """Change the first target's entry, and wait until the host has the change."""
    view = context.host.view
    if change == "lapses":
        context.store.remove("servers", FIRST)
        eventually(lambda: FIRST not in view.entries, "the entry is removed")
        return
    born = 1_700_000_009_999 if change.startswith("starts") else 1_700_000_000_000
    state = "ready" if change.startswith("reports") else "draining"
    put_first(context, state=state, born=born, seq=7)
    wanted = state == "draining"
    eventually(lambda: view.entries[FIRST].target.leaving == wanted, change)
    if change.endswith(" leaves") and not change.startswith("announces that"):
        context.store.remove("servers", FIRST)
        eventually(lambda: FIRST not in view.entries, "the entry is removed")


def admits(context, name):
    """Return whether the host gives a target new flows."""
    found = context.host.view.candidates("desk")
    return name in [entry.target.name for entry in found]


@behave.then("new flows at the first target: {admitted}")
def check_first(context, admitted):
    """Check the first target, once an entry that lapsed has closed."""
    assert admits(context, FIRST) == (admitted == "yes")


@behave.given("the first target announces that it leaves in the store")
def announce(context):
    """Write that the first target leaves."""
    context.copy = context.store.copy()
    put_first(context, state="draining", seq=7)


@behave.given(
    "the store returns from a copy without that, and the target reports again"
)
def restore_before_start(context):
    """Return, and let the target write another report."""
    context.store.restore(context.copy)
    put_first(context, state="draining", seq=8)


@behave.when("a target joins")
def join(context):
    """Add a target."""
    context.store.put("servers", JOINED, entry(8))
    if context.store.era == 1:
        entries = context.host.view.entries
        eventually(lambda: JOINED in entries, "the host knows the target")


@behave.when("the joined target reports again")
def report_again(context):
    """Add the target once more."""
    context.store.put("servers", JOINED, entry(8, seq=9))


@behave.when("{seconds:g} s have passed")
def wait(context, seconds):
    """Wait until all kinds are listed, and then for a time."""
    check_listed(context)
    time.sleep(seconds)


@behave.then("new flows at the joined target: {admitted}")
def check_joined(context, admitted):
    """Check the target that the copy lacks."""
    check_listed(context)
    assert admits(context, JOINED) == (admitted == "yes")


@behave.when("the store's answers state the era {era}")
def state_era(context, era):
    """Let answers state another era, and end the watches."""
    context.store.faults.era = "" if era == "none" else era
    for connection in context.host.connections:
        connection.abort()


@behave.when("configuration {version:d} is written by the operator")
def write(context, version):
    """Write a configuration."""
    context.store.put("config", "main", configuration(version))


@behave.then("configuration {version:d} is not taken from them")
def check_not_taken(context, version):
    """Check that calls are made, and their answers are not used."""
    calls = sum(context.store.calls.values())
    eventually(lambda: sum(context.store.calls.values()) > calls + 3, "calls that fail")
    assert context.host.view.configuration.version != version
    assert context.host.cache.era == 1


@behave.when("the store's answers state their era again")
def state_own_era(context):
    """Let answers state the store's era."""
    context.store.faults.era = None


def content_of(kind, state):
    """Return content, and whether it was removed, for a state in words."""
    removed = state.startswith("removed")
    if kind == "config":
        spec = configuration(int(state.split()[1]))
    elif kind == "servers":
        number = int(state.split()[1].strip(",")) if "report" in state else 6
        readiness = "draining" if "draining" in state else "ready"
        spec = entry(1, seq=number, state=readiness)
    else:
        created = float(state.split()[-1])
        spec = {"kind": "pull", "service": "desk", "target": FIRST}
        spec["created_at_s"] = created
    content = TOO_DEEP.content if state == "unreadable" else json.dumps(spec).encode()
    return content, removed


def cache_with(kind, document):
    """Return a cache that has one document."""
    cache = documentcache.DocumentCache({kind: lambda *_: None}, threading.Lock())
    live = document if not document.removed else as_live(document)
    cache.update(kind, store.Listing([live], live.position, []), True)
    if document.removed:
        cache.update(kind, store.Listing([document], document.position, []), False)
    return cache


def as_live(document):
    """Return a removed document as it was a revision earlier."""
    position = document.position._replace(revision=document.position.revision - 1)
    return documents.StoredDocument(document.name, position, document.content)


@behave.given("a document of kind {kind} from before the return: {state}")
def make_before(context, kind, state):
    """Make a document of the first era; its revision is the higher one."""
    content, removed = content_of(kind, state)
    position = fleetmodel.Position(1, 16)
    name = "main" if kind == "config" else FIRST
    context.kind = kind
    context.before = documents.StoredDocument(name, position, content, removed)


@behave.given("the one that the copy has: {state}")
def make_copy(context, state):
    """Make a document of the second era."""
    content, removed = content_of(context.kind, state)
    position = fleetmodel.Position(2, 12)
    name = context.before.name
    context.after = documents.StoredDocument(name, position, content, removed)


@behave.then("both hosts keep the one from {winner}, whoever sends first")
def check_exchange(context, winner):
    """Let each side receive the other's document."""
    expected = context.before if winner == "before" else context.after
    for mine, theirs in (
        (context.before, context.after),
        (context.after, context.before),
    ):
        cache = cache_with(context.kind, mine)
        # What was known before the return also comes as a change, the copy as a whole.
        is_copy = theirs is context.after
        sent = [] if is_copy and theirs.removed else [theirs]
        listing = store.Listing(sent, theirs.position, [])
        cache.update(context.kind, listing, is_copy)
        kept = cache.kinds[context.kind].documents[mine.name]
        assert kept.removed == expected.removed
        assert kept.removed or kept.content == expected.content
        assert kept.position.era == 2 or context.kind == "config", kept.position
        assert cache.position(context.kind) == context.after.position


@behave.when("all three hosts have configuration 7")
def bring_all(context):
    """Write configurations and wait for all hosts."""
    for version in (6, 7):
        context.store.put("config", "main", configuration(version))
        eventually(
            lambda version=version: all(h.version() == version for h in context.hosts),
            f"configuration {version} on all hosts",
        )


@behave.when("the store {trouble} for the first host and returns from the copy")
def restore_for_others(context, trouble):
    """Let the first host's connections hear nothing of the return."""
    if trouble == "falls silent":
        context.relay_source_faults.silent = True
    else:
        context.store.faults.keep_watches = True
    context.store.restore(context.copy)


@behave.then("the first host's documents are from after the return")
def check_first_host(context):
    """Check the metrics of the first host."""
    first = context.hosts[0]

    def knows_era():
        _, page = first.get(forwarder.METRICS_PORT, forwarder.METRICS_PATH)
        return f"\nbasilgate_store_era {context.store.era}\n" in page

    eventually(knows_era, "the first host knows the new era")


def stored_override(context):
    """Return the store's record of the first target's override, empty without one."""
    held = context.store.kinds[OVERRIDES].get(FIRST)
    return held["spec"] if held is not None else {}


def last_override_event(host):
    """Return the latest event of a host about the first target's override."""
    events = [
        line.split("event=")[1].split()[0]
        for line in host.log().splitlines()
        if f"override={FIRST}" in line and "event=override_" in line
    ]
    return next((e for e in reversed(events) if e != "override_restored"), "")


def wait_for_all(context, event):
    """Wait until an event is the last one on all hosts."""
    eventually(
        lambda: all(last_override_event(host) == event for host in context.hosts),
        f"{event} on all hosts",
    )


@behave.when("a copy of the store is made")
def copy_now(context):
    """Keep the store as it is now."""
    copy_store(context)


@behave.when("all hosts have the override")
def wait_in_force(context):
    """Wait until the override is in force on all hosts."""
    wait_for_all(context, "override_in_force")


@behave.when("all hosts have given it up")
@behave.then("all hosts have given it up")
def wait_removed(context):
    """Wait until the override is in force on no host."""
    wait_for_all(context, "override_removed")


@behave.then("the store holds the override of i-00000001 by Ana again")
def check_written_again(context):
    """Wait for the write of a host."""
    eventually(
        lambda: stored_override(context).get("operator") == "Ana", "the override"
    )
    assert stored_override(context).get("released_at_s") is None


@behave.then("no host has given it up")
def check_kept(context):
    """Check that the override was in force all the time."""
    for host in context.hosts:
        assert "event=override_removed" not in host.log()


@behave.then("one host alone has written it")
def check_writers(context):
    """Count the hosts that wrote, after the others could have done so too."""
    time.sleep(1.5)
    writers = [host for host in context.hosts if "override_restored" in host.log()]
    assert len(writers) == 1, [host.ip for host in writers]


@behave.then("the store knows again that the override of i-00000001 is released")
def check_released_again(context):
    """Wait for the write of a host."""
    eventually(
        lambda: stored_override(context).get("released_at_s") is not None, "the release"
    )


@behave.then("no host has put it in force again")
def check_not_in_force(context):
    """Check that each host put it in force once."""
    for host in context.hosts:
        assert host.log().count("event=override_in_force") == 1


@behave.then("fleet explain i-00000001 shows no override")
def check_explained(context):
    """Check what operators see."""
    shown = fleet_commands_steps.call(context, "explain", FIRST)
    assert "new flows: yes (ready)" in shown, shown
    shown = fleet_commands_steps.call(context, "overrides", "--output", "json")
    assert json.loads(shown)["overrides"] == [], shown


@behave.then("the operator learns which of the two is in force")
def check_either(context):
    """Check that the command told which override is in force."""
    accepted = context.exit == outcomes.Exit.OK
    assert accepted or "has the override pull by Ana" in context.output
    context.expected = "drain" if accepted else "pull"


@behave.then("all hosts have what the store holds")
def check_same(context):
    """Compare store and hosts, after hosts could have written."""
    time.sleep(2.0)
    assert stored_override(context)["kind"] == context.expected

    def in_force(host):
        lines = [
            line for line in host.log().splitlines() if "override_in_force" in line
        ]
        return f"kind={context.expected} " in lines[-1]

    eventually(lambda: all(map(in_force, context.hosts)), f"{context.expected}")


@behave.when("all hosts are suspended")
def suspend_all(context):
    """Stop all processes."""
    for host in context.hosts:
        host.process.send_signal(signal.SIGSTOP)


@behave.when("all hosts go on")
def resume_all(context):
    """Let all processes go on."""
    for host in context.hosts:
        host.process.send_signal(signal.SIGCONT)


@behave.then("the override stays released for {seconds:g} s")
def check_stays_released(context, seconds):
    """Check that no host writes the override again."""
    time.sleep(seconds)
    assert stored_override(context).get("released_at_s") is not None
    wait_removed(context)


@behave.given("a record of an override of {target} that was released 2 h ago")
def add_old_release(context, target):
    """Write a release as the command does."""
    spec = {"kind": "pull", "service": "desk", "target": target, "operator": "Ion"}
    spec |= {"expires_at_s": 0.0, "released_at_s": time.time() - 7_200}
    context.store.put(OVERRIDES, target, spec)


def caches_in_series(context):
    """Make a source and another host, with the overrides of the first era."""
    behave.use_fixture(quiet_log, context)
    log = eventlog.EventLog(context.null, "h1")
    appliers = {OVERRIDES: lambda *_: None}
    context.source = documentcache.DocumentCache(appliers, threading.Lock())
    cache = documentcache.DocumentCache(appliers, threading.Lock())
    counts = counters.Counters()
    context.server = relayserver.RelayServer(context.source, lambda: True, log, counts)
    context.client = relayclient.RelayClient(None, cache, log, counts)
    context.client.upstream = "127.0.0.9"


def override_at(era, revision):
    """Return the first target's override at a position."""
    content, _ = content_of(OVERRIDES, "set at 50")
    return documents.StoredDocument(FIRST, fleetmodel.Position(era, revision), content)


@behave.given("an override that a source kept when the store lost it")
def keep_override(context):
    """List an override, and then nothing in the next era."""
    caches_in_series(context)
    known = override_at(1, 16)
    context.source.update(OVERRIDES, store.Listing([known], known.position, []), True)
    empty = store.Listing([], fleetmodel.Position(2, 12), [])
    context.source.update(OVERRIDES, empty, True)


def pass_on(context, sent_counts):
    """Let the source send what the other host lacks."""
    ((_, message),) = context.server.messages_after(sent_counts)
    body = zlib.decompress(message[relaymessages.LENGTH_PREFIX.size :])
    context.client.apply_frame(relaymessages.FRAME_DECODER.decode(body))


@behave.when("another host takes the source's documents")
def take_documents(context):
    """Pass on all documents."""
    context.sent_counts = {}
    pass_on(context, context.sent_counts)


@behave.then("it knows that the store lost the override")
def check_known_lost(context):
    """Check the other host's cache."""
    cached = context.client.cache.kinds[OVERRIDES]
    assert cached.unstored == {FIRST: None}, cached.unstored
    assert not cached.documents[FIRST].removed


@behave.when("the override is in the store again, and the source passes that on")
def store_again(context):
    """Let the source receive the change of the store."""
    written = override_at(2, 13)
    listing = store.Listing([written], written.position, [])
    context.source.update(OVERRIDES, listing, False)
    pass_on(context, context.sent_counts)


@behave.then("it knows of no lost override")
def check_none_lost(context):
    """Check both caches."""
    for cache in (context.source, context.client.cache):
        assert cache.kinds[OVERRIDES].unstored == {}
        assert not cache.kinds[OVERRIDES].documents[FIRST].removed


@behave.then("configuration {version:d} is in force on the fourth host as well")
def check_fourth(context, version):
    """Wait for the configuration that the store no longer has."""
    fourth = context.hosts[3]
    eventually(lambda: fourth.version() == version, f"configuration {version}")


@behave.then("the second host tells in its log when it learned of the return")
def check_told(context):
    """Check the events of a host that another one relays documents to."""
    host = context.hosts[1]
    eventually(
        lambda: "event=store_era_changed" in host.log() and "era=2 " in host.log(),
        "store_era_changed",
    )
    lines = [line for line in host.log().splitlines() if "event=kind_listed" in line]
    assert any("revision=2." in line and "kept=" in line for line in lines), lines


@behave.when("another host that knows the override asks the source")
def ask_with_same_documents(context):
    """Take the source's confirmation of the same documents."""
    cache = context.client.cache
    known = override_at(1, 16)
    cache.update(OVERRIDES, store.Listing([known], known.position, []), True)
    digests = {OVERRIDES: cache.digest(OVERRIDES)}
    subscription = relaymessages.Subscription("h2", digests)
    _, confirmation = context.server.changes_known_to(subscription)
    context.events = []
    context.client.receiver.log = types.SimpleNamespace(
        write=lambda event, **fields: context.events.append((event, fields))
    )
    context.client.apply_frame(confirmation)


@behave.then("it tells in its log that the overrides are of the next era")
def check_confirmed_era(context):
    """Check the event of the kind."""
    listed = [fields for event, fields in context.events if event == "kind_listed"]
    assert [(f["kind"], f["revision"].era) for f in listed] == [(OVERRIDES, 2)], (
        context.events
    )
