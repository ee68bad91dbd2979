"""A sheet that moves a target to another version is applied to its engine."""

import asyncio
import json

import msgspec

from waxwinghold_standins.engine import whole_text

from .support.case import FleetCase
from .support.fleet import TWO_ENGINES, until
from .test_path_streams import TOKENS_COUNT, expected

IN_FORCE_LIMIT_S = 7.0


class VersionsTest(FleetCase):
    def publish_second_version(self, fleet, name):
        """Publish a sheet that moves target ``name`` to v2 with an adapter."""
        document = fleet.document(version=fleet.version + 1)
        (model,) = document["models"]
        model["versions"].append(
            {"version": "v2", "weights_bytes": 1000, "adapters": ["care"]}
        )
        (service,) = [row for row in document["services"] if row["name"] == "fitting"]
        service["versions"] = [
            {"version": "v1", "share_percent": 50},
            {"version": "v2", "share_percent": 50},
        ]
        for target in document["targets"]:
            if target["name"] == name:
                target |= {"version": "v2", "adapters": ["care"]}
        fleet.platform.publish(msgspec.json.encode(document))

    async def start_stream(self, fleet):
        """Start a stream; return its task and the name of the agent that runs it."""
        started = asyncio.Event()
        task = asyncio.create_task(
            fleet.caller().stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: started.set()
            )
        )
        await started.wait()
        (name,) = [
            name
            for name, agent in fleet.agents.items()
            if agent.process.runner.running_count
        ]
        return task, name

    async def test_the_engine_finishes_its_stream_and_then_serves_the_new_version(self):
        fleet = await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=10_000, step_ms=10
        )
        task, name = await self.start_stream(fleet)
        self.publish_second_version(fleet, name)
        stream = await task
        self.assert_answered(stream)
        self.assertEqual(expected("p"), stream.events)
        rank = fleet.targets[name].standin.rank
        await until(
            lambda: (rank.version, rank.adapters) == ("v2", {"care"}),
            limit_s=IN_FORCE_LIMIT_S,
            what="the engine to have the version and adapter of the sheet",
        )
        await self.assert_serves_second_version(fleet)
        events = [entry.what for entry in fleet.agents[name].process.audit.since(0)]
        self.assertEqual(
            ["order.load_model", "order.load_adapter"],
            [event for event in events if event.startswith("order.")],
        )

    async def assert_serves_second_version(self, fleet):
        caller = fleet.caller()
        body = b'{"prompt": "q", "max_tokens": 4}'

        async def call_second_version():
            return await caller.send(
                "entry-a",
                "POST",
                "/v1/services/fitting/calls/question",
                body=body,
                headers={"Waxwing-Version": "v2", "Waxwing-Adapter": "care"},
            )

        async with asyncio.timeout(IN_FORCE_LIMIT_S):
            while not (outcome := await call_second_version()).ok:
                await asyncio.sleep(0.05)
        self.assertEqual({"text": whole_text("q", "v2", 4)}, json.loads(outcome.body))
