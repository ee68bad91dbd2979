"""The system's programs as separate processes, ended by their own ids only."""

import asyncio
import json
import os
import signal
import sys

from waxwinghold.platform.__main__ import SETTINGS_VARIABLE

END_LIMIT_S = 12.0


class Program:
    """One slot for a process of the system, which may start many times.

    Args:
        role: ``gateway`` or ``agent``.
        settings: The settings, as a dictionary.
        folder: Where settings and logs are written.

    Attributes:
        starts_count: Which start this is; each is a new incarnation.
        disturbed_at: When it was last paused, woken, killed or started, in
            seconds of the loop's time.
    """

    def __init__(self, *, role, settings, folder):
        self.role = role
        self.settings = settings
        self.name = settings["name"]
        self.starts_count = 0
        self.disturbed_at = float("-inf")
        self.stopping = False
        self.paused = False
        self.exit_statuses = []
        self._path = folder / f"{self.name}.json5"
        self._log_path = folder / f"{self.name}.log"
        self._process = None

    @property
    def running(self):
        """Return whether the process exists."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Return the id of the present process."""
        return self._process.pid

    async def start(self):
        """Start the process, unless it runs."""
        if self.running:
            return
        self._path.write_text(json.dumps(self.settings))
        self.starts_count += 1
        self.stopping = self.paused = False
        self._disturb()
        with self._log_path.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "waxwinghold.platform",
                self.role,
                env=os.environ | {SETTINGS_VARIABLE: str(self._path)},
                stdout=log_file,
                stderr=log_file,
            )

    def kill(self):
        """End the process at once."""
        self._signal(signal.SIGKILL)

    def terminate(self):
        """Ask the process to stop as planned."""
        if self.running and not self.paused:
            self.stopping = True
            self._signal(signal.SIGTERM)

    def pause(self):
        """Freeze the process."""
        self.paused = True
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Let a frozen process go on."""
        self.paused = False
        self._signal(signal.SIGCONT)

    def reload(self):
        """Write the settings anew and say so."""
        self._path.write_text(json.dumps(self.settings))
        if self.running:
            self._process.send_signal(signal.SIGHUP)

    async def wait_until_ended(self):
        """Wait for the end of the process; return its status."""
        try:
            async with asyncio.timeout(END_LIMIT_S):
                status = await self._process.wait()
        except TimeoutError:
            self.kill()
            status = await self._process.wait()
        self.exit_statuses.append(status)
        return status

    async def close(self):
        """End the process if it runs."""
        if self.running:
            self.resume()
            self.kill()
            await self._process.wait()

    def _signal(self, number):
        self._disturb()
        if self.running:
            self._process.send_signal(number)

    def _disturb(self):
        self.disturbed_at = asyncio.get_running_loop().time()
