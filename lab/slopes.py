"""Costs of single objects and operations in one process, without a cluster.

Prints a table and writes ``out/slopes.json``. Sizes and bytes are counts and
repeat exactly; times are processor time on this machine, median of several runs,
next to a reference loop that shows how fast the machine is.
"""

import collections.abc
import datetime
import gc
import hashlib
import json
import pathlib
import statistics
import sys
import time
import tracemalloc
import typing

import anyio

from basilgate import (
    controlmessages,
    effectiveconfig,
    flowopening,
    handovers,
    membership,
    queueing,
    reasons,
    rendezvous,
    replica,
    requestrecords,
    storedobjects,
    targetowner,
    tokens,
    wire,
)
from lab import scale
from peerproto import ttypes

REPEATS = 5
HANDOVER_FLOWS = 770
HANDOVER_RECORDS = 300
TARGETS_PER_NODE = 9
CALLER = ("127.0.0.1", 40_000)
OUT = pathlib.Path("out/slopes.json")

Measured = dict[str, tuple[float, str]]


def held_bytes(count: int, make: collections.abc.Callable[[int], typing.Any]) -> float:
    """Return the bytes that one of `count` objects keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = [make(number) for number in range(count)]
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    used -= sys.getsizeof(kept)
    return used / count


def seconds(run: collections.abc.Callable[[], typing.Any], times: int = 1) -> float:
    """Return the processor time of one run in seconds, median of `REPEATS`."""
    taken = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(times):
            run()
        taken.append((time.process_time() - started) / times)
    return statistics.median(taken)


def reference() -> None:
    """Do a fixed piece of work, to compare machines and moments."""
    digest = b""
    for number in range(20_000):
        digest = hashlib.blake2b(digest + number.to_bytes(4, "big")).digest()


def stored(
    name: str, value: scale.Json | None, revision: int
) -> storedobjects.StoredObject:
    """Return an object at version 1."""
    return storedobjects.StoredObject(name, 1, revision, value)


def goal_objects() -> list[storedobjects.StoredObject]:
    """Return what the platform lists at the size of the capacity goal."""
    parts = scale.sheet_parts(scale.goal(), ["127.0.0.1"])
    found = [
        stored(storedobjects.SHEET_PART_PREFIX + name, part, number)
        for number, (name, part) in enumerate(parts.items(), start=1)
    ]
    found.append(stored(storedobjects.SHEET, scale.manifest(parts), 50))
    found.append(stored("key/1", {"id": 1, "secret": "17" * 32}, 51))
    for number in range(1, scale.DOMAINS + 1):
        view = scale.view(f"domain-{number}", scale.DOMAIN_MEMBERS)
        value = view.model_dump(mode="json")
        found.append(
            stored(storedobjects.VIEW_PREFIX + view.domain, value, 60 + number)
        )
    return found


def listing_text(found: collections.abc.Iterable[storedobjects.StoredObject]) -> str:
    """Return the platform's answer to a list of everything."""
    listed = [
        {"name": o.name, "version": o.version, "revision": o.revision, "value": o.value}
        for o in found
    ]
    return json.dumps({"revision": 100, "objects": listed}, separators=(",", ":"))


def from_listing(text: str) -> list[storedobjects.StoredObject]:
    """Return the objects of a listing."""
    return [storedobjects.StoredObject(**part) for part in json.loads(text)["objects"]]


def filled_replica(text: str) -> replica.Replica:
    """Return a replica that has taken a listing."""
    store = replica.Replica()
    for item in from_listing(text):
        assert store.apply(item)
    return store


def merged(store: replica.Replica) -> effectiveconfig.EffectiveConfig:
    """Return the configuration in force."""
    return effectiveconfig.from_replica(store, datetime.datetime.now(datetime.UTC))


def merge_again(base: effectiveconfig.PreparedSheet, store: replica.Replica) -> None:
    """Merge a prepared sheet with the overrides of a replica."""
    overrides = effectiveconfig.overrides_of(store)
    effectiveconfig.merge(base, overrides, datetime.datetime.now(datetime.UTC))


