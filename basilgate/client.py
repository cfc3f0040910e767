"""Library for callers: flows, requests, and their outcomes."""

import dataclasses
import random
import types
import typing

import anyio
import anyio.abc
from returns import result

from basilgate import clock, datagrams, reasons, wire

# Pauses before the first repetition; they double with each one up to the factor, so
# that callers do not press harder the slower the balancers are.
OPEN_RETRANSMIT_S = 0.2
REQUEST_RETRANSMIT_S = 0.25
MAX_BACKOFF_FACTOR = 4
PENDING_RETRANSMIT_S = 1.0
# Lost answer pieces are asked for again after this time without progress; the time
# doubles up to the limit, so that a busy balancer is not asked ever more often.
PULL_TIMEOUT_S = 0.05
MAX_PULL_TIMEOUT_S = 0.8
# The bitmap of a PULL covers this many pieces.
PULL_WINDOW_PIECES = 64
# The next pieces are asked for while this many are still on their way.
PULL_AHEAD_PIECES = 32
# Pieces that the home sends unprompted.
UNPROMPTED_PIECES = 32
KEEPALIVE_INTERVAL_S = 20.0
KEEPALIVE_CHECK_S = 1.0
MAX_ATTEMPT = 255
ACK_COPIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer to a request."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request, or the open, did not run."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran is not known; it must not be sent again blindly."""

    reason: reasons.Reason


Outcome = Answered | NotRun | Unknown


class Transport(typing.Protocol):
    """Way to the service's address through the fabric."""

    async def send(self, datagram: bytes) -> None:
        """Send one datagram."""

    async def receive(self) -> bytes:
        """Return the next datagram."""

    async def aclose(self) -> None:
        """Close the transport."""


@dataclasses.dataclass(slots=True)
class UdpTransport:
    """Transport that sends to one address, the one of the service.

    Answers are accepted from any balancer; the random flow id tells them apart.
    """

    address: tuple[str, int]
    udp: datagrams.DatagramSocket

    async def send(self, datagram: bytes) -> None:
        """Send one datagram to the service's address."""
        await self.udp.sendto(datagram, *self.address)

    async def receive(self) -> bytes:
        """Return the next datagram from any balancer."""
        datagram, _ = await self.udp.receive()
        return datagram

    async def aclose(self) -> None:
        """Close the socket."""
        await self.udp.aclose()


async def connect(address: tuple[str, int], local_host: str) -> "Client":
    """Return a client of the service at `address`."""
    udp = await datagrams.open_socket((local_host, 0))
    return Client(UdpTransport(address, udp))


def now_ms() -> int:
    """Return Unix time in milliseconds."""
    return clock.unix_ms()


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """One request on its way; `changed` is set by each frame that concerns it."""

    pieces: dict[int, bytes] = dataclasses.field(default_factory=dict)
    # Run of the request at a target that the pieces belong to.
    run: int = 0
    piece_count: int = 0
    # Pieces below these numbers have come, and were sent or asked for.
    received_to: int = 0
    requested_to: int = UNPROMPTED_PIECES
    pull_timeout_s: float = PULL_TIMEOUT_S
    token: bytes = wire.EMPTY_TOKEN
    pending: bool = False
    outcome: Outcome | None = None
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def add_piece(self, frame: wire.Frame) -> None:
        """Take in an answer piece; one of another run starts the answer anew.

        An idempotent request may run at two homes, and its answers may differ.
        """
        if frame.deadline_ms != self.run:
            self.run = frame.deadline_ms
            self.pieces.clear()
            self.received_to = 0
            self.requested_to = UNPROMPTED_PIECES
        self.piece_count = max(frame.pieces, 1)
        if frame.piece < self.piece_count:
            self.pieces[frame.piece] = frame.body
        if frame.token != wire.EMPTY_TOKEN:
            self.token = frame.token

    def notify(self) -> None:
        """Wake the task that waits for the outcome."""
        self.changed.set()

    async def wait(self, seconds: float) -> bool:
        """Wait for a frame; False if none came in time."""
        with anyio.move_on_after(seconds):
            await self.changed.wait()
        received = self.changed.is_set()
        self.changed = anyio.Event()
        return received


