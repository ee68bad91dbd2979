"""Decides which data centres get no requests, as the operator evacuates them.

It handles evacuations that begin and end under load, also two at once, and a store that
comes back from a copy: the copy may lack an evacuation that is in force, or hold one
that has ended. ``tests.test_decisions_evacuations`` replays them.
"""

from collections import OrderedDict, deque

# After the store came back from a copy, what was known before holds for so long at
# most. By then the operator has written again what the copy lacks.
RESTORED_LIMIT_MS = 30_000.0
# Revisions that are remembered of each data centre, and data centres that are
# remembered after their evacuation. An operator evacuates a few times a day.
REVISIONS_LIMIT_COUNT = 16
DATA_CENTRES_LIMIT_COUNT = 256
NEVER_MS = float("-inf")


class Evacuations:
    """Remembers the data centres that the operator evacuates, by name.

    A write has a revision, by which it is recognised in a later list of the store.
    """

    def __init__(self):
        self._present = frozenset()
        self._listed = {}
        # The revisions of the writes that were seen, by data centre.
        self._revisions = OrderedDict()
        self._before_restore = None
        self._restored_ms = NEVER_MS
        self._settled = set()

    def __len__(self):
        return len(self._present)

    def __iter__(self):
        return iter(sorted(self._present))

    def has(self, data_centre):
        """Return whether a data centre is evacuated."""
        return data_centre in self._present

    def replace(self, listed, *, now_ms):
        """Replace the evacuations with the complete list of the store.

        Args:
            listed: The revision of each evacuation's write, by data centre.

        Returns:
            The data centres whose evacuation begins, and those whose evacuation ends.
        """
        if self._before_restore is not None:
            # A write that was never seen here was made after the store came back.
            self._settled.update(
                data_centre
                for data_centre, revision in listed.items()
                if revision not in self._revisions.get(data_centre, ())
            )
        self._listed = dict(listed)
        for data_centre, revision in listed.items():
            self._remember(data_centre, revision)
        return self._update(now_ms)

    def record_changes(self, changes, *, now_ms):
        """Apply what was written and deleted since the last list or change.

        Args:
            changes: The revision of the last write by data centre, or ``None`` where
                the evacuation was deleted.

        Returns:
            As for ``replace``.
        """
        for data_centre, revision in changes.items():
            if revision is None:
                self._listed.pop(data_centre, None)
            else:
                self._listed[data_centre] = revision
                self._remember(data_centre, revision)
        if self._before_restore is not None:
            self._settled.update(changes)
        return self._update(now_ms)

    def begin_era(self, *, now_ms):
        """Record that the store came back from a copy, which may be outdated.

        What was known holds for each data centre until its evacuation is written or
        deleted again, for ``RESTORED_LIMIT_MS`` at most.
        """
        self._before_restore = self._present
        self._restored_ms = now_ms
        self._settled.clear()

    def end_restore(self, *, now_ms):
        """Apply the store's content once ``RESTORED_LIMIT_MS`` are over.

        Returns:
            As for ``replace``.
        """
        return self._update(now_ms)

    def _update(self, now_ms):
        if now_ms - self._restored_ms >= RESTORED_LIMIT_MS:
            self._before_restore = None
            self._settled.clear()
        present = frozenset(self._listed)
        if self._before_restore is not None:
            present = (present & self._settled) | (self._before_restore - self._settled)
        begun, ended = present - self._present, self._present - present
        self._present = present
        return begun, ended

    def _remember(self, data_centre, revision):
        revisions = self._revisions.setdefault(
            data_centre, deque(maxlen=REVISIONS_LIMIT_COUNT)
        )
        if revision not in revisions:
            revisions.append(revision)
        self._revisions.move_to_end(data_centre)
        if len(self._revisions) > DATA_CENTRES_LIMIT_COUNT:
            self._revisions.popitem(last=False)
