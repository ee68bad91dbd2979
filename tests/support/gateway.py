"""A gateway for tests, with stand-ins for the store and the workers."""

import asyncio
import socket
from contextlib import asynccontextmanager

import aiohttp
import logbook

from waxwinghold._decisions.copy_age import copy_limits
from waxwinghold._gateway.gateway import Gateway
from waxwinghold._gateway.settings import GatewaySettings
from waxwinghold.platform.codec import PlatformCodec
from waxwinghold.platform.store import StoreWatcher
from waxwinghold_standins.fleet_store import FleetStore, route_entry, worker_entry
from waxwinghold_standins.fleet_worker import FleetWorker

from .ports import free_port
from .process_time_loop import loop_clock

HOST = "shop.example"
KEY = "key-of-a-customer"
READY_LIMIT_S = 5.0
# Of the deployments, the shortest time until a change has to be in force everywhere.
CONFIGURATION_LIMIT_MS = 2000.0
REVOCATION_LIMIT_MS = 5000.0


def limits_within(limit_ms):
    """Return the ``CopyLimits`` with which changes are in force within ``limit_ms``."""
    return copy_limits(
        in_force_limits_ms=(limit_ms,), keys_limit_ms=REVOCATION_LIMIT_MS
    )


COPY_LIMITS = limits_within(CONFIGURATION_LIMIT_MS)


class FakeClock:
    """A clock that tests set by hand."""

    def __init__(self, now_ms=1_000_000.0):
        self.time_ms = now_ms

    def now_ms(self):
        return self.time_ms

    def wall_ms(self):
        return int(self.time_ms)


def configuration(version=1, routes=(), tenants=None, **fields):
    """Return a configuration in the format that operators write."""
    if tenants is None:
        tenants = [{"name": "a-customer", "api-keys": [KEY], "priority": 1}]
    return {
        "version": version,
        "routes": list(routes) or standard_routes(),
        "services": [{"name": "models", "max-conns": 50}],
        "tenants": tenants,
        **fields,
    }


def standard_routes():
    """Return a route of each kind, all to the service ``models``."""
    stream = {"resumable": True, "gap-goal-ms": 120, "timeout-ms": 8000}
    return [
        route_entry(name="safe", prefix="/safe/", kind="safe", service="models"),
        route_entry(
            name="unsafe",
            prefix="/unsafe/",
            kind="unsafe",
            service="models",
            **{"max-attempts": 1},
        ),
        route_entry(
            name="stream", prefix="/stream/", kind="stream", service="models", **stream
        ),
        route_entry(name="once", prefix="/once/", kind="stream", service="models"),
    ]


def make_gateway(
    *,
    name,
    store,
    port,
    readiness_port,
    peers_port,
    ip="127.0.0.1",
    data_centre="dc-a",
    **settings,
):
    """Return a ``Gateway`` that reads ``store`` and serves callers at ``ip``.

    Args:
        store: The ``FleetStore``, or another object with its ``address``.
        port: TCP port for callers.
        readiness_port: TCP port for readiness checks.
        peers_port: UDP port of all gateways.
        settings: Further fields of the ``GatewaySettings``.
    """
    clock = loop_clock()

    def make_source(published, readers):
        return StoreWatcher(
            clock=clock, published=published, readers=readers, address=store.address
        )

    return Gateway(
        clock=clock,
        settings=GatewaySettings(
            name=name,
            data_centre=data_centre,
            callers_address=f"{ip}:{port}",
            readiness_address=f"{ip}:{readiness_port}",
            store_address="{}:{}".format(*store.address),
            peers_ip=ip,
            peers_port=peers_port,
            **settings,
        ),
        codec=PlatformCodec(),
        make_source=make_source,
    )


class GatewayFixture:
    """Runs a gateway with a stand-in of the store and of several workers.

    Args:
        behaviours: One behaviour of a ``FleetWorker`` for each worker.
        settings: Further fields of the ``GatewaySettings``.

    Attributes:
        workers: The ``FleetWorker`` stand-ins, in the order of their names.
        task: The task that runs the gateway.
    """

    def __init__(self, *, behaviours, **settings):
        self.store = FleetStore()
        self.workers = [
            FleetWorker(name=f"w{number}", behaviour=behaviour)
            for number, behaviour in enumerate(behaviours)
        ]
        self.port = free_port()
        self.readiness_port = free_port()
        self._settings = settings
        self.gateway = None
        self.task = None

    @asynccontextmanager
    async def open(self):
        """Run the store, the workers and the gateway until the end of the block."""
        handler = logbook.NullHandler()
        handler.push_application()
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.register_worker(worker)
        self.store.put("op/config", configuration())
        self.start_gateway()
        try:
            await self.wait_ready()
            yield self
        finally:
            await self.stop_gateway()
            for server in (self.store, *self.workers):
                await server.stop()
            handler.pop_application()

    def register_worker(self, worker, **fields):
        """Register ``worker`` in the store."""
        entry = worker_entry(service="models", address=worker.address, **fields)
        self.store.put(f"servers/{worker.name}", entry)

    def start_gateway(self):
        self.gateway = make_gateway(
            name="gateway-1",
            store=self.store,
            port=self.port,
            readiness_port=self.readiness_port,
            peers_port=free_port(socket.SOCK_DGRAM),
            **self._settings,
        )
        self.task = asyncio.create_task(self.gateway.run())

    async def stop_gateway(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.gateway.close()

    async def wait_ready(self):
        """Wait until the gateway is ready and has all workers as targets."""
        async with asyncio.timeout(READY_LIMIT_S):
            while await self.readiness() != 200 or len(
                list(self.gateway.target_pool)
            ) < len(self.workers):
                await asyncio.sleep(0.01)
        # Another process may have taken the free port; its gateway would answer.
        await asyncio.sleep(0)
        if self.task.done():
            await self.task

    async def readiness(self):
        """Return the status of the readiness check, or ``None`` without an answer."""
        try:
            async with aiohttp.ClientSession() as session:
                url = f"http://127.0.0.1:{self.readiness_port}/v1/readyz"
                async with session.get(url) as answer:
                    return answer.status
        except aiohttp.ClientError:
            return None

    async def call(self, path, *, method="GET", request_id="r-1", **headers):
        """Send a request to the gateway.

        Args:
            headers: Headers to send, with ``_`` for ``-``; ``None`` to leave one out.

        Returns:
            ``(status, headers, body)``; the body is ``None`` if it is incomplete.
        """
        sent = {"Host": HOST, "Attempt-Id": request_id, "Credential": KEY}
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        sent = {name: value for name, value in sent.items() if value is not None}
        url = f"http://127.0.0.1:{self.port}{path}"
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            async with session.request(method, url, headers=sent) as answer:
                try:
                    body = await answer.read()
                except aiohttp.ClientError:
                    body = None
                return answer.status, answer.headers, body

    def runs_count(self, request_id="r-1"):
        """Return how many times the workers ran the request."""
        return sum(worker.runs.count(request_id) for worker in self.workers)


async def read_until_end(reader):
    """Return what arrives until the connection ends or is reset."""
    parts = []
    try:
        async with asyncio.timeout(5.0):
            while data := await reader.read(65536):
                parts.append(data)
    except ConnectionError:
        pass
    return b"".join(parts)
