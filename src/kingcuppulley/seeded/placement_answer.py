"""Answer HTTP requests that ask where a new flow would be placed."""

from __future__ import annotations

import socket
from collections.abc import Callable

from kingcuppulley.errors import InvalidPlacementQueryError
from kingcuppulley.fabric.formats import PacketFormat
from kingcuppulley.fabric.placement_explanation import PlacementExplanation
from kingcuppulley.internal.asyncio_http import HttpRequest
from kingcuppulley.internal.http_api import answer_fault, answer_json

_MAXIMUM_PORT = 65_535
_ADDRESS_REMEDY = "name an IPv4 address and a port, such as 198.18.0.1:443"


class PlacementAnswer:
    """Answer with an explanation, or with status 400 and the remedy."""

    __slots__ = ("_packet_format", "_explain")

    def __init__(
        self,
        packet_format: PacketFormat,
        explain: Callable[[bytes, bytes], PlacementExplanation],
    ) -> None:
        self._packet_format = packet_format
        self._explain = explain

    def answer(self, request: HttpRequest) -> None:
        """Answer one request, whose query names the `route` and the `caller`."""
        try:
            addresses = parse_placement_query(request.query)
        except InvalidPlacementQueryError as error:
            answer_fault(request, 400, error.fault, error.remedy)
            return
        flow, route_key = self._packet_format.identify_flow(*addresses)
        answer_json(request, 200, self._explain(flow, route_key))


def parse_placement_query(
    query: bytes,
) -> tuple[tuple[bytes, int], tuple[bytes, int]]:
    """Return the route and the caller, each as a packed IPv4 address and a port.

    Raises `InvalidPlacementQueryError` if one is missing or malformed.
    """
    text = query.decode(errors="replace").replace("%3A", ":").replace("%3a", ":")
    values = dict(parameter.partition("=")[::2] for parameter in text.split("&"))
    return _parse_address(values, "route"), _parse_address(values, "caller")


def _parse_address(values: dict[str, str], parameter: str) -> tuple[bytes, int]:
    value = values.get(parameter, "")
    host, _, port = value.rpartition(":")
    try:
        packed_address = socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise InvalidPlacementQueryError(parameter, value, _ADDRESS_REMEDY) from None
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_number or not 0 < int(port) <= _MAXIMUM_PORT:
        raise InvalidPlacementQueryError(parameter, value, _ADDRESS_REMEDY)
    return packed_address, int(port)
