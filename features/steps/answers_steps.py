"""Steps for answers of two runs and repeated handovers."""

import behave

from basilgate import client, home, wire
from standins import memory, virtualtime


def piece(run, number):
    """Return an answer piece of a run."""
    frame = wire.Frame(wire.Kind.ANSWER, 1, 5, 1, piece=number, pieces=3)
    frame.deadline_ms = run
    frame.body = b"%d/%d" % (run, number)
    return frame


@behave.given("an answer exchange with 2 of 3 pieces of run {run:d}")
def start_exchange(context, run):
    """Take the first two pieces."""
    context.exchange = client.Exchange()
    for number in (0, 1):
        context.exchange.take(piece(run, number))
    assert len(context.exchange.pieces) == 2


@behave.when("piece {number:d} of run {run:d} arrives")
def take_piece(context, number, run):
    """Take a piece of another run."""
    context.exchange.take(piece(run, number))


@behave.then("the answer exchange holds only pieces of run {run:d}")
def check_pieces(context, run):
    """Check that no piece of the first run is left."""
    assert context.exchange.pieces == {2: b"%d/2" % run}, context.exchange.pieces
    assert context.exchange.complete_to == 0


@behave.given("a home that lacks records until a set time")
def incomplete_home(context):
    """Remember the time in Unix milliseconds."""
    context.until_ms = home.now_ms() + 30_000


@behave.when("it is handed over twice")
def hand_over_twice(context):
    """Export and load through two homes, as two planned changes do."""

    async def main():
        network = memory.MemoryNetwork(1)
        node = memory.Node(network, "h1", 1)
        service = network.config.services[1]
        entry = home.Home(network.config.targets[1], service, node.homes.context, "h1")
        entry.incomplete_until_ms = context.until_ms
        for host in ("h2", "h3"):
            heir = home.Home(entry.target, service, node.homes.context, host)
            handover = entry.export(entry.host, 1, 1)
            heir.takeover(0.0, entry.host, complete=False)
            await heir.load(handover)
            entry = heir
        context.last = entry

    virtualtime.run(main)


@behave.then("the last home lacks records until the same time")
def check_incomplete(context):
    """Check the end of the incomplete time."""
    assert context.last.incomplete_until_ms == context.until_ms
