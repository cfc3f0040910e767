"""Steps for the limit of new flows to cold targets."""

import os
import random

import behave
import msgspec

from basilgate import (
    clock,
    counters,
    eventlog,
    fleetmodel,
    fleetview,
    flowtable,
    peertable,
    suspicion,
    targetchoice,
)
from basilgate.policy import coldtargets

DOMAINS = ("d1", "d2")
SERVICE = "desk"
TICK_S = 0.05
TICKS_PER_REPORT = round(peertable.REPORT_INTERVAL_S / TICK_S)
OPENINGS_PER_HOST_S = 12.0
MAX_DELAY_S = 0.05  # Between a host and a target.
COLD_START_S = 2.0


class Host:
    """A host with a table of peers, a limiter, and a chooser of its own."""

    def __init__(self, fleet, number, started_at):
        self.ip = f"10.{number // 100}.0.{number % 100 + 1}"
        self.domain = DOMAINS[number % 2]
        self.phase = number % TICKS_PER_REPORT
        self.alive, self.part = True, 0
        self.hears = self.is_heard = True
        settings = fleetmodel.HostSettings(
            name=self.ip,
            domain=self.domain,
            own_ip=self.ip,
            listen=(self.ip, 1),
            readiness=(self.ip, 2),
            store=(self.ip, 3),
            peer_ports=(1, 1),
            seeds=("10.0.0.1", "10.0.0.2", "10.0.0.3"),
            grace_s=6.0,
            flow_age_limit_s=60.0,
            has_evacuations=True,
            cold_rate_factor=1.5,
            cold_rate_slack=5.0,
        )
        self.counts = counters.Counters()
        self.peers = peertable.PeerTable.__new__(peertable.PeerTable)
        self.peers.rng = random.Random(fleet.rng.random())
        self.peers.reset(settings, fleet.log, self.counts, int(started_at * 1e3))
        self.suspicions = suspicion.Suspicions(fleet.log, self.counts)
        self.limiter = coldtargets.ColdTargetLimiter(
            fleet.view,
            self.peers,
            self.suspicions,
            fleet.log,
            self.counts,
            started_at,
            fleet.evacuations_ended.get,
        )
        self.chooser = targetchoice.TargetChooser(
            fleet.view,
            flowtable.FlowTable(),
            self.peers,
            self.suspicions,
            self.domain,
            random.Random(number),
            self.limiter,
        )


class Fleet:
    """Hosts that exchange reports at the real rate, and a stream of openings."""

    def __init__(self, context, count, age_s):
        self.now = 1_000.0
        clock.steady_s = lambda: self.now
        self.rng = context.rng
        self.log = eventlog.EventLog(context.null, "h1")
        self.view = fleetview.FleetView(self.log, counters.Counters(), 60.0)
        self.evacuations_ended = {}
        # Time, and target or None if refused, of each opening packet.
        self.openings = []
        self.cold = set()
        self.hosts = {
            host.ip: host for host in (Host(self, n, self.now) for n in range(count))
        }
        self.ticks = 0
        self.run(age_s, 0.0)

    def connected(self, sender, receiver):
        """Return whether reports pass from one host to another."""
        return (
            sender.alive and receiver.alive and sender.is_heard and receiver.hears
        ) and sender.part == receiver.part

    def exchange(self, host):
        """Send the reports of a host."""
        host.peers.refresh(self.now)
        loads = {
            entry.target.token: (host.chooser.flows.open_flows[name], 0.0)
            for name, entry in self.view.entries.items()
        }
        report = host.peers.make_report(1, 1, False, loads, [], [])
        for addressed, ips in host.peers.addressed_reports(report):
            for ip in ips:
                receiver = self.hosts[ip]
                if self.connected(host, receiver):
                    receiver.peers.record_report(addressed, self.now)
        host.peers.interval_count += 1

    def run(self, seconds, rate_per_host=OPENINGS_PER_HOST_S, tried=()):
        """Let time pass in ticks, with openings at random hosts."""
        for _ in range(round(seconds / TICK_S)):
            self.ticks += 1
            self.now += TICK_S
            alive = [host for host in self.hosts.values() if host.alive]
            for host in alive:
                if (self.ticks + host.phase) % TICKS_PER_REPORT == 0:
                    self.exchange(host)
            for _ in range(round(len(alive) * rate_per_host * TICK_S)):
                self.open(self.rng.choice(alive), tried)

    def open(self, host, tried):
        """Open a flow at a host; the target gets the packet after the delay."""
        choice = host.chooser.choose(SERVICE, tried, self.now)
        name = choice[0].target.name if choice is not None else None
        at = self.now + self.rng.uniform(0.0, MAX_DELAY_S)
        self.openings.append((at, name, self.now))
        if name is not None:
            port = len(self.openings).to_bytes(12, "big")
            host.chooser.flows.record_opening(port, name, self.now)

    def change_settings(self, **changes):
        """Change the settings of all hosts."""
        for host in self.hosts.values():
            settings = msgspec.structs.replace(host.peers.settings, **changes)
            host.peers.settings = settings

    def chosen_hosts(self):
        """Return the hosts that open flows to cold targets."""
        for host in self.hosts.values():
            host.limiter.select(SERVICE, self.view.candidates(SERVICE), self.now)
        return [
            host
            for host in self.hosts.values()
            if host.limiter.classifications[SERVICE].assigned
        ]


