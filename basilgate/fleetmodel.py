"""Types of the packet path: packets, routes, targets, overrides, and settings."""

import collections.abc
import re
import socket
import typing

import msgspec

from platformedge import bounds

Address = tuple[str, int]  # IPv4 address as text, and port.
# Era, if there is one, and revision, each with as many digits as it may have.
POSITION = re.compile(r"(?:([0-9]{1,9})\.)?([0-9]{1,19})")


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and nothing else.

    Any other text would be resolved as a host name, which blocks, or raise an error
    that is no `OSError`.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


class Position(typing.NamedTuple):
    """Point in the history of the platform's store; later ones compare greater.

    Attributes
    ----------
    era : int
        Number that rises each time the store comes back from a copy of its data, which
        makes it give out revisions a second time; 0 if the store names no era.
    revision : int
        Number of the last change up to this point, counted by the store.
    """

    era: bounds.Era
    revision: bounds.Revision

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}" if self.era else str(self.revision)

    @classmethod
    def parse(cls, text: str) -> "Position | None":
        """Return the position that `str` shows like this, None if there is none."""
        form = POSITION.fullmatch(text)
        return cls(int(form[1] or "0"), int(form[2])) if form else None


class Packet(msgspec.Struct, gc=False):
    """One packet of a caller, with the header fields that decide how it is routed.

    Attributes
    ----------
    datagram : bytes
        The whole packet as received.
    flow : bytes
        Identifies the flow: addresses and ports of the caller and of the service.
    route : bytes
        Identifies the route: address and port of the service.
    opening : bool
        Whether the packet opens a flow.
    accepting : bool
        Whether the packet accepts a flow, which only targets do.
    closing : bool
        Whether the sender has nothing more to send.
    resetting : bool
        Whether the packet resets its flow.
    copy : int
        Number of earlier copies of an opening packet; 0 for any other packet.
    token : int
        Token of the flow's target, which the caller returns; 0 before it has one.
    sequence : int
        Position of the packet's data in the caller's byte stream.
    acknowledged : int
        Position up to which the caller has received the target's byte stream. In an
        opening packet this header field holds the number of earlier copies, so the
        value equals `copy`.
    data_bytes : int
        Size of the data that follows the header.
    """

    datagram: bytes
    flow: bytes
    route: bytes
    opening: bool
    accepting: bool
    closing: bool
    resetting: bool
    copy: int
    token: int
    sequence: int
    acknowledged: int
    data_bytes: int


class Route(msgspec.Struct, frozen=True, gc=False):
    """Services that get the new flows to one address.

    Attributes
    ----------
    name : str
        Name of the route in the configuration.
    key : bytes
        Address and port as in `Packet.route`.
    split : tuple of (str, float)
        Services with the weights in proportion to which they get new flows.
    priority : int
        Rank of the route's requests where targets are short; 0 is the highest.
    latency_objective_s, timeout_s : float
        Time within which requests are to be answered, and after which their callers
        give up, in seconds; 0 if unknown.
    """

    name: str
    key: bytes
    split: tuple[tuple[str, float], ...]
    priority: int = 0
    latency_objective_s: float = 0.0
    timeout_s: float = 0.0


class Service(msgspec.Struct, frozen=True, gc=False):
    """What the configuration says of a service's targets.

    Attributes
    ----------
    name : str
        Name of the service.
    flow_limit : int or None
        Number of flows that each target holds at most, None if unknown.
    cold_start_s : float
        Time in seconds for which a target is slow after its start; 0 if unknown.
    cold_rate_per_s : float or None
        Requests that a cold target bears in a second, None if unknown.
    """

    name: str
    flow_limit: int | None = None
    cold_start_s: float = 0.0
    cold_rate_per_s: float | None = None


class Configuration(msgspec.Struct, frozen=True, gc=False):
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Number of the version; a higher one is newer.
    routes : mapping of bytes to Route
        Routes by `Route.key`.
    idle_timeout_s : float
        Time without a packet in seconds after which a flow is removed.
    services : mapping of str to Service
        Services by name; one that the configuration does not describe is missing.
    """

    version: int
    routes: collections.abc.Mapping[bytes, Route]
    idle_timeout_s: float
    services: collections.abc.Mapping[str, Service] = {}


class Target(msgspec.Struct, frozen=True, gc=False):
    """One run of a target, from its start to its end, as its store entry describes it.

    Attributes
    ----------
    name : str
        Name of the entry in the store.
    number : int
        64-bit number that each datagram to the target starts with; other targets drop
        such a datagram.
    token : int
        Upper and lower 32 bits of the number combined by exclusive or, 1 instead of
        0; callers return it in their packets.
    service : str
        Service that the target serves.
    address : Address
        Where the target receives datagrams, and connection probes over TCP.
    domain : str
        Failure domain of the target.
    slots : int
        Number of requests that the target can run at the same time.
    leaving : bool
        Whether the target is to get no new flows because it will stop.
    cold_s : float
        Remaining time in seconds, as of the target's report, for which it is slow after
        its start; 0 if it is not slow.
    started_ms : int
        Unix time of the target's start in milliseconds.
    """

    name: str
    number: int
    token: int
    service: str
    address: Address
    domain: str
    slots: int
    leaving: bool
    cold_s: float
    started_ms: int


class Override(msgspec.Struct, frozen=True, gc=False):
    """An operator's override of how one target gets new flows.

    Attributes
    ----------
    name : str
        Name of the override in the store.
    kind : str
        One of ``pin``, ``pull``, ``weight``, and ``drain``.
    service, target : str
        Service and name of the target.
    weight : int or None
        Weight of the target in a ``weight`` override, None in the others.
    expires_at_s : float or None
        Unix time in seconds at which the override ends, None if it does not expire.
    released : bool
        Whether an operator has released the override, so that it has no effect.
    """

    name: str
    kind: str
    service: str
    target: str
    weight: int | None
    expires_at_s: float | None
    released: bool = False


class HostSettings(msgspec.Struct, frozen=True, gc=False):
    """Validated settings of one entry host.

    Attributes
    ----------
    name : str
        Name of the host.
    domain : str
        Failure domain of the host.
    own_ip : str
        Address for the traffic with peers and for the metrics page.
    listen : Address
        Where the host receives the packets of callers.
    readiness : Address
        Where the host serves the readiness page.
    store : Address
        Address of the platform's store.
    peer_ports : tuple of (int, int)
        First and last port of the range for traffic between entry hosts.
    seeds : tuple of str
        Addresses at which to look for peers; some may be out of date.
    grace_s : float
        Time in seconds between SIGTERM and the forced end of the process.
    flow_age_limit_s : float
        Longest life of a flow in seconds.
    has_evacuations : bool
        Whether operators may evacuate failure domains, and the rate of new flows to
        cold targets is limited.
    cold_rate_factor, cold_rate_slack : float or None
        A cold target gets at most its rate times the factor plus the slack new flows
        in any second; None if unknown.
    heartbeat_s : float
        Interval in seconds at which targets report to the store.
    """

    name: str
    domain: str
    own_ip: str
    listen: Address
    readiness: Address
    store: Address
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    grace_s: float
    flow_age_limit_s: float
    has_evacuations: bool = False
    cold_rate_factor: float | None = None
    cold_rate_slack: float | None = None
    heartbeat_s: float = 1.2
