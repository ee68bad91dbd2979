"""Simulated routing of tokens to experts: a Zipf distribution that can be changed."""

import random


class ExpertDemand:
    """Counts the tokens that are routed to each expert of each layer.

    Args:
        seed: Determines which experts are popular.
        zipf: Exponent of the Zipf distribution; with 0 all experts are equally
            popular.
        experts_count: Number of experts in a layer.
        layers_count: Number of layers with experts.
        step_tokens_count: Number of tokens that each step routes in addition to those
            of its generations.
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
        # Tokens by layer and expert that were routed before the latest drift.
        self._earlier_totals = [[0.0] * experts_count for _ in range(layers_count)]
        self._popularity = self._create_popularity(seed)

    def add_step(self, tokens_count):
        """Route the tokens of one step.

        Args:
            tokens_count: Number of tokens of the step's generations.
        """
        self._tokens_count += tokens_count + self._step_tokens_count

    def drift_to(self, seed):
        """Route further tokens by the popularity that ``seed`` determines."""
        if seed == self._seed:
            return
        self._earlier_totals = self._totals()
        self._tokens_count = 0
        self._seed = seed
        self._popularity = self._create_popularity(seed)

    def counts(self):
        """Return the number of tokens routed so far, by layer and expert."""
        return [[int(total) for total in layer] for layer in self._totals()]

    def _totals(self):
        """Return the tokens routed so far, by layer and expert, not yet rounded."""
        return [
            [
                total + self._tokens_count * share
                for total, share in zip(*totals_and_shares, strict=True)
            ]
            for totals_and_shares in zip(
                self._earlier_totals, self._popularity, strict=True
            )
        ]

    def _create_popularity(self, seed):
        """Return the share of the tokens that goes to each expert of each layer."""
        layers = []
        for number, layer in enumerate(self._earlier_totals):
            weights = [(position + 1) ** -self._zipf for position in range(len(layer))]
            random.Random(f"{seed}/{number}").shuffle(weights)
            layers.append([weight / sum(weights) for weight in weights])
        return layers
