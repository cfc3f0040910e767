"""Steps for the load policies, on a rig with a virtual clock."""

import math
import random

import anyio
import behave

from basilgate import (
    handovers,
    health,
    reasons,
    requestrecords,
    targetowner,
    wire,
    workclasses,
)
from lab import policybench, policyrig

SHORT, LONG = wire.WorkClass.SHORT, wire.WorkClass.LONG
WORK_S = 0.02


def run(context, scenario):
    """Run a scenario on a new rig and keep the rig for the checks."""

    async def main():
        rig = context.rig = policyrig.Rig(context.plan, 20261204)
        async with rig.running():
            await scenario(rig)

    policyrig.run(main)


async def settle(rig, limit_s=60.0):
    """Wait for the outcomes of all requests."""
    await policybench.until_ended(rig, limit_s)


async def warm_up(rig, flow, count=40):
    """Let the homes measure service times."""
    for _ in range(count):
        rig.request(flow, WORK_S, 5.0)
        await anyio.sleep(WORK_S)
    await settle(rig)
    rig.ended.clear()
    rig.sent.clear()


@behave.given("a policy rig with 1 target")
def one_target(context):
    """Plan one target."""
    context.plan = policyrig.Plan(domains={"a": 1}, hosts=1)


@behave.given("a policy rig with {count:d} targets at {hosts:d} hosts")
def some_targets(context, count, hosts):
    """Plan targets in one domain."""
    context.plan = policyrig.Plan(domains={"a": count}, hosts=hosts)


@behave.given("a policy rig with domains a and b of 2 targets")
def two_domains(context):
    """Plan two domains."""
    context.plan = policyrig.Plan(domains={"a": 2, "b": 2}, hosts=1)


@behave.then("the policy rig has told no untruth and used no slot twice")
def check_truth(context):
    """Check what must hold in every run."""
    assert context.rig.untrue_refusals() == 0
    assert context.rig.oversubscribed() == 0
    assert len(context.rig.ended) == len(context.rig.sent)


def outcome(context):
    """Return the outcome of the request that the scenario is about."""
    return context.rig.ended[context.key]


@behave.then("it ends as {kind} for {reason}")
def check_outcome(context, kind, reason):
    """Check kind and reason."""
    ended = outcome(context)
    found = ended.kind.name.lower(), reasons.label(ended.reason)
    assert found == (kind, reason), found


@behave.then("it was never started")
def check_never_started(context):
    """Check that no target saw the request."""
    assert context.rig.starts()[context.key] == 0


@behave.then("it was refused without waiting")
def check_at_once(context):
    """Check that no time passed."""
    assert outcome(context).latency_s < 0.001


# Slots and classes.


@behave.when("30 short requests arrive behind 6 stragglers that are {known}")
def stragglers(context, known):
    """Send stragglers first, then short requests."""

    async def scenario(rig):
        rig.open(1)
        declared = known == "declared"
        if not declared:
            for size, work_s, count in ((32, WORK_S, 12), (900, 1.0, 3)):
                for _ in range(count):
                    rig.request(1, work_s, 50.0, size=size)
                    await settle(rig)
        else:
            await warm_up(rig, 1)
        rig.request(1, WORK_S, 20.0, work_class=SHORT)
        await settle(rig)
        for _ in range(6):
            undeclared = wire.WorkClass.UNDECLARED
            long = LONG if declared else undeclared
            rig.request(1, 1.5, 50.0, False, long, size=900, tag="long")
        await anyio.sleep(0.01)
        for _ in range(30):
            short = SHORT if declared else undeclared
            rig.request(1, WORK_S, 20.0, False, short, tag="short")
        await settle(rig)

    run(context, scenario)


@behave.then("all short requests are answered before the last straggler starts")
def check_stragglers(context):
    """Compare the ends; a straggler takes 1.5 s."""
    ended = context.rig.ended.values()
    assert all(e.kind is wire.Kind.ANSWER for e in ended), context.rig.reasons()
    last_start = max(e.ended_at for e in ended if e.tag == "long") - 1.5
    assert max(e.ended_at for e in ended if e.tag == "short") < last_start


