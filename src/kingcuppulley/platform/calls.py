"""Answer the platform's HTTP calls by the product's own interfaces."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec

from kingcuppulley.control.proposer import StateCallback
from kingcuppulley.control.seeded_host import ControlHost
from kingcuppulley.control.state import RoutingState
from kingcuppulley.errors import InvalidConfigurationError, InvalidHeartbeatError
from kingcuppulley.internal.asyncio_http import HttpRequest, HttpRequestHandler
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.http_api import (
    JSON_CONTENT_TYPE,
    answer_fault,
    answer_json,
)
from kingcuppulley.platform.documents import decode_configuration, decode_heartbeat

_PUT = "/kingcuppulley/config/put"
_GET = "/kingcuppulley/config/get"
_TARGETS = "/kingcuppulley/targets/"
_ZONES = "/kingcuppulley/evacuate/"
_ASK_AGAIN = "ask again, or ask another host"


class _Done(msgspec.Struct):
    """Acknowledge a call."""

    ok: bool = True


class ControlCalls:
    """Pass heartbeats and operators' orders on to a control host."""

    def __init__(self, host: ControlHost, zones: list[str], metrics: Metrics) -> None:
        self._host = host
        self._zones = frozenset(zones)
        self._metrics = metrics

    def handle(self, request: HttpRequest) -> None:
        """Answer one call."""
        path = unquote(request.path.decode("latin-1"))
        if request.method == b"GET" and path == _GET:
            self._read(request)
        elif request.method != b"POST":
            answer_fault(request, 404, "no such call", "see the operators' pages")
        elif path == _PUT:
            self._put(request)
        elif path.startswith(_TARGETS):
            self._target(request, path[len(_TARGETS) :])
        elif path.startswith(_ZONES):
            self._zone(request, path[len(_ZONES) :])
        else:
            answer_fault(request, 404, "no such call", "see the operators' pages")

    def _put(self, request: HttpRequest) -> None:
        document = request.body
        try:
            configuration = decode_configuration(document)
        except InvalidConfigurationError as error:
            self._metrics.count("configurations_refused")
            self._host.log_refused_configuration(str(error))
            answer_fault(request, 400, error.place, error.remedy)
            return
        self._host.put_configuration(
            configuration.version, document, _answer_when_settled(request)
        )

    def _read(self, request: HttpRequest) -> None:
        def answer(state: RoutingState | None) -> None:
            if request.is_disconnected:
                return
            document = self._host.document(state)
            if document is None:
                answer_fault(request, 503, "not certain", _ASK_AGAIN)
            else:
                request.answer(200, document, JSON_CONTENT_TYPE)

        self._host.read(answer)

    def _target(self, request: HttpRequest, rest: str) -> None:
        name, _, call = rest.partition("/")
        if call == "leave":
            self._host.deregister(name)
            answer_json(request, 200, _Done())
            return
        if call != "heartbeat":
            answer_fault(request, 404, "no such call", "see the pages of targets")
            return
        try:
            heartbeat = decode_heartbeat(name, request.body)
        except InvalidHeartbeatError as error:
            self._metrics.count("heartbeats_refused")
            answer_fault(request, 400, "heartbeat", str(error))
            return
        self._host.receive_heartbeat(heartbeat)
        answer_json(request, 200, _Done())

    def _zone(self, request: HttpRequest, rest: str) -> None:
        zone, _, call = rest.partition("/")
        if call not in ("start", "end"):
            answer_fault(request, 404, "no such call", "call start or end")
        elif zone not in self._zones:
            answer_fault(request, 404, f"no zone {zone!r}", "name a zone that exists")
        else:
            self._host.set_zone(zone, call == "end", _answer_when_settled(request))


def build_control_handler(
    host: ControlHost, zones: list[str], metrics: Metrics
) -> HttpRequestHandler:
    """Return what answers the calls that come to a control host."""
    return ControlCalls(host, zones, metrics).handle


def _answer_when_settled(request: HttpRequest) -> StateCallback:
    def answer(state: RoutingState | None) -> None:
        if request.is_disconnected:
            return
        if state is None:
            answer_fault(request, 503, "no majority answered in time", _ASK_AGAIN)
        else:
            answer_json(request, 200, _Done())

    return answer
