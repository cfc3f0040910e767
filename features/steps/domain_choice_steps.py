"""Steps for the choice of a failure domain, with a model of targets and callers."""

import collections
import heapq
import itertools
import os
import random
import statistics
import struct
import subprocess
import sys

import behave
from fleet_forwarding_steps import (
    ACK,
    FAR,
    NEAR,
    OPEN,
    RESET,
    Rig,
    at_revision,
    configuration,
    is_forwarded,
    packet,
    route,
    steady_clock,
)
from fleet_forwarding_steps import target as make_target

from basilgate import fleetmodel, peertable
from basilgate.policy import domainchoice

SEEDS = (1, 2, 3)
HOSTS, TARGETS, SLOTS, QUEUE, SERVICE_S = 6, 4, 2, 8, 0.016
REQUESTS, PAUSE_S = 3, 0.1  # Of one flow, and between them.
NEAR_WAY_S, LINK_WAY_S = 0.0003, 0.001
# Chance that a report of a host arrives in an interval: every 0.7 s or 3 s.
HEARD = {True: 0.15 / 0.7, False: 0.15 / 3}


class Host(Rig):
    """A forwarder with a table of peers."""

    def __init__(self, context, domain, name, price_s):
        super().__init__(context)
        self.lines = []
        self.log.write = lambda event, **fields: self.lines.append((event, fields))
        self.ip = f"10.0.0.{name}"
        address = (self.ip, 1)
        settings = fleetmodel.HostSettings(
            self.ip, domain, self.ip, address, address, address, (1, 1), (), 6.0, 60.0
        )
        self.peers.reset(settings, self.log, self.counts, 0)
        self.chooser.domain = domain
        if price_s is not None:
            self.chooser.domain_choice = domainchoice.DomainChoice(
                domain, price_s, self.flows, self.log, self.counts
            )


class Target:
    """A target with slots and a queue."""

    def __init__(self, number, domain):
        self.entry = make_target(number, domain)
        self.entry = fleetmodel.msgspec.structs.replace(self.entry, slots=SLOTS)
        self.domain, self.factor, self.alive = domain, 1.0, True
        self.running, self.queue = 0, collections.deque()


