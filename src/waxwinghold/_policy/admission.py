"""Early refusal, at the entry, of requests that would miss their deadline."""

WAIT_RATIOS = (0.4, 0.25, 0.1)


class DeadlineAdmission:
    """Refuses a request whose expected wait takes too much of its deadline.

    The less urgent a request, the smaller the part of its deadline that it may
    spend in a queue, so that the least urgent work gives way first.

    Args:
        wait_ratios: Part of the deadline that may be spent waiting, by
            priority; the last one holds for all further priorities.
    """

    def __init__(self, *, wait_ratios=WAIT_RATIOS):
        self._wait_ratios = wait_ratios

    def admits(self, *, wait_ms, deadline_in_ms, priority):
        """Return whether the request may be sent on.

        Args:
            wait_ms: Expected wait in the chosen target's queue.
            deadline_in_ms: Time left until the request's deadline.
            priority: 0 is the most urgent.
        """
        index = min(priority, len(self._wait_ratios) - 1)
        return wait_ms <= deadline_in_ms * self._wait_ratios[index]
