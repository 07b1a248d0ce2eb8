"""Check the replicas of control hosts: one test for each fault operators may face."""

from kingcuppulley.control.acceptor import ReplicaState
from kingcuppulley.control.registers import ChangeOutcome
from kingcuppulley.control.round import CHANGE_TIMEOUT_SECONDS
from kingcuppulley.errors import (
    NotEnoughControlHostsError,
    NotVotingError,
    StorageError,
)
from tests.control_cluster import KEY, Cluster


def started_cluster(count=3):
    cluster = Cluster(count)
    cluster.run(1.0)
    assert len(cluster.voting()) == count
    return cluster


def test_an_accepted_change_is_known_on_every_control_host():
    cluster = started_cluster()
    assert cluster.submit_and_wait("control-1", 0).outcome is ChangeOutcome.ACCEPTED
    assert [cluster.version(name) for name in cluster.names] == [1, 1, 1]


def test_a_resend_gets_its_first_answer_even_after_later_changes():
    cluster = started_cluster()
    first = cluster.submit_and_wait("control-1", 0, identifier="mine")
    cluster.submit_and_wait("control-2", 1)
    assert cluster.submit_and_wait("control-3", 0, identifier="mine") == first
    assert cluster.version("control-3") == 2


def test_of_two_changes_for_one_version_the_conflict_names_the_accepted_one():
    cluster = started_cluster()
    cluster.submit("control-1", 0, identifier="first")
    cluster.submit("control-3", 0, identifier="second")
    cluster.run(3.0)
    answers = dict(cluster.answers)
    outcomes = {answer.outcome for answer in answers.values()}
    assert outcomes == {ChangeOutcome.ACCEPTED, ChangeOutcome.CONFLICT}
    (conflict,) = [
        answer
        for answer in answers.values()
        if answer.outcome is ChangeOutcome.CONFLICT
    ]
    (winner,) = [
        identifier
        for identifier, answer in answers.items()
        if answer.outcome is ChangeOutcome.ACCEPTED
    ]
    assert conflict.winner_change == winner


def test_a_resent_conflict_gets_its_first_answer_after_later_changes():
    cluster = started_cluster()
    cluster.submit_and_wait("control-1", 0, identifier="winner")
    first = cluster.submit_and_wait("control-2", 0, identifier="loser")
    cluster.submit_and_wait("control-1", 1)
    assert cluster.submit_and_wait("control-2", 0, identifier="loser") == first


def test_an_identifier_of_another_change_is_refused():
    cluster = started_cluster()
    cluster.submit_and_wait("control-1", 0, identifier="mine", document=b"one")
    answer = cluster.submit_and_wait("control-1", 0, identifier="mine", document=b"two")
    assert answer.outcome is ChangeOutcome.IDENTIFIER_REUSED


def test_without_a_quorum_a_change_is_not_acknowledged():
    cluster = started_cluster()
    cluster.network.cut(["control-1"], ["control-2", "control-3"])
    assert cluster.submit_and_wait("control-1", 0) is None
    cluster.run(12.0)
    (failure,) = [failure for _, failure in cluster.failures]
    assert isinstance(failure, NotEnoughControlHostsError)


def test_a_host_that_was_unreachable_for_long_catches_up_and_overwrites_nothing():
    cluster = started_cluster()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    for version in range(30):
        assert cluster.submit_and_wait("control-1", version) is not None
    assert cluster.version("control-3") == 0
    cluster.network.heal()
    cluster.run(5.0)
    assert cluster.version("control-3") == 30
    answer = cluster.submit_and_wait("control-3", 0)
    assert answer.outcome is ChangeOutcome.CONFLICT


def test_a_host_with_a_lost_disk_recovers_from_a_majority_of_others_before_it_votes():
    cluster = started_cluster()
    cluster.submit_and_wait("control-1", 0)
    cluster.lose_disk("control-2")
    cluster.start("control-2")
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    cluster.network.cut(["control-2"], ["control-3"])
    cluster.run(3.0)
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    cluster.network.heal()
    cluster.run(3.0)
    assert cluster.replicas["control-2"].state is ReplicaState.VOTING


def test_a_crash_right_after_another_host_has_recovered_loses_no_change():
    cluster = started_cluster()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.submit_and_wait("control-1", 0)
    cluster.network.heal()
    cluster.lose_disk("control-2")
    cluster.start("control-2")
    while cluster.replicas["control-2"].state is not ReplicaState.VOTING:
        cluster.tick()
        cluster.network.deliver_all()
    cluster.crash("control-1")
    assert cluster.submit_and_wait("control-3", 1).version == 2


def test_a_host_with_an_outdated_disk_detects_it_and_does_not_vote():
    cluster = started_cluster()
    outdated = cluster.journals["control-2"].copy()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.submit_and_wait("control-1", 0)
    cluster.crash("control-2")
    cluster.journals["control-2"] = outdated
    cluster.start("control-2")
    cluster.run(5.0)
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    cluster.network.heal()
    cluster.run(5.0)
    assert cluster.version("control-2") == 1


