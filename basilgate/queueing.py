"""Queues of the requests that wait for a slot of a target."""

import collections.abc
import dataclasses
import heapq
import typing

from basilgate import reasons, registry, wire

# Flow id and request id.
Key = tuple[int, int]
# Source address or flow id, by which the shares of callers are counted.
Caller = str | int

# Removed entries stay in the heap until they outnumber the queued ones by more than
# this, so that small queues are not rebuilt at every removal.
HEAP_SLACK = 32


@dataclasses.dataclass(slots=True)
class QueueEntry:
    """A queued request, with what its order and admission depend on.

    Attributes
    ----------
    deadline_ms : int
        Unix time in milliseconds.
    caller : str or int
        Caller in whose share of the queue the request counts.
    allowance_ms : int
        Time before the deadline by which the request should start, in milliseconds.
    """

    key: Key
    deadline_ms: int
    work_class: wire.WorkClass
    caller: Caller = ""
    allowance_ms: int = 0

    @property
    def start_by_ms(self) -> int:
        """Unix time in milliseconds by which the request should start."""
        return self.deadline_ms - self.allowance_ms


class Queue(typing.Protocol):
    """Interface of the queue of one target; used from the event loop only."""

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request; return NONE, or the reason why it is refused."""

    def pop(self, long_running: int, long_limit: int) -> QueueEntry | None:
        """Remove and return the next request that may take a slot, None if none may.

        `long_running` is the number of slots that run long work now, `long_limit`
        the number that may.
        """

    def remove(self, key: Key) -> bool:
        """Remove one request; return False if it is not queued."""

    def __len__(self) -> int: ...

    def waiting(self) -> collections.abc.Iterable[QueueEntry]:
        """Return the queued requests in any order."""

    def lane(self, work_class: wire.WorkClass) -> "Lane":
        """Return the lane that requests of a work class wait in."""


QueueFactory = collections.abc.Callable[[int], Queue]
POLICIES: registry.Registry[QueueFactory] = registry.Registry("queueing policy")


class Lane:
    """Bounded queue with a single order, which counts the requests of each caller.

    Parameters
    ----------
    limit : int
        Largest number of queued requests.
    by_deadline : bool
        True for earliest deadline first, False for first in, first out.
    """

    def __init__(self, limit: int, by_deadline: bool) -> None:
        self.limit = limit
        self.by_deadline = by_deadline
        self.arrival_count = 0
        # Rank (deadline or arrival number), arrival number, and key; also of
        # removed requests.
        self.heap: list[tuple[int, int, Key]] = []
        self.entries: dict[Key, QueueEntry] = {}
        self.queued_by_caller: dict[Caller, int] = {}

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request; return QUEUE_FULL at the limit, else NONE."""
        if len(self.entries) >= self.limit:
            return reasons.Reason.QUEUE_FULL
        self.arrival_count += 1
        rank = entry.deadline_ms if self.by_deadline else self.arrival_count
        heapq.heappush(self.heap, (rank, self.arrival_count, entry.key))
        self.entries[entry.key] = entry
        self.queued_by_caller[entry.caller] = (
            self.queued_by_caller.get(entry.caller, 0) + 1
        )
        return reasons.Reason.NONE

    def peek(self) -> QueueEntry | None:
        """Return the next request without removing it, None if there is none."""
        while self.heap:
            entry = self.entries.get(self.heap[0][2])
            if entry is not None:
                return entry
            heapq.heappop(self.heap)
        return None

    def pop(self) -> QueueEntry | None:
        """Remove and return the next request, None if there is none."""
        entry = self.peek()
        if entry is not None:
            heapq.heappop(self.heap)
            self.discard(entry)
        return entry

    def remove(self, key: Key) -> bool:
        """Remove one request; return False if it is not queued."""
        entry = self.entries.get(key)
        if entry is None:
            return False
        self.discard(entry)
        if len(self.heap) > 2 * len(self.entries) + HEAP_SLACK:
            self.heap = [item for item in self.heap if item[2] in self.entries]
            heapq.heapify(self.heap)
        return True

    def discard(self, entry: QueueEntry) -> None:
        """Remove a request from the entries and from the count of its caller."""
        del self.entries[entry.key]
        left = self.queued_by_caller[entry.caller] - 1
        if left:
            self.queued_by_caller[entry.caller] = left
        else:
            del self.queued_by_caller[entry.caller]

    def count_ahead(self, deadline_ms: int) -> int:
        """Return how many queued requests come before a new one with this deadline."""
        if not self.by_deadline:
            return len(self.entries)
        return sum(w.deadline_ms <= deadline_ms for w in self.entries.values())

    def largest_caller(self) -> Caller:
        """Return the caller with the most queued requests; the lane is not empty."""
        return max(
            self.queued_by_caller, key=lambda caller: self.queued_by_caller[caller]
        )

    def latest_deadline_of(self, caller: Caller) -> QueueEntry:
        """Return the queued request of a caller that has the latest deadline."""
        own = (w for w in self.entries.values() if w.caller == caller)
        return max(own, key=lambda w: w.deadline_ms)

    def __len__(self) -> int:
        return len(self.entries)


