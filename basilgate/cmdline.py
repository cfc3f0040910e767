"""Command line of the operators: a thin layer over commands and queries."""

import collections.abc
import os
import sys
import typing

import anyio
import fire
import fire.decorators
import httpx
import pydantic

from basilgate import (
    clock,
    cmdoptions,
    commands,
    errors,
    fleetcmdline,
    outcomes,
    platformapi,
    queries,
    storedobjects,
)

PLATFORM_VARIABLE = "BASILGATE_PLATFORM"
ADMINS_VARIABLE = "BASILGATE_ADMINS"
CALL_TIMEOUT_S = platformapi.SLOW_ANSWER_S
DEFAULT_TOKEN_LIFETIME_S = 86_400

Action = collections.abc.Callable[
    [queries.Session], collections.abc.Awaitable[outcomes.Outcome]
]


def perform(
    action: Action, platform: str, admins: str, output: str
) -> cmdoptions.Shown:
    """Run a command or query against the platform."""
    cmdoptions.check_output(output)
    url = platform or os.environ.get(PLATFORM_VARIABLE, "")
    if not url.startswith(("http://", "https://")):
        raise errors.UsageError(f"--platform URL or {PLATFORM_VARIABLE} is needed")
    admin_list = admins or os.environ.get(ADMINS_VARIABLE, "")
    addresses = tuple(part.strip() for part in admin_list.split(",") if part.strip())

    async def run() -> outcomes.Outcome:
        async with (
            platformapi.PlatformClient(url, timeout_s=CALL_TIMEOUT_S) as client,
            httpx.AsyncClient(timeout=queries.HOST_TIMEOUT_S, trust_env=False) as http,
        ):
            return await action(queries.Session(client, http, addresses))

    return cmdoptions.Shown(anyio.run(run), output)


