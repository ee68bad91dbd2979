"""Expert maps of one rank: the loaded ones, the active one and a pending switch."""

from dataclasses import dataclass

INITIAL_MAP = "initial"
NO_MAP = ""


@dataclass(frozen=True, kw_only=True)
class PendingSwitch:
    """A switch to another map that has not been carried out yet.

    Args:
        map_id: Id of the map to switch to.
        step: First step that uses the map; if that step has begun already, the next
            step is the first.
    """

    map_id: str
    step: int


class ExpertMaps:
    """The expert maps of one rank.

    Args:
        map_id: Id of the active map at the start, or ``NO_MAP``; a rank without an
            active map does not step.

    Attributes:
        map_id: Id of the active map, or ``NO_MAP``.
        hold_before: First step that must not begin, or ``None``.
        loaded: Experts of each loaded map, by map id.
        pending: The ``PendingSwitch``, or ``None``.
    """

    def __init__(self, *, map_id=INITIAL_MAP):
        self.map_id = map_id
        self.hold_before = None
        self.loaded = {} if map_id == NO_MAP else {map_id: frozenset()}
        self.pending = None
        self._next_step = 1
        self._is_in_step = False

    def may_begin_step(self, step):
        """Return whether ``step`` is not held and has a map to use."""
        is_held = self.hold_before is not None and step >= self.hold_before
        return not is_held and self._map_at(step) != NO_MAP

    def begin_step(self, step):
        """Begin ``step`` and return the id of the map that it uses."""
        self._next_step = step
        self._apply_pending()
        self._next_step = step + 1
        self._is_in_step = True
        return self.map_id

    def close_step(self, next_step):
        """Close the current step, whether it was completed or not.

        Args:
            next_step: Number of the next step; the same number again if the current
                step was not completed.
        """
        self._next_step = next_step
        self._is_in_step = False
        self._apply_pending()

    @property
    def next_map_id(self):
        """Id of the map that the next step uses."""
        return self._map_at(self._next_step)

    @property
    def has_pending_change(self):
        """Whether a hold is set or a switch is pending."""
        return self.pending is not None or self.hold_before is not None

    def hold(self, step):
        """Hold all steps from ``step`` on; ``None`` removes the hold."""
        self.hold_before = step

    def switch(self, map_id, step):
        """Use a loaded map from ``step`` on, without changing a hold."""
        self.pending = PendingSwitch(map_id=map_id, step=step)
        if not self._is_in_step:
            self._apply_pending()

    def missing_experts(self, experts):
        """Return the experts among ``experts`` that no loaded map contains."""
        present = frozenset().union(*self.loaded.values())
        return frozenset(experts) - present

    def add(self, map_id, experts):
        """Record a map as loaded.

        Args:
            map_id: Id of the map.
            experts: The experts that the map has on this rank.
        """
        self.loaded[map_id] = frozenset(experts)

    def drop(self, map_id):
        """Remove a loaded map."""
        self.loaded.pop(map_id, None)

    def is_used(self, map_id):
        """Return whether a map is active or a switch to it is pending."""
        is_pending = self.pending is not None and self.pending.map_id == map_id
        return is_pending or self.map_id == map_id

    def _map_at(self, step):
        """Return the id of the map that ``step`` uses."""
        is_due = self.pending is not None and step >= self.pending.step
        return self.pending.map_id if is_due else self.map_id

    def _apply_pending(self):
        """Carry out the pending switch if its step has been reached."""
        if self.pending is not None and self._next_step >= self.pending.step:
            self.map_id, self.pending = self.pending.map_id, None
