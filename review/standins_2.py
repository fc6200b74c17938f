"""Stand-ins for one small deployment on loopback: platform, operator, servers and clients, as the users' pages describe
them. The programs under test are the ones that the deploy file builds; they run as separate processes.

All stand-ins live in one asyncio loop. Links between a server and a control host pass a proxy that can hold bytes up.
"""
import asyncio
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
import zlib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = REPOSITORY / "target/bin/bilberryyard-node"
METRICS_PORT = 9101
SYN, FIN, RST, ACK, BOUNCED = 1, 16, 32, 64, 128
HEAD = struct.Struct(">B5sIIIIHHIHI")
SYN_COPIES_S = (0.2, 0.4, 0.8)
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "StableWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000,
          "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "MaxSkewMs": 12000,
          "RecoverS": 12, "FlowStrayMs": 2000, "FlowTtlS": 60}
STABLE_S, DRAIN_S, IDLE_S, TTL_S = 4.0, 3.0, 15.0, 60.0


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


def checksum(flags, seq, ack, data, dport, src, sport, dst):
    fields = struct.pack(">BIIHHIHI", flags & ~BOUNCED, seq, ack, len(data), dport, src, sport, dst)
    # A sum of 0 is that of the system's own resets.
    return zlib.crc32(b"key of the two ends" + fields + data) or 1


def packet(flags, echo, seq, ack, data, dport, src, sport, dst):
    return HEAD.pack(flags, b"", echo, seq & 0xffffffff, ack & 0xffffffff,
                     checksum(flags, seq & 0xffffffff, ack & 0xffffffff, data, dport, src, sport, dst), len(data),
                     dport, src, sport, dst) + data


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler, self.transport = handler, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, sender):
        self.handler(data, sender[0])

    def error_received(self, error):
        pass

    @staticmethod
    async def open(ip, port, handler):
        _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(handler), local_addr=(ip, port))
        return protocol


