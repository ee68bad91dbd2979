"""Every fault at every step: effects, verdicts, answers and time."""

import asyncio
import functools
import multiprocessing
import unittest
from concurrent.futures import ProcessPoolExecutor
from unittest import mock

import logbook

from waxwinghold._agent import target
from waxwinghold._entry import stream_follower

from .support.fleet import TWO_ENGINES, TWO_WORKERS, Fleet
from .support.matrix import FAULTS, KINDS, STEPS, cells, why_impossible
from .support.request_scenario import SETTLE_S, RequestScenario

DEADLINE_MS = 2000
# Verdicts wait for their turn in an event loop that runs many fleets.
GRACE_MS = 600
WORKERS_FLEETS_COUNT = 2
ENGINES_FLEETS_COUNT = 1
# In the same proportion to the deadline as the product's bound to its own.
STALL_LIMIT_MS = 400
# A health check shares its event loop with whole fleets.
HEALTH_LIMIT_MS = 1500
# Processes that share the cells; one event loop would be busy all the time.
PARTS_COUNT = 3
CELL_LIMIT_S = 25.0


class CellRun:
    """Runs one cell in a fleet and checks what must hold.

    Args:
        fleet: A fleet without faults; it has none afterwards either.
        cell: The cell.
        text: Names the request; no other one of the fleet has it.
    """

    def __init__(self, *, fleet, cell, text):
        self._fleet = fleet
        self._cell = cell
        self._kind = KINDS[cell.kind]
        self._scene = RequestScenario(fleet=fleet, kind=self._kind, text=text)

    async def problems(self):
        """Return what went wrong, as texts."""
        fault, bring = FAULTS[self._cell.fault], STEPS[self._cell.step]
        scene = self._scene
        await scene.prepare()
        try:
            if bring is not None:
                await bring(scene)
            await fault.inject(scene)
        finally:
            scene.release()
        outcome = await self._outcome()
        await self._fleet.restore()
        await asyncio.sleep(SETTLE_S)
        return [
            f"{self._cell}: {problem}"
            for problem in [
                *self._wrong_effects(outcome),
                *self._wrong_answers(),
                *self._late_verdicts(),
                *self._wrong_end(outcome, fault),
            ]
        ]

    async def _outcome(self):
        if self._cell.step != "after":
            return await self._scene.finish()
        if self._kind.is_resent:
            return await self._scene.resend()
        return self._scene.outcomes[-1]

    def _wrong_effects(self, outcome):
        count = self._scene.effects_count
        if not self._kind.repeatable and count > 1:
            yield f"ran {count} times"
        if outcome.ran == "not_run" and count and not self._kind.repeatable:
            yield f"was refused as not run and ran {count} times"
        if outcome.ok and not count and not self._kind.streamed:
            yield "was answered and did not run"

    def _wrong_answers(self):
        for outcome in self._scene.outcomes:
            if outcome.ok and not self._scene.is_own_answer(outcome):
                yield f"got a wrong answer that looks whole: {outcome}"
            if self._kind.streamed and not self._scene.is_own_beginning(outcome):
                yield f"got wrong events: {outcome}"

    def _late_verdicts(self):
        for outcome in self._scene.outcomes:
            if outcome.elapsed_ms > DEADLINE_MS + GRACE_MS:
                yield f"heard its verdict after {outcome.elapsed_ms:.0f} ms"

    def _wrong_end(self, outcome, fault):
        must_succeed = self._kind.repeatable or (self._cell.step in fault.harmless_at)
        if must_succeed and not outcome.ok:
            yield (
                f"was not answered: status {outcome.status}, code {outcome.code}, "
                f"ran {outcome.ran}, {len(outcome.events)} events"
            )


async def _work(todo, targets, problems):
    fleet = Fleet(
        targets=targets,
        deadline_ms=DEADLINE_MS,
        entry_options={"retry_budget_ratio": 1.0},
    )
    async with fleet.running():
        for cell in todo:
            try:
                async with asyncio.timeout(CELL_LIMIT_S):
                    run = CellRun(fleet=fleet, cell=cell, text=f"request of {cell}")
                    problems[cell] = await run.problems()
            except Exception as error:
                problems[cell] = [f"{cell}: {error!r}"]
                await fleet.restore()


async def _run_cells(possible):
    problems = {}
    on_engines = [cell for cell in possible if KINDS[cell.kind].streamed]
    on_workers = [cell for cell in possible if not KINDS[cell.kind].streamed]
    plans = [(iter(on_engines), TWO_ENGINES)] * ENGINES_FLEETS_COUNT
    plans += [(iter(on_workers), TWO_WORKERS)] * WORKERS_FLEETS_COUNT
    async with asyncio.TaskGroup() as group:
        for todo, targets in plans:
            group.create_task(_work(todo, targets, problems))
    return problems


def run_part(possible):
    """Run some cells in one event loop; return the problems by cell."""
    stall = mock.patch.object(stream_follower, "STALL_LIMIT_MS", STALL_LIMIT_MS)
    health = mock.patch.object(target, "HEALTH_LIMIT_MS", HEALTH_LIMIT_MS)
    with logbook.NullHandler().applicationbound(), stall, health:
        return asyncio.run(_run_cells(possible))


@functools.cache
def run_matrix():
    """Run every cell that can happen; return the problems by cell."""
    possible = [cell for cell in cells() if not why_impossible(cell)]
    parts = [possible[number::PARTS_COUNT] for number in range(PARTS_COUNT)]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(PARTS_COUNT, mp_context=context) as pool:
        return {
            cell: problems
            for part in pool.map(run_part, parts)
            for cell, problems in part.items()
        }


class FaultMatrixTest(unittest.TestCase):
    """One test for each fault, over all steps and kinds of call."""

    def check(self, fault):
        """Fail with every cell of ``fault`` in which something did not hold."""
        problems = run_matrix()
        ran = [cell for cell in problems if cell.fault == fault]
        self.assertTrue(ran, "no cell of the fault was run")
        found = [problem for cell in ran for problem in problems[cell]]
        self.assertEqual([], found, "\n" + "\n".join(found))


def _add_tests():
    for name in FAULTS:

        def test(self, name=name):
            self.check(name)

        test.__doc__ = FAULTS[name].inject.__doc__
        setattr(FaultMatrixTest, f"test_{name}", test)


_add_tests()
