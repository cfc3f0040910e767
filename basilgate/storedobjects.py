"""Models of the objects in the platform's store, and their validation."""

import collections.abc
import dataclasses
import datetime
import hashlib
import json
import typing

import pydantic
from returns import result

from basilgate import settings

MAX_OBJECT_BYTES = 1_000_000  # Limit of the platform for a write.
# Largest objects that a balancer accepts, as canonical JSON text in bytes. The largest
# view at the capacity goal has about 16 KB.
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
    """Base of all models: instances are immutable, and unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Written(Model):
    """Object of the store that is written by conditional update.

    Attributes
    ----------
    operation : str
        Id of the write. A writer that got no usable answer reads the object back
        and recognises its own write by this id.
    """

    operation: str = ""


class SheetDomain(Model):
    """A failure domain in a sheet.

    Attributes
    ----------
    number : int
        Number that stands for the failure domain in placement tokens.
    """

    name: Name
    number: int = pydantic.Field(ge=1, le=255)
    region: str = "default"


class SharedFieldsModel(Model):
    """Base of the models of which a sheet holds thousands of instances.

    pydantic keeps a set of the given fields in each instance, 0.7 KB for ten fields.
    Here, instances with the same given fields share one set, which is safe because they
    are immutable.

    Attributes
    ----------
    given_fields : dict of frozenset of str to set of str
        The shared sets by their content, for all classes.
    """

    given_fields: typing.ClassVar[dict[frozenset[str], set[str]]] = {}

    @pydantic.model_validator(mode="after")
    def share_given_fields(self) -> typing.Self:
        """Replace the instance's set of given fields by the shared one."""
        given = self.model_fields_set
        shared = SharedFieldsModel.given_fields.setdefault(frozenset(given), given)
        object.__setattr__(self, "__pydantic_fields_set__", shared)
        return self


class SheetService(SharedFieldsModel):
    """A service in a sheet.

    Attributes
    ----------
    work_class : str
        Whether the requests are short or long, or the balancer learns this from
        their duration.
    queue_limit : int
        Largest number of requests that wait in the queue of one target.
    availability : float
        Objective for the share of requests that are answered.
    latency_ms : float
        Objective for the latency within which a request has to be answered.
    """

    name: Name
    id: int = pydantic.Field(ge=1, le=0xFFFFFFFF)
    address: str = ""
    work_class: typing.Literal["short", "long", "learned"] = "learned"
    queue_limit: int = pydantic.Field(default=64, ge=1, le=100_000)
    availability: float = pydantic.Field(default=0.999, gt=0, lt=1)
    latency_ms: float = pydantic.Field(default=1_000.0, gt=0)


class SheetTarget(SharedFieldsModel):
    """A target of one service in a sheet.

    Attributes
    ----------
    id : int
        Number that stands for the target in tokens.
    address, admin : str
        ``ip:port`` for requests and for the health and load endpoints.
    slots : int
        Number of requests that the target runs at a time.
    connections : int
        Largest number of open flows.
    weight : int
        Share of new flows relative to the service's other targets; 0 for none.
    state : str
        ``drain`` if the target gets no new flows and its flows are to end.
    """

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
    """Immutable part of a sheet, named by the hash of its content."""

    domains: tuple[SheetDomain, ...] = ()
    services: tuple[SheetService, ...] = ()
    targets: tuple[SheetTarget, ...] = ()


class Sheet(Written):
    """Manifest of a sheet, which names the parts of its content.

    Attributes
    ----------
    date : datetime.date
        Day for which the sheet was planned.
    planner : str
        Author of the sheet.
    applied_by : str
        Operator who wrote the manifest.
    applied_at : datetime.datetime
        Time at which the manifest was written.
    parts : tuple of str
        Object names of the parts, without the prefix.
    """

    date: datetime.date
    planner: str = ""
    applied_by: str = ""
    applied_at: datetime.datetime
    parts: tuple[str, ...]


