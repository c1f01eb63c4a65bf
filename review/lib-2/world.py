"""A small deployment on loopback for the cases of the second review: the
project's own processes, started with the commands of the deploy file, between
stand-ins for the platform's store and routers, targets and clients.

Every machine has a loopback address of its own; the ports are the same on all
machines, as on the users' machines."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEAD = struct.Struct("<IHHIIBHIII")  # src dport sport dst sum flags len seq ack echo
FIN, BOUNCED, ACK, RST, SYN = 1, 2, 16, 64, 128
COVERED = 0xFF & ~BOUNCED
MSS = 1200
PORT = {"datagram": 8172, "ready": 8167, "control": 8166, "outbound": 8171,
        "app": 8360, "store": 8169, "internal": (7720, 7735)}
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000,
          "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 3000,
          "revert_slack_ms": 250, "outer_ms": 12000, "cold_multiplier": 1.5,
          "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12,
          "reorder_ms": 2000, "flow_lifetime_s": 60}
BEAT_MS = 770
RETRIES_S = (0.05, 0.1, 0.2, 0.3)     # pauses before a heartbeat's next call


class CouldNotRun(Exception):
    pass


def ip_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


# --- the settings template ------------------------------------------------

def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, (list, tuple)) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (list, tuple)):
        return ",".join(plain(v) for v in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, scopes):
    out = []
    while True:
        found = re.search(r"\{\{([#^]?)([^{}/]+)\}\}", text)
        if not found:
            return "".join(out) + text
        out.append(text[:found.start()])
        text = text[found.end():]
        kind, name = found.group(1), found.group(2)
        if not kind:
            out.append("" if name == "," else plain(lookup(scopes, name)))
            continue
        inner, text = text.split("{{/%s}}" % name, 1)
        value = lookup(scopes, name)
        if kind == "^":
            if value is None or value is False:
                out.append(render(inner, scopes))
        elif isinstance(value, (list, tuple)):
            for i, item in enumerate(value):
                last = i == len(value) - 1
                out.append(render(inner.replace("{{,}}", "" if last else ","),
                                  scopes + [item]))
        elif value is not None and value is not False:
            out.append(render(inner, scopes + [value]))


def deploy_role(name):
    with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as f:
        section = f.read().split("[roles.%s]" % name)[1].split("\n[")[0]
    fields = dict(re.findall(r'^(\w+) = "(.*)"$', section, re.M))
    return fields["run"].split(), fields["template"]


# --- packets ----------------------------------------------------------------

class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"",
                 echo=0, sum_=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq, ack
        self.data, self.echo, self.sum = data, echo, sum_

    @classmethod
    def parse(cls, raw):
        if len(raw) < HEAD.size:
            return None
        src, dport, sport, dst, sum_, flags, n, seq, ack, echo = \
            HEAD.unpack_from(raw)
        if n != len(raw) - HEAD.size:
            return None
        return cls(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:],
                   echo, sum_)

    def digest(self, key):
        covered = struct.pack("<IHIHBII", self.src, self.sport, self.dst,
                              self.dport, self.flags & COVERED, self.seq,
                              self.ack) + self.data
        value = key
        for byte in covered:
            value = ((value ^ byte) * 0x01000193) & 0xFFFFFFFF
        return value or 1

    def raw(self, key=None):
        sum_ = self.sum if key is None else self.digest(key)
        return HEAD.pack(self.src, self.dport, self.sport, self.dst, sum_,
                         self.flags, len(self.data), self.seq, self.ack,
                         self.echo) + self.data


def after(packet):
    n = len(packet.data) + (1 if packet.flags & (SYN | FIN) else 0)
    return (packet.seq + n) & 0xFFFFFFFF


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, raw, peer):
        self.handle(raw, peer)

    def error_received(self, error):
        pass


# --- the platform's store ---------------------------------------------------

class Store:
    """The part of the metadata store that the processes use."""

    def __init__(self, world):
        self.world = world
        self.rev = 100
        self.kinds = {}
        self.log = []           # (rev, kind, object, deleted)
        self.changed = asyncio.Condition()
        self.down = False       # True: calls get no response

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.world.store_ip, PORT["store"])

    def write(self, kind, name, spec):
        """A write of the operator; @return the time of its acknowledgement."""
        objects = self.kinds.setdefault(kind, {})
        self.rev += 1
        objects[name] = {"meta": {"name": name, "rev": self.rev,
                                  "created": self.rev, "finalizers": [],
                                  "deleting": False},
                         "spec": spec, "status": None}
        self.log.append((self.rev, kind, objects[name], False))
        self.world.spawn(self.notify())
        return self.world.now()

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone:
            self.rev += 1
            self.log.append((self.rev, kind, gone, True))
            self.world.spawn(self.notify())
        return self.world.now()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                length = 0
                while True:
                    header = await reader.readline()
                    if header in (b"\r\n", b"\n", b""):
                        break
                    key, _, value = header.decode().partition(":")
                    if key.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                if self.down:
                    await asyncio.sleep(3600)
                code, answer = await self.call(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (code, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.strip("/").split("/")      # - objects KIND [NAME]
        if len(parts) < 3 or parts[:2] != ["-", "objects"]:
            return 404, {}
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in args:
            return await self.watch(kind, int(args["watch"]),
                                    int(args.get("wait_ms", 0)) / 1000)
        if method == "GET":
            names = sorted(n for n in objects if n > args.get("after", ""))
            return 200, {"items": [objects[n] for n in names[:500]],
                         "has_more": len(names) > 500,
                         "current_rev": self.rev}
        given = json.loads(body) if body else {}
        meta = given.get("meta", {})
        name = name or meta.get("name")
        old = objects.get(name)
        if method == "POST" and old:
            return 409, old
        if method in ("PUT", "DELETE") and not old:
            return 404, {}
        rev = meta.get("rev", args.get("rev"))
        if method != "POST" and rev is not None and int(rev) != \
                old["meta"]["rev"]:
            return 409, old
        if method == "DELETE":
            self.remove(kind, name)
            return 200, old
        self.write(kind, name, given.get("spec"))
        return (201 if method == "POST" else 200), objects[name]

    async def watch(self, kind, rev, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [{"object": o, "deleted": gone}
                      for r, k, o, gone in self.log if r > rev and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# --- the project's processes --------------------------------------------------

class Machine:
    def __init__(self, world, name, zone, role, ip, app_service=None):
        self.world, self.name, self.zone, self.role = world, name, zone, role
        self.ip, self.service = ip, app_service
        self.ready, self.misses = False, 0
        self.process = None
        self.ends = []          # (time, return code) of ends by itself
        self.expected_end = False

    def fields(self):
        side = self.role == "agent"
        listen = {"datagram_addr": "%s:%d" % (self.ip, PORT["datagram"]),
                  "ready": "%s:%d" % (self.ip, PORT["ready"]),
                  "control": "%s:%d" % (self.ip, PORT["control"])}
        fields = {"node": self.name, "role": self.role, "ip": self.ip,
                  "machine_class": "side" if side else "edge",
                  "zone": self.zone, "region": "reg",
                  "internal_ports": list(PORT["internal"]),
                  "seeds": ["%s:%d" % (m.ip, PORT["control"])
                            for m in self.world.edges[:3]],
                  "heartbeat_ms": BEAT_MS, "listen": listen,
                  "limits": {"cpu_share": 0.25, "memory_mb": 260,
                             "link_mbps": 1000.0}, "bounds": BOUNDS,
                  "platform": {"address": "%s:%d" % (self.world.store_ip,
                                                     PORT["store"])}}
        if side:
            listen["outbound"] = "%s:%d" % (self.ip, PORT["outbound"])
            fields["service"] = self.service
            fields["app"] = "%s:%d" % (self.ip, PORT["app"])
        return fields

    def start(self):
        run, template = deploy_role(self.role)
        with open(os.path.join(REPOSITORY, template)) as f:
            text = render(f.read(), [self.fields()])
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as f:
            f.write(text)
        run = [path if w == "/etc/tarragonflow/local.toml" else w for w in run]
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.expected_end = False
        self.process = subprocess.Popen(
            run, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                             "TARRAGONFLOW_CONFIG": path})
        log.close()
        self.world.record("%s starts", self.name)

    def signal(self, number):
        self.world.record("%s gets %s", self.name,
                          signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.expected_end = True
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


# --- targets --------------------------------------------------------------------

class Target:
    """A backend server: answers each request after its work, refuses what it
    can't queue, and returns packets of flows that it doesn't hold."""

    def __init__(self, world, machine, service, slots=5, work_ms=30):
        self.world, self.machine, self.service = world, machine, service
        self.slots, self.work_s = slots, work_ms / 1000
        self.id = "i-%08x" % random.getrandbits(32)
        self.flows = {}         # (src, sport, dst, dport) -> state
        self.tasks, self.sequence, self.state = [], 0, "ready"
        self.running, self.queue = 0, []
        self.acks = 0
        self.alive = False
        self.cold_until = 0.0

    async def start(self):
        loop = asyncio.get_running_loop()
        ip = self.machine.ip
        self.born = int(time.time() * 1000)
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.packet), local_addr=(ip, PORT["app"]))
        self.tcp = await asyncio.start_server(self.health, ip, PORT["app"])
        self.alive = True
        self.world.targets.append(self)
        self.world.record("target %s of %s starts on %s", self.id,
                          self.service, self.machine.name)
        self.tasks.append(asyncio.ensure_future(self.beats()))

    async def health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         b"Connection: close\r\n\r\n")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        writer.close()

    def body(self, **changes):
        body = {"service": self.service,
                "address": "%s:%d" % (self.machine.ip, PORT["app"]),
                "zone": self.machine.zone, "version": "v1",
                "slots": self.slots, "state": self.state,
                "cold_left_ms": max(0, int((self.cold_until -
                                            self.world.now()) * 1000)),
                "sequence": self.sequence, "born": self.born}
        body.update(changes)
        return body

    async def beats(self):
        while self.alive:
            self.world.spawn(self.beat())
            await asyncio.sleep(BEAT_MS / 1000)

    async def beat(self):
        """One heartbeat; without an acknowledgement it is called again soon,
        at the only node that there is."""
        for wait_s in RETRIES_S:
            if not self.alive:
                return
            if await self.call("heartbeat") == 200:
                self.acks += 1
                return
            await asyncio.sleep(wait_s)

    async def call(self, what):
        self.sequence += 1
        code = await http_call(
            self.machine.ip, PORT["control"],
            "/-/targets/%s/%s" % (self.id, what), json.dumps(self.body()),
            source=self.machine.ip)
        self.world.record("%s %d of %s, %s: %s", what, self.sequence, self.id,
                          self.state, code or "no response")
        return code

    def crash(self):
        """Ends at once and sends nothing."""
        if not self.alive:
            return
        self.alive = False
        self.world.record("target %s of %s ends on %s", self.id, self.service,
                          self.machine.name)
        for task in self.tasks:
            task.cancel()
        self.udp.close()
        self.tcp.close()

    def send(self, packet):
        self.udp.sendto(packet.raw(self.world.key),
                        (self.machine.ip, PORT["outbound"]))

    def packet(self, raw, _peer):
        p = Packet.parse(raw)
        if not p or not self.alive:
            return
        if p.flags & RST and not p.sum:
            pass
        elif p.sum != p.digest(self.world.key):
            self.world.broken("UNASKED", "target %s gets a packet that its "
                              "sender didn't write so" % self.id)
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        self.world.arrived(self, key, p)
        if p.flags & SYN:
            if flow and flow["client_seq"] == (p.seq + 1) & 0xFFFFFFFF:
                self.syn_ack(key, flow)
            elif len(self.queue) < 20:
                flow = self.flows[key] = {
                    "seq": random.getrandbits(32), "open": False,
                    "client_seq": (p.seq + 1) & 0xFFFFFFFF, "got": b"",
                    "closed": False, "received": 0}
                flow["next"] = (flow["seq"] + 1) & 0xFFFFFFFF
                self.syn_ack(key, flow)
            else:
                self.bounce(p)
            return
        if not flow or (not flow["open"] and p.ack != flow["next"]):
            self.bounce(p)
            return
        if p.flags & RST:
            del self.flows[key]
            return
        flow["open"] = True
        repeated = p.data and p.seq != flow["client_seq"]
        if p.data and not repeated:
            flow["client_seq"] = after(p)
            flow["got"] += p.data
            flow["received"] += 1
        if p.flags & FIN and p.seq == flow["client_seq"]:
            flow["client_seq"] = after(p)
            flow["closed"] = True
        # Every second packet is acknowledged; a response acknowledges, too.
        if repeated or p.flags & FIN or flow["received"] == 2:
            flow["received"] = 0
            self.reply(key, flow, ACK)
        unsent = flow.get("unacked")
        if unsent and ((p.ack - unsent[0]) & 0xFFFFFFFF) < 1 << 31 and \
                p.ack != unsent[0]:
            flow["unacked"] = None
        self.requests(key, flow)

    def syn_ack(self, key, flow):
        src, sport, dst, dport = key
        self.send(Packet(dst, dport, src, sport, SYN | ACK, flow["seq"],
                         flow["client_seq"]))

    def reply(self, key, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = key
        self.send(Packet(dst, dport, src, sport, flags,
                         flow["next"] if seq is None else seq,
                         flow["client_seq"], data))

    def bounce(self, p):
        p.flags |= BOUNCED
        self.udp.sendto(p.raw(), (self.machine.ip, PORT["outbound"]))

    def requests(self, key, flow):
        while b"\r\n\r\n" in flow["got"]:
            head, _, rest = flow["got"].partition(b"\r\n\r\n")
            length = int(re.search(rb"Content-Length: (\d+)", head)[1])
            if len(rest) < length:
                return
            flow["got"] = rest[length:]
            self.queue.append((key, flow, head, rest[:length]))
            self.run_next()

    def run_next(self):
        while self.queue and self.running < self.slots:
            job = self.queue.pop(0)
            self.running += 1
            self.world.spawn(self.run(*job))

    async def run(self, key, flow, head, body):
        request = re.search(rb"X-Tarragonflow-Request-Id: (\S+)",
                            head)[1].decode()
        self.world.ran(self, key, request, body)
        await asyncio.sleep(self.work_s)
        self.running -= 1
        answer = ("answer to %s by %s" % (request, self.id)).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" \
            b"X-Tarragonflow-Response-Signature: %s\r\n\r\n" \
            % (len(answer), self.id.encode()) + answer
        seq = flow["next"]
        flow["next"] = (seq + len(data)) & 0xFFFFFFFF
        flow["unacked"] = (seq,)
        self.run_next()
        wait = 0.2
        for _ in range(9):
            if not self.alive or self.flows.get(key) is not flow:
                return
            self.reply(key, flow, ACK, data, seq)
            await asyncio.sleep(wait)
            wait = min(wait * 2, 1.6)
            if not flow.get("unacked"):
                return


async def http_call(ip, port, path, body, method="POST", wait_s=1.0,
                    source=None):
    """@return the status of the response, 0 without one in time. @source is
    the address of the caller."""
    writer = None
    try:
        async def call():
            nonlocal writer
            reader, writer = await asyncio.open_connection(
                ip, port, local_addr=(source, 0) if source else None)
            writer.write(("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
                          "application/json\r\nContent-Length: %d\r\n"
                          "Connection: close\r\n\r\n%s"
                          % (method, path, ip, port, len(body), body))
                         .encode())
            line = await reader.readline()
            await reader.read()
            return int(line.split()[1]) if line else 0
        return await asyncio.wait_for(call(), wait_s)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0
    finally:
        if writer:
            writer.close()


# --- clients ----------------------------------------------------------------------

class Host:
    """A client machine; its packets go to a balancer that its zone's router
    selects."""

    def __init__(self, world, zone, ip):
        self.world, self.zone, self.ip = world, zone, ip
        self.flows, self.next_port = {}, random.randint(20000, 30000)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.packet),
            local_addr=(self.ip, PORT["datagram"]))

    def packet(self, raw, _peer):
        p = Packet.parse(raw)
        if not p:
            self.world.broken("MIXED", "client %s gets bytes that are no "
                              "packet" % self.ip)
            return
        flow = self.flows.get(p.dport)
        own_reset = p.flags == RST and not p.sum and not p.data
        if not own_reset and p.sum != p.digest(self.world.key):
            self.world.broken("MIXED", "client %s gets a packet that its "
                              "sender didn't write so" % self.ip)
            return
        if flow and flow.key[2:] == (p.src, p.sport):
            flow.packet(p, own_reset)

    def open(self, where):
        self.next_port += 1
        flow = Flow(self, self.next_port, where)
        self.flows[flow.port] = flow
        return flow


class Flow:
    def __init__(self, host, port, where):
        self.host, self.world, self.port = host, host.world, port
        self.key = (ip_int(host.ip), port, ip_int(where[0]), where[1])
        self.seq = self.isn = random.getrandbits(32)
        self.ack = self.received = 0
        self.opened = asyncio.Event()
        self.reset = self.reset_by_system = False
        self.got, self.unacked = b"", None
        self.news = asyncio.Event()

    def send(self, flags, data=b"", seq=None, ack=None):
        src, sport, dst, dport = self.key
        p = Packet(src, sport, dst, dport, flags,
                   self.seq if seq is None else seq,
                   self.ack if ack is None else ack, data)
        edge = self.world.route(self.host, self.key)
        if edge:
            self.host.udp.sendto(p.raw(self.world.key),
                                 (edge.ip, PORT["datagram"]))

    def packet(self, p, own_reset):
        if p.flags & RST:
            self.reset, self.reset_by_system = True, own_reset
            self.world.client_reset(self, own_reset)
        elif p.flags & SYN:
            if not self.opened.is_set():
                self.ack, self.seq = after(p), (self.isn + 1) & 0xFFFFFFFF
                self.opened.set()
                self.send(ACK)
        else:
            repeated = p.data and p.seq != self.ack
            if p.data and not repeated:
                self.ack = after(p)
                self.got += p.data
                self.received += 1
            if repeated or self.received == 2:  # every second packet
                self.received = 0
                self.send(ACK)
            if self.unacked is not None and p.ack == self.unacked:
                self.unacked = None
        self.news.set()

    async def wait_news(self, wait_s):
        self.news.clear()
        try:
            await asyncio.wait_for(self.news.wait(), wait_s)
        except asyncio.TimeoutError:
            pass

    async def connect(self):
        """@return whether the flow has opened."""
        begin = self.world.now()
        for copy, wait_until in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, seq=self.isn, ack=copy)
            while not self.opened.is_set() and not self.reset:
                left = begin + wait_until - self.world.now()
                if left <= 0:
                    break
                await self.wait_news(left)
            if self.opened.is_set() or self.reset:
                break
        return self.opened.is_set() and not self.reset

    async def request(self, request, size, deadline_s):
        """@return "served", "reset" or "deadline"."""
        end = self.world.now() + deadline_s
        body = request.encode().ljust(size, b".")[:max(size, len(request))]
        data = b"POST /x HTTP/1.1\r\nHost: x\r\nX-Tarragonflow-Request-Id: " \
            b"%s\r\nContent-Length: %d\r\n\r\n" \
            % (request.encode(), len(body)) + body
        self.world.sent(self, request, body)
        for i in range(0, len(data), MSS):
            part = data[i:i + MSS]
            seq, self.seq = self.seq, (self.seq + len(part)) & 0xFFFFFFFF
            self.unacked, wait = self.seq, 0.2
            while self.unacked is not None:
                if self.reset or self.world.now() >= end:
                    return self.result(request, "reset" if self.reset
                                       else "deadline")
                self.send(ACK, part, seq)
                again = self.world.now() + wait
                while self.unacked is not None and not self.reset and \
                        self.world.now() < min(again, end):
                    await self.wait_news(min(again, end) - self.world.now())
                wait = min(wait * 2, 1.6)
        while not self.reset and self.world.now() < end:
            head, found, rest = self.got.partition(b"\r\n\r\n")
            if found:
                n = int(re.search(rb"Content-Length: (\d+)", head)[1])
                if len(rest) >= n:
                    self.got = rest[n:]
                    if not rest[:n].startswith(
                            b"answer to %s by " % request.encode()):
                        self.world.broken("MIXED", "request %s gets the "
                                          "answer %r" % (request, rest[:n]))
                    return self.result(request, "served")
            await self.wait_news(end - self.world.now())
        return self.result(request, "reset" if self.reset else "deadline")

    def result(self, request, result):
        self.world.record("request %s on flow %s:%d: %s", request,
                          self.host.ip, self.port, result)
        return result

    def close(self):
        self.send(ACK | FIN)
        self.seq = (self.seq + 1) & 0xFFFFFFFF


# --- the whole -------------------------------------------------------------------

class World:
    """Create one, then build() and start() it."""

    def __init__(self, record_path, seed=None):
        self.began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        random.seed(seed)
        self.key = random.getrandbits(32)
        self.out = open(record_path, "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.machines, self.edges, self.sides = [], [], []
        self.targets, self.hosts = [], {}
        self.breaks = []
        self.runs = {}          # request -> [target]
        self.requests = {}      # request -> (flow, body)
        self.reach_hooks = []
        self.watchers, self.tasks = [], set()
        self.net = self.free_net()
        self.store_ip = self.ip(9, 1)
        self.store = Store(self)

    @staticmethod
    def free_net():
        for _ in range(50):
            net = random.SystemRandom().randint(10, 250)
            try:
                with socket.socket() as s:
                    s.bind(("127.%d.9.1" % net, PORT["store"]))
                return net
            except OSError:
                pass
        raise CouldNotRun("no free loopback addresses")

    def ip(self, a, b):
        return "127.%d.%d.%d" % (self.net, a, b)

    def now(self):
        return time.monotonic() - self.began

    def spawn(self, work):
        """Starts @work and keeps a reference to it until it has ended."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def record(self, text, *args):
        self.out.write("%8.3f  %s\n" % (self.now(), text % args))
        self.out.flush()

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.record("BROKEN %s: %s", rule, text)

    def route(self, host, key):
        """The balancer that the platform's router selects: by a hash over the
        zone's machines that are in rotation."""
        zone = [m for m in self.edges if m.zone == host.zone]
        ready = [m for m in zone if m.ready]
        if not ready and any(m.ready for m in self.edges):
            ready = [m for m in self.edges if m.ready]
        pool = ready if ready else zone
        return max(pool, key=lambda m: hash((key, m.name))) if pool else None

    async def probe(self, machine):
        while True:
            code = await http_call(machine.ip, PORT["ready"], "/-/ready", "",
                                   "GET", 0.5)
            if code == 200:
                machine.misses, machine.ready = 0, True
            else:
                machine.misses += 1
                if machine.misses >= 2:
                    machine.ready = False
            await asyncio.sleep(0.5)

    async def keep_running(self, machine):
        """The platform starts a process again that has ended."""
        while True:
            await asyncio.sleep(0.05)
            code = machine.process.poll()
            if code is None or machine.expected_end:
                continue
            machine.ends.append((self.now(), code))
            self.record("%s ENDS BY ITSELF, return code %d (%s)", machine.name,
                        code, signal.Signals(-code).name if code < 0
                        else "exit")
            await asyncio.sleep(0.5)
            machine.start()

    def add_edge(self, name, zone):
        m = Machine(self, name, zone, "balancer",
                    self.ip(1, len(self.edges) + 1))
        self.edges.append(m)
        self.machines.append(m)
        return m

    def add_side(self, name, zone, service):
        m = Machine(self, name, zone, "agent",
                    self.ip(2, len(self.sides) + 1), service)
        self.sides.append(m)
        self.machines.append(m)
        return m

    async def add_host(self, zone):
        host = Host(self, zone, self.ip(100, len(self.hosts) + 1))
        await host.start()
        self.hosts[zone] = host
        return host

    async def start(self):
        await self.store.start()
        for machine in self.machines:
            machine.start()
            self.watchers.append(asyncio.ensure_future(
                self.keep_running(machine)))
        for edge in self.edges:
            self.watchers.append(asyncio.ensure_future(self.probe(edge)))

    # what is seen

    def sent(self, flow, request, body):
        self.requests[request] = (flow, body)
        self.record("request %s sent on flow %s:%d to %s:%d", request,
                    flow.host.ip, flow.port, ip_text(flow.key[2]), flow.key[3])

    def arrived(self, target, key, packet):
        for hook in self.reach_hooks:
            hook(target, key, packet)

    def ran(self, target, key, request, body):
        self.record("request %s runs at %s of %s on %s", request, target.id,
                    target.service, target.machine.name)
        runs = self.runs.setdefault(request, [])
        runs.append(target)
        if request not in self.requests:
            self.broken("UNASKED", "request %s, which no client sent, runs"
                        % request)
        elif self.requests[request][1] != body:
            self.broken("UNASKED", "request %s runs with another body"
                        % request)
        if len(runs) > 1:
            self.broken("ONCE", "request %s runs %d times" % (request,
                                                              len(runs)))

    def client_reset(self, flow, own_reset):
        self.record("flow %s:%d is reset by %s", flow.host.ip, flow.port,
                    "the system" if own_reset else "its target")

    def close(self):
        for task in self.watchers:
            task.cancel()
        for target in self.targets:
            target.crash()
        for machine in self.machines:
            machine.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, idle_timeout_ms=12000, cold_per_s=0.0):
    """A configuration; @routes are (name, host, port, service, type)."""
    return {"version": version,
            "routes": [{"name": n, "host": host, "path_prefix": "/%d/" % port,
                        "type": kind, "timeout_ms": 3000, "objective_ms": 200,
                        "priority": 1, "service": service, "max_attempts": 2}
                       for n, host, port, service, kind in routes],
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 2000, "protocol": "h1", "tls": False,
                          "cold_s": 2.0, "cold_per_s": cold_per_s}
                         for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": idle_timeout_ms}}


def run(play):
    """Plays one case; exits with 1 if a rule was broken, 0 if all held, 2 if
    the case couldn't run."""
    folder = os.environ["RECORD_DIR"]
    world = None
    # A stopped play ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def whole():
        nonlocal world
        world = World(os.path.join(folder, "record.txt"))
        world.record("trouble: %s", "yes" if world.trouble else "no")
        try:
            await asyncio.wait_for(play(world), 110)
        finally:
            world.close()

    code = 2
    try:
        asyncio.run(whole())
        code = 1 if world.breaks else 0
    except CouldNotRun as e:
        world and world.record("could not run: %s", e)
    except asyncio.TimeoutError:
        world and world.record("could not run: out of time")
    except (Exception, KeyboardInterrupt) as e:     # not a broken rule
        world and world.record("could not run: %r", e)
    if world:
        world.record("%s", {0: "held", 1: "BROKEN", 2: "could not run"}[code])
    print({0: "held", 1: "broken", 2: "could not run"}[code],
          *["\n  %s: %s" % b for b in (world.breaks[:5] if world else ())],
          sep="")
    raise SystemExit(code)
