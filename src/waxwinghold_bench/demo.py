"""``make demo``: runs both examples end to end with stand-in targets."""

import asyncio
import signal
import sys
from dataclasses import dataclass

import fire

from waxwinghold._tool.reports import text_table

from .callers import Caller
from .child_process import ChildFailedError
from .demo_steps import STEPS, Outcome, StepContext
from .examples import EXAMPLES
from .fleet import Fleet, NotReadyError

ENTRIES_PER_DATA_CENTRE_COUNT = 3
STEP_LIMIT_S = 20
# Shorter than the answer that is streamed while an entry drains, so that the entry
# rejects calls before the answer ends.
ENTRY_SETTINGS = {"drain_notice_ms": 500}
ENGINE_OPTIONS = {"step_ms": 20, "prefill_ms": 5}


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the table of results.

    Args:
        example: Name of the example.
        step: Name of the step.
        outcome: The ``Outcome`` of the step.
    """

    example: str
    step: str
    outcome: Outcome


async def run_example(example, *, lock_step):
    """Run all steps of an example and return a ``Row`` for each.

    Args:
        example: The ``Example``.
        lock_step: Whether the engines of a group run in lock step.
    """
    fleet = Fleet(
        sheet=example.sheet(),
        entries_per_data_centre_count=ENTRIES_PER_DATA_CENTRE_COUNT,
        entry_settings=ENTRY_SETTINGS,
        engine_options=ENGINE_OPTIONS,
        lock_step=lock_step,
    )
    rows = []
    try:
        async with fleet.running():
            caller = Caller(
                session=fleet.session, customer=example.customer, token=example.token
            )
            context = StepContext(example=example, fleet=fleet, caller=caller)
            for title, function in STEPS:
                name = title.format(**example.call_titles)
                outcome = await _run_step(function, context)
                rows.append(Row(example=example.name, step=name, outcome=outcome))
    except (ChildFailedError, NotReadyError) as error:
        outcome = Outcome(expected="a fleet that is ready", seen=repr(error))
        rows.append(Row(example=example.name, step="start", outcome=outcome))
    return rows


async def _run_step(function, context):
    try:
        async with asyncio.timeout(STEP_LIMIT_S):
            return await function(context)
    except Exception as error:
        return Outcome(expected="no exception", seen=repr(error))


def table(rows):
    """Return the rows as a text table."""
    cells = [
        (
            row.example,
            row.step,
            "yes" if row.outcome.ok else "NO",
            row.outcome.expected,
            row.outcome.seen,
        )
        for row in rows
    ]
    return text_table(("example", "step", "ok", "expected", "seen"), cells)


async def _run(lock_step):
    # SIGTERM must stop the child processes too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, _cancel_once, asyncio.current_task())
    rows = []
    for example in EXAMPLES:
        rows.extend(await run_example(example, lock_step=lock_step))
    return rows


def _cancel_once(task):
    # A second signal must not interrupt the shutdown of the child processes.
    if not task.cancelling():
        task.cancel()


def main(*, lock_step=False):
    """Run the demonstration; exit with 0 only if all outcomes are as expected.

    Args:
        lock_step: Whether the engines of a group run in lock step.
    """
    try:
        rows = asyncio.run(_run(lock_step))
    except asyncio.CancelledError:
        sys.exit("stopped by a signal")
    print(table(rows))
    passed_count = sum(row.outcome.ok for row in rows)
    print(f"{passed_count} of {len(rows)} as expected")
    sys.exit(0 if passed_count == len(rows) else 1)


if __name__ == "__main__":
    fire.Fire(main)
