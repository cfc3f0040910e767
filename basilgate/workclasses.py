"""Work classes: declared by caller or service, or learned from earlier requests."""

import dataclasses
import math

import anyio

from basilgate import wire

# Stragglers take 20 to 100 times the median, so 8 times the time of short work
# separates them with a margin on both sides.
LONG_RATIO = 8.0
# A size is judged after this many requests, and other sizes by it after more.
MIN_SAMPLES = 3
MIN_REFERENCE_SAMPLES = 8
# Step of the running median; 5% follows a change within about 50 requests.
MEDIAN_STEP = 1.05
# Short work counts as present for this time after its last arrival.
SHORT_PRESENCE_S = 10.0
BUSY_AVERAGE_TIME_S = 5.0
# Slots kept for short work, as a multiple of the slots that it uses on average.
SHORT_HEADROOM = 1.5

DECLARED = {"short": wire.WorkClass.SHORT, "long": wire.WorkClass.LONG}


@dataclasses.dataclass(slots=True)
class Median:
    """Running median of a time in seconds, kept in constant memory.

    It starts from the least of the first samples, so that one straggler among
    them does not make a size long.
    """

    value: float = 0.0
    samples: int = 0

    def observe(self, seconds: float) -> None:
        """Move the estimate one step towards a new value."""
        self.samples += 1
        if self.samples <= MIN_SAMPLES:
            lowest_s = seconds if self.samples == 1 else min(seconds, self.value)
            self.value = max(lowest_s, 1e-6)
        elif seconds > self.value:
            self.value *= MEDIAN_STEP
        else:
            self.value /= MEDIAN_STEP


def size_bucket(size: int) -> int:
    """Return the bucket of a body size in bytes, four for each doubling."""
    shift = max(size.bit_length() - 3, 0)
    return shift << 3 | size >> shift


class Learner:
    """Expected class of a request of one service, by the size of its body.

    A size is long once the median time of its requests exceeds `LONG_RATIO`
    times that of the quickest size.
    """

    def __init__(self) -> None:
        self.sizes: dict[int, Median] = {}
        self.quickest = Median()

    def observe(self, size: int, seconds: float) -> None:
        """Take in the time in seconds that a request held its slot."""
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
        """Return the learned class, UNDECLARED while too little is known."""
        median = self.sizes.get(size_bucket(size))
        has_reference = self.quickest.samples >= MIN_REFERENCE_SAMPLES
        if median is None or median.samples < MIN_SAMPLES or not has_reference:
            return wire.WorkClass.UNDECLARED
        if median.value > LONG_RATIO * self.quickest.value:
            return wire.WorkClass.LONG
        return wire.WorkClass.SHORT

    def long_after_s(self) -> float:
        """Return the time in seconds after which running work counts as long."""
        if self.quickest.samples < MIN_REFERENCE_SAMPLES:
            return math.inf
        return LONG_RATIO * self.quickest.value


class Learners:
    """Learners of all services at this host, by service id."""

    def __init__(self) -> None:
        self.services: dict[int, Learner] = {}

    def get(self, service: int) -> Learner:
        """Return the learner of a service."""
        return self.services.setdefault(service, Learner())


def classify(frame: wire.Frame, declared: str, learner: Learner) -> wire.WorkClass:
    """Return the class of a request: its own, the service's, or the learned one."""
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
    """Mean number of busy slots over the last seconds."""

    mean: float = 0.0
    busy: int = 0
    updated_at: float = 0.0

    def add_busy(self, difference: int, now: float) -> None:
        """Note that slots were taken or freed at monotonic time `now`."""
        self.mean = self.mean_at(now)
        self.updated_at = now
        self.busy += difference

    def mean_at(self, now: float) -> float:
        """Return the mean at monotonic time `now`."""
        old_weight = math.exp(-max(0.0, now - self.updated_at) / BUSY_AVERAGE_TIME_S)
        return self.mean * old_weight + self.busy * (1 - old_weight)


class Occupancy:
    """Slots of one target that short and long work use.

    Attributes
    ----------
    short_arrived_at : float
        Monotonic time of the last arrival of short work.
    """

    def __init__(self, short_declared: bool) -> None:
        self.short = BusySlotAverage()
        self.long = BusySlotAverage()
        self.short_declared = short_declared
        self.short_arrived_at = -math.inf

    def record_arrival(self, work_class: wire.WorkClass) -> None:
        """Note the arrival of a request."""
        if work_class is not wire.WorkClass.LONG:
            self.short_arrived_at = anyio.current_time()

    def add_busy(self, work_class: wire.WorkClass, difference: int) -> None:
        """Note that a request took or freed a slot."""
        average = self.long if work_class is wire.WorkClass.LONG else self.short
        average.add_busy(difference, anyio.current_time())

    def mean_busy(self) -> float:
        """Return the mean number of busy slots over the last seconds."""
        now = anyio.current_time()
        return self.short.mean_at(now) + self.long.mean_at(now)

    def long_limit(self, slots: int) -> int:
        """Return the number of slots that long work may hold.

        All of them where no short work comes; otherwise what short work leaves,
        at least one slot and never the last one.
        """
        now = anyio.current_time()
        short_present = now - self.short_arrived_at < SHORT_PRESENCE_S
        if not (short_present or self.short_declared):
            return slots
        reserved = max(1, math.ceil(SHORT_HEADROOM * self.short.mean_at(now)))
        return max(1, min(slots - 1, slots - reserved))
