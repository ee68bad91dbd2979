"""Tests that an odd entry among the targets of the store affects no other one.

Other programs may write there, too. Requests failed, or a process stopped following the
list, because of one entry that no target had written.
"""

import asyncio
import base64
import json
import unittest

import logbook

from waxwinghold.platform.directory import Directory
from waxwinghold.platform.entries import read_target
from waxwinghold_standins.fleet_store import worker_entry

from .support.gateway import GatewayFixture, configuration
from .support.loop_case import LoopCase
from .test_fuzz_answers import FakeClient

DEEP = "[" * 100_000
LARGE = "1" + "0" * 400
# JSON of one field that differs from a sound entry.
ODD_FIELDS = {
    "nested": ("unknown", DEEP + "]" * len(DEEP)),
    "nested without an end": ("unknown", DEEP),
    "nested time": ("cold-left-ms", DEEP + "]" * len(DEEP)),
    "slots above any float": ("slots", LARGE),
    "slots above any machine": ("slots", str(10**12)),
    "start above any float": ("born", LARGE),
    "start above 64 bits": ("born", str(2**64)),
    "start before the epoch": ("born", "-1"),
    "port too large": ("address", '"127.0.0.1:65536"'),
    "port far too large": ("address", f'"127.0.0.1:{LARGE}"'),
    "negative port": ("address", '"127.0.0.1:-1"'),
    "port 0": ("address", '"127.0.0.1:0"'),
    "port in other digits": ("address", '"127.0.0.1:\\u0661\\u0662"'),
    "port with a separator": ("address", '"127.0.0.1:8_0"'),
    "host with a null": ("address", '"[fe80::1%\\u0000]:80"'),
    "host with a scope": ("address", '"[fe80::1%lo]:80"'),
}
ODD_NAMES = ("", "a\r\nTenant: other", "a\0", "a b", "\u2028")


def entry_json(field="seq", text="1"):
    """Return an entry with the JSON ``text`` in a field."""
    entry = worker_entry(service="models", address=("127.0.0.1", 9), born=7)
    fields = {name: json.dumps(value) for name, value in entry.items()} | {field: text}
    content = ", ".join(f'"{name}": {value}' for name, value in fields.items())
    return f"{{{content}}}".encode()


class ReadTargetTests(unittest.TestCase):
    def setUp(self):
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)

    def test_a_sound_entry_is_a_target(self):
        self.assertIsNotNone(read_target("i-1", entry_json()))

    def test_an_odd_field_makes_an_entry_no_target(self):
        for label, (field, text) in ODD_FIELDS.items():
            with self.subTest(label):
                self.logs.records.clear()
                self.assertIsNone(read_target("i-1", entry_json(field, text)))
                self.assertEqual(len(self.logs.records), 1)

    def test_an_odd_name_makes_an_entry_no_target(self):
        for name in ODD_NAMES:
            with self.subTest(name=name):
                self.assertIsNone(read_target(name, entry_json()))


class GatewayTests(LoopCase):
    async def test_a_gateway_serves_and_follows_the_list_beside_odd_entries(self):
        fixture = GatewayFixture(behaviours=("whole",))
        grouped = [{"name": "models", "max-conns": 50, "engine": {"sets": 2}}]
        async with fixture.open():
            fixture.store.put("op/config", configuration(version=2, services=grouped))
            for number, (field, text) in enumerate(ODD_FIELDS.values()):
                fixture.store.put(f"servers/odd-{number}", entry_json(field, text))
            for name in ODD_NAMES:
                fixture.store.put(f"servers/{name}", entry_json())
            # Long enough for notices to the hosts of all targets.
            await asyncio.sleep(1.5)
            for number in range(12):
                status, *_ = await fixture.call("/safe/a", request_id=f"r-{number}")
                self.assertEqual(status, 200)
            fixture.store.put("servers/later", entry_json())
            async with asyncio.timeout(2.0):
                while fixture.gateway.target_pool.get("later") is None:
                    await asyncio.sleep(0.01)
            self.assertFalse(fixture.task.done())
            self.assertFalse(fixture.gateway.peers._transport.is_closing())


class DirectoryTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_agent_reads_the_other_entries_of_the_list(self):
        odd = [
            base64.b64encode(entry_json(*odd)).decode() for odd in ODD_FIELDS.values()
        ]
        sound = base64.b64encode(entry_json()).decode()
        values = [*odd, "not base64", "\u00e9", None, sound]
        items = [
            {"key": f"servers/i-{number}", "value": value}
            for number, value in enumerate(values)
        ]
        body = json.dumps({"items": items, "at": 1}).encode()
        directory = Directory(address=("127.0.0.1", 1), service="models")
        configuration_body = json.dumps({"items": items[:1], "at": 1}).encode()
        directory._client = FakeClient(configuration_body, body)
        with logbook.NullHandler().applicationbound():
            addresses, _ = await directory.read()
        self.assertEqual(addresses, [("127.0.0.1", 9)])
