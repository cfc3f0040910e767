"""Steps for the experiments: checker, schedules, long answers, and the short soak."""

import dataclasses
import pathlib
import random
import signal
import subprocess
import sys
import types

import anyio
import behave

from basilgate import client, reasons, wire
from lab import checker, cluster, faults, load, soak
from standins import faultyhost, virtualtime

BEGAN = 1_000.0
PIECE = bytes(wire.MAX_BODY_BYTES)
END_LIMIT_S = 60
EXPERIMENT = """
import sys, anyio
from lab import cluster

SERVICE = cluster.ServicePlan("desk", 1, "short", {"a": 1})

async def run():
    async with cluster.running(cluster.Plan({"a": 1}, (SERVICE,))) as running:
        print(*(process.pid for process in running.processes), flush=True)
        await anyio.sleep_forever()

sys.exit(cluster.run_interruptible(run))
"""


def request_seen(flow, request, **changes):
    """Return an answered, non-idempotent request."""
    at = BEGAN + request
    seen = load.RequestSeen(
        "short", flow, request, 1, False, at, at, at + 10, at + 0.1, "answered"
    )
    return dataclasses.replace(seen, **changes)


def start(flow, request, target, **changes):
    """Return a journal line of a request that starts."""
    line = {"event": "start", "time": BEGAN + request, "target": target, "flow": flow}
    return line | {"request": request, "idempotent": False, "busy": 1} | changes


def happened(fault, **changes):
    """Return a planned change 100 s after the beginning."""
    found = faults.Happened(fault, "desk-1", True, BEGAN + 100, BEGAN + 110)
    return dataclasses.replace(found, **changes)


def sample(at, revision):
    """Return what a balancer said of itself."""
    return checker.Sample(BEGAN + at, "a-1", 1, revision, 0, 1)


@behave.given("a run without violations was seen")
def see_clean_run(context):
    """Make the evidence of a run in which nothing went wrong."""
    desk = cluster.ServicePlan("desk", 1, "short", {"a": 2})
    photos = cluster.ServicePlan("photos", 2, "long", {"a": 1})
    hosts = [("desk-1", 1, desk), ("desk-2", 2, desk), ("photos-1", 3, photos)]
    targets = {
        name: cluster.TargetHost(name, number, "a", service, "127.0.0.1")
        for name, number, service in hosts
    }
    seen = load.Seen()
    seen.flows[5] = load.FlowSeen(5, 0, 1, 1, BEGAN, BEGAN)
    seen.requests = [request_seen(5, 1), request_seen(5, 2)]
    journal = [start(5, 1, "desk-1"), start(5, 2, "desk-1", busy=3)]
    context.evidence = checker.Evidence(seen, journal, [], targets)


@behave.when("{what} is planted in the run")
def plant(context, what):
    """Add one violation to the evidence."""
    found = context.evidence
    seen, journal = found.seen, found.journal
    drained = happened("drain", revision=9)
    if what == "a last request without an answer":
        found.happened.append(happened("kill", planned=False, began_at=BEGAN))
        lost = request_seen(5, 3, probe=True, outcome="unknown")
        seen.requests.append(lost)
    elif what == "a start at another target of the service":
        journal.append(start(5, 3, "desk-2"))
    elif what == "an unknown outcome without a fault":
        seen.requests.append(request_seen(5, 3, outcome="unknown"))
    elif what.startswith("a home_changed "):
        ended_at = BEGAN + 3 - int(what.split()[2])
        times = {"began_at": ended_at - 5, "ended_at": ended_at}
        found.happened.append(happened("kill", planned=False, **times))
        changes = {"outcome": "unknown", "reason": "home_changed"}
        seen.requests.append(request_seen(5, 3, **changes))
    elif what == "a failed open without a fault":
        seen.failed_opens.append((BEGAN, 1, "no_target"))
    elif what == "a start at a target of another service":
        journal.append(start(5, 3, "photos-1", idempotent=True))
    elif what == "an answer to another request":
        seen.requests.append(request_seen(5, 3, whole=False))
    elif what == "a started request reported as not run":
        seen.requests.append(request_seen(5, 3, outcome="not_run"))
        journal.append(start(5, 3, "desk-1"))
    elif what == "a second start of a reservation":
        journal.append(start(5, 2, "desk-1"))
    elif what == "a new flow 4 s after a drain":
        found.happened.append(drained)
        seen.flows[6] = load.FlowSeen(6, 0, 1, 1, BEGAN + 104, BEGAN + 104)
    elif what == "a planned stop with status 1":
        found.happened.append(happened("planned_stop", exit_status=1))
    elif what == "a balancer that goes back a revision":
        found.samples += [sample(1, 8), sample(2, 7)]
    elif what == "a balancer without an override after 4 s":
        found.happened.append(drained)
        found.samples.append(sample(103.5, 8))
    elif what == "a running balancer outside the view":
        found.samples.append(dataclasses.replace(sample(50, 8), member=False))
    else:
        journal.append(start(5, 3, "desk-1", busy=4))


