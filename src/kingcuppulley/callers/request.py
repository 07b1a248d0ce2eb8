"""Decide each step of one request, from arrival to its single answer, without I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from kingcuppulley.callers import refusals
from kingcuppulley.callers.refusals import Refusal
from kingcuppulley.callers.retry_budget import RetryBudget
from kingcuppulley.entry_hosts.messages import (
    AttemptOutcome,
    ClaimAnswer,
    ClaimVerdict,
    RefusalReason,
    SlotGrant,
)

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAXIMUM_ATTEMPTS = 4
MAXIMUM_SLOT_WAIT_SECONDS = 1.0
CLAIM_TIMEOUT_SECONDS = 1.5


class RequestStage(Enum):
    """Name the stages of a request.

    `CLAIMING` waits for the owner of the request's key, `WAITING` for a slot.
    `ATTEMPTING` waits for the answer of a backend server, and `ANSWERING` forwards it.
    """

    CLAIMING = "claiming"
    WAITING = "waiting"
    ATTEMPTING = "attempting"
    ANSWERING = "answering"
    DONE = "done"


class RequestFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a request as its caller sent it.

    `deadline` is when the caller's time-out ends.  `expected_seconds` is how long an
    attempt is expected to take; with less time left, no slot is requested, because the
    attempt would only take a slot from another request.
    """

    method: str
    key: str | None
    fingerprint: str
    deadline: float
    expected_seconds: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether the method is idempotent, so that a repeat does no harm."""
        return self.method in IDEMPOTENT_METHODS


class RequestActions(Protocol):
    """Carry out the decisions of a request's core, with sockets and messages."""

    def request_claim(self, key: str, fingerprint: str) -> None:
        """Ask the owner of an idempotency key whether the request may run."""

    def release_claim(self, key: str) -> None:
        """Notify the hosts that store the claim that the request did not run."""

    def request_slot(self, zone: str, wait_seconds: float, avoid: str | None) -> None:
        """Request a slot from the slot coordinator of a zone.

        A slot of the backend server `avoid` is granted only if no other one is free.
        """

    def cancel_slot_request(self) -> None:
        """Cancel the last request for a slot."""

    def release_slot(self, outcome: AttemptOutcome) -> None:
        """Release the granted slot."""

    def start_attempt(self, grant: SlotGrant) -> None:
        """Send the request to the backend server whose slot was granted."""

    def cancel_attempt(self) -> None:
        """Cancel the attempt by closing its connection."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer the caller with a refusal."""

    def repeat_answer(self, answer: ClaimAnswer) -> None:
        """Answer the caller with the stored answer to the key's first request."""

    def abort_answer(self) -> None:
        """Close the caller's connection, because its answer cannot be completed."""


