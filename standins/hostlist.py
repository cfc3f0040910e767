"""Stand-in of the lagging list of hosts that the fabric sprays over."""

import dataclasses
import time

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class HostList:
    """Hosts as the fabric sees them; a change shows only after `lag_s` seconds.

    A host that has died or is leaving keeps getting packets until then.
    """

    lag_s: float = 2.0
    # Newest changes last: time from which the change shows, and the hosts.
    changes: list[tuple[float, list[Address]]] = dataclasses.field(default_factory=list)

    def update(self, hosts: list[Address]) -> None:
        """Note the hosts that live now; the first list shows at once."""
        shown_at = time.monotonic() + (self.lag_s if self.changes else 0.0)
        self.changes.append((shown_at, hosts))

    def current(self) -> list[Address]:
        """Return the hosts that packets go to now."""
        now = time.monotonic()
        while len(self.changes) > 1 and self.changes[1][0] <= now:
            del self.changes[0]
        return self.changes[0][1] if self.changes else []
