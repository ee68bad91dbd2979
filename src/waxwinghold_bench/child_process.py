"""Child processes of a bench run, each ended by its own id."""

import asyncio
import os
import signal
import subprocess
import sys

POLL_INTERVAL_S = 0.02
END_LIMIT_S = 10
LOG_TAIL_LINES_COUNT = 12


class ChildFailedError(Exception):
    """A child process that ended by itself or did not end in time."""


class ChildProcess:
    """One process, started from a Python module.

    Args:
        name: Names the process in errors.
        module: The module to run.
        arguments: Its command line.
        log_path: Where its output goes.
    """

    def __init__(self, *, name, module, arguments, log_path):
        self.name = name
        self._log_path = log_path
        self._told_to_end = False
        with open(log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                # A Ctrl-C at the terminal is for the bench, which ends its children.
                start_new_session=True,
            )

    @property
    def pid(self):
        """The process's id."""
        return self._process.pid

    @property
    def exit_status(self):
        """The exit status, or ``None`` while the process runs."""
        return self._process.poll()

    def check(self):
        """Raise ``ChildFailedError`` if the process has ended by itself."""
        if self.exit_status is not None and not self._told_to_end:
            reason = f'"{self.name}" ended with {self.exit_status}: {self.log_tail()}'
            raise ChildFailedError(reason)

    def log_tail(self):
        """Return the last lines of the process's output."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES_COUNT:])

    def signal(self, number):
        """Send a signal, unless the process has ended."""
        if self.exit_status is None:
            os.kill(self.pid, number)

    def terminate(self):
        """Ask the process to end in order."""
        self._told_to_end = True
        self.signal(signal.SIGTERM)

    def kill(self):
        """End the process at once."""
        self._told_to_end = True
        self.signal(signal.SIGKILL)

    def pause(self):
        """Stop the process where it stands."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        self.signal(signal.SIGCONT)

    async def wait_ended(self, *, limit_s=END_LIMIT_S):
        """Wait for the end and return the exit status.

        Raises:
            ChildFailedError: The process did not end in time.
        """
        try:
            async with asyncio.timeout(limit_s):
                while self.exit_status is None:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as error:
            reason = f'"{self.name}" did not end within {limit_s} s'
            raise ChildFailedError(reason) from error
        return self.exit_status
