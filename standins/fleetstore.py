"""Stand-in of the users' store: documents, watches, and faults, over HTTP."""

import collections
import collections.abc
import contextlib
import copy
import dataclasses
import http.server
import json
import threading
import time
import typing
import urllib.parse

Json = dict[str, typing.Any]
HISTORY_LENGTH = 1_000
PAGE_LENGTH = 3  # Short, so that tests read several pages.


def target_entry(
    address: tuple[str, int],
    zone: str,
    service: str = "desk",
    cold_s: float = 0.0,
    **changes: typing.Any,
) -> Json:
    """Return what a target says of itself in the store, cold for `cold_s` seconds."""
    found = {
        "service": service,
        "address": f"{address[0]}:{address[1]}",
        "zone": zone,
        "config-version": "v1",
        "slots": 3,
        "state": "ready",
        "cold-remaining-ms": int(cold_s * 1e3),
        "seq": 1,
        "born": 1_700_000_000_000,
    }
    return {**found, **changes}


def configuration(
    version: int, address: str, ports: typing.Iterable[int], service: str = "desk"
) -> Json:
    """Return a configuration as the operator writes it, with a route for each port."""
    routes = [
        {
            "name": f"r{port}",
            "host": address,
            "path-prefix": f"/{port}/",
            "kind": "idempotent",
            "timeout-ms": 2000,
            "target-latency-ms": 200,
            "priority": 2,
            "service": service,
        }
        for port in ports
    ]
    found = {"name": service, "health-path": "/health", "max-conns": 2000}
    return {
        "config-version": version,
        "routes": routes,
        "services": [found],
        "limits": {"idle-timeout-ms": 15000},
    }


def settings_text(
    ip: str,
    zone: str,
    port: int,
    store: tuple[str, int],
    seeds: typing.Iterable[str],
    contracts: typing.Iterable[str] = (),
) -> str:
    """Return the settings file of a host; its ports follow `port`."""
    named = ", ".join(f'"{contract}"' for contract in contracts)
    listed = ", ".join(f'"{seed}:1"' for seed in seeds)
    return f"""
node = "host-{ip}"
ip = "{ip}"
zone = "{zone}"
internal-ports = [{port},{port}]
seeds = [{listed}]
contracts = [{named}]
unheard-of = true
[listen]
datagram-addr = "{ip}:{port + 1}"
ready = "{ip}:{port + 2}"
[platform]
address = "{store[0]}:{store[1]}"
"""


@dataclasses.dataclass(frozen=True)
class RawJson:
    """Content that is sent as it is, such as JSON that no client can read."""

    content: bytes


def encode(found: Json) -> bytes:
    """Return a body as JSON, with each `RawJson` in it as it is."""
    raws: list[bytes] = []

    def place(value: typing.Any) -> str:
        raws.append(value.content)
        return f"raw-json-{len(raws) - 1}"

    body = json.dumps(found, default=place).encode()
    for position, content in enumerate(raws):
        body = body.replace(f'"raw-json-{position}"'.encode(), content, 1)
    return body


