"""Start the programs of the deploy file on loopback addresses, and end them.

Settings are those of a small deployment, with the bounds of `veriga-sofia`.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
ZONES = ("zone-a", "zone-b", "zone-c")
METRICS_PORT = 9464
HEARTBEAT_SECONDS = 1.2
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


class CannotRun(Exception):
    """The case could not run: exit status 2."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, file: Path) -> None:
        self._stream = file.open("w")
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._stream.write(f"{self.now():8.3f} {text}\n")
        self._stream.flush()


class Addresses:
    """Give out loopback addresses that no other process uses, and free ports."""

    def __init__(self) -> None:
        chooser = random.Random()
        for _ in range(50):
            self._prefix = f"127.{chooser.randint(40, 250)}.{chooser.randint(1, 250)}"
            base = chooser.randrange(20_000, 60_000, 50)
            self.peer_ports = (base, base + 15)
            self.packet_port = base + 20
            self.ready_port = base + 21
            self.control_port = base + 22
            if self._is_free():
                return
        raise CannotRun("no free loopback addresses and ports")

    def host(self, number: int) -> str:
        """Return the loopback address with a number."""
        return f"{self._prefix}.{number}"

    def _is_free(self) -> bool:
        ports = [self.peer_ports[0], self.packet_port, self.ready_port]
        for number in range(1, 60):
            for port in [*ports, self.control_port, METRICS_PORT]:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        try:
                            probe.bind((self.host(number), port))
                        except OSError:
                            return False
        return True


class Node:
    """One machine of the system: its settings file, data folder and process."""

    def __init__(
        self,
        folder: Path,
        role: str,
        name: str,
        zone: str,
        ip: str,
        addresses: Addresses,
        record: Record,
    ) -> None:
        self.role, self.name, self.zone, self.ip = role, name, zone, ip
        self.process: subprocess.Popen[bytes] | None = None
        self._addresses, self._record = addresses, record
        self._folder = folder / name
        self._folder.mkdir(parents=True)
        (self._folder / "data").mkdir()
        self.settings_file = self._folder / "settings.toml"

    def write_settings(self, seeds: list[str], bootstrap: bool) -> None:
        """Write the settings file; `bootstrap` is for the deployment's first start."""
        is_core = self.role == "control"
        ports = self._addresses
        lines = [
            f'node = "{self.name}"',
            f'role = "{self.role}"',
            f'class = "{"core" if is_core else "edge"}"',
            f'serves = ["{"ctrl" if is_core else "edge"}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "region"',
            f"internal_ports = [{ports.peer_ports[0]},{ports.peer_ports[1]}]",
            "seeds = [" + ",".join(f'"{seed}"' for seed in seeds) + "]",
            f"bootstrap = {str(bootstrap).lower()}",
            f"fault_counted = {str(is_core).lower()}",
            'discovery = "registry"',
            'entry = "advertise"',
            f"heartbeat_ms = {round(HEARTBEAT_SECONDS * 1000)}",
            'contracts = ["base","drain","config","cost","recover","flows","places"]',
            'config_mode = "highest"',
            'hash = "steady"',
            'forwarding_mode = "echo"',
        ]
        if is_core:
            lines.append(f'data_dir = "{self._folder / "data"}"')
        lines += ["[zones]", *(f'{zone} = "region"' for zone in ZONES), "[listen]"]
        if is_core:
            lines.append(f'control = "{self.ip}:{ports.control_port}"')
        else:
            lines.append(f'packet_addr = "{self.ip}:{ports.packet_port}"')
            lines.append(f'ready = "{self.ip}:{ports.ready_port}"')
        share, cores = (0.645, 2) if is_core else (0.236, 1)
        lines += [
            "[limits]",
            f"cpu_share = {share}",
            f"cores = {cores}",
            "memory_mb = 300",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            f"disk_mb = {128 if is_core else 0}",
            "[tolerate]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
        ]
        self.settings_file.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["KINGCUPPULLEY_CONFIG"] = str(self.settings_file)
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"{self.name} started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)
            self._record.write(f"{self.name} got {number.name}")

    def kill(self) -> None:
        """Kill the process if it runs, and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self._record.write(f"{self.name} killed")
        if self.process is not None:
            self.process.wait()

    def log_tail(self) -> str:
        """Return the end of the process's output."""
        return (self._folder / "log").read_text()[-600:]


class Deployment:
    """Control hosts, one a zone in turn, and entry hosts of the zones named."""

    def __init__(
        self, folder: Path, record: Record, entry_zones: tuple[str, ...], controls=3
    ) -> None:
        self.addresses = Addresses()
        self.controls = [
            Node(
                folder,
                "control",
                f"core-{number + 1}",
                ZONES[number % len(ZONES)],
                self.addresses.host(number + 1),
                self.addresses,
                record,
            )
            for number in range(controls)
        ]
        self.entries = [
            Node(
                folder,
                "entry",
                f"edge-{number + 1}",
                zone,
                self.addresses.host(number + 11),
                self.addresses,
                record,
            )
            for number, zone in enumerate(entry_zones)
        ]
        port = self.addresses.control_port
        self.seeds = [f"{node.ip}:{port}" for node in self.controls[:3]]

    @property
    def nodes(self) -> list[Node]:
        """Return the control hosts, then the entry hosts."""
        return self.controls + self.entries

    def start(self) -> None:
        """Write the settings of a first start, and start every process."""
        if not (REPOSITORY / "target/deps/kingcuppulley").is_dir():
            raise CannotRun("run the build of deploy/system.toml first")
        for node in self.nodes:
            node.write_settings(self.seeds, bootstrap=True)
            node.start()

    def end_first_start(self) -> None:
        """Write the settings for all later starts."""
        for node in self.nodes:
            node.write_settings(self.seeds, bootstrap=False)

    def stop(self) -> None:
        """Kill every process."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
            node.kill()
