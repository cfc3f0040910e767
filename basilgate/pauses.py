"""Detection of pauses of this process, and of datagrams that waited through them.

After a pause a host would read requests that are too old. If it relayed one, the
target's new owner, which has no record of it, could run the request a second time. So
datagrams that waited through a pause are dropped; callers send their requests again.
"""

import secrets

import anyio
import logbook

from basilgate import datagrams, logs

LOGGER = logbook.Logger("pauses")

# A longer time without activity is a pause. It is below the 2 s for which a datagram
# may live, see `membership.DATAGRAM_LIFETIME_S`.
PAUSE_LIMIT_S = 1.0
CHECK_INTERVAL_S = 0.2
# Draining ends after this time even if the marker is lost, which happens when the
# receive buffer is full.
DRAIN_LIMIT_S = 2.0
MARKER_MAGIC = b"\xba\x5f"
MARKER_BYTES = 16


class PauseGuard:
    """Detects the datagrams of one socket that arrived before or during a pause.

    After a pause the guard sends a random marker to its own socket: each datagram
    received before the marker is stale. The task `check_periodically` must run, or a
    quiet socket looks like a pause.

    Parameters
    ----------
    udp : datagrams.DatagramSocket
        The guarded socket, which sends the marker.
    address : (str, int)
        Local IP address and port of the socket.
    """

    def __init__(self, udp: datagrams.DatagramSocket, address: tuple[str, int]) -> None:
        self.udp = udp
        self.address = address
        self.last_active_at = anyio.current_time()
        # Marker that is awaited, empty while datagrams are not drained.
        self.marker = b""
        self.drain_deadline = 0.0

    async def is_stale(self, datagram: bytes) -> bool:
        """Return whether a datagram that was just received waited through a pause.

        The marker itself counts as stale.
        """
        now = anyio.current_time()
        if now - self.last_active_at > PAUSE_LIMIT_S:
            await self.start_draining(now)
        self.last_active_at = now
        if not self.marker:
            return False
        if datagram == self.marker or now >= self.drain_deadline:
            self.marker = b""
        return True

    async def start_draining(self, now: float) -> None:
        """Send a marker, which is queued behind the datagrams that are waiting."""
        logs.event(LOGGER.warning, "pause_detected", seconds=now - self.last_active_at)
        self.marker = MARKER_MAGIC + secrets.token_bytes(MARKER_BYTES)
        self.drain_deadline = now + DRAIN_LIMIT_S
        await self.udp.sendto(self.marker, *self.address)

    async def check_periodically(self) -> None:
        """Record that the process runs while no datagrams arrive, and detect pauses."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            if now - self.last_active_at > PAUSE_LIMIT_S:
                await self.start_draining(now)
            self.last_active_at = now
