"""Command line of the fault soak: ``python -m waxwinghold_soak run --seed 7``."""

import asyncio
import random
import sys
import time

import fire
import logbook

from .soak_run import SoakRun

DURATION_S = 15.0


async def _run_seed(seed, duration_s, settings):
    soak_run = SoakRun(seed=seed, duration_s=duration_s, settings=settings)
    started = time.monotonic()
    violations = await soak_run.run()
    took_s = time.monotonic() - started
    stalled_s = soak_run.timeline.stalled_s(0.0, float("inf"))
    served_count = sum(call.status == 200 for call in soak_run.checker.calls)
    print(
        f"seed {seed}: {len(soak_run.checker.calls)} calls, {served_count} served, "
        f"{len(soak_run.faults)} faults, "
        f"map version {soak_run.group.ranks[0].version}, "
        f"{took_s:.0f} s, {stalled_s:.1f} s of them stalled: "
        f"{len(violations)} violations",
        flush=True,
    )
    for text in violations[:20]:
        print(f"  {text}", flush=True)
    return not violations


async def _run_seeds(seeds, duration_s, jobs):
    job_slots = asyncio.Semaphore(jobs)

    async def run_in_process(seed):
        async with job_slots:
            command = [sys.executable, "-m", __package__, "run"]
            process = await asyncio.create_subprocess_exec(
                *command, f"--seed={seed}", f"--duration_s={duration_s}"
            )
            return await process.wait() == 0

    results = await asyncio.gather(*map(run_in_process, seeds))
    return [seed for seed, passed in zip(seeds, results) if not passed]


class Soak:
    """Run the fault soak: real processes, injected faults, checked guarantees."""

    def run(self, seed, duration_s=DURATION_S, **settings):
        """Run one seed; the exit status is 1 if a guarantee was violated.

        Args:
            seed: Seed of the faults, their times and the callers' requests.
            duration_s: How long faults are injected, in seconds.
            settings: Settings that override those of every gateway, for example
                to check that unsuitable values are reported as violations.
        """
        logbook.NullHandler().push_application()
        sys.exit(0 if asyncio.run(_run_seed(seed, duration_s, settings)) else 1)

    def many(self, first=None, count=10, duration_s=DURATION_S, jobs=2):
        """Run several seeds, each in a process of its own.

        The exit status is 1 if any of them failed.

        Args:
            first: First seed; the others follow it. Random if it is not given.
            count: Number of seeds.
            duration_s: How long faults are injected for each seed, in seconds.
            jobs: Number of seeds that run at the same time.
        """
        start = random.SystemRandom().randrange(10**6) if first is None else first
        seeds = list(range(start, start + count))
        failed = asyncio.run(_run_seeds(seeds, duration_s, jobs))
        print(f"{count - len(failed)} of {count} seeds passed; failed: {failed}")
        sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(Soak)
