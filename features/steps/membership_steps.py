"""Steps for membership, leases, and changes of home."""

import contextlib
import dataclasses

import anyio
import behave
from returns import result

from basilgate import clock, membership, reasons, wire
from peerproto import ttypes
from standins import memory, virtualtime

SETTLE_S = 3.0
DETECTION_LIMIT_S = 3.0


@contextlib.asynccontextmanager
async def domain(members, seed=1):
    """Run a settled domain in memory."""
    network = memory.MemoryNetwork(seed)
    async with anyio.create_task_group() as tasks:
        network.tasks = tasks
        await network.start_members(members)
        await settle(network)
        yield network
        tasks.cancel_scope.cancel()


async def settle(network):
    """Wait until all running members share one view and hold their leases."""
    for _ in range(600):
        await anyio.sleep(0.25)
        nodes = list(network.nodes.values())
        views = {node.members.epoch for node in nodes}
        ready = all(
            node.members.is_member()
            and node.members.is_full_member
            and len(node.members.view.members) == len(nodes)
            and all(e.has_authority() for e in node.owned_targets.owners.values())
            for node in nodes
        )
        if ready and len(views) == 1:
            return
    raise AssertionError("the domain did not settle")


def home_node(network, target):
    """Return the node that is home of a target."""
    for node in network.nodes.values():
        if target in node.owned_targets.owners:
            return node
    raise AssertionError(f"no home of target {target}")


def request_frame(flow, idempotent=False, attempt=0, deadline_s=5.0):
    """Return a request of a flow."""
    return wire.Frame(
        wire.Kind.REQUEST,
        1,
        flow,
        request=1,
        flags=wire.FLAG_IDEMPOTENT if idempotent else 0,
        attempt=attempt,
        deadline_ms=clock.unix_ms() + int(deadline_s * 1000),
    )


async def deliver_late(network, rng, target, frame):
    """Deliver a duplicate at the end of a datagram's lifetime or before."""
    await anyio.sleep(rng.uniform(0, membership.DATAGRAM_LIFETIME_S))
    nodes = list(network.nodes.values())
    if nodes:
        await rng.choice(nodes).request(target, frame)


async def send_until_outcome(network, rng, target, flow, idempotent, deadline_s=20.0):
    """Send a request as the caller library does, to random nodes."""
    frame = request_frame(flow, idempotent, deadline_s=deadline_s)
    kinds = (wire.Kind.ANSWER, wire.Kind.REFUSED, wire.Kind.UNKNOWN)
    attempt = 0
    while clock.unix_ms() < frame.deadline_ms:
        frame.attempt = min(attempt, 255)
        attempt += 1
        nodes = list(network.nodes.values())
        if nodes:
            await rng.choice(nodes).request(target, dataclasses.replace(frame))
        if rng.random() < 0.3:
            copy = dataclasses.replace(frame)
            network.tasks.start_soon(deliver_late, network, rng, target, copy)
        await anyio.sleep(0.25)
        for outcome in network.outcomes.get(frame.key, []):
            if outcome.kind in kinds:
                return outcome
    return None


def record(context, main):
    """Run a scenario's main function on virtual time."""
    virtualtime.run(main)


@behave.given("a domain of {members:d} members")
def given_domain(context, members):
    """Remember the size."""
    context.members = members


@behave.when("one member is killed")
def kill_member(context):
    """Kill a member and time the adoption of the next view."""

    async def main():
        async with domain(context.members) as network:
            victim = network.nodes[("127.0.0.1", 7001)]
            network.kill(victim)
            killed_at = anyio.current_time()
            context.detected_s = None
            while anyio.current_time() < killed_at + 10:
                await anyio.sleep(0.02)
                views = [node.members.view for node in network.nodes.values()]
                if all(victim.name not in [m.host for m in v.members] for v in views):
                    context.detected_s = anyio.current_time() - killed_at
                    break

    record(context, main)


