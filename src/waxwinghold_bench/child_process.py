"""Child processes of a benchmark, signalled by their process id."""

import asyncio
import os
import signal
import subprocess
import sys

POLL_INTERVAL_S = 0.02
END_LIMIT_S = 10
LOG_TAIL_LINES_COUNT = 12


class ChildFailedError(Exception):
    """Raised when a child process ends unexpectedly or does not end in time."""


class ChildProcess:
    """A Python module that runs as a child process.

    Args:
        name: Name of the process in error messages.
        module: The module to run.
        arguments: Its command line arguments.
        log_path: File to which stdout and stderr are appended.
    """

    def __init__(self, *, name, module, arguments, log_path):
        self.name = name
        self._log_path = log_path
        self._stop_requested = False
        with open(log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                # Ctrl-C at the terminal must reach only the bench, which then stops
                # its child processes itself.
                start_new_session=True,
            )

    @property
    def pid(self):
        """The process id."""
        return self._process.pid

    @property
    def exit_status(self):
        """The exit status, or ``None`` while the process is running."""
        return self._process.poll()

    def check(self):
        """Raise ``ChildFailedError`` if the process ended without being stopped."""
        if self.exit_status is not None and not self._stop_requested:
            reason = (
                f'"{self.name}" ended with status {self.exit_status}: {self.log_tail()}'
            )
            raise ChildFailedError(reason)

    def log_tail(self):
        """Return the last lines of the output of the process."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES_COUNT:])

    def signal(self, number):
        """Send a signal, unless the process has ended."""
        if self.exit_status is None:
            os.kill(self.pid, number)

    def terminate(self):
        """Request an orderly shutdown with SIGTERM."""
        self._stop_requested = True
        self.signal(signal.SIGTERM)

    def kill(self):
        """Kill the process with SIGKILL."""
        self._stop_requested = True
        self.signal(signal.SIGKILL)

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    async def wait_ended(self, *, limit_s=END_LIMIT_S):
        """Wait until the process has ended and return the exit status.

        Args:
            limit_s: Time limit in seconds.

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
