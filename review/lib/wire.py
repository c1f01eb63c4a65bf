"""Packets as PROTOCOL.md describes them: a head of 31 bytes and data."""

import ipaddress
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 128, 16, 1, 64, 2
HEAD = struct.Struct("<IHHIIBHIII")
DATA_MAX = 1200
# The key of `sum`; only the two ends of a flow know it.
KEY = b"review-stand-ins"
SEQ_MASK = 0xFFFFFFFF


def ip_to_int(text):
    return int(ipaddress.IPv4Address(text))


def ip_to_text(number):
    return str(ipaddress.IPv4Address(number))


class Packet:
    """One packet; `src` and `dst` are addresses as text."""

    __slots__ = ("src", "sport", "dst", "dport", "flags", "seq", "ack",
                 "echo", "sum", "data")

    def __init__(self, src, sport, dst, dport, flags, seq, ack=0, data=b"",
                 echo=0, sum_=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq & SEQ_MASK, ack & SEQ_MASK
        self.data, self.echo = data, echo
        self.sum = self.keyed_sum() if sum_ is None else sum_

    def keyed_sum(self):
        fields = struct.pack("<IHHIBHII", ip_to_int(self.src), self.dport,
                             self.sport, ip_to_int(self.dst),
                             self.flags & ~BOUNCED, len(self.data), self.seq,
                             self.ack)
        return zlib.crc32(KEY + fields + self.data) or 1

    def encode(self):
        return HEAD.pack(ip_to_int(self.src), self.dport, self.sport,
                         ip_to_int(self.dst), self.sum, self.flags,
                         len(self.data), self.seq, self.ack,
                         self.echo) + self.data

    @property
    def genuine(self):
        """Whether the sender wrote the packet so."""
        return self.sum == self.keyed_sum()

    @property
    def system_reset(self):
        return bool(self.flags & RST) and self.sum == 0 and not self.data

    def __str__(self):
        names = [n for n, b in (("SYN", SYN), ("ACK", ACK), ("FIN", FIN),
                                ("RST", RST), ("BOUNCED", BOUNCED))
                 if self.flags & b]
        return "%s:%d>%s:%d %s seq=%d ack=%d len=%d" % (
            self.src, self.sport, self.dst, self.dport, "+".join(names) or "-",
            self.seq, self.ack, len(self.data))


def decode(raw):
    """The packet in @raw, or None."""
    if len(raw) < HEAD.size:
        return None
    src, dport, sport, dst, sum_, flags, size, seq, ack, echo = \
        HEAD.unpack_from(raw)
    if size != len(raw) - HEAD.size or size > DATA_MAX:
        return None
    return Packet(ip_to_text(src), sport, ip_to_text(dst), dport, flags, seq,
                  ack, raw[HEAD.size:], echo, sum_)