class SingleLaneQueue:
    """Queue with a single order for all work classes.

    Parameters
    ----------
    limit : int
        Largest number of queued requests.
    by_deadline : bool
        True for earliest deadline first, False for first in, first out.
    """

    def __init__(self, limit: int, by_deadline: bool) -> None:
        self.single_lane = Lane(limit, by_deadline)

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request; return QUEUE_FULL at the limit, else NONE."""
        return self.single_lane.push(entry)

    def pop(self, long_running: int, long_limit: int) -> QueueEntry | None:  # noqa: ARG002
        """Remove and return the next request of any class, None if there is none."""
        return self.single_lane.pop()

    def remove(self, key: Key) -> bool:
        """Remove one request; return False if it is not queued."""
        return self.single_lane.remove(key)

    def __len__(self) -> int:
        return len(self.single_lane)

    def waiting(self) -> collections.abc.Iterable[QueueEntry]:
        """Return the queued requests in any order."""
        return list(self.single_lane.entries.values())

    def lane(self, work_class: wire.WorkClass) -> Lane:  # noqa: ARG002
        """Return the lane that all classes share."""
        return self.single_lane


@POLICIES.register("fifo")
class FifoQueue(SingleLaneQueue):
    """Serves requests first in, first out; ignores deadlines and work classes.

    Parameters
    ----------
    limit : int
        Largest number of queued requests.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit, by_deadline=False)


@POLICIES.register("edf")
class DeadlineQueue(SingleLaneQueue):
    """Serves the earliest deadline first; ignores work classes.

    Parameters
    ----------
    limit : int
        Largest number of queued requests.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit, by_deadline=True)


@POLICIES.register("classed_edf")
class ClassedDeadlineQueue:
    """Serves short work before long work, each by earliest deadline.

    Each class has its own limit, so that long work cannot crowd out short work. To
    keep long work from starving, a long request goes first if no long request runs
    and it has to start earlier than the next short one to meet its deadline.

    Parameters
    ----------
    limit : int
        Largest number of queued requests of each class.
    """

    def __init__(self, limit: int) -> None:
        self.short_lane = Lane(limit, by_deadline=True)
        self.long_lane = Lane(limit, by_deadline=True)

    def lane(self, work_class: wire.WorkClass) -> Lane:
        """Return the lane of a class; undeclared work counts as short."""
        return self.long_lane if work_class is wire.WorkClass.LONG else self.short_lane

    def push(self, entry: QueueEntry) -> reasons.Reason:
        """Add a request to its class's lane; QUEUE_FULL at the limit, else NONE."""
        return self.lane(entry.work_class).push(entry)

    def pop(self, long_running: int, long_limit: int) -> QueueEntry | None:
        """Remove and return the next request that may take a slot, None if none may."""
        short = self.short_lane.peek()
        if short is None:
            return self.long_lane.pop() if long_running < long_limit else None
        if long_running == 0:
            long = self.long_lane.peek()
            if long is not None and long.start_by_ms < short.start_by_ms:
                return self.long_lane.pop()
        return self.short_lane.pop()

    def remove(self, key: Key) -> bool:
        """Remove one request; return False if it is not queued."""
        return self.short_lane.remove(key) or self.long_lane.remove(key)

    def __len__(self) -> int:
        return len(self.short_lane) + len(self.long_lane)

    def waiting(self) -> collections.abc.Iterable[QueueEntry]:
        """Return the queued requests in any order."""
        return [*self.short_lane.entries.values(), *self.long_lane.entries.values()]