@behave.then("every survivor adopts a view without it within 3 s")
def check_detection(context):
    """Check the virtual time of detection."""
    assert context.detected_s is not None, "not removed"
    assert context.detected_s <= DETECTION_LIMIT_S, context.detected_s


@behave.when("one member is paused for {seconds:d} s")
def pause_member(context, seconds):
    """Pause a member and count view changes."""

    async def main():
        async with domain(context.members) as network:
            epochs = {node.members.epoch for node in network.nodes.values()}
            node = network.nodes[("127.0.0.1", 7001)]
            node.paused = True
            await anyio.sleep(seconds)
            node.paused = False
            await anyio.sleep(3)
            context.epochs = (
                epochs,
                {node.members.epoch for node in network.nodes.values()},
            )

    record(context, main)


@behave.then("no view without it is written")
def check_no_view(context):
    """Check that the epoch is the same."""
    before, after = context.epochs
    assert before == after, context.epochs


@behave.when("the home of target 1 is cut off from the others but not from its callers")
def cut_home(context):
    """Cut a home off and note when each side has authority."""

    async def main():
        async with domain(context.members) as network:
            former = home_node(network, 1)
            for node in network.nodes.values():
                if node is not former:
                    network.cut(former, node)
            network.off_platform.add(former.name)
            context.overlap = 0
            context.former_ended = context.next_began = None
            start = anyio.current_time()
            while anyio.current_time() < start + 20 and context.next_began is None:
                await anyio.sleep(0.01)
                entry = former.owned_targets.owners.get(1)
                old = entry is not None and entry.has_authority()
                new = any(
                    1 in node.owned_targets.owners
                    and node.owned_targets.owners[1].has_authority()
                    for node in network.nodes.values()
                    if node is not former
                )
                context.overlap += old and new
                if not old and context.former_ended is None:
                    context.former_ended = anyio.current_time()
                if new:
                    context.next_began = anyio.current_time()

    record(context, main)


@behave.then("the new home has authority only after the lease of the former one")
def check_no_overlap(context):
    """Check that the two homes' rights do not overlap."""
    assert context.next_began is not None, "no new home"
    assert context.overlap == 0
    assert context.former_ended < context.next_began


@behave.when("one member is cut off from the others for 25 s")
def isolate_member(context):
    """Cut a member off from the others, while all of them reach the platform."""

    async def main():
        async with domain(context.members) as network:
            isolated, *others = network.nodes.values()
            before = [node.members.me.incarnation for node in others]
            for node in others:
                network.cut(isolated, node)
            await anyio.sleep(25)
            after = [node.members.me.incarnation for node in others]
            context.stayed = before == after
            context.leases = [
                node.members.lease_until() > anyio.current_time() for node in others
            ]

    record(context, main)


@behave.then("the others stay members, and hold their leases again")
def check_stayed(context):
    """Check incarnations and leases."""
    assert context.stayed
    assert context.leases == [True, True], context.leases


@behave.when("the home of target 1 is paused for 20 s")
def pause_home(context):
    """Pause a home past its lease."""

    async def main():
        async with domain(context.members) as network:
            node = home_node(network, 1)
            context.before = node.members.me.incarnation
            node.paused = True
            await anyio.sleep(20)
            node.paused = False
            await settle(network)
            context.after = node.members.me.incarnation
            context.refused = [
                peer.members.peers[node.name].newest_epoch
                for peer in network.nodes.values()
                if peer is not node
            ]
            context.epoch = node.members.epoch

    record(context, main)


@behave.then("it is a member again with a higher incarnation")
def check_incarnation(context):
    """Check the incarnation."""
    assert context.after > context.before


@behave.then("it refuses no heartbeat of its successors")
def check_heard(context):
    """Check that all members have heard it at the newest epoch."""
    assert set(context.refused) == {context.epoch}, context.refused


