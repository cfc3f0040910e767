"""Evacuations of failure domains: which of them must get no new flows."""

import collections.abc

from basilgate import counters, eventlog, fleetmodel


class Evacuations:
    """Failure domains that operators have evacuated, and when evacuations ended.

    `now` is always `clock.steady_s()`. Not safe for threads: `ForwarderProcess.lock`
    guards each change.

    Parameters
    ----------
    log : eventlog.EventLog
        Receives the beginning and the end of each evacuation.
    counts : counters.Counters
        Holds the number of evacuations in force.
    on_change : callable
        Called after each beginning or end.
    """

    def __init__(
        self,
        log: eventlog.EventLog,
        counts: counters.Counters,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self.log = log
        self.counts = counts
        self.on_change = on_change
        # Whether a complete listing of the evacuations was applied.
        self.listed = False
        # Time of the beginning of the evacuations in force, and that of the latest end
        # of the others, in seconds of the steady clock, by failure domain.
        self.begun_at: dict[str, float] = {}
        self.ended_times: dict[str, float] = {}

    def begin(
        self, domain: str, now: float, position: fleetmodel.Position | None = None
    ) -> None:
        """Put the evacuation of a domain in force; it may be in force already.

        No host needs to know the domain. `position` is that of the document, for the
        log.
        """
        if domain in self.begun_at:
            return
        self.begun_at[domain] = now
        self.ended_times.pop(domain, None)
        self.log.write("evacuation_in_force", domain=domain, revision=position or 0)
        self.finish_change()

    def end(
        self, domain: str, now: float, position: fleetmodel.Position | None = None
    ) -> None:
        """End the evacuation of a domain if it is in force."""
        begun_at = self.begun_at.pop(domain, None)
        if begun_at is None:
            return
        self.ended_times[domain] = now
        self.log.write(
            "evacuation_ended",
            domain=domain,
            revision=position or 0,
            lasted_s=now - begun_at,
        )
        self.finish_change()

    def finish_change(self) -> None:
        """Update the gauge, and tell the owner of the change."""
        self.counts.set_gauge("evacuations", len(self.begun_at))
        self.on_change()

    def finish_listing(self) -> None:
        """Record that all evacuations are known from now on."""
        self.listed = True
        self.counts.set_gauge("evacuations", len(self.begun_at))

    def in_force(self, domain: str) -> bool:
        """Return whether a domain is evacuated."""
        return domain in self.begun_at

    def ended_at(self, domain: str) -> float | None:
        """Return when the latest evacuation of a domain ended.

        The time is in seconds of the steady clock. None while the domain is evacuated,
        and if no evacuation of it has ended since the start of the process.
        """
        return self.ended_times.get(domain)
