"""Injects faults from outside the processes; several may last at the same time."""

import asyncio
import signal
import socket

from .proxy import ProxyFault

# A process starts within one second on an idle host.
STARTUP_LIMIT_S = 2.0

FAULTS = {}


def fault(name):
    """Register the decorated coroutine function ``f(soak_run, rng)`` as a fault.

    Args:
        name: Name under which the fault is chosen and reported.
    """

    def register(function):
        FAULTS[name] = function
        return function

    return register


async def inject(soak_run, *, rng, until):
    """Start faults at random times until a given time, and wait for their end.

    Args:
        soak_run: The ``SoakRun``.
        rng: The seeded ``random.Random`` for all random choices.
        until: Time after which no fault starts, in seconds of the event loop's
            clock.
    """
    loop = asyncio.get_running_loop()
    running = set()
    try:
        while loop.time() < until:
            await asyncio.sleep(rng.uniform(0.1, 1.2))
            name = rng.choice(sorted(soak_run.fault_names))
            soak_run.record_fault(name)
            task = asyncio.create_task(FAULTS[name](soak_run, rng))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)
    finally:
        for task in running:
            task.cancel()


async def _kill_and_restart(program, rng):
    program.kill()
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    await program.start()


async def _pause(program, duration_s):
    program.pause()
    await asyncio.sleep(duration_s)
    program.resume()


@fault("gateway killed")
async def _gateway_killed(soak_run, rng):
    await _kill_and_restart(rng.choice(soak_run.gateways), rng)


@fault("gateway stopped as planned")
async def _gateway_stopped(soak_run, rng):
    gateway = rng.choice(soak_run.gateways)
    if not gateway.running or gateway.paused or gateway.stopping:
        return
    starting = not gateway.has_begun
    gateway.terminate()
    status = await gateway.wait_until_ended()
    # The gateway may have been killed meanwhile, or may not have installed its
    # signal handler when SIGTERM arrived.
    if status != 0 and status != -signal.SIGKILL and not starting:
        soak_run.checker.violations.append(f"EXIT: {gateway.name} ended with {status}")
    await gateway.start()


@fault("gateways stopped in turn while settings and routes change")
async def _gateways_stopped_in_turn(soak_run, rng):
    for gateway in rng.sample(soak_run.gateways, len(soak_run.gateways)):
        if not gateway.running or gateway.paused or gateway.stopping:
            continue
        gateway.terminate()
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        gateway.reload()
        soak_run.operator.publish()
        await gateway.wait_until_ended()
        await gateway.start()
        await asyncio.sleep(STARTUP_LIMIT_S)


@fault("gateway frozen")
async def _gateway_frozen(soak_run, rng):
    await _pause(rng.choice(soak_run.gateways), rng.choice([0.05, 0.4, 2.0, 6.5]))


@fault("gateway slowed by many short stops")
async def _gateway_slowed(soak_run, rng):
    gateway = rng.choice(soak_run.gateways)
    for _ in range(rng.randrange(10, 40)):
        gateway.pause()
        await asyncio.sleep(0.03)
        gateway.resume()
        await asyncio.sleep(0.02)


@fault("settings reloaded")
async def _reloaded(soak_run, rng):
    gateway = rng.choice(soak_run.gateways)
    for _ in range(rng.randrange(1, 4)):
        gateway.settings["retry_slack_count"] = rng.choice([20, 50, 90])
        gateway.reload()
        await asyncio.sleep(rng.uniform(0.0, 0.2))


@fault("store in trouble")
async def _store_trouble(soak_run, rng):
    kind = rng.choice(["busy", "many", "silent", "reset"])
    duration_s = rng.uniform(0.5, 6.0)
    with soak_run.store_fault():
        soak_run.store.fault = kind
        await asyncio.sleep(duration_s)
        soak_run.store.fault = ""


@fault("store forgets its history")
async def _store_forgets(soak_run, rng):
    with soak_run.store_fault():
        soak_run.store.forget_history()


@fault("store comes back from a copy")
async def _store_restored(soak_run, rng):
    # Shorter in all than a revoked key may still work: a gateway that starts meanwhile
    # may know nothing but the copy.
    with soak_run.store_fault():
        copy = soak_run.store.snapshot()
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        soak_run.store.restore(copy)
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        soak_run.operator.write_again()


