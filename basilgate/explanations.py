"""Answers to queries about one host's configuration and its use of targets."""

import collections.abc
import dataclasses
import datetime
import typing

import anyio

from basilgate import (
    effectiveconfig,
    health,
    membership,
    ownedtargets,
    replica,
    storedobjects,
    targetowner,
)


@dataclasses.dataclass(slots=True)
class Observer:
    """State of one host on which the answers to queries are based.

    Attributes
    ----------
    store : replica.Replica
        Objects of the platform that this host has.
    base : effectiveconfig.PreparedSheet
        The sheet in force, without overrides.
    config : effectiveconfig.EffectiveConfig
        The configuration in force.
    members : membership.Membership
        This host and its peers, with the loads that peers reported.
    owned : mapping of int to targetowner.TargetOwner
        Owners of the targets that this host owns, by target id.
    """

    store: replica.Replica
    base: effectiveconfig.PreparedSheet
    config: effectiveconfig.EffectiveConfig
    members: membership.Membership
    owned: collections.abc.Mapping[int, targetowner.TargetOwner]


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target as its owner counts it.

    Attributes
    ----------
    host : str
        Host that owns the target.
    healthy : bool
        Whether the target is not ejected.
    flows : int
        Number of open flows.
    in_flight : int
        Number of requests that run on the target.
    queued : int
        Number of requests that wait for a slot.
    """

    host: str
    healthy: bool
    flows: int
    in_flight: int
    queued: int


def target_loads(observer: Observer) -> dict[int, TargetLoad]:
    """Return the load of each target of the own failure domain, by target id."""
    by_target = {
        reported.target: TargetLoad(
            peer.member.host,
            bool(reported.state & ownedtargets.LOAD_HEALTHY),
            reported.flows,
            reported.in_flight,
            reported.queued,
        )
        for peer in observer.members.peers.values()
        for reported in peer.loads
    }
    for target_id, owner in observer.owned.items():
        by_target[target_id] = TargetLoad(
            observer.members.me.host,
            owner.healthy,
            len(owner.flows),
            len(owner.running),
            len(owner.queue),
        )
    return by_target


def describe_override(
    observer: Observer, override: storedobjects.Override
) -> dict[str, typing.Any]:
    """Return an override together with the version that its removal has to name."""
    stored = observer.store.stored[storedobjects.OVERRIDE_PREFIX + override.id]
    return {
        "version": stored.version,
        **override.model_dump(mode="json", exclude={"operation"}),
    }


def stays_in_use(observer: Observer, target: effectiveconfig.Target) -> bool:
    """Return whether a target is in use in spite of what its health shows.

    This is for targets that the configuration allows new flows. If more than half of
    those of one service in the failure domain look unhealthy, all of them stay in use.
    Otherwise only the healthy ones do.
    """
    loads = target_loads(observer)
    candidates = [
        candidate
        for candidate in observer.config.by_service.get(target.service, [])
        if candidate.admits and candidate.domain == target.domain
    ]
    in_use = health.usable(
        candidates, lambda t: t.id not in loads or loads[t.id].healthy
    )
    return target in in_use


def health_conflicts(
    observer: Observer, target: effectiveconfig.Target, load: TargetLoad | None
) -> list[str]:
    """Return a message if the configuration allows new flows to an unhealthy target.

    Parameters
    ----------
    observer : Observer
        State of this host.
    target : effectiveconfig.Target
        The target with its override applied.
    load : TargetLoad or None
        Load of the target, None if no owner has reported it.

    Returns
    -------
    list of str
        The message, or nothing if configuration and health agree.
    """
    if load is None or load.healthy or not target.admits:
        return []
    if stays_in_use(observer, target):
        return ["more than half of the targets look unhealthy; all stay in use"]
    allowed_by = f"override {target.override}" if target.pinned else "the configuration"
    return [f"{allowed_by} allows new flows, but the target is unhealthy"]


def obstacles(
    observer: Observer,
    target: effectiveconfig.Target,
    planned: effectiveconfig.Target,
    override: storedobjects.Override | None,
    load: TargetLoad | None,
) -> list[str]:
    """Return the reasons why a target gets no new flows, empty if it gets them.

    Parameters
    ----------
    observer : Observer
        State of this host.
    target : effectiveconfig.Target
        The target with its override applied.
    planned : effectiveconfig.Target
        The target as the sheet has it.
    override : storedobjects.Override or None
        The override in force, None without one.
    load : TargetLoad or None
        Load of the target, None if no owner has reported it.
    """
    reasons = []
    if not target.admits:
        if override is not None and (
            override.kind in ("pull", "drain") or override.weight == 0
        ):
            reasons.append(f"override {override.id}: {override.kind}")
        if planned.leaving:
            reasons.append("sheet: state drain")
        if override is None and planned.weight == 0:
            reasons.append("sheet: weight 0")
    unhealthy = load is not None and not load.healthy
    if unhealthy and not (target.admits and stays_in_use(observer, target)):
        reasons.append("health: unhealthy according to its home")
    if load is not None and load.flows >= target.connections:
        reasons.append(f"load: all {target.connections} connections in use")
    return reasons


def explain(
    observer: Observer, service: str, name: str, now: datetime.datetime
) -> dict[str, typing.Any]:
    """Return the answer to the query ``explain``: why a target gets new flows or not.

    Health and load are known only to hosts in the target's failure domain. `home` in
    the answer names the host that owns the target and decides.

    Parameters
    ----------
    observer : Observer
        State of this host.
    service, name : str
        Names of the service and of the target.
    now : datetime.datetime
        Time with which the ends of overrides are compared.
    """
    config = observer.config
    answer: dict[str, typing.Any] = {
        "service": service,
        "target": name,
        "answered_by": observer.members.me.host,
        "sheet_version": observer.store.sheet_version,
    }
    planned = observer.base.sheet_targets.get((service, name))
    target = config.targets.get(planned.id) if planned is not None else None
    if target is None or planned is None:
        service_exists = service in config.service_ids
        unknown = f"target {name}" if service_exists else f"service {service}"
        return {**answer, "found": False, "obstacles": [f"sheet: unknown {unknown}"]}
    overrides = [
        override
        for override in effectiveconfig.overrides_of(observer.store)
        if (override.service, override.target) == (service, name)
    ]
    active = effectiveconfig.active_overrides(overrides, now).get((service, name))
    load = target_loads(observer).get(target.id)
    reasons = obstacles(observer, target, planned, active, load)
    owning_member = observer.members.owner_of(target.id)
    owner = observer.owned.get(target.id)
    in_own_domain = target.domain == observer.members.domain
    return {
        **answer,
        "found": True,
        "failure_domain": target.domain,
        "home": owning_member.host
        if in_own_domain and owning_member is not None
        else None,
        "gets_new_flows": not reasons,
        "obstacles": reasons,
        "weight": target.weight,
        "sheet": {
            "state": "drain" if planned.leaving else "active",
            "weight": planned.weight,
        },
        "override": describe_override(observer, active) if active else None,
        "superseded": [
            describe_override(observer, override)
            for override in overrides
            if override is not active and not has_expired(override, now)
        ],
        "expired": [o.id for o in overrides if has_expired(o, now)],
        "draining": target.leaving,
        "load": dataclasses.asdict(load) if load is not None else None,
        "health": owner.monitor.explain(anyio.current_time()) if owner else None,
        "conflicts": health_conflicts(observer, target, load),
    }


def has_expired(override: storedobjects.Override, now: datetime.datetime) -> bool:
    """Return whether an override has reached its end."""
    return override.expires_at is not None and override.expires_at <= now


def notable_targets(observer: Observer) -> list[dict[str, typing.Any]]:
    """Return the own domain's targets that are drained, overridden, or unhealthy.

    Targets whose load is not known count as healthy.
    """
    loads = target_loads(observer)
    notable = []
    for target in observer.config.by_domain.get(observer.members.domain, []):
        load = loads.get(target.id)
        if not target.leaving and not target.override and (not load or load.healthy):
            continue
        notable.append(
            {
                "service": observer.config.services[target.service].name,
                "target": target.name,
                "leaving": target.leaving,
                "override": target.override,
                "flows": load.flows if load is not None else None,
                "healthy": load.healthy if load is not None else None,
                "conflicts": health_conflicts(observer, target, load),
            }
        )
    return notable


def configuration(
    observer: Observer, names: collections.abc.Iterable[str]
) -> dict[str, typing.Any]:
    """Return which configuration this host has in force.

    Parameters
    ----------
    observer : Observer
        State of this host.
    names : iterable of str
        Names of objects whose versions in force are returned, 0 for an object that
        is not in force.
    """
    store = observer.store
    versions = store.live_versions()
    newest_manifest = store.stored.get(storedobjects.SHEET)
    sheet = store.sheet
    return {
        "complete_revision": store.complete_revision,
        "objects": {name: versions.get(name, 0) for name in names},
        "sheet": {
            "version": store.sheet_version,
            "pending_version": newest_manifest.version
            if newest_manifest is not None
            else 0,
            "missing_parts": len(store.missing_parts()),
            "date": sheet.date.isoformat() if sheet is not None else None,
            "applied_by": sheet.applied_by if sheet is not None else None,
            "applied_at": sheet.applied_at.isoformat() if sheet is not None else None,
        },
        "refused_objects": dict(store.refused),
    }


def directory(store: replica.Replica) -> dict[str, dict[str, str]]:
    """Return failure domain and admin address of every host, by the host's name."""
    return {
        member.host: {"failure_domain": view.domain, "admin": member.admin}
        for view in store.under(storedobjects.VIEW_PREFIX).values()
        if isinstance(view, storedobjects.View)
        for member in view.members
    }
