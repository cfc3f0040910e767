"""Admission control: refuses new flows of lower priority while capacity is short."""

import collections.abc
import math
import zlib

import msgspec

from basilgate import fleetmodel, fleetview, flowtable
from basilgate.policy import room

# Requests per slot at which the lowest rank begins to be refused whatever its demand,
# and at which the highest of those that may be refused has reached `MAX_PROBABILITY`.
# Random arrivals that use all slots cause about 2.5; full queues are at 5.
RANGE_BEGIN = 3.0
RANGE_END = 4.5
# Below 1, so that each caller gets a turn however long the shortage lasts.
MAX_PROBABILITY = 0.95
# Requests per slot that the trim of the capacity aims at. With 2.0 and 2.5 the targets
# had 6 and 10% of their slots idle in trials.
AIM = 2.75
# Requests per slot from which a choice of the least loaded target does harm: at 0.9
# times the capacity it lost a fifth of the calls in trials, a random one 0.1%.
CROWDED_LOAD = 0.6
# Requests per slot below which the time that a request holds its slot follows from the
# latency: 0.8 of the slots are in use there.
CALM_LOAD = 1.5
# Requests per slot from which the loads, which lag, show an excess of demand.
TRIM_LOAD = 0.5
# Requests per slot below which a fifth of the slots is free or more, so that no flow is
# refused unless the demand exceeds the capacity by `CLEAR_EXCESS`. A host may get a
# multiple of its usual flows when others fail, so its own demand alone shows a shortage
# only if it is far too high.
MIN_REFUSAL_LOAD = 1.5
CLEAR_EXCESS = 1.5
# Flows within `DEMAND_WINDOW_S` by which the demand also has to exceed the capacity
# then. One flow alone counts as 5 per second, more than the part of a host with few.
MIN_EXCESS_FLOWS = 4.0
# Time constant of the rates of new flows. Queues fill in 0.05 s, so a longer one costs
# callers of high priority; a host has about ten new flows in this time.
DEMAND_WINDOW_S = 0.2
CALIBRATION_WINDOW_S = 5.0  # Time constant of the calibration.
MIN_CALIBRATION_S = 2.0  # Time after which the calibration is used.
# Time constant of the rate of admitted flows. The loads of peers are averages over
# `flowtable.RATE_WINDOW_S` and 0.4 to 0.8 s old; without this lag the flows would lead
# them whenever demand rises.
ADMITTED_WINDOW_S = flowtable.RATE_WINDOW_S + 0.5
# Ratio of demand to admitted flows above which nothing is learned of the host's part:
# the demand rises, so that loads lag, or flows are refused.
MAX_RISE = 1.3
# Standard deviations by which the demand has to exceed the capacity while the targets
# are idle, and the smallest part of them at a high load. The rate on one host is noisy.
MARGIN_DEVIATIONS = 1.5
MIN_DOUBT = 0.5
TRIM_RATE_PER_S = 0.3  # Slow compared with the second by which the loads lag.
MIN_TRIM, MAX_TRIM = 0.7, 1.5
WAIT_EXPONENT = math.sqrt(6) - 1  # Of Sakasegawa's approximation for two slots.
BISECTIONS = 10  # To a thousandth.
TRIES_PER_CALL = 3  # A refused caller tries again twice, at any host.
# Time for which a caller gets the same decision. Its repeated tries take milliseconds.
WINDOW_S = 1.0
HASH_SPAN = 1 << 32
# Odd factor of multiplicative hashing (Knuth). A checksum alone is linear, so that the
# draws of similar addresses would differ by the same amount in each window.
HASH_FACTOR = 2_654_435_761


class Refusal(msgspec.Struct, frozen=True, gc=False):
    """Why a new flow is refused.

    Attributes
    ----------
    rank : int
        Rank of the route's priority among those of the service, 0 for the highest.
    probability : float
        Share of the callers of this rank that are refused.
    estimate : room.RoomEstimate
        The load on which the decision rests.
    """

    rank: int
    probability: float
    estimate: room.RoomEstimate


class Rate(msgspec.Struct, gc=False):
    """Rate of events, from a count that decays with a time constant of `window_s`."""

    window_s: float
    count: float = 0.0
    updated_at: float = 0.0

    def per_s(self, now: float) -> float:
        """Return the events per second."""
        decay = math.exp((self.updated_at - now) / self.window_s)
        return self.count * decay / self.window_s

    def record(self, weight: float, now: float) -> None:
        """Add an event."""
        decay = math.exp((self.updated_at - now) / self.window_s)
        self.count = self.count * decay + weight
        self.updated_at = now


