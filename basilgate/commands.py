"""Operators' commands: each changes objects that the platform stores."""

import collections.abc
import datetime
import secrets
import uuid

import anyio
import xxhash
from returns import result

from basilgate import (
    clock,
    explanations,
    outcomes,
    platformapi,
    queries,
    sheet,
    storedobjects,
)

PART_WRITE_ATTEMPTS = 4  # Writes of one sheet part before the command fails.
MAX_CONCURRENT_PART_WRITES = 8
# Commands that set overrides remove expired ones only after this time, when no host
# with a slow clock can still regard them as active.
EXPIRED_OVERRIDE_RETENTION = datetime.timedelta(hours=1)
MAX_EXPIRED_OVERRIDES_REMOVED = 10
KEY_BYTES = 32
KEY_ID_COUNT = 256  # Ids are 0 to 255.
# Time that hosts may take to switch to a new key; until then they sign tokens with
# the previous one.
ROTATION_MARGIN_S = 600.0


async def add_in_force(
    session: queries.Session,
    outcome: outcomes.Outcome,
    versions: collections.abc.Mapping[str, int],
    wait_s: float,
) -> outcomes.Outcome:
    """Wait until an accepted change is in force on all hosts, and add the result.

    Parameters
    ----------
    outcome : outcomes.Outcome
        Outcome of the command; its exit code becomes that of the wait.
    versions : mapping of str to int
        Versions of objects to wait for, by name; 0 for a removed object.
    wait_s : float
        Seconds to wait; if 0, the hosts are not queried.
    """
    if wait_s <= 0:
        outcome.lines.append("not checked on the hosts; use --wait or `status`")
        return outcome
    in_force = await queries.wait_until_in_force(session, versions, wait_s)
    outcome.exit = in_force.exit
    outcome.lines += in_force.lines
    outcome.data["in_force"] = in_force.data
    return outcome


# The sheet.


async def write_part(
    platform: platformapi.PlatformClient, name: str, part: sheet.Part, version: int
) -> result.Result[None, platformapi.Problem]:
    """Write a sheet part, also if the platform still has it from an earlier sheet.

    Writing raises the version. Another operator's command may just be removing the
    part as unreferenced; as it names the version that it has read, its removal then
    fails. A part's name is the digest of its content, so all writers write the same
    content and a repeated write does no harm.

    Parameters
    ----------
    version : int
        Version of the part that was read, 0 if the platform did not have it.
    """
    problem = platformapi.Problem(platformapi.ProblemKind.OUTCOME_UNKNOWN, name)
    for _ in range(PART_WRITE_ATTEMPTS):
        answer = await platform.put(name, part, version)
        if isinstance(answer, result.Success):
            return result.Success(None)
        problem = answer.failure()
        if problem.kind is platformapi.ProblemKind.CONFLICT:
            if problem.version > version:
                # Another operator has written it since, with the same content.
                return result.Success(None)
            version = problem.version
        elif problem.kind is not platformapi.ProblemKind.OUTCOME_UNKNOWN:
            break
    return result.Failure(problem)


async def write_parts(
    platform: platformapi.PlatformClient,
    current: queries.StoredSheet,
    parts: collections.abc.Mapping[str, sheet.Part],
) -> platformapi.Problem | None:
    """Write the parts that the sheet in force does not have, several at a time.

    Parameters
    ----------
    current : queries.StoredSheet
        Sheet in force, and all parts on the platform.
    parts : mapping of str to sheet.Part
        Parts of the new sheet by the digest of their content.

    Returns
    -------
    platformapi.Problem or None
        Problem of a part that could not be written, None if all were.
    """
    digests_in_force = (
        set(current.manifest.parts) if current.manifest is not None else set()
    )
    problems: list[platformapi.Problem] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PART_WRITES)

    async def write(name: str, part: sheet.Part) -> None:
        stored = current.parts.get(name)
        version = stored.version if stored is not None else 0
        async with limiter:
            answer = await write_part(platform, name, part, version)
        if isinstance(answer, result.Failure):
            problems.append(answer.failure())

    async with anyio.create_task_group() as tasks:
        for digest, part in parts.items():
            name = storedobjects.SHEET_PART_PREFIX + digest
            if digest not in digests_in_force or name not in current.parts:
                tasks.start_soon(write, name, part)
    return problems[0] if problems else None


