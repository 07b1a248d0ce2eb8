"""Ask an entry host where a new flow would be placed, and print its answer."""

from __future__ import annotations

import http.client
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from kingcuppulley.errors import KingcuppulleyError
from kingcuppulley.fabric.placement_explanation import (
    ExplainedServer,
    PlacementExplanation,
)
from kingcuppulley.internal.decoding import DECODING_ERRORS
from kingcuppulley.internal.http_api import JSON_CONTENT_TYPE, Fault

PLACEMENT_PATH = "/placement"
REQUEST_TIMEOUT_SECONDS = 5.0

_Answer = TypeVar("_Answer", Fault, PlacementExplanation)


class EntryHostUnreachableError(KingcuppulleyError):
    """Report that an entry host did not answer."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(
            f"no answer from the entry host at {address}: {reason}; name the address "
            "and port at which it serves its metrics, or ask another host"
        )


class PlacementQueryRefusedError(KingcuppulleyError):
    """Report that an entry host refused a query as malformed."""

    def __init__(self, status: int, fault: Fault) -> None:
        remedies = "; ".join(fault.remedies)
        super().__init__(
            f"the entry host answered with status {status}: {fault.fault}: {remedies}"
        )


class PlacementNotExplainedError(KingcuppulleyError):
    """Report an answer that is not the explanation of a placement."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"{address} does not explain placements; name an entry host, and upgrade "
            "it if its build is earlier than this command's"
        )


def fetch_placement(address: str, route: str, caller: str) -> bytes:
    """Return the answer of an entry host as JSON, or raise a `KingcuppulleyError`."""
    query = urlencode({"route": route, "caller": caller}, safe=":")
    try:
        connection = http.client.HTTPConnection(
            address, timeout=REQUEST_TIMEOUT_SECONDS
        )
        try:
            connection.request("GET", f"{PLACEMENT_PATH}?{query}")
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
    except (OSError, http.client.HTTPException) as error:
        raise EntryHostUnreachableError(address, str(error)) from error
    if response.getheader("Content-Type") != JSON_CONTENT_TYPE:
        # Entry hosts of earlier builds, and control hosts, answer with metrics.
        raise PlacementNotExplainedError(address)
    if response.status != http.client.OK:
        fault = _decode(address, body, Fault)
        raise PlacementQueryRefusedError(response.status, fault)
    return body


def decode_explanation(address: str, body: bytes) -> PlacementExplanation:
    """Return the explanation in an answer, or raise `PlacementNotExplainedError`."""
    return _decode(address, body, PlacementExplanation)


def render_explanation(explanation: PlacementExplanation) -> str:
    """Return an explanation as text, the servers as a table."""
    lines = []
    for field in msgspec.structs.fields(explanation):
        value = getattr(explanation, field.name)
        if field.name == "servers":
            continue
        if isinstance(value, msgspec.Struct):
            value = ", ".join(
                f"{name}={part}" for name, part in msgspec.structs.asdict(value).items()
            )
        lines.append(f"{field.name}: {_text(value)}")
    return "\n".join([*lines, *_render_servers(explanation.servers)])


def _render_servers(servers: list[ExplainedServer]) -> list[str]:
    names = [field.name for field in msgspec.structs.fields(ExplainedServer)]
    rows = [[_text(getattr(server, name)) for name in names] for server in servers]
    if not rows:
        return ["servers: none"]
    widths = [max(map(len, column)) for column in zip(names, *rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in [names, *rows]
    ]


def _text(value: object) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case None | "":
            return "none"
        case _:
            return str(getattr(value, "value", value))


def _decode(address: str, body: bytes, kind: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODING_ERRORS as error:
        raise PlacementNotExplainedError(address) from error
