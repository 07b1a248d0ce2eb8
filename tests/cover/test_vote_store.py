"""Check that a vote survives crashes, partial writes and full disks, on real files."""

from __future__ import annotations

import os

import pytest

from kingcuppulley.control.ensemble_host import initial_vote
from kingcuppulley.control.registers import Ballot
from kingcuppulley.control.state import ChosenVoters, RoutingState, Vote
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.errors import StorageError


def vote(number: int, size: int = 100) -> Vote:
    state = RoutingState(revision=number, configuration=bytes(size))
    ballot = Ballot(number, "process")
    return Vote("disk", ballot, ballot, state, ChosenVoters())


def test_an_empty_folder_holds_no_vote(tmp_path):
    assert FileVoteStore(tmp_path / "data").read() is None


def test_the_last_vote_is_read_back_after_each_write(tmp_path):
    store = FileVoteStore(tmp_path)
    for number in range(1, 8):
        store.write(vote(number, size=1000 - 100 * number))
        assert FileVoteStore(tmp_path).read() == vote(number, 1000 - 100 * number)


def test_a_restarted_process_writes_after_the_last_vote(tmp_path):
    FileVoteStore(tmp_path).write(vote(1))
    store = FileVoteStore(tmp_path)
    store.read()
    store.write(vote(2))
    assert FileVoteStore(tmp_path).read() == vote(2)


@pytest.mark.parametrize("kept_bytes", [0, 1, 15, 16, 17, 60])
def test_a_partial_write_leaves_the_previous_vote(tmp_path, kept_bytes):
    store = FileVoteStore(tmp_path)
    for number in (1, 2):
        store.write(vote(number))
    slots = sorted(tmp_path.iterdir())
    # The second vote is in the first file; only its first bytes reached the disk.
    partial = slots[0]
    assert FileVoteStore(tmp_path).read() == vote(2)
    partial.write_bytes(partial.read_bytes()[:kept_bytes])
    assert FileVoteStore(tmp_path).read() == vote(1)


@pytest.mark.parametrize("offset", [0, 9, 13, 40])
def test_a_corrupted_write_leaves_the_previous_vote(tmp_path, offset):
    store = FileVoteStore(tmp_path)
    for number in (1, 2):
        store.write(vote(number))
    corrupted = sorted(tmp_path.iterdir())[0]
    data = bytearray(corrupted.read_bytes())
    data[offset] ^= 0xFF
    corrupted.write_bytes(data)
    assert FileVoteStore(tmp_path).read() == vote(1)


def test_a_failed_write_is_reported_and_keeps_the_last_vote(tmp_path, monkeypatch):
    store = FileVoteStore(tmp_path)
    store.write(vote(1))

    def refuse(*_):
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", refuse)
        with pytest.raises(StorageError, match="free space"):
            store.write(vote(2))
    assert FileVoteStore(tmp_path).read() == vote(1)
    store.write(vote(3))
    assert FileVoteStore(tmp_path).read() == vote(3)


def test_a_failed_sync_does_not_damage_the_file_that_holds_the_last_vote(
    tmp_path, monkeypatch
):
    store = FileVoteStore(tmp_path)
    for number in (1, 2):
        store.write(vote(number))

    def fail(_):
        raise OSError(5, "Input/output error")

    for number in (3, 4, 5):
        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", fail)
            with pytest.raises(StorageError):
                store.write(vote(number))
    contents = [file.read_bytes() for file in sorted(tmp_path.iterdir())]
    assert any(b"disk" in data for data in contents)
    store.write(vote(6))
    assert FileVoteStore(tmp_path).read() == vote(6)


def test_only_the_hosts_named_at_the_first_start_begin_as_voters():
    founders = ["host-a", "host-b", "host-c"]
    first = initial_vote("host-a", founders, "disk:1", is_first_start=True)
    spare = initial_vote("host-d", founders, "disk:2", is_first_start=True)
    wiped = initial_vote("host-a", founders, "disk:3", is_first_start=False)
    assert first.disk_id in {member.disk_id for member in first.chosen.voters.members}
    assert spare.disk_id not in {
        member.disk_id for member in spare.chosen.voters.members
    }
    assert not wiped.chosen.voters.members
