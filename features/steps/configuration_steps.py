"""Steps for the replica and for hosts that follow the platform."""

import contextlib
import datetime
import itertools
import logging
import time

import behave

from basilgate import commands, configsync, metrics, platformapi, replica, storedobjects
from basilgate import sheet as sheets
from lab import configbench, confighosts, configrig
from standins import platform as platform_standin

logging.getLogger("httpx").setLevel(logging.WARNING)

NAME = "override/o.1"
CREATED_AT = datetime.datetime(2026, 12, 4, 6, 0, tzinfo=datetime.UTC)


def override(reason="", **changes):
    """Return an override of one target."""
    values = {
        "id": "o.1",
        "kind": "pull",
        "service": "desk-1",
        "target": "t1",
        "operator": "ana",
        "reason": reason,
        "created_at": CREATED_AT,
    }
    return storedobjects.Override(**(values | changes))


def value_of(model):
    """Return an object's value as the platform holds it."""
    return model.model_dump(mode="json")


def stored(version, revision, name=NAME, value=None):
    """Return a stored override, or a tombstone if `value` is None."""
    return storedobjects.StoredObject(name, version, revision, value)


def content(services=1, targets=2, weight=100):
    """Return a sheet of `services` services with `targets` targets each."""
    listed = [
        storedobjects.SheetTarget(
            name=f"t{t}",
            id=s * targets + t + 1,
            service=f"desk-{s}",
            failure_domain="suceava",
            address="127.0.0.1:8000",
            admin="127.0.0.1:8001",
            weight=weight if (s, t) == (0, 0) else 100,
        )
        for s in range(services)
        for t in range(targets)
    ]
    return sheets.Content(
        (storedobjects.SheetDomain(name="suceava", number=1),),
        tuple(
            storedobjects.SheetService(name=f"desk-{s}", id=s + 1)
            for s in range(services)
        ),
        tuple(listed),
        datetime.date(2026, 12, 4),
    )


def sheet_objects(sheet, version, revision):
    """Return the manifest and the parts of a sheet as stored objects."""
    parts = sheets.divide(sheet)
    manifest = storedobjects.Sheet(
        date=sheet.date, applied_at=CREATED_AT, parts=tuple(parts)
    )
    held = storedobjects.StoredObject(
        storedobjects.SHEET, version, revision, value_of(manifest)
    )
    return held, [
        storedobjects.StoredObject(
            storedobjects.SHEET_PART_PREFIX + name, 1, revision - 1, part
        )
        for name, part in parts.items()
    ]


def counted(counter):
    """Return a counter's value, 0 before its first increment."""
    with contextlib.suppress(KeyError):
        return counter.get({})
    return 0


# Replicas.


@behave.given("a configuration replica that holds version 3 of an override")
def hold_version(context):
    """Hold version 3, written at revision 30."""
    context.replica = replica.Replica()
    assert context.replica.apply(stored(3, 30, value=value_of(override())))
    context.reverts = counted(metrics.REVERTS_REFUSED)
    context.refused = counted(metrics.OBJECTS_REFUSED)


@behave.when("a peer offers version 2 of it")
def offer_older(context):
    """Offer an older version."""
    assert not context.replica.apply(stored(2, 20, value=value_of(override())))


@behave.then("the configuration replica still holds version 3 and has {what}")
def check_held(context, what):
    """Check the version and the counter."""
    assert context.replica.live_versions() == {NAME: 3}
    if what == "counted a revert":
        assert counted(metrics.REVERTS_REFUSED) == context.reverts + 1
    else:
        assert counted(metrics.OBJECTS_REFUSED) == context.refused + 1


@behave.when("version 4 of it is {fault} and arrives 3 times")
def offer_malformed(context, fault):
    """Offer a malformed version several times."""
    value = value_of(override("x" * storedobjects.MAX_OTHER_BYTES))
    if fault == "corrupt":
        value = {"id": "o.1", "kind": "nonsense"}
    for _ in range(3):
        assert not context.replica.apply(stored(4, 40, value=value))


@behave.then("version 5 of the configuration object is taken over")
def take_next(context):
    """Check that a valid version still gets in."""
    assert context.replica.apply(stored(5, 50, value=value_of(override())))


