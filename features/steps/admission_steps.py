"""Steps for admission control: a model of callers and targets, and real forwarders."""

import collections
import functools
import heapq
import itertools
import random
import struct
import types

import behave
import msgspec
from fleet_forwarding_steps import (
    ACK,
    CALLER_PORT,
    FAR,
    NEAR,
    OPEN,
    Rig,
    at_revision,
    configuration,
    is_forwarded,
    packet,
    route,
    steady_clock,
    target,
)

from basilgate import fleetmodel, flowtable, peertable
from basilgate.policy import admission

HIGH, LOW = 1, 2  # Priorities of the two routes, which are also the ports' last digit.
SLOTS, QUEUE = 2, 8
SERVICE_S = (0.013, 0.020)
MEAN_SERVICE_S = sum(SERVICE_S) / 2
DELAY_S = 0.0005  # Of a packet, one way.
TRIES = 3
CALLERS = 400
WARM_UP_S = 8.0
# Targets of 20 that are gone, and the demand of both classes relative to the capacity
# of those that are left.
LOADS = {
    "six in ten targets are gone and demand is 2.5 times the usual": (12, 0.75, 1.125),
    "the lower class comes 2.3 times as often": (0, 0.32, 1.1),
    "the demand of the lower class alone is too high": (0, 0.1, 1.6),
}


class Host(Rig):
    """A forwarder with a table of peers that needs no socket."""

    def __init__(self, context, number, domain):
        super().__init__(context)
        settings = fleetmodel.HostSettings(
            f"h{number}", domain, f"10.2.0.{number}", ("", 1), ("", 2), ("", 3),
            (4, 4), (), 6.0, 60.0,
        )  # fmt: skip
        self.chooser.domain = domain
        self.peers.reset(settings, self.log, self.counts, number)
        self.peers.rng = random.Random(number)
        self.prober.start_probe = lambda *_: None

    def loads(self, now):
        """Return what `peerreports.ReportExchange.own_loads` does."""
        return {
            entry.target.token: (
                self.flows.open_flows[name],
                self.flows.running(name, now),
            )
            for name, entry in self.view.entries.items()
            if self.flows.open_flows[name] > 0 or name in self.flows.activities
        }


