"""Operators' queries: they change nothing."""

import collections.abc
import dataclasses
import datetime
import typing

import anyio
import httpx
from returns import result

from basilgate import (
    clock,
    effectiveconfig,
    explanations,
    outcomes,
    platformapi,
    sheet,
    storedobjects,
)

HOST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.2
# A wait reads the views again at this interval, since hosts come and go.
VIEWS_INTERVAL_S = 5.0

IN_FORCE = "in_force"
BEHIND = "behind"
NOT_HEARD = "not_heard"

Json = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Session:
    """What commands and queries talk to.

    Attributes
    ----------
    platform : platformapi.PlatformClient
        The platform.
    http : httpx.AsyncClient
        Client for the admin addresses of hosts.
    admins : tuple of str
        Admin addresses to use while the platform is down.
    """

    platform: platformapi.PlatformClient
    http: httpx.AsyncClient
    admins: tuple[str, ...] = ()

    async def ask(self, admin: str, path: str, **parameters: str) -> Json | None:
        """Return a host's answer, None if it gave none."""
        try:
            with anyio.fail_after(HOST_TIMEOUT_S):
                response = await self.http.get(
                    f"http://{admin}/{path}", params=parameters
                )
            answer = response.json()
        except (httpx.HTTPError, TimeoutError, ValueError):
            return None
        usable = response.status_code == 200 and isinstance(answer, dict)
        return answer if usable else None


@dataclasses.dataclass(slots=True)
class Host:
    """A host of the views, and what is known of its configuration."""

    name: str
    domain: str
    admin: str
    state: str = NOT_HEARD
    revision: int = 0
    digest: int = 0
    source: str = ""


# Hosts.


async def directory(session: Session) -> dict[str, Host] | None:
    """Return all hosts of the views, None if nobody can tell."""
    answer = await session.platform.list(storedobjects.VIEW_PREFIX)
    if isinstance(answer, result.Success):
        found = {}
        for stored in answer.unwrap().objects:
            view = storedobjects.parse(stored.name, stored.value or {}).value_or(None)
            if isinstance(view, storedobjects.View):
                for member in view.members:
                    found[member.host] = Host(member.host, view.domain, member.admin)
        return found
    for admin in session.admins:
        status = await session.ask(admin, "status")
        if status is not None:
            return {
                name: Host(name, place["failure_domain"], place["admin"])
                for name, place in status["directory"].items()
            }
    return None


def by_domain(hosts: collections.abc.Iterable[Host]) -> dict[str, list[Host]]:
    """Return the hosts of each failure domain in order."""
    grouped: dict[str, list[Host]] = {}
    for host in sorted(hosts, key=lambda h: (h.domain, h.name)):
        grouped.setdefault(host.domain, []).append(host)
    return grouped


def matches(
    held: collections.abc.Mapping[str, int], wanted: collections.abc.Mapping[str, int]
) -> bool:
    """Tell whether a host has the wanted versions; 0 stands for removed."""
    return all(
        held.get(name, 0) >= version if version else not held.get(name, 0)
        for name, version in wanted.items()
    )


async def check_host(
    session: Session, host: Host, wanted: collections.abc.Mapping[str, int]
) -> Json | None:
    """Ask one host for its configuration and note what it says."""
    status = await session.ask(host.admin, "status", objects=",".join(wanted))
    if status is None or status["host"] != host.name:
        return None
    held = status["configuration"]["objects"]
    host.state = IN_FORCE if matches(held, wanted) else BEHIND
    host.revision, host.digest = status["revision"], status["digest"]
    host.source = "asked"
    return status


