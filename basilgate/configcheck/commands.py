"""Command `basilgate fleet check`: reads its inputs and shows the findings."""

import typing

from basilgate import clock, cmdoptions, errors, fleetcommands, outcomes, overriderules
from basilgate.configcheck import (
    checks,  # noqa: F401  Registers the checks.
    differences,
    findings,
    model,
)
from platformedge import documents, drafts, store


def read_file(file: str) -> model.Draft:
    """Return the configuration in a file, or on standard input if it is ``-``.

    Raises
    ------
    errors.UsageError
        If the file cannot be read or holds no JSON.
    """
    try:
        return drafts.decode_draft(cmdoptions.read_text(file))
    except drafts.DraftError as error:
        raise errors.UsageError(f"{file}: {error}") from None


def check_alone(file: str) -> outcomes.Outcome:
    """Check the configuration in a file by itself."""
    return show(file, model.Situation(read_file(file)), "")


def check_against_file(file: str, in_force: str) -> outcomes.Outcome:
    """Check the configuration in a file against the version in another file."""
    return show(file, model.Situation(read_file(file), read_file(in_force)), in_force)


def check_against_store(
    draft: model.Draft, file: str, connection: store.Connection
) -> outcomes.Outcome:
    """Check a configuration against what is in force; each kind is listed once."""
    situation = read_store(draft, connection)
    if isinstance(situation, store.Failure):
        line = f"cannot read the store ({situation.value}); nothing was checked"
        data = {"outcome": "store_unreadable", "problem": situation.value}
        return outcomes.Outcome(outcomes.Exit.USAGE, [line], data)
    return show(file, situation, "the version in force")


def read_store(
    draft: model.Draft, connection: store.Connection
) -> model.Situation | store.Failure:
    """Return a draft with the store's contents, or why these cannot be listed.

    A store that does not know the kind of the evacuations has none.
    """
    listings: dict[str, list[documents.StoredDocument]] = {}
    state = model.StoreState()
    for kind in (
        documents.CONFIG_KIND,
        documents.TARGETS_KIND,
        documents.OVERRIDES_KIND,
        documents.EVACUATIONS_KIND,
    ):
        listing = store.list_kind(connection, kind, fleetcommands.CALL_TIMEOUT_S)
        if kind == documents.EVACUATIONS_KIND and listing is store.Failure.NOT_FOUND:
            continue
        if isinstance(listing, store.Failure):
            return listing
        listings[kind] = listing.documents
        state.unreadable += listing.unreadable
    situation = model.Situation(draft, store=state)
    for document in listings[documents.CONFIG_KIND]:
        if document.name == documents.CONFIG_NAME:
            add_version_in_force(situation, document.content)
    for document in listings[documents.TARGETS_KIND]:
        try:
            target = documents.decode_target(document.name, document.content)
            state.targets.append(target)
        except documents.DocumentError as error:
            state.unreadable.append(str(error))
    overrides = []
    for document in sorted(
        listings[documents.OVERRIDES_KIND], key=lambda found: found.position
    ):
        try:
            override = documents.decode_override(document.name, document.content)
        except documents.DocumentError as error:
            state.unreadable.append(str(error))
            continue
        if not override.released:
            overrides.append(override)
    active = overriderules.newest_active(overrides, clock.unix_s())
    state.overrides = list(active.values())
    # The content of an evacuation has no meaning.
    evacuations = listings.get(documents.EVACUATIONS_KIND, [])
    state.evacuated = {document.name for document in evacuations}
    return situation


def add_version_in_force(situation: model.Situation, content: bytes) -> None:
    """Decode the version in force, or note why that is not possible.

    It is no reason to refuse the check: the new version may be the repair.
    """
    try:
        situation.in_force = drafts.decode_draft(content.decode())
    except (drafts.DraftError, UnicodeDecodeError) as error:
        situation.in_force_problem = str(error)


def notes(situation: model.Situation) -> list[str]:
    """Return remarks that are no findings."""
    lines = [
        f"{entry.title} {name}: unknown field, not checked"
        for entry, name in situation.draft.unknown_fields
    ]
    if situation.store is not None:
        if situation.in_force is None and not situation.in_force_problem:
            lines.append("the store has no configuration")
        unreadable = situation.store.unreadable
        lines += [f"unreadable in the store: {problem!a}" for problem in unreadable]
    return lines


def show(file: str, situation: model.Situation, compared: str) -> outcomes.Outcome:
    """Return findings, differences, and notes.

    `compared` names the version that the draft is compared with; empty for none.
    """
    # A file name that is not UTF-8 cannot be printed as it is.
    file = file.encode(errors="backslashreplace").decode()
    found = findings.find(situation)
    differing = []
    if situation.in_force is not None:
        differing = differences.compare(situation.in_force, situation.draft)
    remarks = notes(situation)
    lines = [f"{file}: {finding.line()}" for finding in found]
    lines += [f"{file}: note: {remark}" for remark in remarks]
    if situation.in_force is not None:
        lines.append(f"differences from {compared}: {len(differing)}")
        lines += [f"  {difference.line()}" for difference in differing]
    lines.append(f"{file}: findings: {len(found)}")
    data: dict[str, typing.Any] = {
        "outcome": "findings" if found else "ok",
        "file": file,
        "findings": [finding.data() for finding in found],
        "notes": remarks,
    }
    if situation.in_force is not None:
        data["differences"] = [difference.data() for difference in differing]
    code = outcomes.Exit.FAILED if found else outcomes.Exit.OK
    return outcomes.Outcome(code, lines, data)
