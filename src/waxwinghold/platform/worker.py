"""Calls a worker: reads its report and its expert counts, and sends it orders."""

import logbook
import msgspec

from .._gateway.client import KeepAliveClient
from .._gateway.errors import MalformedAnswerError
from .._gateway.notices import Count, Pace
from .._ranks.model import OrderKind, RankReport
from .._ranks.port import RankPort
from .codec import announces_leaving
from .entries import UNREADABLE_ERRORS

log = logbook.Logger("worker")

CALL_LIMIT_MS = 250.0  # Between data centres an answer takes a few milliseconds.
# On the same host an answer takes about 1 ms. An order without an answer by then may
# still be carried out seconds later; the leader sends another one.
ORDER_LIMIT_MS = 80.0
ACCEPTED_STATUSES = (200, 202)
MISDIRECTED = 421
TOKEN_TOO_LOW = 412


class _Group(msgspec.Struct, rename="kebab"):
    name: str
    epoch: Count
    rank: Count
    state: str


class _Report(msgspec.Struct, rename="kebab"):
    """The worker's report.

    ``seq`` counts accepted orders, ``active`` and ``queued`` count requests. The
    forms of ``prepared``, ``armed`` and ``held`` vary; ``_version`` and ``_step``
    read them.
    """

    born: Count = 0
    seq: Count = 0
    active: Count = 0
    queued: Count = 0
    group: _Group | None = None
    size: Count = 0
    pace: Pace = 1.0
    step: Count = 0
    map: Count = 0
    prepared: object = None
    armed: object = None
    held: object = None


class _Map(msgspec.Struct, rename="kebab"):
    version: Count
    experts: list[list[Count]]


class _Lists(msgspec.Struct, rename="kebab"):
    map: _Map


class _Picked(msgspec.Struct, rename="kebab"):
    counts: list[Count]


_report_decoder = msgspec.json.Decoder(_Report)
_lists_decoder = msgspec.json.Decoder(_Lists)
_picked_decoder = msgspec.json.Decoder(_Picked)


class WorkerPort(RankPort):
    """Calls the worker at an address.

    Args:
        address: ``(ip, port)`` of the worker.
        on_low_token: Called when the worker rejected an order because its fencing
            token was too low.
    """

    def __init__(self, *, address, on_low_token=lambda: None):
        self._client = KeepAliveClient(address=address)
        self._orders_client = KeepAliveClient(address=address)
        self.on_low_token = on_low_token

    async def report(self):
        head, report = await self._read("/v1/report", _report_decoder)
        group = report.group
        if group is None:
            return None
        if group.rank >= report.size:
            raise MalformedAnswerError(f"rank {group.rank} of {report.size} ranks")
        return RankReport(
            born_ms=report.born,
            group=group.name,
            epoch=group.epoch,
            rank=group.rank,
            size=report.size,
            is_open=group.state == "open",
            step=report.step,
            map_version=report.map,
            prepared=_version(report.prepared),
            armed=_version(report.armed),
            held=_step(report.held),
            orders_count=report.seq,
            running_count=report.active,
            waiting_count=report.queued,
            pace=report.pace,
            is_leaving=announces_leaving(head),
        )

    async def expert_counts(self, *, sets_count):
        _, picked = await self._read("/v1/picked", _picked_decoder)
        if not sets_count or len(picked.counts) % sets_count:
            raise MalformedAnswerError(
                f"{len(picked.counts)} counts of {sets_count} sets"
            )
        size = len(picked.counts) // sets_count
        return [
            picked.counts[index * size : (index + 1) * size]
            for index in range(sets_count)
        ]

    async def resident_experts(self):
        _, lists = await self._read("/v1/picked?lists=1", _lists_decoder)
        return lists.map.version, lists.map.experts

    async def send_order(self, order):
        body = {
            "operation": order.kind.value,
            "epoch": order.epoch,
            "expected-rev": order.orders_count,
            "fencing-token": order.token,
        }
        if order.step is not None:
            body["step"] = order.step
        if order.version is not None:
            body["version"] = order.version
        if order.kind is OrderKind.PREPARE:
            body["map"] = order.ranks_by_set
        status, answer = await self._orders_client.call(
            "POST", "/v1/order", limit_ms=ORDER_LIMIT_MS, body=msgspec.json.encode(body)
        )
        if status == TOKEN_TOO_LOW:
            self.on_low_token()
        if status not in ACCEPTED_STATUSES:
            log.info(
                "order rejected",
                extra={
                    "kind": order.kind.value,
                    "status": status,
                    "reason": answer[:200].decode("latin-1"),
                },
            )
        return status in ACCEPTED_STATUSES

    async def _read(self, path, decoder):
        head, body = await self._client.exchange("GET", path, limit_ms=CALL_LIMIT_MS)
        if head.status != 200:
            raise MalformedAnswerError(f'"{path}" returned status {head.status}')
        try:
            return head, decoder.decode(body)
        except UNREADABLE_ERRORS as error:
            raise MalformedAnswerError(f'"{path}": {error}') from error


def _version(value):
    """Return the map version in a report's field, whose form varies."""
    if isinstance(value, dict):
        value = value.get("version")
    if isinstance(value, list):
        value = value[0] if value else None
    return _count(value)


def _step(value):
    """Return the step in a report's field, whose form varies."""
    if isinstance(value, dict):
        value = value.get("step")
    return _count(value)


def _count(value):
    try:
        return msgspec.convert(value, Count | None)
    except msgspec.ValidationError as error:
        raise MalformedAnswerError(f"field of the report: {error}") from error
