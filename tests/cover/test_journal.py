"""Check the journal on real files: partial tails, damage, full disks, rewrites."""

import errno
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.control.acceptor import Acceptor
from kingcuppulley.control.journal import FileJournal
from kingcuppulley.control.messages import Accept
from kingcuppulley.control.registers import Ballot, Register
from kingcuppulley.errors import CorruptedRecordError, StorageError

RECORDS = [b"first", b"second" * 10, b"third"]


def write_journal(folder, records=RECORDS):
    journal = FileJournal(folder)
    assert not list(journal.read())
    journal.append(records)
    journal.close()
    return folder / "journal"


def test_appended_records_are_read_back(tmp_path):
    write_journal(tmp_path)
    assert list(FileJournal(tmp_path).read()) == RECORDS


@settings(derandomize=True, deadline=None, database=None, max_examples=80)
@given(cut_bytes=st.integers(0, 200), zero_bytes=st.integers(0, 40))
def test_a_partial_tail_is_truncated_and_the_records_before_it_stay(
    tmp_path_factory, cut_bytes, zero_bytes
):
    folder = tmp_path_factory.mktemp("journal")
    file = write_journal(folder)
    data = file.read_bytes()
    remaining = data[: max(0, len(data) - cut_bytes)]
    file.write_bytes(remaining + b"\0" * zero_bytes * (cut_bytes == 0))
    journal = FileJournal(folder)
    read_back = list(journal.read())
    assert read_back == RECORDS[: len(read_back)]
    journal.append([b"later"])
    journal.close()
    assert list(FileJournal(folder).read()) == [*read_back, b"later"]


@settings(derandomize=True, deadline=None, database=None, max_examples=80)
@given(offset=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_a_flipped_bit_never_yields_a_wrong_record(tmp_path_factory, offset, bit):
    folder = tmp_path_factory.mktemp("journal")
    file = write_journal(folder)
    data = bytearray(file.read_bytes())
    data[offset % len(data)] ^= 1 << bit
    file.write_bytes(bytes(data))
    try:
        read_back = list(FileJournal(folder).read())
    except CorruptedRecordError as error:
        assert "data folder" in str(error)
    else:
        # A damaged length may look like a partial write, but never like a complete
        # record.
        assert read_back == RECORDS[: len(read_back)]


def test_a_damaged_record_raises_an_error_that_names_the_remedy(tmp_path):
    file = write_journal(tmp_path)
    data = bytearray(file.read_bytes())
    data[9] ^= 1
    file.write_bytes(bytes(data))
    with pytest.raises(CorruptedRecordError, match="move the data folder away"):
        list(FileJournal(tmp_path).read())


def test_a_full_disk_raises_an_error_and_leaves_the_file_unchanged(
    tmp_path, monkeypatch
):
    file = write_journal(tmp_path)
    before = file.read_bytes()
    journal = FileJournal(tmp_path)
    list(journal.read())
    real_write = os.write

    def short_write(descriptor, data):
        real_write(descriptor, bytes(data[:3]))
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", short_write)
    with pytest.raises(StorageError, match="No space left"):
        journal.append([b"too much"])
    monkeypatch.undo()
    assert file.read_bytes() == before
    journal.append([b"later"])
    assert list(FileJournal(tmp_path).read()) == [*RECORDS, b"later"]


def test_a_failed_sync_raises_an_error_and_discards_the_record(tmp_path, monkeypatch):
    write_journal(tmp_path)
    journal = FileJournal(tmp_path)
    list(journal.read())

    def failing_sync(descriptor):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "fsync", failing_sync)
    with pytest.raises(StorageError):
        journal.append([b"lost"])
    monkeypatch.undo()
    assert list(FileJournal(tmp_path).read()) == RECORDS


def test_a_rewrite_bounds_the_file_and_keeps_the_state(tmp_path):
    journal = FileJournal(tmp_path)
    Acceptor.initialise(journal)
    acceptor = Acceptor(journal)
    document = b"x" * 20_000
    for number in range(1, 200):
        register = Register("zone/zone-a", number, number, document, [])
        ballot = Ballot(number, "control-1", 1)
        accept = Accept("zone/zone-a", ballot, register, number)
        assert acceptor.accept("control-1", accept).granted
        acceptor.learn(register)
    assert journal.size_bytes < 2_200_000
    journal.close()
    restarted = Acceptor(FileJournal(tmp_path))
    assert restarted.chosen == acceptor.chosen
    assert restarted.accepted_entries() == acceptor.accepted_entries()
    assert (restarted.votes, restarted.boot) == (acceptor.votes, acceptor.boot + 1)


def test_records_after_a_rewrite_whose_folder_was_not_synced_are_kept(
    tmp_path, monkeypatch
):
    """After the rename, appends must not go to the file that was replaced."""
    write_journal(tmp_path)
    journal = FileJournal(tmp_path)
    list(journal.read())
    journal.append([b"before"])

    def fail(_):
        raise OSError(errno.EIO, "injected failure")

    monkeypatch.setattr("kingcuppulley.control.journal.sync_folder", fail)
    with pytest.raises(StorageError):
        journal.rewrite([b"rewritten"])
    monkeypatch.undo()
    journal.append([b"after"])
    journal.close()
    assert list(FileJournal(tmp_path).read()) == [b"rewritten", b"after"]


def test_records_after_a_failed_append_that_was_not_truncated_are_kept(
    tmp_path, monkeypatch
):
    """Part of a record may stay in the file; later records must not follow it."""
    write_journal(tmp_path)
    journal = FileJournal(tmp_path)
    list(journal.read())
    write = os.write

    def write_half(descriptor, data):
        write(descriptor, bytes(data)[: len(data) // 2])
        raise OSError(errno.ENOSPC, "injected failure")

    def fail(*_):
        raise OSError(errno.EIO, "injected failure")

    monkeypatch.setattr(os, "write", write_half)
    monkeypatch.setattr(os, "truncate", fail)
    with pytest.raises(StorageError):
        journal.append([b"lost record"])
    monkeypatch.setattr(os, "write", write)
    with pytest.raises(StorageError):
        journal.append([b"refused while the tail is there"])
    monkeypatch.undo()
    journal.append([b"after"])
    journal.close()
    assert list(FileJournal(tmp_path).read()) == [*RECORDS, b"after"]
