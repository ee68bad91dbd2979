"""Selects the map that a group continues with, from its agents' reports."""

import collections
from dataclasses import dataclass

from ..._messages.maps import ExpertMap


@dataclass(frozen=True, kw_only=True)
class GroupMap:
    """The map that a group continues with.

    Args:
        expert_map: The map; ``None`` if no engine has a map and no agent knows
            one.
        in_force: Whether every engine uses the map and no agent has begun a
            switch to another.
    """

    expert_map: ExpertMap | None
    in_force: bool


def choose_map(reports):
    """Return the ``GroupMap`` for the reports of all agents of a group.

    A switch that any agent or engine has begun is completed. Otherwise the map
    in force stays.

    Args:
        reports: A ``MapReport`` of every agent.
    """
    latest = _latest_target(reports)
    in_use = collections.Counter(report.engine.map_id for report in reports)
    if len(in_use) == 1 and "" not in in_use:
        (map_id,) = in_use
        if latest is None or latest.map_id == map_id:
            return GroupMap(expert_map=_with_experts(reports, map_id), in_force=True)
    del in_use[""]
    map_id = _find_begun_switch(reports, in_use) or (latest and latest.map_id)
    if not map_id and in_use:
        # Any of these maps is safe, as no step has run on different maps. The
        # most used one makes the fewest engines switch.
        map_id = max(in_use, key=lambda name: (in_use[name], name))
    if not map_id:
        return GroupMap(expert_map=None, in_force=False)
    return GroupMap(expert_map=_with_experts(reports, map_id), in_force=False)


def _latest_target(reports):
    with_target = [report for report in reports if report.target is not None]
    if not with_target:
        return None
    return max(with_target, key=lambda report: report.target_term).target


def _find_begun_switch(reports, in_use):
    """Return the id of a prepared map that an engine already uses, or ``None``."""
    for report in reports:
        if report.prepared is not None and report.prepared.map_id in in_use:
            return report.prepared.map_id
    return None


def _with_experts(reports, map_id):
    """Return the map with its experts, or without them if no report has them."""
    for report in reports:
        for expert_map in (report.target, report.prepared):
            if expert_map and expert_map.map_id == map_id and expert_map.experts:
                return expert_map
    return ExpertMap(map_id=map_id)
