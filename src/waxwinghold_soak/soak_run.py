"""One seeded run: real gateways and agents with stand-ins for everything else."""

import asyncio
import contextlib
import random
import socket
import tempfile
from collections import Counter
from pathlib import Path

from waxwinghold_standins.fleet_rank_server import FleetRankServer
from waxwinghold_standins.fleet_ranks import FleetGroup
from waxwinghold_standins.fleet_store import FleetStore

from .callers import Caller
from .checker import GuaranteeChecker, OperatorTimeline
from .faults import FAULTS, inject
from .operator import Operator
from .processes import Program
from .proxy import Proxy
from .workers import SoakWorker

GATEWAYS_COUNT = 3
WORKERS_COUNT = 4
RANKS_COUNT = 3
CALLERS_PER_GATEWAY_COUNT = 4
START_LIMIT_S = 20.0
STEP_INTERVAL_S = 0.02
STALL_S = 0.1  # Later than this, a timer shows that the host ran other processes.
# Longer than a gateway may keep sending requests to a draining worker.
DRAINING_WORKER_S = 4.0
# Held steps, silent connections and rejected keys last for some seconds after
# the last fault.
SETTLING_S = 10.0
RECOVERY_S = 3.0


class SoakRun:
    """Runs a fleet under faults for one seed and reports violated guarantees.

    Args:
        seed: Seed of the faults, their times and the callers' requests.
        duration_s: How long faults are injected, in seconds.
        settings: Settings that override the defaults of every gateway.
        fault_names: Names of the faults to inject; all by default.

    Attributes:
        faults: Names of the faults injected so far, in order.
        workers: Every ``SoakWorker`` that was started, past ones included.
        listed_workers: The workers that are listed as ready.
    """

    def __init__(self, *, seed, duration_s, settings=None, fault_names=None):
        self._rng = random.Random(seed)
        self._seed = seed
        self._duration_s = duration_s
        self._settings = settings or {}
        self._network_prefix = f"127.{20 + seed % 200}"
        self._active_faults = Counter()
        self.faults = []
        self.fault_names = fault_names or tuple(FAULTS)
        self.timeline = OperatorTimeline()
        self.store = FleetStore()
        self.group = FleetGroup(ranks_count=RANKS_COUNT)
        self.operator = Operator(store=self.store, timeline=self.timeline)
        self.workers, self.listed_workers = [], []
        self.store_proxies, self.worker_proxies = [], []
        self.gateways, self.agents, self.rank_servers = [], [], []
        self.checker = GuaranteeChecker(timeline=self.timeline, workers=self.workers)

    def record_fault(self, name):
        """Record the name of an injected fault for the report."""
        self.faults.append(name)

    async def run(self):
        """Run to the end and return the violations as texts."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start(Path(folder))
                await self._run_callers_and_faults()
                self.checker.check_record()
                self._check_maps()
                failures = _logged_failures(Path(folder))
            finally:
                await self._close()
        return self.checker.violations + failures

    @contextlib.contextmanager
    def store_fault(self):
        """Mark the ``with`` block as a fault of the store, which excuses delays."""
        with self._fault_period("store_fault_until"):
            yield

    @contextlib.contextmanager
    def link_fault(self):
        """Mark the ``with`` block as a fault of links, which excuses broken streams."""
        with self._fault_period("link_fault_until"):
            yield

    @contextlib.contextmanager
    def _fault_period(self, end_field):
        """Record the end of the block in the timeline; infinity while it lasts.

        Blocks may overlap; the end of the last one is recorded.
        """
        self._active_faults[end_field] += 1
        setattr(self.timeline, end_field, float("inf"))
        try:
            yield
        finally:
            self._active_faults[end_field] -= 1
            if not self._active_faults[end_field]:
                now = asyncio.get_running_loop().time()
                setattr(self.timeline, end_field, now)

    async def replace_worker(self, index, *, announced):
        """Replace a listed worker by a new one.

        Args:
            index: Index of the worker in ``listed_workers``.
            announced: Whether its entry is set to draining first; otherwise the
                entry is removed at once.
        """
        old_worker = self.listed_workers[index]
        new_worker = await self._add_worker()
        self.listed_workers[index] = new_worker
        if announced:
            self.operator.list_worker(
                old_worker, old_worker.listed_address, state="draining"
            )
        else:
            self.operator.remove(old_worker.name)
            self.timeline.leaving_at[old_worker.name] = (
                asyncio.get_running_loop().time()
            )
        await asyncio.sleep(DRAINING_WORKER_S)
        self.operator.remove(old_worker.name)

    async def _start(self, folder):
        await self.store.start()
        self.operator.publish()
        for _ in range(WORKERS_COUNT):
            self.listed_workers.append(await self._add_worker())
        peers_port = _free_port(f"{self._network_prefix}.1.1")
        for number in range(GATEWAYS_COUNT):
            await self._add_gateway(number, peers_port, folder)
        for rank in self.group.ranks:
            await self._add_agent(rank, peers_port, folder)
        await asyncio.gather(
            *(program.start() for program in self.gateways + self.agents)
        )
        async with asyncio.timeout(START_LIMIT_S):
            for gateway in self.gateways:
                await until_ready(gateway)

    async def _add_worker(self):
        number = len(self.workers)
        worker = SoakWorker(name=f"w{number}", seed=self._rng.random())
        await worker.start()
        proxy = Proxy(name=worker.name, server_address=worker.address)
        await proxy.start()
        worker.listed_address = proxy.address
        self.workers.append(worker)
        self.worker_proxies.append(proxy)
        self.operator.list_worker(worker, worker.listed_address)
        return worker

    async def _add_gateway(self, number, peers_port, folder):
        proxy = Proxy(
            name=f"store of gateway {number}", server_address=self.store.address
        )
        await proxy.start()
        self.store_proxies.append(proxy)
        ip = f"{self._network_prefix}.1.{number + 1}"
        settings = {
            "name": f"gateway-{number}",
            "data_centre": "dc-a" if number else "dc-b",
            "callers_address": f"{ip}:{_free_port(ip)}",
            "readiness_address": f"{ip}:{_free_port(ip)}",
            "store_address": "{}:{}".format(*proxy.address),
            "peers_ip": ip,
            "peers_port": peers_port,
            # Only the IP address of a seed is used.
            "seeds": [f"{self._network_prefix}.1.1:1", f"{self._network_prefix}.1.2:1"],
            "strict_keys": True,
            **self._settings,
        }
        program = Program(role="gateway", settings=settings, folder=folder)
        self.gateways.append(program)

    async def _add_agent(self, rank, peers_port, folder):
        ip = f"{self._network_prefix}.2.{rank.rank + 1}"
        server = FleetRankServer(rank=rank)
        await server.start(ip)
        self.rank_servers.append(server)
        self.operator.list_rank(f"rank-{rank.rank}", server.address)
        settings = {
            "name": f"agent-{rank.rank}",
            "data_centre": "dc-a",
            "target_address": "{}:{}".format(*server.address),
            "service": "ranks",
            "store_address": "{}:{}".format(*self.store.address),
            "peers_ip": ip,
            "peers_port": peers_port,
            "seeds": [f"{self._network_prefix}.1.1:1"],
        }
        self.agents.append(Program(role="agent", settings=settings, folder=folder))

    async def _run_callers_and_faults(self):
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.create_task(self._run_group_steps()),
            asyncio.create_task(self._watch_stalls()),
        ]
        for gateway in self.gateways:
            for _ in range(CALLERS_PER_GATEWAY_COUNT):
                caller = Caller(
                    program=gateway,
                    operator=self.operator,
                    checker=self.checker,
                    seed=self._rng.random(),
                )
                tasks.append(asyncio.create_task(caller.run()))
        try:
            end_at = loop.time() + self._duration_s
            await inject(self, rng=self._rng, until=end_at)
            await self._end_faults()
            await asyncio.sleep(SETTLING_S)
            settled_at = loop.time()
            await asyncio.sleep(RECOVERY_S)
            self.checker.check_recovery(settled_at)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _end_faults(self):
        """End every fault that still lasts and start every missing process."""
        for program in self.gateways + self.agents:
            program.resume()
            await program.start()
        for proxy in self.store_proxies + self.worker_proxies:
            proxy.fault = "none"

    async def _run_group_steps(self):
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            self.group.begin_step()

    async def _watch_stalls(self):
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + STEP_INTERVAL_S
            await asyncio.sleep(STEP_INTERVAL_S)
            if loop.time() - due_at > STALL_S:
                self.timeline.stalls.append((due_at, loop.time()))

    def _check_maps(self):
        if self.group.mixed_count:
            self.checker.violations.append(
                f"MAP: {self.group.mixed_count} steps with mixed maps"
            )

    async def _close(self):
        programs = self.gateways + self.agents
        await asyncio.gather(*(program.close() for program in programs))
        servers = [*self.store_proxies, *self.worker_proxies, *self.rank_servers]
        for server in (*servers, *self.workers, self.store):
            await server.stop()


async def until_ready(gateway):
    """Wait until a gateway's readiness endpoint answers with status 200.

    Args:
        gateway: The ``Program`` of the gateway.
    """
    ip, port = gateway.settings["readiness_address"].split(":")
    while True:
        await asyncio.sleep(0.05)
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            continue
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        status_line = await reader.readline()
        writer.close()
        if b" 200 " in status_line:
            return


def _logged_failures(folder):
    """Return the lines in the logs that report failed tasks or tracebacks."""
    failures = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if "a task failed" in line or "Traceback" in line:
                failures.append(f"LOG: {path.stem}: {line[:400]}")
    return failures


def _free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
