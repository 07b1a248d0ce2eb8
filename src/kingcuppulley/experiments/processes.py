"""Start the processes of a small deployment on loopback, and end them by their id."""

from __future__ import annotations

import hashlib
import json
import math
import os
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kingcuppulley.operators.client import (
    AdministrationClient,
    AdministrationError,
    UnreachableError,
)
from kingcuppulley.stand_ins.backend_server import Account, BackendServerSettings

OPERATOR_TOKEN = "operator-token"
ACCOUNT_TOKEN = "account-token"
READY_SECONDS = 30.0
END_SECONDS = 15.0
FABRIC_PORT = 6080
CALLER_HOST_NUMBER = 200
ADMINISTRATION_PORT = 7080


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Say how many processes of each kind a deployment has, by zone."""

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    entry_hosts: tuple[str, ...] = (
        "zone-a",
        "zone-a",
        "zone-a",
        "zone-b",
        "zone-b",
        "zone-c",
        "zone-c",
    )
    control_hosts: int = 3
    flow_generation_seconds: float = 60.0
    writes_traces: bool = False


class ServicePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one service of the deployment and its backend servers."""

    name: str
    address: str
    port: int
    tier: str
    target_zones: tuple[str, ...]
    service_seconds: float = 0.05
    cold_seconds: float = 1.5
    falls_cold_after: float = 0.0
    slots: int = 2
    cold_slots: int = 1

    @property
    def identity(self) -> str:
        """Return the service's name within its client account."""
        return f"{self.name}/{self.name}"


