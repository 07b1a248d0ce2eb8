"""Run real processes on loopback: kill them, take their disks, and read the docs."""

import json
import re
import shlex
import shutil
import signal
import socket
import time
from pathlib import Path

import pytest
from typer.testing import CliRunner

from kingcuppulley.experiments.processes import (
    OPERATOR_TOKEN,
    Deployment,
    Plan,
    ServicePlan,
)
from kingcuppulley.operators.client import AdministrationError
from kingcuppulley.operators.command_line import application

ROOT = Path(__file__).parents[2]
SERVICE = ServicePlan(
    name="desk",
    address="192.0.2.99",
    port=8081,
    tier="requests",
    target_zones=("zone-a", "zone-b"),
    cold_seconds=0.0,
)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    zones = ("zone-a", "zone-b")
    plan = Plan(zones=zones, entry_hosts=zones, writes_traces=True)
    deployment = Deployment(tmp_path_factory.mktemp("deployment"), plan)
    try:
        deployment.bring_up([SERVICE])
        yield deployment
    finally:
        deployment.end_all()


def wait_for(condition):
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.1)


def accepts(address):
    try:
        socket.create_connection(address, timeout=10).close()
    except ConnectionRefusedError:
        return False
    return True


def ask(deployment, request, name="entry-1"):
    address = (deployment.entry_host(name), SERVICE.port)
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(request)
        answer = b""
        while piece := connection.recv(65536):
            answer += piece
        return answer


