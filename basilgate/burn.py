"""Program `basilgate-report`: reports how services use up their error budgets."""

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
    """Return the report as a self-contained HTML page."""
    # Imported here because matplotlib, which it needs, is an optional dependency and
    # slow to import, and the other formats do not use it.
    from basilgate import burnhtml

    return burnhtml.render(report, config)


def load_settings(path: str) -> burnsettings.BurnSettings:
    """Return the settings in the INI file at `path`, or the defaults if it is empty.

    Raises
    ------
    errors.UsageError
        If the file cannot be read or a setting is invalid; the message names the
        section and key of an invalid setting.
    """
    if not path:
        return burnsettings.BurnSettings()
    loaded = burnsettings.load(pathlib.Path(path))
    if isinstance(loaded, result.Failure):
        raise errors.UsageError(f"{path}: {loaded.failure()}")
    return loaded.unwrap()


def host_addresses(text: str) -> dict[str, str]:
    """Return the address of each host in a list such as ``a=ip:port,b=ip:port``.

    An item without a name, such as ``ip:port``, uses the address as the name.
    """
    addresses = {}
    for item in filter(None, (part.strip() for part in text.split(","))):
        name, separator, address = item.partition("=")
        addresses[name] = address if separator else name
    return addresses


def pem_files(certificate: str, key: str, ca: str) -> settings.TlsSection | None:
    """Return the PEM files to use for TLS, or None if no CA is given.

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
    """Read the platform and all balancers once, and return the records.

    Parameters
    ----------
    platform : str
        URL of the platform; empty to scrape only the given hosts.
    given_hosts : mapping
        Admin addresses from the command line by host, which take precedence over
        those of the platform's views.
    known_hosts : dict
        Admin addresses to scrape by host. It is replaced by the hosts of the
        platform's views and the given hosts, and stays as it is while the platform
        does not answer.
    context : ssl.SSLContext or None
        Client certificate and CA for balancers that serve TLS.

    Raises
    ------
    errors.UsageError
        If the platform does not answer and no host is known.
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
    """Collect samples `rounds` times, and append each round to the sample file.

    Failed scrapes are also reported on standard error.
    """
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
    """Read the balancers' metrics and append them to the sample file.

    Parameters
    ----------
    samples : str
        Path of the sample file; it is created if it does not exist.
    platform : str
        URL of the platform, from whose views the hosts and from whose sheet the
        objectives are read.
    hosts : str
        Admin addresses as ``ip:port`` or ``name=ip:port``, separated by commas.
    rounds : str
        Number of times to collect.
    interval_s : str
        Seconds between rounds.
    certificate, key, ca : str
        Paths of PEM files for balancers that serve TLS; TLS is used if `ca` is given.
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
    """Print or write a report on the samples.

    Parameters
    ----------
    samples : str
        Path of the sample file.
    config : str
        Path of an INI file with windows, alert rules, and objectives; defaults are
        used if empty.
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
    """Run `basilgate-report`; usage errors are printed and exit with status 2."""
    try:
        fire.Fire({"collect": collect, "show": show}, name="basilgate-report")
    except errors.UsageError as error:
        print(error, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
