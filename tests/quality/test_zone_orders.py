"""Send orders for a zone to hosts that are paused and cut off at random."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.pausable_network import FakeRequest, PausableNetwork

CALL_TIMEOUT_SECONDS = 1.0
BACKOFF_SECONDS = 0.1
# How much later than a request a host learns that its caller has disconnected.
END_DELAY_SECONDS = 0.2
ATTEMPTS = 5
HOST_NUMBERS = st.integers(0, 2)


class Operator:
    """Send each order until it is acknowledged, to one host after another.

    A paused host reads a request only when it runs again, and sees later still that
    the caller has disconnected.  A host that is cut off sees it after that.
    """

    def __init__(self, network: PausableNetwork) -> None:
        self._network = network
        self._unread: list[tuple[str, str]] = []
        self._abandoned: list[FakeRequest] = []
        self.acknowledged_action = "end"
        self.is_certain = True
        self.may_reach_hosts = True

    def order(self, action: str, first_host: int) -> None:
        self.is_certain = False
        for attempt in range(ATTEMPTS):
            number = (first_host + attempt) % 3
            name = self._network.control_names[number]
            request = self._send(name, action)
            deadline = self._network.now + CALL_TIMEOUT_SECONDS
            while request is None or not request.status:
                if self._network.now >= deadline:
                    break
                self._network.run(0.02)
            if request is not None and request.status == 200:
                self.acknowledged_action = action
                self.is_certain = True
                return
            if request is not None:
                self._abandon(request)
            self._network.run(BACKOFF_SECONDS)

    def read_waiting(self, name: str) -> None:
        """Let a host that runs again read what was sent to it in the meantime."""
        for host, action in self._unread:
            if host == name:
                self._abandoned.append(self._network.order(name, action))
        self._unread = [entry for entry in self._unread if entry[0] != name]

    def end_connections(self) -> None:
        """Let hosts learn of the callers that have disconnected."""
        for request in self._abandoned:
            request.is_disconnected = True
        self._abandoned.clear()

    def _abandon(self, request: FakeRequest) -> None:
        if self.may_reach_hosts:
            request.is_disconnected = True
        else:
            self._abandoned.append(request)

    def _send(self, name: str, action: str) -> FakeRequest | None:
        if name in self._network.paused:
            self._unread.append((name, action))
            return None
        return self._network.order(name, action)


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(
    orders=st.lists(
        st.tuples(HOST_NUMBERS, st.floats(0.0, 1.0)), min_size=4, max_size=6
    ),
    disturbed=HOST_NUMBERS,
    first_disturbed_order=st.integers(0, 2),
    disturbed_orders=st.integers(1, 4),
    is_paused=st.booleans(),
    reads_messages_first=st.booleans(),
)
def test_the_last_acknowledged_order_for_a_zone_holds(
    orders,
    disturbed,
    first_disturbed_order,
    disturbed_orders,
    is_paused,
    reads_messages_first,
):
    # Guards against an order that takes effect after its caller has sent it, and later
    # ones, to other hosts.
    network = PausableNetwork()
    operator = Operator(network)
    name = network.control_names[disturbed]
    cut_off: set[str] = set()
    network.is_lost = lambda source, destination: bool({source, destination} & cut_off)

    def end_disturbance() -> None:
        cut_off.clear()
        if name in network.paused:
            network.resume(name)
            if reads_messages_first:
                network.deliver_unread(name)
            operator.read_waiting(name)
            network.deliver_unread(name)
        network.run(END_DELAY_SECONDS)
        operator.end_connections()
        operator.may_reach_hosts = True

    for number, (first_host, seconds) in enumerate(orders):
        if number == first_disturbed_order:
            if is_paused:
                network.pause(name)
            else:
                cut_off.add(name)
                operator.may_reach_hosts = False
        elif number == first_disturbed_order + disturbed_orders:
            end_disturbance()
        operator.order("start" if number % 2 == 0 else "end", first_host)
        network.run(seconds)
    end_disturbance()
    network.run(2.0)
    if operator.is_certain:
        for control in network.control_names:
            is_out = network.is_out(control)
            assert is_out == (operator.acknowledged_action == "start")
