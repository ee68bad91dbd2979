"""The expert maps of one rank: what is loaded, what is in force, what waits."""

from dataclasses import dataclass

INITIAL_MAP = "initial"
NO_MAP = ""


@dataclass(frozen=True, kw_only=True)
class PendingSwitch:
    """A map that comes into force as ``step`` begins, or with the next one."""

    map_id: str
    step: int


class ExpertMaps:
    """The expert maps of one rank.

    Args:
        map_id: The map in force at the start, or ``NO_MAP``: a rank that knows
            no map does not step.
    """

    def __init__(self, *, map_id=INITIAL_MAP):
        self.map_id = map_id
        self.hold_before = None
        self.loaded = {} if map_id == NO_MAP else {map_id: frozenset()}
        self.pending = None
        self._next_step = 1
        self._steps_now = False

    def may_begin_step(self, step):
        """Return whether the rank may run ``step``."""
        held = self.hold_before is not None and step >= self.hold_before
        return not held and self._map_at(step) != NO_MAP

    def begin_step(self, step):
        """Return the map in force in ``step``, which begins now."""
        self._next_step = step
        self._apply_pending()
        self._next_step = step + 1
        self._steps_now = True
        return self.map_id

    def end_step(self, next_step):
        """Take in that a step ended, or was lost, and which one is next."""
        self._next_step = next_step
        self._steps_now = False
        self._apply_pending()

    @property
    def next_map_id(self):
        """The map that the next step to begin uses."""
        return self._map_at(self._next_step)

    @property
    def has_pending_change(self):
        """Whether a hold or a switch waits for its step."""
        return self.pending is not None or self.hold_before is not None

    def hold(self, step):
        """Run no step from ``step`` on; ``None`` lets the rank go on."""
        self.hold_before = step

    def switch(self, map_id, step):
        """Use a loaded map from ``step`` on; a hold stays as it is."""
        self.pending = PendingSwitch(map_id=map_id, step=step)
        if not self._steps_now:
            self._apply_pending()

    def missing_experts(self, experts):
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
        due = self.pending is not None and step >= self.pending.step
        return self.pending.map_id if due else self.map_id

    def _apply_pending(self):
        if self.pending is not None and self._next_step >= self.pending.step:
            self.map_id, self.pending = self.pending.map_id, None
