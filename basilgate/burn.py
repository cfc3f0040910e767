"""Report on the burn of service-level objectives: program `basilgate-report`."""

import collections.abc
import pathlib
import ssl
import sys

import anyio
import fire
import fire.decorators
import pydantic
from returns import result

from basilgate import (
    burnrates,
    burnsamples,
    burnsettings,
    burntext,
    errors,
    registry,
    settings,
    tls,
)

Render = collections.abc.Callable[[burnrates.Report, burnsettings.BurnSettings], str]
FORMATS: registry.Registry[Render] = registry.Registry("report format")


@FORMATS.register("text")
def as_text(report: burnrates.Report, config: burnsettings.BurnSettings) -> str:
    """Return the report as text."""
    del config
    return burntext.render_text(report)


@FORMATS.register("json")
def as_json(report: burnrates.Report, config: burnsettings.BurnSettings) -> str:
    """Return the report as JSON."""
    del config
    return burntext.render_json(report)


@FORMATS.register("html")
def as_html(report: burnrates.Report, config: burnsettings.BurnSettings) -> str:
    """Return the report as HTML."""
    # matplotlib is optional and slow to import; the other formats do without.
    from basilgate import burnhtml

    return burnhtml.render(report, config)


def load_settings(path: str) -> burnsettings.BurnSettings:
    """Return the settings of the report, the defaults for an empty path.

    Raises
    ------
    errors.UsageError
        If they are wrong; the message names section and key.
    """
    if not path:
        return burnsettings.BurnSettings()
    loaded = burnsettings.load(pathlib.Path(path))
    if isinstance(loaded, result.Failure):
        raise errors.UsageError(f"{path}: {loaded.failure()}")
    return loaded.unwrap()


def host_addresses(text: str) -> dict[str, str]:
    """Return the addresses in a list such as ``a=ip:port,b=ip:port``."""
    found = {}
    for item in filter(None, (part.strip() for part in text.split(","))):
        name, separator, address = item.partition("=")
        found[name] = address if separator else name
    return found


def pem_files(certificate: str, key: str, ca: str) -> settings.TlsSection | None:
    """Return the files for TLS, None if no CA is given.

    Raises
    ------
    ValueError
        If a file cannot be read.
    """
    if not ca:
        return None
    files = {"certificate": certificate, "key": key, "ca": ca}
    try:
        return settings.TlsSection.model_validate(files)
    except pydantic.ValidationError as error:
        found = error.errors()[0]
        raise ValueError(f"--{found['loc'][0]}: {found['msg']}") from error


async def collect_round(
    platform: str,
    given: collections.abc.Mapping[str, str],
    known: dict[str, str],
    context: ssl.SSLContext | None,
) -> list[burnsamples.Entry]:
    """Return the entries of one round.

    `known` is set to the hosts of the platform's views and the given ones, and
    used in later rounds while the platform does not answer.

    Raises
    ------
    errors.UsageError
        If no host is given and the platform does not answer.
    """
    entries: list[burnsamples.Entry] = []
    if platform:
        answer = await burnsamples.read_platform(platform)
        if isinstance(answer, result.Success):
            found, objectives = answer.unwrap()
            known.clear()
            known.update({**found, **given})
            entries.append(objectives)
        elif known:
            print(answer.failure(), file=sys.stderr)
        else:
            raise errors.UsageError(answer.failure())
    entries += await burnsamples.scrape_all(known, context)
    return entries


async def collect_rounds(
    samples: pathlib.Path,
    platform: str,
    hosts: collections.abc.Mapping[str, str],
    context: ssl.SSLContext | None,
    rounds: int,
    interval_s: float,
) -> None:
    """Collect and append rounds of samples."""
    known = dict(hosts)
    for number in range(rounds):
        if number:
            await anyio.sleep(interval_s)
        entries = await collect_round(platform, hosts, known, context)
        await anyio.to_thread.run_sync(burnsamples.append, samples, entries)
        for entry in entries:
            if isinstance(entry, burnsamples.Silence):
                print(f"{entry.host}: {entry.problem}", file=sys.stderr)


@fire.decorators.SetParseFn(str)
def collect(
    samples: str,
    platform: str = "",
    hosts: str = "",
    rounds: str = "1",
    interval_s: str = "60",
    certificate: str = "",
    key: str = "",
    ca: str = "",
) -> None:
    """Read the balancers' metrics and add them to the sample file.

    Parameters
    ----------
    samples : str
        Path of the sample file; it is created if needed.
    platform : str
        URL of the platform, whose views and sheet give hosts and objectives.
    hosts : str
        Admin addresses as ``ip:port`` or ``name=ip:port``, separated by commas.
    rounds : str
        How often to collect.
    interval_s : str
        Seconds between rounds.
    certificate, key, ca : str
        PEM files for balancers that serve TLS.
    """
    if not platform and not hosts:
        raise errors.UsageError("collect: give --platform or --hosts")
    try:
        count, pause_s = int(rounds), float(interval_s)
        context = tls.calling(pem_files(certificate, key, ca))
        anyio.run(
            collect_rounds,
            pathlib.Path(samples),
            platform,
            host_addresses(hosts),
            context,
            count,
            pause_s,
        )
    except (OSError, ValueError) as error:
        raise errors.UsageError(f"collect: {error}") from error


@fire.decorators.SetParseFn(str)
def show(samples: str, config: str = "", form: str = "text", out: str = "") -> None:
    """Report on the samples.

    Parameters
    ----------
    samples : str
        Path of the sample file.
    config : str
        Path of an INI file with windows, alerts, and objectives.
    form : str
        ``text``, ``json``, or ``html``.
    out : str
        Path of the file to write; standard output if empty.
    """
    chosen = load_settings(config)
    loaded = burnsamples.read(pathlib.Path(samples))
    if isinstance(loaded, result.Failure):
        raise errors.UsageError(loaded.failure())
    try:
        told = burnrates.history(loaded.unwrap())
        text = FORMATS.get(form)(burnrates.report(told, chosen), chosen)
        if out:
            pathlib.Path(out).write_text(text, encoding="utf-8")
        else:
            print(text, end="")
    except (KeyError, OSError) as error:
        raise errors.UsageError(f"show: {error.args[-1]}") from error


def main() -> None:
    """Entry point of `basilgate-report`; wrong usage ends with status 2."""
    try:
        fire.Fire({"collect": collect, "show": show}, name="basilgate-report")
    except errors.UsageError as error:
        print(error, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
