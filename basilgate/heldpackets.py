"""Packets that arrive before a host that has just started knows where to send them.

Without holding them, each packet of that time costs its caller a retransmission, whose
delay grows up to 1.6 s, or the attempt to open a flow.
"""

import collections

from platformedge import packets

# A caller sends a request again after 0.2, 0.4, and 0.8 s, and gives up an attempt to
# open a flow 0.8 s after its last opening packet. Older packets have been sent again
# or are of no use to their callers.
MAX_AGE_S = 0.8
MAX_PACKETS = 2_000  # About 2.5 MB of full-size packets.


class HeldPackets:
    """The latest packets, without those that a later one repeats.

    `now` is always `clock.steady_s()`.
    """

    def __init__(self) -> None:
        # Datagrams with the time of their arrival; the oldest comes first.
        self.datagrams: collections.OrderedDict[bytes, tuple[float, bytes]] = (
            collections.OrderedDict()
        )

    def add(self, datagram: bytes, now: float) -> None:
        """Hold a datagram instead of the one that it repeats; drop old ones.

        Of the copies of an opening packet only the last one is held, since each would
        open the flow at another target.
        """
        packet = packets.decode(datagram)
        if packet is None:
            return
        key = packet.flow
        if not packet.opening:
            key += packet.sequence.to_bytes(4, "big") + bytes(
                (packet.closing, packet.resetting, packet.data_bytes > 0)
            )
        self.datagrams.pop(key, None)
        self.datagrams[key] = (now, datagram)
        while len(self.datagrams) > MAX_PACKETS:
            self.datagrams.popitem(last=False)

    def take(self, now: float) -> list[bytes]:
        """Return the datagrams that are not too old, in the order of their arrival."""
        taken = [
            datagram
            for arrived_at, datagram in self.datagrams.values()
            if now - arrived_at <= MAX_AGE_S
        ]
        self.datagrams.clear()
        return taken
