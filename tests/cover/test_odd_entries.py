"""Check that stored files, settings and announcements are decoded or refused."""

from __future__ import annotations

import json
import socket
import struct
import zlib
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.backend_servers.heartbeats import Heartbeat
from kingcuppulley.backend_servers.records import Announcement, TargetRecord
from kingcuppulley.backend_servers.server_list_file import ServerListFile
from kingcuppulley.control.acceptor import Acceptor
from kingcuppulley.control.journal import FileJournal
from kingcuppulley.control.state import Vote
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.entry_hosts.messages import CODEC
from kingcuppulley.errors import (
    KingcuppulleyError,
    MalformedMessageError,
    SettingsFaults,
    StorageError,
)
from kingcuppulley.operators.configuration import (
    check_change,
    decode_document,
    render_configuration,
)
from kingcuppulley.operators.story import read_timeline
from kingcuppulley.operators.templates import TemplateFaults
from kingcuppulley.platform.settings import load_settings
from kingcuppulley.settings import load_control_settings, load_entry_settings
from tests.odd_values import odd_struct

DEEP = b"\x91" * 5_000
ANNOUNCEMENT = {
    "name": "desk-1",
    "service": "trust/desk",
    "zone": "zone-a",
    "host": "10.0.0.1",
    "request_port": 80,
    "packet_port": 81,
    "incarnation": 4,
    "state": "warm",
}
SETTINGS = """
node = "core-1"
ip = "10.1.0.10"
zone = "zone-a"
internal_ports = [7720, 7735]
seeds = ["10.1.0.13:8166"]
heartbeat_ms = 1200
data_dir = "/data"
[zones]
zone-a = "region"
[listen]
control = "10.1.0.10:8166"
[tolerate]
machines = 1
[bounds]
grace_s = 6
[limits]
cpu_share = 0.6
cores = 2
link_mbps = 1000.0
"""
ODD_SETTINGS = [
    ('ip = "10.1.0.10"', 'ip = "core-1"'),
    ('ip = "10.1.0.10"', "ip" + ".a" * 5_000 + " = 1"),
    ("[7720, 7735]", "[70000, 7735]"),
    ("[7720, 7735]", "[7720]"),
    ("[7720, 7735]", "[" * 5_000 + "]" * 5_000),
    ("10.1.0.13:8166", "10.1.0.13:" + "9" * 5_000),
    ("10.1.0.13:8166", "10.1.0.13:0"),
    ("10.1.0.13:8166", "seed:8166"),
    ("heartbeat_ms = 1200", "heartbeat_ms = 0"),
    ("heartbeat_ms = 1200", "heartbeat_ms = -5"),
    ("heartbeat_ms = 1200", "heartbeat_ms = 1" + "0" * 400),
    ("heartbeat_ms = 1200", "heartbeat_ms = 1" + "0" * 5_000),
    ("machines = 1", "machines = -1"),
    ("machines = 1", "machines = 1" + "0" * 30),
    ("grace_s = 6", "grace_s = nan"),
    ("grace_s = 6", "grace_s = inf"),
    ("grace_s = 6", "grace_s = -1"),
    ("cpu_share = 0.6", "cpu_share = inf"),
    ("cpu_share = 0.6", "cpu_share = 2020-99-99"),
]


def frame_vote(payload: bytes) -> bytes:
    checksum = zlib.crc32(payload, zlib.crc32(struct.pack("!Q", 1)))
    return struct.pack("!QII", 1, len(payload), checksum) + payload


def frame_list(payload: bytes) -> bytes:
    return struct.pack("!II", len(payload), zlib.crc32(payload)) + payload


def encode(value: object) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b""


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(payload=odd_struct(Vote).map(encode) | st.binary(max_size=60) | st.just(DEEP))
def test_a_stored_vote_is_read_or_refused_with_a_remedy(payload):
    # Guards against a control host that ends at each start with another error.
    with TemporaryDirectory() as folder:
        (Path(folder) / "vote-1").write_bytes(frame_vote(payload))
        store = FileVoteStore(Path(folder))
        try:
            vote = store.read()
        except StorageError:
            return
        assert vote is not None
        store.write(vote)
        assert FileVoteStore(Path(folder)).read() == vote


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    payload=st.lists(odd_struct(Heartbeat), max_size=2).map(encode)
    | st.binary(max_size=60)
    | st.just(DEEP)
)
def test_a_stored_list_of_servers_is_read_or_empty(payload):
    # Guards against a control host that does not start because of one odd entry.
    with TemporaryDirectory() as folder:
        (Path(folder) / "servers").write_bytes(frame_list(payload))
        file = ServerListFile(Path(folder))
        servers = file.read()
        file.write(servers)
        assert file.read() == servers
        for server in servers:
            socket.inet_pton(socket.AF_INET, server.host)
            assert 0 < server.port < 1 << 16


