"""Stand-in for clients: flows with requests, retransmission and judgement of
what comes back, as PROTOCOL.md describes."""

import asyncio
import random

from wire import ACK, DATA_MAX, FIN, RST, SYN, Packet, decode

SYN_COPIES_S = (0.2, 0.4, 0.8)
RESET_WINDOW = 76800
IN_FLIGHT = 16
# A last odd packet is acknowledged after this time.
LATE_ACK_S = 0.04


class ClientHost:
    """One client address; its flows differ by port."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows = {}
        self.next_port = random.randint(20000, 30000)

    async def start(self):
        host = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr):
                host.received(data)

        self.udp, _ = await asyncio.get_running_loop(). \
            create_datagram_endpoint(Protocol, local_addr=(
                self.ip, self.world.port["datagram"]))

    def received(self, raw):
        packet = decode(raw)
        if not packet:
            return
        flow = self.flows.get(packet.dport)
        if packet.system_reset:
            if flow:
                flow.system_reset(packet)
            return
        if not packet.genuine:
            self.world.broken("MIXED", "client got a packet that its sender "
                              "didn't write so: %s", packet)
            return
        if flow and (packet.src, packet.sport) == flow.route:
            flow.received(packet)

    def open(self, route):
        self.next_port += 1
        flow = ClientFlow(self, self.next_port, route)
        self.flows[self.next_port] = flow
        return flow


class ClientFlow:
    def __init__(self, host, port, route):
        self.host, self.world, self.port, self.route = \
            host, host.world, port, route
        self.key = (host.ip, port) + route
        self.seq = random.getrandbits(32)
        self.syn_seq, self.rcv = self.seq, 0
        self.inbox, self.buffer = {}, b""
        self.sent, self.timer, self.tries = [], None, 0
        self.unsent, self.to_ack, self.ack_timer = [], 0, None
        self.state = "new"          # new, opening, open, reset, closed
        self.opened = asyncio.Event()
        self.answer = asyncio.Event()
        self.fin_in = self.fin_out = False
        self.syns = 0
        self.first_syn_at = None

    def send(self, flags, seq, data=b"", ack=None):
        packet = Packet(self.host.ip, self.port, self.route[0], self.route[1],
                        flags, seq, self.rcv if ack is None else ack, data)
        self.world.route_packet(self.host.zone, packet)

    async def connect(self):
        """Whether the flow opened."""
        self.state = "opening"
        self.first_syn_at = self.world.now()
        for copy, wait in enumerate(SYN_COPIES_S):
            self.syns += 1
            self.send(SYN, self.syn_seq, ack=copy)
            try:
                await asyncio.wait_for(self.opened.wait(), wait)
                break
            except asyncio.TimeoutError:
                pass
        if self.state == "opening":
            self.state = "closed"
        return self.state == "open"

    def system_reset(self, packet):
        self.world.client_reset(self, packet)
        if self.state == "open" and \
                (packet.seq - self.rcv + RESET_WINDOW) & 0xFFFFFFFF > \
                2 * RESET_WINDOW:
            return
        if self.state in ("opening", "open"):
            self.end("reset")

    def end(self, state):
        self.state = state
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.ack_timer:
            self.ack_timer.cancel()
            self.ack_timer = None
        self.opened.set()
        self.answer.set()

    def received(self, packet):
        if packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.rcv = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = (self.syn_seq + 1) & 0xFFFFFFFF
                self.server_seq = packet.seq
                self.send(ACK, self.seq)
                self.opened.set()
            elif self.state == "open" and packet.seq == self.server_seq:
                self.send(ACK, self.seq)
            return
        if self.state != "open":
            return
        if packet.flags & RST:
            self.end("reset")
            return
        self.acknowledged(packet.ack)
        if not packet.data and not packet.flags & FIN:
            return
        in_order = packet.seq == self.rcv
        self.inbox[packet.seq] = packet
        while self.rcv in self.inbox:
            p = self.inbox.pop(self.rcv)
            self.buffer += p.data
            self.rcv = (self.rcv + len(p.data)) & 0xFFFFFFFF
            if p.flags & FIN:
                self.rcv = (self.rcv + 1) & 0xFFFFFFFF
                self.fin_in = True
        self.to_ack += 1
        if self.to_ack >= 2 or not in_order or packet.flags & FIN:
            self.send_ack()
        elif not self.ack_timer:
            self.ack_timer = asyncio.get_running_loop().call_later(
                LATE_ACK_S, self.send_ack)
        self.answer.set()

    def send_ack(self):
        if self.ack_timer:
            self.ack_timer.cancel()
            self.ack_timer = None
        if self.to_ack and self.state == "open":
            self.to_ack = 0
            self.send(ACK, self.seq)

    def acknowledged(self, ack):
        kept = [x for x in self.sent
                if (ack - x[0] - len(x[1]) - bool(x[2] & FIN)) & 0xFFFFFFFF
                >= 0x80000000]
        if len(kept) != len(self.sent):
            self.sent, self.tries = kept, 0
            self.arm()
        while self.unsent and len(self.sent) < IN_FLIGHT:
            self.transmit(*self.unsent.pop(0))

    def transmit(self, data, flags=ACK):
        if len(self.sent) >= IN_FLIGHT:
            self.unsent.append((data, flags))
            return
        self.sent.append((self.seq, data, flags))
        self.send(flags, self.seq, data)
        self.seq = (self.seq + len(data) + bool(flags & FIN)) & 0xFFFFFFFF
        if not self.timer:
            self.arm()

    def arm(self):
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.sent and self.state == "open":
            self.timer = asyncio.get_running_loop().call_later(
                min(0.2 * 2 ** self.tries, 1.6), self.again)

    def again(self):
        self.timer = None
        if self.sent and self.state == "open":
            self.tries += 1
            for seq, data, flags in self.sent:
                self.send(flags, seq, data)
            self.arm()

    def parse_answer(self):
        if b"\r\n\r\n" not in self.buffer:
            return None
        head, rest = self.buffer.split(b"\r\n\r\n", 1)
        headers = {k.strip().lower(): v.strip() for k, v in
                   (x.split(":", 1) for x in head.decode().split("\r\n")[1:])}
        size = int(headers["content-length"])
        if len(rest) < size:
            return None
        self.buffer = rest[size:]
        return headers, rest[:size]

    async def request(self, request_id, size=0, deadline_s=3.0):
        """Sends one request; returns "served", "reset" or "deadline"."""
        data = (b"POST / HTTP/1.1\r\nHost: x\r\n"
                b"X-Tarragonflow-Request-Id: %s\r\nContent-Length: %d\r\n\r\n"
                % (request_id.encode(), size)) + b"x" * size
        self.world.sent_requests[request_id] = self
        while data:
            self.transmit(data[:DATA_MAX])
            data = data[DATA_MAX:]
        end = self.world.now() + deadline_s
        while True:
            answer = self.parse_answer()
            if answer:
                headers, body = answer
                if headers.get("x-tarragonflow-response-signature") != \
                        request_id or not body.startswith(
                            b"ran " + request_id.encode() + b" "):
                    self.world.broken("MIXED", "request %s got a foreign "
                                      "answer %s", request_id, body)
                return "served"
            if self.state != "open":
                return "reset" if self.state == "reset" else "closed"
            left = end - self.world.now()
            if left <= 0:
                return "deadline"
            self.answer.clear()
            try:
                await asyncio.wait_for(self.answer.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def close(self):
        if self.state == "open" and not self.fin_out:
            self.fin_out = True
            self.transmit(b"", ACK | FIN)
            for _ in range(20):
                if self.fin_in and not self.sent or self.state != "open":
                    break
                await asyncio.sleep(0.05)
        self.end("closed")

    def abandon(self):
        self.end("closed")
