"""Start the programs of the deploy file as separate processes on loopback addresses.

Only processes that were started here are signalled and ended, by their ids.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ["zone-a", "zone-b", "zone-c"]
HEARTBEAT_MS = 1200
CALL_TIMEOUT_SECONDS = 1.0


def free_port(kind):
    """Return a port that nothing uses on any loopback address now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("0.0.0.0", 0))
        return probe.getsockname()[1]


class Record:
    """Write what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")
        self._file.flush()


class Node:
    """One process of the deploy file, with its settings and data."""

    def __init__(self, deployment, role, number, zone):
        self.deployment = deployment
        self.role = role
        self.zone = zone
        self.name = f"{role}-{number + 1}"
        octet = 101 if role == "control" else 102
        self.ip = f"127.{octet}.{deployment.octet}.{number + 1}"
        self.folder = deployment.folder / self.name
        self.process = None

    def write_settings(self, is_first_start):
        self.prepare_settings(is_first_start)
        self.replace_settings()

    def replace_settings(self):
        """Put the prepared file in place; a process never reads a part of it."""
        os.replace(self.folder / "settings.new", self.folder / "settings.toml")

    def prepare_settings(self, is_first_start):
        d = self.deployment
        (self.folder / "data").mkdir(parents=True, exist_ok=True)
        if self.role == "control":
            listen = f'control = "{self.ip}:{d.control_port}"'
        else:
            listen = (
                f'packet_addr = "{self.ip}:{d.packet_port}"\n'
                f'ready = "{self.ip}:{d.ready_port}"'
            )
        seeds = ", ".join(f'"{c.ip}:{d.control_port}"' for c in d.controls[:3])
        zones = "\n".join(f'{zone} = "region"' for zone in ZONES)
        data = f'data_dir = "{self.folder}/data"\n' if self.role == "control" else ""
        text = (
            f'node = "{self.name}"\nrole = "{self.role}"\n'
            f'class = "{"core" if self.role == "control" else "edge"}"\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "region"\n'
            f"internal_ports = [{d.peer_port}, {d.peer_port + 15}]\n"
            f"seeds = [{seeds}]\nbootstrap = {str(is_first_start).lower()}\n"
            f'discovery = "registry"\nentry = "advertise"\n'
            f"heartbeat_ms = {HEARTBEAT_MS}\nconfig_mode = \"highest\"\n"
            f'hash = "steady"\nforwarding_mode = "echo"\n{data}'
            f"[zones]\n{zones}\n[listen]\n{listen}\n"
            "[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 300\n"
            "max_fds = 4096\nlink_mbps = 1000.0\n"
            "[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n"
            "[bounds]\ngrace_s = 6.0\n"
        )
        with open(self.folder / "settings.new", "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())

    def start(self, is_first_start=False, writes_settings=True):
        if writes_settings:
            self.write_settings(is_first_start)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "KINGCUPPULLEY_CONFIG": str(self.folder / "settings.toml"),
        }
        command = ["python3", "-S", "-m", "kingcuppulley.platform", self.role]
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        """Kill the process, also while it is paused, and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_events(self):
        """Return the events that the process has logged."""
        events = []
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events


class Deployment:
    """Three control hosts and some entry hosts, one of each in a zone by turns."""

    def __init__(self, entries, entry_zones=None):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.octet = 1 + os.getpid() % 250
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.packet_port = free_port(socket.SOCK_DGRAM)
        self.control_port = free_port(socket.SOCK_STREAM)
        self.ready_port = free_port(socket.SOCK_STREAM)
        self.controls = [Node(self, "control", n, ZONES[n]) for n in range(3)]
        zones = entry_zones or [ZONES[n % 3] for n in range(entries)]
        self.entries = [Node(self, "entry", n, zones[n]) for n in range(entries)]

    @property
    def nodes(self):
        return self.controls + self.entries

    def start(self):
        for node in self.nodes:
            node.start(is_first_start=True)

    def end(self):
        """Kill every process, and delete the temporary folder."""
        for node in self.nodes:
            node.kill()
        if "KEEP" in os.environ:
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, node, method, path, body=None, timeout=CALL_TIMEOUT_SECONDS):
        """Call a control host; return the status and body, or 0 without an answer."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            with socket.create_connection(
                (node.ip, self.control_port), timeout=timeout
            ) as connection:
                connection.sendall(request_bytes(method, path, data))
                answer = b""
                while chunk := connection.recv(65536):
                    answer += chunk
        except OSError:
            return 0, b""
        head, _, content = answer.partition(b"\r\n\r\n")
        return (int(head.split()[1]) if head else 0), content

    def call_any(self, method, path, body=None, deadline_seconds=10.0):
        """Call the control hosts in turn until one answers with 200; return it."""
        deadline = time.monotonic() + deadline_seconds
        while time.monotonic() < deadline:
            for node in self.controls:
                status, _ = self.call(node, method, path, body)
                if status == 200:
                    return node
            time.sleep(0.1)
        raise RuntimeError(f"no control host took {path}")

    def is_ready(self, node):
        """Probe an entry host as the platform does."""
        try:
            with socket.create_connection(
                (node.ip, self.ready_port), timeout=0.5
            ) as connection:
                connection.sendall(request_bytes("GET", "/kingcuppulley/ready", b""))
                return b" 200 " in connection.recv(4096)
        except OSError:
            return False

    def wait_ready(self, seconds=15.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(self.is_ready(entry) for entry in self.entries):
                return
            time.sleep(0.1)
        raise RuntimeError("an entry host did not become ready")


def request_bytes(method, path, data):
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    if data:
        head += "Content-Type: application/json\r\n"
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data


def make_configuration(version, routes, services, warmup_per_s=0.0):
    """Return a configuration; `routes` has (name, host, port, service) for each."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "path_prefix": f"/{port}/",
                "type": "safe",
                "timeout_ms": 1500,
                "slo_ms": 150,
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            for name, host, port, service in routes
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


STOP, CONTINUE = signal.SIGSTOP, signal.SIGCONT
