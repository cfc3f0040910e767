"""Limit of new flows to cold targets, kept by all hosts without a coordinator.

One host of a target's failure domain opens flows to it while it is cold. Each host
finds out by rendezvous hashing over the hosts that it has heard whether it is the one.
docs/design/cold-targets.md describes the failure cases.
"""

import collections
import collections.abc
import zlib

import msgspec

from basilgate import counters, eventlog, fleetmodel, fleetview, peertable, suspicion

# Requirements count opening packets in windows of 1 s. Packets that leave within this
# time may arrive within 1 s, since their delays differ.
WINDOW_S = 1.1
# Hosts that may believe to be chosen for a target at the same time without exceeding
# its limit: after a partition of the failure domain, one on each side.
CONCURRENT_HOSTS = 2
# Time for which the classification of targets and the choice of hosts are cached.
REFRESH_S = 0.25
# The mean time between two reports of one peer grows with the failure domain, so these
# are multiples of it: e^-3 and e^-10 of the peers are not heard for so long. A host
# gives up its targets earlier than the others take over, so that a host which is cut
# off is not one of two that open flows.
HEARD_INTERVALS = 3
MEMBER_INTERVALS = 10
# Lower bounds of the same times, for small failure domains.
MIN_HEARD_S = 1.0
MIN_MEMBER_S = 3.0
# Least time since the start, and since a host of the failure domain was heard for the
# first time. When all hosts start together, some know only a few others for 10 s: with
# 3 s from the start alone, up to 13 of 65 believed in a trial to be chosen for one
# target, with 3 s from the last new host never more than 2.
MIN_SETTLED_S = 3.0
REFUSAL_LOG_INTERVAL_S = 1.0
# Heartbeats after the loss of a target within which its entry expires, and after which
# it may be back under that entry: three missed ones, and one until it was noticed.
EXPIRY_HEARTBEATS = 4
# No host opens as many flows in a window. Two figures that are valid by themselves can
# give an infinite product, which is no number of packets.
MAX_PER_WINDOW = 1e9
HASH_MASK = 0xFFFFFFFF
# Odd multiplier near 2^32 divided by the golden ratio. CRC-32 is linear, so without it
# hosts with similar addresses would be chosen for the same targets.
HASH_MULTIPLIER = 0x9E3779B1


class Limit(msgspec.Struct, frozen=True, gc=False):
    """Limit of the opening packets to each cold target of a service.

    Attributes
    ----------
    per_window : float
        Opening packets that one cold target may get in any second from all hosts.
    enforced : bool
        Whether a flow is refused rather than the limit exceeded. If not, the limit ends
        where no other target is left.
    """

    per_window: float
    enforced: bool

    @property
    def allowance(self) -> int:
        """Opening packets that one host may send to one target in `WINDOW_S`."""
        return int(self.per_window / CONCURRENT_HOSTS + 1e-9)


class Classification(msgspec.Struct):
    """Targets of a service, classified until `valid_until` in monotonic seconds.

    Attributes
    ----------
    candidates : list of fleetview.TargetEntry
        The targets that were classified.
    valid_until : float
        When the targets are to be classified again.
    limit : Limit or None
        Limit of the cold targets, None without one.
    warm, assigned, others : list of fleetview.TargetEntry
        Targets without a limit, cold targets to which this host opens flows, and the
        other cold targets.
    """

    candidates: list[fleetview.TargetEntry]
    valid_until: float
    limit: Limit | None
    warm: list[fleetview.TargetEntry]
    assigned: list[fleetview.TargetEntry]
    others: list[fleetview.TargetEntry]


class Standing(msgspec.Struct, frozen=True):
    """Whether this host may open flows to cold targets, and what decides it.

    Attributes
    ----------
    obstacle : str
        ``unsettled``, ``few_heard``, ``nobody_heard``, or empty if the host may.
    known, heard : int
        Other hosts of the failure domain that are known, and those heard lately.
    members : tuple of str
        Addresses of the hosts among which the choice is made, without this host.
    """

    obstacle: str = ""
    known: int = 0
    heard: int = 0
    members: tuple[str, ...] = ()


