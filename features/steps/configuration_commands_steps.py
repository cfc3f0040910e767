"""Steps for the operators' commands."""

import contextlib
import csv
import datetime
import io
import os

import anyio
import behave
import configuration_steps as base
import hypothesis
import hypothesis.strategies as st
from returns import result

from basilgate import (
    cmdline,
    commands,
    effectiveconfig,
    platformapi,
    queries,
    storedobjects,
)
from basilgate import sheet as sheets
from lab import configbench, confighosts

CONTENT = base.content(2, 3)
PLACE = ("desk-0", "t0")


@behave.given("a configuration platform for commands")
def make_platform(context):
    """Start the stand-in in this process."""
    behave.use_fixture(base.config_rig, context)
    context.outcomes, context.silent = [], ()


def run(context, action):
    """Run an action with a session of its own."""

    async def perform():
        session = confighosts.session(
            confighosts.connect(context.platform),
            context.rig.hosts.values(),
            context.silent,
        )
        return await action(session)

    return context.rig.portal.call(perform)


def set_override(context, operator="ana", over="", wait_s=0.0, **changes):
    """Set an override by the command and keep its outcome."""
    values = {"operator": operator, "service": PLACE[0], "target": PLACE[1]}
    value = base.override("maintenance", **(values | changes))
    outcome = run(context, lambda s: commands.set_override(s, value, over, wait_s))
    context.outcomes.append(outcome)
    return outcome


def apply(context, content, version):
    """Apply a sheet by the command."""
    text = configbench.ini(content)
    return run(context, lambda s: commands.apply_sheet(s, text, version, "ion"))


def overrides(context):
    """Return the overrides with their state."""
    now = datetime.datetime.now(datetime.UTC)
    found = run(context, lambda s: queries.read_overrides(s.platform, now))
    return found.unwrap()


@behave.given("an applied configuration sheet")
def apply_first(context):
    """Apply the first sheet."""
    assert apply(context, CONTENT, 0).exit == 0


# Lost answers.


def put(context, name, reason, version, meanwhile=None):
    """Write an object; `meanwhile` runs before the first read that settles it."""

    async def write(session):
        client = session.platform
        read = client.get

        async def get(*arguments):
            if meanwhile is not None and not context.acted:
                context.acted = True
                meanwhile(context.platform.store)
            return await read(*arguments)

        context.acted = False
        client.get = get
        value = base.value_of(base.override(reason))
        return await client.put(name, value, version)

    context.answer = run(context, write)


@behave.when("an operator changes a configuration object and the {what} is lost")
def lose(context, what):
    """Lose the answer after the effect, or the write itself."""
    put(context, base.NAME, "first", 0)
    fault = "lose_answers" if what == "answer" else "lose_writes"
    setattr(context.platform.faults, fault, 1)
    put(context, base.NAME, "second", 1)


@behave.then("the configuration write is reported as accepted and took effect once")
def check_accepted(context):
    """Check the answer and the history."""
    assert context.answer.unwrap().version == 2
    check_effect(context)


@behave.then("the configuration write took effect once")
def check_effect(context):
    """Check that the second version was written once."""
    history = context.platform.store.history
    assert [found.version for found in history] == [1, 2]


@behave.when(
    "a configuration override is created, its answer lost, and a colleague removes it"
)
def lose_creation(context):
    """Remove the override before its creator reads it back."""
    context.platform.faults.lose_answers = 1
    put(context, base.NAME, "first", 0, lambda store: store.write(base.NAME, None))


@behave.when("a configuration write's answer is lost and a colleague writes after it")
def lose_and_replace(context):
    """Replace the object before its writer reads it back."""
    put(context, base.NAME, "first", 0)
    context.platform.faults.lose_answers = 1
    colleague = base.value_of(base.override("colleague"))
    put(context, base.NAME, "mine", 1, lambda s: s.write(base.NAME, colleague))


