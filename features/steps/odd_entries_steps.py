"""Steps for entries that another writer has left in the store."""

import contextlib
import copy
import dataclasses
import json
import math
import os
import re
import time
import unittest.mock

import behave
import configuration_steps
import fleet_catch_up_steps
import fleet_forwarding_steps
import httpx
import hypothesis
import logbook
import msgspec
from config_check_steps import JSON_VALUES, good_configuration, places, replace
from fleet_feed_steps import entry, eventually, quiet_log
from hypothesis import strategies

from basilgate import (
    counters,
    documentmerge,
    eventlog,
    fleetmodel,
    forwarder,
    metrics,
    peertable,
    platformapi,
)
from basilgate.relay import relayclient, relaymessages
from platformedge import bounds, damagedarrays, documents, jsonparts, store
from standins import fleetstore

NAME = "i-000000aa"
PORT = 2_001  # Of a caller.
OTHER_OVERRIDE = "override/o.2"
FAR_NUMBERS = strategies.sampled_from(
    [10**400, -(10**400), 10**30, -(10**30), 2**64, 2**63, -1, 0, 1e300, -1e300]
    + [math.nan, math.inf, -math.inf, 0.5]
)
ODD_VALUES = (
    JSON_VALUES
    | FAR_NUMBERS
    | strategies.integers()
    | strategies.sampled_from(
        ["10.1.0.1:٣", "10.1.0.1:0", "10.1.0.1:99999", "draining"]
    )
)
NAMES = strategies.sampled_from([NAME, "i-0", "", "odd-entry"]) | strategies.text()
OVERRIDE = {
    "kind": "weight",
    "service": "desk",
    "target": "i-00000001",
    "weight": 5,
    "expires_at_s": None,
    "operator": "Ana",
    "reason": "",
    "operation": "ab12",
    "created_at_s": 1.7e9,
    "released_at_s": None,
}


def value_of(text):
    """Return the value that a table's cell stands for."""
    count, _, unit = text.partition(" ")
    if unit == "digits":
        return int("9" * int(count)) if int(count) < 4_000 else text
    if unit == "letters":
        return "a" * int(count)
    if unit == "bits":
        return 2 ** int(count) - 1
    if count == "port":
        return f"10.1.0.9:{unit}"
    return json.loads(text)


def encoded(value):
    """Return JSON in bytes; NaN and infinity as Python writes them."""
    return json.dumps(value).encode()


def check_numbers(value):
    """Check that all numbers in a decoded value are finite and fit into 64 bits."""
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif dataclasses.is_dataclass(value):
        value = list(vars(value).values())
    if isinstance(value, dict):
        value = [*value.keys(), *value.values()]
    if isinstance(value, list | tuple):
        for inner in value:
            check_numbers(inner)
    elif isinstance(value, int | float):
        assert -(2**63) <= value < 2**64, value


@behave.when("a target's entry has {value} as its {field}")
def decode_changed_entry(context, value, field):
    """Decode an entry with one odd field."""
    content = encoded(entry(9, **{field: value_of(value)}))
    context.refusal = refusal_of(documents.decode_target, NAME, content)


def refusal_of(decode, *arguments):
    """Return the message with which a decoder refuses something, None if not."""
    try:
        decode(*arguments)
    except documents.DocumentError as error:
        return str(error)
    return None


@behave.then("the entry is refused, and the refusal names it")
def check_refused_by_name(context):
    """Check the message."""
    assert context.refusal is not None and NAME in context.refusal, context.refusal
    assert len(context.refusal) < 500, len(context.refusal)


def decode_some_object(content):
    """Decode an object of the store's era 1."""
    return documents.decode_object(content, 1)


def decode_some_override(content):
    """Decode an override."""
    return documents.decode_override("i-00000001", content)


# Sound documents and their decoders.
DOCUMENTS = {
    "an override": (OVERRIDE, decode_some_override),
    "a configuration": (good_configuration(), documents.decode_configuration),
    "an object": ({"meta": {"name": "a", "rev": 5}, "spec": {}}, decode_some_object),
    "a listing": ({"items": [], "as-of": 5}, documents.decode_listing),
    "a watch": ({"events": [], "as-of": 5}, documents.decode_events),
}


@behave.when("{kind} has {value} as its {field}")
def decode_changed_document(context, kind, value, field):
    """Decode a document with one odd field."""
    sound, decode = DOCUMENTS[kind]
    changed = copy.deepcopy(sound)
    put = value_of(value)
    replace(changed, field, put[9:] if field.endswith("path-prefix") else put)
    assert refusal_of(decode, encoded(sound)) is None
    context.refusal = refusal_of(decode, encoded(changed))


@behave.then("the document is refused")
def check_refused(context):
    """Check that the decoder refused it, in a line of ordinary length."""
    assert context.refusal is not None
    assert len(context.refusal) < 500, len(context.refusal)