@behave.fixture
def own_clock(context):
    """Replace the clock until the scenario ends."""
    real = clock.steady_s
    context.null = os.open(os.devnull, os.O_WRONLY)
    yield
    clock.steady_s = real
    os.close(context.null)


@behave.given("{count:d} hosts in two failure domains that have run for {age:g} s")
def make_fleet(context, count, age):
    """Set up hosts that hear each other."""
    behave.use_fixture(own_clock, context)
    context.fleet = Fleet(context, count, age)


@behave.given("{count:d} hosts in two failure domains that start together")
def make_starting_fleet(context, count):
    """Set up hosts that know only the seeds."""
    make_fleet(context, count, 0.0)


@behave.given(
    "{warm:d} warm and {cold:d} cold targets that bear {rate} requests a second"
)
def make_targets(context, warm, cold, rate):
    """Set up targets; cold ones stay cold for a minute, in alternating domains."""
    fleet = context.fleet
    figures = fleetmodel.Service(
        SERVICE,
        cold_start_s=COLD_START_S,
        cold_rate_per_s=None if rate == "none" else float(rate),
    )
    fleet.view.apply_configuration(
        fleetmodel.Configuration(1, {}, 15.0, {SERVICE: figures})
    )
    for number in range(1, warm + cold + 1):
        cold_s = 60.0 if number > warm else 0.0
        found = fleetmodel.Target(
            name=f"i-{number:x}",
            number=number,
            token=number,
            service=SERVICE,
            address=("10.1.0.1", number),
            domain=DOMAINS[number % 2],
            slots=2,
            leaving=False,
            cold_s=cold_s,
            started_ms=1,
        )
        fleet.view.apply_target(found, fleetmodel.Position(1, number))
        if cold_s:
            fleet.cold.add(found.name)
    fleet.warm = {entry for entry in fleet.view.entries if entry not in fleet.cold}


@behave.given("limits of cold targets that are not known: {which}")
def change_settings(context, which):
    """Take the limit away."""
    if which == "without evacuations":
        context.fleet.change_settings(has_evacuations=False)
    else:
        context.fleet.change_settings(cold_rate_factor=None, cold_rate_slack=None)


@behave.when("flows open at all hosts for {seconds:g} s")
def open_flows(context, seconds):
    """Let flows open."""
    context.opened_from = len(context.fleet.openings)
    context.fleet.run(seconds)


