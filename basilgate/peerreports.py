"""Reports between balancers: what this host tells others and learns from theirs."""

import threading
import time

from basilgate import (
    clock,
    documentcache,
    documentrelay,
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
from platformedge import documents

# A change reaches all hosts that follow the store within some milliseconds.
# Two readers differ by the 0.5 s in which they gather changes, and by a slow call.
STALENESS_GRACE_S = 0.9
# With the time above more than the time limit of a check.
RECHECK_DELAY_S = 0.35
PAUSE_LIMIT_S = 1.0  # Far above a late timer, below the 3 s of a change.


class ReportExchange:
    """Sends reports of this host, and acts on those of others.

    Parameters
    ----------
    peers : peertable.PeerTable
        The other hosts.
    view, flows, suspicions, chooser, forwarder
        What this host knows and decides.
    cache : documentcache.DocumentCache
        Documents of the store.
    watchers, relay_client
        Sources of documents.
    lock : threading.Lock
        Guards view, flows, and suspicions.
    log : eventlog.EventLog
        Log of decisions.
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
        relay_client: documentrelay.RelayClient,
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
        self.lock = lock
        self.log = log
        # Whether hosts of other failure domains are to take over this one's callers.
        self.isolated = False
        # Whether this host is stopping, so that its clients find another source.
        self.stopping = False
        # Time since which a neighbour has known more, None if none does, the most that
        # any has known, and which.
        self.stale_since: float | None = None
        self.newest_config_version = 0
        self.newest_target_revision = 0
        self.newest_peer_ip = ""
        # Latest revision of a target that was asked for, and the one for which the
        # neighbour had nothing more to tell.
        self.requested_target_revision = 0
        self.confirmed_target_revision = 0

    def watches_store(self) -> bool:
        """Tell whether this host follows the store without trouble, and goes on."""
        return not self.stopping and all(
            watcher.watches_store for watcher in self.watchers
        )

    def receive_reports(self) -> None:
        """Take over reports of other hosts as they come."""
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
        """Catch up with a neighbour that has known more for some time.

        The store may be silent for this host, or for its source, while it serves
        others; nothing but a neighbour shows it. A host that follows the store finds
        out whether it still answers.
        """
        if (
            report.config_version >= self.newest_config_version
            and report.newest_target >= self.newest_target_revision
        ):
            self.newest_peer_ip = report.ip
        self.newest_config_version = max(
            self.newest_config_version, report.config_version
        )
        self.newest_target_revision = max(
            self.newest_target_revision, report.newest_target
        )
        if self.relay_client.caught_up:
            self.confirmed_target_revision = self.requested_target_revision
        configuration = self.view.configuration
        config_version = configuration.version if configuration is not None else 0
        cached_target_revision = self.cache.newest(documents.TARGETS_KIND)
        # A target that is gone again may never show among the documents.
        known_target_revision = max(
            cached_target_revision,
            self.cache.revision(documents.TARGETS_KIND),
            self.confirmed_target_revision,
        )
        if (
            self.newest_config_version <= config_version
            and self.newest_target_revision <= known_target_revision
        ):
            self.stale_since = None
            return
        if self.stale_since is None:
            self.stale_since = now
        if now - self.stale_since < STALENESS_GRACE_S:
            return
        # Leaves the check time to fail before the next one.
        self.stale_since = now + RECHECK_DELAY_S
        self.requested_target_revision = self.newest_target_revision
        self.log.write(
            "behind_neighbour",
            neighbour=report.host,
            config_version=config_version,
            their_config_version=self.newest_config_version,
            newest_target=cached_target_revision,
            their_newest_target=self.newest_target_revision,
            relayed=self.relay_client.is_fresh(),
        )
        self.relay_client.catch_up(self.newest_peer_ip)
        if self.watches_store():
            for watcher in self.watchers:
                watcher.check_now()

    def apply_peer_failures(self, report: peertable.Report, now: float) -> None:
        """Take over suspicions of hosts near this one or near the target."""
        in_own_domain = report.domain == self.peers.settings.domain
        for token in report.suspects:
            target = self.view.target_for(token)
            if target is not None and (in_own_domain or report.domain == target.domain):
                unreachable = token in report.lost
                self.suspicions.record_peer_failure(target.name, unreachable, now)
                if unreachable and self.has_flows_at_risk(target, now):
                    self.forwarder.probe_target(target, now)

    def has_flows_at_risk(self, target: fleetmodel.Target, now: float) -> bool:
        """Tell whether flows here may wait for a target that a neighbour lost."""
        return (
            self.flows.open_flows[target.name] > 0
            and not self.suspicions.is_unreachable(target.name, now)
            and not self.suspicions.replied_since(
                target.name, now - suspicion.REPLY_AGE_LIMIT_S
            )
        )

    def send_reports(self) -> None:
        """Tell other hosts of load and suspicions a few times a second."""
        last_sent_at = clock.steady_s()
        while True:
            time.sleep(peertable.REPORT_INTERVAL_S)
            now = clock.steady_s()
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
            configuration = self.view.configuration
            self.peers.send_report(
                configuration.version if configuration else 0,
                self.cache.newest(documents.TARGETS_KIND),
                self.watches_store(),
                loads,
                suspects,
                unreachable,
            )

    def clear_failures(self, restored: list[str]) -> None:
        """Forget suspicions of targets whose failure domain can be reached again."""
        self.suspicions.clear_failures(
            entry.target.name
            for entry in self.view.entries.values()
            if entry.target.domain in restored
        )

    def update_isolation(self, now: float) -> None:
        """Give up readiness while this failure domain alone cannot serve.

        It stays given up until another failure domain is heard again, since callers
        that have moved away take the load with them.
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
        """Return flows and running requests of this host by token."""
        return {
            entry.target.token: (
                self.flows.open_flows[name],
                round(self.flows.running(name, now), 3),
            )
            for name, entry in self.view.entries.items()
            if self.flows.open_flows[name] > 0
        }

    def listed_tokens(self, names: list[str]) -> list[int]:
        """Return the tokens of targets that are listed."""
        entries = [self.view.entries.get(name) for name in names]
        return [entry.target.token for entry in entries if entry is not None]
