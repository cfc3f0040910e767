"""What balancers tell each other: load of targets, suspicions, versions.

Each host sends a short report to its neighbours a few times a second over the internal
ports. Reports are hints: a lost one is replaced by the next, and no decision waits.
"""

import collections.abc
import random
import socket
import time
import zlib

import msgspec

from basilgate import counters, eventlog, fleetmodel

REPORT_INTERVAL_S = 0.15  # Below the first retransmission of a caller.
# Three rounds without a report; one lost datagram does not count as silence.
SILENT_S = 0.5
FRESH_S = 1.5  # Counts of a host that has gone are left out after some rounds.
# Longer than a cut of a failure domain, so that neighbours find each other again.
FORGET_S = 60.0
SEED_ROUNDS = 25  # Seeds are asked again every 5 s.
# Reports to the own failure domain in a round. Its hosts hear as many a round, so that
# bytes do not grow with the failure domain.
NEAR_LIMIT = 8
# Hosts of another failure domain that hear this one in a round. With as many hosts
# there as here each of them hears three reports a round, and two if they are many: one
# of many hosts would hear none in three rounds every few seconds.
FAR_LIMIT = 3
FAR_LIMIT_MANY = 2
MANY = 8  # Hosts of a failure domain.
# A host of a failure domain of 30 is heard every 0.6 s in the mean.
SOURCE_HEARD_S = 1.2
INTRODUCED_LIMIT = 8  # Addresses of other neighbours in a report.
INTRODUCED_ROUNDS = 5  # Rounds between two reports with such addresses.
REPORT_BYTES = 8_192  # Counts of some 500 targets.


class Report(msgspec.Struct, array_like=True):
    """One host's report.

    `newest_target` is the revision of the latest change of a target, `reads` tells
    whether the host follows the store without trouble. `loads` holds open flows and
    running requests by token of the target; `suspects` are tokens of targets that
    seem to be gone, `lost` of those whose flows were reset.
    """

    host: str
    domain: str
    ip: str
    started_ms: int
    config_version: int
    newest_target: int
    reads: bool
    loads: dict[int, tuple[int, float]]
    suspects: list[int]
    lost: list[int]
    neighbours: list[str]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Report)


class Peer(msgspec.Struct):
    """A host that was heard of, with its last report; None before the first."""

    ip: str
    heard_at: float
    report: Report | None = None


