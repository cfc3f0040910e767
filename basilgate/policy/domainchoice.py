"""Preference of a host for targets of its own failure domain."""

import collections
import collections.abc
import math

import msgspec

from basilgate import counters, eventlog, fleetview, flowtable

# Environment variable with the price of leaving the own failure domain: time in
# milliseconds by which a request has to be quicker in another one.
PRICE_VARIABLE = "BASILGATE_DOMAIN_PRICE_MS"
MAX_PRICE_MS = 10_000.0  # Longer than most deadlines of callers; more is a mistake.
# Load in requests in progress per slot by which the own failure domain may exceed
# another one while the delay of the link, or the time of a request, is not known.
DEFAULT_EXTRA_LOAD = 0.3
# Load in requests per slot from which the price does not count, since targets refuse
# requests soon: of two slots with a queue of 8 the best target has 2 waiting then, and
# others have more.
FULL_LOAD = 2.0
# Interval between two estimates of the time of a service's requests.
ESTIMATE_INTERVAL_S = 0.3
# Time constant of the share of a service's flows that leave.
SHARE_WINDOW_S = 1.0
# Openings over which the median delay is taken, and the fewest that give one.
DELAY_SAMPLES = 31
MIN_DELAY_SAMPLES = 5
# Weight of one opening in the moving share of openings that were repeated.
LOSS_WEIGHT = 1 / 32
CALLER_RETRANSMISSION_S = 0.2  # A lost packet costs its caller this time.
# Measurements of a link to which no flow was sent for this long are dropped, so that a
# link that has recovered is tried again.
MEASUREMENT_LIFETIME_S = 30.0
# Share from which leaving is logged as started, and below which it ends.
LOGGED_SHARE = 0.05
MIN_SHARE = 0.005


class Link(msgspec.Struct, gc=False):
    """Measured openings of flows to the targets of one failure domain.

    Attributes
    ----------
    delays_s : collections.deque of float
        Times from the last opening packets to their callers' next packets, in seconds.
    median_s : float or None
        Median of `delays_s`, None while there are fewer than `MIN_DELAY_SAMPLES`.
    loss : float
        Moving share of opening packets that their callers repeated.
    expires_at : float
        Monotonic time in seconds from which the measurements are not used.
    """

    delays_s: collections.deque[float]
    median_s: float | None = None
    loss: float = 0.0
    expires_at: float = 0.0


class ServiceState(msgspec.Struct, gc=False):
    """Estimates of one service, and how many of its flows leave.

    Attributes
    ----------
    request_s : float or None
        Mean time of a request at a target, with its wait, in seconds; None if unknown.
    next_estimate_at : float
        Monotonic time in seconds from which the estimate is made again.
    near_load : float or None
        Requests in progress per slot at the least loaded target of the own failure
        domain, None if it has no usable one.
    share : float
        Moving share of the new flows that leave.
    placed_at : float
        Monotonic time of the last new flow in seconds.
    logged : bool
        Whether leaving was logged as started.
    """

    request_s: float | None = None
    next_estimate_at: float = 0.0
    near_load: float | None = None
    share: float = 0.0
    placed_at: float = 0.0
    logged: bool = False