@behave.when("a configuration write's answer is lost while reads lag behind")
def lose_and_lag(context):
    """Let reads show the state before the write."""
    put(context, base.NAME, "first", 0)
    context.platform.faults.lose_answers = 1
    context.platform.faults.stale_revision = 1
    put(context, base.NAME, "second", 1)


@behave.then("it is unknown whether the configuration write was accepted")
def check_unknown(context):
    """Check the kind of the problem."""
    kind = platformapi.ProblemKind.OUTCOME_UNKNOWN
    assert context.answer.failure().kind is kind, context.answer


@behave.then("the configuration override stays removed")
def check_still_removed(context):
    """Check the last state."""
    assert context.platform.store.objects[base.NAME].value is None


@behave.then("the colleague's configuration write stays")
def check_colleague(context):
    """Check the last state."""
    held = context.platform.store.objects[base.NAME]
    assert held.value["reason"] == "colleague"


# Overrides.


@behave.when("2 operators override the same configuration target at once")
def race_overrides(context):
    """Let both read before either writes."""

    async def race(session):
        barrier = anyio.Event()
        waiting = []

        async def both_have_read(platform, now):
            found = await read(platform, now)
            waiting.append(1)
            if len(waiting) == 2:
                barrier.set()
            await barrier.wait()
            return found

        read, queries.read_overrides = queries.read_overrides, both_have_read

        async def one(operator):
            value = base.override(
                "race", operator=operator, service=PLACE[0], target=PLACE[1]
            )
            context.outcomes.append(await commands.set_override(session, value))

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(one, "ana")
                tasks.start_soon(one, "ion")
        finally:
            queries.read_overrides = read

    run(context, race)


@behave.then("the configuration commands end with exit codes 0 and 3")
def check_codes(context):
    """Check that one won."""
    assert sorted(int(o.exit) for o in context.outcomes) == [0, 3]
    assert len(overrides(context)) == 1


@behave.then("the configuration conflict names the winner's override or version")
def check_conflict_text(context):
    """Check that the conflict says what it conflicts with."""
    winner = next(o for o in context.outcomes if o.exit == 0)
    loser = next(o for o in context.outcomes if o.exit == 3)
    assert winner.data["id"] in loser.lines[0], loser.lines


@behave.when("an operator overrides a configuration target that a colleague has pulled")
def override_colleague(context):
    """Set a weight over a pull without naming it."""
    context.first = set_override(context, "ion")
    assert context.first.exit == 0
    set_override(context, kind="weight", weight=5)


@behave.then("the configuration command ends with exit code 3 and names the colleague")
def check_named(context):
    """Check the conflict."""
    outcome = context.outcomes[-1]
    assert outcome.exit == 3
    assert "by ion" in outcome.lines[0], outcome.lines


@behave.then("it is accepted with the id of the colleague's configuration override")
def override_knowingly(context):
    """Name the override and check the states."""
    over = context.first.data["id"]
    assert set_override(context, kind="weight", weight=5, over=over).exit == 0
    assert [o.state for o in overrides(context)] == ["superseded", "in_force"]


@behave.when("a configuration override and a sheet for the same target race")
def race_sheet(context):
    """Apply a sheet that drains the target while it is pinned."""
    drained = CONTENT.targets[0].model_copy(update={"state": "drain"})
    context.content = sheets.dataclasses.replace(
        CONTENT, targets=(drained, *CONTENT.targets[1:])
    )

    async def race(session):
        async def apply_it():
            text = configbench.ini(context.content)
            context.outcomes.append(await commands.apply_sheet(session, text, 1, "ion"))

        async def pin_it():
            value = base.override(
                "keep it", kind="pin", service=PLACE[0], target=PLACE[1]
            )
            context.outcomes.append(await commands.set_override(session, value))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(apply_it)
            tasks.start_soon(pin_it)

    run(context, race)


