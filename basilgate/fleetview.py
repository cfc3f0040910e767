"""What one host applies: routes, targets, overrides, and evacuations."""

import collections.abc

import msgspec

from basilgate import clock, counters, eventlog, fleetmodel, invariants, overriderules
from basilgate.policy import evacuations

# A removed target gets new flows for this long. Entries that were removed during an
# outage of the store are listed again within about 2 s of its return.
REMOVAL_GRACE_S = 2.0
USUAL_WEIGHT = 100  # Weight without an override; also that of a sheet's target.
REMOVED_LIMIT = 10_000  # Removed targets, about 3 MB; the oldest are evicted first.


class TargetEntry(msgspec.Struct, gc=False):
    """A target with the state of its entry in the store; times are monotonic seconds.

    Attributes
    ----------
    target : fleetmodel.Target
        The target as its entry describes it.
    position : fleetmodel.Position
        Where in the store's history the entry last changed.
    warm_at : float
        When the target stops being slow after its start.
    relative_weight : float
        Weight as a multiple of that of a target without an override.
    removed_at : float or None
        When the entry was removed from the store, None while it is listed.
    closes_at : float or None
        From when a removed target gets no new flows, None while it is listed.
    run_position : fleetmodel.Position or None
        Position of the first entry of the target's run that this host applied; None
        stands for `position`.
    """

    target: fleetmodel.Target
    position: fleetmodel.Position
    warm_at: float
    relative_weight: float = 1.0
    removed_at: float | None = None
    closes_at: float | None = None
    run_position: fleetmodel.Position | None = None


