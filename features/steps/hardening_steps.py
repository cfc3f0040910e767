"""Steps for hardened inputs: decoders, replays, settings, TLS, and health."""

import contextlib
import io
import pathlib
import ssl
import tempfile

import anyio
import anyio.streams.buffered
import behave
import httpx
import hypothesis
import hypothesis.strategies as st
from returns import result

from basilgate import (
    balancer,
    burnsettings,
    controlmessages,
    exposition,
    membership,
    metrics,
    platformapi,
    probing,
    reasons,
    requestrecords,
    settings,
    slots,
    storedobjects,
    targetowner,
    tls,
    wire,
)
from lab import fuzz, solo
from peerproto import ttypes
from standins import certificates

CODEC = controlmessages.Codec(bytes(32))
CONTEXT = controlmessages.context_of(("127.0.0.1", 7001))
MESSAGES = (
    (
        "heartbeat",
        ttypes.Heartbeat(
            "a", 1, 2, 3, 4, 5, 6, False, [ttypes.TargetLoad(1, 2, 3, 4, 1, 6)]
        ),
    ),
    ("sync_request", ttypes.SyncRequest("a", [ttypes.ObjectVersion("sheet", 4)])),
    ("completion", ttypes.Completion("a", 1, 2, 3, 4, 5, 6)),
)
DATAGRAMS = [CODEC.encode(field, message, CONTEXT) for field, message in MESSAGES]
# Real messages with bytes changed, cut off, or added.
CHANGES = st.tuples(
    st.sampled_from(DATAGRAMS),
    st.integers(0, 200),
    st.integers(0, 255),
    st.integers(0, 200),
    st.binary(max_size=20),
)


def changed(original, position, byte, kept, added):
    """Return a message with one byte changed, its end cut off, and bytes added."""
    position %= len(original)
    mutated = original[:position] + bytes([byte]) + original[position + 1 :]
    return mutated[: max(kept, position + 1)] + added


@behave.when("control messages are cut, lengthened, or changed by hardening tests")
def change_messages(context):
    """Decode changed messages; an unchanged one has to pass."""
    context.passed = []

    @hypothesis.given(CHANGES)
    def decode(change):
        datagram = changed(*change)
        decoded = CODEC.decode(datagram, CONTEXT)
        if isinstance(decoded, result.Success) and datagram not in DATAGRAMS:
            context.passed.append(datagram)

    decode()
    assert all(CODEC.decode(d, CONTEXT).unwrap() for d in DATAGRAMS)


@behave.then("no changed message passes the hardened decoder")
def check_none_passed(context):
    """Check that only unchanged messages passed."""
    assert not context.passed, context.passed


@behave.when("changed payloads are sealed with a valid MAC for hardening tests")
def seal_changed(context):
    """Decode changed payloads whose MAC is right."""
    context.outcomes = []

    @hypothesis.given(CHANGES)
    def decode(change):
        payload = changed(*change)[controlmessages.ENVELOPE_LAYOUT.size :]
        mac = CODEC.mac(payload, CONTEXT)
        sealed = (
            controlmessages.ENVELOPE_LAYOUT.pack(controlmessages.CONTROL_MAGIC, mac)
            + payload
        )
        context.outcomes.append(CODEC.decode(sealed, CONTEXT))

    decode()


@behave.then("the hardened decoder returns a message or a reason")
def check_outcomes(context):
    """Check that both outcomes came up and that reasons are named."""
    failures = [o.failure() for o in context.outcomes if isinstance(o, result.Failure)]
    assert set(failures) == {reasons.Reason.MALFORMED}, set(failures)
    assert len(failures) < len(context.outcomes)


@behave.when("random text goes to the hardened text decoders")
def decode_text(context):
    """Give text of any kind, and text like the real one, to the decoders."""
    context.checked = 0
    ini = st.from_regex(r"(\[(host|listen|tls|alert a)\]\n([a-z_]{1,9} ?= ?.*\n)*)*")
    lines = st.from_regex(r"[a-z_]{1,9}(\{[a-z=\",\\]*\})? [0-9a-zA-Z.+-]{1,9}")
    names = st.sampled_from(["sheet", "sheet-part/1", "view/a", "key/1", "x"])
    scalars = st.one_of(st.none(), st.integers(), st.text(max_size=9))
    values = st.dictionaries(
        st.sampled_from(["id", "domain", "members", "parts", "date", "epoch"]),
        st.one_of(scalars, st.lists(scalars, max_size=3)),
    )

    @hypothesis.given(st.one_of(st.text(), ini), lines, names, values)
    def decode(text, line, name, value):
        for decoded in (
            settings.parse(text),
            burnsettings.parse(text),
            storedobjects.parse(name, value),
        ):
            if isinstance(decoded, result.Failure):
                assert len(decoded.failure().splitlines()) == 1, decoded
            context.checked += 1
        for sample in exposition.parse(f"{text}\n{line}"):
            assert isinstance(sample.value, float)

    decode()


