"""Measures how long it takes until all processes accept a changed sheet.

Run it with ``python -m waxwinghold_bench.sheet_spread``. It runs the Guild example
on loopback and reads the times from the audit trails of the processes.
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
HIGHEST_MS = 60_000
SIGNIFICANT_DIGITS = 3
SETTLE_S = 7
PERCENTILES = (50, 99, 100)


async def _publish(fleet, changes_count, interval_s):
    """Publish changed sheets and return the wall time of each by version."""
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
    """Return the times of acceptance by process name and version."""
    settings = load_settings(fleet.write_operator_settings(), OperatorSettings)
    replies = await ProcessClient(settings=settings).query_all(AuditQuery, since_ms=0)
    accepted_ms = {}
    for name, reply in replies.items():
        events = msgspec.json.decode(reply.document)
        for event in events:
            if event["what"] == "sheet.accepted":
                version = int(event["after"].partition("/")[0])
                accepted_ms[name, version] = event["wall_ms"]
    return accepted_ms


async def _count_reads(fleet):
    async with fleet.session.get(f"{fleet.platform_url}/_control/reads") as response:
        return (await response.json())["total_count"]


def _print_times(role, endpoints, published_ms, accepted_ms):
    histogram = HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
    missing_count = 0
    for version, start_ms in published_ms.items():
        for name in endpoints:
            end_ms = accepted_ms.get((name, version))
            if end_ms is None:
                missing_count += 1
            else:
                histogram.record_value(max(1, end_ms - start_ms))
    values = [histogram.get_value_at_percentile(item) for item in PERCENTILES]
    print(
        f"{role}: {len(endpoints)} processes, median {values[0]} ms, "
        f"p99 {values[1]} ms, longest {values[2]} ms, missing {missing_count}"
    )


async def _run(changes_count, interval_s, entries_count):
    fleet = Fleet(sheet=GUILD.sheet(), entries_per_data_centre_count=entries_count)
    async with fleet.running():
        start_s = time.monotonic()
        reads_count = await _count_reads(fleet)
        published_ms = await _publish(fleet, changes_count, interval_s)
        reads_count = await _count_reads(fleet) - reads_count
        elapsed_s = time.monotonic() - start_s
        accepted_ms = await _accepted_ms(fleet)
    _print_times("entries", fleet.entries, published_ms, accepted_ms)
    _print_times("agents", fleet.agents, published_ms, accepted_ms)
    print(f"platform: {reads_count / elapsed_s:.2f} reads/s, including host lists")


def main(*, changes_count=20, interval_s=1.0, entries_count=3):
    """Publish changes to a running fleet and print how long each process took.

    Args:
        changes_count: Number of sheets to publish.
        interval_s: Time between two sheets in seconds.
        entries_count: Number of entries in each of the three data centres.
    """
    asyncio.run(_run(changes_count, interval_s, entries_count))


if __name__ == "__main__":
    fire.Fire(main)
