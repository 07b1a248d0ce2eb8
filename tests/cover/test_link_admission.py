"""Check which uploads count towards the backlog of a host's link."""

from __future__ import annotations

from itertools import takewhile

from kingcuppulley.fabric.link_admission import IDLE_SECONDS, LinkAdmission
from tests.egress_link import PacedLink

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


def test_small_requests_of_a_route_with_uploads_are_accepted_once_these_have_ended():
    # Guards against a host that takes every small request for an upload: its record
    # stayed until it was idle for seconds, and the average of the route never fell.
    admission = busy_link()
    admission.end_request(b"second", ends_flow=True)
    refused = 0
    for number in range(100):
        flow = b"small-%d" % number
        now = 0.2 + 0.05 * number
        refused += not may_open(admission, flow, now)
        # Its caller opens it, sends a small request and ends it: no packet is recorded.
        admission.end_request(flow)
        admission.end_request(flow, ends_flow=True)
    assert refused == 0


def test_a_caller_that_has_only_opened_its_flow_still_counts():
    admission = busy_link()
    admission.end_request(b"second")
    assert may_open(admission, b"third", 0.2)
    admission.end_request(b"third")
    assert not may_open(admission, b"fourth", 0.3)


def test_the_last_packet_of_a_small_request_reaches_the_admission():
    # Guards against a pacer that does not pass the end of a flow on.
    link = PacedLink(575_000.0)
    for sequence in range(10):
        link.offer("upload", sequence)
    link.acknowledge_answer("upload")
    opened = list(takewhile(link.may_open, map(str, range(100))))
    assert len(opened) < 100
    for flow in opened:
        link.end_flow(flow)
    assert link.may_open("later")
