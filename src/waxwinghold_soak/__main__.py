"""Command line: ``python -m waxwinghold_soak run --seed 7``, or ``many``."""

import asyncio
import random
import sys
import time

import fire
import logbook

from .soak_run import SoakRun

DURATION_S = 15.0


async def _play(seed, duration_s, settings):
    scene = SoakRun(seed=seed, duration_s=duration_s, settings=settings)
    started = time.monotonic()
    broken = await scene.run()
    took_s = time.monotonic() - started
    served_count = sum(call.status == 200 for call in scene.checker.calls)
    print(
        f"seed {seed}: {len(scene.checker.calls)} calls, {served_count} served, "
        f"{len(scene.faults)} faults, map {scene.group.ranks[0].version}, "
        f"{took_s:.0f} s: {len(broken)} broken",
        flush=True,
    )
    for text in broken[:20]:
        print(f"  {text}", flush=True)
    return not broken


async def _play_all(seeds, duration_s, jobs):
    gate = asyncio.Semaphore(jobs)

    async def one(seed):
        async with gate:
            command = [sys.executable, "-m", __package__, "run"]
            process = await asyncio.create_subprocess_exec(
                *command, f"--seed={seed}", f"--duration_s={duration_s}"
            )
            return await process.wait() == 0

    results = await asyncio.gather(*map(one, seeds))
    return [seed for seed, good in zip(seeds, results) if not good]


class Soak:
    """Runs the fault soak."""

    def run(self, seed, duration_s=DURATION_S, **settings):
        """Play one seed; the exit status is 1 if a promise was broken.

        Args:
            settings: Settings of every gateway; wrong ones show what breaks.
        """
        logbook.NullHandler().push_application()
        sys.exit(0 if asyncio.run(_play(seed, duration_s, settings)) else 1)

    def many(self, first=None, count=10, duration_s=DURATION_S, jobs=2):
        """Play seeds in turn, fresh ones unless ``first`` is given."""
        start = random.SystemRandom().randrange(10**6) if first is None else first
        seeds = list(range(start, start + count))
        failed = asyncio.run(_play_all(seeds, duration_s, jobs))
        print(f"{count - len(failed)} of {count} seeds kept; failed: {failed}")
        sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(Soak)
