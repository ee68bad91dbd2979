"""The platform's host list and the task that polls it."""

import enum
import random
from dataclasses import dataclass

import logbook
import msgspec

from .._convert import ConversionError, convert
from .listeners import Listeners
from .platform import ANSWER_LIMIT_MS, PlatformError, fetch

HOSTS_INTERVAL_MS = 2000
JITTER_RATIO = 0.1

_log = logbook.Logger("waxwinghold.platform")


class HostState(enum.StrEnum):
    """The state of a host as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Host:
    """One host of this system in the platform's list."""

    name: str
    role: str
    data_centre: str
    address: str
    public_key: str
    state: HostState


@dataclass(frozen=True, kw_only=True)
class HostList:
    """The hosts that the platform lists; the list may be out of date."""

    hosts: tuple[Host, ...] = ()

    def live_names(self, *, role, data_centre):
        """Return the names of the live hosts of a role in a data centre."""
        return tuple(
            host.name
            for host in self.hosts
            if host.state is HostState.LIVE
            and (host.role, host.data_centre) == (role, data_centre)
        )


class HostsWatch:
    """Polls the platform's host list at a fixed interval with jitter.

    Args:
        clock: The process's ``Clock``, used to sleep between reads.
        url: The platform's base URL.
        session: The ``aiohttp.ClientSession`` used for reads.
        interval_ms: Shortest time between reads; jitter adds up to
            ``JITTER_RATIO`` of it.
        may_read: Returns whether this process may read from the platform now.

    Attributes:
        hosts: The last ``HostList`` read; empty before the first read.
    """

    def __init__(
        self,
        *,
        clock,
        url,
        session,
        interval_ms=HOSTS_INTERVAL_MS,
        may_read=lambda: True,
    ):
        self._clock = clock
        self._url = url.rstrip("/")
        self._session = session
        self._interval_ms = interval_ms
        self._may_read = may_read
        self._listeners = Listeners()
        self.hosts = HostList()

    def listen(self, listener):
        """Call ``listener(host_list)`` after each change of the list."""
        self._listeners.add(listener)

    async def run(self):
        """Poll until cancelled; a failed read keeps the last list."""
        while True:
            if self._may_read():
                try:
                    await self._read_once()
                except PlatformError as error:
                    _log.warning("cannot read the host list: {}", error)
            jitter = 1 + JITTER_RATIO * random.random()
            await self._clock.sleep_ms(self._interval_ms * jitter)

    async def _read_once(self):
        document = await fetch(
            self._session, self._url + "/hosts", limit_ms=ANSWER_LIMIT_MS
        )
        hosts = _read_hosts(document or b"")
        if hosts == self.hosts:
            return
        self.hosts = hosts
        self._listeners.call(hosts)


def _read_hosts(document):
    try:
        return convert(msgspec.json.decode(document), HostList)
    except (ConversionError, msgspec.DecodeError, RecursionError) as error:
        raise PlatformError(f"the host list is malformed: {error}") from error
