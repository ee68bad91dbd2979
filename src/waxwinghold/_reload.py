"""Takes changed settings files into running processes."""

import dataclasses
import os

import logbook

from ._errors import SettingsError
from ._settings import load_settings

log = logbook.Logger("reload")

CHECK_INTERVAL_MS = 5000.0  # A settings file may change without a signal.


class SettingsFile:
    """A settings file that may change while the process runs.

    Args:
        path: The file.
        kind: The data class of its settings.
        fixed: Names of fields that only a restart changes; a change of theirs
            is logged and not taken.

    Attributes:
        settings: The settings in force.

    Raises:
        SettingsError: The file does not hold what it must at the start.
    """

    def __init__(self, *, path, kind, fixed=()):
        self._path = path
        self._kind = kind
        self._fixed = frozenset(fixed)
        self._seen = self._stamp()
        self.settings = load_settings(path, kind)

    def changed(self):
        """Return whether the file was written since it was last read."""
        return self._stamp() != self._seen

    def reload(self):
        """Read the file again; return the settings in force from now on.

        A file that does not hold what it must leaves the last good settings.
        """
        self._seen = self._stamp()
        try:
            found = load_settings(self._path, self._kind)
        except SettingsError as error:
            log.error("settings set aside", extra={"reason": str(error)})
            return self.settings
        taken = {}
        for field in dataclasses.fields(found):
            value = getattr(found, field.name)
            if value == getattr(self.settings, field.name):
                continue
            if field.name in self._fixed:
                log.warn("setting needs a restart", extra={"setting": field.name})
                continue
            taken[field.name] = value
        self.settings = dataclasses.replace(self.settings, **taken)
        log.info("settings reloaded", extra={"changed": sorted(taken)})
        return self.settings

    def _stamp(self):
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_ino, found.st_size
