"""The interface through which an agent calls a rank."""

import abc


class RankPort(abc.ABC):
    """Calls one rank.

    Every method raises ``SendError`` if the rank does not answer.
    """

    @abc.abstractmethod
    async def report(self):
        """Return the ``RankReport``, or ``None`` if the target belongs to no group."""

    @abc.abstractmethod
    async def expert_counts(self, *, sets_count):
        """Return how often each expert was chosen since the rank's start, by set.

        Args:
            sets_count: Number of sets of experts.
        """

    @abc.abstractmethod
    async def resident_experts(self):
        """Return ``(version, resident experts by set)`` of the map in use."""

    @abc.abstractmethod
    async def send_order(self, order):
        """Send an ``Order`` and return whether the rank accepted it."""
