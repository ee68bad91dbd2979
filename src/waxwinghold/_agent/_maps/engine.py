"""Interface to an engine for map changes, and its implementation over HTTP."""

import typing

import msgspec

from ..._messages.maps import EngineMap
from ..orders import EngineUnreachableError

MAP_PATH = "/map"
_MAP_FIELDS = typing.TypedDict("_MAP_FIELDS", typing.get_type_hints(EngineMap))


class EngineOrders(typing.Protocol):
    """Orders that an agent sends to its engine.

    Each order carries a rising fencing number and ends within a time limit. An
    order that fails raises a ``WaxwingError``; if the reason is that a newer
    agent sends orders to the engine, this is a ``SupersededError``.
    """

    async def read_map(self) -> EngineMap:
        """Return the engine's report of its maps."""

    async def hold_before(self, step: int | None) -> None:
        """Hold all steps from ``step`` on; ``None`` ends the hold."""

    async def load_experts(self, map_id: str, experts: tuple[str, ...]) -> None:
        """Start to load experts; the engine reports the map once it is loaded."""

    async def switch_map(self, map_id: str, step: int) -> None:
        """Use a loaded map from ``step`` on; a hold stays in force."""

    async def drop_map(self, map_id: str) -> None:
        """Free a map that is not in use."""


class TimestampedOrders:
    """Forwards orders to an engine and records the time of the latest one.

    The process that ran before this one may have sent orders until this one
    started, so the start counts as an order.

    Args:
        engine: The ``EngineOrders`` that the orders are forwarded to.
        clock: The ``Clock`` of the agent.

    Attributes:
        latest_ms: Time at which the latest order ended.
    """

    def __init__(self, *, engine, clock):
        self._engine = engine
        self._clock = clock
        self.latest_ms = clock.now_ms()

    async def read_map(self):
        """Return the engine's report of its maps."""
        return await self._engine.read_map()

    async def hold_before(self, step):
        """Hold all steps from ``step`` on; ``None`` ends the hold."""
        await self._record(self._engine.hold_before(step))

    async def load_experts(self, map_id, experts):
        """Start to load experts."""
        await self._record(self._engine.load_experts(map_id, experts))

    async def switch_map(self, map_id, step):
        """Use a loaded map from ``step`` on."""
        await self._record(self._engine.switch_map(map_id, step))

    async def drop_map(self, map_id):
        """Free a map that is not in use."""
        await self._record(self._engine.drop_map(map_id))

    async def _record(self, order):
        try:
            await order
        finally:
            self.latest_ms = self._clock.now_ms()


class HttpEngineOrders:
    """Implements ``EngineOrders`` with an ``OrderClient``."""

    def __init__(self, *, order_client):
        self._order_client = order_client

    async def read_map(self):
        """Return the engine's report of its maps.

        Raises:
            EngineUnreachableError: There was no answer with the fields of a map.
        """
        document = await self._order_client.read(MAP_PATH)
        try:
            fields = {name: document[name] for name in EngineMap.__struct_fields__}
            return EngineMap(**msgspec.convert(fields, _MAP_FIELDS))
        except (KeyError, msgspec.ValidationError) as error:
            raise EngineUnreachableError(path=MAP_PATH, cause=error) from error

    async def hold_before(self, step):
        """Hold all steps from ``step`` on; ``None`` ends the hold."""
        await self._order_client.send_order("hold_before", step=step)

    async def load_experts(self, map_id, experts):
        """Start to load experts."""
        await self._order_client.send_order(
            "load_experts", map_id=map_id, experts=list(experts)
        )

    async def switch_map(self, map_id, step):
        """Use a loaded map from ``step`` on."""
        await self._order_client.send_order("switch_map", map_id=map_id, step=step)

    async def drop_map(self, map_id):
        """Free a map that is not in use."""
        await self._order_client.send_order("drop_map", map_id=map_id)
