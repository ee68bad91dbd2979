"""Tests of a gateway over HTTP with targets that give correct or faulty answers."""

import asyncio
import contextlib
import unittest

import logbook

from waxwinghold._decisions import sends
from waxwinghold._gateway import sending
from waxwinghold._gateway.model import CallerLimits

from .support.gateway import HOST, KEY, GatewayFixture, configuration, standard_routes
from .support.loop_case import LoopCase

TIMEOUT_MS = 400
RECOVERY_S = 12.0  # The time that the first site allows for recovery.


class PathCase(LoopCase):
    async def fixture(self, *behaviours, **settings):
        fixture = GatewayFixture(behaviours=behaviours, **settings)
        return await self.enterAsyncContext(fixture.open())


class AnswerTests(PathCase):
    async def test_status_body_and_seal_come_back_unchanged(self):
        fixture = await self.fixture("whole")
        status, headers, body = await fixture.call("/safe/a?b=%20c")
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(headers["Server-Seal"], "seal.w0")
        self.assertEqual(headers["Attempt-Id"], "r-1")

    async def test_the_target_gets_path_customer_and_deadline_but_no_key(self):
        fixture = await self.fixture("whole")
        await fixture.call("/safe/a?b=%20c", Tenant="forged", Deadline_Ms="900")
        request = fixture.workers[0].requests[0]
        self.assertEqual(request.path, "/safe/a?b=%20c")
        self.assertEqual(request.headers["tenant"], "a-customer")
        self.assertEqual(request.headers["expect-instance"], "w0")
        self.assertLessEqual(int(request.headers["deadline-ms"]), 900)
        self.assertNotIn(KEY, str(request.headers))

    async def test_an_unframed_answer_comes_back_whole(self):
        fixture = await self.fixture("unframed")
        status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[0].body))

    async def test_a_late_extra_answer_is_dropped(self):
        fixture = await self.fixture("late_extra")
        for number in range(4):
            status, headers, body = await fixture.call(
                "/safe/a", request_id=f"r-{number}"
            )
            self.assertEqual((status, body), (200, fixture.workers[0].body))
            self.assertEqual(headers["Attempt-Id"], f"r-{number}")

    async def test_a_doubled_answer_is_dropped(self):
        fixture = await self.fixture("doubled")
        for number in range(4):
            status, headers, _ = await fixture.call("/safe/a", request_id=f"r-{number}")
            self.assertEqual((status, headers["Attempt-Id"]), (200, f"r-{number}"))