class Flow:
    """An open flow; requests may run on it side by side.

    Parameters
    ----------
    client : Client
        Client that opened the flow.
    service : int
        Service id.
    number : int
        Flow id.
    token : bytes
        Placement token from the balancer.
    """

    def __init__(self, client: "Client", service: int, number: int, token: bytes):
        self.client = client
        self.service = service
        self.number = number
        self.token = token
        self.next_request = 1
        self.pending_requests: dict[int, PendingRequest] = {}
        self.keepalive_at = anyio.current_time() + KEEPALIVE_INTERVAL_S

    async def request(
        self,
        body: bytes,
        deadline_ms: int,
        idempotent: bool = False,
        work_class: wire.WorkClass = wire.WorkClass.UNDECLARED,
    ) -> Outcome:
        """Send a request and return its outcome.

        Parameters
        ----------
        body : bytes
            At most `wire.MAX_BODY_BYTES` bytes.
        deadline_ms : int
            Unix time in milliseconds after which the answer is of no use.
        idempotent : bool
            Whether the request may run more than once.
        work_class : wire.WorkClass
            Expected size of the work, if the caller knows it.

        Returns
        -------
        Answered, NotRun, or Unknown
            Cancelling the calling task sends a cancellation to the balancer.
        """
        if len(body) > wire.MAX_BODY_BYTES:
            return NotRun(reasons.Reason.REQUEST_TOO_LARGE)
        frame = wire.Frame(
            wire.Kind.REQUEST,
            self.service,
            self.number,
            request=self.next_request,
            flags=wire.FLAG_IDEMPOTENT if idempotent else 0,
            work_class=work_class,
            deadline_ms=deadline_ms,
            body=body,
        )
        self.next_request += 1
        pending_request = self.pending_requests[frame.request] = PendingRequest()
        try:
            return await self.send_until_outcome(frame, pending_request)
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self.send(wire.Kind.CANCEL, frame.request, pending_request.token)
            raise
        finally:
            del self.pending_requests[frame.request]

    async def send_until_outcome(
        self, frame: wire.Frame, pending_request: PendingRequest
    ) -> Outcome:
        """Send a request again until its outcome or its deadline."""
        was_sent = False
        retransmit_at = anyio.current_time()
        while pending_request.outcome is None:
            if now_ms() >= frame.deadline_ms:
                return Unknown(reasons.Reason.DEADLINE_PASSED)
            now = anyio.current_time()
            if pending_request.piece_count:
                await self.collect_answer(frame, pending_request)
                continue
            if now >= retransmit_at:
                frame.attempt = min(frame.attempt + was_sent, MAX_ATTEMPT)
                was_sent = True
                frame.token = self.token
                await self.client.transport.send(wire.encode(frame))
                pause_s = PENDING_RETRANSMIT_S if pending_request.pending else 0.0
                backoff_factor = min(2**frame.attempt, MAX_BACKOFF_FACTOR)
                pause_s = max(pause_s, REQUEST_RETRANSMIT_S * backoff_factor)
                retransmit_at = now + pause_s
            left_s = (frame.deadline_ms - now_ms()) / 1000
            await pending_request.wait(max(0.0, min(retransmit_at - now, left_s)))
        return pending_request.outcome

    async def collect_answer(
        self, frame: wire.Frame, pending_request: PendingRequest
    ) -> None:
        """Wait for answer pieces, ask for missing ones, and acknowledge all."""
        while pending_request.received_to in pending_request.pieces:
            pending_request.received_to += 1
        if pending_request.received_to >= pending_request.piece_count:
            for _ in range(ACK_COPIES):
                await self.send(wire.Kind.ACK, frame.request, pending_request.token)
            body = b"".join(
                pending_request.pieces[n] for n in range(pending_request.piece_count)
            )
            pending_request.outcome = Answered(body)
            return
        outstanding = pending_request.requested_to - len(pending_request.pieces)
        if (
            pending_request.requested_to < pending_request.piece_count
            and outstanding <= PULL_AHEAD_PIECES
        ):
            first = pending_request.requested_to
            pending_request.requested_to = min(
                first + PULL_AHEAD_PIECES, pending_request.piece_count
            )
            await self.pull(frame.request, pending_request, first)
        left_s = (frame.deadline_ms - now_ms()) / 1000
        if await pending_request.wait(
            min(pending_request.pull_timeout_s, max(0.0, left_s))
        ):
            pending_request.pull_timeout_s = PULL_TIMEOUT_S
            return
        if pending_request.pull_timeout_s >= MAX_PULL_TIMEOUT_S:
            # A new home that has no record of the request ignores pulls.
            frame.attempt = min(frame.attempt + 1, MAX_ATTEMPT)
            await self.client.transport.send(wire.encode(frame))
        pending_request.pull_timeout_s = min(
            pending_request.pull_timeout_s * 2, MAX_PULL_TIMEOUT_S
        )
        await self.pull(frame.request, pending_request, pending_request.received_to)

    async def pull(
        self, request: int, pending_request: PendingRequest, first: int
    ) -> None:
        """Ask for the missing pieces in the window that starts at `first`."""
        bitmap = 0
        for offset in range(PULL_WINDOW_PIECES):
            piece = first + offset
            if (
                piece < pending_request.requested_to
                and piece not in pending_request.pieces
            ):
                bitmap |= 1 << offset
        body = first.to_bytes(2, "big") + bitmap.to_bytes(8, "big")
        await self.send(wire.Kind.PULL, request, pending_request.token, body)

    async def send(
        self, kind: wire.Kind, request: int, token: bytes, body: bytes = b""
    ) -> None:
        """Send a frame about a request; its answer's token goes before the flow's."""
        frame_token = self.token if token == wire.EMPTY_TOKEN else token
        frame = wire.Frame(
            kind, self.service, self.number, request, token=frame_token, body=body
        )
        await self.client.transport.send(wire.encode(frame))

    async def close(self) -> None:
        """End the flow."""
        await self.send(wire.Kind.CLOSE, 0, wire.EMPTY_TOKEN)
        self.client.flows.pop(self.number, None)

    def on_frame(self, frame: wire.Frame) -> None:
        """Take in a frame of this flow."""
        if frame.kind is wire.Kind.ALIVE and frame.token != wire.EMPTY_TOKEN:
            self.token = frame.token
            return
        pending_request = self.pending_requests.get(frame.request)
        if pending_request is None or pending_request.outcome is not None:
            return
        reason = reasons.from_code(frame.reason)
        if frame.kind is wire.Kind.ANSWER:
            pending_request.add_piece(frame)
        elif frame.kind is wire.Kind.REFUSED:
            pending_request.outcome = NotRun(reason)
        elif frame.kind is wire.Kind.UNKNOWN:
            pending_request.outcome = Unknown(reason)
        elif frame.kind is wire.Kind.PENDING:
            pending_request.pending = True
            return
        pending_request.notify()


