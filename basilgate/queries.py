"""Operators' queries, which read from the platform and the hosts."""

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

HOST_TIMEOUT_S = 2.0  # Time limit of one query of a host.
POLL_INTERVAL_S = 0.2  # Pause between queries of the hosts during a wait.
# Interval at which a wait reads the list of hosts again, as hosts join and leave.
VIEW_REFRESH_INTERVAL_S = 5.0

# States of a host, as in the JSON output: it has the expected versions in force, it
# has older ones, or neither it nor a peer has reported its configuration.
IN_FORCE = "in_force"
STALE = "behind"
NOT_REPORTED = "not_heard"

Json = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Session:
    """Connections that commands and queries use.

    Attributes
    ----------
    platform : platformapi.PlatformClient
        Client of the platform, which stores sheet, overrides, keys, and views.
    http : httpx.AsyncClient
        Client for the admin interfaces of hosts.
    admins : tuple of str
        Admin addresses of hosts from which to read the list of hosts while the
        platform is down.
    """

    platform: platformapi.PlatformClient
    http: httpx.AsyncClient
    admins: tuple[str, ...] = ()

    async def query_host(self, admin: str, path: str, **parameters: str) -> Json | None:
        """Return the JSON object that a host's admin interface answers with.

        None means that no usable answer came within `HOST_TIMEOUT_S`.

        Parameters
        ----------
        admin : str
            Admin address of the host.
        path : str
            Path of the URL, such as ``status``.
        **parameters : str
            Query parameters of the URL.
        """
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
    """A member of a failure domain, and the configuration that it has in force.

    The fields are written out under their names in the JSON output of `status`.
    """

    name: str
    domain: str
    admin: str  # Admin address.
    state: str = NOT_REPORTED  # `IN_FORCE`, `STALE`, or `NOT_REPORTED`.
    revision: int = 0  # Revision of the platform's store that the host has applied.
    digest: int = 0  # Equal on hosts with the same objects in force.
    source: str = ""  # Where state, revision, and digest come from; empty if unknown.


# Hosts.


async def list_hosts(session: Session) -> dict[str, Host] | None:
    """Return all member hosts by name, None if no source can be read.

    The source is the views on the platform or, while it does not answer, the first
    host of `session.admins` that does.
    """
    answer = await session.platform.list(storedobjects.VIEW_PREFIX)
    if isinstance(answer, result.Success):
        hosts = {}
        for stored in answer.unwrap().objects:
            view = storedobjects.parse(stored.name, stored.value or {}).value_or(None)
            if isinstance(view, storedobjects.View):
                for member in view.members:
                    hosts[member.host] = Host(member.host, view.domain, member.admin)
        return hosts
    for admin in session.admins:
        status = await session.query_host(admin, "status")
        if status is not None:
            return {
                name: Host(name, fields["failure_domain"], fields["admin"])
                for name, fields in status["directory"].items()
            }
    return None


def by_domain(hosts: collections.abc.Iterable[Host]) -> dict[str, list[Host]]:
    """Return the hosts by failure domain, sorted by domain and name."""
    grouped: dict[str, list[Host]] = {}
    for host in sorted(hosts, key=lambda h: (h.domain, h.name)):
        grouped.setdefault(host.domain, []).append(host)
    return grouped


def has_versions(
    current: collections.abc.Mapping[str, int],
    expected: collections.abc.Mapping[str, int],
) -> bool:
    """Return whether the current versions are at least the expected ones.

    An expected version of 0 means that the object must be absent.
    """
    return all(
        current.get(name, 0) >= version if version else not current.get(name, 0)
        for name, version in expected.items()
    )


async def check_host(
    session: Session, host: Host, versions: collections.abc.Mapping[str, int]
) -> Json | None:
    """Query a host for its configuration, and record its state.

    Parameters
    ----------
    session : Session
        Connections to use.
    host : Host
        Host to query; it is updated if it answers.
    versions : mapping of str to int
        Expected versions of objects by name; 0 for a removed object.

    Returns
    -------
    dict or None
        Status of the host, None if it does not answer, or if another host answers
        at its address.
    """
    status = await session.query_host(host.admin, "status", objects=",".join(versions))
    if status is None or status["host"] != host.name:
        return None
    in_force = status["configuration"]["objects"]
    host.state = IN_FORCE if has_versions(in_force, versions) else STALE
    host.revision, host.digest = status["revision"], status["digest"]
    host.source = "asked"
    return status


