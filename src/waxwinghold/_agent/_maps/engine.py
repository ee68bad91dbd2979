"""What the protocol needs of an engine, and the orders that bring it about."""

import typing

from ..._messages.maps import EngineMap
from ..orders import EngineUnreachableError

MAP_PATH = "/map"


class EngineOrders(typing.Protocol):
    """Orders to the engine beside an agent.

    Each order carries a rising fencing number and ends within a time limit;
    one that fails raises a ``WaxwingError``, and ``SupersededError`` where a
    newer agent gives orders to the engine.
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


class TimestampedOrders:
    """An engine's orders, with the moment of the latest one.

    A process that ended before this one began may have given orders until
    then, so the start counts as an order.

    Args:
        engine: The ``EngineOrders`` that carry out what is asked.
        clock: The ``Clock`` of the agent.
    """

    def __init__(self, *, engine, clock):
        self._engine = engine
        self._clock = clock
        self.latest_ms = clock.now_ms()

    async def read_map(self):
        """Return the engine's own word on its maps."""
        return await self._engine.read_map()

    async def hold_before(self, step):
        """Let no step from ``step`` on begin; ``None`` ends the hold."""
        await self._note(self._engine.hold_before(step))

    async def load_experts(self, map_id, experts):
        """Begin to load experts."""
        await self._note(self._engine.load_experts(map_id, experts))

    async def switch_map(self, map_id, step):
        """Use a loaded map from ``step`` on."""
        await self._note(self._engine.switch_map(map_id, step))

    async def drop_map(self, map_id):
        """Free a map that is not in use."""
        await self._note(self._engine.drop_map(map_id))

    async def _note(self, order):
        try:
            await order
        finally:
            self.latest_ms = self._clock.now_ms()


class HttpEngineOrders:
    """The engine behind an ``OrderClient``."""

    def __init__(self, *, order_client):
        self._order_client = order_client

    async def read_map(self):
        """Return the engine's own word on its maps.

        Raises:
            EngineUnreachableError: There was no answer of that shape.
        """
        document = await self._order_client.read(MAP_PATH)
        try:
            return EngineMap(
                map_id=document["map_id"],
                step=document["step"],
                hold_before=document["hold_before"],
                loaded=tuple(document["loaded"]),
            )
        except (KeyError, TypeError) as error:
            raise EngineUnreachableError(path=MAP_PATH, cause=error) from error

    async def hold_before(self, step):
        """Let no step from ``step`` on begin; ``None`` ends the hold."""
        await self._order_client.order("hold_before", step=step)

    async def load_experts(self, map_id, experts):
        """Begin to load experts."""
        await self._order_client.order(
            "load_experts", map_id=map_id, experts=list(experts)
        )

    async def switch_map(self, map_id, step):
        """Use a loaded map from ``step`` on."""
        await self._order_client.order("switch_map", map_id=map_id, step=step)

    async def drop_map(self, map_id):
        """Free a map that is not in use."""
        await self._order_client.order("drop_map", map_id=map_id)
