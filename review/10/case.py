"""Servers that come back cold get retransmitted opening packets at full rate."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import (  # noqa: E402
    BOUNDS,
    ZONES,
    CannotRun,
    Client,
    Deployment,
    Record,
    Server,
    configuration,
    run_case,
)

ROUTE = ("127.40.0.1", 8443)
WARMUP_SECONDS = 2.0
WARMUP_PER_SECOND = 2.0
FLOWS_PER_SECOND_AND_ZONE = 25.0
DOWN_SECONDS = 1.5


def case(record: Record, has_trouble: bool) -> str:
    """Let all servers of a service crash and come back cold."""
    deployment = Deployment(record, ZONES)
    servers: list[Server] = []
    clients: list[Client] = []
    try:
        deployment.start()
        time.sleep(1.0)
        for number, zone in enumerate(ZONES):
            servers.append(Server(deployment, number + 1, "drawing-store", zone))
            servers[-1].start()
        deployment.order(
            "/kingcuppulley/config/put",
            configuration(3, {"drawing-store": ROUTE}, WARMUP_PER_SECOND),
        )
        deployment.await_ready()
        for number, entry in enumerate(deployment.entries):
            clients.append(Client(deployment, number + 1))
            clients[-1].start(
                ROUTE, FLOWS_PER_SECOND_AND_ZONE, lambda entry=entry: entry
            )
        time.sleep(6.0)
        if has_trouble:
            for server in servers:
                record.add(f"server {server.name} crashes")
                server.stop()
            time.sleep(DOWN_SECONDS)
            for server in servers:
                server.warmup_seconds = WARMUP_SECONDS
                server.start()
        time.sleep(WARMUP_SECONDS + 1.0)
        if sum(client.answered for client in clients) < 100:
            raise CannotRun("too few requests ran")
        return check(record, servers, clients)
    finally:
        for client in clients:
            client.stop()
        for server in servers:
            server.stop()
        deployment.end()


def check(record: Record, servers: list[Server], clients: list[Client]) -> str:
    """Apply FAILBACK: count requests first sent and arrived in the same second.

    Those that arrive before the system has acknowledged the first heartbeat of the cold
    server are left out, which the rule does not do.
    """
    limit = WARMUP_PER_SECOND * BOUNDS["warmup_overrun"] + BOUNDS["warmup_slack"]
    began_at = {}
    for client in clients:
        for port, at in client.first_sent.items():
            began_at[client.ip, port] = at
    worst, worst_name = 0, ""
    for server in servers:
        cold_until = server.started_at + server.warmup_seconds
        told_at = min(
            (
                at
                for sent_at, at, *_ in server.acknowledged
                if sent_at >= server.started_at
            ),
            default=cold_until,
        )
        arrivals = {}
        for at, key in server.syn_keys:
            if told_at <= at < cold_until:
                arrivals.setdefault(key, at)
        arrived = sorted((at, began_at[key]) for key, at in arrivals.items())
        most = 0
        for end_at, _ in arrived:
            most = max(
                most,
                sum(
                    at <= end_at and sent_at > end_at - 1.0 and at > end_at - 1.0
                    for at, sent_at in arrived
                ),
            )
        record.add(
            f"{server.name}, cold for {server.warmup_seconds} s, which is known after "
            f"{told_at - server.started_at:.3f} s, took at most {most} requests in one "
            f"second from then on; the limit is {limit}"
        )
        if most > worst:
            worst, worst_name = most, server.name
    if worst > limit:
        return (
            f"FAILBACK: {worst_name} took {worst} requests in a second, limit {limit}"
        )
    return ""


sys.exit(run_case(Path(__file__).resolve().parent, case))
