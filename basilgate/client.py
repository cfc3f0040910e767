"""Library for callers: opens flows, sends requests, and returns their outcomes."""

import dataclasses
import random
import types
import typing

import anyio
import anyio.abc
from returns import result

from basilgate import clock, datagrams, reasons, wire

# Pauses before the first retransmission. Each further pause is twice as long, up to
# `MAX_BACKOFF_FACTOR` times the first, so that slow balancers get no extra load.
OPEN_RETRANSMIT_S = 0.2
REQUEST_RETRANSMIT_S = 0.25
MAX_BACKOFF_FACTOR = 4
# Least pause after a PENDING frame: the balancer has the request, but no outcome.
PENDING_RETRANSMIT_S = 1.0
# Missing answer pieces are requested again after this time without a frame. The time
# doubles with each attempt up to the maximum, so that a busy balancer is not loaded
# further.
PULL_TIMEOUT_S = 0.05
MAX_PULL_TIMEOUT_S = 0.8
# Pieces that the bitmap of a PULL frame covers; a frame may request any of them.
PULL_WINDOW_PIECES = 64
# Pieces requested at a time; the next ones are requested once no more than this
# many requested pieces are outstanding.
PULL_AHEAD_PIECES = 32
# First pieces of an answer, which the target's owner sends without a PULL frame.
UNPROMPTED_PIECES = 32
KEEPALIVE_INTERVAL_S = 20.0
KEEPALIVE_CHECK_S = 1.0  # Interval at which flows due for a KEEPALIVE are found.
MAX_ATTEMPT = 255  # Largest value of the frame's one-byte attempt number.
ACK_COPIES = 2  # Acknowledgements sent for an answer, as one may be lost.


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request ran; `body` is the complete answer."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run, or the flow was not opened."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; sending it again may run it a second time."""

    reason: reasons.Reason


Outcome = Answered | NotRun | Unknown


class Transport(typing.Protocol):
    """Sends datagrams to a service's address and receives the replies."""

    async def send(self, datagram: bytes) -> None:
        """Send one datagram."""

    async def receive(self) -> bytes:
        """Wait for the next datagram and return it."""

    async def aclose(self) -> None:
        """Close the transport."""


@dataclasses.dataclass(slots=True)
class UdpTransport:
    """Transport over a UDP socket that sends to one address, that of the service.

    Datagrams are accepted from any sender, as any balancer may reply. The random
    64-bit flow id in a frame matches it to its flow.
    """

    address: tuple[str, int]
    udp: datagrams.DatagramSocket

    async def send(self, datagram: bytes) -> None:
        """Send one datagram to the service's address."""
        await self.udp.sendto(datagram, *self.address)

    async def receive(self) -> bytes:
        """Wait for the next datagram from any balancer and return it."""
        datagram, _ = await self.udp.receive()
        return datagram

    async def aclose(self) -> None:
        """Close the socket."""
        await self.udp.aclose()


async def connect(address: tuple[str, int], local_host: str) -> "Client":
    """Return a client of the service at `address`, on a new UDP socket.

    Parameters
    ----------
    address : (str, int)
        IP address and port of the service.
    local_host : str
        Local IP address to send from.
    """
    udp = await datagrams.open_socket((local_host, 0))
    return Client(UdpTransport(address, udp))