async def check_domain(
    session: Session,
    members: list[Host],
    wanted: collections.abc.Mapping[str, int],
    answers: dict[str, Json],
) -> None:
    """Ask one host of a failure domain, and those that differ from it.

    A peer whose digest equals that of the host that answered has the same
    objects in force. Every other host is asked itself.
    """
    witness: Host | None = None
    status: Json | None = None
    for member in members:
        status = await check_host(session, member, wanted)
        if status is not None:
            witness = member
            answers[member.domain] = status
            break
    if witness is None or status is None:
        return
    for member in members:
        if member is witness or member.source:
            continue
        heard = status["peers"].get(member.name)
        if heard is None or not heard["alive"]:
            continue
        member.revision, member.digest = heard["revision"], heard["digest"]
        member.source = f"heard by {witness.name}"
        member.state = witness.state
        if member.digest != witness.digest:
            member.state = BEHIND
            await check_host(session, member, wanted)


async def acknowledgements(
    session: Session,
    hosts: collections.abc.Mapping[str, Host],
    wanted: collections.abc.Mapping[str, int],
) -> dict[str, Json]:
    """Note for each host whether it has the wanted versions in force.

    Returns
    -------
    dict
        Status of the host that answered, by failure domain.
    """
    answers: dict[str, Json] = {}
    for host in hosts.values():
        host.state, host.source = NOT_HEARD, ""
    async with anyio.create_task_group() as tasks:
        for members in by_domain(hosts.values()).values():
            tasks.start_soon(check_domain, session, members, wanted, answers)
    return answers


async def in_force(
    session: Session, wanted: collections.abc.Mapping[str, int], wait_s: float
) -> outcomes.Outcome:
    """Wait until objects are in force everywhere, and tell where they are."""
    stop_at = anyio.current_time() + wait_s
    read_at = anyio.current_time()
    hosts = await directory(session)
    while hosts is not None:
        await acknowledgements(session, hosts, wanted)
        done = all(host.state == IN_FORCE for host in hosts.values())
        if done or anyio.current_time() >= stop_at:
            break
        await anyio.sleep(POLL_INTERVAL_S)
        if anyio.current_time() >= read_at + VIEWS_INTERVAL_S:
            read_at = anyio.current_time()
            hosts = await directory(session) or hosts
    return describe_force(hosts or {})


def describe_force(hosts: collections.abc.Mapping[str, Host]) -> outcomes.Outcome:
    """Return on how many hosts something is in force, and which lack it."""
    named: dict[str, list[str]] = {IN_FORCE: [], BEHIND: [], NOT_HEARD: []}
    for host in hosts.values():
        named[host.state].append(host.name)
    total = len(hosts)
    line = f"in force on {len(named[IN_FORCE])} of {total} hosts"
    if named[BEHIND]:
        line += f"; not yet: {', '.join(sorted(named[BEHIND]))}"
    if named[NOT_HEARD]:
        line += f"; not heard: {', '.join(sorted(named[NOT_HEARD]))}"
    done = total > 0 and len(named[IN_FORCE]) == total
    data = {"hosts": total, **{state: sorted(found) for state, found in named.items()}}
    code = outcomes.Exit.OK if done else outcomes.Exit.NOT_IN_FORCE
    return outcomes.Outcome(code, [line], data)


# The sheet and the overrides on the platform.


@dataclasses.dataclass(slots=True)
class StoredSheet:
    """The sheet on the platform; version 0 stands for none."""

    version: int = 0
    revision: int = 0
    manifest: storedobjects.Sheet | None = None
    content: sheet.Content = dataclasses.field(default_factory=sheet.Content)
    parts: dict[str, storedobjects.StoredObject] = dataclasses.field(
        default_factory=dict
    )


async def read_sheet(
    platform: platformapi.PlatformClient,
) -> result.Result[StoredSheet, platformapi.Problem]:
    """Read the manifest and every part from the platform."""
    found = await platform.get(storedobjects.SHEET)
    listed = await platform.list(storedobjects.SHEET_PART_PREFIX)
    if isinstance(listed, result.Failure):
        return result.Failure(listed.failure())
    current = StoredSheet(parts={part.name: part for part in listed.unwrap().objects})
    if isinstance(found, result.Failure):
        if found.failure().kind is platformapi.ProblemKind.NOT_FOUND:
            return result.Success(current)
        return result.Failure(found.failure())
    stored = found.unwrap()
    current.version, current.revision = stored.version, stored.revision
    manifest = storedobjects.parse(stored.name, stored.value or {}).value_or(None)
    if isinstance(manifest, storedobjects.Sheet):
        current.manifest = manifest
        names = [storedobjects.SHEET_PART_PREFIX + part for part in manifest.parts]
        parsed = [
            storedobjects.parse(name, current.parts[name].value or {}).value_or(None)
            for name in names
            if name in current.parts
        ]
        current.content = sheet.assemble(
            part for part in parsed if isinstance(part, storedobjects.SheetPart)
        )
    return result.Success(current)


