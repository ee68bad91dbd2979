"""The expert maps of one rank: what is loaded, what is in force, what waits."""

from dataclasses import dataclass

INITIAL_MAP = "initial"


@dataclass(frozen=True, kw_only=True)
class PendingSwitch:
    """A map that comes into force as ``step`` begins, or with the next one."""

    map_id: str
    step: int


class ExpertMaps:
    """The expert maps of one rank.

    Args:
        map_id: The map in force at the start, or ``None``: a rank that knows
            no map does not step.
    """

    def __init__(self, *, map_id=INITIAL_MAP):
        self.map_id = map_id
        self.hold_before = None
        self.loaded = {} if map_id is None else {map_id: frozenset()}
        self.pending = None

    def may_begin(self, step):
        """Return whether the rank may run ``step``."""
        if self.hold_before is not None and step >= self.hold_before:
            return False
        return self._map_at(step) is not None

    def begin(self, step):
        """Return the map in force in ``step``, which begins now."""
        self.map_id = self._map_at(step)
        if self.pending is not None and step >= self.pending.step:
            self.pending = None
        return self.map_id

    @property
    def changes(self):
        """Whether a hold or a switch waits for its step."""
        return self.pending is not None or self.hold_before is not None

    def hold(self, step):
        """Run no step from ``step`` on; ``None`` lets the rank go on."""
        self.hold_before = step

    def switch(self, map_id, step):
        """Use a loaded map from ``step`` on; this also ends a hold."""
        self.pending = PendingSwitch(map_id=map_id, step=step)
        self.hold_before = None

    def missing(self, experts):
        """Return those of ``experts`` that no loaded map has on this rank."""
        present = frozenset().union(*self.loaded.values())
        return frozenset(experts) - present

    def add(self, map_id, experts):
        """Note that all experts of a map are loaded."""
        self.loaded[map_id] = frozenset(experts)

    def drop(self, map_id):
        """Free a map."""
        self.loaded.pop(map_id, None)

    def is_used(self, map_id):
        """Return whether a map is in force or about to be."""
        waits = self.pending is not None and self.pending.map_id == map_id
        return waits or self.map_id == map_id

    def _map_at(self, step):
        if self.pending is not None and step >= self.pending.step:
            return self.pending.map_id
        return self.map_id
