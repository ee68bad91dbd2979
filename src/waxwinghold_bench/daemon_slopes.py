"""Measures how the cost of entries and agents grows with the fleet and the load."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import tempfile

from waxwinghold._clock import Clock
from waxwinghold._sheet import write_sheet
from waxwinghold_standins.engine import Engine
from waxwinghold_standins.platform import Platform

from .bench import bench_sheet, path_through_entry
from .child_process import ChildFailedError, ChildProcess
from .endpoints import make_endpoints, process_settings
from .fleet import Fleet
from .load import run_load
from .sheet_cost import make_sheet, make_store
from .standin_peers import StandInPeers
from .usage import rates_between, read_usage

DATA_CENTRE = "nadi"
SETTLE_S = 4.0
WINDOW_S = 9.0
UP_LIMIT_S = 10.0
UP_POLL_S = 0.1
MIB = 1024 * 1024
ENDPOINTS_LIMIT_COUNT = 128


async def entry_slopes():
    """Print the cost of an idle entry by the sheet, peers and heartbeat interval."""
    print(
        "\nidle entry: targets | peers | customers | beat ms | core % | MiB | bytes/s"
    )
    for targets, peers, customers, heartbeat_ms in (
        (16, 0, 10, 1000),
        (64, 0, 10, 1000),
        (128, 0, 10, 1000),
        (16, 8, 10, 1000),
        (16, 32, 10, 1000),
        (16, 0, 2500, 1000),
        (1392, 0, 2500, 1000),
        (32, 10, 2500, 3000),
    ):
        rates = await _measure_entry(targets, peers, customers, heartbeat_ms)
        row = f"{targets:19} | {peers:5} | {customers:9} | {heartbeat_ms:7}"
        _print_rates(row, rates)


async def agent_slope():
    """Print the cost of an idle agent by linked entries and size of the sheet."""
    print("idle agent: entries | listed targets | customers | core % | MiB | bytes/s")
    for entries, targets, customers in (
        (1, 16, 10),
        (8, 16, 10),
        (32, 16, 10),
        (64, 16, 10),
        (8, 1392, 2500),
    ):
        rates = await _measure_agent(entries, targets, customers)
        _print_rates(f"{entries:19} | {targets:14} | {customers:9}", rates)


def _print_rates(row, rates):
    resident = rates.resident_bytes / MIB
    wire = rates.wire_bytes_per_second
    print(
        f"{row} | {rates.core_percent:6.2f} | {resident:5.1f} | {wire:9.0f}", flush=True
    )


async def _measure_entry(targets_count, peers_count, customers_count, heartbeat_ms):
    sheet, agents = _sheet_with_endpoints(targets_count, customers_count)
    entry = _endpoints("entry", ["entry-0"])[0]
    peers = _endpoints("entry", [f"peer-{n}" for n in range(peers_count)])
    timing = {
        "heartbeat_interval_ms": heartbeat_ms,
        "silence_limit_ms": 3 * heartbeat_ms,
    }
    standin_peers = StandInPeers(clock=Clock(), store=make_store(sheet), timing=timing)
    platform = Platform(sheet=write_sheet(sheet))
    async with standin_peers.running(), platform.serving() as url:
        servers = standin_peers.listen(agents + peers, known_endpoints=[entry])
        document = process_settings(entry, platform_url=url, known_endpoints=peers)
        document |= timing | {"http_address": entry.http_address}
        document["peers"] = [peer.peer_row() for peer in peers]
        document["peers_limit_count"] = max(1, peers_count)
        with _daemon(entry, document) as child:
            await _wait_until(
                lambda: all(server.connections for server in servers), child
            )
            if peers:
                await standin_peers.connect(peers, peer=entry)
            return await _measure_rates(child, [*agents, *peers, entry])


async def _measure_agent(entries_count, targets_count, customers_count):
    sheet, agents = _sheet_with_endpoints(targets_count, customers_count)
    agent = agents[0]
    entries = _endpoints("entry", [f"entry-{n}" for n in range(entries_count)])
    standin_peers = StandInPeers(clock=Clock(), store=make_store(sheet))
    platform = Platform(sheet=write_sheet(sheet))
    async with (
        standin_peers.running(),
        platform.serving() as platform_url,
        Engine().serving() as engine_url,
    ):
        document = process_settings(
            agent, platform_url=platform_url, known_endpoints=entries
        )
        document["target_url"] = engine_url
        with _daemon(agent, document) as child:
            await standin_peers.connect(entries, peer=agent)
            return await _measure_rates(child, [agent])


def _sheet_with_endpoints(targets_count, customers_count):
    """Return a sheet in one data centre and the endpoints of its agents."""
    sheet = make_sheet(targets_count=targets_count, customers_count=customers_count)
    names = [row.name for row in sheet.targets]
    # An entry links to a limited number of targets. The others need only rows in
    # the sheet, not endpoints.
    agents = _endpoints("agent", names[:ENDPOINTS_LIMIT_COUNT])
    reachable = [
        dataclasses.replace(
            row,
            data_centre=DATA_CENTRE,
            agent_address=endpoint.link_address,
            agent_public_key=endpoint.public_key,
        )
        for row, endpoint in zip(sheet.targets, agents)
    ]
    targets = (*reachable, *sheet.targets[len(reachable) :])
    return dataclasses.replace(sheet, targets=targets), agents


def _endpoints(role, names):
    endpoints = make_endpoints(role=role, names=dict.fromkeys(names, DATA_CENTRE))
    return list(endpoints.values())


@contextlib.contextmanager
def _daemon(endpoint, document):
    with tempfile.TemporaryDirectory(prefix="waxwinghold-") as directory:
        path = pathlib.Path(directory, "settings.json")
        path.write_text(json.dumps(document))
        child = ChildProcess(
            name=endpoint.name,
            module="waxwinghold",
            arguments=[endpoint.role, str(path)],
            log_path=pathlib.Path(directory, "log"),
        )
        try:
            yield child
        finally:
            child.kill()


async def _wait_until(condition, child):
    try:
        async with asyncio.timeout(UP_LIMIT_S):
            while not condition():
                child.check()
                await asyncio.sleep(UP_POLL_S)
    except TimeoutError as error:
        raise ChildFailedError(
            f"{child.name} is not ready: {child.log_tail()}"
        ) from error


async def _measure_rates(child, endpoints):
    await asyncio.sleep(SETTLE_S)
    child.check()
    ports = [int(endpoint.link_address.rpartition(":")[2]) for endpoint in endpoints]
    before = read_usage(child.pid, ports=ports)
    await asyncio.sleep(WINDOW_S)
    return rates_between(before, read_usage(child.pid, ports=ports))


async def streams_slope():
    """Print the CPU time of an entry and of the agents by streams and tokens."""
    print("\nstreams | tokens each | requests | tokens | entry cpu ms | agents cpu ms")
    fleet = Fleet(sheet=bench_sheet(), engine_options={"step_ms": 20})
    async with fleet.running():
        (entry,) = fleet.entries
        pids = [fleet.children[entry].pid]
        pids += [fleet.children[agent].pid for agent in fleet.agents]
        for streams_count, tokens_count in ((8, 4), (8, 64), (32, 4), (32, 64)):
            path = path_through_entry(fleet, tokens_count=tokens_count)
            before = [read_usage(pid).cpu_ms for pid in pids]
            result = await run_load(
                make_call=path.make_call,
                callers_count=streams_count,
                duration_s=WINDOW_S,
            )
            cpu_ms = [
                read_usage(pid).cpu_ms - start_ms for pid, start_ms in zip(pids, before)
            ]
            print(
                f"{streams_count:7} | {tokens_count:11} | {result.complete_count:8} | "
                f"{result.tokens_count:6} | "
                f"{cpu_ms[0]:12.0f} | {sum(cpu_ms[1:]):13.0f}",
                flush=True,
            )
