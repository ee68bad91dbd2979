"""Tasks that live as long as their process, which ends when one of them fails."""

import asyncio

import logbook

log = logbook.Logger("tasks")


class ProcessTasks:
    """Starts tasks and keeps them until they end.

    Args:
        on_failure: Called when a task ended with an error, after the log line.
    """

    def __init__(self, *, on_failure):
        self._on_failure = on_failure
        self._tasks = set()

    def __len__(self):
        return len(self._tasks)

    def spawn(self, coroutine):
        """Run ``coroutine`` as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def cancel(self):
        """Cancel every task, without waiting for the ends."""
        for task in list(self._tasks):
            task.cancel()

    async def end(self):
        """Cancel every task and wait until all have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task failed", extra={"reason": repr(task.exception())})
            self._on_failure()
