"""Steps for the short soak of the packet program."""

import pathlib
import tempfile

import behave

from lab import fleetsoak
from platformedge import packets
from standins import fleetcaller


def evidence_of(seed, seconds, profile):
    """Run real processes with faults, and return what was seen."""
    with tempfile.TemporaryDirectory() as folder:
        soak = fleetsoak.Soak(seed, pathlib.Path(folder), profile)
        return soak.run(seconds)


@behave.when("the soak runs with seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds):
    """Run the usual faults."""
    context.evidence = evidence_of(seed, seconds, "usual")


@behave.when("the soak plays planned work with seed {seed:d} for {seconds:d} s")
def run_planned_soak(context, seed, seconds):
    """Run planned work beside faults of a few hosts."""
    context.evidence = evidence_of(seed, seconds, "planned")


@behave.when("the soak plays changes in series with seed {seed:d} for {seconds:d} s")
def run_soak_of_changes(context, seed, seconds):
    """Run changes in series beside a store that fails."""
    context.evidence = evidence_of(seed, seconds, "changes")


@behave.then("no promise is broken and requests were answered")
def check_soak(context):
    """Check what was seen."""
    assert context.evidence.violations == [], context.evidence.violations
    assert context.evidence.answered > 0
    assert context.evidence.faults


def flow_after(*resets):
    """Return a flow after packets without data, each a reset or an acceptance."""
    callers = fleetcaller.Callers("127.0.0.1", 0, 1)
    flow = fleetcaller.Flow(b"")
    for resetting in resets:
        callers.note(flow, resetting, 7, bytes(packets.HEADER.size))
    return flow


@behave.when("a flow gets a reset and then an acceptance")
def reset_then_accept(context):
    """Reset an attempt before it is accepted."""
    context.flow = flow_after(True, False)


@behave.then("it counts as refused and never opened")
def check_refused(context):
    """Check a flow that was reset first."""
    assert (context.flow.ended, context.flow.opened_by) == ("reset", None)


@behave.when("a flow gets an acceptance and then a reset")
def accept_then_reset(context):
    """Reset a flow that is open."""
    context.flow = flow_after(False, True)


@behave.then("it counts as opened and then reset")
def check_reset(context):
    """Check a flow that was accepted first."""
    assert (context.flow.ended, context.flow.opened_by) == ("reset", 7)
    assert context.flow.opened_at <= context.flow.ended_at
