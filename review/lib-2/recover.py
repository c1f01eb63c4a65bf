"""Load, the final fault of a day, and the check of the rule RECOVER."""

import asyncio

from world import BOUNDS, config

DEADLINE_S = 1.2        # of mat-order
DOWN_S = 1.0            # `closing` of huon-mats: 0.57 to 1.6
REQUEST_GAP_S = 0.05    # in each zone
CALM_S = 4.0            # requests before the final fault
WATCH_S = 8.0           # requests after recover_s


class Load:
    """A flow for each request, from a host in each zone."""

    def __init__(self, world, where):
        self.world, self.where = world, where
        self.sent = []          # [time of sending, result]
        self.stopped = False

    def start(self):
        for host in self.world.hosts.values():
            self.world.spawn(self.send(host))

    async def send(self, host):
        n = 0
        while not self.stopped:
            n += 1
            self.world.spawn(self.request(host, "%s-%d" % (host.zone, n)))
            await asyncio.sleep(REQUEST_GAP_S)

    async def request(self, host, name):
        entry = [self.world.now(), "not opened"]
        self.sent.append(entry)
        flow = host.open(self.where)
        if await flow.connect():
            entry[1] = await flow.request(name, 300, DEADLINE_S)
            flow.close()

    def share(self, begin, end):
        """The share that was served of what was sent in this time."""
        results = [r for t, r in self.sent if begin <= t < end]
        served = sum(r == "served" for r in results)
        self.world.record("sent from %.1f s to %.1f s: %d, served: %d", begin,
                          end, len(results), served)
        return served / max(1, len(results))


def write_config(world, version, host_ip):
    world.store.write("config", "main", config(
        version, [("r-orders", host_ip, 443, "orders", "unsafe")], ["orders"]))
    world.record("the store acknowledges configuration %d", version)


async def final_fault(world, host_ip):
    """All processes of the system are killed right after a configuration was
    acknowledged, and started again after DOWN_S. @return when they are back."""
    write_config(world, 9, host_ip)
    for machine in world.machines:
        machine.kill()
    world.record("all processes are killed")
    await asyncio.sleep(DOWN_S)
    for machine in world.machines:
        machine.start()
    return world.now()


async def check_recover(world, load, calm_at, fault_at, back_at):
    """Rule RECOVER: what is sent later than recover_s after the machines are
    back."""
    begin = back_at + BOUNDS["recover_s"]
    await asyncio.sleep(begin + WATCH_S - world.now())
    load.stopped = True
    await asyncio.sleep(DEADLINE_S + 1.6)
    before = load.share(calm_at, fault_at - DEADLINE_S)
    after = load.share(begin, begin + WATCH_S)
    if before >= 0.25 > after:
        world.broken("RECOVER", "%.0f%% of the requests sent later than %d s "
                     "after the machines are back are served, %.0f%% before "
                     "the final fault" % (after * 100, BOUNDS["recover_s"],
                                          before * 100))