async def check_domain(
    session: Session,
    members: list[Host],
    versions: collections.abc.Mapping[str, int],
    answers: dict[str, Json],
) -> None:
    """Record the states of a failure domain's hosts with as few queries as possible.

    The first host that answers also reports the digests of its peers. Peers with its
    digest have the same objects in force, and so the same state. Peers with another
    digest are queried themselves. Peers that it regards as dead stay `NOT_REPORTED`.

    Parameters
    ----------
    members : list of Host
        Hosts of the failure domain, which are updated.
    versions : mapping of str to int
        Expected versions of objects by name; 0 for a removed object.
    answers : dict
        Receives the status of the first host that answers, by failure domain.
    """
    reporter: Host | None = None
    status: Json | None = None
    for member in members:
        status = await check_host(session, member, versions)
        if status is not None:
            reporter = member
            answers[member.domain] = status
            break
    if reporter is None or status is None:
        return
    for member in members:
        if member is reporter or member.source:
            continue
        peer = status["peers"].get(member.name)
        if peer is None or not peer["alive"]:
            continue
        member.revision, member.digest = peer["revision"], peer["digest"]
        member.source = f"heard by {reporter.name}"
        member.state = reporter.state
        if member.digest != reporter.digest:
            member.state = STALE
            await check_host(session, member, versions)


async def update_host_states(
    session: Session,
    hosts: collections.abc.Mapping[str, Host],
    versions: collections.abc.Mapping[str, int],
) -> dict[str, Json]:
    """Record for each host whether it has the expected versions in force.

    The failure domains are queried at the same time.

    Returns
    -------
    dict
        Status of the first host that answered, by failure domain.
    """
    answers: dict[str, Json] = {}
    for host in hosts.values():
        host.state, host.source = NOT_REPORTED, ""
    async with anyio.create_task_group() as tasks:
        for members in by_domain(hosts.values()).values():
            tasks.start_soon(check_domain, session, members, versions, answers)
    return answers


async def wait_until_in_force(
    session: Session, versions: collections.abc.Mapping[str, int], wait_s: float
) -> outcomes.Outcome:
    """Wait until objects are in force on all hosts, and return where they are.

    Parameters
    ----------
    versions : mapping of str to int
        Expected versions of objects by name; 0 for a removed object.
    wait_s : float
        Longest wait in seconds.
    """
    give_up_at = anyio.current_time() + wait_s
    views_read_at = anyio.current_time()
    hosts = await list_hosts(session)
    while hosts is not None:
        await update_host_states(session, hosts, versions)
        done = all(host.state == IN_FORCE for host in hosts.values())
        if done or anyio.current_time() >= give_up_at:
            break
        await anyio.sleep(POLL_INTERVAL_S)
        if anyio.current_time() >= views_read_at + VIEW_REFRESH_INTERVAL_S:
            views_read_at = anyio.current_time()
            hosts = await list_hosts(session) or hosts
    return in_force_outcome(hosts or {})


def in_force_outcome(hosts: collections.abc.Mapping[str, Host]) -> outcomes.Outcome:
    """Return the outcome of a wait: on how many hosts objects are in force.

    Hosts on which they are not, or whose state is not known, are listed by name.
    """
    names_by_state: dict[str, list[str]] = {IN_FORCE: [], STALE: [], NOT_REPORTED: []}
    for host in hosts.values():
        names_by_state[host.state].append(host.name)
    total = len(hosts)
    line = f"in force on {len(names_by_state[IN_FORCE])} of {total} hosts"
    if names_by_state[STALE]:
        line += f"; not yet: {', '.join(sorted(names_by_state[STALE]))}"
    if names_by_state[NOT_REPORTED]:
        line += f"; not heard: {', '.join(sorted(names_by_state[NOT_REPORTED]))}"
    everywhere = total > 0 and len(names_by_state[IN_FORCE]) == total
    data = {
        "hosts": total,
        **{state: sorted(names) for state, names in names_by_state.items()},
    }
    code = outcomes.Exit.OK if everywhere else outcomes.Exit.NOT_IN_FORCE
    return outcomes.Outcome(code, [line], data)


