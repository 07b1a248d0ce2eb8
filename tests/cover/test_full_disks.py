"""Check that a disk that was full for seconds does not stop a voter for ever.

The load is one operator who sends changes throughout, while the disks of three control
hosts fail one after another, on real files and with the real disk thread.
"""

from __future__ import annotations

import errno
import os
import queue

import pytest

from kingcuppulley.control.acceptor import REWRITE_MINIMUM_BYTES, Acceptor
from kingcuppulley.control.disk_thread import DiskThread
from kingcuppulley.control.ensemble_host import initial_vote
from kingcuppulley.control.ensemble_messages import AcceptState, PrepareState
from kingcuppulley.control.journal import FileJournal
from kingcuppulley.control.messages import Accept
from kingcuppulley.control.registers import Ballot, Register
from kingcuppulley.control.state import ChosenVoters, RoutingState, Vote
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.control.voter import WRITE_RETRY_DELAY_SECONDS, Voter
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.counters import Metrics
from tests.ensemble_cluster import EnsembleCluster, FakeDisk

HOSTS = ["10.0.0.1:7700", "10.0.0.2:7700", "10.0.0.3:7700"]
RESULT_TIMEOUT_SECONDS = 5.0
REAL_CALLS = {name: getattr(os, name) for name in ("open", "pwrite", "fsync", "close")}


def vote(number: int) -> Vote:
    ballot = Ballot(number, "process")
    return Vote("disk", ballot, ballot, RoutingState(number), ChosenVoters())


