"""Check that the index of servers chooses as a comparison of all servers does."""

from __future__ import annotations

from collections import Counter
from itertools import count
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.fabric.placement import Placement, PlacementOutcome
from kingcuppulley.fabric.server_choice import INDEX_VALIDITY_SECONDS
from kingcuppulley.fabric.server_index import ServerIndex
from kingcuppulley.fabric.server_speed import ServerSpeed
from tests.seeded_fakes import SERVICE, flow_request, heartbeat, registry_of

REQUEST = flow_request(b"flow")
ZONES = {"zone-a": 4, "zone-b": 3, "zone-c": 2}


def placement_of(zones: dict[str, int], **fields: object) -> Placement:
    registry = registry_of(zones, **fields)
    return Placement("zone-a", registry, Random(5), lambda *_: None)


def report(placement: Placement, flows: list[int], now: float) -> None:
    targets = placement.choice._registry.of_service(SERVICE)
    loads = [
        (target.cookie, number)
        for target, number in zip(targets, flows, strict=False)
        if number
    ]
    placement.choice.update_reported_loads("other", loads, now)


@settings(max_examples=60, deadline=None)
@given(
    flows=st.lists(st.integers(0, 5), min_size=9, max_size=9),
    out=st.sampled_from([(), ("zone-a",), ("zone-b",)]),
    unreachable=st.sampled_from([(), ("zone-c",), ("zone-a",)]),
    draining=st.sets(st.integers(1, 9)),
)
def test_the_choice_has_the_probabilities_of_a_comparison_of_all(
    flows: list[int],
    out: tuple[str, ...],
    unreachable: tuple[str, ...],
    draining: set[int],
):
    placement = placement_of(ZONES)
    placement.choice.update_zones(frozenset(out), frozenset(unreachable))
    report(placement, flows, 0.0)
    placement.choice._index_of(SERVICE, 0, 0.0)
    # These servers change after the index was built.
    zone_numbers = [zone for zone, number in ZONES.items() for _ in range(number)]
    placement.choice._registry.update(
        "control",
        "instance-1",
        2,
        [
            heartbeat(
                f"i-{number}",
                zone=zone_numbers[number - 1],
                sequence=2,
                state=ServingState.DRAINING,
            )
            for number in draining
        ],
        0.0,
        1,
    )
    samples = 150
    by_index = Counter()
    by_comparison = Counter()
    for _ in range(samples):
        target, has_capacity, _ = placement.choice.choose(REQUEST, (), 0.01)
        by_index[target and target.name, has_capacity] += 1
        target, has_capacity, _ = placement.choice._compare_all(SERVICE, 0, (), 0.01)
        by_comparison[target and target.name, has_capacity] += 1
    for choice in by_index | by_comparison:
        difference = abs(by_index[choice] - by_comparison[choice])
        # Six standard deviations of the difference of two shares.
        assert difference <= 6 * (samples * 0.5) ** 0.5


def test_no_choice_is_worse_than_the_best_by_more_than_the_tie_break():
    placement = placement_of({"zone-a": 50, "zone-b": 50})
    generator = Random(1)
    for step in range(200):
        report(placement, [generator.randrange(6) for _ in range(100)], step * 0.01)
        target, _, _ = placement.choice.choose(REQUEST, (), step * 0.01)
        assert target is not None
        lowest = min(
            placement.choice.load(other.cookie).total_flows / other.slots
            + (0.8 if other.zone != "zone-a" else 0.0)
            for other in placement.choice._registry.of_service(SERVICE)
        )
        cost = placement.choice.load(target.cookie).total_flows / target.slots + (
            0.8 if target.zone != "zone-a" else 0.0
        )
        assert cost - lowest < 0.25


def test_reported_flows_count_until_their_report_expires_and_each_only_once():
    placement = placement_of({"zone-a": 3})
    target = placement.choice._registry.of_service(SERVICE)[0]
    placement.choice.update_reported_loads("b1", [(target.cookie, 3)], 0.0)
    placement.choice.update_reported_loads("b1", [(target.cookie, 2)], 0.1)
    placement.choice.update_reported_loads("c1", [(target.cookie, 4)], 0.2)
    assert placement.choice.load(target.cookie).total_flows == 6
    placement.tick(0.61)
    assert placement.choice.load(target.cookie).total_flows == 4
    placement.choice.update_reported_loads("c1", [], 0.65)
    assert placement.choice.load(target.cookie).total_flows == 0


def test_pattern_many_servers_are_not_compared_for_each_flow():
    """A service of 2,000 servers: a flow must not cost a look at each of them.

    The flows are those of one share, which has a coordinator of its own.
    """
    placement = placement_of({"zone-a": 500, "zone-b": 1500})
    ranked = count()
    rank = placement.choice._rank

    def counting_rank(*arguments):
        next(ranked)
        return rank(*arguments)

    placement.choice._rank = counting_rank  # type: ignore[method-assign]
    flows = 1000
    flow_ids = (b"flow-%d" % number for number in count())
    own_flow_ids = (
        flow
        for flow in flow_ids
        if placement.choice.shares.share_of_flow("zone-a", SERVICE, flow) == 1
    )
    for number in range(flows):
        now = number / flows
        request = flow_request(next(own_flow_ids), now)
        decision = placement.open_flow(request, now)
        assert decision.outcome is PlacementOutcome.PLACED
    builds = 1 + 1 / INDEX_VALIDITY_SECONDS
    assert next(ranked) <= 2 * flows + builds * 2000


def test_a_server_that_is_taken_out_keeps_the_others_in_their_places():
    registry = registry_of({"zone-a": 4})
    index = ServerIndex(0, 0.0)
    targets = registry.of_service(SERVICE)
    for target in targets:
        index.add(target, 0, ServerSpeed(), is_own=True)
    index.remove(targets[0].cookie)
    index.move(targets[3].cookie, 2)
    index.move(targets[1].cookie, 2)
    for seed in range(20):
        assert index.choose(Random(seed)) is targets[2]
    index.remove(targets[2].cookie)
    assert {index.choose(Random(seed)) for seed in range(40)} == {
        targets[1],
        targets[3],
    }
    index.remove(targets[1].cookie)
    index.remove(targets[3].cookie)
    assert index.choose(Random(1)) is None
