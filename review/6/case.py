"""Case 6: a caller gets a success into which the answer to another request was filled."""

import asyncio
import random
import sys
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
    route,
    run_case,
    worker_entry,
)

WORKERS_COUNT = 2  # One of them is faulty: a share of 0.5.
GARBLED_SHARE = 0.03
BODY_BYTES = 800
PAUSE_S = 0.02  # The extra answer comes so long after the answer that broke off.
LATE_S = 1.0  # It was first given on the same connection at most so long before.
CLIENTS_COUNT = 4
RUN_S = 8.0
GARBLE_S = (1.0, 6.0)  # The worker is faulty from and until then: for 5 s.
TENANTS = ("guild", "shop")
SEED = 48


class Desk(Worker):
    """A worker of which some answers break off, with an extra answer behind them.

    It takes the answer that it broke off for ended. The extra answer is one that it gave
    on the same connection before, unchanged: its ``Attempt-Id`` names that request.
    """

    is_faulty = False
    garbled_count = 0
    began_s = 0.0  # When the clients began.
    rng = random.Random(SEED)

    def is_garbling(self, now_s):
        begin_s, end_s = GARBLE_S
        return self.is_faulty and begin_s <= now_s - Desk.began_s < end_s

    async def work(self, first, headers, echo, body, reader, writer):
        request = headers["attempt-id"]
        self.runs.append(request)
        await asyncio.sleep(0.005)
        seal = ("Server-Seal", f"{self.name}.{request}")
        load = ("Server-Load", f"0,0,{self.slots}")
        content = body_of(headers["tenant"], request)
        answer = answer_bytes(200, [*echo, seal, load], content)
        given = self.given.setdefault(writer, [])
        now_s = asyncio.get_running_loop().time()
        given[:] = [late for late in given if now_s - late[0] < LATE_S]
        given.append((now_s, request, answer))
        if self.is_garbling(now_s) and len(given) > 1 and self.rng.random() < GARBLED_SHARE:
            self.garbled_count += 1
            cut = self.rng.randrange(1, BODY_BYTES)
            index = self.rng.randrange(len(given) - 1)
            late_s, late_request, late = given[index]
            self._record(
                f"{self.name}: {request} broken off {cut} bytes before its end; then the "
                f"answer to {late_request} again, {len(given) - 1 - index} requests and "
                f"{now_s - late_s:.2f} s before"
            )
            writer.write(answer[:-cut])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            answer = late
        writer.write(answer)
        await writer.drain()
        return True


def body_of(tenant, request):
    """Return the body of the answer to a request of a tenant."""
    return (f"{tenant}:{request} " * BODY_BYTES)[:BODY_BYTES].encode()


async def case(record):
    store = Store()
    await store.listen()
    for number in range(WORKERS_COUNT):
        worker = Desk(
            name=f"i-desk{number}",
            service="book-desk",
            slots=6,
            work_s=0.0,
            record=record,
        )
        worker.given = {}
        worker.is_faulty = TROUBLE and number == 0
        await worker.listen()
        store.put(f"servers/{worker.name}", worker_entry(worker))
    store.put(
        "op/config",
        configuration(
            version=3,
            routes=[
                route(
                    name="look",
                    prefix="/look/",
                    kind="safe",
                    service="book-desk",
                    **{"max-attempts": 2, "timeout-ms": 800},
                )
            ],
            services=[{"name": "book-desk", "max-conns": 110}],
            tenants=[
                {"name": name, "api-keys": [f"key-of-{name}"]} for name in TENANTS
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
    counts = {"asked": 0, "whole": 0, "failed": 0, "wrong": 0, "other tenant's": 0}
    try:
        await gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(BOUNDS["contact-ms"] / 1000)
        Desk.began_s = asyncio.get_running_loop().time()
        end_s = Desk.began_s + RUN_S
        await asyncio.gather(
            *(client(gateway, n, end_s, counts, record) for n in range(CLIENTS_COUNT))
        )
    finally:
        await gateway.kill()
    record(f"{counts}")
    return BROKEN if counts["wrong"] else HELD


async def client(gateway, number, end_s, counts, record):
    """Ask again and again on one connection, and check each answer."""
    connection = Client(gateway.address)
    tenant = TENANTS[number % len(TENANTS)]
    while asyncio.get_running_loop().time() < end_s:
        counts["asked"] += 1
        request = f"c{number}-{counts['asked']:05}"
        headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", request),
            ("Deadline-Ms", 1500),
            ("Credential", f"key-of-{tenant}"),
        ]
        try:
            answer = await connection.request("GET", "/look/1", headers)
        except (OSError, asyncio.IncompleteReadError):
            connection.close()
            counts["failed"] += 1
            record(f"client: {request} without an answer")
            continue
        whole = body_of(tenant, request)
        if answer.status != 200:
            counts["failed"] += 1
            record(f"client: {request} answered {answer.status}")
        elif answer.body == whole and answer.headers["attempt-id"] == request:
            counts["whole"] += 1
            record(f"client: {request} whole, {answer.headers['server-seal']}")
        else:
            counts["wrong"] += 1
            others = [name for name in TENANTS if name != tenant]
            counts["other tenant's"] += any(
                f"{name}:".encode() in answer.body for name in others
            )
            pairs = enumerate(zip(answer.body, whole))
            at = next((i for i, (a, b) in pairs if a != b), len(answer.body))
            record(
                f"client: {request} gets 200, seal {answer.headers.get('server-seal')}, "
                f"{len(answer.body)} bytes; from byte {at} on: {answer.body[at:at + 160]!r}"
            )
        await asyncio.sleep(0.02)


run_case(case, FOLDER)
