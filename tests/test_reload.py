"""Tests that a running process applies changes of its settings file."""

import pathlib
import tempfile
import unittest

import json5
import logbook

from waxwinghold._errors import SettingsError
from waxwinghold._gateway.settings import FIXED_SETTINGS, GatewaySettings
from waxwinghold._reload import SettingsFile

DOCUMENT = {
    "name": "gateway-1",
    "data_centre": "dc-a",
    "callers_address": "127.0.0.1:8000",
    "readiness_address": "127.0.0.1:8001",
    "store_address": "127.0.0.1:8002",
    "peers_ip": "127.0.0.1",
    "peers_port": 8003,
    "retry_ratio": 0.2,
}


class ReloadTests(unittest.TestCase):
    def setUp(self):
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "gateway.settings.json5"
        self.write()

    def write(self, **changes):
        text = json5.dumps(DOCUMENT | changes, quote_keys=True)
        self.path.write_text("// A comment.\n" + text)

    def open(self):
        return SettingsFile(path=self.path, kind=GatewaySettings, fixed=FIXED_SETTINGS)

    def test_changed_settings_are_applied(self):
        file = self.open()
        self.assertFalse(file.changed())
        self.write(retry_ratio=0.35, seeds=["10.0.0.1:1"])
        self.assertTrue(file.changed())
        self.assertEqual(file.reload().retry_ratio, 0.35)
        self.assertEqual(file.settings.seeds, ("10.0.0.1:1",))
        self.assertFalse(file.changed())

    def test_a_change_that_needs_a_restart_is_logged_and_ignored(self):
        file = self.open()
        self.write(callers_address="127.0.0.1:9999")
        self.assertEqual(file.reload().callers_address, "127.0.0.1:8000")
        self.assertTrue(self.logs.has_warnings)

    def test_after_an_invalid_file_the_previous_settings_stay(self):
        file = self.open()
        for text in ("{", "{}", '{"name": 5}'):
            self.path.write_text(text)
            self.assertEqual(file.reload().retry_ratio, 0.2)
        self.path.unlink()
        self.assertEqual(file.reload().retry_ratio, 0.2)

    def test_a_ratio_of_copies_out_of_range_changes_nothing(self):
        # A ratio of 5 in place of 0.05 would send each request many times.
        file = self.open()
        self.write(second_copies_ratio=0.05)
        self.assertEqual(file.reload().second_copies_ratio, 0.05)
        for ratio in (-0.1, 5, float("nan"), float("inf")):
            self.write(second_copies_ratio=ratio)
            self.assertEqual(file.reload().second_copies_ratio, 0.05)
        for window_s in (0, -1, float("nan"), float("inf")):
            self.write(second_copies_window_s=window_s)
            self.assertEqual(file.reload().second_copies_window_s, 60.0)
        for percentile in (49, 100, float("nan")):
            self.write(second_copies_percentile=percentile)
            self.assertEqual(file.reload().second_copies_percentile, 95.0)

    def test_an_invalid_file_at_the_start_is_an_error(self):
        self.write(retry_ratio="much")
        with self.assertRaises(SettingsError):
            self.open()
