"""Stand-in for a group of ranks that run in lock-step, all in one process."""

import asyncio
import contextlib

import fire
from aiohttp import web
from fire.decorators import SetParseFns

from waxwinghold import Clock
from waxwinghold._settings import split_ip_port

from ._faults import bad_request
from ._http import HttpStandIn, report_ready_and_wait
from ._maps import NO_MAP
from ._steps import StepRunner
from .engine import Engine


class LockStepGroup:
    """A group of ranks that step together; each rank is an engine with its own URL.

    Every step is recorded with the expert map of each rank; see
    ``mixed_steps`` and ``GET /steps`` on any rank.

    Args:
        ranks_count: Number of ranks in the group.
        steps_when_idle: Whether the group also steps without work.
        clock: Clock of the group; by default the system's.
        engine_options: Options of each ``Engine`` and its ``Rank``.
    """

    def __init__(
        self, *, ranks_count, steps_when_idle=True, clock=None, **engine_options
    ):
        self.clock = clock or Clock()
        self.steps = StepRunner(
            ranks=(), clock=self.clock, steps_when_idle=steps_when_idle
        )
        self._engine_options = engine_options
        self.engines = [self._create_engine() for _ in range(ranks_count)]
        self.steps.ranks = [engine.rank for engine in self.engines]

    @property
    def urls(self):
        """The URL of each rank's engine."""
        return [engine.url for engine in self.engines]

    @property
    def mixed_steps(self):
        """The ``StepRecord`` of each step in which ranks used different maps."""
        return [record for record in self.steps.records if record.is_mixed]

    async def start(self, *, host="127.0.0.1", ports=None):
        """Serve each rank on its own port, by default a free one, and run steps."""
        ports = ports or [0] * len(self.engines)
        for engine, port in zip(self.engines, ports, strict=True):
            await engine.start(host=host, port=port)
        self.steps.start()

    async def stop(self):
        """Stop stepping and stop every rank."""
        await self.steps.stop()
        for engine in self.engines:
            await engine.stop()

    @contextlib.asynccontextmanager
    async def serving(self, **addresses):
        """Serve during an ``async with`` block; yield the URL of each rank."""
        await self.start(**addresses)
        try:
            yield self.urls
        finally:
            await self.stop()

    async def kill_rank(self, index):
        """Crash the rank at ``index``; the group stalls until it is replaced."""
        await self.engines[index].crash()

    async def replace_rank(self, index):
        """Start a new engine without an expert map at the URL of a crashed rank.

        It takes part in steps once it has loaded a map and switched to it.
        """
        host, port = split_ip_port(self.engines[index].url.removeprefix("http://"))
        await self.engines[index].stop()
        engine = self._create_engine(map_id=NO_MAP)
        self.engines[index] = engine
        await engine.start(host=host, port=port)
        self.steps.replace(index, engine.rank)

    def _create_engine(self, **options):
        return Engine(
            steps=self.steps, clock=self.clock, **self._engine_options | options
        )


class GroupControl(HttpStandIn):
    """HTTP control interface that kills and replaces the ranks of a group.

    Args:
        group: The ``LockStepGroup``.
    """

    def __init__(self, *, group):
        super().__init__(clock=group.clock)
        self._group = group

    def routes(self):
        return [
            web.post("/ranks/{place}/kill", self._kill),
            web.post("/ranks/{place}/replace", self._replace),
        ]

    async def _kill(self, request):
        await self._group.kill_rank(self._parse_index(request))
        return web.Response(status=204)

    async def _replace(self, request):
        await self._group.replace_rank(self._parse_index(request))
        return web.Response(status=204)

    def _parse_index(self, request):
        """Return the index of the rank that the request's path names.

        Raises:
            web.HTTPBadRequest: The group has no such rank.
        """
        index = request.match_info["place"]
        if index.isdigit() and int(index) < len(self._group.engines):
            return int(index)
        raise bad_request(f'rank "{index}" does not exist in the group')


async def _serve(group, rank_addresses, control_address):
    host, port = control_address
    async with GroupControl(group=group).serving(host=host, port=port) as url:
        ports = [port for _, port in rank_addresses]
        async with group.serving(host=rank_addresses[0][0], ports=ports) as urls:
            await report_ready_and_wait(url, *urls)


@SetParseFns(addresses=str, control=str, model_version=str)
def serve(*, addresses, control, model_version="v1", **options):
    """Serve a lock-step group until SIGTERM.

    Prints one line when it is ready: the URL of the control interface, then the URL
    of each rank.

    Args:
        addresses: ``IP:PORT`` of each rank, separated by commas; all with the same IP.
        control: ``IP:PORT`` of the interface that kills and replaces ranks.
        model_version: The model version at the start.
        options: Options of ``Engine`` and ``Rank``.
    """
    rank_addresses = [split_ip_port(address) for address in addresses.split(",")]
    group = LockStepGroup(
        ranks_count=len(rank_addresses), version=model_version, **options
    )
    asyncio.run(_serve(group, rank_addresses, split_ip_port(control)))


if __name__ == "__main__":
    fire.Fire(serve)
