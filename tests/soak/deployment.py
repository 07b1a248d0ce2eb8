"""Run the real processes of a small deployment on loopback addresses.

Only processes that were started here are signalled and ended.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

PEER_PORT = 27720
PACKET_PORT = 28172
READY_PORT = 28167
CONTROL_PORT = 28166
ZONES = ["zone-a", "zone-b", "zone-c"]


class Node:
    """One control host or entry host: its process, settings and data.

    `is_stopped` says that the process is paused by SIGSTOP.
    """

    def __init__(self, folder: Path, role: str, number: int) -> None:
        self.role = role
        self.name = f"{role}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.address = f"127.{30 if role == 'control' else 31}.0.{number + 1}"
        self.data = folder / self.name / "data"
        self.is_stopped = False
        self._is_over = False
        self._file = folder / self.name / "settings.toml"
        self._log = folder / self.name / "log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process runs or is paused."""
        return self._process is not None and self._process.poll() is None

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
        zone_settings = "\n".join(f'{zone} = "region"' for zone in ZONES)
        self._file.write_text(
            f'node = "{self.name}"\nip = "{self.address}"\nzone = "{self.zone}"\n'
            f"internal_ports = [{PEER_PORT}, {PEER_PORT + 15}]\n"
            f"seeds = [{seed_addresses}]\nbootstrap = {str(is_first).lower()}\n"
            f'heartbeat_ms = 500\ndata_dir = "{self.data}"\n'
            f"[zones]\n{zone_settings}\n[listen]\n{listen_settings}\n"
            "[tolerate]\nmachines = 1\n"
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
        self.is_stopped = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                # A paused process receives other signals only after it resumes.
                self.is_stopped = number is signal.SIGSTOP

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

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
