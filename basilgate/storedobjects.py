"""Models of the objects that the platform keeps."""

import collections.abc
import dataclasses
import datetime
import hashlib
import json
import typing

import pydantic
from returns import result

from basilgate import settings

MAX_OBJECT_BYTES = 1_000_000
# Bounds on what a balancer takes over, as JSON text. The largest view at the
# capacity goal has about 16 KB.
MAX_PART_BYTES = 256_000
MAX_OTHER_BYTES = 128_000

SHEET = "sheet"
SHEET_PART_PREFIX = "sheet-part/"
OVERRIDE_PREFIX = "override/"
VIEW_PREFIX = "view/"
KEY_PREFIX = "key/"

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]


class Model(pydantic.BaseModel):
    """Common rules of all objects."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Written(Model):
    """An object written by conditional update.

    `operation` identifies the write, so that a writer whose answer was lost
    recognises its own write on reading back.
    """

    operation: str = ""


class SheetDomain(Model):
    """A failure domain and its number in tokens."""

    name: Name
    number: int = pydantic.Field(ge=1, le=255)
    region: str = "default"


class SharedFieldsModel(Model):
    """Model of which a sheet holds thousands.

    Each instance has a set of the fields that were given, 0.7 KB for ten fields.
    Instances with the same fields share one, since they never change.
    """

    given_fields: typing.ClassVar[dict[frozenset[str], set[str]]] = {}

    @pydantic.model_validator(mode="after")
    def share_given_fields(self) -> typing.Self:
        """Replace the instance's set by the shared one."""
        given = self.model_fields_set
        shared = SharedFieldsModel.given_fields.setdefault(frozenset(given), given)
        object.__setattr__(self, "__pydantic_fields_set__", shared)
        return self


class SheetService(SharedFieldsModel):
    """What one service should have on the day of the sheet."""

    name: Name
    id: int = pydantic.Field(ge=1, le=0xFFFFFFFF)
    address: str = ""
    work_class: typing.Literal["short", "long", "learned"] = "learned"
    queue_limit: int = pydantic.Field(default=64, ge=1, le=100_000)
    # Objectives: share of requests answered, and the latency bound they meet.
    availability: float = pydantic.Field(default=0.999, gt=0, lt=1)
    latency_ms: float = pydantic.Field(default=1_000.0, gt=0)


class SheetTarget(SharedFieldsModel):
    """A target of one service."""

    name: Name
    id: int = pydantic.Field(ge=1, le=0x7FFFFFFF)
    service: Name
    failure_domain: Name
    address: settings.Address
    admin: settings.Address
    slots: int = pydantic.Field(default=3, ge=1, le=1_000)
    connections: int = pydantic.Field(default=2_000, ge=1, le=10_000_000)
    weight: int = pydantic.Field(default=100, ge=0, le=10_000)
    state: typing.Literal["active", "drain"] = "active"


class SheetPart(Written):
    """Immutable part of a sheet."""

    domains: tuple[SheetDomain, ...] = ()
    services: tuple[SheetService, ...] = ()
    targets: tuple[SheetTarget, ...] = ()


class Sheet(Written):
    """Manifest of the sheet in force; names its parts."""

    date: datetime.date
    planner: str = ""
    applied_by: str = ""
    applied_at: datetime.datetime
    parts: tuple[str, ...]


class Override(Written):
    """Standing override of one target by an operator."""

    id: Name
    kind: typing.Literal["pin", "pull", "weight", "drain"]
    service: Name
    target: Name
    weight: int | None = pydantic.Field(default=None, ge=0, le=10_000)
    operator: str = pydantic.Field(min_length=1)
    reason: str = ""
    created_at: datetime.datetime
    expires_at: datetime.datetime | None = None


class Member(Model):
    """A balancer in a domain view; `incarnation` is its start in Unix ns."""

    host: Name
    incarnation: int
    callers: settings.Address
    peers: settings.Address
    admin: settings.Address


class View(Written):
    """Members of one failure domain."""

    domain: Name
    epoch: int = pydantic.Field(ge=1)
    members: tuple[Member, ...]


class Key(Written):
    """Key of placement tokens, in hexadecimal."""

    id: int = pydantic.Field(ge=0, le=255)
    secret: str = pydantic.Field(pattern=r"^([0-9a-f]{2}){16,64}$", repr=False)
    created_by: str = ""
    created_at: datetime.datetime | None = None


MODELS: tuple[tuple[str, type[Written]], ...] = (
    (SHEET_PART_PREFIX, SheetPart),
    (OVERRIDE_PREFIX, Override),
    (VIEW_PREFIX, View),
    (KEY_PREFIX, Key),
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the platform holds it; `value` is None once removed."""

    name: str
    version: int
    revision: int
    value: collections.abc.Mapping[str, typing.Any] | None


def canonical_json(value: collections.abc.Mapping[str, typing.Any]) -> str:
    """Return an object's content as JSON text, without the operation id."""
    content = {key: part for key, part in value.items() if key != "operation"}
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def content_address(value: collections.abc.Mapping[str, typing.Any]) -> str:
    """Return the name of a sheet part by its content, without the prefix."""
    return hashlib.sha256(canonical_json(value).encode()).hexdigest()


def is_part(name: str) -> bool:
    """Tell whether an object is a sheet part, which never changes."""
    return name.startswith(SHEET_PART_PREFIX)


def check_content(
    name: str, value: collections.abc.Mapping[str, typing.Any]
) -> str | None:
    """Return what is wrong with an object's size or content address."""
    text = canonical_json(value)
    bound = MAX_PART_BYTES if is_part(name) else MAX_OTHER_BYTES
    if len(text) > bound:
        return f"{name}: {len(text)} bytes, more than {bound}"
    if is_part(name):
        digest = hashlib.sha256(text.encode()).hexdigest()
        if name != SHEET_PART_PREFIX + digest:
            return f"{name}: content does not match the name"
    return None


def model_for(name: str) -> type[Written] | None:
    """Return the model of the object called `name`, None if it is not ours."""
    if name == SHEET:
        return Sheet
    for prefix, model in MODELS:
        if name.startswith(prefix):
            return model
    return None


def parse(
    name: str, value: collections.abc.Mapping[str, typing.Any]
) -> result.Result[Written, str]:
    """Return the validated object, or one line that says what is wrong."""
    model = model_for(name)
    if model is None:
        return result.Failure(f"{name}: unknown kind of object")
    problem_found = check_content(name, value)
    if problem_found is not None:
        return result.Failure(problem_found)
    try:
        return result.Success(model.model_validate(value))
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        place = ".".join(str(part) for part in problem["loc"])
        return result.Failure(f"{name}: {place}: {problem['msg']}")
