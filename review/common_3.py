"""Stand-ins and helpers of the third review's scripts; standard library only.

The platform's store, workers and callers as the users' pages describe them, on loopback
addresses, and the start of the project's own roles as ``deploy/system.toml`` says.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the sites' settings (SYSTEM.md, `Bounds`).
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "revoke-strict": True,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 94,
    "recovery-s": 12,
    "pass-ms": 120,
    "retry-after-s": 0,
    "stall_ms": 1500,
    "fencing-required": True,
}


class CannotRunError(Exception):
    """The case could not be run, so that it says nothing."""


class Record:
    """Writes ``record.txt`` in the folder of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text)


def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def free_common_port(ips):
    """Return a UDP port that is free at all of ``ips``."""
    for _ in range(200):
        port = free_port(ips[0], socket.SOCK_DGRAM)
        try:
            for ip in ips:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                    sock.bind((ip, port))
            return port
        except OSError:
            continue
    raise CannotRunError("no free port")


# The template of a role, filled in as DEPLOY.md describes it.


def _value(fields, name):
    if name == ".":
        return fields
    value = fields
    for key in name.split("."):
        if isinstance(value, dict):
            value = value.get(key)
        elif isinstance(value, list) and key.isdigit() and int(key) < len(value):
            value = value[int(key)]
        else:
            return None
    return value


