"""Speaks the users' platform's protocol for one rank of a ``FleetGroup``."""

import json

from waxwinghold._ranks.model import Order, OrderKind

from ._raw_http import RawServer, answer_bytes

CHOICES_PER_STEP = 10
HOT_EXPERT_SHARE = 40  # Choices of the hot expert for one of any other.
SHIFT_STEPS_COUNT = 100  # Demand shifts, so that maps change again and again.


class FleetRankServer(RawServer):
    """Reports, counts and orders of a rank, over HTTP.

    Args:
        rank: The ``FleetRank``.

    Attributes:
        is_answer_lost: Called for each order; true leaves it unanswered, though
            it is carried out.
    """

    def __init__(self, *, rank):
        super().__init__()
        self._rank = rank
        self.is_answer_lost = lambda: False

    async def handle(self, request, writer):
        path, _, query = request.path.partition("?")
        if path == "/v1/report":
            return self._answer(writer, 200, self._report())
        if path == "/v1/picked":
            return self._answer(writer, 200, self._picked("lists" in query))
        if path == "/v1/order":
            accepted = self._rank.execute(_order(json.loads(request.body)))
            if self.is_answer_lost():
                return False
            return self._answer(writer, 202 if accepted else 409, {})
        return self._answer(writer, 404, {})

    def _answer(self, writer, status, document):
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json")]
        writer.write(answer_bytes(status, headers, body))
        return True

    def _report(self):
        report = self._rank.report()
        group = {
            "name": report.group,
            "epoch": report.epoch,
            "rank": report.rank,
            "state": "open" if report.is_open else "broken",
        }
        return {
            "born": report.born_ms,
            "seq": report.orders_count,
            "active": report.running_count,
            "queued": report.waiting_count,
            "group": group,
            "size": report.size,
            "step": report.step,
            "map": report.map_version,
            "prepared": report.prepared,
            "armed": report.armed,
            "held": report.held,
        }

    def _picked(self, lists):
        if lists:
            rank = self._rank
            return {"map": {"version": rank.version, "experts": rank.experts}}
        step = self._rank.group.step
        counts = []
        for number, _ in enumerate(self._rank.experts):
            counts += self._counts(step, number)
        return {"step": step, "epoch": self._rank.group.epoch, "counts": counts}

    def _counts(self, step, number):
        """Return the counts of one set; they only grow, and the hot expert moves."""
        counts = [step * CHOICES_PER_STEP] * self._rank.group.experts_count
        for first in range(0, step, SHIFT_STEPS_COUNT):
            hot = (number + first // SHIFT_STEPS_COUNT) % len(counts)
            steps_count = min(SHIFT_STEPS_COUNT, step - first)
            counts[hot] += steps_count * CHOICES_PER_STEP * HOT_EXPERT_SHARE
        return counts


def _order(fields):
    return Order(
        kind=OrderKind(fields["operation"]),
        epoch=fields["epoch"],
        orders_count=fields["expected-rev"],
        token=fields["fencing-token"],
        step=fields.get("step"),
        version=fields.get("version"),
        ranks_by_set=fields.get("map"),
    )
