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

ReportRenderer = collections.abc.Callable[
    [burnrates.Report, burnsettings.BurnSettings], str
]
FORMATS: registry.Registry[ReportRenderer] = registry.Registry("report format")


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
    addresses = {}
    for item in filter(None, (part.strip() for part in text.split(","))):
        name, separator, address = item.partition("=")
        addresses[name] = address if separator else name
    return addresses


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
        first_error = error.errors()[0]
        raise ValueError(f"--{first_error['loc'][0]}: {first_error['msg']}") from error


async def collect_round(
    platform: str,
    given_hosts: collections.abc.Mapping[str, str],
    known_hosts: dict[str, str],
    context: ssl.SSLContext | None,
) -> list[burnsamples.Record]:
    """Return the records of one round.

    `known_hosts` is set to the hosts of the platform's views and the given ones, and
    used in later rounds while the platform does not answer.

    Raises
    ------
    errors.UsageError
        If no host is given and the platform does not answer.
    """
    records: list[burnsamples.Record] = []
    if platform:
        listing = await burnsamples.read_platform(platform)
        if isinstance(listing, result.Success):
            hosts_in_views, objectives = listing.unwrap()
            known_hosts.clear()
            known_hosts.update({**hosts_in_views, **given_hosts})
            records.append(objectives)
        elif known_hosts:
            print(listing.failure(), file=sys.stderr)
        else:
            raise errors.UsageError(listing.failure())
    records += await burnsamples.scrape_all(known_hosts, context)
    return records


async def collect_rounds(
    samples: pathlib.Path,
    platform: str,
    hosts: collections.abc.Mapping[str, str],
    context: ssl.SSLContext | None,
    rounds: int,
    interval_s: float,
) -> None:
    """Collect and append rounds of samples."""
    known_hosts = dict(hosts)
    for round_number in range(rounds):
        if round_number:
            await anyio.sleep(interval_s)
        records = await collect_round(platform, hosts, known_hosts, context)
        await anyio.to_thread.run_sync(burnsamples.append, samples, records)
        for record in records:
            if isinstance(record, burnsamples.FailedScrape):
                print(f"{record.host}: {record.problem}", file=sys.stderr)


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
        round_count, parsed_interval_s = int(rounds), float(interval_s)
        context = tls.calling(pem_files(certificate, key, ca))
        anyio.run(
            collect_rounds,
            pathlib.Path(samples),
            platform,
            host_addresses(hosts),
            context,
            round_count,
            parsed_interval_s,
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
    burn_settings = load_settings(config)
    read_result = burnsamples.read(pathlib.Path(samples))
    if isinstance(read_result, result.Failure):
        raise errors.UsageError(read_result.failure())
    try:
        history = burnrates.build_history(read_result.unwrap())
        text = FORMATS.get(form)(
            burnrates.make_report(history, burn_settings), burn_settings
        )
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
