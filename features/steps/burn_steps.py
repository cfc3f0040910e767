"""Steps for the report on service-level burn."""

import json
import pathlib
import subprocess
import sys
import tempfile

import anyio
import behave

from basilgate import (
    admin,
    burnhtml,
    burnrates,
    burnsamples,
    burnsettings,
    burntext,
    metrics,
)

# Bad requests use up the budget of a 99% objective 100 times as fast as they come.
SETTINGS = """
[report]
windows_s = 3600, 7200
budget_period_s = 7200
plot_points = 10
[objective desk]
availability = 0.99
latency_ms = 250
[alert page]
long_s = 3600
short_s = 60
burn = 14.4
"""
START_S = 1_800_000_000.0


def scrape(host, row):
    """Return the scrape that one row of a table describes."""
    cells = {name: row[name] for name in row.headings}
    minute = float(cells.pop("minute"))
    started = float(cells.pop("started", 0))
    slow = float(cells.pop("slow", 0))
    fast = float(cells.pop("answered", 0))
    outcomes = {name: float(count) for name, count in cells.items()}
    outcomes["answered"] = fast + slow
    group = ("desk", "short")
    return burnsamples.Scrape(
        time_s=START_S + minute * 60,
        host=host,
        started_s=START_S + started * 60 - 1,
        outcomes=tuple(((*group, name), count) for name, count in outcomes.items()),
        buckets=(((*group, 0.25), fast), ((*group, 0.5), fast + slow)),
    )


def report(context):
    """Return the settings and the report on the entries of a scenario."""
    config = burnsettings.parse(SETTINGS).unwrap()
    entries = sorted(context.entries, key=lambda entry: entry.time_s)
    return config, burnrates.make_report(burnrates.build_history(entries), config)


@behave.given("burn samples of balancer {host}")
def add_samples(context, host):
    """Add the scrapes in the step's table."""
    entries = getattr(context, "entries", [])
    context.entries = entries + [scrape(host, row) for row in context.table]


@behave.given("balancer {host} gave no burn samples")
def add_silence(context, host):
    """Add a host that did not answer."""
    time_s = context.entries[-1].time_s
    silence = burnsamples.FailedScrape(time_s=time_s, host=host, problem="no route")
    context.entries.append(silence)


@behave.when("the burn is reported")
def make_report(context):
    """Compute the report, after a way through the sample file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "samples.jsonl"
        burnsamples.append(path, context.entries)
        context.entries = burnsamples.read(path).unwrap()
    context.burn_settings, context.report = report(context)


def total(context, service):
    """Return the line of all classes of a service."""
    return next(
        line
        for line in context.report.lines
        if (line.service, line.work_class) == (service, burnrates.ALL_CLASSES)
    )


@behave.then(
    "{service} burns at {short:f} over {short_s:d} s and at {long:f} over {long_s:d} s"
)
def check_burn(context, service, short, short_s, long, long_s):
    """Compare the burn rates."""
    burns = total(context, service).burns
    assert round(burns[short_s], 2) == short, burns
    assert round(burns[long_s], 2) == long, burns


@behave.then("the burn of {service} has {count:d} errors: {parts}")
def check_breakdown(context, service, count, parts):
    """Compare the errors by outcome and reason."""
    expected = {}
    for part in parts.split(", "):
        number, outcome = part.split()
        expected[outcome] = float(number)
    tally = total(context, service).tally
    assert tally.errors == count, tally
    assert tally.bad == expected, tally


@behave.then("the burn notes name {host}")
def check_notes(context, host):
    """Check that the report tells of a restart."""
    assert any(host in note for note in burntext.notes(context.report))


@behave.then("the burn alerts are {names}")
def check_alerts(context, names):
    """Compare the alerts that hold."""
    found = ", ".join(alert.name for alert in total(context, "desk").alerts)
    assert (found or "none") == names, found


@behave.then("the burn report names {host} as text, json, and html")
def check_formats(context, host):
    """Check the silent host in each format."""
    assert f"{host} did not answer" in burntext.render_text(context.report)
    data = json.loads(burntext.render_json(context.report))
    assert data["silent"][host]["problem"] == "no route"
    context.page = burnhtml.render(context.report, context.burn_settings)
    assert f"{host} did not answer" in context.page


@behave.then("the burn page loads nothing from elsewhere")
def check_self_contained(context):
    """Check that the page has its plots and refers to no other file."""
    assert context.page.count("<svg") == 3
    for reference in ("<script", "<link", "<img", "src=", "@import"):
        assert reference not in context.page, reference


@behave.when("basilgate-report runs with {arguments} and the burn settings {line}")
def run_report(context, arguments, line):
    """Run the program in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        (root / "EMPTY").write_text("")
        (root / "BROKEN").write_text("{}\n")
        section, _, key = line.partition("] ")
        (root / "report.ini").write_text(f"{section.rstrip(']')}]\n{key}\n")
        words = arguments.split()
        if words[0] == "show":
            words.append("--config=report.ini")
        context.ran = subprocess.run(
            [sys.executable, "-m", "basilgate.burn", *words],
            cwd=root,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
            env={"PYTHONPATH": str(pathlib.Path(__file__).parents[2])},
        )


@behave.then("it ends with status 2 and names {name} for the burn report")
def check_usage_error(context, name):
    """Check that there is one line of explanation and no traceback."""
    assert context.ran.returncode == 2, context.ran
    lines = context.ran.stderr.strip().splitlines()
    assert len(lines) == 1 and name in lines[0], context.ran.stderr


@behave.given(
    "a balancer's admin interface that has counted {answered:d} answered and "
    "{refused:d} refused request for the burn"
)
def count_requests(context, answered, refused):
    """Count requests of a service that no other scenario uses."""
    labels = {"service": "collected", "work_class": "short"}
    metrics.REQUESTS.add({**labels, "outcome": "answered"}, answered)
    metrics.REQUESTS.add({**labels, "outcome": "refused:queue_full"}, refused)
    metrics.START_TIME.set({}, START_S)
    context.application = admin.application({}, lambda: {"healthy": True}, lambda: None)


@behave.when(
    "burn samples are collected from it and from an address where nothing listens"
)
def collect_samples(context):
    """Serve the admin interface in this process and read it over HTTP."""

    async def collect():
        async with anyio.create_task_group() as tasks:
            address = ("127.0.0.1", 17_321)
            tasks.start_soon(admin.serve, context.application, address)
            with anyio.fail_after(10):
                while True:
                    hosts = {"up": "127.0.0.1:17321", "down": "127.0.0.1:17322"}
                    context.entries = await burnsamples.scrape_all(hosts)
                    if isinstance(context.entries[1], burnsamples.Scrape):
                        break
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    anyio.run(collect)


@behave.then(
    "the burn samples hold {answered:d} answered and {refused:d} refused request, "
    "and one silent host"
)
def check_samples(context, answered, refused):
    """Compare the samples with what was counted."""
    silence, found = context.entries
    assert isinstance(silence, burnsamples.FailedScrape) and silence.host == "down"
    outcomes = dict(found.outcomes)
    assert found.started_s == START_S
    assert outcomes[("collected", "short", "answered")] == answered
    assert outcomes[("collected", "short", "refused:queue_full")] == refused
