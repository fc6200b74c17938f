#!/usr/bin/env python3
"""Randomised fault-injection soak test: runs the shipped program as separate processes on loopback addresses, with
simulated callers, backend servers and an operator, injects faults from outside, and checks the guarantees of the system
by what callers, servers and the operator observe.

Usage: soak.py --program PATH [--seed N] [--seconds N] [--zones N] [--keep]

Faults: processes are killed, paused, terminated and restarted; disks are lost or full; files of a killed process are
truncated; another program announces servers that can't be used; settings are changed with SIGHUP; the servers' HTTP
calls pass a simulated proxy that delays or resets them, drops or delays the response or does not respond; packets
between callers and the system are lost or delayed in one direction or both. Meanwhile servers are released in series,
and the acknowledgement of a leave may be late or lost, and
an operator evacuates one zone after the other. Prints the seed and the violations; exits with 1 on a violation.
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time

DATA_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, SERVER_PORT = 28172, 28167, 28166, 27720, 28080
APPLY_S, STABLE_S, DRAIN_S, RECOVER_S, STRAY_S, IDLE_S, EVACUATE_S = 3.0, 4.0, 3.0, 12.0, 2.0, 15.0, 4.0
SYN, FIN, RST, ACK = 1, 16, 32, 64
HEADER = struct.Struct(">B5sIIIIHHIHI")
VIRTUAL_ADDRESS = struct.unpack(">I", bytes([198, 18, 0, 1]))[0]
ROUTES = {443: ("orders", "safe"), 8080: ("orders", "unsafe"), 8443: ("gallery", "download")}


def parse_address(ip):
    return struct.unpack(">I", bytes(int(part) for part in ip.split(".")))[0]


def format_address(address):
    return ".".join(str(part) for part in struct.pack(">I", address))


def encode_packet(flags, echo, seq, ack, data, dport, src, sport, dst):
    # A sum of 0 marks a reset of the system's own.
    return HEADER.pack(flags, b"", echo, seq, ack, 1, len(data), dport, src, sport, dst) + data


class Endpoint(asyncio.DatagramProtocol):
    """A UDP socket that drops a random share of the packets that it sends and delays each of the others at random."""

    def __init__(self, soak, side, handler):
        self.soak, self.side, self.handler, self.transport = soak, side, handler, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.handler(data, addr[0])

    def send(self, data, address):
        loss, delay = self.soak.link_quality[self.side]
        if self.soak.random.random() < loss or self.transport.is_closing():
            return
        delay *= self.soak.random.random()
        asyncio.get_running_loop().call_later(delay, self.transport.sendto, data, address)

    @staticmethod
    async def open(soak, side, ip, port, handler):
        _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Endpoint(soak, side, handler), local_addr=(ip, port))
        return protocol


def prepare_signals():
    """Lets a process get an error for a write above its limit on file sizes, which stands for a full disk here."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)


class Daemon:
    def __init__(self, soak, role, zone, ip):
        self.soak, self.role, self.zone, self.ip = soak, role, zone, ip
        self.name = f"{role}-{zone}-{ip}"
        self.folder = soak.folder / self.name
        self.data = self.folder / "data"
        self.data.mkdir(parents=True)
        self.process, self.bootstrap, self.disturbed_at = None, True, time.monotonic()
        self.faulted_at = self.disturbed_at - 60

    def write_settings(self, seeds):
        listen = f'Control = "{self.ip}:{CONTROL_PORT}"' if self.role == "control" else (
            f'DataAddr = "{self.ip}:{DATA_PORT}"\nReady = "{self.ip}:{READY_PORT}"')
        (self.folder / "node.toml").write_text(
            f'Node = "{self.name}"\nServes = ["{"control" if self.role == "control" else "front"}"]\n'
            f'Ip = "{self.ip}"\nZone = "{self.zone}"\nPeerPortRange = [{PEER_PORT},{PEER_PORT + 15}]\n'
            f'Seeds = {json.dumps([f"{seed}:{CONTROL_PORT}" for seed in seeds])}\n'
            f'Bootstrap = {json.dumps(self.bootstrap)}\nDataDir = "{self.data}"\nHeartbeatMs = 500\n'
            f'[Listen]\n{listen}\n[FaultTolerance]\nMachines = 1\n[Zones]\n'
            + "".join(f'{zone} = "r"\n' for zone in self.soak.zones))

    def start(self):
        # Overlapping faults may both restart a host; without this check a second process would be leaked.
        if self.process and self.process.poll() is None:
            return
        self.write_settings(self.soak.seeds)
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [self.soak.program], stdout=log, stderr=log, cwd=self.folder, restore_signals=False,
            preexec_fn=prepare_signals,
            env={"BILBERRYYARD_BOOT": str(self.folder / "node.toml"), "PATH": os.environ["PATH"]})
        log.close()
        self.bootstrap = False
        self.disturbed_at = time.monotonic()

    def signal(self, signal_number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal_number)
        self.disturbed_at = time.monotonic()
        if signal_number not in (signal.SIGTERM, signal.SIGHUP):
            self.faulted_at = self.disturbed_at

    def set_disk_full(self, is_full):
        """Makes every write to a file fail, or ends that; a restarted process has no limit."""
        limit = 0 if is_full else resource.RLIM_INFINITY
        if self.process and self.process.poll() is None:
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))
        self.disturbed_at = time.monotonic()

    async def stop(self, signal_number):
        self.signal(signal_number)
        # An overlapping fault may start the next process of the host before this one looks again.
        process = self.process
        for _ in range(80):
            if process.poll() is not None:
                return
            await asyncio.sleep(0.1)
        self.soak.report_violation(f"{self.name} did not end within 8 s of signal {signal_number}")
        process.kill()
        process.wait()