@behave.when("9 requests of declared long work arrive")
def only_long(context):
    """Send long work only."""

    async def scenario(rig):
        rig.open(1)
        for _ in range(9):
            rig.request(1, 1.0, 50.0, work_class=LONG)
        await settle(rig)

    run(context, scenario)


@behave.then("at most 3 requests ran at once, and 3 did")
def check_all_slots(context):
    """Check the peak."""
    assert context.rig.targets[1].peak == 3


@behave.when("long work waits while short work arrives at twice the capacity")
def short_overload(context):
    """Overload with short work and send one long request."""

    async def scenario(rig):
        rig.open(1)
        await warm_up(rig, 1)
        for number in range(1_500):
            if number == 300:
                context.key = rig.request(1, 0.5, 3.0, work_class=LONG)
            rig.request(1, WORK_S, 0.3, work_class=SHORT)
            await anyio.sleep(WORK_S / 6)
        await settle(rig)

    run(context, scenario)


@behave.then("the long work is answered before its deadline")
def check_long_answered(context):
    """Check the outcome."""
    ended = outcome(context)
    assert ended.kind is wire.Kind.ANSWER, ended
    assert ended.latency_s <= 3.0


@behave.when("the learner has seen requests of 900 bytes take 50 times as long")
def teach(context):
    """Teach a learner two sizes."""
    context.learner = workclasses.Learner()
    for _ in range(20):
        context.learner.observe(30, WORK_S)
        context.learner.observe(900, 50 * WORK_S)


def classify(context, size, declared="learned", work_class=wire.WorkClass.UNDECLARED):
    """Return the class of a request of `size` bytes."""
    frame = wire.Frame(wire.Kind.REQUEST, 1, 1, body=bytes(size), work_class=work_class)
    return workclasses.classify(frame, declared, context.learner)


@behave.then("undeclared requests of 900 bytes are long and of 30 bytes short")
def check_learned(context):
    """Check what was learned."""
    assert classify(context, 900) is LONG
    assert classify(context, 30) is SHORT


@behave.then("a declared class and a declared service are kept")
def check_declared(context):
    """Check that declarations go first."""
    assert classify(context, 900, work_class=SHORT) is SHORT
    assert classify(context, 900, declared="short") is SHORT


# Placement.


@behave.when("one target claims to be idle and 70 flows open at once")
def burst(context):
    """Load all targets, let one report that it is idle, and open flows."""

    async def scenario(rig):
        for number in range(1, 8):
            rig.open(number)
            # The next owner has heard of this flow.
            await anyio.sleep(2 * policyrig.REPORT_INTERVAL_S)
        for number in range(400):
            rig.request(number % 7 + 1, 0.05, 1.0, False)
            for entry in rig.owners.values():
                busy = 0 if entry.target.id == 1 else len(entry.running)
                entry.monitor.on_load(busy, len(entry.running))
            await anyio.sleep(0.005)
        before = set(rig.tokens)
        for number in range(100, 170):
            rig.open(number)
        context.opened = [rig.target_of(f) for f in rig.tokens if f not in before]

    run(context, scenario)


@behave.then("no target gets more than 2 flows above the mean")
def check_burst(context):
    """Check the largest count; the owners do not see each other's newest flows."""
    counts = [context.opened.count(number) for number in range(1, 8)]
    assert sum(counts) == 70
    assert max(counts) <= 12, counts


@behave.when("one target reports slots used by others and the rest run at half load")
def foreign_work(context):
    """Report foreign work at target 1 and open flows over some seconds."""

    async def scenario(rig):
        for number in range(1, 141):
            rig.open(number)
            rig.owners[1].monitor.on_load(3, 0)
            for _ in range(2):
                rig.request(number, 0.05, 1.0, False)
            await anyio.sleep(0.01)

    run(context, scenario)