@behave.when("flows whose first copy went to the warm target open for {seconds:g} s")
def open_copies(context, seconds):
    """Let copies of opening packets come."""
    context.fleet.run(seconds, tried=tuple(context.fleet.warm))


@behave.when("{seconds:g} s pass without flows")
def pass_time(context, seconds):
    """Let time pass without flows."""
    context.fleet.run(seconds, 0.0)


@behave.when("the evacuation of the first failure domain ends")
def end_evacuation(context):
    """End an evacuation; entries do not show yet that targets are cold."""
    fleet = context.fleet
    fleet.evacuations_ended["d1"] = fleet.now
    fleet.view.candidate_cache.clear()
    fleet.cold = {n for n, e in fleet.view.entries.items() if e.target.domain == "d1"}


@behave.when("the hosts chosen for the cold targets {failure}")
def fail_chosen(context, failure):
    """Stop the chosen hosts, or lose the reports to or from them."""
    fleet = context.fleet
    chosen = fleet.chosen_hosts()
    assert 0 < len(chosen) <= len(fleet.cold), len(chosen)
    changed = {"die": "alive", "hear no others": "hears", "are not heard": "is_heard"}
    for host in chosen:
        setattr(host, changed[failure], False)


@behave.when("the first failure domain splits into {parts:d} parts")
def split_domain(context, parts, dead=0):
    """Cut the hosts of a domain off from each other; its cold targets are checked."""
    fleet = context.fleet
    near = [host for host in fleet.hosts.values() if host.domain == "d1"]
    for number, host in enumerate(near):
        host.part, host.alive = 1 + number % parts, number >= dead
    fleet.cold = {n for n in fleet.cold if fleet.view.entries[n].target.domain == "d1"}


@behave.when("{count:d} hosts of the first failure domain die")
def kill_many(context, count):
    """Stop most hosts of a domain."""
    split_domain(context, 1, count)


@behave.when("the failure domains are cut off from each other")
def separate_domains(context):
    """Lose all reports between the domains."""
    for host in context.fleet.hosts.values():
        host.part = host.domain


@behave.when("the warm targets become suspect")
def suspect_warm(context):
    """Let the warm targets fail."""
    fleet = context.fleet
    for host in fleet.hosts.values():
        for name in fleet.warm:
            host.suspicions.record_failure(name, None, "test", fleet.now, fleet.now)


@behave.when("flows open for {seconds:g} s at hosts with and without the limiter")
def open_twice(context, seconds):
    """Open the same flows at the same hosts, without the limiter in the second run."""
    fleet = context.fleet
    hosts = list(fleet.hosts.values())
    context.choices = []
    for with_limiter in (True, False):
        chosen = []
        for number in range(round(seconds * 700)):
            host = hosts[number % len(hosts)]
            host.chooser.rng = random.Random(number)
            host.chooser.limiter = host.limiter if with_limiter else None
            chosen.append(host.chooser.choose(SERVICE, (), fleet.now)[0].target.name)
        context.choices.append(chosen)


@behave.when("{witness} finds the first target unreachable and it replies again")
def lose_target(context, witness):
    """Let a target be unreachable for this host, or by a report of another one."""
    fleet = context.fleet
    for host in fleet.hosts.values():
        if witness == "the host":
            host.suspicions.record_failure("i-1", b"f", "test", fleet.now, fleet.now)
            host.suspicions.mark_unreachable("i-1", "test", fleet.now)
        else:
            host.suspicions.record_peer_failure("i-1", True, fleet.now)
    fleet.run(0.3, 0.0)
    for host in fleet.hosts.values():
        host.suspicions.record_reply("i-1", "d1", fleet.now)


@behave.when("the entry of the first target expires")
def expire_entry(context):
    """Remove the entry from the view that all hosts share."""
    view = context.fleet.view
    assert view.remove_target("i-1", view.entries["i-1"].position)