def follow(context):
    """Return what a host that reads the platform has in force."""
    host = confighosts.ConfigHost("reader", "suceava", None)
    store = context.platform.store
    host.store.apply_all(store.objects.values())
    return host


@behave.then("both configuration changes are accepted and the override is in force")
def check_both(context):
    """Check outcomes and the merged target."""
    assert [o.exit for o in context.outcomes] == [0, 0], context.outcomes
    target = follow(context).effective().targets[1]
    assert target.admits and target.pinned


@behave.then(
    "planning the configuration sheet names the override, its operator, and reason"
)
def check_plan(context):
    """Check the conflict in the plan."""
    text = configbench.ini(context.content)
    outcome = run(context, lambda s: queries.plan(s, text))
    conflict = next(line for line in outcome.lines if line.startswith("conflict"))
    for part in ("pin desk-0/t0", "by ana", "since 2026-12-04T06:00:00Z", "keep it"):
        assert part in conflict, conflict


@behave.then("configuration overrides of an unknown service and target end with code 9")
def check_unknown_target(context):
    """Try both."""
    assert set_override(context, service="nowhere").exit == 9
    assert set_override(context, target="nobody").exit == 9


@behave.then("no configuration override is stored")
def check_none_stored(context):
    """Check the platform."""
    assert overrides(context) == []


@behave.when("an operator removes a configuration override with an older version")
def remove_older(context):
    """Let a colleague write the override again before the removal."""
    context.first = set_override(context)
    name = storedobjects.OVERRIDE_PREFIX + context.first.data["id"]
    held = context.platform.store.objects[name]
    context.rig.write(name, held.value)
    outcome = run(
        context, lambda s: commands.remove_override(s, context.first.data["id"], 1)
    )
    context.outcomes.append(outcome)


@behave.then("the configuration command ends with exit code 3 and the override stays")
def check_stays(context):
    """Check the conflict, and that the version read removes it."""
    assert context.outcomes[-1].exit == 3
    (held,) = overrides(context)
    removed = run(
        context, lambda s: commands.remove_override(s, held.value.id, held.version)
    )
    assert removed.exit == 0 and overrides(context) == []


@behave.when("a configuration override with an end is set over a pull")
def set_with_end(context):
    """Set a weight until an hour from now."""
    first = set_override(context)
    context.end = datetime.datetime.now(datetime.UTC) + datetime.timedelta(hours=1)
    outcome = set_override(
        context,
        kind="weight",
        weight=5,
        over=first.data["id"],
        expires_at=context.end,
    )
    assert outcome.exit == 0


@behave.then("the configuration pull is in force again from the end on")
def check_end(context):
    """Merge just before and at the end."""
    store = follow(context).store
    before = effectiveconfig.from_replica(
        store, context.end - datetime.timedelta(microseconds=1)
    )
    assert before.targets[1].admits and before.targets[1].weight == 5
    assert before.next_expiry_s == context.end.timestamp()
    assert not effectiveconfig.from_replica(store, context.end).targets[1].admits


@behave.when("the later of two configuration overrides has the earlier creation time")
def set_with_skew(context):
    """Set the second override from a clock that is an hour behind."""
    first = set_override(context)
    earlier = base.CREATED_AT - datetime.timedelta(hours=1)
    outcome = set_override(
        context, kind="pin", over=first.data["id"], created_at=earlier
    )
    assert outcome.exit == 0


@behave.then("the later accepted configuration override is in force on every node")
def check_skew(context):
    """Merge with the objects in either order of arrival."""
    arrived = list(context.platform.store.objects.values())
    for order in (arrived, arrived[::-1]):
        host = confighosts.ConfigHost("reader", "suceava", None)
        for found in order:
            host.store.apply(found)
        assert host.effective().targets[1].pinned


# Sheets.


