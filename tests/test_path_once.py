"""At most once, over agents and entries that die, and a prompt verdict."""

import asyncio
import json

from .support.case import FleetCase
from .support.fleet import THREE_WORKERS, TWO_WORKERS, until

DEADLINE_MS = 1500
GRACE_MS = 500


async def key_of(caller, entry, *, service="booking"):
    """Return an issued key and the target that it names."""
    outcome = await caller.send(entry, "POST", f"/v1/services/{service}/keys")
    document = json.loads(outcome.body)
    return document["key"], document["target"]


class OnceTest(FleetCase):
    async def test_one_key_through_two_entries_at_once_runs_once(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        caller = fleet.caller()
        for number in range(10):
            key, _ = await key_of(caller, "entry-a")
            body = f"hold {number}".encode()
            outcomes = await asyncio.gather(
                *(
                    caller.call(entry, "hold", body, key=key)
                    for entry in ("entry-a", "entry-b", "entry-a", "entry-b")
                )
            )
            for outcome in outcomes:
                self.assert_answered(outcome)
            self.assertEqual(1, len({outcome.body for outcome in outcomes}))
        self.assertEqual(10, fleet.effects_count("hold"))

    async def test_one_key_in_data_centres_that_are_cut_off_runs_once(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS, deadline_ms=DEADLINE_MS)
        caller = fleet.caller()
        key, home = await key_of(caller, "entry-a")
        near = "entry-a" if home == "booking-a" else "entry-b"
        far = "entry-b" if near == "entry-a" else "entry-a"
        for wire in fleet.wires_between({"nadi"}, {"lautoka"}):
            wire.cut()
        there, here = await asyncio.gather(
            caller.call(far, "hold", b"x", key=key),
            caller.call(near, "hold", b"x", key=key),
        )
        self.assert_answered(here)
        self.assertEqual("may_have_run", there.ran)
        self.assertLess(there.elapsed_ms, DEADLINE_MS + GRACE_MS)
        self.assertEqual(1, fleet.effects_count("hold"))
        await fleet.restore()
        again = await caller.call(far, "hold", b"x", key=key)
        self.assertEqual(here.body, again.body)
        self.assertEqual(1, fleet.effects_count("hold"))

    async def test_a_replaced_agent_refuses_its_predecessors_key(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        caller = fleet.caller()
        key, home = await key_of(caller, "entry-a")
        await fleet.agents[home].kill()
        await fleet.agents[home].start()
        await fleet.until_ready()
        for entry in ("entry-a", "entry-b"):
            outcome = await caller.call(entry, "hold", b"x", key=key)
            self.assertEqual(
                ("key_home_lost", "may_have_run"), (outcome.code, outcome.ran)
            )
        self.assertEqual(0, fleet.effects_count("hold"))

    async def test_an_expired_key_never_runs_again(self):
        fleet = await self.start_fleet(
            targets=TWO_WORKERS, entry_options={"key_lifetime_ms": 400}
        )
        caller = fleet.caller()
        used, _ = await key_of(caller, "entry-a")
        fresh, _ = await key_of(caller, "entry-a")
        self.assert_answered(await caller.call("entry-a", "hold", b"x", key=used))
        await asyncio.sleep(0.6)
        for key in (used, fresh):
            outcome = await caller.call("entry-b", "hold", b"x", key=key)
            self.assertEqual("may_have_run", outcome.ran)
        self.assertEqual(1, fleet.effects_count("hold"))

    async def test_a_key_with_other_content_is_refused(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        caller = fleet.caller()
        key, _ = await key_of(caller, "entry-a")
        self.assert_answered(await caller.call("entry-a", "hold", b"x", key=key))
        outcome = await caller.call("entry-b", "hold", b"another", key=key)
        self.assertEqual("key_mismatch", outcome.code)
        self.assertEqual(1, fleet.effects_count("hold"))

    async def test_a_fresh_hold_succeeds_at_once_beside_a_dead_worker(self):
        for dead in ("agents", "targets"):
            with self.subTest(dead=dead):
                fleet = await self.start_fleet(
                    targets=THREE_WORKERS, deadline_ms=DEADLINE_MS
                )
                caller = fleet.caller()
                await getattr(fleet, dead)["booking-a"].kill()
                for number in range(10):
                    key, home = await key_of(caller, "entry-a")
                    self.assertNotEqual("booking-a", home)
                    body = f"hold {number}".encode()
                    outcome = await caller.call("entry-a", "hold", body, key=key)
                    self.assert_answered(outcome)
                self.assertEqual(10, fleet.effects_count("hold"))

    async def test_an_entry_lost_before_it_answered_leaves_the_answer_to_another(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS, step_ms=300)
        caller = fleet.caller()
        key, home = await key_of(caller, "entry-a")
        lost = asyncio.create_task(caller.call("entry-a", "hold", b"x", key=key))
        runner = fleet.agents[home].process.runner
        await until(lambda: runner.running_count, limit_s=2, what="a running hold")
        await fleet.entries["entry-a"].kill()
        self.assertFalse((await lost).ok)
        self.assert_answered(await caller.call("entry-b", "hold", b"x", key=key))
        self.assertEqual(1, fleet.effects_count("hold"))