class PeerTable:
    """Exchange of reports with other balancers.

    Parameters
    ----------
    settings : fleetmodel.HostSettings
        Settings of this host.
    log, counts
        Log and metrics.
    """

    def __init__(
        self,
        settings: fleetmodel.HostSettings,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.settings = settings
        self.log = log
        self.counts = counts
        self.port = settings.peer_ports[0]
        self.peers: dict[str, Peer] = {}
        self.reachable_domains: dict[str, bool] = {}
        self.interval_count = 0
        self.rng = random.Random()
        self.started_ms = int(time.time() * 1e3)
        # Flows and requests at each target according to all neighbours.
        self.loads: dict[int, tuple[int, float]] = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((settings.own_ip, self.port))

    def receive_report(self) -> Report | None:
        """Wait for a datagram and return the report in it, None if it is none."""
        try:
            datagram, (ip, _) = self.socket.recvfrom(REPORT_BYTES)
        except OSError as error:
            self.log.write("report_not_received", error=str(error))
            return None
        try:
            report = DECODER.decode(datagram)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.counts.add("peer_messages_total", direction="in", kind="malformed")
            return None
        if report.ip != ip or ip == self.settings.own_ip:
            return None
        self.counts.add("peer_messages_total", direction="in", kind="report")
        return report

    def record_report(self, report: Report, now: float) -> None:
        """Take over a neighbour's report."""
        held = self.peers.get(report.ip)
        if held is None or held.report is None:
            self.log.write("neighbour_found", neighbour=report.host, ip=report.ip)
        self.peers[report.ip] = Peer(report.ip, now, report)
        for ip in report.neighbours:
            if ip != self.settings.own_ip and ip not in self.peers:
                self.peers[ip] = Peer(ip, now)

    def refresh(self, now: float) -> list[str]:
        """Bring what is derived from the reports up to date.

        Returns the failure domains that are heard again after silence.
        """
        loads: dict[int, tuple[int, float]] = {}
        heard: dict[str, float] = {}
        for ip, peer in list(self.peers.items()):
            report = peer.report
            if now - peer.heard_at > FORGET_S:
                del self.peers[ip]
                self.log.write("neighbour_forgotten", ip=ip)
            elif report is not None:
                latest = heard.get(report.domain, 0.0)
                heard[report.domain] = max(latest, peer.heard_at)
                if now - peer.heard_at <= FRESH_S:
                    for token, (flows, running) in report.loads.items():
                        held = loads.get(token, (0, 0.0))
                        loads[token] = (held[0] + flows, held[1] + running)
        self.loads = loads
        regained = []
        for domain, heard_at in heard.items():
            audible = now - heard_at <= SILENT_S
            if self.reachable_domains.get(domain, True) != audible:
                self.log.write("domain_audible", domain=domain, audible=audible)
                if audible:
                    regained.append(domain)
            self.reachable_domains[domain] = audible
        return regained

    def restart_silence_timers(self, now: float) -> None:
        """Start counting silence anew, after a pause of this process."""
        for peer in self.peers.values():
            peer.heard_at = max(peer.heard_at, now)

    def is_domain_silent(self, domain: str) -> bool:
        """Tell whether all neighbours of a failure domain have gone silent."""
        return not self.reachable_domains.get(domain, True)

    def receivers(self) -> list[str]:
        """Return the addresses that get this round's report."""
        by_domain: dict[str, list[str]] = {}
        strangers = []
        for ip, peer in list(self.peers.items()):
            if peer.report is None:
                strangers.append(ip)
            else:
                by_domain.setdefault(peer.report.domain, []).append(ip)
        found = strangers[:NEAR_LIMIT]
        near = len(by_domain.get(self.settings.domain, ())) + 1
        for domain, ips in by_domain.items():
            if domain == self.settings.domain:
                limit = NEAR_LIMIT
            else:
                limit = FAR_LIMIT if near < MANY else FAR_LIMIT_MANY
            found += ips if len(ips) <= limit else self.rng.sample(ips, limit)
        if not self.peers or self.interval_count % SEED_ROUNDS == 0:
            own = self.settings.own_ip
            found += [s for s in self.settings.seeds if s not in found and s != own]
        return found

    def choose_upstream(
        self,
        now: float,
        store_fails: bool,
        known: bool,
        avoided: collections.abc.Collection[str],
    ) -> str | None:
        """Return the address of the host to take documents from.

        That is the host of the own failure domain that follows the store and has run
        longest; None if it is this one.

        Parameters
        ----------
        now : float
            Current time.
        store_fails : bool
            Whether the store turns this host away, so that it takes any host
            that follows the store.
        known : bool
            Whether this host has all kinds; if not, any host that has them serves.
        avoided : collection of str
            Addresses that are not to be returned.
        """
        heard = [
            n.report
            for n in list(self.peers.values())
            if n.report is not None
            and now - n.heard_at <= SOURCE_HEARD_S
            and n.ip not in avoided
        ]
        if store_fails:
            # One that is behind may be turned away without having noticed.
            newest = max((r.config_version for r in heard), default=0)
            heard = [r for r in heard if r.config_version == newest]
        near = [r for r in heard if r.reads and r.domain == self.settings.domain]
        found = min(near, key=seniority, default=None)
        if not store_fails:
            own = (self.started_ms, self.settings.own_ip)
            return found.ip if found is not None and seniority(found) < own else None
        if found is None:
            others = [r for r in heard if r.reads]
            if not others and not known:
                others = [r for r in heard if r.config_version > 0]
            found = min(others, key=self.affinity, default=None)
        return found.ip if found is not None else None

    def upstream_rank(self, now: float) -> int:
        """Return how many hosts of the own failure domain have run longer."""
        own = (self.started_ms, self.settings.own_ip)
        return sum(
            peer.report is not None
            and peer.report.domain == self.settings.domain
            and now - peer.heard_at <= SOURCE_HEARD_S
            and seniority(peer.report) < own
            for peer in list(self.peers.values())
        )

    def affinity(self, report: Report) -> int:
        """Return a number that spreads clients over sources and stays the same."""
        return zlib.crc32(f"{self.settings.own_ip} {report.ip}".encode())

    def send_report(
        self,
        config_version: int,
        newest_target: int,
        reads: bool,
        loads: dict[int, tuple[int, float]],
        suspects: list[int],
        lost: list[int],
    ) -> None:
        """Send this host's report to its neighbours."""
        ips = list(self.peers) if self.interval_count % INTRODUCED_ROUNDS == 0 else []
        report = Report(
            host=self.settings.name,
            domain=self.settings.domain,
            ip=self.settings.own_ip,
            started_ms=self.started_ms,
            config_version=config_version,
            newest_target=newest_target,
            reads=reads,
            loads=loads,
            suspects=suspects,
            lost=lost,
            neighbours=self.rng.sample(ips, min(len(ips), INTRODUCED_LIMIT)),
        )
        datagram = ENCODER.encode(report)
        for ip in self.receivers():
            try:
                self.socket.sendto(datagram, (ip, self.port))
            except OSError as error:
                self.log.write("report_not_sent", ip=ip, error=str(error))
                continue
            self.counts.add("peer_messages_total", direction="out", kind="report")
            self.counts.add("peer_bytes_total", len(datagram), direction="out")
        self.interval_count += 1


def seniority(report: Report) -> tuple[int, str]:
    """Return the order in which hosts follow the store for others."""
    return report.started_ms, report.ip
