"""A process of the system that the host runs, in the place of a node."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from dataclasses import asdict

END_LIMIT_S = 8.0


class RealProcess:
    """Runs ``python -m waxwinghold`` with a node's settings.

    Args:
        node: The node whose place it takes; it must be dead.
    """

    def __init__(self, *, node):
        self._node = node
        self._process = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Run for the length of an ``async with`` block."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(asdict(self._node.settings), file)
            file.flush()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "waxwinghold",
                self._node.process_class.role,
                file.name,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                yield self
            finally:
                await self._end()

    def pause(self):
        """Stop the process where it is."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        self._process.kill()

    def terminate(self):
        """Ask the process to stop as planned."""
        self._process.terminate()

    async def wait_until_ended(self):
        """Return the exit status once the process has ended."""
        async with asyncio.timeout(END_LIMIT_S):
            return await self._process.wait()

    async def _end(self):
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
