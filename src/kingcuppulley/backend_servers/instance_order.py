"""Tell the running process of a control host from its earlier processes."""

from __future__ import annotations

from collections import deque

# How many earlier processes of one control host are remembered.
REPLACED_INSTANCES = 8
# Without a message of the current process for this long, an earlier one is believed.
CURRENT_INSTANCE_TIMEOUT_SECONDS = 1.0


class InstanceOrder:
    """Order the processes of one control host by when their messages arrive.

    The identifiers of processes have no order of their own.  A process that another one
    replaced has ended, so messages that still name it were delayed.  A delayed message
    of a process that this host never heard makes that process the current one by
    mistake.  The running process is believed again when the other one stays silent.
    """

    __slots__ = ("_current", "_received_at", "_replaced")

    def __init__(self, instance: str, received_at: float) -> None:
        self._current = instance
        self._received_at = received_at
        self._replaced: deque[str] = deque(maxlen=REPLACED_INSTANCES)

    def is_outdated(self, instance: str, received_at: float) -> bool:
        """Return whether a message names an earlier process.

        `received_at` is when it arrived, here or at the host that passed it on.
        """
        if instance == self._current:
            return False
        if received_at < self._received_at:
            # The host that passed it on has not heard the current process yet.
            return True
        deadline = self._received_at + CURRENT_INSTANCE_TIMEOUT_SECONDS
        return instance in self._replaced and received_at < deadline

    def record(self, instance: str, received_at: float) -> None:
        """Record a message that is not outdated."""
        if instance != self._current:
            self._replaced.append(self._current)
            self._current = instance
        self._received_at = max(self._received_at, received_at)