def cold_names(context):
    """Return the cold targets that the hosts know, which are the same for all."""
    fleet = context.fleet
    fleet.chosen_hosts()
    found = {
        host.limiter.cold_names.get(SERVICE, frozenset())
        for host in fleet.hosts.values()
    }
    assert len(found) == 1, found
    return set(found.pop())


@behave.then("{which} target is cold")
def check_cold(context, which):
    """Check which targets count as cold at all hosts."""
    context.fleet.chosen_hosts()
    expected = {"i-1"} if which == "the first" else set()
    for host in context.fleet.hosts.values():
        assert host.limiter.cold_names.get(SERVICE, set()) == expected


@behave.then("no cold target gets more than {limit:d} opening packets in a second")
@behave.then(
    "no target of that domain gets more than {limit:d} opening packets in a second"
)
def check_limit(context, limit):
    """Check each window of a second that begins with an opening packet."""
    fleet = context.fleet
    assert fleet.cold
    for name in fleet.cold:
        times = sorted(at for at, target, _ in fleet.openings if target == name)
        for index, at in enumerate(times):
            found = sum(at <= other < at + 1.0 for other in times[index:])
            assert found <= limit, (name, at, found)


@behave.then("cold targets get at least {share:g} of their limit")
def check_use(context, share):
    """Check that the limit is not kept by leaving cold targets out."""
    fleet = context.fleet
    found = fleet.openings[context.opened_from :]
    seconds = found[-1][2] - found[0][2]
    used = sum(name in fleet.cold for _, name, _ in found)
    limit = 11 * seconds * len(fleet.cold)
    assert used >= share * limit, (used, limit)


@behave.then("in the last {seconds:g} s cold targets get {amount} opening packets")
def check_late_use(context, seconds, amount):
    """Check whether cold targets are used after a failure."""
    fleet = context.fleet
    late = fleet.now - seconds
    used = {name for at, name, _ in fleet.openings if at > late} & fleet.cold
    assert used == (fleet.cold if amount == "some" else set()), used


@behave.then("{state} targets get no flow")
def check_unused(context, state):
    """Check the flows that opened last."""
    fleet = context.fleet
    avoided = fleet.cold if state == "cold" else fleet.warm
    found = fleet.openings[context.opened_from :]
    assert not any(name in avoided for _, name, _ in found)


@behave.then("no flow is refused for want of warm targets")
def check_no_refusal(context):
    """Check that each flow has a target."""
    assert all(name is not None for _, name, _ in context.fleet.openings)


@behave.then("some flows are refused for want of warm targets")
def check_refusals(context):
    """Check that refusals happen and are counted."""
    refused = sum(name is None for _, name, _ in context.fleet.openings)
    counted = sum(
        host.counts.total("cold_refusals_total")
        for host in context.fleet.hosts.values()
    )
    assert refused == counted > 0, (refused, counted)


@behave.then("both choose the same targets")
def check_same(context):
    """Compare the choices."""
    assert context.choices[0] == context.choices[1]


@behave.given("a cold rate of {rate}, a factor of {factor}, and a slack of {slack}")
def make_figures(context, rate, factor, slack):
    """Set up figures of which some are missing or unreadable."""
    behave.use_fixture(own_clock, context)
    numbers = [
        None if text == "none" else float(text) for text in (rate, factor, slack)
    ]
    context.fleet = Fleet(context, 1, 0.0)
    context.fleet.change_settings(
        cold_rate_factor=numbers[1], cold_rate_slack=numbers[2]
    )
    context.figures = fleetmodel.Service(SERVICE, cold_rate_per_s=numbers[0])


@behave.then("the limit of cold targets is {limit}")
def check_figures(context, limit):
    """Check the limit that follows."""
    settings = next(iter(context.fleet.hosts.values())).peers.settings
    found = coldtargets.limit_of(context.figures, settings)
    text = "none"
    if found is not None:
        state = "enforced" if found.enforced else "not enforced"
        text = f"{found.per_window:g}, {state}"
    assert text == limit, text
