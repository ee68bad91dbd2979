"""Converts the plans of a group's layers to an expert map and back.

An expert is named ``rank/layer/expert`` in a map.
"""

import math
from dataclasses import dataclass

from .._messages.maps import ExpertMap
from .._policy import GroupShape, Plan
from .._policy.placement import make_plan
from .._sheet.model import PlacementWeights

# The leader appends its term, which makes the id of each attempt unique.
MAP_NAME = "plan"


@dataclass(frozen=True, kw_only=True)
class GroupLayout:
    """A group's ranks and experts, as the sheet defines them.

    Args:
        agents: Ranks of each agent, by the agent's name.
        shape: The ranks and expert slots of the group.
        experts_count: Experts in a layer.
        layers_count: Layers with experts.
        weights: The weights of the placement policy.
    """

    agents: dict[str, tuple[int, ...]]
    shape: GroupShape
    experts_count: int
    layers_count: int
    weights: PlacementWeights

    @property
    def even_demand(self):
        """An equal demand for all experts of a layer."""
        return (1.0,) * self.experts_count


def layout_of(index, group):
    """Return the ``GroupLayout`` of a group.

    Returns:
        The layout; ``None`` if the sheet has no such group, its model has no
        experts, or no target has ranks of it.
    """
    row = index and index.groups.get(group)
    if not row or group not in index.targets_by_group:
        return None
    service = index.services[row.service]
    model = index.models.get(service.model)
    if model is None or not model.experts_count * model.layers_count:
        return None
    needed_count = math.ceil(model.experts_count / row.ranks_count)
    targets = index.targets_by_group[group]
    return GroupLayout(
        agents={target.name: target.ranks for target in targets},
        shape=GroupShape(
            ranks_count=row.ranks_count,
            expert_slots_count=needed_count + row.spare_places_count,
        ),
        experts_count=model.experts_count,
        layers_count=model.layers_count,
        weights=service.placement,
    )


def map_of(plans, layout):
    """Return the ``ExpertMap`` of the plans of all layers."""
    experts = {
        agent: tuple(
            f"{rank}/{layer}/{expert}"
            for rank in ranks
            for layer, plan in enumerate(plans)
            for expert in plan.ranks[rank]
        )
        for agent, ranks in layout.agents.items()
    }
    return ExpertMap(map_id=MAP_NAME, experts=experts)


def plans_of(expert_map, layout) -> tuple[Plan, ...] | None:
    """Return the plans of all layers that a map describes.

    Returns:
        The plans; ``None`` if the map's experts are unknown or do not fit the
        layout.
    """
    if expert_map is None or set(expert_map.experts) != set(layout.agents):
        return None
    ranks_count = layout.shape.ranks_count
    layers = [[set() for _ in range(ranks_count)] for _ in range(layout.layers_count)]
    try:
        for agent, names in expert_map.experts.items():
            for rank, layer, expert in (map(int, name.split("/")) for name in names):
                if rank not in layout.agents[agent]:
                    return None
                layers[layer][rank].add(expert)
    except (ValueError, IndexError):
        return None
    if not all(_fits(ranks, layout) for ranks in layers):
        return None
    return tuple(make_plan(ranks, demand=layout.even_demand) for ranks in layers)


def _fits(ranks, layout):
    is_complete = set().union(*ranks) == set(range(layout.experts_count))
    return is_complete and max(map(len, ranks)) <= layout.shape.expert_slots_count
