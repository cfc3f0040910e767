"""Stand-in of a target: slots, cold start, drain, shedding, and its endpoints.

A request's body is JSON: `work_ms` is the service time, `answer_bytes` the size of
the answer. Every request that starts is written as one JSON line to the journal.
"""

import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import sys
import time
import typing

import anyio
import anyio.abc
import anyio.streams.buffered
import fire
import fire.decorators
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from basilgate import admin, reasons, settings, wire

DEFAULT_WORK_MS = 5.0
RUN_BYTES = 8
SEND_PIECES_AT_ONCE = 16


@dataclasses.dataclass(slots=True)
class Behaviour:
    """What the target does; set by ``POST /behaviour``.

    `slow_factor` multiplies service times, `cold_until` is the Unix time up to
    which they are tripled, `shed` refuses all work, `report` is what the load
    endpoint says (truth, idle, stale, stopped), `health` what the health endpoint
    says (truth, healthy, unhealthy), `frozen` leaves requests unanswered.
    """

    slow_factor: float = 1.0
    cold_until: float = 0.0
    shed: bool = False
    report: str = "truth"
    health: str = "truth"
    frozen: bool = False
    lag_s: float = 0.0


class Target:
    """One target.

    Parameters
    ----------
    name : str
        Name in the journal.
    service : int
        Service id; frames of another service are a violation.
    slots : int
        Requests that run at the same time.
    journal : pathlib.Path
        File that gets one line for each request that starts or ends.
    """

    def __init__(
        self, name: str, service: int, slots: int, journal: pathlib.Path
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.behaviour = Behaviour()
        self.busy = 0
        self.peak = 0
        self.served = 0
        self.flows: set[int] = set()
        self.stale_load: dict[str, typing.Any] | None = None
        self.journal = journal.open("a", encoding="utf-8", buffering=1)

    def note(self, event: str, frame: wire.Frame, **fields: typing.Any) -> None:
        """Write one line to the journal."""
        line = {
            "time": time.time(),
            "event": event,
            "target": self.name,
            "flow": frame.flow,
            "request": frame.request,
            **fields,
        }
        self.journal.write(json.dumps(line) + "\n")

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Run requests of one slot connection."""
        reader = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        try:
            async with stream, anyio.create_task_group() as tasks:
                running: dict[tuple[int, int], anyio.CancelScope] = {}
                while True:
                    prefix = await reader.receive_exactly(4)
                    (length,) = wire.LENGTH_PREFIX.unpack(prefix)
                    frame = wire.decode(await reader.receive_exactly(length)).unwrap()
                    if frame.kind is wire.Kind.CANCEL:
                        scope = running.get(frame.key)
                        if scope is not None:
                            scope.cancel()
                    else:
                        scope = running[frame.key] = anyio.CancelScope()
                        tasks.start_soon(self.run, stream, frame, scope, running)
        except* (
            OSError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass

    async def run(
        self,
        stream: anyio.abc.ByteStream,
        frame: wire.Frame,
        scope: anyio.CancelScope,
        running: dict[tuple[int, int], anyio.CancelScope],
    ) -> None:
        """Run one request and send its outcome."""
        refused = self.refusal(frame)
        if refused is not reasons.Reason.NONE:
            running.pop(frame.key, None)
            await send(stream, reply(frame, wire.Kind.SHED, refused))
            return
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        self.flows.add(frame.flow)
        idempotent = frame.idempotent
        self.note("start", frame, idempotent=idempotent, busy=self.busy)
        try:
            with scope:
                wanted = json.loads(frame.body or b"{}")
                await self.work(float(wanted.get("work_ms", DEFAULT_WORK_MS)))
            if scope.cancelled_caught:
                self.note("cancelled", frame)
                cancelled = reply(frame, wire.Kind.CANCELLED)
                cancelled.flags = wire.FLAG_STARTED
                await send(stream, cancelled)
                return
        finally:
            self.busy -= 1
            running.pop(frame.key, None)
        self.served += 1
        self.note("end", frame)
        body = answer_body(
            frame, int(wanted.get("answer_bytes", 16)), os.urandom(RUN_BYTES)
        )
        await send_answer(stream, frame, body)

    def refusal(self, frame: wire.Frame) -> reasons.Reason:
        """Return the reason to leave a request unstarted."""
        if frame.service != self.service:
            self.note("wrong_service", frame, service=frame.service)
            return reasons.Reason.NO_SUCH_SERVICE
        if time.time() * 1000 > frame.deadline_ms:
            return reasons.Reason.START_BY_PASSED
        if self.behaviour.shed:
            return reasons.Reason.SHED_BY_TARGET
        if self.busy >= self.slots:
            self.note("oversubscribed", frame, busy=self.busy)
        return reasons.Reason.NONE

    async def work(self, work_ms: float) -> None:
        """Take the service time."""
        factor = self.behaviour.slow_factor
        if time.time() < self.behaviour.cold_until:
            factor *= 3
        await anyio.sleep(work_ms * factor / 1000)
        while self.behaviour.frozen:
            await anyio.sleep(0.05)

    def load(self) -> dict[str, typing.Any]:
        """Return what the load endpoint says."""
        truth = {
            "busy": self.busy,
            "slots": self.slots,
            "connections": len(self.flows),
            "served": self.served,
            "peak": self.peak,
        }
        if self.behaviour.report == "idle":
            return {**truth, "busy": 0, "connections": 0}
        if self.behaviour.report == "stale":
            self.stale_load = self.stale_load or truth
            return self.stale_load
        return truth

    def application(self) -> starlette.applications.Starlette:
        """Return the application with the health and load endpoints."""

        async def health(
            request: starlette.requests.Request,
        ) -> starlette.responses.Response:
            del request
            bad = self.behaviour.health == "unhealthy" or (
                self.behaviour.health == "truth" and self.behaviour.frozen
            )
            return starlette.responses.JSONResponse(
                {"healthy": not bad}, status_code=503 if bad else 200
            )

        async def load(
            request: starlette.requests.Request,
        ) -> starlette.responses.Response:
            del request
            if self.behaviour.report == "stopped":
                return starlette.responses.JSONResponse({}, status_code=503)
            await anyio.sleep(self.behaviour.lag_s)
            return starlette.responses.JSONResponse(self.load())

        async def behaviour(
            request: starlette.requests.Request,
        ) -> starlette.responses.Response:
            for name, value in (await request.json()).items():
                setattr(self.behaviour, name, value)
            return starlette.responses.JSONResponse(dataclasses.asdict(self.behaviour))

        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/health", health),
                route("/load", load),
                route("/behaviour", behaviour, methods=["POST"]),
            ]
        )


def reply(
    frame: wire.Frame,
    kind: wire.Kind,
    reason: reasons.Reason = reasons.Reason.NONE,
) -> wire.Frame:
    """Return a frame about a request."""
    return wire.Frame(
        kind, frame.service, frame.flow, frame.request, reason=int(reason)
    )


def answer_body(frame: wire.Frame, size: int, run: bytes = bytes(RUN_BYTES)) -> bytes:
    """Return the answer: the run's number, then a digest of flow, request, and run.

    A caller can check that the answer is whole, its own, and not put together from
    the answers of two runs of the same request.
    """
    digest = hashlib.sha256(b"%d/%d/" % (frame.flow, frame.request) + run).digest()
    return (run + digest * (size // len(digest) + 1))[: max(size, 16)]


async def send(stream: anyio.abc.ByteStream, frame: wire.Frame) -> None:
    """Send one frame with its length."""
    encoded = wire.encode(frame)
    await stream.send(wire.LENGTH_PREFIX.pack(len(encoded)) + encoded)


async def send_answer(
    stream: anyio.abc.ByteStream, frame: wire.Frame, body: bytes
) -> None:
    """Send an answer in pieces."""
    size = wire.MAX_BODY_BYTES
    pieces = [body[i : i + size] for i in range(0, len(body), size)] or [b""]
    batch = bytearray()
    for number, piece in enumerate(pieces):
        part = reply(frame, wire.Kind.ANSWER)
        part.piece, part.pieces = number, len(pieces)
        part.total_bytes, part.body = len(body), piece
        encoded = wire.encode(part)
        batch += wire.LENGTH_PREFIX.pack(len(encoded)) + encoded
        if (number + 1) % SEND_PIECES_AT_ONCE == 0:
            await stream.send(bytes(batch))
            batch.clear()
    if batch:
        await stream.send(bytes(batch))


@fire.decorators.SetParseFns(
    name=str, address=str, admin_address=str, journal=str, service=int, slots=int
)
def run(
    name: str,
    service: int,
    address: str,
    admin_address: str,
    journal: str,
    slots: int = 3,
) -> None:
    """Run the stand-in until SIGTERM."""

    async def serve() -> None:
        target = Target(name, service, slots, pathlib.Path(journal))
        host, port = settings.split_address(address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, target.serve_connection)
            app = target.application()
            tasks.start_soon(admin.serve, app, settings.split_address(admin_address))
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            tasks.cancel_scope.cancel()

    anyio.run(serve)
    sys.exit(0)


if __name__ == "__main__":
    fire.Fire(run)
