"""Reads the times and rates of cold targets from the store's values.

An unusable one is logged once and counts as 0. It does not affect the rest of its
entry, so it is decoded on its own.
"""

import math
from collections import OrderedDict

import logbook
import msgspec

log = logbook.Logger("entries")

REPORTED_LIMIT_COUNT = 256
LOGGED_LIMIT_CHARS = 40

_decoder = msgspec.json.Decoder(float)


class ColdValues:
    """Reads values, and logs each unusable one once."""

    def __init__(self):
        self._reported = OrderedDict()

    def read(self, raw, *, field, owner):
        """Return a number from 0 on; 0 if the value is missing or unusable.

        Args:
            raw: The value as a ``msgspec.Raw`` of JSON; empty if it is missing.
            field: Name of the field.
            owner: Name of the service or target that has it.
        """
        data = bytes(raw)
        if not data:
            return 0.0
        try:
            value = _decoder.decode(data)
        except msgspec.MsgspecError:
            value = -1.0
        if math.isfinite(value) and value >= 0:
            self._reported.pop((field, owner), None)
            return value
        self._report(field, owner, data[:LOGGED_LIMIT_CHARS].decode("latin-1"))
        return 0.0

    def _report(self, field, owner, text):
        key = (field, owner)
        if key not in self._reported:
            log.warn(
                "unusable value ignored",
                extra={"field": field, "owner": owner, "value": text},
            )
        self._reported[key] = None
        self._reported.move_to_end(key)
        if len(self._reported) > REPORTED_LIMIT_COUNT:
            self._reported.popitem(last=False)
