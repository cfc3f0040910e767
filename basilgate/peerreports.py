"""Sends this host's reports to its peers, and acts on the reports of the peers."""

import math
import threading
import time

import msgspec

from basilgate import (
    clock,
    documentcache,
    eventlog,
    fleetmodel,
    fleetview,
    flowtable,
    forwarding,
    peertable,
    storewatch,
    suspicion,
    targetchoice,
)
from basilgate.relay import documentfetch, relayclient
from platformedge import documents

# Time for which a peer may report newer documents before this host counts as stale. The
# store sends a change to all watching hosts within some milliseconds, but they wait
# 0.5 s to batch changes (storewatch.BATCH_DELAY_S), and one call may be slow.
STALENESS_GRACE_S = 0.9
# Interval at which a stale host asks the store, and the same peer, again. A check of
# the store has reached its time limit of 1.05 s by then.
RECHECK_INTERVAL_S = 1.25
# Delay until a stale host asks the next peer, doubled for each peer that was asked.
# What this host cannot read stays newer at all peers.
REQUEST_DELAY_S = 0.15
MAX_REQUEST_DELAY_S = 5.0
# A longer gap means that the process was paused. Far longer than a timer is late, and
# shorter than the 3 s limit for applying a change.
PAUSE_LIMIT_S = 1.0

# Names in the log of the newest change of each kind that reports name.
REPORTED_KINDS = {
    documents.TARGETS_KIND: "newest_target",
    documents.EVACUATIONS_KIND: "newest_evacuation",
    documents.OVERRIDES_KIND: "newest_override",
}


class NewerReport(msgspec.Struct):
    """Report of newer documents that this host does not have yet.

    `received_at` is the time at which it came, in seconds of the steady clock.
    """

    report: peertable.Report
    received_at: float


