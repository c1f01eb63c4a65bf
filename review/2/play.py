"""A configuration sends a route's new flows to another service, and the next
one no longer names the old service, whose targets go on. The open flows have
to stay."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))

from world import config, route, run  # noqa: E402

ZONES = ("thess-a", "thess-b", "thess-c")
FLOWS_A_ZONE = 10
REQUESTS_A_FLOW = 12
PAUSE_S = 1.0
MOVE_AFTER_S = 3.0
DROP_AFTER_S = 4.0      # more than config_apply_ms after the move
DEADLINE_S = 3.0


async def feed(world, host, where, results):
    """A long flow with a request a second."""
    flow = host.open(where)
    if not await flow.connect():
        results["not opened"] = results.get("not opened", 0) + 1
        return
    for _ in range(REQUESTS_A_FLOW):
        result = await flow.request(world.request_id(), 900, DEADLINE_S)
        results[result] = results.get(result, 0) + 1
        if result != "served":
            world.record("request on flow %s:%d: %s", flow.key[0],
                         flow.key[1], result)
            break
        await asyncio.sleep(PAUSE_S)
    await flow.close()


async def play(world):
    for zone in ZONES:
        world.add_edge(zone)
    for service in ("orders", "orders-next"):
        for zone in ZONES:
            world.add_side(zone, service)
    where = (world.host_ip(1), 443)
    both = ("orders", "orders-next")
    world.store.put("config", "main", config(
        7, [route("r-orders", where[0], "orders")], services=both))
    await world.start()
    for machine in world.sides:
        await world.add_target(machine).start()
    for zone in ZONES:
        await world.add_host(zone)
    await world.wait_ready()
    await asyncio.sleep(7)      # every roster is complete by now

    def reset(flow, owner, packet):
        if owner:
            world.broken("FLOW", "the client of flow %s:%d gets a reset that "
                         "its target %s didn't send; the target lives and "
                         "holds the flow", flow.key[0], flow.key[1], owner.id)

    world.reset_hooks.append(reset)
    results = {}
    tasks = []
    for _ in range(FLOWS_A_ZONE):
        for zone in ZONES:
            tasks.append(asyncio.create_task(
                feed(world, world.hosts[zone][0], where, results)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(MOVE_AFTER_S)
    moved = [route("r-orders", where[0], "orders-next")]
    world.store.put("config", "main", config(9, moved, services=both))
    await asyncio.sleep(DROP_AFTER_S)
    world.record("flows open at targets of orders: %d",
                 sum(t.service == "orders" for t in world.owners.values()))
    if world.trouble:
        world.store.put("config", "main", config(11, moved,
                                                 services=("orders-next",)))
    await asyncio.gather(*tasks)
    world.record("requests on the long flows: %s", results)


run(os.path.dirname(os.path.abspath(__file__)), "FLOW", play)
