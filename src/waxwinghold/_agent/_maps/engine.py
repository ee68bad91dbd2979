"""What the protocol needs of an engine."""

import typing

from ..._errors import WaxwingError
from ..._messages.maps import EngineMap


class EngineRefusedError(WaxwingError):
    """The engine refused an order: it was not applied."""

    code = "engine_refused"


class EngineUnreachableError(WaxwingError):
    """The engine did not answer: an order may have been applied or not."""

    code = "engine_unreachable"


class EngineOrders(typing.Protocol):
    """Orders to the engine beside an agent, one at a time.

    Each order carries a rising fencing number. All methods raise
    ``EngineRefusedError``, ``EngineUnreachableError`` or ``SupersededError``,
    and each ends within a time limit.
    """

    async def read_map(self) -> EngineMap:
        """Return the engine's own word on its maps."""

    async def hold_before(self, step: int | None) -> None:
        """Let no step from ``step`` on begin; ``None`` ends the hold."""

    async def load_experts(self, map_id: str, experts: tuple[str, ...]) -> None:
        """Begin to load experts; the map is listed as loaded when it is."""

    async def switch_map(self, map_id: str, step: int) -> None:
        """Use a loaded map from ``step`` on; a hold stays as it is."""

    async def drop_map(self, map_id: str) -> None:
        """Free a map that is not in use."""
