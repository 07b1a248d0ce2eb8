"""Cover the control hosts: each fault that operators meet, one by one."""

from kingcuppulley.control.acceptor import ReplicaState
from kingcuppulley.control.registers import ChangeOutcome
from kingcuppulley.errors import (
    NotEnoughControlHostsError,
    NotVotingError,
    StorageError,
)
from tests.control_cluster import KEY, Cluster


def started(count=3):
    cluster = Cluster(count)
    cluster.run(1.0)
    assert len(cluster.voting()) == count
    return cluster


def test_an_accepted_change_is_known_on_every_control_host():
    cluster = started()
    assert cluster.accept("control-1", 0).outcome is ChangeOutcome.ACCEPTED
    assert [cluster.version(name) for name in cluster.names] == [1, 1, 1]


def test_a_resend_gets_its_first_answer_even_after_later_changes():
    cluster = started()
    first = cluster.accept("control-1", 0, identifier="mine")
    cluster.accept("control-2", 1)
    assert cluster.accept("control-3", 0, identifier="mine") == first
    assert cluster.version("control-3") == 2


def test_of_two_changes_with_equal_numbers_the_loser_learns_the_winner():
    cluster = started()
    cluster.ask("control-1", 0, identifier="first")
    cluster.ask("control-3", 0, identifier="second")
    cluster.run(3.0)
    answers = dict(cluster.answers)
    outcomes = {answer.outcome for answer in answers.values()}
    assert outcomes == {ChangeOutcome.ACCEPTED, ChangeOutcome.CONFLICT}
    (loser,) = [a for a in answers.values() if a.outcome is ChangeOutcome.CONFLICT]
    (winner,) = [i for i, a in answers.items() if a.outcome is ChangeOutcome.ACCEPTED]
    assert loser.winner_change == winner


def test_a_resent_conflict_gets_its_first_answer_after_later_changes():
    cluster = started()
    cluster.accept("control-1", 0, identifier="winner")
    first = cluster.accept("control-2", 0, identifier="loser")
    cluster.accept("control-1", 1)
    assert cluster.accept("control-2", 0, identifier="loser") == first


def test_an_identifier_of_another_change_is_refused():
    cluster = started()
    cluster.accept("control-1", 0, identifier="mine", document=b"one")
    answer = cluster.accept("control-1", 0, identifier="mine", document=b"two")
    assert answer.outcome is ChangeOutcome.IDENTIFIER_REUSED


def test_without_a_quorum_a_change_is_not_acknowledged():
    cluster = started()
    cluster.network.cut(["control-1"], ["control-2", "control-3"])
    assert cluster.accept("control-1", 0) is None
    cluster.run(12.0)
    (failure,) = [failure for _, failure in cluster.failures]
    assert isinstance(failure, NotEnoughControlHostsError)


def test_a_host_cut_off_for_long_catches_up_and_overwrites_nothing():
    cluster = started()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    for version in range(30):
        assert cluster.accept("control-1", version) is not None
    assert cluster.version("control-3") == 0
    cluster.network.heal()
    cluster.run(5.0)
    assert cluster.version("control-3") == 30
    answer = cluster.accept("control-3", 0)
    assert answer.outcome is ChangeOutcome.CONFLICT


def test_a_lost_disk_recovers_from_a_majority_of_the_others_before_it_votes():
    cluster = started()
    cluster.accept("control-1", 0)
    cluster.lose_disk("control-2")
    cluster.start("control-2")
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    cluster.network.cut(["control-2"], ["control-3"])
    cluster.run(3.0)
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    cluster.network.heal()
    cluster.run(3.0)
    assert cluster.replicas["control-2"].state is ReplicaState.VOTING