@dataclasses.dataclass(slots=True)
class StoredOverride:
    """An override with the version that its removal has to name."""

    version: int
    revision: int
    value: storedobjects.Override
    state: str = ""

    def describe(self) -> Json:
        """Return the override for programs."""
        value = self.value.model_dump(mode="json", exclude={"operation"})
        return {"version": self.version, "state": self.state, **value}


async def read_overrides(
    platform: platformapi.PlatformClient, now: datetime.datetime
) -> result.Result[list[StoredOverride], platformapi.Problem]:
    """Return the overrides in the order of their acceptance, with their state."""
    listed = await platform.list(storedobjects.OVERRIDE_PREFIX)
    if isinstance(listed, result.Failure):
        return result.Failure(listed.failure())
    found = []
    for stored in sorted(listed.unwrap().objects, key=lambda o: (o.revision, o.name)):
        value = storedobjects.parse(stored.name, stored.value or {}).value_or(None)
        if isinstance(value, storedobjects.Override):
            found.append(StoredOverride(stored.version, stored.revision, value))
    active = effectiveconfig.active_overrides(
        [override.value for override in found], now
    )
    for override in found:
        place = (override.value.service, override.value.target)
        if explanations.has_expired(override.value, now):
            override.state = "expired"
        else:
            newest = active[place].id == override.value.id
            override.state = IN_FORCE if newest else "superseded"
    return result.Success(found)


def override_line(value: storedobjects.Override) -> str:
    """Return an override as one line: what, by whom, since when, why."""
    weight = f" {value.weight}" if value.weight is not None else ""
    until = f" until {outcomes.utc(value.expires_at)}" if value.expires_at else ""
    return (
        f"override {value.id}: {value.kind}{weight} {value.service}/{value.target} "
        f"by {value.operator} since {outcomes.utc(value.created_at)}{until}, "
        f"reason: {value.reason or '-'}"
    )


# Queries.


def validate(text: str) -> outcomes.Outcome:
    """Check a sheet without the platform."""
    parsed = sheet.parse(text)
    if isinstance(parsed, result.Failure):
        return invalid(parsed.failure())
    content = parsed.unwrap()
    data = {
        "services": len(content.services),
        "targets": len(content.targets),
        "failure_domains": len(content.domains),
    }
    line = f"valid: {data['services']} services, {data['targets']} targets, "
    line += f"{data['failure_domains']} failure domains"
    return outcomes.Outcome(outcomes.Exit.OK, [line], data)


def invalid(problems: collections.abc.Sequence[sheet.Problem]) -> outcomes.Outcome:
    """Return the outcome of a sheet that is wrong."""
    lines = [f"line {problem.line}: {problem.message}" for problem in problems]
    lines.append(f"{len(problems)} problems; the whole sheet is refused")
    data = {"problems": [dataclasses.asdict(problem) for problem in problems]}
    return outcomes.Outcome(outcomes.Exit.INVALID_SHEET, lines, data)


