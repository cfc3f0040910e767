"""Operators' commands and queries, run against the store of the users' platform."""

import collections.abc
import secrets
import time
import typing

import msgspec

from basilgate import clock, fleetmodel, fleetview, outcomes, overriderules
from platformedge import documents, store

# Limit for one call. A store that is 50 times slower than its usual 4 ms answers in
# 0.2 s; a listing takes one call for each page.
CALL_TIMEOUT_S = 6.0
# A write whose response was lost is sent again. It takes effect only once: a creation
# fails if the name exists, a removal if the revision has changed.
MAX_WRITE_ATTEMPTS = 5
RETRY_DELAY_S = 0.5  # Five attempts cover an outage of 2 s.
# Time for which released overrides stay in the store. Copies of the store are some
# seconds old, and hosts are suspended for less.
RELEASE_RETENTION_S = 3_600.0
OVERRIDE_KINDS = ("pin", "pull", "weight", "drain")

Exit = outcomes.Exit
Outcome = outcomes.Outcome


class StoreContents(msgspec.Struct):
    """Decoded contents of the store, listed kind by kind.

    Targets and overrides are listed by name with their positions, released overrides as
    their records. `configuration` is None if the store has no readable one;
    `unreadable` holds the decoding errors. `evacuations` are the positions of the
    evacuations by failure domain.
    """

    configuration: fleetmodel.Configuration | None
    targets: dict[str, tuple[fleetmodel.Target, fleetmodel.Position]]
    overrides: dict[str, tuple[fleetmodel.Override, fleetmodel.Position]]
    released: dict[str, tuple[documents.WireOverride, fleetmodel.Position]]
    unreadable: list[str]
    evacuations: dict[str, fleetmodel.Position] = {}


def not_accepted(failure: store.Failure, action: str) -> Outcome:
    """Return the outcome of a command whose call to the store failed without effect."""
    line = f"not accepted: {action} ({failure.value}); nothing was changed"
    return Outcome(Exit.NOT_ACCEPTED, [line], {"problem": failure.value})


def unreadable_lines(problems: list[str]) -> list[str]:
    """Return lines that name the documents which cannot be read.

    Characters beyond ASCII are escaped, since not every terminal shows them.
    """
    return [
        f"unreadable: {problem.encode('ascii', 'backslashreplace').decode()}"
        for problem in problems
    ]


def read_store(connection: store.Connection) -> StoreContents | store.Failure:
    """List and decode the contents of the store.

    A store that does not know the kind of the evacuations has none.
    """
    contents = StoreContents(None, {}, {}, {}, [])
    listings = {}
    for kind in (
        documents.CONFIG_KIND,
        documents.TARGETS_KIND,
        documents.OVERRIDES_KIND,
        documents.EVACUATIONS_KIND,
    ):
        listing = store.list_kind(connection, kind, CALL_TIMEOUT_S)
        if listing is store.Failure.NOT_FOUND and kind == documents.EVACUATIONS_KIND:
            continue
        if isinstance(listing, store.Failure):
            return listing
        contents.unreadable += listing.unreadable
        listings[kind] = listing.documents
    for kind, stored in listings.items():
        for document in stored:
            try:
                add_document(contents, kind, document)
            except documents.DocumentError as error:
                contents.unreadable.append(str(error))
    return contents


def add_document(
    contents: StoreContents, kind: str, document: documents.StoredDocument
) -> None:
    """Decode a document and add it to the contents.

    Raises
    ------
    documents.DocumentError
        If the document cannot be decoded.
    """
    name, position = document.name, document.position
    if kind == documents.TARGETS_KIND:
        target = documents.decode_target(name, document.content)
        contents.targets[name] = (target, position)
    elif kind == documents.OVERRIDES_KIND:
        override = documents.decode_override(name, document.content)
        if override.released:
            record = documents.decode_override_record(name, document.content)
            contents.released[name] = (record, position)
        else:
            contents.overrides[name] = (override, position)
    elif kind == documents.EVACUATIONS_KIND:
        contents.evacuations[name] = position
    elif name == documents.CONFIG_NAME:
        contents.configuration = documents.decode_configuration(document.content)


def active_overrides(
    contents: StoreContents,
) -> dict[tuple[str, str], fleetmodel.Override]:
    """Return the overrides that have not expired, by service and target."""
    by_revision = sorted(contents.overrides.values(), key=lambda stored: stored[1])
    return overriderules.newest_active(
        (override for override, _ in by_revision), clock.unix_s()
    )


