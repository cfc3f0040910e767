"""Configuration in force: the sheet merged with the overrides, equal on all hosts."""

import collections.abc
import dataclasses
import datetime

from basilgate import overriderules, replica, settings, storedobjects

# A new token key verifies tokens at once, but signs them only after this time, so that
# no host gets a token under a key that it does not have: an accepted change is in force
# everywhere within 15 s.
KEY_SIGNING_DELAY = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its objectives.

    Attributes
    ----------
    id : int
        Number that stands for the service in frames and tokens.
    work_class : str
        ``short``, ``long``, or ``learned`` from the duration of requests.
    queue_limit : int
        Largest number of requests that wait in the queue of one target.
    availability : float
        Objective for the share of requests that are answered.
    latency_ms : float
        Longest latency at which an answered request meets the objective.
    """

    name: str
    id: int
    work_class: str
    queue_limit: int
    availability: float
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target with the override in force applied.

    Attributes
    ----------
    service : int
        Id of the service.
    domain : str
        Failure domain of the target.
    address, admin : (str, int)
        IP address and port for requests, and for the health and load endpoints.
    slots : int
        Number of requests that the target runs at a time.
    connections : int
        Largest number of open flows.
    weight : int
        Share of new flows relative to the service's other targets.
    admits : bool
        Whether sheet and override allow new flows; health and load are not
        considered.
    leaving : bool
        Whether the target is being drained, by its state in the sheet or by an
        override; a pin cancels a drain in the sheet.
    pinned : bool
        Whether an override of kind ``pin`` is in force.
    override : str
        Id of the override in force, empty without one.
    """

    name: str
    id: int
    service: int
    domain: str
    address: tuple[str, int]
    admin: tuple[str, int]
    slots: int
    connections: int
    weight: int
    admits: bool
    leaving: bool
    pinned: bool
    override: str = ""


@dataclasses.dataclass(slots=True)
class EffectiveConfig:
    """Services, targets, and failure domains, indexed by id and by name.

    Attributes
    ----------
    services, targets : dict of int to Service or Target
        By id.
    service_ids : dict of str to int
        Ids of the services by name.
    by_service : dict of int to list of Target
        Targets by the id of their service.
    by_domain : dict of str to list of Target
        Targets by the name of their failure domain.
    domain_numbers, domain_names : dict
        Numbers of the failure domains in tokens by name, and the names by number.
    next_expiry_s : float or None
        Unix time of the next end of an override, at which the merge has to be
        repeated; None if no override ends.
    """

    services: dict[int, Service] = dataclasses.field(default_factory=dict)
    service_ids: dict[str, int] = dataclasses.field(default_factory=dict)
    targets: dict[int, Target] = dataclasses.field(default_factory=dict)
    by_service: dict[int, list[Target]] = dataclasses.field(default_factory=dict)
    by_domain: dict[str, list[Target]] = dataclasses.field(default_factory=dict)
    domain_numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    domain_names: dict[int, str] = dataclasses.field(default_factory=dict)
    next_expiry_s: float | None = None


def active_overrides(
    overrides: collections.abc.Iterable[storedobjects.Override], now: datetime.datetime
) -> dict[tuple[str, str], storedobjects.Override]:
    """Return the newest unexpired override of each target.

    Parameters
    ----------
    overrides : iterable of storedobjects.Override
        Overrides in the order in which the platform accepted them, which is the
        same on all hosts whatever the operators' clocks show.
    now : datetime.datetime
        Time with which the ends of the overrides are compared.

    Returns
    -------
    dict of (str, str) to storedobjects.Override
        Overrides by the names of service and target.
    """
    active: dict[tuple[str, str], storedobjects.Override] = {}
    for override in overrides:
        if override.expires_at is None or override.expires_at > now:
            active[(override.service, override.target)] = override
    return active


def target_from_sheet(target: storedobjects.SheetTarget, service: int) -> Target:
    """Return a target of the sheet, without overrides.

    Parameters
    ----------
    target : storedobjects.SheetTarget
        The target in the sheet.
    service : int
        Id of the target's service.
    """
    leaving = target.state == "drain"
    return Target(
        name=target.name,
        id=target.id,
        service=service,
        domain=target.failure_domain,
        address=settings.split_address(target.address),
        admin=settings.split_address(target.admin),
        slots=target.slots,
        connections=target.connections,
        weight=target.weight,
        admits=target.weight > 0 and not leaving,
        leaving=leaving,
        pinned=False,
    )


def merge_target(target: Target, override: storedobjects.Override) -> Target:
    """Return a target of the sheet with its override applied."""
    weight = overriderules.weight_of(override, target.weight)
    return dataclasses.replace(
        target,
        weight=weight,
        admits=overriderules.admits(override.kind, weight, target.leaving),
        leaving=overriderules.is_draining(override.kind, target.leaving),
        pinned=override.kind == "pin",
        override=override.id,
    )


