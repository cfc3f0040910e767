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
SILENCE_TIMEOUT_S = 0.5
LOAD_AGE_LIMIT_S = 1.5  # Counts of a host that has gone are left out after some rounds.
# Longer than a cut of a failure domain, so that neighbours find each other again.
PEER_EXPIRY_S = 60.0
SEED_INTERVALS = 25  # Seeds are asked again every 5 s.
# Reports to the own failure domain in a round. Its hosts hear as many a round, so that
# bytes do not grow with the failure domain.
OWN_DOMAIN_RECEIVERS = 8
# Hosts of another failure domain that hear this one in a round. With as many hosts
# there as here each of them hears three reports a round, and two if they are many: one
# of many hosts would hear none in three rounds every few seconds.
OTHER_DOMAIN_RECEIVERS = 3
OTHER_DOMAIN_RECEIVERS_IF_LARGE = 2
LARGE_DOMAIN_HOSTS = 8  # Hosts of a failure domain.
# A host of a failure domain of 30 is heard every 0.6 s in the mean.
UPSTREAM_REPORT_AGE_LIMIT_S = 1.2
MAX_PEER_ADDRESSES = 8  # Addresses of other neighbours in a report.
PEER_ADDRESS_INTERVALS = 5  # Rounds between two reports with such addresses.
RECEIVE_BYTES = 8_192  # Counts of some 500 targets.


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
            datagram, (ip, _) = self.socket.recvfrom(RECEIVE_BYTES)
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
        known_peer = self.peers.get(report.ip)
        if known_peer is None or known_peer.report is None:
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
        last_heard: dict[str, float] = {}
        for ip, peer in list(self.peers.items()):
            report = peer.report
            if now - peer.heard_at > PEER_EXPIRY_S:
                del self.peers[ip]
                self.log.write("neighbour_forgotten", ip=ip)
            elif report is not None:
                known_time = last_heard.get(report.domain, 0.0)
                last_heard[report.domain] = max(known_time, peer.heard_at)
                if now - peer.heard_at <= LOAD_AGE_LIMIT_S:
                    for token, (flows, running) in report.loads.items():
                        total = loads.get(token, (0, 0.0))
                        loads[token] = (total[0] + flows, total[1] + running)
        self.loads = loads
        restored = []
        for domain, heard_at in last_heard.items():
            reachable = now - heard_at <= SILENCE_TIMEOUT_S
            if self.reachable_domains.get(domain, True) != reachable:
                self.log.write("domain_audible", domain=domain, audible=reachable)
                if reachable:
                    restored.append(domain)
            self.reachable_domains[domain] = reachable
        return restored

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
        unknown_ips = []
        for ip, peer in list(self.peers.items()):
            if peer.report is None:
                unknown_ips.append(ip)
            else:
                by_domain.setdefault(peer.report.domain, []).append(ip)
        receiver_ips = unknown_ips[:OWN_DOMAIN_RECEIVERS]
        own_domain_hosts = len(by_domain.get(self.settings.domain, ())) + 1
        for domain, ips in by_domain.items():
            if domain == self.settings.domain:
                limit = OWN_DOMAIN_RECEIVERS
            else:
                limit = (
                    OTHER_DOMAIN_RECEIVERS
                    if own_domain_hosts < LARGE_DOMAIN_HOSTS
                    else OTHER_DOMAIN_RECEIVERS_IF_LARGE
                )
            receiver_ips += ips if len(ips) <= limit else self.rng.sample(ips, limit)
        if not self.peers or self.interval_count % SEED_INTERVALS == 0:
            own_ip = self.settings.own_ip
            receiver_ips += [
                seed
                for seed in self.settings.seeds
                if seed not in receiver_ips and seed != own_ip
            ]
        return receiver_ips

    def choose_upstream(
        self,
        now: float,
        store_fails: bool,
        has_all_kinds: bool,
        avoided_ips: collections.abc.Collection[str],
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
        reports = [
            peer.report
            for peer in list(self.peers.values())
            if peer.report is not None
            and now - peer.heard_at <= UPSTREAM_REPORT_AGE_LIMIT_S
            and peer.ip not in avoided_ips
        ]
        if store_fails:
            # One that is behind may be turned away without having noticed.
            newest = max((report.config_version for report in reports), default=0)
            reports = [report for report in reports if report.config_version == newest]
        own_domain_reports = [
            report
            for report in reports
            if report.reads and report.domain == self.settings.domain
        ]
        chosen = min(own_domain_reports, key=start_order, default=None)
        if not store_fails:
            own_order = (self.started_ms, self.settings.own_ip)
            return (
                chosen.ip
                if chosen is not None and start_order(chosen) < own_order
                else None
            )
        if chosen is None:
            candidates = [report for report in reports if report.reads]
            if not candidates and not has_all_kinds:
                candidates = [report for report in reports if report.config_version > 0]
            chosen = min(candidates, key=self.upstream_hash, default=None)
        return chosen.ip if chosen is not None else None

    def upstream_rank(self, now: float) -> int:
        """Return how many hosts of the own failure domain have run longer."""
        own_order = (self.started_ms, self.settings.own_ip)
        return sum(
            peer.report is not None
            and peer.report.domain == self.settings.domain
            and now - peer.heard_at <= UPSTREAM_REPORT_AGE_LIMIT_S
            and start_order(peer.report) < own_order
            for peer in list(self.peers.values())
        )

    def upstream_hash(self, report: Report) -> int:
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
        known_ips = (
            list(self.peers)
            if self.interval_count % PEER_ADDRESS_INTERVALS == 0
            else []
        )
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
            neighbours=self.rng.sample(
                known_ips, min(len(known_ips), MAX_PEER_ADDRESSES)
            ),
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


def start_order(report: Report) -> tuple[int, str]:
    """Return the order in which hosts follow the store for others."""
    return report.started_ms, report.ip
