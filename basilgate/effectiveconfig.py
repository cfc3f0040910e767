"""Configuration in force: the sheet and the overrides, merged on every node."""

import collections.abc
import dataclasses
import datetime

from basilgate import overriderules, replica, settings, storedobjects

# A new token key verifies at once and signs after this time, so that no host gets
# a token under a key that it does not have: an accepted change is in force
# everywhere within 15 s.
KEY_SIGNING_DELAY = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its objectives; `latency_ms` bounds a good request."""

    name: str
    id: int
    work_class: str
    queue_limit: int
    availability: float
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target with the overrides applied.

    `weight` is its share of new flows relative to other targets; `admits` tells
    whether configuration allows new flows; `leaving` marks a draining target.
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
    """Services, targets, and failure domains by id and name."""

    services: dict[int, Service] = dataclasses.field(default_factory=dict)
    service_ids: dict[str, int] = dataclasses.field(default_factory=dict)
    targets: dict[int, Target] = dataclasses.field(default_factory=dict)
    by_service: dict[int, list[Target]] = dataclasses.field(default_factory=dict)
    by_domain: dict[str, list[Target]] = dataclasses.field(default_factory=dict)
    domain_numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    domain_names: dict[int, str] = dataclasses.field(default_factory=dict)
    # Unix time at which an override ends and the merge has to be repeated.
    next_expiry_s: float | None = None


def active_overrides(
    overrides: collections.abc.Iterable[storedobjects.Override], now: datetime.datetime
) -> dict[tuple[str, str], storedobjects.Override]:
    """Return the newest override that has not expired, by service and target.

    The overrides come in the order in which the platform accepted them, which is
    the same on every node whatever the operators' clocks say.
    """
    chosen: dict[tuple[str, str], storedobjects.Override] = {}
    for override in overrides:
        if override.expires_at is None or override.expires_at > now:
            chosen[(override.service, override.target)] = override
    return chosen


def target_from_sheet(target: storedobjects.SheetTarget, service: int) -> Target:
    """Return a target as the sheet has it."""
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
class Base:
    """A sheet without overrides, prepared once for many merges."""

    config: EffectiveConfig = dataclasses.field(default_factory=EffectiveConfig)
    sheet_targets: dict[tuple[str, str], Target] = dataclasses.field(
        default_factory=dict
    )


def prepare(parts: collections.abc.Iterable[storedobjects.SheetPart]) -> Base:
    """Return the sheet's configuration without overrides."""
    base = Base()
    config = base.config
    unplaced: list[tuple[str, Target]] = []
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
        unplaced += [(t.service, target_from_sheet(t, 0)) for t in part.targets]
    for service_name, target in unplaced:
        service_id = config.service_ids.get(service_name)
        if service_id is None:
            continue
        placed = dataclasses.replace(target, service=service_id)
        base.sheet_targets[(service_name, target.name)] = placed
        config.targets[placed.id] = placed
        config.by_service[service_id].append(placed)
        config.by_domain.setdefault(placed.domain, []).append(placed)
    return base


def merge(
    base: Base,
    overrides: collections.abc.Iterable[storedobjects.Override],
    now: datetime.datetime,
) -> EffectiveConfig:
    """Return the configuration in force, the same on every node.

    Only what overrides touch is built anew: a host merges between requests, and
    preparing all targets of a large sheet would delay them.

    Parameters
    ----------
    base : Base
        The sheet.
    overrides : iterable of storedobjects.Override
        All overrides in the order of their acceptance.
    now : datetime.datetime
        Time at which overrides are compared with their end.
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
    for place, override in active_overrides(listed, now).items():
        target = base.sheet_targets.get(place)
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
    """Return the overrides of a replica in the order of their acceptance."""
    held = store.accepted_order(storedobjects.OVERRIDE_PREFIX)
    return [value for value in held if isinstance(value, storedobjects.Override)]


def from_replica(store: replica.Replica, now: datetime.datetime) -> EffectiveConfig:
    """Return the configuration in force according to a replica."""
    return merge(prepare(store.sheet_parts()), overrides_of(store), now)


def signing_key(
    keys: collections.abc.Sequence[storedobjects.Key], now: datetime.datetime
) -> int | None:
    """Return the id of the key that signs new tokens, None without a key.

    Parameters
    ----------
    keys : sequence of storedobjects.Key
        The keys in the order of their acceptance.
    now : datetime.datetime
        Current time; a key signs once every host has had time to receive it.
    """
    settled = [
        key
        for key in keys
        if key.created_at is None or now - key.created_at >= KEY_SIGNING_DELAY
    ]
    if settled:
        return settled[-1].id
    return keys[0].id if keys else None
