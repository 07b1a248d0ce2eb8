"""Decide when an entry host that was told to stop leaves the rotation."""

from __future__ import annotations

# Others are back in rotation only some probes after they say that they are ready.
SPARED_SECONDS = 0.6
# Callers' packets must stop coming soon after the order, even if the zone suffers.
STAY_SECONDS = 2.6
# How long callers' packets may still come after the rotation was left.
LEAVE_SECONDS = 1.3


class LeavePlan:
    """Leave the rotation when the zone can spare the host, but not late, and then stop.

    Where too few hosts are in rotation packets come to all of them, so that a host
    which has left goes on serving until others are back.
    """

    __slots__ = ("_leave_deadline", "_leave_at", "_stop_at", "_stop_deadline")

    def __init__(
        self, now: float, stop_deadline: float, can_leave_rotation: bool
    ) -> None:
        self._stop_deadline = stop_deadline
        self._leave_deadline = min(now + STAY_SECONDS, stop_deadline - LEAVE_SECONDS)
        self._leave_at: float | None = now if can_leave_rotation else None
        self._stop_at: float | None = None

    @property
    def has_left(self) -> bool:
        """Return whether the host has left the rotation."""
        return self._stop_at is not None

    def may_leave(self, now: float, can_leave_rotation: bool) -> bool:
        """Return whether to leave the rotation now."""
        if self._leave_at is None and can_leave_rotation:
            # Hosts that are told to stop later wait for this one.
            self._leave_at = now + SPARED_SECONDS
        leave_at = self._leave_deadline
        if self._leave_at is not None:
            leave_at = min(leave_at, self._leave_at)
        if now < leave_at:
            return False
        self._stop_at = now + LEAVE_SECONDS
        return True

    def may_stop(self, now: float, can_leave_rotation: bool) -> bool:
        """Return whether a host that has left the rotation may stop."""
        if self._stop_at is None:
            return False
        # Two hosts that wait for each other would both stay down longer.
        may_go = can_leave_rotation or self._leave_at is not None
        return now >= self._stop_deadline or (may_go and now >= self._stop_at)
