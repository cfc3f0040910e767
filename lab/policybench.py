"""Load policies against their baselines: paired runs with the same seed.

Homes, queues, admission, placement, and spill are the real ones; targets run in
this process under a virtual clock, so that each figure repeats exactly.
"""

import collections
import collections.abc
import dataclasses
import math
import random
import statistics
import time

import anyio

from basilgate import wire
from lab import policyrig

MEDIAN_S = 0.04
SIGMA = 0.5
MEAN_S = MEDIAN_S * math.exp(SIGMA**2 / 2)
DEADLINE_S = 0.5
LONG_DEADLINE_S = 30.0
FLOWS = 140
WARM_UP_S = 5.0
CREST_END_S = 19.0
CREST_RUN_S = 30.0

NEW = policyrig.Plan()
BASELINE = policyrig.Plan(
    placement="random", queueing="fifo", admission="fixed", spill="none"
)

Generator = collections.abc.Callable[
    [policyrig.Rig, random.Random], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class Row:
    """One line of the table; `met` is None for a figure without a goal."""

    experiment: str
    measure: str
    variant: str
    value: str
    goal: str = ""
    met: bool | None = None


def short_work(rng: random.Random) -> float:
    """Return the time in seconds that a short request takes."""
    return rng.lognormvariate(math.log(MEDIAN_S), SIGMA)


def quantile(values: collections.abc.Sequence[float], share: float) -> float:
    """Return a quantile by rank, infinite without values."""
    if not values:
        return math.inf
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def rate_for(rig: policyrig.Rig, load: float) -> float:
    """Return the requests per second that use a share of the capacity."""
    return load * rig.slot_count / MEAN_S


def run(plan: policyrig.Plan, seed: int, generate: Generator) -> policyrig.Rig:
    """Run one load on one plan and return the rig with its results."""

    async def main() -> policyrig.Rig:
        rig = policyrig.Rig(plan, seed)
        async with rig.running():
            await generate(rig, random.Random(seed))
        return rig

    return policyrig.run(main)


def open_flows(rig: policyrig.Rig, count: int, domain: str = "a") -> list[int]:
    """Open flows and return their ids."""
    start = len(rig.tokens) + len(rig.refused_opens) * 1_000_000 + 1
    return [flow for flow in range(start, start + count) if rig.open(flow, domain)]


async def until_ended(rig: policyrig.Rig, limit_s: float) -> None:
    """Wait for the outcomes of all requests, at most `limit_s`."""
    with anyio.move_on_after(limit_s):
        while len(rig.ended) < len(rig.sent):
            await anyio.sleep(0.1)


# Short work past stragglers.


def straggler_load(
    stragglers: bool, declared: bool, seconds: float, load: float = 0.4
) -> Generator:
    """Return a load of short requests, with one straggler in a hundred if wanted."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        flows = open_flows(rig, FLOWS)
        rate = rate_for(rig, load)
        while rig.now() < seconds:
            await anyio.sleep(rng.expovariate(rate))
            flow = rng.choice(flows)
            work_s = short_work(rng)
            idempotent = rng.random() < 0.7
            is_straggler = rng.random() < 0.01
            long_s = MEDIAN_S * rng.uniform(20, 100)
            warm = rig.now() > WARM_UP_S
            tag = ("idempotent" if idempotent else "once") if warm else "warm-up"
            short = wire.WorkClass.SHORT if declared else wire.WorkClass.UNDECLARED
            rig.request(flow, work_s, 1.0, idempotent, short, tag=tag)
            if is_straggler and stragglers:
                long = wire.WorkClass.LONG if declared else wire.WorkClass.UNDECLARED
                rig.request(
                    flow, long_s, LONG_DEADLINE_S, True, long, size=900, tag="long"
                )
        await until_ended(rig, 40.0)

    return generate


def short_latencies(rig: policyrig.Rig, tags: tuple[str, ...]) -> list[float]:
    """Return latencies of short requests; a failed one counts as its deadline."""
    return [
        ended.latency_s if ended.kind is wire.Kind.ANSWER else 1.0
        for ended in rig.ended.values()
        if ended.tag in tags
    ]


def measure_stragglers(seed: int, seconds: float) -> list[Row]:
    """Compare short requests with and without stragglers."""
    rows = []
    both = ("idempotent", "once")
    for name, plan, declared in (
        ("new, declared", NEW, True),
        ("new, learned", NEW, False),
        ("new, no spill", dataclasses.replace(NEW, spill="none"), True),
        ("baseline", BASELINE, True),
    ):
        calm = run(plan, seed, straggler_load(False, declared, seconds))
        mixed = run(plan, seed, straggler_load(True, declared, seconds))
        for label, tags in (("", both), (" run-once", ("once",))):
            before, after = short_latencies(calm, tags), short_latencies(mixed, tags)
            figures = " / ".join(
                f"{1000 * quantile(before, q):.0f} -> {1000 * quantile(after, q):.0f}"
                for q in (0.5, 0.99, 0.999)
            )
            rows.append(
                Row("stragglers", f"p50 / p99 / p99.9 short{label}, ms", name, figures)
            )
            ratio = quantile(after, 0.99) / quantile(before, 0.99)
            rows.append(
                Row(
                    "stragglers",
                    f"p99 with / without, short{label}",
                    name,
                    f"{ratio:.2f}",
                    "<= 1.2",
                    ratio <= 1.2,
                )
            )
        rows += truth_rows("stragglers", name, mixed)
        passed = f"{mixed.passed} of {len(mixed.sent)}"
        rows.append(Row("stragglers", "requests passed on", name, passed))
        done = [e for e in mixed.ended.values() if e.tag == "long"]
        answered = sum(e.kind is wire.Kind.ANSWER for e in done)
        rows.append(
            Row("stragglers", "long answered", name, f"{answered} of {len(done)}")
        )
    return rows


def truth_rows(experiment: str, name: str, rig: policyrig.Rig) -> list[Row]:
    """Return the counts that must be zero in every run."""
    untrue, over = rig.untrue_refusals(), rig.oversubscribed()
    return [
        Row(experiment, "untrue refusals", name, str(untrue), "0", untrue == 0),
        Row(experiment, "targets oversubscribed", name, str(over), "0", over == 0),
    ]


# Goodput at and above capacity.


def steady_load(load: float, seconds: float, idempotent: float = 0.7) -> Generator:
    """Return a steady load of short requests."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        flows = open_flows(rig, FLOWS)
        rate = rate_for(rig, load)
        while rig.now() < seconds:
            await anyio.sleep(rng.expovariate(rate))
            warm = rig.now() > WARM_UP_S
            rig.request(
                rng.choice(flows),
                short_work(rng),
                DEADLINE_S,
                rng.random() < idempotent,
                tag="measured" if warm else "",
            )
        await until_ended(rig, 5.0)

    return generate


def goodput(rig: policyrig.Rig, seconds: float) -> float:
    """Return answers within their deadline, relative to the capacity."""
    good = sum(
        ended.tag == "measured"
        and ended.kind is wire.Kind.ANSWER
        and ended.latency_s <= DEADLINE_S
        for ended in rig.ended.values()
    )
    return good / (seconds - WARM_UP_S) / rate_for(rig, 1.0)


def measure_goodput(seed: int, seconds: float) -> list[Row]:
    """Compare goodput below and above the capacity."""
    rows = []
    for load in (0.5, 0.9, 1.2, 2.0, 3.0):
        for name, plan in (
            ("new", NEW),
            ("deadline", dataclasses.replace(NEW, admission="deadline")),
            ("baseline", BASELINE),
        ):
            rig = run(plan, seed, steady_load(load, seconds))
            value = goodput(rig, seconds)
            goal = 0.95 * min(load, 1.0)
            rows.append(
                Row(
                    "goodput",
                    f"share of capacity at {load} offered",
                    name,
                    f"{value:.3f}",
                    f">= {goal:.2f}",
                    value >= goal,
                )
            )
            rows += [row for row in truth_rows("goodput", name, rig) if not row.met]
    return rows


# Imbalance across targets.


def uneven_load(seconds: float, idempotent: float) -> Generator:
    """Return a load at 0.9 of capacity from flows that differ in activity."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        flows: list[int] = []
        weights: list[float] = []
        rate = rate_for(rig, 0.9)
        opened_until = 0.0
        while rig.now() < seconds:
            # Flows come over the first seconds; one in ten is ten times as active.
            while len(flows) < FLOWS and rig.now() >= opened_until:
                opened_until += WARM_UP_S / FLOWS
                flows += open_flows(rig, 1)
                weights.append(10.0 if rng.random() < 0.1 else 1.0)
            await anyio.sleep(rng.expovariate(rate * len(flows) / FLOWS))
            rig.request(
                rng.choices(flows, weights)[0],
                short_work(rng),
                DEADLINE_S,
                rng.random() < idempotent,
            )
        await until_ended(rig, 5.0)

    return generate


def imbalance(rig: policyrig.Rig) -> float:
    """Return the largest over the mean busy time of the targets."""
    busy = [target.busy_s for target in rig.targets.values()]
    return max(busy) / statistics.mean(busy)


def measure_imbalance(seed: int, seconds: float) -> list[Row]:
    """Compare the placement policies, with and without spill."""
    rows = []
    policies = (
        "exact",
        "two_choices_in_flight",
        "two_choices_reported",
        "least_connections",
        "round_robin",
        "random",
    )
    for spilling in ("load_transfer", "none"):
        for policy in policies:
            plan = dataclasses.replace(NEW, placement=policy, spill=spilling)
            rig = run(plan, seed, uneven_load(seconds, 0.7))
            value = imbalance(rig)
            answered = sum(e.kind is wire.Kind.ANSWER for e in rig.ended.values())
            rows.append(
                Row(
                    "imbalance",
                    f"largest / mean at 0.9, spill {spilling}",
                    policy,
                    f"{value:.3f} ({answered / len(rig.sent):.3f} answered)",
                    "< 1.1",
                    value < 1.1,
                )
            )
    return rows


def measure_herding(seed: int) -> list[Row]:
    """Count the flows of a target that always reports that it is idle.

    The others report the truth, every 3 s. All homes are at one host, because
    heartbeats do not carry what targets report.
    """
    rows = []
    for policy in ("exact", "two_choices_reported", "two_choices_in_flight", "random"):

        async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
            flows: list[int] = []
            report_at = 0.0
            while rig.now() < 20:
                if rig.now() >= report_at:
                    report_at += 3.0
                    for number, owner in rig.owners.items():
                        busy = 0 if number == 1 else len(owner.running)
                        owner.monitor.on_load(busy, len(owner.running))
                if len(flows) < 10 * rig.now() + 1:
                    flows += open_flows(rig, 1)
                await anyio.sleep(rng.expovariate(rate_for(rig, 0.7)))
                rig.request(rng.choice(flows), short_work(rng), DEADLINE_S)

        plan = dataclasses.replace(NEW, placement=policy, hosts=1)
        rig = run(plan, seed, generate)
        placed = collections.Counter(rig.target_of(flow) for flow in rig.tokens)
        mean = len(rig.tokens) / len(rig.targets)
        rows.append(
            Row(
                "lying report",
                "flows at the liar / mean; largest / mean",
                policy,
                f"{placed[1] / mean:.2f}; {max(placed.values()) / mean:.2f}",
            )
        )
    return rows


# The crest of a swing.


def crest_load() -> Generator:
    """Return a load that rises tenfold within 2 s, stays 5 s, and falls back."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        flows = open_flows(rig, FLOWS)
        base = rate_for(rig, 0.3)
        while (now := rig.now()) < CREST_RUN_S:
            factor = 1.0
            if 10 <= now < 12:
                factor = 1 + 9 * (now - 10) / 2
            elif 12 <= now < 17:
                factor = 10.0
            elif 17 <= now < CREST_END_S:
                factor = 10 - 9 * (now - 17) / 2
            await anyio.sleep(rng.expovariate(base * factor))
            phase = "before" if now < 10 else "crest" if now < CREST_END_S else "after"
            rig.request(
                rng.choice(flows),
                short_work(rng),
                DEADLINE_S,
                rng.random() < 0.7,
                tag=phase,
            )
        await until_ended(rig, 5.0)

    return generate


def recovery_s(rig: policyrig.Rig) -> float:
    """Return the time from the crest's end until latency is normal for good.

    Normal is a 99th percentile within 1.5 times that before the crest. A window
    of 2 s holds about 280 requests; in shorter ones a single long service time
    would decide. Failed requests count as their deadline.
    """

    def cost(ended: policyrig.Ended) -> float:
        return ended.latency_s if ended.kind is wire.Kind.ANSWER else DEADLINE_S

    ended = list(rig.ended.values())
    normal = quantile([cost(e) for e in ended if e.tag == "before"], 0.99)
    after = [(e.sent_at - CREST_END_S, cost(e)) for e in ended if e.tag == "after"]
    starts = [
        0.5 * number for number in range(int(2 * (CREST_RUN_S - CREST_END_S)) - 3)
    ]
    late = [
        start
        for start in starts
        if quantile([c for at, c in after if start <= at < start + 2], 0.99)
        > 1.5 * normal
    ]
    return max(late) + 0.5 if late else 0.0


def measure_crest(seed: int) -> list[Row]:
    """Compare the recovery after a crest, and what was done at it."""
    rows = []
    for name, plan in (("new", NEW), ("baseline", BASELINE)):
        rig = run(plan, seed, crest_load())
        value = recovery_s(rig)
        rows.append(
            Row(
                "crest",
                "recovery after the end, s",
                name,
                f"{value:.1f}",
                "<= 5",
                value <= 5,
            )
        )
        crest = [e for e in rig.ended.values() if e.tag == "crest"]
        counted = collections.Counter(e.kind.name.lower() for e in crest)
        shares = ", ".join(f"{k} {n}" for k, n in sorted(counted.items()))
        rows.append(Row("crest", "outcomes at the crest", name, shares))
        refusals = [e.latency_s for e in crest if e.kind is wire.Kind.REFUSED]
        if refusals:
            median = 1000 * statistics.median(refusals)
            rows.append(
                Row("crest", "median time to refuse, ms", name, f"{median:.0f}")
            )
        rows += truth_rows("crest", name, rig)
    return rows


def measure_fairness(seed: int) -> list[Row]:
    """Compare what nine polite callers get beside one that sends ten times as much."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        flows = open_flows(rig, FLOWS)
        rate = rate_for(rig, 2.0)
        while rig.now() < 10:
            await anyio.sleep(rng.expovariate(rate))
            number = rng.choices(range(10), [10.0] + [1.0] * 9)[0]
            rig.request(
                rng.choice(flows),
                short_work(rng),
                DEADLINE_S,
                caller=f"10.0.0.{number}",
                tag="greedy" if number == 0 else "polite",
            )
        await until_ended(rig, 5.0)

    rows = []
    for name, plan in (("new", NEW), ("baseline", BASELINE)):
        rig = run(plan, seed, generate)
        shares = []
        for tag in ("polite", "greedy"):
            own = [e for e in rig.ended.values() if e.tag == tag]
            answered = sum(e.kind is wire.Kind.ANSWER for e in own)
            shares.append(f"{tag} {answered / len(own):.2f}")
        rows.append(
            Row("fairness", "share answered at 2.0 offered", name, ", ".join(shares))
        )
    return rows


# Spill between failure domains.


def measure_spill(seed: int, seconds: float) -> list[Row]:
    """Compare the spill policies with one of three domains offered 1.6."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        domains = {"a": 1.6, "b": 0.5, "c": 0.5}
        flows: dict[str, list[int]] = {name: [] for name in domains}
        rate = sum(domains.values()) * rate_for(rig, 1.0) / 3
        names, weights = list(domains), list(domains.values())
        opened_at = 0.0
        while rig.now() < seconds:
            if rig.now() >= opened_at and opened_at < seconds / 2:
                # Flows keep coming, so that opens can go elsewhere too.
                opened_at += seconds / 60
                for name in names:
                    flows[name] += open_flows(rig, 3, name)
            await anyio.sleep(rng.expovariate(rate))
            name = rng.choices(names, weights)[0]
            rig.request(
                rng.choice(flows[name]),
                short_work(rng),
                DEADLINE_S,
                rng.random() < 0.7,
            )
        await until_ended(rig, 5.0)

    rows = []
    for policy in ("none", "one_hop", "load_transfer"):
        plan = dataclasses.replace(
            NEW, spill=policy, domains={"a": 3, "b": 3, "c": 3}, hosts=3
        )
        rig = run(plan, seed, generate)
        counted = collections.Counter(e.kind for e in rig.ended.values())
        late = sum(
            e.kind is wire.Kind.ANSWER and e.latency_s > DEADLINE_S
            for e in rig.ended.values()
        )
        bad = counted[wire.Kind.UNKNOWN] + late + counted[wire.Kind.REFUSED]
        rows.append(
            Row(
                "spill",
                "broken / late / refused of all; passed on; control messages",
                policy,
                f"{counted[wire.Kind.UNKNOWN]} / {late} / "
                f"{counted[wire.Kind.REFUSED]} of {len(rig.sent)} "
                f"({bad / len(rig.sent):.3f}); {rig.passed}; {rig.control_messages}",
            )
        )
        rows += truth_rows("spill", policy, rig)
    return rows


# Retries in an outage.


def measure_retries(seed: int) -> list[Row]:
    """Compare the starts per request while all targets crash again and again."""

    async def generate(rig: policyrig.Rig, rng: random.Random) -> None:
        flows = open_flows(rig, FLOWS)
        rate = rate_for(rig, 0.5)
        crash_at = 3.0
        while rig.now() < 15:
            await anyio.sleep(rng.expovariate(rate))
            if rig.now() >= crash_at:
                crash_at += 0.05
                rig.targets[rng.randint(1, 7)].break_connections()
            rig.request(rng.choice(flows), short_work(rng), DEADLINE_S)
        await until_ended(rig, 5.0)

    rows: list[Row] = []
    for name, share in (("budget 0.1", 0.1), ("no retries", 0.0), ("no budget", 100.0)):
        rig = run(dataclasses.replace(NEW, retry_share=share), seed, generate)
        starts = rig.starts().total() / len(rig.sent)
        answered = sum(e.kind is wire.Kind.ANSWER for e in rig.ended.values())
        met = starts <= 1.1 if share <= 0.1 else None
        rows.append(
            Row(
                "retries",
                "starts per request (answered)",
                name,
                f"{starts:.3f} ({answered / len(rig.sent):.3f})",
                "<= 1.1" if met is not None else "",
                met,
            )
        )
        rows += [row for row in truth_rows("retries", name, rig) if not row.met]
    return rows


def measure_cost(seed: int, seconds: float) -> list[Row]:
    """Compare the processor time for each request, rig included."""
    rows = []
    for load in (0.5, 2.0):
        spent = {}
        for name, plan in (("new", NEW), ("baseline", BASELINE)):
            start = time.process_time()
            rig = run(plan, seed, steady_load(load, seconds))
            spent[name] = (time.process_time() - start) / len(rig.sent)
        ratio = spent["new"] / spent["baseline"]
        rows.append(
            Row("cost", f"processor time at {load}", "new / baseline", f"{ratio:.2f}")
        )
    return rows


HEADER = """\
| experiment | measure | variant | figure | goal | met |
|---|---|---|---|---|---|"""
MARKS = {None: "", True: "yes", False: "no"}


def line(row: Row) -> str:
    """Return a row of the Markdown table."""
    cells = (row.experiment, row.measure, row.variant, row.value, row.goal)
    return f"| {' | '.join(cells)} | {MARKS[row.met]} |"


def measure(seed: int, seconds: float) -> collections.abc.Iterator[Row]:
    """Run all experiments; `seconds` of virtual time for each load."""
    yield from measure_stragglers(seed, 2 * seconds)
    yield from measure_goodput(seed, seconds)
    yield from measure_imbalance(seed, seconds)
    yield from measure_herding(seed)
    yield from measure_crest(seed)
    yield from measure_fairness(seed)
    yield from measure_spill(seed, seconds)
    yield from measure_retries(seed)
    yield from measure_cost(seed, seconds)
