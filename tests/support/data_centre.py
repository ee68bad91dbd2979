"""The gateways of one data centre and their store in simulated time.

The readers, the watcher of the store and the encoded notices are the product's own.
Hosts have links of a given width, whose queues drop what would wait too long.
"""

import asyncio
import base64
import json
import random
import urllib.parse
from collections import Counter

from waxwinghold._gateway import notices
from waxwinghold._gateway.connection import AnswerHead
from waxwinghold._gateway.errors import BodyTooLongError, SilentTargetError
from waxwinghold._gateway.published_state import PublishedState
from waxwinghold._gateway.readers import StoreReaders, reader_policy
from waxwinghold._gateway.targets import TargetPool
from waxwinghold.platform.store import StoreWatcher

from .gateway import limits_within
from .jumping_loop import LoopClock, play

LINK_BITS_PER_S = 14_000_000  # Of the smallest hosts.
LINK_BYTES_PER_MS = LINK_BITS_PER_S / 8 / 1000
WIDE_LINK_BYTES_PER_MS = 100_000_000 / 8 / 1000
QUEUE_LIMIT_MS = 100.0
# Sites with links as narrow as these have at least this time for a change.
LARGE_SITE_LIMIT_MS = 3000.0
HOP_MS = 1.0
STORE_MS = 4.0
HEADER_BYTES = 28  # IP and UDP.
PACKET_BYTES = 1472  # Of a datagram; longer ones are sent as several packets.


class SimulatedStore:
    """The platform's store, whose answers take the time of the asker's link.

    Args:
        bytes_per_ms: Width of that link.
    """

    def __init__(self, *, bytes_per_ms):
        self.revision = 1
        self._bytes_per_ms = bytes_per_ms
        self._history = []
        self._latest = {}
        self._changed = asyncio.Event()
        self.calls, self.bytes = Counter(), Counter()

    def put(self, key, value):
        """Write a value, or delete the key if it is ``None``."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            item["deleted"] = True
            self._latest.pop(key, None)
        else:
            item["value"] = base64.b64encode(value).decode()
            self._latest[key] = json.dumps(item)
        self._history.append((self.revision, json.dumps(item)))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, ip, path_and_query, *, body_limit_bytes):
        """Return the body of the answer to a call of the gateway at ``ip``.

        Raises:
            BodyTooLongError: Its length, which precedes it, is above the limit.
        """
        path, _, text = path_and_query.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        self.calls[ip] += 1
        if path == "/v1/kv-watch":
            body = await self._watch(int(query["after"]), int(query["wait-ms"]))
        else:
            items = [
                item
                for key, item in sorted(self._latest.items())
                if key.startswith(query["prefix"])
            ]
            body = f'{{"items":[{",".join(items)}],"at":{self.revision}}}'
        if len(body) > body_limit_bytes:
            await asyncio.sleep(STORE_MS / 1000)
            raise BodyTooLongError(what="body", limit=f"{body_limit_bytes} bytes")
        self.bytes[ip] += len(body)
        await asyncio.sleep((STORE_MS + len(body) / self._bytes_per_ms) / 1000)
        return body.encode()

    async def _watch(self, after, wait_ms):
        if self.revision <= after and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        events = [item for revision, item in self._history if revision > after]
        return f'{{"events":[{",".join(events)}],"at":{self.revision}}}'


class RecordedState(PublishedState):
    """Records when each version came into force, without the cost of route tables."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self.version = 0
        self.applied_ms = {}

    def apply_configuration(self, configuration):
        if configuration.version > self.version:
            self.version = configuration.version
            self.applied_ms[self.version] = self._clock.now_ms()


class SimulatedGateway:
    """One gateway's copy of the store; serves as the client of its store too."""

    def __init__(self, *, world, ip):
        self._world, self._ip = world, ip
        self.target_pool = TargetPool(clock=world.clock)
        self.published = RecordedState(
            clock=world.clock, target_pool=self.target_pool, grace_ms=2000.0
        )
        self.readers = StoreReaders(
            clock=world.clock,
            published=self.published,
            own_ip=ip,
            local_peers=lambda: [peer for peer in world.active_ips if peer != ip],
            send=lambda to, notice: world.send(ip, to, notice),
            limits=lambda: world.limits,
        )
        self.watcher = StoreWatcher(
            clock=world.clock,
            published=self.published,
            readers=self.readers,
            address=("127.0.0.1", 1),
            rng=random.Random(ip),
        )
        self.watcher._client = self

    async def exchange(self, method, path, *, limit_ms, body_limit_bytes):
        try:
            async with asyncio.timeout(limit_ms / 1000):
                answer = await self._world.store.answer(
                    self._ip, path, body_limit_bytes=body_limit_bytes
                )
        except TimeoutError as error:
            raise SilentTargetError("no answer of the store") from error
        return AnswerHead(status=200, headers=()), answer

    def names(self):
        """Return the names of the targets that this gateway knows."""
        return {target.listing.name for target in self.target_pool}

    def handle_notice(self, ip, notice):
        handlers = {
            "AskNotice": "on_ask",
            "FreshNotice": "on_fresh",
            "FragmentNotice": "on_fragment",
        }
        getattr(self.readers, handlers[type(notice).__name__])(ip, notice)