@pytest.mark.parametrize("record", [DEEP, b"\x81\xa4type\xa3odd", b"\xc1"])
def test_a_journal_of_another_build_is_refused_with_a_remedy(tmp_path, record):
    # Guards against a control host that ends at each start with another error.
    journal = FileJournal(tmp_path)
    journal.append([record])
    with pytest.raises(StorageError):
        Acceptor(FileJournal(tmp_path))


@pytest.mark.parametrize(("usual", "odd"), ODD_SETTINGS)
def test_odd_settings_are_refused_with_a_remedy(tmp_path, usual, odd):
    # Guards against processes that end at each start, or at a change of settings.
    assert usual in SETTINGS
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS)
    load_settings(str(file))
    file.write_text(SETTINGS.replace(usual, odd))
    with pytest.raises(SettingsFaults):
        load_settings(str(file))


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    data=st.binary(max_size=100)
    | st.integers(1, 3_000).map(lambda depth: b"a = " + b"[" * depth)
    | st.integers(1, 3_000).map(lambda length: b"name = " + b"9" * (2 * length))
)
def test_bytes_that_are_no_settings_are_refused(data):
    with TemporaryDirectory() as folder:
        file = Path(folder) / "settings.toml"
        file.write_bytes(data)
        for load in (load_settings, load_entry_settings, load_control_settings):
            with pytest.raises(SettingsFaults):
                load(str(file) if load is load_settings else file)  # type: ignore[arg-type]


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(
    changes=st.dictionaries(
        st.sampled_from(sorted(ANNOUNCEMENT)),
        st.sampled_from(["", "10.0.0.256", "x" * 400, "zone\0", -1, 0, 70_000])
        | st.integers(-(1 << 70), 1 << 70),
        max_size=2,
    )
)
def test_an_announcement_is_refused_or_can_be_sent_on(changes):
    # Guards against a port out of range or a number too large in the list of servers.
    body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except msgspec.MsgspecError:
        return
    record = TargetRecord(**msgspec.structs.asdict(announcement))
    assert (
        msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=TargetRecord)
        == record
    )
    socket.inet_pton(socket.AF_INET, record.host)
    for port in (record.request_port, record.packet_port):
        assert 0 < port < 1 << 16


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(data=st.binary(max_size=100) | st.integers(1, 5_000).map(lambda n: b"\x91" * n))
def test_a_message_of_another_entry_host_is_refused_or_decoded(data):
    try:
        CODEC.decode(data)
    except MalformedMessageError:
        return


@pytest.mark.parametrize(
    "address", ["10.0.0.1\0", "é", "10.0.0.256", "", "10.0.0.1 ", 7, []]
)
def test_a_template_with_an_odd_address_is_refused(address):
    # Guards against `ValueError` from an address with a null character.
    template = {
        "name": "kind",
        "services": [
            {
                "name": "desk",
                "address": address,
                "port": 80,
                "protocol": "tcp",
                "tier": "requests",
                "zones": ["zone-a"],
            }
        ],
    }
    account = {
        "name": "trust",
        "template": "kind",
        "announcement_token_hash": "0" * 64,
    }
    empty = render_configuration([])
    try:
        document = decode_document("template/kind", json.dumps(template).encode())
        check_change(empty, document)
        known = msgspec.structs.replace(empty, templates={"kind": document})
        check_change(
            known, decode_document("account/trust", json.dumps(account).encode())
        )
    except (msgspec.MsgspecError, TemplateFaults, KingcuppulleyError):
        return
    raise AssertionError("the address was accepted")


def test_a_log_line_that_is_nested_deeply_is_skipped(tmp_path):
    line = '{"message_type": "kingcuppulley:flow", "x": ' + "[" * 5_000
    (tmp_path / "log").write_text(line + "]" * 5_000 + "}\n")
    assert read_timeline(tmp_path, ["x"], 1.0) == []
