"""Detection of pauses of this process, and of datagrams that outlived them.

A request may be delivered late by a host that was paused. A new home would take it
for a first copy and run it again, so datagrams that waited through a pause are
dropped; callers send them again.
"""

import secrets

import anyio
import logbook

from basilgate import datagrams, logs

LOGGER = logbook.Logger("pauses")

# Below the 2 s that docs/design.md grants to the lifetime of a datagram.
PAUSE_LIMIT_S = 1.0
CHECK_INTERVAL_S = 0.2
# The marker is lost if the receive buffer is full; draining ends all the same.
DRAIN_LIMIT_S = 2.0
MARKER_MAGIC = b"\xba\x5f"
MARKER_BYTES = 16


class PauseGuard:
    """Finds the datagrams of one socket that arrived before or during a pause.

    After a pause the guard sends a marker to its own socket: what comes before the
    marker is stale.

    Parameters
    ----------
    udp : datagrams.DatagramSocket
        The socket.
    address : (str, int)
        Its own address.
    """

    def __init__(self, udp: datagrams.DatagramSocket, address: tuple[str, int]) -> None:
        self.udp = udp
        self.address = address
        self.last_active_at = anyio.current_time()
        self.marker = b""
        self.drain_deadline = 0.0

    async def is_stale(self, datagram: bytes) -> bool:
        """Tell whether a datagram that was just received may be too old."""
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
        """Send a marker behind the datagrams that are waiting."""
        logs.event(LOGGER.warning, "pause_detected", seconds=now - self.last_active_at)
        self.marker = MARKER_MAGIC + secrets.token_bytes(MARKER_BYTES)
        self.drain_deadline = now + DRAIN_LIMIT_S
        await self.udp.sendto(self.marker, *self.address)

    async def check_periodically(self) -> None:
        """Note that the process runs, while no datagram comes."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            if now - self.last_active_at > PAUSE_LIMIT_S:
                await self.start_draining(now)
            self.last_active_at = now