@dataclasses.dataclass(slots=True)
class PreparedSheet:
    """A sheet without overrides, prepared once for many merges.

    Attributes
    ----------
    config : EffectiveConfig
        The configuration that is in force without overrides.
    sheet_targets : dict of (str, str) to Target
        Targets as the sheet has them, by the names of service and target.
    """

    config: EffectiveConfig = dataclasses.field(default_factory=EffectiveConfig)
    sheet_targets: dict[tuple[str, str], Target] = dataclasses.field(
        default_factory=dict
    )


def prepare_sheet(
    parts: collections.abc.Iterable[storedobjects.SheetPart],
) -> PreparedSheet:
    """Return the sheet's configuration without overrides.

    Targets of a service that is not in the sheet are left out.
    """
    base = PreparedSheet()
    config = base.config
    # Targets with the names of their services, whose ids may follow in a later part.
    targets: list[tuple[str, Target]] = []
    for part in parts:
        for domain in part.domains:
            config.domain_numbers[domain.name] = domain.number
            config.domain_names[domain.number] = domain.name
        for service in part.services:
            config.service_ids[service.name] = service.id
            config.services[service.id] = Service(
                service.name,
                service.id,
                service.work_class,
                service.queue_limit,
                service.availability,
                service.latency_ms,
            )
            config.by_service.setdefault(service.id, [])
        targets += [(t.service, target_from_sheet(t, 0)) for t in part.targets]
    for service_name, target in targets:
        service_id = config.service_ids.get(service_name)
        if service_id is None:
            continue
        target_with_id = dataclasses.replace(target, service=service_id)
        base.sheet_targets[(service_name, target.name)] = target_with_id
        config.targets[target_with_id.id] = target_with_id
        config.by_service[service_id].append(target_with_id)
        config.by_domain.setdefault(target_with_id.domain, []).append(target_with_id)
    return base


def merge(
    base: PreparedSheet,
    overrides: collections.abc.Iterable[storedobjects.Override],
    now: datetime.datetime,
) -> EffectiveConfig:
    """Return the configuration in force, which is equal on all hosts.

    Only what overrides affect is built anew. A host merges between requests, and
    building all targets of a large sheet would delay them.

    Parameters
    ----------
    base : PreparedSheet
        The prepared sheet.
    overrides : iterable of storedobjects.Override
        All overrides in the order in which the platform accepted them.
    now : datetime.datetime
        Time with which the ends of the overrides are compared.
    """
    listed = list(overrides)
    expiries = [
        o.expires_at.timestamp() for o in listed if o.expires_at and o.expires_at > now
    ]
    config = dataclasses.replace(
        base.config,
        targets=dict(base.config.targets),
        by_service=dict(base.config.by_service),
        by_domain=dict(base.config.by_domain),
        next_expiry_s=min(expiries, default=None),
    )
    services, domains = set(), set()
    for names, override in active_overrides(listed, now).items():
        target = base.sheet_targets.get(names)
        if target is not None:
            config.targets[target.id] = merge_target(target, override)
            services.add(target.service)
            domains.add(target.domain)
    for service_id in services:
        config.by_service[service_id] = [
            config.targets[t.id] for t in config.by_service[service_id]
        ]
    for domain in domains:
        config.by_domain[domain] = [
            config.targets[t.id] for t in config.by_domain[domain]
        ]
    return config


def overrides_of(store: replica.Replica) -> list[storedobjects.Override]:
    """Return the overrides in a replica, in the order of their acceptance."""
    objects = store.accepted_order(storedobjects.OVERRIDE_PREFIX)
    return [
        override for override in objects if isinstance(override, storedobjects.Override)
    ]


def from_replica(store: replica.Replica, now: datetime.datetime) -> EffectiveConfig:
    """Return the configuration in force according to a replica."""
    return merge(prepare_sheet(store.sheet_parts()), overrides_of(store), now)


def signing_key(
    keys: collections.abc.Sequence[storedobjects.Key], now: datetime.datetime
) -> int | None:
    """Return the id of the key that signs new tokens, None if there is no key.

    This is the newest key that is at least `KEY_SIGNING_DELAY` old or has no time of
    creation, or the oldest key if there is none.

    Parameters
    ----------
    keys : sequence of storedobjects.Key
        The keys in the order in which the platform accepted them.
    now : datetime.datetime
        Time with which the creation of the keys is compared.
    """
    old_enough = [
        key
        for key in keys
        if key.created_at is None or now - key.created_at >= KEY_SIGNING_DELAY
    ]
    if old_enough:
        return old_enough[-1].id
    return keys[0].id if keys else None
