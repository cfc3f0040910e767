"""Stand-ins of the platform for the scripts of the second review, on loopback.

A `Site` has a store, endpoints, clients with their routers, and the project's own
entry hosts, each a process started with the command of the deploy file. The stand-ins
follow the users' pages; the standard library is all that they need.
"""

import collections
import contextlib
import heapq
import http.client
import http.server
import itertools
import json
import os
import pathlib
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = struct.Struct(">IIIBBHIHIIH")
NUMBER = struct.Struct(">Q")
SYN, ACK, FIN, RST = 64, 16, 4, 128
ANSWER_S = 0.004  # Time of an answer of the store.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
QUEUE = 12  # Requests that wait at an endpoint for a slot.
COPIES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
FIRST_REPEAT_S, LAST_REPEAT_S = 0.2, 1.6
PROBE_S = 0.5
LINK_CHUNK_BYTES = 1_448  # The data of one packet.
LINK_BUFFER_BYTES = 16_384  # Links have small windows.


class Record:
    """Writes what happens to `record.txt`, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        with self.lock:
            now = time.monotonic() - self.began_at
            self.file.write(f"{now:9.3f} {text}\n")
            self.file.flush()


class Store:
    """The platform's store: objects by kind and name, with one revision counter.

    `stale_s` is how old the answers to calls with `allow-stale` are. A `spec` of type
    bytes is sent as it is.
    """

    def __init__(self, ip, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 100
        self.kinds = collections.defaultdict(dict)
        self.history = []  # Time, revision, kind, object, and whether it was removed.
        self.states = [(0.0, 100, {})]  # Earlier states, for stale answers.
        self.stale_s = 0.0
        self.page_items = PAGE_ITEMS
        self.calls = collections.Counter()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle_call(self):
                store.handle(self)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call  # noqa: N815

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server((ip, 0), Handler)
        self.address = self.server.server_address[:2]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Create or replace an object; a change of `seq` alone is none."""
        with self.changed:
            held = self.kinds[kind].get(name)
            if held is not None and same_but_seq(held["spec"], spec):
                return held
            self.revision += 1
            meta = {"name": name, "rev": self.revision, "created": self.revision}
            if held is not None:
                meta["created"] = held["meta"]["created"]
            meta |= {"finalizers": [], "delete-requested": False}
            stored = {"meta": meta, "spec": spec, "status": None}
            self.kinds[kind][name] = stored
            self.note(kind, stored, False)
            return stored

    def remove(self, kind, name):
        """Remove an object."""
        with self.changed:
            held = self.kinds[kind].pop(name, None)
            if held is not None:
                self.revision += 1
                meta = {**held["meta"], "rev": self.revision}
                self.note(kind, {**held, "meta": meta}, True)

    def note(self, kind, stored, deleted):
        """Keep a change for watches and stale answers; the caller holds the lock."""
        now = time.monotonic()
        self.history.append((now, self.revision, kind, stored, deleted))
        copied = {kind: dict(found) for kind, found in self.kinds.items()}
        self.states.append((now, self.revision, copied))
        del self.states[:-2_000]
        self.changed.notify_all()

    def list_page(self, kind, after, stale):
        """Return a page of a kind as bytes."""
        with self.changed:
            revision, kinds = self.revision, self.kinds
            if stale and self.stale_s:
                at = time.monotonic() - self.stale_s
                _, revision, kinds = [s for s in self.states if s[0] <= at][-1]
            found = kinds.get(kind, {})
            names = sorted(name for name in found if name > after)
            items, size = [], 0
            for name in names:
                item = encode_object(found[name])
                if items and (
                    len(items) >= self.page_items or size + len(item) > PAGE_BYTES
                ):
                    break
                items.append(item)
                size += len(item)
        more = b"true" if len(items) < len(names) else b"false"
        listed = b",".join(items)
        return b'{"items":[%s],"more":%s,"as-of":%d}' % (listed, more, revision)

    def wait(self, kind, after, wait_s):
        """Return the changes after a revision as bytes, None if they are gone."""
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                oldest = time.monotonic() - HISTORY_S
                while self.history and self.history[0][0] < oldest:
                    del self.history[0]
                gone = self.history[0][1] - 1 if self.history else self.revision
                if after < gone and after < self.revision:
                    return None
                events = [
                    b'{"deleted":%s,"object":%s}'
                    % (b"true" if deleted else b"false", encode_object(stored))
                    for _, revision, found, stored, deleted in self.history
                    if found == kind and revision > after
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    joined = b",".join(events)
                    return b'{"events":[%s],"as-of":%d}' % (joined, self.revision)
                self.changed.wait(left_s)

    def handle(self, call):
        """Answer one call."""
        parts = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind, *names = [urllib.parse.unquote(p) for p in parts.path.split("/")[3:]]
        length = int(call.headers.get("Content-Length", 0))
        body = json.loads(call.rfile.read(length)) if length else {}
        watched = " watch" if "watch" in query else ""
        self.calls[f"{call.command} {kind}{watched}"] += 1
        time.sleep(ANSWER_S)
        status, answer = self.act(call.command, kind, names, query, body)
        head = f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(answer)}\r\n\r\n"
        with contextlib.suppress(OSError):
            call.wfile.write(head.encode() + answer)

    def act(self, method, kind, names, query, body):
        """Carry out one call; return its status and its body."""
        if method == "GET" and not names:
            if "watch" in query:
                wait_s = int(query.get("wait-ms", 0)) / 1e3
                found = self.wait(kind, int(query["watch"]), wait_s)
                return (410, b"{}") if found is None else (200, found)
            stale = query.get("allow-stale") == "1"
            return 200, self.list_page(kind, query.get("after", ""), stale)
        with self.changed:
            name = names[0] if names else body["meta"]["name"]
            held = self.kinds[kind].get(name)
            if method == "POST" and held is None:
                return 201, encode_object(self.put(kind, name, body["spec"]))
            if held is None:
                return 404, b"{}"
            wanted = query.get("rev") or body.get("meta", {}).get("rev")
            is_old = wanted is not None and int(wanted) != held["meta"]["rev"]
            if method == "POST" or is_old:
                return 409, encode_object(held)
            if method == "PUT":
                held = self.put(kind, name, body["spec"])
            elif method == "DELETE":
                self.remove(kind, name)
            return 200, encode_object(held)


