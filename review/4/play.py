"""A target has just started and its agent's process is killed before the
second heartbeat. The flows that opened meanwhile have to stay."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))

from world import BOUNDS, config, route, run  # noqa: E402

ZONES = ("thess-a", "thess-b", "thess-c")
ORDERS_PER_S = 180      # a flow each
FLOW_GAP_S = 0.01
KILL_AFTER_S = 0.5      # after the target's start; heartbeats come every 0.77 s
RESTART_DELAY_S = 0.1
DEADLINE_S = 3.0


async def play(world):
    for zone in ZONES:
        world.add_edge(zone)
    for service in ("orders", "assessing"):
        for zone in ZONES:
            world.add_side(zone, service)
    where = (world.host_ip(1), 443)
    world.store.put("config", "main", config(
        7, [route("r-orders", where[0], "orders")]))
    await world.start()
    for machine in world.sides:
        await world.add_target(machine, first_sequence=0).start()
    for zone in ZONES:
        await world.add_host(zone)
    await world.wait_ready()
    await asyncio.sleep(7)      # every roster is complete by now

    async def orders():
        while True:
            for zone in ZONES:
                asyncio.create_task(world.one_request(
                    world.hosts[zone][0], where, 300))
            await asyncio.sleep(len(ZONES) / ORDERS_PER_S)

    traffic = asyncio.create_task(orders())
    await asyncio.sleep(1)
    added = world.add_side("thess-a", "orders")
    added.start()
    await asyncio.sleep(0.8)
    target = world.add_target(added, first_sequence=0, cold_ms=2000)
    await target.start()
    start = world.now()
    flows = []

    async def open_one(host):
        flow = host.open(where)
        if await flow.connect() and \
                await flow.request(world.request_id(), 300, 1.0) == "served":
            flows.append(flow)

    tasks = []
    for i in range(10 ** 6):
        if world.now() - start > KILL_AFTER_S - 0.15:
            break
        tasks.append(asyncio.create_task(
            open_one(world.hosts[ZONES[i % 3]][0])))
        await asyncio.sleep(FLOW_GAP_S)
    await asyncio.sleep(KILL_AFTER_S - (world.now() - start))
    if world.trouble:
        added.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        added.start()
    await asyncio.gather(*tasks)
    kept = [f for f in flows if world.owners.get(f.key) is target]
    world.record("flows open at the added target: %d", len(kept))
    # All machines are in touch again before a client sends.
    await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000 + 0.7)

    def reset(flow, owner, packet):
        if owner:
            world.broken("FLOW", "the client of flow %s:%d gets a reset that "
                         "its target %s didn't send; the target lives and "
                         "holds the flow", flow.key[0], flow.key[1], owner.id)

    world.reset_hooks.append(reset)
    traffic.cancel()
    results = {}
    for flow in kept:
        result = await flow.request(world.request_id(), 300, DEADLINE_S)
        results[result] = results.get(result, 0) + 1
    world.record("next requests on these flows: %s", results)


run(os.path.dirname(os.path.abspath(__file__)), "FLOW", play)
