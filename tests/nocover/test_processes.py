"""Test real processes on loopback: crashes, lost disks and the documented commands."""

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
from tests.cover.test_explain_placement import explaining_host

ROOT = Path(__file__).parents[2]
# This deployment has no entry host that starts from seeds.
DOCUMENTED_ENTRY_HOST = "127.31.119.2:9464"
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


def wait_until(condition):
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.1)


def accepts_connections(address):
    try:
        socket.create_connection(address, timeout=10).close()
    except ConnectionRefusedError:
        return False
    return True


def send_request(deployment, request, name="entry-1"):
    address = (deployment.entry_host(name), SERVICE.port)
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(request)
        answer = b""
        while chunk := connection.recv(65536):
            answer += chunk
        return answer


def make_request(method="GET", body=b"", **headers):
    lines = [f"{method} /stock HTTP/1.1", "Host: desk", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def fetch_issued_key(deployment):
    request = make_request().replace(
        b"/stock", b"/.well-known/kingcuppulley/idempotency-key"
    )
    return send_request(deployment, request).rpartition(b"\r\n\r\n")[2].decode()


def test_a_request_is_answered_by_its_service(deployment):
    assert send_request(deployment, make_request(X_Marker="m")).startswith(
        b"HTTP/1.1 200"
    )


def test_a_keyed_booking_is_repeated_through_another_host_and_runs_once(deployment):
    key = fetch_issued_key(deployment)
    booking = make_request(
        "POST", b"roll", Idempotency_Key=key, X_Booking="x1", X_Marker="x1"
    )
    first_answer = send_request(deployment, booking, "entry-1")
    repeat_answer = send_request(deployment, booking, "entry-2")
    assert first_answer.startswith(b"HTTP/1.1 200")
    assert b"Idempotency-Replayed: true" in repeat_answer
    assert (
        first_answer.rpartition(b"\r\n\r\n")[2]
        == repeat_answer.rpartition(b"\r\n\r\n")[2]
    )


def test_every_hop_of_a_booking_records_a_span_in_the_callers_trace(deployment):
    trace = "0af7651916cd43dd8448eb211c80319c"
    header = f"00-{trace}-b7ad6b7169203331-01"
    key = fetch_issued_key(deployment)
    send_request(
        deployment, make_request("POST", Idempotency_Key=key, traceparent=header)
    )
    lines = deployment.trace_file("entry-1").read_text().splitlines()
    spans = [json.loads(line) for line in lines]
    names = {span["name"] for span in spans if trace in span["context"]["trace_id"]}
    assert names == {"entry", "claim", "steward", "attempt"}


@pytest.mark.parametrize(
    "header", [{"Request_Timeout": "soon"}, {"Request_Timeout": -1}]
)
def test_an_invalid_header_is_refused_as_not_run(deployment, header):
    answer = send_request(deployment, make_request(**header))
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"Kingcuppulley-Outcome: not-run" in answer


def test_a_body_above_the_limit_is_refused(deployment):
    answer = send_request(deployment, make_request("POST", b"x" * 1_100_000))
    assert answer.startswith(b"HTTP/1.1 413")


def test_an_announcement_with_a_wrong_token_is_refused(deployment):
    body = (
        b'{"name":"thief","service":"desk/desk","zone":"zone-a","host":"127.0.0.1",'
        b'"request_port":1,"packet_port":1,"incarnation":1}'
    )
    request = make_request("POST", body, Authorization="Bearer wrong")
    request = request.replace(b"/stock", b"/announcements")
    with socket.create_connection((deployment.entry_host("entry-1"), 7080)) as sock:
        sock.sendall(request)
        assert sock.recv(65536).startswith(b"HTTP/1.1 401")


def test_a_killed_control_host_keeps_its_accepted_changes(deployment):
    zone = {"name": "zone-z", "in_service": True}
    client = deployment.client("control-1")
    first_answer = client.change("/zones/zone-z", zone, 0, identifier="z-1")
    deployment.kill("control-1")
    deployment.start_control("control-1")
    deployment.wait_until_control_votes()
    assert deployment.client("control-1").version("/zones/zone-z") == 1
    assert client.change("/zones/zone-z", zone, 0, identifier="z-1") == first_answer


def test_a_control_host_recovers_an_empty_disk_from_the_others(deployment):
    zone = {"name": "zone-y", "in_service": True}
    deployment.client("control-2").change("/zones/zone-y", zone, 0, identifier="y-1")
    deployment.kill("control-2")
    shutil.rmtree(deployment.data_folder("control-2"))
    deployment.start_control("control-2")
    deployment.wait_until_control_votes()
    wait_until(lambda: deployment.client("control-2").version("/zones/zone-y") == 1)


def test_one_of_two_changes_with_the_same_expected_version_wins(deployment):
    zone = {"name": "zone-x", "in_service": True}
    deployment.client("control-1").change("/zones/zone-x", zone, 0, identifier="one")
    with pytest.raises(AdministrationError) as caught:
        deployment.client("control-3").change(
            "/zones/zone-x", zone, 0, identifier="two"
        )
    assert caught.value.status == 409
    assert caught.value.document["winner_change"] == "one"


def test_a_leaving_entry_host_completes_requests_in_progress(deployment):
    process_id = deployment.process_id("entry-2")
    assert process_id
    address = (deployment.entry_host("entry-2"), SERVICE.port)
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(make_request(X_Answer_Bytes=400_000))
        first_chunk = connection.recv(1000)
        deployment.signal("entry-2", signal.SIGTERM)
        answer = first_chunk
        while chunk := connection.recv(65536):
            answer += chunk
    assert len(answer.partition(b"\r\n\r\n")[2]) == 400_000
    assert deployment.end("entry-2") == 0
    deployment.start_entry("entry-2")
    deployment.wait_until_ready([SERVICE])


def test_connections_not_yet_accepted_when_a_host_leaves_get_an_answer(deployment):
    """Guard against a leaving host that closes connections it has not accepted.

    A busy host accepts late. The test pauses the host until all connections are queued,
    so that it accepts them as late as possible.
    """
    address = (deployment.entry_host("entry-2"), SERVICE.port)
    # The previous test restarted this host, which opens its ports some time later.
    wait_until(lambda: accepts_connections(address))
    # After a quiet moment, a host accepts one connection at a time.
    send_request(deployment, make_request(), "entry-2")
    deployment.signal("entry-2", signal.SIGSTOP)
    connections = [socket.create_connection(address, timeout=20) for _ in range(40)]
    for connection in connections:
        connection.sendall(make_request())
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


def test_a_service_whose_port_is_in_use_does_not_stop_other_services(deployment):
    """Every service listens on the only address of the entry host in this deployment.

    Two services with the same port therefore clash, and the second cannot listen.
    """
    clashing_service = ServicePlan(
        name="clash", address="192.0.2.98", port=8081, tier="requests", target_zones=()
    )
    deployment.accept_service(clashing_service)
    wait_until(
        lambda: deployment.metrics("entry-1").get(
            "kingcuppulley_listeners_not_opened_total", 0
        )
    )
    assert send_request(deployment, make_request()).startswith(b"HTTP/1.1 200")
    client = deployment.client()
    client.change("/accounts/clash", None)


def list_documented_commands():
    commands = []
    for page in sorted((ROOT / "docs" / "operate").glob("*.md")):
        for line in re.findall(r"^\$ kingcuppulley (.*)$", page.read_text(), re.M):
            commands.append(pytest.param(line, id=f"{page.stem}: {line}"))
    return commands


@pytest.mark.parametrize("line", list_documented_commands())
def test_every_documented_command_works_as_written(deployment, line, monkeypatch):
    monkeypatch.chdir(ROOT)
    line, _, expected = line.partition("  # exit ")
    environment = {
        "KINGCUPPULLEY_CONTROL": f"{deployment.control_host('control-1')}:7080",
        "KINGCUPPULLEY_TOKEN": OPERATOR_TOKEN,
    }
    with explaining_host() as entry_host:
        words = shlex.split(line.replace(DOCUMENTED_ENTRY_HOST, entry_host))
        result = CliRunner().invoke(application, words, env=environment)
    assert result.exit_code == int(expected or 0), result.output