# The sheet and the overrides on the platform.


@dataclasses.dataclass(slots=True)
class StoredSheet:
    """The sheet on the platform; version 0 means that there is none.

    The manifest is the object that lists the parts of the sheet. The platform may
    have further parts, of earlier sheets or of one that is just being applied.
    """

    version: int = 0  # Version of the manifest, which rises with each sheet.
    revision: int = 0  # Revision of the platform's store that wrote the manifest.
    manifest: storedobjects.Sheet | None = None
    content: sheet.Content = dataclasses.field(default_factory=sheet.Content)
    # All sheet parts on the platform, by object name.
    parts: dict[str, storedobjects.StoredObject] = dataclasses.field(
        default_factory=dict
    )


async def read_sheet(
    platform: platformapi.PlatformClient,
) -> result.Result[StoredSheet, platformapi.Problem]:
    """Read the manifest and all sheet parts from the platform."""
    manifest_read = await platform.get(storedobjects.SHEET)
    parts_read = await platform.list(storedobjects.SHEET_PART_PREFIX)
    if isinstance(parts_read, result.Failure):
        return result.Failure(parts_read.failure())
    current = StoredSheet(
        parts={part.name: part for part in parts_read.unwrap().objects}
    )
    if isinstance(manifest_read, result.Failure):
        if manifest_read.failure().kind is platformapi.ProblemKind.NOT_FOUND:
            return result.Success(current)
        return result.Failure(manifest_read.failure())
    stored = manifest_read.unwrap()
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
    """An override on the platform.

    `version` is needed to remove it. `state` is `IN_FORCE`, ``superseded`` or
    ``expired``.
    """

    version: int
    revision: int  # Revision of the platform's store that wrote it.
    value: storedobjects.Override
    state: str = ""

    def describe(self) -> Json:
        """Return the override for the JSON output."""
        value = self.value.model_dump(mode="json", exclude={"operation"})
        return {"version": self.version, "state": self.state, **value}


async def read_overrides(
    platform: platformapi.PlatformClient, now: datetime.datetime
) -> result.Result[list[StoredOverride], platformapi.Problem]:
    """Return all overrides with their state at `now`, in the order of acceptance."""
    listing = await platform.list(storedobjects.OVERRIDE_PREFIX)
    if isinstance(listing, result.Failure):
        return result.Failure(listing.failure())
    overrides = []
    for stored in sorted(listing.unwrap().objects, key=lambda o: (o.revision, o.name)):
        value = storedobjects.parse(stored.name, stored.value or {}).value_or(None)
        if isinstance(value, storedobjects.Override):
            overrides.append(StoredOverride(stored.version, stored.revision, value))
    active = effectiveconfig.active_overrides(
        [override.value for override in overrides], now
    )
    for override in overrides:
        key = (override.value.service, override.value.target)
        if explanations.has_expired(override.value, now):
            override.state = "expired"
        else:
            newest = active[key].id == override.value.id
            override.state = IN_FORCE if newest else "superseded"
    return result.Success(overrides)


def override_line(value: storedobjects.Override) -> str:
    """Return an override as one line: kind, target, operator, times, and reason."""
    weight = f" {value.weight}" if value.weight is not None else ""
    until = (
        f" until {outcomes.format_utc(value.expires_at)}" if value.expires_at else ""
    )
    return (
        f"override {value.id}: {value.kind}{weight} {value.service}/{value.target} "
        f"by {value.operator} since {outcomes.format_utc(value.created_at)}{until}, "
        f"reason: {value.reason or '-'}"
    )


# Queries.


def validate(text: str) -> outcomes.Outcome:
    """Check a sheet, without a connection to the platform."""
    parsed = sheet.parse(text)
    if isinstance(parsed, result.Failure):
        return invalid_sheet(parsed.failure())
    content = parsed.unwrap()
    data = {
        "services": len(content.services),
        "targets": len(content.targets),
        "failure_domains": len(content.domains),
    }
    line = f"valid: {data['services']} services, {data['targets']} targets, "
    line += f"{data['failure_domains']} failure domains"
    return outcomes.Outcome(outcomes.Exit.OK, [line], data)


