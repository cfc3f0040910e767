"""Policies that choose the target of a new flow among candidates."""

import collections.abc
import dataclasses
import random

from basilgate import effectiveconfig, registry

# Weight of the number of flows in relation to the busy slots, for `choose_exact`.
# At 0 a target could collect idle flows that become active later; a larger weight
# outweighs the busy slots.
FLOW_COUNT_WEIGHT = 0.02


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may get a new flow, with what is known of its load."""

    target: effectiveconfig.Target
    # Open flows, requests in progress, and queued requests, by the target's owner.
    flows: int = 0
    in_flight: int = 0
    queued: int = 0
    # Flows placed by this host since the owner last reported.
    placed_since_report: int = 0
    # Flows placed by this host in the last seconds, as a fading count.
    recently_placed: float = 0.0
    # Share of busy slots over the last seconds, by the target's owner.
    utilisation: float = 0.0
    # Share of busy slots as the target reports it. Targets of other hosts have the
    # value of `utilisation` here.
    reported_load: float = 0.0
    # Factor of the weight, below 1 while the target ramps up.
    ramp: float = 1.0
    healthy: bool = True
    # This host owns the target, so that the counts have no delay.
    exact: bool = False

    @property
    def weight(self) -> float:
        """Relative share of new flows: the configured weight times `ramp`, above 0."""
        return max(self.target.weight * self.ramp, 1e-6)

    @property
    def has_room(self) -> bool:
        """Whether a slot is free and no request is queued."""
        return self.queued == 0 and self.in_flight < self.target.slots


Candidates = collections.abc.Sequence[Candidate]
Policy = collections.abc.Callable[[Candidates, random.Random], Candidate]
Choice = collections.abc.Callable[[Candidates], Candidate]
POLICIES: registry.Registry[Policy] = registry.Registry("placement policy")


@POLICIES.register("random")
def choose_random(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose a target at random, in proportion to the weights."""
    return rng.choices(candidates, [candidate.weight for candidate in candidates])[0]


class RoundRobin:
    """Chooses the targets of each service in turn, by id and without weights."""

    def __init__(self) -> None:
        # Id of the target chosen last, by service.
        self.last_targets: dict[int, int] = {}

    def __call__(
        self,
        candidates: Candidates,
        rng: random.Random,  # noqa: ARG002
    ) -> Candidate:
        """Choose the target with the next higher id, or the lowest after the last."""
        service = candidates[0].target.service
        last = self.last_targets.get(service, -1)
        ordered = sorted(candidates, key=lambda c: c.target.id)
        chosen = next((c for c in ordered if c.target.id > last), ordered[0])
        self.last_targets[service] = chosen.target.id
        return chosen


POLICIES.register("round_robin")(RoundRobin())


@POLICIES.register("least_connections")
def choose_least_connections(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose the target with the fewest flows for its weight, ties at random."""
    return min(
        candidates,
        key=lambda c: ((c.flows + c.placed_since_report) / c.weight, rng.random()),
    )


def sample_two(candidates: Candidates, rng: random.Random) -> Candidates:
    """Return two different candidates, drawn by weight, or the only one."""
    if len(candidates) < 2:
        return candidates
    first = choose_random(candidates, rng)
    return [first, choose_random([c for c in candidates if c is not first], rng)]


@POLICIES.register("two_choices_reported")
def choose_of_two_reported(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose the one of two random targets that reports the lower load."""
    return min(
        sample_two(candidates, rng), key=lambda c: (c.reported_load, rng.random())
    )


@POLICIES.register("two_choices_in_flight")
def choose_of_two_in_flight(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose the one of two random targets whose owner counts fewer requests.

    Flows placed since the owner's last report count like requests. The count is
    divided by the target's weight.
    """
    return min(
        sample_two(candidates, rng),
        key=lambda c: (
            (c.in_flight + c.queued + c.placed_since_report) / c.weight,
            rng.random(),
        ),
    )


@POLICIES.register("exact")
def choose_exact(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose the target with the lowest load by its owner's counts, ties at random.

    The load is the target's share of all busy slots and, with the lower weight
    `FLOW_COUNT_WEIGHT`, of all flows. Flows that were placed in the last seconds do
    not show in the busy slots yet, so they count with the average activity of a flow.
    Otherwise all new flows would go to the target with the lowest load until its next
    report.
    """
    # Flows that are open long enough to show in the busy slots.
    settled_flows = max(
        1.0,
        sum(c.flows + c.placed_since_report - c.recently_placed for c in candidates),
    )
    total_busy = 1e-3 + sum(busy_slots(c) for c in candidates)

    def load(candidate: Candidate) -> float:
        flow_part = FLOW_COUNT_WEIGHT * (
            candidate.flows + candidate.placed_since_report + 1
        )
        busy_share = busy_slots(candidate) / total_busy
        return (
            busy_share + (candidate.recently_placed + flow_part) / settled_flows
        ) / candidate.weight

    return min(candidates, key=lambda c: (load(c), rng.random()))


def busy_slots(candidate: Candidate) -> float:
    """Return the average of busy slots over the last seconds plus queued requests."""
    return candidate.utilisation * candidate.target.slots + candidate.queued