class DomainChoice:
    """Decides by how much targets of other failure domains have to be less loaded.

    A request that finds one more request per slot at its target waits for about the
    time of one request. So a flow leaves its failure domain if the difference in load,
    as time, is more than the extra time of the link and the price of leaving. Not safe
    for threads: `ForwarderProcess.lock` guards each use. `now` is always
    `clock.steady_s()`.

    Parameters
    ----------
    domain : str
        Failure domain of this host.
    price_s : float
        Time in seconds by which a request has to be quicker in another domain.
    flows : flowtable.FlowTable
        Provides the times of this host's requests by target.
    log : eventlog.EventLog
        Receives an event when flows start or stop to leave.
    counts : counters.Counters
        Holds the measured delay of each failure domain.
    """

    def __init__(
        self,
        domain: str,
        price_s: float,
        flows: flowtable.FlowTable,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.domain = domain
        self.price_s = price_s
        self.flows = flows
        self.log = log
        self.counts = counts
        self.links: dict[str, Link] = {}
        self.services: dict[str, ServiceState] = {}

    def extra_loads(
        self,
        service: str,
        entries: collections.abc.Sequence[fleetview.TargetEntry],
        loads: collections.abc.Sequence[float],
        now: float,
    ) -> dict[str, float]:
        """Return the extra load of each failure domain's targets for one new flow.

        The unit is requests in progress per slot; it is 0 for the own failure domain.
        `entries` are the targets that may get the flow.
        """
        state = self.services.get(service)
        if state is None:
            state = self.services[service] = ServiceState()
        if now >= state.next_estimate_at:
            state.next_estimate_at = now + ESTIMATE_INTERVAL_S
            state.request_s = self.request_time(entries)
        state.near_load = min(
            (
                load
                for entry, load in zip(entries, loads, strict=True)
                if entry.target.domain == self.domain
            ),
            default=None,
        )
        domains = {entry.target.domain for entry in entries}
        return {domain: self.extra_load(state, domain, now) for domain in domains}

    def extra_load(self, state: ServiceState, domain: str, now: float) -> float:
        """Return the extra load of one failure domain's targets."""
        if domain == self.domain:
            return 0.0
        link = self.links.get(domain)
        if link is not None and now >= link.expires_at:
            del self.links[domain]
            self.export_delay(domain)
        if state.request_s is None or not self.is_measured(domain):
            return DEFAULT_EXTRA_LOAD
        is_full = state.near_load is not None and state.near_load >= FULL_LOAD
        price_s = 0.0 if is_full else self.price_s
        return ((self.extra_delay(domain) or 0.0) + price_s) / state.request_s

    def is_measured(self, domain: str) -> bool:
        """Return whether delays to a failure domain and in the own one are known."""
        return all(
            found in self.links and self.links[found].median_s is not None
            for found in (domain, self.domain)
        )

    def request_time(
        self, entries: collections.abc.Sequence[fleetview.TargetEntry]
    ) -> float | None:
        """Return the median time of requests at targets, None if it is not known.

        The measured times contain the way to the caller, which is taken off.
        """
        times = []
        for entry in entries:
            activity = self.flows.activities.get(entry.target.name)
            time_s = activity.measured_latency_s() if activity is not None else None
            if time_s is not None:
                link = self.links.get(entry.target.domain)
                way_s = (link.median_s if link is not None else None) or 0.0
                times.append(max(time_s / 2, time_s - way_s))
        return median(times) if times else None

    def record_placement(
        self, service: str, domain: str, load: float, now: float
    ) -> None:
        """Count a new flow, and log with the inputs when flows start or stop to leave.

        `domain` and `load` are those of the flow's target, the load in requests per
        slot.
        """
        state = self.services[service]
        passed_s = now - state.placed_at
        state.placed_at = now
        weight = passed_s / (SHARE_WINDOW_S + passed_s)
        state.share += weight * ((domain != self.domain) - state.share)
        if state.logged == (state.share >= MIN_SHARE) or (
            not state.logged and state.share < LOGGED_SHARE
        ):
            return
        state.logged = not state.logged
        fields = {
            "service": service,
            "domain": domain,
            "share": state.share,
            "near_load": "none" if state.near_load is None else state.near_load,
            "load": load,
            "request_s": "none" if state.request_s is None else state.request_s,
            "delay_s": self.extra_delay(domain) or 0.0,
            "price_s": self.price_s,
            "extra_load": self.extra_load(state, domain, now),
        }
        if state.logged:
            self.log.write("domain_left", **fields)
        else:
            self.log.write("domain_kept", **fields)

    def extra_delay(self, domain: str) -> float | None:
        """Return the extra time that a request takes to another domain, in seconds.

        It is the difference of the medians, which contains the link both ways, and of
        the shares of lost packets times what a lost packet costs. None if nothing was
        measured there.
        """
        link = self.links.get(domain)
        if link is None:
            return None
        own = self.links.get(self.domain)
        own_loss = own.loss if own is not None else 0.0
        delay_s = max(0.0, link.loss - own_loss) * CALLER_RETRANSMISSION_S
        if link.median_s is not None and own is not None and own.median_s is not None:
            delay_s += max(0.0, link.median_s - own.median_s)
        return delay_s

    def record_opening(self, domain: str, delay_s: float, now: float) -> None:
        """Record the time from an opening packet to its caller's next packet."""
        link = self.link(domain, now)
        link.loss -= LOSS_WEIGHT * link.loss
        link.delays_s.append(delay_s)
        if len(link.delays_s) >= MIN_DELAY_SAMPLES:
            link.median_s = median(list(link.delays_s))
        self.export_delay(domain)

    def record_repetition(self, domain: str, now: float) -> None:
        """Record that a caller repeated an opening packet sent to a domain."""
        link = self.link(domain, now)
        link.loss += LOSS_WEIGHT * (1 - link.loss)
        self.export_delay(domain)

    def link(self, domain: str, now: float) -> Link:
        """Return the measurements of a failure domain, which last from now on."""
        link = self.links.get(domain)
        if link is None or now >= link.expires_at:
            link = self.links[domain] = Link(collections.deque(maxlen=DELAY_SAMPLES))
        link.expires_at = now + MEASUREMENT_LIFETIME_S
        return link

    def export_delay(self, domain: str) -> None:
        """Set the gauge of a failure domain's measured delay."""
        if domain != self.domain:
            self.counts.set_gauge(
                "domain_delay_seconds", self.extra_delay(domain) or 0.0, domain=domain
            )


def median(values: list[float]) -> float:
    """Return the median of at least one value."""
    values.sort()
    middle = len(values) // 2
    if len(values) % 2:
        return values[middle]
    return (values[middle - 1] + values[middle]) / 2


def read_price(text: str) -> float | str:
    """Return a price in seconds from its text in ms, or one line with the problem."""
    try:
        price_ms = float(text)
    except ValueError:
        price_ms = math.nan
    if not 0 <= price_ms <= MAX_PRICE_MS:
        return (
            f"{PRICE_VARIABLE} is {text!r}; it must be a number of milliseconds "
            f"from 0 to {MAX_PRICE_MS:g}"
        )
    return price_ms / 1e3
