"""The queue before a target: admission, priorities and customer shares."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from .._errors import OverloadedError
from .fairness import Backlogs, PriorityClass

PRIORITY_COUNT = 4
# Of this many requests taken, one may come from a class that is passed over.
AGEING_INTERVAL_COUNT = 16
# A class with waiting requests is served at least once in so many turns.
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
        priority: 0 is the most urgent; all from ``PRIORITY_COUNT`` - 1 on are
            one class.
        share: The customer's weight in the division of the target.
        cost: The work that the request brings, in any unit that is the same
            for all requests of the queue.
        deadline_ms: When the request's time is up, on the clock of ``queued_ms``.
        queued_ms: When the request arrived.
        payload: What the owner of the queue needs to run the request.
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
    """Finds the requests whose time is up."""

    def __init__(self):
        self._heap = []

    def add(self, item):
        heapq.heappush(self._heap, (item.deadline_ms, item.request_id))

    def due(self, now_ms):
        """Yield the ids of the requests past their deadline, some long gone."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[1]

    def compact(self, items):
        """Forget the requests that left, once they are most of the heap."""
        if len(self._heap) <= 2 * len(items) + 64:
            return
        self._heap = [(item.deadline_ms, key) for key, item in items.items()]
        heapq.heapify(self._heap)


class _Queue:
    """What every queue does: a limit, look-up by id, and deadlines."""

    def __init__(self, *, limit_count):
        self._limit_count = limit_count
        self._items = {}
        self._deadlines = _Deadlines()
        self._due = []

    def __len__(self):
        return len(self._items)

    def put(self, item):
        """Let ``item`` wait, and return the request evicted for it, or ``None``.

        Raises:
            OverloadedError: The queue is full.
            ValueError: A request of that id waits already.
        """
        if item.request_id in self._items:
            raise ValueError(f'request "{item.request_id}" waits already')
        self._collect_due(item.queued_ms)
        evicted = self._make_room(item)
        self._items[item.request_id] = item
        self._deadlines.add(item)
        self._deadlines.compact(self._items)
        self._link(item)
        return evicted

    def take(self, now_ms):
        """Return the next request, or ``None``; never one past its deadline."""
        self._collect_due(now_ms)
        if not self._items:
            return None
        item = self._choose()
        del self._items[item.request_id]
        return item

    def remove(self, request_id):
        """Take a request out and return it, or ``None`` if it does not wait."""
        item = self._items.pop(request_id, None)
        if item is not None:
            self._unlink(item)
        return item

    def expired(self, now_ms):
        """Take out and return the requests whose deadline has passed."""
        self._collect_due(now_ms)
        due, self._due = self._due, []
        return due

    def _collect_due(self, now_ms):
        for request_id in self._deadlines.due(now_ms):
            item = self._items.get(request_id)
            # An id may have been put again with a later deadline.
            if item is not None and item.deadline_ms <= now_ms:
                self._due.append(self.remove(request_id))

    def _make_room(self, item):
        if len(self._items) < self._limit_count:
            return None
        return self._evict_for(item)

    def _refuse(self):
        raise OverloadedError(f"{self._limit_count} requests wait for this target")


@queue_policy("fifo")
class FifoQueue(_Queue):
    """First in, first out, blind to priorities and shares: the naive version."""

    def __init__(self, *, limit_count):
        super().__init__(limit_count=limit_count)
        self._order = OrderedDict()

    def _evict_for(self, item):
        self._refuse()

    def _link(self, item):
        self._order[item.request_id] = item

    def _unlink(self, item):
        del self._order[item.request_id]

    def _choose(self):
        return self._order.popitem(last=False)[1]


@queue_policy("fair")
class FairQueue(_Queue):
    """Priority classes with ageing; customer shares within each class.

    The most urgent class goes first, but one turn in ``AGEING_INTERVAL_COUNT``
    belongs to the class that was passed over for longest, so that any class
    waits at most ``CLASS_WAIT_LIMIT_COUNT`` turns. When full, the customer
    with the most waiting work for its share loses the newest request of its
    least urgent class; a newcomer of that very customer is refused.
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
            self._refuse()
        for fair_class in reversed(self._classes):
            newest = fair_class.newest(customer)
            if newest is not None:
                return self.remove(newest.request_id)

    def _link(self, item):
        index = _class_index(item)
        if self._classes[index].count == 0:
            self._served_turn[index] = self._turn
        self._classes[index].put(item)
        count = self._customer_counts.get(item.customer, 0)
        self._customer_counts[item.customer] = count + 1
        self._backlogs.add(item)

    def _unlink(self, item):
        self._classes[_class_index(item)].remove(item)
        self._uncount(item)

    def _uncount(self, item):
        count = self._customer_counts[item.customer] - 1
        if count:
            self._customer_counts[item.customer] = count
        else:
            del self._customer_counts[item.customer]
        self._backlogs.remove(item, left=count > 0)

    def _choose(self):
        index = self._next_class()
        self._turn += 1
        self._served_turn[index] = self._turn
        item = self._classes[index].take()
        self._uncount(item)
        return item

    def _next_class(self):
        filled = [i for i in range(PRIORITY_COUNT) if self._classes[i].count]
        if len(filled) == 1:
            self._turns_to_ageing = AGEING_INTERVAL_COUNT
            return filled[0]
        self._turns_to_ageing -= 1
        if self._turns_to_ageing:
            return filled[0]
        self._turns_to_ageing = AGEING_INTERVAL_COUNT
        return min(filled, key=lambda i: self._served_turn[i])


def _class_index(item):
    return min(max(item.priority, 0), PRIORITY_COUNT - 1)
