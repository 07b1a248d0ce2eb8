"""Run one control host and entry hosts that can be paused, and evacuate a zone."""

from __future__ import annotations

from kingcuppulley.control.state import RoutingState
from tests.cover.test_control_subscription import Deployment
from tests.seeded_fakes import WaitingCaller, heartbeat

ZONE = "zone-b"
HOST = "b1"
# In the zone of `HOST`; flows are sent to it under the packet identity 2.
SERVER = "i-2"
HEARTBEATS_OF_EVACUATION = 3
# That of the services of a `Deployment`.
COLD_SECONDS = 2.0
FLOWS = 8


class PausableDeployment(Deployment):
    """Pause entry hosts: messages for them wait in their sockets."""

    def __init__(self) -> None:
        self.unread: dict[str, list[tuple[str, object]]] = {}
        super().__init__()
        self.run(0.5)
        self.configure(1)
        self.sequence = 0
        self.send_heartbeats()
        self.run(1.0)

    def send_heartbeats(self, cold_seconds: float = 0.0) -> None:
        """Let both servers send a heartbeat; the one in the zone may be cold."""
        self.sequence += 1
        self.send_heartbeat(heartbeat("i-1", sequence=self.sequence))
        server = heartbeat(
            SERVER,
            sequence=self.sequence,
            zone=ZONE,
            cold_remaining_seconds=cold_seconds,
        )
        self.send_heartbeat(server)

    def order(self, in_service: bool) -> None:
        results: list[RoutingState | None] = []
        caller = WaitingCaller(self.now)
        self.control.set_zone(ZONE, in_service, results.append, caller)
        self.run(0.06)
        assert results and results[0] is not None

    def run_with_heartbeats(self) -> None:
        for _ in range(HEARTBEATS_OF_EVACUATION):
            self.run(1.0)
            self.send_heartbeats()

    def evacuate(self) -> None:
        self.order(in_service=False)
        self.run_with_heartbeats()
        self.order(in_service=True)

    def pause(self, name: str) -> None:
        self.unread[name] = []
        self.paused = self.entries.pop(name)

    def resume(self, name: str) -> None:
        self.entries[name] = self.paused

    def deliver_unread(self, name: str) -> None:
        for source, message in self.unread.pop(name):
            self.entries[name].receive(source, message, self.now)

    def flows_to_server(self) -> int:
        """Open flows at the host and return how many reach the server at once."""
        self.arrived_flows()
        self.open_flows()
        return self.arrived_flows()

    def open_flows(self) -> None:
        for number in range(FLOWS):
            packet = b"flow-%d-%d open 0" % (number, round(1000 * self.now))
            self.entries[HOST].packet_from_fabric(packet, self.now)

    def arrived_flows(self) -> int:
        """Return how many flows have reached the zone's server since the last call."""
        sent = self.recorders[HOST].to_targets
        count = sum(datagram[7] == 2 for datagram, _ in sent)
        sent.clear()
        return count

    def _deliver(self) -> None:
        for source, destination, message in self.in_flight:
            if destination in self.unread and destination not in self.entries:
                self.unread[destination].append((source, message))
        super()._deliver()