class RejectionTests(PathCase):
    async def test_unknown_keys_and_routes_are_rejected(self):
        fixture = await self.fixture("whole")
        self.assertEqual((await fixture.call("/safe/a", Credential="x"))[0], 401)
        self.assertEqual((await fixture.call("/safe/a", Credential=None))[0], 401)
        self.assertEqual((await fixture.call("/other/a"))[0], 404)
        self.assertEqual(fixture.workers[0].requests, [])

    async def test_bad_input_gets_a_4xx_and_does_not_stop_the_process(self):
        fixture = await self.fixture("whole")
        for headers in (
            {"Deadline_Ms": "soon"},
            {"Deadline_Ms": "-5"},
            {"Last_Event_Id": "x"},
        ):
            self.assertEqual(
                (await fixture.call("/safe/a", **headers))[0], 400, headers
            )
        self.assertEqual((await fixture.call("/safe/a", X="y" * 20_000))[0], 431)
        self.assertEqual((await fixture.call("/safe/a"))[0], 200)

    async def test_bytes_that_are_no_http_do_not_stop_the_process(self):
        fixture = await self.fixture("whole")
        for data in (b"\x00\xff\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"GET"):
            _, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            writer.write(data)
            await writer.drain()
            writer.close()
        self.assertEqual((await fixture.call("/safe/a"))[0], 200)

    async def test_a_smuggled_request_is_not_run(self):
        fixture = await self.fixture("whole")
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        writer.write(
            b"POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /safe/hidden HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        )
        await reader.read(1000)
        writer.close()
        self.assertEqual(fixture.workers[0].requests, [])

    async def test_a_request_that_all_targets_reject_gets_a_503_and_is_not_run(self):
        fixture = await self.fixture("shed", "shed")
        status, headers, _ = await fixture.call("/unsafe/a", method="POST")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("Server-Seal", headers)
        self.assertEqual(fixture.runs_count(), 0)


class FailedAnswerTests(PathCase):
    async def test_an_error_answer_that_the_caller_gets_whole_is_not_counted_as_broken(
        self,
    ):
        fixture = await self.fixture(
            "failing", "failing", retry_ratio=0.0, retry_slack_count=0.0
        )
        # The first request spends the only retry, so the second one is sent once.
        for request_id, runs_count in (("r-1", 2), ("r-2", 1)):
            status, _, body = await fixture.call("/safe/a", request_id=request_id)
            self.assertEqual((status, body), (500, b"failed"))
            self.assertEqual(fixture.runs_count(request_id), runs_count)
        summary = fixture.gateway.metrics.summary()
        self.assertNotIn("broken.safe", summary["counts"])
        self.assertEqual(summary["durations"]["request.safe"]["count"], 2)


class TargetConnectionsTests(PathCase):
    async def test_idle_connections_stay_within_what_the_targets_accept(self):
        fixture = await self.fixture("slow")
        target = fixture.gateway.target_pool.get("w0")
        self.assertEqual(await self.kept_count(fixture, target), 3)
        services = [{"name": "models", "max-conns": 2 * target.listing.slots_count + 1}]
        fixture.store.put("op/config", configuration(version=2, services=services))
        async with asyncio.timeout(5):
            while await self.kept_count(fixture, target) > 1:
                await asyncio.sleep(0.05)

    async def kept_count(self, fixture, target):
        """Return how many connections are kept after three requests at once."""
        calls = (fixture.call("/safe/a", request_id=f"r-{n}") for n in range(3))
        await asyncio.gather(*calls)
        return len(target.connections._idle)


class OnceTests(PathCase):
    async def test_unsafe_requests_with_a_lost_answer_are_not_reported_as_not_run(self):
        for behaviour in ("reset", "truncated", "garbage", "unframed_reset"):
            with self.subTest(behaviour=behaviour):
                fixture = await self.fixture(behaviour, behaviour)
                status, _, _ = await fixture.call("/unsafe/a", method="POST")
                self.assertIn(status, (502, 504))
                self.assertEqual(fixture.runs_count(), 1)

    async def test_an_unsafe_request_to_a_silent_target_runs_once(self):
        fixture = await self.fixture("silent", "silent")
        status, _, _ = await fixture.call("/unsafe/a", method="POST", Deadline_Ms="300")
        self.assertEqual(status, 504)
        self.assertEqual(fixture.runs_count(), 1)

    async def test_an_unsafe_request_is_sent_again_after_a_rejection(self):
        fixture = await self.fixture("shed", "whole")
        for number in range(6):
            status, _, _ = await fixture.call(
                "/unsafe/a", method="POST", request_id=f"r-{number}"
            )
            self.assertEqual(status, 200)
            self.assertEqual(fixture.runs_count(f"r-{number}"), 1)

    async def test_another_target_at_a_reused_address_does_not_run_the_request(self):
        fixture = await self.fixture("whole")
        fixture.workers[0].name = "somebody-else"
        status, _, _ = await fixture.call("/unsafe/a", method="POST")
        self.assertEqual(status, 503)
        self.assertEqual(fixture.runs_count(), 0)

    async def test_a_stream_that_may_not_be_resumed_runs_once(self):
        fixture = await self.fixture("stream_cut", "stream_cut")
        status, _, body = await fixture.call("/once/a", method="POST")
        self.assertEqual((status, body), (200, None))
        self.assertEqual(fixture.runs_count(), 1)


class RepeatTests(PathCase):
    async def test_a_safe_request_is_answered_by_a_second_target(self):
        for behaviour in ("reset", "truncated", "garbage", "failing", "unframed_reset"):
            with self.subTest(behaviour=behaviour):
                fixture = await self.fixture(behaviour, "whole")
                for number in range(4):
                    status, _, body = await fixture.call(
                        "/safe/a", request_id=f"r-{number}"
                    )
                    self.assertEqual((status, body), (200, fixture.workers[1].body))

    async def test_after_two_failures_the_caller_gets_the_second_error_answer(self):
        fixture = await self.fixture("failing", "failing")
        status, headers, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertIn("seal", headers["Server-Seal"])
        self.assertEqual(fixture.runs_count(), 2)

    async def test_a_request_runs_no_more_often_than_the_route_allows(self):
        fixture = await self.fixture("reset", "reset", "reset")
        status, _, _ = await fixture.call("/safe/a")
        self.assertEqual(status, 502)
        self.assertEqual(fixture.runs_count(), 2)

    async def test_a_stream_continues_at_another_target_without_gap_or_repetition(self):
        fixture = await self.fixture("stream_cut", "stream")
        for number in range(3):
            fixture.workers[0].behaviour = "stream_cut"
            status, _, body = await fixture.call(
                "/stream/a", method="POST", request_id=f"r-{number}"
            )
            self.assertEqual(status, 200)
            numbers = [
                int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")
            ]
            self.assertEqual(numbers, [1, 2, 3, 4, 5])
            self.assertNotIn(b"id: 3\ndaid", body)

    async def test_a_halted_stream_continues_at_another_target(self):
        fixture = await self.fixture("stream_halted", "stream")
        for number in range(2):
            _, _, body = await fixture.call(
                "/stream/a", method="POST", request_id=f"r-{number}"
            )
            self.assertEqual(body.count(b"id:"), 5)

    async def test_the_last_event_id_of_a_caller_reaches_the_target(self):
        fixture = await self.fixture("stream")
        _, _, body = await fixture.call("/stream/a", method="POST", Last_Event_Id="3")
        self.assertEqual(body.count(b"id:"), 2)


class SilentStreamTests(PathCase):
    async def test_a_stream_that_nobody_else_can_finish_outlasts_a_silent_target(self):
        # It was broken off after 1.9 s of silence, also while the gateway stopped.
        for path in ("/once/a", "/stream/a"):
            with self.subTest(path=path):
                fixture = await self.fixture("stream_paused")
                fixture.workers[0].pause_s = 2.3
                routes = [
                    {**route, "max-attempts": 1, "timeout-ms": 8000}
                    for route in standard_routes()
                ]
                fixture.store.put("op/config", configuration(version=2, routes=routes))
                async with asyncio.timeout(2):
                    while fixture.gateway.published.table.configuration.version != 2:
                        await asyncio.sleep(0.01)
                call = asyncio.create_task(fixture.call(path, method="POST"))
                await asyncio.sleep(0.2)
                fixture.gateway._begin_stop()
                status, _, body = await call
                self.assertEqual(status, 200)
                self.assertIsNotNone(body)
                self.assertEqual(body.count(b"id:"), 5)


class UnframedStreamTests(PathCase):
    """A stream without length or chunks ends with its connection."""

    async def test_a_whole_one_reaches_the_caller_whole(self):
        fixture = await self.fixture("stream_unframed")
        for path in ("/stream/a", "/once/a"):
            status, _, body = await fixture.call(path, method="POST")
            self.assertEqual((status, body.count(b"id:")), (200, 5))

    async def test_a_broken_one_is_continued_at_another_target(self):
        for behaviour in ("cut", "reset", "empty"):
            with self.subTest(behaviour=behaviour):
                fixture = await self.fixture(f"stream_unframed_{behaviour}", "stream")
                for number in range(4):
                    status, _, body = await fixture.call(
                        "/stream/a", method="POST", request_id=f"r-{number}"
                    )
                    self.assertEqual((status, body.count(b"id:")), (200, 5))

    async def test_a_broken_one_that_may_not_be_resumed_does_not_look_whole(self):
        for behaviour in ("cut", "reset", "empty"):
            with self.subTest(behaviour=behaviour):
                fixture = await self.fixture(f"stream_unframed_{behaviour}")
                status, _, body = await fixture.call("/once/a", method="POST")
                if behaviour == "empty":
                    # Nothing was passed on yet, so that the caller gets a refusal.
                    self.assertEqual(status, 502)
                    self.assertIn(b"answer_lost", body)
                else:
                    self.assertIsNone(body)


class CallerDisconnectTests(PathCase):
    async def test_the_send_ends_when_its_caller_disconnects(self):
        fixture = await self.fixture("slow")
        fixture.workers[0].event_ms = 400.0
        task = asyncio.create_task(fixture.call("/safe/a"))
        await asyncio.sleep(0.2)
        target = fixture.gateway.target_pool.get("w0")
        self.assertEqual(target.in_flight_count, 1)
        task.cancel()
        async with asyncio.timeout(0.5):
            while target.in_flight_count:
                await asyncio.sleep(0.01)


class SuspectTests(PathCase):
    async def test_a_request_that_crashes_targets_is_not_sent_endlessly(self):
        fixture = await self.fixture("reset", "reset", "reset", "reset", "reset")
        for number in range(10):
            status, _, _ = await fixture.call("/safe/bad", request_id=f"r-{number}")
            self.assertEqual(status, 502)
            for target in fixture.gateway.target_pool:
                target.record_success()
        runs = sum(len(worker.runs) for worker in fixture.workers)
        self.assertLessEqual(runs, 4)


class LeavingTargetTests(PathCase):
    """A target announces in its answers that it leaves; the list does not yet."""

    async def test_it_gets_no_request_after_its_announcement(self):
        fixture = await self.fixture("whole", "whole", "whole")
        fixture.workers[0].leaving = True
        for number in range(30):
            status, _, _ = await fixture.call("/safe/a", request_id=f"r-{number}")
            self.assertEqual(status, 200)
        self.assertEqual(len(fixture.workers[0].requests), 1)

    async def test_rejections_and_streams_announce_it_too(self):
        for behaviour in ("shed", "stream"):
            with self.subTest(behaviour=behaviour):
                fixture = await self.fixture(behaviour, "stream")
                fixture.workers[0].leaving = True
                for number in range(12):
                    await fixture.call(
                        "/stream/a", method="POST", request_id=f"r-{number}"
                    )
                self.assertEqual(len(fixture.workers[0].requests), 1)

    async def test_a_new_target_at_its_address_is_welcome(self):
        fixture = await self.fixture("whole")
        worker = fixture.workers[0]
        worker.leaving = True
        await fixture.call("/safe/a")
        worker.leaving = False
        fixture.store.delete("servers/w0")
        worker.name = "w0-again"
        fixture.register_worker(worker)
        async with asyncio.timeout(3):
            while (await fixture.call("/safe/a"))[0] != 200:
                await asyncio.sleep(0.02)

    async def test_it_stays_out_if_the_list_loses_it_and_has_it_again(self):
        fixture = await self.fixture("whole", "whole")
        worker = fixture.workers[0]
        worker.leaving = True
        while not worker.requests:
            await fixture.call("/safe/a")
        fixture.store.delete("servers/w0")
        await asyncio.sleep(0.3)
        fixture.register_worker(worker)
        await asyncio.sleep(0.3)
        for number in range(10):
            await fixture.call("/safe/a", request_id=f"r-{number}")
        self.assertEqual(len(worker.requests), 1)


class PausedTargetTests(PathCase):
    """A target rejects requests and asks for a pause."""

    async def test_it_gets_no_request_until_the_pause_is_over(self):
        fixture = await self.fixture("shed", "whole")
        fixture.workers[0].pause_text = "0.8"
        loop = asyncio.get_running_loop()
        while not fixture.workers[0].requests:
            self.assertEqual((await fixture.call("/safe/a"))[0], 200)
        first_s = fixture.workers[0].requests[0].arrived_s
        while loop.time() < first_s + 0.7:
            self.assertEqual((await fixture.call("/safe/a"))[0], 200)
            await asyncio.sleep(0.01)
        self.assertEqual(len(fixture.workers[0].requests), 1)

    async def test_a_503_that_does_not_say_that_nothing_ran_pauses_too(self):
        fixture = await self.fixture("unavailable")
        fixture.workers[0].pause_text = "5"
        self.assertEqual((await fixture.call("/unsafe/a", method="POST"))[0], 503)
        status, headers, _ = await fixture.call("/unsafe/b", method="POST")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 4.0)
        self.assertEqual(len(fixture.workers[0].requests), 1)

    async def test_metrics_count_the_targets_that_pause_or_leave(self):
        fixture = await self.fixture("shed", "whole")
        fixture.workers[0].pause_text = "5"
        fixture.workers[1].leaving = True
        while not all(worker.requests for worker in fixture.workers):
            await fixture.call("/safe/a")
        metrics = fixture.gateway.metrics.render().decode()
        for name in ("targets_leaving", "targets_paused"):
            self.assertRegex(metrics, rf"waxwinghold_{name}{{.*}} 1\.0")

    async def test_if_all_pause_callers_are_told_at_once_when_the_first_is_back(self):
        fixture = await self.fixture("shed", "shed")
        fixture.workers[0].pause_text = "5"
        fixture.workers[1].pause_text = "3"
        await fixture.call("/unsafe/a", method="POST")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        status, headers, _ = await fixture.call("/unsafe/b", method="POST")
        self.assertEqual(status, 503)
        self.assertLess(loop.time() - started_s, 0.2)
        self.assertGreater(float(headers["Retry-After"]), 2.0)
        self.assertLess(float(headers["Retry-After"]), 4.0)
        self.assertEqual(fixture.runs_count(), 0)

    async def test_nonsense_is_ignored(self):
        for text in ("soon", "-1", "nan", "inf", "", "Wed, 21 Oct 2026 07:28:00 GMT"):
            with self.subTest(text=text):
                fixture = await self.fixture("shed")
                fixture.workers[0].pause_text = text
                await fixture.call("/safe/a")
                self.assertFalse(len(fixture.gateway.target_pool.signals))


class FailureLogTests(PathCase):
    async def test_a_lost_answer_is_logged_with_its_prompt_and_progress(self):
        fixture = await self.fixture("stream_cut")
        with logbook.TestHandler().applicationbound() as logs:
            await fixture.call("/once/a", method="POST", Prompt_Prefix="AA:40,bb:9,c:1")
        failed = next(line for line in logs.records if line.message == "send failed")
        self.assertEqual(failed.extra["shared_parts"], ("aa", "bb"))
        self.assertTrue(failed.extra["answer_begun"])
        self.assertTrue(failed.extra["answer_data"])
        self.assertFalse(failed.extra["group_stalled"])


class SlotsTests(PathCase):
    async def test_a_target_never_runs_more_requests_than_its_slots(self):
        fixture = await self.fixture("slow", "slow")
        calls = [fixture.call("/safe/a", request_id=f"r-{n}") for n in range(30)]
        outcomes = await asyncio.gather(*calls)
        self.assertIn(200, {status for status, _, _ in outcomes})
        for status, headers, _ in outcomes:
            if status != 200:
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
        for worker in fixture.workers:
            self.assertLessEqual(worker.peak_running_count, 6)
        self.assertEqual(
            {target.in_flight_count for target in fixture.gateway.target_pool}, {0}
        )


class ConfigurationTests(PathCase):
    async def until(self, path, status):
        async with asyncio.timeout(3):
            while (await response_status(self.current_fixture, path)) != status:
                await asyncio.sleep(0.02)

    async def test_a_newer_version_is_applied_and_an_older_one_is_ignored(self):
        self.current_fixture = fixture = await self.fixture("whole")
        routes = standard_routes()[1:]
        fixture.store.put("op/config", configuration(version=5, routes=routes))
        await self.until("/safe/a", 404)
        fixture.store.put("op/config", configuration(version=4))
        await asyncio.sleep(0.2)
        self.assertEqual((await fixture.call("/safe/a"))[0], 404)

    async def test_a_revoked_key_is_rejected(self):
        self.current_fixture = fixture = await self.fixture("whole")
        tenants = [{"name": "a-customer", "api-keys": ["another"]}]
        fixture.store.put("op/config", configuration(version=2, tenants=tenants))
        await self.until("/safe/a", 401)

    async def test_a_key_of_the_last_customer_is_rejected_once_revoked(self):
        # Every request ran, with any key or none.
        self.current_fixture = fixture = await self.fixture("whole")
        fixture.store.put("op/config", configuration(version=2, tenants=[]))
        await self.until("/safe/a", 401)
        for key in (KEY, "another", None):
            status, *_ = await fixture.call("/safe/a", Credential=key)
            self.assertEqual(status, 401)

    async def test_keys_get_a_503_while_the_copy_of_the_store_is_too_old(self):
        self.current_fixture = fixture = await self.fixture(
            "whole", strict_keys=True, freshness_limit_ms=1800.0
        )
        fixture.store.fault = "silent"
        await self.until("/safe/a", 503)
        self.assertEqual(await fixture.readiness(), 503)
        runs_count = len(fixture.workers[0].runs)
        await fixture.call("/safe/a")
        self.assertEqual(len(fixture.workers[0].runs), runs_count)

    async def test_an_unreadable_configuration_leaves_the_last_one_in_force(self):
        fixture = await self.fixture("whole")
        fixture.store.put("op/config", b"\xff{")
        fixture.store.put("servers/odd", b"[]")
        fixture.store.put("servers/odder", {"service": 5})
        await asyncio.sleep(0.2)
        self.assertEqual((await fixture.call("/safe/a"))[0], 200)

    async def test_a_leaving_target_gets_no_more_requests(self):
        fixture = await self.fixture("whole", "whole")
        fixture.register_worker(fixture.workers[0], state="draining")
        async with asyncio.timeout(2):
            while fixture.gateway.target_pool.get("w0").is_usable(now_ms=float("inf")):
                await asyncio.sleep(0.01)
        runs_count = len(fixture.workers[0].runs)
        for number in range(6):
            await fixture.call("/safe/a", request_id=f"n-{number}")
        self.assertEqual(len(fixture.workers[0].runs), runs_count)


class StopTests(PathCase):
    async def test_a_planned_stop_interrupts_no_request(self):
        fixture = await self.fixture("slow")
        fixture.workers[0].event_ms = 100.0
        running = asyncio.create_task(fixture.call("/safe/a"))
        await asyncio.sleep(0.1)
        fixture.gateway._begin_stop()
        self.assertEqual(await fixture.readiness(), 503)
        status, headers, _ = await running
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        # Requests are accepted until the platform sends no more callers.
        self.assertEqual((await fixture.call("/safe/a", request_id="r-2"))[0], 200)
        async with asyncio.timeout(6):
            await fixture.task

    async def _request_while(self, close):
        """Call ``close`` as a request was read but is not being served yet.

        Returns:
            The number of workers that got it, and the answer's bytes.
        """
        fixture = await self.fixture("whole")
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        connections = fixture.gateway._caller_server._connections
        async with asyncio.timeout(2):
            while not connections.open:
                await asyncio.sleep(0.01)
        (protocol,) = connections.open
        head = f"GET /safe/a HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\n"
        protocol.data_received(head.encode() + b"Attempt-Id: r-1\r\n\r\n")
        close(fixture)
        async with asyncio.timeout(2):
            data = await reader.read(1000)
        writer.close()
        return fixture.runs_count(), data

    async def test_a_request_read_just_before_idle_connections_close_is_answered(self):
        # A stopping gateway closed the connection under a request that it had sent on.
        def close(fixture):
            fixture.gateway._begin_stop()
            fixture.gateway._caller_server._connections.close_idle()

        runs_count, data = await self._request_while(close)
        self.assertEqual(runs_count, 1)
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)

    async def test_a_request_on_a_connection_at_its_idle_limit_is_answered(self):
        def close(fixture):
            connections = fixture.gateway._caller_server._connections
            connections.close_expired(CallerLimits(idle_timeout_ms=-1.0))

        runs_count, data = await self._request_while(close)
        self.assertEqual(runs_count, 1)
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)

    async def test_a_request_whose_head_was_read_late_is_answered(self):
        # The sweep closed the connection although the request was sent on.
        def close(fixture):
            connections = fixture.gateway._caller_server._connections
            connections.close_expired(CallerLimits(header_timeout_ms=-1.0))

        runs_count, data = await self._request_while(close)
        self.assertEqual(runs_count, 1)
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)

    async def test_a_kept_connection_is_idle_after_a_request_with_a_body(self):
        # It counted as waiting for the rest of a request: it was closed after the time
        # for a header, also under the next request, and held up every planned stop.
        fixture = await self.fixture("whole")
        connections = fixture.gateway._caller_server._connections
        head = f"POST /safe/a HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\n"
        bodies = (
            b"Content-Length: 5\r\n\r\nhello",
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        )
        for body in bodies:
            with self.subTest(body=body):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", fixture.port
                )
                writer.write(head.encode() + body)
                async with asyncio.timeout(2):
                    await reader.readuntil(b"the whole body of w0")
                    while any(connection.is_served for connection in connections.open):
                        await asyncio.sleep(0.01)
                self.assertEqual(connections.due_count, 0)
                connections.close_expired(CallerLimits(header_timeout_ms=-1.0))
                connections.close_idle()
                async with asyncio.timeout(2):
                    self.assertEqual(await reader.read(), b"")
                writer.close()

    async def test_an_idle_connection_is_closed_when_the_gateway_stops(self):
        fixture = await self.fixture("whole")
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        fixture.gateway._begin_stop()
        async with asyncio.timeout(6):
            self.assertEqual(await reader.read(), b"")
        writer.close()