@behave.then("the checker reports only {line}")
def check_reported(context, line):
    """Check that the planted violation is found, and no other."""
    assert [v.line for v in checker.judge(context.evidence)] == [line]


@behave.then("the checker reports nothing")
def check_clean(context):
    """Check that a clean run stays clean."""
    assert checker.judge(context.evidence) == []


@behave.when("the faults of seed 7 are scheduled twice for 300 s")
def schedule_twice(context):
    """Schedule random faults twice."""
    names = [target.name for target in cluster.planned_targets(soak.SONOR)]
    context.schedules = [faults.schedule(soak.SONOR, names, 7, 300.0) for _ in range(2)]


@behave.then("both fault schedules are equal and hold every kind of fault")
def check_schedules(context):
    """Check that the seed decides everything."""
    first, second = context.schedules
    assert first == second
    assert {event.fault for event in first} == set(faults.FAULTS)


class LongAnswerTransport:
    """Fabric with a home behind it that has a long answer ready."""

    def __init__(self, pieces, loss):
        self.pieces = pieces
        self.loss = loss
        self.rng = random.Random(1)
        self.sent = self.answered = 0
        self.outbox, self.inbox = anyio.create_memory_object_stream(100_000)

    async def send(self, datagram):
        """Answer a packet as the home does."""
        self.sent += 1
        frame = wire.decode(datagram).unwrap()
        if self.rng.random() < self.loss:
            return
        wanted = []
        if frame.kind is wire.Kind.OPEN:
            token = bytes([1]) * wire.TOKEN_BYTES
            await self.reply(frame, wire.Kind.OPENED, token=token)
        elif frame.kind is wire.Kind.REQUEST:
            wanted = range(32)
        elif frame.kind is wire.Kind.PULL:
            first = int.from_bytes(frame.body[:2], "big")
            bitmap = int.from_bytes(frame.body[2:], "big")
            wanted = [first + n for n in range(64) if bitmap >> n & 1]
        for piece in wanted:
            self.answered += 1
            if self.rng.random() >= self.loss:
                await self.reply(
                    frame,
                    wire.Kind.ANSWER,
                    piece=piece,
                    pieces=self.pieces,
                    body=PIECE,
                )

    async def reply(self, frame, kind, **fields):
        """Put a packet on its way to the caller."""
        reply = wire.Frame(kind, frame.service, frame.flow, frame.request, **fields)
        await self.outbox.send(wire.encode(reply))

    async def receive(self):
        """Return the next packet for the caller."""
        return await self.inbox.receive()

    async def aclose(self):
        """Close both ends."""
        self.outbox.close()
        self.inbox.close()


@behave.when(
    "an answer of {pieces:d} pieces is pulled while {loss:d} of 100 packets are lost"
)
def pull_long_answer(context, pieces, loss):
    """Let a caller fetch a long answer."""

    async def run():
        context.transport = LongAnswerTransport(pieces, loss / 100)
        async with client.Client(context.transport, seed=1) as caller:
            deadline = client.now_ms() + 60_000
            flow = (await caller.open(1, deadline)).unwrap()
            context.outcome = await flow.request(b"", deadline, idempotent=True)

    anyio.run(run)
    context.pieces = pieces


