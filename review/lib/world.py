"""A small deployment on loopback addresses: the project's own processes, with
the commands and the settings template of deploy/system.toml, between a store,
targets, clients and a router that are stand-ins."""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from client import ClientHost  # noqa: E402
from store import Store  # noqa: E402
from target import Target  # noqa: E402
from wire import SYN  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
# The bounds of the small deployments.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000,
          "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 3000,
          "revert_slack_ms": 250, "outer_ms": 12000, "cold_multiplier": 1.5,
          "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12,
          "reorder_ms": 2000, "flow_lifetime_s": 60}
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TIME_LIMIT_S = 115


def route(name, host, service, kind="unsafe", **fields):
    """A route of a configuration; every route has port 443."""
    return {"name": name, "host": host, "path_prefix": "/443/", "type": kind,
            "timeout_ms": 1200, "objective_ms": 200, "priority": 1,
            "max_attempts": 2, "service": service} | fields


def config(version, routes, services=("orders", "assessing"),
           idle_timeout_ms=15000, cold_per_s=0.0):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 2000, "protocol": "h1", "tls": False,
                          "cold_s": 2.0, "cold_per_s": cold_per_s}
                         for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": idle_timeout_ms}}


class CouldNotRun(Exception):
    pass


def look_up(scopes, path):
    if path == ".":
        return scopes[-1][0]
    if path == "@":
        return scopes[-1][1]
    for value, _ in reversed(scopes):
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and \
                    int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def render(text, scopes):
    """Fills in a settings template as DEPLOY.md tells."""
    out, i = "", 0
    for match in iter(lambda: re.compile(r"\{\{([#^]?)([^}|]+)(\|json)?\}\}")
                      .search(text, i), None):
        out += text[i:match.start()]
        kind, path, as_json = match.groups()
        i = match.end()
        if kind:
            end = text.index("{{/%s}}" % path, i)
            part, i = text[i:end], end + len(path) + 5
            value = look_up(scopes, path)
            empty = value is None or value is False
            if kind == "^":
                out += render(part, scopes) if empty else ""
            elif empty:
                pass
            elif isinstance(value, list):
                for k, x in enumerate(value):
                    last = k == len(value) - 1
                    out += render(part.replace("{{,}}", "" if last else ","),
                                  scopes + [(x, k)])
            else:
                out += render(part, scopes + [(value, None)])
        else:
            value = look_up(scopes, path)
            if as_json or isinstance(value, dict):
                out += json.dumps(value)
            elif isinstance(value, list):
                out += ",".join(str(x) for x in value)
            elif value is not None:
                out += str(value)
    return out + text[i:]


