"""Check that an explanation names what a placement would do, and changes nothing."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace

import pytest
from typer.testing import CliRunner

from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo
from kingcuppulley.fabric.cookie_router import ANSWER_TRAVEL_SECONDS
from kingcuppulley.fabric.placement import PlacementOutcome
from kingcuppulley.fabric.placement_explanation import (
    ExpectedOutcome,
    PlacementExplainer,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators import placement_query
from kingcuppulley.operators.command_line import application
from kingcuppulley.operators.routing import (
    Route,
    RoutingConfiguration,
    RoutingTable,
    ServiceShare,
)
from kingcuppulley.operators.story import flow_id
from kingcuppulley.platform.packets import PlatformPackets
from kingcuppulley.seeded.daemon import serve_metrics
from kingcuppulley.seeded.entry import PLACEMENT_PATH
from kingcuppulley.seeded.placement_answer import PlacementAnswer
from kingcuppulley.seeded_settings import SocketAddress
from tests.seeded_fakes import (
    OBJECTIVE_SECONDS,
    OPENING_TIMEOUT_SECONDS,
    SERVICE,
    LoadRun,
    flow_request,
    registry_of,
)

ROUTE_KEY = bytes.fromhex("c612000101bb")


class FakeRequestPackets(PlatformPackets):
    """Let callers time out as those of `flow_request`, which omits the travel time."""

    opening_timeout_seconds = OPENING_TIMEOUT_SECONDS + ANSWER_TRAVEL_SECONDS


def explainer_of(run: LoadRun, *other_hosts: str) -> PlacementExplainer:
    table = RoutingTable()
    objective = OBJECTIVE_SECONDS + ANSWER_TRAVEL_SECONDS
    shares = (ServiceShare(SERVICE, 1),)
    route = Route("desk", ROUTE_KEY, shares, 1.0, objective, 1)
    table.update(RoutingConfiguration(1, (route,), ()))
    hosts = CoordinatorTable("a1", "zone-a")
    hosts.update([EntryHostInfo(name, "zone-a", False) for name in other_hosts], 0.0)
    return PlacementExplainer(
        "a1", "zone-a", FakeRequestPackets(), table, hosts, run.placement
    )


def run_load(
    load: float, is_cold: bool, is_explained: bool
) -> tuple[LoadRun, set[ExpectedOutcome]]:
    """Run a load on two zones and compare each decision with its explanation."""
    run = LoadRun(registry_of({"zone-a": 6, "zone-b": 2}))
    for target in run.registry.targets:
        target.cold_deadline = 5.0 if is_cold else 0.0
    explainer = explainer_of(run)
    open_flow = run.placement.open_flow
    seen = set()

    def explain_and_open(request, now):
        explanation = explainer.explain(request.flow, ROUTE_KEY, True, now)
        decision = open_flow(request, now)
        seen.add(explanation.outcome)
        if explanation.outcome is ExpectedOutcome.DEPENDS_ON_TIE_BREAK:
            assert "placed, or queued" in explanation.reason
            assert decision.outcome is not PlacementOutcome.REFUSED
        else:
            assert decision.outcome.name == explanation.outcome.name
        if decision.target is not None:
            servers = {server.name: server for server in explanation.servers}
            assert servers[decision.target.name].may_be_chosen
            assert servers[decision.target.name].flows == decision.load
        return decision

    if is_explained:
        run.placement.open_flow = explain_and_open
    run.run_load(load * 16 / 0.05, 10.0, 0.05)
    return run, seen


@pytest.mark.parametrize(
    ("load", "is_cold"), [(0.5, False), (1.0, False), (2.5, False), (1.0, True)]
)
def test_the_explained_outcome_is_the_decision_and_changes_nothing(
    load: float, is_cold: bool
):
    """A load that is explained flow by flow must be placed as one that is not."""
    explained, seen = run_load(load, is_cold, True)
    plain, _ = run_load(load, is_cold, False)
    for name in ("durations", "arrivals", "refused"):
        assert getattr(explained, name) == getattr(plain, name)
    generators = [run.placement.choice._generator for run in (explained, plain)]
    assert generators[0].getstate() == generators[1].getstate()
    assert ExpectedOutcome.PLACED in seen
    assert (ExpectedOutcome.QUEUED in seen) is (load >= 1.0)
    assert (ExpectedOutcome.REFUSED in seen) is (load >= 2.0 or is_cold)


def test_a_flow_is_explained_as_queued_behind_those_that_wait():
    run = LoadRun(registry_of({"zone-a": 1}))
    cookie = next(iter(run.registry.targets)).cookie
    run.placement.choice.update_reported_loads("a2", [(cookie, 4)], 0.0)
    run.placement.open_flow(flow_request(b"first"), 0.0)
    run.placement.choice.update_reported_loads("a2", [], 0.0)
    explanation = explainer_of(run).explain(b"second", ROUTE_KEY, True, 0.0)
    decision = run.placement.open_flow(flow_request(b"second"), 0.0)
    assert decision.outcome is PlacementOutcome.QUEUED
    assert explanation.outcome is ExpectedOutcome.QUEUED
    assert explanation.reason == "other flows are queued"


def test_a_host_that_does_not_decide_says_who_does_or_why_not():
    run = LoadRun(registry_of({}))
    flow = bytes(12)
    explain = explainer_of(run).explain
    unknown = explain(flow, b"other", True, 0.0)
    assert (unknown.outcome, unknown.reason) == (ExpectedOutcome.REFUSED, "no route")
    assert explain(flow, ROUTE_KEY, False, 0.0).outcome is ExpectedOutcome.DROPPED
    assert explain(flow, ROUTE_KEY, True, 0.0).reason == "no server within reach"
    sent = explainer_of(run, "a2").explain(flow, ROUTE_KEY, True, 0.0)
    assert sent.outcome is ExpectedOutcome.SENT_TO_COORDINATOR
    assert (sent.coordinator, sent.is_coordinator) == ("a2", False)


@contextmanager
def explaining_host() -> Iterator[str]:
    """Serve metrics and explanations as an entry host does; yield the address."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = SocketAddress(*probe.getsockname())
    explain = explainer_of(LoadRun(registry_of({"zone-a": 2}))).explain
    answer = PlacementAnswer(PlatformPackets(), lambda *flow: explain(*flow, True, 0.0))
    handlers = {PLACEMENT_PATH: answer.answer}
    loop = asyncio.new_event_loop()
    loop.run_until_complete(
        serve_metrics(loop, address, Metrics(), lambda _: None, handlers)
    )
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield str(address)
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


