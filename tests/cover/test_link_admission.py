"""Check which uploads count towards the backlog of a host's link."""

from __future__ import annotations

from kingcuppulley.fabric.link_admission import IDLE_SECONDS, LinkAdmission

ROUTE = b"address:port"
LINK_BYTES_PER_SECOND = 100_000.0
UPLOAD_BYTES = 80_000
PACKET_BYTES = 1_234
OBJECTIVE_SECONDS = 1.0


def busy_link() -> LinkAdmission:
    """Return the admission of a link on which as many uploads are open as it bears."""
    admission = LinkAdmission(LINK_BYTES_PER_SECOND)
    admission.record(b"first", ROUTE, UPLOAD_BYTES, 0.0)
    admission.end_request(b"first")
    assert may_open(admission, b"second", 0.0)
    admission.record(b"second", ROUTE, PACKET_BYTES, 0.0)
    assert not may_open(admission, b"third", 0.1)
    return admission


def may_open(admission: LinkAdmission, flow: bytes, now: float) -> bool:
    return admission.may_open(flow, ROUTE, OBJECTIVE_SECONDS, 0, now)


def test_an_upload_that_ended_without_notice_does_not_refuse_others_for_ever():
    # Guards against a host that refuses every flow of a route, because its callers left
    # while it was paused: refused flows send nothing that would correct the count.
    admission = busy_link()
    for step in range(1, 40):
        if may_open(admission, b"flow-%d" % step, 0.25 * step):
            break
    assert 0.25 * step <= 3 * IDLE_SECONDS


def test_an_upload_that_goes_on_counts():
    admission = busy_link()
    for step in range(1, 40):
        admission.record(b"second", ROUTE, 1, 0.25 * step)
        assert not may_open(admission, b"third", 0.25 * step)
