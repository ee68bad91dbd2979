"""Tests the runner of an agent: a suspect that waits for an idle target."""

import asyncio
import types
import unittest

from waxwinghold._agent.queueing import FifoQueue, QueuedRequest
from waxwinghold._agent.runner import Runner
from waxwinghold._agent.work import Phase
from waxwinghold._clock import Clock
from waxwinghold._sheet.model import Kind

LIMIT_S = 2.0
FAR_MS = Clock().wall_ms() + 3_600_000.0


class FakeClient:
    """Runs each request until it is released."""

    def __init__(self):
        self.started = []
        self.released = asyncio.Event()

    async def call(self, submit):
        self.started.append(submit.request_id)
        await self.released.wait()
        return types.SimpleNamespace(status=200, content_type="", body=b"")

    async def cancel(self, request_id):
        return None


class FakeWork:
    """The parts of a ``Work`` that the runner uses."""

    def __init__(self, name, *, suspect=False, deadline_at_ms=FAR_MS):
        self.request_id = name
        self.key = self.task = self.cancel_error = None
        self.arrived_ms = 0.0
        self.phase = Phase.WAITING
        self.submit = types.SimpleNamespace(
            request_id=name, suspect=suspect, deadline_at_ms=deadline_at_ms
        )

    def start(self):
        self.phase = Phase.STARTED

    def end_with_answer(self, answer, *, now_ms):
        self.phase = Phase.ENDED

    def end_with_verdict(self, verdict, *, now_ms):
        self.phase = Phase.ENDED


class DelayedSuspectTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock()
        self.queue = FifoQueue(limit_count=10)
        self.client = FakeClient()
        metrics = types.SimpleNamespace(count=lambda *a, **k: 0, record_ms=lambda *a: 0)
        self.runner = Runner(
            clock=self.clock,
            queue=self.queue,
            ledger=None,
            client=self.client,
            monitor=None,
            metrics=metrics,
            slots_count=lambda: 2,
            kind=lambda: Kind.PLAIN,
        )
        task = asyncio.create_task(self.runner.run())
        self.addCleanup(task.cancel)
        self.submit(FakeWork("running"))
        await self.until_started("running")

    def submit(self, work):
        self.queue.put(
            QueuedRequest(
                request_id=work.request_id,
                customer="guild",
                deadline_ms=1e12,
                queued_ms=0.0,
                payload=work,
            )
        )
        self.runner.wake()

    async def until_started(self, name):
        async with asyncio.timeout(LIMIT_S):
            while name not in self.client.started:
                await asyncio.sleep(0.01)

    async def test_one_that_is_cancelled_does_not_hold_up_the_others(self):
        suspect = FakeWork("suspect", suspect=True)
        self.submit(suspect)
        await asyncio.sleep(0.05)
        self.submit(FakeWork("next"))
        self.runner.cancel(suspect)
        await self.until_started("next")
        self.assertEqual(suspect.phase, Phase.ENDED)

    async def test_one_whose_deadline_passes_does_not_hold_up_the_others(self):
        suspect = FakeWork(
            "suspect", suspect=True, deadline_at_ms=self.clock.wall_ms() + 100
        )
        self.submit(suspect)
        await asyncio.sleep(0.05)
        self.submit(FakeWork("next"))
        await self.until_started("next")
        self.assertEqual(suspect.phase, Phase.ENDED)
