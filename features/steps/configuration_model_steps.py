"""Steps for decoding of the platform's configuration and settings."""

import json

import behave

from platformedge import documents

SETTINGS = """
node = "front-1"
ip = "10.1.0.10"
zone = "d1"
internal-ports = [7720, 7735]
contracts = ["{contracts}"]
[listen]
datagram-addr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
[bounds]
cold-slack = {slack}
[platform]
address = "10.200.1.7:8169"
"""


@behave.given(
    "a configuration with priority {priority}, latency objective {objective}, and "
    "cold rate {rate}"
)
def given_configuration(context, priority, objective, rate):
    """Write a configuration with one route; the values are JSON."""
    route = {
        "name": "r1",
        "host": "198.18.0.1",
        "path-prefix": "/443/",
        "service": "desk",
        "priority": json.loads(priority),
        "target-latency-ms": json.loads(objective),
    }
    service = {"name": "desk", "cold-per-s": json.loads(rate)}
    content = {"config-version": 7, "routes": [route], "services": [service]}
    context.content = json.dumps(content).encode()


@behave.when("it is decoded")
def decode_configuration(context):
    """Decode the configuration."""
    context.configuration = documents.decode_configuration(context.content)


@behave.then("the route has priority {priority:d} and a latency objective of {aim:g} s")
def check_route(context, priority, aim):
    """Check the decoded route."""
    (route,) = context.configuration.routes.values()
    assert (route.priority, route.latency_objective_s) == (priority, aim), route


@behave.then("a cold target of its service bears {rate:g} requests a second")
def check_rate(context, rate):
    """Check the decoded service."""
    assert context.configuration.services["desk"].cold_rate_per_s == rate


@behave.then("it is not known what a cold target of its service bears")
def check_no_rate(context):
    """Check that the rate is missing."""
    assert context.configuration.services["desk"].cold_rate_per_s is None


@behave.given("settings with the contracts {contracts} and cold slack {slack}")
def given_settings(context, contracts, slack):
    """Write a settings file."""
    context.settings_text = SETTINGS.format(contracts=contracts, slack=slack)


@behave.when("the settings are decoded")
def decode_settings(context):
    """Decode the settings."""
    context.settings = documents.decode_settings(context.settings_text)


@behave.then("evacuations are {state} and the cold slack is {slack}")
def check_settings(context, state, slack):
    """Check the decoded settings."""
    assert context.settings.has_evacuations == (state == "followed")
    assert str(context.settings.cold_rate_slack) == slack
