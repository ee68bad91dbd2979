"""Queues of requests for a target: admission, priorities and customer shares."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from .._errors import OverloadedError
from .fairness import Backlogs, PriorityClass

PRIORITY_COUNT = 4
# Each request that is taken from a queue is one turn. One turn in this many goes
# to the class that has waited longest.
AGEING_INTERVAL_COUNT = 16
# A class with waiting requests is served at least once in this many turns.
CLASS_WAIT_LIMIT_COUNT = AGEING_INTERVAL_COUNT * (PRIORITY_COUNT - 1)

QUEUE_POLICIES = {}


def queue_policy(name):
    """Register the decorated queue class under ``name``."""

    def register(policy):
        QUEUE_POLICIES[name] = policy
        return policy

    return register


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request that waits for its target.

    Args:
        deadline_ms: Time at which the request expires, on the same clock as
            ``queued_ms``.
        queued_ms: Time at which the request arrived.
        priority: 0 is the most urgent. All values from ``PRIORITY_COUNT - 1``
            on form one class.
        share: The customer's weight when the target is divided among customers.
        cost: The work that the request causes, in any unit that is the same
            for all requests of the queue.
        payload: Data with which the owner of the queue runs the request.
    """

    request_id: str
    customer: str
    deadline_ms: float
    queued_ms: float
    priority: int = 1
    share: float = 1.0
    cost: float = 1.0
    payload: object = None


class _Deadlines:
    """Finds the requests whose deadline has passed."""

    def __init__(self):
        self._heap = []

    def add(self, item):
        heapq.heappush(self._heap, (item.deadline_ms, item.request_id))

    def due(self, now_ms):
        """Remove and yield the ids of requests past their deadline.

        Some of these requests may have left the queue before.
        """
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[1]

    def compact(self, items):
        """Drop requests that left the queue, once they fill most of the heap."""
        if len(self._heap) <= 2 * len(items) + 64:
            return
        self._heap = [
            (item.deadline_ms, request_id) for request_id, item in items.items()
        ]
        heapq.heapify(self._heap)


class _Queue:
    """Base of all queues: size limit, lookup by id, and deadlines.

    Subclasses choose the next request in ``_pop_next`` and handle a full queue in
    ``_evict_for``; ``_insert`` and ``_discard`` follow every other change.
    """

    def __init__(self, *, limit_count):
        self._limit_count = limit_count
        self._items = {}
        self._deadlines = _Deadlines()
        self._due = []

    def __len__(self):
        return len(self._items)

    def put(self, item):
        """Add ``item`` to the queue.

        Returns:
            The request that was evicted to make room, or ``None``.

        Raises:
            OverloadedError: The queue is full and ``item`` evicts no other.
            ValueError: A request with that id is already queued.
        """
        if item.request_id in self._items:
            raise ValueError(f'request "{item.request_id}" is already queued')
        self._collect_due(item.queued_ms)
        evicted = self._make_room(item)
        self._items[item.request_id] = item
        self._deadlines.add(item)
        self._deadlines.compact(self._items)
        self._insert(item)
        return evicted

    def take(self, now_ms):
        """Remove and return the next request, or ``None`` if there is none.

        Requests past their deadline are skipped; ``expired`` returns them.
        """
        self._collect_due(now_ms)
        if not self._items:
            return None
        item = self._pop_next()
        del self._items[item.request_id]
        return item

    def remove(self, request_id):
        """Remove a request and return it, or ``None`` if it is not queued."""
        item = self._items.pop(request_id, None)
        if item is not None:
            self._discard(item)
        return item

    def expired(self, now_ms):
        """Remove and return the requests whose deadline has passed."""
        self._collect_due(now_ms)
        due, self._due = self._due, []
        return due

    def _collect_due(self, now_ms):
        for request_id in self._deadlines.due(now_ms):
            item = self._items.get(request_id)
            # A request with the same id may have been added with a later deadline.
            if item is not None and item.deadline_ms <= now_ms:
                self._due.append(self.remove(request_id))

    def _make_room(self, item):
        if len(self._items) < self._limit_count:
            return None
        return self._evict_for(item)

    def _reject(self):
        raise OverloadedError(f"{self._limit_count} requests wait for this target")


@queue_policy("fifo")
class FifoQueue(_Queue):
    """Baseline policy: first in, first out, without priorities and shares."""

    def __init__(self, *, limit_count):
        super().__init__(limit_count=limit_count)
        self._arrivals = OrderedDict()

    def _evict_for(self, item):
        self._reject()

    def _insert(self, item):
        self._arrivals[item.request_id] = item

    def _discard(self, item):
        del self._arrivals[item.request_id]

    def _pop_next(self):
        return self._arrivals.popitem(last=False)[1]


@queue_policy("fair")
class FairQueue(_Queue):
    """Priority classes with ageing, and customer shares within each class.

    The most urgent class is served first, but one turn in
    ``AGEING_INTERVAL_COUNT`` goes to the class that has waited longest, so that
    no class waits for more than ``CLASS_WAIT_LIMIT_COUNT`` turns.

    A new request for a full queue evicts the newest request in the least urgent
    class of the customer with the largest backlog. It is rejected instead if
    its own customer would have the largest backlog.
    """

    def __init__(self, *, limit_count):
        super().__init__(limit_count=limit_count)
        self._classes = [PriorityClass() for _ in range(PRIORITY_COUNT)]
        self._served_turn = [0] * PRIORITY_COUNT
        self._turn = 0
        self._turns_to_ageing = AGEING_INTERVAL_COUNT
        self._backlogs = Backlogs()
        self._customer_counts = {}

    def waiting_count(self, customer):
        """Return how many requests of ``customer`` wait."""
        return self._customer_counts.get(customer, 0)

    def _evict_for(self, item):
        customer, backlog = self._backlogs.largest()
        if customer == item.customer or self._backlogs.with_item(item) >= backlog:
            self._reject()
        for priority_class in reversed(self._classes):
            newest = priority_class.newest(customer)
            if newest is not None:
                return self.remove(newest.request_id)

    def _insert(self, item):
        index = _class_index(item)
        if self._classes[index].count == 0:
            self._served_turn[index] = self._turn
        self._classes[index].put(item)
        count = self._customer_counts.get(item.customer, 0)
        self._customer_counts[item.customer] = count + 1
        self._backlogs.add(item)

    def _discard(self, item):
        self._classes[_class_index(item)].remove(item)
        self._subtract(item)

    def _subtract(self, item):
        """Subtract a removed request from its customer's count and backlog."""
        count = self._customer_counts[item.customer] - 1
        if count:
            self._customer_counts[item.customer] = count
        else:
            del self._customer_counts[item.customer]
        self._backlogs.remove(item, has_more=count > 0)

    def _pop_next(self):
        index = self._next_class()
        self._turn += 1
        self._served_turn[index] = self._turn
        item = self._classes[index].take()
        self._subtract(item)
        return item

    def _next_class(self):
        waiting = [i for i in range(PRIORITY_COUNT) if self._classes[i].count]
        if len(waiting) == 1:
            self._turns_to_ageing = AGEING_INTERVAL_COUNT
            return waiting[0]
        self._turns_to_ageing -= 1
        if self._turns_to_ageing:
            return waiting[0]
        self._turns_to_ageing = AGEING_INTERVAL_COUNT
        return min(waiting, key=lambda i: self._served_turn[i])


def _class_index(item):
    return min(max(item.priority, 0), PRIORITY_COUNT - 1)