async def remove_unreferenced_parts(
    platform: platformapi.PlatformClient, current: queries.StoredSheet
) -> int:
    """Remove parts left by sheets before the one in force; return how many.

    Parts of a sheet that another operator is just applying are kept: they were
    written after the manifest in force. A part that is written again after it was
    read here has a newer version, so that its removal fails.
    """
    if current.manifest is None:
        return 0
    referenced = {
        storedobjects.SHEET_PART_PREFIX + part for part in current.manifest.parts
    }
    removed = 0
    for name, stored in sorted(current.parts.items()):
        if name not in referenced and stored.revision < current.revision:
            answer = await platform.delete(name, stored.version)
            removed += isinstance(answer, result.Success)
    return removed


async def apply_sheet(
    session: queries.Session,
    text: str,
    planned_version: int,
    operator: str,
    wait_s: float = 0.0,
) -> outcomes.Outcome:
    """Put a sheet into force if the one in force is still the planned version.

    Parameters
    ----------
    text : str
        Content of the sheet's file, INI or CSV.
    planned_version : int
        Version that ``sheet plan`` printed; 0 if there was no sheet.
    operator : str
        Name of the operator, stored with the sheet.
    wait_s : float
        Seconds to wait until the sheet is in force on all hosts.
    """
    parsed = sheet.parse(text)
    if isinstance(parsed, result.Failure):
        return queries.invalid_sheet(parsed.failure())
    content = parsed.unwrap()
    sheet_read = await queries.read_sheet(session.platform)
    if isinstance(sheet_read, result.Failure):
        return outcomes.read_failed(sheet_read.failure(), "the sheet")
    current = sheet_read.unwrap()
    if current.version != planned_version:
        return sheet_conflict(current, planned_version)
    overrides = await queries.read_overrides(session.platform, clock.utc())
    if isinstance(overrides, result.Failure):
        return outcomes.read_failed(overrides.failure(), "the overrides")
    parts_removed = await remove_unreferenced_parts(session.platform, current)
    parts = sheet.divide(content)
    problem = await write_parts(session.platform, current, parts)
    if problem is not None:
        # Parts without a manifest change nothing, so the sheet is not accepted.
        return outcomes.read_failed(problem, "back a part of the sheet")
    manifest = storedobjects.Sheet(
        operation=uuid.uuid4().hex,
        date=content.date or clock.utc().date(),
        planner=content.planner,
        applied_by=operator,
        applied_at=clock.utc(),
        parts=tuple(parts),
    )
    written = await session.platform.put(
        storedobjects.SHEET, manifest.model_dump(mode="json"), planned_version
    )
    if isinstance(written, result.Failure):
        return outcomes.write_failed(written.failure(), "the sheet")
    version = written.unwrap().version
    outcome = queries.describe_plan(current, content, overrides.unwrap())
    outcome.lines[0] = f"accepted: sheet version {version} for {manifest.date}"
    outcome.data |= {
        "version": version,
        "parts": len(parts),
        "parts_removed": parts_removed,
    }
    return await add_in_force(session, outcome, {storedobjects.SHEET: version}, wait_s)


def sheet_conflict(current: queries.StoredSheet, planned: int) -> outcomes.Outcome:
    """Return the outcome of `apply_sheet` if the sheet changed since its plan."""
    manifest = current.manifest
    author = f" applied by {manifest.applied_by or '-'}" if manifest is not None else ""
    time = (
        f" at {outcomes.format_utc(manifest.applied_at)}"
        if manifest is not None
        else ""
    )
    line = f"conflict: planned for sheet version {planned}, in force is version "
    line += f"{current.version}{author}{time}; nothing was changed, plan again"
    return outcomes.Outcome(
        outcomes.Exit.CONFLICT, [line], {"planned": planned, "version": current.version}
    )


# Overrides.


def override_id_prefix(service: str, target: str) -> str:
    """Return the common prefix of the ids of all overrides of a target."""
    return f"{xxhash.xxh3_64_hexdigest(f'{service}/{target}'.encode())}."


def next_id(
    service: str,
    target: str,
    overrides: collections.abc.Iterable[queries.StoredOverride],
) -> str:
    """Return the id of a target's next override.

    The ids of a target are numbered. Two operators who have read the same overrides
    get the same next id, so that only one of them can create its object.
    """
    prefix = override_id_prefix(service, target)
    numbers = [
        int(override.value.id.removeprefix(prefix))
        for override in overrides
        if override.value.id.startswith(prefix)
        and override.value.id.removeprefix(prefix).isdigit()
    ]
    return f"{prefix}{max(numbers, default=0) + 1}"