class ServiceState(msgspec.Struct):
    """What admission knows of the demand for one service on this host.

    Attributes
    ----------
    demand : list of Rate
        Calls by rank, the highest first; refused ones included.
    estimate : room.RoomEstimate or None
        The estimate that was applied last.
    admitted : Rate
        Admitted flows, with the lag of the loads.
    measured_s : float
        Time covered by the next two, with older times decayed.
    flows, requests : float
        This host's admitted flows, and requests over all hosts, in that time.
    slot_s : float
        Time for which a request holds a slot, 0 if not known yet.
    trim : float
        Correction of the calibrated capacity.
    updated_at : float
        Monotonic time of the last calibration in seconds.
    """

    demand: list[Rate]
    admitted: Rate
    estimate: room.RoomEstimate | None = None
    measured_s: float = 0.0
    flows: float = 0.0
    requests: float = 0.0
    slot_s: float = 0.0
    trim: float = 1.0
    updated_at: float = 0.0


class Admission:
    """Decides whether to refuse a new flow.

    Not safe for threads: `ForwarderProcess.lock` guards each use. `now` is always
    `clock.steady_s()`.

    Parameters
    ----------
    view : fleetview.FleetView
        Provides the routes, whose priorities are ranked for each service.
    estimator : room.RoomEstimator
        Estimates the requests per slot.
    """

    def __init__(
        self, view: fleetview.FleetView, estimator: room.RoomEstimator
    ) -> None:
        self.view = view
        self.estimator = estimator
        self.ranked: fleetmodel.Configuration | None = None
        # Priorities of the routes to each service, the highest first.
        self.priorities: dict[str, list[int]] = {}
        self.states: dict[str, ServiceState] = {}

    def decide(
        self,
        route: fleetmodel.Route,
        service: str,
        flow_id: bytes,
        now: float,
        unix_s: float,
    ) -> Refusal | None:
        """Count a new flow, and return why it is refused, None if it is not.

        Parameters
        ----------
        route : fleetmodel.Route
            Route of the flow, of the configuration in force.
        service : str
            Service of the route that was chosen for the flow.
        flow_id : bytes
            `fleetmodel.Packet.flow`.
        now, unix_s : float
            Steady time, and Unix time, by which all hosts draw alike, in seconds.
        """
        configuration = self.view.configuration
        if configuration is not None and configuration is not self.ranked:
            self.update_ranks(configuration)
        priorities = self.priorities.get(service, [])
        if len(priorities) < 2:
            return None
        state = self.states.get(service)
        if state is None or len(state.demand) != len(priorities):
            state = ServiceState(
                [Rate(DEMAND_WINDOW_S) for _ in priorities],
                Rate(ADMITTED_WINDOW_S),
                updated_at=now,
            )
            self.states[service] = state
        estimate = self.estimator.estimate(service, now)
        if estimate is not state.estimate:
            calibrate(state, estimate, now)
        rank = priorities.index(route.priority)
        probability = 0.0
        if rank > 0 and estimate.trusted:
            probability = max(
                probability_by_load(rank, len(priorities), estimate.requests_per_slot),
                probability_by_demand(state, rank, estimate, now),
            )
        refused = draw(flow_id[2:6], unix_s) < probability
        state.demand[rank].record(1 / TRIES_PER_CALL if refused else 1.0, now)
        if not refused:
            state.admitted.record(1.0, now)
            return None
        return Refusal(rank, probability, estimate)

    def update_ranks(self, configuration: fleetmodel.Configuration) -> None:
        """Rank the priorities of the routes, and forget services that lost theirs."""
        self.ranked = configuration
        self.priorities = rank_priorities(configuration.routes.values())
        for service in list(self.states):
            if len(self.priorities.get(service, [])) < 2:
                del self.states[service]

    def is_crowded(self, service: str) -> bool:
        """Return whether most slots of a service are in use, by its last estimate.

        False for services without different priorities.
        """
        state = self.states.get(service)
        if state is None or state.estimate is None or not state.estimate.trusted:
            return False
        return state.estimate.requests_per_slot >= CROWDED_LOAD


def rank_priorities(
    routes: collections.abc.Iterable[fleetmodel.Route],
) -> dict[str, list[int]]:
    """Return the different priorities of the routes to each service, sorted.

    A route counts for the services that `forwarding.choose_service` may return for it.
    """
    priorities: dict[str, set[int]] = {}
    for route in routes:
        # Without any weight the first service gets all flows.
        has_weights = sum(weight for _, weight in route.split) > 0
        for index, (service, weight) in enumerate(route.split):
            if weight > 0 if has_weights else index == 0:
                priorities.setdefault(service, set()).add(route.priority)
    return {service: sorted(found) for service, found in priorities.items()}