@behave.then("each hardened text decoder returns a value or one line")
def check_text(context):
    """Check that the decoders were run."""
    assert context.checked >= 300, context.checked


@behave.when(
    "a live balancer gets {batches:d} batches of hostile input from seed {s:d}"
)
def fuzz_balancer(context, batches, s):
    """Fuzz a balancer; a lost count or an ended task fails the step."""
    context.drops = anyio.run(fuzz.run, s, 60.0, batches)


@behave.when("a live balancer's handling of the first datagram from {source} fails")
def fail_first(context, source):
    """Let the handler of one socket raise an error once."""

    async def run():
        async with solo.running() as server:
            name = "on_datagram" if source == "callers" else "on_control"
            handler = getattr(server.balancer, name)

            async def fail(*_):
                setattr(server.balancer, name, handler)
                raise LookupError("first datagram")

            setattr(server.balancer, name, fail)
            before = metrics.total(metrics.UNEXPECTED_ERRORS)
            if source == "peers":
                await server.send_control("heartbeat", server.heartbeat())
            # The first copy of the opening meets the fault of the callers' socket.
            context.opened = await server.open(77)
            context.errors = metrics.total(metrics.UNEXPECTED_ERRORS) - before

    anyio.run(run)


@behave.then("the hardened balancer opens a flow, and 1 error from {source} is counted")
def check_contained(context, source):
    """Check that the balancer still serves."""
    assert context.opened is not None
    assert context.errors == 1, (source, context.errors)


@behave.then("the hardened balancer has counted drops for {names}")
def check_drops(context, names):
    """Check that each reason was reached."""
    assert set(names.split(", ")) <= set(context.drops), context.drops


async def send_message(server, message):
    """Send one of the messages that have to be refused."""
    if message == "a recorded heartbeat again":
        recorded = await server.count_heartbeat()
        before = server.state()
        await server.peer.sendto(recorded, *server.peers)
        return before
    await server.count_heartbeat()
    before = server.state()
    now_us = int(anyio.current_time() * 1_000_000)
    if message == "a heartbeat recorded for another host":
        context = controlmessages.context_of(("127.0.0.9", 7001))
        recorded = server.codec.encode("heartbeat", server.heartbeat(), context)
        await server.peer.sendto(recorded, *server.peers)
    elif message == "a heartbeat of a former incarnation":
        old = server.heartbeat(incarnation=solo.PEER_INCARNATION - 1, leaving=True)
        await server.send_control("heartbeat", old)
    elif message == "a heartbeat of a stranger":
        await server.send_control("heartbeat", server.heartbeat(host="stranger"))
    elif message == "a newer incarnation from elsewhere":
        newer = server.heartbeat(incarnation=solo.PEER_INCARNATION + 1)
        context = controlmessages.context_of(server.peers)
        datagram = server.codec.encode("heartbeat", newer, context)
        await server.caller.sendto(datagram, *server.peers)
    elif message == "an echo from the future":
        future = server.heartbeat(echo_us=now_us + 60_000_000)
        await server.send_control("heartbeat", future)
    elif message == "an old ping":
        sent_ms = targetowner.now_ms() - 10_000
        ping = ttypes.DomainPing(
            "far", solo.OTHER_DOMAIN, 1, 1, 1, False, sent_ms=sent_ms
        )
        await server.send_control("domain_ping", ping)
    elif message == "a recorded handover call":
        await server.play_back_handover()
    else:
        sender = {"host": "stranger"}
        if message == "a handover of a former incarnation":
            sender = {"incarnation": solo.PEER_INCARNATION - 1}
        handover = server.handover(**sender)
        answer = await controlmessages.call(
            server.codec, server.peers, "handover", handover
        )
        assert not answer.unwrap()[1].accepted
    return before