@behave.then("that target gets the fewest flows")
def check_foreign(context):
    """Compare the flows."""
    flows = {n: len(entry.flows) for n, entry in context.rig.owners.items()}
    assert flows[1] < min(count for n, count in flows.items() if n != 1), flows


@behave.when("domain a is full and 10 more flows open there")
def full_domain(context):
    """Fill one domain."""

    async def scenario(rig):
        rig.open(1)
        rig.open(2)
        for number in range(900):
            rig.request(number % 2 + 1, 0.1, 1.0, False)
            await anyio.sleep(0.01)
        for number in range(10, 20):
            rig.open(number)
        context.opened = [
            rig.config.targets[rig.target_of(number)].domain for number in range(10, 20)
        ]

    run(context, scenario)


@behave.then("at least 9 of them are placed in domain b")
def check_spilled(context):
    """Count the domains."""
    assert context.opened.count("b") >= 9, context.opened


# Health.


@behave.when("{bad:d} targets look unhealthy")
def look_unhealthy(context, bad):
    """Let probes of some targets fail."""

    async def scenario(rig):
        for number in range(1, bad + 1):
            rig.owners[number].monitor.on_probe(False)
            rig.owners[number].monitor.on_probe(False)
        await anyio.sleep(1.5)
        host = next(iter(rig.hosts.values()))
        context.used = len(host.candidates(policyrig.SERVICE))

    run(context, scenario)


@behave.then("{used:d} targets stay in use")
def check_used(context, used):
    """Check the candidates for new flows."""
    assert context.used == used, context.used


@behave.given("a target health monitor")
def make_monitor(context):
    """Make a monitor and a clock."""
    context.monitor = health.Monitor()
    context.now = 1_000.0


@behave.when("its probes {probes} while real requests {outcomes}")
def contradict(context, probes, outcomes):
    """Give contradicting evidence for 10 s."""
    for _ in range(10):
        context.now += 1
        context.monitor.on_probe(probes == "succeed")
        for _ in range(3):
            context.monitor.on_outcome(outcomes == "succeed", context.now)
        context.monitor.update(context.now)


@behave.then("the monitor {verdict} the target as {condition}")
def check_condition(context, verdict, condition):
    """Check use and explanation."""
    explained = context.monitor.explain(context.now)
    assert explained["in_use"] == (verdict == "keeps"), explained
    assert explained["condition"] == condition, explained


