"""Measures the latency and the CPU time that a gateway adds to a request.

Run it with ``python -m waxwinghold_bench.gateway_cost``. A real gateway process runs
between a caller and stand-in workers in this process. Calls to a worker directly and
calls through the gateway alternate, so that other load on the host affects both
equally.
"""

import asyncio
import statistics
import tempfile
from pathlib import Path

import aiohttp
import fire

from waxwinghold._tool.reports import text_table
from waxwinghold_soak.checker import OperatorTimeline
from waxwinghold_soak.operator import Operator
from waxwinghold_soak.processes import Program
from waxwinghold_soak.soak_run import until_ready
from waxwinghold_soak.workers import SoakWorker
from waxwinghold_standins.fleet_store import FleetStore

from .endpoints import free_addresses
from .usage import read_usage

CALLS_COUNT = 400
WORKERS_COUNT = 4
KINDS = {"safe": "GET", "unsafe": "POST", "stream": "GET"}
WARM_UP_COUNT = 20
MIB = 1024 * 1024
HEADERS = (
    "kind",
    "calls",
    "direct ms p50",
    "p95",
    "gateway ms p50",
    "p95",
    "added ms p50",
    "cpu ms/call",
)


async def _start_gateway(folder):
    store = FleetStore()
    await store.start()
    operator = Operator(store=store, timeline=OperatorTimeline())
    operator.publish()
    workers = [SoakWorker(name=f"w{n}", seed=n) for n in range(WORKERS_COUNT)]
    for worker in workers:
        worker.event_ms = 1.0
        await worker.start()
        operator.list_worker(worker, worker.address)
    callers_address, readiness_address, peers_address = free_addresses(3)
    settings = {
        "name": "gateway-0",
        "data_centre": "dc-a",
        "callers_address": callers_address,
        "readiness_address": readiness_address,
        "store_address": "{}:{}".format(*store.address),
        "peers_ip": "127.0.0.1",
        "peers_port": int(peers_address.rpartition(":")[2]),
    }
    program = Program(role="gateway", settings=settings, folder=folder)
    await program.start()
    await until_ready(program)
    return store, workers, program


async def _call_ms(session, method, url, headers):
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    async with session.request(method, url, headers=headers) as answer:
        await answer.read()
        if answer.status != 200:
            raise RuntimeError(f"{url} answered with status {answer.status}")
    return (loop.time() - start_s) * 1000


async def _measure(kind, method, session, worker, program, calls_count):
    ip_port = program.settings["callers_address"]
    direct_url = "http://{}:{}/{}/1".format(*worker.address, kind)
    gateway_url = f"http://{ip_port}/{kind}/1"
    headers = {"Host": "shop.example", "Credential": "key-0"}
    direct_ms, gateway_ms = [], []
    before = None
    for number in range(WARM_UP_COUNT + calls_count):
        if number == WARM_UP_COUNT:
            before = read_usage(program.pid)
            direct_ms, gateway_ms = [], []
        call_headers = headers | {"Attempt-Id": f"{kind}-{number}"}
        direct_ms.append(await _call_ms(session, method, direct_url, call_headers))
        gateway_ms.append(await _call_ms(session, method, gateway_url, call_headers))
    cpu_ms = read_usage(program.pid).cpu_ms - before.cpu_ms
    p50 = [statistics.median(times) for times in (direct_ms, gateway_ms)]
    p95 = [statistics.quantiles(times, n=20)[-1] for times in (direct_ms, gateway_ms)]
    row = (kind, calls_count, p50[0], p95[0], p50[1], p95[1], p50[1] - p50[0])
    return (*row, cpu_ms / calls_count)


async def _run(calls_count):
    with tempfile.TemporaryDirectory() as folder:
        store, workers, program = await _start_gateway(Path(folder))
        try:
            async with aiohttp.ClientSession() as session:
                rows = [
                    await _measure(
                        kind, method, session, workers[0], program, calls_count
                    )
                    for kind, method in KINDS.items()
                ]
            usage = read_usage(program.pid)
        finally:
            await program.close()
            for server in (*workers, store):
                await server.stop()
    cells = [[_format(value) for value in row] for row in rows]
    print(text_table(HEADERS, cells))
    events = workers[0].events_count
    # A stream is a safe call whose answer is sent as events.
    event_cpu_ms = (rows[2][-1] - rows[0][-1]) / events
    print(f"a stream has {events} events; {event_cpu_ms:.3f} cpu ms per event")
    print(f"memory {usage.resident_bytes / MIB:.1f} MiB")


def _format(value):
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def main(calls_count=CALLS_COUNT):
    """Measure the cost of one gateway and print a table.

    Args:
        calls_count: Number of calls of each kind on each path.
    """
    asyncio.run(_run(calls_count))


if __name__ == "__main__":
    fire.Fire(main)
