"""Stand-ins of a small deployment: clients, servers, an operator and the platform.

Every address is a loopback address.  Only processes that were started here are
signalled and ended.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("!IIIH4sH4sIB3sH")
SYN, FIN, ACK, RST = 8, 32, 64, 128
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 4.0
DRAIN_SECONDS = 3.0
CALL_TIMEOUT_SECONDS = 1.0
SYN_TIMES = (0.0, 0.2, 0.6)
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "sync_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "warmup_overrun": 1.5,
    "warmup_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "reorder_ms": 2000,
    "max_flow_s": 60,
}


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def add(self, text: str) -> float:
        """Write one line and return the time."""
        now = time.monotonic()
        with self._lock:
            self._file.write(f"{now - self._began:9.4f} {text}\n")
            self._file.flush()
        return now

    def since_start(self, at: float) -> float:
        """Return a time as written in the record."""
        return at - self._began


def free_ports(count: int) -> list[int]:
    """Return ports that are free for UDP and TCP on any loopback address."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(20_000, 31_000)
        try:
            with (
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
                socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            ):
                udp.bind(("0.0.0.0", port))
                tcp.bind(("0.0.0.0", port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Machine:
    """One process of the system, its settings file and its disk."""

    def __init__(self, deployment: Deployment, role: str, zone: str, number: int):
        self.deployment = deployment
        self.role = role
        self.zone = zone
        self.name = f"{role}-{zone}-{number}"
        third = deployment.octet
        self.ip = f"127.{30 if role == 'control' else 31}.{third}.{number}"
        self.folder = deployment.folder / self.name
        self.folder.mkdir()
        self.data = self.folder / "data"
        if role == "control":
            self.data.mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, seeds: list[str], bootstrap: bool) -> None:
        """Replace the settings file."""
        d = self.deployment
        is_core = self.role == "control"
        listen = (
            f'control = "{self.ip}:{d.control_port}"'
            if is_core
            else f'packet_addr = "{self.ip}:{d.packet_port}"\n'
            f'ready = "{self.ip}:{d.ready_port}"'
        )
        seed_list = ",".join(f'"{seed}:{d.control_port}"' for seed in seeds)
        zones = "\n".join(f'{zone} = "region"' for zone in ZONES)
        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        text = f'''node = "{self.name}"
role = "{self.role}"
class = "{"core" if is_core else "edge"}"
serves = ["{"ctrl" if is_core else "edge"}"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region"
internal_ports = [{d.peer_port},{d.peer_port}]
seeds = [{seed_list}]
bootstrap = {str(bootstrap).lower()}
fault_counted = {str(is_core).lower()}
discovery = "registry"
entry = "advertise"
heartbeat_ms = {int(HEARTBEAT_SECONDS * 1000)}
contracts = ["base","drain","config","cost","recover","flows","places"]
config_mode = "highest"
hash = "steady"
forwarding_mode = "echo"
data_dir = "{self.data if is_core else ""}"
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 0.645
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = {128 if is_core else 0}
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
'''
        path = self.folder / "settings.new"
        path.write_text(text)
        path.rename(self.folder / "settings.toml")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = self.deployment.commands[self.role]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["KINGCUPPULLEY_CONFIG"] = str(self.folder / "settings.toml")
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self.deployment.record.add(f"platform: starts {self.name} at {self.ip}")

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process and return the time."""
        assert self.process is not None
        self.process.send_signal(number)
        return self.deployment.record.add(f"platform: {number.name} to {self.name}")

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Three control hosts and some entry hosts, one process each."""

    def __init__(self, record: Record, entry_zones: tuple[str, ...]) -> None:
        self.record = record
        self.octet = 1 + os.getpid() % 250
        self.folder = Path(tempfile.mkdtemp(prefix="kingcuppulley-review-"))
        (
            self.peer_port,
            self.control_port,
            self.packet_port,
            self.ready_port,
        ) = free_ports(4)
        roles = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in roles["roles"].items()
        }
        self.controls = [
            Machine(self, "control", zone, number + 1)
            for number, zone in enumerate(ZONES)
        ]
        self.entries = [
            Machine(self, "entry", zone, number + 1)
            for number, zone in enumerate(entry_zones)
        ]

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return self.controls + self.entries

    def start(self) -> None:
        """Start every process for the first time."""
        seeds = [machine.ip for machine in self.controls]
        for machine in self.machines:
            machine.write_settings(seeds, bootstrap=True)
            machine.start()

    def end(self) -> None:
        """Kill every process and remove the temporary folder."""
        for machine in self.machines:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(
        self, machine: Machine, method: str, path: str, body: object = None
    ) -> tuple[int, bytes]:
        """Call a control host; the status is 0 without an answer within a second."""
        data = b"" if body is None else json.dumps(body).encode()
        connection = http.client.HTTPConnection(
            machine.ip, self.control_port, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            connection.request(method, path, data, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def order(self, path: str, body: object = None, seconds: float = 20.0) -> None:
        """Send an order of the operator until it is acknowledged."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for machine in self.controls:
                status, _ = self.call(machine, "POST", path, body)
                self.record.add(f"operator: POST {path} to {machine.name}: {status}")
                if status == 200:
                    return
                if 400 <= status < 500:
                    raise CannotRun(f"{path} was refused with {status}")
            time.sleep(0.2)
        raise CannotRun(f"{path} was not acknowledged")

    def is_ready(self, machine: Machine) -> bool:
        """Return whether an entry host answers the platform's probe with 200."""
        connection = http.client.HTTPConnection(
            machine.ip, self.ready_port, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            connection.request("GET", "/kingcuppulley/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def await_ready(self, seconds: float = 25.0) -> None:
        """Wait until every entry host is ready."""
        deadline = time.monotonic() + seconds
        while not all(self.is_ready(machine) for machine in self.entries):
            if time.monotonic() > deadline:
                raise CannotRun("the entry hosts are not ready")
            time.sleep(0.1)
        self.record.add("platform: every entry host is ready")


class CannotRun(Exception):
    """The case could not run."""


def configuration(
    version: int, services: dict[str, tuple[str, int]], warmup_per_s: float = 0.0
) -> dict[str, object]:
    """Return a configuration with one route for each service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}",
                "host": host,
                "path_prefix": f"/{port}/",
                "type": "safe",
                "timeout_ms": 2000,
                "slo_ms": 120,
                "priority": 2,
                "service": name,
                "attempts": 2,
            }
            for name, (host, port) in services.items()
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 2000,
                "proto": "h1",
                "tls": False,
                "warmup_s": 2.0,
                "warmup_per_s": warmup_per_s,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def pack(
    source: tuple[bytes, int],
    destination: tuple[bytes, int],
    flags: int,
    seq: int,
    ack: int,
    echo: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet of a client or a server."""
    head = HEADER.pack(
        seq,
        ack,
        0,
        destination[1],
        source[0],
        source[1],
        destination[0],
        echo,
        flags,
        b"\0\0\0",
        len(data),
    )
    total = zlib.crc32(head[:24] + head[28:] + data)
    return head[:8] + struct.pack("!I", total) + head[12:] + data


class Server:
    """One target: sends heartbeats, takes flows and answers their requests.

    It calls the control host of its zone, and the next one after a call without an
    answer within a second; then it stays with that one.
    """

    def __init__(
        self,
        deployment: Deployment,
        number: int,
        service: str,
        zone: str,
        warmup_seconds: float = 0.0,
        work_seconds: float = 0.0,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.work_seconds = work_seconds
        # Requests that began to run and were not answered when the server ended.
        self.cut_requests = 0
        self._answers: list[threading.Timer] = []
        self.identity = 0x2A000000 + number
        self.name = f"i-{self.identity:08x}"
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.warmup_seconds = warmup_seconds
        self.ip = f"127.32.{deployment.octet}.{number}"
        self.control = ZONES.index(zone)
        self.syn_arrivals: list[tuple[float, int]] = []
        # The same, with the client's address and port.
        self.syn_keys: list[tuple[float, tuple[str, int]]] = []
        self.runs: list[tuple[float, str]] = []
        # When a heartbeat with a state was sent and acknowledged, and by whom.
        self.acknowledged: list[tuple[float, float, str, Machine]] = []
        self._flows: dict[tuple[bytes, int], int] = {}
        self._sequence = 0
        self._is_over = False
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Listen, and register at the same time."""
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self._sequence = 0
        self._flows.clear()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.ip, self.deployment.packet_port))
        self._socket.settimeout(0.2)
        self._is_over = False
        self.record.add(
            f"server {self.name} of {self.service} in {self.zone} starts at {self.ip}"
        )
        threading.Thread(target=self._receive, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def drain(self) -> None:
        """Say `draining` from now on, at once for the first time."""
        self.state = "draining"
        self.record.add(f"server {self.name}: begins to drain")
        self._wake.set()

    def stop(self) -> None:
        """End at once: nothing is received, answered or sent any more."""
        if self._is_over:
            return
        self._is_over = True
        self._wake.set()
        for timer in self._answers:
            if timer.is_alive():
                timer.cancel()
                self.cut_requests += 1
        self.record.add(
            f"server {self.name}: ends while {self.cut_requests} requests run"
        )

    def heartbeat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        left = self.started_at + self.warmup_seconds - time.monotonic()
        return {
            "service": self.service,
            "addr": f"{self.ip}:{self.deployment.packet_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmup_left_ms": max(0, round(left * 1000)),
            "seq": self._sequence,
            "born": self.born,
        }

    def _send_heartbeats(self) -> None:
        controls = self.deployment.controls
        while not self._is_over:
            due_at = time.monotonic() + HEARTBEAT_SECONDS
            for _ in range(2 * len(controls)):
                machine = controls[self.control]
                body = self.heartbeat()
                sent_at = time.monotonic()
                status, _ = self.deployment.call(
                    machine,
                    "POST",
                    f"/kingcuppulley/targets/{self.name}/heartbeat",
                    body,
                )
                at = self.record.add(
                    f"server {self.name}: heartbeat seq {body['seq']} "
                    f"{body['state']} warmup_left_ms {body['warmup_left_ms']} to "
                    f"{machine.name}: {status or 'no answer'}"
                )
                if 200 <= status < 300:
                    self.acknowledged.append((sent_at, at, str(body["state"]), machine))
                    break
                self.control = (self.control + 1) % len(controls)
            self._wake.wait(max(0.0, due_at - time.monotonic()))
            self._wake.clear()

    def _receive(self) -> None:
        assert self._socket is not None
        while not self._is_over:
            try:
                datagram, _ = self._socket.recvfrom(4096)
            except TimeoutError:
                continue
            except OSError:
                return
            if len(datagram) >= 8 + HEADER.size:
                self._take(datagram)
        self._socket.close()

    def _take(self, datagram: bytes) -> None:
        at = time.monotonic()
        if int.from_bytes(datagram[:8], "big") not in (0, self.identity):
            return
        fields = HEADER.unpack_from(datagram, 8)
        seq, ack, _, dport, src, sport, dst, echo, flags, _, length = fields
        client, called = (src, sport), (dst, dport)
        data = datagram[8 + HEADER.size :]
        key = (src, sport)
        if flags & SYN:
            own = self._flows.setdefault(key, random.getrandbits(31))
            self.syn_arrivals.append((at, sport))
            self.syn_keys.append((at, (socket.inet_ntoa(src), sport)))
            self.record.add(f"server {self.name}: takes SYN {ack} of flow {sport}")
            self._answer(called, client, SYN | ACK, own, seq + 1, echo)
        elif key not in self._flows:
            if not flags & RST:
                self.record.add(f"server {self.name}: resets flow {sport}")
                self._answer(called, client, RST, 0, seq, echo)
        elif flags & (FIN | RST):
            del self._flows[key]
            if flags & FIN:
                self._answer(called, client, ACK, ack, seq + 1, echo)
        elif length:
            self.runs.append((at, data.decode("latin-1")))
            self.record.add(
                f"server {self.name}: runs the request of flow {sport}: "
                + data.decode("latin-1").split("\r\n")[0]
            )
            answer = (
                f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                f"X-Target-Stamp: {self.name}\r\n\r\nok"
            ).encode()
            self._finish(called, client, ACK, ack, seq + length, echo, answer)

    def _finish(self, *answer) -> None:
        """Answer a request once its work is done."""
        if not self.work_seconds:
            self._answer(*answer)
            return
        self._answers = [timer for timer in self._answers if timer.is_alive()]
        timer = threading.Timer(self.work_seconds, self._answer, answer)
        timer.daemon = True
        self._answers.append(timer)
        timer.start()

    def _answer(
        self,
        source: tuple[bytes, int],
        client: tuple[bytes, int],
        flags: int,
        seq: int,
        ack: int,
        echo: int,
        data: bytes = b"",
    ) -> None:
        assert self._socket is not None
        packet = pack(
            source, client, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, data
        )
        address = (socket.inet_ntoa(client[0]), self.deployment.packet_port)
        try:
            self._socket.sendto(packet, address)
        except OSError:
            if not self._is_over:
                raise


class _Flow:
    def __init__(self, port: int, route: tuple[str, int], entry: Machine) -> None:
        self.port = port
        self.route = route
        self.entry = entry
        self.began_at = time.monotonic()
        self.sent = 0
        self.seq = random.getrandbits(31)
        self.is_open = False
        self.is_over = False
        self.echo = 0
        self.server_seq = 0


class Client:
    """Clients of one zone: open a flow for each request, through the entry hosts."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.ip = f"127.33.{deployment.octet}.{number}"
        self._address = socket.inet_aton(self.ip)
        self._flows: dict[int, _Flow] = {}
        self._next_port = 40_000
        self._is_over = False
        self._lock = threading.Lock()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.ip, deployment.packet_port))
        self._socket.settimeout(0.01)
        # When the first opening packet of each flow was sent, by port.
        self.first_sent: dict[int, float] = {}
        self.answered = 0
        self.resets = 0
        self.asked = 0

    def start(self, route: tuple[str, int], per_second: float, choose_entry) -> None:
        """Open flows of a route at a rate, each through `choose_entry()`."""
        threading.Thread(target=self._receive, daemon=True).start()
        threading.Thread(
            target=self._ask, args=(route, per_second, choose_entry), daemon=True
        ).start()

    def stop(self) -> None:
        """Open no more flows."""
        self._is_over = True

    def _ask(self, route, per_second, choose_entry) -> None:
        due_at = time.monotonic()
        while not self._is_over:
            due_at += 1 / per_second
            time.sleep(max(0.0, due_at - time.monotonic()))
            with self._lock:
                self._next_port += 1
                flow = _Flow(self._next_port, route, choose_entry())
                self._flows[flow.port] = flow
                self.first_sent[flow.port] = flow.began_at
                self.asked += 1
            self.record.add(f"client: opens flow {flow.port} by {flow.entry.name}")
            self._send_syn(flow)

    def _send(self, flow, flags, seq, ack, data=b"") -> None:
        route = (socket.inet_aton(flow.route[0]), flow.route[1])
        packet = pack(
            (self._address, flow.port),
            route,
            flags,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            flow.echo,
            data,
        )
        try:
            self._socket.sendto(packet, (flow.entry.ip, self.deployment.packet_port))
        except OSError:
            if not self._is_over:
                raise

    def _send_syn(self, flow) -> None:
        self._send(flow, SYN, flow.seq, flow.sent)
        flow.sent += 1

    def _receive(self) -> None:
        while not self._is_over:
            try:
                packet, _ = self._socket.recvfrom(4096)
                with self._lock:
                    self._take(packet)
            except TimeoutError:
                pass
            except OSError:
                return
            with self._lock:
                self._tick()
        self._socket.close()

    def _tick(self) -> None:
        now = time.monotonic()
        for port, flow in list(self._flows.items()):
            age = now - flow.began_at
            if flow.is_over or age > 5.0:
                del self._flows[port]
            elif flow.is_open:
                continue
            elif flow.sent < len(SYN_TIMES) and age >= SYN_TIMES[flow.sent]:
                self._send_syn(flow)
            elif age >= 1.4:
                self.record.add(f"client: flow {port} was not opened in 1.4 s")
                flow.is_over = True

    def _take(self, packet: bytes) -> None:
        fields = HEADER.unpack_from(packet)
        seq, ack, _, dport, _, _, _, echo, flags, _, length = fields
        flow = self._flows.get(dport)
        if flow is None or flow.is_over:
            return
        if flags & RST:
            self.resets += 1
            self.record.add(f"client: flow {dport} is reset")
            flow.is_over = True
        elif flags & SYN and not flow.is_open:
            flow.is_open = True
            flow.echo = echo
            flow.server_seq = seq
            data = (
                f"GET /{flow.port} HTTP/1.1\r\nHost: x\r\nX-Try-Id: {flow.port}\r\n\r\n"
            ).encode()
            self._send(flow, ACK, flow.seq + 1, seq + 1, data)
        elif length and flow.is_open:
            flow.is_over = True
            self.answered += 1
            self._send(flow, ACK | FIN, ack, seq + length)


def run_case(folder: Path, case) -> int:
    """Run `case(record, has_trouble)`; return 1 if the rule was broken, else 0 or 2."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # End the started processes also if the script is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record.add(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        broken = case(record, has_trouble)
    except CannotRun as error:
        record.add(f"the case could not run: {error}")
        print(f"could not run: {error}")
        return 2
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    verdict = f"rule broken: {broken}" if broken else "rule held"
    record.add(verdict)
    print(verdict)
    return 1 if broken else 0