def same_but_seq(held, spec):
    """Tell whether two contents are the same apart from `seq`."""
    if isinstance(held, bytes) or isinstance(spec, bytes):
        return held == spec
    return {**held, "seq": 0} == {**spec, "seq": 0}


def encode_object(stored):
    """Return an object of the store as bytes."""
    spec = stored["spec"]
    content = spec if isinstance(spec, bytes) else compact(spec)
    return b'{"meta":%s,"spec":%s,"status":null}' % (compact(stored["meta"]), content)


def compact(value):
    """Return a value as JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


class Endpoint:
    """One endpoint: flows over UDP, health over TCP, and its entry in the store.

    It keeps its id over restarts. While it is cold it bears `cold_per_s` requests a
    second.
    """

    def __init__(self, site, ip, service, zone, work_s, slots=2, **cold):
        self.site = site
        self.service, self.zone = service, zone
        self.work_s, self.slots = work_s, slots
        self.cold_s = cold.get("cold_s", 0.0)
        self.cold_per_s = cold.get("cold_per_s", 0.0)
        self.number = site.rng.getrandbits(40)
        self.id = f"i-{self.number:010x}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, 0))
        self.address = self.socket.getsockname()
        self.health = None
        self.powered = False
        self.warm_at = 0.0
        self.openings = []  # When opening packets were sent, and arrived here.
        self.colds = []  # Beginning and end of the times when it was cold.
        self.lock = threading.RLock()
        threading.Thread(target=self.serve, daemon=True).start()
        threading.Thread(target=self.report, daemon=True).start()

    def start(self, cold=True):
        """Start a new run, which registers itself before it takes packets."""
        with self.lock:
            self.flows, self.running, self.waiting = {}, [], collections.deque()
            now = time.monotonic()
            self.warm_at = now + (self.cold_s if cold else 0.0)
            if cold:
                self.colds.append((now, self.warm_at))
            self.seq = 0
            self.born = int(time.time() * 1e3)
            self.powered = True
            self.beat()
            self.health = socket.create_server(self.address)
        self.site.record.write(f"endpoint {self.id} starts, cold={cold}")

    def stop(self):
        """Lose power: no answers, and nothing is known afterwards."""
        with self.lock:
            self.powered = False
            if self.health is not None:
                self.health.close()
                self.health = None
        self.site.record.write(f"endpoint {self.id} is without power")

    def is_cold(self):
        """Tell whether it started a short time ago."""
        return time.monotonic() < self.warm_at

    def entry(self):
        """Return what it says of itself."""
        left_s = max(0.0, self.warm_at - time.monotonic())
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "config-version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": int(left_s * 1e3),
            "seq": self.seq,
            "born": self.born,
        }

    def beat(self):
        """Write its entry."""
        self.seq += 1
        self.site.store.put("servers", self.id, self.entry())

    def report(self):
        """Write its entry at each heartbeat."""
        while True:
            time.sleep(HEARTBEAT_S)
            with self.lock:
                if self.powered:
                    self.beat()

    def serve(self):
        """Take packets and finish requests."""
        while True:
            due = (
                min((run[0] for run in self.running), default=1e18)
                if (self.powered)
                else 1e18
            )
            wait_s = min(0.05, max(0.0, due - time.monotonic()))
            ready, _, _ = select.select([self.socket], [], [], wait_s)
            with self.lock:
                if ready:
                    datagram = self.socket.recv(2048)
                    if self.powered and len(datagram) >= 40:
                        self.take(datagram)
                if self.powered:
                    self.finish()

    def take(self, datagram):
        """Handle one datagram."""
        if NUMBER.unpack_from(datagram)[0] not in (0, self.number):
            return
        fields = HEAD.unpack_from(datagram, 8)
        seq, ack, _, flags, _, size, echo, sport, src, dst, dport = fields
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        if flags & SYN:
            if flow is None:
                flow = self.flows[key] = {
                    "seq": self.site.rng.getrandbits(31),
                    "next": seq + 1,
                    "echo": echo,
                    "data": b"",
                }
                sent_at = self.site.sent_at.get(key, 0.0)
                self.openings.append((sent_at, time.monotonic()))
            flow["echo"] = echo
            self.reply(key, flow, SYN | ACK)
            flow.setdefault("sent", flow["seq"] + 1)
            return
        if flow is None:
            if not flags & RST:
                stub = {"seq": ack, "next": seq, "echo": echo}
                self.reply(key, stub, RST)
            return
        flow["echo"] = echo or flow["echo"]
        if flags & RST:
            del self.flows[key]
        elif size:
            if seq == flow["next"]:
                flow["next"] += size
                self.queue(key, flow, datagram[8 + HEAD.size :])
            self.reply(key, flow, ACK)
        elif flags & FIN:
            flow["next"] = seq + 1
            self.reply(key, flow, FIN | ACK)
            del self.flows[key]

    def queue(self, key, flow, data):
        """Queue a request, or answer that it was not run if the queue is full."""
        request = request_id(data)
        if len(self.waiting) >= QUEUE:
            self.site.record.write(f"{self.id} turns {request} away")
            not_run = b"X-Basilgate-Not-Executed: 1\r\n"
            self.answer(key, flow, b"503 Busy", not_run, b"full")
            return
        self.waiting.append((key, request))
        self.begin()

    def begin(self):
        """Begin requests while slots are free."""
        while self.waiting and len(self.running) < self.slots:
            key, request = self.waiting.popleft()
            work_s = self.work_s
            if self.is_cold() and self.cold_per_s:
                work_s = self.slots / self.cold_per_s
            self.site.runs[request].append(self.id)
            self.site.record.write(f"{self.id} runs {request}")
            heapq.heappush(self.running, (time.monotonic() + work_s, request, key))

    def finish(self):
        """Answer the requests that have ended."""
        while self.running and self.running[0][0] <= time.monotonic():
            _, request, key = heapq.heappop(self.running)
            flow = self.flows.get(key)
            if flow is not None:
                signed = b"X-Basilgate-Response-Signature: %s\r\n" % request.encode()
                self.answer(key, flow, b"200 OK", signed, request.encode())
            self.begin()

    def answer(self, key, flow, status, header, body):
        """Send an answer in one packet."""
        head = b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n"
        data = head % (status, header, len(body)) + body
        self.reply(key, flow, ACK, data, flow["sent"])
        flow["sent"] += len(data)

    def reply(self, key, flow, flags, data=b"", seq=None):
        """Send a packet straight to the client."""
        src, sport, dst, dport = key
        sent = flow.get("sent", flow["seq"]) if seq is None else seq
        head = HEAD.pack(
            sent & 0xFFFFFFFF,
            flow["next"] & 0xFFFFFFFF,
            1,
            flags,
            0,
            len(data),
            flow["echo"],
            dport,
            dst,
            src,
            sport,
        )
        address = socket.inet_ntoa(src.to_bytes(4, "big")), self.site.port
        with contextlib.suppress(OSError):
            self.socket.sendto(head + data, address)


def request_id(data):
    """Return the id in a request."""
    return data.split(b"X-Basilgate-Request-Id: ")[1].split(b"\r\n")[0].decode()


class Link:
    """The link of one host to the store, a proxy of limited bandwidth."""

    def __init__(self, ip, target, mbps):
        self.target = target
        self.byte_s = 8 / (mbps * 1e6)
        self.free_at = 0.0
        self.lock = threading.Lock()
        self.socket = socket.create_server((ip, 0), backlog=64)
        self.address = self.socket.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Take connections and pass them on."""
        while True:
            near, _ = self.socket.accept()
            far = socket.create_connection(self.target)
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LINK_BUFFER_BYTES)
                end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_BUFFER_BYTES)
            for source, sink, limited in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self.copy, args=(source, sink, limited), daemon=True
                ).start()

    def copy(self, source, sink, limited):
        """Pass bytes on, those from the store at the rate of the link."""
        try:
            while data := source.recv(LINK_CHUNK_BYTES):
                if limited:
                    with self.lock:
                        now = time.monotonic()
                        self.free_at = max(now, self.free_at) + len(data) * self.byte_s
                        wait_s = self.free_at - now
                    time.sleep(wait_s)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for end in (source, sink):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)


