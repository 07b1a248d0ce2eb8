"""Decide when an entry host that was told to stop leaves the rotation."""

from __future__ import annotations

SPARED_SECONDS = 0.6
# Callers' packets must stop coming soon after the order, even if the zone suffers.
STAY_SECONDS = 2.3


class LeavePlan:
    """Wait until the zone can spare the host, but not for long."""

    __slots__ = ("_leave_deadline", "_spared_at")

    def __init__(
        self, now: float, latest_leave_deadline: float, is_spared: bool
    ) -> None:
        self._leave_deadline = min(now + STAY_SECONDS, latest_leave_deadline)
        self._spared_at = now if is_spared else now + SPARED_SECONDS

    def may_leave(self, now: float, is_spared: bool) -> bool:
        """Return whether to leave now, given whether the zone can spare the host."""
        if not is_spared:
            # Others are back in rotation only some probes after they say so.
            self._spared_at = now + SPARED_SECONDS
        return now >= min(self._spared_at, self._leave_deadline)
