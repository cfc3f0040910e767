"""Table of the peers, and their reports: loads, suspected targets, and versions.

Each host sends a short report over UDP to some of its peers every `REPORT_INTERVAL_S`.
Reports are hints: the next one replaces a lost one, and no decision waits for one.
"""

import collections.abc
import heapq
import math
import random
import socket
import time
import typing
import zlib

import msgspec

from basilgate import counters, eventlog, fleetmodel
from platformedge import bounds, documents

REPORT_INTERVAL_S = 0.15  # Shorter than a caller's first retransmission delay.
# Three report intervals, so that one lost datagram does not count as silence.
SILENCE_TIMEOUT_S = 0.5
LOAD_AGE_LIMIT_S = (
    1.5  # Age of a report, ten intervals, after which its loads are ignored.
)
# Twice the mean time, 5 s, between two reports of one host to another failure domain of
# 70 hosts. A host that is silent for longer has failed, and its callers use others.
RECENT_AGE_S = 10.0
# Longer than a failure domain is usually cut off, so that the hosts on both sides still
# have each other's addresses afterwards.
PEER_EXPIRY_S = 60.0
SEED_INTERVALS = 25  # Intervals between two reports to all seeds: 3.75 s.
# Reports that a host sends into its own failure domain per interval. On average each
# host receives as many, so that traffic does not grow with the size of the domain.
OWN_DOMAIN_RECEIVERS = 8
# Reports that a host sends into each other failure domain per interval. Between domains
# of equal size each host receives three per interval on average, and two if the domains
# are large. With only one, some host of a large domain would receive none for three
# intervals, which counts as silence, every few seconds.
OTHER_DOMAIN_RECEIVERS = 3
OTHER_DOMAIN_RECEIVERS_IF_LARGE = 2
LARGE_DOMAIN_HOSTS = 8  # Smallest size of a large failure domain.
# Twice the mean time, 0.6 s, between reports of one host in a failure domain of 30.
UPSTREAM_REPORT_AGE_LIMIT_S = 1.2
# Reports that a host sends to its whole failure domain when it begins to watch the
# store, so that the others take its documents instead of calling too. One may be lost.
READER_ANNOUNCEMENTS = 2
MAX_PEER_ADDRESSES = 8  # Addresses of other peers in one report.
PEER_ADDRESS_INTERVALS = 5  # Intervals between two reports with these addresses.
RECEIVE_BYTES = 8_192  # Enough for a report with the loads of about 500 targets.
MAX_RUNNING = 1e6  # Running requests at a target in a report; more are malformed.
Running = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RUNNING)]


class Report(msgspec.Struct, array_like=True):
    """One host's report, sent as an array of these fields in this order.

    `started_ms` is the Unix time of the host's start, `config_version` the version in
    use, 0 without a configuration. `newest_target` is the revision of the latest change
    of a target; `reads` is true while the host watches the store and its calls succeed.
    `loads` holds the numbers of open flows and running requests by token of the target;
    `suspects` are the tokens of suspected targets, `lost` of unreachable ones.
    `neighbours` are IP addresses of some of the host's peers. `era` is the store's era
    of the host's targets, 0 if the host or the store knows of none. `newest_evacuation`
    is the revision of the latest change of an evacuation, 0 if none is known in `era`;
    `newest_override` that of an override.
    """

    host: bounds.Name
    domain: bounds.Name
    ip: bounds.AddressText
    started_ms: bounds.UnixMilliseconds
    config_version: bounds.Version
    newest_target: bounds.Revision
    reads: bool
    loads: dict[bounds.Unsigned32, tuple[bounds.Count, Running]]
    suspects: list[bounds.Unsigned32]
    lost: list[bounds.Unsigned32]
    neighbours: list[bounds.AddressText]
    era: bounds.ConfirmedEra = 0
    newest_evacuation: bounds.Revision = 0
    newest_override: bounds.Revision = 0

    @property
    def newest_position(self) -> fleetmodel.Position:
        """Where in the store's history the latest change of a target was."""
        return fleetmodel.Position(self.era, self.newest_target)

    @property
    def newest_evacuation_position(self) -> fleetmodel.Position | None:
        """Where the latest change of an evacuation was, None if none is known."""
        if not self.newest_evacuation:
            return None
        return fleetmodel.Position(self.era, self.newest_evacuation)

    @property
    def newest_override_position(self) -> fleetmodel.Position | None:
        """Where the latest change of an override was, None if none is known."""
        if not self.newest_override:
            return None
        return fleetmodel.Position(self.era, self.newest_override)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Report)