@behave.when("a live balancer gets {message} in a hardening test")
def refuse_message(context, message):
    """Send a message and record drops and state before and after."""

    async def run():
        async with solo.running(with_peer=True) as server:
            start = solo.dropped()
            context.before = await send_message(server, message)
            with anyio.move_on_after(10):
                while solo.dropped() == start:
                    await anyio.sleep(0.01)
            context.after = server.state()
            context.drops = {
                reason: count - start.get(reason, 0)
                for reason, count in solo.dropped().items()
                if count != start.get(reason, 0)
            }

    anyio.run(run)


@behave.then("the hardening test counts {count:d} drop for {reason}")
def check_drop(context, count, reason):
    """Compare the drops with the expected one."""
    assert context.drops == {reason: count}, context.drops


@behave.then("the message left the hardened balancer's state unchanged")
def check_state(context):
    """Compare lease, detection times, and handovers."""
    assert context.before == context.after, (context.before, context.after)


@behave.when("a hardened home gets one handover twice")
def hand_over_twice(context):
    """Send the same handover in two calls."""

    async def run():
        async with solo.running(with_peer=True) as server:
            homes = server.balancer.owned_targets.owners
            record = ttypes.RequestRecord(5, 6, 5, 45, False, 2**50, "")
            handover = server.handover(records=[record])
            answers = [
                await controlmessages.call(
                    server.codec, server.peers, "handover", handover
                )
                for _ in range(2)
            ]
            context.accepted = [answer.unwrap()[1].accepted for answer in answers]
            context.records = list(homes[solo.TARGET].records)

    taken = {"direction": "in", "outcome": "accepted"}
    metrics.HANDOVERS.add(taken, 0)
    before = metrics.HANDOVERS.get(taken)
    anyio.run(run)
    context.taken = metrics.HANDOVERS.get(taken) - before


@behave.then("the hardened home loaded it once and accepted both copies")
def check_loaded_once(context):
    """Check answers, records, and the count of handovers."""
    assert context.accepted == [True, True]
    assert context.records == [(5, 6)]
    assert context.taken == 1, context.taken


@behave.when("the platform lists its objects to a hardened balancer only after a while")
def list_late(context):
    """Count the writes of the view before and after the first listing."""
    not_found = platformapi.Problem(platformapi.ProblemKind.NOT_FOUND)
    unavailable = platformapi.Problem(platformapi.ProblemKind.UNAVAILABLE)
    writes = []

    async def run():
        listed = anyio.Event()
        process = balancer.Balancer(settings.parse(changed_settings("")).unwrap())

        async def list_objects(prefix=""):
            await listed.wait()
            return result.Success(platformapi.Listing(1, []))

        async def get(name):
            return result.Failure(not_found)

        async def put(name, value, expect_version):
            writes.append(name)
            return result.Failure(unavailable)

        async def watch(since, wait_s):
            return await anyio.sleep_forever()

        process.platform.list, process.platform.get = list_objects, get
        process.platform.put, process.platform.watch = put, watch
        async with process.platform, anyio.create_task_group() as tasks:
            tasks.start_soon(process.sync.run)
            tasks.start_soon(process.members.run)
            # Several attempts to join would fall into this time.
            await anyio.sleep(3 * membership.JOIN_RETRY_S)
            context.early = len(writes)
            listed.set()
            with anyio.fail_after(10):
                while not writes:
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    context.writes = writes


@behave.then("the hardened balancer joined its view after the listing and not before")
def check_join(context):
    """Compare the writes before and after the listing."""
    assert context.early == 0, context.early
    assert context.writes[0] == "view/b", context.writes


def running_record(entry, number):
    """Return a record of a request that its target is running."""
    deadline_ms = targetowner.now_ms() + 60_000
    record = requestrecords.Record(
        flow=1,
        request=number,
        idempotent=False,
        deadline_ms=deadline_ms,
        state=requestrecords.RecordState.RUNNING,
        caller=("127.0.0.1", 9),
        arrived_at=anyio.current_time(),
        keep_until_ms=deadline_ms + number,
        forwarded=True,
    )
    entry.records[record.key] = entry.running[record.key] = record
    return record


