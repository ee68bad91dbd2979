"""Measures expert placement over a day and plots skew against moves.

Run it with ``python -m waxwinghold_bench.placement_bench``.
"""

import math
import pathlib
import statistics
import time
from dataclasses import dataclass

import fire
import matplotlib

from waxwinghold._policy import GroupShape, placement_policy, plan_skew
from waxwinghold._policy.placement import normalised
from waxwinghold._sheet.model import PlacementWeights
from waxwinghold._tool.reports import text_table

from .traces import expert_demand

MINUTE_MS = 60_000.0
NS_PER_MS = 1_000_000
EXPERT_MIB = 12
LOAD_MIB_PER_SECOND = 400
SHAPES = (
    GroupShape(ranks_count=16, expert_slots_count=5),
    GroupShape(ranks_count=64, expert_slots_count=2),
    GroupShape(ranks_count=64, expert_slots_count=3),
)
GUILD_WEIGHTS = PlacementWeights(skew_weight=10, move_weight=1, skew_limit=1.05)
ARCHIVE_WEIGHTS = PlacementWeights(skew_weight=0.1, move_weight=5, skew_limit=1.25)
OTHER_WEIGHTS = tuple(
    PlacementWeights(skew_weight=weight, move_weight=1, skew_limit=limit)
    for weight, limit in ((3, 1.08), (1, 1.15), (0.1, 1.4))
)
RUNS = (
    ("static", "static", GUILD_WEIGHTS),
    ("replan always", "replan_always", GUILD_WEIGHTS),
    ("repair, Guild", "repair", GUILD_WEIGHTS),
    ("repair, archive", "repair", ARCHIVE_WEIGHTS),
    *((f"repair, limit {item.skew_limit}", "repair", item) for item in OTHER_WEIGHTS),
)
HEADERS = (
    "ranks x slots",
    "planner",
    "skew mean",
    "p95",
    "max",
    "moves",
    "loaded GiB",
    "load s/rank",
    "plans changed",
    "plan ms p50",
)


@dataclass(frozen=True, kw_only=True)
class DayResult:
    """Results of one planner over a day.

    Args:
        skews: The skew of each plan under the demand of the next minute, sorted.
        moves_count: Number of experts moved.
        changes_count: Number of changed plans.
        plan_ms: Duration of each planning in milliseconds, sorted.
    """

    skews: tuple[float, ...]
    moves_count: int
    changes_count: int
    plan_ms: tuple[float, ...]

    @property
    def mean(self):
        """The mean skew."""
        return statistics.mean(self.skews)

    def percentile(self, percent):
        """Return a percentile of the skews."""
        return self.skews[min(len(self.skews) - 1, len(self.skews) * percent // 100)]


def replay_day(name, *, shape, weights, trace):
    """Run a planner over a trace and return its ``DayResult``.

    Args:
        name: Name of the placement policy.
        shape: The ``GroupShape``.
        weights: The ``PlacementWeights``.
        trace: Demands for the experts, one per minute; all but the last are
            planned for.
    """
    policy = placement_policy.make(name)
    current, moves_count, changes_count = None, 0, 0
    skews, plan_ms = [], []
    for minute, (demand, next_demand) in enumerate(zip(trace, trace[1:])):
        start_ns = time.perf_counter_ns()
        plan = policy.plan(
            demand=demand,
            shape=shape,
            weights=weights,
            current=current,
            now_ms=minute * MINUTE_MS,
        )
        plan_ms.append((time.perf_counter_ns() - start_ns) / NS_PER_MS)
        if current is not None and plan is not current:
            moves_count += len(plan.moves)
            changes_count += bool(plan.moves)
        current = plan
        skews.append(plan_skew(plan, demand=next_demand))
    return DayResult(
        skews=tuple(sorted(skews)),
        moves_count=moves_count,
        changes_count=changes_count,
        plan_ms=tuple(sorted(plan_ms)),
    )


def moves_lower_bound(trace, *, shape, skew):
    """Return a lower bound of the moves that keep every minute within ``skew``.

    An expert needs enough copies that the load of one copy is at most ``skew``
    times the mean load of a rank. For each expert, the largest number of copies
    needed in a window of minutes counts. If the sum of these numbers exceeds the
    expert slots, at least the difference had to be loaded within the window, and
    the next window begins.
    """
    expert_slots_count = shape.ranks_count * shape.expert_slots_count
    bound, needs = 0, [0] * len(trace[0])
    for demand in trace:
        current = [
            math.ceil(part * shape.ranks_count / skew) for part in normalised(demand)
        ]
        peak_needs = [max(pair) for pair in zip(needs, current)]
        excess = sum(peak_needs) - expert_slots_count
        if excess > 0:
            bound += excess
            peak_needs = current
        needs = peak_needs
    return bound


def main(*, seed=1, minutes_count=1440, plot="docs/images/placement.png"):
    """Print the table and write the plot.

    Args:
        seed: Seed of the trace.
        minutes_count: Number of sampled minutes of the day; all but the last are
            planned for.
        plot: Path of the plot to write.
    """
    trace = expert_demand(seed=seed, minutes_count=minutes_count)
    rows, points = [], {}
    for shape in SHAPES:
        for label, name, weights in RUNS:
            day = replay_day(name, shape=shape, weights=weights, trace=trace)
            points.setdefault(shape, []).append((label, day))
            rows.append(_row(shape, label, day))
    print(text_table(HEADERS, rows))
    _write_plot(points, trace, pathlib.Path(plot))


def _row(shape, label, day):
    loaded_mib = day.moves_count * EXPERT_MIB
    return (
        f"{shape.ranks_count} x {shape.expert_slots_count}",
        label,
        f"{day.mean:.3f}",
        f"{day.percentile(95):.3f}",
        f"{day.skews[-1]:.3f}",
        day.moves_count,
        f"{loaded_mib / 1024:.1f}",
        f"{loaded_mib / LOAD_MIB_PER_SECOND / shape.ranks_count:.0f}",
        day.changes_count,
        f"{statistics.median(day.plan_ms):.1f}",
    )


def _write_plot(points, trace, path):
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(1, len(points), figsize=(15, 5), sharey=True)
    for panel, (shape, days) in zip(panels, points.items()):
        for label, day in days:
            panel.plot(day.moves_count + 1, day.percentile(95), "o", label=label)
        skews = [1 + step / 50 for step in range(40)]
        bounds = [
            moves_lower_bound(trace, shape=shape, skew=skew) + 1 for skew in skews
        ]
        panel.plot(bounds, skews, "k--", label="lower bound")
        panel.set(
            title=f"{shape.ranks_count} ranks x {shape.expert_slots_count} slots",
            xlabel="experts moved in a day, plus one",
            xscale="log",
            ylim=(1.0, 2.0),
        )
    panels[0].set_ylabel("load of busiest rank / mean, 95th percentile")
    panels[-1].legend(fontsize="small")
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})


if __name__ == "__main__":
    fire.Fire(main)