def configuration() -> Measured:
    """Measure the replica and the merge at the size of the capacity goal."""
    text = listing_text(goal_objects())
    store = filled_replica(text)
    base = effectiveconfig.prepare_sheet(store.sheet_parts())
    one_override = replica.Replica()
    value = scale.override(1, "service-0001", "target-01400")
    assert one_override.apply(stored("override/override-00001", value, 1))
    targets, services = scale.TARGETS, scale.SERVICES
    override = scale.override(1, "service-0001", "target-00001")
    names = [f"override/override-{n:05d}" for n in range(1_000)]
    values = [dict(scale.override(n, "s", "t")) for n in range(1_000)]

    empty = replica.Replica()
    return {
        "listing at start": (float(len(text)), "bytes"),
        "replica and merged configuration": (
            held_bytes(1, lambda _: keep_both(text)),
            "bytes",
        ),
        "replica alone": (held_bytes(1, lambda _: filled_replica(text)), "bytes"),
        "merged configuration alone": (held_bytes(1, lambda _: merged(store)), "bytes"),
        "override in the replica": (
            held_bytes(
                1_000,
                lambda n: empty.apply(stored(names[n], json_copy(values[n]), n + 1)),
            ),
            "bytes each",
        ),
        "tombstone in the replica": (
            held_bytes(
                1_000,
                lambda n: empty.apply(
                    storedobjects.StoredObject(
                        f"override/removed-{n:05d}", 2, n + 2_001, None
                    )
                ),
            ),
            "bytes each",
        ),
        "override as JSON": (float(len(json.dumps(override))), "bytes"),
        "decode the listing": (seconds(lambda: from_listing(text)), "s"),
        "fill the replica": (seconds(lambda: filled_replica(text)), "s"),
        "prepare a new sheet": (
            seconds(lambda: effectiveconfig.prepare_sheet(store.sheet_parts())),
            "s",
        ),
        "merge one override into it": (
            seconds(lambda: merge_again(base, one_override)),
            "s",
        ),
        "targets in the configuration": (float(targets), "count"),
        "services in the configuration": (float(services), "count"),
    }


def keep_both(text: str) -> tuple[replica.Replica, effectiveconfig.EffectiveConfig]:
    """Return a replica and its merged configuration."""
    store = filled_replica(text)
    return store, merged(store)


def json_copy(value: scale.Json) -> scale.Json:
    """Return a copy that shares no strings, as a decoded answer has none."""
    return dict(json.loads(json.dumps(value)))


async def discard(*_: typing.Any) -> None:
    """Send nothing."""


async def no_retry(*_: typing.Any) -> reasons.Reason:
    """Retry nothing."""
    return reasons.Reason.NO_TARGET


def context() -> targetowner.Context:
    """Return what a home needs, without sockets."""
    return targetowner.Context(
        send=discard,
        lease_until=lambda: anyio.current_time() + 1_000,
        retry=no_retry,
        report=discard,
        make_queue=queueing.POLICIES.get("classed_edf"),
        max_deadline_s=60.0,
        max_answer_bytes=1_000_000,
        flow_idle_s=120.0,
    )


def one_target() -> tuple[effectiveconfig.Target, effectiveconfig.Service]:
    """Return a target and its service."""
    store = replica.Replica()
    size = scale.Size(1, {"domain-1": 1})
    parts = scale.sheet_parts(size, ["127.0.0.1"])
    for number, (name, part) in enumerate(parts.items(), start=1):
        store.apply(stored(storedobjects.SHEET_PART_PREFIX + name, part, number))
    store.apply(stored(storedobjects.SHEET, scale.manifest(parts), 9))
    config = merged(store)
    return config.targets[1], config.services[1]


