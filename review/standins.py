"""Stand-ins for the platform, its clients and its servers, for the scripts of this review.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. The programs under test run as separate processes, started
with the commands of deploy/system.toml; everything else runs in this process, on addresses in 127.0.0.0/8.
"""
import asyncio
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
SYN, FIN, RST, ACK = 1, 16, 32, 64
HEADER = struct.Struct(">B5sIIIIHHIHI")
SUM_KEY = b"ends of flows only"
SEGMENT_BYTES, WINDOW_PACKETS, RESET_WINDOW = 1200, 16, 76_800
MODULUS = 1 << 32

# Bounds of the small deployment (sites/flessenpost-gent.toml and its sheet in SYSTEM.md).
BEAT_MS, STABLE_S, APPLY_S, DRAIN_S, REUSE_S, IDLE_MS = 1200, 4.0, 3.0, 3.0, 2.0, 15_000


class CannotRun(Exception):
    """The case cannot run on this machine; this says nothing about the rule."""


def number_of(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def address_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def packet_sum(flags, seq, ack, length, dport, src, sport, dst, data):
    """The keyed sum of both ends of a flow. Never 0, which marks a reset of the system."""
    digest = hashlib.blake2b(struct.pack(">BIIHHIHI", flags, seq, ack, length, dport, src, sport, dst) + data,
                             key=SUM_KEY, digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


def encode(flags, echo, seq, ack, data, dport, src, sport, dst):
    seq, ack = seq % MODULUS, ack % MODULUS
    total = packet_sum(flags, seq, ack, len(data), dport, src, sport, dst, data)
    return HEADER.pack(flags, b"", echo, seq, ack, total, len(data), dport, src, sport, dst) + data


class Packet:
    def __init__(self, datagram):
        (self.flags, _, self.echo, self.seq, self.ack, self.sum, length, self.dport, self.src, self.sport,
         self.dst) = HEADER.unpack(datagram[:36])
        self.data = datagram[36:36 + length]
        self.is_genuine = self.sum == packet_sum(self.flags, self.seq, self.ack, length, self.dport, self.src,
                                                 self.sport, self.dst, self.data)


def distance(left, right):
    """Signed distance of two sequence numbers modulo 2^32."""
    return (left - right + (MODULUS >> 1)) % MODULUS - (MODULUS >> 1)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler, self.transport = handler, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.handler(data)

    def send(self, data, address):
        if not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self):
        self.transport.close()

    @staticmethod
    async def open(ip, port, handler):
        _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Udp(handler), local_addr=(ip, port))
        return protocol


class Stream:
    """One end of an open flow: in-order delivery, retransmission after 200 ms with doubling up to 1.6 s, an
    acknowledgement for every second packet, for every repeated one, and after 40 ms for a single one."""

    def __init__(self, transmit, next_out, next_in):
        self.transmit, self.next_out, self.next_in = transmit, next_out % MODULUS, next_in % MODULUS
        self.queue, self.unacked, self.early = [], [], {}
        self.pending_acks, self.pending_since, self.retransmissions, self.timeout = 0, 0.0, 0, 0.2
        self.finished_out = self.finished_in = False

    def write(self, data, finish=False):
        for start in range(0, len(data), SEGMENT_BYTES):
            self.queue.append((ACK, data[start:start + SEGMENT_BYTES]))
        if finish:
            self.queue.append((ACK | FIN, b""))
        self.flush()

    def flush(self):
        while self.queue and len(self.unacked) < WINDOW_PACKETS:
            flags, data = self.queue.pop(0)
            entry = [self.next_out, flags, data, time.monotonic()]
            self.next_out = (self.next_out + len(data) + (1 if flags & FIN else 0)) % MODULUS
            self.unacked.append(entry)
            self.finished_out = self.finished_out or bool(flags & FIN)
            self.send_entry(entry)

    def send_entry(self, entry):
        entry[3] = time.monotonic()
        self.pending_acks = 0
        self.transmit(entry[1], entry[0], self.next_in, entry[2])

    def acknowledge(self):
        self.pending_acks = 0
        self.transmit(ACK, self.next_out, self.next_in, b"")

    def tick(self, now):
        """Returns False when the peer has not acknowledged for 8 retransmissions."""
        if self.pending_acks and now - self.pending_since >= 0.04:
            self.acknowledge()
        if self.unacked and now - self.unacked[0][3] >= self.timeout:
            self.retransmissions += 1
            self.timeout = min(self.timeout * 2, 1.6)
            self.send_entry(self.unacked[0])
        return self.retransmissions <= 8

    def receive(self, packet):
        """Returns the bytes that are now in order."""
        if packet.flags & ACK:
            before = len(self.unacked)
            self.unacked = [entry for entry in self.unacked
                            if distance(entry[0] + len(entry[2]) + (1 if entry[1] & FIN else 0), packet.ack) > 0]
            if len(self.unacked) < before:
                self.retransmissions, self.timeout = 0, 0.2
                self.flush()
        length = len(packet.data) + (1 if packet.flags & FIN else 0)
        if not length:
            return b""
        if distance(packet.seq, self.next_in) < 0:
            self.acknowledge()
            return b""
        self.early[packet.seq] = (packet.data, bool(packet.flags & FIN))
        received = b""
        while self.next_in in self.early:
            data, finished = self.early.pop(self.next_in)
            received += data
            self.next_in = (self.next_in + len(data) + (1 if finished else 0)) % MODULUS
            self.finished_in = self.finished_in or finished
        self.pending_acks += 1
        self.pending_since = time.monotonic()
        if self.pending_acks >= 2 or self.early or self.finished_in:
            self.acknowledge()
        return received


