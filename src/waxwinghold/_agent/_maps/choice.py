"""Which map a group goes on with, by what its agents report."""

import collections
from dataclasses import dataclass

from ..._messages.maps import ExpertMap


@dataclass(frozen=True, kw_only=True)
class GroupMap:
    """The map that a group goes on with.

    Args:
        expert_map: The map; ``None`` if no engine has one and none is known.
        in_force: Whether every engine uses it and no switch to another began.
    """

    expert_map: ExpertMap | None
    in_force: bool


def choose_map(reports):
    """Return the ``GroupMap`` for the reports of all agents of a group.

    A switch that any agent or engine has begun goes forward, otherwise the
    map in force stays.

    Args:
        reports: A ``MapReport`` of every agent.
    """
    latest = _latest_target(reports)
    in_use = collections.Counter(report.engine.map_id for report in reports)
    if len(in_use) == 1 and "" not in in_use:
        (map_id,) = in_use
        if latest is None or latest.map_id == map_id:
            return GroupMap(expert_map=_content(reports, map_id), in_force=True)
    del in_use[""]
    map_id = _begun_switch(reports, in_use) or (latest and latest.map_id)
    if not map_id and in_use:
        # Any map will do, as no step ran on two: fewest engines switch.
        map_id = max(in_use, key=lambda name: (in_use[name], name))
    if not map_id:
        return GroupMap(expert_map=None, in_force=False)
    return GroupMap(expert_map=_content(reports, map_id), in_force=False)


def _latest_target(reports):
    known = [report for report in reports if report.target is not None]
    if not known:
        return None
    return max(known, key=lambda report: report.target_term).target


def _begun_switch(reports, in_use):
    """Return a map loaded ahead that an engine already uses, or ``None``."""
    for report in reports:
        if report.prepared is not None and report.prepared.map_id in in_use:
            return report.prepared.map_id
    return None


def _content(reports, map_id):
    """Return the map of that name with its experts, where anyone knows them."""
    for report in reports:
        for expert_map in (report.target, report.prepared):
            if expert_map and expert_map.map_id == map_id and expert_map.experts:
                return expert_map
    return ExpertMap(map_id=map_id)
