"""Tests that only the platform adapter uses the platform's names."""

import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).parents[1] / "src" / "waxwinghold"
NAMES = re.compile(
    r"(?<![\w-])(Attempt-Id|Expect-Instance|Server-Seal|Not-Executed|Server-Load|"
    r"Credential|Token-Count|Prompt-Prefix|Deadline-Ms|At-Server|Instance-Id|"
    r"kv-range|kv-watch|kv-key|op/config|op/evacuate|route-kind|heartbeat-ms|"
    r"cold-left-ms|cold-per-s|cold-s)(?![\w-])|"
    r"/v1/(order|picked|report|kv)",
    re.IGNORECASE,
)
# ``from .platform`` is not matched: in the sheet's package it imports another module of
# that name.
IMPORT = re.compile(r"^\s*(from|import) (waxwinghold\.platform|\.\.+platform)", re.M)


class NamesTests(unittest.TestCase):
    def test_nothing_outside_the_adapter_uses_platform_names(self):
        matches = []
        for path in PACKAGE.rglob("*.py"):
            if PACKAGE / "platform" in path.parents:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if NAMES.search(line):
                    matches.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual(matches, [])

    def test_nothing_outside_the_adapter_imports_it(self):
        for path in PACKAGE.rglob("*.py"):
            if PACKAGE / "platform" in path.parents:
                continue
            text = path.read_text()
            self.assertIsNone(IMPORT.search(text), path.name)
            if path.parent == PACKAGE:
                self.assertNotIn("from .platform", text, path.name)