class Model:
    """Callers, targets, and hosts; `run` lets time pass."""

    def __init__(self, context, hosts, targets, with_admission, seed=7):
        self.context = context
        self.rng = random.Random(seed)
        self.now = 1_000.0
        context.fleet = self
        self.hosts = [Host(context, n, FAR if n % 2 else NEAR) for n in range(hosts)]
        self.events = []
        self.order = itertools.count()
        self.report_loss = 0.0
        self.split = False  # Whether no packet passes between failure domains.
        self.running = collections.Counter()
        self.waiting = collections.defaultdict(collections.deque)
        self.demand = {HIGH: 0.0, LOW: 0.0}
        self.results = collections.Counter()
        self.ports = itertools.cycle(range(1_024, 65_000))
        self.targets = {}
        routes = [
            msgspec.structs.replace(route(port=440 + p), priority=p)
            for p in (HIGH, LOW)
        ]
        for host in self.hosts:
            host.view.apply_configuration(configuration(5, *routes))
            host.view.targets_listed = host.view.overrides_listed = True
            if not with_admission:
                host.forwarder.admission.decide = lambda *_: None
            self.at(self.rng.random() * 0.15, self.report, host)
        for n in range(1, targets + 1):
            found = target(n, domain=FAR if n % 2 else NEAR)
            self.targets[n] = msgspec.structs.replace(found, slots=SLOTS)
            for host in self.hosts:
                host.view.apply_target(self.targets[n], at_revision(10))
        for priority in self.demand:
            self.at(0.0, self.arrive, priority)

    def at(self, delay, call, *args):
        """Schedule a call."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), call, args))

    def run(self, seconds):
        """Let time pass; return the results of this time."""
        self.results.clear()
        until = self.now + seconds
        while self.events[0][0] < until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = until
        return dict(self.results)

    def use(self, host, datagram):
        """Let a host handle a packet; return what it sent."""
        host.now = self.now
        before = len(host.sent)
        host.forwarder.handle(datagram)
        sent = host.sent[before:]
        host.sent.clear()
        return sent

    def report(self, host):
        """Send a host's report as `ReportExchange` does, and plan the next one."""
        host.now = self.now
        table = host.peers
        table.refresh(self.now)
        host.flows.sweep(self.now, 15.0)
        report = table.make_report(5, 10, True, host.loads(self.now), [], [])
        ips = [
            ip
            for found, some in table.addressed_reports(report)
            for ip in some
            if found
        ]
        table.interval_count += 1
        for other in self.hosts:
            known = other.peers.settings.own_ip in ips or not table.peers
            if other is host or not known or self.rng.random() < self.report_loss:
                continue
            if self.split and other.chooser.domain != host.chooser.domain:
                continue
            other.peers.record_report(report, self.now)
        self.at(peertable.REPORT_INTERVAL_S, self.report, host)

    def arrive(self, priority):
        """Let a caller begin, and plan the next one."""
        rate = self.demand[priority]
        if rate <= 0:
            self.at(0.01, self.arrive, priority)
            return
        self.at(self.rng.expovariate(rate), self.arrive, priority)
        self.results["calls", priority] += 1
        self.attempt(priority, self.rng.randrange(CALLERS), 1)

    def attempt(self, priority, caller, number):
        """Open a flow from a new port."""
        host = self.rng.choice(self.hosts)
        port = next(self.ports)
        make = functools.partial(make_packet, caller, port, priority)
        ((datagram, address),) = self.use(host, make(OPEN))
        self.results["tries", priority] += 1
        if not is_forwarded((datagram, address)):
            self.results["refused", priority] += 1
            self.at(2 * DELAY_S, self.fail, priority, caller, number)
            return
        found = self.targets[struct.unpack(">Q", datagram[:8])[0]]
        if self.split and found.domain != host.chooser.domain:
            self.at(1.4, self.fail, priority, caller, number)
            return
        ask = functools.partial(self.ask, host, make, found, (priority, caller, number))
        self.at(3 * DELAY_S, ask)

    def fail(self, priority, caller, number):
        """Try again, or give up."""
        if number < TRIES:
            self.attempt(priority, caller, number + 1)
        else:
            self.results["lost", priority] += 1

    def ask(self, host, make, found, call):
        """Send the request of an open flow."""
        if not self.use(host, make(ACK, token=found.token, data=b"GET")):
            return
        self.at(2 * DELAY_S, self.take, host, make, found, call)

    def take(self, host, make, found, call):
        """Run a request at its target, queue it, or say that it is not run."""
        job = host, make, found, call
        if self.running[found.number] < SLOTS:
            self.start(*job)
        elif len(self.waiting[found.number]) < QUEUE:
            self.waiting[found.number].append(job)
        else:
            self.results["not_run", call[0]] += 1
            self.at(DELAY_S, self.finish, host, make, found)
            self.at(DELAY_S, self.fail, *call)

    def start(self, host, make, found, call):
        """Run a request in a slot."""
        self.running[found.number] += 1
        took = self.rng.uniform(*SERVICE_S)
        self.results["busy_s"] += took
        self.at(took, self.end, host, make, found, call)

    def end(self, host, make, found, call):
        """Free a slot, and answer."""
        self.running[found.number] -= 1
        if self.waiting[found.number]:
            self.start(*self.waiting[found.number].popleft())
        self.results["served", call[0]] += 1
        self.at(DELAY_S, self.finish, host, make, found)

    def finish(self, host, make, found):
        """Acknowledge the answer, and close the flow."""
        self.use(host, make(ACK, token=found.token, sequence=4, acknowledged=9))
        self.use(host, make(ACK | 4, token=found.token, sequence=4, acknowledged=9))

    def remove(self, numbers):
        """Let targets leave."""
        for number in numbers:
            found = self.targets[number]
            leaving = msgspec.structs.replace(found, leaving=True)
            for host in self.hosts:
                host.view.apply_target(leaving, at_revision(20))

    def capacity(self):
        """Return the requests per second of the targets that are left."""
        entries = self.hosts[0].view.candidates("desk")
        return sum(entry.target.slots for entry in entries) / MEAN_SERVICE_S

    def play(self, high, low, seconds):
        """Run with a demand relative to the capacity; return the share of it used."""
        self.demand = {
            HIGH: high * self.capacity(),
            LOW: low * self.capacity(),
        }
        results = collections.Counter(self.run(seconds))
        self.used = results["busy_s"] / (seconds * MEAN_SERVICE_S * self.capacity())
        self.lost = {
            p: results["lost", p] / max(1, results["calls", p]) for p in (1, 2)
        }
        self.not_run = results["not_run", HIGH] + results["not_run", LOW]
        self.refused = results["refused", HIGH], results["refused", LOW]
        print(
            f"    used {self.used:.3f}, lost {self.lost[HIGH]:.4f} and"
            f" {self.lost[LOW]:.4f}, not run {self.not_run}, refused {self.refused}"
        )