class Site:
    """Hosts, targets, and callers of two failure domains, with a clock of their own."""

    def __init__(self, context, price_s, seed):
        context.rng = self.rng = random.Random(seed)
        self.now, self.order, self.events = 1_000.0, itertools.count(), []
        self.loss, self.cut = 0.0, False
        self.load = {NEAR: 0.0, FAR: 0.0}
        self.ports = itertools.count(1)
        # Requests: callers' domain, start, and time in seconds, None if it failed.
        self.answers, self.placed = [], []
        self.hosts = {NEAR: [], FAR: []}
        context.fleet = self
        self.targets = {
            n: Target(n, NEAR if n <= TARGETS else FAR)
            for n in range(1, 2 * TARGETS + 1)
        }
        for name in range(2 * HOSTS):
            domain = NEAR if name < HOSTS else FAR
            host = Host(context, domain, name, price_s)
            host.view.apply_configuration(configuration(5, route()))
            for found in self.targets.values():
                host.view.apply_target(found.entry, at_revision(10))
            host.view.targets_listed = host.view.overrides_listed = True
            self.hosts[domain].append(host)
        self.all_hosts = self.hosts[NEAR] + self.hosts[FAR]
        self.at(0.0, self.tick)
        for domain in (NEAR, FAR):
            self.at(0.0, self.arrive, domain)

    def at(self, delay_s, call, *values):
        """Do something later."""
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.order), call, values)
        )

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.events[0][0] <= end:
            self.now, _, call, values = heapq.heappop(self.events)
            call(*values)
        self.now = end

    def tick(self):
        """Exchange reports as far as they arrive."""
        for host in self.all_hosts:
            loads = {
                found.entry.token: (
                    host.flows.open_flows[found.entry.name],
                    host.flows.running(found.entry.name, self.now),
                )
                for found in self.targets.values()
                if host.flows.open_flows[found.entry.name]
            }
            domain = host.chooser.domain
            report = peertable.Report(
                host.ip, domain, host.ip, 0, 5, 10, True, loads, [], [], []
            )
            for peer in self.all_hosts:
                near = peer.chooser.domain == domain
                # The first reports introduce all hosts.
                chance = 1.0 if self.now < 1_000.1 else HEARD[near]
                linked = peer is not host and (near or not self.cut)
                if linked and self.rng.random() < chance:
                    peer.peers.record_report(report, self.now)
        for host in self.all_hosts:
            host.peers.refresh(self.now)
            # These few hosts stand for many, of which some are heard in each interval.
            host.peers.reachable_domains = {NEAR: True, FAR: True}
            if self.cut:
                other = FAR if host.chooser.domain == NEAR else NEAR
                host.peers.reachable_domains[other] = False
            host.forwarder.check_openings(self.now)
            host.flows.sweep(self.now, 15.0)
        self.at(0.15, self.tick)

    def arrive(self, domain):
        """Open a flow of a domain's callers, and wait for the next one."""
        rate = self.load[domain] * TARGETS * SLOTS / SERVICE_S / REQUESTS
        self.at(self.rng.expovariate(rate) if rate else 0.1, self.arrive, domain)
        if rate:
            self.open(domain, self.now, 0)

    def open(self, domain, since, attempt):
        """Send the first opening packet of a flow."""
        host = self.rng.choice(self.hosts[domain])
        self.send_opening(host, next(self.ports), since, attempt, 0)

    def send_opening(self, host, port, since, attempt, copy):
        """Send a copy of an opening packet; it may be lost."""
        domain = host.chooser.domain
        if copy == 3:
            self.answers.append((domain, since, None))
            return
        (sent,) = host.handle(packet(port, OPEN, acknowledged=copy))
        assert is_forwarded(sent)
        found = self.targets[struct.unpack(">Q", sent[0][:8])[0]]
        if not copy:
            self.placed.append((self.now, domain, found.domain))
        far = found.domain != domain
        if not found.alive or (far and (self.cut or self.rng.random() < self.loss)):
            delay_s = (0.2, 0.4, 0.8)[copy]
            self.at(delay_s, self.send_opening, host, port, since, attempt, copy + 1)
            return
        flow = (host, port, found, attempt, self.way(host, found))
        self.at(flow[4], self.ask, flow, since, 1)

    def way(self, host, found):
        """Return the time to a target and back to the caller."""
        far = host.chooser.domain != found.domain
        return 3 * NEAR_WAY_S + (2 * LINK_WAY_S if far else 0.0)

    def ask(self, flow, since, number):
        """Send a request; lost ones are repeated."""
        host, port, found, _, way_s = flow
        position = 1 + 1_000 * (number - 1)
        ask = packet(port, ACK, 50 + number, position, found.entry.token, b"GET")
        if not is_forwarded((host.handle(ask) or [(b"", ("", 8172))])[0]):
            self.answers.append((host.chooser.domain, since, None))
            return
        delay_s = way_s
        while host.chooser.domain != found.domain and self.rng.random() < self.loss:
            delay_s += 0.2
        self.at(delay_s, self.queue, flow, since, number)

    def queue(self, flow, since, number):
        """Run or queue a request at its target, or refuse it."""
        host, _, found, attempt, _ = flow
        cut = self.cut and host.chooser.domain != found.domain
        if not found.alive or cut or len(found.queue) >= QUEUE:
            if attempt == 2:
                self.answers.append((host.chooser.domain, since, None))
            else:
                wait_s = 0.0 if found.alive and not cut else 0.6
                self.at(wait_s, self.open, host.chooser.domain, since, attempt + 1)
        elif found.running < SLOTS:
            self.start(flow, since, number)
        else:
            found.queue.append((flow, since, number))

    def start(self, flow, since, number):
        """Run a request."""
        flow[2].running += 1
        time_s = self.rng.gammavariate(4, SERVICE_S / 4) * flow[2].factor
        self.at(time_s, self.end, flow, since, number)

    def end(self, flow, since, number):
        """Answer a request, and run the next one of the target's queue."""
        host, port, found, _, _ = flow
        found.running -= 1
        if found.queue:
            self.start(*found.queue.popleft())
        self.answers.append((host.chooser.domain, since, self.now - since))
        flags = ACK | RESET if number == REQUESTS else ACK
        position = 1 + 1_000 * number
        host.handle(packet(port, flags, 51 + number, position, found.entry.token))
        if number < REQUESTS:
            self.at(PAUSE_S, self.ask, flow, self.now + PAUSE_S, number + 1)

    def summary(self, since):
        """Return mean time in ms, failed share, and share that leaves, of near."""
        found = [a for d, at, a in self.answers if at >= since and d == NEAR]
        times = [time_s for time_s in found if time_s is not None]
        left = [
            there != NEAR for at, d, there in self.placed if at >= since and d == NEAR
        ]
        return (
            1e3 * statistics.fmean(times),
            1 - len(times) / len(found),
            statistics.fmean(left),
        )


def sites(context):
    """Give the sites with the choice, then those with the constant."""
    for site in context.with_choice + context.constant:
        context.fleet = site
        yield site


@behave.given("two failure domains, and a price of {price:g} ms for leaving")
def make_sites(context, price):
    """Set up the same site with the choice and with the constant."""
    behave.use_fixture(steady_clock, context)
    # Means of one seed differ by 6 % from each other, so several are run.
    context.with_choice = [Site(context, price / 1e3, seed) for seed in SEEDS]
    context.constant = [Site(context, None, seed) for seed in SEEDS]
    context.since = 1_000.0


