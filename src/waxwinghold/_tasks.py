"""Background tasks of a process, with a callback for failures."""

import asyncio

import logbook

log = logbook.Logger("tasks")


class ProcessTasks:
    """Starts tasks and keeps references to them until they end.

    Args:
        on_failure: Called without arguments after a failed task was logged.
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
        task.add_done_callback(self._on_task_done)

    def cancel(self):
        """Cancel every task without waiting for it to end."""
        for task in list(self._tasks):
            task.cancel()

    async def end(self):
        """Cancel every task and wait until all have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task failed", extra={"reason": repr(task.exception())})
            self._on_failure()