class Site:
    """The deployment: addresses, ports, the record, and the processes that were started."""

    def __init__(self, folder, zones):
        self.folder, self.zones = pathlib.Path(folder), zones
        self.random = random.Random()
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="bilberryyard-review-"))
        self.net = self.free_network()
        self.ports = {}
        for name in ("data", "ready", "control", "server"):
            self.ports[name] = self.free_port()
        self.peer_port = self.free_port(16)
        self.record_file = open(self.folder / "record.txt", "w")
        self.started_at = time.monotonic()
        self.daemons, self.servers, self.callers = [], [], []
        self.routes, self.services = {}, []
        self.virtual = f"{self.net}.250.1"
        self.violations = []

    def free_network(self):
        """The deploy file sets one port for metrics, so two deployments cannot share addresses."""
        for _ in range(50):
            net = f"127.{self.random.randint(40, 240)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{net}.1.1", METRICS_PORT))
                return net
            except OSError:
                continue
        raise OSError("no free network")

    def free_port(self, count=1):
        for _ in range(200):
            port = self.random.randint(12000, 29000)
            try:
                for offset in range(count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("0.0.0.0", port + offset))
                if all(abs(port - other) > 20 for other in self.ports.values()):
                    return port
            except OSError:
                continue
        raise OSError("no free port")

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, line):
        self.record_file.write(f"{self.now():8.3f} {line}\n")
        self.record_file.flush()

    def violation(self, line):
        self.violations.append(line)
        self.record("RULE BROKEN " + line)

    async def end(self):
        for daemon in self.daemons:
            daemon.kill()
        for daemon in self.daemons:
            daemon.reap()
        self.record_file.flush()
        if os.environ.get("KEEP"):
            print("logs are in", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


class Daemon:
    """One machine with one process of the system."""

    def __init__(self, site, role, zone, host):
        self.site, self.role, self.zone = site, role, zone
        self.ip = f"{site.net}.{site.zones.index(zone) + 1}.{host}"
        self.name = f"{role}-{zone}-{host}"
        self.folder = site.work / self.name
        self.data = self.folder / "data"
        self.data.mkdir(parents=True)
        self.process, self.is_first_start, self.started_at = None, True, None
        self.misses, self.in_rotation, self.is_disturbed_at = 2, False, -1e9
        self.frozen = False
        site.daemons.append(self)

    def write_settings(self, seeds):
        site = self.site
        listen = (f'Control = "{self.ip}:{site.ports["control"]}"' if self.role == "core" else
                  f'DataAddr = "{self.ip}:{site.ports["data"]}"\nReady = "{self.ip}:{site.ports["ready"]}"')
        data = f'DataDir = "{self.data}"\n' if self.role == "core" else ""
        limits = ("CpuShare = 0.3\nCores = 1\nMemoryMb = 256\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = 128\n"
                  if self.role == "core" else
                  "CpuShare = 0.38\nCores = 1\nMemoryMb = 390\nMaxFds = 6150\nLinkMbps = 1500.0\nDiskMb = 0\n")
        settings = (
            f'Node = "{self.name}"\nRole = "{"control" if self.role == "core" else "balancer"}"\n'
            f'MachineClass = "{self.role}"\nServes = ["{"control" if self.role == "core" else "front"}"]\n'
            f'Ip = "{self.ip}"\nZone = "{self.zone}"\nRegion = "region"\n'
            f'PeerPortRange = [{site.peer_port},{site.peer_port + 15}]\n'
            f'Seeds = {json.dumps([f"{seed.ip}:" + str(site.ports["control"]) for seed in seeds])}\n'
            f'Bootstrap = {json.dumps(self.is_first_start and site.now() < 3)}\n'
            f'InFaultBudget = {json.dumps(self.role == "core")}\n{data}Discovery = "registry"\nEntry = "announce"\n'
            f'HeartbeatMs = {HEARTBEAT_MS}\nContracts = ["base","drain","config","cost","recover","flows"]\n'
            f'config_mode = "highest"\nHash = "mod"\nForwardingMode = "echo"\n[Zones]\n'
            + "".join(f'{zone} = "region"\n' for zone in site.zones)
            + f"[Listen]\n{listen}\n[Limits]\n{limits}[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n[Bounds]\n"
            + "".join(f"{name} = {value}\n" for name, value in BOUNDS.items()))
        temporary = self.folder / "node.new"
        temporary.write_text(settings)
        temporary.rename(self.folder / "node.toml")

    def start(self, seeds):
        self.write_settings(seeds)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM)], cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"BILBERRYYARD_BOOT": str(self.folder / "node.toml"), "BILBERRYYARD_METRICS_PORT": str(METRICS_PORT),
                     "PATH": os.environ["PATH"]})
        self.is_first_start = False
        self.started_at = self.is_disturbed_at = self.site.now()
        self.site.record(f"platform starts {self.name} at {self.ip}")

    def signal(self, number_):
        self.is_disturbed_at = self.site.now()
        self.site.record(f"platform sends {signal.Signals(number_).name} to {self.name}")
        self.process.send_signal(number_)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()

    def reap(self):
        if self.process is not None:
            self.process.wait()

    async def probe(self):
        """The platform's readiness probe, twice a second."""
        while True:
            ok = False
            if self.is_running():
                status, _, _ = await call(self.ip, self.site.ports["ready"], "GET", "/readiness", None, 0.4)
                ok = status == 200
            self.misses = 0 if ok else self.misses + 1
            in_rotation = self.misses < 2
            if in_rotation != self.in_rotation:
                self.in_rotation = in_rotation
                self.site.record(f"{self.name} is {'in' if in_rotation else 'out of'} rotation")
            await asyncio.sleep(0.5)


HEARTBEAT_MS = 1200


async def call(ip, port, method, path, body, timeout_s):
    """@return Status (0 without a response in time), headers and body."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        payload = b"" if body is None else body
        head = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
        if payload:
            head += "Content-Type: application/json\r\n"
        if body is not None:
            head += f"Content-Length: {len(payload)}\r\n"
        writer.write(head.encode() + b"\r\n" + payload)
        return await reader.read(-1)

    try:
        response = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        response = b""
    finally:
        if writer is not None:
            # Closes in order, so bytes that are on the way still arrive.
            writer.close()
    if not response.startswith(b"HTTP/1.1 "):
        return 0, {}, b""
    head, _, content = response.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    return int(lines[0].split()[1]), headers, content


class Link:
    """The link of one machine to a control host, as a proxy at an address of its own. While it is cut, nothing passes
    in either direction. A call whose bytes were on the link when the cut began arrives after the cut, as the sender's
    TCP repeats them; a connection that is attempted during the cut is never made."""

    def __init__(self, site, target, address):
        self.site, self.target, self.address = site, target, address
        self.is_open, self.resend_delay_s, self.on_call, self.server = asyncio.Event(), 0.0, None, None
        self.is_open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.address)

    def cut(self):
        self.is_open.clear()

    def heal(self, resend_delay_s):
        """@param resend_delay_s Until the sender's TCP repeats what was held up."""
        self.resend_delay_s = resend_delay_s
        self.is_open.set()

    async def accept(self, reader, writer):
        try:
            if not self.is_open.is_set():
                await asyncio.sleep(30)
                return
            request = await reader.read(65536)
            if self.on_call is not None:
                self.on_call(request)
            line = request.split(b"\r")[0].decode()
            was_cut = not self.is_open.is_set()
            await self.is_open.wait()
            if was_cut:
                await asyncio.sleep(self.resend_delay_s)
                self.site.record(f"a call that was held up arrives: {line}")
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            target_writer.write(request)
            response = await asyncio.wait_for(target_reader.read(-1), 2)
            target_writer.close()
            if was_cut:
                self.site.record(f"it is answered: {response.split(bytes([13]))[0].decode()}")
            writer.write(response)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()