@behave.when(
    "callers send {near:d} % and {far:d} % of what targets run, for {time:g} s"
)
def send(context, near, far, time):
    """Send load for some time; the last step's time is judged."""
    for site in sites(context):
        context.since = site.now
        site.load = {NEAR: near / 100, FAR: far / 100}
        site.run(time)


@behave.when("{what} of the near targets {change}")
def change_targets(context, what, change):
    """Let targets vanish, slow down, or return."""
    count = {"a quarter": TARGETS // 4, "all": TARGETS}[what]
    for site in sites(context):
        for number in range(1, count + 1):
            found = site.targets[number]
            found.factor = 10.0 if change == "become slow" else 1.0
            found.alive = change != "vanish"
            for host in site.all_hosts:
                leaving = fleetmodel.msgspec.structs.replace(
                    found.entry, leaving=not found.alive
                )
                position = at_revision(int(site.now))
                host.view.apply_target(leaving, position)


@behave.when("the link loses {percent:d} % of packets")
def lose(context, percent):
    """Lose packets between the domains."""
    for site in sites(context):
        site.loss = percent / 100


@behave.when("the link {state}")
def cut_link(context, state):
    """Cut the domains off, or connect them again."""
    for site in sites(context):
        site.cut = state == "is cut"


def summaries(context):
    """Return the means of the summaries with the choice, and with the constant."""
    found = []
    for name in ("with_choice", "constant"):
        each = [site.summary(context.since) for site in getattr(context, name)]
        mean, failed, left = (
            statistics.fmean(part) for part in zip(*each, strict=True)
        )
        found.append((mean, failed, left))
        scenario = context.scenario.name
        print(f"{scenario}: {name} {mean:.1f} ms {failed:.2%} failed {left:.1%} left")
    return found


@behave.then("{least:d} to {most:d} % of the near flows leave")
def check_left(context, least, most):
    """Check the share of the last step."""
    assert least <= 100 * summaries(context)[0][2] <= most


@behave.then("fewer leave than with the constant")
def check_fewer(context):
    """Compare the shares."""
    with_choice, constant = summaries(context)
    assert with_choice[2] < constant[2], (with_choice, constant)


@behave.then("at most {percent:g} % of the near callers' requests fail")
def check_failed(context, percent):
    """Check that the price does not keep flows at full targets."""
    assert 100 * summaries(context)[0][1] <= percent


@behave.then("callers' mean time is at most {percent:d} % of that with the constant")
def check_time(context, percent):
    """Compare mean times of the near callers, and failures."""
    with_choice, constant = summaries(context)
    assert with_choice[0] <= percent / 100 * constant[0], (with_choice, constant)
    assert with_choice[1] <= constant[1] + 0.01, (with_choice, constant)


@behave.then("the share that leaves does not swing")
def check_swings(context):
    """Check the share of the near flows that leaves in each second."""
    for site in context.with_choice:
        by_second = collections.defaultdict(list)
        for at, domain, there in site.placed:
            if at >= context.since and domain == NEAR:
                by_second[int(at - context.since)].append(there != NEAR)
        shares = [statistics.fmean(found) for _, found in sorted(by_second.items())]
        # Less than a tenth of the flows is the noise of single hosts.
        moves = [b - a for a, b in itertools.pairwise(shares) if abs(b - a) > 0.1]
        swings = sum(a * b < 0 for a, b in itertools.pairwise(moves))
        assert swings <= len(shares) / 3, shares


@behave.then("a line says that flows {event}, with the inputs")
def check_line(context, event):
    """Look at the log of all near hosts."""
    name = "domain_left" if event == "leave" else "domain_kept"
    for host in context.with_choice[0].hosts[NEAR]:
        found = [fields for event, fields in host.lines if event == name]
        assert 1 <= len(found) <= 3, found
        assert found[-1].keys() >= {"near_load", "extra_load", "delay_s", "price_s"}


@behave.then("the delay of the link is known to {digits:g} ms, and placements counted")
def check_metrics(context, digits):
    """Check the metrics of a host."""
    text = context.with_choice[0].hosts[NEAR][0].counts.exposition()
    assert 'basilgate_placements_total{service="desk",reach="far"}' in text
    lines = [line for line in text.splitlines() if "domain_delay_seconds{" in line]
    (value,) = [float(line.split()[1]) for line in lines]
    assert abs(value - 2 * LINK_WAY_S) <= digits / 1e3, value


@behave.then('a start with the price "{text}" is refused with its name and status 2')
def check_price(context, text):
    """Start the program with a malformed price."""
    variables = {"BASILGATE_CONFIG": "/nonexistent", domainchoice.PRICE_VARIABLE: text}
    command = [sys.executable, "-m", "basilgate.forwarder"]
    ended = subprocess.run(
        command, env=os.environ | variables, capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 2, ended
    assert domainchoice.PRICE_VARIABLE in ended.stderr, ended