def now_ms() -> int:
    """Return the present Unix time in milliseconds."""
    return clock.unix_ms()


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """State of a request, or of an open, until its outcome.

    `Flow` and `Client` store in it what received frames contain, and wake the task
    that waits for the outcome. All runs in one event loop, so it needs no lock.
    """

    # Bodies of the answer pieces received, by piece number.
    pieces: dict[int, bytes] = dataclasses.field(default_factory=dict)
    # Identifies the run of the request at a target that produced the pieces.
    run: int = 0
    piece_count: int = 0  # Pieces of the whole answer; 0 before the first piece.
    received_to: int = 0  # All pieces below this number have been received.
    # All pieces below this number were requested, or are sent without a request.
    requested_to: int = UNPROMPTED_PIECES
    pull_timeout_s: float = PULL_TIMEOUT_S
    # Token from the last frame that had one, for frames about this request.
    token: bytes = wire.EMPTY_TOKEN
    pending: bool = False  # A balancer has confirmed the request with PENDING.
    outcome: Outcome | None = None
    # Set by each frame that concerns the request.
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def add_piece(self, frame: wire.Frame) -> None:
        """Store an answer piece; discard the earlier pieces if its run is another.

        An idempotent request may run twice, at two owners of a target, with
        different answers, whose pieces must not be mixed. In answer frames,
        `deadline_ms` identifies the run.
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
        """Wake the task that waits in `wait`."""
        self.changed.set()

    async def wait(self, seconds: float) -> bool:
        """Wait for a frame, and return whether one arrived within `seconds`."""
        with anyio.move_on_after(seconds):
            await self.changed.wait()
        received = self.changed.is_set()
        self.changed = anyio.Event()
        return received


class Flow:
    """An open flow, on which several tasks may send requests at the same time.

    `Client.open` creates it. Its coroutines must run in the client's event loop.

    Parameters
    ----------
    client : Client
        Client whose transport sends the frames.
    service : int
        Id of the service, sent in each frame.
    number : int
        Flow id, sent in each frame.
    token : bytes
        Placement token from the balancer, which names the target of the flow.
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

        Cancelling the calling task sends a cancellation to the balancer.

        Parameters
        ----------
        body : bytes
            Content of the request, at most `wire.MAX_BODY_BYTES` bytes.
        deadline_ms : int
            Unix time in milliseconds at which the caller stops waiting.
        idempotent : bool
            Whether the request may run more than once.
        work_class : wire.WorkClass
            Expected size of the work, `UNDECLARED` if not known.

        Returns
        -------
        Answered, NotRun, or Unknown
            `Unknown` also if the deadline passes without an outcome.
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
        """Send a request, and retransmit it until its outcome or its deadline."""
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
        """Take one step towards the whole answer.

        Acknowledges a complete answer and sets the outcome. Otherwise requests
        further pieces if few are outstanding, waits for a frame, and requests the
        missing pieces again if none arrives in time.
        """
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
            # Sends the request again, as a new owner of the target that has no
            # record of it ignores pulls.
            frame.attempt = min(frame.attempt + 1, MAX_ATTEMPT)
            await self.client.transport.send(wire.encode(frame))
        pending_request.pull_timeout_s = min(
            pending_request.pull_timeout_s * 2, MAX_PULL_TIMEOUT_S
        )
        await self.pull(frame.request, pending_request, pending_request.received_to)

    async def pull(
        self, request: int, pending_request: PendingRequest, first: int
    ) -> None:
        """Request the missing pieces of the window that starts at piece `first`."""
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
        """Send a frame with `token`, or with the flow's token if `token` is empty.

        Parameters
        ----------
        request : int
            Id of the request, 0 for the flow itself.
        """
        frame_token = self.token if token == wire.EMPTY_TOKEN else token
        frame = wire.Frame(
            kind, self.service, self.number, request, token=frame_token, body=body
        )
        await self.client.transport.send(wire.encode(frame))

    async def close(self) -> None:
        """Send a CLOSE frame and drop the flow; the balancer's reply is not awaited."""
        await self.send(wire.Kind.CLOSE, 0, wire.EMPTY_TOKEN)
        self.client.flows.pop(self.number, None)

    def on_frame(self, frame: wire.Frame) -> None:
        """Record a received frame of this flow, and wake the task it concerns."""
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
    """Client of the callers' protocol, to be used as an asynchronous context manager.

    Inside the context, tasks receive frames and send keepalives; leaving it cancels
    them and closes the transport. Use it from one event loop only.

    Parameters
    ----------
    transport : Transport
        Sends and receives the frames.
    seed : int or None
        Seed of the flow ids, for repeatable runs; None draws them from the system.
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
        """Open a flow to a service.

        Parameters
        ----------
        service : int
            Id of the service.
        deadline_ms : int
            Unix time in milliseconds at which the attempt ends.

        Returns
        -------
        Result of Flow or reasons.Reason
            The flow, or why it was refused; `NO_REPLY` if no balancer replied.
        """
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
        """Handle received frames until cancelled; drop datagrams that are no frames."""
        while True:
            decoded = wire.decode(await self.transport.receive())
            if isinstance(decoded, result.Success):
                self.on_frame(decoded.unwrap())

    def on_frame(self, frame: wire.Frame) -> None:
        """Pass a frame to the open or the flow whose id it carries."""
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
        """Send KEEPALIVE for each flow regularly, so that balancers keep idle ones."""
        while True:
            await anyio.sleep(KEEPALIVE_CHECK_S)
            now = anyio.current_time()
            for flow in list(self.flows.values()):
                if flow.keepalive_at <= now:
                    flow.keepalive_at = now + KEEPALIVE_INTERVAL_S
                    await flow.send(wire.Kind.KEEPALIVE, 0, wire.EMPTY_TOKEN)