class Client:
    """Caller's end of the protocol; use it as an asynchronous context manager.

    Parameters
    ----------
    transport : Transport
        Way to the service.
    seed : int or None
        Seed of the flow ids, for repeatable runs.
    """

    def __init__(self, transport: Transport, seed: int | None = None) -> None:
        self.transport = transport
        self.rng = random.SystemRandom() if seed is None else random.Random(seed)
        self.flows: dict[int, Flow] = {}
        self.pending_opens: dict[int, PendingRequest] = {}
        self.tasks: anyio.abc.TaskGroup = anyio.create_task_group()

    async def __aenter__(self) -> "Client":
        await self.tasks.__aenter__()
        self.tasks.start_soon(self.receive)
        self.tasks.start_soon(self.keep_alive)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(kind, error, traceback)
        with anyio.CancelScope(shield=True):
            await self.transport.aclose()

    async def open(
        self, service: int, deadline_ms: int
    ) -> result.Result[Flow, reasons.Reason]:
        """Open a flow to a service, or return the reason why there is none."""
        number = self.rng.getrandbits(64)
        pending_request = self.pending_opens[number] = PendingRequest()
        frame = wire.Frame(wire.Kind.OPEN, service, number, deadline_ms=deadline_ms)
        try:
            while now_ms() < deadline_ms:
                await self.transport.send(wire.encode(frame))
                pause_s = OPEN_RETRANSMIT_S * min(2**frame.attempt, MAX_BACKOFF_FACTOR)
                frame.attempt = min(frame.attempt + 1, MAX_ATTEMPT)
                left_s = (deadline_ms - now_ms()) / 1000
                await pending_request.wait(max(0.0, min(pause_s, left_s)))
                if isinstance(pending_request.outcome, NotRun):
                    return result.Failure(pending_request.outcome.reason)
                if pending_request.token != wire.EMPTY_TOKEN:
                    flow = Flow(self, service, number, pending_request.token)
                    self.flows[number] = flow
                    return result.Success(flow)
            return result.Failure(reasons.Reason.NO_REPLY)
        finally:
            del self.pending_opens[number]

    async def receive(self) -> None:
        """Pass each frame to its flow."""
        while True:
            decoded = wire.decode(await self.transport.receive())
            if isinstance(decoded, result.Success):
                self.on_frame(decoded.unwrap())

    def on_frame(self, frame: wire.Frame) -> None:
        """Take in one frame."""
        pending_request = self.pending_opens.get(frame.flow)
        if pending_request is not None:
            if frame.kind is wire.Kind.OPENED:
                pending_request.token = frame.token
            elif frame.kind is wire.Kind.REFUSED:
                pending_request.outcome = NotRun(reasons.from_code(frame.reason))
            pending_request.notify()
            return
        flow = self.flows.get(frame.flow)
        if flow is not None:
            flow.on_frame(frame)

    async def keep_alive(self) -> None:
        """Keep idle flows known at their targets' homes."""
        while True:
            await anyio.sleep(KEEPALIVE_CHECK_S)
            now = anyio.current_time()
            for flow in list(self.flows.values()):
                if flow.keepalive_at <= now:
                    flow.keepalive_at = now + KEEPALIVE_INTERVAL_S
                    await flow.send(wire.Kind.KEEPALIVE, 0, wire.EMPTY_TOKEN)
