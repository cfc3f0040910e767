"""Steps for edge cases of placement under load."""

import types

import behave
import msgspec
from cold_targets_steps import DOMAINS, SERVICE
from configuration_model_steps import SETTINGS
from fleet_forwarding_steps import (
    ACK,
    OPEN,
    at_revision,
    configuration,
    is_forwarded,
    make_rig,
    packet,
    route,
    target,
)

from basilgate import fleetmodel
from basilgate.policy import coldtargets, room

PORTS = {0: 443, 5: 444}  # Of the routes, by priority.
TARGETS = 4


def prioritized(usual_priority, **changes):
    """Return the route that usually has a priority, with changes."""
    changes = {"priority": usual_priority, **changes}
    return msgspec.structs.replace(route(PORTS[usual_priority]), **changes)


def set_load(context, requests_per_slot):
    """Let the estimator find a load, at 0.05 s a request."""
    context.load = requests_per_slot
    slots = 3 * TARGETS

    def estimate(service, now):
        del service
        return room.RoomEstimate(context.load, slots, 0.05, 1.0, now, True)

    context.fleet.forwarder.admission.estimator = types.SimpleNamespace(
        estimate=estimate
    )


def open_flow(context):
    """Send the opening packet of a new flow; return whether it was forwarded."""
    context.datagram = packet(next(context.ports), OPEN, to=PORTS[5])
    (sent,) = context.fleet.handle(context.datagram)
    return is_forwarded(sent)


@behave.given("a service with routes of the priorities 0 and 5")
def make_service(context):
    """Set up a forwarder."""
    targets = [target(number) for number in range(1, TARGETS + 1)]
    make_rig(context, targets, routes=[prioritized(0), prioritized(5)])
    set_load(context, 0.0)


@behave.given("{load:g} requests per slot")
@behave.when("the load rises to {load:g} requests per slot")
def change_load(context, load):
    """Set the load of the service."""
    set_load(context, load)


@behave.when("a flow of priority 5 arrives")
def flow_arrives(context):
    """Open a flow."""
    assert open_flow(context)


@behave.when("a flow of priority 5 opens")
def flow_opens(context):
    """Open a flow whose caller continues it at its target."""
    assert open_flow(context)
    port = int.from_bytes(context.datagram[20:22], "big")
    (flow,) = context.fleet.flows.flows.values()
    token = context.fleet.view.entries[flow.target].target.token
    context.fleet.handle(packet(port, ACK, token=token, data=b"GET", to=PORTS[5]))
    assert flow.opened


@behave.when("all its routes get the priority 5")
def change_priorities(context):
    """Put a configuration in force, and open a flow."""
    routes = [prioritized(0, priority=5), prioritized(5)]
    context.fleet.view.apply_configuration(configuration(6, *routes))
    open_flow(context)


@behave.when("the route of priority 0 sends no flow to the service")
def change_weight(context):
    """Put a configuration in force."""
    split = (("desk", 0.0), ("photo", 1.0))
    routes = [prioritized(0, split=split), prioritized(5)]
    context.fleet.view.apply_configuration(configuration(6, *routes))


@behave.then("the service {state} crowded")
def check_crowded(context, state):
    """Check how targets are chosen."""
    crowded = context.fleet.forwarder.admission.is_crowded("desk")
    assert crowded == (state == "is")


@behave.then("none of {count:d} flows of priority 5 is refused")
@behave.then("none of {count:d} flows of priority 5 that arrive together is refused")
def check_none_refused(context, count):
    """Open flows in succession."""
    forwarded = [open_flow(context) for _ in range(count)]
    assert all(forwarded), forwarded


@behave.when("flows of priority 5 arrive every {gap:g} s for {seconds:g} s")
def flows_arrive(context, gap, seconds):
    """Open flows, and let time pass."""
    for _ in range(round(seconds / gap)):
        context.fleet.now += gap
        assert open_flow(context)
    context.fleet.now += gap


@behave.when("duplicates of its opening packet arrive")
def duplicates_arrive(context):
    """Handle the packet again, 50 times, since a refusal is drawn at random."""
    context.refused = []
    for _ in range(50):
        context.fleet.now += 0.001
        context.refused += context.fleet.handle(context.datagram)


@behave.when("an evacuation leaves no target")
def evacuate(context):
    """Evacuate the failure domain of all targets."""
    context.fleet.view.evacuations.begin(target(1).domain, context.fleet.now)


@behave.when("copy {copy:d} of its opening packet arrives")
def copy_arrives(context, copy):
    """Handle a copy that the fabric has delayed or duplicated."""
    port = int.from_bytes(context.datagram[20:22], "big")
    context.refused = context.fleet.handle(
        packet(port, OPEN, acknowledged=copy, to=PORTS[5])
    )


@behave.when("an opening packet without a {what} that was held is handled")
def held_arrives(context, what):
    """Handle a packet that was held while the host started."""
    fleet = context.fleet
    if what == "target":
        evacuate(context)
    port = PORTS[5] if what == "target" else 1
    before = len(fleet.sent)
    fleet.forwarder.handle_held(packet(1, OPEN, to=port))
    context.refused = fleet.sent[before:]


@behave.then("no reset is sent")
def check_no_reset(context):
    """Check what was sent."""
    assert all(is_forwarded(sent) for sent in context.refused), context.refused


@behave.then("one host may open at least {count:d} flows to a cold target")
def check_allowance(context, count):
    """Check the allowance that follows from the figures."""
    settings = next(iter(context.fleet.hosts.values())).peers.settings
    assert coldtargets.limit_of(context.figures, settings).allowance >= count


@behave.when("{count:d} targets start and are removed one after the other")
def replace_targets(context, count):
    """Apply and remove targets, and open flows meanwhile."""
    fleet = context.fleet
    services = {SERVICE: fleetmodel.Service(SERVICE, None, 2.0, 4.0)}
    changed = msgspec.structs.replace(configuration(1, route()), services=services)
    fleet.view.apply_configuration(changed)
    for number in range(1, count + 1):
        cold = msgspec.structs.replace(target(number, DOMAINS[0]), cold_s=2.0)
        fleet.view.apply_target(cold, at_revision(2 * number))
        fleet.run(0.3)
        fleet.view.remove_target(cold.name, at_revision(2 * number + 1))


@behave.then("no host keeps its choice for more than {count:d} of them")
def check_choices(context, count):
    """Check what is kept."""
    kept = [len(host.limiter.chosen) for host in context.fleet.hosts.values()]
    assert 0 < max(kept) <= count, kept


@behave.given("settings with {field} set to {value}")
def given_settings(context, field, value):
    """Write a settings file with a field in place of the usual contracts."""
    lines = SETTINGS.format(contracts="drain", slack="5").splitlines()
    lines = [line for line in lines if not line.startswith("contracts")]
    context.settings_text = "\n".join([f"{field} = {value}", *lines])


@behave.then("targets report every {interval:g} s and evacuations are off")
def check_defaults(context, interval):
    """Check the decoded settings."""
    assert context.settings.heartbeat_s == interval, context.settings
    assert not context.settings.has_evacuations
