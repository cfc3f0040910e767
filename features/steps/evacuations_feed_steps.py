"""Steps for evacuations of processes that follow a store."""

import re
import tempfile
import time

import behave
import fleet_feed_steps
from fleet_feed_steps import HOSTS, eventually

from platformedge import documents

KIND = documents.EVACUATIONS_KIND


def last_event(host, domain):
    """Return the latest event of a host about an evacuation, and its Unix time."""
    pattern = rf"time=([\d.]+) event=(evacuation_\w+) host=\S+ domain={domain} "
    found = re.findall(pattern, host.log())
    return (found[-1][1], float(found[-1][0])) if found else ("", 0.0)


@behave.given("a deployment with evacuations")
def set_contracts(context):
    """Let the settings of hosts name the contract."""
    context.contracts = (documents.EVACUATION_CONTRACT,)


@behave.given("the operator has evacuated {domain}")
@behave.when("the operator evacuates {domain}")
def evacuate(context, domain):
    """Write an evacuation."""
    context.store.put(KIND, domain, {})
    context.written_at = time.time()


@behave.when("{seconds:g} s later the operator evacuates {domain}")
def evacuate_later(context, seconds, domain):
    """Write an evacuation after a time."""
    time.sleep(seconds)
    evacuate(context, domain)


@behave.when("the operator takes back the evacuation of {domain}")
def take_back(context, domain):
    """Remove an evacuation."""
    context.store.remove(KIND, domain)
    context.written_at = time.time()


@behave.then("the evacuation of {domain} is in force on all hosts within {limit:g} s")
def check_in_force(context, domain, limit):
    """Check what the hosts logged, and when."""
    check_on_all(context, domain, "evacuation_in_force", limit)


@behave.then("the evacuation of {domain} has ended on all hosts within {limit:g} s")
def check_ended(context, domain, limit):
    """Check what the hosts logged, and when."""
    check_on_all(context, domain, "evacuation_ended", limit)


def check_on_all(context, domain, event, limit):
    """Wait for an event on all hosts; its time is that of the log line."""

    def happened():
        return all(last_event(host, domain)[0] == event for host in context.hosts)

    eventually(happened, f"{event} on all hosts")
    took_s = [last_event(h, domain)[1] - context.written_at for h in context.hosts]
    assert max(took_s) <= limit, took_s


@behave.then("the evacuation of {domain} does not end on any host within {seconds:g} s")
def check_kept(context, domain, seconds):
    """Watch the logs for a time; a later limit counts from its beginning."""
    context.written_at = time.time()
    while time.time() < context.written_at + seconds:
        for host in context.hosts:
            assert last_event(host, domain)[0] == "evacuation_in_force", host.ip
        time.sleep(0.1)


@behave.then("at most {count:d} host has watched the evacuations")
def check_watches(context, count):
    """Count the watches that wait."""
    eventually(lambda: 0 < context.store.waiting[KIND] <= count, "few watches")


@behave.then("the flow is reset because of the evacuation")
def check_reset(context):
    """Look for the reset of the flow in the log."""
    lines = context.hosts[1].log().splitlines()
    found = [line for line in lines if f"flow={context.flow} " in line]
    assert any("event=flow_reset" in f and "reason=evacuated" in f for f in found), (
        found
    )


@behave.then("the store was never asked for evacuations")
def check_no_calls(context):
    """Look at the calls."""
    assert not [call for call in context.store.calls if KIND in call]
    assert context.store.calls["GET config"] > 0


@behave.when("the store {trouble} for 1 s while the operator evacuates {domain}")
def evacuate_in_trouble(context, trouble, domain):
    """Write an evacuation during a trouble."""
    if trouble.startswith("answers"):
        context.store.faults.status = int(trouble.split()[1])
        # The open watch returns with this change, and the next calls fail.
        calls = context.store.calls.total()
        context.store.put(KIND, "d9", {})
        eventually(lambda: context.store.calls.total() > calls, "a call fails")
    with context.store.changed:
        context.store.put_quietly(KIND, domain, {})
        context.written_at = time.time()
        if trouble == "forgets its history":
            context.store.forget_history()
    time.sleep(1.0)
    context.store.faults.status = 0


@behave.then("each host had the evacuation of {domain} before it was ready")
def check_before_ready(context, domain):
    """Compare the positions of the lines."""
    for host in context.hosts:
        log = host.log()
        begun = log.find(f" domain={domain} ", log.find("event=evacuation_in_force"))
        assert 0 < begun < log.find("ready=True"), log


@behave.given("the store refuses to list evacuations")
def refuse(context):
    """Refuse the calls for the kind."""
    context.store.faults.refused = KIND


@behave.when("the store lists evacuations once more")
def allow(context):
    """Answer all calls again."""
    context.store.faults.refused = ""


@behave.fixture
def one_forwarder(context):
    """Start a forwarder, and end it."""
    context.peer_port = fleet_feed_steps.free_port()
    with tempfile.TemporaryDirectory() as context.folder:
        context.hosts = [fleet_feed_steps.Process(context, HOSTS[0])]
        yield
        context.hosts[0].process.kill()
        context.hosts[0].process.wait()


@behave.when("one host starts, and {seconds:g} s pass")
def start_one(context, seconds):
    """Start a host, and give it time."""
    behave.use_fixture(one_forwarder, context)
    time.sleep(seconds)


@behave.then("the started host is not ready")
def check_not_ready(context):
    """Check the readiness page, and that the other kinds are known."""
    assert context.hosts[0].version() == 5 and context.hosts[0].status() == 503


@behave.then("the started host becomes ready")
def check_ready(context):
    """Wait for readiness."""
    eventually(lambda: context.hosts[0].status() == 200, "the host is ready")
