"""Queues of requests that wait for a slot of a target."""

import collections.abc
import dataclasses
import heapq
import typing

from basilgate import reasons, registry, wire

Key = tuple[int, int]
Caller = str | int

# Removed entries stay in the heap until they outnumber the queued ones by this.
HEAP_SLACK = 32


@dataclasses.dataclass(slots=True)
class QueueEntry:
    """A request in a queue.

    `deadline_ms` is Unix time in milliseconds; the request should start
    `allowance_ms` before it; `caller` is whom its share counts for.
    """

    key: Key
    deadline_ms: int
    work_class: wire.WorkClass
    caller: Caller = ""
    allowance_ms: int = 0

    @property
    def start_by_ms(self) -> int:
        """Unix time in ms by which the request should start."""
        return self.deadline_ms - self.allowance_ms


class Queue(typing.Protocol):
    """What a home needs of a queue."""

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request; a reason other than NONE refuses it."""

    def pop(self, long_running: int, long_limit: int) -> QueueEntry | None:
        """Remove the next request that may take a slot.

        `long_running` slots have long work, which may hold `long_limit`.
        """

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""

    def __len__(self) -> int: ...

    def waiting(self) -> collections.abc.Iterable[QueueEntry]:
        """Return the queued requests in any order."""

    def lane(self, work_class: wire.WorkClass) -> "Lane":
        """Return the part of the queue that holds requests of a class."""


QueueFactory = collections.abc.Callable[[int], Queue]
POLICIES: registry.Registry[QueueFactory] = registry.Registry("queueing policy")


class Lane:
    """Requests in one order, with the number that each caller has queued.

    Parameters
    ----------
    limit : int
        Largest number of requests held.
    by_deadline : bool
        Whether the earliest deadline goes first, not the first arrival.
    """

    def __init__(self, limit: int, by_deadline: bool) -> None:
        self.limit = limit
        self.by_deadline = by_deadline
        self.arrival_count = 0
        self.heap: list[tuple[int, int, Key]] = []
        self.entries: dict[Key, QueueEntry] = {}
        self.queued_by_caller: dict[Caller, int] = {}

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request."""
        if len(self.entries) >= self.limit:
            return reasons.Reason.QUEUE_FULL
        self.arrival_count += 1
        order = entry.deadline_ms if self.by_deadline else self.arrival_count
        heapq.heappush(self.heap, (order, self.arrival_count, entry.key))
        self.entries[entry.key] = entry
        self.queued_by_caller[entry.caller] = (
            self.queued_by_caller.get(entry.caller, 0) + 1
        )
        return reasons.Reason.NONE

    def peek(self) -> QueueEntry | None:
        """Return the next request without removing it."""
        while self.heap:
            entry = self.entries.get(self.heap[0][2])
            if entry is not None:
                return entry
            heapq.heappop(self.heap)
        return None

    def pop(self) -> QueueEntry | None:
        """Remove the next request."""
        entry = self.peek()
        if entry is not None:
            heapq.heappop(self.heap)
            self.discard(entry)
        return entry

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""
        entry = self.entries.get(key)
        if entry is None:
            return False
        self.discard(entry)
        if len(self.heap) > 2 * len(self.entries) + HEAP_SLACK:
            self.heap = [item for item in self.heap if item[2] in self.entries]
            heapq.heapify(self.heap)
        return True

    def discard(self, entry: QueueEntry) -> None:
        """Take a request out of the counts."""
        del self.entries[entry.key]
        left = self.queued_by_caller[entry.caller] - 1
        if left:
            self.queued_by_caller[entry.caller] = left
        else:
            del self.queued_by_caller[entry.caller]

    def count_ahead(self, deadline_ms: int) -> int:
        """Return how many queued requests go before one with this deadline."""
        if not self.by_deadline:
            return len(self.entries)
        return sum(w.deadline_ms <= deadline_ms for w in self.entries.values())

    def largest_caller(self) -> Caller:
        """Return the caller that has most requests queued."""
        return max(
            self.queued_by_caller, key=lambda caller: self.queued_by_caller[caller]
        )

    def latest_deadline_of(self, caller: Caller) -> QueueEntry:
        """Return the request of a caller that has the latest deadline."""
        own = (w for w in self.entries.values() if w.caller == caller)
        return max(own, key=lambda w: w.deadline_ms)

    def __len__(self) -> int:
        return len(self.entries)


class SingleLaneQueue:
    """Queue that holds all classes in one order."""

    def __init__(self, limit: int, by_deadline: bool) -> None:
        self.single_lane = Lane(limit, by_deadline)

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request."""
        return self.single_lane.push(entry)

    def pop(self, long_running: int, long_limit: int) -> QueueEntry | None:  # noqa: ARG002
        """Remove the next request, of whatever class."""
        return self.single_lane.pop()

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""
        return self.single_lane.remove(key)

    def __len__(self) -> int:
        return len(self.single_lane)

    def waiting(self) -> collections.abc.Iterable[QueueEntry]:
        """Return the queued requests."""
        return list(self.single_lane.entries.values())

    def lane(self, work_class: wire.WorkClass) -> Lane:  # noqa: ARG002
        """Return the only lane."""
        return self.single_lane


@POLICIES.register("fifo")
class FifoQueue(SingleLaneQueue):
    """First in, first out, without regard to deadline or class.

    Parameters
    ----------
    limit : int
        Largest number of requests held.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit, by_deadline=False)


@POLICIES.register("edf")
class DeadlineQueue(SingleLaneQueue):
    """Earliest deadline first, without regard to class.

    Parameters
    ----------
    limit : int
        Largest number of requests held.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit, by_deadline=True)


@POLICIES.register("classed_edf")
class ClassedDeadlineQueue:
    """One lane for short and one for long work, earliest deadline first.

    Each class has its own limit, so that long work cannot crowd out short work.
    Short work goes first, except that long work of which none runs takes a slot
    when it would miss its last start before the next short request does.

    Parameters
    ----------
    limit : int
        Largest number of requests held in each class.
    """

    def __init__(self, limit: int) -> None:
        self.short_lane = Lane(limit, by_deadline=True)
        self.long_lane = Lane(limit, by_deadline=True)

    def lane(self, work_class: wire.WorkClass) -> Lane:
        """Return the lane of a class; undeclared work counts as short."""
        return self.long_lane if work_class is wire.WorkClass.LONG else self.short_lane

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request to the lane of its class."""
        return self.lane(entry.work_class).push(entry)

    def pop(self, long_running: int, long_limit: int) -> QueueEntry | None:
        """Remove the next request that may take a slot."""
        short = self.short_lane.peek()
        if short is None:
            return self.long_lane.pop() if long_running < long_limit else None
        if long_running == 0:
            long = self.long_lane.peek()
            if long is not None and long.start_by_ms < short.start_by_ms:
                return self.long_lane.pop()
        return self.short_lane.pop()

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""
        return self.short_lane.remove(key) or self.long_lane.remove(key)

    def __len__(self) -> int:
        return len(self.short_lane) + len(self.long_lane)

    def waiting(self) -> collections.abc.Iterable[QueueEntry]:
        """Return the queued requests."""
        return [*self.short_lane.entries.values(), *self.long_lane.entries.values()]
