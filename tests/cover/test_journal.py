"""Cover the journal on real files: torn tails, damage, full disks, rewrites."""

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


def written(folder, records=RECORDS):
    journal = FileJournal(folder)
    assert not list(journal.read())
    journal.append(records)
    journal.close()
    return folder / "journal"


def test_what_was_appended_is_read_again(tmp_path):
    written(tmp_path)
    assert list(FileJournal(tmp_path).read()) == RECORDS


@settings(derandomize=True, deadline=None, database=None, max_examples=80)
@given(cut=st.integers(0, 200), zeros=st.integers(0, 40))
def test_a_torn_tail_is_cut_and_what_stood_before_it_stays(
    tmp_path_factory, cut, zeros
):
    folder = tmp_path_factory.mktemp("journal")
    file = written(folder)
    data = file.read_bytes()
    file.write_bytes(data[: max(0, len(data) - cut)] + b"\0" * zeros * (cut == 0))
    journal = FileJournal(folder)
    kept = list(journal.read())
    assert kept == RECORDS[: len(kept)]
    journal.append([b"later"])
    journal.close()
    assert list(FileJournal(folder).read()) == [*kept, b"later"]


@settings(derandomize=True, deadline=None, database=None, max_examples=80)
@given(place=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_a_flipped_bit_never_passes_unnoticed(tmp_path_factory, place, bit):
    folder = tmp_path_factory.mktemp("journal")
    file = written(folder)
    data = bytearray(file.read_bytes())
    data[place % len(data)] ^= 1 << bit
    file.write_bytes(bytes(data))
    try:
        kept = list(FileJournal(folder).read())
    except CorruptedRecordError as error:
        assert "data folder" in str(error)
    else:
        # A damaged length may look like a torn write; never like a whole record.
        assert kept == RECORDS[: len(kept)]


def test_a_damaged_record_is_refused_with_its_remedy(tmp_path):
    file = written(tmp_path)
    data = bytearray(file.read_bytes())
    data[9] ^= 1
    file.write_bytes(bytes(data))
    with pytest.raises(CorruptedRecordError, match="move the data folder away"):
        list(FileJournal(tmp_path).read())


def test_a_full_disk_refuses_and_leaves_the_file_as_it_was(tmp_path, monkeypatch):
    file = written(tmp_path)
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


def test_a_failed_sync_refuses_and_the_record_is_not_there_later(tmp_path, monkeypatch):
    written(tmp_path)
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
    again = Acceptor(FileJournal(tmp_path))
    assert again.chosen == acceptor.chosen
    assert again.accepted_entries() == acceptor.accepted_entries()
    assert (again.votes, again.boot) == (acceptor.votes, acceptor.boot + 1)