def invalid_sheet(
    problems: collections.abc.Sequence[sheet.Problem],
) -> outcomes.Outcome:
    """Return the outcome for an invalid sheet, with all problems."""
    lines = [f"line {problem.line}: {problem.message}" for problem in problems]
    lines.append(f"{len(problems)} problems; the whole sheet is refused")
    data = {"problems": [dataclasses.asdict(problem) for problem in problems]}
    return outcomes.Outcome(outcomes.Exit.INVALID_SHEET, lines, data)


def describe_plan(
    current: StoredSheet,
    content: sheet.Content,
    overrides: collections.abc.Iterable[StoredOverride],
) -> outcomes.Outcome:
    """Return what a sheet would change, and the overrides that contradict it.

    Parameters
    ----------
    current : StoredSheet
        Sheet in force.
    content : sheet.Content
        New sheet.
    overrides : iterable of StoredOverride
        Overrides to check; only those in force count.
    """
    changes = sheet.compare(current.content, content)
    active = [override.value for override in overrides if override.state == IN_FORCE]
    conflicts = sheet.conflicts(content, active)
    lines = [f"sheet version {current.version}, {len(changes)} changes"]
    lines += [change.text() for change in changes]
    lines += conflict_lines(conflicts)
    data = {
        "sheet_version": current.version,
        "changes": [dataclasses.asdict(change) for change in changes],
        "conflicts": [
            {"override": value.model_dump(mode="json"), "conflict": reason}
            for value, reason in conflicts
        ],
    }
    return outcomes.Outcome(outcomes.Exit.OK, lines, data)


def conflict_lines(
    conflicts: collections.abc.Iterable[tuple[storedobjects.Override, str]],
) -> list[str]:
    """Return one line for each override that contradicts a sheet, with the reason."""
    return [
        f"conflict: {override_line(value)}; {reason}" for value, reason in conflicts
    ]


async def plan(session: Session, text: str) -> outcomes.Outcome:
    """Return what applying a sheet would change, or the problems of the sheet."""
    parsed = sheet.parse(text)
    if isinstance(parsed, result.Failure):
        return invalid_sheet(parsed.failure())
    current = await read_sheet(session.platform)
    if isinstance(current, result.Failure):
        return no_answer(current.failure(), "the sheet")
    now = clock.utc()
    overrides = await read_overrides(session.platform, now)
    if isinstance(overrides, result.Failure):
        return no_answer(overrides.failure(), "the overrides")
    return describe_plan(current.unwrap(), parsed.unwrap(), overrides.unwrap())


def no_answer(problem: platformapi.Problem, what: str) -> outcomes.Outcome:
    """Return the outcome of a query for which `what` could not be read."""
    line = f"no answer: cannot read {what} ({problem.kind.value})"
    data = {"problem": problem.kind.value}
    return outcomes.Outcome(outcomes.Exit.NO_ANSWER, [line], data)


async def list_overrides(session: Session) -> outcomes.Outcome:
    """Return all overrides with their state and the version needed to remove them."""
    now = clock.utc()
    overrides = await read_overrides(session.platform, now)
    if isinstance(overrides, result.Failure):
        return no_answer(overrides.failure(), "the overrides")
    lines = [
        f"{override.state} version {override.version}: {override_line(override.value)}"
        for override in overrides.unwrap()
    ]
    data = {"overrides": [override.describe() for override in overrides.unwrap()]}
    return outcomes.Outcome(outcomes.Exit.OK, lines or ["no overrides"], data)


