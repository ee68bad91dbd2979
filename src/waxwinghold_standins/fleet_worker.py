"""Stand-in of a worker of the users' platform, right or wrong on demand."""

import asyncio

from ._raw_http import RawServer, answer_bytes, reset_connection

MS_PER_SECOND = 1000
SEAL_HEADER = "Server-Seal"


class FleetWorker(RawServer):
    """A worker that answers as ``behaviour`` says.

    Args:
        name: Its id in the store.
        behaviour: Name of a method ``_answer_...``; may be changed at any time.
        events_count: Events of each stream.
        event_ms: Time between them.

    Attributes:
        runs: ``Attempt-Id`` of each request that it ran, in order.
        requests: Every ``RawRequest`` that arrived.
    """

    def __init__(self, *, name, behaviour="whole", events_count=5, event_ms=5.0):
        super().__init__()
        self.name = name
        self.behaviour = behaviour
        self.events_count = events_count
        self.event_ms = event_ms
        self.body = b"the whole body of " + name.encode()
        self.runs = []
        self.requests = []
        self.running_count = 0
        self.peak_running_count = 0

    async def handle(self, request, writer):
        self.requests.append(request)
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.name:
            headers = [("Instance-Id", self.name)]
            writer.write(answer_bytes(421, headers))
            return True
        return await getattr(self, f"_answer_{self.behaviour}")(request, writer)

    def record_run(self, request):
        """Note that the request ran; return the headers of its answer."""
        request_id = request.headers.get("attempt-id", "")
        self.runs.append(request_id)
        return [
            ("Attempt-Id", request_id),
            (SEAL_HEADER, f"seal.{self.name}"),
            ("Server-Load", f"{self.running_count},0,6"),
        ]

    async def _answer_whole(self, request, writer):
        writer.write(answer_bytes(200, self.record_run(request), self.body))
        return True

    async def _answer_slow(self, request, writer):
        headers = self.record_run(request)
        self.running_count += 1
        self.peak_running_count = max(self.peak_running_count, self.running_count)
        await asyncio.sleep(self.event_ms * self.events_count / MS_PER_SECOND)
        self.running_count -= 1
        writer.write(answer_bytes(200, headers, self.body))
        return True

    async def _answer_failing(self, request, writer):
        writer.write(answer_bytes(500, self.record_run(request), b"failed"))
        return True

    async def _answer_shed(self, request, writer):
        writer.write(answer_bytes(503, [("Not-Executed", "1")]))
        return True

    async def _answer_reset(self, request, writer):
        self.record_run(request)
        reset_connection(writer)
        return False

    async def _answer_silent(self, request, writer):
        self.record_run(request)
        await asyncio.sleep(3600)
        return False

    async def _answer_truncated(self, request, writer):
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data[:-5])
        await writer.drain()
        return False

    async def _answer_garbage(self, request, writer):
        self.record_run(request)
        writer.write(b"\x00\x01 no answer at all\r\n\r\n")
        return True

    async def _answer_unframed(self, request, writer):
        writer.write(
            answer_bytes(200, self.record_run(request), self.body, length=False)
        )
        await writer.drain()
        return False

    async def _answer_unframed_reset(self, request, writer):
        data = answer_bytes(200, self.record_run(request), self.body, length=False)
        writer.write(data[:-5])
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)
        return False

    async def _answer_doubled(self, request, writer):
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data + data)
        return True

    async def _answer_late_extra(self, request, writer):
        """Answer, and put a second answer where the next one is expected."""
        earlier = self.runs[-1] if self.runs else None
        headers = self.record_run(request)
        if earlier is not None:
            stale = [("Attempt-Id", earlier), (SEAL_HEADER, "stale")]
            writer.write(answer_bytes(200, stale, b"an answer to another request"))
        writer.write(answer_bytes(200, headers, self.body))
        return True

    async def _answer_stream(self, request, writer):
        await self._stream(request, writer, stop_after=self.events_count)
        return True

    async def _answer_stream_cut(self, request, writer):
        """Break off in the middle of an event."""
        await self._stream(request, writer, stop_after=2, cut=True)
        reset_connection(writer)
        return False

    async def _answer_stream_halted(self, request, writer):
        """Send two events and then nothing more, with the connection open."""
        await self._stream(request, writer, stop_after=2, end=False)
        await asyncio.sleep(3600)
        return False

    async def _stream(self, request, writer, *, stop_after, cut=False, end=True):
        headers = [*self.record_run(request), ("Content-Type", "text/event-stream")]
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer_bytes(200, headers, length=False))
        first = int(request.headers.get("last-event-id", 0)) + 1
        sent_count = 0
        for number in range(first, self.events_count + 1):
            if sent_count >= stop_after:
                break
            await asyncio.sleep(self.event_ms / MS_PER_SECOND)
            writer.write(http_chunk(stream_event(number)))
            await writer.drain()
            sent_count += 1
        if cut:
            writer.write(http_chunk(stream_event(first + sent_count)[:7]))
            await writer.drain()
            await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        elif end:
            writer.write(b"0\r\n\r\n")


def stream_event(number):
    """Return the bytes of a stream's event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def http_chunk(data):
    """Return ``data`` as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