@behave.when("one member restarts at its address")
def restart_member(context):
    """Restart a member and replay a heartbeat of its former incarnation."""

    async def main():
        async with domain(context.members) as network:
            former = network.nodes[("127.0.0.1", 7001)]
            incarnation = former.members.me.incarnation
            network.kill(former)
            network.start("h1", 1)
            await settle(network)
            message = ttypes.Heartbeat("h1", incarnation, 9, 1, 1, 0, 0, False)
            peer = network.nodes[("127.0.0.2", 7001)]
            context.refusal = peer.members.on_heartbeat(message, former.address)

    record(context, main)


@behave.then("a heartbeat of its former incarnation is refused with {reason}")
def check_stale(context, reason):
    """Check the reason."""
    assert reasons.label(context.refusal) == reason


@behave.when("the platform goes down and one member {what}")
def lose_member_without_platform(context, what):
    """Kill or restart a member during a platform outage."""

    async def main():
        async with domain(context.members) as network:
            network.platform.down = True
            network.kill(network.nodes[("127.0.0.1", 7001)])
            if what.startswith("restarts"):
                node = network.start("h1", 1)
                seed = network.nodes[("127.0.0.2", 7001)]
                for stored in seed.store.stored.values():
                    node.store.apply(stored)
            await anyio.sleep(membership.TAKEOVER_WAIT_S + SETTLE_S)
            survivors = [n for n in network.nodes.values() if n.name != "h1"]
            now = anyio.current_time()
            context.leases = [n.members.lease_until() > now for n in survivors]
            context.answers = {}
            for target in network.targets:
                for idempotent in (True, False):
                    flow = target * 10 + idempotent
                    outcome = await send_until_outcome(
                        network, context.rng, target, flow, idempotent, 4.0
                    )
                    context.answers[target, idempotent] = outcome

    record(context, main)


@behave.then("the other members {keep} their leases")
def check_leases(context, keep):
    """Check whether the survivors hold their leases."""
    assert context.leases == [keep == "keep"] * 2, context.leases


@behave.then("an idempotent request is answered at each target")
def check_idempotent(context):
    """Check the outcomes of idempotent requests."""
    found = {
        target: outcome
        for (target, idempotent), outcome in context.answers.items()
        if idempotent
    }
    assert all(o and o.kind is wire.Kind.ANSWER for o in found.values()), found


@behave.then("a non-idempotent request gets no answer and no refusal")
def check_non_idempotent(context):
    """Check the outcomes of non-idempotent requests."""
    for (_, idempotent), outcome in context.answers.items():
        if not idempotent:
            assert outcome is None or outcome.kind is wire.Kind.UNKNOWN, outcome


@behave.when("the home of target 1 leaves with requests in its queue")
def leave_with_queue(context):
    """Let a home leave while its target is busy."""

    async def main():
        async with domain(context.members) as network:
            node = home_node(network, 1)
            target = network.targets[1]
            target.work_s = 0.5
            for flow in range(1, 10):
                await node.request(1, request_frame(flow, deadline_s=30.0))
            await anyio.sleep(0.01)
            node.members.leaving = True
            for peer in list(node.members.peers.values()):
                await node.members.send_heartbeat(peer)
            node.on_change()
            await anyio.sleep(1.0)
            heir = home_node(network, 1)
            context.heir = (
                heir is not node and heir.owned_targets.owners[1].has_authority()
            )
            await anyio.sleep(5.0)
            await node.members.leave()
            context.starts = dict(target.starts)
            context.peak = target.peak
            context.kinds = [
                [frame.kind for frame in network.outcomes[flow, 1]]
                for flow in range(1, 10)
            ]

    record(context, main)


@behave.then("each request is answered once")
def check_answered_once(context):
    """Check starts and answers."""
    assert context.starts == {(flow, 1): 1 for flow in range(1, 10)}, context.starts
    assert all(k == [wire.Kind.ANSWER] for k in context.kinds), context.kinds
    assert context.peak <= 3, context.peak


@behave.then("the next home has authority within 1 s")
def check_heir(context):
    """Check that the target moved."""
    assert context.heir


