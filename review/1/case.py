"""A rank of a group crashes; streams of its group stall, and then they are cut off.

One gateway before eight ranks in two groups of four. One rank crashes. The streams of
its group's other ranks stall for ``stall_ms`` and are then cut off in the middle of an
event, after an event that was ready. The gateway has sent them to the other group
meanwhile, as they may be resumed. Each of them must get its final answer, at the latest
when the route's ``timeout-ms`` is over.
"""

import asyncio
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common import (  # noqa: E402
    HOST,
    KEY,
    Gateway,
    Store,
    Worker,
    call,
    configuration,
    free_port,
    message,
    read_message,
    route,
    run_case,
    trouble,
)

STREAMS_COUNT = 56
EVENTS_COUNT = 20
EVENT_S = 0.06
FIRST_EVENT_S = 0.15
LOADED_FIRST_EVENT_S = 0.6  # In the group that also gets the other one's work.
CRASH_AFTER_S = 0.5
STALL_S = 1.5  # ``stall_ms``
RESTART_S = 4.5
TIMEOUT_S = 3.0  # The route's ``timeout-ms``.
LATE_S = 0.5
CLIENT_GAP_S = 2.0  # Clients abandon a stream after such a gap.


class Rank(Worker):
    """A model worker that streams events; ranks of a group stall together."""

    def __init__(self, *, group, **options):
        super().__init__(**options)
        self.group = group

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            start, headers, body = request
            if headers.get("expect-instance") not in (None, self.name):
                fields = [("Attempt-Id", headers["attempt-id"])]
                writer.write(message("HTTP/1.1 421 Misdirected", fields))
                continue
            await self._stream(headers, writer)

    async def _stream(self, headers, writer):
        attempt = headers["attempt-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        if self.group.crashed_s is not None:
            # Not begun: it waits for the stall to end, and did not run.
            await asyncio.sleep(self.group.crashed_s + STALL_S - time.monotonic())
            fields = [("Attempt-Id", attempt), ("Not-Executed", "1")]
            fields.append(("At-Server", self.group.culprit))
            self.record(f"rank {self.name} refuses {attempt}: the group is broken")
            writer.write(message("HTTP/1.1 503 Unavailable", fields))
            return
        self.record(f"rank {self.name} runs {attempt} from event {first}")
        await asyncio.sleep(self.group.first_event_s())
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (attempt.encode(), self.name.encode())
        )
        for number in range(first, EVENTS_COUNT + 1):
            if self.group.crashed_s is not None:
                await asyncio.sleep(self.group.crashed_s + STALL_S - time.monotonic())
                # The event that was ready, a part of the next one, and the cut.
                writer.write(chunk(event(number)) + chunk(event(number + 1)[:9]))
                await writer.drain()
                self.record(
                    f"rank {self.name} cuts {attempt} off inside event {number + 1}"
                )
                raise ConnectionAbortedError
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(f"rank {self.name} has ended {attempt}")


class Group:
    """The state that the ranks of a group share."""

    def __init__(self):
        self.crashed_s = None
        self.culprit = ""
        self.other = None

    def first_event_s(self):
        if self.other is not None and self.other.crashed_s is not None:
            return LOADED_FIRST_EVENT_S
        return FIRST_EVENT_S


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def stream(gateway, attempt, record):
    """Ask for a stream as a client does.

    Returns:
        The time until the end of the answer or connection, or until the client left,
        and whether the answer or the connection had ended by then.
    """
    began_s = time.monotonic()
    reader, writer = await asyncio.open_connection(*gateway.front)
    own_part = attempt.encode().hex()
    fields = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Credential", KEY),
        ("Deadline-Ms", "8050"),
        ("Model", "m"),
        ("Token-Count", "700,100"),
        ("Prompt-Prefix", f"5c1e07a2:40,{own_part}:660"),
    ]
    writer.write(message("POST /chat/1 HTTP/1.1", fields, b"a turn " + attempt.encode()))
    data = b""
    try:
        while not data.endswith(b"0\r\n\r\n"):
            piece = await asyncio.wait_for(reader.read(65536), CLIENT_GAP_S)
            if not piece:
                break
            data += piece
            if b"\r\n\r\n" in data and b"chunked" not in data.lower():
                break  # A whole answer of the gateway's own.
    except asyncio.TimeoutError:
        record(f"{attempt}: the client leaves after a gap of {CLIENT_GAP_S} s")
        return time.monotonic() - began_s, False
    except OSError:
        pass
    finally:
        writer.close()
    took_s = time.monotonic() - began_s
    whole = data.endswith(b"0\r\n\r\n") and event(EVENTS_COUNT) in data
    record(
        f"{attempt}: the answer ends after {took_s:.3f} s, "
        f"{data[9:12].decode()}, {data.count(b'data:')} events, whole: {whole}"
    )
    return took_s, True


async def main(record, scratch, processes):
    store = Store()
    await store.start()
    groups = [Group(), Group()]
    groups[0].other, groups[1].other = groups[1], groups[0]
    ranks = []
    for number in range(8):
        rank = Rank(name=f"r-{number}", record=record, group=groups[number // 4])
        await rank.start()
        store.put(f"servers/{rank.name}", rank.entry("assist", slots=12))
        ranks.append(rank)
    chat = route(
        "chat",
        "/chat/",
        "stream",
        "assist",
        **{
            "resumable": True,
            "timeout-ms": int(TIMEOUT_S * 1000),
            "goal-ms": 403,
            "gap-goal-ms": 120,
            "sticky": True,
        },
    )
    store.put("op/config", configuration(1, [chat], services=("assist",)))
    ip = "127.0.0.31"
    ports = {
        "front": free_port([ip]),
        "readiness": free_port([ip]),
        "peers": free_port([ip], socket.SOCK_DGRAM),
    }
    gateway = Gateway(
        name="edge-0",
        ip=ip,
        ports=ports,
        store=store.address,
        seeds=[],
        folder=scratch,
        record=record,
    )
    processes.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await stream(gateway, "first", record)
    await asyncio.sleep(10)  # The retry budget fills over one window.

    began_s = time.monotonic()
    tasks = [
        asyncio.create_task(stream(gateway, f"chat-{number}", record))
        for number in range(STREAMS_COUNT)
    ]
    if trouble():
        await asyncio.sleep(CRASH_AFTER_S)
        groups[0].culprit = ranks[0].name
        groups[0].crashed_s = time.monotonic()
        record("rank r-0 crashes")
        await ranks[0].stop()
        store.delete("servers/r-0")
    results = await asyncio.gather(*tasks)
    record(f"all clients are done after {time.monotonic() - began_s:.3f} s")
    # The rule: what lasts longer than the timeout, and has no final answer 0.5 s after.
    long = [row for row in results if row[0] > TIMEOUT_S]
    unanswered = [row for row in long if row[0] > TIMEOUT_S + LATE_S or not row[1]]
    record(
        f"{len(long)} of {STREAMS_COUNT} lasted longer than timeout-ms, "
        f"{len(unanswered)} of them had no final answer {LATE_S} s after it"
    )
    await asyncio.sleep(1)
    record(f"edge-0 ready: {await gateway.is_ready()}")
    return len(unanswered) >= 8 and len(unanswered) > len(long) / 4


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