class Sheet:
    """Check, plan, and apply the daily sheet (INI or CSV)."""

    @fire.decorators.SetParseFn(str)
    def validate(self, file: str, output: str = "text") -> cmdoptions.Shown:
        """Check a sheet and report every problem with its line; changes nothing.

        Args:
            file: path of the sheet, - for standard input.
            output: text or json.
        """
        cmdoptions.check_output(output)
        return cmdoptions.Shown(queries.validate(cmdoptions.read_text(file)), output)

    @fire.decorators.SetParseFn(str)
    def plan(
        self, file: str, platform: str = "", admins: str = "", output: str = "text"
    ) -> cmdoptions.Shown:
        """Show what a sheet would change and which overrides contradict it.

        Args:
            file: path of the sheet, - for standard input.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        text = cmdoptions.read_text(file)
        return perform(lambda s: queries.plan(s, text), platform, admins, output)

    @fire.decorators.SetParseFn(str)
    def apply(
        self,
        file: str,
        planned_version: str,
        operator: str,
        wait: str = "0",
        platform: str = "",
        admins: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Bring a sheet into force if nobody changed it since the plan.

        Args:
            file: path of the sheet, - for standard input.
            planned_version: sheet version that `sheet plan` printed.
            operator: who applies the sheet.
            wait: seconds to wait until the sheet is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        text, wait_s = cmdoptions.read_text(file), cmdoptions.number(wait, "wait")
        version = int(cmdoptions.number(planned_version, "planned_version"))
        return perform(
            lambda s: commands.apply_sheet(s, text, version, operator, wait_s),
            platform,
            admins,
            output,
        )


def new_override(
    kind: str,
    service: str,
    target: str,
    operator: str,
    reason: str,
    weight: str,
    expires: str,
) -> storedobjects.Override:
    """Return the override that the arguments describe; its id is chosen later."""
    now = clock.utc()
    if (kind == "weight") != bool(weight):
        raise errors.UsageError("--weight belongs to the kind weight, and is needed")
    try:
        return storedobjects.Override(
            id="new",
            kind=typing.cast(typing.Any, kind),
            service=service,
            target=target,
            weight=int(cmdoptions.number(weight, "weight")) if weight else None,
            operator=operator,
            reason=reason,
            created_at=now,
            expires_at=cmdoptions.moment(expires, now),
        )
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        field = ".".join(str(part) for part in problem["loc"])
        raise errors.UsageError(f"{field}: {problem['msg']}") from error


class Override:
    """Set, list, and remove standing overrides of targets."""

    @fire.decorators.SetParseFn(str)
    def set(
        self,
        kind: str,
        service: str,
        target: str,
        operator: str,
        reason: str,
        weight: str = "",
        expires: str = "",
        over: str = "",
        wait: str = "0",
        platform: str = "",
        admins: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Override the sheet for one target.

        Args:
            kind: pin (new flows whatever the sheet says), pull (no new flows),
                weight (another share of new flows), or drain (target leaves).
            service: name of the service.
            target: name of the target.
            operator: who overrides.
            reason: why, for colleagues.
            weight: share of new flows, with kind weight.
            expires: end of the override, a time in UTC or a duration such as 90m.
            over: id of the override in force that this one supersedes.
            wait: seconds to wait until the override is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        wait_s = cmdoptions.number(wait, "wait")
        value = new_override(kind, service, target, operator, reason, weight, expires)
        return perform(
            lambda s: commands.set_override(s, value, over, wait_s),
            platform,
            admins,
            output,
        )

    @fire.decorators.SetParseFn(str)
    def list(self, platform: str = "", output: str = "text") -> cmdoptions.Shown:
        """List the overrides: in force, superseded, and expired.

        Args:
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            output: text or json.
        """
        return perform(queries.list_overrides, platform, "", output)

    @fire.decorators.SetParseFn(str)
    def remove(
        self,
        override_id: str,
        version: str,
        wait: str = "0",
        platform: str = "",
        admins: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Remove an override.

        Args:
            override_id: id that `override list` shows.
            version: version that `override list` shows.
            wait: seconds to wait until the removal is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        wait_s, expected_version = (
            cmdoptions.number(wait, "wait"),
            int(cmdoptions.number(version, "version")),
        )
        return perform(
            lambda s: commands.remove_override(
                s, override_id, expected_version, wait_s
            ),
            platform,
            admins,
            output,
        )


class Target:
    """Drain targets."""

    @fire.decorators.SetParseFn(str)
    def drain(
        self,
        service: str,
        target: str,
        operator: str,
        reason: str,
        expires: str = "",
        over: str = "",
        wait: str = "0",
        platform: str = "",
        admins: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Declare a target leaving: no new flows, `status` lists it until empty.

        Args:
            service: name of the service.
            target: name of the target.
            operator: who drains.
            reason: why, for colleagues.
            expires: end of the drain, a time in UTC or a duration such as 90m.
            over: id of the override in force that this one supersedes.
            wait: seconds to wait until the drain is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        wait_s = cmdoptions.number(wait, "wait")
        value = new_override("drain", service, target, operator, reason, "", expires)
        return perform(
            lambda s: commands.set_override(s, value, over, wait_s),
            platform,
            admins,
            output,
        )


class Key:
    """Rotate token keys."""

    @fire.decorators.SetParseFn(str)
    def rotate(
        self,
        operator: str,
        token_lifetime: str = str(DEFAULT_TOKEN_LIFETIME_S),
        wait: str = "0",
        platform: str = "",
        admins: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Create a token key; remove keys whose last token has expired.

        Args:
            operator: who rotates.
            token_lifetime: longest token_lifetime_s in the settings of the hosts.
            wait: seconds to wait until all hosts have the key.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        wait_s = cmdoptions.number(wait, "wait")
        lifetime_s = cmdoptions.number(token_lifetime, "token_lifetime")
        return perform(
            lambda s: commands.rotate_key(s, operator, lifetime_s, wait_s),
            platform,
            admins,
            output,
        )


class CommandLine:
    """Control basilgate: sheet, overrides, drains, keys, status, explanations."""

    def __init__(self) -> None:
        self.sheet = Sheet()
        self.override = Override()
        self.target = Target()
        self.key = Key()
        self.fleet = fleetcmdline.Fleet()

    @fire.decorators.SetParseFn(str)
    def status(
        self, platform: str = "", admins: str = "", output: str = "text"
    ) -> cmdoptions.Shown:
        """Show which configuration is in force where, and what needs attention.

        Args:
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        return perform(queries.status, platform, admins, output)

    @fire.decorators.SetParseFn(str)
    def explain(
        self,
        service: str,
        target: str,
        platform: str = "",
        admins: str = "",
        output: str = "text",
    ) -> cmdoptions.Shown:
        """Tell why a target gets or does not get new flows.

        Args:
            service: name of the service.
            target: name of the target.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts, for a platform outage.
            output: text or json.
        """
        return perform(
            lambda s: queries.explain(s, service, target), platform, admins, output
        )


def run(arguments: collections.abc.Sequence[str]) -> int:
    """Run one command or query, print its result, and return the exit code."""
    try:
        command_result = fire.Fire(
            CommandLine(),
            command=list(arguments),
            name="basilgate",
            serialize=lambda value: (
                str(value) if isinstance(value, cmdoptions.Shown) else None
            ),
        )
    except errors.UsageError as error:
        print(f"basilgate: {error}", file=sys.stderr)
        return outcomes.Exit.USAGE
    except fire.core.FireExit as ended:
        return int(ended.code or 0)
    if not isinstance(command_result, cmdoptions.Shown):
        print("basilgate: incomplete command, see basilgate --help", file=sys.stderr)
        return outcomes.Exit.USAGE
    return int(command_result._outcome.exit)


def main() -> None:
    """Entry point of `basilgate`."""
    # Help is printed; fire would start the pager of the environment.
    os.environ["PAGER"] = "-"
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
