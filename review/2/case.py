"""A route is moved while the gateway that reads the store for its zone is cut off.

Two gateways of one zone, a store, and workers of an old and a new service. Workers join
the new service while configurations come in quick succession. Then the gateway that reads the store is partitioned from the store (only
from it), and the operator moves the unsafe route ``hold`` to the new service. The other
gateway has its path to the store all the time. It must serve the route at the new
service from 2 s (``config-apply-ms``) after the acknowledgement.
"""

import asyncio
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common import (  # noqa: E402
    KEY,
    Gateway,
    Store,
    Wire,
    Worker,
    call,
    configuration,
    free_port,
    route,
    run_case,
    trouble,
)

CONFIG_APPLY_S = 2.0
STORM_GAP_S = 0.33  # As ``config_storm`` of the site: a change each 0.33 s.
STORM_COUNT = 9
ASK_GAP_S = 0.02


def routes(service, extra=0):
    """Return the configuration's routes; the hold goes to ``service``."""
    return [
        route("hold", "/hold/", "unsafe", service),
        route("look", "/look/", "safe", "desk-new"),
        *(
            route(f"more-{number}", f"/more-{number}/", "safe", "desk-new")
            for number in range(extra)
        ),
    ]


async def main(record, scratch, processes):
    store = Store()
    await store.start()
    old = Worker(name="w-old", record=record)
    new = Worker(name="w-new", record=record)
    for worker, service in ((old, "desk-old"), (new, "desk-new")):
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry(service))
    # They join the new service one after the other.
    joining = [Worker(name=f"w-{number}", record=record) for number in range(STORM_COUNT)]
    for worker in joining:
        await worker.start()
    services = ("desk-old", "desk-new")
    store.put("op/config", configuration(1, routes("desk-old"), services=services))
    ips = ["127.0.0.21", "127.0.0.22"]
    ports = {
        "front": free_port(ips),
        "readiness": free_port(ips),
        "peers": free_port(ips, socket.SOCK_DGRAM),
    }
    gateways, wires = [], []
    for number, ip in enumerate(ips):
        wire = Wire(store.address)
        await wire.start(ip="127.0.0.1")
        gateway = Gateway(
            name=f"edge-{number}",
            ip=ip,
            ports=ports,
            store=wire.address,
            seeds=[f"{other}:1" for other in ips],
            folder=scratch,
            record=record,
        )
        processes.append(gateway)
        gateway.start()
        gateways.append(gateway)
        wires.append(wire)
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4)

    # The one whose wire carries the watches reads the store for both.
    before = [wire.passed_bytes for wire in wires]
    await asyncio.sleep(3)
    passed = [wire.passed_bytes - count for wire, count in zip(wires, before)]
    reader = passed.index(max(passed))
    other = 1 - reader
    record(f"bytes from the store in 3 s: {passed}; edge-{reader} reads for the zone")

    version = 1
    for number in range(STORM_COUNT):
        version += 3
        document = configuration(
            version, routes("desk-old", extra=number + 1), services=services
        )
        store.put("op/config", document)
        await asyncio.sleep(0.1)
        joined = joining[number]
        store.put(f"servers/{joined.name}", joined.entry("desk-new"))
        if number < STORM_COUNT - 1:
            await asyncio.sleep(STORM_GAP_S - 0.1)
    await asyncio.sleep(0.03)
    if trouble():
        wires[reader].cut()
        record(f"edge-{reader} is partitioned from the store, and from nothing else")
    await asyncio.sleep(0.02)
    version += 3
    store.put(
        "op/config",
        configuration(version, routes("desk-new", STORM_COUNT), services=services),
    )
    acked_s = time.monotonic()
    record(f"version {version} acknowledged: route hold goes to desk-new now")

    sent = {}

    async def ask(number):
        attempt = f"hold-{number}"
        sent[attempt] = time.monotonic()
        record(f"{attempt} sent to edge-{other}")
        headers = [("Attempt-Id", attempt), ("Credential", KEY), ("Deadline-Ms", "1520")]
        status, fields, _ = await call(
            gateways[other].front, "POST", "/hold/1", headers, b"hold one jacket"
        )
        record(f"{attempt} is answered {status}, seal {fields.get('server-seal')}")

    await asyncio.sleep(1.5)
    asks = []
    for number in range(60):
        asks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(ASK_GAP_S)
    await asyncio.gather(*asks)
    late = []
    for _, _, headers, _ in old.runs:
        after_s = sent[headers["attempt-id"]] - acked_s
        if after_s > CONFIG_APPLY_S:
            late.append(f"{headers['attempt-id']} ({after_s:.3f} s after)")
    record(
        f"{len(old.runs)} ran at the old service, {len(late)} of them sent later than "
        f"{CONFIG_APPLY_S} s after the acknowledgement: {', '.join(late)}"
    )
    record(f"edge-{other} ready: {await gateways[other].is_ready()}")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
