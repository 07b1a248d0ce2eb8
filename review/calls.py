"""HTTP calls of the operator, of targets and of the platform's routers."""

from __future__ import annotations

import asyncio
import json

from review.deployment import Node, Record

CALL_TIMEOUT_SECONDS = 1.0
FIRST_BACKOFF_SECONDS = 0.1


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = CALL_TIMEOUT_SECONDS,
) -> tuple[int, bytes]:
    """Return the status and body of an answer, or status 0 without one in time.

    The connection is closed afterwards, as any client closes it.
    """
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n"
    if body:
        head += "Content-Type: application/json\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head.encode() + body)
            answer = await reader.read()
    except (TimeoutError, OSError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    answer_head, _, content = answer.partition(b"\r\n\r\n")
    words = answer_head.split(None, 2)
    return (int(words[1]) if len(words) > 1 else 0), content


class Operator:
    """Send orders until they are acknowledged, to one node after another."""

    def __init__(self, controls: list[Node], port: int, record: Record) -> None:
        self._controls, self._port, self._record = controls, port, record

    async def order(
        self,
        path: str,
        body: bytes = b"",
        first: int = 0,
        for_seconds: float = 5.0,
        timeout: float = CALL_TIMEOUT_SECONDS,
        what: str = "",
    ) -> float | None:
        """Return when the order was acknowledged, or None if it was not in time."""
        began_at = self._record.now()
        backoff = FIRST_BACKOFF_SECONDS
        number = first
        while self._record.now() - began_at < for_seconds:
            node = self._controls[number % len(self._controls)]
            status, _ = await call(
                node.ip, self._port, "POST", path, body, timeout=timeout
            )
            self._record.write(
                f"operator: POST {path} {what} to {node.name}: "
                f"{status or 'no answer, connection closed'}"
            )
            if status == 200:
                return self._record.now()
            if 400 <= status < 500 and status not in (408, 429):
                return None
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, 1.0)
            number += 1
        return None

    async def read(self, for_seconds: float) -> dict[str, object] | None:
        """Read the configuration, from one node after another."""
        began_at = self._record.now()
        number = 0
        while self._record.now() - began_at < for_seconds:
            node = self._controls[number % len(self._controls)]
            status, content = await call(
                node.ip, self._port, "GET", "/kingcuppulley/config/get", timeout=2.0
            )
            version = json.loads(content)["version"] if status == 200 else None
            self._record.write(
                f"operator: GET /kingcuppulley/config/get from {node.name}: "
                f"{status or 'no answer'}, version {version}"
            )
            if status == 200:
                return json.loads(content)
            await asyncio.sleep(0.3)
            number += 1
        return None


def configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[str],
    warmup_per_s: float = 0.0,
) -> bytes:
    """Return the body of a configuration."""
    document = {
        "version": version,
        "routes": routes,
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
    return json.dumps(document, separators=(",", ":")).encode()


def route(name: str, host: str, port: int, service: str) -> dict[str, object]:
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": host,
        "path_prefix": f"/{port}/",
        "type": "safe",
        "timeout_ms": 2000,
        "slo_ms": 120,
        "priority": 2,
        "service": service,
        "attempts": 2,
    }
