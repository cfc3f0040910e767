"""Judges by requests whether hosts have a configuration that is older than allowed.

Each version has a route of its own. Callers open flows to the routes of the latest
versions; a flow that a target took by a route that every version in force may only have
dropped shows that a host was late.
"""

import collections.abc
import dataclasses
import random
import time
import typing

from standins import fleetcaller

if typing.TYPE_CHECKING:
    from lab import fleetsoak

CALLERS = 4
RECENT_VERSIONS = 4
PAUSE_S = 0.03
# Until the time of a version that was accepted is noted.
NOTE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One version of the configuration; `accepted_at` is monotonic, in seconds."""

    accepted_at: float
    number: int
    port: int


class ChangedRoutes:
    """Calls the routes of the latest versions, and judges the flows that were opened.

    Parameters
    ----------
    soak : fleetsoak.Soak
        Supplies callers, targets, and what excuses a host.
    """

    def __init__(self, soak: "fleetsoak.Soak") -> None:
        self.soak = soak
        self.versions: list[Version] = []
        # When the first packet of each flow was sent, its port, and the flow.
        self.flows: list[tuple[float, int, fleetcaller.Flow]] = []
        self.judged = 0  # Flows through hosts in touch.

    def note(self, number: int, port: int) -> None:
        """Keep a version that the store has just accepted."""
        self.versions.append(Version(time.monotonic(), number, port))

    def jobs(self) -> list[collections.abc.Callable[[], None]]:
        """Return the callers, each for a thread of its own."""
        return [self.call] * CALLERS

    def call(self) -> None:
        """Open flows to the routes of the latest versions until the soak ends."""
        callers = self.soak.callers[0]
        rng = random.Random()
        while not self.soak.ending.is_set():
            port = rng.choice(self.versions[-RECENT_VERSIONS:]).port
            began = time.monotonic()
            flow = callers.open(self.soak.service_ip, port)
            self.flows.append((began, port, flow))
            if flow.opened_by is not None:
                callers.send(flow, 4 | 16, 1, b"")
            time.sleep(PAUSE_S)

    def allowed_ports(self, began: float, opened_at: float, bound_s: float) -> set[int]:
        """Return the ports that a host in touch may route to.

        They are those of the latest version that was accepted `bound_s` before a flow
        began, and of all versions from there until a target took it.
        """
        due = [v for v in self.versions if v.accepted_at < began - bound_s]
        later = [
            v
            for v in self.versions
            if began - bound_s <= v.accepted_at <= opened_at + NOTE_S
        ]
        return {version.port for version in [*due[-1:], *later]}

    def check(self, bound_s: float) -> list[str]:
        """Return a problem for each flow that only an older version allows."""
        openings: dict[bytes, tuple[float, str]] = {}
        for target in self.soak.targets:
            for moment, key, host in target.openings:
                openings[key] = min(openings.get(key, (moment, host)), (moment, host))
        problems = []
        for began, port, flow in self.flows:
            if flow.opened_by is None or flow.key not in openings:
                continue
            moment, host = openings[flow.key]
            if not all(self.soak.is_in_touch(host, at) for at in (began, moment)):
                continue
            self.judged += 1
            if port not in self.allowed_ports(began, moment, bound_s):
                problems.append(f"{host} handled a flow by a route that was dropped")
        return problems
