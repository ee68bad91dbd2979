"""A group of ranks that run in lock-step on an expert map, in one process."""

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
    """Ranks with an engine URL each, of which no one steps alone.

    Every step is recorded with the expert map of each rank; see
    ``mixed_steps`` and ``GET /steps`` on any rank.

    Args:
        ranks_count: Ranks of the group.
        steps_when_idle: Whether steps go on without work.
        engine_options: Options of each ``Engine``.
    """

    def __init__(
        self, *, ranks_count, steps_when_idle=True, clock=None, **engine_options
    ):
        self.clock = clock or Clock()
        self.steps = StepRunner(
            ranks=(), clock=self.clock, steps_when_idle=steps_when_idle
        )
        self._engine_options = engine_options
        self.engines = [self._engine() for _ in range(ranks_count)]
        self.steps.ranks = [engine.rank for engine in self.engines]

    @property
    def urls(self):
        """The URL of each rank's engine."""
        return [engine.url for engine in self.engines]

    @property
    def mixed_steps(self):
        """Records of the steps in which ranks used different maps."""
        return [record for record in self.steps.records if record.is_mixed]

    async def start(self, *, host="127.0.0.1", ports=None):
        """Serve each rank on a port of its own; by default on free ones."""
        ports = ports or [0] * len(self.engines)
        for engine, port in zip(self.engines, ports, strict=True):
            await engine.start(host=host, port=port)
        self.steps.start()

    async def stop(self):
        """Run no further step and stop every rank."""
        await self.steps.stop()
        for engine in self.engines:
            await engine.stop()

    @contextlib.asynccontextmanager
    async def serving(self, **addresses):
        """Serve for the length of an ``async with`` block; gives the URLs."""
        await self.start(**addresses)
        try:
            yield self.urls
        finally:
            await self.stop()

    async def kill_rank(self, index):
        """Let the rank at ``index`` die at once; the group stalls."""
        await self.engines[index].crash()

    async def replace_rank(self, index):
        """Start a fresh engine, which knows no expert map, at a dead rank's URL.

        It takes part in steps once it has been told a map.
        """
        host, port = split_ip_port(self.engines[index].url.removeprefix("http://"))
        await self.engines[index].stop()
        engine = self._engine(map_id=NO_MAP)
        self.engines[index] = engine
        await engine.start(host=host, port=port)
        self.steps.replace(index, engine.rank)

    def _engine(self, **options):
        return Engine(
            steps=self.steps, clock=self.clock, **self._engine_options | options
        )


class GroupControl(HttpStandIn):
    """Kills and replaces ranks of a group that runs as one process.

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
        await self._group.kill_rank(self._place(request))
        return web.Response(status=204)

    async def _replace(self, request):
        await self._group.replace_rank(self._place(request))
        return web.Response(status=204)

    def _place(self, request):
        index = request.match_info["place"]
        if index.isdigit() and int(index) < len(self._group.engines):
            return int(index)
        raise bad_request(f'rank "{index}" does not exist in the group')


async def _serve(group, pairs, control):
    host, port = control
    async with GroupControl(group=group).serving(host=host, port=port) as url:
        ports = [port for _, port in pairs]
        async with group.serving(host=pairs[0][0], ports=ports) as urls:
            await report_ready_and_wait(url, *urls)


@SetParseFns(addresses=str, control=str, model_version=str)
def serve(*, addresses, control, model_version="v1", **options):
    """Serve a lock-step group until SIGTERM.

    Prints one line when it is ready: the control's URL, then each rank's.

    Args:
        addresses: ``IP:PORT`` of each rank, separated by commas; one IP number.
        control: ``IP:PORT`` of the calls that kill and replace ranks.
        model_version: The model version at the start.
        options: Options of ``Engine`` and ``Rank``.
    """
    pairs = [split_ip_port(address) for address in addresses.split(",")]
    group = LockStepGroup(ranks_count=len(pairs), version=model_version, **options)
    asyncio.run(_serve(group, pairs, split_ip_port(control)))


if __name__ == "__main__":
    fire.Fire(serve)
