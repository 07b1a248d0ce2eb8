"""Check that control hosts know the backend servers again after a loss of power.

The load is callers with open flows, whose packets must reach their servers although no
server has sent a heartbeat since all hosts started again.
"""

from __future__ import annotations

import errno
import os

import pytest

from kingcuppulley.backend_servers.heartbeat_table import (
    HEARTBEAT_TIMEOUT_INTERVALS,
    HeartbeatTable,
)
from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.server_list_file import ServerListFile
from kingcuppulley.backend_servers.target_registry import TargetRegistry, derive_cookie
from kingcuppulley.control.disk_thread import DiskThread
from kingcuppulley.control.seeded_host import SERVER_LIST_INTERVAL_SECONDS
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.counters import Metrics
from tests.cover.test_control_subscription import ENTRY_HOSTS, Deployment
from tests.cover.test_full_disks import MainThreadQueue
from tests.seeded_fakes import heartbeat

SERVERS = [heartbeat("i-1"), heartbeat("i-2", host="10.0.0.2")]


def test_a_list_is_read_back_and_replaced_as_a_whole(tmp_path):
    file = ServerListFile(tmp_path / "data")
    assert file.read() == []
    file.write(SERVERS)
    assert ServerListFile(tmp_path / "data").read() == SERVERS
    file.write(SERVERS[:1])
    assert file.read() == SERVERS[:1]


@pytest.mark.parametrize("kept_bytes", [0, 7, 8, 30])
def test_a_partial_list_is_as_good_as_none(tmp_path, kept_bytes):
    file = ServerListFile(tmp_path)
    file.write(SERVERS)
    path = tmp_path / "servers"
    path.write_bytes(path.read_bytes()[:kept_bytes])
    assert file.read() == []


@pytest.mark.parametrize("offset", [0, 5, 8, 40])
def test_a_damaged_list_is_as_good_as_none(tmp_path, offset):
    file = ServerListFile(tmp_path)
    file.write(SERVERS)
    data = bytearray((tmp_path / "servers").read_bytes())
    data[offset] ^= 0xFF
    (tmp_path / "servers").write_bytes(bytes(data))
    assert file.read() == []


@pytest.mark.parametrize("failing", ["write", "fsync", "replace"])
def test_a_full_disk_keeps_the_old_list_and_no_other_file(
    tmp_path, monkeypatch, failing
):
    file = ServerListFile(tmp_path)
    file.write(SERVERS)

    def refuse(*_):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patch:
        patch.setattr(os, failing, refuse)
        with pytest.raises(StorageError, match="free space"):
            file.write(SERVERS[:1])
    assert file.read() == SERVERS
    file.write(SERVERS[:1])
    assert [path.name for path in tmp_path.iterdir()] == ["servers"]


def test_a_list_that_could_not_be_stored_is_reported_and_votes_go_on(
    tmp_path, monkeypatch
):
    main_thread = MainThreadQueue()
    metrics = Metrics()
    file = ServerListFile(tmp_path)
    disk = DiskThread(FileVoteStore(tmp_path), main_thread, metrics, file)
    reports = []
    disk.on_servers_not_written = lambda: reports.append("not written")
    disk.start()

    def refuse(*_):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "replace", refuse)
    disk.write_servers(SERVERS)
    main_thread.run_next()
    assert reports == ["not written"]
    assert disk.is_running


def table_with_restored_server() -> HeartbeatTable:
    table = HeartbeatTable(1.0)
    table.restore([heartbeat(sequence=50, cold_remaining_seconds=9.0)], 0.0)
    return table


def test_a_restored_server_gets_no_new_flows_before_its_next_heartbeat():
    """It may have begun to leave, or have become cold, while no host listened."""
    table = table_with_restored_server()
    (restored,) = table.changes_since(0, 0.0).targets
    assert restored.state is ServingState.DRAINING
    assert table.receive_heartbeat(heartbeat(sequence=0), 0.5)
    (reported,) = table.changes_since(0, 0.5).targets
    assert reported.state is ServingState.READY


def test_a_restored_server_without_heartbeats_times_out_and_is_not_stored_again():
    table = table_with_restored_server()
    assert len(table.known_servers()) == 1
    assert table.tick(HEARTBEAT_TIMEOUT_INTERVALS + 0.1)
    assert table.known_servers() == []


def test_a_restarted_control_host_does_not_overrule_what_entry_hosts_know():
    """They keep the newer reports of its previous process."""
    registry = TargetRegistry()
    registry.update("control", "first", 1, [heartbeat(sequence=50)], 0.0)
    table = table_with_restored_server()
    registry.update("control", "second", 1, table.changes_since(0, 1.0).targets, 1.0)
    (target,) = registry.targets
    assert target.state is ServingState.READY


def test_pattern_all_hosts_lose_power_while_callers_have_open_flows():
    deployment = Deployment()
    deployment.configure(1)
    for server in SERVERS:
        deployment.send_heartbeat(server)
    deployment.run(2 * SERVER_LIST_INTERVAL_SECONDS)
    stored = deployment.control.servers_to_store()
    assert stored == SERVERS
    assert deployment.control.servers_to_store() is None

    deployment.control = deployment.start_control()
    deployment.control.restore_servers(stored)
    for name in ENTRY_HOSTS:
        deployment.entries[name] = deployment.start_entry(name)
    deployment.run(0.6)
    entry, sent = deployment.entries["a1"], deployment.recorders["a1"]
    sent.to_targets.clear()
    cookie = derive_cookie("i-2", SERVERS[1].incarnation)
    entry.router.packet_from_fabric(f"flow data {cookie}".encode(), deployment.now)
    entry.router.packet_from_fabric(b"other open 0", deployment.now)
    assert [endpoint for _, endpoint in sent.to_targets] == [("10.0.0.2", 80)]

    deployment.send_heartbeat(heartbeat("i-1", sequence=2))
    deployment.run(0.3)
    entry.router.packet_from_fabric(b"third open 0", deployment.now)
    deployment.run(0.1)
    assert ("10.0.0.1", 80) in [endpoint for _, endpoint in sent.to_targets]
    deployment.run(SERVER_LIST_INTERVAL_SECONDS)
    assert deployment.control.servers_to_store() is None


def test_a_failed_list_is_written_again_although_no_server_changed():
    deployment = Deployment()
    deployment.send_heartbeat(SERVERS[0])
    assert deployment.control.servers_to_store() == SERVERS[:1]
    deployment.control.servers_not_stored()
    deployment.run(SERVER_LIST_INTERVAL_SECONDS)
    assert deployment.control.servers_to_store() == SERVERS[:1]