@behave.when("a target's answer to a hardened home {fault}")
def answer_wrongly(context, fault):
    """Give a slot the pieces of a faulty answer."""
    body, numbers, counts = b"x", [0, 1], [3, 3]
    if fault == "skips a piece":
        numbers = [0, 2]
    elif fault == "repeats a piece":
        numbers = [0, 0]
    elif fault == "changes its number of pieces":
        counts = [3, 4]
    else:
        body = bytes(wire.MAX_BODY_BYTES)

    async def run():
        async with solo.running() as server:
            owner = server.balancer.owned_targets.owners[solo.TARGET]
            owner.context.max_answer_bytes = wire.MAX_BODY_BYTES
            context.record = running_record(owner, 1)
            sender, receiver = anyio.create_memory_object_stream(8)
            slot = slots.Slot(owner, 0, None, receiver)
            for piece, count in zip(numbers, counts, strict=True):
                frame = wire.Frame(wire.Kind.ANSWER, solo.SERVICE, 1, 1, body=body)
                frame.piece, frame.pieces = piece, count
                await sender.send(frame)
            with anyio.fail_after(10):
                context.alive = await slots.receive_outcome(slot, context.record)

    anyio.run(run)


@behave.then("the hardened home reports {reason} and closes the connection")
def check_faulty_answer(context, reason):
    """Check outcome, reason, and that no part of the answer is kept."""
    assert context.record.state is requestrecords.RecordState.UNKNOWN
    assert reasons.label(context.record.reason) == reason
    assert context.record.answer is None and not context.alive


@behave.when(
    "a target sends a hardened home its answer twice, the second time during the next "
    "request"
)
def answer_twice(context):
    """Give a slot two requests in turn, and the first one's answer during both."""

    def answer(request):
        frame = wire.Frame(wire.Kind.ANSWER, solo.SERVICE, 1, request)
        frame.pieces, frame.body = 1, f"answer {request}".encode()
        return frame

    async def run():
        async with solo.running() as server:
            owner = server.balancer.owned_targets.owners[solo.TARGET]
            sender, receiver = anyio.create_memory_object_stream(8)
            slot = slots.Slot(owner, 0, None, receiver)
            context.records = []
            for request, answers in ((1, (1,)), (2, (1, 2))):
                context.records.append(running_record(owner, request))
                for number in answers:
                    await sender.send(answer(number))
                with anyio.fail_after(10):
                    assert await slots.receive_outcome(slot, context.records[-1])

    anyio.run(run)


@behave.then("each hardened request got its own answer")
def check_answers(context):
    """Compare the answers that the home keeps."""
    for record in context.records:
        assert record.state is requestrecords.RecordState.ANSWERED, record.state
        pieces = record.answer.pieces
        assert pieces == [f"answer {record.request}".encode()], pieces


@behave.when("a target cancels {work} of a hardened home {cause}")
def cancel_work(context, work, cause):
    """Give a slot the target's reply to a cancellation."""

    async def run():
        async with solo.running() as server:
            owner = server.balancer.owned_targets.owners[solo.TARGET]
            context.record = running_record(owner, 1)
            if cause == "for its caller":
                context.record.cancel.set()
            sender, receiver = anyio.create_memory_object_stream(1)
            slot = slots.Slot(owner, 0, None, receiver)
            frame = wire.Frame(wire.Kind.CANCELLED, solo.SERVICE, 1, 1)
            frame.flags = wire.FLAG_STARTED if work == "started work" else 0
            await sender.send(frame)
            with anyio.fail_after(10):
                await slots.receive_outcome(slot, context.record)

    anyio.run(run)


@behave.then("the hardened home reports the outcome {outcome}")
def check_outcome(context, outcome):
    """Compare state and reason, as the burn report shows them."""
    state = context.record.state.name.lower()
    assert f"{state}:{reasons.label(context.record.reason)}" == outcome


@behave.when("a hardened balancer's answers exceed its buffer")
def exceed_buffer(context):
    """Finish three requests whose answers take 600 of 1,300 bytes each."""

    async def run():
        async with solo.running() as server:
            targets = server.balancer.owned_targets
            owner = targets.owners[solo.TARGET]
            targets.answer_buffer_bytes = 1_300
            for number in (1, 2, 3):
                record = running_record(owner, number)
                frame = wire.Frame(wire.Kind.ANSWER, solo.SERVICE, 1, number)
                frame.pieces, frame.body = 1, bytes(600)
                await owner.on_piece(record, frame)
                await owner.finish(record, requestrecords.RecordState.ANSWERED)
            targets.evict_answers()
            context.kept = [r.request for r in owner.records.values() if r.answer]
            context.buffered = owner.buffered_bytes
            context.record = owner.records[(1, 1)]
            await owner.reply_with_state(context.record)

    anyio.run(run)


