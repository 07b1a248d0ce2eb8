"""Let other hosts take flows over: back up exceptions, hand all over on leaving.

A copy of each flow at a peer does not fit a few kilobytes a second.  The choice of a
target is deterministic, so a new owner computes what the old one chose, except for
flows whose target is no longer what the choice would give now: a target has drained,
warmed up or been added since.  Only these exceptions are copied, to the backup of
their bucket, 8 bytes each.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice

from kingcuppulley.fabric.flow_table import FlowTable
from kingcuppulley.fabric.ownership import OwnerTable
from kingcuppulley.fabric.targets import PacketTarget, PacketTargets

FlowsByTarget = dict[str, list[int]]
"""Flows by the name of their target."""

MAXIMUM_FLOWS_PER_SCAN_STEP = 2000
MAXIMUM_BACKUPS = 400_000


class FlowReplication:
    """Track which flows are exceptions and which hosts have a copy of them."""

    __slots__ = (
        "_name",
        "_flows",
        "_owners",
        "_targets",
        "_pending",
        "_copied_to",
        "_backups",
        "_scan",
        "_moved",
    )

    def __init__(
        self, name: str, flows: FlowTable, owners: OwnerTable, targets: PacketTargets
    ) -> None:
        self._name = name
        self._flows = flows
        self._owners = owners
        self._targets = targets
        self._pending: dict[int, None] = {}
        self._copied_to: dict[int, str] = {}
        self._backups: dict[int, str] = {}
        self._scan: Iterator[int] = iter(())
        self._moved: dict[str, FlowsByTarget] = {}

    @property
    def pending_count(self) -> int:
        """Return how many exceptions no other host has yet."""
        return len(self._pending)

    @property
    def backup_count(self) -> int:
        """Return how many flows of other hosts this one backs up."""
        return len(self._backups)

    def restart_scan(self) -> None:
        """Look at every flow again, because the choice or the owners changed."""
        self._scan = self._flows.flows()
        # Flows end without a word to this class; what was copied of them ends here.
        self._copied_to = {
            flow: host
            for flow, host in self._copied_to.items()
            if self._flows.peek(flow) is not None
        }

    def advance_scan(self) -> bool:
        """Look at the next flows of the walk and return whether it goes on."""
        seen = 0
        for flow in islice(self._scan, MAXIMUM_FLOWS_PER_SCAN_STEP):
            seen += 1
            number = self._flows.peek(flow)
            if number is not None:
                self._look_at(flow, self._targets.by_number(number))
        return seen == MAXIMUM_FLOWS_PER_SCAN_STEP

    def pop_moved_flows(self) -> dict[str, FlowsByTarget]:
        """Return the flows that other hosts own by now, by host and target."""
        moved = self._moved
        self._moved = {}
        return moved

    def note_if_exception(self, flow: int, target: PacketTarget) -> None:
        """Remember to copy a flow if a new owner would choose another target."""
        if self._targets.choose(target.service, flow) is target:
            self._pending.pop(flow, None)
            return
        backup = self._owners.backup(flow)
        if backup is not None and self._copied_to.get(flow) != backup:
            self._pending[flow] = None

    def forget(self, flow: int) -> None:
        """Drop a flow that was given up."""
        self._pending.pop(flow, None)
        self._copied_to.pop(flow, None)
        self._backups.pop(flow, None)

    def pop_pending_flows(self, limit: int) -> dict[str, FlowsByTarget]:
        """Return up to `limit` flows to copy, by host and target."""
        batches: dict[str, FlowsByTarget] = {}
        for flow in list(islice(self._pending, limit)):
            del self._pending[flow]
            backup = self._owners.backup(flow)
            number = self._flows.peek(flow)
            if backup is None or number is None:
                continue
            self._copied_to[flow] = backup
            name = self._targets.by_number(number).name
            batches.setdefault(backup, {}).setdefault(name, []).append(flow)
        return batches

    def store_backups(self, target_name: str, flows: Iterable[int]) -> None:
        """Keep copies of another host's flows, the oldest making room."""
        backups = self._backups
        for flow in flows:
            backups.pop(flow, None)
            backups[flow] = target_name
        excess = len(backups) - MAXIMUM_BACKUPS
        for flow in list(islice(backups, max(0, excess))):
            del backups[flow]

    def backup_target(self, flow: int) -> str | None:
        """Return the target's name of a flow that this host backs up, or None."""
        return self._backups.get(flow)

    def _look_at(self, flow: int, target: PacketTarget) -> None:
        ranked = self._owners.ranked(flow)
        if not ranked or ranked[0] == self._name:
            self.note_if_exception(flow, target)
            return
        # A host joined, or this one leaves or its zone was taken out.  The flow is
        # handed over whether or not it is an exception: the new owner must know it
        # before the choice changes the next time.
        groups = self._moved.setdefault(ranked[0], {})
        groups.setdefault(target.name, []).append(flow)
