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
MAX_CONCURRENT_SCRAPES = 16
OPEN_CLASS = "open"
START_TIME_METRIC = "basilgate_start_time_seconds"

# Service, work class, and outcome.
OutcomeKey = tuple[str, str, str]
# Service, work class, and upper bound of a histogram bucket in seconds.
BucketKey = tuple[str, str, float]


class RecordBase(pydantic.BaseModel):
    """Common rules of the lines in a sample file; `time_s` is Unix time."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    time_s: float


class Scrape(RecordBase):
    """Counters of one balancer at one time.

    `outcomes` and `buckets` are lists of keys and cumulative counts; buckets are
    cumulative over their bounds as well.
    """

    kind: typing.Literal["scrape"] = "scrape"
    host: str
    started_s: float
    outcomes: tuple[tuple[OutcomeKey, float], ...]
    buckets: tuple[tuple[BucketKey, float], ...]


class FailedScrape(RecordBase):
    """A balancer that did not answer."""

    kind: typing.Literal["silence"] = "silence"
    host: str
    problem: str


class Objective(pydantic.BaseModel):
    """Objective of a service: share of good requests, and their latency bound."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    availability: float = pydantic.Field(gt=0, lt=1)
    latency_ms: float = pydantic.Field(gt=0)


class Objectives(RecordBase):
    """Objectives of the sheet in force, by service."""

    kind: typing.Literal["objectives"] = "objectives"
    services: dict[str, Objective]


Record = Scrape | FailedScrape | Objectives
RECORD_ADAPTER: pydantic.TypeAdapter[Record] = pydantic.TypeAdapter(
    typing.Annotated[Record, pydantic.Field(discriminator="kind")]
)


def parse_scrape(host: str, time_s: float, text: str) -> Scrape:
    """Return the scrape in a balancer's metrics."""
    outcomes: dict[OutcomeKey, float] = {}
    buckets: dict[BucketKey, float] = {}
    started_s = 0.0
    for sample in exposition.parse(text):
        labels = sample.labels
        service = labels.get("service", "")
        work_class = labels.get("work_class", "")
        if sample.name == START_TIME_METRIC:
            started_s = sample.value
        elif sample.name == "basilgate_requests_total":
            outcomes[(service, work_class, labels.get("outcome", ""))] = sample.value
        elif sample.name == "basilgate_opens_total":
            outcomes[(service, OPEN_CLASS, request_outcome(labels))] = sample.value
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


def request_outcome(labels: collections.abc.Mapping[str, str]) -> str:
    """Return the outcome of an open in the words of a request's outcome."""
    outcome = labels.get("outcome", "")
    return "answered" if outcome == "opened" else f"refused:{outcome}"


async def scrape(
    client: httpx.AsyncClient, host: str, address: str
) -> Scrape | FailedScrape:
    """Read the metrics of one balancer."""
    time_s = time.time()
    try:
        response = await client.get(f"{address}/metrics")
        response.raise_for_status()
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        problem = str(error) or type(error).__name__
        return FailedScrape(time_s=time_s, host=host, problem=problem)
    return parse_scrape(host, time_s, response.text)


async def scrape_all(
    hosts: collections.abc.Mapping[str, str], tls: ssl.SSLContext | None = None
) -> list[Scrape | FailedScrape]:
    """Read the metrics of all balancers, at most `MAX_CONCURRENT_SCRAPES` at a time.

    Parameters
    ----------
    hosts : mapping
        Admin address of each host, as ``ip:port`` or as a URL.
    tls : ssl.SSLContext or None
        Certificate and CA for balancers that serve TLS.
    """
    records: list[Scrape | FailedScrape] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_SCRAPES)
    scheme = "https" if tls is not None else "http"
    async with httpx.AsyncClient(
        timeout=SCRAPE_TIMEOUT_S,
        trust_env=False,
        verify=tls if tls is not None else False,
    ) as client:

        async def scrape_host(host: str, address: str) -> None:
            url = address if "://" in address else f"{scheme}://{address}"
            async with limiter:
                records.append(await scrape(client, host, url))

        async with anyio.create_task_group() as tasks:
            for host, address in hosts.items():
                tasks.start_soon(scrape_host, host, address)
    return sorted(records, key=lambda record: record.host)


async def read_platform(
    url: str,
) -> result.Result[tuple[dict[str, str], Objectives], str]:
    """Return the admin address of each balancer, and the sheet's objectives."""
    async with platformapi.PlatformClient(url) as platform:
        listing = await platform.list()
    if isinstance(listing, result.Failure):
        problem = listing.failure()
        return result.Failure(f"platform: {problem.kind.value} {problem.detail}")
    store = replica.Replica()
    store.apply_all(listing.unwrap().objects)
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
        for sheet_part in store.sheet_parts()
        for service in sheet_part.services
    }
    return result.Success((hosts, Objectives(time_s=time.time(), services=services)))


def append(path: pathlib.Path, records: collections.abc.Iterable[Record]) -> None:
    """Add records to a sample file.

    Raises
    ------
    OSError
        If the file cannot be written.
    """
    text = "".join(
        RECORD_ADAPTER.dump_json(record).decode() + "\n" for record in records
    )
    with path.open("a", encoding="utf-8") as file:
        file.write(text)


def read(path: pathlib.Path) -> result.Result[list[Record], str]:
    """Return the records of a sample file in the order of time.

    A last line without its end is left out: the collector was stopped while it
    wrote. Any other malformed line is an error with its number.
    """
    try:
        lines = path.read_text(encoding="utf-8").split("\n")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(f"cannot read samples: {error}")
    records = []
    for number, line in enumerate(lines[:-1], start=1):
        try:
            records.append(RECORD_ADAPTER.validate_json(line))
        except pydantic.ValidationError as error:
            return result.Failure(f"{path}:{number}: {error.errors()[0]['msg']}")
    return result.Success(sorted(records, key=lambda record: record.time_s))