FAULTY = """[sheet]
date = 2026-12-04
colour = red
[failure_domain suceava]
number = 1
[service desk]
id = 1
[target a]
id = 1
service = desk
failure_domain = suceava
address = 127.0.0.1:8000
admin = 127.0.0.1:8001
[target b]
id = 1
service = dock
failure_domain = suceava
address = 127.0.0.1
admin = 127.0.0.1:8001
nonsense
slots = 0
"""
FAULTY_LINES = [3, 15, 16, 18, 20, 21]


@behave.when("a configuration sheet with 6 faults is applied")
def apply_faulty(context):
    """Apply it by the command."""
    context.outcomes.append(
        run(context, lambda s: commands.apply_sheet(s, FAULTY, 0, "ana"))
    )


@behave.then(
    "each configuration fault is reported with its line and nothing is written"
)
def check_faults(context):
    """Check the lines and the platform."""
    outcome = context.outcomes[-1]
    assert outcome.exit == 6
    lines = [problem["line"] for problem in outcome.data["problems"]]
    assert lines == FAULTY_LINES, outcome.lines
    assert context.platform.store.revision == 0


@behave.given("a configuration sheet in CSV with repeated service columns")
def make_csv(context):
    """Write the sheet with one row for each target."""
    services = {service.name: service for service in CONTENT.services}
    rows = []
    for target in CONTENT.targets:
        values = target.model_dump(mode="json")
        values["target"] = values.pop("name")
        service = services[target.service].model_dump(mode="json", exclude={"name"})
        values |= {f"service_{key}": value for key, value in service.items()}
        values |= {"failure_domain_number": 1, "date": "2026-12-04"}
        rows.append(values)
    context.rows = rows


def csv_text(rows):
    """Return rows as CSV."""
    text = io.StringIO()
    writer = csv.DictWriter(text, rows[0])
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue()


@behave.then("it has the configuration that the INI sheet has")
def check_csv(context):
    """Compare the content."""
    ini = sheets.parse(configbench.ini(CONTENT)).unwrap()
    assert sheets.parse(csv_text(context.rows)).unwrap() == ini
    assert set(sheets.divide(ini)) == set(sheets.divide(CONTENT))


@behave.then("a conflicting configuration column is reported with its line")
def check_csv_conflict(context):
    """Change a repeated column in the third row."""
    context.rows[2]["service_queue_limit"] = 9
    problems = sheets.parse(csv_text(context.rows)).failure()
    assert [problem.line for problem in problems] == [4], problems


@behave.when("random texts are read as configuration sheets")
def read_random_texts(context):
    """Read arbitrary text, and text made of pieces of real sheets."""
    pieces = st.sampled_from([*FAULTY.splitlines(), "[", "=", "a,b", "service,target"])
    texts = st.one_of(st.text(), st.lists(st.one_of(pieces, st.text())).map("\n".join))
    context.checked = 0

    @hypothesis.given(texts)
    def read(text):
        parsed = sheets.parse(text)
        if isinstance(parsed, result.Failure):
            assert all(problem.line >= 1 for problem in parsed.failure())
            assert parsed.failure()
        else:
            sheets.divide(parsed.unwrap())
        context.checked += 1

    read()


@behave.then("each result is a configuration sheet or problems with line numbers")
def check_random_texts(context):
    """Check that texts were read."""
    assert context.checked >= 100, context.checked


@behave.when(
    "{rounds:d} rounds of 3 operators apply different configuration sheets at once"
)
def race_sheets(context, rounds):
    """Race whole applies with calls that take random times."""
    context.rounds = []

    async def one(choice, version, found):
        client = confighosts.connect(context.platform)
        exchange = client.exchange

        async def delayed(*arguments):
            await anyio.sleep(context.rng.random() * 0.003)
            return await exchange(*arguments)

        client.exchange = delayed
        session = confighosts.session(client)
        content = base.content(120 + choice % 3, 2, weight=choice + 1)
        text = configbench.ini(content)
        # Operators start at different times, so that one cleans up while another
        # has written parts without their manifest.
        await anyio.sleep(context.rng.random() * 0.03)
        found.append(await commands.apply_sheet(session, text, version, f"op{choice}"))

    async def race():
        for _ in range(rounds):
            version = context.platform.store.version(storedobjects.SHEET)
            found = []
            async with anyio.create_task_group() as tasks:
                # Few choices, so that sheets share parts with former ones.
                for choice in context.rng.sample(range(6), 3):
                    tasks.start_soon(one, choice, version, found)
            context.rounds.append((found, follow(context).store.missing_parts()))

    context.rig.portal.call(race)


