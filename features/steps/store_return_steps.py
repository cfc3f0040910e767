"""Steps for a store that returns from a copy of its data."""

import behave
from fleet_feed_steps import configuration, eventually


@behave.given("a copy of the store")
def copy_store(context):
    """Keep the store as it is now."""
    context.copy = context.store.copy()


@behave.when("configurations {first:d} and {second:d} are in force there")
def bring_into_force(context, first, second):
    """Write configurations, and wait until the host has each."""
    view = context.host.view
    for version in (first, second):
        context.store.put("config", "main", configuration(version))
        eventually(
            lambda version=version: view.configuration.version == version,
            f"configuration {version}",
        )


@behave.when("the store returns from the copy")
def restore(context):
    """Lose what was written since the copy."""
    context.store.restore(context.copy)


@behave.when("the operator writes configuration {again:d} again, and then {version:d}")
def write_again(context, again, version):
    """Write two versions, of which the second gets the last revision before."""
    with context.store.changed:
        context.store.put_quietly("config", "main", configuration(again))
        context.store.put_quietly("config", "main", configuration(version))