async def check_target(
    platform: platformapi.PlatformClient, service: str, target: str
) -> outcomes.Outcome | None:
    """Return None if the sheet has the target, otherwise the outcome that says so."""
    sheet_read = await queries.read_sheet(platform)
    if isinstance(sheet_read, result.Failure):
        return outcomes.read_failed(sheet_read.failure(), "the sheet")
    content = sheet_read.unwrap().content
    if all(known_service.name != service for known_service in content.services):
        line = f"not accepted: the sheet has no service {service}"
    elif all(
        (known_target.service, known_target.name) != (service, target)
        for known_target in content.targets
    ):
        line = f"not accepted: service {service} has no target {target}"
    else:
        return None
    return outcomes.Outcome(outcomes.Exit.NOT_FOUND, [line])


def find_active(
    overrides: collections.abc.Iterable[queries.StoredOverride],
    service: str,
    target: str,
) -> queries.StoredOverride | None:
    """Return the override in force on a target, None if there is none."""
    return next(
        (
            override
            for override in overrides
            if override.state == queries.IN_FORCE
            and (override.value.service, override.value.target) == (service, target)
        ),
        None,
    )


async def set_override(
    session: queries.Session,
    override: storedobjects.Override,
    superseded_id: str = "",
    wait_s: float = 0.0,
) -> outcomes.Outcome:
    """Set an override.

    Parameters
    ----------
    override : storedobjects.Override
        Override to set; its id and operation are replaced by new ones.
    superseded_id : str
        Id of the override in force that this one supersedes, empty if there is
        none. Any other id is a conflict, so that nobody replaces an override of
        another operator without having seen it.
    wait_s : float
        Seconds to wait until the override is in force on all hosts.
    """
    service, target = override.service, override.target
    rejection = await check_target(session.platform, service, target)
    if rejection is not None:
        return rejection
    overrides_read = await queries.read_overrides(session.platform, clock.utc())
    if isinstance(overrides_read, result.Failure):
        return outcomes.read_failed(overrides_read.failure(), "the overrides")
    overrides = overrides_read.unwrap()
    active = find_active(overrides, service, target)
    if (active.value.id if active is not None else "") != superseded_id:
        return override_conflict(active)
    identified = override.model_copy(
        update={
            "id": next_id(service, target, overrides),
            "operation": uuid.uuid4().hex,
        }
    )
    name = storedobjects.OVERRIDE_PREFIX + identified.id
    written = await session.platform.put(name, identified.model_dump(mode="json"), 0)
    if isinstance(written, result.Failure):
        return outcomes.write_failed(written.failure(), name)
    version = written.unwrap().version
    outcome = outcomes.Outcome(
        outcomes.Exit.OK,
        [f"accepted: version {version}, {queries.override_line(identified)}"],
        {"id": identified.id, "version": version},
    )
    if active is not None:
        outcome.lines.append(f"supersedes {queries.override_line(active.value)}")
        outcome.data["supersedes"] = active.value.id
    await report_concurrent_overrides(session, identified, overrides, outcome)
    await remove_expired(session.platform, overrides)
    return await add_in_force(session, outcome, {name: version}, wait_s)


def override_conflict(active: queries.StoredOverride | None) -> outcomes.Outcome:
    """Return the outcome of `set_override` if another override is in force.

    Parameters
    ----------
    active : queries.StoredOverride or None
        Override in force; None if the one to supersede no longer is.
    """
    if active is None:
        line = "conflict: the override to supersede is no longer in force; "
        line += "nothing was changed"
        return outcomes.Outcome(outcomes.Exit.CONFLICT, [line])
    line = f"conflict: in force is {queries.override_line(active.value)}; nothing "
    line += f"was changed, use --over {active.value.id} to supersede it"
    return outcomes.Outcome(outcomes.Exit.CONFLICT, [line], active.describe())


async def report_concurrent_overrides(
    session: queries.Session,
    created: storedobjects.Override,
    previous: collections.abc.Iterable[queries.StoredOverride],
    outcome: outcomes.Outcome,
) -> None:
    """Warn of overrides of the target that others set while the command ran.

    Parameters
    ----------
    created : storedobjects.Override
        Override that the command has set.
    previous : iterable of queries.StoredOverride
        Overrides that the command read before it.
    outcome : outcomes.Outcome
        Outcome of the command, to which the warnings are added.
    """
    overrides_read = await queries.read_overrides(session.platform, clock.utc())
    if isinstance(overrides_read, result.Failure):
        return
    known_ids = {override.value.id for override in previous} | {created.id}
    concurrent = [
        override
        for override in overrides_read.unwrap()
        if (override.value.service, override.value.target)
        == (created.service, created.target)
        and override.value.id not in known_ids
    ]
    for override in concurrent:
        line = f"warning: set meanwhile and {override.state}: "
        outcome.lines.append(line + queries.override_line(override.value))
    outcome.data["set_meanwhile"] = [override.value.id for override in concurrent]


