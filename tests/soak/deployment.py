"""Run the real processes of a small deployment on loopback addresses.

Only processes that were started here are signalled and ended.
"""

from __future__ import annotations

import math
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random

PEER_PORT = 27720
PACKET_PORT = 28172
READY_PORT = 28167
CONTROL_PORT = 28166
METRICS_PORT = 9464
# Differs between the runs of one machine, so that they can run at the same time.
RUN_OCTET = 1 + os.getpid() % 250
ZONES = ["zone-a", "zone-b", "zone-c"]


class Node:
    """One control host or entry host: its process, settings and data.

    `is_stopped` says that the process is paused by SIGSTOP. `steady_since` is when a
    flow was first opened through an entry host after its last fault; until then it is
    infinite.
    """

    def __init__(self, folder: Path, role: str, number: int) -> None:
        self.role = role
        self.name = f"{role}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.address = f"127.{30 if role == 'control' else 31}.{RUN_OCTET}.{number + 1}"
        self.data = folder / self.name / "data"
        self.is_stopped = False
        self.limits: dict[str, float] = {}
        self.steady_since = math.inf
        self._fault_ended_at = math.inf
        self._is_leaving = False
        self._is_over = False
        self._file = folder / self.name / "settings.toml"
        self._log = folder / self.name / "log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process runs or is paused."""
        return self._process is not None and self._process.poll() is None

    @property
    def link_bytes_per_second(self) -> float:
        """Return the rate of the host's link."""
        return self.limits["link_mbps"] * 1_000_000 / 8

    def record_opened_flow(self, asked_at: float) -> None:
        """Take the host for steady if its last fault ended before the flow began."""
        if asked_at > self._fault_ended_at:
            self.steady_since = min(self.steady_since, time.monotonic())

    def _record_fault(self, ended_at: float = math.inf) -> None:
        self._fault_ended_at = ended_at
        self.steady_since = math.inf

    def write_settings(self, seeds: list[str], is_first: bool) -> None:
        """Write the settings file; `is_first` is for the deployment's first start."""
        self.data.mkdir(parents=True, exist_ok=True)
        listen_settings = f'control = "{self.address}:{CONTROL_PORT}"'
        if self.role == "entry":
            listen_settings = (
                f'packet_addr = "{self.address}:{PACKET_PORT}"\n'
                f'ready = "{self.address}:{READY_PORT}"'
            )
        seed_addresses = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds)
        limits = "\n".join(f"{name} = {limit}" for name, limit in self.limits.items())
        zone_settings = "\n".join(f'{zone} = "region"' for zone in ZONES)
        self._file.write_text(
            f'node = "{self.name}"\nip = "{self.address}"\nzone = "{self.zone}"\n'
            f"internal_ports = [{PEER_PORT}, {PEER_PORT + 15}]\n"
            f"seeds = [{seed_addresses}]\nbootstrap = {str(is_first).lower()}\n"
            f'heartbeat_ms = 500\ndata_dir = "{self.data}"\n'
            f"[zones]\n{zone_settings}\n[listen]\n{listen_settings}\n"
            f"[tolerate]\nmachines = 1\n[limits]\n{limits}\n"
        )

    def end(self) -> None:
        """Kill the process for good: a later `start()`, as by a timer, does nothing."""
        self._is_over = True
        self.kill()

    def start(self) -> None:
        """Start the process, unless `end()` was called."""
        if self._is_over:
            return
        environment = {**os.environ, "KINGCUPPULLEY_CONFIG": str(self._file)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "kingcuppulley.platform", self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_stopped = self._is_leaving = False
        self._record_fault(ended_at=time.monotonic())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                # A paused process receives other signals only after it resumes.
                self.is_stopped = number is signal.SIGSTOP
            self._is_leaving |= number is signal.SIGTERM
            if number is signal.SIGCONT and not self._is_leaving:
                self._record_fault(ended_at=time.monotonic())
            elif number is not signal.SIGHUP:
                self._record_fault()

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._record_fault()

    def wipe(self) -> None:
        """Delete the data of a process that has ended."""
        shutil.rmtree(self.data)


class Deployment:
    """All control hosts and entry hosts of one run."""

    def __init__(self, folder: Path, controls: int, entries: int) -> None:
        self.controls = [Node(folder, "control", number) for number in range(controls)]
        self.entries = [Node(folder, "entry", number) for number in range(entries)]
        self.seeds = [node.address for node in self.controls[:3]]

    @property
    def nodes(self) -> list[Node]:
        """Return the control hosts, then the entry hosts."""
        return self.controls + self.entries

    def draw_limits(self, random: Random) -> None:
        """Draw uneven limits; in the first zone, only the coordinator is strong."""
        first, second, third, last = self.entries
        self.coordinator, self.substitute = random.sample([first, last], 2)
        strong = [self.coordinator, random.choice([second, third])]
        for node in self.entries:
            cores, least_mbps = (4.0, 3.5) if node in strong else (1.0, 2.0)
            node.limits = {
                "cpu_share": round(random.uniform(0.12, 0.2), 3),
                "cores": cores,
                "link_mbps": round(random.uniform(least_mbps, least_mbps + 1.5), 2),
            }

    def start(self) -> None:
        """Write the settings of a first start and start every process."""
        for node in self.nodes:
            node.write_settings(self.seeds, is_first=True)
            node.start()

    def write_restart_settings(self) -> None:
        """Write settings for later starts, which do not initialise a deployment."""
        for node in self.nodes:
            node.write_settings(self.seeds, is_first=False)

    def restore(self) -> None:
        """Resume paused processes and start those that have ended."""
        for node in self.nodes:
            if node.is_stopped:
                node.signal(signal.SIGCONT)
            if not node.is_running:
                node.start()

    def stop(self) -> None:
        """Kill every process; none is started again."""
        for node in self.nodes:
            node.end()
