"""Stand-in of the platform: objects with versions, watches, and faults.

``POST /faults`` sets what goes wrong; see `Faults`.
"""

import dataclasses
import sys
import typing

import anyio
import fire
import fire.decorators
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from basilgate import admin, settings, storedobjects

MAX_WATCH_S = 60.0
HISTORY_LENGTH = 10_000
# Longer than any time limit of a client.
STALL_S = 600.0

Json = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong.

    Attributes
    ----------
    down : bool
        Every call is refused.
    delay_s, answer_delay_s : float
        Delay before a call takes effect, and between effect and answer.
    lose_answers, lose_writes : int
        This many writes get no answer, after they took effect or without effect.
    stall_watches : bool
        Watches are never answered and never closed.
    stale_revision : int
        Reads and watches show the store as of this revision; 0 shows the newest.
    flap_calls : int
        Of each two groups of this many calls, the second is refused.
    cut_hosts : list of str
        IP prefixes that are refused; their waiting watches get no answer.
    """

    down: bool = False
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    stall_watches: bool = False
    stale_revision: int = 0
    flap_calls: int = 0
    cut_hosts: list[str] = dataclasses.field(default_factory=list)


class Store:
    """Objects with versions, and the history of their changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, storedobjects.StoredObject] = {}
        self.history: list[storedobjects.StoredObject] = []
        self.changed = anyio.Event()

    def write(self, name: str, value: Json | None) -> storedobjects.StoredObject:
        """Store a new version, None to remove the object."""
        held = self.objects.get(name)
        version = held.version + 1 if held is not None else 1
        self.revision += 1
        stored = storedobjects.StoredObject(name, version, self.revision, value)
        self.objects[name] = stored
        self.history.append(stored)
        del self.history[:-HISTORY_LENGTH]
        event, self.changed = self.changed, anyio.Event()
        event.set()
        return stored

    def version(self, name: str) -> int:
        """Return the version that a conditional write has to expect."""
        held = self.objects.get(name)
        if held is None or held.value is None:
            return 0
        return held.version

    def since(self, revision: int) -> list[storedobjects.StoredObject]:
        """Return the newest state of each object that changed since."""
        newest = {s.name: s for s in self.history if s.revision > revision}
        return list(newest.values())

    def restore(self, revision: int) -> None:
        """Come back from a copy of an earlier revision, and lose what came later."""
        found = self.as_of(revision)
        self.history, self.objects = found.history, found.objects
        self.revision = found.revision
        event, self.changed = self.changed, anyio.Event()
        event.set()

    def as_of(self, revision: int) -> "Store":
        """Return the store at an earlier revision, as a lagging replica has it."""
        earlier = Store()
        earlier.history = [s for s in self.history if s.revision <= revision]
        earlier.objects = {s.name: s for s in earlier.history}
        earlier.revision = min(revision, self.revision)
        return earlier


