"""Tests a small fleet of real processes: kill, replacement and shutdown."""

import hashlib
import unittest

from waxwinghold_bench.callers import Caller
from waxwinghold_bench.fleet import Fleet
from waxwinghold_standins.engine import whole_text

TOKEN = "a-token"


def target(name, service, **fields):
    """Return a target row for the sheet; the fleet sets its address and key."""
    row = {"name": name, "service": service, "data_centre": "here"}
    placeholders = {"agent_address": "", "agent_public_key": ""}
    return row | {"version": "2026.10"} | placeholders | fields


def small_sheet():
    """Return a sheet with a group of two targets and a plain target."""
    shares = [{"version": "2026.10", "share_percent": 100}]
    return {
        "version": 1,
        "issued_by": "test",
        "services": [
            {
                "name": "chat",
                "kind": "model",
                "model": "m",
                "calls": [{"name": "ask", "repeat": "idempotent"}],
                "versions": shares,
            },
            {
                "name": "desk",
                "kind": "plain",
                "calls": [{"name": "hold", "repeat": "once"}],
                "versions": shares,
            },
        ],
        "models": [
            {
                "name": "m",
                "versions": [{"version": "2026.10", "weights_bytes": 1}],
                "experts_count": 2,
                "layers_count": 1,
                "expert_bytes": 1,
            }
        ],
        "groups": [{"name": "g", "service": "chat", "ranks_count": 2}],
        "targets": [
            target("chat-1", "chat", group="g", ranks=[0]),
            target("chat-2", "chat", group="g", ranks=[1]),
            target("desk-1", "desk"),
        ],
        "customers": [
            {
                "name": "c",
                "token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest(),
                "services": ["chat", "desk"],
            }
        ],
    }


class FleetTests(unittest.IsolatedAsyncioTestCase):
    async def get_json(self, fleet, target, path):
        url = f"{fleet.agents[target].http_url}{path}"
        async with fleet.session.get(url) as response:
            return await response.json()

    async def test_killed_rank_is_replaced_and_all_processes_end(self):
        fleet = Fleet(sheet=small_sheet(), lock_step=True)
        async with fleet.running():
            (entry,) = fleet.entries.values()
            caller = Caller(session=fleet.session, customer="c", token=TOKEN)
            body = {"prompt": "p", "max_tokens": 3}
            answer = await caller.call(entry, "chat", "ask", body)
            expected = {"text": whole_text("p", "2026.10", 3)}
            self.assertEqual(answer.document, expected)

            await fleet.kill_target("chat-1")
            await fleet.wait_ready(targets_count=1)
            before = await self.get_json(fleet, "chat-2", "/health")
            await fleet.replace_target("chat-1")
            after = await self.get_json(fleet, "chat-1", "/map")
            self.assertEqual((after["map_id"], after["step"]), ("", before["step"]))
            status = await fleet.status(fleet.agents["chat-1"])
            self.assertEqual(status["role"], "agent")
        for child in fleet.children.values():
            self.assertIsNotNone(child.exit_status, child.name)
