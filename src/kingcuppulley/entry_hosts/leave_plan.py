"""Decide when an entry host that was asked to stop leaves the rotation."""

from __future__ import annotations

# The fabric takes a host into rotation only some probes after the host reports ready;
# a host that leaves waits this long for one that has just become ready.
RETURN_TO_ROTATION_SECONDS = 0.6
# Longest time in rotation after the request to stop: callers' packets must soon stop
# arriving, even if the zone's other hosts cannot serve all of its traffic yet.
MAXIMUM_STAY_SECONDS = 2.6
# Callers' packets may still arrive for this long after the host left the rotation.
ROTATION_EXIT_SECONDS = 1.3


class LeavePlan:
    """Schedule when a host leaves the rotation, and when it stops after that.

    The host leaves at once if the zone's other hosts can serve its traffic, otherwise
    `RETURN_TO_ROTATION_SECONDS` after they first can.  It leaves at the latest after
    `MAXIMUM_STAY_SECONDS`, or `ROTATION_EXIT_SECONDS` before its stop deadline if that
    is earlier.  If too few hosts are in rotation, packets come to all hosts of the
    zone, so a host that left the rotation continues to serve until others are back.
    Packets that are queued when it could stop are sent first.
    """

    __slots__ = ("_latest_leave_at", "_leave_at", "_stop_at", "_stop_deadline")

    def __init__(
        self, now: float, stop_deadline: float, can_leave_rotation: bool
    ) -> None:
        self._stop_deadline = stop_deadline
        self._latest_leave_at = min(
            now + MAXIMUM_STAY_SECONDS, stop_deadline - ROTATION_EXIT_SECONDS
        )
        self._leave_at: float | None = now if can_leave_rotation else None
        self._stop_at: float | None = None

    @property
    def has_left(self) -> bool:
        """Return whether the host has left the rotation."""
        return self._stop_at is not None

    def may_leave(self, now: float, can_leave_rotation: bool) -> bool:
        """Return whether to leave the rotation now, and if so, schedule the stop."""
        if self._leave_at is None and can_leave_rotation:
            # This time stays, even if the zone's other hosts become too few again:
            # hosts that are asked to stop later wait for this one.
            self._leave_at = now + RETURN_TO_ROTATION_SECONDS
        leave_at = self._latest_leave_at
        if self._leave_at is not None:
            leave_at = min(leave_at, self._leave_at)
        if now < leave_at:
            return False
        self._stop_at = now + ROTATION_EXIT_SECONDS
        return True

    def may_stop(
        self, now: float, can_leave_rotation: bool, has_backlog: bool = False
    ) -> bool:
        """Return whether a host that has left the rotation may stop."""
        if self._stop_at is None:
            return False
        # A host that was free to leave before stops without waiting for others: two
        # hosts that waited for each other would both stay down longer.
        is_free_to_stop = can_leave_rotation or self._leave_at is not None
        has_finished = is_free_to_stop and now >= self._stop_at and not has_backlog
        return now >= self._stop_deadline or has_finished
