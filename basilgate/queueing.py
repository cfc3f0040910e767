"""Queues of requests that wait for a slot of a target."""

import collections.abc
import dataclasses
import heapq
import typing

from basilgate import reasons, registry, wire

Key = tuple[int, int]


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request in a queue; `deadline_ms` is Unix time in milliseconds."""

    key: Key
    deadline_ms: int
    work_class: wire.WorkClass


class Queue(typing.Protocol):
    """What a home needs of a queue."""

    def push(self, waiting: Waiting) -> reasons.Reason:
        """Add a request; a reason other than NONE refuses it."""

    def pop(self, long_running: int, slots: int) -> Waiting | None:
        """Remove the next request that may take a slot.

        `long_running` of the target's `slots` have long work.
        """

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""

    def __len__(self) -> int: ...

    def waiting(self) -> collections.abc.Iterable[Waiting]:
        """Return the queued requests in any order."""


POLICIES: registry.Registry[collections.abc.Callable[[int], Queue]] = registry.Registry(
    "queueing policy"
)


@POLICIES.register("fifo")
class FifoQueue:
    """First in, first out, without regard to deadline or class.

    Parameters
    ----------
    limit : int
        Largest number of requests held.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.entries: dict[Key, Waiting] = {}

    def push(self, waiting: Waiting) -> reasons.Reason:
        """Add a request at the end."""
        if len(self.entries) >= self.limit:
            return reasons.Reason.QUEUE_FULL
        self.entries[waiting.key] = waiting
        return reasons.Reason.NONE

    def pop(self, long_running: int, slots: int) -> Waiting | None:  # noqa: ARG002
        """Remove the oldest request."""
        if not self.entries:
            return None
        return self.entries.pop(next(iter(self.entries)))

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""
        return self.entries.pop(key, None) is not None

    def __len__(self) -> int:
        return len(self.entries)

    def waiting(self) -> collections.abc.Iterable[Waiting]:
        """Return the queued requests."""
        return list(self.entries.values())


class DeadlineHeap:
    """Requests of one class, earliest deadline first."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, Key]] = []
        self.entries: dict[Key, Waiting] = {}

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        self.entries[waiting.key] = waiting
        heapq.heappush(self.heap, (waiting.deadline_ms, waiting.key))

    def pop(self) -> Waiting | None:
        """Remove the request with the earliest deadline."""
        while self.heap:
            _, key = heapq.heappop(self.heap)
            waiting = self.entries.pop(key, None)
            if waiting is not None:
                return waiting
        return None

    def __len__(self) -> int:
        return len(self.entries)


@POLICIES.register("classed_edf")
class ClassedDeadlineQueue:
    """One queue for short and one for long work, earliest deadline first.

    Long work leaves one slot free for short work. Each class has its own limit,
    so that long work cannot crowd out short work either.

    Parameters
    ----------
    limit : int
        Largest number of requests held in each class.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.short = DeadlineHeap()
        self.long = DeadlineHeap()

    def heap_for(self, work_class: wire.WorkClass) -> DeadlineHeap:
        """Return the queue of a class; undeclared work counts as short."""
        return self.long if work_class is wire.WorkClass.LONG else self.short

    def push(self, waiting: Waiting) -> reasons.Reason:
        """Add a request to the queue of its class."""
        heap = self.heap_for(waiting.work_class)
        if len(heap) >= self.limit:
            return reasons.Reason.QUEUE_FULL
        heap.push(waiting)
        return reasons.Reason.NONE

    def pop(self, long_running: int, slots: int) -> Waiting | None:
        """Remove the next request: short work first, then long work."""
        found = self.short.pop()
        if found is None and long_running < max(1, slots - 1):
            found = self.long.pop()
        return found

    def remove(self, key: Key) -> bool:
        """Remove one request; False if it is not queued."""
        for heap in (self.short, self.long):
            if heap.entries.pop(key, None) is not None:
                return True
        return False

    def __len__(self) -> int:
        return len(self.short) + len(self.long)

    def waiting(self) -> collections.abc.Iterable[Waiting]:
        """Return the queued requests."""
        return [*self.short.entries.values(), *self.long.entries.values()]
