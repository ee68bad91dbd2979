"""Stand-ins and helpers of the review scripts: store, workers, proxy, gateways, client.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
KEY = "key-of-tenant-a"
HISTORY_S = 20  # Of the store: older events are dropped.


def trouble():
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ips=("127.0.0.1",), kind=socket.SOCK_STREAM):
    """Return a port that is free on all of the addresses."""
    for _ in range(200):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips:
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return port
    raise OSError("no free port")


class Record:
    """Writes ``record.txt`` with the time since the start of the script."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def __call__(self, text):
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


async def read_message(reader):
    """Return ``(start line, headers, body)`` of a message; ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start, headers, body


def message(start, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """A TCP server whose connections end with it."""

    def __init__(self):
        self.address = None
        self._server = None
        self.writers = set()

    async def start(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: reads, pages and watches, as PROTOCOL.md tells."""

    def __init__(self):
        super().__init__()
        self._items = {}
        self._history = []
        self._dropped_revision = 0
        self._revision = 10
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; returning is the acknowledgement."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        old = self._items.get(key, {})
        item = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created": old.get("created", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)

    def delete(self, key):
        self._revision += 1
        self._items.pop(key, None)
        self._add({"key": key, "revision": self._revision, "deleted": True})

    def _add(self, event):
        self._history.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            path, _, query = request[0].split(" ")[1].partition("?")
            fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            if path == "/v1/kv-range":
                prefix, after = fields["prefix"], fields.get("after", "")
                keys = sorted(
                    key
                    for key in self._items
                    if key.startswith(prefix) and key > after
                )
                document = {
                    "items": [self._items[key] for key in keys[:500]],
                    "more-pages": len(keys) > 500,
                    "at": self._revision,
                }
            else:
                document = await self._watch(fields)
            await asyncio.sleep(0.004)
            headers = [("Content-Type", "application/json")]
            body = json.dumps(document or {}).encode()
            status = "410 Gone" if document is None else "200 OK"
            writer.write(message(f"HTTP/1.1 {status}", headers, body))
            await writer.drain()

    async def _watch(self, fields):
        """Return the events after a revision; ``None`` if the history is gone."""
        after = int(fields["after"])
        prefix = fields["prefix"]
        end_s = time.monotonic() + int(fields["wait-ms"]) / 1000
        while True:
            while self._history and time.monotonic() - self._history[0][0] > HISTORY_S:
                self._dropped_revision = self._history.pop(0)[1]["revision"]
            if after < self._dropped_revision:
                return None
            events = [
                event
                for _, event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue


class Worker(Server):
    """A worker that runs each request at once and answers with its seal.

    Attributes:
        runs: ``(time, start line, headers, body)`` of each request that it ran.
    """

    def __init__(self, *, name, record, work_s=0.01):
        super().__init__()
        self.name = name
        self.record = record
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.runs = []

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            start, headers, body = request
            attempt = headers.get("attempt-id", "")
            expected = headers.get("expect-instance")
            if expected is not None and expected != self.name:
                fields = [("Attempt-Id", attempt), ("At-Server", self.name)]
                writer.write(message("HTTP/1.1 421 Misdirected", fields))
                continue
            self.runs.append((time.monotonic(), start, headers, body))
            self.record(f"worker {self.name} runs {attempt}: {start}")
            await asyncio.sleep(self.work_s)
            fields = [("Attempt-Id", attempt), ("Server-Seal", f"seal.{self.name}")]
            fields.append(("Content-Type", "text/plain"))
            writer.write(
                message("HTTP/1.1 200 OK", fields, b"body of " + self.name.encode())
            )
            await writer.drain()

    def entry(self, service, *, zone="zone-a", slots=6, state="ready"):
        """Return the entry that it writes in the store."""
        return {
            "service": service,
            "address": "{}:{}".format(*self.address),
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.born_ms,
        }


class Wire(Server):
    """A TCP proxy that can be cut: then no byte passes and nothing is closed."""

    def __init__(self, target):
        super().__init__()
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.passed_bytes = 0  # From the target.

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def serve(self, reader, writer):
        await self._open.wait()
        far_reader, far_writer = await asyncio.open_connection(*self._target)

        async def pump(source, sink):
            while data := await source.read(65536):
                await self._open.wait()
                self.passed_bytes += len(data) if source is far_reader else 0
                sink.write(data)
                await sink.drain()

        tasks = [
            asyncio.create_task(pump(reader, far_writer)),
            asyncio.create_task(pump(far_reader, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        far_writer.close()


def route(name, prefix, kind, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route-kind": kind,
        "timeout-ms": 2000,
        "goal-ms": 200,
        "priority": 1,
        "service": service,
        "max-attempts": 1 if kind == "unsafe" else 2,
        "anonymous": False,
        **fields,
    }


def configuration(version, routes, *, tenants=None, services=("desk",)):
    """Return a configuration, as the operator writes it at ``op/config``."""
    if tenants is None:
        tenants = [{"name": "tenant-a", "api-keys": [KEY]}]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max-conns": 110} for name in services],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": tenants,
    }


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, *, name, ip, ports, store, seeds, folder, record, zone="zone-a"):
        self.name, self.ip, self.record = name, ip, record
        self.front = (ip, ports["front"])
        self.readiness = (ip, ports["readiness"])
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._settings = pathlib.Path(folder) / f"{name}.settings.json5"
        self._settings.write_text(
            json.dumps(
                {
                    "name": name,
                    "data_centre": zone,
                    "callers_address": "{}:{}".format(*self.front),
                    "readiness_address": "{}:{}".format(*self.readiness),
                    "store_address": "{}:{}".format(*store),
                    "peers_ip": ip,
                    "peers_port": ports["peers"],
                    "seeds": seeds,
                    "strict_keys": True,
                    "freshness_limit_ms": 5000,
                    "stop_limit_s": 8,
                    "retry_ratio": 0.2,
                    "retry_slack_count": 94,
                    "retry_window_s": 10,
                }
            )
        )
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WAXWINGHOLD_NODE_FILE"] = str(self._settings)
        self.process = subprocess.Popen(
            ["python3", "deploy/start.py", "gateway"],
            cwd=ROOT,
            env=environment,
            stdout=open(self._log, "ab"),
            stderr=subprocess.STDOUT,
        )
        self.record(f"gateway {self.name} started, pid {self.process.pid}")

    def log(self):
        return self._log.read_text(errors="replace")

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.readiness, "GET", "/v1/readyz"), 1
            )
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return status == 200

    async def wait_ready(self, limit_s=20):
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise NotRun(f"gateway {self.name} isn't ready: {self.log()[-800:]}")
            await asyncio.sleep(0.05)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class NotRun(Exception):
    """The case couldn't run."""


async def call(address, method, path, headers=(), body=b"", host=HOST):
    """Send a request on a new connection; return status, headers and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = [("Host", host), *headers]
        writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            return None, {}, b""
        return int(answer[0].split(" ")[1]), answer[1], answer[2]
    finally:
        writer.close()


def run_case(main, folder):
    """Run ``main(record, folder)``; exit with 0 (held), 1 (broken) or 2 (not run)."""
    record = Record(folder)
    record(f"TROUBLE={int(trouble())}")
    ended = []

    async def limited():
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            try:
                return await asyncio.wait_for(main(record, scratch, ended), 110)
            finally:
                for process in ended:
                    process.end()

    try:
        broken = asyncio.run(limited())
    except (NotRun, OSError, asyncio.TimeoutError) as error:
        record(f"NOT RUN: {error!r}")
        return 2
    record("RESULT: the rule was broken" if broken else "RESULT: the rule held")
    return 1 if broken else 0