def changed_values(sound):
    """Return a strategy for documents with odd values at some places, or any value."""
    paths = strategies.sampled_from(places(sound))

    def change(changes):
        changed = copy.deepcopy(sound)
        for path, value in changes:
            inner = changed
            try:
                for key in path[:-1]:
                    inner = inner[key]
                inner[path[-1]] = value
            except (LookupError, TypeError):
                continue  # An earlier change took the place away.
        return changed

    changes = strategies.lists(
        strategies.tuples(paths, ODD_VALUES), min_size=1, max_size=3
    )
    return changes.map(change) | ODD_VALUES


@behave.then("any entry is refused, or can be applied, chosen, merged, and passed on")
def check_any_entry(context):
    """Put drawn entries into the rig's view and do with them what hosts do."""
    rig = context.fleet
    revisions = iter(range(100, 1_000_000))

    @hypothesis.given(NAMES, changed_values(entry(9)), strategies.booleans())
    @hypothesis.settings(max_examples=1_500)
    def survive(name, spec, removed):
        content = encoded(spec)
        position = fleetmodel.Position(1, next(revisions))
        document = documents.StoredDocument(name, position, content, removed)
        check_passed_on(document)
        check_merged(document)
        try:
            target = documents.decode_target(name, content)
        except documents.DocumentError as error:
            assert repr(name) in str(error), error
            return
        check_numbers(target)
        assert 1 <= target.slots <= bounds.LARGEST_SLOTS
        assert 0 < target.address[1] < 2**16 and target.address[1] == int(
            target.address[1]
        )
        assert 0 < target.number < 2**64 and 0 < target.token < 2**32
        assert rig.view.apply_target(target, position)
        chosen = rig.chooser.choose(target.service, (), rig.now)
        assert chosen is not None or target.leaving or target.service != "desk"
        rig.chooser.choose(target.service, (), rig.now, crowded=True)
        check_reported(target, position)
        assert rig.view.remove_target(name, position)
        rig.now += 100.0
        rig.view.evict_removed(rig.now)

    survive()


def check_reported(target, position):
    """Check that a host's report about a target is read by its peers."""
    report = peertable.Report(
        "h1",
        target.domain,
        "127.0.0.1",
        1,
        1,
        position.revision,
        False,
        {target.token: (1, 0.5)},
        [target.token],
        [target.token],
        [],
        position.era,
    )
    assert peertable.decode_report(peertable.ENCODER.encode(report)) == report


def check_passed_on(document):
    """Check that a document reaches a downstream as it is."""
    listing = store.Listing([document], document.position, [])
    frame = relaymessages.make_frame(documents.TARGETS_KIND, listing, True, True)
    body = relaymessages.ENCODER.encode(frame)
    received = relaymessages.read_frame(relaymessages.FRAME_DECODER.decode(body))
    (found,) = received.documents
    assert (found.name, found.position) == (document.name, document.position)
    assert found.removed == document.removed
    assert document.removed or found.content == document.content


def check_merged(document):
    """Check that a document can be merged with another one, in both directions."""
    other = documents.StoredDocument(
        document.name, fleetmodel.Position(2, 7), encoded(entry(9)), False
    )
    until = fleetmodel.Position(2, 8)
    for pair in ((document, other), (other, document)):
        merged = documentmerge.merge_targets(*pair, until)
        assert merged.content in (document.content, other.content)
    order = documents.target_order(document.content, document.removed)
    check_numbers(order)


@behave.then("any document of another kind is refused or within bounds")
def check_any_document(context):
    """Decode drawn documents."""
    del context
    for kind in DOCUMENTS:
        check_any_of_kind(kind)


ORDERS = {
    "an override": lambda content: documents.override_order(content, False),
    "a configuration": documents.configuration_order,
}


def check_any_of_kind(kind):
    """Decode drawn documents of a kind."""
    sound, decode = DOCUMENTS[kind]

    @hypothesis.given(changed_values(sound))
    def survive(value):
        content = encoded(value)
        if kind in ORDERS:
            check_numbers(ORDERS[kind](content))
        try:
            decoded = decode(content)
        except documents.DocumentError:
            return
        check_numbers(decoded)

    survive()


@behave.when("the settings have {value} as {field}")
def decode_changed_settings(context, value, field):
    """Decode settings with one odd bound."""
    text = fleetstore.settings_text("127.0.0.1", "d1", 5_000, ("127.0.0.1", 9), [])
    count, _, unit = value.partition(" ")
    shown = "9" * int(count) if unit else value
    assert refusal_of(documents.decode_settings, text) is None
    text += f"[bounds]\n{field} = {shown}\n"
    context.refusal = refusal_of(documents.decode_settings, text)


@behave.then("the settings are refused")
def check_settings_refused(context):
    """Check that one line says so."""
    assert context.refusal is not None
    assert context.refusal.startswith("settings: ") and "\n" not in context.refusal


