"""Check that the logs of several processes are merged into one timeline."""

from __future__ import annotations

import json

from typer.testing import CliRunner

from kingcuppulley.operators.command_line import application
from kingcuppulley.operators.story import flow_id, read_timeline

FLOW = "01bb644000079c41c6120001"


def write_log(folder, process, *messages):
    lines = [
        json.dumps(
            {
                "timestamp": at,
                "process": process,
                "message_type": f"kingcuppulley:{kind}",
                **fields,
            }
        )
        for at, kind, fields in messages
    ]
    (folder / f"{process}.log").write_text("\n".join(["noise {", *lines]) + "\n")


def write_logs(folder):
    write_log(
        folder,
        "edge-1",
        (10.0, "state in force", {"version": 3}),
        (10.3, "flow", {"flow": FLOW, "outcome": "held"}),
        (10.4, "flow", {"flow": "another", "outcome": "placed"}),
    )
    write_log(
        folder,
        "edge-2",
        (10.5, "flow", {"flow": FLOW, "outcome": "refused", "reason": "too many"}),
        (50.0, "state in force", {"version": 4}),
    )


def test_a_flow_timeline_is_in_order_of_time_and_includes_changes_of_state(tmp_path):
    write_logs(tmp_path)
    timeline = read_timeline(tmp_path, [FLOW], around=1.0)
    assert [(event.process, event.kind) for event in timeline] == [
        ("edge-1", "state in force"),
        ("edge-1", "flow"),
        ("edge-2", "flow"),
    ]


def test_an_unknown_flow_has_an_empty_timeline(tmp_path):
    write_logs(tmp_path)
    assert read_timeline(tmp_path, ["unknown-flow"], around=1.0) == []


def test_the_id_of_a_flow_follows_from_its_addresses():
    assert flow_id("100.64.0.7", 40001, "198.18.0.1", 443) == FLOW


def test_the_explain_command_prints_the_timeline(tmp_path):
    write_logs(tmp_path)
    result = CliRunner().invoke(application, ["explain", str(tmp_path), FLOW])
    assert result.exit_code == 0
    assert "outcome=refused" in result.output
    unknown = CliRunner().invoke(
        application, ["explain", str(tmp_path), "unknown-flow"]
    )
    assert unknown.exit_code == 1