def calibrate(state: ServiceState, estimate: room.RoomEstimate, now: float) -> None:
    """Apply a new estimate to the state of its service.

    It learns how many flows of this host go with the requests of all hosts, and in
    calm times how long a request holds a slot. The trim corrects both while slots are
    short.
    """
    elapsed_s = min(1.0, now - state.updated_at)
    state.updated_at = now
    state.estimate = estimate
    if not estimate.trusted or estimate.latency_s <= 0:
        return
    load = estimate.requests_per_slot
    keep = math.exp(-elapsed_s / CALIBRATION_WINDOW_S)
    rate = load * estimate.slots / estimate.latency_s
    demand = sum(rate.per_s(now) for rate in state.demand)
    admitted = state.admitted.per_s(now)
    if demand <= MAX_RISE * admitted:
        state.measured_s = state.measured_s * keep + elapsed_s
        state.flows = state.flows * keep + admitted * elapsed_s
        state.requests = state.requests * keep + rate * elapsed_s
    if 0 < load < CALM_LOAD:
        slot_s = estimate.latency_s * utilization(load) / load
        if state.slot_s:
            state.slot_s += (1 - keep) * (slot_s - state.slot_s)
        else:
            state.slot_s = slot_s
    capacity = flow_capacity(state, estimate)
    if demand > capacity and load > TRIM_LOAD:
        error = min(1.0, max(-1.0, (AIM - load) / AIM))
        trim = state.trim * (1 + TRIM_RATE_PER_S * elapsed_s * error)
        state.trim = min(MAX_TRIM, max(MIN_TRIM, trim))
    else:
        state.trim += (1 - state.trim) * elapsed_s / CALIBRATION_WINDOW_S


def utilization(requests_per_slot: float) -> float:
    """Return the share of slots in use at a number of requests per slot.

    Solves Sakasegawa's approximation of the waiting time by bisection, for targets
    with two slots, random arrivals, and service times that hardly vary.
    """
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        wait = middle**WAIT_EXPONENT / (4 * (1 - middle))
        if middle * (1 + wait) < requests_per_slot:
            low = middle
        else:
            high = middle
    return low


def flow_capacity(state: ServiceState, estimate: room.RoomEstimate) -> float:
    """Return the new flows per second of this host that the usable slots can serve.

    Infinite without a calibration.
    """
    if state.measured_s < MIN_CALIBRATION_S or not state.requests or not state.slot_s:
        return math.inf
    share = state.flows / state.requests
    return state.trim * share * estimate.slots / state.slot_s


def probability_by_demand(
    state: ServiceState, rank: int, estimate: room.RoomEstimate, now: float
) -> float:
    """Return the share of the callers of a rank for whom the capacity is too small.

    Higher ranks are served first. Rates on one host are noisy, so as long as reports
    show short queues, the demand has to exceed the capacity clearly.
    """
    capacity = flow_capacity(state, estimate)
    rates = [rate.per_s(now) for rate in state.demand[: rank + 1]]
    total = sum(rates)
    has_free_slots = estimate.requests_per_slot < MIN_REFUSAL_LOAD
    clear_excess = max(
        CLEAR_EXCESS * capacity, capacity + MIN_EXCESS_FLOWS / DEMAND_WINDOW_S
    )
    if has_free_slots and total < clear_excess:
        return 0.0
    doubt = max(MIN_DOUBT, 1 - estimate.requests_per_slot / AIM)
    if total > 0:
        deviation = 1 / math.sqrt(2 * DEMAND_WINDOW_S * total)
        capacity *= 1 + MARGIN_DEVIATIONS * deviation * doubt
    if total <= capacity:
        return 0.0
    return min(MAX_PROBABILITY, (total - capacity) / rates[rank] if rates[rank] else 1)


def probability_by_load(rank: int, rank_count: int, requests_per_slot: float) -> float:
    """Return the share of the callers of a rank to refuse, at most `MAX_PROBABILITY`.

    The ranks below the highest divide the range among them; one is refused only once
    the next lower one has reached `MAX_PROBABILITY`.
    """
    width = (RANGE_END - RANGE_BEGIN) / (rank_count - 1)
    begin = RANGE_BEGIN + (rank_count - 1 - rank) * width
    share = (requests_per_slot - begin) / width
    return MAX_PROBABILITY * min(1.0, max(0.0, share))


def draw(caller: bytes, unix_s: float) -> float:
    """Return a number from 0 to 1 that is the same on all hosts for `WINDOW_S`.

    `caller` is the caller's address. The windows of callers begin at different moments,
    so that their decisions do not all change at once.
    """
    offset_s = zlib.crc32(caller) / HASH_SPAN * WINDOW_S
    window = int((unix_s + offset_s) / WINDOW_S)
    checksum = zlib.crc32(window.to_bytes(8, "big"), zlib.crc32(caller))
    return (checksum * HASH_FACTOR) % HASH_SPAN / HASH_SPAN
