"""Cover one request: what is retried, what is refused, and what refusals may say."""

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


class Port:
    """Record what a request decides."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments))

    def of(self, name):
        return [call[1:] for call in self.calls if call[0] == name]


def begun(method="GET", key=None, zones=("zone-a", "zone-b"), budget=None):
    port = Port()
    facts = RequestFacts(method=method, key=key, fingerprint="f", deadline=10.0)
    core = RequestCore(facts, list(zones), port, budget or RetryBudget())
    core.start(0.0)
    return core, port


def grant(target="desk-1"):
    return SlotGrant("lease", target, "127.0.0.1", 1, 3.0)


def test_a_lost_answer_is_retried_only_if_running_twice_does_no_harm():
    for method, attempts in (("GET", 2), ("POST", 1)):
        core, port = begun(method)
        core.slot_granted(grant())
        core.attempt_failed(AttemptOutcome.LOST, 1.0)
        core.slot_granted(grant("desk-2"))
        assert len(port.of("start_attempt")) == attempts


def test_a_lost_booking_is_not_said_to_have_not_run():
    core, port = begun("POST")
    core.slot_granted(grant())
    core.attempt_failed(AttemptOutcome.LOST, 1.0)
    assert port.of("refuse") == [(refusals.LOST,)]


@pytest.mark.parametrize("outcome", [AttemptOutcome.SHED, AttemptOutcome.NOT_SENT])
def test_a_booking_that_certainly_did_not_run_is_tried_elsewhere(outcome):
    core, port = begun("POST")
    core.slot_granted(grant())
    core.attempt_failed(outcome, 1.0)
    core.slot_granted(grant("desk-2"))
    assert len(port.of("start_attempt")) == 2


def test_once_a_request_may_have_run_no_later_refusal_says_that_it_did_not():
    core, port = begun("GET")
    core.slot_granted(grant())
    core.attempt_failed(AttemptOutcome.LOST, 1.0)
    core.slot_granted(grant())
    core.attempt_failed(AttemptOutcome.SHED, 2.0)
    for _ in range(4):
        core.slot_refused(RefusalReason.BUSY, 3.0)
    (refusal,) = port.of("refuse")[0]
    assert refusal.outcome is Outcome.UNKNOWN


def test_a_deadline_before_sending_says_not_run_and_one_after_says_unknown():
    core, port = begun("POST")
    core.tick(10.0)
    assert port.of("refuse") == [(refusals.DEADLINE_BEFORE_SENDING,)]
    core, port = begun("POST")
    core.slot_granted(grant())
    core.tick(10.0)
    assert port.of("refuse") == [(refusals.DEADLINE_AFTER_SENDING,)]
    assert port.of("cancel_attempt") == [()]
    assert port.of("release_slot") == [(AttemptOutcome.TIMEOUT,)]


def test_a_request_is_refused_before_it_takes_a_slot_that_it_cannot_use():
    port = Port()
    facts = RequestFacts(
        method="POST", key=None, fingerprint="f", deadline=1.0, expected_seconds=0.3
    )
    core = RequestCore(facts, ["zone-a", "zone-b"], port, RetryBudget())
    core.start(0.0)
    assert port.of("ask_slot")[0][1] == 0.7
    core.slot_refused(RefusalReason.BUSY, 0.75)
    assert port.of("refuse") == [(refusals.DEADLINE_BEFORE_SENDING,)]


def test_every_zone_is_asked_before_a_request_is_refused_as_busy():
    core, port = begun("GET")
    core.slot_refused(RefusalReason.BUSY, 0.1)
    core.slot_refused(RefusalReason.NO_TARGET, 0.2)
    assert [call[0] for call in port.of("ask_slot")] == ["zone-a", "zone-b"]
    assert port.of("refuse") == [(refusals.BUSY,)]


def test_a_request_without_any_backend_server_is_told_so():
    core, port = begun("GET", zones=())
    assert port.of("refuse") == [(refusals.NO_BACKEND_SERVER,)]


def test_retries_stop_when_the_budget_is_spent():
    budget = RetryBudget()
    retries = 0
    for _ in range(100):
        core, port = begun("GET", budget=budget)
        core.slot_granted(grant())
        core.attempt_failed(AttemptOutcome.LOST, 1.0)
        retries += len(port.of("ask_slot")) - 1
    assert retries <= MAXIMUM_RETRY_TOKENS + 100 * 0.1


def test_a_keyed_booking_claims_its_key_before_it_asks_for_a_slot():
    core, port = begun("POST", key="k")
    assert [call[0] for call in port.calls] == ["ask_claim"]
    core.claim_answered(ClaimAnswer("c", ClaimVerdict.GRANTED), 0.1)
    assert port.calls[-1][0] == "ask_slot"


@pytest.mark.parametrize(
    ("verdict", "refusal"),
    [
        (ClaimVerdict.RUNNING, refusals.KEY_RUNNING),
        (ClaimVerdict.MISMATCH, refusals.KEY_MISMATCH),
        (ClaimVerdict.UNKNOWN, refusals.KEY_UNKNOWN),
        (ClaimVerdict.UNAVAILABLE, refusals.KEY_UNKNOWN),
    ],
)
def test_a_key_that_is_not_granted_never_reaches_a_backend_server(verdict, refusal):
    core, port = begun("POST", key="k")
    core.claim_answered(ClaimAnswer("c", verdict), 0.1)
    assert port.of("refuse") == [(refusal,)]
    assert not port.of("ask_slot")


def test_a_key_is_freed_only_if_its_request_cannot_have_run():
    for outcome, freed in ((AttemptOutcome.SHED, 1), (AttemptOutcome.LOST, 0)):
        core, port = begun("POST", key="k", zones=("zone-a",))
        core.claim_answered(ClaimAnswer("c", ClaimVerdict.GRANTED), 0.1)
        core.slot_granted(grant())
        core.attempt_failed(outcome, 1.0)
        core.slot_refused(RefusalReason.BUSY, 2.0)
        assert len(port.of("free_claim")) == freed


def test_a_caller_that_goes_frees_the_slot_and_cancels_the_attempt():
    core, port = begun("POST")
    core.slot_granted(grant())
    core.caller_gone()
    assert port.of("cancel_attempt") and port.of("release_slot")


def test_a_grant_that_comes_after_the_end_is_given_back():
    core, port = begun("GET")
    core.tick(10.0)
    core.slot_granted(grant())
    assert port.of("release_slot")[-1] == (AttemptOutcome.CANCELLED,)
    assert not port.of("start_attempt")


def test_an_answer_that_breaks_off_is_cut_and_not_passed_off_as_whole():
    core, port = begun("GET")
    core.slot_granted(grant())
    core.answer_began()
    core.attempt_failed(AttemptOutcome.LOST, 1.0)
    assert port.of("cut") == [()]


def test_a_silent_steward_does_not_hold_a_request_for_ever():
    core, port = begun("GET")
    core.tick(3.0)
    assert [call[0] for call in port.of("ask_slot")] == ["zone-a", "zone-b"]


def test_every_refusal_names_a_remedy_and_the_outcome():
    assert len({refusal.reason for refusal in ALL_REFUSALS}) == len(ALL_REFUSALS)
    assert all(refusal.remedy and refusal.outcome for refusal in ALL_REFUSALS)