class RequestCore:
    """Decide at each event of one request which action follows.

    A refusal has the outcome "not-run" only if no byte can have reached a backend
    server, or if each server that was reached reported that it did not run the request.
    `_may_have_run` is set once an attempt fails for which neither is certain, and is
    never cleared.
    """

    __slots__ = (
        "_facts",
        "_actions",
        "_retry_budget",
        "_zones",
        "_untried_zones",
        "_stage",
        "_attempt_count",
        "_target_to_avoid",
        "_may_have_run",
        "_has_claim",
        "_has_busy_zone",
        "_stage_deadline",
        "_last_failure",
    )

    def __init__(
        self,
        facts: RequestFacts,
        zones: list[str],
        actions: RequestActions,
        retry_budget: RetryBudget,
    ) -> None:
        self._facts = facts
        self._actions = actions
        self._retry_budget = retry_budget
        self._zones = zones
        self._untried_zones = list(zones)
        self._stage = RequestStage.WAITING
        self._attempt_count = 0
        self._target_to_avoid: str | None = None
        self._may_have_run = False
        self._has_claim = False
        self._has_busy_zone = False
        self._stage_deadline = facts.deadline
        self._last_failure: Refusal | None = None

    @property
    def stage(self) -> RequestStage:
        """Return the stage that the request is in."""
        return self._stage

    @property
    def next_deadline(self) -> float:
        """Return the earliest time at which `tick` may act."""
        return min(self._facts.deadline, self._stage_deadline)

    def start(self, now: float) -> None:
        """Claim the key of a request that is not repeatable, or request a slot."""
        self._retry_budget.record_request()
        if self._facts.key is not None and not self._facts.is_repeatable:
            self._stage = RequestStage.CLAIMING
            self._stage_deadline = now + CLAIM_TIMEOUT_SECONDS
            self._actions.request_claim(self._facts.key, self._facts.fingerprint)
        else:
            self._request_slot(now)

    def claim_answered(self, answer: ClaimAnswer, now: float) -> None:
        """Handle the verdict of the key's owner."""
        if self._stage is not RequestStage.CLAIMING:
            return
        verdict = answer.verdict
        if verdict is ClaimVerdict.GRANTED:
            self._has_claim = True
            self._request_slot(now)
        elif verdict is ClaimVerdict.REPEAT:
            self._stage = RequestStage.DONE
            self._actions.repeat_answer(answer)
        elif verdict is ClaimVerdict.RUNNING:
            self._refuse(refusals.KEY_RUNNING)
        elif verdict is ClaimVerdict.MISMATCH:
            self._refuse(refusals.KEY_MISMATCH)
        else:
            self._refuse(refusals.KEY_UNKNOWN)

    def slot_granted(self, grant: SlotGrant) -> None:
        """Start an attempt, or release the slot if the request stopped waiting."""
        if self._stage is not RequestStage.WAITING:
            self._actions.release_slot(AttemptOutcome.CANCELLED)
            return
        self._stage = RequestStage.ATTEMPTING
        self._stage_deadline = self._facts.deadline
        self._attempt_count += 1
        self._target_to_avoid = grant.target
        self._actions.start_attempt(grant)

    def slot_refused(self, reason: RefusalReason, now: float) -> None:
        """Request a slot in the next zone, or refuse the request if none is left."""
        if self._stage is not RequestStage.WAITING:
            return
        if reason is not RefusalReason.NO_TARGET:
            self._has_busy_zone = True
        self._request_slot(now)

    def answer_began(self) -> None:
        """Rule out retries, because the caller now receives this attempt's answer."""
        self._stage = RequestStage.ANSWERING

    def answer_ended(self) -> None:
        """End the request after its complete answer."""
        self._stage = RequestStage.DONE
        self._actions.release_slot(AttemptOutcome.ANSWERED)

    def attempt_failed(self, outcome: AttemptOutcome, now: float) -> None:
        """Retry if that is safe and the retry budget and the deadline allow it."""
        if self._stage not in (RequestStage.ATTEMPTING, RequestStage.ANSWERING):
            return
        self._actions.release_slot(outcome)
        if self._stage is RequestStage.ANSWERING:
            self._stage = RequestStage.DONE
            self._actions.abort_answer()
            return
        may_have_run = outcome not in (AttemptOutcome.SHED, AttemptOutcome.NOT_SENT)
        self._may_have_run = self._may_have_run or may_have_run
        self._last_failure = self._refusal_after(outcome)
        is_retry_safe = self._facts.is_repeatable or not self._may_have_run
        if (
            is_retry_safe
            and self._attempt_count < MAXIMUM_ATTEMPTS
            and now < self._facts.deadline
            and self._retry_budget.spend_token()
        ):
            self._untried_zones = list(self._zones)
            self._request_slot(now)
            return
        self._refuse(self._last_failure)

    def caller_disconnected(self) -> None:
        """End a request whose caller has disconnected, and free its slot."""
        stage = self._stage
        self._stage = RequestStage.DONE
        if stage is RequestStage.WAITING:
            self._actions.cancel_slot_request()
            self._release_claim()
        elif stage in (RequestStage.ATTEMPTING, RequestStage.ANSWERING):
            self._actions.cancel_attempt()
            self._actions.release_slot(AttemptOutcome.CANCELLED)

    def tick(self, now: float) -> None:
        """Act on a deadline that has passed."""
        if now < self.next_deadline:
            return
        if self._stage is RequestStage.CLAIMING:
            self._refuse(refusals.KEY_UNKNOWN)
        elif self._stage is RequestStage.WAITING:
            self._actions.cancel_slot_request()
            if now >= self._facts.deadline:
                self._refuse(self._deadline_refusal())
            else:
                self._has_busy_zone = True
                self._request_slot(now)
        elif self._stage is RequestStage.ATTEMPTING:
            self._may_have_run = True
            self._actions.cancel_attempt()
            self._actions.release_slot(AttemptOutcome.TIMEOUT)
            self._refuse(refusals.DEADLINE_AFTER_SENDING)

    def _request_slot(self, now: float) -> None:
        latest_start = self._facts.deadline - self._facts.expected_seconds
        if now >= latest_start:
            self._refuse(self._deadline_refusal())
            return
        if not self._untried_zones:
            self._refuse(self._last_failure or self._no_slot_refusal())
            return
        self._stage = RequestStage.WAITING
        zone = self._untried_zones.pop(0)
        wait_seconds = min(MAXIMUM_SLOT_WAIT_SECONDS, latest_start - now)
        # The coordinator refuses after `wait_seconds`.  This later deadline is for a
        # coordinator that does not answer.
        self._stage_deadline = now + wait_seconds + MAXIMUM_SLOT_WAIT_SECONDS
        self._actions.request_slot(zone, wait_seconds, self._target_to_avoid)

    def _deadline_refusal(self) -> Refusal:
        if self._may_have_run:
            return refusals.DEADLINE_AFTER_SENDING
        return refusals.DEADLINE_BEFORE_SENDING

    def _no_slot_refusal(self) -> Refusal:
        return refusals.BUSY if self._has_busy_zone else refusals.NO_BACKEND_SERVER

    def _refusal_after(self, outcome: AttemptOutcome) -> Refusal:
        if self._may_have_run:
            return refusals.ANSWER_LOST
        if outcome is AttemptOutcome.SHED:
            return refusals.BUSY
        return refusals.NOT_SENT

    def _refuse(self, refusal: Refusal) -> None:
        self._stage = RequestStage.DONE
        self._release_claim()
        self._actions.refuse(refusal)

    def _release_claim(self) -> None:
        if self._has_claim and not self._may_have_run and self._facts.key is not None:
            self._has_claim = False
            self._actions.release_claim(self._facts.key)
