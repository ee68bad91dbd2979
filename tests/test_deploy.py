"""The settings templates in deploy give settings that the roles accept."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import tomllib
import unittest

from waxwinghold._errors import SettingsError
from waxwinghold._gateway.settings import GatewaySettings
from waxwinghold._ranks.settings import RankSettings
from waxwinghold._settings import load_settings

ROOT = pathlib.Path(__file__).parents[1]
FIELDS = {
    "node-name": "edge-1",
    "ip": "10.1.0.40",
    "zone": "dc-a",
    "app": "10.1.0.43:8228",
    "service": "models",
    "port-range": [7340, 7355],
    "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "listen": {"front": "10.1.0.40:8227", "readiness": "10.1.0.40:8220"},
    "platform": {"address": "10.200.1.7:8223"},
    "bounds": {
        "revoke-strict": True,
        "revoke-ms": 5000,
        "config-apply-ms": 3000,
        "drain-ms": 4000,
        "evacuation-ms": 6000,
        "grace-s": 8,
        "retry-budget-ratio": 0.2,
        "budget-slack": 94,
        "retry-window-s": 10,
    },
}
SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.S)
PLACEHOLDER = re.compile(r"\{\{([\w.-]+)(\|json)?\}\}")


def look_up(name, fields):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def fill_in(template, fields):
    """Fill in a template by those rules of the platform that our templates use."""
    text = SECTION.sub(
        lambda match: match[2] if look_up(match[1], fields) else "", template
    )

    def value(match):
        filled = look_up(match[1], fields)
        return json.dumps(filled) if match[2] else str(filled)

    return PLACEHOLDER.sub(value, text)


class DeployTests(unittest.TestCase):
    def load(self, role, settings_class, **changes):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        template = (ROOT / deploy["roles"][role]["template"]).read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings"
            path.write_text(fill_in(template, FIELDS | changes))
            return load_settings(path, settings_class)

    def test_settings_of_the_gateway(self):
        settings = self.load("gateway", GatewaySettings)
        self.assertTrue(settings.strict_keys)
        self.assertEqual(settings.freshness_limit_ms, 5000)
        self.assertEqual(settings.configuration_limit_ms, 3000)
        self.assertEqual(settings.leaving_limit_ms, 4000)
        self.assertEqual(settings.evacuation_limit_ms, 6000)
        self.assertEqual(settings.peers_port, 7340)

    def test_missing_bounds_get_defaults(self):
        settings = self.load("gateway", GatewaySettings, bounds={})
        self.assertFalse(settings.strict_keys)
        self.assertEqual(settings.stop_limit_s, GatewaySettings.stop_limit_s)

    def test_settings_of_the_agent(self):
        settings = self.load("agent", RankSettings)
        self.assertEqual(settings.target_address, "10.1.0.43:8228")

    def test_invalid_fields_raise_a_settings_error(self):
        for changes in (
            {"platform": {"address": "store.example:80"}},
            {"seeds": ["nowhere"]},
            {"port-range": [0]},
            {"zone": ""},
        ):
            with self.subTest(changes=changes), self.assertRaises(SettingsError):
                self.load("gateway", GatewaySettings, **changes)


class ExampleTests(unittest.TestCase):
    def test_the_examples_are_valid_settings(self):
        settings_classes = {"gateway": GatewaySettings, "rank-agent": RankSettings}
        for name, settings_class in settings_classes.items():
            path = ROOT / "examples" / f"{name}.settings.json5"
            self.assertEqual(load_settings(path, settings_class).peers_port, 7340, name)

    def test_the_commands_name_an_unknown_setting(self):
        for command in ("gateway", "rank_agent"):
            with tempfile.NamedTemporaryFile("w", suffix=".json5") as file:
                file.write('{name: "x", peers_prot: 1}')
                file.flush()
                completed = subprocess.run(
                    [sys.executable, "-m", "waxwinghold", command, file.name],
                    capture_output=True,
                    text=True,
                    timeout=20,
                )
            self.assertEqual(completed.returncode, SettingsError.exit_status)
            self.assertIn("peers_prot", completed.stderr)