def record(number: int, state: requestrecords.RecordState) -> requestrecords.Record:
    """Return the record of a request, with its frame while it is queued."""
    now = targetowner.now_ms()
    frame = wire.Frame(
        wire.Kind.REQUEST, 1, 1 << 40 | number, number, body=bytes(100) + b"%d" % number
    )
    return requestrecords.Record(
        flow=frame.flow,
        request=number,
        idempotent=False,
        deadline_ms=now + 2_000,
        state=state,
        caller=("127.0.0.1", 40_000 + number % 1_000),
        arrived_at=anyio.current_time(),
        keep_until_ms=now + 4_000,
        frame=frame if state is requestrecords.RecordState.QUEUED else None,
    )


async def homes_state() -> Measured:
    """Measure flows, records, and the handover of one target."""
    target, service = one_target()
    owner = targetowner.TargetOwner(target, service, context(), "host")
    keep = held_bytes(
        10_000, lambda n: owner.touch_flow(0xFEDCBA9876543210 ^ n * 0x9E3779B9)
    )
    found: Measured = {"flow at its home": (keep, "bytes each")}
    found["ended request record"] = (
        held_bytes(2_000, lambda n: record(n, requestrecords.RecordState.REFUSED)),
        "bytes each",
    )
    found["queued request record"] = (
        held_bytes(2_000, lambda n: record(n, requestrecords.RecordState.QUEUED)),
        "bytes each",
    )
    opened = {}

    def remember(number: int) -> None:
        flow = 0xFEDCBA9876543210 ^ number * 0x9E3779B9
        opened[flow] = flowopening.RecentPlacement(
            flow.to_bytes(8, "big") * 4, number % 500, anyio.current_time() + 10
        )

    found["remembered open"] = (held_bytes(10_000, remember), "bytes each")
    source = targetowner.TargetOwner(target, service, context(), "host")
    for number in range(HANDOVER_FLOWS):
        source.touch_flow((1 << 63) + number * 0x9E3779B97F4A)
    for number in range(HANDOVER_RECORDS):
        kept = record(number, requestrecords.RecordState.REFUSED)
        source.records[kept.key] = kept
    codec = controlmessages.Codec(bytes(32))

    def build() -> bytes:
        return codec.encode("handover", handovers.export_handover(source, 1, 1))

    message = build()
    label = f"handover of {HANDOVER_RECORDS} records and {HANDOVER_FLOWS} flows"
    found[label] = (float(len(message)), "bytes")
    found["build this handover"] = (seconds(build, 5), "s")
    receiver = targetowner.TargetOwner(target, service, context(), "host")
    taken = []
    for _ in range(REPEATS):
        started = time.process_time()
        decoded = codec.decode(message).unwrap()[1]
        await handovers.apply_handover(receiver, decoded)
        taken.append(time.process_time() - started)
    found["decode and load this handover"] = (statistics.median(taken), "s")
    found["upkeep of this home"] = (await upkeep_seconds(source), "s")
    return found


async def upkeep_seconds(owner: targetowner.TargetOwner) -> float:
    """Return the processor time of one upkeep pass over a home."""
    taken = []
    for _ in range(REPEATS):
        started = time.process_time()
        await owner.expire()
        taken.append(time.process_time() - started)
    return statistics.median(taken)


def loads(count: int) -> list[typing.Any]:
    """Return the load of `count` targets."""
    return [
        ttypes.TargetLoad(4_000 + number, 2, 5, 770, 1, 640) for number in range(count)
    ]


def heartbeat(targets: int) -> ttypes.Heartbeat:
    """Return a heartbeat with fields of ordinary size."""
    return ttypes.Heartbeat(
        host="domain-1-host-12",
        incarnation=1_780_000_000_000_000_000,
        epoch=2_000,
        sent_us=90_000_000_000,
        echo_us=90_000_100_000,
        config_revision=100_000,
        config_digest=1 << 62,
        leaving=False,
        loads=loads(targets),
        ended=[],
    )


