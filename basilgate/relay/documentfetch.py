"""Fetches documents from peers, beside the connection to the upstream."""

import threading

from basilgate import clock, eventlog, peertable
from basilgate.relay import transfer
from platformedge import documents

# Time to connect to a peer and to receive a large configuration at 10 Mbit/s.
FETCH_TIMEOUT_S = 1.0
# Peers that are asked at the same time. A peer that is suspended accepts connections,
# and the others must not wait for it.
MAX_FETCHES = 3


class DocumentFetcher:
    """Fetches what peers have and this host lacks, once each time it is told to.

    Parameters
    ----------
    peers : peertable.PeerTable
        Supplies the name of this host and the port of the peers.
    receiver : transfer.DocumentReceiver
        Applies the documents.
    log : eventlog.EventLog
        Receives the end of each transfer.
    """

    def __init__(
        self,
        peers: peertable.PeerTable,
        receiver: transfer.DocumentReceiver,
        log: eventlog.EventLog,
    ) -> None:
        self.peers = peers
        self.receiver = receiver
        self.log = log
        self.asked_ips: set[str] = set()  # Addresses of the peers that are asked now.

    def is_busy(self) -> bool:
        """Return whether as many peers are asked as may be at the same time."""
        return len(self.asked_ips) >= MAX_FETCHES

    def start(self, ip: str) -> None:
        """Begin to fetch documents from the peer at `ip`, in a thread of its own."""
        if self.is_busy() or ip in self.asked_ips:
            return
        self.asked_ips.add(ip)
        threading.Thread(
            target=self.fetch, args=(ip,), name="fetch", daemon=True
        ).start()

    def fetch(self, ip: str) -> None:
        """Receive the documents that this host lacks from the peer at `ip`.

        Returns once the peer has sent all of them, cannot, or takes too long.
        """
        deadline = clock.steady_s() + FETCH_TIMEOUT_S
        reason = "received"
        try:
            with transfer.DocumentTransfer(ip) as opened:
                opened.connect(self.peers.port)
                opened.subscribe(
                    self.peers.settings.name, self.receiver.cache, FETCH_TIMEOUT_S
                )
                while not opened.batch_ended:
                    self.receiver.apply_frame(opened.receive(deadline), ip)
        except (OSError, *documents.DECODE_ERRORS) as error:
            reason = str(error)
        finally:
            self.asked_ips.discard(ip)
        self.log.write("fetch_ended", ip=ip, reason=reason)