def make_packet(caller, port, priority, flags, **fields):
    """Return a packet of one of the callers."""
    datagram = packet(port, flags, to=440 + priority, **fields)
    address = bytes([100, 64, caller >> 8, caller & 255])
    return datagram[:22] + address + datagram[26:]


def warm_up(context, with_admission, hosts=8, targets=20, high=0.12, low=0.18):
    """Return a model that has run with the usual demand."""
    if "fleet" not in context:
        behave.use_fixture(steady_clock, context)
    context.fleet = types.SimpleNamespace(now=1_000.0)
    context.model = model = Model(context, hosts, targets, with_admission)
    model.play(high, low, WARM_UP_S)
    return model


@behave.given("{hosts:d} hosts and {targets:d} targets with callers of two priorities")
def make_model(context, hosts, targets):
    """Set up the model with the usual demand."""
    warm_up(context, True, hosts, targets)


@behave.when("{what} at {hosts:d} hosts, with and without admission control")
def compare(context, what, hosts):
    """Play the same demand twice."""
    gone, high, low = LOADS[what]
    context.models = []
    for with_admission in (False, True):
        usual = (0.12, 0.18) if gone else (0.32, 0.48)
        model = warm_up(context, with_admission, hosts, 20, *usual)
        model.remove(range(1, gone + 1))
        model.play(high, low, 10.0)
        context.models.append(model)


@behave.then("the higher class loses at most 1%")
def check_higher(context):
    """Check the calls of the higher class."""
    assert context.models[1].lost[HIGH] <= 0.01, context.models[1].lost


@behave.then("the lower class is served too")
def check_lower(context):
    """Check that no class is starved."""
    assert 0 < context.models[1].lost[LOW] < 0.97, context.models[1].lost


@behave.then("the targets are used to 95% of what they are without it")
def check_used(context):
    """Check that room is not left unused."""
    without, with_admission = context.models
    assert with_admission.used >= 0.95 * without.used


@behave.then("a tenth of the tries is turned away by targets")
def check_not_run(context):
    """Check wasted tries."""
    without, with_admission = context.models
    assert with_admission.not_run <= 0.1 * without.not_run


@behave.when("the demand is {high:g} and {low:g} of the capacity for {seconds:g} s")
def play(context, high, low, seconds):
    """Let callers come."""
    context.model.play(high, low, seconds)


@behave.when("all reports are lost")
def lose_reports(context):
    """Lose each report from now on."""
    context.model.report_loss = 1.0
    context.model.play(0.12, 0.18, 2.0)


