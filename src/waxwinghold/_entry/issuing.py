"""Issuing of once-only keys, each for one healthy target."""

from .._errors import NoTargetError
from .._keys import OnceKey, random_id
from .._policy import ChoiceRequest

PROBES_LIMIT_COUNT = 4


class KeyIssuer:
    """Issues once-only keys for targets that have just been probed as healthy.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process

    async def issue(self, *, service, version, customer):
        """Return the JSON document for a caller that asked for a key.

        Raises:
            NoTargetError: No target of the version is healthy.
        """
        target = await self._healthy_target(service, version)
        lifetime_ms = self._process.settings.key_lifetime_ms
        key = OnceKey(
            service=service.name,
            version=version,
            target=target.name,
            incarnation=target.link.incarnation,
            customer=customer.name,
            expiry_ms=int(target.link.peer_wall_ms()) + lifetime_ms,
            nonce=random_id(),
        )
        return {
            "key": self._process.token_signer.sign(key),
            "target": target.name,
            "version": version,
            "expires_in_ms": lifetime_ms,
        }

    async def _healthy_target(self, service, version):
        """Return a tracked target that a probe has just found healthy."""
        targets = self._process.target_pool.targets_of(
            service=service.name, version=version
        )
        tried = set()
        for _ in range(PROBES_LIMIT_COUNT):
            candidates = [
                target.candidate for target in targets.values() if target.takes_work
            ]
            chosen = self._process.policy.choose(
                candidates,
                request=ChoiceRequest(
                    data_centre=self._process.settings.data_centre,
                    tried=frozenset(tried),
                ),
                now_ms=self._process.clock.now_ms(),
            )
            if chosen is None:
                break
            tried.add(chosen.name)
            if await targets[chosen.name].probe():
                return targets[chosen.name]
        raise NoTargetError(service=service.name, version=version)
