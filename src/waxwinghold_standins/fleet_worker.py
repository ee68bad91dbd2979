"""Stand-in for a worker of the users' platform, with selectable faulty behaviour."""

import asyncio
import math
import weakref

from ._endless import send_blocks, send_endless
from ._raw_http import RawServer, answer_bytes, reset_connection

MS_PER_SECOND = 1000
DRIBBLE_INTERVAL_S = 0.3
SEAL_HEADER = "Server-Seal"


class FleetWorker(RawServer):
    """A worker that answers each request according to ``behaviour``.

    Args:
        name: Id of the worker in the store.
        behaviour: Selects the method ``_answer_<behaviour>``; may be changed at any
            time.
        events_count: Number of events in a complete stream.
        event_ms: Time between two events of a stream.
        crash_part: Id of a prompt part that crashes the worker as it begins an answer.
        crash_path: Path of requests that crash the worker before it answers, or after
            ``crash_events_count`` events.
        crash_events_count: Events of an answer that are sent before a crash in it.
        restart_ms: Time from a crash until the worker listens again.
        on_restart: Called with the worker as it listens again, under a new name.

    Attributes:
        leaving: Whether every answer announces that the worker leaves.
        pause_s: Pause in a stream in seconds, for the behaviour ``stream_paused``.
        endless: Kind of the ``ENDLESS`` answers for the behaviours ``endless``,
            ``endless_shed`` and ``endless_late``.
        endless_bytes: Bytes of endless answers sent so far.
        stray_bytes: Bytes sent before each answer but the first of a connection, for
            the behaviour ``after_stray``, or before each one, for ``begun_twice``.
        after_stray: Behaviour that selects the answer behind them.
        filling: Bytes sent in place of the rest of an answer, for the behaviours
            ``filled_up`` and ``stream_filled_up``, or behind one, for ``trailed``.
        fillings_count: How many answers of ``filled_up`` are broken off.
        event_text: Text of each event of a stream; empty for one with its number.
        cut_bytes: Bytes of an answer that are sent before its connection ends, for the
            behaviour ``cut``.
        cut_framing: How the body of that answer ends: ``length``, ``chunked`` or
            ``until_close``.
        cut_by_reset: Whether its connection is reset instead of closed.
        cut_answer_bytes: Bytes of the last head and of the last whole answer that
            were cut.
        names_requests: Whether answers have the ``Attempt-Id`` of their request.
        event_bytes: Size of an event, for the behaviour ``endless_events``.
        pause_text: Value of ``Retry-After`` in rejections; empty for none.
        limit_text: Value of ``Server-Limit`` in answers; empty for none.
        body: Body of an answer that is not a stream.
        failure: Body of an answer of the behaviours ``failing`` and ``begun_twice``.
        runs: ``Attempt-Id`` of each request that was run, in the order of arrival.
        requests: Every ``RawRequest`` that arrived.
        running_count: Number of slow requests that run now.
        peak_running_count: Highest ``running_count`` so far.
        crash_times_s: When the worker crashed, by the clock of the event loop.
        previous_name: Its name before the last crash.
    """

    def __init__(
        self,
        *,
        name,
        behaviour="whole",
        events_count=5,
        event_ms=5.0,
        crash_part="",
        crash_path="",
        crash_events_count=0,
        restart_ms=300.0,
        on_restart=lambda worker: None,
    ):
        super().__init__()
        self.crash_part = crash_part
        self.crash_path = crash_path
        self.crash_events_count = crash_events_count
        self.restart_ms = restart_ms
        self.on_restart = on_restart
        self.crash_times_s = []
        self.previous_name = name
        self._restart_task = None
        self.leaving = False
        self.pause_s = 0.0
        self.pause_text = ""
        self.limit_text = ""
        self.endless = "chunked"
        self.endless_bytes = 0
        self.stray_bytes = b""
        self.after_stray = "failing"
        self.filling = b""
        self.fillings_count = math.inf
        self.failure = b"failed"
        self.cut_bytes = 0
        self.cut_framing = "length"
        self.cut_by_reset = False
        self.cut_answer_bytes = (0, 0)
        self.names_requests = True
        self._kept_writers = weakref.WeakSet()  # Of connections with an answer.
        self.event_bytes = 1000
        self.event_text = b""
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
        expected_name = request.headers.get("expect-instance")
        if expected_name is not None and expected_name != self.name:
            headers = [("Instance-Id", self.name)]
            writer.write(answer_bytes(421, headers))
            return True
        if self.crash_part and self.crash_part in shared_parts(request):
            return await self._crash_in_answer(request, writer)
        if self.crash_path and self.crash_path == request.path:
            if self.crash_events_count:
                return await self._crash_in_answer(request, writer)
            self.record_run(request)
            return self._crash()
        is_kept = await getattr(self, f"_answer_{self.behaviour}")(request, writer)
        self._kept_writers.add(writer)
        return is_kept

    async def stop(self):
        if self._restart_task is not None:
            self._restart_task.cancel()
        await super().stop()

    async def _crash_in_answer(self, request, writer):
        """Begin an answer, send ``crash_events_count`` events of it, then crash."""
        headers = [*self.record_run(request), ("Content-Type", "text/event-stream")]
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer_bytes(200, headers, with_length=False))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, first + self.crash_events_count):
            writer.write(http_chunk(stream_event(number)))
            await writer.drain()
        await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        return self._crash()

    def _crash(self):
        """End every connection, and restart some time later."""
        if self._restart_task is None or self._restart_task.done():
            self.crash_times_s.append(asyncio.get_running_loop().time())
            self._server.close()
            for open_writer in list(self._writers):
                open_writer.transport.abort()
            self._restart_task = asyncio.create_task(self._restart())
        return False

    async def _restart(self):
        await asyncio.sleep(self.restart_ms / MS_PER_SECOND)
        self.previous_name = self.name
        self.name = f"{self.name.partition('.')[0]}.{len(self.crash_times_s)}"
        await self.start(*self.address)
        self.on_restart(self)

    def record_run(self, request):
        """Record that a request was run; return the headers of its answer."""
        attempt_id = request.headers.get("attempt-id", "")
        self.runs.append(attempt_id)
        # Server-Load: running and waiting requests, and a number the gateway ignores.
        name = [("Attempt-Id", attempt_id)] if self.names_requests else []
        return [
            *name,
            (SEAL_HEADER, f"seal.{self.name}"),
            ("Server-Load", f"{self.running_count},0,6"),
            *self._signal_headers(),
        ]

    def _signal_headers(self):
        headers = [("Server-Leaving", "1")] if self.leaving else []
        if self.limit_text:
            headers.append(("Server-Limit", self.limit_text))
        return headers

    async def _answer_whole(self, request, writer):
        writer.write(answer_bytes(200, self.record_run(request), self.body))
        return True

    async def _answer_interim(self, request, writer):
        """Send two interim heads before the answer."""
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return await self._answer_whole(request, writer)

    async def _answer_slow(self, request, writer):
        """Answer after the time that a complete stream takes."""
        headers = self.record_run(request)
        self.running_count += 1
        self.peak_running_count = max(self.peak_running_count, self.running_count)
        await asyncio.sleep(self.event_ms * self.events_count / MS_PER_SECOND)
        self.running_count -= 1
        writer.write(answer_bytes(200, headers, self.body))
        return True

    async def _answer_timed(self, request, writer):
        """Answer after the milliseconds that the path ends with."""
        headers = self.record_run(request)
        await asyncio.sleep(int(request.path.rpartition("/")[2]) / MS_PER_SECOND)
        writer.write(answer_bytes(200, headers, self.body))
        return True

    async def _answer_timed_shed(self, request, writer):
        """Reject the request after the milliseconds that the path ends with."""
        await asyncio.sleep(int(request.path.rpartition("/")[2]) / MS_PER_SECOND)
        return await self._answer_shed(request, writer)

    async def _answer_failing(self, request, writer):
        writer.write(answer_bytes(500, self.record_run(request), self.failure))
        return True

    async def _answer_shed(self, request, writer):
        """Reject the request without running it."""
        headers = [("Not-Executed", "1"), *self._signal_headers()]
        if self.pause_text:
            headers.append(("Retry-After", self.pause_text))
        writer.write(answer_bytes(503, headers))
        return True

    async def _answer_unavailable(self, request, writer):
        """Answer 503 without saying that the request did not run."""
        headers = self.record_run(request)
        if self.pause_text:
            headers.append(("Retry-After", self.pause_text))
        writer.write(answer_bytes(503, headers, b"unavailable"))
        return True

    async def _answer_reset(self, request, writer):
        """Run the request, then reset the connection without an answer."""
        self.record_run(request)
        reset_connection(writer)
        return False

    async def _answer_silent(self, request, writer):
        """Run the request and keep the connection open without an answer."""
        self.record_run(request)
        await asyncio.sleep(3600)
        return False

    async def _answer_truncated(self, request, writer):
        """Close the connection before the end of the body."""
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data[:-5])
        await writer.drain()
        return False

    async def _answer_garbage(self, request, writer):
        """Run the request and answer with bytes that are not HTTP."""
        self.record_run(request)
        writer.write(b"\x00\x01 no answer at all\r\n\r\n")
        return True

    async def _answer_unframed(self, request, writer):
        """Answer without ``Content-Length`` and end the body with the connection."""
        writer.write(
            answer_bytes(200, self.record_run(request), self.body, with_length=False)
        )
        await writer.drain()
        return False

    async def _answer_unframed_reset(self, request, writer):
        """Answer without ``Content-Length`` and reset the connection in the body."""
        data = answer_bytes(200, self.record_run(request), self.body, with_length=False)
        writer.write(data[:-5])
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)
        return False

    async def _answer_framed_reset(self, request, writer):
        """Answer with ``Content-Length`` and reset the connection in the body."""
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data[:-5])
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)
        return False

    async def _answer_cut(self, request, writer):
        """End the connection after ``cut_bytes`` bytes of the answer."""
        headers = self.record_run(request)
        body = self.body
        if request.path.startswith(("/stream/", "/once/")):
            headers.append(("Content-Type", "text/event-stream"))
            numbers = range(1, self.events_count + 1)
            body = b"".join(stream_event(number) for number in numbers)
        if self.cut_framing == "chunked":
            headers.append(("Transfer-Encoding", "chunked"))
        with_length = self.cut_framing == "length"
        head = answer_bytes(200, headers, body, with_length=with_length)
        head = head.removesuffix(body)
        if self.cut_framing == "chunked":
            body = http_chunk(body) + b"0\r\n\r\n"
        self.cut_answer_bytes = (len(head), len(head + body))
        writer.write((head + body)[: self.cut_bytes])
        await writer.drain()
        if self.cut_by_reset:
            # What was sent has to arrive before the reset.
            await asyncio.sleep(self.event_ms / MS_PER_SECOND)
            reset_connection(writer)
        return False

    async def _answer_doubled(self, request, writer):
        """Send the same answer twice."""
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data + data)
        return True

    async def _answer_late_extra(self, request, writer):
        """Send an answer to the previous request before the expected answer."""
        previous_id = self.runs[-1] if self.runs else None
        headers = self.record_run(request)
        if previous_id is not None:
            stale = [("Attempt-Id", previous_id), (SEAL_HEADER, "stale")]
            writer.write(answer_bytes(200, stale, b"an answer to another request"))
        writer.write(answer_bytes(200, headers, self.body))
        return True

    async def _answer_late_refusal(self, request, writer):
        """Send the refusal of an earlier request before the expected answer."""
        earlier_id = self.runs[-1] if self.runs else "an-earlier-request"
        headers = self.record_run(request)
        stale = [("Attempt-Id", earlier_id), ("Not-Executed", "1")]
        writer.write(answer_bytes(503, stale, b"full"))
        await writer.drain()
        await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        writer.write(answer_bytes(200, headers, self.body))
        return True

    async def _answer_after_stray(self, request, writer):
        """Send ``stray_bytes`` before the expected answer on a kept connection."""
        if writer in self._kept_writers:
            writer.write(self.stray_bytes)
            await writer.drain()
            await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        return await getattr(self, f"_answer_{self.after_stray}")(request, writer)

    async def _answer_trailed(self, request, writer):
        """Send ``filling`` behind the answer, in one piece with it."""
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data + self.filling)
        return True

    async def _answer_begun_twice(self, request, writer):
        """Begin a success with ``stray_bytes``, then answer with a failure."""
        writer.write(self.stray_bytes)
        return await self._answer_failing(request, writer)

    async def _answer_filled_up(self, request, writer):
        """Break the answer off in the middle of its body and send ``filling``.

        Later than ``fillings_count`` such answers, they are whole.
        """
        if not self.fillings_count:
            return await self._answer_whole(request, writer)
        self.fillings_count -= 1
        data = answer_bytes(200, self.record_run(request), self.body)
        writer.write(data[: -len(self.body) // 2])
        return await self._fill_up(writer)

    async def _answer_stream_filled_up(self, request, writer):
        """Break a stream without a length off in an event and send ``filling``."""
        await self._stream(
            request, writer, stop_after=2, cut=True, frame=bytes, end=False
        )
        return await self._fill_up(writer)

    async def _fill_up(self, writer):
        await writer.drain()
        await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        writer.write(self.filling)
        await writer.drain()
        return True

    async def _answer_shed_twice(self, request, writer):
        """Reject the request, and send the same rejection once more."""
        rejection = answer_bytes(503, [("Not-Executed", "1")], b"full")
        writer.write(rejection)
        await writer.drain()
        await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        writer.write(rejection)
        return True

    async def _answer_endless(self, request, writer):
        """Run the request and send bytes without end instead of an answer."""
        headers = self.record_run(request)
        await self._send_endless(writer, headers=headers)
        return False

    async def _answer_endless_shed(self, request, writer):
        """Reject the request with an answer that does not end."""
        await self._send_endless(writer, status=503, headers=[("Not-Executed", "1")])
        return False

    async def _answer_endless_late(self, request, writer):
        """Run the request and send an answer to another one that does not end."""
        self.record_run(request)
        await self._send_endless(writer, headers=[("Attempt-Id", "another")])
        return False

    async def _answer_endless_answers(self, request, writer):
        """Run the request and send answers to other ones without end."""
        self.record_run(request)
        answer = answer_bytes(200, [("Attempt-Id", "another")])
        await send_blocks(writer, answer * 200, on_sent=self._count_endless)
        return False

    async def _answer_endless_events(self, request, writer):
        """Send a stream whose events do not end, as fast as they are read."""
        headers = [*self.record_run(request), ("Content-Type", "text/event-stream")]
        writer.write(answer_bytes(200, headers, with_length=False))
        event = b'data: "' + b"x" * self.event_bytes + b'"\n\n'
        await send_blocks(writer, event * 16, on_sent=self._count_endless)
        return False

    async def _send_endless(self, writer, **answer):
        await send_endless(writer, self.endless, on_sent=self._count_endless, **answer)

    def _count_endless(self, size_bytes):
        self.endless_bytes += size_bytes

    async def _answer_stream(self, request, writer):
        await self._stream(request, writer, stop_after=self.events_count)
        return True

    async def _answer_stream_cut(self, request, writer):
        """Send two events and a part of the third, then reset the connection."""
        await self._stream(request, writer, stop_after=2, cut=True)
        reset_connection(writer)
        return False

    async def _answer_stream_halted(self, request, writer):
        """Send two events, then nothing more, and keep the connection open."""
        await self._stream(request, writer, stop_after=2, end=False)
        await asyncio.sleep(3600)
        return False

    async def _answer_stream_dribbled(self, request, writer):
        """Send two events, then one byte every 300 ms that never completes a third."""
        await self._stream(request, writer, stop_after=2, end=False)
        while not writer.is_closing():
            await asyncio.sleep(DRIBBLE_INTERVAL_S)
            writer.write(http_chunk(b":"))
            await writer.drain()
        return False

    async def _answer_stream_paused(self, request, writer):
        """Send a whole stream with a pause of ``pause_s`` after two events."""
        await self._stream(request, writer, stop_after=2, end=False)
        await asyncio.sleep(self.pause_s)
        for number in range(3, self.events_count + 1):
            writer.write(http_chunk(stream_event(number)))
        writer.write(b"0\r\n\r\n")
        return True

    async def _answer_stream_paused_cut(self, request, writer):
        """Send an event and a part of the next one after a pause, and close at once."""
        await self._stream(request, writer, stop_after=2, end=False)
        await asyncio.sleep(self.pause_s)
        writer.write(http_chunk(stream_event(3)) + http_chunk(stream_event(4)[:9]))
        await writer.drain()
        return False

    async def _answer_stream_unframed(self, request, writer):
        """Send a whole stream that ends with its connection."""
        await self._stream(
            request, writer, stop_after=self.events_count, frame=bytes, end=False
        )
        return False

    async def _answer_stream_unframed_cut(self, request, writer):
        """End an unframed stream with its connection, in the middle of an event."""
        await self._stream(request, writer, stop_after=2, cut=True, frame=bytes)
        return False

    async def _answer_stream_unframed_empty(self, request, writer):
        """End an unframed stream with its connection, before the first event."""
        await self._stream(request, writer, stop_after=0, frame=bytes, end=False)
        return False

    async def _answer_stream_unframed_reset(self, request, writer):
        """Reset the connection of an unframed stream between two events."""
        await self._stream(request, writer, stop_after=2, frame=bytes, end=False)
        await asyncio.sleep(0.02)
        reset_connection(writer)
        return False

    async def _stream(
        self, request, writer, *, stop_after, cut=False, end=True, frame=None
    ):
        """Send events as a chunked body, from the one after ``Last-Event-ID`` on.

        Args:
            request: The ``RawRequest``.
            writer: The ``asyncio.StreamWriter`` of its connection.
            stop_after: Maximum number of events to send.
            cut: Whether to send a part of the next event after them.
            end: Whether to end the body properly, unless it is cut.
            frame: Function that returns the bytes to send for a piece of the body;
                ``None`` for chunks.
        """
        headers = [*self.record_run(request), ("Content-Type", "text/event-stream")]
        if frame is None:
            frame = http_chunk
            headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer_bytes(200, headers, with_length=False))
        first = int(request.headers.get("last-event-id", 0)) + 1
        sent_count = 0
        for number in range(first, self.events_count + 1):
            if sent_count >= stop_after:
                break
            await asyncio.sleep(self.event_ms / MS_PER_SECOND)
            writer.write(frame(stream_event(number, text=self.event_text)))
            await writer.drain()
            sent_count += 1
        if cut:
            writer.write(frame(stream_event(first + sent_count)[:7]))
            await writer.drain()
            await asyncio.sleep(self.event_ms / MS_PER_SECOND)
        elif end:
            writer.write(b"0\r\n\r\n")


def shared_parts(request):
    """Return the ids of all prompt parts of a ``RawRequest`` but the last."""
    entries = request.headers.get("prompt-prefix", "").split(",")[:-1]
    return [entry.partition(":")[0] for entry in entries]


def stream_event(number, *, text=b""):
    """Return the bytes of one event of a stream.

    Args:
        number: Id of the event, from 1 on.
        text: Its data; empty for a text with the number.
    """
    return b"id: %d\ndata: %b\n\n" % (number, text or b"piece %d" % number)


def http_chunk(data):
    """Return ``data`` as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
