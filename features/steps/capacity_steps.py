"""Steps for control cost; counts of messages, bytes, calls, and objects."""

import random
import unittest.mock

import anyio
import behave
from returns import result

from basilgate import (
    controlmessages,
    loadsharing,
    membership,
    platformapi,
    probing,
    rendezvous,
    replica,
    settings,
    storedobjects,
    targetowner,
)
from lab import scale, slopes
from peerproto import ttypes
from standins import virtualtime

HEADER_BYTES = 28
OTHER_DOMAINS = scale.DOMAINS - 1
# A host sends a ping and a reply to each other domain every second, and receives
# as many.
PINGS_PER_S = 4 * OTHER_DOMAINS
CODEC = controlmessages.Codec(bytes(32))


class CountedHost:
    """A member whose peers answer each heartbeat with one like it."""

    def __init__(self, members, targets):
        self.targets = targets
        self.bytes = 0
        self.loads_at = {}
        self.gaps = []
        self.store = replica.Replica()
        self.view = scale.view("domain-1", members)
        self.members = membership.Membership(
            self.view.members[0], "domain-1", self.store, None, CODEC, self.send
        )
        self.members.loads = lambda: slopes.loads(targets)

    async def send(self, datagram, address):
        """Count a datagram and let the peer answer."""
        self.bytes += len(datagram) + HEADER_BYTES
        context_bytes = controlmessages.context_of(address)
        field, message = CODEC.decode(datagram, context_bytes).unwrap()
        if field != "heartbeat":
            return
        now = anyio.current_time()
        if message.loads is not None:
            self.gaps.append(now - self.loads_at.get(address, now))
            self.loads_at[address] = now
        peer = next(p for p in self.members.peers.values() if p.address == address)
        answer = slopes.heartbeat(0)
        answer.host, answer.incarnation = peer.member.host, peer.member.incarnation
        answer.epoch, answer.echo_us = self.members.epoch, message.sent_us
        answer.sent_us = message.sent_us
        self.members.on_heartbeat(answer, address)

    async def run(self, length_s):
        """Take part in the view for some seconds of virtual time."""
        value = self.view.model_dump(mode="json")
        self.store.apply(storedobjects.StoredObject("view/domain-1", 1, 1, value))
        with anyio.move_on_after(length_s):
            await self.members.run()


@behave.given(
    "a host of a capacity-goal domain of {members:d} members with 9 targets each"
)
def make_counted_host(context, members):
    """Make the host on virtual time when it runs."""
    context.member_count = members
    context.ping_bytes = 0


@behave.given("{count:d} services of its capacity-goal domain that are full")
def make_full_services(context, count):
    """Measure a ping that asks for the loads of full services."""

    async def ping():
        loads = loadsharing.DomainLoads()
        for service in range(1, count + 1):
            loads.request_load(service)
        asked = loads.asked(range(1, scale.SERVICES + 1))
        message = ttypes.DomainPing(
            scale.member("domain-1", 12).host,
            "domain-1",
            1_780_000_000_000_000_000,
            100_000,
            1 << 62,
            True,
            [ttypes.TargetLoad(s, 0, 9, 300, 1, 999) for s in asked],
            sent_ms=1_780_000_000_000,
        )
        assert asked
        return len(CODEC.encode("domain_ping", message)) + HEADER_BYTES

    context.ping_bytes = virtualtime.run(ping)


@behave.when("its control messages are counted for {length_s:d} seconds")
def count_control_messages(context, length_s):
    """Run the host in virtual time."""

    async def run():
        host = CountedHost(context.member_count, 9)
        await host.run(length_s)
        return host

    context.host = virtualtime.run(run)
    context.length_s = length_s


@behave.then("heartbeats and pings together take at most {bound:d} bytes a second")
def check_control_bytes(context, bound):
    """Check the sum over both directions."""
    heartbeats = 2 * context.host.bytes / context.length_s
    pings = PINGS_PER_S * context.ping_bytes
    assert context.host.bytes, "no heartbeat was sent"
    assert heartbeats + pings <= bound, (heartbeats, pings)


@behave.then("each peer gets its loads at least every {bound_s:g} seconds")
def check_loads_interval(context, bound_s):
    """Check the longest gap between two reports to a peer, in virtual time."""
    assert len(context.host.loads_at) == context.member_count - 1
    assert max(context.host.gaps) <= bound_s, max(context.host.gaps)


class ConflictingPlatform:
    """Platform where another writer is always faster."""

    def __init__(self, stored):
        self.stored = stored
        self.calls = []

    async def get(self, _):
        """Return the view without the joiner."""
        self.calls.append("get")
        return result.Success(self.stored)

    async def put(self, name, *_):
        """Refuse the write."""
        self.calls.append("put")
        problem = platformapi.Problem(platformapi.ProblemKind.CONFLICT, name, 1)
        return result.Failure(problem)


