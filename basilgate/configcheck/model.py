"""A configuration that is to be checked, and what it is checked against."""

import collections.abc
import dataclasses
import enum
import typing

from basilgate import fleetmodel


class Severity(enum.Enum):
    """Effect of a finding.

    ERROR: hosts do not accept the configuration, or flows fail with it. WARNING: a part
    of the configuration has no effect, or another one than its author may expect.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(slots=True)
class Entry:
    """Part of a configuration that findings refer to.

    Attributes
    ----------
    place : str
        Position in the file, such as ``routes[3]``.
    stated : dict
        Fields of the entry as the file states them, by their names in the file.
    field_names : mapping of str to str
        Names in the file, by the names of the attributes here.
    name : str or None
        Name of the entry, None if it has no readable one.
    """

    place: str
    stated: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    field_names: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    name: str | None = None

    @property
    def title(self) -> str:
        """Position and name, for messages; characters beyond ASCII are escaped."""
        return self.place if self.name is None else f"{self.place} {self.name!a}"

    def is_unreadable(self, attribute: str) -> bool:
        """Return whether the file states an attribute that could not be decoded."""
        is_stated = self.field_names.get(attribute) in self.stated
        return is_stated and getattr(self, attribute) is None


@dataclasses.dataclass(slots=True)
class DraftMember(Entry):
    """Service that gets a share of a route's flows; None for unreadable fields."""

    service: str | None = None
    weight: float | None = None


@dataclasses.dataclass(slots=True)
class DraftRoute(Entry):
    """Route; a field is None if it is missing or unreadable.

    Attributes
    ----------
    address : str or None
        IPv4 address.
    port : int or None
        Port of the address.
    kind : str or None
        Kind of the route's requests.
    timeout_s, latency_objective_s : float or None
        As in `fleetmodel.Route`.
    priority : int or None
        Rank of the route's requests; 0 is the highest.
    service : str or None
        Service that the route leads to if it has no split.
    split : list of DraftMember
        Services that the route leads to, if there is a split.
    attempt_limit : int or None
        Number of attempts of a request.
    """

    address: str | None = None
    port: int | None = None
    kind: str | None = None
    timeout_s: float | None = None
    latency_objective_s: float | None = None
    priority: int | None = None
    service: str | None = None
    split: list[DraftMember] = dataclasses.field(default_factory=list)
    attempt_limit: int | None = None

    def named_services(self) -> dict[str, Entry]:
        """Return the services that the route names, with the entry that names each."""
        if self.split:
            return {member.service: member for member in self.split if member.service}
        return {self.service: self} if self.service else {}

    def reached_services(self) -> set[str]:
        """Return the services that get flows of the route; weight 0 gets none."""
        if self.split:
            return {
                member.service
                for member in self.split
                if member.service and member.weight != 0
            }
        return {self.service} if self.service else set()


@dataclasses.dataclass(slots=True)
class DraftService(Entry):
    """Description of a service; a field is None if it is missing or unreadable.

    Attributes
    ----------
    health_path : str or None
        Path of the targets' health page.
    flow_limit, cold_start_s, cold_rate_per_s : int or float or None
        As in `fleetmodel.Service`, but a negative number is kept.
    """

    health_path: str | None = None
    flow_limit: int | None = None
    cold_start_s: float | None = None
    cold_rate_per_s: float | None = None


@dataclasses.dataclass(slots=True)
class DraftLimits(Entry):
    """Limits of the configuration.

    Attributes
    ----------
    idle_timeout_s : float or None
        Time without a packet in seconds after which a flow is removed; the hosts'
        default if the file states none, None if it is unreadable.
    header_timeout_s : float or None
        Time limit for the header of a request in seconds.
    """

    idle_timeout_s: float | None = None
    header_timeout_s: float | None = None


class ProblemKind(enum.Enum):
    """What is wrong with a field; the value is the name of the check."""

    MISSING = "missing"
    MISTYPED = "mistyped"
    OUT_OF_RANGE = "out-of-range"
    REPEATED = "repeated-field"
    UNDECODABLE = "undecodable"


@dataclasses.dataclass(slots=True)
class DecodingProblem:
    """Field that cannot be decoded, under its name in the file; empty for the entry."""

    kind: ProblemKind
    severity: Severity
    entry: Entry
    field: str
    message: str


@dataclasses.dataclass(slots=True)
class Draft(Entry):
    """Configuration with all that could be decoded, and the problems of the rest.

    Attributes
    ----------
    version : int or None
        Number of the version, None if it is missing or unreadable.
    routes, services : list of DraftRoute, list of DraftService
        Entries in the order of the file.
    limits : DraftLimits
        Limits; the defaults of the hosts if the file states none.
    problems : list of DecodingProblem
        Problems in the order in which they were found.
    unknown_fields : list of (Entry, str)
        Fields without a known meaning.
    containers : frozenset of str
        Names in the file of the fields that hold routes, services, and limits.
    """

    version: int | None = None
    routes: list[DraftRoute] = dataclasses.field(default_factory=list)
    services: list[DraftService] = dataclasses.field(default_factory=list)
    limits: DraftLimits = dataclasses.field(default_factory=lambda: DraftLimits(""))
    problems: list[DecodingProblem] = dataclasses.field(default_factory=list)
    unknown_fields: list[tuple[Entry, str]] = dataclasses.field(default_factory=list)
    containers: frozenset[str] = frozenset()

    def plain_fields(self) -> dict[str, typing.Any]:
        """Return the stated fields without those that hold entries of their own."""
        return {k: v for k, v in self.stated.items() if k not in self.containers}


@dataclasses.dataclass(slots=True)
class StoreState:
    """What is in force in the store.

    Attributes
    ----------
    targets : list of fleetmodel.Target
        All readable targets.
    overrides : list of fleetmodel.Override
        Overrides that are neither released nor expired.
    evacuated : set of str
        Failure domains that are evacuated.
    unreadable : list of str
        Why other objects could not be decoded.
    """

    targets: list[fleetmodel.Target] = dataclasses.field(default_factory=list)
    overrides: list[fleetmodel.Override] = dataclasses.field(default_factory=list)
    evacuated: set[str] = dataclasses.field(default_factory=set)
    unreadable: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Situation:
    """All that the checks may look at.

    Attributes
    ----------
    draft : Draft
        Configuration to check.
    in_force : Draft or None
        Version in force, None if there is none or it is not known.
    in_force_problem : str
        Why the version in force cannot be read; empty if it can.
    store : StoreState or None
        Rest of the store's contents, None without `--against store`.
    """

    draft: Draft
    in_force: Draft | None = None
    in_force_problem: str = ""
    store: StoreState | None = None
