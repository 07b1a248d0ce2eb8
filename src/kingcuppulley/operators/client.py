"""Call the administration API of a control host from a command or a script."""

from __future__ import annotations

import http.client
import json
import uuid
from typing import Any

from kingcuppulley.errors import KingcuppulleyError

REQUEST_TIMEOUT_SECONDS = 15.0


class AdministrationError(KingcuppulleyError):
    """Report an answer of the administration API with a status other than 200."""

    def __init__(self, status: int, document: Any) -> None:
        self.status = status
        self.document = document
        super().__init__(
            f"the control host answered with status {status}: {json.dumps(document)}"
        )


class UnreachableError(KingcuppulleyError):
    """Report that no valid answer of a control host arrived.

    Whether a change in the request was accepted is unknown.
    """

    def __init__(self, address: str, identifier: str, reason: str) -> None:
        self.identifier = identifier
        resend = (
            f"; resend with --change-id {identifier}, so that a change that was "
            "already accepted is not applied twice"
            if identifier
            else ""
        )
        super().__init__(
            f"no valid answer from the control host at {address}: {reason}; try "
            f"another control host{resend}"
        )


class AdministrationClient:
    """Send an operator's requests to one control host."""

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def get(self, path: str) -> Any:
        """Return the decoded answer to a GET request.

        Raises `AdministrationError` if the status is not 200 and `UnreachableError` if
        no valid answer arrives.  `REQUEST_TIMEOUT_SECONDS` limits the connection
        attempt and each wait for data.
        """
        return self._request("GET", path, None, {}, "")

    def version(self, path: str) -> int:
        """Return the active version of a register, or 0 if there is none."""
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
        """Put a document, or withdraw it if `document` is None, and return the answer.

        Without `version`, the change applies to the active version.  Without
        `identifier`, it gets a new one.  A dry run changes nothing.
        """
        identifier = identifier or str(uuid.uuid4())
        if version is None:
            version = self.version(path)
        headers = {"Change-Id": identifier, "If-Match": str(version)}
        method = "DELETE" if document is None else "PUT"
        request_target = f"{path}?dry-run=1" if dry_run else path
        body = None if document is None else json.dumps(document)
        return self._request(method, request_target, body, headers, identifier)

    def _request(
        self,
        method: str,
        path: str,
        body: str | None,
        headers: dict[str, str],
        identifier: str,
    ) -> Any:
        connection = http.client.HTTPConnection(
            self._address, timeout=REQUEST_TIMEOUT_SECONDS
        )
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
