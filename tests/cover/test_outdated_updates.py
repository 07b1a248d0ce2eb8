"""Check that updates that arrive late, twice or reordered change nothing.

They guard against an entry host that opens flows at a server that drains, because a
control host that was paused relayed the server's earlier report.  The property of
whole deployments is in tests/quality/test_drained_servers.py.
"""

from __future__ import annotations

import pytest

from kingcuppulley.backend_servers.change_log import ChangeLog
from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.instance_order import (
    CURRENT_INSTANCE_TIMEOUT_SECONDS,
)
from kingcuppulley.backend_servers.target_registry import TargetRegistry
from kingcuppulley.control.news import News
from kingcuppulley.control.relayed_sources import RelayedSources
from kingcuppulley.control.update_sender import RESEND_DELAY_SECONDS, Subscriber
from kingcuppulley.control.update_source import UpdateSource
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    RelayedUpdate,
    SourcePosition,
)
from tests.cover.test_control_subscription import CONTROL_HOST, Deployment
from tests.seeded_fakes import SERVICE, heartbeat

HOST = "control"
INSTANCE = "instance-1"


def known_target(registry: TargetRegistry):
    return next(t for t in registry.of_service(SERVICE) if t.name == "i-1")


def apply(registry, heartbeats, change_number, since=0, now=0.0, instance=INSTANCE):
    return registry.update(HOST, instance, change_number, heartbeats, now, since)


@pytest.mark.parametrize(
    "state",
    [ServingState.DRAINING, ServingState.UNRESPONSIVE, ServingState.GONE],
)
@pytest.mark.parametrize("later_sequence", [1, 2])
def test_an_earlier_update_does_not_make_a_server_ready_again(state, later_sequence):
    # A silence or a leave changes the state without a heartbeat.
    registry = TargetRegistry()
    ready = heartbeat(sequence=1)
    apply(registry, [ready], 1)
    apply(registry, [heartbeat(sequence=later_sequence, state=state)], 2, 1)
    assert apply(registry, [ready], 1, now=0.1) == []
    assert known_target(registry).state is state
    assert registry.subscription_position(HOST) == (INSTANCE, 2)


def test_an_earlier_update_brings_back_no_earlier_incarnation_or_address():
    registry = TargetRegistry()
    apply(registry, [heartbeat(sequence=9)], 1)
    apply(registry, [heartbeat(incarnation=2000, host="10.0.0.9")], 2, 1)
    apply(registry, [heartbeat(sequence=9)], 1, now=0.1)
    assert known_target(registry).incarnation == 2000
    assert known_target(registry).endpoint == ("10.0.0.9", 80)
    apply(registry, [heartbeat(incarnation=2000, sequence=2)], 3, 2)
    apply(registry, [heartbeat(incarnation=2000, host="10.0.0.9")], 2, 1)
    assert known_target(registry).endpoint == ("10.0.0.1", 80)


@pytest.mark.parametrize("since", [0, 1])
def test_an_update_that_arrives_twice_does_not_start_a_cold_time_again(since):
    registry = TargetRegistry()
    apply(registry, [heartbeat("i-2")], 1)
    cold = heartbeat(cold_remaining_seconds=2.0)
    apply(registry, [cold], 2, since, now=10.0)
    apply(registry, [cold], 2, since, now=30.0)
    assert known_target(registry).cold_deadline == 12.0


def test_a_report_of_another_control_host_does_not_start_a_cold_time_again():
    registry = TargetRegistry()
    apply(registry, [heartbeat(sequence=2, cold_remaining_seconds=2.0)], 1, now=10.0)
    registry.update("other", "instance", 1, [heartbeat(sequence=1)], 30.0)
    assert known_target(registry).cold_deadline == 12.0


def test_a_server_that_moved_here_does_not_go_back_to_its_earlier_report():
    # The other control host still has the report from before the server moved.
    registry = TargetRegistry()
    apply(registry, [heartbeat(sequence=1)], 1)
    registry.update("other", "instance", 1, [heartbeat(sequence=3)], 0.1)
    drained = heartbeat(sequence=4, state=ServingState.DRAINING)
    apply(registry, [drained], 2, 1, now=0.2)
    apply(registry, [heartbeat(sequence=1)], 1, now=0.3)
    assert known_target(registry).state is ServingState.DRAINING


def test_updates_beyond_a_gap_are_used_and_not_undone_by_earlier_ones():
    # An entry host that starts gets an update that continues from its position before
    # the start, then a delayed one from the beginning.
    registry = TargetRegistry()
    drained = heartbeat(sequence=2, state=ServingState.DRAINING)
    apply(registry, [drained], 9, since=8)
    assert registry.subscription_position(HOST) == (INSTANCE, 0)
    apply(registry, [heartbeat("i-2"), heartbeat(sequence=1)], 7)
    states = {target.name: target.state for target in registry.targets}
    assert states == {"i-1": ServingState.DRAINING, "i-2": ServingState.READY}
    assert registry.subscription_position(HOST) == (INSTANCE, 7)
    apply(registry, [drained, heartbeat("i-3")], 9, since=7)
    assert registry.subscription_position(HOST) == (INSTANCE, 9)
    assert len(list(registry.targets)) == 3


def test_an_earlier_instance_of_a_restarted_control_host_is_not_believed():
    registry = TargetRegistry()
    apply(registry, [heartbeat(sequence=1)], 5)
    silent = heartbeat(sequence=1, state=ServingState.UNRESPONSIVE)
    apply(registry, [silent], 1, instance="instance-2", now=1.0)
    assert apply(registry, [heartbeat(sequence=1)], 6, 5, now=1.5) == []
    assert registry.is_outdated(HOST, INSTANCE, 6, 1.5)
    assert known_target(registry).state is ServingState.UNRESPONSIVE
    assert registry.subscription_position(HOST) == ("instance-2", 1)


