"""Test the decisions about one request: its retries, refusals and their outcomes."""

import pytest

from kingcuppulley.callers import refusals
from kingcuppulley.callers.refusals import ALL_REFUSALS, Outcome
from kingcuppulley.callers.request import RequestCore, RequestFacts
from kingcuppulley.callers.retry_budget import MAXIMUM_RETRY_TOKENS, RetryBudget
from kingcuppulley.entry_hosts.messages import (
    AttemptOutcome,
    ClaimAnswer,
    ClaimVerdict,
    RefusalReason,
    SlotGrant,
)


class RecordedActions:
    """Record the actions that a request's core calls."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments))

    def calls_of(self, name):
        return [call[1:] for call in self.calls if call[0] == name]


def start_request(
    method="GET", key=None, zones=("zone-a", "zone-b"), retry_budget=None
):
    actions = RecordedActions()
    facts = RequestFacts(method=method, key=key, fingerprint="f", deadline=10.0)
    core = RequestCore(facts, list(zones), actions, retry_budget or RetryBudget())
    core.start(0.0)
    return core, actions


def grant(target="desk-1"):
    return SlotGrant("lease", target, "127.0.0.1", 1, 3.0)


def test_a_lost_answer_is_retried_only_if_the_method_is_idempotent():
    for method, attempts in (("GET", 2), ("POST", 1)):
        core, actions = start_request(method)
        core.slot_granted(grant())
        core.attempt_failed(AttemptOutcome.LOST, 1.0)
        core.slot_granted(grant("desk-2"))
        assert len(actions.calls_of("start_attempt")) == attempts


def test_a_post_whose_answer_is_lost_is_refused_with_the_outcome_unknown():
    core, actions = start_request("POST")
    core.slot_granted(grant())
    core.attempt_failed(AttemptOutcome.LOST, 1.0)
    assert actions.calls_of("refuse") == [(refusals.ANSWER_LOST,)]


@pytest.mark.parametrize("outcome", [AttemptOutcome.SHED, AttemptOutcome.NOT_SENT])
def test_a_post_that_certainly_did_not_run_is_retried(outcome):
    core, actions = start_request("POST")
    core.slot_granted(grant())
    core.attempt_failed(outcome, 1.0)
    core.slot_granted(grant("desk-2"))
    assert len(actions.calls_of("start_attempt")) == 2


def test_once_a_request_may_have_run_no_later_refusal_has_the_outcome_not_run():
    core, actions = start_request("GET")
    core.slot_granted(grant())
    core.attempt_failed(AttemptOutcome.LOST, 1.0)
    core.slot_granted(grant())
    core.attempt_failed(AttemptOutcome.SHED, 2.0)
    for _ in range(4):
        core.slot_refused(RefusalReason.BUSY, 3.0)
    (refusal,) = actions.calls_of("refuse")[0]
    assert refusal.outcome is Outcome.UNKNOWN


def test_a_deadline_before_sending_means_not_run_and_one_after_means_unknown():
    core, actions = start_request("POST")
    core.tick(10.0)
    assert actions.calls_of("refuse") == [(refusals.DEADLINE_BEFORE_SENDING,)]
    core, actions = start_request("POST")
    core.slot_granted(grant())
    core.tick(10.0)
    assert actions.calls_of("refuse") == [(refusals.DEADLINE_AFTER_SENDING,)]
    assert actions.calls_of("cancel_attempt") == [()]
    assert actions.calls_of("release_slot") == [(AttemptOutcome.TIMEOUT,)]


def test_a_request_with_too_little_time_left_is_refused_without_a_slot():
    actions = RecordedActions()
    facts = RequestFacts(
        method="POST", key=None, fingerprint="f", deadline=1.0, expected_seconds=0.3
    )
    core = RequestCore(facts, ["zone-a", "zone-b"], actions, RetryBudget())
    core.start(0.0)
    assert actions.calls_of("request_slot")[0][1] == 0.7
    core.slot_refused(RefusalReason.BUSY, 0.75)
    assert actions.calls_of("refuse") == [(refusals.DEADLINE_BEFORE_SENDING,)]


def test_every_zone_is_tried_before_a_request_is_refused_as_busy():
    core, actions = start_request("GET")
    core.slot_refused(RefusalReason.BUSY, 0.1)
    core.slot_refused(RefusalReason.NO_TARGET, 0.2)
    assert [call[0] for call in actions.calls_of("request_slot")] == [
        "zone-a",
        "zone-b",
    ]
    assert actions.calls_of("refuse") == [(refusals.BUSY,)]


def test_a_request_without_any_zone_is_refused_for_lack_of_a_backend_server():
    core, actions = start_request("GET", zones=())
    assert actions.calls_of("refuse") == [(refusals.NO_BACKEND_SERVER,)]


def test_retries_stop_when_the_budget_is_spent():
    retry_budget = RetryBudget()
    retries = 0
    for _ in range(100):
        core, actions = start_request("GET", retry_budget=retry_budget)
        core.slot_granted(grant())
        core.attempt_failed(AttemptOutcome.LOST, 1.0)
        retries += len(actions.calls_of("request_slot")) - 1
    assert retries <= MAXIMUM_RETRY_TOKENS + 100 * 0.1


def test_a_keyed_post_claims_its_key_before_it_requests_a_slot():
    core, actions = start_request("POST", key="k")
    assert [call[0] for call in actions.calls] == ["request_claim"]
    core.claim_answered(ClaimAnswer("c", ClaimVerdict.GRANTED), 0.1)
    assert actions.calls[-1][0] == "request_slot"


@pytest.mark.parametrize(
    ("verdict", "refusal"),
    [
        (ClaimVerdict.RUNNING, refusals.KEY_RUNNING),
        (ClaimVerdict.MISMATCH, refusals.KEY_MISMATCH),
        (ClaimVerdict.UNKNOWN, refusals.KEY_UNKNOWN),
        (ClaimVerdict.UNAVAILABLE, refusals.KEY_UNKNOWN),
    ],
)
def test_a_request_whose_claim_is_not_granted_never_requests_a_slot(verdict, refusal):
    core, actions = start_request("POST", key="k")
    core.claim_answered(ClaimAnswer("c", verdict), 0.1)
    assert actions.calls_of("refuse") == [(refusal,)]
    assert not actions.calls_of("request_slot")


def test_a_claim_is_released_only_if_its_request_cannot_have_run():
    for outcome, releases in ((AttemptOutcome.SHED, 1), (AttemptOutcome.LOST, 0)):
        core, actions = start_request("POST", key="k", zones=("zone-a",))
        core.claim_answered(ClaimAnswer("c", ClaimVerdict.GRANTED), 0.1)
        core.slot_granted(grant())
        core.attempt_failed(outcome, 1.0)
        core.slot_refused(RefusalReason.BUSY, 2.0)
        assert len(actions.calls_of("release_claim")) == releases


def test_a_disconnected_caller_frees_the_slot_and_cancels_the_attempt():
    core, actions = start_request("POST")
    core.slot_granted(grant())
    core.caller_disconnected()
    assert actions.calls_of("cancel_attempt") and actions.calls_of("release_slot")


def test_a_grant_that_arrives_after_the_end_is_released():
    core, actions = start_request("GET")
    core.tick(10.0)
    core.slot_granted(grant())
    assert actions.calls_of("release_slot")[-1] == (AttemptOutcome.CANCELLED,)
    assert not actions.calls_of("start_attempt")


def test_an_answer_that_breaks_off_is_aborted_so_that_it_never_seems_complete():
    core, actions = start_request("GET")
    core.slot_granted(grant())
    core.answer_began()
    core.attempt_failed(AttemptOutcome.LOST, 1.0)
    assert actions.calls_of("abort_answer") == [()]


def test_a_request_tries_the_next_zone_if_a_coordinator_does_not_answer():
    core, actions = start_request("GET")
    core.tick(3.0)
    assert [call[0] for call in actions.calls_of("request_slot")] == [
        "zone-a",
        "zone-b",
    ]


def test_every_refusal_has_a_unique_reason_a_remedy_and_an_outcome():
    assert len({refusal.reason for refusal in ALL_REFUSALS}) == len(ALL_REFUSALS)
    assert all(refusal.remedy and refusal.outcome for refusal in ALL_REFUSALS)