def fill_in(text, fields):
    """Return a settings template with its placeholders filled in."""

    def section(match):
        value = _value(fields, match[1])
        return match[2] if value not in (None, False, [], {}) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def placeholder(match):
        name, _, form = match[1].partition("|")
        value = _value(fields, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([^#/^{}][^}]*)\}\}", placeholder, text)


class Node:
    """One process of the system, started with the line of the deploy file."""

    def __init__(self, role, fields, folder):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run = deploy["roles"][role]["run"].split()
        self._template = (ROOT / deploy["roles"][role]["template"]).read_text()
        self.fields = fields
        self.name = fields["node-name"]
        self._path = Path(folder) / f"{self.name}.settings"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.process = None
        self.write_settings()

    def write_settings(self):
        temporary = self._path.with_suffix(".new")
        temporary.write_text(fill_in(self._template, self.fields))
        temporary.replace(self._path)

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["WAXWINGHOLD_NODE_FILE"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            self._run,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self.log_path, "ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self):
        return self.log_path.read_text(errors="replace")


def gateway_fields(
    *, ip, store_port, peers_port, seeds, zone="zone-a", name="edge-zone-a-1"
):
    """Return the fields of a settings file for an ``edge`` machine."""
    return {
        "node-name": name,
        "zone": zone,
        "ip": ip,
        "port-range": [peers_port, peers_port],
        "seeds": seeds,
        "listen": {
            "front": f"{ip}:{free_port(ip)}",
            "readiness": f"{ip}:{free_port(ip)}",
            "control": f"{ip}:{peers_port}",
        },
        "bounds": BOUNDS,
        "platform": {"address": f"127.0.0.1:{store_port}"},
    }


# HTTP/1.1


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    lines = []
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("connection ended")
        line = line.rstrip(b"\r\n")
        if not line:
            if lines:
                break
            continue
        lines.append(line.decode("latin-1"))
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            if not size:
                await reader.readline()
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader):
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def answer_bytes(status, body=b"", headers=()):
    reason = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store, which keeps all history."""

    def __init__(self):
        self.revision = 10
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None
        self.port = None
        self.calls_count = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, document):
        """Write an item; return when it was acknowledged."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)
        return time.monotonic()

    def delete(self, key):
        self.revision += 1
        self._items.pop(key, None)
        self._add({"key": key, "revision": self.revision, "deleted": True})
        return time.monotonic()

    def _add(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                self.calls_count += 1
                path = message.first.split()[1]
                parts = urllib.parse.urlsplit(path)
                query = dict(urllib.parse.parse_qsl(parts.query))
                body = await self._answer(parts.path, query)
                await asyncio.sleep(0.004)
                writer.write(
                    answer_bytes(
                        200,
                        json.dumps(body).encode(),
                        [("Content-Type", "application/json")],
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/v1/kv-range":
            after = query.get("after", "")
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > after
            ]
            return {"items": items, "at": self.revision, "more-pages": False}
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker of a plain service: ``work(message)`` returns the seconds of a run."""

    def __init__(self, store, *, name, service, zone="zone-a", slots=6, work=None):
        self._store = store
        self.name = name
        self._service = service
        self._zone = zone
        self._slots = slots
        self._work = work or (lambda message: 0.045)
        self._running = 0
        self.runs = []  # ``(time, attempt id, message)`` of each run that began.
        self.ended = []  # Attempt ids whose answer was written whole.
        self.port = None
        self._server = None
        self._writers = set()
        self.born = int(time.time() * 1000)
        self._seq = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.publish()

    def publish(self, state="ready"):
        self._seq += 1
        return self._store.put(
            f"servers/{self.name}",
            {
                "service": self._service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": state,
                "cold-left-ms": 0,
                "born": self.born,
                "seq": self._seq,
            },
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self._handle(message))
                await writer.drain()
                self.ended.append(message.headers.get("attempt-id", ""))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, message):
        attempt = message.headers.get("attempt-id", "")
        own = [("Attempt-Id", attempt)]
        expected = message.headers.get("expect-instance")
        if expected not in (None, self.name):
            return answer_bytes(421, b"", [*own, ("Instance-Id", self.name)])
        if self._running >= 4 * self._slots:
            return answer_bytes(503, b"", [*own, ("Not-Executed", "1")])
        self._running += 1
        self.runs.append((time.monotonic(), attempt, message))
        try:
            await asyncio.sleep(self._work(message))
        finally:
            self._running -= 1
        seal = f"{self.name}.{attempt}"
        load = f"{self._running},0,{self._slots}"
        headers = [*own, ("Server-Seal", seal), ("Server-Load", load)]
        return answer_bytes(200, b"x" * 800, headers)


def plain_configuration():
    """Return a configuration with one unsafe route to the service ``desk``."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-pay",
                "host": "desk.example",
                "prefix": "/pay/",
                "route-kind": "unsafe",
                "timeout-ms": 1500,
                "goal-ms": 203,
                "priority": 2,
                "service": "desk",
                "max-attempts": 2,
                "anonymous": False,
            }
        ],
        "services": [
            {
                "name": "desk",
                "health-path": "/healthz",
                "max-conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "guild", "api-keys": ["key-1"], "priority": 1}],
    }


class BodyCaller:
    """Sends requests with long bodies, one after the other on a kept connection.

    ``outcomes`` gets ``(attempt id, outcome, whether the connection was kept, name of
    the machine)``.
    """

    def __init__(self, number, address, record, outcomes, *, body_bytes, pause_s):
        self._number = number
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._outcomes = outcomes
        self._body = b"b" * body_bytes
        self._pause_s = pause_s

    async def connect(self):
        return await asyncio.open_connection(self._host, self._port)

    def node_name(self):
        """Return the name of the machine of the present connection."""
        return ""

    async def run(self, until):
        answered_count, streams, count = 0, None, 0
        await asyncio.sleep(self._number % 100 * 0.02)
        while time.monotonic() < until:
            count += 1
            attempt = f"{self._number:04d}{count:012d}"
            if streams is None:
                answered_count = 0
                try:
                    streams = await self.connect()
                except OSError:
                    await asyncio.sleep(0.1)  # The process is being started again.
                    continue
            reader, writer = streams
            name = self.node_name()
            began = time.monotonic()
            head = (
                "POST /pay/2f HTTP/1.1\r\nHost: desk.example\r\n"
                f"Attempt-Id: {attempt}\r\nDeadline-Ms: 1520\r\n"
                f"Credential: key-1\r\nContent-Length: {len(self._body)}\r\n\r\n"
            )
            closes = True
            try:
                writer.write(head.encode() + self._body)
                await writer.drain()
                message = await asyncio.wait_for(read_message(reader), 3.0)
                outcome = str(message.status)
                closes = message.headers.get("connection", "").lower() == "close"
                answered_count += 1
            except (ConnectionError, asyncio.IncompleteReadError):
                outcome = "closed without an answer"
            except asyncio.TimeoutError:
                outcome = "no answer in 3 s"
            took_ms = round(1000 * (time.monotonic() - began))
            is_kept = answered_count > (outcome.isdigit())
            self._outcomes.append((attempt, outcome, is_kept, name))
            self._record.write(f"{attempt} {outcome} after {took_ms} ms")
            if closes:
                writer.close()
                streams = None
            await asyncio.sleep(self._pause_s)


async def is_ready(address):
    try:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1.0
        )
    except (OSError, asyncio.TimeoutError):
        return False
    try:
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n")
        message = await asyncio.wait_for(read_message(reader), 1.0)
        return message.status == 200
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


async def wait_ready(nodes, *, limit_s=20.0):
    end = time.monotonic() + limit_s
    for node in nodes:
        while not await is_ready(node.fields["listen"]["readiness"]):
            if time.monotonic() > end:
                raise CannotRunError(f"{node.name} did not get ready")
            await asyncio.sleep(0.1)


def run_case(folder, case):
    """Run the coroutine function ``case(record, temporary folder, nodes)``.

    It returns the broken rules as texts. Exit with 1 if there are any, 0 if there are
    none, 2 if the case could not run. All processes of ``nodes`` are ended.
    """
    record = Record(folder)
    nodes = []
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, nodes), 110))
            for text in broken:
                record.say(f"BROKEN {text}")
            if not broken:
                record.say("held")
            status = 1 if broken else 0
            _end(nodes)
    except (CannotRunError, asyncio.TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
    finally:
        _end(nodes)
    sys.exit(status)


def _end(nodes):
    for node in nodes:
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGKILL)
    for node in nodes:
        if node.process is not None:
            node.process.wait()
