"""Bound retries to a share of first attempts."""

from __future__ import annotations

RETRY_SHARE = 0.1
MAXIMUM_RETRY_TOKENS = 20.0


class RetryBudget:
    """Earn a part of a token with each first attempt and spend one a retry.

    Without a budget, retries multiply the load just when backend servers shed it.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAXIMUM_RETRY_TOKENS

    def first_attempt(self) -> None:
        """Earn the share of one first attempt."""
        self._tokens = min(MAXIMUM_RETRY_TOKENS, self._tokens + RETRY_SHARE)

    def take(self) -> bool:
        """Spend one token and return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
