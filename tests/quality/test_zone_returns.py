"""Take a zone back whose servers are cold while hosts are disturbed at random."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.pausable_deployment import COLD_SECONDS, HOST, PausableDeployment

STEP_SECONDS = 0.1
HEARTBEAT_STEPS = 10
# Requests in one second that a cold server can serve.
LIMIT = 5
# A host that was cut off serves with its known state until an update arrives: it cannot
# tell earlier that its links work again.
LEARNING_STEPS = 5
DISTURBANCES = ["none", "pause", "restart", "cut", "restart control"]


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(
    evacuation_steps=st.integers(5, 40),
    cold_steps_before_return=st.integers(1, 3),
    heartbeat_offset=st.integers(0, HEARTBEAT_STEPS - 1),
    disturbance=st.sampled_from(DISTURBANCES),
    disturbed_from=st.integers(1, 30),
    disturbed_steps=st.integers(1, 60),
)
def test_cold_servers_of_a_returned_zone_are_never_overloaded(
    evacuation_steps,
    cold_steps_before_return,
    heartbeat_offset,
    disturbance,
    disturbed_from,
    disturbed_steps,
):
    # Guards against full load on cold servers through a host that did not see the zone
    # return, whatever kept it from seeing that.
    deployment = PausableDeployment()
    evacuated_from = 10
    returned_at = evacuated_from + evacuation_steps
    cold_from = returned_at - cold_steps_before_return
    cold_until = cold_from + round(COLD_SECONDS / STEP_SECONDS)
    disturbed_until = disturbed_from + disturbed_steps
    arrivals: list[int] = []
    for step in range(cold_until):
        if step == disturbed_from and disturbance == "pause":
            deployment.pause(HOST)
        elif step == disturbed_from and disturbance in ("restart", "cut"):
            deployment.cut_off = {HOST}
        elif step == disturbed_until and disturbance == "pause":
            deployment.resume(HOST)
            deployment.open_flows()
            deployment.deliver_unread(HOST)
        elif step == disturbed_until and disturbance == "restart":
            deployment.cut_off = set()
            deployment.entries[HOST] = deployment.start_entry(HOST)
        elif step == disturbed_until and disturbance == "cut":
            deployment.cut_off = set()
        elif step == disturbed_until and disturbance == "restart control":
            deployment.control = deployment.start_control()
        if step == evacuated_from:
            deployment.order(in_service=False)
        elif step == returned_at:
            deployment.order(in_service=True)
        if step % HEARTBEAT_STEPS == heartbeat_offset:
            is_cold = step > cold_from
            remaining = (cold_until - step) * STEP_SECONDS if is_cold else 0.0
            deployment.send_heartbeats(remaining)
        learning_steps = LEARNING_STEPS if disturbance == "cut" else 0
        is_away = disturbed_from <= step < disturbed_until + learning_steps
        if not is_away or disturbance in ("none", "restart control"):
            deployment.open_flows()
        deployment.run(STEP_SECONDS)
        arrived = deployment.arrived_flows()
        if step >= cold_from:
            arrivals += [step] * arrived
    for step in set(arrivals):
        window = [other for other in arrivals if step <= other < step + 10]
        assert len(window) <= LIMIT
