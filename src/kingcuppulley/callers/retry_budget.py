"""Limit retries to a share of requests."""

from __future__ import annotations

RETRY_TOKENS_PER_REQUEST = 0.1
MAXIMUM_RETRY_TOKENS = 20.0


class RetryBudget:
    """Add a part of a token for each request, and spend one for each retry.

    Without a budget, retries multiply the load just when backend servers shed it.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAXIMUM_RETRY_TOKENS

    def record_request(self) -> None:
        """Add a part of a token for a started request, even if it is refused later."""
        self._tokens = min(
            MAXIMUM_RETRY_TOKENS, self._tokens + RETRY_TOKENS_PER_REQUEST
        )

    def spend_token(self) -> bool:
        """Spend one token and return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