@behave.then(
    "the hardened home has kept the newest, and reports {reason} for the oldest"
)
def check_evicted(context, reason):
    """Check which answers are left."""
    assert context.kept == [2, 3], context.kept
    assert context.buffered == 1_200, context.buffered
    assert reasons.label(context.record.reason) == reason


@behave.when("a hardened balancer's peer takes a handover only after a while")
def take_late(context):
    """Announce that the host leaves; its peer listens for calls later."""

    async def run():
        async with solo.running(with_peer=True) as server:
            process = server.balancer
            process.members.leaving = True
            process.on_view_change()
            await anyio.sleep(0.3)
            context.idle, context.taken = [process.owned_targets.is_idle()], []
            host = solo.peer_address(server.peers[0])
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=server.peers[1]
            )
            async with listener, anyio.create_task_group() as tasks:

                async def serve(stream):
                    # On a busy machine the caller may give up; it calls again.
                    lost = (anyio.EndOfStream, anyio.IncompleteRead)
                    with contextlib.suppress(*lost, anyio.BrokenResourceError):
                        async with stream:
                            context.taken.append(await server.take_call(stream))

                tasks.start_soon(listener.serve, serve)
                with anyio.move_on_after(30):
                    while not process.owned_targets.is_idle():
                        await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()
            context.idle.append(process.owned_targets.is_idle())

    anyio.run(run)


@behave.then("the hardened balancer was not ready to stop before and was after")
def check_idle(context):
    """Compare the readiness to stop before and after the handover."""
    assert context.idle == [False, True], context.idle
    assert "handover" in context.taken, context.taken


GOOD_SETTINGS = {
    "host": {"name": "a", "failure_domain": "b"},
    "listen": {
        "callers": "127.0.0.1:7000",
        "peers": "127.0.0.1:7001",
        "admin": "127.0.0.1:7002",
    },
    "platform": {"url": "http://127.0.0.1:9"},
    "peers": {"secret": "5a" * 32},
}


def changed_settings(change):
    """Return the settings with one key set, or removed if it has no value."""
    values = {section: dict(keys) for section, keys in GOOD_SETTINGS.items()}
    section, _, rest = change.removeprefix("[").partition("] ")
    key, equals, value = rest.partition(" = ")
    if equals:
        values.setdefault(section, {})[key] = value
    elif section:
        del values[section][key]
    return "".join(
        f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items())
        for section, keys in values.items()
    )


def start(context, path):
    """Start a balancer with a settings file that has to be refused."""
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        context.status = balancer.run_process(str(path))
    context.lines = errors.getvalue().splitlines()


