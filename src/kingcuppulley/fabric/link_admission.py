"""Refuse new uploads that a host's link cannot carry in time."""

from __future__ import annotations

from collections import OrderedDict

from kingcuppulley.fabric.link_budget import FULL_PACKET_BYTES

# A route is bulk if its requests take at least this much of the link on average.
BULK_BYTES = 8 * FULL_PACKET_BYTES
# Open uploads share the link, also with later ones, so that a new one takes more than
# twice as long as what is open when it begins.  `experiments/egress_admission.py`
# compares the values.
MAXIMUM_BACKLOG_SHARE = 0.4
# A caller repeats a packet after at most 1.6 s, so a request without a packet between
# two checks was ended or goes through another host.
IDLE_SECONDS = 2.0
# Weight of a new request in the average of its route.
SAMPLE_WEIGHT = 0.125
MAXIMUM_OPEN_REQUESTS = 512
MAXIMUM_ROUTES = 64


class _OpenRequest:
    """Hold what was received of one request, now and when this was last checked."""

    __slots__ = ("route_key", "received_bytes", "checked_bytes", "check_at")

    def __init__(self, route_key: bytes, now: float) -> None:
        self.route_key = route_key
        self.received_bytes = 0
        self.checked_bytes = 0
        self.check_at = now + IDLE_SECONDS

    def is_idle(self, now: float) -> bool:
        """Return whether no packet came between two checks."""
        return now >= self.check_at and self.received_bytes == self.checked_bytes


class LinkAdmission:
    """Estimate how long the link is busy with open uploads.

    The size of a route's requests is a moving average; a route without samples counts
    as small.  Only large packets are recorded, because small ones do not wait.
    """

    __slots__ = ("_bytes_per_second", "_open_requests", "_average_bytes")

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        # By flow, in the order of the next check.
        self._open_requests: OrderedDict[bytes, _OpenRequest] = OrderedDict()
        self._average_bytes: OrderedDict[bytes, float] = OrderedDict()

    @property
    def open_requests(self) -> OrderedDict[bytes, _OpenRequest]:
        """Return the requests of which packets were recorded, by flow."""
        return self._open_requests

    def may_open(
        self,
        flow: bytes,
        route_key: bytes,
        objective_seconds: float,
        queued_bytes: int,
        now: float,
    ) -> bool:
        """Return whether to accept a new flow, and record it if its route is bulk."""
        if not self._is_bulk(route_key):
            return True
        # While every flow is refused, nothing else removes the requests that ended
        # without notice, and they would count for ever.
        self._expire(now)
        if not self.has_room(route_key, objective_seconds, queued_bytes, now):
            return False
        self._add(flow, route_key, now)
        return True

    def has_room(
        self, route_key: bytes, objective_seconds: float, queued_bytes: int, now: float
    ) -> bool:
        """Return whether the link can carry a new flow in time; nothing is changed."""
        if not self._is_bulk(route_key):
            return True
        backlog_bytes = queued_bytes + self._expected_bytes(now)
        limit_seconds = objective_seconds * MAXIMUM_BACKLOG_SHARE
        return backlog_bytes <= self._bytes_per_second * limit_seconds

    def record(self, flow: bytes, route_key: bytes, size: int, now: float) -> None:
        """Record a large packet of a request."""
        request = self._open_requests.get(flow)
        if request is None:
            request = self._add(flow, route_key, now)
        request.received_bytes += size

    def end_request(self, flow: bytes, *, ends_flow: bool = False) -> None:
        """Record that a caller has an answer, or has ended the flow."""
        request = self._open_requests.get(flow)
        # Without data it is only the caller's last packet to open the flow, unless the
        # flow ends: then its request was a small one, or there was none.
        if request is None or not (request.received_bytes or ends_flow):
            return
        del self._open_requests[flow]
        averages = self._average_bytes
        average = averages.get(request.route_key, float(request.received_bytes))
        change = (request.received_bytes - average) * SAMPLE_WEIGHT
        averages[request.route_key] = average + change
        averages.move_to_end(request.route_key)
        if len(averages) > MAXIMUM_ROUTES:
            averages.popitem(last=False)

    def _is_bulk(self, route_key: bytes) -> bool:
        return self._average_bytes.get(route_key, 0.0) >= BULK_BYTES

    def _expected_bytes(self, now: float) -> float:
        """Return what the open requests still have to send."""
        expected_bytes = 0.0
        for request in self._open_requests.values():
            if request.is_idle(now):
                continue
            average = self._average_bytes.get(request.route_key, 0.0)
            expected_bytes += max(0.0, average - request.received_bytes)
        return expected_bytes

    def _add(self, flow: bytes, route_key: bytes, now: float) -> _OpenRequest:
        request = self._open_requests[flow] = _OpenRequest(route_key, now)
        self._expire(now)
        if len(self._open_requests) > MAXIMUM_OPEN_REQUESTS:
            self._open_requests.popitem(last=False)
        return request

    def _expire(self, now: float) -> None:
        """Remove the requests of which no packet came since their last check."""
        requests = self._open_requests
        while requests:
            flow, request = next(iter(requests.items()))
            if now < request.check_at:
                return
            if request.is_idle(now):
                del requests[flow]
                continue
            request.checked_bytes = request.received_bytes
            request.check_at = now + IDLE_SECONDS
            requests.move_to_end(flow)
