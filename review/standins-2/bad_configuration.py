"""Send one configuration, and check how it is answered, read back and obeyed."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable

from standins import (
    CALL_TIMEOUT_SECONDS,
    CannotRun,
    Client,
    Deployment,
    Record,
    Server,
    configuration,
)

OLD_ROUTE = ("127.40.0.1", 8443)
NEW_ROUTE = ("127.40.0.2", 8443)
CONFIG_APPLY_SECONDS = 3.0


def run_bad_configuration(
    record: Record, has_trouble: bool, spoil: Callable[[bytes], bytes]
) -> str:
    """Send version 3, then version 7 with a further route, which `spoil` makes invalid.

    Return how CONFIG was broken: what is invalid was acknowledged, or is in force.
    """
    deployment = Deployment(record, ("zone-a", "zone-b"))
    servers: list[Server] = []
    clients: list[Client] = []
    try:
        deployment.start()
        time.sleep(1.0)
        for number, zone in enumerate(("zone-a", "zone-b")):
            servers.append(Server(deployment, number + 1, "order-desk", zone))
            servers[-1].start()
        deployment.order(
            "/kingcuppulley/config/put", configuration(3, {"order-desk": OLD_ROUTE})
        )
        deployment.await_ready()
        entry = deployment.entries[0]
        clients.append(Client(deployment, 1))
        clients[0].start(OLD_ROUTE, 10.0, lambda: entry)
        time.sleep(2.0)

        body = configuration(7, {"order-desk": OLD_ROUTE})
        further = dict(body["routes"][0], name="r-further", host=NEW_ROUTE[0])
        body["routes"].append(further)
        document = json.dumps(body).encode()
        if has_trouble:
            document = spoil(document)
        record.add(f"operator: version 7 is {document!r}")
        statuses = [
            send_document(deployment, machine, document)
            for machine in deployment.controls
        ]
        time.sleep(CONFIG_APPLY_SECONDS)

        read = read_document(deployment)
        is_read_back = read == document
        clients.append(Client(deployment, 2))
        clients[1].start(NEW_ROUTE, 10.0, lambda: entry)
        time.sleep(2.0)
        is_obeyed = clients[1].answered > 0
        record.add(
            f"statuses {statuses}; version 7 is read back: {is_read_back}; requests "
            f"of its further route that were served: {clients[1].answered}"
        )
        if not clients[0].answered:
            raise CannotRun("no request of the first route was served")
        if not has_trouble:
            if 200 not in statuses or not is_read_back or not is_obeyed:
                raise CannotRun("the valid configuration is not in force")
            return ""
        faults = []
        if 200 in statuses:
            faults.append("an invalid configuration was acknowledged")
        if is_read_back or is_obeyed:
            faults.append("an invalid configuration is in force")
        return f"CONFIG: {', and '.join(faults)}" if faults else ""
    finally:
        for client in clients:
            client.stop()
        for server in servers:
            server.stop()
        deployment.end()


def send_document(deployment: Deployment, machine, document: bytes) -> int:
    """Send version 7 to one control host and return the status of the answer."""
    connection = http.client.HTTPConnection(
        machine.ip, deployment.control_port, timeout=CALL_TIMEOUT_SECONDS
    )
    try:
        connection.request(
            "POST",
            "/kingcuppulley/config/put",
            document,
            {"Content-Type": "application/json"},
        )
        answer = connection.getresponse()
        body = answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException):
        status, body = 0, b""
    finally:
        connection.close()
    deployment.record.add(
        f"operator: sends version 7 to {machine.name}: {status or 'no answer'} {body!r}"
    )
    return status


def read_document(deployment: Deployment) -> bytes:
    """Return the configuration that the operator reads back."""
    for _ in range(10):
        for machine in deployment.controls:
            status, body = deployment.call(machine, "GET", "/kingcuppulley/config/get")
            deployment.record.add(
                f"operator: GET from {machine.name}: {status} {body!r}"
            )
            if status == 200:
                return body
        time.sleep(0.3)
    raise CannotRun("no configuration could be read")