def http(method="GET", body=b"", **headers):
    lines = [f"{method} /stock HTTP/1.1", "Host: desk", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def issued_key(deployment):
    request = http().replace(b"/stock", b"/.well-known/kingcuppulley/idempotency-key")
    return ask(deployment, request).rpartition(b"\r\n\r\n")[2].decode()


def test_a_request_is_answered_by_its_service(deployment):
    assert ask(deployment, http(X_Marker="m")).startswith(b"HTTP/1.1 200")


def test_a_keyed_booking_is_repeated_through_another_host_and_runs_once(deployment):
    key = issued_key(deployment)
    booking = http("POST", b"roll", Idempotency_Key=key, X_Booking="x1", X_Marker="x1")
    first = ask(deployment, booking, "entry-1")
    again = ask(deployment, booking, "entry-2")
    assert first.startswith(b"HTTP/1.1 200")
    assert b"Idempotency-Replayed: true" in again
    assert first.rpartition(b"\r\n\r\n")[2] == again.rpartition(b"\r\n\r\n")[2]


def test_every_hop_of_a_booking_leaves_a_span_in_the_callers_trace(deployment):
    trace = "0af7651916cd43dd8448eb211c80319c"
    header = f"00-{trace}-b7ad6b7169203331-01"
    key = issued_key(deployment)
    ask(deployment, http("POST", Idempotency_Key=key, traceparent=header))
    lines = deployment.trace_file("entry-1").read_text().splitlines()
    spans = [json.loads(line) for line in lines]
    names = {span["name"] for span in spans if trace in span["context"]["trace_id"]}
    assert names == {"entry", "claim", "steward", "attempt"}


@pytest.mark.parametrize(
    "header", [{"Request_Timeout": "soon"}, {"Request_Timeout": -1}]
)
def test_a_header_that_makes_no_sense_is_refused_as_not_run(deployment, header):
    answer = ask(deployment, http(**header))
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"Kingcuppulley-Outcome: not-run" in answer


def test_a_body_above_the_limit_is_refused(deployment):
    answer = ask(deployment, http("POST", b"x" * 1_100_000))
    assert answer.startswith(b"HTTP/1.1 413")


def test_an_announcement_with_a_foreign_token_is_refused(deployment):
    body = (
        b'{"name":"thief","service":"desk/desk","zone":"zone-a","host":"127.0.0.1",'
        b'"request_port":1,"packet_port":1,"incarnation":1}'
    )
    request = http("POST", body, Authorization="Bearer wrong")
    request = request.replace(b"/stock", b"/announcements")
    with socket.create_connection((deployment.entry_host("entry-1"), 7080)) as sock:
        sock.sendall(request)
        assert sock.recv(65536).startswith(b"HTTP/1.1 401")


def test_a_killed_control_host_keeps_what_it_accepted(deployment):
    zone = {"name": "zone-z", "in_service": True}
    client = deployment.client("control-1")
    first = client.change("/zones/zone-z", zone, 0, identifier="z-1")
    deployment.kill("control-1")
    deployment.start_control("control-1")
    deployment.wait_until_control_votes()
    assert deployment.client("control-1").version("/zones/zone-z") == 1
    assert client.change("/zones/zone-z", zone, 0, identifier="z-1") == first


def test_a_control_host_recovers_an_empty_disk_from_the_others(deployment):
    zone = {"name": "zone-y", "in_service": True}
    deployment.client("control-2").change("/zones/zone-y", zone, 0, identifier="y-1")
    deployment.kill("control-2")
    shutil.rmtree(deployment.data_folder("control-2"))
    deployment.start_control("control-2")
    deployment.wait_until_control_votes()
    wait_for(lambda: deployment.client("control-2").version("/zones/zone-y") == 1)


def test_two_operators_with_equal_numbers_get_one_winner(deployment):
    zone = {"name": "zone-x", "in_service": True}
    deployment.client("control-1").change("/zones/zone-x", zone, 0, identifier="one")
    with pytest.raises(AdministrationError) as caught:
        deployment.client("control-3").change(
            "/zones/zone-x", zone, 0, identifier="two"
        )
    assert caught.value.status == 409
    assert caught.value.document["winner_change"] == "one"


def test_an_entry_host_that_leaves_ends_what_it_has_begun(deployment):
    process_id = deployment.process_id("entry-2")
    assert process_id
    address = (deployment.entry_host("entry-2"), SERVICE.port)
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(http(X_Answer_Bytes=400_000))
        first = connection.recv(1000)
        deployment.signal("entry-2", signal.SIGTERM)
        answer = first
        while piece := connection.recv(65536):
            answer += piece
    assert len(answer.partition(b"\r\n\r\n")[2]) == 400_000
    assert deployment.end("entry-2") == 0
    deployment.start_entry("entry-2")
    deployment.wait_until_ready([SERVICE])


def test_connections_that_wait_when_a_host_is_told_to_leave_get_an_answer(deployment):
    """A busy host has not taken them yet: a pause makes it as late as can be."""
    address = (deployment.entry_host("entry-2"), SERVICE.port)
    # The test before restarted this host, which opens its ports some time after that.
    wait_for(lambda: accepts(address))
    # After a calm moment a host takes one connection at a time.
    ask(deployment, http(), "entry-2")
    deployment.signal("entry-2", signal.SIGSTOP)
    connections = [socket.create_connection(address, timeout=20) for _ in range(40)]
    for connection in connections:
        connection.sendall(http())
    deployment.signal("entry-2", signal.SIGTERM)
    deployment.signal("entry-2", signal.SIGCONT)
    answers = []
    for connection in connections:
        with connection:
            answers.append(connection.recv(65536)[:9])
    assert set(answers) == {b"HTTP/1.1 "}
    assert deployment.end("entry-2") == 0
    deployment.start_entry("entry-2")
    deployment.wait_until_ready([SERVICE])


def test_a_service_whose_port_is_taken_stops_no_other(deployment):
    """Both listen on the entry host's one address here, so the second cannot open."""
    clash = ServicePlan(
        name="clash", address="192.0.2.98", port=8081, tier="requests", target_zones=()
    )
    deployment.accept_service(clash)
    wait_for(
        lambda: deployment.metrics("entry-1").get(
            "kingcuppulley_listeners_not_opened_total", 0
        )
    )
    assert ask(deployment, http()).startswith(b"HTTP/1.1 200")
    client = deployment.client()
    client.change("/accounts/clash", None)


def documented_commands():
    commands = []
    for page in sorted((ROOT / "docs" / "operate").glob("*.md")):
        for line in re.findall(r"^\$ kingcuppulley (.*)$", page.read_text(), re.M):
            commands.append(pytest.param(line, id=f"{page.stem}: {line}"))
    return commands


@pytest.mark.parametrize("line", documented_commands())
def test_every_documented_command_works_as_written(deployment, line, monkeypatch):
    monkeypatch.chdir(ROOT)
    line, _, expected = line.partition("  # exit ")
    environment = {
        "KINGCUPPULLEY_CONTROL": f"{deployment.control_host('control-1')}:7080",
        "KINGCUPPULLEY_TOKEN": OPERATOR_TOKEN,
    }
    result = CliRunner().invoke(application, shlex.split(line), env=environment)
    assert result.exit_code == int(expected or 0), result.output
