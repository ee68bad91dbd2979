"""The whole path of a gateway over HTTP, in front of targets right and wrong."""

import asyncio
import unittest

from waxwinghold._gateway import attempts, sending

from .support.gateway import KEY, GatewayScene, configuration, standard_routes

TIMEOUT_MS = 400
RECOVERY_S = 12.0  # The bound of recovery of the first site.


class PathCase(unittest.IsolatedAsyncioTestCase):
    async def scene(self, *behaviours, **settings):
        scene = GatewayScene(behaviours=behaviours, **settings)
        return await self.enterAsyncContext(scene.open())


class AnswerTests(PathCase):
    async def test_status_body_and_seal_come_back_unchanged(self):
        scene = await self.scene("whole")
        status, headers, body = await scene.call("/safe/a?b=%20c")
        self.assertEqual((status, body), (200, scene.workers[0].body))
        self.assertEqual(headers["Server-Seal"], "seal.w0")
        self.assertEqual(headers["Attempt-Id"], "r-1")

    async def test_the_target_gets_path_customer_and_time_but_no_key(self):
        scene = await self.scene("whole")
        await scene.call("/safe/a?b=%20c", Tenant="forged", Deadline_Ms="900")
        request = scene.workers[0].requests[0]
        self.assertEqual(request.path, "/safe/a?b=%20c")
        self.assertEqual(request.headers["tenant"], "a-customer")
        self.assertEqual(request.headers["expect-instance"], "w0")
        self.assertLessEqual(int(request.headers["deadline-ms"]), 900)
        self.assertNotIn(KEY, str(request.headers))

    async def test_an_unframed_answer_comes_back_whole(self):
        scene = await self.scene("unframed")
        status, _, body = await scene.call("/safe/a")
        self.assertEqual((status, body), (200, scene.workers[0].body))

    async def test_a_late_extra_answer_goes_to_nobody(self):
        scene = await self.scene("late_extra")
        for number in range(4):
            status, headers, body = await scene.call(
                "/safe/a", request_id=f"r-{number}"
            )
            self.assertEqual((status, body), (200, scene.workers[0].body))
            self.assertEqual(headers["Attempt-Id"], f"r-{number}")

    async def test_a_doubled_answer_goes_to_nobody(self):
        scene = await self.scene("doubled")
        for number in range(4):
            status, headers, _ = await scene.call("/safe/a", request_id=f"r-{number}")
            self.assertEqual((status, headers["Attempt-Id"]), (200, f"r-{number}"))