@behave.when("its health changes every 3 s for 120 s")
def flap(context):
    """Let probes fail and succeed in turns."""
    context.reinstated = 0
    used = True
    for second in range(120):
        context.monitor.on_probe(second // 3 % 2 == 1)
        now_used = context.monitor.update(context.now + second)
        context.reinstated += now_used and not used
        used = now_used


@behave.then("the monitor reinstated it at most 5 times")
def check_flaps(context):
    """Check the damping; without it there are 20 reinstatements."""
    assert 1 <= context.reinstated <= 5, context.reinstated


@behave.when("it has answered 100 requests and then accepts no connection")
def die(context):
    """Give good outcomes, then failed probes one second apart."""
    for _ in range(100):
        context.monitor.on_outcome(True, context.now)
    context.used = []
    for _ in range(2):
        context.now += 1
        context.monitor.on_probe(False)
        context.used.append(context.monitor.update(context.now, unreachable=True))


@behave.then("it is out of use after 2 failed probes")
def check_dead(context):
    """Check the verdict."""
    assert context.used[-1] is False, context.used


@behave.when("requests that are not idempotent arrive for a dead target")
def to_dead_target(context):
    """Kill a target and send requests before and after its ejection."""

    async def scenario(rig):
        rig.open(1)
        await warm_up(rig, 1)
        number = rig.target_of(1)
        rig.targets[number].dead = True
        rig.targets[number].break_connections()
        for second in range(4):
            if second in (1, 2):
                rig.owners[number].monitor.on_probe(False)
            for _ in range(3):
                rig.request(1, WORK_S, 10.0, False)
            await anyio.sleep(1)
        await settle(rig, 5.0)

    run(context, scenario)


@behave.then("they are all refused for target_unhealthy before their deadline")
def check_refused_early(context):
    """Check outcomes and times."""
    assert context.rig.reasons() == {"refused:target_unhealthy": 12}
    assert max(e.latency_s for e in context.rig.ended.values()) < 5
    assert context.rig.untrue_refusals() == 0


@behave.when("it is reinstated after an ejection")
def reinstate(context):
    """Eject by probes, then let them succeed."""
    for healthy in (False, False, True):
        context.now += health.FIRST_EJECTION_S
        context.monitor.on_probe(healthy)
        context.monitor.update(context.now)
    assert context.monitor.update(context.now)


@behave.then("its share of new flows rises from 0.1 to 1 over 10 s")
def check_ramp(context):
    """Check the ramp."""
    shares = [context.monitor.share(context.now + second) for second in range(12)]
    assert shares[0] == 0.1 and shares[10] == 1.0, shares
    assert shares == sorted(shares)
    assert 0.3 < shares[5] < 0.7


@behave.when("one target freezes while its flows send idempotent requests")
def freeze(context):
    """Freeze a target under load."""

    async def scenario(rig):
        for number in range(1, 10):
            rig.open(number)
        await warm_up(rig, 1)
        rig.targets[1].frozen = True
        for number in range(600):
            rig.request(number % 9 + 1, WORK_S, 5.0)
            await anyio.sleep(0.01)
        context.condition = rig.owners[1].monitor.explain(anyio.current_time())
        await settle(rig)

    run(context, scenario)


@behave.then(
    "at most its slots' 3 requests are lost, and the target is ejected as frozen"
)
def check_frozen(context):
    """Check that only what the target held was lost."""
    lost = [e for e in context.rig.ended.values() if e.kind is not wire.Kind.ANSWER]
    assert len(lost) <= 3, context.rig.reasons()
    assert not context.condition["in_use"], context.condition
    assert context.condition["condition"] == "frozen", context.condition


@behave.when(
    "one target runs a single straggler of 4 s, and later two beside short work"
)
def lone_straggler(context):
    """Run undeclared stragglers, alone and beside short work."""

    async def scenario(rig):
        rig.open(1)
        rig.request(1, 4.0, 30.0, False, tag="long")
        await settle(rig)
        await warm_up(rig, 1)
        for _ in range(2):
            rig.request(1, 4.0, 30.0, False, tag="long")
        for _ in range(100):
            rig.request(1, WORK_S, 1.0, False)
            await anyio.sleep(2 * WORK_S)
        await settle(rig)
        context.ejections = rig.owners[rig.target_of(1)].monitor.ejections

    run(context, scenario)


@behave.then("the target was never ejected")
def check_not_ejected(context):
    """Check ejections and outcomes."""
    assert context.ejections == 0
    assert set(context.rig.reasons()) == {"answer"}, context.rig.reasons()


# Retries.


@behave.when("all targets shed while 300 idempotent requests arrive in 3 s")
def shed_all(context):
    """Let all targets shed and count the frames that they get."""

    async def scenario(rig):
        rig.open(1)
        rig.open(2)
        rig.open(3)
        context.shed = 0
        for target in rig.targets.values():
            target.shedding = True
        for number in range(300):
            rig.request(number % 3 + 1, WORK_S, 0.5)
            await anyio.sleep(0.01)
        await settle(rig)
        context.shed = sum(target.sheds for target in rig.targets.values())

    run(context, scenario)


@behave.then("at most 150 frames were sent to targets, and none ran")
def check_shed(context):
    """Check the back-off: pauses double from 50 ms to 1 s at each target."""
    assert 3 <= context.shed <= 150, context.shed
    assert not context.rig.starts(), context.rig.starts()


@behave.when("all targets lose their connections again and again")
def outage(context):
    """Break connections of one target after the other."""

    async def scenario(rig):
        for number in range(1, 15):
            rig.open(number)
        for number in range(1_500):
            if number % 10 == 0:
                rig.targets[number // 10 % 7 + 1].break_connections()
            rig.request(number % 14 + 1, WORK_S, 0.5, number % 3 > 0)
            await anyio.sleep(0.005)
        await settle(rig)

    run(context, scenario)


@behave.then("at most a tenth of the requests were retried")
def check_budget(context):
    """Compare starts and requests; each request is started at most once without."""
    starts = context.rig.starts()
    assert any(count > 1 for count in starts.values())
    assert starts.total() <= 1.1 * len(context.rig.sent)


@behave.then("no request that is not idempotent was started twice")
def check_once(context):
    """Check requests whose number is a multiple of three."""
    starts = context.rig.starts()
    assert all(n <= 1 for (_, request), n in starts.items() if request % 3 == 1)


def lose_started(context, before, after):
    """Start one request, break its connection, and wait for its end."""

    async def scenario(rig):
        rig.open(1)
        first = rig.target_of(1)
        other = 2 if first == 1 else 1
        await before(rig)
        context.key = rig.request(1, 0.2, 2.0)
        await anyio.sleep(0.05)
        rig.targets[first].break_connections()
        await after(rig, other)
        await settle(rig)

    run(context, scenario)


async def nothing(rig, other=0):
    """Change nothing."""


async def save_budget(rig):
    """Send enough requests for a few retries."""
    await warm_up(rig, 1)


@behave.when("the first request loses its connection")
def first_lost(context):
    """Lose a request before any budget was saved."""
    lose_started(context, nothing, nothing)


@behave.when("a started request is retried at a target that sheds it")
def retried_and_shed(context):
    """Let the only other target shed."""

    async def shed_elsewhere(rig):
        await save_budget(rig)
        other = next(n for n in rig.targets if n != rig.target_of(1))
        rig.targets[other].shedding = True

    lose_started(context, shed_elsewhere, nothing)
    assert context.rig.starts()[context.key] == 1


def another_copy(context, rig):
    """Return a copy of a request that its first home has passed on."""
    flow, request = context.key
    record = rig.owners[rig.target_of(1)].records[context.key]
    assert record.state is requestrecords.RecordState.PASSED
    return wire.Frame(
        wire.Kind.REQUEST,
        policyrig.SERVICE,
        flow,
        request,
        flags=wire.FLAG_IDEMPOTENT,
        attempt=1,
        deadline_ms=record.deadline_ms,
        token=rig.tokens[flow],
        body=b"200000",
    )


@behave.when("a started request is retried and answered")
def retried_and_answered(context):
    """Send another copy while the request runs at its second target."""

    async def copy(rig, other):
        await anyio.sleep(0.05)
        rig.deliver(another_copy(context, rig), ("127.0.0.1", 1), "")
        context.other = other

    lose_started(context, save_budget, copy)


@behave.when("the first home of a retried request is handed over")
def passed_and_handed_over(context):
    """Export the first home and send a copy of the request to its successor."""

    async def hand_over(rig, other):
        await anyio.sleep(0.05)
        old = rig.owners[rig.target_of(1)]
        frame = another_copy(context, rig)
        handover = handovers.export_handover(old, 1, 1)
        successor = targetowner.TargetOwner(old.target, old.service, old.context, "a-1")
        successor.start_takeover(math.inf, "a-0", complete=True)
        await handovers.apply_handover(successor, handover)
        await successor.on_frame(frame, ("127.0.0.1", 1))
        record = successor.records[context.key]
        context.heir = [(record.previous_owner, record.state, len(successor.queue))]
        handovers.previous_owner_lost(successor, "a-0")
        context.heir.append((record.previous_owner, record.state, len(successor.queue)))

    lose_started(context, save_budget, hand_over)


@behave.then(
    "the new home neither runs nor refuses it, with the former home or without"
)
def check_heir_of_passed(context):
    """Check the record at the new home."""
    states = requestrecords.RecordState
    assert context.heir == [("a-0", states.PASSED, 0), ("", states.UNKNOWN, 0)]


@behave.then("its answer carries the token of the other target")
def check_token(context):
    """Check where the caller is led."""
    rig = context.rig
    assert outcome(context).kind is wire.Kind.ANSWER
    token = rig.answer_tokens[context.key]
    assert rig.target_in(token, context.key[0]) == context.other


@behave.then("another copy of it reaches the other target without a second start there")
def check_copy(context):
    """Check the starts at each target."""
    starts = {n: t.started[context.key] for n, t in context.rig.targets.items()}
    assert starts == {1: 1, 2: 1}, starts


# Cancellation.


@behave.when("a {state} request is cancelled")
def cancel(context, state):
    """Cancel a request in the queue or in flight."""

    async def scenario(rig):
        rig.open(1)
        for _ in range(3 if state == "waiting" else 0):
            rig.request(1, 1.0, 5.0)
        await anyio.sleep(0.01)
        context.key = rig.request(1, 1.0, 5.0)
        await anyio.sleep(0.01)
        rig.cancel(context.key)
        await anyio.sleep(0.01)
        context.busy = rig.targets[1].busy, len(rig.owners[1].running)
        await settle(rig)

    run(context, scenario)


@behave.then("its slot is free")
def check_free(context):
    """Check target and home."""
    assert context.busy == (0, 0)


# Admission.


@behave.when(
    "one caller sends ten times what each of 5 others does, at twice the capacity"
)
def unfair(context):
    """Send from six callers."""

    async def scenario(rig):
        rig.open(1)
        await warm_up(rig, 1)
        rng = random.Random(20261204)
        for _ in range(3_000):
            number = rng.choices(range(6), [10, 1, 1, 1, 1, 1])[0]
            tag = "greedy" if number == 0 else "polite"
            caller = f"10.0.0.{number}"
            rig.request(1, WORK_S, 0.4, False, SHORT, caller=caller, tag=tag)
            await anyio.sleep(WORK_S / 6)
        await settle(rig)

    run(context, scenario)


@behave.then("the others get at least 0.9 of an equal share of the answers")
def check_fair(context):
    """Compare with max-min shares: the others ask for less than a sixth each."""
    polite = [e for e in context.rig.ended.values() if e.tag == "polite"]
    answered = sum(e.kind is wire.Kind.ANSWER for e in polite)
    assert answered >= 0.9 * len(polite), (answered, len(polite))


@behave.then("the greedy caller is refused for caller_share")
def check_greedy(context):
    """Check that the reason is named, and to the greedy caller only."""
    refused = [
        e.tag
        for e in context.rig.ended.values()
        if e.reason is reasons.Reason.CALLER_SHARE
    ]
    assert refused.count("greedy") > 100
    assert refused.count("polite") <= 0.1 * len(refused)


@behave.when("a request arrives that the queue delays past its deadline")
def unreachable(context):
    """Fill the queue with work of earlier deadlines."""

    async def scenario(rig):
        rig.open(1)
        await warm_up(rig, 1)
        for _ in range(30):
            rig.request(1, WORK_S, 0.9, False, SHORT)
        await anyio.sleep(0)
        context.key = rig.request(1, WORK_S, 0.05, False, SHORT)
        await settle(rig)

    context.plan.queueing = "fifo"
    context.plan.admission = "deadline"
    run(context, scenario)


# Benchmark goals.


@behave.when("the policy benchmark offers {load:f} times the capacity")
def offer(context, load):
    """Run a short overload."""
    context.seconds = policybench.WARM_UP_S + 5
    generate = policybench.steady_load(load, context.seconds)
    context.rig = policybench.run(policybench.NEW, 1, generate)


@behave.then("goodput is at least 0.95 of the capacity")
def check_goodput(context):
    """Check the goal."""
    value = policybench.goodput(context.rig, context.seconds)
    assert value >= 0.95, value


@behave.when("the policy benchmark runs a tenfold crest")
def crest(context):
    """Run the crest."""
    context.rig = policybench.run(policybench.NEW, 1, policybench.crest_load())


@behave.then("latency is normal 5 s after its end")
def check_recovery(context):
    """Check the goal."""
    value = policybench.recovery_s(context.rig)
    assert value <= 5, value