class Flow:
    """A flow as its server holds it; next_seq is that of the server's next byte, expected_seq of the caller's."""

    def __init__(self, first_seq, echo, expected_seq):
        self.first_seq, self.next_seq, self.echo, self.expected_seq = first_seq, first_seq + 1, echo, expected_seq
        self.request, self.response_seq = None, 0
        self.opened_at, self.received_at, self.stray_times = None, time.monotonic(), []
        self.server_closed, self.caller_closed, self.is_reported = False, False, False

    def is_open(self):
        return (self.opened_at is not None and not (self.server_closed and self.caller_closed)
                and time.monotonic() - self.received_at < IDLE_S)


class Server:
    """A backend server: announces itself through the proxy, responds to flows and records the executed requests."""

    def __init__(self, soak, service, zone, ip):
        self.soak, self.service, self.zone, self.ip = soak, service, zone, ip
        self.id = "i-" + "%010x" % soak.random.getrandbits(40)
        self.started_ms, self.state, self.seq = int(time.time() * 1000), "ready", 0
        self.flows, self.drained_at, self.dead = {}, None, False
        self.phase, self.phase_at, self.leave_task = "running", time.monotonic(), None

    def enter_phase(self, phase):
        self.phase, self.phase_at = phase, time.monotonic()

    async def run(self):
        self.socket = await Endpoint.open(self.soak, "servers", self.ip, SERVER_PORT, self.receive)
        while not self.dead and self.phase in ("running", "draining"):
            await self.announce("Heartbeat")
            await asyncio.sleep(0.5)

    async def announce(self, kind, mode=None):
        self.seq += 1
        body = {"Service": self.service, "Addr": f"{self.ip}:{SERVER_PORT}", "Zone": self.zone, "Version": "v1",
                "Slots": 2, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq, "born": self.started_ms}
        targets = [daemon.ip for daemon in self.soak.controls]
        self.soak.random.shuffle(targets)
        for ip in targets:
            status, _ = await self.soak.call(
                ip, "POST", f"/Instances.{kind}/{self.id}", json.dumps(body), mode or self.soak.proxy_mode)
            if status == 200:
                if self.state == "draining" and self.drained_at is None:
                    self.drained_at = time.monotonic()
                return True
        return False

    def reply(self, key, flags, echo, seq, ack, data=b""):
        src, sport, dport = key
        self.socket.send(encode_packet(flags, echo, seq, ack, data, sport, VIRTUAL_ADDRESS, dport, src),
                         (format_address(src), DATA_PORT))

    def receive(self, datagram, sender):
        if self.dead or len(datagram) < 44:
            return
        tag = int.from_bytes(datagram[:8], "big")
        if tag not in (0, int(self.id[2:], 16)):
            return
        flags, _, echo, seq, ack, _, length, dport, src, sport, dst = HEADER.unpack(datagram[8:44])
        key, data = (src, sport, dport), datagram[44:44 + length]
        flow = self.flows.get(key)
        if flags & SYN:
            if ROUTES.get(dport, ("",))[0] != self.service:
                self.soak.report_violation(f"{self.id} of {self.service} got a flow to port {dport}")
            if self.drained_at and time.monotonic() - self.drained_at > DRAIN_S + 0.5 and self.soak.is_calm(STABLE_S + 4):
                self.soak.report_violation(
                    f"{self.id} got a new flow {time.monotonic() - self.drained_at:.1f} s after it drained")
            self.soak.check_evacuation(self, sender)
            flow = self.flows.setdefault(key, Flow(self.soak.random.getrandbits(31), echo, seq + 1))
            flow.echo = echo
            self.reply(key, SYN | ACK, echo, flow.first_seq, seq + 1)
            return
        if not flow or not flow.is_open():
            self.soak.check_stray_packet(key, self, sender)
        if not flow:
            if not flags & RST:
                self.reply(key, ACK if flags & FIN else RST, echo, ack, seq + len(data))
        elif flags & RST:
            del self.flows[key]
        else:
            flow.echo, flow.received_at, flow.stray_times = echo, time.monotonic(), []
            if ack == flow.first_seq + 1 and flow.opened_at is None:
                flow.opened_at = time.monotonic()
            if flow.opened_at is None:
                # A late copy of the handshake has begun another flow after the one of this packet had ended.
                return
            self.receive_in_flow(key, flow, flags, seq, data)

    def receive_in_flow(self, key, flow, flags, seq, data):
        if data and seq == flow.expected_seq and not flow.server_closed:
            flow.expected_seq += len(data)
            flow.request, flow.response_seq = data, flow.next_seq
            flow.next_seq += len(b"ok " + data)
            self.soak.record_execution(data.decode(), ROUTES[key[2]][1], self)
            flow.server_closed = self.state == "draining"
        if data and flow.request == data:
            # A server that drains closes each flow after its next response.
            self.reply(key, ACK | FIN if flow.server_closed else ACK, flow.echo, flow.response_seq, flow.expected_seq,
                       b"ok " + data)
        if flags & FIN:
            self.reply(key, ACK if flow.server_closed else ACK | FIN, flow.echo, flow.next_seq, flow.expected_seq + 1)
            del self.flows[key]

    async def leave(self):
        """Drains, sends the leave and serves on until it is acknowledged, for some seconds at most."""
        self.state = "draining"
        self.enter_phase("draining")
        await asyncio.sleep(DRAIN_S + self.soak.random.random() * 2)
        self.enter_phase("leaving")
        mode = self.soak.random.choice([None, "slow", "late", "one way"])
        end = time.monotonic() + 1 + self.soak.random.random() * 3
        while not await self.announce("Leave", mode) and time.monotonic() < end:
            await asyncio.sleep(self.soak.random.random() * 0.5)
        self.enter_phase("exiting")
        for key, flow in self.flows.items():
            if flow.opened_at is None:
                continue
            flow.server_closed = True
            self.reply(key, ACK | FIN, flow.echo, flow.next_seq, flow.expected_seq)
        await asyncio.sleep(self.soak.random.random() * 0.3)
        self.end()

    def end(self):
        self.dead = True
        self.socket.transport.close()