class FleetView:
    """Configuration, targets, overrides, and evacuations in force on this host.

    A document whose position or version is older than the one in force is ignored, so
    the view never goes back to an older state while the process runs. Not safe for
    threads: `ForwarderProcess.lock` guards each change.

    Parameters
    ----------
    log : eventlog.EventLog
        Receives an event for each change of the view.
    counts : counters.Counters
        Holds the version of the configuration in force.
    flow_age_limit_s : float
        Longest life of a flow in seconds, set by the deployment. A removed target is
        kept for this long, since flows may outlive the entry of their target.
    has_evacuations : bool
        Whether the deployment has evacuations, so that the view is not ready without a
        list of them.
    """

    def __init__(
        self,
        log: eventlog.EventLog,
        counts: counters.Counters,
        flow_age_limit_s: float,
        has_evacuations: bool = False,
    ) -> None:
        self.log = log
        self.counts = counts
        self.invariants = invariants.Invariants(log, counts)
        self.flow_age_limit_s = flow_age_limit_s
        self.has_evacuations = has_evacuations
        self.evacuations = evacuations.Evacuations(
            log, counts, self.handle_evacuation_change
        )
        self.configuration: fleetmodel.Configuration | None = None
        # Listed and removed targets by name; the latter in the order of removal.
        self.entries: dict[str, TargetEntry] = {}
        self.removed: dict[str, TargetEntry] = {}
        self.by_token: dict[int, TargetEntry] = {}
        # Names of targets whose token another target holds.
        self.tokenless: set[str] = set()
        self.overrides: dict[str, fleetmodel.Override] = {}
        # Called with each target of which a new run is listed.
        self.on_new_run: collections.abc.Callable[[fleetmodel.Target], None] = (
            lambda _: None
        )
        # Names of the pins that have no effect now.
        self.suspended_pins: set[str] = set()
        # Version of the configuration that removed a route, by key of the route.
        self.removed_routes: dict[bytes, int] = {}
        # Whether a complete listing of the targets, and of the overrides, was applied.
        self.targets_listed = False
        self.overrides_listed = False
        # Targets that may get new flows, by service.
        self.candidate_cache: dict[str, list[TargetEntry]] = {}
        self.candidates_valid_until = 0.0

    @property
    def ready(self) -> bool:
        """Whether a configuration and complete lists of the rest were applied.

        Without the overrides, targets that an operator has pulled would get flows, and
        without the evacuations those of evacuated failure domains.
        """
        return (
            self.configuration is not None
            and self.targets_listed
            and self.overrides_listed
            and (self.evacuations.listed or not self.has_evacuations)
        )

    def handle_evacuation_change(self) -> None:
        """Choose the candidates anew, and log which pins are suspended."""
        self.candidate_cache.clear()
        self.update_suspended_pins()

    def update_suspended_pins(self) -> None:
        """Log the pins that are suspended, and those in force again."""
        pins = [override for override in self.overrides.values() if is_pin(override)]
        if not pins and not self.suspended_pins:
            return
        active = overriderules.newest_active(self.overrides.values(), clock.unix_s())
        suspended: set[str] = set()
        for override in filter(is_pin, active.values()):
            target = self.target_named(override.target)
            reason = self.overruled_by(target) if target is not None else ""
            if target is None or not reason:
                continue
            suspended.add(override.name)
            if override.name not in self.suspended_pins:
                self.log.write(
                    "override_suspended",
                    override=override.name,
                    target=target.name,
                    domain=target.domain,
                    reason=reason,
                )
        for name in sorted(self.suspended_pins - suspended):
            if name in self.overrides:
                self.log_override(self.overrides[name])
        self.suspended_pins = suspended

    def target_named(self, name: str) -> fleetmodel.Target | None:
        """Return a listed or removed target, None if it is not known."""
        entry = self.entries.get(name) or self.removed.get(name)
        return entry.target if entry is not None else None

    def overruled_by(self, target: fleetmodel.Target) -> str:
        """Return why overrides of a target have no effect, empty if they have one.

        ``evacuated``: its failure domain is. ``leaving``: the target has announced that
        it will exit, which would break the flows that it still got.
        """
        if self.evacuations.in_force(target.domain):
            return "evacuated"
        return "leaving" if target.leaving else ""

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether a service has listed targets in evacuated failure domains."""
        return bool(self.evacuations.begun_at) and any(
            entry.target.service == service
            and self.evacuations.in_force(entry.target.domain)
            for entry in self.entries.values()
        )

    def apply_configuration(self, configuration: fleetmodel.Configuration) -> bool:
        """Put a configuration in force; return False if it is not newer."""
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return False
        removed_keys = (
            [key for key in previous.routes if key not in configuration.routes]
            if previous
            else []
        )
        for key in removed_keys:
            self.removed_routes[key] = configuration.version
        for key in configuration.routes:
            self.removed_routes.pop(key, None)
        self.invariants.check(
            "version_rises",
            previous is None or configuration.version > previous.version,
            version=configuration.version,
        )
        self.configuration = configuration
        self.candidate_cache.clear()
        self.counts.set_gauge("config_version", configuration.version)
        self.log.write(
            "configuration_in_force",
            version=configuration.version,
            previous=previous.version if previous else 0,
            routes=len(configuration.routes),
            removed_routes=len(removed_keys),
        )
        return True

    def apply_target(
        self, target: fleetmodel.Target, position: fleetmodel.Position
    ) -> bool:
        """Apply a target's entry of a position; return False if it is not newer."""
        now = clock.steady_s()
        previous = self.entries.get(target.name) or self.removed.get(target.name)
        if previous is not None and position < previous.position:
            return False
        if (
            previous is not None
            and position == previous.position
            and previous.removed_at is None
            and previous.target == target
        ):
            return False
        is_new_run = previous is None or run_of(previous.target) != run_of(target)
        run_position = previous.run_position if previous else None
        entry = TargetEntry(
            target,
            position,
            now + target.cold_s,
            run_position=position if is_new_run else run_position,
        )
        self.removed.pop(target.name, None)
        self.entries[target.name] = entry
        self.candidate_cache.clear()
        self.claim_token(entry)
        self.update_suspended_pins()
        if is_new_run:
            self.on_new_run(target)
        if (
            previous is None
            or previous.removed_at is not None
            or differs_beyond_cold_time(previous.target, target)
        ):
            self.log.write(
                "target_changed",
                target=target.name,
                service=target.service,
                address=f"{target.address[0]}:{target.address[1]}",
                domain=target.domain,
                leaving=target.leaving,
                cold_s=target.cold_s,
                run=target.started_ms,
                revision=position,
            )
        return True

    def claim_token(self, entry: TargetEntry) -> None:
        """Assign a target's token to it, unless another target holds the token.

        A holder keeps its token until it is evicted, since packets of its open flows
        carry it; until then the other target gets no new flows. Of two targets in the
        first listing, the one that started earlier gets the token on all hosts.
        """
        target = entry.target
        holder = self.by_token.get(target.token)
        if holder is not None and holder.removed_at is not None:
            self.evict_removed(clock.steady_s())
            holder = self.by_token.get(target.token)
        if holder is None or holder.target.name == target.name:
            self.by_token[target.token] = entry
            self.tokenless.discard(target.name)
            return
        loser = entry
        if not self.targets_listed and precedence(target) < precedence(holder.target):
            self.by_token[target.token] = entry
            loser = holder
        self.tokenless.discard(target.name)
        self.tokenless.add(loser.target.name)
        self.log.write("token_shared", target=target.name, other=holder.target.name)

    def pass_on_token(self, token: int) -> None:
        """Assign a token whose holder was evicted to a target that waits for it."""
        del self.by_token[token]
        waiting = [self.entries.get(name) for name in self.tokenless]
        listed = [entry for entry in waiting if entry is not None]
        self.tokenless = {entry.target.name for entry in listed}
        for entry in sorted(listed, key=lambda entry: precedence(entry.target)):
            if entry.target.token == token:
                self.claim_token(entry)

    def remove_target(self, name: str, position: fleetmodel.Position) -> bool:
        """Remove a target that the store no longer lists.

        Packets of its open flows are still forwarded to it. Unless the target was
        leaving, it also gets new flows for `REMOVAL_GRACE_S`: it may be alive, and its
        entry only missing because the store could not be reached. Returns False if the
        target is not listed, or at a later position.
        """
        entry = self.entries.get(name)
        if entry is None or position < entry.position:
            return False
        now = clock.steady_s()
        del self.entries[name]
        entry.position = position
        entry.removed_at = now
        entry.closes_at = now if entry.target.leaving else now + REMOVAL_GRACE_S
        self.removed[name] = entry
        self.evict_removed(now)
        self.candidate_cache.clear()
        self.log.write("target_removed", target=name, revision=position)
        return True

    def evict_removed(self, now: float) -> None:
        """Evict targets that were removed longer ago than any open flow may last.

        Beyond `REMOVED_LIMIT` the oldest are evicted early.
        """
        for name, entry in list(self.removed.items()):
            removed_at = entry.removed_at or now
            expired = now - removed_at > self.flow_age_limit_s
            if not expired and len(self.removed) <= REMOVED_LIMIT:
                break
            del self.removed[name]
            if self.by_token.get(entry.target.token) is entry:
                self.pass_on_token(entry.target.token)

    def apply_override(self, override: fleetmodel.Override) -> None:
        """Put an operator's override in force, in place of one of the same name."""
        self.overrides[override.name] = override
        self.candidate_cache.clear()
        self.log_override(override)
        self.update_suspended_pins()

    def log_override(self, override: fleetmodel.Override) -> None:
        """Log that an override is in force."""
        self.log.write(
            "override_in_force",
            override=override.name,
            kind=override.kind,
            target=override.target,
        )

    def remove_override(self, name: str) -> None:
        """Remove an override if it is in force."""
        if self.overrides.pop(name, None) is not None:
            self.candidate_cache.clear()
            self.log.write("override_removed", override=name)
            self.update_suspended_pins()

    def target_for(self, token: int) -> fleetmodel.Target | None:
        """Return the target that has a token, None if there is none."""
        entry = self.by_token.get(token)
        return entry.target if entry is not None else None

    def candidates(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that may get new flows now.

        The lists are cached until the view changes, a removed target closes, or
        `REMOVAL_GRACE_S` has passed.
        """
        now = clock.steady_s()
        if now >= self.candidates_valid_until:
            self.candidate_cache.clear()
        if not self.candidate_cache:
            closing_times = [
                entry.closes_at for entry in self.removed.values() if entry.closes_at
            ]
            self.candidates_valid_until = min(
                (closes_at for closes_at in closing_times if closes_at > now),
                default=now + REMOVAL_GRACE_S,
            )
        candidates = self.candidate_cache.get(service)
        if candidates is None:
            self.candidate_cache[service] = candidates = self.select_candidates(
                service, now
            )
        return candidates

    def select_candidates(self, service: str, now: float) -> list[TargetEntry]:
        """Return the targets of a service that may get new flows, without the cache."""
        active = overriderules.newest_active(self.overrides.values(), clock.unix_s())
        candidates = []
        for entry in [*self.entries.values(), *self.removed.values()]:
            target = entry.target
            if target.service != service:
                continue
            if self.by_token.get(target.token) is not entry:
                continue
            if entry.closes_at is not None and now >= entry.closes_at:
                continue
            if self.overruled_by(target):
                continue
            override = active.get((service, target.name))
            kind = override.kind if override else ""
            weight = overriderules.weight_of(override, 1)
            if overriderules.admits(kind, weight, leaving=False):
                candidates.append(entry)
        return candidates


def is_pin(override: fleetmodel.Override) -> bool:
    """Return whether an override is a pin."""
    return override.kind == "pin"


def run_of(target: fleetmodel.Target) -> tuple[int, fleetmodel.Address]:
    """Return what tells the runs of a target of one name apart: start and address."""
    return target.started_ms, target.address


def differs_beyond_cold_time(
    previous: fleetmodel.Target, target: fleetmodel.Target
) -> bool:
    """Return whether two entries of a target differ in more than `cold_s`."""
    return msgspec.structs.replace(previous, cold_s=target.cold_s) != target


def precedence(target: fleetmodel.Target) -> tuple[bool, int, int, str]:
    """Return a key by which the first of two targets with one token gets it.

    The start of a target does not change, so all hosts agree. An entry without it is
    not by a target.
    """
    return not target.started_ms, target.started_ms, target.number, target.name