@fault("a gateway loses the store")
async def _store_cut(soak_run, rng):
    proxy = rng.choice(soak_run.store_proxies)
    duration_s = rng.uniform(0.5, 7.0)
    with soak_run.store_fault():
        proxy.fault = rng.choice(
            [
                ProxyFault.SILENCE,
                ProxyFault.CUT_OUT,
                ProxyFault.CUT_BACK,
                ProxyFault.REFUSE,
            ]
        )
        await asyncio.sleep(duration_s)
        proxy.fault = ProxyFault.NONE


@fault("connections to a worker disturbed")
async def _worker_link(soak_run, rng):
    proxy = rng.choice(soak_run.worker_proxies)
    proxy.fault = rng.choice(list(ProxyFault))
    proxy.delay_ms = rng.choice([5.0, 50.0, 300.0])
    with soak_run.link_fault():
        await asyncio.sleep(rng.uniform(0.2, 3.0))
        if rng.random() < 0.5:
            proxy.reset()
        proxy.fault = ProxyFault.NONE


@fault("worker sick")
async def _worker_sick(soak_run, rng):
    worker = rng.choice(soak_run.workers)
    worker.failure_ratio = rng.choice([0.1, 0.5, 1.0])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    worker.failure_ratio = 0.0


@fault("worker leaves and another comes")
async def _worker_leaves(soak_run, rng):
    await soak_run.replace_worker(
        rng.randrange(len(soak_run.listed_workers)), announced=rng.random() < 0.7
    )


@fault("worker announces in its answers that it leaves")
async def _worker_announces(soak_run, rng):
    index = rng.randrange(len(soak_run.listed_workers))
    soak_run.listed_workers[index].leaving = True
    await asyncio.sleep(rng.uniform(0.0, 4.0))
    await soak_run.replace_worker(index, announced=rng.random() < 0.5)


@fault("worker asks for pauses")
async def _worker_pauses(soak_run, rng):
    worker = rng.choice(soak_run.workers)
    worker.pause_text = rng.choice(["0.4", "1.5", "2.5"])
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    worker.pause_text = ""


@fault("configuration changes")
async def _configuration(soak_run, rng):
    for _ in range(rng.randrange(1, 4)):
        soak_run.operator.publish()
        await asyncio.sleep(rng.uniform(0.0, 0.5))


@fault("keys change")
async def _keys(soak_run, rng):
    soak_run.operator.change_keys()


@fault("keys change behind a silent store")
async def _keys_unseen(soak_run, rng):
    with soak_run.store_fault():
        soak_run.store.fault = rng.choice(["silent", "busy"])
        # The first change adds a key, so that the second one can revoke a key.
        soak_run.operator.change_keys()
        soak_run.operator.change_keys()
        await asyncio.sleep(rng.uniform(7.0, 10.0))
        soak_run.store.fault = ""


@fault("foreign entries and notices")
async def _foreign(soak_run, rng):
    soak_run.store.put("servers/odd", rng.choice([b"\xff", b"{}", b"[1]", b""]))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for gateway in soak_run.gateways:
            address = (gateway.settings["peers_ip"], gateway.settings["peers_port"])
            for data in (b"", rng.randbytes(200), b"\x93\xa4rank\x03"):
                sock.sendto(data, address)


@fault("agent killed")
async def _agent_killed(soak_run, rng):
    await _kill_and_restart(rng.choice(soak_run.agents), rng)


@fault("agent frozen")
async def _agent_frozen(soak_run, rng):
    await _pause(rng.choice(soak_run.agents), rng.choice([0.1, 0.5, 1.5, 4.0]))


@fault("rank announces that it leaves")
async def _rank_announces(soak_run, rng):
    rank = rng.choice(soak_run.group.ranks)
    rank.leaving = True
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    rank.leaving = False


@fault("worker falls silent and goes on")
async def _worker_silent(soak_run, rng):
    # Without the end of a connection, unlike most disturbed ones.
    proxy = rng.choice(soak_run.worker_proxies)
    proxy.fault = ProxyFault.SILENCE
    with soak_run.link_fault():
        await asyncio.sleep(rng.uniform(0.8, 1.4))
        proxy.fault = ProxyFault.NONE


@fault("answers to orders lost")
async def _order_answers_lost(soak_run, rng):
    for server in soak_run.rank_servers:
        server.is_answer_lost = lambda: rng.random() < 0.5
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for server in soak_run.rank_servers:
        server.is_answer_lost = lambda: False


@fault("group formed anew")
async def _group_new_epoch(soak_run, rng):
    soak_run.group.is_open = False
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    soak_run.group.start_new_epoch(lost_rank=rng.randrange(len(soak_run.group.ranks)))
    soak_run.group.is_open = True
