"""Steps for the check of a configuration, without a network."""

import contextlib
import copy
import io
import json
import pathlib
import tempfile
import unittest.mock

import behave
import hypothesis
from hypothesis import strategies

from basilgate import cmdline, outcomes
from basilgate.configcheck import commands, findings
from platformedge import documents, drafts
from platformedge import store as storeclient
from standins import fleetstore

ROOT = pathlib.Path(__file__).parents[2]


def route(name, port, priority, **services):
    """Return a route without faults."""
    found = {"name": name, "host": "198.18.0.1", "path-prefix": f"/{port}/"}
    found |= {"kind": "idempotent", "timeout-ms": 2000, "target-latency-ms": 450}
    return {**found, "priority": priority, "max-attempts": 3, **services}


def good_configuration():
    """Return a configuration without findings that states all fields."""
    split = [{"service": "desk", "weight": 1}, {"service": "mail", "weight": 0.5}]
    services = [
        {"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "http"}
        | {"tls": False, "cold-start-s": 2, "cold-per-s": 4}
        for name in ("desk", "mail")
    ]
    limits = {"max-header-bytes": 8192, "max-body-bytes": 0}
    limits |= {"header-timeout-ms": 5000, "idle-timeout-ms": 15000}
    return {
        "config-version": 5,
        "routes": [
            route("r1", 443, 2, service="desk"),
            route("r2", 8443, 0, service="desk"),
            route("r3", 80, 2, **{"traffic-split": split}),
        ],
        "services": services,
        "limits": limits,
    }


def replace(found, path, value):
    """Set the value at a path of names and positions; ``absent`` removes it."""
    *parents, last = (int(p) if p.isdecimal() else p for p in path.split("/"))
    for parent in parents:
        found = found[parent]
    if value == "absent":
        del found[last]
    else:
        found[last] = value


def parse_value(text):
    """Return the value that a table's cell stands for."""
    digit, _, count = text.partition(" x ")
    if count:
        return int(digit * 400) * 10 ** (int(count) - 400)
    if text == "[R3]":
        return [good_configuration()["routes"][2]]
    return text if text == "absent" else json.loads(text)


@behave.given("a good configuration")
def given_good(context):
    """Start from a configuration without findings."""
    context.configuration, context.content = good_configuration(), None
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = pathlib.Path(directory.name)
    context.file = context.directory / "new.json"


@behave.given("its {field} is {value}")
def change_field(context, field, value):
    """Change one value."""
    if value == "9 x 5000" or value == "1e999":
        replace(context.configuration, field, "RAW")
        raw = "9" * 5000 if value == "9 x 5000" else value
        text = json.dumps(context.configuration)
        context.content = text.replace('"RAW"', raw).encode()
    else:
        replace(context.configuration, field, parse_value(value))


@behave.given("it is wrapped as the store keeps it")
def wrap(context):
    """Wrap the configuration as an object of the store."""
    found = {"meta": {"name": "main", "rev": 7}, "spec": context.configuration}
    context.configuration = found


@behave.given("it is in force")
def write_in_force(context):
    """Write the configuration as the version in force."""
    context.in_force = context.directory / "old.json"
    context.in_force.write_text(json.dumps(context.configuration))


@behave.given("the content {content}")
def given_content(context, content):
    """Write a file of any content."""
    given_good(context)
    contents = {
        "nothing": b"",
        "100000 brackets": b"[" * 100_000,
        "40 brackets": b"[" * 40 + b"]" * 40,
        "binary": b"\x00\xff\xfe",
    }
    context.source, context.content = (
        content,
        contents.get(content, content.encode()),
    )


def write_file(context):
    """Write the file to check and return its path."""
    content = context.content
    if content is None:
        content = json.dumps(context.configuration).encode()
    context.file.write_bytes(content)
    return str(context.file)


def show(context, outcome):
    """Keep an outcome, and check that both formats can be written."""
    context.outcome = outcome
    outcome.render("text").encode()
    # Infinity and NaN, which Python would write, are no JSON.
    json.loads(outcome.render("json"), parse_constant=drafts.refuse_constant)


@behave.when("it is checked")
def check(context):
    """Check the file by itself."""
    show(context, commands.check_alone(write_file(context)))


@behave.when("it is checked against the file in force")
def check_against_file(context):
    """Check the file against another one."""
    file = write_file(context)
    show(context, commands.check_against_file(file, str(context.in_force)))


@behave.then("the check ends with {code} and finds nothing")
def check_clean(context, code):
    """Check that there are no findings."""
    outcome = context.outcome
    assert outcome.exit is outcomes.Exit[code], outcome
    assert not outcome.data.get("findings"), outcome.lines


@behave.then("the check ends with {code} and finds {name} at {entry}")
def check_found(context, code, name, entry):
    """Check that there is a finding."""
    outcome = context.outcome
    assert outcome.exit is outcomes.Exit[code], outcome
    found = [
        f"{item['entry']} {item['field']}".strip()
        for item in outcome.data["findings"]
        if item["name"] == name
    ]
    assert entry in found, (found, outcome.lines)
    assert any(str(context.file) in line and name in line for line in outcome.lines)


def run(*arguments):
    """Return the exit status and the output of the command line."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = cmdline.run(["fleet", "check", *arguments])
    return status, output.getvalue()


@behave.when("it is checked from the command line")
def check_command(context):
    """Run the command on the file, or on what takes its place."""
    file = write_file(context)
    others = {
        "a directory": str(context.directory),
        "a null in the path": "a\0b",
        "no file": str(context.directory / "none"),
    }
    file = others.get(context.source, file)
    with contextlib.ExitStack() as stack:
        if context.source == "no permission":
            # The tests may run as a user whom no permission stops.
            denied = PermissionError(13, "Permission denied", file)
            stack.enter_context(
                unittest.mock.patch.object(
                    pathlib.Path, "read_text", side_effect=denied
                )
            )
        context.status, context.output = run(file)
    context.checked = file


@behave.then("it is refused as unreadable with {words}")
def check_refused(context, words):
    """Check the status, and that one line names the file and the fault."""
    assert context.status == outcomes.Exit.USAGE, context.output
    assert context.checked in context.output and words in context.output
    assert context.output.count("\n") == 1, context.output


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(min_value=10**300, max_value=10**320)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(strategies.characters(exclude_categories=())),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


def places(value, path=()):
    """Return the paths of all values in a value."""
    found = [path] if path else []
    if isinstance(value, dict):
        items = value.items()
    else:
        items = enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        found += places(inner, (*path, key))
    return found


@behave.then("any value at any place gives findings, and hosts accept what has none")
def check_any_value(context):
    """Put drawn values at drawn places."""
    good = good_configuration()

    @hypothesis.given(strategies.sampled_from(places(good)), JSON_VALUES)
    def survive(path, value):
        context.configuration = copy.deepcopy(good)
        inner = context.configuration
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
        file = write_file(context)
        show(context, commands.check_alone(file))
        if context.outcome.exit is outcomes.Exit.OK:
            documents.decode_configuration(context.file.read_bytes())
        context.in_force = context.directory / "old.json"
        context.in_force.write_text(json.dumps(good))
        show(context, commands.check_against_file(file, str(context.in_force)))
        show(context, commands.check_against_file(str(context.in_force), file))

    survive()


@behave.then("any bytes as a file end with a status of 0, 1, or 2")
def check_any_bytes(context):
    """Check drawn bytes, and a good file with some bytes replaced."""
    given_good(context)
    good = json.dumps(good_configuration()).encode()
    damaged = strategies.builds(
        lambda start, length, put: good[:start] + put + good[start + length :],
        strategies.integers(0, len(good)),
        strategies.integers(0, 20),
        strategies.binary(max_size=4) | strategies.sampled_from([b'"', b"{", b"[1e9"]),
    )

    @hypothesis.given(strategies.binary() | damaged, strategies.booleans())
    def survive(content, is_json):
        context.file.write_bytes(content)
        status, output = run(
            str(context.file), "--output", "json" if is_json else "text"
        )
        assert status in (0, 1, 2), output
        assert str(context.file) in output and "Traceback" not in output, output

    survive()


@behave.then("hosts decode it with priority 0")
def check_decoded(context):
    """Decode the configuration as hosts do."""
    content = json.dumps(context.configuration).encode()
    routes = documents.decode_configuration(content).routes.values()
    assert {r.priority for r in routes if r.name == "r1"} == {0}


@behave.then("docs/config-check.md lists each check, and no other")
def check_documented(context):
    """Compare the page with the registry."""
    page = (ROOT / "docs/config-check.md").read_text()
    table = page.split("## Checks")[1].split("\n## ")[0]
    rows = [line for line in table.splitlines() if line.startswith("| `")]
    assert [row.split("`")[1] for row in rows] == list(findings.CHECKS.entries)


@behave.then("the differences are")
def check_differences(context):
    """Check the differences in both formats."""
    data = context.outcome.data["differences"]
    expected = [(row["change"], row["entry"], row["field"]) for row in context.table]
    assert [(d["change"], d["entry"], d["field"]) for d in data] == expected, data
    lines = "\n".join(context.outcome.lines)
    assert "~ route 'r1' timeout-ms: 2000 -> 2500" in lines, lines
    assert "~ service 'desk' max-conns: 2000 -> absent" in lines, lines
    assert "+ route 'r9': {" in lines and "- route 'r2': {" in lines, lines


class MemoryConnection(storeclient.Connection):
    """Calls a store in this process."""

    def __init__(self, store):
        super().__init__(("192.0.2.1", 1), reused=False)
        self.store = store
        self.unknown_kind = ""
        self.calls = []

    def call(self, method, path, *_):
        """Answer one call for a listing."""
        kind, _, query = path.removeprefix("/v1/objects/").partition("?")
        self.calls.append((method, kind, query))
        if self.store.faults.status:
            return storeclient.Response(self.store.faults.status, b"{}", 1)
        if kind == self.unknown_kind:
            return storeclient.Response(404, b"{}", 1)
        page = self.store.list_page(kind, query.removeprefix("after="))
        return storeclient.Response(200, json.dumps(page).encode(), 1)


@behave.given("it is in force in a store with targets of desk and mail in d1 and d2")
def fill_store(context):
    """Write the configuration and four targets."""
    context.memory = store = fleetstore.FleetStore()
    context.connection = MemoryConnection(store)
    store.put("config", "main", copy.deepcopy(context.configuration))
    for number, service in enumerate(("desk", "mail", "desk", "mail"), 1):
        domain, address = f"d{1 + number // 3}", (f"10.1.0.{number}", 80)
        found = fleetstore.target_entry(address, domain, service)
        store.put("servers", f"i-{number:08x}", found)


def put_override(context, service, **changes):
    """Put an override of a target into the store."""
    found = {"kind": "drain", "service": service, "target": "i-00000001", **changes}
    context.memory.put(documents.OVERRIDES_KIND, "i-00000001", found)


@behave.given("the store has {what}")
def change_store(context, what):
    """Change what the store holds."""
    store = context.memory
    words = what.split()
    if what.startswith("an evacuation of "):
        for domain in what.removeprefix("an evacuation of ").split(", "):
            store.put(documents.EVACUATIONS_KIND, domain, {})
    elif what.startswith("a drain of "):
        put_override(context, words[-1])
    elif what == "a released drain":
        put_override(context, "other", released_at_s=1.0)
    elif what == "no kind evacuations":
        context.connection.unknown_kind = documents.EVACUATIONS_KIND
    elif what == "a failure":
        store.faults.status = 503
    elif what == "no configuration":
        store.remove("config", "main")
    elif what == "no readable version":
        store.put("config", "main", [1])
    elif what == "an unreadable target":
        store.put("servers", "i-00000009", {"zone": 1})
    elif what in ("only leaving targets", "no targets"):
        for name, held in list(store.kinds["servers"].items()):
            store.remove("servers", name)
            if what != "no targets":
                store.put("servers", name, held["spec"] | {"state": "draining"})
    else:
        assert what in ("no evacuations", "the same version"), what


@behave.when("it is checked against the store")
def check_against_store(context):
    """Check the file against the store in this process."""
    file = write_file(context)
    draft = commands.read_file(file)
    outcome = commands.check_against_store(draft, file, context.connection)
    show(context, outcome)


@behave.then("each kind is listed once and nothing is written")
def check_calls(context):
    """Check the calls: the first page of each kind is asked for once."""
    calls = context.connection.calls
    first_pages = [kind for method, kind, query in calls if not query]
    assert sorted(first_pages) == sorted(set(first_pages)), calls
    assert {method for method, _, _ in calls} == {"GET"}, calls


@behave.when("fleet check is called against the store")
def call_check(context):
    """Call the command on a store over the network."""
    call_check_at(context, "{}:{}".format(*context.address))


@behave.when("fleet check is called against the store at {address}")
def call_check_at(context, address):
    """Call the command with an address of the store."""
    options = ("--against", "store", "--store", address)
    context.exit, context.output = run(write_file(context), *options)


@behave.then("the store was asked for {count:d} kinds, and nothing was written")
def check_store_calls(context, count):
    """Check the calls that the store got."""
    calls = context.store.calls
    assert all(call.startswith("GET ") for call in calls), calls
    assert len(calls) == count and set(calls.values()) == {1}, calls
