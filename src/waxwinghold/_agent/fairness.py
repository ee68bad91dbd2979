"""Division of a queue between customers by their shares."""

import heapq
import itertools
from collections import OrderedDict

SHARE_MIN = 0.001


class _Flow:
    """The requests of one customer in one class, in order of arrival."""

    def __init__(self):
        self.items = OrderedDict()
        self.start_tag = 0.0


class PriorityClass:
    """One priority class: start-time fair queueing between customers.

    A customer's first request carries the virtual time at which it may start;
    the lowest goes first, and the customer's next one starts ``cost / share``
    later. A customer that comes back early finds its old tag.
    """

    def __init__(self):
        self._flows = {}
        self._heap = []
        self._serial = itertools.count()
        self._virtual_time = 0.0
        self.count = 0

    def put(self, item):
        """Let ``item`` wait behind its customer's other requests."""
        flow = self._flows.get(item.customer)
        if flow is None:
            flow = self._flows[item.customer] = _Flow()
        if not flow.items:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            self._offer(item.customer, flow)
        flow.items[item.request_id] = item
        self.count += 1

    def remove(self, item):
        """Take ``item`` out."""
        del self._flows[item.customer].items[item.request_id]
        self.count -= 1
        self._forget_idle()

    def take(self):
        """Take out and return the request whose turn it is."""
        customer, flow = self._next_flow()
        item = flow.items.popitem(last=False)[1]
        self._virtual_time = flow.start_tag
        flow.start_tag += item.cost / max(item.share, SHARE_MIN)
        if flow.items:
            self._offer(customer, flow)
        self.count -= 1
        self._forget_idle()
        return item

    def newest(self, customer):
        """Return the customer's newest request, or ``None``."""
        flow = self._flows.get(customer)
        if flow is None or not flow.items:
            return None
        return next(reversed(flow.items.values()))

    def _offer(self, customer, flow):
        entry = (flow.start_tag, next(self._serial), customer)
        heapq.heappush(self._heap, entry)

    def _next_flow(self):
        while True:
            start_tag, _, customer = heapq.heappop(self._heap)
            flow = self._flows.get(customer)
            # A flow that was emptied leaves its entry in the heap.
            if flow and flow.items and flow.start_tag == start_tag:
                return customer, flow

    def _forget_idle(self):
        if self.count == 0:
            self._flows.clear()
            self._heap.clear()
            self._virtual_time = 0.0
        elif len(self._flows) > 2 * self.count + 64:
            self._flows = {
                customer: flow
                for customer, flow in self._flows.items()
                if flow.items or flow.start_tag > self._virtual_time
            }


class Backlogs:
    """Finds the customer that waits with the most work for its share."""

    def __init__(self):
        self._cost = {}
        self._heap = []

    def with_item(self, item):
        """Return the backlog that the customer of ``item`` has with it."""
        share = max(item.share, SHARE_MIN)
        return self._cost.get(item.customer, 0.0) + item.cost / share

    def add(self, item):
        """Count ``item`` in."""
        self._cost[item.customer] = self.with_item(item)
        heapq.heappush(self._heap, (-self._cost[item.customer], item.customer))
        if len(self._heap) > 2 * len(self._cost) + 64:
            self._heap = [(-cost, customer) for customer, cost in self._cost.items()]
            heapq.heapify(self._heap)

    def remove(self, item, *, left):
        """Take ``item`` off; ``left`` says whether its customer has others."""
        if left:
            self._cost[item.customer] -= item.cost / max(item.share, SHARE_MIN)
        else:
            del self._cost[item.customer]

    def largest(self):
        """Return the customer with the largest backlog, and the backlog."""
        while True:
            negative, customer = self._heap[0]
            cost = self._cost.get(customer)
            if cost == -negative:
                return customer, cost
            heapq.heappop(self._heap)
            # Entries are only ever too high, so the right one sinks in place.
            if cost is not None:
                heapq.heappush(self._heap, (-cost, customer))