class FailingCalls:
    """Make calls of `os` fail with ENOSPC as a full disk would.

    `close` fails only after a failed write, and releases the descriptor, as Linux does.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.failing: set[str] = set()
        for name in REAL_CALLS:
            monkeypatch.setattr(os, name, self._wrap(name))

    def _wrap(self, name):
        def call(*arguments):
            if name not in self.failing:
                return REAL_CALLS[name](*arguments)
            if name == "close":
                REAL_CALLS[name](*arguments)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        return call


@pytest.fixture
def calls(monkeypatch):
    return FailingCalls(monkeypatch)


FAILURES = [
    {"open"},
    {"pwrite"},
    {"fsync"},
    {"pwrite", "close"},
    {"fsync", "close"},
    {"open", "pwrite", "fsync", "close"},
]


@pytest.mark.parametrize("failing", FAILURES, ids=lambda names: "+".join(sorted(names)))
def test_every_failing_call_is_reported_and_the_next_write_succeeds(
    tmp_path, calls, failing
):
    store = FileVoteStore(tmp_path)
    store.write(vote(1))
    for number in (2, 3):
        calls.failing = failing
        with pytest.raises(StorageError):
            store.write(vote(number))
        calls.failing = set()
    assert FileVoteStore(tmp_path).read() == vote(1)
    store.write(vote(4))
    assert FileVoteStore(tmp_path).read() == vote(4)


def test_a_call_that_writes_nothing_is_a_failed_write(tmp_path, monkeypatch):
    """Repeating such a call would occupy the disk thread for ever."""
    store = FileVoteStore(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", lambda *_: 0)
        with pytest.raises(StorageError, match="No space left"):
            store.write(vote(1))
    store.write(vote(2))
    assert FileVoteStore(tmp_path).read() == vote(2)


class MainThreadQueue:
    """Collect what the disk thread schedules on the main thread."""

    def __init__(self) -> None:
        self._calls: queue.SimpleQueue = queue.SimpleQueue()

    def call_soon_threadsafe(self, callback, *arguments):
        self._calls.put((callback, arguments))

    def run_next(self) -> None:
        callback, arguments = self._calls.get(timeout=RESULT_TIMEOUT_SECONDS)
        callback(*arguments)


class FaultyStore:
    """Raise an error that a store does not document, then work again."""

    def __init__(self) -> None:
        self.errors: list[Exception] = [RuntimeError("injected"), MemoryError()]
        self.votes: list[Vote] = []

    def read(self) -> Vote | None:
        return None

    def write(self, vote: Vote) -> None:
        if self.errors:
            raise self.errors.pop(0)
        self.votes.append(vote)


def test_no_error_of_a_write_ends_the_disk_thread():
    main_thread = MainThreadQueue()
    store = FaultyStore()
    disk = DiskThread(store, main_thread, Metrics())
    results: list[StorageError | None] = []
    disk.on_vote_written = results.append
    disk.start()
    for number in (1, 2, 3):
        disk.write(vote(number))
        main_thread.run_next()
    assert [result is None for result in results] == [False, False, True]
    assert "injected" in str(results[0])
    assert store.votes == [vote(3)]
    assert disk.is_running


class ThreadedDisk(FakeDisk):
    """Write votes to real files on a real disk thread."""

    def __init__(self, folder, calls: FailingCalls) -> None:
        super().__init__()
        self._calls = calls
        self._main_thread = MainThreadQueue()
        self._store = FileVoteStore(folder)
        self._results: list[StorageError | None] = []
        self._thread = DiskThread(self._store, self._main_thread, Metrics())
        self._thread.on_vote_written = self._results.append
        self._thread.start()
        self.failing: set[str] = set()

    def write(self, vote: Vote) -> None:
        self.pending_vote = vote

    def complete_write(self) -> bool | None:
        if self.pending_vote is None:
            return None
        vote, self.pending_vote = self.pending_vote, None
        self._calls.failing = self.failing
        self._thread.write(vote)
        self._main_thread.run_next()
        self._calls.failing = set()
        succeeded = self._results.pop() is None
        if succeeded:
            self.vote = vote
        return succeeded


@pytest.mark.parametrize("failing", FAILURES, ids=lambda names: "+".join(sorted(names)))
def test_changes_are_accepted_while_disks_are_full_one_after_another(
    tmp_path, calls, failing
):
    """A disk thread that ends at each full disk leaves no majority to vote."""
    cluster = EnsembleCluster(HOSTS, HOSTS, 3)
    for host in HOSTS:
        cluster.crash(host)
        cluster.disks[host] = ThreadedDisk(tmp_path / host, calls)
        cluster.start(host, is_first_start=True)
    cluster.run(1.0)
    version = 0
    for full in [None, *HOSTS, None]:
        for host in HOSTS:
            cluster.disks[host].failing = failing if host == full else set()
        for asked in HOSTS * 2:
            version += 1
            operation = cluster.run_until_done(cluster.put(asked, version))
            assert operation.state is not None, f"{asked} while {full} is full"
            cluster.run(0.3)
    for host in HOSTS:
        stored = FileVoteStore(tmp_path / host).read()
        assert stored is not None
        assert stored.state.configuration_version == version


class RecordingWriter:
    """Record the votes to write, and the replies that are sent."""

    def __init__(self) -> None:
        self.votes: list[Vote] = []
        self.replies: list[tuple[str, object]] = []

    def write(self, vote: Vote) -> None:
        self.votes.append(vote)

    def reply(self, host, message) -> None:
        self.replies.append((host, message))


def new_voter() -> tuple[Voter, RecordingWriter]:
    recorder = RecordingWriter()
    first = initial_vote(HOSTS[0], HOSTS, "disk:1", is_first_start=True)
    return Voter(first, recorder, recorder), recorder


def test_a_failed_write_is_tried_again_after_a_pause_and_without_a_message():
    voter, recorder = new_voter()
    prepare = PrepareState(Ballot(1, "proposer"), Ballot(0, ""))
    voter.receive("host-b", prepare)
    voter.vote_written(False, 10.0)
    voter.receive("host-c", PrepareState(Ballot(2, "other"), Ballot(0, "")))
    voter.tick(10.0 + WRITE_RETRY_DELAY_SECONDS / 2)
    assert len(recorder.votes) == 1
    voter.tick(10.0 + WRITE_RETRY_DELAY_SECONDS)
    assert len(recorder.votes) == 2
    assert not recorder.replies
    voter.vote_written(True, 10.2)
    assert sorted(host for host, _ in recorder.replies) == ["host-b", "host-c"]


def test_requests_that_wait_for_a_stalled_disk_are_bounded_by_the_hosts():
    voter, recorder = new_voter()
    for counter in range(1, 200):
        for host in HOSTS:
            ballot = Ballot(counter, host)
            voter.receive(host, PrepareState(ballot, Ballot(0, "")))
            voter.receive(host, AcceptState(ballot, RoutingState(counter)))
            # A delayed datagram of the earlier step.
            voter.receive(host, PrepareState(ballot, Ballot(0, "")))
    voter.vote_written(True, 10.0)
    voter.vote_written(True, 10.1)
    assert len(recorder.replies) <= 1 + len(HOSTS)
    assert voter.vote.accepted == Ballot(199, HOSTS[2])


def fill_journal(acceptor: Acceptor, records: range) -> None:
    document = b"x" * 20_000
    for number in records:
        register = Register("zone/zone-a", number, number, document, [])
        ballot = Ballot(number, "control-1", 1)
        accept = Accept("zone/zone-a", ballot, register, number)
        assert acceptor.accept("control-1", accept).granted


def test_a_disk_without_room_for_two_journals_still_votes(tmp_path, monkeypatch):
    """The rewrite fails although every append succeeds; its file must not remain."""
    journal = FileJournal(tmp_path)
    Acceptor.initialise(journal)
    acceptor = Acceptor(journal)
    write = os.write

    def refuse_copy(descriptor, data):
        if os.readlink(f"/proc/self/fd/{descriptor}").endswith("journal.new"):
            write(descriptor, bytes(data[:1000]))
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return write(descriptor, data)

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", refuse_copy)
        fill_journal(acceptor, range(1, 80))
        assert acceptor.failed_rewrites > 0
        assert sorted(file.name for file in tmp_path.iterdir()) == ["journal"]
    fill_journal(acceptor, range(80, 100))
    assert journal.size_bytes < REWRITE_MINIMUM_BYTES
    assert Acceptor(FileJournal(tmp_path)).accepted_entries() == (
        acceptor.accepted_entries()
    )


@pytest.mark.parametrize("failing", ["fsync", "write"])
def test_a_journal_whose_close_failed_is_opened_again(tmp_path, monkeypatch, failing):
    """A kept descriptor that is closed already would fail every later append."""
    journal = FileJournal(tmp_path)
    journal.append([b"first"])
    close = os.close

    def refuse(*_):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def close_and_refuse(descriptor):
        close(descriptor)
        refuse()

    with monkeypatch.context() as patch:
        patch.setattr(os, failing, refuse)
        patch.setattr(os, "close", close_and_refuse)
        for _ in range(2):
            with pytest.raises(StorageError):
                journal.append([b"refused"])
    journal.append([b"second"])
    journal.close()
    assert list(FileJournal(tmp_path).read()) == [b"first", b"second"]
