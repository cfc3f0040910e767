"""Choice of a target for a new flow."""

import collections.abc
import dataclasses
import random

from basilgate import effectiveconfig, registry

# Weight of the number of flows beside their activity. Without it a target could
# collect idle flows that become active later; more of it hides the activity.
FLOW_COUNT_WEIGHT = 0.02


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may get a new flow, with what is known of its load.

    `flows`, `in_flight`, `queued`, and `utilisation` (share of busy slots over the
    last seconds) come from the target's home; `placed` is the number of flows
    placed here since the home last reported, `fresh` that of the last seconds;
    `reported_load` is the share of busy slots according to the target itself;
    `ramp` lowers the share of a target that has just started.
    """

    target: effectiveconfig.Target
    flows: int = 0
    in_flight: int = 0
    queued: int = 0
    placed_since_report: int = 0
    recently_placed: float = 0.0
    utilisation: float = 0.0
    reported_load: float = 0.0
    ramp: float = 1.0
    healthy: bool = True
    # The home is at this host, so that the counts have no delay.
    exact: bool = False

    @property
    def weight(self) -> float:
        """Share of new flows, lowered while the target ramps up."""
        return max(self.target.weight * self.ramp, 1e-6)

    @property
    def has_room(self) -> bool:
        """Whether a slot is free and nothing waits for it."""
        return self.queued == 0 and self.in_flight < self.target.slots


Candidates = collections.abc.Sequence[Candidate]
Policy = collections.abc.Callable[[Candidates, random.Random], Candidate]
Choice = collections.abc.Callable[[Candidates], Candidate]
POLICIES: registry.Registry[Policy] = registry.Registry("placement policy")


@POLICIES.register("random")
def choose_random(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose at random, in proportion to the weights."""
    return rng.choices(candidates, [candidate.weight for candidate in candidates])[0]


class RoundRobin:
    """Takes the targets of each service in turn, without regard to weights."""

    def __init__(self) -> None:
        # Target chosen last, by service.
        self.last_targets: dict[int, int] = {}

    def __call__(
        self,
        candidates: Candidates,
        rng: random.Random,  # noqa: ARG002
    ) -> Candidate:
        """Choose the target after the one chosen last."""
        service = candidates[0].target.service
        last = self.last_targets.get(service, -1)
        ordered = sorted(candidates, key=lambda c: c.target.id)
        chosen = next((c for c in ordered if c.target.id > last), ordered[0])
        self.last_targets[service] = chosen.target.id
        return chosen


POLICIES.register("round_robin")(RoundRobin())


@POLICIES.register("least_connections")
def choose_least_connections(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose the fewest flows for the weight, ties at random."""
    return min(
        candidates,
        key=lambda c: ((c.flows + c.placed_since_report) / c.weight, rng.random()),
    )


def sample_two(candidates: Candidates, rng: random.Random) -> Candidates:
    """Return two different targets at random, or the only one."""
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
    """Choose the one of two random targets that has fewer requests at its home."""
    return min(
        sample_two(candidates, rng),
        key=lambda c: (
            (c.in_flight + c.queued + c.placed_since_report) / c.weight,
            rng.random(),
        ),
    )


@POLICIES.register("exact")
def choose_exact(candidates: Candidates, rng: random.Random) -> Candidate:
    """Choose the lowest load by the homes' counts, ties at random.

    The load is a share of the busy slots, which counts the activity of flows, and
    with less weight a share of the flows. Flows that were placed lately and do not
    show in the busy slots yet count with the usual activity of a flow, so that a
    report does not draw all flows to one target.
    """
    # Flows whose activity shows in the busy slots.
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
    """Return the slots in use over the last seconds, and the queue."""
    return candidate.utilisation * candidate.target.slots + candidate.queued