class Host:
    """One entry host: a process with the command of the deploy file."""

    def __init__(self, site, ip, zone, link=None):
        self.site, self.ip, self.zone = site, ip, zone
        self.path = site.folder / f"{ip}.toml"
        self.link = link
        self.process = None
        self.in_rotation = False
        self.misses = 2
        self.exits = []  # Exit statuses of processes that the platform did not end.

    def write_settings(self, seeds):
        """Write the settings file, as the platform does."""
        port = self.site.port
        host, store_port = (self.link or self.site.store).address
        listed = ", ".join(f'"{seed}:{port + 2}"' for seed in seeds)
        contracts = ", ".join(f'"{name}"' for name in self.site.contracts)
        bounds = "\n".join(f"{k} = {v}" for k, v in self.site.bounds.items())
        text = f"""node = "front-{self.ip}"
role = "forwarder"
machine-class = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r1"
internal-ports = [{port + 3}, {port + 10}]
seeds = [{listed}]
bootstrap = true
counts-loss = false
discovery = "platform"
entry = "announce"
heartbeat-ms = 1200
contracts = [{contracts}]
hash = "mod"
access-mode = "echo"
[listen]
datagram-addr = "{self.ip}:{port}"
ready = "{self.ip}:{port + 1}"
control = "{self.ip}:{port + 2}"
[bounds]
{bounds}
[platform]
address = "{host}:{store_port}"
access-mode = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
"""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.path)

    def start(self):
        """Start the process."""
        kept = {"PATH", "HOME", "LANG"}
        environment = {k: v for k, v in os.environ.items() if k in kept}
        # Without the start scripts that some installations put before Python.
        interpreters = pathlib.Path(os.path.realpath(sys.executable)).parent
        environment |= {
            "PATH": f"{interpreters}:{environment['PATH']}",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BASILGATE_CONFIG": str(self.path),
        }
        command = ["python3", "-S", "-P", "-m", "basilgate.forwarderstart"]
        with open(self.site.folder / f"{self.ip}.log", "ab") as output:
            self.process = subprocess.Popen(
                [*command, f"{self.ip}:{self.site.port}"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.site.record.write(f"host {self.ip} is started")

    def kill(self):
        """End the process with SIGKILL."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None
            self.site.record.write(f"host {self.ip} is killed")

    def is_bound(self):
        """Tell whether the program has bound the socket for the clients' packets."""
        address = socket.inet_aton(self.ip)[::-1].hex().upper()
        wanted = f" {address}:{self.site.port:04X} "
        return wanted in pathlib.Path("/proc/net/udp").read_text()

    def probe(self):
        """Tell whether the host says that it is ready."""
        connection = http.client.HTTPConnection(
            self.ip, self.site.port + 1, timeout=0.4
        )
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Clients:
    """Clients of one zone, each request on a flow of its own, and their router."""

    def __init__(self, site, ip, zone):
        self.site, self.ip, self.zone = site, ip, zone
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind((ip, site.port))
        self.source = int.from_bytes(socket.inet_aton(ip), "big")
        self.ports = itertools.cycle(range(10_000, 60_000))
        self.flows = {}
        self.timers = []
        self.order = itertools.count()
        self.lock = threading.RLock()
        self.results = []  # When asked, its id, and how it ended.
        self.routes = {}  # The route of each request that has ended.
        threading.Thread(target=self.receive, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def hosts(self):
        """Return the hosts that the routers of the zone use."""
        near = [host for host in self.site.hosts if host.zone == self.zone]
        ready = [host for host in near if host.in_rotation]
        if ready and len(ready) * 2 >= len(near):
            return ready
        if not ready:
            far = [h for h in self.site.hosts if h.in_rotation]
            return far or near
        return near

    def ask(self, route, deadline_s, tries=3):
        """Begin a request of a route (address and port), without waiting for it."""
        with self.lock:
            request = f"{self.ip.split('.')[-1]}-{next(self.order)}"
            call = {
                "id": request,
                "route": route,
                "tries": tries,
                "at": time.monotonic(),
            }
            call["until"] = call["at"] + deadline_s
            self.begin(call)

    def begin(self, call):
        """Begin an attempt on a new flow; the caller holds the lock."""
        call["tries"] -= 1
        address, port = call["route"]
        target = int.from_bytes(socket.inet_aton(address), "big")
        flow = {
            "key": (self.source, next(self.ports), target, port),
            "call": call,
            "seq": self.site.rng.getrandbits(31),
            "state": "opening",
            "echo": 0,
            "ack": 0,
            "answer": b"",
        }
        self.flows[flow["key"]] = flow
        self.site.record.write(f"client sends {call['id']} to {address}:{port}")
        now = time.monotonic()
        for copy, delay_s in enumerate(COPIES_S):
            self.after(now + delay_s, self.open, flow, copy)
        self.after(now + OPEN_LIMIT_S, self.give_up, flow)
        self.after(call["until"], self.expire, flow)

    def after(self, at, action, *arguments):
        """Plan an action."""
        heapq.heappush(self.timers, (at, next(self.order), action, arguments))

    def tick(self):
        """Carry out planned actions."""
        while True:
            time.sleep(0.002)
            with self.lock:
                while self.timers and self.timers[0][0] <= time.monotonic():
                    _, _, action, arguments = heapq.heappop(self.timers)
                    action(*arguments)

    def open(self, flow, copy):
        """Send a copy of the opening packet."""
        if flow["state"] == "opening":
            self.site.sent_at[flow["key"]] = time.monotonic()
            self.send(flow, SYN, flow["seq"], copy)

    def results_of(self, route):
        """Return the results of a route."""
        return [found for found in self.results if self.routes[found[1]] == route]

    def give_up(self, flow):
        """End an attempt whose flow nobody accepted."""
        if flow["state"] == "opening":
            self.end(flow, "not opened")

    def expire(self, flow):
        """End an attempt at its deadline."""
        if flow["state"] != "ended":
            flow["call"]["tries"] = 0
            self.end(flow, "deadline, " + flow["state"])

    def end(self, flow, how):
        """End an attempt, and begin the next if there may be one."""
        flow["state"] = "ended"
        call = flow["call"]
        self.flows.pop(flow["key"], None)
        if how != "ok" and call["tries"] > 0 and time.monotonic() < call["until"]:
            self.begin(call)
            return
        self.results.append((call["at"], call["id"], how))
        self.routes[call["id"]] = call["route"]
        self.site.record.write(f"client gets for {call['id']}: {how}")

    def request(self, flow, delay_s):
        """Send the request, and again until it is acknowledged."""
        if flow["state"] == "open":
            call = flow["call"]
            data = (
                f"GET /{call['id']} HTTP/1.1\r\nHost: service\r\n"
                f"X-Basilgate-Request-Id: {call['id']}\r\n\r\n"
            ).encode()
            flow["size"] = len(data)
            self.send(flow, ACK, flow["seq"] + 1, flow["ack"], data)
            later_s = min(LAST_REPEAT_S, delay_s * 2)
            self.after(time.monotonic() + delay_s, self.request, flow, later_s)

    def send(self, flow, flags, seq, ack, data=b""):
        """Send a packet through the router."""
        source, sport, target, dport = flow["key"]
        head = HEAD.pack(
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            1,
            flags,
            0,
            len(data),
            flow["echo"],
            sport,
            source,
            target,
            dport,
        )
        hosts = self.hosts()
        host = hosts[zlib.crc32(head[20:32]) % len(hosts)]
        with contextlib.suppress(OSError):
            self.socket.sendto(head + data, (host.ip, self.site.port))

    def receive(self):
        """Take packets."""
        while True:
            datagram = self.socket.recv(2048)
            with self.lock:
                if len(datagram) >= HEAD.size:
                    self.take(datagram)

    def take(self, datagram):
        """Handle one packet."""
        fields = HEAD.unpack_from(datagram)
        seq, ack, _, flags, _, size, echo, sport, src, dst, dport = fields
        flow = self.flows.get((dst, dport, src, sport))
        if flow is None:
            return
        if flags & RST:
            self.end(flow, "reset, " + flow["state"])
            return
        if flags & SYN:
            if flow["state"] == "opening":
                flow["state"], flow["echo"] = "open", echo
                flow["ack"] = seq + 1
                self.send(flow, ACK, flow["seq"] + 1, flow["ack"])
                self.request(flow, FIRST_REPEAT_S)
            return
        if flow["state"] == "open" and ack >= flow["seq"] + 1 + flow.get("size", 1e9):
            flow["state"] = "waiting"
        if size and seq == flow["ack"]:
            flow["ack"] += size
            flow["answer"] += datagram[HEAD.size :]
            after = flow["seq"] + 1 + flow["size"]
            self.send(flow, ACK, after, flow["ack"])
            self.send(flow, FIN | ACK, after, flow["ack"])
            status = flow["answer"].split(b" ")[1].decode()
            self.end(flow, "ok" if status == "200" else f"status {status}")


class Site:
    """A small deployment on loopback; a context manager that ends all processes."""

    def __init__(self, folder, contracts=(), **bounds):
        self.record = Record(folder / "record.txt")
        self.contracts = ["base", "drain", "config", "cost", "recover", "flows"]
        self.contracts += ["platform", *contracts]
        self.bounds = {
            "seed-lag-s": 3,
            "addr-reuse-s": 2,
            "stable-ms": 4000,
            "ack-ms": 5000,
            "catch-up-s": 4,
            "drain-ms": 3000,
            "grace-s": 6,
            "config-apply-ms": 3000,
            "rollback-slack-ms": 250,
            "max-skew-ms": 12000,
            "recovery-s": 12,
            "reorder-ms": 2000,
            "max-flow-s": 60,
        } | {name.replace("_", "-"): value for name, value in bounds.items()}
        self.rng = random.Random(os.getpid())
        self.net = f"127.{self.rng.randrange(20, 250)}.{self.rng.randrange(256)}"
        self.port = self.rng.randrange(20_000, 30_000)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basilgate-review-"))
        self.store = Store(f"{self.net}.250", self.record)
        self.sent_at = {}  # When the last opening packet of a flow was sent.
        self.runs = collections.defaultdict(list)  # Endpoints that ran a request.
        self.hosts, self.endpoints = [], []
        threading.Thread(target=self.watch_hosts, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for host in self.hosts:
            host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_host(self, zone, mbps=0.0):
        """Add an entry host that is not started yet, with a link if it is limited."""
        ip = f"{self.net}.{len(self.hosts) + 1}"
        link = None
        if mbps:
            link = Link(f"{self.net}.{240 + len(self.hosts)}", self.store.address, mbps)
        self.hosts.append(Host(self, ip, zone, link))
        for host in self.hosts:
            host.write_settings([h.ip for h in self.hosts[:3]])
        return self.hosts[-1]

    def add_endpoint(self, service, zone, work_s, **cold):
        """Add an endpoint that is not started yet."""
        ip = f"{self.net}.{100 + len(self.endpoints)}"
        self.endpoints.append(Endpoint(self, ip, service, zone, work_s, **cold))
        return self.endpoints[-1]

    def configure(self, version, routes, **service_fields):
        """Write a configuration; `routes` maps addresses with ports to services."""
        services = sorted(set(routes.values()))
        self.store.put(
            "config",
            "main",
            {
                "config-version": version,
                "routes": [
                    {
                        "name": f"r-{address}-{port}",
                        "host": address,
                        "path-prefix": f"/{port}/",
                        "kind": "idempotent",
                        "timeout-ms": 2000,
                        "target-latency-ms": 250,
                        "priority": 2,
                        "service": service,
                        "max-attempts": 2,
                    }
                    for (address, port), service in routes.items()
                ],
                "services": [
                    {
                        "name": name,
                        "health-path": "/health",
                        "max-conns": 2000,
                        "protocol": "h1",
                        "tls": False,
                        **service_fields,
                    }
                    for name in services
                ],
                "limits": {"idle-timeout-ms": 15000},
            },
        )
        self.record.write(f"configuration {version} is acknowledged")

    def watch_hosts(self):
        """Request readiness of each host twice a second."""
        while True:
            began_at = time.monotonic()
            for host in list(self.hosts):
                if host.process is not None and host.probe():
                    host.in_rotation, host.misses = True, 0
                else:
                    host.misses += 1
                    if host.misses >= 2:
                        host.in_rotation = False
            time.sleep(max(0.0, began_at + PROBE_S - time.monotonic()))

    def await_ready(self, limit_s=20.0):
        """Wait until all hosts are in rotation; tell whether they are."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(host.in_rotation for host in self.hosts):
                return True
            time.sleep(0.05)
        return False

    def drive(self, clients, route, per_s, for_s, deadline_s=2.0):
        """Send requests at a steady rate for a time."""
        began_at = time.monotonic()
        for number in range(int(per_s * for_s)):
            time.sleep(max(0.0, began_at + number / per_s - time.monotonic()))
            clients.ask(route, deadline_s)


def is_disturbed():
    """Tell whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(main):
    """Play a case and exit with its status, 2 if it could not run."""
    status = 2
    try:
        status = main()
    except Exception:
        traceback.print_exc()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # Also ends the threads.
