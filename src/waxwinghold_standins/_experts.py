"""Which experts an engine's tokens go to: a Zipf law that drifts on command."""

import random


class ExpertDemand:
    """Counts the tokens that are routed to each expert of each layer.

    Args:
        seed: Fixes which experts are popular.
        zipf: Exponent of the popularity; 0 makes all experts equal.
        experts_count: Experts in a layer.
        layers_count: Layers with experts.
        step_tokens_count: Tokens of each step besides those of its generations.
    """

    def __init__(
        self,
        *,
        seed=0,
        zipf=0.8,
        experts_count=64,
        layers_count=1,
        step_tokens_count=0,
    ):
        self._zipf = zipf
        self._step_tokens_count = step_tokens_count
        self._seed = seed
        self._tokens_count = 0
        self._settled = [[0.0] * experts_count for _ in range(layers_count)]
        self._popularity = self._popularity_of(seed)

    def add_step(self, tokens_count):
        """Route the tokens of one step."""
        self._tokens_count += tokens_count + self._step_tokens_count

    def drift_to(self, seed):
        """Make the experts popular that ``seed`` fixes."""
        if seed == self._seed:
            return
        self._settled = self._totals()
        self._tokens_count = 0
        self._seed = seed
        self._popularity = self._popularity_of(seed)

    def counts(self):
        """Return the tokens routed to each expert of each layer so far."""
        return [[int(total) for total in layer] for layer in self._totals()]

    def _totals(self):
        return [
            [
                total + self._tokens_count * part
                for total, part in zip(*pair, strict=True)
            ]
            for pair in zip(self._settled, self._popularity, strict=True)
        ]

    def _popularity_of(self, seed):
        layers = []
        for number, layer in enumerate(self._settled):
            raw = [(place + 1) ** -self._zipf for place in range(len(layer))]
            random.Random(f"{seed}/{number}").shuffle(raw)
            layers.append([part / sum(raw) for part in raw])
        return layers
