"""What a rank says of itself, and the orders that it takes."""

import enum
from dataclasses import dataclass


class OrderKind(enum.StrEnum):
    """Orders that step a group from one expert map to the next."""

    PREPARE = "prepare"
    ARM = "arm"
    HOLD = "hold"
    GO = "go"


@dataclass(frozen=True, kw_only=True)
class RankReport:
    """A rank's state, fresh from its own machine.

    Args:
        born_ms: Wall time of the rank's start.
        group: Name of its group; empty if it is in none.
        epoch: Grows each time that the group is formed anew.
        is_open: Whether the group makes steps.
        step: The last pass that was begun.
        map_version: The map in use.
        prepared: Version of the map that is ready to be armed, or ``None``.
        armed: Version of the map that a pass to come switches to, or ``None``.
        held: The pass that is held back, or ``None``.
        orders_count: Orders accepted since the rank's start.
        running_count: Requests that it runs.
        waiting_count: Requests that wait at it.
        pace: Above 1 for a rank that is slower than its like.
    """

    born_ms: int
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None
    armed: int | None
    held: int | None
    orders_count: int
    running_count: int
    waiting_count: int
    pace: float = 1.0


@dataclass(frozen=True, kw_only=True)
class GroupShape:
    """Sizes that bound a group's expert maps.

    Args:
        sets_count: Sets of layers, each with its own experts.
        experts_count: Experts of a set.
        expert_slots_count: Experts of a set that one rank can hold.
        spare_count: Experts of a set that one change may bring to a rank.
        slots_count: Requests that one rank runs at once.
        expert_share: Part of a step's work that the experts do, 0 to 1.
        expert_copy_ms: Time that copying one expert to a rank takes.
    """

    sets_count: int
    experts_count: int
    expert_slots_count: int
    spare_count: int
    slots_count: int
    expert_share: float
    expert_copy_ms: float


@dataclass(frozen=True, kw_only=True)
class Order:
    """One order to one rank.

    Args:
        step: The pass, for ``ARM``, ``HOLD`` and ``GO``.
        version: The map's version, for ``PREPARE`` and ``ARM``.
        ranks_by_set: For ``PREPARE``: per set and rank the experts held.
        epoch: The order is void in another epoch of the group.
        orders_count: The order is void once the rank accepted another.
        token: Grows with each start of the process that gives orders.
    """

    kind: OrderKind
    epoch: int
    orders_count: int
    token: int
    step: int | None = None
    version: int | None = None
    ranks_by_set: list | None = None
