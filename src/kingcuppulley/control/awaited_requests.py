"""Act on requests only while their callers wait for the answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from kingcuppulley.control.receipt_history import ReceiptHistory

# An operator or a backend server goes on to another control host after this time.
CALLER_TIMEOUT_SECONDS = 1.0
# Time in which an answer must still reach a caller.
ANSWER_MARGIN_SECONDS = 0.1
# The end of a connection arrives with the request or soon after it.  If it is lost
# once, it is sent again after TCP's shortest retransmission timeout of 0.2 s.
SETTLING_SECONDS = 0.3


class Caller(Protocol):
    """Tell since when a caller waits for an answer, and whether it still does."""

    @property
    def began_at(self) -> float:
        """Return when this host first saw the request or its connection."""

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""


# Called with the deadline by which the caller must have its answer, or with None if the
# caller has disconnected.
Handler = Callable[[float | None], None]


class _SettlingRequest:
    """Hold a request whose caller may have given up, until that would be known."""

    __slots__ = ("caller", "handle", "settled_at")

    def __init__(self, caller: Caller, handle: Handler, now: float) -> None:
        self.caller = caller
        self.handle = handle
        self.settled_at = now + SETTLING_SECONDS


class AwaitedRequests:
    """Pass on requests that have no version and must not be applied late.

    A caller without an answer sends its request to another host, and may send the
    opposite one after that.  The first request must then have no effect any more.
    While the caller certainly waits, a request is passed on at once.  If it may be
    older, because this host was paused or cut off or the network held it up, the host
    waits until the end of the connection would have arrived.
    """

    def __init__(self, receipts: ReceiptHistory) -> None:
        self._receipts = receipts
        self._settling: deque[_SettlingRequest] = deque()

    def submit(self, caller: Caller, handle: Handler, now: float) -> None:
        """Pass on a request now, or by `tick` once its caller is known to wait."""
        sent_after = self._receipts.earliest_sending(caller.began_at, now)
        deadline = sent_after + CALLER_TIMEOUT_SECONDS
        if caller.is_disconnected:
            handle(None)
        elif now < deadline - ANSWER_MARGIN_SECONDS:
            handle(deadline)
        else:
            self._settling.append(_SettlingRequest(caller, handle, now))

    def tick(self, now: float) -> None:
        """Pass on the requests whose callers have had time to disconnect."""
        while self._settling and now >= self._settling[0].settled_at:
            request = self._settling.popleft()
            if request.caller.is_disconnected:
                request.handle(None)
            else:
                request.handle(now + CALLER_TIMEOUT_SECONDS - SETTLING_SECONDS)
