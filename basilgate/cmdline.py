"""Command line `basilgate`: parses arguments and runs commands and queries."""

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
# Time limit of one call; the platform can be slow for long periods.
CALL_TIMEOUT_S = platformapi.SLOW_ANSWER_S
DEFAULT_TOKEN_LIFETIME_S = 86_400  # Default of token_lifetime_s in the settings.

Action = collections.abc.Callable[
    [queries.Session], collections.abc.Awaitable[outcomes.Outcome]
]


def perform(
    action: Action, platform: str, admins: str, output: str
) -> cmdoptions.Shown:
    """Run a command or query with connections to the platform and the hosts.

    Parameters
    ----------
    action : callable
        Command or query to run.
    platform : str
        URL of the platform; if empty, that of the environment is used.
    admins : str
        Admin addresses of hosts, separated by commas, that queries use while the
        platform is down; if empty, those of the environment are used.
    output : str
        Output format, text or json.

    Raises
    ------
    errors.UsageError
        If the format is unknown or no URL is given.
    """
    cmdoptions.check_output(output)
    url = platform or os.environ.get(PLATFORM_VARIABLE, "")
    if not url.startswith(("http://", "https://")):
        raise errors.UsageError(
            f"set --platform or {PLATFORM_VARIABLE} to the platform's URL"
        )
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
        """Check a sheet and list every problem with its line; changes nothing.

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
        """List what a sheet would change and which overrides contradict it.

        Args:
            file: path of the sheet, - for standard input.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
        """Put a sheet into force unless the stored sheet has changed since the plan.

        Args:
            file: path of the sheet, - for standard input.
            planned_version: sheet version that `sheet plan` printed.
            operator: name of the operator, shown to others.
            wait: seconds to wait until the sheet is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
    """Return the override that the arguments of a command describe.

    Its id is a placeholder, which `commands.set_override` replaces.

    Raises
    ------
    errors.UsageError
        If an argument is missing or invalid.
    """
    now = clock.utc()
    if (kind == "weight") != bool(weight):
        raise errors.UsageError(
            "--weight is required with kind weight and not allowed with other kinds"
        )
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
    """Set, list, and remove overrides, which replace the sheet for one target."""

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
        """Set an override, which replaces the sheet for one target.

        Args:
            kind: pin (new flows in spite of the sheet), pull (no new flows),
                weight (another share of new flows), or drain (target leaves).
            service: name of the service.
            target: name of the target.
            operator: name of the operator, shown to others.
            reason: why the override is set, shown to others.
            weight: share of new flows relative to other targets, for kind weight.
            expires: end of the override, a time in UTC or a duration such as 90m.
            over: id of the override in force that this one supersedes.
            wait: seconds to wait until the override is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
        """List all overrides: in force, superseded, and expired.

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
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
        """Drain a target: it gets no new flows, and `status` lists it until empty.

        Args:
            service: name of the service.
            target: name of the target.
            operator: name of the operator, shown to others.
            reason: why the target is drained, shown to others.
            expires: end of the drain, a time in UTC or a duration such as 90m.
            over: id of the override in force that this one supersedes.
            wait: seconds to wait until the drain is in force on all hosts.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
        """Create a key for signing tokens; remove keys whose last token has expired.

        Args:
            operator: name of the operator, shown to others.
            token_lifetime: longest token_lifetime_s in the settings of the hosts.
            wait: seconds to wait until all hosts have the key.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
        """Show the configuration in force on each host, and targets needing attention.

        Args:
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
        """Explain why a target gets or does not get new flows.

        Args:
            service: name of the service.
            target: name of the target.
            platform: URL of the platform; default $BASILGATE_PLATFORM.
            admins: admin addresses of hosts (a,b,...), used while the platform is down.
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
    """Run `basilgate` with the arguments of the process, and exit with its code."""
    # Makes fire print help instead of starting the pager of the environment.
    os.environ["PAGER"] = "-"
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
