"""The interface through which an agent calls a rank."""

import abc


class RankPort(abc.ABC):
    """Calls one rank.

    Every method raises ``SendError`` if the rank does not answer.
    """

    @abc.abstractmethod
    async def report(self):
        """Return the ``RankReport``, or ``None`` if the rank belongs to no group."""

    @abc.abstractmethod
    async def expert_counts(self, *, sets_count):
        """Return how often each expert was chosen since the rank's start, by set.

        Args:
            sets_count: Number of sets of experts.
        """

    @abc.abstractmethod
    async def resident_experts(self):
        """Return the version of the map in use and the resident experts by set."""

    @abc.abstractmethod
    async def send_order(self, order):
        """Send an ``Order`` and return whether the rank accepted it."""
