"""How an agent reaches the rank on its own machine."""

import abc


class RankPort(abc.ABC):
    """Calls to the rank beside which an agent runs.

    Every call raises ``SendError`` if the rank does not answer.
    """

    @abc.abstractmethod
    async def report(self):
        """Return a ``RankReport``, or ``None`` from a target without a group."""

    @abc.abstractmethod
    async def expert_counts(self, *, sets_count):
        """Return, by set, how often each expert was chosen since the start."""

    @abc.abstractmethod
    async def resident_experts(self):
        """Return ``(version, experts by set)`` of the map in use."""

    @abc.abstractmethod
    async def send_order(self, order):
        """Give an ``Order``; return whether the rank accepted it."""
