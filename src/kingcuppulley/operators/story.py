"""Tell one flow's or one order's story from the logs of all processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

_NAMES_OF_FLOW = "flow"
_LEFT_OUT = ("message_type", "timestamp", "process")


class TimelineEvent(msgspec.Struct, frozen=True, order=True):
    """Hold what one process said at one time."""

    at: float
    process: str
    kind: str
    details: str

    def __str__(self) -> str:
        return f"{self.at:.4f} {self.process:<24} {self.kind}: {self.details}"


def read_timeline(folder: Path, words: list[str], around: float) -> list[TimelineEvent]:
    """Return the lines that name all words, in order of time.

    Changes of belief (a state in force, servers, hosts lost) that fall within `around`
    seconds of those lines are told too: they are what the decisions rested on.
    """
    lines = sorted(_lines(folder))
    named = [line for line in lines if _names(line, words)]
    if not named:
        return []
    begin = named[0].at - around
    end = named[-1].at + around
    return [
        line
        for line in lines
        if line in named or (begin <= line.at <= end and line.kind != _NAMES_OF_FLOW)
    ]


def flow_name(address: str, port: int, called: str, called_port: int) -> str:
    """Return the id under which logs tell the flow of a caller's address and port."""
    called_bytes = bytes(int(part) for part in called.split("."))
    source = bytes(int(part) for part in address.split("."))
    ports = called_port.to_bytes(2, "big"), port.to_bytes(2, "big")
    return (ports[0] + source + ports[1] + called_bytes).hex()


def _names(line: TimelineEvent, words: list[str]) -> bool:
    text = str(line)
    return all(word in text for word in words)


def _lines(folder: Path) -> Iterator[TimelineEvent]:
    for file in sorted(folder.rglob("*")):
        if not file.is_file():
            continue
        for text in file.read_text(errors="replace").splitlines():
            line = _line(text)
            if line is not None:
                yield line


def _line(text: str) -> TimelineEvent | None:
    # A collector may put its own time and host before the JSON.
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        message: dict[str, Any] = msgspec.json.decode(text[begin:])
    except msgspec.MsgspecError:
        return None
    kind = str(message.get("message_type", ""))
    if not kind.startswith("kingcuppulley:"):
        return None
    details = " ".join(
        f"{name}={value}" for name, value in message.items() if name not in _LEFT_OUT
    )
    return TimelineEvent(
        float(message.get("timestamp", 0.0)),
        str(message.get("process", "")),
        kind.removeprefix("kingcuppulley:"),
        details,
    )
