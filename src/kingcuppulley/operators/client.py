"""Call the administration API from the command line or a script."""

from __future__ import annotations

import http.client
import json
import uuid
from typing import Any

from kingcuppulley.errors import KingcuppulleyError

TIMEOUT_SECONDS = 15.0


class AdministrationError(KingcuppulleyError):
    """Report an answer of the administration API that is not a success."""

    def __init__(self, status: int, document: Any) -> None:
        self.status = status
        self.document = document
        super().__init__(f"{status}: {json.dumps(document)}")


class UnreachableError(KingcuppulleyError):
    """Report that a control host gave no answer, so the end of a change is unknown."""

    def __init__(self, address: str, identifier: str, reason: str) -> None:
        self.identifier = identifier
        again = f"; resend with --change-id {identifier}" if identifier else ""
        super().__init__(f"{address}: {reason}; try another control host{again}")


class AdministrationClient:
    """Speak to one control host as one operator."""

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def get(self, path: str) -> Any:
        """Return the document of a page."""
        return self._call("GET", path, None, {}, "")

    def version(self, path: str) -> int:
        """Return the version of a register that is in force, or 0."""
        try:
            return int(self.get(path)["version"])
        except AdministrationError as error:
            if error.status == http.client.NOT_FOUND:
                return 0
            raise

    def change(
        self,
        path: str,
        document: Any | None,
        version: int | None = None,
        identifier: str = "",
        dry_run: bool = False,
    ) -> Any:
        """Put or withdraw a document, and return the answer."""
        identifier = identifier or str(uuid.uuid4())
        if version is None:
            version = self.version(path)
        headers = {"Change-Id": identifier, "If-Match": str(version)}
        method = "DELETE" if document is None else "PUT"
        target = f"{path}?dry-run=1" if dry_run else path
        body = None if document is None else json.dumps(document)
        return self._call(method, target, body, headers, identifier)

    def _call(
        self,
        method: str,
        path: str,
        body: str | None,
        headers: dict[str, str],
        identifier: str,
    ) -> Any:
        connection = http.client.HTTPConnection(self._address, timeout=TIMEOUT_SECONDS)
        try:
            headers = {"Authorization": f"Bearer {self._token}", **headers}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            document = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UnreachableError(self._address, identifier, str(error)) from error
        finally:
            connection.close()
        if response.status != http.client.OK:
            raise AdministrationError(response.status, document)
        return document
