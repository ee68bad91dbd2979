"""Case 9: a stream that crashes workers after its first event is never recognised."""

import asyncio
import os
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
    answer_bytes,
    configuration,
    free_ports,
    read_head,
    route,
    run_case,
    worker_entry,
)

GROUPS_COUNT, RANKS_COUNT = 3, 4
EVENTS_COUNT, EVENT_S = 10, 0.06
ROUNDS_COUNT, ROUND_S = 6, 6.0  # The client comes again with the same request.
BACK_S, FORM_S = 2.0, 0.6  # A crashed rank is back, and its group opens again.
SILENCE_S = 3.6  # The store drops an entry after three heartbeats.
STALL_S = 1.5  # stall_ms of the site.
CONTACT_S = BOUNDS["contact-ms"] / 1000
ALLOWED_COUNT = 3  # BUDGET: "in more than three retries"
DEADLY = b"deadly prompt"
# For comparison: with EARLY=1 a worker crashes before its first event leaves.
EARLY = os.environ.get("EARLY") == "1"


class Group:
    """The ranks of one group: if one is lost, the others stall until it is back."""

    def __init__(self):
        self.is_open = True


class Rank(Worker):
    def __init__(self, *, site, group, **options):
        super().__init__(slots=6, work_s=0.0, service="fit-assist", **options)
        self.site, self.group = site, group

    async def work(self, first, headers, echo, body, reader, writer):
        request = headers["attempt-id"]
        first_number = int(headers.get("last-event-id", 0)) + 1
        if not await self.wait_open():
            rejection = [*echo, ("Not-Executed", "1")]
            writer.write(answer_bytes(503, rejection))
            return True
        is_deadly = TROUBLE and body == DEADLY
        self.runs.append(request)
        self._record(f"{self.name}: runs {request}")
        if body == DEADLY:
            self.site.reached_s.append(time.monotonic())
        seal = ("Server-Seal", f"{self.name}.{request}")
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in [*echo, seal])]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first_number, EVENTS_COUNT + 1):
            await asyncio.sleep(EVENT_S)
            if is_deadly and EARLY:
                self.site.crash(self, request)
                return False
            if not await self.wait_open():
                return False  # The work is cut off.
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if is_deadly:
                await asyncio.sleep(EVENT_S / 2)
                self.site.crash(self, request)
                return False
        writer.write(b"0\r\n\r\n")
        self.answered.append(request)
        return True

    async def wait_open(self):
        end_s = time.monotonic() + STALL_S
        while not self.group.is_open:
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.01)
        return True


class Site:
    """The workers of the service and their entries in the store."""

    def __init__(self, store, record):
        self._store, self._record = store, record
        self._count = 0
        self._tasks = []
        self.crashes_s = []
        self.reached_s = []  # When a worker began to run the deadly request.
        self.ranks = []
        self.all_ranks = []

    async def add(self, group):
        self._count += 1
        name = f"i-fit{self._count}"
        rank = Rank(site=self, group=group, name=name, record=self._record)
        await rank.listen()
        self.ranks.append(rank)
        self.all_ranks.append(rank)
        self._store.put(f"servers/{rank.name}", worker_entry(rank))

    def crash(self, rank, request):
        if rank not in self.ranks:
            return
        self.ranks.remove(rank)
        rank.group.is_open = False
        self.crashes_s.append(time.monotonic())
        self._record(f"{rank.name}: crashed by {request}")
        rank.stop()
        self._tasks.append(asyncio.create_task(self._replace(rank)))

    async def _replace(self, rank):
        await asyncio.sleep(BACK_S)
        await self.add(rank.group)
        await asyncio.sleep(FORM_S)
        rank.group.is_open = True
        await asyncio.sleep(SILENCE_S - BACK_S - FORM_S)
        self._store.delete(f"servers/{rank.name}")


async def case(record):
    store = Store()
    await store.listen()
    site = Site(store, record)
    for _ in range(GROUPS_COUNT):
        group = Group()
        for _ in range(RANKS_COUNT):
            await site.add(group)
    stream = route(
        name="plan",
        prefix="/plan/",
        kind="stream",
        service="fit-assist",
        resumable=True,
        **{"max-attempts": 2, "gap-goal-ms": 120},
    )
    once = route(
        name="once",
        prefix="/once/",
        kind="stream",
        service="fit-assist",
        **{"gap-goal-ms": 120},
    )
    store.put(
        "op/config",
        configuration(
            version=3,
            routes=[stream, once],
            services=[{"name": "fit-assist", "max-conns": 258}],
            tenants=[
                {"name": "guild", "api-keys": ["key-of-guild"]},
                {"name": "shop", "api-keys": ["key-of-shop"]},
            ],
        ),
    )
    port = free_ports("127.0.0.1", 1)[0]
    gateway = Node(
        role="gateway",
        name="edge-nadi-a-1",
        ip="127.0.0.1",
        zone="nadi-a",
        store=store.address,
        seeds=["127.0.0.1:8229"],
        port_range=[port, port + 15],
        record=record,
    )
    ends = {}
    try:
        await gateway.start()
        await gateway.wait_ready()
        others = asyncio.create_task(bystanders(gateway, ends, record))
        await asyncio.sleep(CONTACT_S + 1)
        for number in range(ROUNDS_COUNT):
            await send(gateway, f"d{number}", "key-of-shop", DEADLY, record)
            await asyncio.sleep(ROUND_S)
        others.cancel()
        await asyncio.sleep(2.0)
    finally:
        await gateway.kill()
    crashes_s = site.crashes_s
    late = []
    if len(crashes_s) >= 3:
        late = [at_s for at_s in site.reached_s if at_s > crashes_s[2] + CONTACT_S]
    ran = {request for rank in site.all_ranks for request in rank.runs}
    lost = [name for name, end in ends.items() if end != "whole" and name in ran]
    record(
        f"{len(crashes_s)} crashes; run by a worker later than contact-ms after the "
        f"third one: {len(late)} times; streams of others lost after they began to run: "
        f"{len(lost)} of {len(ends)}"
    )
    for line in gateway.output.read_text().splitlines():
        if "blocked" in line:
            record(f"log: {line}")
    return BROKEN if len(late) > ALLOWED_COUNT else HELD


async def bystanders(gateway, ends, record):
    """Send sound streams of another customer, ten a second, that may run once only."""
    tasks = set()
    number = 0
    while True:
        number += 1
        request = f"s{number:03}"

        async def one(request=request):
            body = b"prompt " + request.encode()
            ends[request] = await send(
                gateway, request, "key-of-guild", body, record, path="/once/1"
            )

        tasks.add(asyncio.create_task(one()))
        await asyncio.sleep(0.1)


async def send(gateway, request, key, body, record, path="/plan/1"):
    """Send a request for a stream on a new connection; return how it ended."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        f"Attempt-Id: {request}",
        "Deadline-Ms: 7900",
        f"Credential: {key}",
        f"Content-Length: {len(body)}",
    ]
    reader, writer = await asyncio.open_connection(*gateway.address)
    events_count, end = 0, "broken"
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        first, headers = await read_head(reader)
        status = int(first.split()[1])
        if status != 200:
            end = f"answered {status}"
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                data = await reader.readexactly(size + 2)
                events_count += data.count(b"id: ")
            end = "whole" if events_count == EVENTS_COUNT else "wrong"
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    record(f"client: {request} {end}, {events_count} events")
    return end


run_case(case, FOLDER)
