"""HTTP server of a ``FleetRank``, in the protocol of the users' platform."""

import json

from waxwinghold._ranks.model import Order, OrderKind

from ._raw_http import RawServer, answer_bytes

CHOICES_PER_STEP = 10
# Additional choices of the hot expert per choice of any other.
HOT_EXPERT_FACTOR = 40
# Steps until another expert is hot, so that maps keep changing.
HOT_EXPERT_STEPS_COUNT = 100


class FleetRankServer(RawServer):
    """Serves the reports and expert counts of a rank over HTTP, and accepts orders.

    Args:
        rank: The ``FleetRank``.

    Attributes:
        is_answer_lost: Function that is called for each order after it was executed;
            if it returns true, the order is not answered.
    """

    def __init__(self, *, rank):
        super().__init__()
        self._rank = rank
        self.is_answer_lost = lambda: False

    async def handle(self, request, writer):
        path, _, query = request.path.partition("?")
        if path == "/v1/report":
            return self._write_answer(writer, 200, self._report())
        if path == "/v1/picked":
            return self._write_answer(
                writer, 200, self._counts_or_map("lists" in query)
            )
        if path == "/v1/order":
            accepted = self._rank.execute(_parse_order(json.loads(request.body)))
            if self.is_answer_lost():
                return False
            return self._write_answer(writer, 202 if accepted else 409, {})
        return self._write_answer(writer, 404, {})

    def _write_answer(self, writer, status, document):
        """Write a JSON answer; return ``True``, since the connection stays open."""
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json")]
        if self._rank.leaving:
            headers.append(("Server-Leaving", "1"))
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

    def _counts_or_map(self, is_map_requested):
        """Return the document of ``/v1/picked``: the expert counts, or the map."""
        if is_map_requested:
            rank = self._rank
            return {"map": {"version": rank.version, "experts": rank.experts}}
        step = self._rank.group.step
        counts = []
        for set_number, _ in enumerate(self._rank.experts):
            counts += self._counts(step, set_number)
        return {"step": step, "epoch": self._rank.group.epoch, "counts": counts}

    def _counts(self, step, set_number):
        """Return how often each expert of a set was chosen in all steps so far.

        One expert is hot, another one after every ``HOT_EXPERT_STEPS_COUNT`` steps.

        Args:
            step: The last step.
            set_number: Number of the set.
        """
        counts = [step * CHOICES_PER_STEP] * self._rank.group.experts_count
        for first in range(0, step, HOT_EXPERT_STEPS_COUNT):
            hot = (set_number + first // HOT_EXPERT_STEPS_COUNT) % len(counts)
            steps_count = min(HOT_EXPERT_STEPS_COUNT, step - first)
            counts[hot] += steps_count * CHOICES_PER_STEP * HOT_EXPERT_FACTOR
        return counts


def _parse_order(fields):
    """Return the ``Order`` that the fields of a request describe."""
    return Order(
        kind=OrderKind(fields["operation"]),
        epoch=fields["epoch"],
        orders_count=fields["expected-rev"],
        token=fields["fencing-token"],
        step=fields.get("step"),
        version=fields.get("version"),
        ranks_by_set=fields.get("map"),
    )
