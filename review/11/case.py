"""Evacuate a zone again after a request to take it back was cut off without an answer.

See claim.txt.  Several small deployments are tried at the same time, because the order
of events that the case looks for is rare.  Exits with 1 if the rule EVAC was broken in
one of them, 0 if it held in all, and 2 if the case could not run.
"""

import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from deployment import Deployment, Record, make_configuration, request_bytes  # noqa: E402
from environment import Caller, Environment, Server  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEPLOYMENTS = 4
SEARCH_SECONDS = 75.0
EVACUATE_SECONDS = 5.0
# What an unstable core may add at most, and how long a core counts as unstable.
MAXIMUM_SKEW_SECONDS = 12.0
CONTACT_SECONDS = 4.0
OBSERVED_SECONDS = 3.0
CONNECTED_SECONDS = 0.003
SETTLING_SECONDS = 0.006
# How long the openings are watched before the search goes on.
WATCH_SECONDS = 1.0
OPENINGS_PER_SECOND = 15.0
# The connection is cut at a time drawn from one of these ranges.
CUT_SECONDS = [(0.0001, 0.0010), (0.0010, 0.0070)]
ZONE = "zone-a"
ROUTE = ("198.18.0.1", 443)
END, START = (
    request_bytes("POST", f"/kingcuppulley/evacuate/{ZONE}/{action}", b"")
    for action in ("end", "start")
)


class Operator:
    """Send the orders of one operator, one after the other."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.version = 0
        self.generator = random.Random()

    def put(self, node):
        self.version += 1
        routes = [("desk", *ROUTE, "desk")]
        body = make_configuration(self.version, routes, ["desk"])
        status, _ = self.deployment.call(
            node, "POST", "/kingcuppulley/config/put", body
        )
        return status

    def revision(self, node):
        """Return the revision of the routing state that a control host's metrics name."""
        with socket.create_connection((node.ip, 9464), timeout=1.0) as connection:
            connection.sendall(request_bytes("GET", "/metrics", b""))
            text = b""
            while chunk := connection.recv(65536):
                text += chunk
        found = re.search(rb"^\w*state_revision(?:\{[^}]*\})? ([-\d.]+)", text, re.M)
        return int(float(found[1]))

    def connect(self, node):
        address = (node.ip, self.deployment.control_port)
        connection = socket.create_connection(address, timeout=1.0)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def send_end(self, connection):
        """Ask to take the zone back; return the status, 0 if it was cut off."""
        connection.sendall(END)
        if HAS_TROUBLE:
            wait = self.generator.uniform(*self.generator.choice(CUT_SECONDS))
            until = time.perf_counter() + wait
            while time.perf_counter() < until:
                pass
            connection.setblocking(False)
        try:
            answer = connection.recv(4096)
        except OSError:
            answer = b""
        connection.close()
        return int(answer.split()[1]) if answer else 0

    def send_start(self, connection):
        connection.sendall(START)
        try:
            answer = connection.recv(4096)
        except OSError:
            answer = b""
        connection.close()
        return int(answer.split()[1]) if answer else 0


def count_openings(servers, since):
    """Return how many openings reached the servers of the evacuated zone."""
    return sum(
        at > since for s in servers if s.zone == ZONE for at, _, _ in s.openings
    )


def search(operator, deployment, servers, record):
    """Return when the last evacuation was acknowledged, once one seems undone."""
    generator = random.Random()
    deadline = time.monotonic() + SEARCH_SECONDS
    tries = cut_off = 0
    acknowledged_at = None
    while time.monotonic() < deadline:
        tries += 1
        first, second, _ = generator.sample(deployment.controls, 3)
        end_connection = operator.connect(first)
        start_connection = operator.connect(second)
        time.sleep(CONNECTED_SECONDS)
        end_status = operator.send_end(end_connection)
        start_status = operator.send_start(start_connection)
        if start_status != 200:
            deployment.call_any("POST", f"/kingcuppulley/evacuate/{ZONE}/start")
            continue
        acknowledged_at = time.monotonic()
        cut_off += end_status == 0
        time.sleep(SETTLING_SECONDS)
        before = operator.revision(first)
        put_status = operator.put(first)
        after = operator.revision(first)
        if put_status == 200 and after == before + 2:
            watched_from = time.monotonic() + WATCH_SECONDS / 2
            time.sleep(WATCH_SECONDS)
            if not count_openings(servers, watched_from):
                continue
            record(
                f"try {tries}: 'end' to {first.name} answered {end_status}, 'start' to "
                f"{second.name} answered {start_status}; {SETTLING_SECONDS} s later "
                f"version {operator.version} answered {put_status} and raised the "
                f"revision from {before} to {after}"
            )
            break
    record(f"{tries} tries, {cut_off} with 'end' cut off without an answer")
    return acknowledged_at