def test_a_second_host_lost_right_after_a_repair_loses_nothing():
    cluster = started()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.accept("control-1", 0)
    cluster.network.heal()
    cluster.lose_disk("control-2")
    cluster.start("control-2")
    while cluster.replicas["control-2"].state is not ReplicaState.VOTING:
        cluster.tick()
        cluster.network.deliver_all()
    cluster.crash("control-1")
    assert cluster.accept("control-3", 1).version == 2


def test_an_old_copy_of_a_disk_is_noticed_and_does_not_vote():
    cluster = started()
    old = cluster.journals["control-2"].copy()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.accept("control-1", 0)
    cluster.crash("control-2")
    cluster.journals["control-2"] = old
    cluster.start("control-2")
    cluster.run(5.0)
    assert cluster.replicas["control-2"].state is ReplicaState.RECOVERING
    cluster.network.heal()
    cluster.run(5.0)
    assert cluster.version("control-2") == 1


def test_an_old_copy_of_the_proposers_own_disk_is_noticed():
    cluster = started()
    old = cluster.journals["control-1"].copy()
    cluster.network.cut(["control-3"], ["control-1", "control-2"])
    cluster.accept("control-1", 0)
    cluster.crash("control-1")
    cluster.journals["control-1"] = old
    cluster.start("control-1")
    cluster.run(5.0)
    assert cluster.replicas["control-1"].state is ReplicaState.RECOVERING


def test_votes_on_their_way_when_a_disk_is_lost_cannot_choose_a_value():
    """A delayed acceptance must not make a quorum with a vote that was forgotten."""
    cluster = started()
    cluster.ask("control-1", 0, identifier="delayed")
    # Deliver until control-2 has accepted, but hold back what goes to control-3.
    held = []
    for _ in range(200):
        if not cluster.network.in_flight:
            break
        source, target, message = cluster.network.in_flight[0]
        if target == "control-3" and type(message).__name__ == "Accept":
            held.append(cluster.network.in_flight.pop(0))
        elif target == "control-1" and type(message).__name__ == "Accepted":
            if source != "control-1":
                held.append(cluster.network.in_flight.pop(0))
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
    winner = cluster.accept("control-3", cluster.version("control-3"))
    cluster.network.in_flight.extend(held)
    cluster.run(8.0)
    registers = [r.publisher.get(KEY) for r in cluster.replicas.values()]
    assert len({register for register in map(repr, registers)}) == 1
    assert registers[0].version == winner.version


def test_a_full_disk_refuses_a_change_for_certain_and_loses_nothing():
    cluster = started()
    cluster.accept("control-1", 0)
    cluster.journals["control-1"].is_full = True
    identifier = cluster.ask("control-1", 1)
    cluster.run(2.0)
    assert [type(f) for i, f in cluster.failures if i == identifier] == [StorageError]
    cluster.journals["control-1"].is_full = False
    assert cluster.accept("control-1", 1).version == 2


def test_a_recovering_host_refuses_changes_at_once():
    cluster = started()
    cluster.lose_disk("control-2")
    cluster.start("control-2")
    cluster.ask("control-2", 0)
    assert isinstance(cluster.failures[-1][1], NotVotingError)


def test_a_change_whose_proposer_died_before_telling_is_settled_by_the_others():
    cluster = started()
    cluster.ask("control-1", 0)
    while not any(
        type(m).__name__ == "Chosen" for _, _, m in cluster.network.in_flight
    ):
        cluster.network.deliver()
    cluster.crash("control-1")
    cluster.run(10.0)
    assert cluster.version("control-2") == cluster.version("control-3") == 1


def test_a_recovered_host_restarts_without_recovering_again():
    """Its counts of starts and votes must go on from those of its earlier life."""
    cluster = started()
    for version in range(5):
        cluster.accept("control-1", version)
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
    cluster = started(5)
    cluster.accept("control-1", 0)
    for name in ("control-1", "control-2"):
        cluster.lose_disk(name)
        cluster.start(name)
    cluster.run(5.0)
    assert len(cluster.voting()) == 5
    assert cluster.accept("control-1", 1).version == 2
