"""Carry one request from its arrival to its one answer."""

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
QUEUE_SECONDS = 1.0
CLAIM_SECONDS = 1.5


class RequestStage(Enum):
    """Name how far a request has come."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    ATTEMPTING = "attempting"
    ANSWERING = "answering"
    DONE = "done"


class RequestFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a request as its caller sent it.

    `expected_seconds` is how long an attempt usually takes; one that is begun with
    less time left only takes a slot from another request.
    """

    method: str
    key: str | None
    fingerprint: str
    deadline: float
    expected_seconds: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether running the request twice does what running it once does."""
        return self.method in IDEMPOTENT_METHODS


class RequestPort(Protocol):
    """Do what a request decides; a task owns the sockets behind it."""

    def ask_claim(self, key: str, fingerprint: str) -> None:
        """Ask the home of an idempotency key for the right to run."""

    def free_claim(self, key: str) -> None:
        """Tell the home of a key that the request did not run."""

    def ask_slot(self, zone: str, wait_seconds: float, avoid: str | None) -> None:
        """Ask the coordinator of a zone for a slot."""

    def withdraw_slot(self) -> None:
        """Take back the last request for a slot."""

    def release_slot(self, outcome: AttemptOutcome) -> None:
        """Give the granted slot back."""

    def start_attempt(self, grant: SlotGrant) -> None:
        """Send the request to the backend server of a grant."""

    def cancel_attempt(self) -> None:
        """Close the connection of the attempt, which cancels it."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer the caller with a refusal."""

    def repeat(self, answer: ClaimAnswer) -> None:
        """Answer the caller with what the first request of its key got."""

    def cut(self) -> None:
        """Close the caller's connection, because its answer cannot be completed."""


