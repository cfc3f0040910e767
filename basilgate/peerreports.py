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
BEHIND_S = 0.9
# With the time above more than the time limit of a check.
CHECK_AGAIN_S = 0.35
PAUSE_LIMIT_S = 1.0  # Far above a late timer, below the 3 s of a change.


class Exchange:
    """Sends reports of this host, and acts on those of others.

    Parameters
    ----------
    others : peertable.Neighbours
        The other hosts.
    view, flows, suspicions, chooser, forwarder
        What this host knows and decides.
    held : documentcache.DocumentCache
        Documents of the store.
    followers, relay_client
        Sources of documents.
    lock : threading.Lock
        Guards view, flows, and suspicions.
    log : eventlog.EventLog
        Log of decisions.
    """

    def __init__(
        self,
        others: peertable.Neighbours,
        view: fleetview.FleetView,
        flows: flowtable.FlowTable,
        suspicions: suspicion.Suspicions,
        chooser: targetchoice.Chooser,
        forwarder: forwarding.Forwarder,
        held: documentcache.DocumentCache,
        followers: list[storewatch.Follower],
        relay_client: documentrelay.RelayClient,
        lock: threading.Lock,
        log: eventlog.EventLog,
    ) -> None:
        self.others = others
        self.view = view
        self.flows = flows
        self.suspicions = suspicions
        self.chooser = chooser
        self.forwarder = forwarder
        self.documentcache = held
        self.followers = followers
        self.relay_client = relay_client
        self.lock = lock
        self.log = log
        # Whether hosts of other failure domains are to take over this one's callers.
        self.stranded = False
        # Whether this host is stopping, so that its clients find another source.
        self.leaving = False
        # Time since which a neighbour has known more, None if none does, the most that
        # any has known, and which.
        self.behind_since: float | None = None
        self.best_version = 0
        self.best_target = 0
        self.best_ip = ""
        # Latest revision of a target that was asked for, and the one for which the
        # neighbour had nothing more to tell.
        self.asked_target = 0
        self.checked_target = 0

    def reads(self) -> bool:
        """Tell whether this host follows the store without trouble, and goes on."""
        return not self.leaving and all(f.reads for f in self.followers)

    def hear(self) -> None:
        """Take over reports of other hosts as they come."""
        while True:
            report = self.others.receive()
            if report is None:
                continue
            now = clock.steady_s()
            with self.lock:
                self.others.take(report, now)
                self.take_failures(report, now)
            self.compare(report, now)

    def compare(self, report: peertable.Report, now: float) -> None:
        """Catch up with a neighbour that has known more for some time.

        The store may be silent for this host, or for its source, while it serves
        others; nothing but a neighbour shows it. A host that follows the store finds
        out whether it still answers.
        """
        if (
            report.config_version >= self.best_version
            and report.newest_target >= self.best_target
        ):
            self.best_ip = report.ip
        self.best_version = max(self.best_version, report.config_version)
        self.best_target = max(self.best_target, report.newest_target)
        if self.relay_client.caught_up:
            self.checked_target = self.asked_target
        configuration = self.view.configuration
        version = configuration.version if configuration is not None else 0
        newest_target = self.documentcache.newest(documents.TARGETS_KIND)
        # A target that is gone again may never show among the documents.
        known_target = max(
            newest_target,
            self.documentcache.revision(documents.TARGETS_KIND),
            self.checked_target,
        )
        if self.best_version <= version and self.best_target <= known_target:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < BEHIND_S:
            return
        # Leaves the check time to fail before the next one.
        self.behind_since = now + CHECK_AGAIN_S
        self.asked_target = self.best_target
        self.log.write(
            "behind_neighbour",
            neighbour=report.host,
            config_version=version,
            their_config_version=self.best_version,
            newest_target=newest_target,
            their_newest_target=self.best_target,
            relayed=self.relay_client.is_fresh(),
        )
        self.relay_client.catch_up(self.best_ip)
        if self.reads():
            for follower in self.followers:
                follower.check_now()

    def take_failures(self, report: peertable.Report, now: float) -> None:
        """Take over suspicions of hosts near this one or near the target."""
        near = report.domain == self.others.settings.domain
        for token in report.suspects:
            target = self.view.target_for(token)
            if target is not None and (near or report.domain == target.domain):
                lost = token in report.lost
                self.suspicions.note_peer_failure(target.name, lost, now)
                if lost and self.has_flows(target, now):
                    self.forwarder.try_target(target, now)

    def has_flows(self, target: fleetmodel.Target, now: float) -> bool:
        """Tell whether flows here may wait for a target that a neighbour lost."""
        return (
            self.flows.open_flows[target.name] > 0
            and not self.suspicions.is_lost(target.name, now)
            and not self.suspicions.replied_since(target.name, now - suspicion.QUIET_S)
        )

    def report(self) -> None:
        """Tell other hosts of load and suspicions a few times a second."""
        steady = clock.steady_s()
        while True:
            time.sleep(peertable.ROUND_S)
            now = clock.steady_s()
            with self.lock:
                if now - steady > PAUSE_LIMIT_S:
                    self.others.excuse_silence(now)
                steady = now
                self.forget_failures(self.others.refresh(now))
                self.forwarder.check_openings(now)
                self.check_stranded(now)
                loads = self.own_loads(now)
                suspects = self.tokens(self.suspicions.own_suspects(now))
                lost = self.tokens(self.suspicions.own_lost(now))
            configuration = self.view.configuration
            self.others.send(
                configuration.version if configuration else 0,
                self.documentcache.newest(documents.TARGETS_KIND),
                self.reads(),
                loads,
                suspects,
                lost,
            )

    def forget_failures(self, regained: list[str]) -> None:
        """Forget suspicions of targets whose failure domain can be reached again."""
        self.suspicions.forget_failures(
            entry.target.name
            for entry in self.view.entries.values()
            if entry.target.domain in regained
        )

    def check_stranded(self, now: float) -> None:
        """Give up readiness while this failure domain alone cannot serve.

        It stays given up until another failure domain is heard again, since callers
        that have moved away take the load with them.
        """
        reachable = self.others.reachable
        if self.stranded:
            self.stranded = not any(
                heard
                for name, heard in reachable.items()
                if name != self.others.settings.domain
            )
        else:
            self.stranded = self.chooser.is_stranded(now)

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

    def tokens(self, names: list[str]) -> list[int]:
        """Return the tokens of targets that are listed."""
        entries = [self.view.entries.get(name) for name in names]
        return [entry.target.token for entry in entries if entry is not None]
