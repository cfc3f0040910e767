"""Work classes of requests: declared by caller or service, or learned from samples."""

import dataclasses
import math

import anyio

from basilgate import wire

# Work is long above this multiple of the service time of short work. Stragglers take
# 20 to 100 times the median, so 8 leaves a margin on both sides.
LONG_RATIO = 8.0
# Samples of a body size before its class is learned.
MIN_SAMPLES = 3
# Samples of a body size before other sizes are compared with it.
MIN_REFERENCE_SAMPLES = 8
# Factor by which a sample moves a running median; 1.05 follows a change of the
# service time within about 50 requests.
MEDIAN_STEP = 1.05
# Slots are reserved for short work until this long after its last arrival.
SHORT_PRESENCE_S = 10.0
# Time constant of the exponential average of busy slots.
BUSY_AVERAGE_TIME_S = 5.0
# Slots reserved for short work, as a multiple of the slots that it uses on average.
SHORT_HEADROOM = 1.5

# Work classes by their names in a sheet.
DECLARED = {"short": wire.WorkClass.SHORT, "long": wire.WorkClass.LONG}


@dataclasses.dataclass(slots=True)
class Median:
    """Running estimate of a median in constant memory.

    Starts as the lowest of the first `MIN_SAMPLES` samples, so that one straggler
    among them does not make a body size count as long.

    Attributes
    ----------
    value : float
        Estimate in seconds.
    samples : int
        Number of samples so far.
    """

    value: float = 0.0
    samples: int = 0

    def observe(self, seconds: float) -> None:
        """Move the estimate one step towards a new sample."""
        self.samples += 1
        if self.samples <= MIN_SAMPLES:
            lowest_s = seconds if self.samples == 1 else min(seconds, self.value)
            self.value = max(lowest_s, 1e-6)
        elif seconds > self.value:
            self.value *= MEDIAN_STEP
        else:
            self.value /= MEDIAN_STEP


def size_bucket(size: int) -> int:
    """Return the bucket of a body size in bytes; each doubling has four buckets."""
    shift = max(size.bit_length() - 3, 0)
    return shift << 3 | size >> shift


class Learner:
    """Learns the work class of a service's requests by the size of their bodies.

    Sizes are grouped in buckets. A size is long if its median service time (the time
    in a slot) exceeds `LONG_RATIO` times that of the quickest size.
    """

    def __init__(self) -> None:
        # Median service time by size bucket.
        self.sizes: dict[int, Median] = {}
        # Lowest of the medians that have `MIN_REFERENCE_SAMPLES` samples.
        self.quickest = Median()

    def observe(self, size: int, seconds: float) -> None:
        """Record the body size in bytes and the service time of an ended request."""
        median = self.sizes.setdefault(size_bucket(size), Median())
        median.observe(seconds)
        if median.samples < MIN_REFERENCE_SAMPLES:
            return
        if (
            self.quickest.samples < MIN_REFERENCE_SAMPLES
            or median is self.quickest
            or median.value < self.quickest.value
        ):
            self.quickest = median

    def classify(self, size: int) -> wire.WorkClass:
        """Return the learned class of a body size, UNDECLARED if too few samples."""
        median = self.sizes.get(size_bucket(size))
        has_reference = self.quickest.samples >= MIN_REFERENCE_SAMPLES
        if median is None or median.samples < MIN_SAMPLES or not has_reference:
            return wire.WorkClass.UNDECLARED
        if median.value > LONG_RATIO * self.quickest.value:
            return wire.WorkClass.LONG
        return wire.WorkClass.SHORT

    def long_after_s(self) -> float:
        """Return the seconds in a slot after which running work counts as long."""
        if self.quickest.samples < MIN_REFERENCE_SAMPLES:
            return math.inf
        return LONG_RATIO * self.quickest.value


class Learners:
    """Learners of all services, by service id, shared by the owners of this host."""

    def __init__(self) -> None:
        self.services: dict[int, Learner] = {}

    def get(self, service: int) -> Learner:
        """Return the learner of a service, made at its first use."""
        return self.services.setdefault(service, Learner())


def classify(frame: wire.Frame, declared: str, learner: Learner) -> wire.WorkClass:
    """Return the class of a request: declared by its caller or service, else learned.

    `declared` is the name of the service's class in the sheet.
    """
    if frame.work_class is not wire.WorkClass.UNDECLARED:
        return frame.work_class
    declared_class = DECLARED.get(declared)
    return (
        declared_class
        if declared_class is not None
        else learner.classify(len(frame.body))
    )


@dataclasses.dataclass(slots=True)
class BusySlotAverage:
    """Exponential average of a number of busy slots.

    Attributes
    ----------
    mean : float
        Average at `updated_at`.
    busy : int
        Number of busy slots now.
    updated_at : float
        Monotonic time in seconds.
    """

    mean: float = 0.0
    busy: int = 0
    updated_at: float = 0.0

    def add_busy(self, difference: int, now: float) -> None:
        """Add to the number of busy slots at monotonic time `now`."""
        self.mean = self.mean_at(now)
        self.updated_at = now
        self.busy += difference

    def mean_at(self, now: float) -> float:
        """Return the average at monotonic time `now`."""
        old_weight = math.exp(-max(0.0, now - self.updated_at) / BUSY_AVERAGE_TIME_S)
        return self.mean * old_weight + self.busy * (1 - old_weight)


class Occupancy:
    """Average use of one target's slots by short and by long work.

    Undeclared work counts as short.

    Parameters
    ----------
    short_declared : bool
        Whether the service declares short work, which always reserves slots for it.

    Attributes
    ----------
    short_arrived_at : float
        Monotonic time of the last arrival of short work; -inf if there was none.
    """

    def __init__(self, short_declared: bool) -> None:
        self.short = BusySlotAverage()
        self.long = BusySlotAverage()
        self.short_declared = short_declared
        self.short_arrived_at = -math.inf

    def record_arrival(self, work_class: wire.WorkClass) -> None:
        """Record the arrival of a request."""
        if work_class is not wire.WorkClass.LONG:
            self.short_arrived_at = anyio.current_time()

    def add_busy(self, work_class: wire.WorkClass, difference: int) -> None:
        """Add to the number of slots that a class uses; negative when one is freed."""
        average = self.long if work_class is wire.WorkClass.LONG else self.short
        average.add_busy(difference, anyio.current_time())

    def mean_busy(self) -> float:
        """Return the mean number of busy slots over the last seconds."""
        now = anyio.current_time()
        return self.short.mean_at(now) + self.long.mean_at(now)

    def long_limit(self, slots: int) -> int:
        """Return the number of slots that long work may use.

        Without recent or declared short work these are all slots. Otherwise some
        are reserved for short work: at least one, if the target has more than one.
        Long work may always use one slot.
        """
        now = anyio.current_time()
        short_present = now - self.short_arrived_at < SHORT_PRESENCE_S
        if not (short_present or self.short_declared):
            return slots
        reserved = max(1, math.ceil(SHORT_HEADROOM * self.short.mean_at(now)))
        return max(1, min(slots - 1, slots - reserved))