class ManyConnectionsTests(PathCase):
    """Callers that open connections and send little or nothing on them."""

    async def open_connections(self, fixture, count):
        """Return ``count`` open connections of callers, as readers and writers."""
        opened = []
        for _ in range(count):
            opened.append(await asyncio.open_connection("127.0.0.1", fixture.port))
            self.addCleanup(opened[-1][1].close)
        async with asyncio.timeout(5):
            while fixture.gateway._caller_server._connections.opened_count < count:
                await asyncio.sleep(0.01)
        return opened

    async def test_a_caller_that_sends_its_header_byte_by_byte_is_cut_off(self):
        fixture = await self.fixture("whole")
        ((reader, writer),) = await self.open_connections(fixture, 1)
        fields = {"limits": {"header-timeout-ms": 200, "idle-timeout-ms": 60_000}}
        fixture.store.put("op/config", configuration(version=2, **fields))
        ended = asyncio.create_task(reader.read())
        async with asyncio.timeout(5):
            for byte in b"GET /safe/a HTTP/1.1\r\nHost: " + b"x" * 1000:
                if ended.done():
                    break
                with contextlib.suppress(ConnectionError):
                    writer.write(bytes([byte]))
                await asyncio.sleep(0.05)
        self.assertEqual(await ended, b"")

    async def test_beyond_their_limit_the_longest_idle_connection_is_closed(self):
        # Without descriptors left, neither callers nor targets can be reached.
        fixture = await self.fixture("whole")
        connections = fixture.gateway._caller_server._connections
        connections._count_limit = 4
        opened = await self.open_connections(fixture, 12)
        for reader, _ in opened[:8]:
            async with asyncio.timeout(2):
                self.assertEqual(await reader.read(), b"")
        self.assertEqual(len(connections.open), 4)
        self.assertEqual((await fixture.call("/safe/a"))[0], 200)

    async def test_a_connection_with_a_request_is_not_closed_for_new_ones(self):
        fixture = await self.fixture("slow")
        fixture.gateway._caller_server._connections._count_limit = 4
        call = asyncio.create_task(fixture.call("/safe/a"))
        async with asyncio.timeout(2):
            while not fixture.runs_count():
                await asyncio.sleep(0.01)
        await self.open_connections(fixture, 12)
        self.assertEqual((await call)[0], 200)


