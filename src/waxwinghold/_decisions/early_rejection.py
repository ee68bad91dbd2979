"""Decides which requests an entry rejects because they would miss their deadline.

It handles loads above the capacity: a rejection costs the targets nothing.
``tests.test_policy_overload`` replays it.
"""

WAIT_RATIOS = (0.4, 0.25, 0.1)


class DeadlineAdmission:
    """Rejects requests whose expected wait uses too much of their deadline.

    The less urgent a request is, the smaller the part of its deadline that it
    may spend in a queue. Under overload the least urgent requests are therefore
    rejected first.

    Args:
        wait_ratios: Part of the deadline that may be spent waiting, indexed by
            priority; the last one applies to all higher numbers too.
    """

    def __init__(self, *, wait_ratios=WAIT_RATIOS):
        self._wait_ratios = wait_ratios

    def admits(self, *, wait_ms, deadline_in_ms, priority):
        """Return whether the request may be sent to the target.

        Args:
            wait_ms: Expected wait in the queue of the chosen target, in milliseconds.
            deadline_in_ms: Time until the request's deadline, in milliseconds.
            priority: Priority of the request; 0 is the most urgent.
        """
        index = min(priority, len(self._wait_ratios) - 1)
        return wait_ms <= deadline_in_ms * self._wait_ratios[index]
