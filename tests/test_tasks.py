"""Tests that a failed task is logged and reported, and that tasks can be ended."""

import asyncio
import unittest

import logbook

from waxwinghold._tasks import ProcessTasks


class TaskTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_failure_is_logged_and_reported(self):
        failures = []
        tasks = ProcessTasks(on_failure=lambda: failures.append(1))
        with logbook.TestHandler().applicationbound() as handler:
            tasks.spawn(self._fail())
            tasks.spawn(asyncio.sleep(0))
            await asyncio.sleep(0.01)
        self.assertEqual((failures, len(tasks)), ([1], 0))
        self.assertTrue(handler.has_error("a task failed"))

    async def _fail(self):
        raise ValueError("for the test")

    async def test_end_cancels_the_tasks_and_waits(self):
        failures = []
        tasks = ProcessTasks(on_failure=lambda: failures.append(1))
        tasks.spawn(asyncio.sleep(60))
        await tasks.end()
        await asyncio.sleep(0)
        self.assertEqual((failures, len(tasks)), ([], 0))