def split_message(buffer):
    """Returns head, body and the rest, or None while the HTTP message is incomplete."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = buffer[:end].decode()
    length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length")), 0)
    if len(buffer) < end + 4 + length:
        return None
    return head, buffer[end + 4:end + 4 + length], buffer[end + 4 + length:]


def header_of(head, name):
    return next((line.split(":", 1)[1].strip() for line in head.split("\r\n") if line.lower().startswith(name.lower() + ":")), "")


class Daemon:
    """One process of the system, with settings as DEPLOY.md shows them."""

    def __init__(self, world, role, zone, ip):
        self.world, self.role, self.zone, self.ip = world, role, zone, ip
        self.name = f"{role}-{zone}-{ip.split('.')[-1]}"
        self.folder = world.folder / self.name
        (self.folder / "data").mkdir(parents=True)
        self.process, self.in_rotation, self.misses = None, False, 2
        self.bootstrap, self.disturbed_at, self.further_settings = True, time.monotonic(), ""

    def write_settings(self):
        world, is_core = self.world, self.role == "control"
        listen = (f'Control = "{self.ip}:{world.control_port}"' if is_core else
                  f'DataAddr = "{self.ip}:{world.data_port}"\nReady = "{self.ip}:{world.ready_port}"')
        zones = "".join(f'{zone} = "be-east"\n' for zone in world.zones)
        (self.folder / "node.toml").write_text(
            f'Node = "{self.name}"\nRole = "{self.role}"\nMachineClass = "{"core" if is_core else "front"}"\n'
            f'Serves = ["{"control" if is_core else "front"}"]\nIp = "{self.ip}"\nZone = "{self.zone}"\n'
            f'Region = "be-east"\nPeerPortRange = [{world.peer_port},{world.peer_port + 15}]\n'
            f'Seeds = {json.dumps([f"{host.ip}:{world.control_port}" for host in world.seeds])}\n'
            f'Bootstrap = {json.dumps(self.bootstrap)}\nInFaultBudget = {json.dumps(is_core)}\n'
            f'Discovery = "registry"\nEntry = "announce"\nHeartbeatMs = {BEAT_MS}\n'
            'Contracts = ["base","drain","config","cost","recover","flows"]\nconfig_mode = "highest"\n'
            'Hash = "mod"\nForwardingMode = "echo"\n' + self.further_settings
            + (f'DataDir = "{self.folder / "data"}"\n' if is_core else "")
            + f'[Zones]\n{zones}[Listen]\n{listen}\n'
            f'[Limits]\nCpuShare = {0.15 if is_core else 0.38}\nCores = 1\nMemoryMb = {256 if is_core else 390}\n'
            f'MaxFds = {4096 if is_core else 6150}\nLinkMbps = 1500.0\nDiskMb = {128 if is_core else 0}\n'
            '[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n'
            '[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 4000\nAckMs = 5000\nCatchUpS = 4\n'
            'DrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\n'
            'MaxSkewMs = 12000\nRecoverS = 12\nFlowStrayMs = 2000\nFlowTtlS = 60\n', encoding="utf-8")

    def start(self):
        self.write_settings()
        command, variables = self.world.commands[self.role]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= variables | {"BILBERRYYARD_BOOT": str(self.folder / "node.toml")}
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=REPOSITORY,
                                            env=environment)
        self.bootstrap = False
        self.disturbed_at = time.monotonic()
        self.world.log(f"start {self.name} pid={self.process.pid}")

    def signal(self, number):
        self.world.log(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)
        self.disturbed_at = time.monotonic()

    async def ended(self, timeout_s=8.0):
        end = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def log_text(self):
        return (self.folder / "log").read_text(errors="replace")


class Server:
    """A backend server in the form `echo`. Each start is a new incarnation."""

    def __init__(self, world, service, zone, ip, identifier=None, work_s=None, slots=2):
        self.world, self.service, self.zone, self.ip = world, service, zone, ip
        self.id = identifier or "i-%08x" % random.getrandbits(32)
        self.work_s, self.slots = work_s or {"GET": 0.03, "POST": 0.05}, asyncio.Semaphore(slots)
        self.state, self.seq, self.born = "ready", 0, 0
        self.flows, self.runs, self.opened_flows = {}, [], []
        self.controls, self.acknowledged = list(world.controls), []
        self.alive, self.tasks, self.udp, self.tcp = False, [], None, None
        self.leaving_acknowledged_at = None
        # Daemons to which the path delays this server's calls by more than a second.
        self.delayed = set()

    @property
    def tag(self):
        return int("".join(character for character in self.id if character in "0123456789abcdef"), 16)

    async def start(self, beats=True):
        self.born, self.alive = int(time.time() * 1000), True
        self.udp = await Udp.open(self.ip, self.world.server_port, self.receive)
        self.tcp = await asyncio.start_server(self.answer_health, self.ip, self.world.server_port)
        self.world.servers.append(self)
        self.world.log(f"server {self.id} of {self.service} starts at {self.ip}")
        self.tasks = [asyncio.create_task(self.retransmit())]
        if beats:
            self.tasks.append(asyncio.create_task(self.announce_forever()))

    async def answer_health(self, reader, writer):
        await reader.readline()
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
        writer.close()

    def body(self, **changes):
        return {"Service": self.service, "Addr": f"{self.ip}:{self.world.server_port}", "Zone": self.zone,
                "Version": "v1", "Slots": 2, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq,
                "born": self.born} | changes

    async def announce(self):
        """Sends one heartbeat; after a failure to the next daemon, as PROTOCOL.md says."""
        for _ in range(len(self.controls)):
            self.seq += 1
            state, target = self.state, self.controls[0]
            if target in self.delayed:
                await asyncio.sleep(1.0)
                status = 0
            else:
                status, _ = await self.world.call(target.ip, "POST", f"/Instances.Heartbeat/{self.id}", self.body())
            if 200 <= status < 300:
                self.acknowledged.append((time.monotonic(), target.name, state))
                if state == "draining" and self.leaving_acknowledged_at is None:
                    self.leaving_acknowledged_at = time.monotonic()
                    self.world.log(f"server {self.id} draining acknowledged by {target.name}")
                return True
            self.world.log(f"server {self.id} got {status} from {target.name}; calls the next daemon")
            self.controls.append(self.controls.pop(0))
        return False

    async def announce_forever(self):
        while self.alive:
            await self.announce()
            await asyncio.sleep(BEAT_MS / 1000)

    async def drain_and_leave(self, extra_s=0.5):
        """A planned shutdown: draining, DrainMs and a little longer, leave, exit."""
        self.state = "draining"
        while self.leaving_acknowledged_at is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(DRAIN_S + extra_s)
        await self.leave()

    async def leave(self):
        for target in self.controls:
            status, _ = await self.world.call(target.ip, "POST", f"/Instances.Leave/{self.id}", self.body())
            if 200 <= status < 300:
                self.world.log(f"server {self.id} leave acknowledged by {target.name}")
                break
        self.stop("left")

    def stop(self, how):
        self.world.log(f"server {self.id} at {self.ip} {how}")
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.udp.close()
        self.tcp.close()

    async def retransmit(self):
        while True:
            await asyncio.sleep(0.02)
            for key, flow in list(self.flows.items()):
                if not flow["stream"].tick(time.monotonic()):
                    del self.flows[key]

    def receive(self, datagram):
        if not self.alive or len(datagram) < 44:
            return
        tag, packet = int.from_bytes(datagram[:8], "big"), Packet(datagram[8:])
        if tag not in (0, self.tag):
            return
        if not packet.is_genuine:
            self.world.break_rule(f"UNASKED: {self.id} got a packet that its sender did not write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["client_seq"] != packet.seq:
                flow = self.open_flow(key, packet)
            flow["echo"] = packet.echo
            if not flow["open"]:
                self.reply(key, packet.echo, SYN | ACK, flow["seq"], packet.seq + 1, b"")
            return
        if flow is None:
            if packet.flags & FIN:
                self.reply(key, packet.echo, ACK, packet.ack, packet.seq + 1, b"")
            elif not packet.flags & RST:
                self.reply(key, packet.echo, RST | ACK, packet.ack, packet.seq, b"")
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            if packet.ack != (flow["seq"] + 1) % MODULUS:
                return self.reply(key, packet.echo, RST | ACK, packet.ack, packet.seq, b"")
            flow["open"] = True
            self.opened_flows.append((time.monotonic(), key))
        flow["buffer"] += flow["stream"].receive(packet)
        while message := split_message(flow["buffer"]):
            head, body, flow["buffer"] = message
            task = asyncio.create_task(self.work(key, flow, head, body))
            self.tasks.append(task)
        if flow["stream"].finished_in and not flow["stream"].finished_out:
            flow["stream"].write(b"", finish=True)
        if flow["stream"].finished_in and flow["stream"].finished_out and not flow["stream"].unacked:
            self.flows.pop(key, None)

    def open_flow(self, key, packet):
        seq = random.getrandbits(32)

        def transmit(flags, seq, ack, data):
            self.reply(key, self.flows[key]["echo"] if key in self.flows else 0, flags, seq, ack, data)

        self.flows[key] = {"client_seq": packet.seq, "seq": seq, "open": False, "echo": packet.echo, "buffer": b"",
                           "stream": Stream(transmit, seq + 1, packet.seq + 1)}
        self.world.server_got_opening(self, key)
        return self.flows[key]

    def reply(self, key, echo, flags, seq, ack, data):
        src, sport, dst, dport = key
        self.udp.send(encode(flags, echo, seq, ack, data, sport, dst, dport, src),
                      (address_of(src), self.world.data_port))

    def work_time(self, head):
        return self.work_s[head.split(" ", 1)[0]]

    async def work(self, key, flow, head, body):
        request = header_of(head, "X-Request-Id")
        async with self.slots:
            self.runs.append(request)
            self.world.runs.setdefault(request, []).append(self)
            self.world.log(f"run request={request} server={self.id} service={self.service}")
            await asyncio.sleep(self.work_time(head))
        # Sizes of the kinds of request at the site: a status update has 4,000 bytes, the answer to an order 600.
        answer = f"answer to {request} of {self.service} ".encode().ljust(4000 if head.startswith("GET") else 600, b".")
        closing = self.state == "draining"
        flow["stream"].write(
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.id}\r\nX-Instance-Id: {self.id}\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer, finish=closing)


class Flow:
    """A client's end of one flow."""

    def __init__(self, client, service_port, port):
        self.client, self.world, self.service_port, self.port = client, client.world, service_port, port
        self.seq, self.echo, self.stream, self.buffer = random.getrandbits(32), 0, None, b""
        self.ended, self.event, self.opened_at, self.last_sent_at = None, asyncio.Event(), None, None

    def transmit(self, flags, seq, ack, data):
        self.last_ack, self.last_sent_at = ack % MODULUS, time.monotonic()
        self.world.route(self.client, self.port, self.service_port, encode(
            flags, 0 if flags & SYN else self.echo, seq, ack, data, self.service_port, number_of(self.client.ip),
            self.port, number_of(self.world.virtual_ip)))

    async def open(self):
        """Returns whether a server has accepted the flow."""
        started_at = time.monotonic()
        self.client.flows[self.port] = self
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            if self.stream or self.ended:
                break
            self.transmit(SYN, self.seq, copy, b"")
            try:
                await asyncio.wait_for(self.event.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if not self.stream and not self.ended:
            self.ended = "no answer to the handshake"
        if self.stream:
            self.stream.acknowledge()
        if self.ended:
            self.world.failed_openings.append((started_at, self.ended))
        return self.stream is not None and not self.ended

    def receive(self, packet):
        if not packet.is_genuine:
            if packet.flags & RST and packet.sum == 0 and not packet.data:
                is_near = abs(distance(packet.seq, getattr(self, "last_ack", 0))) <= RESET_WINDOW
                if self.stream is None or is_near:
                    self.end("reset by the system")
            else:
                self.world.break_rule("MIXED: a client got a packet that its sender did not write so")
            return
        if packet.flags & RST:
            return self.end("reset by a server")
        if packet.flags & SYN:
            if self.stream is None:
                self.echo, self.stream = packet.echo, Stream(self.transmit, self.seq + 1, packet.seq + 1)
                self.opened_at = time.monotonic()
                self.event.set()
            elif distance(packet.seq + 1, self.stream.next_in) == 0:
                self.echo = packet.echo
            return
        if self.stream is None:
            return
        self.echo = packet.echo
        self.buffer += self.stream.receive(packet)
        if self.stream.finished_in and not self.ended:
            self.ended = "closed by the server"
        self.event.set()

    def end(self, how):
        if not self.ended:
            self.ended = how
            self.world.flow_ended(self, how)
        self.event.set()

    async def request(self, method, path, body=b"", deadline_s=3.0):
        """Sends a request and returns its identifier, and the server's stamp or None."""
        identifier = self.world.next_request()
        self.stream.write(f"{method} {path} HTTP/1.1\r\nHost: {self.world.virtual_ip}\r\nX-Request-Id: {identifier}\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self.world.sent.append((time.monotonic(), identifier))
        self.world.log(f"sent request={identifier} port={self.service_port} flow={self.client.ip}:{self.port}")
        end = time.monotonic() + deadline_s
        while time.monotonic() < end:
            if message := split_message(self.buffer):
                head, content, self.buffer = message
                stamp = header_of(head, "X-Server-Stamp")
                if not content.startswith(f"answer to {identifier} of ".encode()):
                    self.world.break_rule(f"MIXED: request {identifier} got another request's answer")
                self.world.log(f"answered request={identifier} stamp={stamp}")
                self.world.answered.add(identifier)
                return identifier, stamp
            if self.ended:
                break
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), max(end - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                break
        self.world.log(f"unanswered request={identifier}: {self.ended or 'deadline'}")
        return identifier, None

    def finish(self):
        if self.stream and not self.ended:
            self.ended = "finished"
            self.stream.write(b"", finish=True)

    def server(self):
        """The live server that holds this flow open, or None."""
        key = (number_of(self.client.ip), self.port, number_of(self.world.virtual_ip), self.service_port)
        return next((server for server in self.world.servers if server.alive and key in server.flows
                     and server.flows[key]["open"]), None)


class Client:
    def __init__(self, world, zone, ip):
        self.world, self.zone, self.ip, self.flows, self.port = world, zone, ip, {}, 20_000

    async def start(self):
        self.udp = await Udp.open(self.ip, self.world.data_port, self.receive)
        self.task = asyncio.create_task(self.retransmit())

    async def retransmit(self):
        while True:
            await asyncio.sleep(0.02)
            for flow in list(self.flows.values()):
                if flow.stream and (flow.ended in (None, "finished")) and not flow.stream.tick(time.monotonic()):
                    flow.end("no acknowledgement")

    def receive(self, datagram):
        packet = Packet(datagram)
        flow = self.flows.get(packet.dport)
        if flow and packet.sport == flow.service_port:
            flow.receive(packet)

    def new_flow(self, service_port, port=None):
        if port is None:
            self.port += 1
            port = self.port
        return Flow(self, service_port, port)


class World:
    """A small deployment: 3 core machines, 4 front machines in 3 zones, servers, clients, routers and an operator."""

    def __init__(self, record_path):
        self.record_path = pathlib.Path(record_path)
        self.record = open(self.record_path, "w")
        self.started_at = time.monotonic()
        self.violations, self.runs, self.request_count = [], {}, 0
        self.controls, self.balancers, self.seeds, self.servers, self.clients, self.tasks = [], [], [], [], [], []
        self.zones = ["be-east-a", "be-east-b", "be-east-c"]
        self.ended_flows, self.sent, self.answered, self.failed_openings = [], [], set(), []
        self.stopping = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberryyard-review-"))
        try:
            with open(REPOSITORY / "deploy" / "system.toml", "rb") as file:
                roles = tomllib.load(file)["roles"]
            self.commands = {name: (role["run"].split(), role.get("env", {})) for name, role in roles.items()}
        except (OSError, KeyError, ValueError) as error:
            raise CannotRun(f"the deploy file cannot be read: {error}") from error
        for command, _ in self.commands.values():
            if not os.access(REPOSITORY / command[0], os.X_OK):
                raise CannotRun(f"{command[0]} is not built")
        self.choose_addresses()

    def choose_addresses(self):
        metrics_ports = {int(variables["BILBERRYYARD_METRICS_PORT"]) for _, variables in self.commands.values()
                         if "BILBERRYYARD_METRICS_PORT" in variables}
        for _ in range(50):
            self.net = f"127.{random.randint(20, 250)}"
            base = random.randint(15_000, 31_000)
            self.data_port, self.ready_port, self.control_port, self.server_port, self.peer_port = range(base, base + 5)
            self.virtual_ip = f"{self.net}.250.1"
            ports = set(range(base, base + 20)) | metrics_ports
            if all(self.is_free(f"{self.net}.0.1", port) for port in ports):
                return
        raise CannotRun("no free ports on the loopback addresses")

    @staticmethod
    def is_free(ip, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")

    def break_rule(self, text):
        self.violations.append(text)
        self.log("BROKEN " + text)
        print("BROKEN", text, flush=True)

    def next_request(self):
        self.request_count += 1
        return f"q{self.request_count}"

    async def start(self, configuration):
        """Starts all machines, stores the first configuration and waits until all front machines are ready."""
        self.controls = [Daemon(self, "control", zone, f"{self.net}.{index}.1") for index, zone in enumerate(self.zones)]
        self.balancers = [Daemon(self, "balancer", self.zones[index % 3], f"{self.net}.{index % 3}.{10 + index}")
                          for index in range(4)]
        self.seeds = list(self.controls)
        for daemon in self.controls + self.balancers:
            daemon.start()
        self.tasks.append(asyncio.create_task(self.probe()))
        await self.put(configuration, wait_s=10)

    async def wait_ready(self):
        for _ in range(100):
            if all(daemon.in_rotation for daemon in self.balancers):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the front machines did not become ready within 10 s")

    async def probe(self):
        """The platform's readiness probe: twice a second, out of rotation after two misses."""
        async def probe_one(daemon):
            status, _ = await self.call(daemon.ip, "GET", "/readiness", None, port=self.ready_port, timeout_s=0.45)
            daemon.misses = 0 if status == 200 else daemon.misses + 1
            daemon.in_rotation = daemon.misses < 2
        while True:
            await asyncio.gather(*[probe_one(daemon) for daemon in self.balancers], asyncio.sleep(0.5))

    def route(self, client, port, service_port, datagram):
        """The platform's routers: hash `mod` over the daemons in rotation in the client's zone."""
        local = [daemon for daemon in self.balancers if daemon.zone == client.zone]
        ready = [daemon for daemon in local if daemon.in_rotation]
        if ready and 2 * len(ready) < len(local):
            ready = local
        if not ready:
            ready = [daemon for daemon in self.balancers if daemon.in_rotation] or self.balancers
        key = f"{client.ip} {port} {self.virtual_ip} {service_port}".encode()
        target = ready[int.from_bytes(hashlib.blake2b(key, digest_size=4).digest(), "big") % len(ready)]
        client.udp.send(datagram, (target.ip, self.data_port))

    async def call(self, ip, method, path, body, port=None, timeout_s=1.0):
        """An HTTP call. Returns the status, 0 on failure, and the body of the response."""
        content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(ip, port or self.control_port)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n".encode() + content)
                response = await reader.read(-1)
        except (OSError, TimeoutError):
            return 0, b""
        finally:
            if writer:
                writer.close()
        if not response.startswith(b"HTTP/1.1 "):
            return 0, b""
        head, _, answer = response.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        if status == 307:
            target = header_of(head.decode(), "Location").split("//")[1].split(":")[0]
            if target != ip:
                return await self.call(target, method, path, body, port, timeout_s)
            return 503, b""
        return status, answer

    async def put(self, configuration, wait_s=8.0):
        """Sends a configuration until it is acknowledged, to another daemon after each failure."""
        end, index = time.monotonic() + wait_s, 0
        while time.monotonic() < end:
            status, _ = await self.call(self.controls[index % len(self.controls)].ip, "POST", "/Config.Put", configuration)
            if status == 200:
                self.log(f"configuration {configuration['Version']} acknowledged")
                return time.monotonic()
            index += 1
            await asyncio.sleep(0.2)
        raise CannotRun(f"configuration {configuration['Version']} was not acknowledged")

    def configuration(self, routes, services, version):
        """routes: service port -> (service, kind)."""
        return {"Version": version, "Routes": [
            {"Name": f"r-{port}", "Hostname": self.virtual_ip, "PathPrefix": f"/{port}/", "Kind": kind,
             "TimeoutMs": 2500, "TargetLatencyMs": 250, "Priority": 1, "Service": service, "MaxAttempts": 2}
            for port, (service, kind) in routes.items()],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False}
                         for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": IDLE_MS}}

    async def add_client(self, zone, number):
        client = Client(self, zone, f"{self.net}.{200 + self.zones.index(zone)}.{number}")
        await client.start()
        self.clients.append(client)
        return client

    def server_got_opening(self, server, key):
        self.log(f"opening server={server.id} service={server.service} flow={address_of(key[0])}:{key[1]} port={key[3]}")

    def flow_ended(self, flow, how):
        server = flow.server()
        self.ended_flows.append((time.monotonic(), flow, how, server))
        self.log(f"flow {flow.client.ip}:{flow.port} to port {flow.service_port} {how}; "
                 f"its server {server.id + ' lives' if server else 'is not known'}")

    def count_attempts(self, since, until):
        """Attempts to open a flow in the span that were reset, and those that got no answer."""
        failed = [how for at, how in self.failed_openings if since <= at < until]
        return sum(how.startswith("reset") for how in failed), sum(not how.startswith("reset") for how in failed)

    def all_in_touch(self, now):
        return all(now - daemon.disturbed_at > STABLE_S for daemon in self.controls + self.balancers)

    def finish(self):
        for daemon in self.controls + self.balancers:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(case_file, scenario, limit_s=110):
    """Runs `scenario(world, trouble)`. Exits with 1 if a rule was broken, 0 if all held, 2 if the case cannot run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world, status = None, 2

    async def run():
        async with asyncio.timeout(limit_s):
            await scenario(world, trouble)

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        world = World(pathlib.Path(case_file).resolve().parent / "record.txt")
        world.log(f"disruption {'on' if trouble else 'off'}")
        asyncio.run(run())
        status = 1 if world.violations else 0
    except (CannotRun, OSError, TimeoutError, KeyboardInterrupt) as error:
        print(f"the case cannot run: {type(error).__name__}: {error}")
        if world:
            world.log(f"the case cannot run: {type(error).__name__}: {error}")
    finally:
        if world:
            world.log(f"exit {status}")
            world.finish()
    print({0: "held", 1: f"broken {len(world.violations) if world else 0} times", 2: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
