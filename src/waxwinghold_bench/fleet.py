"""A fleet on loopback: the platform, entries, agents and target stand-ins."""

import asyncio
import contextlib
import json
import pathlib
import tempfile
import time

import aiohttp

from waxwinghold._tool.process_client import UnreachableError

from .child_process import ChildProcess
from .endpoints import free_addresses, make_endpoints, process_settings
from .status import StatusReader
from .target_standins import TargetStandIns

READY_LIMIT_S = 30
READY_POLL_S = 0.1
ANSWER_LIMIT_S = 2
DAEMON_MODULE = "waxwinghold"
STANDIN_PACKAGE = "waxwinghold_standins"


class NotReadyError(Exception):
    """Raised when a fleet is not ready in time.

    The message names the entry that is not ready and the reason.
    """


class Fleet:
    """A platform, entries, and an agent with a stand-in for each target.

    The daemons run as child processes. Targets of a group share one stand-in
    process if ``lock_step`` is set; every other target has its own.

    Args:
        sheet: The sheet as plain types. The fleet replaces the addresses and
            keys of the agents.
        entries_per_data_centre_count: Number of entries in each data centre of
            the sheet.
        entry_settings: Additional settings of every entry. They override those
            that the fleet sets.
        agent_settings: The same for every agent.
        engine_options: Command line options of every stand-in engine.
        service_options: Command line options of every stand-in service.
        lock_step: Whether the engines of a group run in lock step.
    """

    def __init__(
        self,
        *,
        sheet,
        entries_per_data_centre_count=1,
        entry_settings=None,
        agent_settings=None,
        engine_options=None,
        service_options=None,
        lock_step=False,
    ):
        self.agents = make_endpoints(role="agent", names=_target_names(sheet))
        entry_names = _entry_names(sheet, entries_per_data_centre_count)
        self.entries = make_endpoints(role="entry", names=entry_names)
        self.sheet = _with_agent_endpoints(sheet, self.agents)
        self.children = {}
        self.session = None
        self.platform_url = None
        self._settings = {"entry": entry_settings or {}, "agent": agent_settings or {}}
        self._standins = TargetStandIns(
            sheet=self.sheet,
            endpoints=self.agents,
            options={"model": engine_options or {}, "plain": service_options or {}},
            lock_step=lock_step,
            fleet=self,
        )
        (self._operator,) = make_endpoints(role="operator", names={"op": ""}).values()
        self._status_reader = StatusReader(operator=self._operator)
        self._directory = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the fleet for the duration of an ``async with`` block."""
        with tempfile.TemporaryDirectory(prefix="waxwinghold-") as directory:
            self._directory = pathlib.Path(directory)
            async with aiohttp.ClientSession() as self.session:
                try:
                    await self._start()
                    yield self
                finally:
                    await self._stop_all()

    def targets_of(self, service):
        """Return the endpoints of the targets of a service."""
        return [
            self.agents[row["name"]]
            for row in self.sheet["targets"]
            if row["service"] == service
        ]

    async def kill_target(self, target):
        """Kill the agent and the stand-in of a target, as if its host had failed."""
        self.children[target].kill()
        await self._standins.kill(target)

    async def replace_target(self, target):
        """Start a new agent and a new stand-in for a killed target."""
        await self._standins.replace(target)
        self.start_agent(target)

    def start_agent(self, target):
        """Start the agent of a target; it has no state of an earlier agent."""
        settings = process_settings(
            self.agents[target],
            platform_url=self.platform_url,
            known_endpoints=[
                *self.entries.values(),
                self._operator,
                *self.agents.values(),
            ],
        )
        settings["target_url"] = self.agents[target].http_url
        self._start_daemon(self.agents[target], settings)

    def start_entry(self, name):
        """Start the entry named ``name``."""
        entry = self.entries[name]
        peers = [item for item in self.entries.values() if item is not entry]
        settings = process_settings(
            entry,
            platform_url=self.platform_url,
            known_endpoints=[*peers, self._operator],
        )
        settings["http_address"] = entry.http_address
        settings["peers"] = [peer.peer_row() for peer in peers]
        self._start_daemon(entry, settings)

    def start_standin(self, name, module, **options):
        """Start a stand-in as a child process.

        Args:
            name: Name of the child process.
            module: Module of the stand-in.
            options: Its command line options.
        """
        arguments = [f"--{key}={value}" for key, value in options.items()]
        self._start_child(name, f"{STANDIN_PACKAGE}.{module}", arguments)

    async def wait_ready(self, *, targets_count=None):
        """Wait until every entry reaches enough healthy targets.

        Args:
            targets_count: Number of targets that each entry must reach; all
                targets by default.

        Raises:
            ChildFailedError: A child process ended unexpectedly.
            NotReadyError: An entry is not ready in time.
        """
        targets_count = targets_count or len(self.agents)
        deadline_s = time.monotonic() + READY_LIMIT_S
        for entry in self.entries.values():
            while reason := await self._unready_reason(entry, targets_count):
                if time.monotonic() > deadline_s:
                    raise NotReadyError(f'entry "{entry.name}": {reason}')
                for child in self.children.values():
                    child.check()
                await asyncio.sleep(READY_POLL_S)

    async def status(self, endpoint):
        """Return the status of an entry or an agent as plain types."""
        return await self._status_reader.read(endpoint)

    def write_operator_settings(self):
        """Write a settings file for ``waxwing`` and return its path."""
        endpoints = [*self.entries.values(), *self.agents.values()]
        document = {
            "name": self._operator.name,
            "link_secret_key": self._operator.secret_key,
            "link_public_key": self._operator.public_key,
            "processes": [
                {
                    "name": endpoint.name,
                    "address": endpoint.link_address,
                    "public_key": endpoint.public_key,
                }
                for endpoint in endpoints
            ],
        }
        return self._write("operator.settings.json5", document)

    async def _start(self):
        address = free_addresses(1)[0]
        self.platform_url = f"http://{address}"
        endpoints = [*self.agents.values(), *self.entries.values()]
        hosts = {"hosts": [endpoint.host_row() for endpoint in endpoints]}
        self.start_standin(
            "platform",
            "platform",
            address=address,
            sheet=self._write("sheet.json", self.sheet),
            hosts=self._write("hosts.json", hosts),
        )
        self._standins.start_all()
        for target in self.agents:
            self.start_agent(target)
        for name in self.entries:
            self.start_entry(name)
        await self.wait_ready()

    async def _stop_all(self):
        children = list(self.children.values())
        for child in children:
            child.resume()
            child.terminate()
        waits = [child.wait_ended() for child in children]
        outcomes = await asyncio.gather(*waits, return_exceptions=True)
        for child, outcome in zip(children, outcomes, strict=True):
            if isinstance(outcome, BaseException):
                child.kill()

    async def _unready_reason(self, entry, targets_count):
        """Return why an entry is not ready, or an empty string if it is."""
        if not await self._is_health_ok(entry):
            return "the health check fails: no sheet is in force, or the entry is down"
        try:
            status = await self.status(entry)
        except UnreachableError as error:
            return str(error)
        targets = status["targets"].values()
        up = [row for row in targets if row["takes_work"] and row["healthy"]]
        if len(up) < targets_count:
            return f"{len(up)} of {targets_count} targets are up"
        return ""

    async def _is_health_ok(self, entry):
        timeout = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
        try:
            url = f"{entry.http_url}/health"
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _start_daemon(self, endpoint, settings):
        settings |= self._settings[endpoint.role]
        path = self._write(f"{endpoint.name}.settings.json5", settings)
        self._start_child(endpoint.name, DAEMON_MODULE, [endpoint.role, path])

    def _start_child(self, name, module, arguments):
        log_path = self._directory / f"{name}.log"
        self.children[name] = ChildProcess(
            name=name, module=module, arguments=arguments, log_path=log_path
        )

    def _write(self, name, document):
        path = self._directory / name
        path.write_text(json.dumps(document))
        return str(path)


def _target_names(sheet):
    return {row["name"]: row["data_centre"] for row in sheet["targets"]}


def _entry_names(sheet, count):
    data_centres = dict.fromkeys(row["data_centre"] for row in sheet["targets"])
    return {
        f"entry-{data_centre}-{number}": data_centre
        for data_centre in data_centres
        for number in range(1, count + 1)
    }


def _with_agent_endpoints(sheet, agents):
    """Return ``sheet`` with the addresses and keys of this fleet's agents."""
    targets = [
        row
        | {
            "agent_address": agents[row["name"]].link_address,
            "agent_public_key": agents[row["name"]].public_key,
        }
        for row in sheet["targets"]
    ]
    return sheet | {"targets": targets}
