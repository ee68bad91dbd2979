"""Faults from outside the processes, in series that overlap."""

import asyncio
import signal
import socket

from .proxy import ProxyFault

STARTUP_LIMIT_S = 2.0  # A process is up within one second on a calm machine.

FAULTS = {}


def fault(name):
    """Register an awaitable ``fault(scene, choose)`` under ``name``."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


async def inject(scene, *, choose, until):
    """Bring on one fault after another, some while others last.

    Args:
        scene: The ``SoakRun``.
        choose: The seeded ``random.Random`` that decides everything.
        until: Loop's time in seconds after which none begins.
    """
    loop = asyncio.get_running_loop()
    running = set()
    try:
        while loop.time() < until:
            await asyncio.sleep(choose.uniform(0.1, 1.2))
            name = choose.choice(sorted(FAULTS))
            scene.record_fault(name)
            task = asyncio.create_task(FAULTS[name](scene, choose))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)
    finally:
        for task in running:
            task.cancel()


async def _kill(program, choose):
    program.kill()
    await asyncio.sleep(choose.uniform(0.0, 2.0))
    await program.start()


async def _freeze(program, lasts_s):
    program.pause()
    await asyncio.sleep(lasts_s)
    program.resume()


@fault("gateway killed")
async def _gateway_killed(scene, choose):
    await _kill(choose.choice(scene.gateways), choose)


@fault("gateway stopped as planned")
async def _gateway_stopped(scene, choose):
    gateway = choose.choice(scene.gateways)
    if not gateway.running or gateway.paused or gateway.stopping:
        return
    now = asyncio.get_running_loop().time()
    starting = now - gateway.disturbed_at < STARTUP_LIMIT_S
    gateway.terminate()
    status = await gateway.wait_until_ended()
    # Killed meanwhile, or asked before it knew how to stop.
    if status != 0 and status != -signal.SIGKILL and not starting:
        scene.checker.violations.append(f"EXIT: {gateway.name} ended with {status}")
    await gateway.start()


@fault("gateway frozen")
async def _gateway_frozen(scene, choose):
    await _freeze(choose.choice(scene.gateways), choose.choice([0.05, 0.4, 2.0, 6.5]))


@fault("gateway slowed by many short stops")
async def _gateway_slowed(scene, choose):
    gateway = choose.choice(scene.gateways)
    for _ in range(choose.randrange(10, 40)):
        gateway.pause()
        await asyncio.sleep(0.03)
        gateway.resume()
        await asyncio.sleep(0.02)


@fault("settings reloaded")
async def _reloaded(scene, choose):
    gateway = choose.choice(scene.gateways)
    for _ in range(choose.randrange(1, 4)):
        gateway.settings["retry_slack_count"] = choose.choice([20, 50, 90])
        gateway.reload()
        await asyncio.sleep(choose.uniform(0.0, 0.2))


@fault("store in trouble")
async def _store_trouble(scene, choose):
    trouble = choose.choice(["busy", "many", "silent", "reset"])
    lasts_s = choose.uniform(0.5, 6.0)
    with scene.store_fault():
        scene.store.fault = trouble
        await asyncio.sleep(lasts_s)
        scene.store.fault = ""


@fault("store forgets its history")
async def _store_forgets(scene, choose):
    with scene.store_fault():
        scene.store.forget_history()


@fault("a gateway loses the store")
async def _store_cut(scene, choose):
    proxy = choose.choice(scene.store_proxies)
    lasts_s = choose.uniform(0.5, 7.0)
    with scene.store_fault():
        proxy.fault = choose.choice(
            [
                ProxyFault.SILENCE,
                ProxyFault.CUT_OUT,
                ProxyFault.CUT_BACK,
                ProxyFault.REFUSE,
            ]
        )
        await asyncio.sleep(lasts_s)
        proxy.fault = ProxyFault.NONE


@fault("connections to a worker disturbed")
async def _worker_link(scene, choose):
    proxy = choose.choice(scene.worker_proxies)
    proxy.fault = choose.choice(list(ProxyFault))
    proxy.delay_ms = choose.choice([5.0, 50.0, 300.0])
    await asyncio.sleep(choose.uniform(0.2, 3.0))
    if choose.random() < 0.5:
        proxy.reset()
    proxy.fault = ProxyFault.NONE


@fault("worker sick")
async def _worker_sick(scene, choose):
    worker = choose.choice(scene.workers)
    worker.failure_ratio = choose.choice([0.1, 0.5, 1.0])
    await asyncio.sleep(choose.uniform(0.5, 4.0))
    worker.failure_ratio = 0.0


@fault("worker leaves and another comes")
async def _worker_leaves(scene, choose):
    await scene.replace_worker(
        choose.randrange(len(scene.listed_workers)), announced=choose.random() < 0.7
    )


@fault("configuration changes")
async def _configuration(scene, choose):
    for _ in range(choose.randrange(1, 4)):
        scene.operator.publish()
        await asyncio.sleep(choose.uniform(0.0, 0.5))


@fault("keys change")
async def _keys(scene, choose):
    scene.operator.change_keys()


@fault("keys change behind a silent store")
async def _keys_unseen(scene, choose):
    with scene.store_fault():
        scene.store.fault = choose.choice(["silent", "busy"])
        # The first change adds a key, so that the second can take one away.
        scene.operator.change_keys()
        scene.operator.change_keys()
        await asyncio.sleep(choose.uniform(7.0, 10.0))
        scene.store.fault = ""


@fault("foreign entries and notices")
async def _foreign(scene, choose):
    scene.store.put("servers/odd", choose.choice([b"\xff", b"{}", b"[1]", b""]))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for gateway in scene.gateways:
            address = (gateway.settings["peers_ip"], gateway.settings["peers_port"])
            for data in (b"", choose.randbytes(200), b"\x93\xa4rank\x03"):
                sock.sendto(data, address)


@fault("agent killed")
async def _agent_killed(scene, choose):
    await _kill(choose.choice(scene.agents), choose)


@fault("agent frozen")
async def _agent_frozen(scene, choose):
    await _freeze(choose.choice(scene.agents), choose.choice([0.1, 0.5, 1.5, 4.0]))


@fault("answers to orders lost")
async def _orders_lost(scene, choose):
    for server in scene.rank_servers:
        server.is_answer_lost = lambda: choose.random() < 0.5
    await asyncio.sleep(choose.uniform(0.5, 4.0))
    for server in scene.rank_servers:
        server.is_answer_lost = lambda: False


@fault("group formed anew")
async def _group_anew(scene, choose):
    scene.group.is_open = False
    await asyncio.sleep(choose.uniform(0.1, 1.0))
    scene.group.start_new_epoch(lost_rank=choose.randrange(len(scene.group.ranks)))
    scene.group.is_open = True
