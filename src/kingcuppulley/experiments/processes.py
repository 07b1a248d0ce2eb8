"""Run the processes of a small deployment on loopback addresses.

A deployment has control hosts, entry hosts and stand-ins for backend servers. Processes
are signalled and ended by their process id only.
"""

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
from kingcuppulley.stand_ins.backend_server import BackendServerSettings, ServerAccount

OPERATOR_TOKEN = "operator-token"
ACCOUNT_TOKEN = "account-token"
READY_TIMEOUT_SECONDS = 30.0
EXIT_TIMEOUT_SECONDS = 15.0
FABRIC_PORT = 6080
# Last octet of the address at which the fabric receives resets.
RETURN_HOST_NUMBER = 200
ADMINISTRATION_PORT = 7080


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The hosts of a deployment.

    `entry_hosts` gives the zone of each entry host, in the order of their numbers.
    `zones` lists the zones that every service is accepted for.
    """

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
    """One service of a deployment and its backend servers.

    `target_zones` gives the zone of each backend server. `service_seconds` and the
    fields after it are settings of the backend servers; see `BackendServerSettings`.
    """

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
        """Return the name of the service, qualified by its client account."""
        return f"{self.name}/{self.name}"


class Deployment:
    """The processes of one deployment, and the folder with their settings and logs."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        self._folder = folder
        self._plan = plan
        # The prefix of the loopback addresses is derived from the process id, so that
        # two deployments on one machine use different addresses.
        self._address_prefix = (
            f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"
        )
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._account_files: dict[str, Path] = {}
        self._target_count = 0
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def plan(self) -> Plan:
        """Return the plan that the deployment was made from."""
        return self._plan

    @property
    def entry_names(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [f"entry-{number + 1}" for number in range(len(self._plan.entry_hosts))]

    @property
    def control_names(self) -> list[str]:
        """Return the names of the control hosts."""
        return [f"control-{number + 1}" for number in range(self._plan.control_hosts)]

    @property
    def return_address(self) -> tuple[str, int]:
        """Return the address and port at which the fabric receives resets."""
        return (f"{self._address_prefix}.{RETURN_HOST_NUMBER}", 6081)

    def entry_host(self, name: str) -> str:
        """Return the IP address of an entry host."""
        return f"{self._address_prefix}.{int(name.rpartition('-')[2])}"

    def control_host(self, name: str) -> str:
        """Return the IP address of a control host."""
        return f"{self._address_prefix}.{50 + int(name.rpartition('-')[2])}"

    def fabric_address(self, name: str) -> tuple[str, int]:
        """Return the address and port at which an entry host receives packets."""
        return (self.entry_host(name), FABRIC_PORT)

    def target_address(self, name: str) -> str:
        """Return `host:port` at which a backend server accepts requests."""
        return f"{self._address_prefix}.{100 + int(name.rpartition('-')[2])}:9080"

    def process_id(self, name: str) -> int:
        """Return the process id of a running host or backend server."""
        return self._processes[name].pid

    def client(self, control: str = "control-1") -> AdministrationClient:
        """Return a client with an operator's token for a control host."""
        address = f"{self.control_host(control)}:{ADMINISTRATION_PORT}"
        return AdministrationClient(address, OPERATOR_TOKEN)

    def start_system(self) -> None:
        """Initialise and start every control host, then start every entry host."""
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
        """Start all hosts and backend servers and wait until they are ready.

        `on_accepted` is called with the answer as soon as each service is accepted.
        Raise TimeoutError if the deployment is not ready in time.
        """
        self.start_system()
        self.wait_until_control_votes()
        for service in services:
            on_accepted(self.accept_service(service))
        for service in services:
            for zone in service.target_zones:
                self.start_target(service, zone)
        self.wait_until_ready(services)

    def start_control(self, name: str) -> None:
        """Start a control host with its existing data folder."""
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
        zone_entry_addresses = [
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
            host=f"{self._address_prefix}.{100 + number}",
            request_port=9080,
            packet_port=9081,
            service_address=service.address,
            service_port=service.port,
            token=ACCOUNT_TOKEN,
            announce_to=zone_entry_addresses,
            service_seconds=service.service_seconds,
            cold_seconds=service.cold_seconds,
            falls_cold_after=service.falls_cold_after,
            slots=service.slots,
            cold_slots=service.cold_slots,
            seed=number,
        )
        file = self._folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(settings))
        account_file = self._folder / f"{name}.account.json"
        self._account_files[name] = account_file
        module = "kingcuppulley.stand_ins.backend_server"
        self._start(name, [module, str(file), str(account_file)])
        return name

    def accept_service(self, service: ServicePlan, slots: int | None = None) -> Any:
        """Submit a service's template and client account as an operator.

        Return the answer to the change of the client account.
        """
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
            "announcement_token_hash": _hash_token(ACCOUNT_TOKEN),
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
        """Return the status of an entry host, or None if it does not answer."""
        url = f"http://{self.entry_host(name)}:{ADMINISTRATION_PORT}/status"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                status: dict[str, Any] = json.loads(response.read())
                return status
        except (OSError, ValueError):
            return None

    def metrics(self, name: str) -> dict[str, float]:
        """Return the metrics of an entry host; empty if it does not answer."""
        url = f"http://{self.entry_host(name)}:{ADMINISTRATION_PORT}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                text = response.read().decode()
        except OSError:
            return {}
        samples = [line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#"]
        return {sample[0]: float(sample[1]) for sample in samples if len(sample) == 2}

    def wait_until_control_votes(self) -> None:
        """Wait until every control host votes; raise TimeoutError if one does not."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for name in self.control_names:
            while self._control_state(name) != "voting":
                _wait_for_next_check(deadline, f"{name} is not voting")

    def wait_until_ready(self, services: list[ServicePlan]) -> None:
        """Wait until every entry host sees all entry hosts and all backend servers.

        Raise TimeoutError if one does not.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        target_count = sum(len(service.target_zones) for service in services)
        for name in self.entry_names:
            while not self._is_ready(name, target_count):
                _wait_for_next_check(deadline, f"{name} is not ready")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process that this deployment started."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process that this deployment started."""
        self.signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def end(self, name: str) -> int:
        """Send SIGTERM to one process, wait until it ends and return its exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(EXIT_TIMEOUT_SECONDS)

    def end_all(self) -> None:
        """End every process, and kill those that do not end in time.

        Backend servers receive SIGTERM first, so that they write their accounts.
        """
        names = sorted(
            self._processes, key=lambda name: name not in self._account_files
        )
        for name in names:
            self._processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self._processes.pop(name)
            try:
                process.wait(EXIT_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def accounts(self) -> list[ServerAccount]:
        """Return the accounts of the backend servers that have ended."""
        return [
            msgspec.json.decode(file.read_bytes(), type=ServerAccount)
            for file in self._account_files.values()
            if file.exists()
        ]

    def data_folder(self, control: str) -> Path:
        """Return the data folder of a control host."""
        return self._folder / f"{control}-data"

    def trace_file(self, entry: str) -> Path:
        """Return the file to which an entry host writes its trace spans."""
        return self._folder / f"{entry}.spans"

    def _start(self, name: str, arguments: list[str]) -> None:
        log_file = (self._folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", *arguments]
        self._processes[name] = subprocess.Popen(
            command, stdout=log_file, stderr=log_file
        )
        log_file.close()

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
            f"{self._control_host_tables()}"
            "[[operators]]\n"
            'name = "maja"\n'
            f'token_hash = "{_hash_token(OPERATOR_TOKEN)}"\n'
        )

    def _entry_settings(self, name: str) -> str:
        host = self.entry_host(name)
        return_host, return_port = self.return_address
        entry_host_tables = "".join(
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
            f"{entry_host_tables}{self._control_host_tables()}"
        )

    def _control_host_tables(self) -> str:
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

    def _is_ready(self, name: str, target_count: int) -> bool:
        status = self.entry_status(name)
        if status is None or len(status["live_hosts"]) != len(self.entry_names):
            return False
        states = status["backend_servers"].values()
        return sum(1 for state in states if state in ("cold", "warm")) == target_count


def _hash_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _wait_for_next_check(deadline: float, problem: str) -> None:
    """Wait 0.1 s, or raise TimeoutError if the deadline has passed."""
    if time.monotonic() > deadline:
        raise TimeoutError(f"{problem} after {READY_TIMEOUT_SECONDS} s; see its log")
    time.sleep(0.1)
