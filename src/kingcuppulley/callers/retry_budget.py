"""Limit retries to a share of first attempts."""

from __future__ import annotations

RETRY_TOKENS_PER_FIRST_ATTEMPT = 0.1
MAXIMUM_RETRY_TOKENS = 20.0


class RetryBudget:
    """Add a part of a token for each first attempt, and spend one for each retry.

    Without a budget, retries multiply the load just when backend servers shed it.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAXIMUM_RETRY_TOKENS

    def record_first_attempt(self) -> None:
        """Add the part of a token that one first attempt allows."""
        self._tokens = min(
            MAXIMUM_RETRY_TOKENS, self._tokens + RETRY_TOKENS_PER_FIRST_ATTEMPT
        )

    def spend_token(self) -> bool:
        """Spend one token and return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
