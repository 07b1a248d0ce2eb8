"""Copy flows to backup hosts, and hand flows over to new owners.

Copying each flow to a peer does not fit into a few kilobytes a second.  The choice of
a target is deterministic, so a new owner computes the same target as the old one for
most flows.  The exceptions are flows whose target is not the one that the choice gives
now, because a target has drained, warmed up or been added since.  Only exceptions are
copied, to the backup host of their bucket, 8 bytes each.
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
    """Collect the exceptions to copy to backup hosts and the flows to hand over."""

    __slots__ = (
        "_host_name",
        "_flows",
        "_owners",
        "_targets",
        "_pending",
        "_backup_hosts",
        "_backups",
        "_scan",
        "_moved",
    )

    def __init__(
        self,
        host_name: str,
        flows: FlowTable,
        owners: OwnerTable,
        targets: PacketTargets,
    ) -> None:
        self._host_name = host_name
        self._flows = flows
        self._owners = owners
        self._targets = targets
        self._pending: dict[int, None] = {}
        self._backup_hosts: dict[int, str] = {}
        self._backups: dict[int, str] = {}
        self._scan: Iterator[int] = iter(())
        self._moved: dict[str, FlowsByTarget] = {}

    @property
    def pending_count(self) -> int:
        """Return how many exceptions still have to be copied."""
        return len(self._pending)

    @property
    def backup_count(self) -> int:
        """Return how many flows of other hosts this host backs up."""
        return len(self._backups)

    def restart_scan(self) -> None:
        """Check every flow again, because the targets or the owners changed."""
        self._scan = self._flows.flows()
        # This class is not notified when flows expire, so it drops their entries here.
        self._backup_hosts = {
            flow: host
            for flow, host in self._backup_hosts.items()
            if self._flows.peek(flow) is not None
        }

    def advance_scan(self) -> bool:
        """Check the next flows of the scan and return whether more may follow."""
        scanned = 0
        for flow in islice(self._scan, MAXIMUM_FLOWS_PER_SCAN_STEP):
            scanned += 1
            target_number = self._flows.peek(flow)
            if target_number is not None:
                self._check_flow(flow, self._targets.by_number(target_number))
        return scanned == MAXIMUM_FLOWS_PER_SCAN_STEP

    def pop_moved_flows(self) -> dict[str, FlowsByTarget]:
        """Return and clear the flows that other hosts now own, by host and target."""
        moved = self._moved
        self._moved = {}
        return moved

    def track_if_exception(self, flow: int, target: PacketTarget) -> None:
        """Mark a flow for copying if a new owner would choose another target."""
        if self._targets.choose(target.service, flow) is target:
            self._pending.pop(flow, None)
            return
        backup_host = self._owners.backup(flow)
        if backup_host is not None and self._backup_hosts.get(flow) != backup_host:
            self._pending[flow] = None

    def remove(self, flow: int) -> None:
        """Remove a flow that was reset."""
        self._pending.pop(flow, None)
        self._backup_hosts.pop(flow, None)
        self._backups.pop(flow, None)

    def pop_pending_flows(self, limit: int) -> dict[str, FlowsByTarget]:
        """Return and clear up to `limit` flows to copy, by backup host and target."""
        flows_by_host: dict[str, FlowsByTarget] = {}
        for flow in list(islice(self._pending, limit)):
            del self._pending[flow]
            backup_host = self._owners.backup(flow)
            target_number = self._flows.peek(flow)
            if backup_host is None or target_number is None:
                continue
            self._backup_hosts[flow] = backup_host
            target_name = self._targets.by_number(target_number).name
            flows_by_host.setdefault(backup_host, {}).setdefault(
                target_name, []
            ).append(flow)
        return flows_by_host

    def store_backups(self, target_name: str, flows: Iterable[int]) -> None:
        """Store copies of another host's flows; evict the oldest beyond the maximum."""
        backups = self._backups
        for flow in flows:
            backups.pop(flow, None)
            backups[flow] = target_name
        excess = len(backups) - MAXIMUM_BACKUPS
        for flow in list(islice(backups, max(0, excess))):
            del backups[flow]

    def backup_target(self, flow: int) -> str | None:
        """Return the name of the target of a flow backed up here, or None."""
        return self._backups.get(flow)

    def _check_flow(self, flow: int, target: PacketTarget) -> None:
        ranked = self._owners.ranked(flow)
        if not ranked or ranked[0] == self._host_name:
            self.track_if_exception(flow, target)
            return
        # A host joined, this host leaves or its zone was taken out.  The flow is handed
        # over even if it is no exception: the new owner must know it before the choice
        # of targets changes again.
        flows_by_target = self._moved.setdefault(ranked[0], {})
        flows_by_target.setdefault(target.name, []).append(flow)
