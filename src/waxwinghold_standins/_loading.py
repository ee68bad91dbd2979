"""Simulated loading of weights: waits a fixed time and reads from the weight store."""

import aiohttp


class WeightLoader:
    """Simulates loading models and experts; it keeps no weights.

    Args:
        clock: Clock to sleep with.
        load_model_ms: Time to load a model version, in addition to the time that
            reading from the store takes.
        load_expert_ms: Time to load one expert, in addition to the time that reading
            from the store takes.
        weights_url: URL of the weight store; with an empty string nothing is read.
        model: Name of the model in the store.
        model_bytes: Size of a model version without its experts.
        expert_bytes: Size of one expert.

    Attributes:
        experts_loaded_count: Number of missing experts that orders told the engine to
            load, including those that are not loaded yet.
    """

    def __init__(
        self,
        *,
        clock,
        load_model_ms=0.0,
        load_expert_ms=0.0,
        weights_url="",
        model="model",
        model_bytes=0,
        expert_bytes=0,
    ):
        self.experts_loaded_count = 0
        self._clock = clock
        self._load_model_ms = load_model_ms
        self._load_expert_ms = load_expert_ms
        self._weights_url = weights_url
        self._model = model
        self._model_bytes = model_bytes
        self._expert_bytes = expert_bytes

    @property
    def is_instant(self):
        """Whether loading takes no time."""
        return not (self._weights_url or self._load_model_ms or self._load_expert_ms)

    async def load_model(self, version):
        """Load a model version without its experts."""
        await self._clock.sleep_ms(self._load_model_ms)
        await self._read(version, "model", self._model_bytes)

    async def load_experts(self, version, experts):
        """Load experts of a model version one after another."""
        for expert in sorted(experts, key=str):
            await self._clock.sleep_ms(self._load_expert_ms)
            await self._read(version, f"expert-{expert}", self._expert_bytes)

    async def _read(self, version, part, size_bytes):
        if not self._weights_url:
            return
        path = f"/weights/{self._model}/{version}/{part}?bytes={size_bytes}"
        async with aiohttp.ClientSession() as session:
            async with session.get(self._weights_url + path) as response:
                response.raise_for_status()
                async for _ in response.content.iter_any():
                    # The content is not needed, only the time it takes to arrive.
                    continue
