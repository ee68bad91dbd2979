"""Measures how long a changed sheet takes to come into force everywhere.

Run it with ``python -m waxwinghold_bench.sheet_spread``: the Guild's example
in processes of its own, the times taken from their audit trails.
"""

import asyncio
import time

import fire
import msgspec
from hdrh.histogram import HdrHistogram

from waxwinghold._messages import AuditQuery
from waxwinghold._settings import load_settings
from waxwinghold._tool.process_client import ProcessClient
from waxwinghold._tool.settings import OperatorSettings

from .examples import GUILD
from .fleet import Fleet

NS_PER_MS = 1_000_000
LONGEST_MS = 60_000
DIGITS_COUNT = 3
SETTLE_S = 7
PERCENTILES = (50, 99, 100)


async def _publish(fleet, changes_count, interval_s):
    """Publish changed sheets; return the wall time of each by version."""
    published_ms = {}
    sheet = fleet.sheet
    for number in range(changes_count):
        customers = [dict(row) for row in sheet["customers"]]
        customers[number % len(customers)]["share"] = 1 + number
        version = sheet["version"] + 1
        sheet = sheet | {"version": version, "customers": customers}
        published_ms[version] = time.time_ns() // NS_PER_MS
        url = f"{fleet.platform_url}/_control/publish"
        async with fleet.session.post(url, json=sheet) as response:
            response.raise_for_status()
        await asyncio.sleep(interval_s)
    await asyncio.sleep(SETTLE_S)
    return published_ms


async def _accepted_ms(fleet):
    """Return when each process accepted each version, by process and version."""
    settings = load_settings(fleet.write_operator_settings(), OperatorSettings)
    replies = await ProcessClient(settings=settings).query_all(AuditQuery, since_ms=0)
    found = {}
    for name, reply in replies.items():
        entries = msgspec.json.decode(reply.document)
        for entry in entries:
            if entry["what"] == "sheet.accepted":
                version = int(entry["after"].partition("/")[0])
                found[name, version] = entry["wall_ms"]
    return found


async def _reads(fleet):
    async with fleet.session.get(f"{fleet.platform_url}/_control/reads") as response:
        return (await response.json())["total_count"]


def _print_times(role, endpoints, published_ms, accepted_ms):
    histogram = HdrHistogram(1, LONGEST_MS, DIGITS_COUNT)
    missing_count = 0
    for version, start_ms in published_ms.items():
        for name in endpoints:
            end_ms = accepted_ms.get((name, version))
            if end_ms is None:
                missing_count += 1
            else:
                histogram.record_value(max(1, end_ms - start_ms))
    values = [histogram.get_value_at_percentile(one) for one in PERCENTILES]
    print(
        f"{role}: {len(endpoints)} processes, median {values[0]} ms, "
        f"99% {values[1]} ms, longest {values[2]} ms, not seen {missing_count}"
    )


async def _run(changes_count, interval_s, entries_count):
    fleet = Fleet(sheet=GUILD.sheet(), entries_per_data_centre_count=entries_count)
    async with fleet.running():
        start_s = time.monotonic()
        reads_count = await _reads(fleet)
        published_ms = await _publish(fleet, changes_count, interval_s)
        reads_count = await _reads(fleet) - reads_count
        elapsed_s = time.monotonic() - start_s
        accepted_ms = await _accepted_ms(fleet)
    _print_times("entries", fleet.entries, published_ms, accepted_ms)
    _print_times("agents", fleet.agents, published_ms, accepted_ms)
    print(f"platform: {reads_count / elapsed_s:.2f} reads a second, hosts included")


def main(*, changes_count=20, interval_s=1.0, entries_count=3):
    """Publish changes to a running fleet and print when they were in force.

    Args:
        changes_count: Sheets published one after another.
        interval_s: Time between them.
        entries_count: Entries in each of the three data centres.
    """
    asyncio.run(_run(changes_count, interval_s, entries_count))


if __name__ == "__main__":
    fire.Fire(main)