@behave.given("a configuration replica that missed removal, creation, and removal")
def miss_history(context):
    """Hold version 1 of an object that is at version 4 on the platform."""
    context.replica = replica.Replica()
    context.replica.apply(stored(1, 10, value=value_of(override())))
    # The peer saw the second creation but not the removal after it.
    context.later = stored(3, 30, value=value_of(override()))


def list_nothing(context):
    """Apply a listing at revision 40 that does not hold the object."""
    context.replica.apply_listing(storedobjects.OVERRIDE_PREFIX, 40, [])
    context.replica.mark_complete(40)
    assert context.replica.live_versions() == {}


@behave.when("it lists the platform and a peer offers the second creation")
def list_and_offer(context):
    """List, and offer the older object."""
    list_nothing(context)
    context.replica.apply(context.later)


@behave.then("the configuration object stays removed")
def check_removed(context):
    """Check that nothing is in force."""
    assert context.replica.live_versions() == {}


@behave.then("creating the configuration object again brings it into force")
def create_again(context):
    """Create the object after the removal."""
    assert context.replica.apply(stored(5, 50, value=value_of(override())))
    assert context.replica.live_versions() == {NAME: 5}


@behave.when("it lists the platform and a peer with the second creation syncs from it")
def list_and_sync(context):
    """List, and let the older peer sync."""
    list_nothing(context)
    context.peer = replica.Replica()
    context.peer.apply(context.later)
    context.peer.apply_all(context.replica.newer_than(context.peer.revisions()))


@behave.then("the configuration object is removed at the peer")
def check_removed_at_peer(context):
    """Check the peer and the digests."""
    assert context.peer.live_versions() == {}
    assert context.peer.digest == context.replica.digest


@behave.given("a configuration replica with a sheet of several parts")
def hold_sheet(context):
    """Bring a sheet into force."""
    context.replica = replica.Replica()
    manifest, parts = sheet_objects(content(150, 3), 1, 100)
    assert len(parts) > 2
    context.replica.apply_all([manifest, *parts])
    assert context.replica.sheet_version == 1


@behave.when("the next manifest arrives before its parts")
def deliver_manifest(context):
    """Deliver the manifest of a sheet that differs in all parts."""
    manifest, context.parts = sheet_objects(content(150, 2), 2, 200)
    context.digest = context.replica.digest
    context.replica.apply(manifest)


@behave.then("the first configuration sheet stays in force until the last part is here")
def check_flip(context):
    """Deliver the parts one by one."""
    for number, part in enumerate(context.parts):
        assert context.replica.sheet_version == 1, number
        assert context.replica.digest == context.digest
        targets = [t for p in context.replica.sheet_parts() for t in p.targets]
        assert len(targets) == 450
        context.replica.apply(part)
    assert context.replica.sheet_version == 2
    assert len(context.replica.stored) == 1 + len(context.parts)


@behave.given("a random history of configuration objects")
def make_history(context):
    """Create, change, and remove objects at random."""
    context.platform = platform_standin.Platform()
    store = context.platform.store
    for step in range(300):
        number = context.rng.randrange(12)
        name = f"override/o.{number}"
        if store.version(name) and context.rng.random() < 0.4:
            store.write(name, None)
        else:
            store.write(name, value_of(override(f"step {step}", id=f"o.{number}")))


@behave.when(
    "it reaches configuration replicas in parts, out of order, and through peers"
)
def deliver_history(context):
    """Deliver random pieces, listings of any age, and syncs between replicas."""
    rng, store = context.rng, context.platform.store
    hosts = [confighosts.ConfigHost(f"h{n}", "a", None) for n in range(4)]
    context.hosts = hosts
    for _ in range(600):
        host, other = rng.sample(hosts, 2)
        action = rng.random()
        if action < 0.6:
            host.store.apply(rng.choice(store.history))
        elif action < 0.7:
            take_listing(host.store, store, rng.randint(1, store.revision))
        else:
            sync(host.store, other.store)
        check_complete(host.store, store)
    for _ in range(2):
        for host, other in itertools.permutations(hosts, 2):
            sync(host.store, other.store)
            check_complete(host.store, store)
    # Peers alone bring all replicas to the same configuration.
    assert len({host.store.digest for host in hosts}) == 1
    for host in hosts:
        take_listing(host.store, store, store.revision)


