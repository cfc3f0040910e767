"""Settings of a balancer, read from an INI file and checked at start."""

import configparser
import functools
import ipaddress
import pathlib
import typing

import pydantic
from returns import result


def check_address(value: str) -> str:
    """Return an ``ip:port`` string unchanged if it is well formed."""
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
    """Return host and port of an ``ip:port`` string."""
    host, _, port = value.rpartition(":")
    return host.strip("[]"), int(port)


class Section(pydantic.BaseModel):
    """Common rules of all sections: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class HostSection(Section):
    """``[host]``: who this host is."""

    name: str = pydantic.Field(min_length=1, max_length=64)
    failure_domain: str = pydantic.Field(min_length=1, max_length=64)
    region: str = "default"


class ListenSection(Section):
    """``[listen]``: addresses of this host.

    `callers` takes frames from the fabric (UDP), `peers` takes messages from
    other balancers (UDP and TCP), `admin` serves HTTP.
    """

    callers: Address
    peers: Address
    admin: Address


class PlatformSection(Section):
    """``[platform]``: the object API."""

    url: pydantic.HttpUrl
    # Calls a second that this host may make, a waiting watch counted once. A watch
    # that stalls is noticed 6 s after its waiting time, within the 15 s in which an
    # accepted change has to be in force.
    call_budget: float = pydantic.Field(default=2.0, gt=0)
    timeout_s: float = pydantic.Field(default=2.0, gt=0)
    watch_timeout_s: float = pydantic.Field(default=8.0, gt=0)


class PeersSection(Section):
    """``[peers]``: the other balancers.

    `secret` authenticates control messages and is the same on all hosts, in
    hexadecimal. `seeds` are addresses of peers that give the configuration
    while the platform is down.
    """

    secret: str = pydantic.Field(pattern=r"^([0-9a-f]{2}){16,64}$", repr=False)
    seeds: tuple[Address, ...] = ()

    @pydantic.field_validator("seeds", mode="before")
    @classmethod
    def split_list(cls, value: typing.Any) -> typing.Any:
        """Accept a comma-separated list."""
        if isinstance(value, str):
            return [item.strip() for item in value.split(",") if item.strip()]
        return value


class PoliciesSection(Section):
    """``[policies]``: names of registered policies."""

    placement: str = "exact"
    queueing: str = "classed_edf"
    admission: str = "adaptive"
    spill: str = "load_transfer"


class LimitsSection(Section):
    """``[limits]``: bounds on what this host holds."""

    answer_buffer_bytes: int = pydantic.Field(default=256 * 1024 * 1024, gt=0)
    max_answer_bytes: int = pydantic.Field(default=64 * 1024 * 1024, gt=0)
    # No request is admitted with a later deadline, which bounds a planned stop.
    max_deadline_s: float = pydantic.Field(default=60.0, gt=0)
    token_lifetime_s: int = pydantic.Field(default=86_400, gt=0)
    flow_idle_s: float = pydantic.Field(default=120.0, gt=0)
    # Retries for each request of a service, seen from one host.
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=0.1)
    # Whom the share of a queue counts for.
    caller_identity: typing.Literal["address", "flow"] = "address"


class TlsSection(Section):
    """``[tls]``: PEM files for TLS with certificates on both sides.

    It applies to the TCP calls between balancers and to the admin interface.
    Without this section both are plain TCP.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    ca: pathlib.Path

    @pydantic.field_validator("certificate", "key", "ca")
    @classmethod
    def check_file(cls, value: pathlib.Path) -> pathlib.Path:
        """Accept files that can be read."""
        try:
            value.read_bytes()
        except OSError as error:
            raise ValueError(f"cannot read {value}: {error.strerror}") from error
        return value


class LoggingSection(Section):
    """``[logging]``: what is logged."""

    level: typing.Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


class Settings(Section):
    """All settings of a balancer."""

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
    place = [str(part) for part in problem["loc"]]
    section = f"[{place[0]}]" if place else "settings"
    key = f" {place[1]}" if len(place) > 1 else ""
    message = problem["msg"]
    if problem["type"] == "missing":
        message = "is missing"
    elif problem["type"] == "extra_forbidden":
        message = "is not a known setting"
    return f"{section}{key}: {message}"


def parse(text: str) -> result.Result[Settings, str]:
    """Return the settings in an INI text, or one line that says what is wrong."""
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
    """Return the text of a settings file, or one line that says what is wrong."""
    try:
        return result.Success(path.read_text(encoding="utf-8"))
    except OSError as error:
        return result.Failure(f"cannot read settings: {error.strerror}")
    except UnicodeDecodeError:
        return result.Failure("cannot read settings: not UTF-8 text")


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Return the settings in an INI file, or one line that says what is wrong."""
    return read(path).bind(parse)