@behave.given("a host outside a capacity-goal view whose writes always conflict")
def make_losing_joiner(context):
    """Prepare the view that the host wants to join."""
    value = scale.view("domain-1", 3).model_dump(mode="json")
    stored = storedobjects.StoredObject("view/domain-1", 1, 1, value)
    context.platform = ConflictingPlatform(stored)


@behave.when("it tries to join for {length_s:d} seconds")
def try_to_join(context, length_s):
    """Run the joiner in virtual time; it has heard all members."""

    async def run():
        joiner = membership.Membership(
            scale.member("domain-1", 99),
            "domain-1",
            replica.Replica(),
            context.platform,
            CODEC,
            unittest.mock.AsyncMock(),
        )
        joiner.heard_hosts = {m.host for m in scale.view("domain-1", 3).members}
        with anyio.move_on_after(length_s):
            await joiner.run()

    virtualtime.run(run)
    context.length_s = length_s


@behave.then("it makes at most {rate:d} calls a second to the platform")
def check_join_calls(context, rate):
    """Check the number of calls."""
    calls = len(context.platform.calls)
    assert 0 < calls <= rate * context.length_s, calls


@behave.then("it writes as often as it reads")
def check_join_writes(context):
    """Check that reads do not take the calls that writes need."""
    calls = context.platform.calls
    # The first read is the one that finds the view.
    assert calls.count("put") >= calls.count("get") - 1, calls


@behave.when("the names of kept rendezvous choices change {times:d} times")
def change_kept_names(context, times):
    """Add and remove names at random and compare each time."""
    choices, names = rendezvous.CachedChoices(), set()
    context.differences = []
    for _ in range(times):
        for _ in range(context.rng.randint(1, 3)):
            names.symmetric_difference_update({f"host-{context.rng.randint(1, 30)}"})
        choices.set_names(names)
        context.differences += [
            key for key in range(40) if choices.pick(key) != rendezvous.pick(key, names)
        ]


@behave.then("each kept choice equals a fresh one")
def check_kept_choices(context):
    """Check that no choice differed."""
    assert not context.differences, context.differences


@behave.given(
    "kept rendezvous choices of {targets:d} targets among {members:d} members"
)
def make_kept_choices(context, targets, members):
    """Choose once for each target."""
    context.names = {m.host for m in scale.view("domain-1", members).members}
    context.targets = range(targets)
    context.choices = rendezvous.CachedChoices()
    context.choices.set_names(context.names)
    for target in context.targets:
        context.choices.pick(target)


@behave.when("one member leaves the kept choices and comes back")
def leave_and_return(context):
    """Count the scores that both changes need."""
    gone = scale.member("domain-1", 5).host
    with unittest.mock.patch.object(
        rendezvous, "score", side_effect=rendezvous.score
    ) as counted:
        for names in (context.names - {gone}, context.names):
            context.choices.set_names(names)
            for target in context.targets:
                context.choices.pick(target)
        context.scores = counted.call_count


@behave.then("at most {bound:d} scores are computed")
def check_scores(context, bound):
    """Check the count; choosing anew would take 81,000."""
    assert 0 < context.scores <= bound, context.scores


@behave.when("the capacity-goal configuration is read and merged")
def read_goal_configuration(context):
    """Measure the bytes that replica and merged configuration keep."""
    text = slopes.listing_text(slopes.goal_objects())
    context.kept_bytes = slopes.held_bytes(1, lambda _: slopes.keep_both(text))


@behave.then("it keeps at most {bound:d} bytes")
def check_configuration_bytes(context, bound):
    """Check the allocated bytes."""
    assert 0 < context.kept_bytes <= bound, context.kept_bytes


@behave.then(
    "{hosts:d} hosts at their call budgets make at most {bound:d} calls a second"
)
def check_call_budgets(context, hosts, bound):
    """Check the default budget of the settings."""
    budget = settings.PlatformSection(url="http://127.0.0.1:9000").call_budget
    assert hosts * budget <= bound, budget


@behave.when("a target at the capacity goal answers {what} for {length_s:d} seconds")
def probe_target(context, what, length_s):
    """Run the prober of one home in virtual time and count what it reads."""

    async def run():
        owner = targetowner.TargetOwner(*slopes.one_target(), slopes.context(), "host")
        prober = probing.Prober(random.Random(1))
        context.health_reads = unittest.mock.AsyncMock(return_value=True)
        context.load_reads = unittest.mock.AsyncMock()
        prober.is_healthy = context.health_reads
        prober.read_load = context.load_reads
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(prober.run, owner)
            for _ in range(4 * length_s):
                if what == "requests":
                    owner.monitor.on_outcome(True, anyio.current_time())
                await anyio.sleep(0.25)
            tasks.cancel_scope.cancel()
        await prober.client.aclose()

    virtualtime.run(run)


@behave.then("its {endpoint} endpoint is read at {bound} {count:d} times")
def check_endpoint_reads(context, endpoint, bound, count):
    """Check the number of reads."""
    mocks = {"health": context.health_reads, "load": context.load_reads}
    reads = mocks[endpoint].await_count
    assert reads <= count if bound == "most" else reads >= count, reads