@behave.then('the name "{name}" has {number}')
def check_number(context, name, number):
    """Check which number a name has."""
    del context
    expected = None if number == "no number" else int(number, 16)
    assert documents.target_number(name) == expected


def foreign_target(name, born):
    """Return a target by its name, as its entry describes it."""
    found = entry(9, born=born, slots=1_000)
    return documents.decode_target(name, encoded(found))


@behave.given("a forwarder with a target {name} that has an open flow")
def make_open_flow(context, name):
    """Set up a forwarder, and open a flow."""
    rig = fleet_forwarding_steps.make_rig(context, [foreign_target(name, 7)])
    assert rig.open(PORT) == documents.target_number(name)
    context.token = rig.view.entries[name].target.token


@behave.when("an entry {name} appears that has its token")
def add_with_token(context, name):
    """Add an entry that seems to have started earlier."""
    found = foreign_target(name, 1)
    assert found.token == context.token
    position = fleet_forwarding_steps.at_revision(20)
    assert context.fleet.view.apply_target(found, position)


@behave.then("packets of the flow still reach {name}")
@behave.then("packets with this token reach {name}")
def check_token(context, name):
    """Check where a packet with the token goes."""
    ack = fleet_forwarding_steps.ACK
    sent = context.fleet.handle(
        fleet_forwarding_steps.packet(PORT, ack, token=context.token)
    )
    number = documents.target_number(name)
    assert [found[0][:8] for found in sent] == [number.to_bytes(8, "big")], sent


@behave.then("the entry {name} gets no new flows")
def check_no_flows(context, name):
    """Check the candidates."""
    names = [found.target.name for found in context.fleet.view.candidates("desk")]
    assert names and name not in names, names


@behave.when("the target {name} is removed")
def remove_known(context, name):
    """Remove a target."""
    position = fleet_forwarding_steps.at_revision(30)
    assert context.fleet.view.remove_target(name, position)


@behave.when("flows as old as that have ended")
def end_flows(context):
    """Let more than the longest life of a flow pass, until another target leaves."""
    rig = context.fleet
    rig.now += rig.view.flow_age_limit_s + 1.0
    found = fleet_forwarding_steps.target(0x77)
    rig.view.apply_target(found, fleet_forwarding_steps.at_revision(40))
    rig.view.remove_target(found.name, fleet_forwarding_steps.at_revision(41))


@behave.then("the entry {name} gets new flows")
def check_flows(context, name):
    """Check the candidates, and where the token leads."""
    names = [found.target.name for found in context.fleet.view.candidates("desk")]
    assert name in names, names
    check_token(context, name)


@behave.when(
    "it lists {first} born {born:d} and {second} born {later:d} with one token"
)
def list_two(context, first, born, second, later):
    """Apply a first listing."""
    rig = context.fleet
    position = fleet_forwarding_steps.at_revision(20)
    for name, started_ms in ((first, born), (second, later)):
        rig.view.apply_target(foreign_target(name, started_ms), position)
    rig.view.targets_listed = True
    context.token = rig.view.entries[first].target.token
    assert rig.view.entries[second].target.token == context.token


class CountingPattern:
    """Counts the matches of a pattern."""

    def __init__(self, pattern, steps):
        self.pattern = pattern
        self.steps = steps

    def finditer(self, *arguments):
        """Yield the matches."""
        for match in self.pattern.finditer(*arguments):
            self.steps[0] += 1
            yield match

    def __getattr__(self, name):
        """Count a call of another method."""
        self.steps[0] += 1
        return getattr(self.pattern, name)


@contextlib.contextmanager
def counted_steps():
    """Count the steps with which a response is split, in the list that it yields."""
    steps = [0]

    def is_json(value, original=jsonparts.is_json):
        steps[0] += 1
        return original(value)

    with contextlib.ExitStack() as stack:
        patch = unittest.mock.patch.object(jsonparts, "is_json", is_json)
        stack.enter_context(patch)
        for module in (jsonparts, damagedarrays, documents):
            for name, value in list(vars(module).items()):
                if isinstance(value, re.Pattern):
                    pattern = CountingPattern(value, steps)
                    stack.enter_context(
                        unittest.mock.patch.object(module, name, pattern)
                    )
                elif isinstance(value, dict) and name.isupper():
                    patterns = {
                        key: CountingPattern(pattern, steps)
                        for key, pattern in value.items()
                        if isinstance(pattern, re.Pattern)
                    }
                    stack.enter_context(unittest.mock.patch.dict(value, patterns))
        yield steps


def stored_entry(number, spec):
    """Return an entry as the store lists it."""
    meta = {"name": f"i-{number:010x}", "rev": number, "created": 1, "finalizers": []}
    return {"meta": meta, "spec": spec, "status": None}