class Platform:
    """HTTP interface of the store, with call counts and faults."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self.hosts: list[Json] = []
        self.call_number = 0

    def readable(self) -> Store:
        """Return the store that reads see."""
        if self.faults.stale_revision:
            return self.store.as_of(self.faults.stale_revision)
        return self.store

    def is_cut(self, peer: str) -> bool:
        """Tell whether a call from this address gets no service."""
        cut = any(peer.startswith(prefix) for prefix in self.faults.cut_hosts)
        return self.faults.down or cut

    async def objects_list(self, request: starlette.requests.Request) -> typing.Any:
        """Answer ``GET /objects?prefix=``."""
        prefix = request.query_params.get("prefix", "")
        store = self.readable()
        found = [
            dataclasses.asdict(stored)
            for name, stored in sorted(store.objects.items())
            if name.startswith(prefix) and stored.value is not None
        ]
        return answer({"revision": store.revision, "objects": found})

    async def object_call(self, request: starlette.requests.Request) -> typing.Any:
        """Answer GET, PUT, and DELETE of ``/objects/{name}``."""
        name = request.path_params["name"]
        if request.method == "GET":
            held = self.readable().objects.get(name)
            if held is None or held.value is None:
                return answer({"version": held.version if held else 0}, 404)
            return answer(dataclasses.asdict(held))
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return answer({}, 504)
        if request.method == "DELETE":
            expected = int(request.query_params.get("version", "0"))
            if self.store.version(name) == 0:
                removed = self.store.objects.get(name)
                return answer({"version": removed.version if removed else 0}, 404)
            value = None
        else:
            raw = await request.body()
            if len(raw) > storedobjects.MAX_OBJECT_BYTES:
                return answer({}, 413)
            body = await request.json()
            expected, value = int(body["expect_version"]), body["value"]
        if expected != self.store.version(name):
            return answer({"version": self.store.version(name)}, 409)
        stored = self.store.write(name, value)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return answer({}, 504)
        return answer(dataclasses.asdict(stored))

    async def watch(self, request: starlette.requests.Request) -> typing.Any:
        """Answer ``GET /watch?since=&timeout=``."""
        since = int(request.query_params.get("since", "0"))
        wait_s = min(float(request.query_params.get("timeout", "30")), MAX_WATCH_S)
        store = self.readable()
        oldest = store.history[0].revision if store.history else 1
        if since < oldest - 1 or since > store.revision:
            return answer({"revision": store.revision}, 410)
        with anyio.move_on_after(wait_s):
            while store.revision <= since:
                await store.changed.wait()
        if self.faults.stall_watches:
            await anyio.sleep(STALL_S)
        found = [dataclasses.asdict(stored) for stored in store.since(since)]
        return answer({"revision": store.revision, "objects": found})

    async def set_faults(self, request: starlette.requests.Request) -> typing.Any:
        """Answer ``POST /faults`` with the fields of `Faults`."""
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return answer(dataclasses.asdict(self.faults))

    async def show_calls(self, request: starlette.requests.Request) -> typing.Any:
        """Answer ``GET /calls`` with the number of calls by method and path."""
        del request
        return answer(dict(self.calls))

    async def host_list(self, request: starlette.requests.Request) -> typing.Any:
        """Answer ``GET /hosts``; ``POST`` sets the list."""
        if request.method == "POST":
            self.hosts = await request.json()
        return answer({"hosts": self.hosts})

    def guarded(self, name: str, serve: typing.Any) -> typing.Any:
        """Return an endpoint that counts calls and applies the faults."""

        async def endpoint(request: starlette.requests.Request) -> typing.Any:
            peer = request.client.host if request.client else ""
            label = f"{request.method} {name}"
            self.calls[label] = self.calls.get(label, 0) + 1
            self.calls[f"from {peer}"] = self.calls.get(f"from {peer}", 0) + 1
            self.call_number += 1
            flap = self.faults.flap_calls
            if self.is_cut(peer) or (flap and self.call_number // flap % 2):
                return answer({}, 503)
            if self.faults.delay_s:
                await anyio.sleep(self.faults.delay_s)
            response = await serve(request)
            if self.faults.answer_delay_s:
                await anyio.sleep(self.faults.answer_delay_s)
            if self.is_cut(peer):
                return answer({}, 504)
            return response

        return endpoint

    def application(self) -> starlette.applications.Starlette:
        """Return the application."""
        route = starlette.routing.Route
        methods = ["GET", "PUT", "DELETE"]
        return starlette.applications.Starlette(
            routes=[
                route("/objects", self.guarded("/objects", self.objects_list)),
                route(
                    "/objects/{name:path}",
                    self.guarded("/objects/name", self.object_call),
                    methods=methods,
                ),
                route("/watch", self.guarded("/watch", self.watch)),
                route(
                    "/hosts",
                    self.guarded("/hosts", self.host_list),
                    methods=["GET", "POST"],
                ),
                route("/faults", self.set_faults, methods=["POST"]),
                route("/calls", self.show_calls),
            ]
        )


def answer(body: Json, status: int = 200) -> starlette.responses.JSONResponse:
    """Return a JSON answer."""
    return starlette.responses.JSONResponse(body, status_code=status)


@fire.decorators.SetParseFn(str)
def run(address: str) -> None:
    """Run the stand-in on ``ip:port`` until it is ended."""

    async def serve() -> None:
        app = Platform().application()
        await admin.serve(app, settings.split_address(address))

    try:
        anyio.run(serve)
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    fire.Fire(run)
