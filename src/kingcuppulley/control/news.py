"""Tell how soon followers have to learn what a control host reports of servers."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from kingcuppulley.backend_servers.change_log import ChangeLog, ServerEntry
from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState


class News(IntEnum):
    """Name how soon a change is sent to followers.

    ROUTINE news is collected for some time.  PROMPT news says that a server in use has
    become cold; it is sent at once unless there is much of it.  URGENT news takes a
    server out of use and is always sent at once.
    """

    NONE = 0
    ROUTINE = 1
    PROMPT = 2
    URGENT = 3


def classify(
    heartbeats: Iterable[Heartbeat], known: Iterable[ChangeLog], now: float
) -> News:
    """Return how soon changes are sent; `known` is what was known before them."""
    logs = list(known)
    news = (_classify_one(heartbeat, logs, now) for heartbeat in heartbeats)
    return max(news, default=News.ROUTINE)


def _classify_one(heartbeat: Heartbeat, logs: list[ChangeLog], now: float) -> News:
    if heartbeat.state is not ServingState.READY:
        return News.URGENT
    if heartbeat.cold_remaining_seconds > 0:
        entries = [entry for log in logs if (entry := log.get(heartbeat.name))]
        newest = max(entries, key=_order, default=None)
        if newest is not None and _is_used_as_warm(newest, heartbeat, now):
            return News.PROMPT
    return News.ROUTINE


def _order(entry: ServerEntry) -> tuple[int, int]:
    return (entry.heartbeat.incarnation, entry.heartbeat.sequence)


def _is_used_as_warm(entry: ServerEntry, heartbeat: Heartbeat, now: float) -> bool:
    """Return whether entry hosts may place flows without regard to a cold start."""
    if entry.state is not ServingState.READY:
        return False
    is_restarted = entry.heartbeat.incarnation < heartbeat.incarnation
    return is_restarted or entry.cold_deadline <= now
