"""Reads the names of evacuated data centres from the store's keys.

Only the presence of a key counts; its value may be anything.
"""

from collections import OrderedDict

import logbook

log = logbook.Logger("entries")

EVACUATION_PREFIX = "op/evacuate/"
REPORTED_LIMIT_COUNT = 64
LOGGED_LIMIT_CHARS = 80


class EvacuationKeys:
    """Reads data centres from keys, and logs each malformed key once."""

    def __init__(self):
        self._reported = OrderedDict()

    def listed(self, items):
        """Return the revisions of the evacuations in a complete list of items."""
        return {
            data_centre: revision
            for data_centre, revision in self.changes(items).items()
            if revision is not None
        }

    def changes(self, items):
        """Return the last revision by data centre; ``None`` where it was deleted.

        Args:
            items: Items of the store in order; those with other keys are ignored.
        """
        changes = {}
        for item in items:
            data_centre = self._data_centre(item.key)
            if data_centre is not None:
                changes[data_centre] = None if item.deleted else item.revision
        return changes

    def _data_centre(self, key):
        if not key.startswith(EVACUATION_PREFIX):
            return None
        data_centre = key.removeprefix(EVACUATION_PREFIX)
        if data_centre and "/" not in data_centre:
            return data_centre
        key = key[:LOGGED_LIMIT_CHARS]
        if key not in self._reported:
            log.warn("malformed evacuation key ignored", extra={"key": key})
            self._reported[key] = None
            if len(self._reported) > REPORTED_LIMIT_COUNT:
                self._reported.popitem(last=False)
        return None
