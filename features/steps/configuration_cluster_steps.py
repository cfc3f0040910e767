"""Steps for the command line against running balancers."""

import contextlib
import io
import json

import anyio
import anyio.from_thread
import behave

from basilgate import cmdline
from lab import cluster

PLAN = cluster.Plan(
    balancers={"suceava": 2, "radauti": 1},
    services=(cluster.ServicePlan("desk", 1, "short", {"suceava": 2, "radauti": 1}),),
)
WAIT_LIMIT_S = 30.0


@behave.fixture
def running_cluster(context):
    """Run balancers, targets, and the platform as processes."""
    with (
        anyio.from_thread.start_blocking_portal() as context.portal,
        context.portal.wrap_async_context_manager(
            cluster.running(PLAN)
        ) as context.cluster,
    ):
        yield


def basilgate(context, *arguments):
    """Run the command line; return the exit code and the JSON result."""
    printed = io.StringIO()
    url = context.cluster.platform_url
    with contextlib.redirect_stdout(printed):
        code = cmdline.run([*arguments, "--platform", url, "--output", "json"])
    return code, json.loads(printed.getvalue())


def override(context, kind, target, *more):
    """Set an override on a target of the service desk."""
    change = ("override", "set", kind, "desk", target, "ana", "test")
    return basilgate(context, *change, *more)


def poll(context, check):
    """Wait until a check holds; the limit only guards against hanging."""

    async def wait():
        with anyio.fail_after(WAIT_LIMIT_S):
            while not await check():
                await anyio.sleep(0.1)

    context.portal.call(wait)


@behave.given("running balancers for configuration commands")
def start(context):
    """Start three balancers in two failure domains."""
    behave.use_fixture(running_cluster, context)


@behave.when("the command line pulls and drains targets and waits")
def pull_and_drain(context):
    """Set both overrides."""
    context.results = [
        override(context, "pull", "desk-suceava-1", "--wait", "20"),
        basilgate(
            context,
            *("target", "drain", "desk", "desk-radauti-1", "ana", "test"),
            *("--wait", "20"),
        ),
    ]


@behave.then("it says that the configuration is in force on 3 of 3 balancers")
def check_force(context):
    """Check exit codes and hosts."""
    for code, found in context.results:
        assert code == 0, found
        assert len(found["in_force"]["in_force"]) == 3, found


@behave.then("the configuration queries explain the pull and list the drain")
def check_queries(context):
    """Check explain and status."""
    _, found = basilgate(context, "explain", "desk", "desk-suceava-1")
    assert not found["gets_new_flows"] and found["answered_by"] == found["home"], found
    assert found["load"] is not None and "pull" in found["obstacles"][0], found
    _, free = basilgate(context, "explain", "desk", "desk-suceava-2")
    assert free["gets_new_flows"] and not free["obstacles"], free
    code, status = basilgate(context, "status")
    assert code == 0 and status["agree"] and len(status["hosts"]) == 3, status
    leaving = [t["target"] for t in status["targets"] if t["leaving"]]
    assert leaving == ["desk-radauti-1"], status["targets"]


@behave.then("a running balancer ends a configuration override on its own")
def check_expiry(context):
    """Set an override that ends after two seconds."""
    code, _ = override(
        context, "weight", "desk-suceava-2", "--weight=0", "--expires=2s"
    )
    assert code == 0

    async def ended():
        session = cmdline.queries.Session(None, context.cluster.http)
        admin = f"{context.cluster.hosts['suceava-1'].address}:{cluster.ADMIN_PORT}"
        found = await session.query_host(
            admin, "explain", service="desk", target="desk-suceava-2"
        )
        # Whether new flows are allowed comes from the merged configuration.
        return found and found["expired"] and found["gets_new_flows"]

    poll(context, ended)


@behave.then("after a balancer is killed the configuration command names it")
def check_killed(context):
    """Kill a balancer that is the only one of its failure domain."""
    context.portal.call(context.cluster.kill_host, "radauti-1")
    code, found = override(context, "pin", "desk-suceava-2", "--wait", "1")
    assert code == 7, found
    assert found["in_force"]["not_heard"] == ["radauti-1"], found
    assert found["in_force"]["in_force"] == ["suceava-1", "suceava-2"], found


@behave.then("a balancer restarted in an outage has the same configuration in force")
def check_restart(context):
    """Restart a balancer that takes everything from its peer."""
    running = context.cluster

    async def restart():
        await running.set_platform_faults(down=True)
        # Seeds of the second host name the first.
        await running.kill_host("suceava-2")
        await running.start_host("suceava-2")

    context.portal.call(restart)

    async def agrees():
        states = [await running.status(name) for name in ("suceava-1", "suceava-2")]
        return states[0]["digest"] == states[1]["digest"]

    async def answers():
        with contextlib.suppress(cluster.httpx.HTTPError):
            return await agrees()
        return False

    poll(context, answers)
    code, found = override(context, "pull", "desk-suceava-2")
    assert code == 4, found
