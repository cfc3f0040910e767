"""Steps for the operators' commands on the users' platform."""

import contextlib
import io
import json

import behave
from fleet_feed_steps import eventually, follow

from basilgate import cmdline, outcomes
from platformedge import documents


def call(context, *arguments):
    """Run the command line; keep exit code and output."""
    output = io.StringIO()
    address = f"{context.address[0]}:{context.address[1]}"
    extra = () if "--store" in arguments else ("--store", address)
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        context.exit = cmdline.run(["fleet", *arguments, *extra])
    context.output = output.getvalue()
    return context.output


@behave.then("fleet routes shows version {version:d} and {route}")
def check_routes(context, version, route):
    """Check the routes."""
    shown = call(context, "routes")
    assert f"configuration {version}" in shown and route in shown, shown
    assert "198.18.0.1:443" in shown


@behave.then("fleet targets shows {target} with new flows")
def check_targets(context, target):
    """Check the targets."""
    call(context, "targets", "desk", "--output", "json")
    rows = json.loads(context.output)["targets"]
    assert [row[4] for row in rows if row[0] == target] == ["yes"], rows
    call(context, "targets", "unheard-of")
    assert context.exit == outcomes.Exit.NOT_FOUND


@behave.when("a host follows the store and its overrides")
def follow_with_overrides(context):
    """Follow all kinds in this process."""
    follow(context)


@behave.when("an operator sets {what} on {target}")
def set_override(context, what, target):
    """Set an override."""
    kind, _, weight = what.partition(" ")
    extra = ("--weight", weight) if weight else ()
    call(context, "override", target, kind, "--operator", "Ana", *extra)


@behave.when("the operator removes the override")
def remove_override(context):
    """Remove the override at its revision."""
    shown = json.loads(call(context, "overrides", "--output", "json"))
    revision = shown["overrides"][0][-1]
    call(context, "release", "i-00000001", revision)


@behave.when("the operator removes the override at an older revision")
def remove_older(context):
    """Remove the override at a revision that it no longer has."""
    call(context, "release", "i-00000001", "1")


@behave.then("the command ends with {code}")
def check_code(context, code):
    """Check the exit code, and what the output names."""
    code, _, name = code.partition(" and names ")
    assert context.exit == outcomes.Exit[code], (context.exit, context.output)
    assert name in context.output, context.output


@behave.then("it ends with {code}")
def check_usage(context, code):
    """Check the exit code."""
    assert context.exit == outcomes.Exit[code], (context.exit, context.output)


@behave.then("the host admits new flows at {target}: {admitted}")
def check_admitted(context, target, admitted):
    """Check what the host does."""
    view = context.host.view

    def holds():
        names = [found.target.name for found in view.candidates("desk")]
        return (target in names) == (admitted == "yes")

    eventually(holds, f"new flows at {target}: {admitted}")


@behave.then("fleet explain {target} tells {admitted}")
def check_explained(context, target, admitted):
    """Check the explanation."""
    shown = call(context, "explain", target)
    assert f"new flows: {admitted} (override {target}" in shown, shown


@behave.then("the host comes to configuration {version:d}")
def check_version(context, version):
    """Wait for a configuration."""
    view = context.host.view
    eventually(lambda: view.configuration.version == version, f"version {version}")


@behave.given("the store loses the next answer to a write")
@behave.when("the store loses the next answer to a write")
def lose_answer(context):
    """Let one write take effect without an answer."""
    context.store.faults.lose_answers = 1


@behave.given("the store {trouble} for operators")
def break_for_operators(context, trouble):
    """Let every call fail."""
    context.store.faults.status = int(trouble.split()[1])


@behave.given("a colleague has drained {target}")
def drain_by_colleague(context, target):
    """Write a colleague's override."""
    found = {"kind": "drain", "service": "desk", "target": target, "operator": "Ion"}
    context.store.put(documents.OVERRIDES_KIND, target, found)


@behave.then("there is one override by {operator}")
def check_single(context, operator):
    """Check what the store holds."""
    held = list(context.store.kinds[documents.OVERRIDES_KIND].values())
    assert [found["spec"]["operator"] for found in held] == [operator], held
    assert context.store.faults.lose_answers == 0


@behave.when("basilgate is called with {arguments}")
def call_with(context, arguments):
    """Call the command line with arguments."""
    call(context, *arguments.split()[1:])


@behave.when("the operator looks at the overrides")
def look(context):
    """Keep the revision of the only override."""
    shown = json.loads(call(context, "overrides", "--output", "json"))
    context.shown_revision = shown["overrides"][0][-1]


@behave.when("a colleague drains {target}, which gets the same revision")
def drain_at_same_revision(context, target):
    """Write a colleague's override and check its revision."""
    drain_by_colleague(context, target)
    assert context.shown_revision.endswith(f".{context.store.revision}")


@behave.when("the operator removes the override that was shown")
def remove_shown(context):
    """Remove the override at the revision that was shown."""
    call(context, "release", "i-00000001", context.shown_revision)
