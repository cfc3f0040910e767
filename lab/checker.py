"""Judges a run from outside: by what callers and targets saw, and by exit statuses.

The lines are those of section 1.2 of docs/design.md.
"""

import collections
import collections.abc
import dataclasses
import datetime
import json
import pathlib
import time
import typing

import anyio
import httpx

from lab import cluster, faults, load

# A home is replaced after detection, LEASE, and the clock skew bound; a write of
# the view and a retransmission come on top.
RECOVERY_S = 12.0
LEAVING_BOUND_S = 3.0
CONFIG_BOUND_S = 3.0
SLOTS = 3
SAMPLE_S = 0.5
TRACE_LINES = 80
NO_NEW_FLOWS = ("drain", "pull")
# Lines whose verdict is a count that does not depend on how fast the machine is.
COUNT_LINES = (
    "flow_broken",
    "wrong_service",
    "wrong_answer",
    "false_not_run",
    "run_twice",
    "unclean_stop",
    "config_reverted",
    "too_many_in_flight",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant; `at` is Unix time, `flow` 0 if none is concerned."""

    line: str
    at: float
    what: str
    flow: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What a balancer said of itself at a moment."""

    at: float
    host: str
    incarnation: int
    revision: int
    digest: int
    epoch: int
    homes: tuple[str, ...] = ()
    member: bool = True


@dataclasses.dataclass(slots=True)
class Evidence:
    """Everything that a run is judged by."""

    seen: load.Seen
    journal: list[dict[str, typing.Any]]
    happened: list[faults.Happened]
    targets: dict[str, cluster.TargetHost]
    samples: list[Sample] = dataclasses.field(default_factory=list)

    def unplanned(self) -> list[faults.Happened]:
        """Return the faults that may harm requests."""
        return [h for h in self.happened if not h.planned and not h.skipped]

    def is_calm(self, since: float, until: float) -> bool:
        """Tell whether no unplanned fault had an effect in a period."""
        return not any(
            h.began_at <= until and since <= (h.ended_at or until) + RECOVERY_S
            for h in self.unplanned()
        )


Check = collections.abc.Callable[[Evidence], collections.abc.Iterator[Violation]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> collections.abc.Callable[[Check], Check]:
    """Return a decorator that registers the check of one line."""

    def add(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return add


def starts(evidence: Evidence) -> collections.abc.Iterator[dict[str, typing.Any]]:
    """Return the journal's starts of requests."""
    return (line for line in evidence.journal if line["event"] == "start")


@check("flow_broken")
def check_flows(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find flows that do not work at the end, or that moved to another target."""
    for request in evidence.seen.requests:
        if request.probe and request.outcome != "answered":
            what = f"last request {request.outcome}:{request.reason}"
            yield Violation("flow_broken", request.sent_at, what, request.flow)
    for line in starts(evidence):
        flow = evidence.seen.flows.get(line["flow"])
        moved = flow and evidence.targets[line["target"]].id != flow.target
        if flow and moved and not line["idempotent"]:
            what = f"request {line['request']} started at {line['target']}"
            yield Violation("flow_broken", line["time"], what, flow.flow)


@check("request_cut")
def check_cut(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find requests of unknown outcome for which no unplanned fault accounts."""
    for request in evidence.seen.requests:
        if request.outcome != "unknown":
            continue
        if evidence.is_calm(request.sent_at, request.ended_at):
            what = f"request {request.request} unknown:{request.reason}"
            yield Violation("request_cut", request.sent_at, what, request.flow)


@check("open_failed")
def check_opens(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find opens that failed for which no unplanned fault accounts."""
    for at, service, reason in evidence.seen.failed_opens:
        if evidence.is_calm(at, at + load.OPEN_LIMIT_S):
            yield Violation("open_failed", at, f"open of service {service}: {reason}")


@check("wrong_service")
def check_services(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find packets that reached a target of another service."""
    for line in evidence.journal:
        flow = evidence.seen.flows.get(line["flow"])
        service = evidence.targets[line["target"]].service.id
        if line["event"] == "wrong_service" or (flow and flow.service != service):
            what = f"{line['event']} of request {line['request']} at {line['target']}"
            yield Violation("wrong_service", line["time"], what, line["flow"])


@check("wrong_answer")
def check_answers(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find answers that are not whole or belong to another request."""
    for request in evidence.seen.requests:
        if not request.whole:
            what = f"answer of request {request.request} is not the own one"
            yield Violation("wrong_answer", request.ended_at, what, request.flow)


@check("false_not_run")
def check_not_run(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find requests that were reported as not run and yet started."""
    started = {(line["flow"], line["request"]) for line in starts(evidence)}
    for request in evidence.seen.requests:
        key = (request.flow, request.request)
        if request.outcome == "not_run" and key in started:
            what = f"request {request.request} started, but not_run:{request.reason}"
            yield Violation("false_not_run", request.ended_at, what, request.flow)


@check("run_twice")
def check_once(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find non-idempotent requests that started more than once."""
    counted: collections.Counter[tuple[int, int]] = collections.Counter()
    for line in starts(evidence):
        if not line["idempotent"]:
            key = (line["flow"], line["request"])
            counted[key] += 1
            if counted[key] == 2:
                what = f"request {line['request']} started again at {line['target']}"
                yield Violation("run_twice", line["time"], what, line["flow"])


@check("leaving_target_used")
def check_leaving(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find new flows at a leaving or pulled target after the bound."""
    for happened in evidence.happened:
        if happened.fault not in NO_NEW_FLOWS or happened.skipped:
            continue
        number = evidence.targets[happened.subject].id
        since = happened.began_at + LEAVING_BOUND_S
        for flow in evidence.seen.flows.values():
            # The lift may take effect from its first attempt on.
            in_force = since < flow.asked_at and flow.opened_at < happened.ended_at
            if flow.target == number and in_force:
                late_s = flow.asked_at - happened.began_at
                change = f"the {happened.fault} of {happened.subject}"
                what = f"new flow {late_s:.2f} s after {change}"
                yield Violation("leaving_target_used", flow.asked_at, what, flow.flow)


@check("unclean_stop")
def check_stops(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find planned stops that did not end with exit status 0."""
    for happened in evidence.happened:
        if happened.exit_status:
            what = f"{happened.subject} ended with status {happened.exit_status}"
            yield Violation("unclean_stop", happened.ended_at, what)


@check("config_reverted")
def check_config(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find balancers that went back to an older revision or view."""
    newest: dict[tuple[str, int], Sample] = {}
    for sample in evidence.samples:
        key = (sample.host, sample.incarnation)
        held = newest.get(key)
        if held and (sample.revision < held.revision or sample.epoch < held.epoch):
            what = f"{sample.host}: {held} before {sample}"
            yield Violation("config_reverted", sample.at, what)
        newest[key] = sample


@check("not_member")
def check_members(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find balancers that are not in their domain's view long after all faults."""
    newest = {sample.host: sample for sample in evidence.samples}
    end = max((sample.at for sample in newest.values()), default=0.0)
    for sample in newest.values():
        running = end - sample.at < 4 * SAMPLE_S
        calm = evidence.is_calm(sample.at - SAMPLE_S, sample.at)
        if running and calm and not sample.member:
            what = f"{sample.host} runs, but is not in the view"
            yield Violation("not_member", sample.at, what)


@check("config_late")
def check_config_time(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find balancers that did not have an override in force within the bound."""
    for happened in evidence.happened:
        due = happened.began_at + CONFIG_BOUND_S
        calm = evidence.is_calm(happened.began_at, due + SAMPLE_S)
        if not happened.revision or not calm:
            continue
        for sample in evidence.samples:
            in_time = due < sample.at < due + 2 * SAMPLE_S
            if in_time and sample.revision < happened.revision:
                what = f"{sample.host} lacks revision {happened.revision}"
                yield Violation("config_late", sample.at, what)


@check("too_many_in_flight")
def check_slots(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Find targets with more requests in flight than slots."""
    for line in starts(evidence):
        if line["busy"] > SLOTS:
            what = f"{line['busy']} in flight at {line['target']}"
            yield Violation("too_many_in_flight", line["time"], what, line["flow"])


def judge(evidence: Evidence) -> list[Violation]:
    """Return all violations in the order of time."""
    found = [v for function in CHECKS.values() for v in function(evidence)]
    return sorted(found, key=lambda violation: violation.at)


async def sample_balancers(
    running: cluster.Cluster, samples: list[Sample], seconds: float = SAMPLE_S
) -> None:
    """Note what the balancers say of themselves until cancelled."""

    async def ask(name: str) -> None:
        try:
            with anyio.move_on_after(1.0):
                status = await running.status(name)
                fields = ("incarnation", "revision", "digest", "epoch", "member")
                values = {field: status[field] for field in fields}
                homes = tuple(status["homes"])
                sample = Sample(time.time(), name, homes=homes, **values)
                samples.append(sample)
        except (httpx.HTTPError, ValueError):
            return

    while True:
        names = [h.name for h in running.hosts.values() if h.process is not None]
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(ask, name)
        await anyio.sleep(seconds)


def trace(evidence: Evidence, violation: Violation, logs: pathlib.Path) -> list[str]:
    """Return what callers, targets, and balancers noted about a violation.

    `logs` is the folder with the balancers' logs.
    """
    lines: list[tuple[float, str]] = []
    for happened in evidence.happened:
        if abs(happened.began_at - violation.at) < 3 * RECOVERY_S:
            lines.append((happened.began_at, f"fault: {dataclasses.asdict(happened)}"))
    flow = evidence.seen.flows.get(violation.flow)
    if flow is not None:
        lines.append((flow.asked_at, f"caller: {dataclasses.asdict(flow)}"))
    near = RECOVERY_S * 2
    for request in evidence.seen.requests:
        if (
            request.flow == violation.flow
            and abs(request.sent_at - violation.at) < near
        ):
            shown = dataclasses.asdict(request)
            lines.append((request.sent_at, f"caller: {json.dumps(shown)}"))
    for line in evidence.journal:
        if line["flow"] == violation.flow and abs(line["time"] - violation.at) < near:
            lines.append((line["time"], f"target: {json.dumps(line)}"))
    lines += balancer_lines(logs, violation, flow, evidence)
    lines.sort(key=lambda pair: pair[0])
    return [f"{at:.3f} {text}" for at, text in lines[-TRACE_LINES:]]


def balancer_lines(
    logs: pathlib.Path,
    violation: Violation,
    flow: load.FlowSeen | None,
    evidence: Evidence,
) -> list[tuple[float, str]]:
    """Return the balancers' log lines about a flow, its target, and the views."""
    names = {t.id: t.name for t in evidence.targets.values()}
    wanted = ["event=view_", "event=peer_dead", "level=error", "invariant"]
    if flow is not None:
        wanted += [f"flow={flow.flow} ", f"target={names[flow.target]} "]
    found = []
    for path in logs.glob("*.log"):
        for line in path.read_text(encoding="utf-8").splitlines():
            at = log_time(line)
            if abs(at - violation.at) < RECOVERY_S and any(w in line for w in wanted):
                found.append((at, f"balancer {path.stem}: {line}"))
    return found


def log_time(line: str) -> float:
    """Return the Unix time of a log line, 0 if it has none."""
    head = line.split(" ", 1)[0].removeprefix("time=")
    try:
        return datetime.datetime.fromisoformat(head).timestamp()
    except ValueError:
        return 0.0
