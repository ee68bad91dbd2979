"""The part of an engine's HTTP interface that does not carry answers."""

from aiohttp import web

from ._faults import bad_request, changed_faults, json_answer, read_json


class ControlRoutes:
    """Health, load, cache, orders and faults of an ``Engine``."""

    def control_routes(self):
        """Return the aiohttp routes."""
        return [
            web.get("/health", self._health),
            web.get("/load", self._load),
            web.get("/model", self._model),
            web.get("/cache_events", self._cache_events),
            web.post("/orders", self._order),
            web.get("/map", self._map),
            web.get("/steps", self._steps),
            web.get("/experts", self._experts),
            web.get("/kv/{prefix}", self._export),
            web.put("/kv/{prefix}", self._import),
            web.post("/_control/fault", self._fault),
            web.get("/_control/runs", self._runs),
        ]

    async def _health(self, request):
        return json_answer(
            {
                "healthy": not self.rank.faults.unhealthy,
                "step": self.steps.step,
                "steps_running": self.steps.is_running(),
            }
        )

    async def _load(self, request):
        return json_answer(self.rank.load.report())

    async def _model(self, request):
        return json_answer(
            {
                "version": self.rank.version,
                "adapters": sorted(self.rank.adapters),
                "role": self.rank.role,
            }
        )

    async def _cache_events(self, request):
        try:
            after = int(request.query.get("after", 0))
        except ValueError as error:
            raise bad_request('query "after": expected a whole number') from error
        return json_answer({"events": self.rank.cache_events.after(after)})

    async def _order(self, request):
        refusal = self.order_handler.handle(await read_json(request))
        if refusal is None:
            return json_answer({"applied": True})
        answer = {"reason": refusal.reason, "fence": refusal.fence}
        return json_answer(answer, status=refusal.status)

    async def _map(self, request):
        maps = self.rank.maps
        return json_answer(
            {
                "map_id": maps.next_map_id,
                "step": self.steps.step,
                "hold_before": maps.hold_before,
                "loaded": sorted(maps.loaded),
            }
        )

    async def _steps(self, request):
        records = self.steps.records
        mixed = [record for record in records if record.is_mixed]
        return json_answer(
            {"step": self.steps.step, "mixed_count": len(mixed), "mixed": mixed[:100]}
        )

    async def _experts(self, request):
        rank = self.rank
        return json_answer(
            {"layers": rank.experts.counts(), "since_step": rank.joined_step}
        )

    async def _export(self, request):
        content = self.rank.prefixes.content(request.match_info["prefix"])
        if content is None:
            return json_answer({"reason": "the prefix is not cached"}, status=404)
        return web.Response(body=content)

    async def _import(self, request):
        prefix = request.match_info["prefix"]
        self.rank.prefixes.store(prefix, await request.read())
        return web.Response(status=204)

    async def _fault(self, request):
        changes = await read_json(request)
        if changes.pop("silence", False):
            self.silence()
        self.rank.faults = changed_faults(self.rank.faults, changes)
        if self.rank.faults.expert_seed is not None:
            self.rank.experts.drift_to(self.rank.faults.expert_seed)
        self.rank.record_load()
        self.steps.wake()
        return json_answer(self.rank.faults)

    async def _runs(self, request):
        return json_answer(self.runs)