def new_flow_admission(
    target: fleetmodel.Target,
    override: fleetmodel.Override | None,
    evacuations: collections.abc.Container[str],
) -> tuple[bool, str]:
    """Return whether a target gets new flows, and the reason.

    `evacuations` are the evacuated failure domains.
    """
    if target.domain in evacuations:
        return False, f"evacuation of {target.domain}"
    if target.leaving:
        return False, "leaving"
    kind = override.kind if override is not None else ""
    weight = overriderules.weight_of(override, fleetview.USUAL_WEIGHT)
    admitted = overriderules.admits(kind, weight, leaving=False)
    if override is not None:
        description = f"weight {weight}" if kind == "weight" else kind
        reason = f"override {override.name}: {description}"
    else:
        reason = "cold" if target.cold_s else "ready"
    return admitted, reason


def show_routes(connection: store.Connection) -> Outcome:
    """Show the version of the stored configuration, and the services of each route."""
    contents = read_store(connection)
    if isinstance(contents, store.Failure):
        return not_accepted(contents, "cannot read the store")
    problems = unreadable_lines(contents.unreadable)
    if contents.configuration is None:
        line = "the store has no readable configuration"
        return Outcome(Exit.NOT_FOUND, [line, *problems])
    rows = [("ROUTE", "ADDRESS", "SERVICES")]
    for route in contents.configuration.routes.values():
        address = ".".join(str(byte) for byte in route.key[:4])
        port = int.from_bytes(route.key[4:], "big")
        split = ", ".join(f"{name} {weight:g}" for name, weight in route.split)
        rows.append((route.name, f"{address}:{port}", split))
    version = contents.configuration.version
    lines = [f"configuration {version}", *outcomes.table(rows)]
    data = {"version": version, "routes": rows[1:], "unreadable": contents.unreadable}
    return Outcome(Exit.OK, lines + problems, data)


def show_targets(connection: store.Connection, service: str) -> Outcome:
    """Show the targets of a service, or of all services if its name is empty."""
    contents = read_store(connection)
    if isinstance(contents, store.Failure):
        return not_accepted(contents, "cannot read the store")
    active = active_overrides(contents)
    rows = [("TARGET", "SERVICE", "DOMAIN", "ADDRESS", "NEW FLOWS", "WHY", "REVISION")]
    for name, (target, position) in sorted(contents.targets.items()):
        if service and target.service != service:
            continue
        admitted, reason = new_flow_admission(
            target, active.get((target.service, name)), contents.evacuations
        )
        address = f"{target.address[0]}:{target.address[1]}"
        admitted_text = "yes" if admitted else "no"
        domain, target_service = target.domain, target.service
        rows.append(
            (
                name,
                target_service,
                domain,
                address,
                admitted_text,
                reason,
                str(position),
            )
        )
    lines = outcomes.table(rows) + unreadable_lines(contents.unreadable)
    code = Exit.OK if len(rows) > 1 else Exit.NOT_FOUND
    return Outcome(
        code, lines, {"targets": rows[1:], "unreadable": contents.unreadable}
    )


def explain(connection: store.Connection, name: str) -> Outcome:
    """Show why a target gets or does not get new flows."""
    contents = read_store(connection)
    if isinstance(contents, store.Failure):
        return not_accepted(contents, "cannot read the store")
    if name not in contents.targets:
        related = [problem for problem in contents.unreadable if name in problem]
        lines = [f"not found: target {name} has no readable entry"]
        lines += unreadable_lines(related)
        return Outcome(Exit.NOT_FOUND, lines)
    target, position = contents.targets[name]
    override = active_overrides(contents).get((target.service, name))
    admitted, reason = new_flow_admission(target, override, contents.evacuations)
    routes = contents.configuration.routes.values() if contents.configuration else []
    route_names = [
        route.name for route in routes if target.service in dict(route.split)
    ]
    lines = [
        f"target {name} of {target.service} in {target.domain}, revision {position}",
        f"new flows: {'yes' if admitted else 'no'} ({reason})",
        f"routes: {', '.join(sorted(route_names)) or 'none leads to its service'}",
    ]
    is_pinned = override is not None and override.kind == "pin"
    if target.leaving and is_pinned:
        lines.append(
            "conflict: the target is pinned, but it has announced that it leaves; the "
            "pin is suspended"
        )
    if target.domain in contents.evacuations and is_pinned:
        lines.append(
            f"conflict: the target is pinned, but {target.domain} is evacuated since "
            f"revision {contents.evacuations[target.domain]}; the pin is suspended"
        )
    data = {
        "target": name,
        "new_flows": admitted,
        "reason": reason,
        "routes": route_names,
    }
    return Outcome(Exit.OK, lines, data)


def write_with_retries(
    write: collections.abc.Callable[[], store.Failure | None],
) -> store.Failure | None:
    """Repeat a write until its result is final or the attempts are used up.

    Returns the last failure, or None if the write succeeded.
    """
    failure: store.Failure | None = None
    for attempt in range(MAX_WRITE_ATTEMPTS):
        if attempt:
            time.sleep(RETRY_DELAY_S)
        failure = write()
        final_results = (None, store.Failure.CONFLICT, store.Failure.NOT_FOUND)
        if failure in final_results:
            break
    return failure


