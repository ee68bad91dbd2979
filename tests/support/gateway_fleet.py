"""Several gateways for tests, with workers that some requests crash."""

import asyncio
import collections
import itertools
import socket
from contextlib import asynccontextmanager

import aiohttp
import logbook

from waxwinghold_standins.fleet_store import FleetStore, worker_entry
from waxwinghold_standins.fleet_worker import FleetWorker

from .gateway import HOST, KEY, READY_LIMIT_S, configuration, make_gateway
from .ports import free_port
from .wire import Wire

_Address = collections.namedtuple("_Address", "address")


class GatewayFleet:
    """Runs gateways on loopback addresses of their own, and workers.

    Args:
        gateways_count: Number of gateways.
        workers_count: Number of workers.
        settings: Further fields of the ``GatewaySettings``.
        data_centres: The data centre of each gateway; all are in one by default.
        worker_data_centres: The same for the workers.
        worker: Options of each ``FleetWorker``.

    Attributes:
        gateways: The running ``Gateway`` objects.
        workers: The ``FleetWorker`` stand-ins.
    """

    def __init__(
        self,
        *,
        gateways_count,
        workers_count,
        settings=None,
        data_centres=None,
        worker_data_centres=None,
        **worker,
    ):
        self._settings = settings or {}
        self.store = FleetStore()
        self.workers = [
            FleetWorker(name=f"w{number}", on_restart=self._replace_worker, **worker)
            for number in range(workers_count)
        ]
        self.ips = [f"127.0.1.{number + 1}" for number in range(gateways_count)]
        self.gateways = [None] * gateways_count
        self._tasks = [None] * gateways_count
        self._data_centres = data_centres or ["dc-a"] * gateways_count
        self._worker_zones = {
            worker.name: zone
            for worker, zone in zip(
                self.workers, worker_data_centres or ["dc-a"] * workers_count
            )
        }
        self._store_wires = []
        self._cut_indexes = set()
        self._port = free_port()
        self._readiness_port = free_port()
        self._peers_port = free_port(socket.SOCK_DGRAM)
        self._request_ids = (f"r-{number}" for number in itertools.count())

    @asynccontextmanager
    async def open(self):
        """Run the store, the workers and the gateways until the end of the block."""
        handler = logbook.NullHandler()
        handler.push_application()
        await self.store.start()
        for _ in self.gateways:
            wire = Wire(port=self.store.address[1])
            await wire.start()
            self._store_wires.append(wire)
        for worker in self.workers:
            await worker.start()
            self._register(worker)
        self.store.put("op/config", configuration())
        for index in range(len(self.gateways)):
            self.start_gateway(index)
        try:
            await self.wait_ready()
            yield self
        finally:
            for index in range(len(self.gateways)):
                await self.stop_gateway(index)
            for server in (*self._store_wires, self.store, *self.workers):
                await server.stop()
            handler.pop_application()

    def start_gateway(self, index):
        gateway = make_gateway(
            name=f"gateway-{index}",
            store=_Address(address=("127.0.0.1", self._store_wires[index].port)),
            data_centre=self._data_centres[index],
            ip=self.ips[index],
            port=self._port,
            readiness_port=self._readiness_port,
            peers_port=self._peers_port,
            seeds=tuple(f"{ip}:1" for ip in self.ips[:2]),
            **self._settings,
        )
        self.gateways[index] = gateway
        send_data = gateway.peers.send_data

        def send_if_connected(ip, data):
            if not self._is_cut(index, ip):
                send_data(ip, data)

        gateway.peers.send_data = send_if_connected
        self._tasks[index] = asyncio.create_task(gateway.run())

    def cut_store(self, *indexes):
        """Cut gateways off from the store."""
        for index in indexes:
            self._store_wires[index].cut()

    def cut_off(self, *indexes):
        """Cut gateways off from the store and from the other gateways."""
        self.cut_store(*indexes)
        self._cut_indexes.update(indexes)

    def heal(self):
        """End all cuts."""
        self._cut_indexes.clear()
        for wire in self._store_wires:
            wire.restore()

    def _is_cut(self, index, ip):
        other = self.ips.index(ip) if ip in self.ips else None
        return (index in self._cut_indexes) != (other in self._cut_indexes)

    async def stop_gateway(self, index):
        """End a gateway at once, as a kill does."""
        self._tasks[index].cancel()
        await asyncio.gather(self._tasks[index], return_exceptions=True)
        await self.gateways[index].close()

    async def wait_ready(self):
        """Wait until every gateway knows the workers and the other gateways."""
        async with asyncio.timeout(READY_LIMIT_S):
            while not all(map(self._is_complete, self.gateways)):
                await asyncio.sleep(0.01)

    def _is_complete(self, gateway):
        has_targets = len(list(gateway.target_pool)) >= len(self.workers)
        return has_targets and gateway.peers.gateways_count == len(self.gateways)

    async def stream(self, index, *parts, key=KEY):
        """Send a stream request with these prompt parts and one of its own.

        Args:
            index: Number of the gateway.

        Returns:
            ``(status, body)``; the body is ``None`` if it is incomplete.
        """
        request_id = next(self._request_ids)
        entries = [f"{part}:40" for part in (*parts, f"own-{request_id}")]
        headers = {"Credential": key, "Prompt-Prefix": ",".join(entries)}
        status, body, _ = await self.call(
            index, "/stream/a", method="POST", data=request_id, headers=headers
        )
        return status, body

    async def call(self, index, path, *, method="GET", data=None, headers=None):
        """Send a request, with an id of its own.

        Args:
            index: Number of the gateway.

        Returns:
            ``(status, body, headers)`` of the answer; the first two are ``None`` if
            it is incomplete.
        """
        sent = {
            "Host": HOST,
            "Attempt-Id": next(self._request_ids),
            "Credential": KEY,
            "Deadline-Ms": "8000",
            **(headers or {}),
        }
        url = f"http://{self.ips[index]}:{self._port}{path}"
        async with aiohttp.ClientSession() as session:
            try:
                async with session.request(
                    method, url, headers=sent, data=data
                ) as answer:
                    return answer.status, await answer.read(), answer.headers
            except aiohttp.ClientError:
                return None, None, {}

    def crash_times_s(self):
        """Return when workers crashed, in order."""
        return sorted(time for worker in self.workers for time in worker.crash_times_s)

    def arrivals(self, part):
        """Return the time of each arrival of a request with the part at a worker."""
        return sorted(
            request.arrived_s
            for worker in self.workers
            for request in worker.requests
            if part in request.headers.get("prompt-prefix", "")
        )

    def path_arrivals(self, path):
        """Return the time of each arrival of a request for ``path`` at a worker."""
        return sorted(
            request.arrived_s
            for worker in self.workers
            for request in worker.requests
            if request.path == path
        )

    def _register(self, worker):
        zone = self._worker_zones.get(worker.name, "dc-a")
        entry = worker_entry(service="models", address=worker.address, zone=zone)
        self.store.put(f"servers/{worker.name}", entry)

    def _replace_worker(self, worker):
        previous = worker.previous_name
        self.store.delete(f"servers/{previous}")
        self._register(worker)