def describe_plan(
    current: StoredSheet,
    content: sheet.Content,
    overrides: collections.abc.Iterable[StoredOverride],
) -> outcomes.Outcome:
    """Return what a sheet would change, and the overrides that contradict it."""
    changes = sheet.compare(current.content, content)
    active = [entry.value for entry in overrides if entry.state == IN_FORCE]
    conflicts = sheet.conflicts(content, active)
    lines = [f"sheet version {current.version}, {len(changes)} changes"]
    lines += [change.text() for change in changes]
    lines += conflict_lines(conflicts)
    data = {
        "sheet_version": current.version,
        "changes": [dataclasses.asdict(change) for change in changes],
        "conflicts": [
            {"override": value.model_dump(mode="json"), "conflict": problem}
            for value, problem in conflicts
        ],
    }
    return outcomes.Outcome(outcomes.Exit.OK, lines, data)


def conflict_lines(
    conflicts: collections.abc.Iterable[tuple[storedobjects.Override, str]],
) -> list[str]:
    """Return one line for each override that contradicts a sheet."""
    return [
        f"conflict: {override_line(value)}; {problem}" for value, problem in conflicts
    ]


async def plan(session: Session, text: str) -> outcomes.Outcome:
    """Tell what applying a sheet would change."""
    parsed = sheet.parse(text)
    if isinstance(parsed, result.Failure):
        return invalid(parsed.failure())
    current = await read_sheet(session.platform)
    if isinstance(current, result.Failure):
        return no_answer(current.failure(), "the sheet")
    now = clock.utc()
    overrides = await read_overrides(session.platform, now)
    if isinstance(overrides, result.Failure):
        return no_answer(overrides.failure(), "the overrides")
    return describe_plan(current.unwrap(), parsed.unwrap(), overrides.unwrap())


def no_answer(problem: platformapi.Problem, what: str) -> outcomes.Outcome:
    """Return the outcome of a query that the platform did not answer."""
    line = f"no answer: cannot read {what} ({problem.kind.value})"
    data = {"problem": problem.kind.value}
    return outcomes.Outcome(outcomes.Exit.NO_ANSWER, [line], data)


async def list_overrides(session: Session) -> outcomes.Outcome:
    """List all overrides with their state and the version for removal."""
    now = clock.utc()
    found = await read_overrides(session.platform, now)
    if isinstance(found, result.Failure):
        return no_answer(found.failure(), "the overrides")
    lines = [
        f"{entry.state} version {entry.version}: {override_line(entry.value)}"
        for entry in found.unwrap()
    ]
    data = {"overrides": [entry.describe() for entry in found.unwrap()]}
    return outcomes.Outcome(outcomes.Exit.OK, lines or ["no overrides"], data)


async def status(session: Session) -> outcomes.Outcome:
    """Tell which configuration is in force where, and what needs attention."""
    hosts = await directory(session)
    if hosts is None:
        line = "no answer: neither the platform nor a host given with --admins"
        return outcomes.Outcome(outcomes.Exit.NO_ANSWER, [line])
    answers = await acknowledgements(session, hosts, {})
    newest = max((host.revision for host in hosts.values()), default=0)
    digests = {host.digest for host in hosts.values() if host.state != NOT_HEARD}
    targets = [entry for answer in answers.values() for entry in answer["targets"]]
    sheets = {
        domain: answer["configuration"]["sheet"] for domain, answer in answers.items()
    }
    lost = sorted(d for d, a in answers.items() if a["platform_lost_at"] is not None)
    rows = [("HOST", "DOMAIN", "REVISION", "DIGEST", "KNOWN BY")]
    for host in sorted(hosts.values(), key=lambda h: (h.domain, h.name)):
        heard = host.state != NOT_HEARD
        revision = str(host.revision) if heard else "-"
        digest = f"{host.digest:016x}" if heard else "-"
        rows.append(
            (host.name, host.domain, revision, digest, host.source or NOT_HEARD)
        )
    lines = [
        f"{outcomes.utc(clock.utc())} revision {newest}, "
        + ("all hosts agree" if len(digests) == 1 else "hosts differ"),
        *outcomes.table(rows),
    ]
    for domain, held in sorted(sheets.items()):
        lines.append(
            f"{domain}: sheet {held['date']} version {held['version']} "
            f"by {held['applied_by'] or '-'} at {held['applied_at']}"
        )
    lines += [f"{domain}: its witness does not reach the platform" for domain in lost]
    lines += [notable_line(entry) for entry in targets]
    data = {
        "revision": newest,
        "agree": len(digests) == 1,
        "hosts": [dataclasses.asdict(host) for host in hosts.values()],
        "sheets": sheets,
        "platform_lost_in": lost,
        "targets": targets,
    }
    code = outcomes.Exit.OK if answers else outcomes.Exit.NO_ANSWER
    return outcomes.Outcome(code, lines, data)