class DataCentre:
    """Gateways, their store and the network between them.

    Args:
        count: Number of gateways.
        loss: Share of the packets that the network loses.
        store_bytes_per_ms: Width of the link from the store to each gateway.
        limit_ms: Time until a change has to be in force everywhere.

    Attributes:
        lose: ``lose(sender, receiver, notice)`` tells whether to lose a datagram.
        sent_bytes, sent_count: What left each host, by IP and kind of notice.
        dropped_count: Datagrams that a full link dropped.
    """

    def __init__(
        self,
        *,
        count,
        loss=0.0,
        store_bytes_per_ms=LINK_BYTES_PER_MS,
        limit_ms=LARGE_SITE_LIMIT_MS,
    ):
        self.clock = LoopClock()
        self.limits = limits_within(limit_ms)
        self.store = SimulatedStore(bytes_per_ms=store_bytes_per_ms)
        self.lose = lambda sender, receiver, notice: False
        self.sent_bytes, self.sent_count = Counter(), Counter()
        self.dropped_count = 0
        self._loss = loss
        self._rng = random.Random(7)
        random.seed(7)  # Of the jitter.
        self._free_ms = {}
        self.active_ips = [f"10.0.0.{number + 10}" for number in range(count)]
        self.gateways = {
            ip: SimulatedGateway(world=self, ip=ip) for ip in self.active_ips
        }
        self._tasks = {}

    def start(self):
        for ip, gateway in self.gateways.items():
            self._tasks[ip] = asyncio.create_task(gateway.watcher.run())

    def stop(self, ip):
        """End a gateway; the others notice it by its silence."""
        self._tasks[ip].cancel()
        del self.gateways[ip]

    @property
    def reader(self):
        """Return the address of the gateway that reads for the others."""
        policy = reader_policy.make("first_of_data_centre")
        own_ip, *others = self.active_ips
        return policy.choose(own_ip=own_ip, local_peers=others)

    def send(self, sender, receiver, notice):
        if sender not in self.gateways:
            return
        data = notices.encoder.encode(notice)
        if len(data) > notices.LIMIT_BYTES:
            raise AssertionError(f"{type(notice).__name__} of {len(data)} bytes")
        size = len(data) + HEADER_BYTES
        now_ms = self.clock.now_ms()
        free_ms = max(now_ms, self._free_ms.get(sender, 0.0))
        if free_ms - now_ms > QUEUE_LIMIT_MS:
            self.dropped_count += 1
            return
        self._free_ms[sender] = free_ms + size / LINK_BYTES_PER_MS
        kind = type(notice).__name__
        self.sent_bytes[sender, kind] += size
        self.sent_count[sender, kind] += 1
        packets_count = -(-len(data) // PACKET_BYTES)
        is_lost = any(self._rng.random() < self._loss for _ in range(packets_count))
        if is_lost or self.lose(sender, receiver, notice):
            return
        asyncio.get_running_loop().call_later(
            (self._free_ms[sender] - now_ms + HOP_MS) / 1000,
            self._deliver,
            sender,
            receiver,
            data,
        )

    def _deliver(self, sender, receiver, data):
        if receiver in self.gateways:
            notice = notices.decoder.decode(data)
            self.gateways[receiver].handle_notice(sender, notice)

    def took_ms(self, version, since_ms):
        """Return how long each gateway took until ``version`` or a later one.

        Returns:
            Milliseconds from ``since_ms`` on by address; infinite if it is not in
            force.
        """
        return {
            ip: min(
                (
                    applied_ms - since_ms
                    for applied, applied_ms in gateway.published.applied_ms.items()
                    if applied >= version
                ),
                default=float("inf"),
            )
            for ip, gateway in self.gateways.items()
        }

    async def close(self):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)


def run_data_centre(scenario, **arguments):
    """Run ``scenario`` on a new ``DataCentre`` and return its result."""

    async def run():
        world = DataCentre(**arguments)
        try:
            return await scenario(world)
        finally:
            await world.close()

    return play(run)