async def status(session: Session) -> outcomes.Outcome:
    """Return the configuration on each host, and the targets that need attention.

    Those targets are draining, overridden, or unhealthy.
    """
    hosts = await list_hosts(session)
    if hosts is None:
        line = "no answer: neither the platform nor a host given with --admins"
        return outcomes.Outcome(outcomes.Exit.NO_ANSWER, [line])
    answers = await update_host_states(session, hosts, {})
    newest = max((host.revision for host in hosts.values()), default=0)
    digests = {host.digest for host in hosts.values() if host.state != NOT_REPORTED}
    targets = [target for answer in answers.values() for target in answer["targets"]]
    sheets = {
        domain: answer["configuration"]["sheet"] for domain, answer in answers.items()
    }
    without_platform = sorted(
        d for d, a in answers.items() if a["platform_lost_at"] is not None
    )
    rows = [("HOST", "DOMAIN", "REVISION", "DIGEST", "KNOWN BY")]
    for host in sorted(hosts.values(), key=lambda h: (h.domain, h.name)):
        reported = host.state != NOT_REPORTED
        revision = str(host.revision) if reported else "-"
        digest = f"{host.digest:016x}" if reported else "-"
        rows.append(
            (host.name, host.domain, revision, digest, host.source or NOT_REPORTED)
        )
    lines = [
        f"{outcomes.format_utc(clock.utc())} revision {newest}, "
        + ("all hosts agree" if len(digests) == 1 else "hosts differ"),
        *outcomes.table(rows),
    ]
    for domain, sheet_status in sorted(sheets.items()):
        lines.append(
            f"{domain}: sheet {sheet_status['date']} version {sheet_status['version']} "
            f"by {sheet_status['applied_by'] or '-'} at {sheet_status['applied_at']}"
        )
    lines += [
        f"{domain}: the platform does not answer the host queried there"
        for domain in without_platform
    ]
    lines += [target_line(target) for target in targets]
    data = {
        "revision": newest,
        "agree": len(digests) == 1,
        "hosts": [dataclasses.asdict(host) for host in hosts.values()],
        "sheets": sheets,
        "platform_lost_in": without_platform,
        "targets": targets,
    }
    code = outcomes.Exit.OK if answers else outcomes.Exit.NO_ANSWER
    return outcomes.Outcome(code, lines, data)


def target_line(target: Json) -> str:
    """Return one line about a target that needs attention.

    Parameters
    ----------
    target : dict
        Entry of ``targets`` in the status of a host.
    """
    conditions = [
        "leaving" if target["leaving"] else "",
        "unhealthy" if target["healthy"] is False else "",
        f"override {target['override']}" if target["override"] else "",
        *(f"conflict: {conflict}" for conflict in target["conflicts"]),
    ]
    flows = (
        f"{target['flows']} flows" if target["flows"] is not None else "flows unknown"
    )
    text = ", ".join(condition for condition in conditions if condition)
    return f"target {target['service']}/{target['target']}: {text}, {flows}"


async def explain(session: Session, service: str, target: str) -> outcomes.Outcome:
    """Return why a target gets or does not get new flows.

    The first host that answers returns the sheet, the overrides, and the target's
    failure domain. A host of that domain then returns the load and names the
    target's owner, which returns the health as well. The last answer is used.
    """
    hosts = await list_hosts(session)
    answer: Json | None = None
    for member in sorted((hosts or {}).values(), key=lambda host: host.name):
        answer = await session.query_host(
            member.admin, "explain", service=service, target=target
        )
        if answer is not None:
            break
    if answer is None or hosts is None:
        return outcomes.Outcome(outcomes.Exit.NO_ANSWER, ["no answer from any host"])
    if not answer["found"]:
        return outcomes.Outcome(outcomes.Exit.NOT_FOUND, answer["obstacles"], answer)
    domain_hosts = by_domain(hosts.values()).get(answer["failure_domain"], [])
    for member in domain_hosts:
        local_answer = await session.query_host(
            member.admin, "explain", service=service, target=target
        )
        if local_answer is not None and local_answer["found"]:
            answer = local_answer
            break
    owner = hosts.get(answer["home"] or "")
    if owner is not None and owner.name != answer["answered_by"]:
        owner_answer = await session.query_host(
            owner.admin, "explain", service=service, target=target
        )
        answer = (
            owner_answer
            if owner_answer is not None and owner_answer["found"]
            else answer
        )
    return outcomes.Outcome(outcomes.Exit.OK, explanation_lines(answer), answer)


def explanation_lines(answer: Json) -> list[str]:
    """Return the text output for a host's answer to the query ``explain``."""
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
        overrides = answer[key] if isinstance(answer[key], list) else [answer[key]]
        for fields in filter(None, overrides):
            value = storedobjects.Override.model_validate(
                {name: content for name, content in fields.items() if name != "version"}
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
