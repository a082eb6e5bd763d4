"""Stand-ins of the platform for the soak and the short day: targets and clients that speak its packets, and HTTP calls.

Everything runs on one asyncio loop. Addresses are in 127.0.0.0/8.
"""
import asyncio
import ipaddress
import json
import random
import struct
import time

HEADER = struct.Struct(">IIIHIHHIBBI")
ACK, SYN, FIN, RST = 1, 2, 4, 64
COPY_DELAYS_SECONDS = (0.2, 0.4)
RETRANSMIT_SECONDS = 0.2


class Packet:
    """One packet; `checksum` covers all fields but the echoed one, as the platform's does."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data

    def _checksum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags, self.seq, self.ack, self.data)
        return hash(fields) & 0xFFFFFFFF

    def pack(self):
        header = HEADER.pack(self.seq, self.ack, self.echo, len(self.data), self.dst, self.sport, self.dport,
                             self.src, self.flags, 0, self._checksum())
        return header + self.data

    @staticmethod
    def parse(datagram):
        """Returns the packet and whether its checksum holds."""
        seq, ack, echo, length, dst, sport, dport, src, flags, _, checksum = HEADER.unpack_from(datagram)
        packet = Packet(src, sport, dst, dport, flags, seq, ack, echo, datagram[HEADER.size:])
        return packet, len(packet.data) == length and checksum == packet._checksum()


def number(address):
    return int(ipaddress.IPv4Address(address))


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data)


async def open_datagrams(address, port, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(handler), local_addr=(address, port))
    return transport


async def call_http(endpoint, method, path, body=None, timeout=1.0, redirects=2):
    """Returns (status, body); status 0 means no clear answer."""
    # wait_for() of Python 3.11 loses a cancellation that arrives together with the result, and the caller never ends.
    try:
        async with asyncio.timeout(timeout):
            return await _call_http(endpoint, method, path, body, redirects)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


async def _call_http(endpoint, method, path, body, redirects):
    host, port = endpoint.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b"" if body is None else body
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nContent-Type: application/json\r\n"
                     f"Connection: close\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split(" ", 2)[1])
        headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        answer = await reader.readexactly(int(headers.get("content-length", 0)))
    finally:
        writer.close()
    if status == 307 and redirects > 0:
        target = headers["location"].removeprefix("http://")
        place, _, rest = target.partition("/")
        return await _call_http(place, method, "/" + rest, body, redirects - 1)
    return status, answer


class Target:
    """A backend server: heartbeats, flows, and a record of what it ran."""

    def __init__(self, ident, service, address, port, zone, client_port, control, journal):
        self.ident, self.service, self.address, self.port, self.zone = ident, service, address, port, zone
        self.client_port, self.control, self.journal = client_port, control, journal
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.flows = {}
        self.drain_acknowledged = None
        self.alive = False
        self.sends_heartbeats = True
        self.transport = None
        self.server = None
        self.beat = None

    async def start(self):
        self.alive = True
        self.transport = await open_datagrams(self.address, self.port, self._receive)
        self.server = await asyncio.start_server(lambda reader, writer: writer.close(), self.address, self.port)
        self.beat = asyncio.create_task(self._send_heartbeats())

    def crash(self):
        """Ends without a word."""
        self.alive = False
        self.beat.cancel()
        self.transport.close()
        self.server.close()

    async def _report(self):
        self.seq += 1
        body = {"Service": self.service, "Addr": f"{self.address}:{self.port}", "Zone": self.zone, "Version": "v1",
                "Slots": 2, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq, "born": self.born}
        content = json.dumps(body).encode()
        for endpoint in random.sample(self.control, len(self.control)):
            status, _ = await call_http(endpoint, "PUT", f"/v1/targets/{self.ident}", content)
            if 200 <= status < 300:
                return True
        return False

    async def _send_heartbeats(self):
        while self.sends_heartbeats:
            await self._report()
            await asyncio.sleep(0.6)

    async def end_heartbeats(self):
        """Returns when the last heartbeat has been answered."""
        self.sends_heartbeats = False
        await self.beat

    async def drain(self):
        """Returns when a control host has acknowledged the drain."""
        self.state = "draining"
        while not await self._report():
            await asyncio.sleep(0.1)
        self.drain_acknowledged = time.monotonic()

    async def leave(self):
        for endpoint in random.sample(self.control, len(self.control)):
            status, _ = await call_http(endpoint, "DELETE", f"/v1/targets/{self.ident}")
            if status == 200:
                break
        self.crash()

    def _receive(self, datagram):
        meant = int.from_bytes(datagram[:8], "big")
        packet, intact = Packet.parse(datagram[8:])
        if not intact:
            self.journal.fault("a packet was changed on its way", self.ident)
        if meant != int(self.ident.removeprefix("i-"), 16):
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & RST:
            return
        if packet.flags & SYN:
            self._accept(key, packet)
        elif key not in self.flows:
            self._send(packet, RST, 0, 0)
        elif packet.data:
            self._serve(key, packet)

    def _accept(self, key, packet):
        late = self.drain_acknowledged and time.monotonic() - self.drain_acknowledged > 3.0
        if late and key not in self.flows:
            self.journal.fault("a new flow 3 s after an acknowledged drain", self.ident)
        if self.journal.is_evacuated(self.zone) and key not in self.flows:
            self.journal.fault("a new flow 3 s after an acknowledged evacuation", f"{self.ident} at {self.zone}")
        if self.service not in self.journal.allowed_services(packet.dport):
            self.journal.fault("a flow at a service that its route never named", self.ident)
        flow = self.flows.setdefault(key, {"seq": random.getrandbits(31), "ran": set()})
        self._send(packet, SYN | ACK, flow["seq"], packet.seq + 1)

    def _serve(self, key, packet):
        flow = self.flows[key]
        request = packet.data.decode()
        if packet.seq not in flow["ran"]:
            flow["ran"].add(packet.seq)
            self.journal.ran(request, self.ident)
        self._send(packet, ACK, flow["seq"] + 1, packet.seq + len(packet.data), b"done " + packet.data)

    def _send(self, cause, flags, seq, ack, data=b""):
        answer = Packet(cause.dst, cause.dport, cause.src, cause.sport, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
                        cause.echo, data)
        self.transport.sendto(answer.pack(), (str(ipaddress.IPv4Address(cause.src)), self.client_port))


class Client:
    """Opens flows and sends requests on them; each packet goes to an entry host that the fabric would choose."""

    def __init__(self, address, packet_port, fabric):
        self.address, self.packet_port, self.fabric = address, packet_port, fabric
        self.waiting = {}
        self.next_port = 1024
        self.transport = None

    async def start(self):
        self.transport = await open_datagrams(self.address, self.packet_port, self._receive)

    def _receive(self, datagram):
        packet, _ = Packet.parse(datagram)
        future, expected = self.waiting.get(packet.dport, (None, None))
        # An answer to an earlier packet may come again, or late.
        is_awaited = packet.flags & RST or expected is None or packet.ack == expected
        if future and not future.done() and is_awaited:
            future.set_result(packet)

    def _send(self, packet):
        entry = self.fabric()
        if entry:
            self.transport.sendto(packet.pack(), (entry, self.packet_port))

    async def _exchange(self, packet, port, delays):
        """Sends a packet and its copies; returns the answer or None."""
        for copy, delay in enumerate(delays):
            future = asyncio.get_running_loop().create_future()
            self.waiting[port] = (future, (packet.seq + max(1, len(packet.data))) & 0xFFFFFFFF)
            if packet.flags == SYN:
                packet.ack = copy
            self._send(packet)
            try:
                async with asyncio.timeout(delay):
                    return await future
            except asyncio.TimeoutError:
                continue
        return None

    async def open(self, address, port):
        """Returns a flow, or the reason why none opened."""
        own = self.next_port
        self.next_port = 1024 + (self.next_port - 1023) % 60000
        first = Packet(number(self.address), own, number(address), port, SYN, seq=random.getrandbits(30))
        answer = await self._exchange(first, own, (*COPY_DELAYS_SECONDS, 0.8))
        if answer is None:
            return "silent"
        if answer.flags & RST:
            return "reset"
        return Flow(self, first, answer)


class Flow:
    """An open flow."""

    def __init__(self, client, first, answer):
        self.client, self.address, self.port, self.own = client, first.dst, first.dport, first.sport
        self.seq, self.ack, self.echo = first.seq + 1, answer.seq + 1, answer.echo

    async def ask(self, request):
        """Returns "served", "reset" or "silent"."""
        packet = Packet(number(self.client.address), self.own, self.address, self.port, ACK, self.seq, self.ack,
                        self.echo, request.encode())
        answer = await self.client._exchange(packet, self.own, (RETRANSMIT_SECONDS,) * 8)
        if answer is None:
            return "silent"
        if answer.flags & RST:
            return "reset"
        self.seq += len(packet.data)
        self.ack = answer.seq + len(answer.data)
        return "served" if answer.data == b"done " + packet.data else "mixed"