def may_have_been_applied(failure: store.Failure) -> bool:
    """Return whether the store may have applied a write that failed like this."""
    return failure in (store.Failure.TIMEOUT, store.Failure.BROKEN)


def outcome_unknown(action: str) -> Outcome:
    """Return the outcome of a write that the store may have applied."""
    line = (
        f"unknown whether accepted: {action}; look at it before you repeat the command"
    )
    return Outcome(Exit.OUTCOME_UNKNOWN, [line])


def set_override(
    connection: store.Connection,
    target: str,
    kind: str,
    weight: int | None,
    operator: str,
    reason: str,
    expires_at_s: float | None,
) -> Outcome:
    """Set an override of a target, which stays until it is removed or expires.

    A target has one override at a time; an existing one is a conflict and is not
    replaced. `expires_at_s` is a Unix time in seconds, None for no expiry; `weight` is
    None unless the kind is weight.
    """
    contents = read_store(connection)
    if isinstance(contents, store.Failure):
        return not_accepted(contents, "cannot read the store")
    if target not in contents.targets:
        related = [problem for problem in contents.unreadable if target in problem]
        lines = [f"not found: target {target}", *unreadable_lines(related)]
        return Outcome(Exit.NOT_FOUND, lines)
    delete_old_releases(connection, contents)
    operation_id = secrets.token_hex(8)
    created_at_s = clock.unix_s()
    released_revision = None
    if target in contents.released:
        record, released_at = contents.released[target]
        released_revision = released_at.revision
        # Hosts compare these times if the store comes back from a copy; the clock of
        # the colleague's machine may be ahead.
        created_at_s = max(created_at_s, record.created_at_s + 1e-3)
    content: dict[str, typing.Any] = {
        "kind": kind,
        "service": contents.targets[target][0].service,
        "target": target,
        "weight": weight,
        "expires_at_s": expires_at_s,
        "operator": operator,
        "reason": reason,
        "operation": operation_id,
        "created_at_s": created_at_s,
    }
    maybe_applied = False

    def write() -> store.Failure | None:
        nonlocal maybe_applied
        result = store.write_object(
            connection,
            documents.OVERRIDES_KIND,
            target,
            content,
            released_revision,
            CALL_TIMEOUT_S,
        )
        maybe_applied = maybe_applied or (
            result is not None and may_have_been_applied(result)
        )
        return result

    failure = write_with_retries(write)
    action = f"override {kind} of {target}"
    if failure is None:
        return Outcome(Exit.OK, [f"accepted: {action}"], {"override": target})
    if failure is store.Failure.CONFLICT:
        return resolve_conflict(connection, target, operation_id, action)
    return outcome_unknown(action) if maybe_applied else not_accepted(failure, action)


def delete_old_releases(connection: store.Connection, contents: StoreContents) -> None:
    """Remove the records of overrides that were released long ago.

    A record that cannot be removed now is left to the next command.
    """
    oldest_s = clock.unix_s() - RELEASE_RETENTION_S
    for name, (record, position) in list(contents.released.items()):
        if (record.released_at_s or 0.0) < oldest_s:
            del contents.released[name]
            store.delete_object(
                connection,
                documents.OVERRIDES_KIND,
                name,
                position.revision,
                CALL_TIMEOUT_S,
            )


def resolve_conflict(
    connection: store.Connection, name: str, operation_id: str, action: str
) -> Outcome:
    """Return the outcome of a write that conflicts with an existing override.

    The write succeeded if the existing override has its operation ID: an earlier
    attempt was applied and only its response was lost.
    """
    stored = store.get_object(
        connection, documents.OVERRIDES_KIND, name, CALL_TIMEOUT_S
    )
    if isinstance(stored, store.Failure):
        return outcome_unknown(action)
    try:
        override = documents.decode_override_record(name, stored.content)
    except documents.DocumentError as error:
        return Outcome(Exit.CONFLICT, [f"conflict: {error}"])
    if override.operation == operation_id:
        return Outcome(Exit.OK, [f"accepted: {action}"], {"override": name})
    line = f"conflict: {name} has the override {override.kind} by {override.operator}"
    line += f" ({override.reason})" if override.reason else ""
    return Outcome(Exit.CONFLICT, [line + "; remove it first"], {"kind": override.kind})


