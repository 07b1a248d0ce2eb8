"""Check that a request with an idempotency key runs at most once, whatever fails."""

import pytest

from kingcuppulley.entry_hosts.claims import (
    CLAIM_RETENTION_SECONDS,
    IssuedKey,
    key_owner_zone,
)
from kingcuppulley.entry_hosts.messages import (
    ClaimRequest,
    ClaimResult,
    ClaimVerdict,
)
from tests.entry_cluster import EntryCluster

CALLERS_OWN_KEY = "a-key-of-the-callers-own"


class Claims:
    """Claim keys as the gateways of a cluster, and store the answer to each claim."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.answers = {}
        self.claim_count = 0

    def claim_answered(self, answer, now):
        self.answers[answer.claim] = answer

    def replicas(self, name, key):
        host = self.cluster.hosts[name]
        zone = key_owner_zone(key, host.zones)
        return host.claim_replicas(key, zone, self.cluster.network.now)

    def request(self, name, key, fingerprint="same"):
        self.claim_count += 1
        claim = f"{name}.{self.claim_count}"
        self.cluster.hosts[name].register_claim_listener(claim, self)
        owner = self.replicas(name, key)[0]
        request = ClaimRequest(claim, key, fingerprint)
        self.cluster.network.sender(name).send(owner, request)
        self.cluster.network.deliver_all()
        return claim

    def verdict(self, claim):
        answer = self.answers.get(claim)
        return answer.verdict if answer is not None else None

    def finish(self, name, claim, key, status, body=b"booked"):
        for replica in self.replicas(name, key):
            result = ClaimResult(claim, key, status, body, "text/plain")
            self.cluster.network.sender(name).send(replica, result)
        self.cluster.network.deliver_all()


@pytest.fixture
def claims():
    cluster = EntryCluster()
    cluster.run(3.0)
    return Claims(cluster)


def issued_key(cluster, zone="zone-a"):
    return IssuedKey.format(zone, cluster.network.now, "0123")


def test_the_first_request_runs_and_a_repeat_gets_its_answer(claims):
    key = issued_key(claims.cluster)
    first = claims.request("entry-1", key)
    assert claims.verdict(first) is ClaimVerdict.GRANTED
    claims.finish("entry-1", first, key, 200)
    repeat = claims.answers[claims.request("entry-7", key)]
    assert (repeat.verdict, repeat.status, repeat.body) == (
        ClaimVerdict.REPEAT,
        200,
        b"booked",
    )


def test_a_repeat_of_a_running_request_does_not_run(claims):
    key = issued_key(claims.cluster)
    claims.request("entry-1", key)
    assert claims.verdict(claims.request("entry-7", key)) is ClaimVerdict.RUNNING


def test_a_key_is_free_again_once_its_request_did_not_run(claims):
    key = issued_key(claims.cluster)
    first = claims.request("entry-1", key)
    claims.finish("entry-1", first, key, 0)
    assert claims.verdict(claims.request("entry-2", key)) is ClaimVerdict.GRANTED


def test_a_key_of_a_different_request_is_refused(claims):
    key = issued_key(claims.cluster)
    claims.request("entry-1", key)
    other = claims.request("entry-1", key, fingerprint="other")
    assert claims.verdict(other) is ClaimVerdict.MISMATCH


def test_a_claim_survives_the_loss_of_its_owner(claims):
    key = issued_key(claims.cluster)
    claims.request("entry-8", key)
    claims.cluster.kill(claims.replicas("entry-8", key)[0])
    claims.cluster.run(3.0)
    assert claims.verdict(claims.request("entry-8", key)) is ClaimVerdict.RUNNING


def test_a_claim_survives_the_restart_of_every_host_of_its_zone_in_turn(claims):
    key = issued_key(claims.cluster)
    first = claims.request("entry-8", key)
    claims.finish("entry-8", first, key, 200)
    for name in ("entry-1", "entry-2", "entry-3"):
        claims.cluster.kill(name)
        claims.cluster.run(3.0)
        claims.cluster.start(name)
        claims.cluster.run(3.0)
    assert claims.verdict(claims.request("entry-8", key)) is ClaimVerdict.REPEAT


def test_an_issued_key_from_before_a_whole_zone_was_lost_is_unknown(claims):
    key = issued_key(claims.cluster)
    claims.request("entry-8", key)
    for name in ("entry-1", "entry-2", "entry-3"):
        claims.cluster.kill(name)
    claims.cluster.run(3.0)
    for name in ("entry-1", "entry-2", "entry-3"):
        claims.cluster.start(name)
    claims.cluster.run(3.0)
    assert claims.verdict(claims.request("entry-8", key)) is ClaimVerdict.UNKNOWN
    new_key = issued_key(claims.cluster)
    assert claims.verdict(claims.request("entry-8", new_key)) is ClaimVerdict.GRANTED


def test_a_callers_own_key_runs_only_once_the_claim_history_is_complete(claims):
    assert (
        claims.verdict(claims.request("entry-1", CALLERS_OWN_KEY))
        is ClaimVerdict.UNKNOWN
    )
    claims.cluster.network.now += CLAIM_RETENTION_SECONDS
    claims.cluster.run(3.0)
    assert (
        claims.verdict(claims.request("entry-1", CALLERS_OWN_KEY))
        is ClaimVerdict.GRANTED
    )


def test_an_isolated_zone_still_grants_the_keys_that_it_issued(claims):
    cluster = claims.cluster
    cut_off = ["entry-4", "entry-5"]
    cluster.network.cut(
        cut_off, [name for name in cluster.names if name not in cut_off]
    )
    cluster.run(3.0)
    key = issued_key(cluster, "zone-b")
    assert claims.verdict(claims.request("entry-4", key)) is ClaimVerdict.GRANTED
    cluster.network.heal()
    cluster.run(3.0)
    assert claims.verdict(claims.request("entry-1", key)) is ClaimVerdict.RUNNING


def test_hosts_of_one_zone_that_are_cut_off_from_each_other_do_not_both_grant(claims):
    """Each takes itself for the owner; the witness replica accepts only one claim."""
    cluster = claims.cluster
    cluster.network.cut(["entry-4"], ["entry-5"])
    for name in cluster.names:
        membership = cluster.hosts[name].membership
        if name in ("entry-4", "entry-5"):
            other = "entry-5" if name == "entry-4" else "entry-4"
            membership._statuses[other].live_deadline = 0.0
    key = issued_key(cluster, "zone-b")
    competing_claims = [claims.request(name, key) for name in ("entry-4", "entry-5")]
    verdicts = [claims.verdict(claim) for claim in competing_claims]
    assert verdicts.count(ClaimVerdict.GRANTED) == 1


def test_a_host_that_is_cut_off_from_all_others_grants_nothing(claims):
    cluster = claims.cluster
    cluster.network.cut(["entry-4"], set(cluster.names) - {"entry-4"})
    cluster.run(3.0)
    claim = claims.request("entry-4", issued_key(cluster, "zone-b"))
    assert claims.verdict(claim) is ClaimVerdict.UNAVAILABLE


def test_an_owner_that_cannot_reach_its_copies_grants_nothing(claims):
    cluster = claims.cluster
    key = issued_key(cluster)
    owner, *copy_hosts = claims.replicas("entry-1", key)
    cluster.network.cut([owner], copy_hosts)
    claim = claims.request(owner, key)
    assert claims.verdict(claim) is None
    cluster.run(0.5)
    assert claims.verdict(claim) is ClaimVerdict.UNAVAILABLE


def test_two_hosts_that_both_take_themselves_for_the_owner_do_not_both_grant(claims):
    cluster = claims.cluster
    key = issued_key(cluster)
    owner, second, _ = claims.replicas("entry-8", key)
    sender = cluster.network.sender("entry-8")
    for claim in ("one", "two"):
        cluster.hosts["entry-8"].register_claim_listener(claim, claims)
    cluster.hosts[second].claims._ranked = lambda key, now: [second, owner]
    sender.send(owner, ClaimRequest("one", key, "same"))
    sender.send(second, ClaimRequest("two", key, "same"))
    cluster.network.deliver_all()
    verdicts = [claims.verdict("one"), claims.verdict("two")]
    assert verdicts.count(ClaimVerdict.GRANTED) <= 1
