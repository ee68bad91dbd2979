"""A gateway as a separate operating system process, with stand-ins beside it."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import socket
import sys
import tempfile

from waxwinghold_standins.fleet_store import FleetStore, worker_entry
from waxwinghold_standins.fleet_worker import FleetWorker

from .gateway import HOST, KEY, configuration, standard_routes
from .ports import free_port

HOST_DESCRIPTORS_COUNT = 4100  # Of the hosts that have a gateway.
START_LIMIT_S = 30.0
ANSWER_LIMIT_S = 30.0  # Unread answers are given up after 60 s.
RETRY_INTERVAL_S = 0.5
ROUTES_TIMEOUT_MS = 120_000  # No request of a crowd ends by itself.
SMALL_WINDOW_BYTES = 4096  # The kernel would take in several MB of an answer.


def peak_memory_bytes(pid):
    """Return the highest resident memory that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024


def descriptors_count(pid):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class GatewayProcess:
    """Runs ``python -m waxwinghold.platform gateway`` with a store and one worker.

    Args:
        slots_count: Number of requests that the worker says it can run at once.

    Attributes:
        worker: The ``FleetWorker``, whose behaviour tests change.
        port: TCP port for callers.
    """

    def __init__(self, *, slots_count):
        self.worker = FleetWorker(name="w0")
        self.port = free_port()
        self._store = FleetStore()
        self._slots_count = slots_count
        self._process = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Run everything inside an ``async with`` block, once requests are served."""
        await self._store.start()
        await self.worker.start()
        self._store.put(
            f"servers/{self.worker.name}",
            worker_entry(
                service="models", address=self.worker.address, slots=self._slots_count
            ),
        )
        routes = [
            route | {"timeout-ms": ROUTES_TIMEOUT_MS} for route in standard_routes()
        ]
        self._store.put("op/config", configuration(routes=routes))
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(json.dumps(self._document()))
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "waxwinghold.platform",
                "gateway",
                env=os.environ
                | {
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    "WAXWINGHOLD_NODE_FILE": str(path),
                },
                preexec_fn=_limit_descriptors,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                async with asyncio.timeout(START_LIMIT_S):
                    await self.until_answered()
                yield self
            finally:
                if self.is_alive():
                    self._process.kill()
                await self._process.wait()
                await self.worker.stop()
                await self._store.stop()

    def _document(self):
        return {
            "name": "gateway-1",
            "data_centre": "dc-a",
            "callers_address": f"127.0.0.1:{self.port}",
            "readiness_address": f"127.0.0.1:{free_port()}",
            "store_address": "{}:{}".format(*self._store.address),
            "peers_ip": "127.0.0.1",
            "peers_port": free_port(socket.SOCK_DGRAM),
        }

    def is_alive(self):
        """Return whether the process runs."""
        return self._process.returncode is None

    @property
    def pid(self):
        """The id of the process."""
        return self._process.pid

    async def until_answered(self):
        """Ask one ordinary request until it is answered with 200.

        Raises:
            TimeoutError: There is none within ``ANSWER_LIMIT_S``.
        """
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while not await self._is_answered():
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _is_answered(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(request_bytes("GET", "/safe/ordinary"))
            head = await reader.readuntil(b"\r\n")
            return head.startswith(b"HTTP/1.1 200 ")
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


def request_bytes(method, path, *, body_bytes=None, deadline_ms=100_000):
    """Return the head of a request with a valid key.

    Args:
        body_bytes: The announced length of a body; ``None`` for none.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Credential: {KEY}",
        "Attempt-Id: r-1",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode()


def _limit_descriptors():
    limit = (HOST_DESCRIPTORS_COUNT, HOST_DESCRIPTORS_COUNT)
    resource.setrlimit(resource.RLIMIT_NOFILE, limit)


class Caller:
    """A caller's connection with a small window, which does not read by itself.

    Args:
        port: TCP port of the process.
    """

    def __init__(self, *, port):
        self._port = port
        self._socket = None

    async def connect(self):
        """Open the connection."""
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, ("127.0.0.1", self._port))

    async def send(self, data):
        """Send ``data``, as far as the process takes it."""
        try:
            await asyncio.get_running_loop().sock_sendall(self._socket, data)
        except OSError:  # The connection was reset.
            pass

    async def first_byte(self):
        """Wait until the answer begins, or the connection ends."""
        try:
            await asyncio.get_running_loop().sock_recv(self._socket, 1)
        except OSError:  # The connection was reset.
            pass

    def read(self, size_bytes):
        """Drop what has arrived, at most ``size_bytes``."""
        try:
            self._socket.recv(size_bytes)
        except OSError:  # Nothing has arrived, or the connection was reset.
            pass

    def close(self):
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
