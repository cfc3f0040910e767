"""Shared fixtures of the scenarios."""

import random

import behave
from hypothesis import settings as hypothesis_settings

from basilgate import tokens

hypothesis_settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=300, database=None
)
hypothesis_settings.load_profile("ci")


@behave.fixture
def seeded_random(context):
    """Give each scenario the same random numbers in each run."""
    context.rng = random.Random(20261204)
    yield


@behave.fixture
def key_ring(context):
    """Give a key ring with one token key."""
    context.ring = tokens.KeyRing()
    context.ring.add(1, bytes(range(32)))
    yield


def before_scenario(context, scenario):
    """Set up the fixtures that each scenario shares."""
    behave.use_fixture(seeded_random, context)
    behave.use_fixture(key_ring, context)