class Faults:
    """What goes wrong.

    Attributes
    ----------
    status : int
        Every call is answered with this status, 0 for none.
    refused : str
        Calls whose path contains this are answered with 503; empty for none.
    silent : bool
        No call is answered, not even a watch that is waiting.
    unanswered : str
        Calls whose path contains this are not answered; empty for none.
    lost_before : float
        Calls that began before this time, of the monotonic clock, are never answered,
        and nothing follows on their connections.
    lost_path : str
        Only calls whose path contains this are lost so.
    lose_answers : int
        This many writes take effect and their connection is closed unanswered.
    delay_s : float
        Delay of each answer.
    old : FleetStore or None
        State from which listings that may be old are answered.
    after_page : callable or None
        Called once a page of a listing that goes on was read.
    repeat_after_s : float
        Each answer is sent a second time after this delay; 0 for no second time.
    era : str or None
        Era that answers state instead of the store's, empty for no header.
    keep_watches : bool
        Watches that wait go on when the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.status = 0
        self.refused = ""
        self.silent = False
        self.unanswered = ""
        self.lost_before = 0.0
        self.lost_path = ""
        self.lose_answers = 0
        self.delay_s = 0.0
        self.old: FleetStore | None = None
        self.after_page: collections.abc.Callable[[], None] | None = None
        self.repeat_after_s = 0.0
        self.era: str | None = None
        self.keep_watches = False


class FleetStore:
    """Objects by kind and name with one revision counter."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.kinds: dict[str, dict[str, Json]] = collections.defaultdict(dict)
        self.history: list[tuple[int, str, Json, bool]] = []
        self.forgotten = 0
        self.changed = threading.Condition(threading.RLock())
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        # Watches that know all changes of their kind and wait for the next, by kind.
        self.waiting: collections.Counter[str] = collections.Counter()

    def put(self, kind: str, name: str, spec: typing.Any) -> int:
        """Create or replace an object; return its revision."""
        with self.changed:
            return self.put_quietly(kind, name, spec)

    def put_quietly(self, kind: str, name: str, spec: typing.Any) -> int:
        """Create or replace an object; the caller holds `changed`."""
        held = self.kinds[kind].get(name)
        if held is not None and held["spec"] == spec:
            return int(held["meta"]["rev"])
        self.revision += 1
        meta = {"name": name, "rev": self.revision, "created": 1, "finalizers": []}
        meta["delete-requested"] = False
        stored = {"meta": meta, "spec": spec, "status": None}
        self.kinds[kind][name] = stored
        self.note(kind, stored, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            self.remove_quietly(kind, name)

    def remove_quietly(self, kind: str, name: str) -> None:
        """Remove an object; the caller holds `changed`."""
        stored = self.kinds[kind].pop(name, None)
        if stored is not None:
            self.revision += 1
            meta = {**stored["meta"], "rev": self.revision}
            self.note(kind, {**stored, "meta": meta}, True)

    def note(self, kind: str, stored: Json, deleted: bool) -> None:
        """Keep a change for watches and wake them."""
        self.history.append((self.revision, kind, stored, deleted))
        del self.history[:-HISTORY_LENGTH]
        self.changed.notify_all()

    def copy(self) -> "FleetStore":
        """Return a store with the objects and the revision of this moment."""
        found = FleetStore()
        with self.changed:
            found.revision = self.revision
            found.kinds.update(copy.deepcopy(self.kinds))
        return found

    def restore(self, found: "FleetStore") -> None:
        """Come back from a copy: later changes are lost, their revisions free again."""
        with self.changed:
            self.era += 1
            self.revision = self.forgotten = found.revision
            self.kinds.clear()
            self.kinds.update(copy.deepcopy(found.kinds))
            self.history.clear()
            self.changed.notify_all()

    def forget_history(self) -> None:
        """Drop the history, so that older watches end with 410."""
        with self.changed:
            self.history.clear()
            self.forgotten = self.revision
            self.changed.notify_all()

    def list_page(self, kind: str, after: str) -> Json:
        """Return one page of a kind."""
        with self.changed:
            names = sorted(name for name in self.kinds[kind] if name > after)
            items = [self.kinds[kind][name] for name in names[:PAGE_LENGTH]]
            more = len(names) > PAGE_LENGTH
            return {"items": items, "more": more, "as-of": self.revision}

    def wait(self, kind: str, after: int, wait_s: float) -> Json | None:
        """Return the changes of a kind after a revision; None if they are gone.

        Raises
        ------
        ConnectionResetError
            If the store comes back from a copy and ends the watches that wait.
        """
        ends_at = time.monotonic() + wait_s
        with self.changed:
            era = self.era
            while True:
                if era != self.era and not self.faults.keep_watches:
                    raise ConnectionResetError("the store has come back from a copy")
                kept = era != self.era
                if not kept and (after < self.forgotten or after > self.revision):
                    return None
                events = [
                    {"deleted": deleted, "object": stored}
                    for revision, found, stored, deleted in self.history
                    if found == kind and revision > after
                ]
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "as-of": self.revision}
                self.waiting[kind] += 1
                self.changed.wait(left_s)
                self.waiting[kind] -= 1


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers one connection."""

    protocol_version = "HTTP/1.1"
    store: FleetStore
    faults: Faults

    def handle_call(self) -> None:
        """Answer one call."""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [urllib.parse.unquote(part) for part in parts.path.split("/")[4:]]
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length)) if length else {}
        kind = parts.path.split("/")[3]
        self.store.calls[f"{self.command} {kind}"] += 1
        faults = self.faults
        began_at = time.monotonic()
        time.sleep(faults.delay_s)
        self.wait_while_silent()
        if faults.refused and faults.refused in self.path:
            self.answer(503, {})
            return
        if faults.status:
            self.answer(faults.status, {})
            return
        try:
            status, found = self.act(kind, names, query, body)
        except ConnectionResetError:
            self.close_connection = True
            return
        if self.command != "GET" and faults.lose_answers > 0:
            faults.lose_answers -= 1
            self.close_connection = True
            return
        self.wait_while_silent()
        if began_at < faults.lost_before and faults.lost_path in self.path:
            self.rfile.read()  # Until the client closes the connection.
            self.close_connection = True
            return
        self.answer(status, found)

    def wait_while_silent(self) -> None:
        """Wait as long as the call in progress is not to be answered."""
        faults = self.faults
        while faults.silent or (faults.unanswered and faults.unanswered in self.path):
            time.sleep(0.01)

    def act(
        self, kind: str, names: list[str], query: dict[str, str], body: Json
    ) -> tuple[int, Json]:
        """Carry out one call and return status and body."""
        store = self.store
        if self.command == "GET" and not names:
            if "watch" in query:
                wait_s = int(query.get("wait-ms", 0)) / 1e3
                found = store.wait(kind, int(query["watch"]), wait_s)
                return (200, found) if found is not None else (410, {})
            old = self.faults.old if "allow-stale" in query else None
            listed = old if old is not None else store
            page = listed.list_page(kind, query.get("after", ""))
            if page["more"] and self.faults.after_page is not None:
                self.faults.after_page()
            return 200, page
        name = names[0] if names else body["meta"]["name"]
        held = store.kinds[kind].get(name)
        if self.command == "POST":
            if held is not None:
                return 409, held
            store.put(kind, name, body["spec"])
            return 201, store.kinds[kind][name]
        if held is None:
            return 404, {}
        wanted = query.get("rev") or body.get("meta", {}).get("rev")
        if wanted is not None and int(wanted) != held["meta"]["rev"]:
            return 409, held
        if self.command == "DELETE":
            store.remove(kind, name)
        elif self.command == "PUT":
            store.put(kind, name, body["spec"])
        return 200, store.kinds[kind].get(name, held)

    do_GET = do_POST = do_PUT = do_DELETE = handle_call  # noqa: N815

    def answer(self, status: int, found: Json) -> None:
        """Send an answer."""
        body = encode(found)
        head = f"HTTP/1.1 {status} answer\r\nContent-Type: application/json\r\n"
        era = self.store.era if self.faults.era is None else self.faults.era
        head += f"Store-Era: {era}\r\n" if era != "" else ""
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self.wfile.write(head.encode() + body)
        if self.faults.repeat_after_s:
            timer = threading.Timer(
                self.faults.repeat_after_s, self.repeat, (head.encode() + body,)
            )
            timer.daemon = True
            timer.start()

    def repeat(self, sent: bytes) -> None:
        """Send an answer again, unless its connection has ended."""
        with contextlib.suppress(OSError, ValueError):
            self.wfile.write(sent)

    def log_message(self, format: str, *args: typing.Any) -> None:  # noqa: A002
        """Write no access log."""


class Server(http.server.ThreadingHTTPServer):
    """Serves a store on loopback."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, store: FleetStore, faults: Faults) -> None:
        members = {"store": store, "faults": faults}
        handler = type("StoreHandler", (Handler,), members)
        super().__init__(("127.0.0.1", 0), handler)

    def handle_error(self, request: typing.Any, client_address: typing.Any) -> None:
        """Ignore clients that have gone."""


def serve(
    store: FleetStore, faults: Faults | None = None
) -> tuple[Server, tuple[str, int]]:
    """Serve a store in a thread; return the server and its address.

    `faults` are those of this address only; without them the store's count.
    """
    server = Server(store, faults or store.faults)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.server_address[:2]
    return server, (str(host), int(port))