class Caller:
    def __init__(self, soak, ip):
        self.soak, self.ip, self.port, self.waiting, self.request_targets = soak, ip, 1024, {}, {}

    async def start(self):
        self.socket = await Endpoint.open(self.soak, "callers", self.ip, DATA_PORT, self.receive)

    def receive(self, datagram, sender):
        flags, _, echo, seq, ack, checksum, length, dport, src, sport, _ = HEADER.unpack(datagram[:36])
        key = (parse_address(self.ip), dport, sport)
        if flags & RST:
            self.soak.check_reset_of_open_flow(key, sender, "the system" if checksum == 0 else "another server")
        elif flags & FIN:
            self.send(ACK, echo, ack, seq + length + 1, b"", sport, dport)
            asyncio.get_running_loop().call_later(
                self.soak.random.random() * 0.1, self.close_flow, key, echo, ack, seq + length + 1)
        queue = self.waiting.get(dport)
        if queue is not None:
            queue.put_nowait((flags, echo, seq, ack, datagram[36:36 + length]))

    def send(self, flags, echo, seq, ack, data, service_port, port):
        ready = [daemon for daemon in self.soak.balancers if daemon.process.poll() is None and daemon.in_rotation]
        if ready:
            # The fabric may send any packet to any balancer.
            target = self.soak.random.choice(ready)
            if data:
                self.request_targets[port] = target
            elif self.request_targets.get(port) in ready:
                # Otherwise the balancer would count the request as open for as long as the flow is idle.
                target = self.request_targets.pop(port)
            self.socket.send(
                encode_packet(flags, echo, seq, ack, data, service_port, parse_address(self.ip), port, VIRTUAL_ADDRESS),
                (target.ip, DATA_PORT))

    def close_flow(self, key, echo, seq, ack):
        for _, flow in self.soak.find_open_flows(key):
            flow.caller_closed = True
        self.send(FIN | ACK, echo, seq, ack, b"", key[2], key[1])

    async def exchange(self, port, send, is_expected, timeouts_s):
        queue = self.waiting[port]
        for attempt, timeout_s in enumerate(timeouts_s):
            send(attempt)
            end = time.monotonic() + timeout_s
            while (remaining_s := end - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(queue.get(), remaining_s)
                except asyncio.TimeoutError:
                    break
                if packet[0] & (RST | FIN) or is_expected(packet):
                    return packet
        return None

    async def flow(self, service_port, requests, longest_pause_s=0.6):
        """Opens a flow, sends requests with random delays, and returns the number of responses."""
        self.port = 1024 + (self.port - 1023) % 60000
        port, seq = self.port, self.soak.random.getrandbits(31)
        self.waiting[port] = asyncio.Queue()
        responses = 0
        try:
            packet = await self.exchange(port, lambda attempt: self.send(SYN, 0, seq, attempt, b"", service_port, port),
                                         lambda packet: packet[0] & SYN, [0.2, 0.4, 0.8])
            if packet is None or packet[0] & RST:
                return 0
            token, peer = packet[1], packet[2] + 1
            self.send(ACK, token, seq + 1, peer, b"", service_port, port)
            seq += 1
            opened_at = time.monotonic()
            server = self.soak.find_server_of_flow((parse_address(self.ip), port, service_port), packet[2])
            for _ in range(requests):
                data = self.soak.next_request()
                packet = await self.exchange(
                    port, lambda attempt: self.send(ACK, token, seq, peer, data, service_port, port),
                    lambda packet: packet[4] == b"ok " + data, [0.2, 0.4, 0.8, 1.6])
                if packet is None:
                    return responses
                if not packet[0] & RST and packet[4] == b"ok " + data:
                    token, peer = packet[1], packet[2] + len(packet[4])
                    seq, responses = seq + len(data), responses + 1
                    if not packet[0] & FIN:
                        self.send(ACK, token, seq, peer, b"", service_port, port)
                        pause_s = self.soak.random.random() * longest_pause_s
                        packet = await self.exchange(port, lambda attempt: None, lambda packet: False, [pause_s])
                if packet and packet[0] & RST:
                    self.soak.check_reset(server, opened_at, port, service_port)
                if packet and packet[0] & (RST | FIN):
                    return responses
            self.send(FIN | ACK, token, seq, peer, b"", service_port, port)
            return responses
        finally:
            del self.waiting[port]


class Soak:
    def __init__(self, arguments):
        self.seed, self.random = arguments.seed, random.Random(arguments.seed)
        self.program, self.seconds = str(pathlib.Path(arguments.program).resolve()), arguments.seconds
        # Each seed has its own network, so that runs with different seeds can run in parallel.
        self.net = f"127.{20 + self.seed % 200}"
        self.wipe_lock = asyncio.Lock()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberryyard-soak-"))
        self.link_quality, self.proxy_mode = dict.fromkeys(("callers", "servers"), (0.0, 0.002)), "open"
        self.server_links_faulted_at, self.open_flow_resets = time.monotonic() - 60, {}
        self.violations, self.runs, self.requests, self.faulted_at = [], {}, 0, time.monotonic()
        self.started_at = time.monotonic()
        self.sent, self.acknowledged, self.results, self.history = {}, [], [], []
        self.zones = [f"z{index}" for index in range(arguments.zones)]
        self.controls = [Daemon(self, "control", zone, f"{self.net}.{index}.1") for index, zone in enumerate(self.zones)]
        self.balancers = [Daemon(self, "balancer", zone, f"{self.net}.{index}.{10 + copy}")
                          for index, zone in enumerate(self.zones) for copy in range(2)]
        self.seeds = [daemon.ip for daemon in self.controls][:3]
        self.servers, self.next_server = [], 0
        self.evacuated_since, self.evacuations = {}, 0

    def report_violation(self, description):
        line = f"{time.monotonic() - self.started_at:7.2f} s: {description}"
        self.violations.append(line)
        print("VIOLATION", line, flush=True)

    def record_fault(self, description):
        self.faulted_at = time.monotonic()
        self.history.append(f"{time.monotonic() - self.started_at:7.2f} s {description}")

    def is_calm(self, seconds):
        return time.monotonic() - self.faulted_at > seconds

    def next_request(self):
        self.requests += 1
        return f"request-{self.requests}".encode()

    def record_execution(self, request, kind, server):
        servers = self.runs.setdefault(request, [])
        servers.append(server.id)
        if kind == "unsafe" and len(servers) > 1:
            self.report_violation(f"{request} is not idempotent and ran at {servers}")

    def find_server_of_flow(self, key, first_seq):
        return next((server for server in self.servers if not server.dead and key in server.flows
                     and server.flows[key].first_seq == first_seq), None)

    def find_open_flows(self, key):
        return [(server, server.flows[key]) for server in self.servers
                if not server.dead and key in server.flows and server.flows[key].is_open()]

    def is_undisrupted(self, sender):
        """Whether the servers' links and the balancer that sent a packet were not disrupted of late."""
        now = time.monotonic()
        return now - self.server_links_faulted_at > STABLE_S and all(
            now - daemon.faulted_at > STABLE_S for daemon in self.balancers if daemon.ip == sender)

    def report_flow_violation(self, kind, key, server, flow, sender):
        if flow.is_reported:
            return
        flow.is_reported, now = True, time.monotonic()
        self.report_violation(
            f"{kind}: flow {format_address(key[0])}:{key[1]} to port {key[2]}, open for {now - flow.opened_at:.2f} s at "
            f"{server.id} ({server.phase} for {now - server.phase_at:.2f} s), sender {sender}, proxy {self.proxy_mode}, "
            f"last fault {now - self.faulted_at:.1f} s ago: {self.history[-4:]}")

    def check_reset_of_open_flow(self, key, sender, origin):
        """While a server holds a flow open, nobody else may reset it, whatever happens to the control hosts."""
        for server, flow in self.find_open_flows(key):
            if sender == server.ip:
                continue
            outcome = "violation" if self.is_undisrupted(sender) else "excused"
            count_key = f"{outcome} by {origin}, {server.phase}"
            self.open_flow_resets[count_key] = self.open_flow_resets.get(count_key, 0) + 1
            if outcome == "violation":
                self.report_flow_violation(f"reset by {origin} while the server serves", key, server, flow, sender)

    def check_stray_packet(self, key, receiver, sender):
        """The packets of an open flow may not reach other servers only."""
        for server, flow in self.find_open_flows(key):
            if server is receiver:
                continue
            flow.stray_times.append(time.monotonic())
            if (len(flow.stray_times) >= 3 and flow.stray_times[-1] - flow.stray_times[0] >= STRAY_S
                    and self.is_undisrupted(sender)):
                self.report_flow_violation(f"packets reach {receiver.id} only", key, server, flow, sender)

    def check_evacuation(self, server, sender):
        """No undisturbed balancer opens flows in a zone whose evacuation was acknowledged a while ago."""
        since = self.evacuated_since.get(server.zone)
        if since is None or time.monotonic() - since <= EVACUATE_S or not self.is_calm(STABLE_S):
            return
        balancer = next(daemon for daemon in self.balancers if daemon.ip == sender)
        if time.monotonic() - balancer.disturbed_at > STABLE_S:
            self.report_violation(f"{server.id} in {server.zone} got a flow from {balancer.name} "
                                  f"{time.monotonic() - since:.1f} s after the zone was evacuated")

    def check_reset(self, server, opened_at, port, service_port):
        alive = server is not None and not server.dead
        if alive and self.is_calm(STABLE_S + 1) and time.monotonic() - opened_at > 0.1:
            self.report_violation(f"flow {port} to port {service_port} was reset although {server.id} lives")

    async def call(self, ip, method, path, body, mode="open", timeout_s=1.0):
        """Makes an HTTP call through the proxy in the given mode and returns the status (0 on failure) and the body."""
        if mode == "reset":
            return 0, b""
        if mode == "silent":
            await asyncio.sleep(timeout_s)
            return 0, b""
        if mode == "slow":
            await asyncio.sleep(self.random.random() * 0.4)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, CONTROL_PORT), timeout_s)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            response = await asyncio.wait_for(reader.read(-1), timeout_s)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return 0, b""
        if mode == "late":
            delay_s = self.random.random() * 2 * timeout_s
            await asyncio.sleep(min(delay_s, timeout_s))
            if delay_s > timeout_s:
                return 0, b""
        if mode == "one way" or not response.startswith(b"HTTP/1.1 "):
            return 0, b""
        head, _, content = response.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        if status == 307:
            target = next(line for line in head.decode().splitlines() if line.startswith("Location: "))
            host = target.split("//")[1].split(":")[0]
            return await self.call(host, method, path, body) if host != ip else (503, b"")
        return status, content

    def configuration(self, version):
        routes = [{"Name": f"r{port}", "Hostname": "198.18.0.1", "PathPrefix": f"/{port}/", "Kind": kind,
                   "TimeoutMs": 1000 + version, "TargetLatencyMs": 100, "Priority": 1, "Service": service}
                  for port, (service, kind) in ROUTES.items()]
        return json.dumps({"Version": version, "Routes": routes, "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": 2000} for name in ("orders", "gallery")],
            "Limits": {"IdleTimeoutMs": 15000}})

    async def change_configuration(self):
        version = 0
        while True:
            version += self.random.randint(1, 5)
            body = self.configuration(version)
            self.sent[version] = body
            end = time.monotonic() + 8
            while time.monotonic() < end:
                status, _ = await self.call(self.random.choice(self.controls).ip, "POST", "/Config.Put", body)
                if status == 200:
                    self.acknowledged.append((time.monotonic(), version))
                    break
                if 400 <= status < 500:
                    self.report_violation(f"valid version {version} was refused with {status}")
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(self.random.random() * 1.5)

    async def order_evacuation(self, change, zone):
        """Repeats an order until it is acknowledged; an acknowledgement may be lost."""
        end = time.monotonic() + 8
        while time.monotonic() < end:
            status, _ = await self.call(self.random.choice(self.controls).ip, "POST", f"/Evacuate.{change}/{zone}", "")
            if 400 <= status < 500:
                self.report_violation(f"order {change} of {zone} was refused with {status}")
                return False
            if status == 200 and self.random.random() < 0.7:
                return True
            await asyncio.sleep(0.2)
        return False

    async def evacuate_zones(self):
        while True:
            zone = self.random.choice(self.zones)
            if await self.order_evacuation("Start", zone):
                self.evacuations += 1
                self.evacuated_since[zone] = time.monotonic()
                self.history.append(f"{time.monotonic() - self.started_at:7.2f} s evacuated {zone}")
                await asyncio.sleep(EVACUATE_S + self.random.random() * 6)
            self.evacuated_since.pop(zone, None)
            await self.order_evacuation("End", zone)
            await asyncio.sleep(self.random.random() * 3)

    async def check_reads(self):
        while True:
            requested_at = time.monotonic()
            daemon = self.random.choice(self.controls)
            status, content = await self.call(daemon.ip, "GET", "/Config.Get", "")
            if status == 200:
                version = json.loads(content)["Version"]
                if content.decode() != self.sent.get(version):
                    self.report_violation(f"version {version} reads back as something else")
                required_version = max((acknowledged for at, acknowledged in self.acknowledged
                                        if requested_at - at > APPLY_S), default=0)
                if version < required_version:
                    self.report_violation(
                        f"{daemon.name} answered version {version} when {required_version} was acknowledged")
            await asyncio.sleep(0.15)

    async def watch_readiness(self):
        failed_probes = {daemon.ip: 0 for daemon in self.balancers}
        while True:
            for daemon in self.balancers:
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(daemon.ip, READY_PORT), 0.4)
                    writer.write(f"GET /readiness HTTP/1.1\r\nHost: {daemon.ip}\r\n\r\n".encode())
                    is_ready = b" 200 " in await asyncio.wait_for(reader.read(64), 0.4)
                    writer.close()
                except (OSError, asyncio.TimeoutError):
                    is_ready = False
                failed_probes[daemon.ip] = 0 if is_ready else failed_probes[daemon.ip] + 1
                daemon.in_rotation = failed_probes[daemon.ip] < 2
            await asyncio.sleep(0.5)

    async def generate_load(self, caller):
        while True:
            port = self.random.choice(list(ROUTES))
            request_count = self.random.randint(1, 8) if ROUTES[port][1] == "safe" else 1
            started_at = time.monotonic()
            responses = await caller.flow(port, request_count)
            self.results.append((started_at, responses > 0))
            await asyncio.sleep(self.random.random() * 0.3)

    async def use_idle_flows(self, caller):
        """Uses flows again after they were idle for so long that their server may have left."""
        while True:
            await caller.flow(443, self.random.randint(2, 4), 10.0)

    def add_server(self, service):
        self.next_server += 1
        zone = self.next_server % len(self.zones)
        server = Server(self, service, self.zones[zone], f"{self.net}.{100 + zone}.{self.next_server % 250 + 1}")
        self.servers.append(server)
        server.task = asyncio.create_task(server.run())

    async def wipe(self, daemon):
        # The deployment tolerates one lost disk at a time, and a host counts as lost for a while after its restart.
        async with self.wipe_lock:
            self.record_fault(f"wipe {daemon.name}")
            await daemon.stop(signal.SIGKILL)
            shutil.rmtree(daemon.data)
            daemon.data.mkdir()
            await asyncio.sleep(self.random.random() * 2)
            daemon.start()
            await asyncio.sleep(5.0)

    async def fill_disk(self, daemon):
        # A host with a full disk counts as lost, and there is one at a time.
        async with self.wipe_lock:
            self.record_fault(f"disk full {daemon.name}")
            daemon.set_disk_full(True)
            await asyncio.sleep(0.5 + self.random.random() * 5)
            daemon.set_disk_full(False)
            await asyncio.sleep(5.0)

    async def write_odd_announcements(self):
        """Another program announces servers that can't be used, also at the address and under the identifier of one that
        can. Nothing may follow from it."""
        live = [server for server in self.servers if not server.dead and server.state == "ready"]
        victim = self.random.choice(live)
        valid = {"Service": victim.service, "Addr": f"{victim.ip}:{SERVER_PORT}", "Zone": victim.zone, "Version": "v1",
                 "Slots": 2, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": int(time.time() * 1000) + 60_000}
        strange = valid | {"Service": "not-configured"}
        odd = [("i-0badc0de", json.dumps(strange)), ("%FF%FE", json.dumps(valid)), ("i%0A1", json.dumps(valid)),
               (victim.id, json.dumps(strange | {"Addr": f"{self.net}.250.1:{SERVER_PORT}"})),
               ("i-1", json.dumps(valid | {"Addr": f"{victim.ip}:70000"})),
               ("i-2", json.dumps(valid | {"Seq": 2 ** 64})), (victim.id, json.dumps(valid | {"Seq": 2 ** 63})),
               ("i-3", "[" * 50_000), ("i-4", '{"Service":' * 5_000), ("i-5", json.dumps(valid | {"State": "warming"}))]
        for identifier, body in self.random.sample(odd, 4):
            await self.call(self.random.choice(self.controls).ip, "POST", f"/Instances.Heartbeat/{identifier}", body)

    async def inject_fault(self):
        kind = self.random.choice(["kill", "pause", "terminate", "wipe", "tear", "hup", "proxy", "loss", "crash",
                                   "drain", "herd", "kill balancer", "pause balancer", "terminate balancer",
                                   "disk full", "other writer"])
        group = self.balancers if "balancer" in kind else self.controls
        daemon = self.random.choice(group)
        if kind == "wipe":
            await self.wipe(daemon)
        elif kind == "disk full":
            await self.fill_disk(daemon)
        elif kind == "other writer":
            self.history.append(kind)
            await self.write_odd_announcements()
        elif "kill" in kind or kind == "tear":
            self.record_fault(f"{kind} {daemon.name}")
            await daemon.stop(signal.SIGKILL)
            if kind == "tear":
                for file in daemon.data.glob("*.temporary"):
                    os.truncate(file, file.stat().st_size // 2)
                (daemon.data / "torn.temporary").write_bytes(b"\0" * 17)
            await asyncio.sleep(self.random.random() * 2)
            daemon.start()
        elif "pause" in kind:
            self.record_fault(f"{kind} {daemon.name}")
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(0.5 + self.random.random() * 4)
            daemon.signal(signal.SIGCONT)
        elif "terminate" in kind:
            # A graceful restart must not affect callers, so it does not count as a fault.
            self.history.append(f"{kind} {daemon.name}")
            await daemon.stop(signal.SIGTERM)
            daemon.start()
        elif kind == "hup":
            self.seeds = self.random.sample([host.ip for host in self.controls], len(self.seeds))
            for host in self.controls + self.balancers:
                host.write_settings(self.seeds)
                host.signal(signal.SIGHUP)
        elif kind == "proxy":
            self.proxy_mode = self.random.choice(["reset", "silent", "slow", "one way", "late"])
            self.record_fault(f"proxy {self.proxy_mode}")
            await asyncio.sleep(1 + self.random.random() * 3)
            self.proxy_mode = "open"
        elif kind == "loss":
            loss, delay = self.random.random() * 0.2, self.random.random() * 0.3
            sides = self.random.choice([["callers"], ["servers"], ["callers", "servers"]])
            self.record_fault(f"loss {loss:.2f} delay {delay:.2f} of {sides}")
            if "servers" in sides:
                self.server_links_faulted_at = time.monotonic() + 2
            self.link_quality.update(dict.fromkeys(sides, (loss, delay)))
            await asyncio.sleep(2)
            self.link_quality.update(dict.fromkeys(sides, (0.0, 0.002)))
        elif kind == "herd":
            self.record_fault("herd")
            await asyncio.gather(*[host.stop(signal.SIGKILL) for host in self.controls])
            for host in self.controls:
                host.start()
        else:
            ready_servers = [server for server in self.servers if not server.dead and server.state == "ready"]
            server = self.random.choice(ready_servers)
            self.add_server(server.service)
            if kind == "crash":
                self.record_fault(f"crash {server.id}")
                server.end()
            else:
                self.history.append(f"drain {server.id}")
                await asyncio.sleep(1.0)
                await server.leave()
        self.faulted_at = time.monotonic() if "terminate" not in kind and kind not in ("drain", "hup", "other writer") else self.faulted_at

    async def release_servers(self):
        """Replaces servers in series; as planned work, this may not affect callers."""
        while True:
            await asyncio.sleep(0.5 + self.random.random() * 2)
            servers = [server for server in self.servers if not server.dead and server.state == "ready"
                       and time.time() * 1000 - server.started_ms > 5000]
            if servers:
                server = self.random.choice(servers)
                self.history.append(f"{time.monotonic() - self.started_at:7.2f} s release {server.id}")
                self.add_server(server.service)
                server.leave_task = asyncio.create_task(server.leave())

    async def inject_faults(self):
        pending = set()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            # At most two faults overlap; while one is active, a second one starts with a probability of 0.3 per round.
            if len(pending) < 2 and (not pending or self.random.random() < 0.3):
                pending.add(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.random() * 2)
            for task in [task for task in pending if task.done()]:
                pending.discard(task)
                task.result()
        await asyncio.gather(*pending)

    async def run(self):
        for daemon in self.controls + self.balancers:
            daemon.in_rotation = False
            daemon.start()
        for service, count in (("orders", 6), ("gallery", 3)):
            for _ in range(count):
                self.add_server(service)
        callers = [Caller(self, f"{self.net}.200.{index + 1}") for index in range(6)]
        for caller in callers:
            await caller.start()
        background = [asyncio.create_task(task) for task in
                      [self.change_configuration(), self.check_reads(), self.watch_readiness()]]
        await asyncio.sleep(4)
        self.faulted_at = time.monotonic() - 60
        background += [asyncio.create_task(self.generate_load(caller)) for caller in callers for _ in range(4)]
        background += [asyncio.create_task(self.use_idle_flows(caller)) for caller in callers for _ in range(4)]
        releases = asyncio.create_task(self.release_servers())
        evacuations = asyncio.create_task(self.evacuate_zones())
        await self.inject_faults()
        releases.cancel()
        evacuations.cancel()
        self.evacuated_since.clear()
        for zone in self.zones:
            if not await self.order_evacuation("End", zone):
                self.report_violation(f"the evacuation of {zone} could not be ended")
        faults_ended_at = time.monotonic()
        await asyncio.sleep(RECOVER_S + 4)
        late_results = [ok for at, ok in self.results if at > faults_ended_at + RECOVER_S]
        if not late_results or sum(late_results) < 0.9 * len(late_results):
            self.report_violation(f"{sum(late_results)} of {len(late_results)} flows were served after everything was back")
        required_version = max((version for _, version in self.acknowledged), default=0)
        responses = [await self.call(daemon.ip, "GET", "/Config.Get", "") for daemon in self.controls]
        if not any(status == 200 and json.loads(content)["Version"] >= required_version
                   for status, content in responses):
            self.report_violation(f"version {required_version} was acknowledged and is gone")
        await asyncio.gather(*[server.leave_task for server in self.servers if server.leave_task])
        for task in background + [server.task for server in self.servers]:
            task.cancel()

    def finish(self, keep):
        for daemon in self.controls + self.balancers:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        served = sum(ok for _, ok in self.results)
        print(f"soak: seed {self.seed}: {len(self.violations)} violations, {served} of {len(self.results)} flows served, "
              f"{len(self.acknowledged)} configurations acknowledged, {self.evacuations} evacuations, "
              f"{len(self.history)} faults")
        print(f"resets of flows that are open at their server: {self.open_flow_resets}")
        if self.violations or keep:
            print(f"faults: {'; '.join(self.history)}\nlogs: {self.folder}")
        else:
            shutil.rmtree(self.folder)
        return 1 if self.violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--program", required=True)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    arguments = parser.parse_args()
    soak = Soak(arguments)
    try:
        asyncio.run(soak.run())
    finally:
        status = soak.finish(arguments.keep)
    sys.exit(status)


if __name__ == "__main__":
    main()
