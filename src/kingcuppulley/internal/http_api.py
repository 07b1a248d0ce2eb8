"""Answer small JSON requests of operators and backend servers."""

from __future__ import annotations

import hashlib
import hmac

import msgspec
from twisted.web.http import Request

JSON_TYPE = "application/json"
MAXIMUM_DOCUMENT_BYTES = 1_048_576


class Fault(msgspec.Struct, frozen=True):
    """Describe why a request was not carried out."""

    fault: str
    remedies: list[str]


def answer_json(request: Request, status: int, document: object) -> None:
    """Answer with a JSON document."""
    answer_text(request, status, msgspec.json.encode(document), JSON_TYPE)


def answer_fault(request: Request, status: int, fault: str, *remedies: str) -> None:
    """Answer with a fault and its remedies."""
    answer_json(request, status, Fault(fault, list(remedies)))


def answer_text(request: Request, status: int, body: bytes, content_type: str) -> None:
    """Answer with a body of any type."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", content_type)
    request.setHeader("Content-Length", str(len(body)))
    request.write(body)
    request.finish()


def read_body(request: Request) -> bytes:
    """Return the body of a request."""
    return request.content.read() if request.content is not None else b""


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    header = request.getHeader("Authorization") or ""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def token_matches(token: str, token_hash: str) -> bool:
    """Return whether a token has a hash, in a time that does not depend on either."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return bool(token) and hmac.compare_digest(digest, token_hash)