async def remove_expired(
    platform: platformapi.PlatformClient,
    overrides: collections.abc.Iterable[queries.StoredOverride],
) -> None:
    """Remove overrides that expired `EXPIRED_OVERRIDE_RETENTION` ago or earlier.

    At most `MAX_EXPIRED_OVERRIDES_REMOVED` are removed; failures are ignored, as
    the next command tries again.
    """
    cutoff = clock.utc() - EXPIRED_OVERRIDE_RETENTION
    removable = [
        stored for stored in overrides if explanations.has_expired(stored.value, cutoff)
    ]
    for override in removable[:MAX_EXPIRED_OVERRIDES_REMOVED]:
        await platform.delete(
            storedobjects.OVERRIDE_PREFIX + override.value.id, override.version
        )


async def remove_override(
    session: queries.Session, override_id: str, version: int, wait_s: float = 0.0
) -> outcomes.Outcome:
    """Remove an override if it still has the version that the operator has read.

    Parameters
    ----------
    version : int
        Version that ``override list`` printed.
    wait_s : float
        Seconds to wait until the removal is in force on all hosts.
    """
    name = storedobjects.OVERRIDE_PREFIX + override_id
    removed = await session.platform.delete(name, version)
    if isinstance(removed, result.Failure):
        return outcomes.write_failed(removed.failure(), name)
    outcome = outcomes.Outcome(
        outcomes.Exit.OK, [f"accepted: {name} is removed"], {"id": override_id}
    )
    return await add_in_force(session, outcome, {name: 0}, wait_s)


# Token keys.


async def rotate_key(
    session: queries.Session,
    operator: str,
    token_lifetime_s: float,
    wait_s: float = 0.0,
) -> outcomes.Outcome:
    """Create a key for signing tokens, and remove keys whose last token has expired.

    A key is removed once `token_lifetime_s` and `ROTATION_MARGIN_S` have passed
    since the next key was created.

    Parameters
    ----------
    operator : str
        Name of the operator, stored with the key.
    token_lifetime_s : float
        Longest lifetime of tokens in seconds in the settings of the hosts.
    wait_s : float
        Seconds to wait until all hosts have the key.
    """
    listing = await session.platform.list(storedobjects.KEY_PREFIX)
    if isinstance(listing, result.Failure):
        return outcomes.read_failed(listing.failure(), "the keys")
    stored_keys = sorted(listing.unwrap().objects, key=lambda stored: stored.revision)
    keys = [
        (stored, key)
        for stored in stored_keys
        if isinstance(
            key := storedobjects.parse(stored.name, stored.value or {}).value_or(None),
            storedobjects.Key,
        )
    ]
    used_ids = {key.id for _, key in keys}
    newest = keys[-1][1].id if keys else 0
    free_ids = [
        (newest + step) % KEY_ID_COUNT
        for step in range(1, KEY_ID_COUNT)
        if (newest + step) % KEY_ID_COUNT not in used_ids
    ]
    if not free_ids:
        line = "not accepted: all key ids are in use"
        return outcomes.Outcome(outcomes.Exit.NOT_ACCEPTED, [line])
    key = storedobjects.Key(
        id=free_ids[0],
        secret=secrets.token_hex(KEY_BYTES),
        created_by=operator,
        created_at=clock.utc(),
    )
    name = f"{storedobjects.KEY_PREFIX}{key.id}"
    written = await session.platform.put(name, key.model_dump(mode="json"), 0)
    if isinstance(written, result.Failure):
        return outcomes.write_failed(written.failure(), name)
    retired = []
    for (stored, old), (_, successor) in zip(keys, keys[1:], strict=False):
        retention_s = token_lifetime_s + ROTATION_MARGIN_S
        replaced_at = successor.created_at
        if (
            replaced_at is not None
            and (clock.utc() - replaced_at).total_seconds() > retention_s
        ):
            deleted = await session.platform.delete(stored.name, stored.version)
            if isinstance(deleted, result.Success):
                retired.append(old.id)
    version = written.unwrap().version
    outcome = outcomes.Outcome(
        outcomes.Exit.OK,
        [f"accepted: {name} version {version}; removed keys: {retired or 'none'}"],
        {"id": key.id, "version": version, "removed": retired},
    )
    return await add_in_force(session, outcome, {name: version}, wait_s)
