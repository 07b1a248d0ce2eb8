"""Define every refusal that a caller can get, with its outcome and remedy."""

from __future__ import annotations

from enum import StrEnum

import msgspec

OUTCOME_HEADER = "Kingcuppulley-Outcome"


class Outcome(StrEnum):
    """Say whether a refused request can have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one refusal as the caller sees it."""

    reason: str
    status: int
    outcome: Outcome
    remedy: str


BUSY = Refusal(
    reason="busy",
    status=503,
    outcome=Outcome.NOT_RUN,
    remedy="every backend server is at its limit; send the request again later",
)
NO_BACKEND_SERVER = Refusal(
    reason="no-backend-server",
    status=503,
    outcome=Outcome.NOT_RUN,
    remedy="no backend server of this service takes work; send the request again later",
)
LEAVING = Refusal(
    reason="leaving",
    status=503,
    outcome=Outcome.NOT_RUN,
    remedy="this entry host is leaving; connect again to reach another one",
)
DEADLINE_BEFORE_SENDING = Refusal(
    reason="deadline-before-sending",
    status=504,
    outcome=Outcome.NOT_RUN,
    remedy="the deadline passed while the request waited; send it again",
)
DEADLINE_AFTER_SENDING = Refusal(
    reason="deadline-after-sending",
    status=504,
    outcome=Outcome.UNKNOWN,
    remedy="the request may have run; ask again with the same Idempotency-Key, or "
    "check with the service before sending it anew",
)
LOST = Refusal(
    reason="answer-lost",
    status=502,
    outcome=Outcome.UNKNOWN,
    remedy="the request may have run; ask again with the same Idempotency-Key, or "
    "check with the service before sending it anew",
)
NOT_SENT = Refusal(
    reason="not-sent",
    status=502,
    outcome=Outcome.NOT_RUN,
    remedy="no backend server could be reached; send the request again",
)
KEY_RUNNING = Refusal(
    reason="key-in-use",
    status=409,
    outcome=Outcome.UNKNOWN,
    remedy="a request with this Idempotency-Key was sent before and its end is not "
    "known; ask again with the same key",
)
KEY_MISMATCH = Refusal(
    reason="key-of-another-request",
    status=422,
    outcome=Outcome.NOT_RUN,
    remedy="this Idempotency-Key belongs to a different request; use a new key",
)
KEY_UNKNOWN = Refusal(
    reason="key-history-unknown",
    status=503,
    outcome=Outcome.UNKNOWN,
    remedy="whether this Idempotency-Key was used before is not known; this attempt "
    "did not run; ask again, or check and use a key that the system issues",
)
MALFORMED = Refusal(
    reason="malformed",
    status=400,
    outcome=Outcome.NOT_RUN,
    remedy="Request-Timeout takes seconds above zero, and Idempotency-Key 1 to 200 "
    "visible characters",
)
BODY_TOO_LARGE = Refusal(
    reason="body-too-large",
    status=413,
    outcome=Outcome.NOT_RUN,
    remedy="the body is above the limit of this entry host; send less",
)
ALL_REFUSALS = (
    BUSY,
    NO_BACKEND_SERVER,
    LEAVING,
    DEADLINE_BEFORE_SENDING,
    DEADLINE_AFTER_SENDING,
    LOST,
    NOT_SENT,
    KEY_RUNNING,
    KEY_MISMATCH,
    KEY_UNKNOWN,
    MALFORMED,
    BODY_TOO_LARGE,
)
