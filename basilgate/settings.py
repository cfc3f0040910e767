"""Settings of a balancer, read from an INI file and checked at start."""

import configparser
import functools
import ipaddress
import pathlib
import typing

import pydantic
from returns import result


def check_address(value: str) -> str:
    """Return an ``ip:port`` string unchanged if it is well formed.

    Raises
    ------
    ValueError
        If the IP address or the port is missing or invalid.
    """
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("expected ip:port")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65_535:
        raise ValueError("port is outside 0 to 65535")
    return value


Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]


@functools.lru_cache(maxsize=16_384)
def split_address(value: str) -> tuple[str, int]:
    """Return IP address and port of an ``ip:port`` string that is well formed."""
    host, _, port = value.rpartition(":")
    return host.strip("[]"), int(port)


class Section(pydantic.BaseModel):
    """Base of all sections: instances are immutable, and unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class HostSection(Section):
    """Section ``[host]``: identity and location of this host.

    Attributes
    ----------
    name : str
        Name that is unique among all hosts.
    failure_domain : str
        Failure domain in which this host and its targets are.
    region : str
        Region of the failure domain.
    """

    name: str = pydantic.Field(min_length=1, max_length=64)
    failure_domain: str = pydantic.Field(min_length=1, max_length=64)
    region: str = "default"


class ListenSection(Section):
    """Section ``[listen]``: addresses on which this host accepts traffic.

    Attributes
    ----------
    callers : str
        ``ip:port`` for frames from callers (UDP).
    peers : str
        ``ip:port`` for control messages from other balancers (UDP and TCP).
    admin : str
        ``ip:port`` of the HTTP server for status, metrics, and queries.
    """

    callers: Address
    peers: Address
    admin: Address


class PlatformSection(Section):
    """Section ``[platform]``: access to the object API.

    Attributes
    ----------
    url : pydantic.HttpUrl
        Base URL of the object API.
    call_budget : float
        Calls a second that this host may make; a watch counts as one call.
    timeout_s : float
        Time limit of one write in seconds.
    watch_timeout_s : float
        Waiting time of one watch in seconds. A watch without an answer 6 s after the
        end of this time, or `timeout_s` if that is longer, counts as stalled. With the
        defaults this is after 14 s, within the 15 s in which an accepted change has to
        be in force.
    """

    url: pydantic.HttpUrl
    call_budget: float = pydantic.Field(default=2.0, gt=0)
    timeout_s: float = pydantic.Field(default=2.0, gt=0)
    watch_timeout_s: float = pydantic.Field(default=8.0, gt=0)


class PeersSection(Section):
    """Section ``[peers]``: communication with the other balancers.

    Attributes
    ----------
    secret : str
        Key in hexadecimal that authenticates control messages, the same on all
        hosts.
    seeds : tuple of str
        ``ip:port`` of peers from which the configuration is read while the platform
        is down.
    """

    secret: str = pydantic.Field(pattern=r"^([0-9a-f]{2}){16,64}$", repr=False)
    seeds: tuple[Address, ...] = ()

    @pydantic.field_validator("seeds", mode="before")
    @classmethod
    def split_list(cls, value: typing.Any) -> typing.Any:
        """Split a comma-separated string into a list."""
        if isinstance(value, str):
            return [item.strip() for item in value.split(",") if item.strip()]
        return value


class PoliciesSection(Section):
    """Section ``[policies]``: names under which policies are registered.

    Attributes
    ----------
    placement : str
        Policy that chooses the target of a new flow.
    queueing : str
        Policy that chooses the next request of a target's queue.
    admission : str
        Policy that decides whether a request is admitted to a target's queue.
    spill : str
        Policy that shares load between targets and between failure domains.
    """

    placement: str = "exact"
    queueing: str = "classed_edf"
    admission: str = "adaptive"
    spill: str = "load_transfer"


class LimitsSection(Section):
    """Section ``[limits]``: bounds on what this host stores and accepts.

    Attributes
    ----------
    answer_buffer_bytes : int
        Size of all buffered answers together.
    max_answer_bytes : int
        Size of one answer.
    max_deadline_s : float
        Seconds in the future up to which the deadline of a request may lie. It
        bounds the duration of a planned stop.
    token_lifetime_s : int
        Seconds for which a placement token is valid.
    flow_idle_s : float
        Seconds without frames after which a flow expires.
    retry_share : float
        Highest number of retries for each request of a service, counted on one
        host.
    caller_identity : str
        Whether ``address`` or ``flow`` identifies a caller whose share of a queue
        is limited.
    """

    answer_buffer_bytes: int = pydantic.Field(default=256 * 1024 * 1024, gt=0)
    max_answer_bytes: int = pydantic.Field(default=64 * 1024 * 1024, gt=0)
    max_deadline_s: float = pydantic.Field(default=60.0, gt=0)
    token_lifetime_s: int = pydantic.Field(default=86_400, gt=0)
    flow_idle_s: float = pydantic.Field(default=120.0, gt=0)
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=0.1)
    caller_identity: typing.Literal["address", "flow"] = "address"


class TlsSection(Section):
    """Section ``[tls]``: PEM files for TLS with certificates on both sides.

    They are used for TCP calls between balancers and for the admin interface. Without
    this section both are plain TCP.

    Attributes
    ----------
    certificate, key : pathlib.Path
        Certificate of this host and its private key.
    ca : pathlib.Path
        Certificates of the authorities that sign the certificates of the other
        side.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    ca: pathlib.Path

    @pydantic.field_validator("certificate", "key", "ca")
    @classmethod
    def check_file(cls, value: pathlib.Path) -> pathlib.Path:
        """Return the path unchanged if the file can be read.

        Raises
        ------
        ValueError
            If it cannot be read.
        """
        try:
            value.read_bytes()
        except OSError as error:
            raise ValueError(f"cannot read {value}: {error.strerror}") from error
        return value


class LoggingSection(Section):
    """Section ``[logging]``: lowest level of the events that are logged."""

    level: typing.Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


class Settings(Section):
    """All settings of a balancer, one attribute for each section."""

    host: HostSection
    listen: ListenSection
    platform: PlatformSection
    peers: PeersSection
    policies: PoliciesSection = PoliciesSection()
    limits: LimitsSection = LimitsSection()
    tls: TlsSection | None = None
    logging: LoggingSection = LoggingSection()


def describe(error: pydantic.ValidationError) -> str:
    """Return the first problem as one line that names section and key."""
    problem = error.errors()[0]
    location = [str(part) for part in problem["loc"]]
    section = f"[{location[0]}]" if location else "settings"
    key_suffix = f" {location[1]}" if len(location) > 1 else ""
    message = problem["msg"]
    if problem["type"] == "missing":
        message = "is missing"
    elif problem["type"] == "extra_forbidden":
        message = "is not a known setting"
    return f"{section}{key_suffix}: {message}"


def parse(text: str) -> result.Result[Settings, str]:
    """Return the settings in an INI text, or one line that describes the problem."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Failure(" ".join(str(error).split()))
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return result.Success(Settings.model_validate(sections))
    except pydantic.ValidationError as error:
        return result.Failure(describe(error))


def read(path: pathlib.Path) -> result.Result[str, str]:
    """Return the text of a settings file, or one line that describes the problem."""
    try:
        return result.Success(path.read_text(encoding="utf-8"))
    except OSError as error:
        return result.Failure(f"cannot read settings: {error.strerror}")
    except UnicodeDecodeError:
        return result.Failure("cannot read settings: not UTF-8 text")


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Return the settings in an INI file, or one line that describes the problem."""
    return read(path).bind(parse)
