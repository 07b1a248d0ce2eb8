"""Handle the platform's HTTP requests on a control host."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec

from kingcuppulley.control.proposer import StateCallback
from kingcuppulley.control.seeded_host import SeededControlHost
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

_PUT_CONFIGURATION_PATH = "/kingcuppulley/config/put"
_GET_CONFIGURATION_PATH = "/kingcuppulley/config/get"
_TARGETS_PREFIX = "/kingcuppulley/targets/"
_ZONES_PREFIX = "/kingcuppulley/evacuate/"
_PATHS_REMEDY = (
    f"use GET {_GET_CONFIGURATION_PATH}, or POST {_PUT_CONFIGURATION_PATH}, "
    f"{_TARGETS_PREFIX}NAME/heartbeat, {_TARGETS_PREFIX}NAME/leave, "
    f"{_ZONES_PREFIX}ZONE/start or {_ZONES_PREFIX}ZONE/end"
)
_RETRY_REMEDY = "retry, or send the request to another control host"


class _Acknowledgement(msgspec.Struct):
    """Confirm a request that succeeded."""

    ok: bool = True


class ControlRequestHandler:
    """Pass backend servers' heartbeats and operators' changes to a control host."""

    def __init__(
        self, host: SeededControlHost, zones: list[str], metrics: Metrics
    ) -> None:
        self._host = host
        self._zones = frozenset(zones)
        self._metrics = metrics

    def handle(self, request: HttpRequest) -> None:
        """Answer one request."""
        path = unquote(request.path.decode("latin-1"))
        if request.method == b"GET" and path == _GET_CONFIGURATION_PATH:
            self._get_configuration(request)
        elif request.method != b"POST":
            answer_fault(request, 404, "unknown path or method", _PATHS_REMEDY)
        elif path == _PUT_CONFIGURATION_PATH:
            self._put_configuration(request)
        elif path.startswith(_TARGETS_PREFIX):
            self._handle_target_request(request, path[len(_TARGETS_PREFIX) :])
        elif path.startswith(_ZONES_PREFIX):
            self._handle_zone_request(request, path[len(_ZONES_PREFIX) :])
        else:
            answer_fault(request, 404, "unknown path or method", _PATHS_REMEDY)

    def _put_configuration(self, request: HttpRequest) -> None:
        document = request.body
        try:
            configuration = decode_configuration(document)
        except InvalidConfigurationError as error:
            self._metrics.count("configurations_refused")
            self._host.log_refused_configuration(str(error))
            answer_fault(request, 400, error.location, error.remedy)
            return
        self._host.put_configuration(
            configuration, document, _answer_on_result(request)
        )

    def _get_configuration(self, request: HttpRequest) -> None:
        def answer_result(state: RoutingState | None) -> None:
            if request.is_disconnected:
                return
            document = self._host.document(state)
            if document is None:
                answer_fault(
                    request,
                    503,
                    "no quorum answered in time, or no configuration is active yet",
                    _RETRY_REMEDY,
                )
            else:
                request.answer(200, document, JSON_CONTENT_TYPE)

        self._host.read(answer_result)

    def _handle_target_request(self, request: HttpRequest, subpath: str) -> None:
        name, _, action = subpath.partition("/")
        if action == "leave":
            self._host.deregister(
                name, lambda: answer_json(request, 200, _Acknowledgement()), request
            )
            return
        if action != "heartbeat":
            answer_fault(request, 404, "unknown action", "use heartbeat or leave")
            return
        try:
            heartbeat = decode_heartbeat(name, request.body)
        except InvalidHeartbeatError as error:
            self._metrics.count("heartbeats_refused")
            answer_fault(request, 400, "heartbeat", str(error))
            return
        self._host.receive_heartbeat(heartbeat, request)
        answer_json(request, 200, _Acknowledgement())

    def _handle_zone_request(self, request: HttpRequest, subpath: str) -> None:
        zone, _, action = subpath.partition("/")
        if action not in ("start", "end"):
            answer_fault(request, 404, "unknown action", "use start or end")
        elif zone not in self._zones:
            answer_fault(
                request,
                404,
                f"unknown zone {zone!r}",
                "use a zone that is in the settings of this control host",
            )
        else:
            self._host.set_zone(
                zone, action == "end", _answer_on_result(request), request
            )


def build_control_handler(
    host: SeededControlHost, zones: list[str], metrics: Metrics
) -> HttpRequestHandler:
    """Return the handler of a control host's HTTP requests.

    `zones` are the names of the zones that an operator may evacuate.
    """
    return ControlRequestHandler(host, zones, metrics).handle


def _answer_on_result(request: HttpRequest) -> StateCallback:
    def answer_result(state: RoutingState | None) -> None:
        if request.is_disconnected:
            return
        if state is None:
            answer_fault(
                request,
                503,
                "no majority of control hosts answered in time; it is unknown whether "
                "the change is accepted",
                _RETRY_REMEDY,
            )
        else:
            answer_json(request, 200, _Acknowledgement())

    return answer_result