def try_deployment(folder):
    record = Record(folder)
    deployment = Deployment(entries=7)
    environment = Environment(deployment, record)
    try:
        deployment.start()
        environment.start()
        operator = Operator(deployment, record)
        servers = []
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b")):
            ip = f"127.103.{deployment.octet}.{number + 1}"
            name = f"i-{number + 0x7F3A9100:08x}"
            servers.append(Server(environment, name, ip, "desk", zone))
        caller = Caller(environment, f"127.104.{deployment.octet}.1")
        time.sleep(1.0)
        operator.version = 0
        while operator.put(deployment.controls[0]) != 200:
            operator.version -= 1
            time.sleep(0.2)
        for server in servers:
            environment.run(server.open())
            environment.spawn(server.keep_beating())
        environment.run(caller.open())
        deployment.wait_ready()
        time.sleep(1.5)
        deployment.call_any("POST", f"/kingcuppulley/evacuate/{ZONE}/start")
        record(f"{ZONE} is evacuated; the search begins")
        environment.records_flows = False
        environment.spawn(
            caller.open_steadily(ROUTE, deployment.entries, OPENINGS_PER_SECOND)
        )
        acknowledged_at = search(operator, deployment, servers, record)
        environment.records_flows = True
        record("no order is sent from now on")
        judged_from = (
            acknowledged_at
            + EVACUATE_SECONDS
            + MAXIMUM_SKEW_SECONDS
            + CONTACT_SECONDS
        )
        time.sleep(judged_from + OBSERVED_SECONDS - time.monotonic())
        late = {
            server.name: sum(at > judged_from for at, _, _ in server.openings)
            for server in servers
        }
        all_late = sum(late[s.name] for s in servers if s.zone == ZONE)
        others = sum(late[s.name] for s in servers if s.zone != ZONE)
        record(
            f"later than {judged_from - acknowledged_at:.0f} s after the "
            f"acknowledgement: {all_late} openings reached {ZONE}, {others} another zone"
        )
        print(f"openings that reached the evacuated zone: {all_late}, others: {others}")
        if not all_late and not others:
            return 2
        return 1 if all_late else 0
    except Exception:
        record(traceback.format_exc())
        traceback.print_exc()
        return 2
    finally:
        environment.stop()
        deployment.end()


def main():
    """Try the deployments at the same time, until one has broken the rule."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        workers = {}
        for number in range(DEPLOYMENTS):
            part = Path(folder) / str(number)
            part.mkdir()
            command = [sys.executable, "-B", __file__, str(part)]
            workers[part] = subprocess.Popen(command)
        statuses = {}
        try:
            while len(statuses) < len(workers) and 1 not in statuses.values():
                time.sleep(0.2)
                for part, worker in workers.items():
                    if worker.poll() is not None:
                        statuses[part] = worker.returncode
        finally:
            for worker in workers.values():
                if worker.poll() is None:
                    worker.send_signal(signal.SIGTERM)
                worker.wait()
        with open(FOLDER / "record.txt", "w") as record:
            for part in workers:
                status = statuses.get(part, "not needed any more")
                record.write(f"deployment {part.name}: {status}\n")
                record.write((part / "record.txt").read_text())
    if 1 in statuses.values():
        return 1
    return 0 if set(statuses.values()) == {0} else 2


def end_worker(*_):
    """End like any other way, so that every process is ended too."""
    sys.exit(3)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, end_worker)
    if len(sys.argv) > 1:
        sys.exit(try_deployment(sys.argv[1]))
    sys.exit(main())