def test_a_proposer_with_an_outdated_disk_detects_it():
    cluster = started_cluster()
    outdated = cluster.journals["control-1"].copy()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.submit_and_wait("control-1", 0)
    cluster.crash("control-1")
    cluster.journals["control-1"] = outdated
    cluster.start("control-1")
    cluster.run(5.0)
    assert cluster.replicas["control-1"].state is ReplicaState.RECOVERING


def test_votes_in_flight_when_a_disk_is_lost_cannot_choose_a_value():
    """A delayed acceptance must not form a quorum with a vote that was lost."""
    cluster = started_cluster()
    cluster.submit("control-1", 0, identifier="delayed")
    # Deliver until control-2 has accepted, but delay each Accept to control-3 and each
    # Accepted of another host to control-1.
    delayed = []
    for _ in range(200):
        if not cluster.network.in_flight:
            break
        source, target, message = cluster.network.in_flight[0]
        if target == "control-3" and type(message).__name__ == "Accept":
            delayed.append(cluster.network.in_flight.pop(0))
        elif target == "control-1" and type(message).__name__ == "Accepted":
            if source != "control-1":
                delayed.append(cluster.network.in_flight.pop(0))
            else:
                cluster.network.deliver()
        else:
            cluster.network.deliver()
    cluster.lose_disk("control-2")
    cluster.crash("control-1")
    cluster.start("control-1")
    cluster.start("control-2")
    cluster.run(8.0)
    assert len(cluster.voting()) == 3
    answer = cluster.submit_and_wait("control-3", cluster.version("control-3"))
    cluster.network.in_flight.extend(delayed)
    cluster.run(8.0)
    registers = [replica.publisher.get(KEY) for replica in cluster.replicas.values()]
    assert len({register for register in map(repr, registers)}) == 1
    assert registers[0].version == answer.version


def test_a_change_on_a_full_disk_is_certainly_refused_and_the_next_accepted():
    cluster = started_cluster()
    cluster.submit_and_wait("control-1", 0)
    cluster.journals["control-1"].is_full = True
    identifier = cluster.submit("control-1", 1)
    cluster.run(2.0)
    failures = [
        type(failure) for failed, failure in cluster.failures if failed == identifier
    ]
    assert failures == [StorageError]
    cluster.journals["control-1"].is_full = False
    assert cluster.submit_and_wait("control-1", 1).version == 2


def test_a_recovering_host_refuses_changes_at_once():
    cluster = started_cluster()
    cluster.lose_disk("control-2")
    cluster.start("control-2")
    cluster.submit("control-2", 0)
    assert isinstance(cluster.failures[-1][1], NotVotingError)


def test_peers_confirm_a_change_whose_proposer_crashed_before_announcing_it():
    cluster = started_cluster()
    cluster.submit("control-1", 0)
    while not any(
        type(message).__name__ == "Chosen"
        for _, _, message in cluster.network.in_flight
    ):
        cluster.network.deliver()
    cluster.crash("control-1")
    cluster.run(10.0)
    assert cluster.version("control-2") == cluster.version("control-3") == 1


def test_a_recovered_host_restarts_without_recovering_again():
    """Its counts of starts and votes must continue those from before the loss."""
    cluster = started_cluster()
    for version in range(5):
        cluster.submit_and_wait("control-1", version)
        cluster.crash("control-1")
        cluster.start("control-1")
        cluster.run(4.0)
    cluster.lose_disk("control-1")
    cluster.start("control-1")
    cluster.run(4.0)
    cluster.crash("control-1")
    cluster.start("control-1")
    cluster.run(1.0)
    assert cluster.replicas["control-1"].state is ReplicaState.VOTING


def test_five_hosts_survive_two_lost_disks_at_once():
    cluster = started_cluster(5)
    cluster.submit_and_wait("control-1", 0)
    for name in ("control-1", "control-2"):
        cluster.lose_disk(name)
        cluster.start(name)
    cluster.run(5.0)
    assert len(cluster.voting()) == 5
    assert cluster.submit_and_wait("control-1", 1).version == 2


def test_a_change_that_was_answered_is_not_reported_as_failed_too():
    """The next tick may come after the deadline of the change."""
    cluster = Cluster()
    cluster.run(1.0)
    cluster.submit("control-1", 0)
    cluster.network.deliver_all()
    assert len(cluster.answers) == 1
    cluster.tick(2 * CHANGE_TIMEOUT_SECONDS)
    assert cluster.failures == []


def test_a_host_with_an_outdated_and_full_disk_does_not_vote():
    """A failed write of the finding must not let the host vote after its check."""
    cluster = started_cluster()
    outdated = cluster.journals["control-2"].copy()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.submit_and_wait("control-1", 0)
    cluster.crash("control-2")
    cluster.network.heal()
    cluster.journals["control-2"] = outdated
    cluster.start("control-2")
    outdated.is_full = True
    cluster.run(5.0)
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    outdated.is_full = False
    cluster.run(5.0)
    assert cluster.replicas["control-2"].state is ReplicaState.VOTING
    assert cluster.version("control-2") == 1
