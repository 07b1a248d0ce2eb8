"""Define every refusal that a caller can receive, with its outcome and remedy."""

from __future__ import annotations

from enum import StrEnum

import msgspec

OUTCOME_HEADER = "Kingcuppulley-Outcome"


class Outcome(StrEnum):
    """State whether a refused request may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one refusal.  The caller receives the fields as JSON."""

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
    remedy="no backend server of this service accepts requests; send the request again "
    "later",
)
LEAVING = Refusal(
    reason="leaving",
    status=503,
    outcome=Outcome.NOT_RUN,
    remedy="this entry host is shutting down; connect again to reach another one",
)
DEADLINE_BEFORE_SENDING = Refusal(
    reason="deadline-before-sending",
    status=504,
    outcome=Outcome.NOT_RUN,
    remedy="the request could not be sent in time for its deadline; send it again",
)
DEADLINE_AFTER_SENDING = Refusal(
    reason="deadline-after-sending",
    status=504,
    outcome=Outcome.UNKNOWN,
    remedy="the request may have run; send it again with the same Idempotency-Key, or "
    "check with the service before sending it as a new request",
)
ANSWER_LOST = Refusal(
    reason="answer-lost",
    status=502,
    outcome=Outcome.UNKNOWN,
    remedy="the request may have run; send it again with the same Idempotency-Key, or "
    "check with the service before sending it as a new request",
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
    remedy="the result of an earlier request with this Idempotency-Key is not known; "
    "send the request again with the same key",
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
    remedy="it is not known whether this Idempotency-Key was used before; this request "
    "did not run; send it again, or check with the service and use a key that the "
    "system issues",
)
MALFORMED = Refusal(
    reason="malformed",
    status=400,
    outcome=Outcome.NOT_RUN,
    remedy="give Request-Timeout as a number of seconds above 0, and "
    "Idempotency-Key as 1 to 200 printable characters",
)
BODY_TOO_LARGE = Refusal(
    reason="body-too-large",
    status=413,
    outcome=Outcome.NOT_RUN,
    remedy="the body is larger than this entry host accepts; send a smaller one",
)
ALL_REFUSALS = (
    BUSY,
    NO_BACKEND_SERVER,
    LEAVING,
    DEADLINE_BEFORE_SENDING,
    DEADLINE_AFTER_SENDING,
    ANSWER_LOST,
    NOT_SENT,
    KEY_RUNNING,
    KEY_MISMATCH,
    KEY_UNKNOWN,
    MALFORMED,
    BODY_TOO_LARGE,
)