def decode_report(datagram: bytes) -> Report | None:
    """Return the report in a datagram, None if it is malformed.

    A report is malformed if it does not decode, a number is out of bounds, or an
    address is none.
    """
    try:
        report = DECODER.decode(datagram)
    except documents.DECODE_ERRORS:
        return None
    valid = all(map(fleetmodel.is_ipv4_address, report.neighbours))
    return report if valid else None


class Peer(msgspec.Struct):
    """A host whose address is known, with its last report; None before the first.

    `heard_at` is the time of the last report, or of learning the address, in seconds of
    the steady clock; `first_heard_at` is that of the first report, 0 before it.
    """

    ip: str
    heard_at: float
    report: Report | None = None
    first_heard_at: float = 0.0


class DomainLoads(msgspec.Struct, gc=False):
    """Requests that the hosts of one failure domain report, and how many were heard.

    Attributes
    ----------
    known : int
        Number of hosts that have reported within `PEER_EXPIRY_S`.
    recent : int
        Number of these that have reported within `RECENT_AGE_S`.
    heard : int
        Number of these that have reported within `LOAD_AGE_LIMIT_S`.
    oldest_at : float
        Time of the oldest report that counts as heard, in seconds of the steady clock.
    loads : dict of int to (int, float)
        Flows and running requests that these report, by token of the target.
    """

    known: int = 0
    recent: int = 0
    heard: int = 0
    oldest_at: float = math.inf
    loads: dict[int, tuple[int, float]] = msgspec.field(default_factory=dict)


