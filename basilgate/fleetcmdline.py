"""Command line for the users' platform: `basilgate fleet`."""

import collections.abc
import os

import fire.decorators

from basilgate import (
    clock,
    cmdoptions,
    errors,
    fleetcommands,
    fleetmodel,
    fleettrace,
    outcomes,
)
from basilgate.configcheck import commands as configcommands
from platformedge import bounds, documents
from platformedge import store as fleetstore

STORE_VARIABLE = "BASILGATE_STORE"

FleetAction = collections.abc.Callable[[fleetstore.Connection], outcomes.Outcome]


def perform_on_fleet(
    action: FleetAction, address: str, output: str
) -> cmdoptions.Shown:
    """Run an action against the store at an address, or at $BASILGATE_STORE.

    Raises
    ------
    errors.UsageError
        If neither gives an IPv4 address with a port, or the output format is unknown.
    """
    cmdoptions.check_output(output)
    address_text = address or os.environ.get(STORE_VARIABLE, "")
    try:
        store_address = documents.split_address(address_text)
    except documents.DocumentError as error:
        message = f"--store ADDRESS or {STORE_VARIABLE} is needed: {error}"
        raise errors.UsageError(message) from error
    connection = fleetstore.Connection(store_address, reused=False)
    try:
        return cmdoptions.Shown(action(connection), output)
    finally:
        connection.close()


class Fleet:
    """Show and override targets on the users' platform."""

    @fire.decorators.SetParseFn(str)
    def routes(self, store: str = "", output: str = "text") -> cmdoptions.Shown:
        """Show the configuration's version and its routes.

        Args:
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        return perform_on_fleet(fleetcommands.show_routes, store, output)

    @fire.decorators.SetParseFn(str)
    def check(
        self, file: str, against: str = "", store: str = "", output: str = "text"
    ) -> cmdoptions.Shown:
        """Check a configuration before it is sent; changes nothing.

        Args:
            file: path of the configuration in the platform's format (JSON); --file=-
                for standard input.
            against: store, or the path of another configuration; also checks against
                it and shows the differences.
            store: IPv4 address and port of the store, for --against store; default
                $BASILGATE_STORE.
            output: text or json.
        """
        cmdoptions.check_output(output)
        if against == "store":
            draft = configcommands.read_file(file)
            return perform_on_fleet(
                lambda connection: configcommands.check_against_store(
                    draft, file, connection
                ),
                store,
                output,
            )
        if against:
            outcome = configcommands.check_against_file(file, against)
        else:
            outcome = configcommands.check_alone(file)
        return cmdoptions.Shown(outcome, output)

    @fire.decorators.SetParseFn(str)
    def targets(
        self, service: str = "", store: str = "", output: str = "text"
    ) -> cmdoptions.Shown:
        """Show targets, whether they get new flows, and why.

        Args:
            service: name of a service; all services without it.
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        return perform_on_fleet(
            lambda connection: fleetcommands.show_targets(connection, service),
            store,
            output,
        )

    @fire.decorators.SetParseFn(str)
    def explain(
        self, target: str, store: str = "", output: str = "text"
    ) -> cmdoptions.Shown:
        """Show why a target gets or does not get new flows.

        Args:
            target: name of the target.
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        return perform_on_fleet(
            lambda connection: fleetcommands.explain(connection, target), store, output
        )

    @fire.decorators.SetParseFn(str)
    def trace(self, flow: str, logs: str, output: str = "text") -> cmdoptions.Shown:
        """Show from logs why a flow failed.

        Args:
            flow: caller and port, ``>``, address and port, as log lines name it.
            logs: log files of all hosts, separated by commas; - for standard input.
            output: text or json.
        """
        cmdoptions.check_output(output)
        text = "\n".join(cmdoptions.read_text(file) for file in logs.split(","))
        diagnosis = fleettrace.trace(text, flow)
        lines = [f"cause: {diagnosis.cause.value}", *diagnosis.lines]
        has_lines = diagnosis.cause is not fleettrace.Cause.UNKNOWN_FLOW
        code = outcomes.Exit.OK if has_lines else outcomes.Exit.NOT_FOUND
        data = {"cause": diagnosis.cause.value, "lines": diagnosis.lines}
        return cmdoptions.Shown(outcomes.Outcome(code, lines, data), output)

    @fire.decorators.SetParseFn(str)
    def overrides(self, store: str = "", output: str = "text") -> cmdoptions.Shown:
        """Show all overrides with their revisions.

        Args:
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        return perform_on_fleet(fleetcommands.show_overrides, store, output)

    @fire.decorators.SetParseFn(str)
    def evacuations(self, store: str = "", output: str = "text") -> cmdoptions.Shown:
        """Show the evacuated failure domains with their revisions.

        Args:
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        return perform_on_fleet(fleetcommands.show_evacuations, store, output)

    @fire.decorators.SetParseFn(str)
    def override(
        self,
        target: str,
        kind: str,
        operator: str,
        weight: str = "",
        reason: str = "",
        expires: str = "",
        store: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Set an override of a target, which stays until it is removed or expires.

        Args:
            target: name of the target.
            kind: pin, pull, weight, or drain.
            operator: name of the person who sets it.
            weight: relative share of new flows, for kind weight only; 0 stops them.
            reason: reason to show to other operators.
            expires: UTC time such as 2026-12-04T18:00Z, or a duration such as 90m.
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        if kind not in fleetcommands.OVERRIDE_KINDS:
            allowed = ", ".join(fleetcommands.OVERRIDE_KINDS)
            raise errors.UsageError(f"kind {kind}: expected one of {allowed}")
        if (kind == "weight") != bool(weight):
            raise errors.UsageError("--weight is needed for weight, and for it only")
        weight_number = cmdoptions.number(weight, "weight") if weight else 0.0
        if weight_number > bounds.LARGEST:
            raise errors.UsageError(f"--weight {weight}: at most {bounds.LARGEST}")
        weight_value = int(weight_number) if weight else None
        expires_at = cmdoptions.moment(expires, clock.utc())
        return perform_on_fleet(
            lambda connection: fleetcommands.set_override(
                connection,
                target,
                kind,
                weight_value,
                operator,
                reason,
                expires_at.timestamp() if expires_at else None,
            ),
            store,
            output,
        )

    @fire.decorators.SetParseFn(str)
    def release(
        self, target: str, revision: str, store: str = "", output: str = "text"
    ) -> cmdoptions.Shown:
        """Remove the override of a target.

        Args:
            target: name of the target.
            revision: revision of the override, as `fleet overrides` shows it.
            store: IPv4 address and port of the store; default $BASILGATE_STORE.
            output: text or json.
        """
        position = fleetmodel.Position.parse(revision)
        if position is None:
            message = f"revision {revision}: expected one that `fleet overrides` shows"
            raise errors.UsageError(message)
        return perform_on_fleet(
            lambda connection: fleetcommands.remove_override(
                connection, target, position
            ),
            store,
            output,
        )
