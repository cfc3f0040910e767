"""Steps for answers of two runs and repeated handovers."""

import math

import anyio
import behave

from basilgate import client, handovers, requestrecords, targetowner, wire
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
    context.exchange = client.PendingRequest()
    for number in (0, 1):
        context.exchange.add_piece(piece(run, number))
    assert len(context.exchange.pieces) == 2


@behave.when("piece {number:d} of run {run:d} arrives")
def take_piece(context, number, run):
    """Take a piece of another run."""
    context.exchange.add_piece(piece(run, number))


@behave.then("the answer exchange holds only pieces of run {run:d}")
def check_pieces(context, run):
    """Check that no piece of the first run is left."""
    assert context.exchange.pieces == {2: b"%d/2" % run}, context.exchange.pieces
    assert context.exchange.received_to == 0


@behave.given("a home that lacks records until a set time")
def incomplete_home(context):
    """Remember the time in Unix milliseconds."""
    context.until_ms = targetowner.now_ms() + 30_000


@behave.when("it is handed over twice")
def hand_over_twice(context):
    """Export and load through two homes, as two planned changes do."""

    async def main():
        network = memory.MemoryNetwork(1)
        node = memory.Node(network, "h1", 1)
        service = network.config.services[1]
        owner = targetowner.TargetOwner(
            network.config.targets[1], service, node.owned_targets.context, "h1"
        )
        owner.incomplete_until_ms = context.until_ms
        for host in ("h2", "h3"):
            successor = targetowner.TargetOwner(
                owner.target, service, node.owned_targets.context, host
            )
            handover = handovers.export_handover(owner, 1, 1)
            successor.start_takeover(0.0, owner.host, complete=False)
            await handovers.apply_handover(successor, handover)
            owner = successor
        context.last = owner

    virtualtime.run(main)


@behave.then("the last home lacks records until the same time")
def check_incomplete(context):
    """Check the end of the incomplete time."""
    assert context.last.incomplete_until_ms == context.until_ms


@behave.given(
    "a home that started at epoch {epoch:d} and awaits a host that never was home"
)
def given_waiting_home(context, epoch):
    """Remember the epoch; the home is made on virtual time."""
    context.epoch = epoch


def waiting_home(context, node):
    """Return a home that awaits host h2."""
    owner = targetowner.TargetOwner(
        node.network.config.targets[1],
        node.network.config.services[1],
        node.owned_targets.context,
        "h1",
    )
    owner.started_epoch = context.epoch
    owner.previous_owner = ("h2", 2)
    owner.start_takeover(math.inf, "h2", complete=False)
    return owner


@behave.when("another host hands the target over at epoch {epoch:d}")
def hand_over_at(context, epoch):
    """Load a handover of host h3 with one finished request."""

    async def main():
        node = memory.Node(memory.MemoryNetwork(1), "h1", 1)
        context.waiting = waiting_home(context, node)
        other = waiting_home(context, node)
        other.previous_owner = None
        other.authority_at = 0.0
        other.incomplete_until_ms = 0
        record = requestrecords.Record(
            flow=7,
            request=1,
            idempotent=False,
            deadline_ms=0,
            state=requestrecords.RecordState.REFUSED,
            caller=("127.0.0.1", 9),
            arrived_at=0.0,
        )
        other.records[record.key] = record
        other.host = "h3"
        await handovers.apply_handover(
            context.waiting, handovers.export_handover(other, 3, epoch)
        )

    virtualtime.run(main)
    assert (7, 1) in context.waiting.records


@behave.when("no handover comes for 11 s")
def wait_in_vain(context):
    """Let the upkeep of the home run past the limit."""

    async def main():
        node = memory.Node(memory.MemoryNetwork(1), "h1", 1)
        context.waiting = waiting_home(context, node)
        for _ in range(44):
            node.owned_targets.check_handover_timeout(context.waiting)
            await anyio.sleep(0.25)
        context.now = anyio.current_time()

    virtualtime.run(main)


@behave.then("the waiting home {result}")
def check_waiting(context, result):
    """Check what the home may do."""
    entry = context.waiting
    if result == "has the right":
        assert not entry.awaiting_from and entry.authority_at == 0.0
    elif result == "has the records only":
        assert entry.awaiting_from == "h2" and math.isinf(entry.authority_at)
    else:
        assert not entry.awaiting_from and entry.authority_at <= context.now
        assert entry.incomplete_until_ms > virtualtime.START_UNIX_S * 1000