@behave.then(
    "in each round one configuration sheet is accepted and every part is there"
)
def check_rounds(context):
    """Check exit codes and parts."""
    for found, missing in context.rounds:
        assert sorted(int(o.exit) for o in found) == [0, 3, 3], found
        assert missing == []
    store = context.platform.store
    parts = [n for n in store.objects if storedobjects.is_part(n) and store.version(n)]
    # Parts of the sheet in force, and of what was begun since the one before.
    assert len(parts) <= 4 * len(follow(context).store.sheet.parts), len(parts)


@behave.given("two applied configuration sheets")
def apply_two(context):
    """Leave the parts of the first sheet behind."""
    context.first = base.content(3, 2, weight=1)
    assert apply(context, context.first, 0).exit == 0
    assert apply(context, base.content(3, 2, weight=2), 1).exit == 0


@behave.when("colleagues clean up between the parts and the manifest of the first one")
def clean_up_between(context):
    """Clean up by what was read before and after the parts were written."""

    async def apply_first_again(session):
        client = confighosts.connect(context.platform)
        put = session.platform.put
        before = (await queries.read_sheet(client)).unwrap()

        async def put_after_clean_up(name, value, version):
            if name == storedobjects.SHEET:
                after = (await queries.read_sheet(client)).unwrap()
                assert set(after.parts) != {*after.manifest.parts}
                for stored in (before, after):
                    await commands.remove_unreferenced_parts(client, stored)
            return await put(name, value, version)

        session.platform.put = put_after_clean_up
        text = configbench.ini(context.first)
        return await commands.apply_sheet(session, text, 2, "ion")

    context.outcomes.append(run(context, apply_first_again))


@behave.then("the configuration sheet is accepted and every part is there")
def check_spared(context):
    """Check the platform and a host that reads it."""
    assert context.outcomes[-1].exit == 0
    reader = follow(context).store
    assert reader.missing_parts() == [] and reader.sheet_version == 3


# Acceptance and force.


@behave.when("the platform {fault} and an operator sets a configuration override")
def set_during_fault(context, fault):
    """Set an override while the platform fails."""
    if fault == "is down":
        context.platform.faults.down = True
        set_override(context)
        return

    async def lose_all(session):
        exchange = session.platform.exchange

        async def lossy(method, *arguments):
            if method == "PUT":
                session.platform.exchange = unreadable
                await exchange(method, *arguments)
            return await (exchange if method == "GET" else unreadable)()

        async def unreadable(*arguments):
            kind = platformapi.ProblemKind.OUTCOME_UNKNOWN
            return result.Failure(platformapi.Problem(kind))

        async def route(method, *arguments):
            if method == "GET":
                return await exchange(method, *arguments)
            return await lossy(method, *arguments)

        session.platform.exchange = route
        value = base.override("lost", service=PLACE[0], target=PLACE[1])
        return await commands.set_override(session, value)

    context.outcomes.append(run(context, lose_all))


@behave.then("the configuration command ends with exit code {code:d}")
def check_code(context, code):
    """Check the last exit code."""
    outcome = context.outcomes[-1]
    assert outcome.exit == code, outcome
    assert not any("accepted: version" in line for line in outcome.lines)