class PeerTable:
    """Keeps the last report of each peer, and sends this host's reports.

    It derives the peers' loads, the reachable failure domains and the upstream from the
    reports. `record_report` and `refresh` are called under the lock that guards the
    view; `receive_report` blocks and is called by one thread without it.

    Parameters
    ----------
    settings : fleetmodel.HostSettings
        Name, failure domain, addresses, and seeds of this host.
    log : eventlog.EventLog
        Receives found and expired peers, and failed sends.
    counts : counters.Counters
        Counts messages and bytes.
    """

    def __init__(
        self,
        settings: fleetmodel.HostSettings,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.reset(settings, log, counts, int(time.time() * 1e3))
        self.rng = random.Random()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((settings.own_ip, self.port))

    def reset(
        self,
        settings: fleetmodel.HostSettings,
        log: eventlog.EventLog,
        counts: counters.Counters,
        started_ms: int,
    ) -> None:
        """Start with an empty table; `started_ms` is the Unix time of the start."""
        self.settings = settings
        self.log = log
        self.counts = counts
        self.started_ms = started_ms
        self.port = settings.peer_ports[0]
        self.peers: dict[str, Peer] = {}  # By IP address.
        # Whether a failure domain was heard lately, by its name; domains without a
        # report so far are missing.
        self.reachable_domains: dict[str, bool] = {}
        self.interval_count = 0
        # Reports still to be sent to the whole failure domain, and whether the last one
        # said that this host watches the store.
        self.announcements_left = 0
        self.was_reading = False
        # Reports of hosts that were heard for the first time since the last interval.
        self.newcomers: list[Report] = []
        # Open flows and running requests of all peers, by token of the target.
        self.loads: dict[int, tuple[int, float]] = {}
        # The same by failure domain of the reporting hosts, as of the last refresh, and
        # the number of peers without a report, whose failure domain is not known.
        self.domain_loads: dict[str, DomainLoads] = {}
        self.unreported_count = 0

    def receive_report(self) -> Report | None:
        """Wait for a datagram and return its report, None if it has no valid one.

        Reports whose address differs from the sender's are dropped.
        """
        try:
            datagram, (ip, _) = self.socket.recvfrom(RECEIVE_BYTES)
        except OSError as error:
            self.log.write("report_not_received", error=str(error))
            return None
        report = decode_report(datagram)
        if report is None:
            self.counts.add("peer_messages_total", direction="in", kind="malformed")
            return None
        if report.ip != ip or ip == self.settings.own_ip:
            return None
        self.counts.add("peer_messages_total", direction="in", kind="report")
        return report

    def record_report(self, report: Report, now: float) -> None:
        """Store a peer's report, and add the peers that it names."""
        known_peer = self.peers.get(report.ip)
        first_heard_at = now
        if known_peer is not None and known_peer.report is not None:
            first_heard_at = known_peer.first_heard_at
        else:
            self.log.write("neighbour_found", neighbour=report.host, ip=report.ip)
            self.newcomers.append(report)
        self.peers[report.ip] = Peer(report.ip, now, report, first_heard_at)
        for ip in report.neighbours:
            if ip != self.settings.own_ip and ip not in self.peers:
                self.peers[ip] = Peer(ip, now)

    def refresh(self, now: float) -> list[str]:
        """Expire old peers, and derive loads and reachable domains from the reports.

        Returns the failure domains that were silent and are reachable again.
        """
        domain_loads: dict[str, DomainLoads] = {}
        unreported_count = 0
        last_heard: dict[str, float] = {}
        for ip, peer in list(self.peers.items()):
            report = peer.report
            if now - peer.heard_at > PEER_EXPIRY_S:
                del self.peers[ip]
                self.log.write("neighbour_forgotten", ip=ip)
            elif report is None:
                unreported_count += 1
            else:
                known_time = last_heard.get(report.domain, 0.0)
                last_heard[report.domain] = max(known_time, peer.heard_at)
                domain = domain_loads.get(report.domain)
                if domain is None:
                    domain = domain_loads[report.domain] = DomainLoads()
                domain.known += 1
                domain.recent += now - peer.heard_at <= RECENT_AGE_S
                if now - peer.heard_at <= LOAD_AGE_LIMIT_S:
                    domain.heard += 1
                    domain.oldest_at = min(domain.oldest_at, peer.heard_at)
                    add_loads(domain.loads, report.loads)
        self.domain_loads = domain_loads
        self.unreported_count = unreported_count
        loads: dict[int, tuple[int, float]] = {}
        for domain in domain_loads.values():
            add_loads(loads, domain.loads)
        self.loads = loads
        restored = []
        for name, heard_at in last_heard.items():
            reachable = now - heard_at <= SILENCE_TIMEOUT_S
            if self.reachable_domains.get(name, True) != reachable:
                self.log.write("domain_audible", domain=name, audible=reachable)
                if reachable:
                    restored.append(name)
            self.reachable_domains[name] = reachable
        return restored

    def restart_silence_timers(self, now: float) -> None:
        """Count the silence of all peers from `now`, after this process was paused."""
        for peer in self.peers.values():
            peer.heard_at = max(peer.heard_at, now)

    def was_heard_after(self, ip: str, moment: float) -> bool:
        """Return whether a peer has sent a report after a steady time."""
        peer = self.peers.get(ip)
        return peer is not None and peer.heard_at > moment

    def is_domain_silent(self, domain: str) -> bool:
        """Return whether all peers of a failure domain are silent."""
        return not self.reachable_domains.get(domain, True)

    def receivers(self, reads: bool) -> list[str]:
        """Return the addresses to which this interval's report is sent.

        A host that begins to watch the store (`reads`) tells its whole failure domain.
        """
        if reads and not self.was_reading:
            self.announcements_left = READER_ANNOUNCEMENTS
        self.was_reading = reads
        announces = reads and self.announcements_left > 0
        if announces:
            self.announcements_left -= 1
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
                limit = len(ips) if announces else OWN_DOMAIN_RECEIVERS
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
        era: int = 0,
    ) -> str | None:
        """Return the address of the host to receive documents from, None for none.

        That is the host of the own failure domain that watches the store and has run
        longest; None if this host has run longer. While `store_fails`, it may be a host
        of any failure domain.

        Parameters
        ----------
        now : float
            Current time, in seconds of the steady clock.
        store_fails : bool
            Whether this host's calls to the store fail, so that any host that watches
            the store is chosen.
        has_all_kinds : bool
            Whether this host has documents of all kinds; if not, and no host watches
            the store, a host that has a configuration is chosen.
        avoided_ips : collection of str
            Addresses that must not be returned.
        era : int
            Latest era of the store that this host knows. Hosts that have not heard of
            the store's return are not chosen.
        """
        reports = [
            peer.report
            for peer in list(self.peers.values())
            if peer.report is not None
            and now - peer.heard_at <= UPSTREAM_REPORT_AGE_LIMIT_S
            and peer.ip not in avoided_ips
            and peer.report.era >= era
        ]
        if store_fails:
            # A host with an older version may not have noticed yet that its own calls
            # to the store fail.
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
        """Return how many peers of the own failure domain have run longer."""
        own_order = (self.started_ms, self.settings.own_ip)
        return sum(
            peer.report is not None
            and peer.report.domain == self.settings.domain
            and now - peer.heard_at <= UPSTREAM_REPORT_AGE_LIMIT_S
            and start_order(peer.report) < own_order
            for peer in list(self.peers.values())
        )

    def reader_rank(self, now: float) -> int:
        """Return how many peers that watch the store have run longer, in any domain."""
        own_order = (self.started_ms, self.settings.own_ip)
        return sum(
            peer.report is not None
            and peer.report.reads
            and now - peer.heard_at <= UPSTREAM_REPORT_AGE_LIMIT_S
            and start_order(peer.report) < own_order
            for peer in list(self.peers.values())
        )

    def upstream_hash(self, report: Report) -> int:
        """Return a stable hash of this host and a peer.

        Its minimum spreads downstreams over the possible upstreams.
        """
        return zlib.crc32(f"{self.settings.own_ip} {report.ip}".encode())

    def make_report(
        self,
        config_version: int,
        newest_target: int,
        reads: bool,
        loads: dict[int, tuple[int, float]],
        suspects: list[int],
        lost: list[int],
        era: int = 0,
        newest_evacuation: int = 0,
        newest_override: int = 0,
    ) -> Report:
        """Return this host's report, with the addresses of some peers at times.

        The parameters are the fields of `Report`.
        """
        known_ips = (
            list(self.peers)
            if self.interval_count % PEER_ADDRESS_INTERVALS == 0
            else []
        )
        return Report(
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
            era=era,
            newest_evacuation=newest_evacuation,
            newest_override=newest_override,
        )

    def addressed_reports(self, report: Report) -> list[tuple[Report, list[str]]]:
        """Return the reports of this interval with the addresses that get each.

        A host that is heard for the first time and has no configuration yet is just
        starting. It gets the addresses of the hosts of its failure domain that have run
        longest, among which it has to find its upstream.
        """
        addressed = [(report, self.receivers(report.reads))]
        newcomers, self.newcomers = self.newcomers, []
        by_domain: dict[str, list[str]] = {}
        for newcomer in newcomers:
            is_near = newcomer.domain == self.settings.domain
            if newcomer.config_version == 0 or (report.reads and is_near):
                by_domain.setdefault(newcomer.domain, []).append(newcomer.ip)
        for domain, ips in by_domain.items():
            introduction = msgspec.structs.replace(
                report, neighbours=self.longest_running(domain)
            )
            addressed.append((introduction, ips))
        return addressed

    def longest_running(self, domain: str) -> list[str]:
        """Return the addresses of the hosts of a domain that have run longest."""
        reports = [
            peer.report
            for peer in list(self.peers.values())
            if peer.report is not None and peer.report.domain == domain
        ]
        return [
            report.ip
            for report in heapq.nsmallest(MAX_PEER_ADDRESSES, reports, key=start_order)
        ]

    def send_report(self, report: Report) -> None:
        """Send a report to the peers chosen for this interval."""
        for addressed, ips in self.addressed_reports(report):
            datagram = ENCODER.encode(addressed)
            for ip in ips:
                try:
                    self.socket.sendto(datagram, (ip, self.port))
                except OSError as error:
                    self.log.write("report_not_sent", ip=ip, error=str(error))
                    continue
                self.counts.add("peer_messages_total", direction="out", kind="report")
                self.counts.add("peer_bytes_total", len(datagram), direction="out")
        self.interval_count += 1


def add_loads(
    totals: dict[int, tuple[int, float]], loads: dict[int, tuple[int, float]]
) -> None:
    """Add flows and running requests to totals, both by token of the target."""
    for token, (flows, running) in loads.items():
        total = totals.get(token, (0, 0.0))
        totals[token] = (total[0] + flows, total[1] + running)


def start_order(report: Report) -> tuple[int, str]:
    """Return a sort key by start time; the first host becomes the upstream."""
    return report.started_ms, report.ip