class TimeoutTests(PathCase):
    async def _time_out(self, path, method):
        """Return the status of the answer and its time in milliseconds."""
        fixture = await self.fixture("silent", "silent")
        routes = [{**route, "timeout-ms": TIMEOUT_MS} for route in standard_routes()]
        fixture.store.put("op/config", configuration(version=2, routes=routes))
        async with asyncio.timeout(2):
            while fixture.gateway.published.table.configuration.version != 2:
                await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await fixture.call(path, method=method)
        return status, (loop.time() - started) * 1000

    async def test_the_route_s_time_out_ends_requests_without_a_deadline(self):
        for path, method in (("/safe/a", "GET"), ("/unsafe/a", "POST")):
            with self.subTest(path=path):
                status, took_ms = await self._time_out(path, method)
                self.assertEqual(status, 504)
                # The answer may come at most half a second after the time-out.
                self.assertLess(took_ms, TIMEOUT_MS + 500)


class RecoveryTests(PathCase):
    """All processes end at once and start again without their state."""

    async def test_a_fleet_serves_again_after_a_complete_restart(self):
        fixture = await self.fixture("whole", "whole")
        self.assertEqual((await fixture.call("/safe/a"))[0], 200)
        await fixture.stop_gateway()
        for worker in fixture.workers:
            await worker.stop()
            fixture.store.delete(f"servers/{worker.name}")
            worker.name += "-again"
            await worker.start()
            fixture.register_worker(worker)
        fixture.store.forget_history()
        fixture.start_gateway()
        await fixture.wait_ready()
        status, _, body = await fixture.call("/safe/b")
        self.assertEqual(status, 200)
        self.assertIn(body, {worker.body for worker in fixture.workers})

    async def test_targets_and_a_store_that_return_later_are_used_again(self):
        fixture = await self.fixture("whole")
        worker = fixture.workers[0]
        fixture.store.fault = "reset"
        await worker.stop()
        self.assertIn((await fixture.call("/safe/a"))[0], (502, 503, 504))
        worker.name += "-again"
        await worker.start()
        fixture.store.fault = ""
        fixture.store.delete("servers/w0")
        fixture.register_worker(worker)
        async with asyncio.timeout(RECOVERY_S):
            while (await fixture.call("/safe/a"))[0] != 200:
                await asyncio.sleep(0.05)


class LimitTests(unittest.TestCase):
    def test_the_shares_of_a_streams_gap_increase(self):
        self.assertLess(sending.SILENCE_SHARE, sends.STREAM_QUEUE_SHARE)
        self.assertLess(sends.STREAM_QUEUE_SHARE, sending.LAST_SILENCE_SHARE)


async def response_status(fixture, path):
    status, _, _ = await fixture.call(path)
    return status