@behave.when(
    "a home leaves, its handover is taken but the answer is lost, and the heir dies"
)
def lose_handover_answer(context):
    """Lose the answer of each handover call, then kill the heir."""

    async def main():
        async with domain(context.members) as network:
            node = home_node(network, 1)
            made = node.owned_targets.call
            heirs = []

            async def lossy(codec, address, field, message):
                heir = network.nodes.get(address)
                await made(codec, address, field, message)
                if heir is not None and message.target == 1:
                    heirs.append(heir)
                return result.Failure(reasons.Reason.NO_REPLY)

            node.owned_targets.call = lossy
            node.members.leaving = True
            node.on_change()
            while not heirs:
                await anyio.sleep(0.01)
            assert heirs[0].owned_targets.owners[1].has_authority()
            network.kill(heirs[0])
            # The stop is called off, so that the target comes back.
            node.members.leaving = False
            context.authority = []
            start = anyio.current_time()
            while anyio.current_time() < start + 20:
                await anyio.sleep(0.1)
                entry = node.owned_targets.owners.get(1)
                if entry is not None and entry.has_authority():
                    context.authority.append(anyio.current_time() - start)
            context.came_back = 1 in node.owned_targets.owners

    record(context, main)


@behave.then("the former home waits for the heir's lease before it has authority again")
def check_taken_back(context):
    """Check when the former home has authority again."""
    assert context.came_back
    assert context.authority, "no authority again"
    assert context.authority[0] >= membership.LEASE_S, context.authority[0]


@behave.given("no host runs")
def no_host(context):
    """Start from nothing."""


@behave.when("{hosts:d} hosts start within 1 s")
def start_at_once(context, hosts):
    """Start all hosts of a domain and wait until they have settled."""

    async def main():
        network = memory.MemoryNetwork(1, targets=40)
        async with anyio.create_task_group() as tasks:
            network.tasks = tasks
            # Lost pushes make members skip views.
            network.loss = 0.3
            for number in range(1, hosts + 1):
                network.start(f"h{number}", number)
                await anyio.sleep(network.rng.uniform(0, 2.0 / hosts))
            network.loss = 0.0
            await settle(network)
            await anyio.sleep(SETTLE_S)
            context.homes = {
                number: [
                    node.owned_targets.owners[number].has_authority()
                    and not node.owned_targets.owners[number].awaiting_from
                    for node in network.nodes.values()
                    if number in node.owned_targets.owners
                ]
                for number in network.targets
            }
            tasks.cancel_scope.cancel()

    record(context, main)


@behave.then("each target has one home, and it has authority")
def check_homes(context):
    """Check that no home waits for a handover that nobody owes."""
    assert all(found == [True] for found in context.homes.values()), context.homes


@behave.when("one member is killed and the answer to its removal is lost")
def lose_removal_answer(context):
    """Lose the answer of the write that removes a member."""

    async def main():
        async with domain(context.members) as network:
            network.kill(network.nodes[("127.0.0.1", 7001)])
            network.platform.lose_answers = 1
            await anyio.sleep(10)
            context.views = [
                (n.members.epoch, sorted(m.host for m in n.members.view.members))
                for n in network.nodes.values()
            ]

    record(context, main)


@behave.then("every survivor adopts the same view")
def check_same_view(context):
    """Check that the survivors agree."""
    assert context.views[0] == context.views[1]
    assert context.views[0][1] == ["h2", "h3"]


FAULTS = ("kill", "pause", "cut", "restart", "platform", "lose_answers", "off_platform")