class Machine:
    """A machine of the system with one process of the project."""

    def __init__(self, world, role, name, ip, zone, service=None):
        self.world, self.role, self.name = world, role, name
        self.ip, self.zone, self.service = ip, zone, service
        self.process = None
        self.misses, self.in_rotation = 2, False
        self.disturbed_at = None    # the end of the last disruption

    def settings(self):
        w, p = self.world, self.world.port
        fields = {
            "node": self.name, "role": self.role, "ip": self.ip,
            "zone": self.zone, "region": "region", "machine_class": self.role,
            "internal_ports": [p["inner"], p["inner"] + 15],
            "seeds": ["%s:%d" % (m.ip, p["control"])
                      for m in w.edges[:3]],
            "bootstrap": True, "heartbeat_ms": 770, "discovery": "local",
            "entry": "advertise", "flow_hash": "steady",
            "forwarding_mode": "agent", "bounds": dict(BOUNDS),
            "limits": {"link_mbps": 1000.0},
            "platform": {"address": "%s:%d" % (w.store_ip, p["store"])},
            "listen": {"ready": "%s:%d" % (self.ip, p["ready"]),
                       "control": "%s:%d" % (self.ip, p["control"]),
                       "datagram_addr": "%s:%d" % (self.ip, p["datagram"])},
        }
        if self.service:
            fields["service"] = self.service
            fields["app"] = "%s:%d" % (self.ip, p["app"])
            fields["listen"]["outbound"] = "%s:%d" % (self.ip, p["outbound"])
        return fields

    def start(self):
        role = self.world.roles[self.role]
        with open(os.path.join(ROOT, role["template"])) as f:
            text = render(f.read(), [(self.settings(), None)])
        path = os.path.join(self.world.tmp, self.name + ".json")
        with open(path, "w") as f:
            f.write(text)
        command = [path if x == "/etc/tarragonflow/local.toml" else x
                   for x in shlex.split(role["run"])]
        log = open(os.path.join(self.world.tmp, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT,
            env={k: v for k, v in os.environ.items()
                 if k in ("PATH", "HOME", "LANG")} | {
                     "TARRAGONFLOW_CONFIG": path})
        log.close()
        self.world.record("machine %s: process starts, pid %d", self.name,
                          self.process.pid)

    def signal(self, number):
        self.world.record("machine %s: %s", self.name,
                          signal.Signals(number).name)
        self.process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.disturbed_at = time.monotonic()

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    @property
    def running(self):
        return self.process and self.process.poll() is None


class World:
    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.start_time = time.monotonic()
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.breaks = []
        self.quiet_beats = True
        self.edges, self.sides, self.targets, self.hosts = [], [], [], {}
        self.sent_requests, self.outcomes = {}, {}
        self.owners = {}            # key: target with the open flow
        self.resets = []            # (time, flow, target of the open flow)
        self.syn_hooks, self.run_hooks, self.reset_hooks = [], [], []
        self.reach_hooks = []
        self.last_request = 0
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]
        self.choose_addresses()
        self.store = Store(self.record)

    def choose_addresses(self):
        """A free part of 127.0.0.0/8; the ports are those of a day."""
        for _ in range(50):
            self.net = "127.%d" % random.randint(20, 250)
            base = random.randint(20, 29) * 1000
            self.port = {"datagram": base + 172, "ready": base + 167,
                         "control": base + 166, "outbound": base + 162,
                         "app": base + 165, "inner": base + 720,
                         "store": base + 169}
            try:
                for port in list(self.port.values()) + [9464]:
                    with socket.socket() as s:
                        s.bind((self.net + ".1.1", port))
                break
            except OSError:
                continue
        else:
            raise CouldNotRun("no free addresses")
        self.store_ip = self.net + ".0.1"
        self.router_ip = self.net + ".0.2"

    def now(self):
        return time.monotonic()

    def record(self, text, *args):
        self.record_file.write("%9.3f %s\n" % (
            time.monotonic() - self.start_time, text % args if args else text))
        self.record_file.flush()

    def broken(self, rule, text, *args):
        self.breaks.append(rule)
        self.record("BROKEN " + rule + ": " + text, *args)

    def add_edge(self, zone):
        n = len(self.edges) + 1
        m = Machine(self, "balancer", "edge-%s-%d" % (zone, n),
                    "%s.1.%d" % (self.net, n), zone)
        self.edges.append(m)
        return m

    def add_side(self, zone, service):
        n = len(self.sides) + 1
        m = Machine(self, "agent", "side-%s-%d" % (zone, n),
                    "%s.2.%d" % (self.net, n), zone, service)
        self.sides.append(m)
        return m

    def add_target(self, machine, service=None, **options):
        t = Target(self, machine, service or machine.service,
                   "i-%08x" % random.getrandbits(32), **options)
        self.targets.append(t)
        return t

    async def add_host(self, zone):
        n = sum(len(x) for x in self.hosts.values()) + 1
        host = ClientHost(self, "%s.200.%d" % (self.net, n), zone)
        await host.start()
        self.hosts.setdefault(zone, []).append(host)
        return host

    def host_ip(self, n):
        return "%s.250.%d" % (self.net, n)

    async def start(self):
        self.record("TROUBLE=%d net %s", self.trouble, self.net)
        await self.store.start(self.store_ip, self.port["store"])
        self.router, _ = await asyncio.get_running_loop(). \
            create_datagram_endpoint(asyncio.DatagramProtocol,
                                     local_addr=(self.router_ip, 0))
        for m in self.edges + self.sides:
            m.start()
        asyncio.create_task(self.probe_all())

    async def probe(self, m):
        ok, writer = False, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                m.ip, self.port["ready"]), 0.45)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.45)
            ok = line.split()[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            pass
        if writer:
            writer.close()
        m.misses = 0 if ok else m.misses + 1
        if (m.misses < 2) != m.in_rotation:
            m.in_rotation = m.misses < 2
            self.record("router: %s is %s rotation", m.name,
                        "in" if m.in_rotation else "out of")

    async def probe_all(self):
        while True:
            for m in self.edges:
                asyncio.create_task(self.probe(m))
            await asyncio.sleep(0.5)

    def route_packet(self, zone, packet):
        """Sends a client's packet as the platform's routers do."""
        local = [m for m in self.edges if m.zone == zone]
        nodes = [m for m in local if m.in_rotation]
        if len(nodes) * 2 < len(local) and nodes:
            nodes = local
        if not nodes:
            nodes = [m for m in self.edges if m.in_rotation] or local
        key = "%s:%d>%s:%d" % (packet.src, packet.sport, packet.dst,
                               packet.dport)
        if nodes:
            m = max(nodes, key=lambda x: random.Random(key + x.name).random())
            self.router.sendto(packet.encode(), (m.ip, self.port["datagram"]))

    # What the stand-ins report.

    def took_syn(self, target, key, packet):
        for hook in self.syn_hooks:
            hook(target, key, packet)

    def reached(self, target, key, packet):
        if not packet.flags & SYN:
            for hook in self.reach_hooks:
                hook(target, key, packet)

    def ran(self, target, key, request):
        for hook in self.run_hooks:
            hook(target, key, request)

    def flow_opened(self, target, key):
        self.owners[key] = target

    def flow_ended(self, target, key):
        if self.owners.get(key) is target:
            del self.owners[key]

    def client_reset(self, flow, packet):
        owner = self.owners.get(flow.key)
        alive = owner and owner.alive and flow.key in owner.flows
        self.record("client %s:%d gets a reset of the system; %s",
                    flow.key[0], flow.key[1],
                    "open at the living target " + owner.id if alive
                    else "not open at a living target")
        for hook in self.reset_hooks:
            hook(flow, owner if alive else None, packet)

    def request_id(self):
        self.last_request += 1
        return "r%06d" % self.last_request

    async def one_request(self, host, route, size=0, deadline_s=1.2):
        """A flow with one request; returns its outcome."""
        flow = host.open(route)
        name = self.request_id()
        if not await flow.connect():
            result = "not opened" if flow.state == "closed" else "refused"
        else:
            result = await flow.request(name, size, deadline_s)
        self.outcomes[name] = result
        if result == "served":
            await flow.close()
        else:
            flow.abandon()
        return result

    async def wait_until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CouldNotRun("not within %d s: %s" % (limit_s, what))
            await asyncio.sleep(0.05)

    async def metric(self, machine, name):
        """A counter that the process exposes."""
        reader, writer = await asyncio.open_connection(machine.ip, 9464)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        found = re.search(r"^tarragonflow_%s_total (\d+)" % name, text, re.M)
        return int(found.group(1))

    async def wait_ready(self):
        await self.wait_until(
            lambda: all(m.in_rotation for m in self.edges), 15,
            "all edge machines ready")

    def finish(self):
        for m in self.edges + self.sides:
            if m.running:
                m.process.send_signal(signal.SIGCONT)
                m.process.kill()
                m.process.wait()
        counts = {}
        for result in self.outcomes.values():
            counts[result] = counts.get(result, 0) + 1
        self.record("requests by outcome: %s", json.dumps(counts))
        self.record("broken rules: %s", " ".join(sorted(set(self.breaks)))
                    or "none")
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.tmp, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.tmp)


def run(folder, rule, play):
    """Plays a case; the exit code is that of its run.sh."""
    world = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def limited():
        await asyncio.wait_for(play(world), TIME_LIMIT_S)

    try:
        world = World(folder)
        asyncio.run(limited())
        code = BROKEN if rule in world.breaks else HELD
    except (Exception, SystemExit) as error:  # noqa: BLE001
        print("could not run: %s" % (error or type(error).__name__))
        if world:
            world.record("could not run: %s", error or type(error).__name__)
        code = COULD_NOT_RUN
    finally:
        if world:
            world.finish()
    print({BROKEN: rule + " broken", HELD: "held",
           COULD_NOT_RUN: "could not run"}[code], flush=True)
    # Connections of the stand-ins may still be open.
    os._exit(code)