class Override(Written):
    """Override of one target by an operator, in force until it ends or is removed.

    Attributes
    ----------
    kind : str
        ``pin`` allows new flows whatever the sheet's state and weight are, ``pull``
        and ``drain`` stop them, and ``weight`` replaces the sheet's weight.
    weight : int or None
        The weight of an override of kind ``weight``.
    expires_at : datetime.datetime or None
        Time at which the override ends, None for never.
    """

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
    """A balancer in the view of a failure domain.

    Attributes
    ----------
    incarnation : int
        Start of the balancer's process in Unix nanoseconds.
    callers, peers, admin : str
        ``ip:port`` for frames of callers, control messages, and HTTP.
    """

    host: Name
    incarnation: int
    callers: settings.Address
    peers: settings.Address
    admin: settings.Address


class View(Written):
    """Members of one failure domain.

    Attributes
    ----------
    epoch : int
        Number of the view, which rises with each change of members.
    """

    domain: Name
    epoch: int = pydantic.Field(ge=1)
    members: tuple[Member, ...]


class Key(Written):
    """Key with which placement tokens are signed and verified.

    Attributes
    ----------
    id : int
        Number of the key, which a token contains.
    secret : str
        The key in hexadecimal.
    created_at : datetime.datetime or None
        Time of creation; None stands for a key that may sign at once.
    """

    id: int = pydantic.Field(ge=0, le=255)
    secret: str = pydantic.Field(pattern=r"^([0-9a-f]{2}){16,64}$", repr=False)
    created_by: str = ""
    created_at: datetime.datetime | None = None


# Models by prefix of the object name; `SHEET` is the only name without one.
MODELS: tuple[tuple[str, type[Written]], ...] = (
    (SHEET_PART_PREFIX, SheetPart),
    (OVERRIDE_PREFIX, Override),
    (VIEW_PREFIX, View),
    (KEY_PREFIX, Key),
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the platform stores it.

    Attributes
    ----------
    version : int
        Number that each write and removal of the object raises by one. Conditional
        writes name the version that they replace.
    revision : int
        Revision of the store at which the object was last written.
    value : mapping or None
        Decoded JSON, None for a tombstone.
    """

    name: str
    version: int
    revision: int
    value: collections.abc.Mapping[str, typing.Any] | None


def canonical_json(value: collections.abc.Mapping[str, typing.Any]) -> str:
    """Return an object's content as JSON text, without the operation id."""
    content = {
        key: field_value for key, field_value in value.items() if key != "operation"
    }
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def content_address(value: collections.abc.Mapping[str, typing.Any]) -> str:
    """Return the hash of a sheet part's content.

    With the prefix for sheet parts, this is the name of the object.
    """
    return hashlib.sha256(canonical_json(value).encode()).hexdigest()


def is_part(name: str) -> bool:
    """Return whether `name` is that of a sheet part, whose content never changes."""
    return name.startswith(SHEET_PART_PREFIX)


def check_content(
    name: str, value: collections.abc.Mapping[str, typing.Any]
) -> str | None:
    """Return what is wrong with an object's size or content address.

    The result is None if both are right.
    """
    text = canonical_json(value)
    limit = MAX_PART_BYTES if is_part(name) else MAX_OTHER_BYTES
    if len(text) > limit:
        return f"{name}: {len(text)} bytes, more than {limit}"
    if is_part(name):
        digest = hashlib.sha256(text.encode()).hexdigest()
        if name != SHEET_PART_PREFIX + digest:
            return f"{name}: content does not match the name"
    return None


def model_for(name: str) -> type[Written] | None:
    """Return the model of the object called `name`, None for an unknown kind."""
    if name == SHEET:
        return Sheet
    for prefix, model in MODELS:
        if name.startswith(prefix):
            return model
    return None


def parse(
    name: str, value: collections.abc.Mapping[str, typing.Any]
) -> result.Result[Written, str]:
    """Return the validated object, or one line that describes the first problem."""
    model = model_for(name)
    if model is None:
        return result.Failure(f"{name}: unknown kind of object")
    try:
        content_problem = check_content(name, value)
        if content_problem is not None:
            return result.Failure(content_problem)
        return result.Success(model.model_validate(value))
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        field = ".".join(str(step) for step in problem["loc"])
        return result.Failure(f"{name}: {field}: {problem['msg']}")
    except RecursionError:
        return result.Failure(f"{name}: nested too deep")