@behave.given("3 configuration hosts of which one is cut off and one does not answer")
def cut_hosts(context):
    """Run hosts without gossip, and bring views and a sheet into force."""
    for name in ("h0", "h1", "h2"):
        context.rig.start_host(name)
    members = [host.members.me for host in context.rig.hosts.values()]
    view = storedobjects.View(domain="suceava", epoch=1, members=tuple(members))
    context.rig.write("view/suceava", base.value_of(view))
    assert apply(context, CONTENT, 0).exit == 0
    context.rig.settle()
    context.rig.portal.call(exchange_digests, context.rig.hosts)
    context.silent = ("h2",)


async def exchange_digests(hosts):
    """Exchange digests once."""
    with anyio.move_on_after(confighosts.GOSSIP_INTERVAL_S / 2):
        await confighosts.gossip(list(hosts.values()))


@behave.when("an operator sets a configuration override and waits")
def set_and_wait(context):
    """Wait for a while; two hosts cannot have it."""
    for name in ("h1", "h2"):
        # No repair between peers, so the state stays as it is.
        context.rig.hosts[name].sync.sync_candidates = list
        context.rig.cut(name)
    context.rig.portal.call(anyio.sleep, 0.7)
    set_override(context, wait_s=1.0)


@behave.then("it is in force on 1 of 3 configuration hosts and the others are named")
def check_force(context):
    """Check the named hosts."""
    outcome = context.outcomes[-1]
    assert outcome.exit == 7, outcome
    assert outcome.lines[0].startswith("accepted: version 1"), outcome.lines
    force = outcome.data["in_force"]
    assert force["in_force"] == ["h0"], force
    assert force["behind"] == ["h1", "h2"], force


@behave.given("configuration keys of which the newest was created 10 s ago")
def make_keys(context):
    """Make two keys; the newer one has the lower id, as after id 255."""
    now = context.now = datetime.datetime.now(datetime.UTC)
    context.keys = [
        storedobjects.Key(
            id=255, secret="17" * 16, created_at=now - datetime.timedelta(1)
        ),
        storedobjects.Key(
            id=0, secret="18" * 16, created_at=now - datetime.timedelta(seconds=10)
        ),
    ]


@behave.then("the former configuration key signs until 30 s have passed")
def check_signing(context):
    """Check the choice before and at the time."""
    later = context.now + datetime.timedelta(seconds=20)
    before = later - datetime.timedelta(milliseconds=1)
    assert effectiveconfig.signing_key(context.keys, before) == 255
    assert effectiveconfig.signing_key(context.keys, later) == 0


@behave.given("configuration keys 254 and 255 created 3 and 2 days ago")
def write_keys(context):
    """Write two keys; the newer one is in use for two days."""
    now = datetime.datetime.now(datetime.UTC)
    for number, days in ((254, 3), (255, 2)):
        created = now - datetime.timedelta(days=days)
        key = storedobjects.Key(id=number, secret="17" * 16, created_at=created)
        context.rig.write(f"key/{number}", base.value_of(key))


@behave.when("an operator rotates the configuration key")
def rotate(context):
    """Rotate with tokens that live for a day."""
    outcome = run(context, lambda s: commands.rotate_key(s, "ana", 86_400.0))
    assert outcome.exit == 0, outcome


@behave.then("configuration key 0 is new, 254 is removed, and 255 is kept")
def check_keys(context):
    """Check which keys are left, and that no two have the same secret."""
    store = context.platform.store
    held = {name: found.value for name, found in store.objects.items() if found.value}
    assert sorted(held) == ["key/0", "key/255"]
    assert held["key/0"]["secret"] != held["key/255"]["secret"]


@behave.then("these configuration command lines end with exit code 2")
def check_usage(context):
    """Run each command line in this process."""
    os.environ.pop(cmdline.PLATFORM_VARIABLE, None)
    for row in context.table:
        hidden = io.StringIO()
        with contextlib.redirect_stderr(hidden), contextlib.redirect_stdout(hidden):
            code = cmdline.run(row["arguments"].split())
        assert code == 2, (row["arguments"], code, hidden.getvalue())
