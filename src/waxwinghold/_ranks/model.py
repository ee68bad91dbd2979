"""Reports of a rank, the shape of its group, and orders to a rank."""

import enum
from dataclasses import dataclass


class OrderKind(enum.StrEnum):
    """Kinds of the orders that change a group's expert map.

    ``PREPARE`` loads a new map beside the current one. ``HOLD`` makes rank 0 hold a
    later step, so that no rank begins it. ``ARM`` makes a rank switch to the prepared
    map at that step. ``GO`` releases the held step.
    """

    PREPARE = "prepare"
    ARM = "arm"
    HOLD = "hold"
    GO = "go"


@dataclass(frozen=True, kw_only=True)
class RankReport:
    """The state of a rank, as the rank reports it.

    Args:
        born_ms: Wall time of the rank's start.
        group: Name of its group; empty if it belongs to none.
        epoch: Grows each time the group is re-formed.
        rank: Number of the rank in its group, from 0.
        size: Number of ranks in the group.
        is_open: Whether the group is open, i.e. makes steps.
        step: Number of the latest step that began.
        map_version: Version of the map in use.
        prepared: Version of the map that can be armed, or ``None``.
        armed: Version of the map to which the rank switches at a later step, or
            ``None``.
        held: Number of the held step, or ``None``.
        orders_count: Orders accepted since the rank's start.
        running_count: Requests that the rank runs.
        waiting_count: Requests that wait at the rank.
        pace: Relative duration of a step; above 1 if the rank is slower than its
            peers.
        is_leaving: Whether the rank announced with the report that it leaves.
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
    is_leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class GroupShape:
    """Sizes and costs that limit a group's expert maps.

    Args:
        sets_count: Sets of layers, each with its own experts.
        experts_count: Experts of a set.
        expert_slots_count: Experts of a set that one rank can hold.
        spare_count: Maximum number of experts of a set that one map change may add to
            a rank.
        slots_count: Requests that one rank runs at the same time.
        expert_share: Share of a step's work that the experts do, 0 to 1.
        expert_copy_ms: Time that copying one expert to a rank takes.
        gap_goal_ms: Longest pause of a stream that is on time; 0 if there is no goal.
    """

    sets_count: int
    experts_count: int
    expert_slots_count: int
    spare_count: int
    slots_count: int
    expert_share: float
    expert_copy_ms: float
    gap_goal_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Order:
    """One order to one rank.

    Args:
        kind: The kind of the order.
        epoch: Epoch of the group; a rank in another epoch rejects the order.
        orders_count: Number of orders that the rank has accepted since its start, as
            known to the sender; if it differs, the rank rejects the order.
        token: Fencing token; grows with each start of the agent that sends orders.
        step: Number of the step, for ``ARM``, ``HOLD`` and ``GO``.
        version: Version of the map, for ``PREPARE`` and ``ARM``.
        ranks_by_set: The new map, for ``PREPARE``: resident experts by set and rank.
        base_by_set: The map in use, for ``PREPARE``; ``None`` if not known.
    """

    kind: OrderKind
    epoch: int
    orders_count: int
    token: int
    step: int | None = None
    version: int | None = None
    ranks_by_set: list | None = None
    base_by_set: list | None = None