@behave.when("the hardened balancer starts with {change}")
def start_with(context, change):
    """Write the settings and start."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.ini"
        if change == "a file that is not text":
            path.write_bytes(b"\xff\xfe\x00")
        elif change == "a TLS key that is not a key":
            files = certificates.make(pathlib.Path(folder), "ca")
            files.key.write_text("nonsense")
            path.write_text(changed_settings("[tls] ca = " + str(files.ca)))
            with path.open("a") as file:
                file.write(f"certificate = {files.certificate}\nkey = {files.key}\n")
        elif change != "no file":
            path.write_text(changed_settings(change))
        start(context, path)


@behave.then("the hardened start ends with status 2 and one line with {words}")
def check_start(context, words):
    """Check status and line."""
    assert context.status == 2
    assert len(context.lines) == 1 and words in context.lines[0], context.lines


def client_context(credentials, folder, own):
    """Return the context of a client with the given credentials."""
    if credentials == "no TLS":
        return None
    if credentials == "no certificate":
        context = ssl.create_default_context(cafile=own.ca)
        context.check_hostname = False
        return context
    files = own
    if credentials == "a certificate of another CA":
        other = certificates.make(folder, "other")
        # The client trusts the server; only the server refuses.
        files = other.model_copy(update={"ca": own.ca})
    return tls.client_context(files)


def refused_connections():
    """Return the refused connections by listener and reason."""
    return {
        (labels["listener"], labels["reason"]): count
        for labels, count in metrics.REFUSED_CONNECTIONS.get_all()
    }


async def ask_admin(server, client_tls):
    """Return whether the admin interface answered."""
    scheme = "http" if client_tls is None else "https"
    async with httpx.AsyncClient(verify=client_tls or False, trust_env=False) as client:
        try:
            await client.get(f"{scheme}://{server.admin}/health")
        except httpx.TransportError:
            return "no answer"
    return "an answer"


@behave.when("a peer with {credentials} calls a hardened balancer that serves TLS")
def call_with(context, credentials):
    """Call the balancer over TCP and over HTTP."""

    async def run(folder):
        own = certificates.make(folder, "ca")
        async with solo.running(tls_files=own) as server:
            client_tls = client_context(credentials, folder, own)
            # The check whether the port is open has no TLS and counts as well.
            await anyio.sleep(0.05)
            start = refused_connections()
            caller = controlmessages.Codec(bytes.fromhex(solo.SECRET), client_tls)
            request = ttypes.SyncRequest("a", [])
            answer = await controlmessages.call(
                caller, server.peers, "sync_request", request, timeout_s=1.0
            )
            answered = isinstance(answer, result.Success)
            context.answers = {
                "call": "an answer" if answered else "no answer",
                "admin": await ask_admin(server, client_tls),
            }
            with anyio.move_on_after(5):
                while not answered and len(counted(start)) < 2:
                    await anyio.sleep(0.01)
            context.refused = counted(start)

    def counted(start):
        return {
            key for key, n in refused_connections().items() if n != start.get(key, 0)
        }

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(run, pathlib.Path(folder))


@behave.then(
    "its call has {answer}, its admin request has {outcome}, "
    "and the hardened count is {reason}"
)
def check_tls(context, answer, outcome, reason):
    """Compare answers and counted reasons of both listeners."""
    assert context.answers == {"call": answer, "admin": outcome}, context.answers
    expected = {("calls", reason), ("admin", reason)} if reason != "none" else set()
    assert context.refused == expected, context.refused


@behave.when("a hardened balancer {condition}")
def bring_into(context, condition):
    """Bring a balancer into a state and ask for its health."""

    async def run():
        async with solo.running() as server:
            process = server.balancer
            if condition == "is leaving":
                process.members.leaving = True
            elif condition == "was removed from its view":
                view = storedobjects.View(domain=solo.DOMAIN, epoch=2, members=())
                solo.apply(process, storedobjects.VIEW_PREFIX + solo.DOMAIN, 2, view)
            elif condition == "has lost its keys":
                process.ring.retain(set())
            elif condition == "had a slow event loop":
                process.clock.lags.append((anyio.current_time(), 2.0))
            async with httpx.AsyncClient(trust_env=False) as client:
                context.answer = await client.get(f"http://{server.admin}/health")

    anyio.run(run)


@behave.then("its health answer is {status:d} because of {check}")
def check_health(context, status, check):
    """Compare the status and the checks that failed."""
    answer = context.answer.json()
    failed = [name for name, value in answer.items() if value is False]
    assert context.answer.status_code == status, answer
    expected = [] if check == "nothing" else ["healthy", check]
    assert failed == expected, answer


DEEP_JSON = b'{"value": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
CONTENTS = {
    "JSON nested too deep": DEEP_JSON,
    "a load without bound": b'{"busy": 1e999}',
    "a load of 400 digits": b'{"busy": ' + b"9" * 400 + b"}",
    "a negative load": b'{"busy": -1}',
}


@behave.when("{content} reaches the hardened decoder of {place}")
def decode_unusable(context, content, place):
    """Decode content that cannot be used; none of the decoders may raise an error."""
    if place == "an object":
        value = []
        for _ in range(100_000):
            value = [value]
        decoded = storedobjects.parse("sheet", {"parts": value})
        context.refused = isinstance(decoded, result.Failure)
        return
    body = CONTENTS[content]
    answer = httpx.Response(200, content=body)
    if place == "a platform's answer":
        decoded = platformapi.decode_response(answer)
        context.refused = decoded == result.Success({})
    elif place == "a peer's object":
        part = ttypes.StoredObject("sheet", 1, 1, body.decode(), False)
        context.refused = controlmessages.from_thrift(part) is None
    else:
        context.refused = probing.parse_load(answer) is None


@behave.then("the hardened decoder refuses it")
def check_refused(context):
    """Check the result."""
    assert context.refused