class RefusalTests(PathCase):
    async def test_unknown_keys_and_routes(self):
        scene = await self.scene("whole")
        self.assertEqual((await scene.call("/safe/a", Credential="x"))[0], 401)
        self.assertEqual((await scene.call("/safe/a", Credential=None))[0], 401)
        self.assertEqual((await scene.call("/other/a"))[0], 404)
        self.assertEqual(scene.workers[0].requests, [])

    async def test_bad_input_gets_a_clear_4xx_and_the_process_lives(self):
        scene = await self.scene("whole")
        for headers in (
            {"Deadline_Ms": "soon"},
            {"Deadline_Ms": "-5"},
            {"Last_Event_Id": "x"},
        ):
            self.assertEqual((await scene.call("/safe/a", **headers))[0], 400, headers)
        self.assertEqual((await scene.call("/safe/a", X="y" * 20_000))[0], 431)
        self.assertEqual((await scene.call("/safe/a"))[0], 200)

    async def test_raw_garbage_does_not_stop_the_process(self):
        scene = await self.scene("whole")
        for data in (b"\x00\xff\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"GET"):
            _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(data)
            await writer.drain()
            writer.close()
        self.assertEqual((await scene.call("/safe/a"))[0], 200)

    async def test_a_smuggled_request_is_not_run(self):
        scene = await self.scene("whole")
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(
            b"POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /safe/hidden HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        )
        await reader.read(1000)
        writer.close()
        self.assertEqual(scene.workers[0].requests, [])

    async def test_a_rejected_request_is_refused_as_not_run(self):
        scene = await self.scene("shed", "shed")
        status, headers, _ = await scene.call("/unsafe/a", method="POST")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("Server-Seal", headers)
        self.assertEqual(scene.runs(), 0)


class OnceTests(PathCase):
    async def test_a_lost_answer_of_unsafe_work_is_never_called_not_run(self):
        for behaviour in ("reset", "truncated", "garbage", "unframed_reset"):
            with self.subTest(behaviour=behaviour):
                scene = await self.scene(behaviour, behaviour)
                status, _, _ = await scene.call("/unsafe/a", method="POST")
                self.assertIn(status, (502, 504))
                self.assertEqual(scene.runs(), 1)

    async def test_unsafe_work_of_a_silent_target_runs_once(self):
        scene = await self.scene("silent", "silent")
        status, _, _ = await scene.call("/unsafe/a", method="POST", Deadline_Ms="300")
        self.assertEqual(status, 504)
        self.assertEqual(scene.runs(), 1)

    async def test_unsafe_work_goes_on_after_a_rejection(self):
        scene = await self.scene("shed", "whole")
        for number in range(6):
            status, _, _ = await scene.call(
                "/unsafe/a", method="POST", request_id=f"r-{number}"
            )
            self.assertEqual(status, 200)
            self.assertEqual(scene.runs(f"r-{number}"), 1)

    async def test_a_target_at_an_address_used_again_does_not_run_it(self):
        scene = await self.scene("whole")
        scene.workers[0].name = "somebody-else"
        status, _, _ = await scene.call("/unsafe/a", method="POST")
        self.assertEqual(status, 503)
        self.assertEqual(scene.runs(), 0)

    async def test_a_stream_that_may_not_be_resumed_runs_once(self):
        scene = await self.scene("stream_cut", "stream_cut")
        status, _, body = await scene.call("/once/a", method="POST")
        self.assertEqual((status, body), (200, None))
        self.assertEqual(scene.runs(), 1)


class RepeatTests(PathCase):
    async def test_safe_work_is_answered_by_a_second_target(self):
        for behaviour in ("reset", "truncated", "garbage", "failing", "unframed_reset"):
            with self.subTest(behaviour=behaviour):
                scene = await self.scene(behaviour, "whole")
                for number in range(4):
                    status, _, body = await scene.call(
                        "/safe/a", request_id=f"r-{number}"
                    )
                    self.assertEqual((status, body), (200, scene.workers[1].body))

    async def test_two_failures_give_the_second_target_s_own_answer(self):
        scene = await self.scene("failing", "failing")
        status, headers, body = await scene.call("/safe/a")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertIn("seal", headers["Server-Seal"])
        self.assertEqual(scene.runs(), 2)

    async def test_no_more_runs_than_the_route_allows(self):
        scene = await self.scene("reset", "reset", "reset")
        status, _, _ = await scene.call("/safe/a")
        self.assertEqual(status, 502)
        self.assertEqual(scene.runs(), 2)

    async def test_a_stream_goes_on_at_another_target_without_gap_or_double(self):
        scene = await self.scene("stream_cut", "stream")
        for number in range(3):
            scene.workers[0].behaviour = "stream_cut"
            status, _, body = await scene.call(
                "/stream/a", method="POST", request_id=f"r-{number}"
            )
            self.assertEqual(status, 200)
            numbers = [
                int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")
            ]
            self.assertEqual(numbers, [1, 2, 3, 4, 5])
            self.assertNotIn(b"id: 3\ndaid", body)

    async def test_a_halted_stream_goes_on_at_another_target(self):
        scene = await self.scene("stream_halted", "stream")
        for number in range(2):
            _, _, body = await scene.call(
                "/stream/a", method="POST", request_id=f"r-{number}"
            )
            self.assertEqual(body.count(b"id:"), 5)

    async def test_a_callers_own_resume_reaches_the_target(self):
        scene = await self.scene("stream")
        _, _, body = await scene.call("/stream/a", method="POST", Last_Event_Id="3")
        self.assertEqual(body.count(b"id:"), 2)


class CallerLeavesTests(PathCase):
    async def test_the_send_ends_with_its_caller(self):
        scene = await self.scene("slow")
        scene.workers[0].event_ms = 400.0
        task = asyncio.create_task(scene.call("/safe/a"))
        await asyncio.sleep(0.2)
        seat = scene.gateway.target_pool.get("w0")
        self.assertEqual(seat.in_flight_count, 1)
        task.cancel()
        async with asyncio.timeout(0.5):
            while seat.in_flight_count:
                await asyncio.sleep(0.01)


class SuspectTests(PathCase):
    async def test_a_request_that_ends_its_targets_is_not_sent_for_ever(self):
        scene = await self.scene("reset", "reset", "reset", "reset", "reset")
        for number in range(10):
            status, _, _ = await scene.call("/safe/bad", request_id=f"r-{number}")
            self.assertEqual(status, 502)
            for seat in scene.gateway.target_pool:
                seat.record_success()
        runs = sum(len(worker.runs) for worker in scene.workers)
        self.assertLessEqual(runs, 4)


class PlacesTests(PathCase):
    async def test_a_target_never_holds_more_than_its_places(self):
        scene = await self.scene("slow", "slow")
        calls = [scene.call("/safe/a", request_id=f"r-{n}") for n in range(30)]
        outcomes = await asyncio.gather(*calls)
        self.assertIn(200, {status for status, _, _ in outcomes})
        for status, headers, _ in outcomes:
            if status != 200:
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
        for worker in scene.workers:
            self.assertLessEqual(worker.peak_running_count, 6)
        self.assertEqual(
            {seat.in_flight_count for seat in scene.gateway.target_pool}, {0}
        )


class ConfigurationTests(PathCase):
    async def until(self, path, status):
        async with asyncio.timeout(3):
            while (await scene_status(self.running, path)) != status:
                await asyncio.sleep(0.02)

    async def test_a_new_version_holds_and_an_older_one_never_returns(self):
        self.running = scene = await self.scene("whole")
        routes = standard_routes()[1:]
        scene.store.put("op/config", configuration(version=5, routes=routes))
        await self.until("/safe/a", 404)
        scene.store.put("op/config", configuration(version=4))
        await asyncio.sleep(0.2)
        self.assertEqual((await scene.call("/safe/a"))[0], 404)

    async def test_a_key_that_was_taken_away_is_refused(self):
        self.running = scene = await self.scene("whole")
        tenants = [{"name": "a-customer", "api-keys": ["another"]}]
        scene.store.put("op/config", configuration(version=2, tenants=tenants))
        await self.until("/safe/a", 401)

    async def test_without_fresh_word_of_the_store_keys_are_refused_as_503(self):
        self.running = scene = await self.scene(
            "whole", strict_keys=True, freshness_limit_ms=1800.0
        )
        scene.store.fault = "silent"
        await self.until("/safe/a", 503)
        self.assertEqual(await scene.readiness(), 503)
        runs_count = len(scene.workers[0].runs)
        await scene.call("/safe/a")
        self.assertEqual(len(scene.workers[0].runs), runs_count)

    async def test_an_unreadable_configuration_leaves_the_last_one(self):
        scene = await self.scene("whole")
        scene.store.put("op/config", b"\xff{")
        scene.store.put("servers/odd", b"[]")
        scene.store.put("servers/odder", {"service": 5})
        await asyncio.sleep(0.2)
        self.assertEqual((await scene.call("/safe/a"))[0], 200)

    async def test_a_leaving_target_gets_nothing_more(self):
        scene = await self.scene("whole", "whole")
        scene.list_worker(scene.workers[0], state="draining")
        async with asyncio.timeout(2):
            while scene.gateway.target_pool.get("w0").usable(now_ms=float("inf")):
                await asyncio.sleep(0.01)
        runs_count = len(scene.workers[0].runs)
        for number in range(6):
            await scene.call("/safe/a", request_id=f"n-{number}")
        self.assertEqual(len(scene.workers[0].runs), runs_count)


class StopTests(PathCase):
    async def test_a_planned_stop_cuts_off_nothing(self):
        scene = await self.scene("slow")
        scene.workers[0].event_ms = 100.0
        running = asyncio.create_task(scene.call("/safe/a"))
        await asyncio.sleep(0.1)
        scene.gateway._begin_stop()
        self.assertEqual(await scene.readiness(), 503)
        status, headers, _ = await running
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        # Still accepted until the platform sends no more callers.
        self.assertEqual((await scene.call("/safe/a", request_id="r-2"))[0], 200)
        async with asyncio.timeout(6):
            await scene.running

    async def test_an_idle_connection_is_closed_at_the_end(self):
        scene = await self.scene("whole")
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        scene.gateway._begin_stop()
        async with asyncio.timeout(6):
            self.assertEqual(await reader.read(), b"")
        writer.close()


class TimeoutTests(PathCase):
    async def _time_out(self, path, method):
        """Return the answer's status and how long it took in milliseconds."""
        scene = await self.scene("silent", "silent")
        routes = [{**route, "timeout-ms": TIMEOUT_MS} for route in standard_routes()]
        scene.store.put("op/config", configuration(version=2, routes=routes))
        async with asyncio.timeout(2):
            while scene.gateway.published.table.configuration.version != 2:
                await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await scene.call(path, method=method)
        return status, (loop.time() - started) * 1000

    async def test_a_route_s_time_out_ends_what_has_no_deadline(self):
        for path, method in (("/safe/a", "GET"), ("/unsafe/a", "POST")):
            with self.subTest(path=path):
                status, took_ms = await self._time_out(path, method)
                self.assertEqual(status, 504)
                # The bound of the rule: half a second past the time-out.
                self.assertLess(took_ms, TIMEOUT_MS + 500)


class RecoveryTests(PathCase):
    """Everything ends at once and comes back knowing nothing."""

    async def test_a_fleet_that_starts_anew_serves_again(self):
        scene = await self.scene("whole", "whole")
        self.assertEqual((await scene.call("/safe/a"))[0], 200)
        await scene.stop_gateway()
        for worker in scene.workers:
            await worker.stop()
            scene.store.delete(f"servers/{worker.name}")
            worker.name += "-again"
            await worker.start()
            scene.list_worker(worker)
        scene.store.forget_history()
        scene.start_gateway()
        await scene.wait_ready()
        status, _, body = await scene.call("/safe/b")
        self.assertEqual(status, 200)
        self.assertIn(body, {worker.body for worker in scene.workers})

    async def test_targets_and_store_that_come_back_later_are_found(self):
        scene = await self.scene("whole")
        worker = scene.workers[0]
        scene.store.fault = "reset"
        await worker.stop()
        self.assertIn((await scene.call("/safe/a"))[0], (502, 503, 504))
        worker.name += "-again"
        await worker.start()
        scene.store.fault = ""
        scene.store.delete("servers/w0")
        scene.list_worker(worker)
        async with asyncio.timeout(RECOVERY_S):
            while (await scene.call("/safe/a"))[0] != 200:
                await asyncio.sleep(0.05)


class LimitTests(unittest.TestCase):
    def test_the_gap_follows_aim_and_pause(self):
        self.assertLess(sending.SILENCE_SHARE, attempts.PLACE_SHARE)
        self.assertLess(attempts.PLACE_SHARE, sending.LAST_SILENCE_SHARE)


async def scene_status(scene, path):
    status, _, _ = await scene.call(path)
    return status
