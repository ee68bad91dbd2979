"""Gateways and agents as separate processes, signalled only by their process ids."""

import asyncio
import json
import os
import signal
import sys

from waxwinghold.platform.__main__ import SETTINGS_VARIABLE

END_LIMIT_S = 12.0


class Program:
    """Runs a gateway or an agent as a process that can be restarted many times.

    Args:
        role: ``gateway`` or ``agent``.
        settings: The settings, as a dictionary.
        folder: Folder for the settings file and the log file.

    Attributes:
        starts_count: Number of starts so far; each start is a new incarnation.
        disturbed_at: When the process was last started or sent a signal other
            than SIGHUP, in seconds of the event loop's clock.
        unplanned_at: The same without SIGTERM: when it was last disturbed unplanned.
        stopping: Whether the current process was asked to stop.
        paused: Whether the current process is paused by SIGSTOP.
        exit_statuses: Results of ``wait_until_ended``.
    """

    def __init__(self, *, role, settings, folder):
        self.role = role
        self.settings = settings
        self.name = settings["name"]
        self.starts_count = 0
        self.disturbed_at = float("-inf")
        self.unplanned_at = float("-inf")
        self.stopping = False
        self.paused = False
        self.exit_statuses = []
        self._settings_path = folder / f"{self.name}.json5"
        self._log_path = folder / f"{self.name}.log"
        self._process = None
        self._log_begin = 0
        self._start_lock = asyncio.Lock()

    @property
    def running(self):
        """Whether the process is running or paused."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Id of the current process."""
        return self._process.pid

    async def start(self):
        """Start the process unless it is running."""
        # Several faults may start it; on a busy machine that takes seconds.
        async with self._start_lock:
            if not self.running:
                await self._start()

    @property
    def has_begun(self):
        """Whether the current process has logged that it started."""
        with self._log_path.open("rb") as log_file:
            log_file.seek(self._log_begin)
            return f"{self.role} started".encode() in log_file.read()

    async def _start(self):
        self._settings_path.write_text(json.dumps(self.settings))
        self.starts_count += 1
        self.stopping = self.paused = False
        self._record_disturbance()
        with self._log_path.open("ab") as log_file:
            self._log_begin = log_file.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "waxwinghold.platform",
                self.role,
                env=os.environ | {SETTINGS_VARIABLE: str(self._settings_path)},
                stdout=log_file,
                stderr=log_file,
            )

    def kill(self):
        """Kill the process with SIGKILL."""
        self._signal(signal.SIGKILL)

    def terminate(self):
        """Ask the process to stop, with SIGTERM, unless it is paused."""
        if self.running and not self.paused:
            self.stopping = True
            self._signal(signal.SIGTERM)

    def pause(self):
        """Pause the process with SIGSTOP."""
        self.paused = True
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Resume a paused process with SIGCONT."""
        self.paused = False
        self._signal(signal.SIGCONT)

    def reload(self):
        """Write the settings file again and send SIGHUP, so that it is reloaded."""
        self._settings_path.write_text(json.dumps(self.settings))
        if self.running:
            self._process.send_signal(signal.SIGHUP)

    async def wait_until_ended(self):
        """Wait for the process to end and return its exit status.

        A process that has not ended within ``END_LIMIT_S`` is killed.
        """
        try:
            async with asyncio.timeout(END_LIMIT_S):
                status = await self._process.wait()
        except TimeoutError:
            self.kill()
            status = await self._process.wait()
        self.exit_statuses.append(status)
        return status

    async def close(self):
        """Kill the process if it is running."""
        if self.running:
            self.resume()
            self.kill()
            await self._process.wait()

    def _signal(self, number):
        self._record_disturbance(planned=number == signal.SIGTERM)
        if self.running:
            self._process.send_signal(number)

    def _record_disturbance(self, *, planned=False):
        self.disturbed_at = asyncio.get_running_loop().time()
        if not planned:
            self.unplanned_at = self.disturbed_at