class ReportExchange:
    """Sends reports of this host, and acts on those of the peers.

    Peers' reports raise suspicions of targets, show that this host's documents are
    stale, and decide whether it is isolated. `receive_reports` and `send_reports` each
    need a thread of their own.

    Parameters
    ----------
    peers : peertable.PeerTable
        Sends, receives and stores the reports.
    view : fleetview.FleetView
        Supplies the configuration and the targets by token.
    flows : flowtable.FlowTable
        Supplies open flows and running requests by target.
    suspicions : suspicion.Suspicions
        Supplies this host's failure evidence and records that of the peers.
    chooser : targetchoice.TargetChooser
        Decides whether this host's failure domain is isolated.
    forwarder : forwarding.Forwarder
        Probes targets that peers report as unreachable.
    cache : documentcache.DocumentCache
        Supplies the revisions of this host's documents.
    watchers : list of storewatch.KindWatcher
        Check the store when a peer has newer documents.
    relay_client : relayclient.RelayClient
        Tells whether an upstream supplies this host.
    fetcher : documentfetch.DocumentFetcher
        Fetches newer documents from a peer.
    lock : threading.Lock
        Guards view, flows, and suspicions, and changes of the table of peers.
    log : eventlog.EventLog
        Receives an event when a peer has newer documents.
    """

    def __init__(
        self,
        peers: peertable.PeerTable,
        view: fleetview.FleetView,
        flows: flowtable.FlowTable,
        suspicions: suspicion.Suspicions,
        chooser: targetchoice.TargetChooser,
        forwarder: forwarding.Forwarder,
        cache: documentcache.DocumentCache,
        watchers: list[storewatch.KindWatcher],
        relay_client: relayclient.RelayClient,
        fetcher: documentfetch.DocumentFetcher,
        lock: threading.Lock,
        log: eventlog.EventLog,
    ) -> None:
        self.peers = peers
        self.view = view
        self.flows = flows
        self.suspicions = suspicions
        self.chooser = chooser
        self.forwarder = forwarder
        self.cache = cache
        self.watchers = watchers
        self.relay_client = relay_client
        self.fetcher = fetcher
        self.lock = lock
        self.log = log
        # Whether this host gives up readiness, so that hosts of other failure domains
        # serve its callers.
        self.isolated = False
        # Whether this host is stopping, so that its downstreams choose another
        # upstream.
        self.stopping = False
        # Whether the last report said that this host watches the store.
        self.reported_reading = False
        # The first report of each peer that this host has not caught up with, by the
        # peer's address.
        self.newer_reports: dict[str, NewerReport] = {}
        # When the oldest of them came, infinite without any.
        self.oldest_newer_at = math.inf
        # Number of peers that were asked since no report was overdue.
        self.request_count = 0
        # Kinds whose newest change each report names besides the configuration's.
        self.reported_kinds = [kind for kind in REPORTED_KINDS if kind in cache.kinds]
        # Times from which a peer, by its address, any peer, and the store may be asked
        # again, and from which to look for overdue reports.
        self.next_request_at: dict[str, float] = {}
        self.request_pause_until = 0.0
        self.next_search_at = 0.0
        self.next_check_at = 0.0

    def watches_store(self) -> bool:
        """Return whether this host watches the store and is not stopping.

        False while any kind is relayed, unlisted, or fails.
        """
        return not self.stopping and all(
            watcher.watches_store for watcher in self.watchers
        )

    def receive_reports(self) -> None:
        """Record and act on the peers' reports, until the process ends."""
        while True:
            report = self.peers.receive_report()
            if report is None:
                continue
            now = clock.steady_s()
            with self.lock:
                self.peers.record_report(report, now)
                self.apply_peer_failures(report, now)
            self.check_staleness(report, now)

    def check_staleness(self, report: peertable.Report, now: float) -> None:
        """Fetch documents from a peer that has had newer ones for some time.

        The store may be silent for this host, or for its upstream, while it serves
        other hosts; only the peers' reports show that. A host that watches the store
        also checks whether the store still answers. If a peer cannot send what it has
        reported, the next one is asked at once.
        """
        self.record_newer(report, now)
        grace_s = self.staleness_grace_s()
        if now - self.oldest_newer_at < grace_s or now < self.next_search_at:
            return
        self.next_search_at = now + peertable.REPORT_INTERVAL_S
        self.forget_met_reports(now)
        if now - self.oldest_newer_at < grace_s:
            self.request_count = 0
            return
        if not self.fetcher.is_busy():
            self.ask_newer_peer(now)
        if self.watches_store() and now >= self.next_check_at:
            self.next_check_at = now + RECHECK_INTERVAL_S
            for watcher in self.watchers:
                watcher.check_now()

    def staleness_grace_s(self) -> float:
        """Return for how long peers may report newer documents, in seconds.

        None is given to a host that had all documents and that nobody supplies now:
        neither the store nor an upstream will send it what the peers have.
        """
        is_supplied = self.relay_client.is_fresh() or self.watches_store()
        had_all_kinds = all(self.cache.changes().values())
        return STALENESS_GRACE_S if is_supplied or not had_all_kinds else 0.0

    def record_newer(self, report: peertable.Report, now: float) -> None:
        """Keep a report of newer documents, unless the peer's earlier one is unmet.

        A peer that has restarted may no longer have what it reported, but others may.
        """
        earlier = self.newer_reports.get(report.ip)
        if earlier is not None and self.is_newer(earlier.report):
            return
        if self.is_newer(report):
            self.newer_reports[report.ip] = NewerReport(report, now)
            self.oldest_newer_at = min(self.oldest_newer_at, now)

    def forget_met_reports(self, now: float) -> None:
        """Forget reports that this host has caught up with, or that nobody meets."""
        peers_ahead = {report.ip for report in self.reports_of_peers_ahead(now)}
        for ip, newer in list(self.newer_reports.items()):
            is_old = now - newer.received_at > peertable.RECENT_AGE_S
            if not self.is_newer(newer.report) or (is_old and ip not in peers_ahead):
                del self.newer_reports[ip]
        self.oldest_newer_at = min(
            (newer.received_at for newer in self.newer_reports.values()),
            default=math.inf,
        )

    def reports_of_peers_ahead(self, now: float) -> list[peertable.Report]:
        """Return the last reports of peers heard lately that have newer documents."""
        return [
            peer.report
            for peer in list(self.peers.peers.values())
            if peer.report is not None
            and now - peer.heard_at <= peertable.RECENT_AGE_S
            and self.is_newer(peer.report)
        ]

    def ask_newer_peer(self, now: float) -> None:
        """Fetch documents from the peer that was heard last, among those not asked."""
        newer = self.reports_of_peers_ahead(now)
        self.next_request_at = {
            ip: at for ip, at in self.next_request_at.items() if at > now
        }
        unasked = [report for report in newer if report.ip not in self.next_request_at]
        if not unasked or now < self.request_pause_until:
            return
        report = max(unasked, key=lambda found: self.peers.peers[found.ip].heard_at)
        self.next_request_at[report.ip] = now + RECHECK_INTERVAL_S
        self.request_pause_until = now + min(
            MAX_REQUEST_DELAY_S, REQUEST_DELAY_S * 2 ** min(self.request_count, 10)
        )
        self.request_count += 1
        self.log.write(
            "behind_neighbour",
            neighbour=report.host,
            ip=report.ip,
            config_version=self.config_version,
            their_config_version=report.config_version,
            **self.describe_knowledge(report),
            newer_neighbours=len(newer),
            relayed=self.relay_client.is_fresh(),
            relay_source=self.relay_client.upstream or "none",
        )
        self.fetcher.start(report.ip)

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        configuration = self.view.configuration
        return configuration.version if configuration is not None else 0

    def is_newer(self, report: peertable.Report) -> bool:
        """Return whether a peer has a newer document of any kind than this host.

        The newest change that a peer reported may be of a document that was removed
        meanwhile, and so may never be among this host's documents.
        """
        if report.config_version > self.config_version:
            return True
        for kind in self.reported_kinds:
            position = reported_position(report, kind)
            if position is not None and position > max(
                self.cache.newest(kind),
                self.cache.position(kind),
                self.fetcher.receiver.received.get(kind, documentcache.UNLISTED),
            ):
                return True
        return False

    def describe_knowledge(
        self, report: peertable.Report
    ) -> dict[str, fleetmodel.Position | None]:
        """Return the newest positions here and at a peer, as the log names them."""
        fields: dict[str, fleetmodel.Position | None] = {}
        for kind in self.reported_kinds:
            name = REPORTED_KINDS[kind]
            fields[name] = self.cache.newest(kind)
            fields[f"their_{name}"] = reported_position(report, kind)
        return fields

    def newest_revision(self, kind: str, era: int) -> int:
        """Return the revision of the latest change of a kind in an era, 0 if none."""
        if kind not in self.cache.kinds:
            return 0
        newest = self.cache.newest(kind)
        return newest.revision if newest.era == era else 0

    def apply_peer_failures(self, report: peertable.Report, now: float) -> None:
        """Record suspicions from peers in this host's or the target's failure domain.

        A peer that does not have the entry of a target's present run yet speaks of an
        earlier run. A target that a peer reports as unreachable is probed if flows are
        at risk.
        """
        in_own_domain = report.domain == self.peers.settings.domain
        lost = set()
        for token in report.suspects:
            entry = self.view.by_token.get(token)
            if entry is None or (
                entry.run_position is not None
                and report.newest_position < entry.run_position
            ):
                continue
            target = entry.target
            if in_own_domain or report.domain == target.domain:
                unreachable = token in report.lost
                self.suspicions.record_peer_failure(
                    target.name, unreachable, now, report.host
                )
                if unreachable:
                    lost.add(target.name)
                if unreachable and self.has_flows_at_risk(target, now):
                    self.forwarder.probe_target(target, now)
        self.suspicions.replace_peer_proofs(report.host, lost)

    def has_flows_at_risk(self, target: fleetmodel.Target, now: float) -> bool:
        """Return whether open flows may wait for a target that a peer cannot reach.

        False once this host itself has confirmed that, or after a recent reply.
        """
        return (
            self.flows.open_flows[target.name] > 0
            and not self.suspicions.is_unreachable(target.name, now)
            and not self.suspicions.replied_since(
                target.name, now - suspicion.REPLY_AGE_LIMIT_S
            )
        )

    def send_reports(self) -> None:
        """Refresh the table of peers and send a report, in each interval."""
        last_sent_at = clock.steady_s()
        while True:
            time.sleep(peertable.REPORT_INTERVAL_S)
            now = clock.steady_s()
            # Read before the evidence, which may not be older than what it states.
            newest_target = self.cache.newest_reported(documents.TARGETS_KIND)
            with self.lock:
                if now - last_sent_at > PAUSE_LIMIT_S:
                    self.peers.restart_silence_timers(now)
                last_sent_at = now
                self.clear_failures(self.peers.refresh(now))
                self.forwarder.check_openings(now)
                self.update_isolation(now)
                loads = self.own_loads(now)
                suspects = self.listed_tokens(self.suspicions.own_suspects(now))
                unreachable = self.listed_tokens(self.suspicions.own_unreachable(now))
            report = self.peers.make_report(
                self.config_version,
                newest_target.revision,
                self.watches_store(),
                loads,
                suspects,
                unreachable,
                newest_target.era,
                self.newest_revision(documents.EVACUATIONS_KIND, newest_target.era),
                self.newest_revision(documents.OVERRIDES_KIND, newest_target.era),
            )
            self.note_reading(report.reads, now)
            self.peers.send_report(report)

    def note_reading(self, reads: bool, now: float) -> None:
        """Log when this host begins or ceases to say that it watches the store."""
        if reads == self.reported_reading:
            return
        self.reported_reading = reads
        self.log.write(
            "reading_changed",
            reads=reads,
            answer_age_s=now - self.watchers[0].answered_at,
            relay_source=self.relay_client.upstream or "none",
        )

    def clear_failures(self, restored: list[str]) -> None:
        """Clear suspicions of targets in failure domains that are reachable again."""
        self.suspicions.clear_failures(
            entry.target.name
            for entry in self.view.entries.values()
            if entry.target.domain in restored
        )

    def update_isolation(self, now: float) -> None:
        """Set `isolated` while this failure domain cannot serve without the others.

        It stays set until another failure domain is reachable again: callers that moved
        to other hosts take their load along, so a lower load here is no sign that the
        domain could serve them.
        """
        reachable = self.peers.reachable_domains
        if self.isolated:
            self.isolated = not any(
                is_reachable
                for domain, is_reachable in reachable.items()
                if domain != self.peers.settings.domain
            )
        else:
            self.isolated = self.chooser.is_isolated(now)

    def own_loads(self, now: float) -> dict[int, tuple[int, float]]:
        """Return this host's open flows and running requests by token of the target."""
        return {
            entry.target.token: (
                self.flows.open_flows[name],
                round(self.flows.running(name, now), 3),
            )
            for name, entry in self.view.entries.items()
            if self.flows.open_flows[name] > 0 or name in self.flows.activities
        }

    def listed_tokens(self, names: list[str]) -> list[int]:
        """Return the tokens of the named targets that the view contains."""
        entries = [self.view.entries.get(name) for name in names]
        return [entry.target.token for entry in entries if entry is not None]


def reported_position(
    report: peertable.Report, kind: str
) -> fleetmodel.Position | None:
    """Return where a peer's latest change of a kind was, None if it knows of none."""
    if kind == documents.EVACUATIONS_KIND:
        return report.newest_evacuation_position
    if kind == documents.OVERRIDES_KIND:
        return report.newest_override_position
    return report.newest_position
