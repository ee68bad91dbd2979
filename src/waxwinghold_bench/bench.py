"""``make bench``: compares waxwinghold, a simple relay and direct calls."""

import asyncio
import dataclasses
import itertools
import os
import pathlib
from dataclasses import dataclass

import fire

from waxwinghold._tool.reports import text_table

from .child_process import ChildProcess
from .endpoints import free_addresses
from .examples import GUILD, TOKEN_PREFIX
from .fleet import Fleet
from .load import Call, percentile_ms, run_load
from .usage import rates_between, read_usage

TARGETS_COUNT = 4
SLOTS_COUNT = 64
ENGINE_OPTIONS = {"step_ms": 20}
TOKENS_COUNT = 32
CALLERS_COUNTS = (1, 16, 256)
# The load of one of 350 entries that together serve 3,200 requests and a
# million tokens per second: 57 answers of 312 tokens at a time, at 20 ms per token.
PEAK_CALLERS_COUNT = 57
PEAK_TOKENS_COUNT = 312
WARM_UP_S = 1.0
IDLE_WINDOW_S = 10.0
MIB = 1024 * 1024
LOAD_HEADERS = (
    "callers",
    "tokens each",
    "path",
    "requests/s",
    "tokens/s",
    "failed",
    "first token ms p50",
    "p95",
    "p99",
    "between tokens ms p50",
    "p95",
    "p99",
    "core %",
    "cpu ms/request",
)
IDLE_HEADERS = ("idle process", "core %", "MiB", "link bytes/s")


_call_numbers = itertools.count()


@dataclass(frozen=True, kw_only=True)
class RequestPath:
    """A path on which requests reach the engines.

    Args:
        name: Name in the table.
        calls: Yields the URL and headers of each request. Requests without
            headers go to an engine, directly or through the relay.
        pid: Process whose resource usage is measured, or ``None``.
        tokens_count: Number of tokens that each request asks for.
    """

    name: str
    calls: itertools.cycle
    pid: int | None = None
    tokens_count: int = TOKENS_COUNT

    def make_call(self):
        """Return the next ``Call``."""
        url, headers = next(self.calls)
        number = next(_call_numbers)
        prompt = f"Which jacket fits a child of {number} cm?"
        body = {"prompt": prompt, "max_tokens": self.tokens_count}
        if not headers:
            body["request_id"] = f"bench-{number}"
        return Call(url=url, headers=headers, body=body)


def main(*, duration_s=6.0):
    """Print the tables for ``docs/BENCHMARKS.md``.

    Args:
        duration_s: Duration of each load in seconds.
    """
    asyncio.run(_run(duration_s))


def bench_sheet():
    """Return the sheet of the Guild example, reduced to one service.

    Only the first targets of one data centre and one version remain, without
    groups.
    """
    sheet = GUILD.sheet()
    model_rows = [
        row for row in sheet["targets"] if row["service"] == GUILD.model_service
    ]
    first = model_rows[0]
    similar = [
        row
        for row in model_rows
        if (row["data_centre"], row["version"])
        == (first["data_centre"], first["version"])
    ]
    targets = [
        row | {"group": "", "ranks": [], "slots_count": SLOTS_COUNT}
        for row in similar[:TARGETS_COUNT]
    ]
    services = [row for row in sheet["services"] if row["name"] == GUILD.model_service]
    services[0]["versions"] = [{"version": first["version"], "share_percent": 100}]
    customers = [
        row | {"services": [GUILD.model_service], "versions": None}
        for row in sheet["customers"]
        if GUILD.model_service in row["services"]
    ]
    return sheet | {
        "services": services,
        "groups": [],
        "targets": targets,
        "customers": customers,
    }


async def _run(duration_s):
    fleet = Fleet(sheet=bench_sheet(), engine_options=ENGINE_OPTIONS)
    async with fleet.running():
        engines = [endpoint.http_url for endpoint in fleet.agents.values()]
        address = free_addresses(1)[0]
        relay = _start_relay(address, engines)
        try:
            await _print_idle(fleet)
            paths = engine_paths(engines, f"http://{address}", relay.pid)
            paths += (path_through_entry(fleet),)
            await _print_loads(paths, duration_s)
        finally:
            relay.kill()


