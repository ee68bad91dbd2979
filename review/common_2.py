"""Stand-ins and helpers for the cases 6 to 10; needs nothing but Python.

Store, workers and clients follow the users' pages (PROTOCOL.md) and run in the event
loop of a case. The project's own processes are started with the commands of
``deploy/system.toml`` and with settings that its templates give.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of parg-fleet, as SYSTEM.md gives them.
BOUNDS = {
    "contact-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "config-apply-ms": 2000,
    "revoke-strict": True,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 94,
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


class Record:
    """Writes what happened into ``record.txt``, with the seconds since its start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._start_s = time.monotonic()
        self.lock = None

    def __call__(self, text):
        line = f"{time.monotonic() - self._start_s:8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        return line


def free_ports(ip, count, kind=socket.SOCK_STREAM):
    """Return ports that are free at ``ip``."""
    socks = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def render(template, fields):
    """Fill in a settings template as DEPLOY.md says."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        return match[2] if value(match[1]) else ""

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def placeholder(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", placeholder, text)


class Node:
    """One process of the system: its settings file, and the process itself."""

    def __init__(self, *, role, name, ip, zone, store, seeds, port_range, record, **own):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._run = deploy["roles"][role]["run"].split()
        template = (ROOT / deploy["roles"][role]["template"]).read_text()
        # The fixed port of the metrics may be taken on the machine of the test.
        template = template.replace("metrics_port: 9100", "metrics_port: 0")
        self.name, self.ip = name, ip
        self.ports = free_ports(ip, 2)
        self._folder = tempfile.TemporaryDirectory()
        self._settings = Path(self._folder.name) / "boot.json5"
        self._record = record
        self.output = Path(self._folder.name) / "output.txt"
        fields = {
            "node-name": name,
            "ip": ip,
            "zone": zone,
            "port-range": port_range,
            "seeds": seeds,
            "listen": {
                "front": f"{ip}:{self.ports[0]}",
                "readiness": f"{ip}:{self.ports[1]}",
            },
            "platform": {"address": f"{store[0]}:{store[1]}"},
            "bounds": BOUNDS,
            **own,
        }
        self._settings.write_text(render(template, fields))
        self.process = None

    @property
    def address(self):
        return self.ip, self.ports[0]

    async def start(self):
        self._record(f"{self.name}: started")
        with open(self.output, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._run,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WAXWINGHOLD_NODE_FILE": str(self._settings),
                },
                stdout=output,
                stderr=output,
            )

    def rewrite(self):
        """Write the settings file once more, as the platform does when they change."""
        text = self._settings.read_text()
        changed = self._settings.with_suffix(".new")
        changed.write_text(text)
        changed.replace(self._settings)

    def send(self, number):
        if self.process.returncode is None:
            self._record(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        """Return whether the platform's check of readiness gets a 200."""
        try:
            async with asyncio.timeout(1):
                client = Client((self.ip, self.ports[1]))
                answer = await client.request("GET", "/v1/readyz", [("Host", self.ip)])
                client.close()
                return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=15.0):
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.returncode is not None:
                raise NotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)
        self._record(f"{self.name}: ready")


