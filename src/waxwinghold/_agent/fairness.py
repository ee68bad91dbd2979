"""Fair queueing of requests among customers, by the customers' shares."""

import heapq
import itertools
from collections import OrderedDict

# Lower limit, as costs are divided by shares.
SHARE_MIN = 0.001


class _Flow:
    """The requests of one customer in one priority class, in order of arrival.

    Attributes:
        start_tag: The virtual time at which the first request may start.
    """

    def __init__(self):
        self.items = OrderedDict()
        self.start_tag = 0.0


class PriorityClass:
    """A priority class with start-time fair queueing among customers.

    Each customer has a start tag, the virtual time at which its first request
    may start. The request with the lowest tag is taken next, and its customer's
    tag rises by ``cost / share``. A customer that returns before virtual time
    has reached its tag keeps that tag, so it gains nothing from leaving.

    Attributes:
        count: Number of waiting requests.
    """

    def __init__(self):
        self._flows = {}
        self._heap = []
        self._serial = itertools.count()
        self._virtual_time = 0.0
        self.count = 0

    def put(self, item):
        """Add ``item`` behind the other requests of its customer."""
        flow = self._flows.get(item.customer)
        if flow is None:
            flow = self._flows[item.customer] = _Flow()
        if not flow.items:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            self._push_flow(item.customer, flow)
        flow.items[item.request_id] = item
        self.count += 1

    def remove(self, item):
        """Remove ``item``."""
        del self._flows[item.customer].items[item.request_id]
        self.count -= 1
        self._drop_idle_flows()

    def take(self):
        """Remove and return the request with the lowest start tag."""
        customer, flow = self._pop_flow()
        item = flow.items.popitem(last=False)[1]
        self._virtual_time = flow.start_tag
        flow.start_tag += item.cost / max(item.share, SHARE_MIN)
        if flow.items:
            self._push_flow(customer, flow)
        self.count -= 1
        self._drop_idle_flows()
        return item

    def newest(self, customer):
        """Return the newest request of ``customer``, or ``None``."""
        flow = self._flows.get(customer)
        if flow is None or not flow.items:
            return None
        return next(reversed(flow.items.values()))

    def _push_flow(self, customer, flow):
        entry = (flow.start_tag, next(self._serial), customer)
        heapq.heappush(self._heap, entry)

    def _pop_flow(self):
        while True:
            start_tag, _, customer = heapq.heappop(self._heap)
            flow = self._flows.get(customer)
            # Emptying a flow leaves an outdated entry in the heap: skip it.
            if flow and flow.items and flow.start_tag == start_tag:
                return customer, flow

    def _drop_idle_flows(self):
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
    """The backlog of each customer: the cost of its requests divided by its share."""

    def __init__(self):
        self._backlogs = {}
        self._heap = []

    def with_item(self, item):
        """Return the backlog of the item's customer with ``item`` included."""
        share = max(item.share, SHARE_MIN)
        return self._backlogs.get(item.customer, 0.0) + item.cost / share

    def add(self, item):
        """Add ``item`` to its customer's backlog."""
        self._backlogs[item.customer] = self.with_item(item)
        heapq.heappush(self._heap, (-self._backlogs[item.customer], item.customer))
        if len(self._heap) > 2 * len(self._backlogs) + 64:
            self._heap = [
                (-backlog, customer) for customer, backlog in self._backlogs.items()
            ]
            heapq.heapify(self._heap)

    def remove(self, item, *, has_more):
        """Subtract ``item`` from its customer's backlog.

        Args:
            has_more: Whether the customer still has other requests.
        """
        if has_more:
            self._backlogs[item.customer] -= item.cost / max(item.share, SHARE_MIN)
        else:
            del self._backlogs[item.customer]

    def largest(self):
        """Return the customer with the largest backlog, and that backlog."""
        while True:
            negative, customer = self._heap[0]
            backlog = self._backlogs.get(customer)
            if backlog == -negative:
                return customer, backlog
            heapq.heappop(self._heap)
            # An outdated entry is always too high: push it back with the
            # current backlog and check the entry that is first then.
            if backlog is not None:
                heapq.heappush(self._heap, (-backlog, customer))