def _start_relay(address, engines):
    return ChildProcess(
        name="relay",
        module="waxwinghold_bench.relay",
        arguments=[f"--address={address}", f"--engines={','.join(engines)}"],
        log_path=pathlib.Path(os.devnull),
    )


def engine_paths(engines, relay_url, relay_pid):
    """Return the paths without waxwinghold: direct calls and the relay.

    Args:
        engines: URLs of the engines.
        relay_url: URL of the relay.
        relay_pid: Process id of the relay.
    """
    return (
        RequestPath(
            name="direct",
            calls=itertools.cycle([(f"{engine}/generate", {}) for engine in engines]),
        ),
        RequestPath(
            name="relay",
            calls=itertools.cycle([(f"{relay_url}/generate", {})]),
            pid=relay_pid,
        ),
    )


def path_through_entry(fleet, *, tokens_count=TOKENS_COUNT):
    """Return the path through the first entry of ``fleet``.

    The requests come from all customers of the sheet in turn.
    """
    entry = next(iter(fleet.entries.values()))
    url = (
        f"{entry.http_url}/v1/services/{GUILD.model_service}"
        f"/calls/{GUILD.streamed_call}"
    )
    headers = [
        {
            "Waxwing-Customer": row["name"],
            "Authorization": f"Bearer {TOKEN_PREFIX}{row['name']}",
        }
        for row in fleet.sheet["customers"]
    ]
    return RequestPath(
        name="waxwinghold",
        calls=itertools.cycle([(url, item) for item in headers]),
        pid=fleet.children[entry.name].pid,
        tokens_count=tokens_count,
    )


async def _print_idle(fleet):
    await asyncio.sleep(WARM_UP_S)
    processes = {
        endpoint.name: (fleet.children[endpoint.name].pid, _ports(fleet, endpoint))
        for endpoint in (*fleet.entries.values(), next(iter(fleet.agents.values())))
    }
    before = {
        name: read_usage(pid, ports=ports) for name, (pid, ports) in processes.items()
    }
    await asyncio.sleep(IDLE_WINDOW_S)
    rows = []
    for name, (pid, ports) in processes.items():
        rates = rates_between(before[name], read_usage(pid, ports=ports))
        rows.append(
            (
                name,
                f"{rates.core_percent:.2f}",
                f"{rates.resident_bytes / MIB:.1f}",
                f"{rates.wire_bytes_per_second:.0f}",
            )
        )
    print(text_table(IDLE_HEADERS, rows), flush=True)


def _ports(fleet, endpoint):
    """Return the listening ports of the links of a process.

    These are its own port and, for an entry, those of the agents to which it
    connects.
    """
    endpoints = [endpoint]
    if endpoint.role == "entry":
        endpoints += fleet.agents.values()
    return [int(item.link_address.rpartition(":")[2]) for item in endpoints]


async def _print_loads(paths, duration_s):
    rows = []
    loads = [(count, TOKENS_COUNT) for count in CALLERS_COUNTS]
    loads.append((PEAK_CALLERS_COUNT, PEAK_TOKENS_COUNT))
    for callers_count, tokens_count in loads:
        for path in paths:
            path = dataclasses.replace(path, tokens_count=tokens_count)
            await run_load(
                make_call=path.make_call, callers_count=callers_count, duration_s=0.5
            )
            rows.append(await _load_row(path, callers_count, duration_s))
    print(text_table(LOAD_HEADERS, rows), flush=True)


async def _load_row(path, callers_count, duration_s):
    before = read_usage(path.pid) if path.pid else None
    result = await run_load(
        make_call=path.make_call, callers_count=callers_count, duration_s=duration_s
    )
    usage = ("", "")
    if before is not None:
        after = read_usage(path.pid)
        core_percent = rates_between(before, after).core_percent
        cpu_ms = (after.cpu_ms - before.cpu_ms) / max(1, result.complete_count)
        usage = (f"{core_percent:.1f}", f"{cpu_ms:.2f}")
    latencies = [
        f"{percentile_ms(histogram, percentile):.1f}"
        for histogram in (result.first_token, result.between_tokens)
        for percentile in (50, 95, 99)
    ]
    return (
        callers_count,
        path.tokens_count,
        path.name,
        f"{result.requests_per_second:.1f}",
        f"{result.tokens_count / result.elapsed_s:.0f}",
        result.failed_count,
        *latencies,
        *usage,
    )


if __name__ == "__main__":
    fire.Fire(main)
