"""Stand-in for a target: answers flows over UDP, its health check over TCP,
and sends heartbeats, as PROTOCOL.md describes."""

import asyncio
import json
import random
import time

from wire import ACK, BOUNCED, FIN, RST, SYN, Packet, decode, DATA_MAX

RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6
RETRANSMISSIONS = 8
IN_FLIGHT = 16
# A last odd packet is acknowledged after this time.
LATE_ACK_S = 0.04


class Flow:
    def __init__(self, key, syn):
        self.key = key              # (src, sport, dst, dport) of the client
        self.open = False
        self.seq = random.getrandbits(32)   # next to send
        self.syn_seq = self.seq
        self.una = self.seq         # first not acknowledged
        self.rcv = (syn.seq + 1) & 0xFFFFFFFF
        self.inbox = {}
        self.buffer = b""
        self.unsent = b""
        self.sent = []              # (seq, data, flags)
        self.timer = None
        self.tries = 0
        self.running = 0
        self.fin_in = self.fin_out = False
        self.want_fin = False
        self.to_ack = 0
        self.ack_timer = None


class Target:
    def __init__(self, world, machine, service, name, work_ms=30, slots=5,
                 beat_ms=770, first_beat_s=0.0, first_sequence=1, cold_ms=0,
                 max_conns=2000):
        self.world, self.machine, self.service = world, machine, service
        self.id, self.work_s, self.slots = name, work_ms / 1000, slots
        self.beat_s, self.first_beat_s = beat_ms / 1000, first_beat_s
        self.sequence = first_sequence - 1
        self.cold_until = time.monotonic() + cold_ms / 1000
        self.cold_factor = 1.6      # how much slower it is while it is cold
        self.max_conns = max_conns
        self.state = "ready"
        self.flows, self.ended = {}, {}
        self.runs = []
        self.busy = asyncio.Semaphore(slots)
        self.alive = False
        self.acked = {}             # state: time of its acknowledgement
        self.opened = []            # times at which opening packets came
        self.tasks = []

    def record(self, text, *args):
        self.world.record("target %s " + text, self.id, *args)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.born = int(time.time() * 1000)
        self.alive = True
        target = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr):
                target.received(data)

        self.udp, _ = await loop.create_datagram_endpoint(
            Protocol, local_addr=(self.machine.ip, self.world.port["app"]))
        self.tcp = await asyncio.start_server(
            self.health, self.machine.ip, self.world.port["app"])
        self.record("starts: service %s at %s", self.service, self.machine.ip)
        self.tasks.append(asyncio.create_task(self.beats()))

    def crash(self):
        """Ends at once and sends nothing more."""
        self.record("crashes")
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        self.udp.close()
        self.tcp.close()

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            code = 200 if self.state == "ready" else 503
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n"
                         b"Connection: close\r\n\r\n" % code)
            await writer.drain()
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    async def beats(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            asyncio.create_task(self.beat())
            await asyncio.sleep(self.beat_s)

    async def call(self, what, body):
        ip, port = self.machine.ip, self.world.port["control"]
        data = json.dumps(body).encode()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port), 1)
            writer.write(b"POST /-/targets/%s/%s HTTP/1.1\r\nHost: x\r\n"
                         b"Content-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n"
                         % (self.id.encode(), what.encode(), len(data)) + data)
            line = await asyncio.wait_for(reader.readline(), 1)
            return line.split()[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            if writer:
                writer.close()

    async def beat(self):
        self.sequence += 1
        state, sequence = self.state, self.sequence
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        ok = await self.call("heartbeat", {
            "service": self.service,
            "address": "%s:%d" % (self.machine.ip, self.world.port["app"]),
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_left_ms": cold, "sequence": sequence,
            "born": self.born})
        if ok and state not in self.acked:
            self.acked[state] = time.monotonic()
        if not self.world.quiet_beats or not ok or sequence < 3:
            self.record("heartbeat %d %s: %s", sequence, state,
                        "acknowledged" if ok else "no acknowledgement")

    def send(self, flow, flags, seq, data=b""):
        src, sport, dst, dport = flow.key
        packet = Packet(dst, dport, src, sport, flags, seq, flow.rcv, data)
        self.out(packet.encode())

    def out(self, raw):
        if self.alive:
            self.udp.sendto(raw, (self.machine.ip,
                                  self.world.port["outbound"]))

    def bounce(self, raw):
        head = bytearray(raw)
        head[16] |= BOUNCED
        self.out(bytes(head))

    def received(self, raw):
        packet = decode(raw)
        if not packet or not self.alive:
            return
        if not packet.genuine or packet.flags & BOUNCED:
            self.world.broken("UNASKED", "target %s got a packet that its "
                              "sender didn't write so: %s", self.id, packet)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.world.reached(self, key, packet)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.syn(key, flow, packet, raw)
        elif key in self.ended:
            self.after_end(packet, key)
        elif not flow:
            self.bounce(raw)
        elif not flow.open and not self.opens(flow, packet):
            self.bounce(raw)
        else:
            self.segment(flow, packet)

    def syn(self, key, flow, packet, raw):
        if flow and flow.open:
            return
        if not flow:
            if len(self.flows) >= self.max_conns:
                self.bounce(raw)
                return
            flow = self.flows[key] = Flow(key, packet)
            self.opened.append(time.monotonic())
            self.world.took_syn(self, key, packet)
        self.send(flow, SYN | ACK, flow.syn_seq)

    def opens(self, flow, packet):
        if not packet.flags & ACK or \
                packet.ack != (flow.syn_seq + 1) & 0xFFFFFFFF:
            return False
        flow.open = True
        flow.seq = flow.una = (flow.syn_seq + 1) & 0xFFFFFFFF
        self.world.flow_opened(self, flow.key)
        return True

    def after_end(self, packet, key):
        flow = self.ended[key]
        if packet.flags & FIN:
            self.send(flow, ACK, flow.seq)
        elif packet.data:
            self.send(flow, RST, flow.seq)

    def segment(self, flow, packet):
        if packet.flags & RST:
            self.close(flow)
            return
        if packet.flags & ACK:
            self.acknowledged(flow, packet.ack)
        if packet.data or packet.flags & FIN:
            in_order = packet.seq == flow.rcv
            flow.inbox[packet.seq] = packet
            while flow.rcv in flow.inbox:
                p = flow.inbox.pop(flow.rcv)
                flow.buffer += p.data
                flow.rcv = (flow.rcv + len(p.data)) & 0xFFFFFFFF
                if p.flags & FIN:
                    flow.rcv = (flow.rcv + 1) & 0xFFFFFFFF
                    flow.fin_in = True
            flow.to_ack += 1
            if flow.to_ack >= 2 or not in_order or packet.flags & FIN:
                self.send_ack(flow)
            elif not flow.ack_timer:
                flow.ack_timer = asyncio.get_running_loop().call_later(
                    LATE_ACK_S, self.send_ack, flow)
        self.requests(flow)
        if flow.fin_in and not flow.running:
            flow.want_fin = True
            self.pump(flow)

    def send_ack(self, flow):
        if flow.ack_timer:
            flow.ack_timer.cancel()
            flow.ack_timer = None
        if flow.to_ack and self.alive:
            flow.to_ack = 0
            self.send(flow, ACK, flow.seq)

    def acknowledged(self, flow, ack):
        kept = []
        for seq, data, flags in flow.sent:
            end = (seq + len(data) + bool(flags & FIN)) & 0xFFFFFFFF
            if ((ack - end) & 0xFFFFFFFF) >= 0x80000000:
                kept.append((seq, data, flags))
        if len(kept) != len(flow.sent):
            flow.tries = 0
            flow.sent = kept
            self.arm(flow)
        if flow.fin_out and flow.fin_in and not flow.sent:
            self.close(flow)
        else:
            self.pump(flow)

    def requests(self, flow):
        while b"\r\n\r\n" in flow.buffer:
            head, rest = flow.buffer.split(b"\r\n\r\n", 1)
            headers = {k.strip().lower(): v.strip() for k, v in
                       (x.split(":", 1)
                        for x in head.decode().split("\r\n")[1:])}
            size = int(headers.get("content-length", 0))
            if len(rest) < size:
                return
            flow.buffer = rest[size:]
            flow.running += 1
            self.tasks.append(asyncio.create_task(
                self.run(flow, headers["x-tarragonflow-request-id"])))

    async def run(self, flow, request):
        async with self.busy:
            self.runs.append(request)
            self.world.ran(self, flow.key, request)
            cold = time.monotonic() < self.cold_until
            await asyncio.sleep(self.work_s *
                                (self.cold_factor if cold else 1))
            if not self.alive:
                return
        body = ("ran %s at %s" % (request, self.id)).encode()
        close = self.state == "draining" or flow.fin_in
        flow.unsent += (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
                        b"X-Tarragonflow-Instance-Id: %s\r\n"
                        b"X-Tarragonflow-Response-Signature: %s\r\n\r\n"
                        % (len(body), self.id.encode(), request.encode())
                        + body)
        flow.running -= 1
        flow.want_fin |= close and not flow.running
        self.pump(flow)

    def pump(self, flow):
        while flow.unsent and len(flow.sent) < IN_FLIGHT:
            data, flow.unsent = flow.unsent[:DATA_MAX], flow.unsent[DATA_MAX:]
            self.transmit(flow, data, ACK)
        if flow.want_fin and not flow.fin_out and not flow.unsent:
            flow.fin_out = True
            self.transmit(flow, b"", ACK | FIN)

    def transmit(self, flow, data, flags):
        flow.sent.append((flow.seq, data, flags))
        self.send(flow, flags, flow.seq, data)
        flow.seq = (flow.seq + len(data) + bool(flags & FIN)) & 0xFFFFFFFF
        if not flow.timer:
            self.arm(flow)

    def arm(self, flow):
        if flow.timer:
            flow.timer.cancel()
            flow.timer = None
        if flow.sent and self.alive:
            wait = min(RETRANSMIT_S * 2 ** flow.tries, RETRANSMIT_MAX_S)
            flow.timer = asyncio.get_running_loop().call_later(
                wait, self.again, flow)

    def again(self, flow):
        flow.timer = None
        if not flow.sent or not self.alive:
            return
        flow.tries += 1
        if flow.tries > RETRANSMISSIONS:
            self.close(flow)
            return
        for seq, data, flags in flow.sent:
            self.send(flow, flags, seq, data)
        self.arm(flow)

    def close(self, flow):
        if flow.timer:
            flow.timer.cancel()
            flow.timer = None
        self.send_ack(flow)
        if self.flows.pop(flow.key, None):
            self.ended[flow.key] = flow
            self.world.flow_ended(self, flow.key)
