"""Receives the store's documents from an upstream."""

import time

from basilgate import clock, counters, documentcache, eventlog, peertable
from basilgate.relay import relaymessages, relayserver, transfer
from platformedge import documents

# Tolerates a missed heartbeat (two intervals of 0.25 s) and a late timer, and leaves
# time to query the store within the 3 s limit for applying a change.
HEARTBEAT_TIMEOUT_S = 0.7
UPSTREAM_SEARCH_INTERVAL_S = 0.2  # About as long as the interval of the reports.
# Time for which a host that refused a connection is not chosen. If it has stopped, its
# last report is too old for it to be chosen (1.2 s) once this time is over.
AVOID_UNREACHABLE_S = 1.5


class RelayClient:
    """Receives documents from an upstream, which saves calls to the store.

    `run` needs a thread of its own; the other methods may be called from any thread.

    Parameters
    ----------
    peers : peertable.PeerTable
        Chooses the upstream by the peers' reports.
    cache : documentcache.DocumentCache
        Receives the documents.
    log : eventlog.EventLog
        Receives the start and end of each connection.
    counts : counters.Counters
        Counts messages received.
    """

    def __init__(
        self,
        peers: peertable.PeerTable,
        cache: documentcache.DocumentCache,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.peers = peers
        self.cache = cache
        self.log = log
        self.receiver = transfer.DocumentReceiver(cache, log, counts)
        # Time, in seconds of the steady clock, until which the upstream counts as
        # watching the store; 0 if it does not.
        self.fresh_until = 0.0
        self.upstream = ""  # IP address; empty if not connected.
        # Time until which a host is not chosen as upstream, by its address.
        self.avoided_until: dict[str, float] = {}
        # When an upstream was given up since it sent nothing, by its address. A process
        # that is suspended still accepts connections, so it is not chosen before it is
        # heard again.
        self.silent_since: dict[str, float] = {}
        # Returns whether this host's calls to the store fail. `bool` returns False and
        # is used until the process sets its own function.
        self.store_fails: relayserver.WatchesStore = bool

    def is_fresh(self) -> bool:
        """Return whether an upstream that watches the store sent a message recently."""
        return clock.steady_s() < self.fresh_until

    def rank(self) -> int:
        """Return how many hosts of the own failure domain call the store earlier."""
        return self.peers.upstream_rank(clock.steady_s())

    def run(self) -> None:
        """Receive documents whenever there is an upstream, until the process ends."""
        while True:
            ip = self.choose_upstream()
            if ip is not None:
                self.follow_upstream(ip)
            time.sleep(UPSTREAM_SEARCH_INTERVAL_S)

    def choose_upstream(self) -> str | None:
        """Return the address of the upstream, None to call the store instead.

        The current upstream is kept while it watches the store.
        """
        now = clock.steady_s()
        if self.upstream and now < self.fresh_until:
            return self.upstream
        has_all_kinds = all(self.cache.changes().values())
        avoided_ips = [ip for ip, until in self.avoided_until.items() if now < until]
        avoided_ips += [
            ip
            for ip, since in self.silent_since.items()
            if not self.peers.was_heard_after(ip, since)
        ]
        return self.peers.choose_upstream(
            now, self.store_fails(), has_all_kinds, avoided_ips, self.cache.era
        )

    def follow_upstream(self, ip: str) -> None:
        """Receive documents from the host at `ip` while it remains the chosen one.

        A batch of several kinds is received whole, since the next upstream may lack the
        rest of it.
        """
        try:
            with transfer.DocumentTransfer(ip) as opened:
                try:
                    opened.connect(self.peers.port)
                except OSError:
                    self.avoided_until[ip] = clock.steady_s() + AVOID_UNREACHABLE_S
                    raise
                opened.subscribe(
                    self.peers.settings.name, self.cache, HEARTBEAT_TIMEOUT_S
                )
                self.log.write("relay_connected", relay_source=ip)
                self.upstream = ip
                self.silent_since.pop(ip, None)
                while not opened.batch_ended or self.choose_upstream() == ip:
                    self.apply_frame(opened.receive())
            reason = "other_source"
        except (OSError, *documents.DECODE_ERRORS) as error:
            reason = str(error)
            if isinstance(error, TimeoutError):
                self.silent_since[ip] = clock.steady_s()
        finally:
            self.fresh_until = 0.0
            self.upstream = ""
        self.log.write("relay_lost", relay_source=ip, reason=reason)

    def apply_frame(self, frame: relaymessages.DocumentFrame) -> None:
        """Apply a message of the upstream, and update its freshness.

        An upstream that has not heard of the store's return does not count as fresh.
        """
        self.receiver.apply_frame(frame, self.upstream)
        is_fresh = frame.reads and frame.era >= self.cache.era
        self.fresh_until = clock.steady_s() + HEARTBEAT_TIMEOUT_S if is_fresh else 0.0
