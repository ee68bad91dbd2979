"""Tests of stand-ins that run as separate processes."""

import asyncio
import signal
import sys

import aiohttp

from tests.standin_client import TIMEOUT_S, StandInTestCase


class ProcessTests(StandInTestCase):
    async def process(self, name, *arguments):
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", f"waxwinghold_standins.{name}", *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.end, process)
        async with asyncio.timeout(TIMEOUT_S):
            ready = await process.stdout.readline()
        return process, ready.decode().split()[1:]

    async def end(self, process):
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        return await self.wait_for_exit(process)

    async def wait_for_exit(self, process):
        async with asyncio.timeout(TIMEOUT_S):
            # Unlike wait(), this reads the output to the end and closes the pipe.
            await process.communicate()
        return process.returncode

    async def change_rank(self, control, index, change):
        url = f"{control}/ranks/{index}/{change}"
        async with self.session.post(url) as response:
            self.assertEqual(response.status, 204)

    async def test_a_version_stays_a_string_and_sigterm_exits_cleanly(self):
        arguments = ("--address", "127.0.0.1:0", "--model-version", "2026.10")
        process, (url,) = await self.process("engine", *arguments)
        _, model = await self.get(f"{url}/model")
        self.assertEqual(model["version"], "2026.10")
        self.assertEqual(await self.end(process), 0)

    async def test_a_body_with_the_crash_marker_ends_the_process(self):
        process, (url,) = await self.process("service", "--address=127.0.0.1:0")
        await self.fault(url, crash_marker="poison")
        with self.assertRaises(aiohttp.ClientError):
            await self.post(f"{url}/calls/hold", {"item": "poison"})
        # self.end is not used here: sending a signal could take the exit status before
        # asyncio reads it.
        self.assertEqual(await self.wait_for_exit(process), 70)

    async def test_a_group_serves_every_rank_and_replaces_a_killed_one(self):
        arguments = ("--addresses=127.0.0.1:0,127.0.0.1:0", "--control=127.0.0.1:0")
        process, (control, *urls) = await self.process("lock_step", *arguments)
        for url in urls:
            _, answer = await self.get(f"{url}/map")
            self.assertEqual(answer["map_id"], "initial")
        self.assertEqual(len(set(urls)), 2)
        await self.change_rank(control, 1, "kill")
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.get(f"{urls[1]}/map")
        await self.change_rank(control, 1, "replace")
        _, answer = await self.get(f"{urls[1]}/map")
        self.assertEqual(answer["map_id"], "")
        self.assertEqual(await self.end(process), 0)