async def apply_fault(network, rng, stopped):
    """Apply one random fault; each ends after some seconds."""
    fault = rng.choice(FAULTS)
    nodes = sorted(network.nodes.values(), key=lambda node: node.name)
    node = rng.choice(nodes) if nodes else None
    if fault == "platform":
        network.platform.down = not network.platform.down
    elif fault == "lose_answers":
        network.platform.lose_answers = 2
    elif node is None:
        return fault
    elif fault in ("kill", "restart"):
        network.kill(node)
        delay = 0.0 if fault == "restart" else rng.uniform(1.0, 15.0)
        stopped.append((anyio.current_time() + delay, node.name, node.address))
    elif fault == "pause":
        node.paused = True
        network.tasks.start_soon(resume, node, rng.choice([0.8, 3.0, 6.0, 12.0]))
    elif fault == "cut":
        for other in nodes:
            if other is not node:
                network.cut(node, other)
        network.tasks.start_soon(heal, network, rng.uniform(1.0, 12.0))
    else:
        network.off_platform.add(node.name)
    return fault


async def resume(node, delay_s):
    """Continue a paused node after some seconds."""
    await anyio.sleep(delay_s)
    node.paused = False


async def heal(network, delay_s):
    """End all cuts after some seconds."""
    await anyio.sleep(delay_s)
    network.cuts.clear()


async def drive_faults(network, rng, context):
    """Apply faults for two minutes, two at a time now and then."""
    stopped = []
    end_at = anyio.current_time() + 120
    while anyio.current_time() < end_at:
        for _ in range(1 + (rng.random() < 0.4)):
            context.applied.append(await apply_fault(network, rng, stopped))
        await anyio.sleep(rng.uniform(0.5, 8.0))
        for entry in [entry for entry in stopped if entry[0] <= anyio.current_time()]:
            stopped.remove(entry)
            number = int(entry[2][0].rsplit(".", 1)[1])
            network.start(entry[1], number)
        if rng.random() < 0.5:
            network.platform.down = False
            network.off_platform.clear()


async def drive_requests(network, rng, context):
    """Send requests all the time."""
    flow = 1_000
    while True:
        flow += 1
        target = rng.randrange(1, len(network.targets) + 1)
        network.tasks.start_soon(
            collect, network, rng, target, flow, rng.random() < 0.3, context
        )
        await anyio.sleep(rng.uniform(0.02, 0.2))


async def collect(network, rng, target, flow, idempotent, context):
    """Send one request and note its outcome."""
    outcome = await send_until_outcome(network, rng, target, flow, idempotent)
    context.finished[flow] = (idempotent, target, outcome)


@behave.when("seed {seed:d} drives kills, pauses, cuts, restarts, and platform outages")
def drive_random_faults(context, seed):
    """Run random faults and requests on virtual time."""
    context.applied = []
    context.finished = {}

    async def main():
        async with domain(3, seed) as network:
            rng = network.rng
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(drive_requests, network, rng, context)
                await drive_faults(network, rng, context)
                tasks.cancel_scope.cancel()
            await anyio.sleep(25)
            context.network = network

    record(context, main)


def starts_of(context, flow):
    """Return how often the request of a flow has started."""
    return sum(t.starts[flow, 1] for t in context.network.targets.values())


@behave.then("no non-idempotent request ran twice")
def check_run_once(context):
    """Check each target's starts."""
    assert len(context.finished) >= 500, len(context.finished)
    answered = [o for _, _, o in context.finished.values() if o is not None]
    assert sum(o.kind is wire.Kind.ANSWER for o in answered) >= 200
    twice = [
        flow
        for flow, (idempotent, _, _) in context.finished.items()
        if not idempotent and starts_of(context, flow) > 1
    ]
    assert not twice, twice


@behave.then("no request that was reported as not run has run")
def check_not_run(context):
    """Check each refusal against the starts."""
    untrue = [
        flow
        for flow in context.finished
        if starts_of(context, flow)
        and any(
            frame.kind is wire.Kind.REFUSED
            for frame in context.network.outcomes.get((flow, 1), [])
        )
    ]
    assert not untrue, untrue


@behave.then("no target had more than 3 requests in flight unless a home was cut off")
def check_peak(context):
    """Check the largest number of requests in flight at a target."""
    isolated = {"cut", "pause"} & set(context.applied)
    peaks = [target.peak for target in context.network.targets.values()]
    assert isolated or max(peaks) <= 3, peaks
