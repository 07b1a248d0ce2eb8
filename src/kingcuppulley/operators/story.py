"""Build the timeline of one flow or change from the logs of all processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from kingcuppulley.internal.decoding import DECODING_ERRORS

_FLOW_KIND = "flow"
_HEADER_FIELDS = ("message_type", "timestamp", "process")


class TimelineEvent(msgspec.Struct, frozen=True, order=True):
    """Hold one log line of a process.

    `at` is Unix time in seconds.
    """

    at: float
    process: str
    kind: str
    details: str

    def __str__(self) -> str:
        return f"{self.at:.4f} {self.process:<24} {self.kind}: {self.details}"


def read_timeline(folder: Path, words: list[str], around: float) -> list[TimelineEvent]:
    """Return the events that contain all words, in order of time.

    Events that concern no flow are included too, from `around` seconds before the first
    match to `around` seconds after the last one.  They report activated states, backend
    servers and lost hosts, on which the decisions of the matching events depended.
    """
    events = sorted(_read_events(folder))
    matching = [event for event in events if _contains_words(event, words)]
    if not matching:
        return []
    begin = matching[0].at - around
    end = matching[-1].at + around
    return [
        event
        for event in events
        if event in matching or (begin <= event.at <= end and event.kind != _FLOW_KIND)
    ]


def flow_id(address: str, port: int, called: str, called_port: int) -> str:
    """Return the id by which logs identify the flow of a caller's address and port."""
    called_bytes = bytes(int(part) for part in called.split("."))
    caller_bytes = bytes(int(part) for part in address.split("."))
    ports = called_port.to_bytes(2, "big"), port.to_bytes(2, "big")
    return (ports[0] + caller_bytes + ports[1] + called_bytes).hex()


def _contains_words(event: TimelineEvent, words: list[str]) -> bool:
    text = str(event)
    return all(word in text for word in words)


def _read_events(folder: Path) -> Iterator[TimelineEvent]:
    for file in sorted(folder.rglob("*")):
        if not file.is_file():
            continue
        for line in file.read_text(errors="replace").splitlines():
            event = _parse_line(line)
            if event is not None:
                yield event


def _parse_line(line: str) -> TimelineEvent | None:
    # A log collector may put its own timestamp and host before the JSON.
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        message: dict[str, Any] = msgspec.json.decode(line[begin:])
    except DECODING_ERRORS:
        return None
    kind = str(message.get("message_type", ""))
    if not kind.startswith("kingcuppulley:"):
        return None
    details = " ".join(
        f"{name}={value}"
        for name, value in message.items()
        if name not in _HEADER_FIELDS
    )
    return TimelineEvent(
        float(message.get("timestamp", 0.0)),
        str(message.get("process", "")),
        kind.removeprefix("kingcuppulley:"),
        details,
    )
