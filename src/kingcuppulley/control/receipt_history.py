"""Bound from when a request may be that a control host reads now.

A host that was paused or cut off reads requests whose callers have given up and gone to
another host.  A request alone does not show its age, so the bound follows from what the
host knows of its own pauses and of its contact with the other control hosts.
"""

from __future__ import annotations

from collections import deque

# Longest time between two ticks of a process that runs as it should.
MAXIMUM_TICK_GAP_SECONDS = 0.1
# Longest time without contact with a quorum, in which two hellos may be lost.
MAXIMUM_CONTACT_GAP_SECONDS = 0.6
# A connection that waited during a gap may be accepted and read this long after it.
# What the network held up comes later: the sender's pause before it retransmits grows
# with the time that it has waited, so it may be as long as the gap.
READING_DELAY_SECONDS = 0.25
REVISION_RETENTION_SECONDS = 180.0
# A slow host has many gaps; old ones concern only connections without a request.
GAP_RETENTION_SECONDS = 10.0


class _Gap:
    """Hold a time in which this host was paused or cut off."""

    __slots__ = ("began_at", "ended_at")

    def __init__(self, began_at: float, ended_at: float) -> None:
        self.began_at = began_at
        self.ended_at = ended_at

    def may_delay(self, at: float) -> bool:
        """Return whether a request that is first seen at a time may be from before."""
        return self.began_at < at <= self._delays_until

    def is_retained(self, now: float) -> bool:
        """Return whether requests that are read now may still concern the gap."""
        return now <= self._delays_until + GAP_RETENTION_SECONDS

    @property
    def _delays_until(self) -> float:
        return 2 * self.ended_at - self.began_at + READING_DELAY_SECONDS


class ReceiptHistory:
    """Record the pauses of one control host and the revisions that it knew.

    `revision` is the newest that the host had accepted before its process started.
    """

    def __init__(self, revision: int, now: float) -> None:
        self._started_at = now
        self._last_tick_at = now
        self._last_contact_at = now
        self._gaps: deque[_Gap] = deque()
        # Times at which a revision became known, the oldest first.
        self._revisions: deque[tuple[float, int]] = deque([(now, revision)])

    def record_tick(self, contact_at: float, now: float) -> None:
        """Record that the host runs, and when it last had contact with a quorum."""
        if now - self._last_tick_at > MAXIMUM_TICK_GAP_SECONDS:
            self._gaps.append(_Gap(self._last_tick_at, now))
        self._last_tick_at = now
        if contact_at - self._last_contact_at > MAXIMUM_CONTACT_GAP_SECONDS:
            self._gaps.append(_Gap(self._last_contact_at, contact_at))
        self._last_contact_at = max(self._last_contact_at, contact_at)
        self._evict(now)

    def record_revision(self, revision: int, now: float) -> None:
        """Record that a chosen revision is known from now on."""
        self._revisions.append((now, revision))

    def earliest_sending(self, began_at: float, now: float) -> float:
        """Return the earliest time at which a request may have been sent.

        `began_at` is when this host first saw the request or its connection.  Nothing
        is from before this process: its predecessor's connections ended with it.
        """
        earliest = began_at - MAXIMUM_TICK_GAP_SECONDS
        for gap in (*self._gaps, *self._present_gaps(now)):
            if gap.may_delay(began_at):
                earliest = min(earliest, gap.began_at)
        return max(earliest, self._started_at)

    def revision_at(self, at: float) -> int:
        """Return the newest revision that was known at a time."""
        known = self._revisions[0][1]
        for known_since, revision in self._revisions:
            if known_since > at:
                break
            known = max(known, revision)
        return known

    def _present_gaps(self, now: float) -> list[_Gap]:
        gaps = []
        if now - self._last_tick_at > MAXIMUM_TICK_GAP_SECONDS:
            gaps.append(_Gap(self._last_tick_at, now))
        if now - self._last_contact_at > MAXIMUM_CONTACT_GAP_SECONDS:
            gaps.append(_Gap(self._last_contact_at, now))
        return gaps

    def _evict(self, now: float) -> None:
        while self._gaps and not self._gaps[0].is_retained(now):
            self._gaps.popleft()
        oldest_needed = now - REVISION_RETENTION_SECONDS
        while len(self._revisions) > 1 and self._revisions[1][0] < oldest_needed:
            self._revisions.popleft()