def explain_command(host: str, *options: str, route: str = "198.18.0.1:443"):
    words = [host, "--route", route, "--caller", "100.64.0.7:40001", *options]
    return CliRunner().invoke(application, ["explain-placement", *words])


def test_the_command_prints_the_explanation():
    with explaining_host() as host:
        text = explain_command(host).stdout
        document = json.loads(explain_command(host, "--json").stdout)
    assert "outcome: placed\nreason: least load\n" in text
    assert document["flow"] == flow_id("100.64.0.7", 40001, "198.18.0.1", 443)
    assert document["route"] == "desk"
    assert [server["name"] for server in document["servers"]] == ["i-1", "i-2"]


def test_the_command_reports_an_error_and_its_remedy(monkeypatch):
    """Hosts of earlier builds answer every path with metrics."""
    assert explain_command("127.0.0.1:1").exit_code == 6
    with explaining_host() as host:
        for route in ("198.18.0.1", "198.18.0:443", "198.18.0.1:0", ":"):
            result = explain_command(host, route=route)
            assert result.exit_code == 4
            assert f"route={route}: name an IPv4 address and a port" in result.output
        monkeypatch.setattr(placement_query, "PLACEMENT_PATH", "/metrics")
        result = explain_command(host)
    assert result.exit_code == 1
    assert "does not explain placements" in result.output


def test_an_upload_that_the_link_cannot_carry_is_explained_as_refused():
    """Otherwise the answer names servers for a flow that its host would reset."""
    run = LoadRun(registry_of({"zone-a": 1}))
    explainer = explainer_of(run)
    link = explainer._link = SimpleNamespace(
        queued_bytes=1000, has_room=lambda key, objective: False
    )
    explanation = explainer.explain(b"flow", ROUTE_KEY, True, 0.0)
    assert explanation.outcome is ExpectedOutcome.REFUSED
    assert explanation.reason == "link backlog"
    assert explanation.link_queued_bytes == 1000
    link.has_room = lambda key, objective: True
    explanation = explainer.explain(b"flow", ROUTE_KEY, True, 0.0)
    assert explanation.outcome is ExpectedOutcome.PLACED
