"""Choice of a target for a new flow."""

import collections.abc
import dataclasses
import random

from basilgate import effective, registry


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may get a new flow, with what is known of its load.

    `flows`, `in_flight`, and `queued` come from the target's home; `placed` is
    the number of flows placed here since the home last reported; `reported_load`
    is the share of busy slots according to the target itself.
    """

    target: effective.Target
    flows: int = 0
    in_flight: int = 0
    queued: int = 0
    placed: int = 0
    utilisation: float = 0.0
    reported_load: float = 0.0
    ramp: float = 1.0

    @property
    def weight(self) -> float:
        """Share of new flows, lowered while the target ramps up."""
        return max(self.target.weight * self.ramp, 1e-6)


Policy = collections.abc.Callable[
    [collections.abc.Sequence[Candidate], random.Random], Candidate
]
POLICIES: registry.Registry[Policy] = registry.Registry("placement policy")


@POLICIES.register("random")
def choose_random(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Choose at random, in proportion to the weights."""
    return rng.choices(candidates, [candidate.weight for candidate in candidates])[0]


def exact_load(candidate: Candidate) -> float:
    """Return the load relative to the weight, by the home's own counts."""
    flows = candidate.flows + candidate.placed
    busy = candidate.in_flight + candidate.queued
    return (flows + 1 + busy) / candidate.weight


@POLICIES.register("exact")
def choose_exact(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Choose the lowest load by the homes' counts, ties at random."""
    return min(candidates, key=lambda c: (exact_load(c), rng.random()))