def take_listing(held, store, revision):
    """List the store as it was at a revision, as a host does."""
    earlier = store.as_of(revision)
    if earlier.revision < held.complete_revision:
        return
    live = [found for found in earlier.objects.values() if found.value is not None]
    held.apply_listing(storedobjects.OVERRIDE_PREFIX, earlier.revision, live)
    held.mark_complete(earlier.revision)


def check_complete(held, store):
    """Check that a replica has nothing that it has to know as replaced."""
    earlier = store.as_of(held.complete_revision)
    for name, version in held.live_versions().items():
        if held.stored[name].revision <= held.complete_revision:
            newest = earlier.objects[name]
            assert (newest.version, newest.value is None) == (version, False), name


def sync(held, other):
    """Take what a peer offers, as a host does."""
    request = type("Request", (), {})()
    request.versions = [
        configsync.ttypes.ObjectVersion(*pair) for pair in held.revisions().items()
    ]
    reply = configsync.sync_reply(other, request)
    held.apply_all(
        configsync.controlmessages.from_thrift(part) for part in reply.objects
    )
    held.mark_complete(reply.revision)


@behave.then("no configuration replica steps back and all agree with the platform")
def check_agreement(context):
    """Compare with the platform's newest state."""
    newest = {
        name: found.version
        for name, found in context.platform.store.objects.items()
        if found.value is not None
    }
    for host in context.hosts:
        assert host.reverts == [], host.reverts
        assert host.store.live_versions() == newest
    assert len({host.store.digest for host in context.hosts}) == 1


# Hosts.


@behave.fixture
def config_rig(context):
    """Run the stand-in platform; steps start hosts."""
    with configrig.running() as context.rig:
        context.platform = context.rig.platform
        yield


@behave.given("a configuration platform and {count:d} hosts")
def run_hosts(context, count):
    """Start the stand-in and hosts."""
    behave.use_fixture(config_rig, context)
    context.rig.start_gossip()
    for number in range(count):
        context.rig.start_host(f"h{number}")
    context.rig.write("key/1", {"id": 1, "secret": "17" * 32})
    context.rig.settle()


@behave.given("an accepted configuration override")
def accept_override(context):
    """Accept an override and let it reach all hosts."""
    context.before = context.platform.store.revision
    context.rig.write(NAME, value_of(override()))
    context.rig.settle()


@behave.when("the platform answers from before the override and its watches end")
def answer_stale(context):
    """Fail over to a store that lags behind, for several reads."""
    context.platform.faults.stale_revision = context.before
    calls = dict(context.platform.calls)
    context.rig.wait_until(
        lambda: (
            context.platform.calls.get("GET /objects", 0)
            >= calls.get("GET /objects", 0) + 2 * len(context.rig.hosts)
        ),
    )


@behave.when(
    "the platform returns from a copy that lacks later changes of the override"
)
def return_from_copy(context):
    """Change the override five times, and return from before these changes."""
    copy_revision = context.platform.store.revision
    for number in range(5):
        context.rig.write(NAME, value_of(override(f"lost {number}")))
    context.rig.settle()

    async def restore():
        context.platform.store.restore(copy_revision)

    context.rig.portal.call(restore)


@behave.when("another configuration override is accepted after the return")
def accept_after_return(context):
    """Write an override that gets a revision which was given out before."""
    context.rig.write("override/o.2", value_of(override("after", id="o.2")))


@behave.then("the other configuration override is in force on all hosts")
def check_after_return(context):
    """Wait for the override for several times the bound of a change."""
    ends_at = time.monotonic() + 10.0

    def in_force():
        return all(
            "override/o.2" in host.store.live_versions()
            for host in context.rig.hosts.values()
        )

    while not in_force():
        assert time.monotonic() < ends_at, "not in 10 s"
        time.sleep(0.05)


@behave.then("the configuration override stays in force on all hosts")
def check_in_force(context):
    """Check that no host stepped back."""
    assert context.rig.agrees()
    context.rig.settle()


