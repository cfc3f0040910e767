"""Why a target gets or does not get new flows, as one host sees it."""

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
    """What one host knows."""

    store: replica.Replica
    base: effectiveconfig.Base
    config: effectiveconfig.EffectiveConfig
    members: membership.Membership
    own: collections.abc.Mapping[int, targetowner.TargetOwner]


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target according to its home."""

    host: str
    healthy: bool
    flows: int
    in_flight: int
    queued: int


def target_loads(observer: Observer) -> dict[int, TargetLoad]:
    """Return the load of each target of the own domain, by target id."""
    found = {
        part.target: TargetLoad(
            peer.member.host,
            bool(part.state & ownedtargets.LOAD_HEALTHY),
            part.flows,
            part.in_flight,
            part.queued,
        )
        for peer in observer.members.peers.values()
        for part in peer.loads
    }
    for number, owner in observer.own.items():
        found[number] = TargetLoad(
            observer.members.me.host,
            owner.healthy,
            len(owner.flows),
            len(owner.running),
            len(owner.queue),
        )
    return found


def describe_override(
    observer: Observer, override: storedobjects.Override
) -> dict[str, typing.Any]:
    """Return an override with the version that its removal has to name."""
    stored = observer.store.stored[storedobjects.OVERRIDE_PREFIX + override.id]
    return {
        "version": stored.version,
        **override.model_dump(mode="json", exclude={"operation"}),
    }


def stays_in_use(observer: Observer, target: effectiveconfig.Target) -> bool:
    """Tell whether so many targets look unhealthy that all of them stay in use."""
    known = target_loads(observer)
    candidates = [
        other
        for other in observer.config.by_service.get(target.service, [])
        if other.admits and other.domain == target.domain
    ]
    used = health.usable(candidates, lambda t: t.id not in known or known[t.id].healthy)
    return target in used


def health_conflicts(
    observer: Observer, target: effectiveconfig.Target, load: TargetLoad | None
) -> list[str]:
    """Return where the override or the sheet and automation disagree."""
    if load is None or load.healthy or not target.admits:
        return []
    if stays_in_use(observer, target):
        return ["more than half of the targets look unhealthy; all stay in use"]
    wish = f"override {target.override}" if target.pinned else "the configuration"
    return [f"{wish} wants new flows, but the target is unhealthy"]


def obstacles(
    observer: Observer,
    target: effectiveconfig.Target,
    planned: effectiveconfig.Target,
    override: storedobjects.Override | None,
    load: TargetLoad | None,
) -> list[str]:
    """Return what keeps new flows from a target."""
    found = []
    if not target.admits:
        if override is not None and (
            override.kind in ("pull", "drain") or override.weight == 0
        ):
            found.append(f"override {override.id}: {override.kind}")
        if planned.leaving:
            found.append("sheet: state drain")
        if override is None and planned.weight == 0:
            found.append("sheet: weight 0")
    ejected = load is not None and not load.healthy
    if ejected and not (target.admits and stays_in_use(observer, target)):
        found.append("health: unhealthy according to its home")
    if load is not None and load.flows >= target.connections:
        found.append(f"load: all {target.connections} connections in use")
    return found


def explain(
    observer: Observer, service: str, name: str, now: datetime.datetime
) -> dict[str, typing.Any]:
    """Return why a target gets or does not get new flows.

    Health and load are known to the hosts of the target's failure domain; `home`
    names the host that decides.
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
        known = service in config.service_ids
        what = f"target {name}" if known else f"service {service}"
        return {**answer, "found": False, "obstacles": [f"sheet: unknown {what}"]}
    overrides = [
        override
        for override in effectiveconfig.overrides_of(observer.store)
        if (override.service, override.target) == (service, name)
    ]
    in_force = effectiveconfig.active_overrides(overrides, now).get((service, name))
    load = target_loads(observer).get(target.id)
    blocked = obstacles(observer, target, planned, in_force, load)
    member = observer.members.owner_of(target.id)
    owner = observer.own.get(target.id)
    local = target.domain == observer.members.domain
    return {
        **answer,
        "found": True,
        "failure_domain": target.domain,
        "home": member.host if local and member is not None else None,
        "gets_new_flows": not blocked,
        "obstacles": blocked,
        "weight": target.weight,
        "sheet": {
            "state": "drain" if planned.leaving else "active",
            "weight": planned.weight,
        },
        "override": describe_override(observer, in_force) if in_force else None,
        "superseded": [
            describe_override(observer, override)
            for override in overrides
            if override is not in_force and not has_expired(override, now)
        ],
        "expired": [o.id for o in overrides if has_expired(o, now)],
        "draining": target.leaving,
        "load": dataclasses.asdict(load) if load is not None else None,
        "health": owner.monitor.explain(anyio.current_time()) if owner else None,
        "conflicts": health_conflicts(observer, target, load),
    }


def has_expired(override: storedobjects.Override, now: datetime.datetime) -> bool:
    """Tell whether an override has reached its end."""
    return override.expires_at is not None and override.expires_at <= now


def notable_targets(observer: Observer) -> list[dict[str, typing.Any]]:
    """Return the own domain's targets that leave, are overridden, or unhealthy."""
    known = target_loads(observer)
    found = []
    for target in observer.config.by_domain.get(observer.members.domain, []):
        load = known.get(target.id)
        if not target.leaving and not target.override and (not load or load.healthy):
            continue
        found.append(
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
    return found


def configuration(
    observer: Observer, names: collections.abc.Iterable[str]
) -> dict[str, typing.Any]:
    """Return which configuration this host has in force.

    Parameters
    ----------
    names : iterable of str
        Objects whose versions in force are wanted; 0 stands for none.
    """
    store = observer.store
    live = store.live_versions()
    pending = store.stored.get(storedobjects.SHEET)
    sheet = store.sheet
    return {
        "complete_revision": store.complete_revision,
        "objects": {name: live.get(name, 0) for name in names},
        "sheet": {
            "version": store.sheet_version,
            "pending_version": pending.version if pending is not None else 0,
            "missing_parts": len(store.missing_parts()),
            "date": sheet.date.isoformat() if sheet is not None else None,
            "applied_by": sheet.applied_by if sheet is not None else None,
            "applied_at": sheet.applied_at.isoformat() if sheet is not None else None,
        },
        "refused_objects": dict(store.refused),
    }


def directory(store: replica.Replica) -> dict[str, dict[str, str]]:
    """Return failure domain and admin address of every host, by name."""
    return {
        member.host: {"failure_domain": view.domain, "admin": member.admin}
        for view in store.under(storedobjects.VIEW_PREFIX).values()
        if isinstance(view, storedobjects.View)
        for member in view.members
    }
