"""A separate operating system process that replaces a node of a test fleet."""

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
    """Runs ``python -m waxwinghold`` with the settings of a node.

    Args:
        node: The ``Node`` that it replaces; its process must be killed.
    """

    def __init__(self, *, node):
        self._node = node
        self._process = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the process inside an ``async with`` block."""
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

    @property
    def pid(self):
        """The id of the process."""
        return self._process.pid

    def pause(self):
        """Pause the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a paused process with SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        """Kill the process with SIGKILL."""
        self._process.kill()

    def terminate(self):
        """Ask the process to stop, with SIGTERM."""
        self._process.terminate()

    async def wait_until_ended(self):
        """Wait for the process to end and return its exit status.

        Raises:
            TimeoutError: It did not end within ``END_LIMIT_S``.
        """
        async with asyncio.timeout(END_LIMIT_S):
            return await self._process.wait()

    async def _end(self):
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
