"""Run control hosts that can be paused, and send them operators' requests."""

from __future__ import annotations

from kingcuppulley.control.seeded_host import SeededControlHost
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.platform.calls import build_control_handler
from tests.control_traffic import ControlNetwork

ZONE = "zone-1"
ZONES = ["zone-0", "zone-1", "zone-2"]


class FakeRequest:
    """Record the status of an answer, and whether the caller has disconnected."""

    def __init__(self, path: str, began_at: float) -> None:
        self.method = b"POST"
        self.path = path.encode()
        self.body = b""
        self.began_at = began_at
        self.is_disconnected = False
        self.status = 0

    def answer(self, status: int, body: bytes, content_type: str) -> None:
        self.status = status


class PausableNetwork(ControlNetwork):
    """Pause control hosts: what they would have received waits in their sockets."""

    def __init__(self, entry_hosts: int = 0) -> None:
        super().__init__(3, 3, entry_hosts)
        self.paused: dict[str, SeededControlHost] = {}
        self.unread: list[tuple[float, str, str, object]] = []
        self.run(1.0)

    def pause(self, name: str) -> None:
        self.paused[name] = self.controls.pop(name)

    def resume(self, name: str) -> None:
        self.controls[name] = self.paused.pop(name)

    def deliver_unread(self, name: str) -> None:
        for _, source, destination, message in self.unread:
            if destination == name:
                self.controls[name].receive(source, message)
        self.unread = [entry for entry in self.unread if entry[2] != name]

    def order(
        self, name: str, action: str, began_at: float | None = None
    ) -> FakeRequest:
        """Let a control host read an order for the zone."""
        path = f"/kingcuppulley/evacuate/{ZONE}/{action}"
        return self._handle(name, path, began_at)

    def leave(self, name: str, server: str, began_at: float) -> FakeRequest:
        return self._handle(
            name, f"/kingcuppulley/targets/{server}/leave", began_at=began_at
        )

    def disconnect_later(self, request: FakeRequest) -> None:
        """Let a host learn of the end of a connection some time after its request."""
        self.run(0.2)
        request.is_disconnected = True
        self.run(2.0)

    def is_out(self, name: str) -> bool:
        state = self.controls[name].ensemble.current
        assert state is not None
        return ZONE in state.zones_out

    def _handle(self, name: str, path: str, began_at: float | None) -> FakeRequest:
        request = FakeRequest(path, self.now if began_at is None else began_at)
        handler = build_control_handler(self.controls[name], ZONES, Metrics())
        handler(request)  # type: ignore[arg-type]
        return request

    def _step(self) -> None:
        waiting = [entry for entry in self.in_flight if entry[2] in self.paused]
        self.unread += waiting
        self.in_flight = [entry for entry in self.in_flight if entry not in waiting]
        super()._step()