def never_ended(domain: str) -> None:
    """Return None: no evacuation of a failure domain has ended."""
    del domain


class ColdTargetLimiter:
    """Decides which cold targets this host may open a flow to now.

    Not safe for threads: `ForwarderProcess.lock` guards each use. `now` is always
    `clock.steady_s()`.

    Parameters
    ----------
    view : fleetview.FleetView
        Provides the figures of the services.
    peers : peertable.PeerTable
        Provides the settings, and the hosts among which the choice is made.
    suspicions : suspicion.Suspicions
        Provides the targets that were unreachable lately.
    log : eventlog.EventLog
        Receives changes of what this host may do, and refusals.
    counts : counters.Counters
        Counts the opening packets to cold targets, and refusals.
    started_at : float
        Monotonic time in seconds at which this process started.
    evacuation_ended_at : callable, optional
        Returns the monotonic time in seconds at which the last evacuation of a failure
        domain ended, None if there was none or it is in force.
    """

    def __init__(
        self,
        view: fleetview.FleetView,
        peers: peertable.PeerTable,
        suspicions: suspicion.Suspicions,
        log: eventlog.EventLog,
        counts: counters.Counters,
        started_at: float,
        evacuation_ended_at: collections.abc.Callable[
            [str], float | None
        ] = never_ended,
    ) -> None:
        self.view = view
        self.peers = peers
        self.suspicions = suspicions
        self.log = log
        self.counts = counts
        self.started_at = started_at
        self.evacuation_ended_at = evacuation_ended_at
        self.classifications: dict[str, Classification] = {}
        # Names of the cold targets, by service.
        self.cold_names: dict[str, frozenset[str]] = {}
        self.standing: Standing | None = None
        self.standing_valid_until = 0.0
        # Whether this host is chosen, by target, for the members of `standing`.
        self.chosen: dict[str, bool] = {}
        # Monotonic times of this host's opening packets within `WINDOW_S`, by target.
        self.sent: dict[str, collections.deque[float]] = {}
        # When the next refusal may be logged, by service.
        self.refusal_log_due: dict[str, float] = {}

    def select(
        self, service: str, candidates: list[fleetview.TargetEntry], now: float
    ) -> tuple[list[fleetview.TargetEntry], list[fleetview.TargetEntry]]:
        """Return the targets that may get a flow now, and those for want of others.

        The first list is `candidates` itself if none of them is limited. The second one
        is empty if the limit is enforced.
        """
        found = self.classifications.get(service)
        if (
            found is None
            or found.candidates is not candidates
            or now >= found.valid_until
        ):
            found = self.classify(service, candidates, now)
        limit = found.limit
        if limit is None or (not found.assigned and not found.others):
            return candidates, []
        allowed = [
            entry
            for entry in found.assigned
            if self.sent_count(entry.target.name, now) < limit.allowance
        ]
        usable = found.warm + allowed if allowed else found.warm
        if limit.enforced:
            return usable, []
        names = {entry.target.name for entry in allowed}
        exhausted = [e for e in found.assigned if e.target.name not in names]
        return usable, exhausted + found.others

    def record_opening(self, entry: fleetview.TargetEntry, now: float) -> None:
        """Count an opening packet that this host sends to a target, if it is cold."""
        service, name = entry.target.service, entry.target.name
        if name in self.cold_names.get(service, ()):
            self.sent.setdefault(name, collections.deque()).append(now)
            self.counts.add("cold_openings_total", service=service)

    def record_refusal(self, service: str, now: float) -> None:
        """Count an opening packet for which only cold targets at their limit are left.

        At most one is logged for each service in `REFUSAL_LOG_INTERVAL_S`.
        """
        self.counts.add("cold_refusals_total", service=service)
        found = self.classifications.get(service)
        if found is None or now < self.refusal_log_due.get(service, 0.0):
            return
        self.refusal_log_due[service] = now + REFUSAL_LOG_INTERVAL_S
        self.log.write(
            "cold_targets_at_limit",
            service=service,
            limit=found.limit.per_window if found.limit else "none",
            assigned=len(found.assigned),
            others=len(found.others),
            obstacle=(self.standing and self.standing.obstacle) or "none",
        )

    def sent_count(self, name: str, now: float) -> int:
        """Return the opening packets that this host sent to a target in `WINDOW_S`."""
        times = self.sent.get(name)
        if times is None:
            return 0
        while times and times[0] <= now - WINDOW_S:
            times.popleft()
        return len(times)

    def classify(
        self, service: str, candidates: list[fleetview.TargetEntry], now: float
    ) -> Classification:
        """Classify the targets of a service for `REFRESH_S`, and return the result."""
        found = Classification(candidates, now + REFRESH_S, None, candidates, [], [])
        self.classifications[service] = found
        figures = self.service_figures(service)
        found.limit = limit_of(figures, self.peers.settings)
        previous_names = self.cold_names.get(service, frozenset())
        names: frozenset[str] = frozenset()
        if found.limit is not None:
            cold = self.cold_entries(figures, candidates, now)
            names = frozenset(entry.target.name for entry in cold)
        if names:
            found.warm = [e for e in candidates if e.target.name not in names]
            self.refresh_standing(now)
            for entry in cold:
                chosen = self.is_chosen(entry.target)
                (found.assigned if chosen else found.others).append(entry)
        if names or previous_names:
            self.cold_names[service] = names
            self.discard_old_records(now)
            counts_by_state = {"assigned": found.assigned, "other": found.others}
            for state, entries in counts_by_state.items():
                self.counts.set_gauge(
                    "cold_targets", len(entries), service=service, state=state
                )
        return found

    def service_figures(self, service: str) -> fleetmodel.Service:
        """Return what the configuration says of a service, without figures if nothing.

        A configuration that does not describe the service leaves its cold rate missing.
        """
        configuration = self.view.configuration
        figures = configuration.services.get(service) if configuration else None
        return figures or fleetmodel.Service(service)

    def cold_entries(
        self,
        figures: fleetmodel.Service,
        candidates: list[fleetview.TargetEntry],
        now: float,
    ) -> list[fleetview.TargetEntry]:
        """Return the targets that are cold, or may be without their entries showing it.

        A target may have restarted until it was reachable or its failure domain's
        evacuation ended. Its entry shows that at its next report.
        """
        if not figures.cold_start_s:
            return [entry for entry in candidates if now < entry.warm_at]
        since = now - figures.cold_start_s - self.peers.settings.heartbeat_s
        domains = {entry.target.domain for entry in candidates}
        doubtful_domains = {
            domain
            for domain in domains
            if (ended_at := self.evacuation_ended_at(domain)) is not None
            and ended_at > since
        }
        return [
            entry
            for entry in candidates
            if now < entry.warm_at
            or entry.target.domain in doubtful_domains
            or self.was_lost(entry, since)
        ]

    def was_lost(self, entry: fleetview.TargetEntry, since: float) -> bool:
        """Return whether a target was unreachable after a monotonic time in seconds.

        A lost target whose entry has expired may have restarted at any time, until a
        new entry shows it.
        """
        record = self.suspicions.records.get(entry.target.name)
        if record is None or not record.last_unreachable_until:
            return False
        if entry.removed_at is not None:
            expiry_s = EXPIRY_HEARTBEATS * self.peers.settings.heartbeat_s
            since = min(since, entry.removed_at - expiry_s)
        return record.last_unreachable_until > since

    def discard_old_records(self, now: float) -> None:
        """Remove targets without flows in `WINDOW_S`, and choices of warm targets."""
        for name in list(self.sent):
            if self.sent_count(name, now) == 0:
                del self.sent[name]
        cold_names = frozenset[str]().union(*self.cold_names.values())
        for name in [name for name in self.chosen if name not in cold_names]:
            del self.chosen[name]

    def refresh_standing(self, now: float) -> None:
        """Determine again whether this host may open flows to cold targets."""
        if now < self.standing_valid_until and self.standing is not None:
            return
        self.standing_valid_until = now + REFRESH_S
        previous, current = self.standing, self.find_standing(now)
        self.standing = current
        if previous is None or previous.members != current.members:
            self.chosen.clear()
        if previous is None or previous.obstacle != current.obstacle:
            self.log.write(
                "cold_standing_changed",
                obstacle=current.obstacle or "none",
                known=current.known,
                heard=current.heard,
                members=len(current.members),
            )

    def find_standing(self, now: float) -> Standing:
        """Return whether this host may open flows to cold targets, by its peers."""
        settings = self.peers.settings
        near = [
            peer
            for peer in self.peers.peers.values()
            if peer.report is not None and peer.report.domain == settings.domain
        ]
        interval_s = (
            peertable.REPORT_INTERVAL_S * len(near) / peertable.OWN_DOMAIN_RECEIVERS
        )
        heard_interval_s = HEARD_INTERVALS * interval_s
        heard_since = now - max(MIN_HEARD_S, heard_interval_s)
        settled_since = now - max(MIN_SETTLED_S, heard_interval_s)
        member_since = now - max(MIN_MEMBER_S, MEMBER_INTERVALS * interval_s)
        heard_count = sum(peer.heard_at >= heard_since for peer in near)
        changed_at = max(
            (peer.first_heard_at for peer in near), default=self.started_at
        )
        members = tuple(
            sorted(peer.ip for peer in near if peer.heard_at >= member_since)
        )
        obstacle = ""
        if max(self.started_at, changed_at) > settled_since:
            obstacle = "unsettled"
        elif heard_count * 2 < len(near):
            obstacle = "few_heard"
        elif not near and self.expects_peers() and not self.hears_anyone(heard_since):
            # All peers have expired, or this host was cut off when it started.
            obstacle = "nobody_heard"
        return Standing(obstacle, len(near), heard_count, members)

    def expects_peers(self) -> bool:
        """Return whether the settings name other hosts."""
        settings = self.peers.settings
        return any(seed != settings.own_ip for seed in settings.seeds)

    def hears_anyone(self, since: float) -> bool:
        """Return whether a host of any failure domain was heard since a time."""
        return any(
            peer.report is not None and peer.heard_at >= since
            for peer in self.peers.peers.values()
        )

    def is_chosen(self, target: fleetmodel.Target) -> bool:
        """Return whether this host opens flows to a target while it is cold."""
        standing, settings = self.standing, self.peers.settings
        if standing is None or standing.obstacle or target.domain != settings.domain:
            return False
        chosen = self.chosen.get(target.name)
        if chosen is None:
            own = rank(target.name, settings.own_ip)
            # `all` ends at the first host that ranks higher, after about five of 65.
            chosen = all(rank(target.name, ip) < own for ip in standing.members)
            self.chosen[target.name] = chosen
        return chosen


def limit_of(
    figures: fleetmodel.Service, settings: fleetmodel.HostSettings
) -> Limit | None:
    """Return the limit of a service's cold targets, None if none follows.

    A rate without a factor is not comparable with the limit, so it counts as missing.
    """
    if not settings.has_evacuations:
        return None
    rate, factor = figures.cold_rate_per_s, settings.cold_rate_factor
    slack = settings.cold_rate_slack
    if rate and factor is not None:
        limit = min(MAX_PER_WINDOW, rate * factor + (slack or 0.0))
        return Limit(limit, enforced=True)
    return Limit(slack, enforced=False) if slack is not None else None


def rank(target: str, ip: str) -> tuple[int, str]:
    """Return a sort key of a host; the host with the greatest opens flows to a target.

    The address decides between equal hashes.
    """
    return zlib.crc32(f"{target} {ip}".encode()) * HASH_MULTIPLIER & HASH_MASK, ip