def messages() -> Measured:
    """Measure the control messages at the size of the capacity goal."""
    codec = controlmessages.Codec(bytes(32))
    found: Measured = {}
    for targets in (0, TARGETS_PER_NODE):
        message = heartbeat(targets)
        datagram = codec.encode("heartbeat", message)
        label = f"heartbeat with {targets} targets"
        found[label] = (float(len(datagram)), "bytes")
        found[f"encode a {label}"] = (
            seconds(lambda m=message: codec.encode("heartbeat", m), 200),  # type: ignore[misc]
            "s",
        )
        found[f"decode a {label}"] = (
            seconds(lambda d=datagram: codec.decode(d), 200),  # type: ignore[misc]
            "s",
        )
    ping = ttypes.DomainPing("domain-1-host-12", "domain-1", 1 << 60, 9, 1 << 62, True)
    found["domain ping"] = (float(len(codec.encode("domain_ping", ping))), "bytes")
    found["encode a domain ping"] = (
        seconds(lambda: codec.encode("domain_ping", ping), 200),
        "s",
    )
    versions = [
        ttypes.ObjectVersion(f"override/override-{n:05d}", 3) for n in range(1_000)
    ]
    request = ttypes.SyncRequest("domain-1-host-12", versions)
    size = len(codec.encode("sync_request", request))
    found["sync request for each object held"] = (size / 1_000, "bytes each")
    view = scale.view("domain-1", scale.DOMAIN_MEMBERS)
    text = json.dumps(view.model_dump(mode="json"))
    found["view of a failure domain"] = (float(len(text)), "bytes")
    found["parse this view"] = (
        seconds(lambda: storedobjects.parse("view/domain-1", json.loads(text))),
        "s",
    )
    found["member of a view, parsed"] = (
        held_bytes(
            50, lambda _: storedobjects.View.model_validate(json.loads(text)).members
        )
        / scale.DOMAIN_MEMBERS,
        "bytes each",
    )
    member = view.members[0]
    found["peer with the loads of its targets"] = (
        held_bytes(
            500,
            lambda _: membership.Peer(
                member, 0.0, 0.0, loads=codec_loads(codec, TARGETS_PER_NODE)
            ),
        ),
        "bytes each",
    )
    return found


def codec_loads(codec: controlmessages.Codec, count: int) -> typing.Any:
    """Return loads as a decoded heartbeat has them."""
    datagram = codec.encode("heartbeat", heartbeat(count))
    return codec.decode(datagram).unwrap()[1].loads


def choices() -> Measured:
    """Measure the choices made for each packet, open, and view."""
    hosts = [m.host for m in scale.view("domain-1", scale.DOMAIN_MEMBERS).members]
    domains = {f"domain-{n}": 100.0 for n in range(scale.DOMAINS)}
    targets = range(scale.TARGETS // scale.DOMAINS)
    ring = tokens.KeyRing()
    ring.add(1, bytes(32))
    claims = tokens.Placement(1, 1, 1, 2_000_000_000)
    token = tokens.mint(ring, claims, 99)
    return {
        "rendezvous choice among 69 members": (
            seconds(lambda: rendezvous.pick(4_321, hosts), 200),
            "s",
        ),
        "weighted choice among 8 failure domains": (
            seconds(lambda: rendezvous.pick_weighted(4_321, domains), 200),
            "s",
        ),
        "homes of all targets of a failure domain": (
            seconds(lambda: [rendezvous.pick(number, hosts) for number in targets]),
            "s",
        ),
        "verify a token": (
            seconds(lambda: tokens.verify(ring, token, 99, 1, 1.0), 500),
            "s",
        ),
    }


async def measure() -> dict[str, typing.Any]:
    """Run all measurements."""
    found: Measured = {"reference loop": (seconds(reference), "s")}
    found |= configuration()
    found |= await homes_state()
    found |= messages()
    found |= choices()
    return {name: {"value": v, "unit": unit} for name, (v, unit) in found.items()}


def shown(value: float, unit: str) -> str:
    """Return a value with a unit that is easy to read."""
    if unit == "s":
        return f"{value * 1e6:,.1f} us"
    return f"{value:,.0f} {unit}"


def main() -> int:
    """Measure, print a table, and write the JSON file."""
    found = anyio.run(measure)
    for name, entry in found.items():
        print(f"{name:52s} {shown(entry['value'], entry['unit']):>20s}")
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(found, indent=2), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