def remove_override(
    connection: store.Connection, target: str, position: fleetmodel.Position
) -> Outcome:
    """Release the override of a target if it still has the given position.

    The override stays in the store as released: were it only removed, hosts could not
    tell its removal from its loss when the store comes back from a copy.
    """
    stored = store.get_object(
        connection, documents.OVERRIDES_KIND, target, CALL_TIMEOUT_S
    )
    record = decode_record(stored)
    if stored is store.Failure.NOT_FOUND or (
        record is not None and record.released_at_s is not None
    ):
        return Outcome(Exit.NOT_FOUND, [f"not found: override of {target}"])
    if isinstance(stored, store.Failure):
        return not_accepted(stored, "cannot read the store")
    if stored.position != position:
        line = f"conflict: override of {target} has revision "
        line += f"{stored.position} by now; nothing was changed, "
        return Outcome(Exit.CONFLICT, [line + "look at it again"])
    operation_id = secrets.token_hex(8)
    released = None
    if record is not None:
        # Hosts of earlier versions know no releases, but an end in the past.
        released = {
            **msgspec.json.decode(stored.content),
            "expires_at_s": 0.0,
            "released_at_s": clock.unix_s(),
            "operation": operation_id,
        }
    maybe_applied = False

    def write() -> store.Failure | None:
        nonlocal maybe_applied
        kind = documents.OVERRIDES_KIND
        if released is None:
            result = store.delete_object(
                connection, kind, target, position.revision, CALL_TIMEOUT_S
            )
        else:
            result = store.write_object(
                connection,
                kind,
                target,
                released,
                position.revision,
                CALL_TIMEOUT_S,
            )
        maybe_applied = maybe_applied or (
            result is not None and may_have_been_applied(result)
        )
        return result

    failure = write_with_retries(write)
    action = f"removal of the override of {target}"
    if failure is store.Failure.CONFLICT and maybe_applied:
        # An attempt whose response was lost may be the one that it conflicts with.
        found = decode_record(
            store.get_object(
                connection, documents.OVERRIDES_KIND, target, CALL_TIMEOUT_S
            )
        )
        if found is not None and found.operation == operation_id:
            failure = None
    if failure is None and connection.era != position.era:
        # The condition named a revision from before the store's return, which may
        # stand for an override by a colleague since.
        return outcome_unknown(action)
    if failure is None or (failure is store.Failure.NOT_FOUND and maybe_applied):
        return Outcome(Exit.OK, [f"accepted: {action}"])
    if failure is store.Failure.CONFLICT or failure is store.Failure.NOT_FOUND:
        line = f"conflict: a colleague has changed the override of {target}"
        return Outcome(Exit.CONFLICT, [line])
    return outcome_unknown(action) if maybe_applied else not_accepted(failure, action)


def decode_record(
    stored: documents.StoredDocument | store.Failure,
) -> documents.WireOverride | None:
    """Return the record of an override, None if there is no readable one."""
    if isinstance(stored, store.Failure):
        return None
    try:
        return documents.decode_override_record(stored.name, stored.content)
    except documents.DocumentError:
        return None


def show_overrides(connection: store.Connection) -> Outcome:
    """Show all overrides with the revisions that are needed to remove them."""
    listing = store.list_kind(connection, documents.OVERRIDES_KIND, CALL_TIMEOUT_S)
    if isinstance(listing, store.Failure):
        return not_accepted(listing, "cannot read the store")
    rows = [("TARGET", "KIND", "WEIGHT", "BY", "REASON", "EXPIRES", "REVISION")]
    problems = list(listing.unreadable)
    for document in listing.documents:
        try:
            override = documents.decode_override_record(document.name, document.content)
        except documents.DocumentError as error:
            problems.append(str(error))
            continue
        if override.released_at_s is not None:
            continue
        weight = str(override.weight) if override.weight is not None else "-"
        expires = (
            "-" if override.expires_at_s is None else f"{override.expires_at_s:.0f}"
        )
        row = (
            document.name,
            override.kind,
            weight,
            override.operator,
            override.reason,
            expires,
        )
        rows.append((*row, str(document.position)))
    lines = outcomes.table(rows) + unreadable_lines(problems)
    return Outcome(Exit.OK, lines, {"overrides": rows[1:], "unreadable": problems})


def show_evacuations(connection: store.Connection) -> Outcome:
    """Show the evacuated failure domains, with the number of listed targets in each."""
    contents = read_store(connection)
    if isinstance(contents, store.Failure):
        return not_accepted(contents, "cannot read the store")
    rows = [("DOMAIN", "TARGETS", "REVISION")]
    for domain, position in sorted(contents.evacuations.items()):
        count = sum(target.domain == domain for target, _ in contents.targets.values())
        rows.append((domain, str(count), str(position)))
    lines = outcomes.table(rows) + unreadable_lines(contents.unreadable)
    data = {"evacuations": rows[1:], "unreadable": contents.unreadable}
    return Outcome(Exit.OK, lines, data)
