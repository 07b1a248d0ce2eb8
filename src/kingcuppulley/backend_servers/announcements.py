"""Handle the announcements that backend servers post over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kingcuppulley.backend_servers.records import Announcement, TargetRecord
from kingcuppulley.entry_hosts.host import EntryHost
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.decoding import DECODING_ERRORS, decode_json
from kingcuppulley.internal.http_api import answer_fault, answer_json
from kingcuppulley.internal.http_server import (
    ApiRequest,
    bearer_token,
    read_body,
    token_matches,
)

ANNOUNCEMENTS_PATH = b"/announcements"
_ANNOUNCEMENT_DECODER = msgspec.json.Decoder(Announcement)


class AnnouncementApi:
    """Check announcements and pass valid ones to the entry host."""

    def __init__(
        self, host: EntryHost, clock: Callable[[], float], metrics: Metrics
    ) -> None:
        self._host = host
        self._clock = clock
        self._metrics = metrics

    def handle(self, request: ApiRequest) -> None:
        """Answer one announcement.

        An invalid one is answered with status 400, 401, 404 or 409 and a remedy.
        """
        try:
            announcement = decode_json(read_body(request), _ANNOUNCEMENT_DECODER)
        except DECODING_ERRORS as error:
            self._metrics.count("announcements_malformed")
            answer_fault(request, 400, str(error), "post a valid announcement")
            return
        service = self._host.configuration.services.get(announcement.service)
        if service is None:
            answer_fault(
                request,
                404,
                f"service {announcement.service} is not active",
                "announce a service of your client account, or wait until its template "
                "is active",
            )
            return
        # Each account has its own token, and the token is checked against the announced
        # service alone.  So no team can announce servers for another team's service.
        if not token_matches(bearer_token(request), service.announcement_token_hash):
            self._metrics.count("announcements_unauthorised")
            answer_fault(
                request,
                401,
                "the bearer token is not valid for the service's client account",
                "send the announcement token of that account",
            )
            return
        if announcement.zone not in service.zones:
            answer_fault(
                request,
                409,
                f"the service does not use zone {announcement.zone}",
                f"announce from one of {', '.join(service.zones)}",
            )
            return
        known = self._host.directory.get(announcement.name)
        if known is not None and known.service != announcement.service:
            answer_fault(
                request,
                409,
                f"{announcement.name} is already announced for {known.service}",
                "give each backend server a unique name",
            )
            return
        fields = msgspec.structs.asdict(announcement)
        self._metrics.count("announcements")
        self._host.handle_announcement(TargetRecord(**fields), self._clock())
        answer_json(request, 200, announcement)