class NotRunError(Exception):
    """The case could not be run."""


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Client:
    """A client with one connection, which it keeps."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None
        self.is_kept = False

    async def request(self, method, path, headers=(), body=b"", body_s=0.0):
        """Send a request and return the whole ``Answer``.

        Raises ``IncompleteReadError`` or ``OSError`` if the connection ends before.
        """
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._address)
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self._writer.drain()
        return await self.read_answer()

    async def read_answer(self):
        status, headers = await read_head(self._reader)
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readexactly(2)
        else:
            body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        self.is_kept = headers.get("connection", "").lower() != "close"
        if not self.is_kept:
            self.close()
        return Answer(int(status.split()[1]), headers, body)

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = self._reader = None


async def read_head(reader):
    """Return the first line of a message and its headers by lower-case name."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """An HTTP server; ``handle`` returns whether the connection stays open."""

    async def listen(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, ip, port, limit=2**20)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._writers = set()

    def stop(self):
        """Stop listening and reset every connection, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if not await self.handle(first, headers, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def answer_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Answer", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Store(Server):
    """The platform's store: range reads, keys, watches and history."""

    def __init__(self):
        self._items, self._history, self._revision = {}, [], 10
        self._changed = asyncio.Event()

    def put(self, key, document):
        self._revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"key": key, "value": value, "revision": self._revision}
        self._items[key] = {**item, "created": self._revision, "lease": 0}
        self._record(item)

    def delete(self, key):
        self._revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self._revision, "deleted": True})

    def _record(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, first, headers, reader, writer):
        path, _, query = first.split()[1].partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, document = await getattr(self, "_" + path.rpartition("-")[2])(fields)
        body = json.dumps(document).encode()
        writer.write(answer_bytes(status, [("Content-Type", "application/json")], body))
        await writer.drain()
        return True

    async def _key(self, fields):
        item = self._items.get(fields["key"])
        return (200, {**item, "at": self._revision}) if item else (404, {})

    async def _range(self, fields):
        after = fields.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(fields["prefix"]))
        keys = [key for key in keys if key > after]
        items = [self._items[key] for key in keys[:500]]
        more = len(keys) > 500
        return 200, {"items": items, "more-pages": more, "at": self._revision}

    async def _watch(self, fields):
        after, prefix = int(fields["after"]), fields["prefix"]
        end_s = time.monotonic() + int(fields.get("wait-ms", 0)) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


def configuration(*, version, routes, services, tenants=None):
    document = {"version": version, "routes": routes, "services": services}
    document["limits"] = LIMITS
    if tenants is not None:
        document["tenants"] = tenants
    return document


def route(*, name, prefix, kind, service, host="shop.example", **fields):
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "route-kind": kind,
        "timeout-ms": 8000,
        "goal-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "anonymous": False,
        **fields,
    }


def worker_entry(worker, *, zone="nadi-a", state="ready"):
    return {
        "service": worker.service,
        "address": "{}:{}".format(*worker.address),
        "zone": zone,
        "version": "v1",
        "slots": worker.slots,
        "state": state,
        "cold-left-ms": 0,
        "seq": 1,
        "born": worker.born,
    }


class Worker(Server):
    """A sound worker of a plain service.

    It reads a request, waits for one of its slots, works and answers. It drops a request
    whose connection closes.
    """

    def __init__(self, *, name, service, slots, work_s, record):
        self.name, self.service, self.slots = name, service, slots
        self.work_s, self._record = work_s, record
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self.active = 0
        self.runs = []  # Ids of the requests that it began to run.
        self.answered = []  # Ids of the requests that it answered.

    async def handle(self, first, headers, reader, writer):
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("attempt-id", "")
        echo = [("Attempt-Id", request), ("Instance-Id", self.name)]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, [*echo, ("Not-Executed", "1")]))
            return True
        if first.split()[1] == "/healthz":
            writer.write(answer_bytes(200, echo))
            return True
        async with self._free:
            if writer.is_closing() or reader.at_eof():
                return False
            return await self.work(first, headers, echo, body, reader, writer)

    async def work(self, first, headers, echo, body, reader, writer):
        request = headers.get("attempt-id", "")
        self.runs.append(request)
        self.active += 1
        self._record(f"{self.name}: runs {request} ({len(body)} bytes)")
        try:
            end_s = time.monotonic() + self.work_s
            while time.monotonic() < end_s:
                await asyncio.sleep(min(0.05, self.work_s))
                if writer.is_closing() or reader.at_eof():
                    self._record(f"{self.name}: {request} dropped, its connection ended")
                    return False
        finally:
            self.active -= 1
        load = ("Server-Load", f"{self.active},0,{self.slots}")
        seal = ("Server-Seal", f"{self.name}.{request}")
        writer.write(answer_bytes(200, [*echo, seal, load], b"x" * 800))
        self.answered.append(request)
        await writer.drain()
        return True


def run_case(case, folder):
    """Run ``case(record)``, end its processes, and exit with its result."""
    record = Record(folder)

    async def whole():
        async with asyncio.timeout(110):
            return await case(record)

    try:
        result = asyncio.run(whole())
    except (NotRunError, TimeoutError, OSError) as error:
        record(f"could not run: {error!r}")
        result = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    print(record(words[result]))
    sys.exit(result)
