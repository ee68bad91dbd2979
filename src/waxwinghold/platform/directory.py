"""Addresses of a service's ranks and the shape of their groups, for an agent."""

from typing import Annotated

import logbook
import msgspec

from .._decisions.pass_limit import pass_goals
from .._gateway.client import KeepAliveClient
from .._gateway.notices import Count
from .._ranks.model import GroupShape
from .entries import UNREADABLE_ERRORS, read_configuration, read_target
from .store import (
    CONFIGURATION_KEY,
    TARGETS_PREFIX,
    StoreError,
    item_value,
    read_range,
)

log = logbook.Logger("directory")

BITS_PER_BYTE = 8
MS_PER_SECOND = 1000


class _Engine(msgspec.Struct, rename="kebab"):
    sets: Count = 0
    experts: Count = 0
    placements: Count = 0
    spare: Count = 0
    slots: Annotated[int, msgspec.Meta(ge=1, le=2**53)] = 1
    expert_mb: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    expert_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    link_mbps: Annotated[float, msgspec.Meta(ge=1e-3)] = 1.0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    engine: _Engine | None = None


class _Configuration(msgspec.Struct, rename="kebab"):
    services: list[_Service] = []


class Directory:
    """Reads the ranks and the group shape of a service from the store.

    It accepts stale answers, which may be seconds old.

    Args:
        address: ``(ip, port)`` of the store.
        service: The service of the agent's rank.
    """

    def __init__(self, *, address, service):
        self._client = KeepAliveClient(address=address)
        self._service = service
        self._shape = None

    async def read(self):
        """Return the addresses of all ranks and the ``GroupShape``.

        Either is ``None`` if the store did not return it.
        """
        try:
            if self._shape is None:
                self._shape = await self._read_shape()
            return await self._read_addresses(), self._shape
        except (StoreError, *UNREADABLE_ERRORS) as error:
            log.info("store read failed", extra={"reason": str(error)})
            return None, self._shape

    async def _read_addresses(self):
        items, _, _ = await read_range(self._client, TARGETS_PREFIX, **{"stale-ok": 1})
        addresses = []
        for item in items:
            data = item_value(item)
            if data is None:
                continue
            target = read_target(item.key.removeprefix(TARGETS_PREFIX), data)
            if target is not None and target.service == self._service:
                addresses.append(target.address)
        return addresses

    async def _read_shape(self):
        items, _, _ = await read_range(
            self._client, CONFIGURATION_KEY, **{"stale-ok": 1}
        )
        for item in items:
            data = item_value(item) if item.key == CONFIGURATION_KEY else None
            if data is None:
                continue
            for service in msgspec.json.decode(data, type=_Configuration).services:
                if service.name == self._service:
                    return _shape(service.engine, gap_goal_ms=self._gap_goal_ms(data))
        return None

    def _gap_goal_ms(self, data):
        """Return the lowest gap goal of the routes to the service; 0 if none."""
        configuration = read_configuration(data)
        if configuration is None:
            return 0.0
        goal = pass_goals(configuration).get(self._service)
        return 0.0 if goal is None else goal.gap_goal_ms


def _shape(engine, *, gap_goal_ms):
    if engine is None or not engine.sets:
        return None
    megabits = engine.expert_mb * BITS_PER_BYTE
    return GroupShape(
        sets_count=engine.sets,
        experts_count=engine.experts,
        expert_slots_count=engine.placements,
        spare_count=engine.spare,
        slots_count=engine.slots,
        expert_share=engine.expert_share,
        expert_copy_ms=megabits / engine.link_mbps * MS_PER_SECOND,
        gap_goal_ms=gap_goal_ms,
    )