def test_the_running_instance_is_believed_again_after_a_delayed_message():
    # The host started after the restart of the control host, so it cannot know that
    # the delayed message is of the earlier instance.
    registry = TargetRegistry()
    apply(registry, [heartbeat(sequence=2)], 1, instance="running", now=0.0)
    apply(registry, [heartbeat("i-2")], 8, instance="ended", now=0.1)
    now = 0.2 + CURRENT_INSTANCE_TIMEOUT_SECONDS
    apply(registry, [heartbeat(sequence=2)], 1, instance="running", now=now)
    assert registry.subscription_position(HOST) == ("running", 1)


def test_an_instance_that_a_relay_heard_before_the_restart_is_not_believed():
    registry = TargetRegistry()
    registry.update(HOST, "running", 1, [heartbeat(sequence=2)], 5.0, 0, 5.0)
    registry.update(HOST, "ended", 8, [heartbeat("i-2")], 6.0, 0, 2.0)
    assert registry.subscription_position(HOST) == ("running", 1)


def control_update(instance, change_number, targets, since=0, **fields):
    return ControlUpdate(
        "b:1", instance, since, change_number, False, targets, 0, [], -1, 0, **fields
    )


def relayed_states(relayed: RelayedSources) -> dict[str, ServingState]:
    (source,) = relayed.sources
    return {entry.heartbeat.name: entry.state for entry in source.log.entries()}


def test_a_relay_keeps_its_copy_when_an_earlier_update_arrives():
    relayed = RelayedSources("a:1", "zone-a", lambda *_: None, ChangeLog())
    drained = heartbeat(sequence=2, state=ServingState.DRAINING)
    relayed.apply_update(control_update("one", 2, [drained], relay_zone="zone-b"), 1.0)
    for late in (
        control_update("one", 1, [heartbeat()]),
        control_update("one", 2, [heartbeat()], since=1),
    ):
        assert relayed.apply_update(late, 1.1) is News.NONE
    assert relayed_states(relayed) == {"i-1": ServingState.DRAINING}


def test_a_relay_keeps_the_copy_of_a_restarted_control_host():
    relayed = RelayedSources("a:1", "zone-a", lambda *_: None, ChangeLog())
    relayed.apply_update(control_update("one", 5, [heartbeat()]), 1.0)
    drained = heartbeat(sequence=2, state=ServingState.DRAINING)
    relayed.apply_update(control_update("two", 1, [drained]), 2.0)
    late = control_update("one", 6, [heartbeat()], since=5)
    assert relayed.apply_update(late, 2.1) is News.NONE
    assert relayed_states(relayed) == {"i-1": ServingState.DRAINING}


def test_a_relay_takes_no_list_of_hosts_or_relay_zone_from_an_earlier_update():
    sent: list[object] = []
    relayed = RelayedSources(
        "a:1", "zone-a", lambda *args: sent.append(args), ChangeLog()
    )
    relayed.apply_update(
        control_update("one", 2, [heartbeat()], relay_zone="zone-b"), 1.0
    )
    late = ControlUpdate("b:1", "one", 0, 1, False, [], 77, [], -1, 9000)
    relayed.apply_update(late, 1.1)
    (source,) = relayed.sources
    assert sent == []
    assert source.relay_zone == "zone-b"
    assert source.discovery_deadline <= 1.1


def test_a_lost_update_is_sent_again_while_later_changes_go_on():
    # Guards against a subscriber that lacks a change for as long as others follow.
    log = ChangeLog()
    source = UpdateSource(HOST, INSTANCE, log, 0.0)
    subscriber = Subscriber()
    log.record_change(heartbeat("i-1"), 0.0)
    position = SourcePosition(HOST, INSTANCE, 1)
    subscriber.confirm(position, 0.0)
    now = 0.0
    is_first_lost = True
    while subscriber.position(source) != 1 or is_first_lost:
        now += RESEND_DELAY_SECONDS / 2
        assert now < 5 * RESEND_DELAY_SECONDS
        log.record_change(heartbeat("i-2", sequence=round(now * 1000)), now)
        update = source.build_update(subscriber.position(source), [], -1, now)
        subscriber.record_sent(update, now)
        is_first_lost = False
        subscriber.confirm(position, now)


def test_an_entry_host_takes_nothing_else_from_an_earlier_update():
    # Guards against queued flows that wait for servers long after a start, and against
    # an age of the known state that a late message hides.
    deployment = Deployment()
    deployment.run(0.1)
    early = next(
        message
        for _, destination, message in deployment.sent
        if destination == "a1" and isinstance(message, RelayedUpdate)
    )
    assert early.updates[0].discovery_remaining_ms > 0
    deployment.run(0.5)
    deployment.configure(1)
    deployment.send_heartbeat(heartbeat())
    deployment.run(2.0)
    entry = deployment.entries["a1"]
    discovery_deadline = entry._placement.discovery_deadline
    deployment.cut_off = {"a1"}
    deployment.run(3.0)
    entry.receive(CONTROL_HOST, early, deployment.now)
    assert entry._placement.discovery_deadline == discovery_deadline
    gauges: dict[str, float] = {}
    entry.update_gauges(gauges, deployment.now)
    assert gauges["seconds_since_control"] > 2.5