class ServerFlow:
    def __init__(self, seq, echo, expected):
        self.first, self.next, self.echo, self.expected = seq, seq + 1, echo, expected
        self.opened_at, self.touched_at = None, time.monotonic()
        self.is_closed, self.response, self.repeat, self.is_busy, self.is_finished = False, None, None, False, False


class Server:
    """A server of a service. It is started again under its identifier by start()."""

    def __init__(self, site, service, zone, host, daemons, slots=2, identifier=None):
        self.site, self.service, self.zone = site, service, zone
        self.ip = f"{site.net}.{site.zones.index(zone) + 1}.{host}"
        self.id = identifier or "i-%08x" % site.random.getrandbits(32)
        self.tag = int(self.id[2:], 16)
        # Control addresses (ip, port) in the order in which this server calls them.
        self.daemons, self.slots, self.daemon_index = daemons, slots, 0
        self.alive, self.state, self.flows, self.starts = False, "ready", {}, 0
        self.drained_at, self.disrupted_at, self.sockets = None, -1e9, None
        self.slot, self.tasks = None, []
        site.servers.append(self)

    async def start(self):
        self.starts += 1
        self.born, self.seq, self.state, self.flows = int(time.time() * 1000), 0, "ready", {}
        self.drained_at, self.alive = None, True
        self.slot = asyncio.Semaphore(self.slots)
        self.socket = await Datagrams.open(self.ip, self.site.ports["server"], self.receive)
        self.site.record(f"server {self.id} of {self.service} in {self.zone} starts at {self.ip}, born {self.born}")
        self.tasks = [asyncio.ensure_future(self.beat_forever())]

    async def beat_forever(self):
        while self.alive and self.state != "left":
            begun = time.monotonic()
            await self.say("Heartbeat")
            await asyncio.sleep(max(0.05, HEARTBEAT_MS / 1000 - (time.monotonic() - begun)))

    async def say(self, kind):
        """Calls one daemon after the other until one acknowledges within a second. @return Whether one did."""
        for _ in range(len(self.daemons)):
            if not self.alive:
                return False
            self.seq += 1
            body = {"Service": self.service, "Addr": f"{self.ip}:{self.site.ports['server']}", "Zone": self.zone,
                    "Version": "v1", "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq,
                    "born": self.born}
            # A leave has no body (`fleetbench wire`), as from the platform's own servers.
            content = json.dumps(body).encode() if kind == "Heartbeat" else b""
            state, seq = self.state, self.seq
            ip, port = self.daemons[self.daemon_index]
            status, _, _ = await call(ip, port, "POST", f"/Instances.{kind}/{self.id}", content, 1.0)
            if kind == "Leave" or state == "draining" or status != 200:
                self.site.record(f"server {self.id} {kind} {state} Seq {seq} at daemon {self.daemon_index}: "
                                 f"{status or 'no answer'}")
            if 200 <= status < 300:
                if state == "draining" and self.drained_at is None:
                    self.drained_at = self.site.now()
                return True
            self.daemon_index = (self.daemon_index + 1) % len(self.daemons)
        return False

    def reply(self, key, flags, flow, ack, data=b"", seq=None):
        src, sport, dport = key
        self.socket.transport.sendto(
            packet(flags, flow.echo if flow else 0, flow.next if seq is None else seq, ack, data, sport,
                   number(self.site.virtual), dport, src), (text(src), self.site.ports["data"]))

    def receive(self, datagram, sender):
        if not self.alive or len(datagram) < 8 + HEAD.size:
            return
        tag = int.from_bytes(datagram[:8], "big")
        flags, _, echo, seq, ack, total, length, dport, src, sport, dst = HEAD.unpack(datagram[8:8 + HEAD.size])
        data = datagram[8 + HEAD.size:]
        key = (src, sport, dport)
        if total != checksum(flags, seq, ack, data, dport, src, sport, dst):
            self.site.violation(f"UNASKED: {self.id} got a packet that its sender did not write so")
            return
        if tag not in (0, self.tag):
            self.site.on_stray(self, key, sender)
            return
        flow = self.flows.get(key)
        if flags & SYN:
            self.site.on_open(self, key, sender)
            if flow is None:
                flow = self.flows[key] = ServerFlow(self.site.random.getrandbits(31), echo, seq + 1)
            flow.echo = echo
            if flow.opened_at is None:
                self.reply(key, SYN | ACK, flow, flow.expected, seq=flow.first)
            return
        if flow is None:
            self.site.on_stray(self, key, sender)
            if flags & FIN:
                self.reply(key, ACK, None, seq + len(data) + 1, seq=ack)
            elif not flags & RST:
                self.reply(key, RST, None, seq + len(data), seq=ack)
            return
        if flags & RST:
            self.drop(key)
            return
        if flow.opened_at is None:
            if ack != (flow.first + 1) & 0xffffffff:
                return
            flow.opened_at = time.monotonic()
        flow.echo, flow.touched_at = echo, time.monotonic()
        if flow.response is not None and ack == (flow.next + len(flow.response)) & 0xffffffff:
            flow.next += len(flow.response)
            flow.response = None
            if flow.repeat:
                flow.repeat.cancel()
        if data and seq == flow.expected & 0xffffffff and not flow.is_busy:
            flow.expected += len(data)
            flow.is_busy = True
            asyncio.ensure_future(self.run(key, flow, data))
        elif data and flow.response is not None:
            self.reply(key, ACK, flow, flow.expected, flow.response)
        if flow.is_finished:
            # The client's acknowledgement of the server's FIN.
            self.drop(key)
            return
        if flags & FIN:
            self.reply(key, ACK | FIN, flow, flow.expected + 1)
            flow.is_finished = flow.is_closed = True

    def drop(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow.repeat:
            flow.repeat.cancel()

    async def run(self, key, flow, data):
        request, work_ms = data.decode().split(" ")
        start = self.starts
        async with self.slot:
            if not self.alive or start != self.starts:
                return
            self.site.on_run(self, request, key)
            await asyncio.sleep(int(work_ms) / 1000)
        if not self.alive or start != self.starts or self.flows.get(key) is not flow:
            return
        flow.is_busy, flow.response = False, b"200 " + request.encode()
        flow.is_closed = self.state == "draining"
        self.send_response(key, flow, 0.2, 8)

    def send_response(self, key, flow, delay, left):
        if not self.alive or flow.response is None or left < 0:
            return
        self.reply(key, ACK | (FIN if flow.is_closed else 0), flow, flow.expected, flow.response)
        flow.repeat = asyncio.get_running_loop().call_later(
            delay, self.send_response, key, flow, min(delay * 2, 1.6), left - 1)

    def holds(self, key):
        """@return Whether a flow is open here, and neither idle nor older than the pages allow."""
        flow = self.flows.get(key)
        now = time.monotonic()
        return (self.alive and flow is not None and flow.opened_at is not None and not flow.is_closed
                and now - flow.touched_at < IDLE_S and now - flow.opened_at < TTL_S)

    def stop(self):
        self.alive = False
        for key in list(self.flows):
            self.drop(key)
        for task in self.tasks:
            task.cancel()
        self.socket.transport.close()


class Caller:
    """A machine of clients in a zone."""

    def __init__(self, site, zone, host):
        self.site, self.zone = site, zone
        self.ip = f"{site.net}.{site.zones.index(zone) + 1}.{host}"
        self.port, self.queues = 20000, {}
        site.callers.append(self)

    async def start(self):
        self.socket = await Datagrams.open(self.ip, self.site.ports["data"], self.receive)

    def receive(self, datagram, sender):
        if len(datagram) < HEAD.size:
            return
        flags, _, echo, seq, ack, total, _, dport, src, sport, dst = HEAD.unpack(datagram[:HEAD.size])
        data = datagram[HEAD.size:]
        is_system = bool(flags & RST) and total == 0
        if not is_system and total != checksum(flags, seq, ack, data, dport, src, sport, dst):
            self.site.violation("MIXED: a client got a packet that its sender did not write so")
        queue = self.queues.get(dport)
        if flags & RST:
            self.site.on_reset((number(self.ip), dport, sport), sender, is_system)
        if queue is not None:
            queue.put_nowait((flags, echo, seq, ack, data, is_system))

    def route(self, key):
        """The platform's router: a hash of the four addresses and ports over the zone's daemons in rotation."""
        fronts = [daemon for daemon in self.site.daemons if daemon.role == "front"]
        own = [daemon for daemon in fronts if daemon.zone == self.zone and daemon.process is not None]
        ready = [daemon for daemon in own if daemon.in_rotation]
        if ready and 2 * len(ready) < len(own):
            ready = own
        ready = ready or [daemon for daemon in fronts if daemon.in_rotation]
        if not ready:
            return None
        return ready[zlib.crc32(repr(key).encode()) % len(ready)]

    def send(self, flags, echo, seq, ack, data, port, service_port):
        key = (number(self.ip), port, service_port)
        daemon = self.route(key)
        if daemon is not None:
            self.socket.transport.sendto(
                packet(flags, echo, seq, ack, data, service_port, key[0], port, number(self.site.virtual)),
                (daemon.ip, self.site.ports["data"]))

    async def wait(self, port, until, deadline):
        while (left := min(until, deadline) - time.monotonic()) > 0:
            try:
                return await asyncio.wait_for(self.queues[port].get(), left)
            except asyncio.TimeoutError:
                return None
        return None

    async def flow(self, service_port, requests, port=None):
        """Opens a flow and sends requests. @param requests Yields (work in ms, pause after it in s, deadline in s).
        @param port The client's port; the next unused one without it. @return Number of answers."""
        if port is None:
            port = self.port = self.port + 1 if self.port < 60000 else 20000
        seq = self.site.random.getrandbits(31)
        self.queues[port] = asyncio.Queue()
        answers = 0
        try:
            reply = None
            for copy, wait_s in enumerate(SYN_COPIES_S):
                self.send(SYN, 0, seq, copy, b"", port, service_port)
                until = time.monotonic() + wait_s
                while reply is None and time.monotonic() < until:
                    received = await self.wait(port, until, until)
                    if received and received[0] & (SYN | RST):
                        reply = received
                if reply:
                    break
            if reply is None or reply[0] & RST:
                return 0
            echo, peer, seq = reply[1], reply[2] + 1, seq + 1
            self.send(ACK, echo, seq, peer, b"", port, service_port)
            for work_ms, pause_s, deadline_s in requests:
                request = f"r{self.site.next_request()}"
                data = f"{request} {work_ms}".encode()
                key = (number(self.ip), port, service_port)
                self.site.on_request(request, key)
                outcome, delay, begun = "deadline", 0.2, time.monotonic()
                while time.monotonic() < begun + deadline_s:
                    self.send(ACK, echo, seq, peer, data, port, service_port)
                    got, until = None, time.monotonic() + delay
                    while got is None and time.monotonic() < min(until, begun + deadline_s):
                        received = await self.wait(port, until, begun + deadline_s)
                        if received and (received[0] & RST or received[4] == b"200 " + request.encode()):
                            got = received
                        elif received and received[0] & SYN and received[2] + 1 != peer:
                            self.send(RST, received[1], seq, received[2] + 1, b"", port, service_port)
                    delay = min(delay * 2, 1.6)
                    if got is None:
                        continue
                    if got[0] & RST:
                        outcome = "reset by the system" if got[5] else "reset by a server"
                        break
                    outcome, echo, peer = "answered", got[1], got[2] + len(got[4])
                    seq += len(data)
                    answers += 1
                    if got[0] & FIN:
                        self.send(ACK | FIN, echo, seq, peer + 1, b"", port, service_port)
                    else:
                        self.send(ACK, echo, seq, peer, b"", port, service_port)
                    break
                self.site.on_answer(request, key, outcome)
                if outcome != "answered" or got[0] & FIN:
                    return answers
                pause_until = time.monotonic() + pause_s
                while time.monotonic() < pause_until:
                    received = await self.wait(port, pause_until, pause_until)
                    if received and received[0] & (RST | FIN):
                        return answers
            self.send(ACK | FIN, echo, seq, peer, b"", port, service_port)
            until = time.monotonic() + 0.2
            while time.monotonic() < until:
                received = await self.wait(port, until, until)
                if received and received[0] & FIN:
                    self.send(ACK, received[1], seq + 1, received[2] + 1, b"", port, service_port)
                if received and received[0] & (FIN | RST):
                    break
            return answers
        finally:
            del self.queues[port]


class Operator:
    def __init__(self, site, idle_s=IDLE_S):
        self.site, self.idle_s = site, idle_s

    def configuration(self, version, timeout_ms=1000):
        routes = [{"Name": f"r-{port}", "Hostname": self.site.virtual, "PathPrefix": f"/{port}/", "Kind": kind,
                   "TimeoutMs": timeout_ms, "TargetLatencyMs": 250, "Priority": 1, "Service": service,
                   "MaxAttempts": 2} for port, (service, kind) in self.site.routes.items()]
        services = [{"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False}
                    for name in self.site.services]
        return json.dumps({"Version": version, "Routes": routes, "Services": services,
                           "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                                      "IdleTimeoutMs": int(self.idle_s * 1000)}}).encode()

    async def request(self, method, path, body, daemon, timeout_s=1.0):
        ip, port = daemon.ip, self.site.ports["control"]
        for _ in range(3):
            status, headers, content = await call(ip, port, method, path, body, timeout_s)
            if status != 307:
                return status, content
            ip, port = headers["Location"].split("//")[1].split("/")[0].split(":")
        return status, content

    async def put(self, version, end_s=15.0, **options):
        body = self.configuration(version, **options)
        cores = [daemon for daemon in self.site.daemons if daemon.role == "core"]
        until = time.monotonic() + end_s
        while time.monotonic() < until:
            status, _ = await self.request("POST", "/Config.Put", body, self.site.random.choice(cores))
            if status == 200 or status in (400, 409, 412, 413, 422):
                self.site.record(f"operator puts version {version}: {status}")
                return status
            await asyncio.sleep(0.2)
        return 0


async def wait_for_rotation(site, daemons, seconds=15):
    until = time.monotonic() + seconds
    while not all(daemon.in_rotation for daemon in daemons):
        if time.monotonic() > until:
            raise TimeoutError("the daemons did not become ready")
        await asyncio.sleep(0.1)


class FlowRules:
    """Mixin of a site that records what clients and servers see and judges FLOW (a)."""

    def setup_rules(self):
        self.request_count, self.runs, self.answers = 0, {}, {}

    def next_request(self):
        self.request_count += 1
        return self.request_count

    def on_request(self, request, key):
        self.record(f"client {text(key[0])}:{key[1]} sends {request} to port {key[2]}")

    def on_answer(self, request, key, outcome):
        self.answers[request] = outcome
        self.record(f"client {text(key[0])}:{key[1]} {request}: {outcome}")

    def on_run(self, server, request, key):
        self.runs.setdefault(request, []).append(server.id)
        self.record(f"server {server.id} runs {request}")
        kind = self.routes[key[2]][1]
        if kind == "unsafe" and len(self.runs[request]) > 1:
            self.violation(f"{request} is unsafe and ran twice")
        if self.routes[key[2]][0] != server.service:
            self.violation(f"ROUTE: {request} ran at a server of {server.service}")

    def on_open(self, server, key, sender):
        pass

    def on_stray(self, server, key, sender):
        pass

    def on_reset(self, key, sender, is_system):
        daemon = next((item for item in self.daemons if item.ip == sender), None)
        name = daemon.name if daemon else "another server, " + sender
        self.record(f"client {text(key[0])}:{key[1]} gets a reset from {name}")
        # A server resets a flow only because a machine of the system sent it a packet of that flow.
        machines = [daemon] if daemon else [item for item in self.daemons if item.role == "front"]
        calm_sender = all(self.now() - item.is_disturbed_at > STABLE_S for item in machines)
        for server in self.servers:
            if not server.holds(key) or server.ip == sender:
                continue
            if calm_sender and self.now() - server.disrupted_at > STABLE_S:
                self.violation(f"FLOW (a): {text(key[0])}:{key[1]} is open at {server.id}, which lives, and is reset by "
                               f"{name}")
            else:
                self.record("(a reset of an open flow that does not count: a disruption was too recent)")


def main(case):
    """Runs a case and exits: 1 if a rule was broken, 0 if all held, 2 if the case could not run."""
    try:
        if not PROGRAM.exists():
            raise FileNotFoundError("the build of the deploy file has not run")
        code = asyncio.run(asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), 115))
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run:", repr(error))
        code = 2
    sys.exit(code)