@behave.then("later changes of the configuration arrive after the platform caught up")
def catch_up(context):
    """End the fault and change the override."""
    context.platform.faults.stale_revision = 0
    context.rig.write(NAME, value_of(override("changed")))
    context.rig.settle()


@behave.when("watches stall and a configuration override is accepted")
def stall(context):
    """Let no watch end any more."""
    context.platform.faults.stall_watches = True
    context.rig.write(NAME, value_of(override()))


@behave.then("the configuration override comes into force on all hosts")
def check_arrives(context):
    """Wait for the override."""
    context.rig.settle()


@behave.when(
    "the platform refuses 3 of each 6 calls and 10 configuration overrides change"
)
def flap(context):
    """Change objects while calls are refused in groups."""
    context.platform.faults.flap_calls = 3
    for step in range(10):
        name = f"override/o.{step % 4}"
        value = None if step in (5, 9) else value_of(override(id=f"o.{step % 4}"))
        context.rig.write(name, value)


@behave.then("all configuration hosts have what the platform holds")
def check_all(context):
    """Wait until all hosts agree with the platform."""
    context.rig.settle()


@behave.when("each answer takes longer than the time limit of configuration writes")
def answer_slowly(context):
    """Delay answers, and accept an override."""
    platformapi.SLOW_ANSWER_S = 5.0
    context.platform.faults.answer_delay_s = 0.5
    context.rig.write(NAME, value_of(override()))


@behave.then(
    "a configuration write is accepted once although its answer comes too late"
)
def write_slowly(context):
    """Write with a time limit that is shorter than the delay."""

    async def put():
        client = confighosts.connect(context.platform)
        client.timeout_s = 0.2
        return await client.put(NAME, value_of(override("second")), 1)

    assert context.rig.portal.call(put).unwrap().version == 2
    assert context.platform.store.objects[NAME].version == 2


@behave.when(
    "the platform is down and a configuration host restarts beside an older peer"
)
def restart_in_outage(context):
    """Restart h0 while h1 still has the state before the override."""
    context.platform.faults.down = True
    older = context.rig.hosts["h1"]
    earlier = context.platform.store.as_of(context.before)

    async def step_back():
        older.store.stored.clear()
        older.store.parsed.clear()
        older.store.digest = older.store.revision = 0
        older.store.complete_revision = 0
        older.seen.clear()
        older.store.apply_all(earlier.objects.values())
        older.store.mark_complete(context.before)

    context.rig.portal.call(step_back)
    context.rig.start_host("h0")


@behave.then("the restarted configuration host has the override in force")
def check_restarted(context):
    """Wait until h0 and the older peer have the override."""
    context.rig.settle()
    assert context.platform.faults.down


@behave.when("3 of them lose the platform and a configuration override is accepted")
def lose_platform(context):
    """Cut three hosts, then accept an override."""
    for name in ("h1", "h2", "h3"):
        context.rig.cut(name)
    context.rig.write(NAME, value_of(override()))


@behave.given("a configuration sheet of many parts in force")
def force_sheet(context):
    """Apply a sheet by the command."""
    apply_content(context, content(150, 3), 0)
    context.rig.settle()


def apply_content(context, sheet, version):
    """Apply a sheet's content by the command."""

    async def apply():
        session = confighosts.session(confighosts.connect(context.platform))
        return await commands.apply_sheet(
            session, configbench.ini(sheet), version, "ana", 0.0
        )

    outcome = context.rig.portal.call(apply)
    assert outcome.exit == 0, outcome.lines
    return outcome


@behave.when("one line changes and the configuration sheet is applied again")
def change_line(context):
    """Change the weight of one target, with the host reading by listing only."""
    host = context.rig.hosts["h0"]
    context.taken = []
    host.store.subscribe_batches(context.taken.extend)
    apply_content(context, content(150, 3, weight=7), 1)


@behave.then("the configuration host has read one more part")
def check_parts_read(context):
    """Count the parts that were taken over."""
    context.rig.settle()
    parts = [found for found in context.taken if storedobjects.is_part(found.name)]
    assert len(parts) == 1, len(parts)
    weights = {t.weight for t in context.rig.hosts["h0"].effective().targets.values()}
    assert weights == {7, 100}