@behave.when("a caller opens a flow for {seconds:d} s and nothing answers")
def open_unanswered(context, seconds):
    """Let a caller try to open a flow on virtual time."""

    async def run():
        context.transport = LongAnswerTransport(1, 1.0)
        async with client.Client(context.transport, seed=1) as caller:
            found = await caller.open(1, client.now_ms() + seconds * 1_000)
            context.refused = found.failure()

    virtualtime.run(run)


@behave.then("it sent {count:d} copies and has no reply")
def check_copies(context, count):
    """Check how often a caller adds to the load."""
    assert context.refused is reasons.Reason.NO_REPLY
    assert context.transport.sent == count, context.transport.sent


@behave.then("the caller has the whole long answer")
def check_long_answer(context):
    """Check the size of the answer."""
    assert context.outcome == client.Answered(PIECE * context.pieces)


@behave.then(
    "it sent at most {packets:d} packets and was sent at most {pieces:d} pieces"
)
def check_pull_count(context, packets, pieces):
    """Check that pieces are asked for once, but for the lost ones."""
    assert context.transport.sent <= packets, context.transport.sent
    assert context.transport.answered <= pieces, context.transport.answered


@behave.when("a faulty host sends to and hears from a cut prefix and another one")
def use_cut_network(context):
    """Send and receive datagrams across a cut and beside it."""
    context.sent, context.heard = [], []
    arrivals = [(b"cut", ("127.3.1.1", 1)), (b"free", ("127.3.2.1", 1))]

    async def sendto(data, host, port):
        context.sent.append(host)

    async def receive():
        return arrivals.pop(0)

    async def run():
        network = faultyhost.Network(1)
        network.rules = [faultyhost.Rule("127.3.1.", cut=True)]
        udp = types.SimpleNamespace(sendto=sendto, receive=receive)
        faulty = faultyhost.FaultySocket(network, udp)
        for host in ("127.3.1.1", "127.3.2.1"):
            await faulty.sendto(b"", host, 1)
        context.heard.append((await faulty.receive())[0])

    anyio.run(run)


@behave.then("only the datagrams of the other prefix pass")
def check_cut_network(context):
    """Check what passed in each direction."""
    assert context.sent == ["127.3.2.1"], context.sent
    assert context.heard == [b"free"], context.heard


@behave.given("an experiment with a balancer, a target, and the platform")
def start_experiment(context):
    """Start an experiment that does not end by itself."""
    context.experiment = subprocess.Popen(
        [sys.executable, "-c", EXPERIMENT], stdout=subprocess.PIPE, text=True
    )
    context.add_cleanup(context.experiment.stdout.close)
    context.pids = context.experiment.stdout.readline().split()
    assert len(context.pids) == 3, context.pids


@behave.when("the experiment gets {name}")
def signal_experiment(context, name):
    """Send a signal to the experiment's own process only."""
    context.experiment.send_signal(signal.Signals[name])
    context.status = context.experiment.wait(END_LIMIT_S)


@behave.then("it ends with status 130 and none of its processes is left")
def check_ended(context):
    """Check the status, and that the processes have been ended and waited for."""
    assert context.status == cluster.INTERRUPTED_STATUS, context.status
    left = [pid for pid in context.pids if pathlib.Path(f"/proc/{pid}").exists()]
    assert not left, left


@behave.when(
    "eight balancers in three domains are soaked for {seconds:d} s with seed {seed:d}"
)
def run_short_soak(context, seconds, seed):
    """Run a short soak on real processes."""
    context.report = anyio.run(soak.soak, seed, float(seconds), "sonor")


@behave.then("no invariant that is judged by counts is broken")
def check_short_soak(context):
    """Check the lines that do not depend on the speed of the machine."""
    broken = [
        violation
        for violation in context.report.violations
        if violation.line in checker.COUNT_LINES
    ]
    assert not broken, (broken, context.report.traces)


@behave.then("at least {count:d} requests were answered")
def check_soak_answers(context, count):
    """Check that the soak had load."""
    answered = context.report.evidence.seen.counts().get("answered", 0)
    assert answered >= count, answered