@behave.when("the hosts of each failure domain hear only their own")
def split_domains(context):
    """Let no packet pass between failure domains."""
    context.model.split = True
    context.model.play(0.12, 0.18, 5.0)


@behave.then("nothing is refused")
def check_none_refused(context):
    """Check the refusals of both classes."""
    assert context.model.refused == (0, 0), context.model.refused


@behave.then("only the lower class is refused")
def check_refused(context):
    """Check the refusals of both classes."""
    high, low = context.model.refused
    assert high == 0 and low > 100, context.model.refused


@behave.then("only the {count:d} slots of the own failure domain count")
def check_slots(context, count):
    """Check the estimate of each host."""
    for host in context.model.hosts:
        estimate = host.forwarder.admission.states["desk"].estimate
        assert estimate.trusted and estimate.slots == count, estimate


@behave.when(
    "a host starts that has heard {heard:d} of {known:d} peers, at full queues"
)
def start_host(context, heard, known):
    """Set up a host with measured latencies, and with reports of some peers."""
    behave.use_fixture(steady_clock, context)
    context.fleet = types.SimpleNamespace(now=1_000.0)
    model = context.model = Model(context, 1 + known, 2, True)
    host = context.host = model.hosts[0]
    for number, peer in enumerate(model.hosts[1:]):
        peer_ip = peer.peers.settings.own_ip
        host.peers.peers[peer_ip] = peertable.Peer(peer_ip, model.now)
        if number < heard:
            loads = {n: (5, 10.0 / heard) for n in model.targets}
            report = peer.peers.make_report(5, 10, True, loads, [], [])
            host.peers.record_report(report, model.now)
    host.flows.activities["i-1"] = flowtable.Activity()
    host.flows.activities["i-1"].record_request(model.now)
    for _ in range(100):
        host.flows.activities["i-1"].record_latency(MEAN_SERVICE_S)
    host.peers.refresh(model.now)


@behave.then("of {count:d} callers of the lower class {share} are refused")
def check_new_host(context, count, share):
    """Open a flow of each caller, and then a second copy of those refused."""
    model, refused = context.model, 0
    for caller in range(count):
        make = functools.partial(make_packet, caller, 2_000)
        ((_, (_, port)),) = model.use(context.host, make(HIGH, OPEN))
        assert port != CALLER_PORT
        (sent,) = model.use(context.host, make(LOW, OPEN))
        if not is_forwarded(sent):
            refused += 1
            (copy,) = model.use(context.host, make(LOW, OPEN, acknowledged=1))
            assert is_forwarded(copy), caller
    resets = context.host.counts.total("refusals_total")
    assert resets == refused
    assert (refused == 0) if share == "none" else (0.9 * count < refused < count)


@behave.then("each of {count:d} callers gets a turn within {windows:d} s")
def check_turns(context, count, windows):
    """Draw for each caller, at the highest probability of a refusal."""
    for caller in range(count):
        address = bytes([100, 64, caller >> 8, caller & 255])
        assert any(
            admission.draw(address, 1.0e9 + second) >= admission.MAX_PROBABILITY
            for second in range(windows)
        ), caller


@behave.then("with {count:d} priorities the lower rank is always refused first")
def check_ranks(context, count):
    """Compare neighbouring ranks over all loads."""
    for load in (step / 100 for step in range(600)):
        found = [admission.probability_by_load(r, count, load) for r in range(1, count)]
        assert found == sorted(found)
        for higher, lower in itertools.pairwise(found):
            assert higher == 0 or lower == admission.MAX_PROBABILITY
    split = [(("a", 1.0), ("b", 1.0)), (("b", 1.0),)]
    routes = [
        msgspec.structs.replace(route(440 + n, services), priority=n)
        for n, services in enumerate(split)
    ]
    assert admission.rank_priorities(routes) == {"a": [0], "b": [0, 1]}