class RequestCore:
    """Decide on each event of one request.

    "Not run" is said only while no byte can have reached a backend server, or when the
    backend server itself said so.  `_may_have_run` records the first exception, and
    nothing clears it.
    """

    __slots__ = (
        "_facts",
        "_port",
        "_budget",
        "_zones",
        "_untried",
        "_stage",
        "_attempts",
        "_avoid",
        "_may_have_run",
        "_claimed",
        "_saw_busy",
        "_stage_deadline",
        "_last_failure",
    )

    def __init__(
        self,
        facts: RequestFacts,
        zones: list[str],
        port: RequestPort,
        budget: RetryBudget,
    ) -> None:
        self._facts = facts
        self._port = port
        self._budget = budget
        self._zones = zones
        self._untried = list(zones)
        self._stage = RequestStage.WAITING
        self._attempts = 0
        self._avoid: str | None = None
        self._may_have_run = False
        self._claimed = False
        self._saw_busy = False
        self._stage_deadline = facts.deadline
        self._last_failure: Refusal | None = None

    @property
    def stage(self) -> RequestStage:
        """Return how far the request has come."""
        return self._stage

    @property
    def next_deadline(self) -> float:
        """Return when `tick` has something to decide."""
        return min(self._facts.deadline, self._stage_deadline)

    def start(self, now: float) -> None:
        """Claim the key of a request that may not be repeated, or ask for a slot."""
        self._budget.first_attempt()
        if self._facts.key is not None and not self._facts.is_repeatable:
            self._stage = RequestStage.CLAIMING
            self._stage_deadline = now + CLAIM_SECONDS
            self._port.ask_claim(self._facts.key, self._facts.fingerprint)
        else:
            self._ask_slot(now)

    def claim_answered(self, answer: ClaimAnswer, now: float) -> None:
        """Take the verdict of the key's home."""
        if self._stage is not RequestStage.CLAIMING:
            return
        verdict = answer.verdict
        if verdict is ClaimVerdict.GRANTED:
            self._claimed = True
            self._ask_slot(now)
        elif verdict is ClaimVerdict.REPEAT:
            self._stage = RequestStage.DONE
            self._port.repeat(answer)
        elif verdict is ClaimVerdict.RUNNING:
            self._refuse(refusals.KEY_RUNNING)
        elif verdict is ClaimVerdict.MISMATCH:
            self._refuse(refusals.KEY_MISMATCH)
        else:
            self._refuse(refusals.KEY_UNKNOWN)

    def slot_granted(self, grant: SlotGrant) -> None:
        """Start an attempt, or give the slot back if it comes too late."""
        if self._stage is not RequestStage.WAITING:
            self._port.release_slot(AttemptOutcome.CANCELLED)
            return
        self._stage = RequestStage.ATTEMPTING
        self._stage_deadline = self._facts.deadline
        self._attempts += 1
        self._avoid = grant.target
        self._port.start_attempt(grant)

    def slot_refused(self, reason: RefusalReason, now: float) -> None:
        """Ask the next zone, or refuse when none is left."""
        if self._stage is not RequestStage.WAITING:
            return
        if reason is not RefusalReason.NO_TARGET:
            self._saw_busy = True
        self._ask_slot(now)

    def answer_began(self) -> None:
        """Commit to this attempt: bytes of its answer go to the caller from here."""
        self._stage = RequestStage.ANSWERING

    def answer_ended(self) -> None:
        """End the request after its whole answer."""
        self._stage = RequestStage.DONE
        self._port.release_slot(AttemptOutcome.ANSWERED)

    def attempt_failed(self, outcome: AttemptOutcome, now: float) -> None:
        """Retry what is safe to retry, within the budget and the deadline."""
        if self._stage not in (RequestStage.ATTEMPTING, RequestStage.ANSWERING):
            return
        self._port.release_slot(outcome)
        if self._stage is RequestStage.ANSWERING:
            self._stage = RequestStage.DONE
            self._port.cut()
            return
        ran = outcome not in (AttemptOutcome.SHED, AttemptOutcome.NOT_SENT)
        self._may_have_run = self._may_have_run or ran
        self._last_failure = self._refusal_after(outcome)
        safe = self._facts.is_repeatable or not self._may_have_run
        if (
            safe
            and self._attempts < MAXIMUM_ATTEMPTS
            and now < self._facts.deadline
            and self._budget.take()
        ):
            self._untried = list(self._zones)
            self._ask_slot(now)
            return
        self._refuse(self._last_failure)

    def caller_gone(self) -> None:
        """Free the slot of a request whose caller has closed its connection."""
        stage = self._stage
        self._stage = RequestStage.DONE
        if stage is RequestStage.WAITING:
            self._port.withdraw_slot()
            self._free_claim()
        elif stage in (RequestStage.ATTEMPTING, RequestStage.ANSWERING):
            self._port.cancel_attempt()
            self._port.release_slot(AttemptOutcome.CANCELLED)

    def tick(self, now: float) -> None:
        """Act on a deadline that has passed."""
        if now < self.next_deadline:
            return
        if self._stage is RequestStage.CLAIMING:
            self._refuse(refusals.KEY_UNKNOWN)
        elif self._stage is RequestStage.WAITING:
            self._port.withdraw_slot()
            if now >= self._facts.deadline:
                self._refuse(self._deadline_refusal())
            else:
                self._saw_busy = True
                self._ask_slot(now)
        elif self._stage is RequestStage.ATTEMPTING:
            self._may_have_run = True
            self._port.cancel_attempt()
            self._port.release_slot(AttemptOutcome.TIMEOUT)
            self._refuse(refusals.DEADLINE_AFTER_SENDING)

    def _ask_slot(self, now: float) -> None:
        latest = self._facts.deadline - self._facts.expected_seconds
        if now >= latest:
            self._refuse(self._deadline_refusal())
            return
        if not self._untried:
            self._refuse(self._last_failure or self._no_slot_refusal())
            return
        self._stage = RequestStage.WAITING
        zone = self._untried.pop(0)
        wait = min(QUEUE_SECONDS, latest - now)
        # The coordinator ends the wait; this deadline is for an answer that is missing.
        self._stage_deadline = now + wait + QUEUE_SECONDS
        self._port.ask_slot(zone, wait, self._avoid)

    def _deadline_refusal(self) -> Refusal:
        if self._may_have_run:
            return refusals.DEADLINE_AFTER_SENDING
        return refusals.DEADLINE_BEFORE_SENDING

    def _no_slot_refusal(self) -> Refusal:
        return refusals.BUSY if self._saw_busy else refusals.NO_BACKEND_SERVER

    def _refusal_after(self, outcome: AttemptOutcome) -> Refusal:
        if self._may_have_run:
            return refusals.LOST
        if outcome is AttemptOutcome.SHED:
            return refusals.BUSY
        return refusals.NOT_SENT

    def _refuse(self, refusal: Refusal) -> None:
        self._stage = RequestStage.DONE
        self._free_claim()
        self._port.refuse(refusal)

    def _free_claim(self) -> None:
        if self._claimed and not self._may_have_run and self._facts.key is not None:
            self._claimed = False
            self._port.free_claim(self._facts.key)