class Deployment:
    """Own the processes of one deployment and the folder that they write to."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        self._folder = folder
        self._plan = plan
        # Each deployment takes a block of loopback addresses after its own process,
        # so that two of them on one machine do not meet.
        self._block = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._accounts: dict[str, Path] = {}
        self._target_count = 0
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def plan(self) -> Plan:
        """Return how many processes of each kind there are."""
        return self._plan

    @property
    def entry_names(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [f"entry-{n + 1}" for n in range(len(self._plan.entry_hosts))]

    @property
    def control_names(self) -> list[str]:
        """Return the names of the control hosts."""
        return [f"control-{n + 1}" for n in range(self._plan.control_hosts)]

    @property
    def return_address(self) -> tuple[str, int]:
        """Return where the fabric takes resets."""
        return (f"{self._block}.{CALLER_HOST_NUMBER}", 6081)

    def entry_host(self, name: str) -> str:
        """Return the address of an entry host."""
        return f"{self._block}.{int(name.rpartition('-')[2])}"

    def control_host(self, name: str) -> str:
        """Return the address of a control host."""
        return f"{self._block}.{50 + int(name.rpartition('-')[2])}"

    def fabric_address(self, name: str) -> tuple[str, int]:
        """Return where an entry host takes packets from the fabric."""
        return (self.entry_host(name), FABRIC_PORT)

    def target_address(self, name: str) -> str:
        """Return where a backend server takes requests."""
        return f"{self._block}.{100 + int(name.rpartition('-')[2])}:9080"

    def process_id(self, name: str) -> int:
        """Return the process id of a part."""
        return self._processes[name].pid

    def client(self, control: str = "control-1") -> AdministrationClient:
        """Return an operator's client of a control host."""
        address = f"{self.control_host(control)}:{ADMINISTRATION_PORT}"
        return AdministrationClient(address, OPERATOR_TOKEN)

    def start_system(self) -> None:
        """Start every control host and entry host."""
        for name in self.control_names:
            file = self._write_settings(name, self._control_settings(name))
            subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "kingcuppulley",
                    "control",
                    file,
                    "--initialise",
                ],
                check=True,
            )
            self.start_control(name)
        for name in self.entry_names:
            self.start_entry(name)

    def bring_up(
        self,
        services: list[ServicePlan],
        on_accepted: Callable[[Any], None] = lambda _: None,
    ) -> None:
        """Start everything, tell of each acceptance at once, and wait until ready."""
        self.start_system()
        self.wait_until_control_votes()
        for service in services:
            on_accepted(self.accept_service(service))
        for service in services:
            for zone in service.target_zones:
                self.start_target(service, zone)
        self.wait_until_ready(services)

    def start_control(self, name: str) -> None:
        """Start a control host with the data folder that it has."""
        file = self._write_settings(name, self._control_settings(name))
        self._start(name, ["kingcuppulley", "control", file])

    def start_entry(self, name: str) -> None:
        """Start an entry host."""
        file = self._write_settings(name, self._entry_settings(name))
        self._start(name, ["kingcuppulley", "entry", file])

    def start_target(self, service: ServicePlan, zone: str) -> str:
        """Start one more backend server of a service and return its name."""
        self._target_count += 1
        number = self._target_count
        name = f"{service.name}-{number}"
        local = [
            f"{self.entry_host(entry)}:{ADMINISTRATION_PORT}"
            for entry, entry_zone in zip(
                self.entry_names, self._plan.entry_hosts, strict=True
            )
            if entry_zone == zone
        ]
        settings = BackendServerSettings(
            name=name,
            service=service.identity,
            zone=zone,
            host=f"{self._block}.{100 + number}",
            request_port=9080,
            packet_port=9081,
            service_address=service.address,
            service_port=service.port,
            token=ACCOUNT_TOKEN,
            announce_to=local,
            service_seconds=service.service_seconds,
            cold_seconds=service.cold_seconds,
            falls_cold_after=service.falls_cold_after,
            slots=service.slots,
            cold_slots=service.cold_slots,
            seed=number,
        )
        file = self._folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(settings))
        account = self._folder / f"{name}.account.json"
        self._accounts[name] = account
        module = "kingcuppulley.stand_ins.backend_server"
        self._start(name, [module, str(file), str(account)])
        return name

    def accept_service(self, service: ServicePlan, slots: int | None = None) -> Any:
        """Accept a service's template and client account as an operator."""
        template = {
            "name": service.name,
            "parameters": [
                {"name": "address", "kind": "address"},
                {"name": "slots", "kind": "integer", "default": 2, "minimum": 1},
                {"name": "zones", "kind": "zones"},
            ],
            "services": [
                {
                    "name": service.name,
                    "address": "${address}",
                    "port": service.port,
                    "protocol": "tcp",
                    "tier": service.tier,
                    "zones": "${zones}",
                    "slots": "${slots}",
                    "cold_slots": service.cold_slots,
                    "cold_seconds": math.ceil(service.cold_seconds),
                }
            ],
        }
        account = {
            "name": service.name,
            "template": service.name,
            "announcement_token_hash": _hash(ACCOUNT_TOKEN),
            "parameters": {
                "address": service.address,
                "zones": list(self._plan.zones),
                "slots": slots or service.slots,
            },
        }
        client = self.client()
        client.change(f"/templates/{service.name}", template)
        return client.change(f"/accounts/{service.name}", account)

    def entry_status(self, name: str) -> dict[str, Any] | None:
        """Return what an entry host says of itself, or None if it is silent."""
        url = f"http://{self.entry_host(name)}:{ADMINISTRATION_PORT}/status"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                status: dict[str, Any] = json.loads(response.read())
                return status
        except (OSError, ValueError):
            return None

    def metrics(self, name: str) -> dict[str, float]:
        """Return the figures of an entry host, or none if it is silent."""
        url = f"http://{self.entry_host(name)}:{ADMINISTRATION_PORT}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                text = response.read().decode()
        except OSError:
            return {}
        rows = [line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#"]
        return {row[0]: float(row[1]) for row in rows if len(row) == 2}

    def wait_until_control_votes(self) -> None:
        """Wait until every control host votes."""
        deadline = time.monotonic() + READY_SECONDS
        for name in self.control_names:
            while self._control_state(name) != "voting":
                _check_deadline(deadline, f"{name} does not vote")

    def wait_until_ready(self, services: list[ServicePlan]) -> None:
        """Wait until every entry host sees every host and every backend server."""
        deadline = time.monotonic() + READY_SECONDS
        wanted = sum(len(service.target_zones) for service in services)
        for name in self.entry_names:
            while not self._is_ready(name, wanted):
                _check_deadline(deadline, f"{name} is not ready")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process that this deployment started."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process that this deployment started."""
        self.signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def end(self, name: str) -> int:
        """Ask one process to end and return its exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(END_SECONDS)

    def end_all(self) -> None:
        """End every process, the backend servers first, so that they write accounts."""
        names = sorted(self._processes, key=lambda name: name not in self._accounts)
        for name in names:
            self._processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self._processes.pop(name)
            try:
                process.wait(END_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def accounts(self) -> list[Account]:
        """Return what the backend servers counted; those that ended have written."""
        return [
            msgspec.json.decode(file.read_bytes(), type=Account)
            for file in self._accounts.values()
            if file.exists()
        ]

    def data_folder(self, control: str) -> Path:
        """Return the data folder of a control host."""
        return self._folder / f"{control}-data"

    def trace_file(self, entry: str) -> Path:
        """Return the file that an entry host writes its spans to."""
        return self._folder / f"{entry}.spans"

    def _start(self, name: str, arguments: list[str]) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", *arguments]
        self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def _write_settings(self, name: str, text: str) -> str:
        file = self._folder / f"{name}.toml"
        file.write_text(text)
        return str(file)

    def _control_settings(self, name: str) -> str:
        return (
            f'name = "{name}"\n'
            f'data_folder = "{self.data_folder(name)}"\n'
            "[administration]\n"
            f'listen_host = "{self.control_host(name)}"\n'
            f"listen_port = {ADMINISTRATION_PORT}\n"
            f"{self._control_list()}"
            "[[operators]]\n"
            'name = "maja"\n'
            f'token_hash = "{_hash(OPERATOR_TOKEN)}"\n'
        )

    def _entry_settings(self, name: str) -> str:
        host = self.entry_host(name)
        return_host, return_port = self.return_address
        hosts = "".join(
            "[[entry_hosts]]\n"
            f'name = "{entry}"\nzone = "{zone}"\nhost = "{self.entry_host(entry)}"\n'
            "peer_port = 7001\ncontrol_port = 7002\npacket_port = 7003\n"
            for entry, zone in zip(
                self.entry_names, self._plan.entry_hosts, strict=True
            )
        )
        return (
            f'name = "{name}"\n'
            "[fabric]\n"
            f'listen_host = "{host}"\nlisten_port = {FABRIC_PORT}\n'
            f'return_host = "{return_host}"\nreturn_port = {return_port}\n'
            f"flow_generation_seconds = {self._plan.flow_generation_seconds}\n"
            "[callers]\n"
            f'listen_host = "{host}"\n'
            "[administration]\n"
            f'listen_host = "{host}"\nlisten_port = {ADMINISTRATION_PORT}\n'
            "[traces]\n"
            f'file = "{self.trace_file(name) if self._plan.writes_traces else ""}"\n'
            f"{hosts}{self._control_list()}"
        )

    def _control_list(self) -> str:
        return "".join(
            "[[control_hosts]]\n"
            f'name = "{name}"\nhost = "{self.control_host(name)}"\nport = 7100\n'
            for name in self.control_names
        )

    def _control_state(self, name: str) -> str:
        try:
            return str(self.client(name).get("/status")["state"])
        except (UnreachableError, AdministrationError):
            return ""

    def _is_ready(self, name: str, targets: int) -> bool:
        status = self.entry_status(name)
        if status is None or len(status["live_hosts"]) != len(self.entry_names):
            return False
        states = status["backend_servers"].values()
        return sum(1 for state in states if state in ("cold", "warm")) == targets


def _hash(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _check_deadline(deadline: float, complaint: str) -> None:
    if time.monotonic() > deadline:
        raise TimeoutError(f"{complaint} after {READY_SECONDS} s; read its log")
    time.sleep(0.1)
