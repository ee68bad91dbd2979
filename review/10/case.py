"""Case 10: a request that crashes workers is not recognised if it comes four times at once."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from common_2 import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    TROUBLE,
    Client,
    Node,
    Store,
    Worker,
    configuration,
    free_ports,
    route,
    run_case,
    worker_entry,
)

WORKERS_COUNT = 12
# When the client comes with the same request. It repeats it at once in the first 5.5 s.
ROUNDS_S = (0.0, 3.4, 5.2, 10.0, 14.0)
ABUSE_S = 5.5
COPIES_COUNT = 4 if TROUBLE else 1  # retry_abuse with x 3: "repeat x more times, at once".
BACK_S = 2.0  # "the worker is back after some seconds"
SILENCE_S = 3.6  # The store drops an entry after three heartbeats.
CONTACT_S = BOUNDS["contact-ms"] / 1000
ALLOWED_COUNT = 3  # BUDGET: "in more than three retries"
DEADLY = "/hold/deadly"


class Desk(Worker):
    """A worker that the deadly request crashes as it begins to run it."""

    async def work(self, first, headers, echo, body, reader, writer):
        if first.split()[1] != DEADLY:
            return await super().work(first, headers, echo, body, reader, writer)
        self.site.reached_s.append(time.monotonic())
        self.site.crash(self, headers["attempt-id"])
        return False


class Site:
    """The workers of the service and their entries in the store."""

    def __init__(self, store, record):
        self._store, self._record = store, record
        self._count = 0
        self.crashes_s = []  # When the deadly request crashed a worker.
        self.reached_s = []  # When it reached a worker.
        self.workers = []

    async def add(self):
        self._count += 1
        worker = Desk(
            name=f"i-desk{self._count}",
            service="book-desk",
            slots=6,
            work_s=1.0,
            record=self._record,
        )
        worker.site = self
        await worker.listen()
        self.workers.append(worker)
        self._store.put(f"servers/{worker.name}", worker_entry(worker))

    def crash(self, worker, request):
        if worker not in self.workers:
            return
        self.workers.remove(worker)
        self.crashes_s.append(time.monotonic())
        self._record(f"{worker.name}: crashed by {request}, {worker.active} others run")
        worker.stop()
        self._tasks = getattr(self, "_tasks", [])
        self._tasks.append(asyncio.create_task(self._replace(worker)))

    async def _replace(self, worker):
        await asyncio.sleep(BACK_S)
        await self.add()
        await asyncio.sleep(SILENCE_S - BACK_S)
        self._store.delete(f"servers/{worker.name}")


async def case(record):
    store = Store()
    await store.listen()
    site = Site(store, record)
    for _ in range(WORKERS_COUNT):
        await site.add()
    store.put(
        "op/config",
        configuration(
            version=3,
            routes=[
                route(name="hold", prefix="/hold/", kind="unsafe", service="book-desk")
            ],
            services=[{"name": "book-desk", "max-conns": 110}],
            tenants=[
                {"name": "guild", "api-keys": ["key-of-guild"]},
                {"name": "shop", "api-keys": ["key-of-shop"]},
            ],
        ),
    )
    ips = ["127.0.0.1", "127.0.0.2"]
    port = free_ports("127.0.0.1", 1)[0]
    gateways = [
        Node(
            role="gateway",
            name=f"edge-nadi-{number}",
            ip=ip,
            zone="nadi-a",
            store=store.address,
            seeds=[f"{ip}:8229" for ip in ips],
            port_range=[port, port + 15],
            record=record,
        )
        for number, ip in enumerate(ips)
    ]
    ends = {}
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        others = asyncio.create_task(bystanders(gateways, ends, record))
        await asyncio.sleep(CONTACT_S + 1)
        began_s = time.monotonic()
        for round_number, at_s in enumerate(ROUNDS_S):
            await asyncio.sleep(max(0.0, began_s + at_s - time.monotonic()))
            copies = [
                send(
                    gateways[0],  # "It selects that node by a hash of the client"
                    f"d{round_number}-{copy}",
                    DEADLY,
                    "key-of-shop",
                    record,
                )
                for copy in range(COPIES_COUNT if at_s < ABUSE_S else 1)
            ]
            await asyncio.gather(*copies)
        others.cancel()
        await asyncio.sleep(2.0)
    finally:
        for gateway in gateways:
            await gateway.kill()
    crashes_s = site.crashes_s
    late = []
    if len(crashes_s) >= 3:
        late = [at_s for at_s in site.reached_s if at_s > crashes_s[2] + CONTACT_S]
    lost = [request for request, status in ends.items() if status in (None, 502)]
    record(f"{len(crashes_s)} crashes; sent to a worker later than contact-ms after the")
    record(f"third one: {len(late)} times; requests of others lost: {len(lost)} of {len(ends)}")
    for gateway in gateways:
        for line in gateway.output.read_text().splitlines():
            if "blocked" in line:
                record(f"{gateway.name} log: {line}")
    return BROKEN if len(late) > ALLOWED_COUNT else HELD


async def bystanders(gateways, ends, record):
    """Send sound requests of another customer, three a second."""
    tasks = set()
    number = 0
    while True:
        number += 1
        request = f"s{number:03}"

        async def one(request=request, gateway=gateways[number % len(gateways)]):
            ends[request] = await send(
                gateway, request, f"/hold/{request}", "key-of-guild", record
            )

        tasks.add(asyncio.create_task(one()))
        await asyncio.sleep(0.33)


async def send(gateway, request, path, key, record):
    """Send a request on a new connection; return the status of its answer or ``None``."""
    headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", request),
        ("Deadline-Ms", 7900),
        ("Credential", key),
    ]
    client = Client(gateway.address)
    try:
        answer = await client.request("POST", path, headers, b"the same body")
        status = answer.status
    except (OSError, asyncio.IncompleteReadError):
        status = None
    finally:
        client.close()
    record(f"client: {request} to {gateway.name}: {status}")
    return status


run_case(case, FOLDER)
