"""Answer HTTP requests of operators and backend servers with JSON."""

from __future__ import annotations

from typing import Protocol

import msgspec

JSON_CONTENT_TYPE = "application/json"


class AnswerableRequest(Protocol):
    """Define what the functions of this module need of an HTTP request."""

    def answer(self, status: int, body: bytes, content_type: str) -> None:
        """Send the complete answer."""


class Fault(msgspec.Struct, frozen=True):
    """Describe why a request failed and how to correct it."""

    fault: str
    remedies: list[str]


def answer_json(request: AnswerableRequest, status: int, document: object) -> None:
    """Answer with a JSON document."""
    request.answer(status, msgspec.json.encode(document), JSON_CONTENT_TYPE)


def answer_fault(
    request: AnswerableRequest, status: int, fault: str, *remedies: str
) -> None:
    """Answer with a fault and its remedies."""
    answer_json(request, status, Fault(fault, list(remedies)))
