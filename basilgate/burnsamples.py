"""Collection of samples for the burn report, and the sample file.

Each line of the file is one record as a JSON object: a scrape of a balancer's
metrics, a failed scrape, or the objectives read from the platform.
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
# Stands in place of a work class for the opening of flows.
OPEN_CLASS = "open"
START_TIME_METRIC = "basilgate_start_time_seconds"

# Service, work class, and outcome with its reason, such as ``refused:queue_full``.
OutcomeKey = tuple[str, str, str]
# Service, work class, and upper bound of a histogram bucket in seconds.
BucketKey = tuple[str, str, float]


class RecordBase(pydantic.BaseModel):
    """Base class of the records in a sample file; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    # Unix time of the scrape, or of reading the objectives.
    time_s: float


class Scrape(RecordBase):
    """Request counters of one balancer, counted since its start."""

    kind: typing.Literal["scrape"] = "scrape"
    host: str
    # Unix time at which the balancer started; 0 if the metrics lack it.
    started_s: float
    outcomes: tuple[tuple[OutcomeKey, float], ...]
    # Each bucket also includes the answers of the smaller ones.
    buckets: tuple[tuple[BucketKey, float], ...]


class FailedScrape(RecordBase):
    """Failed attempt to read a balancer's metrics."""

    kind: typing.Literal["silence"] = "silence"
    host: str
    # Error message, or the name of the exception if it has no message.
    problem: str


class Objective(pydantic.BaseModel):
    """Service-level objective of one service."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    # Share of requests that must be good, such as 0.999.
    availability: float = pydantic.Field(gt=0, lt=1)
    # Slowest answer that counts as good, in milliseconds.
    latency_ms: float = pydantic.Field(gt=0)


class Objectives(RecordBase):
    """Objectives of all services, from the sheet in force on the platform."""

    kind: typing.Literal["objectives"] = "objectives"
    services: dict[str, Objective]


Record = Scrape | FailedScrape | Objectives
RECORD_ADAPTER: pydantic.TypeAdapter[Record] = pydantic.TypeAdapter(
    typing.Annotated[Record, pydantic.Field(discriminator="kind")]
)


def parse_scrape(host: str, time_s: float, text: str) -> Scrape:
    """Return the request counters in a balancer's metrics page.

    Parameters
    ----------
    host : str
        Name of the balancer's host.
    time_s : float
        Unix time at which the metrics were read.
    text : str
        Metrics in the Prometheus text format; missing metrics count as absent.
    """
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
    """Return the outcome of opening a flow in the form of a request's outcome.

    ``opened`` becomes ``answered``; any other outcome is the reason of a refusal.
    """
    outcome = labels.get("outcome", "")
    return "answered" if outcome == "opened" else f"refused:{outcome}"


async def scrape(
    client: httpx.AsyncClient, host: str, address: str
) -> Scrape | FailedScrape:
    """Read the metrics of one balancer, whose admin URL is `address`."""
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
    """Read the metrics of all balancers; return one record for each, sorted by host.

    At most `MAX_CONCURRENT_SCRAPES` balancers are read at a time.

    Parameters
    ----------
    hosts : mapping
        Admin address of each host, as ``ip:port`` or as a URL.
    tls : ssl.SSLContext or None
        Client certificate and CA for balancers that serve TLS; None selects HTTP
        for addresses without a scheme.
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
    """Return the admin addresses by host, and the objectives in the sheet.

    The addresses come from the platform's views, which list the balancers. If the
    platform cannot be read, the failure is a one-line message.
    """
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
    """Append records to a sample file, which is created if it does not exist.

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
    """Return the records of a sample file, sorted by time.

    A last line without a newline is ignored, since the collector was stopped while
    writing it. Any other malformed line is a failure whose message has the number of
    the line.
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