@behave.given("a {page} of {count:d} entries, one of them {fault}")
def make_page(context, page, count, fault):
    """Encode a page."""
    context.page, context.decode = encode_page(page, count, FAULTS[fault])


@behave.given("it ends with {members}")
def add_members(context, members):
    """Add members that no host knows."""
    context.page = context.page.rstrip(b"}") + f", {members}}}".encode()


# Bytes that take the place of a field of an entry.
FAULTS = {
    "with a control character": b'"\x01"',
    "nested 100000 levels deep": b"[" * 100_000 + b"]" * 100_000,
    "opening 100000 arrays": b"[" * 100_000,
    "closing 100000 arrays": b"]" * 100_000,
    "opening a string": b'"desk',
}


def encode_page(page, count, odd):
    """Return a page with odd bytes in the entry in its middle, and its decoder."""
    return encode_with(page, count, {**entry(9), "service": fleetstore.RawJson(odd)})


def torn_page(page, end, count=3):
    """Return a page whose middle entry is torn and ends with bytes, and its decoder."""
    return encode_with(page, count, fleetstore.RawJson(b'{"service":"desk"' + end))


def encode_with(page, count, spec):
    """Return a page with the content of the entry in its middle, and its decoder."""
    items = [stored_entry(number, entry(9)) for number in range(1, count + 1)]
    items[count // 2]["spec"] = spec
    return encode_items(page, items)


def encode_items(page, items):
    """Return a page with entries, and its decoder."""
    if page == "listing":
        body, decode = {"items": items, "as-of": 7}, documents.decode_listing
    else:
        events = [{"deleted": False, "object": item} for item in items]
        if page == "watch with the object first":
            events = [dict(reversed(event.items())) for event in events]
        body, decode = {"events": events, "as-of": 7}, documents.decode_events
    return fleetstore.encode(body), decode


def read_targets(page, decode):
    """Return the names of the targets in a page, and the problems of the others."""
    decoded = decode(page)
    is_listing = isinstance(decoded, documents.WireListing)
    raws = decoded.items if is_listing else [event.object for event in decoded.events]
    names, problems = set(), []
    for raw in raws:
        try:
            document = documents.decode_object(bytes(raw), 1)
            documents.decode_target(document.name, document.content)
            names.add(document.name)
        except documents.DocumentError as error:
            problems.append(str(error))
    return names, problems


def page_names(count):
    """Return the names in a page, and the one in its middle."""
    names = [f"i-{number:010x}" for number in range(1, count + 1)]
    return set(names), names[count // 2]


@behave.then("the {count:d} others are read, and the odd one is unreadable by its name")
def check_others(context, count):
    """Check names and problems."""
    names, odd = page_names(count + 1)
    found, problems = read_targets(context.page, context.decode)
    assert found == names - {odd}, found ^ names
    assert len(problems) == 1 and odd in problems[0], problems


PAGES = ["listing", "watch", "watch with the object first"]


def any_bytes():
    """Return a strategy for the bytes that a writer may leave."""
    marks = strategies.sampled_from([b"[", b"]", b"{", b"}", b'"', b"\\", b",", b":"])
    return strategies.lists(marks | strategies.binary(max_size=3)).map(b"".join)


@behave.then("whatever bytes one entry of a page has, the others are read")
def check_any_bytes(context):
    """Put drawn bytes into one entry."""
    del context
    names, odd = page_names(5)

    @hypothesis.given(strategies.sampled_from(PAGES), any_bytes())
    def survive(page, content):
        found, _ = read_targets(*encode_page(page, 5, content))
        assert names - {odd} <= found <= names, found

    survive()


# Objects in an entry that look like entries, or parts of them.
SIMILAR = [
    {"meta": {"name": "i-1", "rev": 1}},
    {"meta": {"name": "i-2", "rev": 2}, "spec": {"a": ["x", {"b": 1}]}},
    {"object": 1},
]
ENTRY_PARTS = [b"[", b"]", b"{", b"}", b'"', b"\\", b",", b":", b" ", b"1", b"null"]
ENTRY_PARTS += [b'"a"', b'"spec":', b"}}", b"]}", b'{"meta":', b'"a":']
ENTRY_PARTS += [b',{"meta":{"name":"x","rev":1}', b',{"deleted":false,"object":']


@behave.then("whatever bytes three entries of a page have, the others are read")
def check_three_entries(context):
    """Put drawn parts into three entries, and similar objects into some."""
    del context
    names, _ = page_names(6)
    content = strategies.lists(strategies.sampled_from(ENTRY_PARTS), max_size=8)

    @hypothesis.example(
        "listing",
        [
            b",\\{ ",
            b'{ {"a":[ :,{"deleted":false,"object":',
            b'}{}]},{"meta":{"name":"x","rev":1}',
        ],
        [4, 1, 3, 0, 2, 5],
    )
    @hypothesis.given(
        strategies.sampled_from(PAGES),
        strategies.lists(content.map(b"".join), min_size=3, max_size=3),
        strategies.permutations(range(6)),
    )
    def survive(page, contents, order):
        items = [stored_entry(number, entry(9)) for number in range(1, 7)]
        items[5]["spec"]["similar"] = items[3]["spec"]["similar"] = SIMILAR
        for index, odd in zip(order, contents, strict=False):
            items[index]["spec"] = fleetstore.RawJson(odd)
        others = {items[index]["meta"]["name"] for index in order[3:]}
        found, _ = read_targets(*encode_items(page, items))
        assert others <= found <= names, (others - found, found - names)

    survive()


@behave.then(
    "wherever two entries of a page are cut, at either end, the others are read"
)
def check_cut_entries(context):
    """Cut drawn entries at drawn places."""
    del context
    names = [f"i-{number:010x}" for number in range(1, 7)]
    content = fleetstore.encode({**entry(9), "tags": [{"a": "b"}, {"c": ["d"]}]})
    cut = strategies.tuples(
        strategies.integers(0, len(names) - 1),
        strategies.integers(1, len(content) - 1),
        strategies.booleans(),
    )

    @hypothesis.given(
        strategies.sampled_from(PAGES), strategies.lists(cut, min_size=1, max_size=2)
    )
    def survive(page, cuts):
        items = [stored_entry(number, entry(9)) for number in range(1, 7)]
        for index, place, keeps_begin in cuts:
            part = content[:place] if keeps_begin else content[place:]
            items[index]["spec"] = fleetstore.RawJson(part)
        odd = {names[index] for index, _, _ in cuts}
        found, _ = read_targets(*encode_items(page, items))
        assert found == set(names) - odd, (found, cuts)

    survive()


@behave.then("all {count:d} are split, in at most {limit:d} steps for each")
def check_steps(context, count, limit):
    """Count the steps that are made in Python."""
    with counted_steps() as steps:
        decoded = context.decode(context.page)
    assert isinstance(decoded, documents.WireListing | documents.WireEvents)
    found = getattr(decoded, "items", None) or decoded.events
    assert len(found) == count, len(found)
    assert 0 < steps[0] <= limit * count, steps[0]


# Processor time within which a host reads a response of the largest size: it has 3 s
# to apply a departure, and the smallest hosts have this share of a core.
SMALLEST_SHARE = 0.163
READING_LIMIT_S = 3.0 * SMALLEST_SHARE


def reading_s(page, decode):
    """Return the processor time in which a page is read, in seconds."""
    started_s = time.thread_time()
    read_targets(page, decode)
    return time.thread_time() - started_s


@behave.given("a {page} with an entry of {size:d} bytes that ends with {what}")
def make_torn_page(context, page, size, what):
    """Repeat bytes up to the size, of which 1,048,576 is the limit of an entry."""
    if what == "nested objects around damage":
        begin = b',{"meta":[' + b"1" * 20
        end = b",1" * ((size - LEVELS * len(begin)) // 2) + b"x" + b"]}" * LEVELS
        end = b',"a":[1' + begin * LEVELS + end + b"]"
    else:
        repeated = REPEATED[what]
        end = repeated * (size // len(repeated))
    context.page, context.decode = torn_page(page, end)


LEVELS = 450  # Of nested objects with an array each.
# Bytes that made reading slow: each began a search that went on to the end.
REPEATED = {
    "blanks": b" ",
    "escaped quotes": b'\\"',
    "objects that begin in strings": b'\\,{"meta":"\\",{"meta":',
    "events that begin in strings": b'\\,{"object":"\\",{"object":',
    "open arrays": b"[1",
    "arrays of five levels": b"[[[[[1]]]]],",
    "objects that are too short": b'},{"meta":{"name":"a","rev":1}1',
}


@behave.then("the page is read in the time that a host has for a response")
def check_reading(context):
    """Check the processor time, and that the others are read."""
    names, odd = page_names(3)
    found, _ = read_targets(context.page, context.decode)
    assert names - {odd} <= found, found
    taken_s = reading_s(context.page, context.decode)
    assert taken_s <= READING_LIMIT_S, taken_s


class ShortPages:
    """Connection to a store that answers each listing with a page of one target."""

    def __init__(self, count):
        # Encoded beforehand, so that only the reading is measured.
        self.pages = iter(
            [
                fleetstore.encode(
                    {
                        "items": [stored_entry(number, {})],
                        "more": number < count,
                        "as-of": 7,
                    }
                )
                for number in range(1, count + 1)
            ]
        )

    def call(self, method, path, timeout_s):
        """Return the next page."""
        del method, path, timeout_s
        return store.Response(200, next(self.pages), 1)


@behave.given("a store that lists {count:d} targets in pages of one")
def make_short_pages(context, count):
    """Set up the connection."""
    context.connection = ShortPages(count)


@behave.then("all {count:d} are listed in the time that a host has for a response")
def check_short_pages(context, count):
    """Check the number and the processor time."""
    started_s = time.thread_time()
    listing = store.list_kind(context.connection, documents.TARGETS_KIND, 1.0)
    taken_s = time.thread_time() - started_s
    assert len(listing.documents) == count, listing
    assert taken_s <= READING_LIMIT_S, taken_s


@behave.then("no torn entry of {size:d} bytes takes as long as a host has for a MiB")
def check_torn_entries(context, size):
    """Repeat drawn bytes; a search that starts again takes seconds for this size."""
    del context
    parts = [b" ", b"[", b"]", b"{", b"}", b'"', b"\\", b",", b":", b"1", b"a"]
    parts += [
        b'"meta":',
        b',{"meta":',
        b',{"object":',
        b'"items":[',
        b'],"a":1',
        b'\\"',
    ]
    drawn = strategies.lists(strategies.sampled_from(parts), min_size=1, max_size=7)

    # To shrink an example would take minutes, as each one that fails is slow.
    @hypothesis.settings(phases=[hypothesis.Phase.generate], report_multiple_bugs=False)
    @hypothesis.given(
        strategies.sampled_from(PAGES),
        strategies.sampled_from([b"", b'"', b"[", b"}", b"]", b","]),
        drawn.map(b"".join),
        strategies.sampled_from([b"", b'"', b"[", b"}", b"]", b",", b"1"]),
    )
    def survive(page, before, repeated, after):
        end = before + repeated * (size // len(repeated)) + after
        taken_s = reading_s(*torn_page(page, end))
        assert taken_s <= READING_LIMIT_S, taken_s

    survive()


# A report and relayed messages as arrays, and where their fields are.
REPORT = [
    *("h1", "d1", "127.0.0.1", 1_700_000_000_000, 5, 7, False, {1: [2, 0.5]}),
    *([1], [1], ["127.0.0.2"], 1, 7),
]
REPORT_FIELDS = {
    "the host": (0,),
    "the failure domain": (1,),
    "the start": (3,),
    "the version": (4,),
    "the newest target": (5,),
    "a load's token": (7, "key"),
    "a load's flows": (7, 1, 0),
    "a load's requests": (7, 1, 1),
    "a suspect": (8, 0),
    "an unreachable target": (9, 0),
    "the era": (11,),
    "the newest evacuation": (12,),
}
FRAME = [
    *("servers", 7, True, [["i-00000001", 7, encoded(entry(9))]], True, 1),
    *(
        {"config": [1, 7]},
        {"i-00000001": 5},
        {"d1": [3.5, [1, 7]]},
        {"servers": [1, 7]},
    ),
]
FRAME_FIELDS = {
    "the revision": (1,),
    "a document's name": (3, 0, 0),
    "a document's revision": (3, 0, 1),
    "the era": (5,),
    "a confirmed era": (6, "config", 0),
    "a confirmed revision": (6, "config", 1),
    "an unstored revision": (7, "i-00000001"),
    "the time of a hold": (8, "d1", 0),
    "the revision of a hold": (8, "d1", 1, 1),
    "a sent revision": (9, "servers", 1),
}
SUBSCRIPTION = ["h1", {"servers": 5}]
SUBSCRIPTION_FIELDS = {"the host": (0,), "a digest": (1, "servers")}


def changed_at(message, path, value):
    """Return a message with a value at a path; `key` stands for the key there."""
    changed = copy.deepcopy(message)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    if path[-1] == "key":
        inner[value] = inner.pop(next(iter(inner)))
    else:
        inner[path[-1]] = value
    return msgspec.msgpack.encode(changed)


@behave.when("a peer's report has {value} as {field}")
def change_report(context, value, field):
    """Change one field of a report."""
    datagram = changed_at(REPORT, REPORT_FIELDS[field], value_of(value))
    context.report = peertable.decode_report(datagram)
    assert peertable.decode_report(msgspec.msgpack.encode(REPORT)) is not None


@behave.then("the report is malformed")
def check_malformed(context):
    """Check that there is no report."""
    assert context.report is None, context.report


@behave.when("a relayed message has {value} as {field}")
def change_message(context, value, field):
    """Change one field of a message."""
    sound, fields, context.decoder = FRAME, FRAME_FIELDS, relaymessages.FRAME_DECODER
    if field in SUBSCRIPTION_FIELDS:
        sound, fields = SUBSCRIPTION, SUBSCRIPTION_FIELDS
        context.decoder = relaymessages.SUBSCRIPTION_DECODER
    context.decoder.decode(msgspec.msgpack.encode(sound))
    context.message = changed_at(sound, fields[field], value_of(value))


@behave.then("the message is malformed")
def check_message(context):
    """Check that the message does not decode."""
    try:
        decoded = context.decoder.decode(context.message)
    except documents.DECODE_ERRORS:
        return
    raise AssertionError(decoded)


def packed(value):
    """Return a value in MessagePack, which has no integers of more than 64 bits."""
    try:
        return msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeEncodeError):
        hypothesis.reject()


@behave.then("any report is malformed, or its loads can be added up")
def check_any_report(context):
    """Record drawn reports."""
    peers = context.peers

    @hypothesis.given(changed_values(REPORT))
    def survive(value):
        report = peertable.decode_report(packed(value))
        if report is None:
            return
        check_numbers(report)
        peers.record_report(report, 100.0)
        peers.refresh(100.0)
        check_numbers(peers.loads)
        assert peertable.decode_report(peertable.ENCODER.encode(report)) == report

    survive()


@behave.then("any relayed message is malformed, or can be applied")
def check_any_message(context):
    """Apply drawn messages to a cache."""
    behave.use_fixture(quiet_log, context)
    log = eventlog.EventLog(context.null, "h1")
    counts = counters.Counters()

    @hypothesis.given(changed_values(FRAME))
    def survive(value):
        host = fleet_catch_up_steps.CatchUpHost(log, counts)
        client = relayclient.RelayClient(None, host.cache, log, counts)
        try:
            frame = relaymessages.FRAME_DECODER.decode(packed(value))
        except documents.DECODE_ERRORS:
            return
        check_numbers(frame)
        client.apply_frame(frame)
        for kind in host.cache.kinds:
            listing, complete = host.cache.changes_after(kind, 0) or (None, False)
            if listing is not None:
                passed_on = relaymessages.make_frame(kind, listing, complete, True)
                body = relaymessages.ENCODER.encode(passed_on)
                assert relaymessages.FRAME_DECODER.decode(body) == passed_on

    survive()


DEEP = b"[" * 100_000 + b"]" * 100_000
# Odd entries of targets, by name.
ODD_ENTRIES = {
    "i-000000aa": fleetstore.RawJson(DEEP),
    "i-000000ab": entry(9, slots=fleetstore.RawJson(b"9" * 400)),
    "i-000000ac": entry(9, address="10.1.0.9:99999"),
    "i-000000ad": entry(9, seq=fleetstore.RawJson(b"9" * 5_000)),
    "i-000000ae": fleetstore.RawJson(b'["\\ud800"]'),
    "odd-entry": entry(9),
}


@behave.given("odd entries and odd overrides beside them")
def add_odd_entries(context):
    """Put odd entries and an odd override."""
    for name, spec in ODD_ENTRIES.items():
        context.store.put(documents.TARGETS_KIND, name, spec)
    weight = fleetstore.RawJson(b"9" * 400)
    spec = {**OVERRIDE, "target": "i-00000002", "weight": weight}
    context.store.put(documents.OVERRIDES_KIND, "i-00000002", spec)


@behave.then("it names what cannot be read in lines of ordinary length")
def check_named(context):
    """Check that each odd entry has a line."""
    unreadable = [line for line in context.output.splitlines() if "unreadable" in line]
    for name in (*ODD_ENTRIES, "override 'i-00000002'"):
        assert any(name in line for line in unreadable), (name, unreadable)
    assert max(map(len, context.output.splitlines())) < 500, context.output


@behave.given("a configuration in the store that is nested too deep")
def spoil_configuration(context):
    """Replace the configuration."""
    context.store.put("config", "main", fleetstore.RawJson(DEEP))


@behave.when("a log line says {pairs}")
def write_line(context, pairs):
    """Write a line as another program may leave it."""
    os.write(context.log_descriptor, f"time=1000000995.000 {pairs}\n".encode())


FOREIGN = "i-000000aa"
ADDED = "i-000000bb"


def odd_content(what):
    """Return the content of an odd entry."""
    return {
        "nested 100000 levels deep": fleetstore.RawJson(DEEP),
        "opening 100000 arrays": fleetstore.RawJson(b"[" * 100_000),
        "torn before 400000 blanks": fleetstore.RawJson(
            b'{"service":"desk"' + b" " * 400_000
        ),
        "with slots of 400 digits": entry(8, slots=fleetstore.RawJson(b"9" * 400)),
        "with a port out of range": entry(8, address="10.1.0.8:99999"),
    }[what]


@behave.step("an odd entry is written, {what}")
@behave.when("the entry becomes odd again, {what}")
def write_odd_entry(context, what):
    """Write an odd entry."""
    context.store.put(documents.TARGETS_KIND, FOREIGN, odd_content(what))


@behave.when("the odd entry changes and then becomes sound")
def change_odd_entry(context):
    """Write another odd entry, and a sound one once it may have been read."""
    spec = entry(8, born=fleetstore.RawJson(b"-1"))
    context.store.put(documents.TARGETS_KIND, FOREIGN, spec)
    time.sleep(1.0)
    context.store.put(documents.TARGETS_KIND, FOREIGN, entry(8))


@behave.when("a target is added beside the odd entry")
def add_beside(context):
    """Write a sound entry."""
    context.store.put(documents.TARGETS_KIND, ADDED, entry(7))


def known_targets(host):
    """Return the number of targets that a host lists on its metrics page."""
    found = host.get(forwarder.METRICS_PORT, forwarder.METRICS_PATH)
    lines = found[1].splitlines() if found else []
    counts = [line for line in lines if 'targets{state="listed"}' in line]
    return int(float(counts[0].split()[-1])) if counts else None


@behave.then("all hosts know {count:d} targets and configuration {version:d}")
def check_known(context, count, version):
    """Check what hosts have in force."""
    for host in context.hosts:
        eventually(
            lambda host=host: known_targets(host) == count,
            f"{count} targets at {host.ip}",
        )
        eventually(lambda host=host: host.version() == version, f"version {version}")


@behave.then("all hosts know {count:d} targets and say that the entry is unreadable")
def check_unreadable(context, count):
    """Check the log lines and the targets."""
    for host in context.hosts:
        eventually(lambda host=host: names_unreadable(host), "document_unreadable")
        assert known_targets(host) == count


def names_unreadable(host):
    """Tell whether a host has logged that it cannot read the odd entry."""
    return any(
        "event=document_unreadable" in line and FOREIGN in line
        for line in host.log().splitlines()
    )


# Values of an object in JSON; text of an override where it is one.
ODD_OBJECTS = {
    "a list": b"[1]",
    "text": b'"text"',
    "a number": b"5",
    "100000 levels": DEEP,
    "a number of 400 digits": b'{"weight":' + b"9" * 400 + b"}",
    "a number of 5000 digits": b'{"weight":' + b"9" * 5_000 + b"}",
    "a control character": b'{"id":"\x01"}',
    "half a character": b'{"id":"\\ud800"}',
    "infinity": b'{"weight":Infinity}',
}


@behave.when("the platform lists version 4 of it with {content} and another override")
def list_odd_object(context, content):
    """Decode a listing as the client of the platform does, and apply it."""
    other = configuration_steps.value_of(configuration_steps.override())
    objects = [
        {"name": configuration_steps.NAME, "version": 4, "revision": 40},
        {"name": OTHER_OVERRIDE, "version": 1, "revision": 41},
    ]
    objects[0]["value"] = fleetstore.RawJson(ODD_OBJECTS[content])
    objects[1]["value"] = {**other, "id": OTHER_OVERRIDE.split("/")[1]}
    body = fleetstore.encode({"revision": 50, "objects": objects})
    answer = platformapi.decode_response(httpx.Response(200, content=body))
    listing = answer.bind(platformapi.parse_safely(platformapi.parse_listing)).unwrap()
    with logbook.TestHandler() as context.refusals:
        for _ in range(2):
            context.replica.apply_listing(
                "override/", listing.revision, listing.objects
            )


@behave.when("the platform answers a read with version 4 of it and {content}")
def read_odd_object(context, content):
    """Decode an object as the client of the platform does, and apply it."""
    value = fleetstore.RawJson(ODD_OBJECTS[content])
    found = {"name": configuration_steps.NAME, "version": 4, "revision": 40}
    body = fleetstore.encode({**found, "value": value})
    answer = platformapi.decode_response(httpx.Response(200, content=body))
    parse = platformapi.parse_safely(platformapi.parse_read_object)
    with logbook.TestHandler() as context.refusals:
        assert not context.replica.apply(answer.bind(parse).unwrap())


@behave.then("the replica keeps version 3 alone")
def check_kept(context):
    """Check the version."""
    assert context.replica.live_versions() == {configuration_steps.NAME: 3}


@behave.then("the replica has the other override and keeps version 3 of the first")
def check_replica(context):
    """Check the versions."""
    versions = context.replica.live_versions()
    assert versions == {configuration_steps.NAME: 3, OTHER_OVERRIDE: 1}, versions


@behave.then("the refusal is counted once and names the object")
def check_refusal(context):
    """Check counter and log."""
    refused = configuration_steps.counted(metrics.OBJECTS_REFUSED)
    assert refused == context.refused + 1, refused
    lines = [record.message for record in context.refusals.records]
    named = [line for line in lines if configuration_steps.NAME in line]
    assert len(named) == 1, lines


@behave.when("the platform answers with the revision {revision}")
def answer_with(context, revision):
    """Decode an answer with an odd revision."""
    body = b'{"objects":[],"revision":' + revision.encode() + b"}"
    answer = platformapi.decode_response(httpx.Response(200, content=body))
    context.answer = answer.bind(platformapi.parse_safely(platformapi.parse_listing))


@behave.then("the answer is invalid")
def check_invalid(context):
    """Check the problem."""
    assert context.answer.failure().kind is platformapi.ProblemKind.INVALID