def notable_line(entry: Json) -> str:
    """Return one line about a target that needs attention."""
    state = [
        "leaving" if entry["leaving"] else "",
        "unhealthy" if entry["healthy"] is False else "",
        f"override {entry['override']}" if entry["override"] else "",
        *(f"conflict: {conflict}" for conflict in entry["conflicts"]),
    ]
    flows = f"{entry['flows']} flows" if entry["flows"] is not None else "flows unknown"
    text = ", ".join(part for part in state if part)
    return f"target {entry['service']}/{entry['target']}: {text}, {flows}"


async def explain(session: Session, service: str, target: str) -> outcomes.Outcome:
    """Tell why a target gets or does not get new flows.

    Any host knows sheet and overrides; the target's home knows health and load,
    so the question goes on to it.
    """
    hosts = await directory(session)
    answer: Json | None = None
    for member in sorted((hosts or {}).values(), key=lambda host: host.name):
        answer = await session.ask(
            member.admin, "explain", service=service, target=target
        )
        if answer is not None:
            break
    if answer is None or hosts is None:
        return outcomes.Outcome(outcomes.Exit.NO_ANSWER, ["no answer from any host"])
    if not answer["found"]:
        return outcomes.Outcome(outcomes.Exit.NOT_FOUND, answer["obstacles"], answer)
    local = by_domain(hosts.values()).get(answer["failure_domain"], [])
    for member in local:
        nearer = await session.ask(
            member.admin, "explain", service=service, target=target
        )
        if nearer is not None and nearer["found"]:
            answer = nearer
            break
    home = hosts.get(answer["home"] or "")
    if home is not None and home.name != answer["answered_by"]:
        own = await session.ask(home.admin, "explain", service=service, target=target)
        answer = own if own is not None and own["found"] else answer
    return outcomes.Outcome(outcomes.Exit.OK, explain_lines(answer), answer)


def explain_lines(answer: Json) -> list[str]:
    """Return an explanation as lines."""
    verdict = "gets new flows" if answer["gets_new_flows"] else "gets no new flows"
    lines = [
        f"{answer['service']}/{answer['target']} {verdict}, weight {answer['weight']} "
        f"(according to {answer['answered_by']}, home {answer['home'] or 'unknown'})"
    ]
    lines += [f"because of {obstacle}" for obstacle in answer["obstacles"]]
    planned = answer["sheet"]
    lines.append(
        f"sheet version {answer['sheet_version']}: {planned['state']}, "
        f"weight {planned['weight']}"
    )
    for key in ("override", "superseded"):
        held = answer[key] if isinstance(answer[key], list) else [answer[key]]
        for entry in filter(None, held):
            value = storedobjects.Override.model_validate(
                {name: part for name, part in entry.items() if name != "version"}
            )
            prefix = "" if key == "override" else "superseded "
            lines.append(f"{prefix}{override_line(value)}")
    load = answer["load"]
    if load is None:
        lines.append("health and load unknown to this host")
    else:
        health = "healthy" if load["healthy"] else "unhealthy"
        lines.append(
            f"{health}, {load['flows']} flows, {load['in_flight']} in flight, "
            f"{load['queued']} queued (home {load['host']})"
        )
    if answer["health"] is not None:
        evidence = (f"{key} {value}" for key, value in answer["health"].items())
        lines.append(f"health: {', '.join(evidence)}")
    if answer["draining"]:
        lines.append("draining: listed by `status` until the last flow ends")
    lines += [f"conflict: {conflict}" for conflict in answer["conflicts"]]
    return lines
