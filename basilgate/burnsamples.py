"""Samples for the burn report: collection from balancers, and the sample file.

The file holds one JSON object in each line: a scrape of one balancer, a balancer
that did not answer, or the objectives read from the platform.
"""

import collections.abc
import pathlib
import ssl
import time
import typing

import anyio
import httpx
import pydantic
from returns import result

from basilgate import exposition, platformapi, replica, storedobjects

SCRAPE_TIMEOUT_S = 3.0
CONCURRENT_SCRAPES = 16
OPEN_CLASS = "open"
START_TIME = "basilgate_start_time_seconds"

# Service, work class, and outcome.
Outcome = tuple[str, str, str]
# Service, work class, and upper bound of a histogram bucket in seconds.
Bucket = tuple[str, str, float]


class Line(pydantic.BaseModel):
    """Common rules of the lines in a sample file; `time_s` is Unix time."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    time_s: float


class Scrape(Line):
    """Counters of one balancer at one time.

    `outcomes` and `buckets` are lists of keys and cumulative counts; buckets are
    cumulative over their bounds as well.
    """

    kind: typing.Literal["scrape"] = "scrape"
    host: str
    started_s: float
    outcomes: tuple[tuple[Outcome, float], ...]
    buckets: tuple[tuple[Bucket, float], ...]


class Silence(Line):
    """A balancer that did not answer."""

    kind: typing.Literal["silence"] = "silence"
    host: str
    problem: str


class Objective(pydantic.BaseModel):
    """Objective of a service: share of good requests, and their latency bound."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    availability: float = pydantic.Field(gt=0, lt=1)
    latency_ms: float = pydantic.Field(gt=0)


class Objectives(Line):
    """Objectives of the sheet in force, by service."""

    kind: typing.Literal["objectives"] = "objectives"
    services: dict[str, Objective]


Entry = Scrape | Silence | Objectives
ENTRY: pydantic.TypeAdapter[Entry] = pydantic.TypeAdapter(
    typing.Annotated[Entry, pydantic.Field(discriminator="kind")]
)


def from_exposition(host: str, time_s: float, text: str) -> Scrape:
    """Return the scrape in a balancer's metrics."""
    outcomes: dict[Outcome, float] = {}
    buckets: dict[Bucket, float] = {}
    started_s = 0.0
    for sample in exposition.parse(text):
        labels = sample.labels
        service = labels.get("service", "")
        work_class = labels.get("work_class", "")
        if sample.name == START_TIME:
            started_s = sample.value
        elif sample.name == "basilgate_requests_total":
            outcomes[(service, work_class, labels.get("outcome", ""))] = sample.value
        elif sample.name == "basilgate_opens_total":
            outcomes[(service, OPEN_CLASS, open_outcome(labels))] = sample.value
        elif sample.name == "basilgate_request_seconds_bucket":
            bound = float(labels.get("le", "inf"))
            if bound != float("inf"):
                buckets[(service, work_class, bound)] = sample.value
    return Scrape(
        time_s=time_s,
        host=host,
        started_s=started_s,
        outcomes=tuple(sorted(outcomes.items())),
        buckets=tuple(sorted(buckets.items())),
    )


def open_outcome(labels: collections.abc.Mapping[str, str]) -> str:
    """Return the outcome of an open in the words of a request's outcome."""
    outcome = labels.get("outcome", "")
    return "answered" if outcome == "opened" else f"refused:{outcome}"


async def scrape(
    client: httpx.AsyncClient, host: str, address: str
) -> Scrape | Silence:
    """Read the metrics of one balancer."""
    time_s = time.time()
    try:
        response = await client.get(f"{address}/metrics")
        response.raise_for_status()
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        problem = str(error) or type(error).__name__
        return Silence(time_s=time_s, host=host, problem=problem)
    return from_exposition(host, time_s, response.text)


async def scrape_all(
    hosts: collections.abc.Mapping[str, str], tls: ssl.SSLContext | None = None
) -> list[Scrape | Silence]:
    """Read the metrics of all balancers, at most `CONCURRENT_SCRAPES` at a time.

    Parameters
    ----------
    hosts : mapping
        Admin address of each host, as ``ip:port`` or as a URL.
    tls : ssl.SSLContext or None
        Certificate and CA for balancers that serve TLS.
    """
    entries: list[Scrape | Silence] = []
    limit = anyio.CapacityLimiter(CONCURRENT_SCRAPES)
    scheme = "https" if tls is not None else "http"
    async with httpx.AsyncClient(
        timeout=SCRAPE_TIMEOUT_S,
        trust_env=False,
        verify=tls if tls is not None else False,
    ) as client:

        async def read(host: str, address: str) -> None:
            url = address if "://" in address else f"{scheme}://{address}"
            async with limit:
                entries.append(await scrape(client, host, url))

        async with anyio.create_task_group() as tasks:
            for host, address in hosts.items():
                tasks.start_soon(read, host, address)
    return sorted(entries, key=lambda entry: entry.host)


async def read_platform(
    url: str,
) -> result.Result[tuple[dict[str, str], Objectives], str]:
    """Return the admin address of each balancer, and the sheet's objectives."""
    async with platformapi.PlatformClient(url) as platform:
        answer = await platform.list()
    if isinstance(answer, result.Failure):
        problem = answer.failure()
        return result.Failure(f"platform: {problem.kind.value} {problem.detail}")
    store = replica.Replica()
    store.apply_all(answer.unwrap().objects)
    hosts = {
        member.host: member.admin
        for view in store.parsed.values()
        if isinstance(view, storedobjects.View)
        for member in view.members
    }
    services = {
        service.name: Objective(
            availability=service.availability, latency_ms=service.latency_ms
        )
        for part in store.sheet_parts()
        for service in part.services
    }
    return result.Success((hosts, Objectives(time_s=time.time(), services=services)))


def append(path: pathlib.Path, entries: collections.abc.Iterable[Entry]) -> None:
    """Add entries to a sample file.

    Raises
    ------
    OSError
        If the file cannot be written.
    """
    text = "".join(ENTRY.dump_json(entry).decode() + "\n" for entry in entries)
    with path.open("a", encoding="utf-8") as file:
        file.write(text)


def read(path: pathlib.Path) -> result.Result[list[Entry], str]:
    """Return the entries of a sample file in the order of time.

    A last line without its end is left out: the collector was stopped while it
    wrote. Any other malformed line is an error with its number.
    """
    try:
        lines = path.read_text(encoding="utf-8").split("\n")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(f"cannot read samples: {error}")
    entries = []
    for number, line in enumerate(lines[:-1], start=1):
        try:
            entries.append(ENTRY.validate_json(line))
        except pydantic.ValidationError as error:
            return result.Failure(f"{path}:{number}: {error.errors()[0]['msg']}")
    return result.Success(sorted(entries, key=lambda entry: entry.time_s))
