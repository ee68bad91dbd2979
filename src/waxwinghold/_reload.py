"""Reloading of a settings file in a running process."""

import dataclasses
import os

import logbook

from ._errors import SettingsError
from ._settings import load_settings

log = logbook.Logger("reload")

CHECK_INTERVAL_MS = 5000.0  # For files that change without a reload signal.


class SettingsFile:
    """A settings file that can be reloaded while the process runs.

    Args:
        path: The file.
        kind: The data class of the settings.
        fixed: Names of fields that need a restart; a changed value in the file is
            logged and ignored.

    Attributes:
        settings: The settings in force.

    Raises:
        SettingsError: The file cannot be read or is invalid at the start.
    """

    def __init__(self, *, path, kind, fixed=()):
        self._path = path
        self._kind = kind
        self._fixed = frozenset(fixed)
        self._last_fingerprint = self._fingerprint()
        self.settings = load_settings(path, kind)

    def changed(self):
        """Return whether the file has changed since it was last read."""
        return self._fingerprint() != self._last_fingerprint

    def reload(self):
        """Read the file again and return the settings in force.

        If the file is invalid, the previous settings stay in force.
        """
        self._last_fingerprint = self._fingerprint()
        try:
            loaded = load_settings(self._path, self._kind)
        except SettingsError as error:
            log.error("invalid settings ignored", extra={"reason": str(error)})
            return self.settings
        changes = {}
        for field in dataclasses.fields(loaded):
            value = getattr(loaded, field.name)
            if value == getattr(self.settings, field.name):
                continue
            if field.name in self._fixed:
                log.warn("setting needs a restart", extra={"setting": field.name})
                continue
            changes[field.name] = value
        self.settings = dataclasses.replace(self.settings, **changes)
        log.info("settings reloaded", extra={"changed": sorted(changes)})
        return self.settings

    def _fingerprint(self):
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_ino, status.st_size
