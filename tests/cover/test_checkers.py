"""Cover the judge: a clean record passes each checker and a planted fault fails it."""

import pytest
from msgspec.structs import replace

from kingcuppulley.experiments.checkers import CHECKERS, judge
from kingcuppulley.experiments.history import (
    ChangeEvent,
    ChangeKind,
    ForceEvent,
    History,
    RequestEvent,
)
from kingcuppulley.stand_ins.backend_server import Account


def request(booking="b1", **fields):
    values = {
        "service": "desk/desk",
        "is_booking": True,
        "booking": booking,
        "key": "k",
        "asked_at": 10.0,
        "ended_at": 10.5,
        "deadline": 12.0,
        "status": 200,
        "outcome": "",
        "is_whole": True,
        "is_own": True,
    }
    return RequestEvent(**{**values, **fields})


def clean():
    return History(
        requests=[
            request(),
            request("b2", status=503, outcome="not-run"),
            request("b3", asked_at=39.0, ended_at=41.0),
        ],
        changes=[
            ChangeEvent(kind=ChangeKind.ZONE_OUT, subject="zone-c", at=20.0),
            ChangeEvent(kind=ChangeKind.ZONE_IN, subject="zone-c", at=30.0),
            ChangeEvent(kind=ChangeKind.DRAIN, subject="t1", at=35.0),
            ChangeEvent(kind=ChangeKind.ENTRY_LEAVE, subject="entry-1", at=40.0),
            ChangeEvent(
                kind=ChangeKind.TEMPLATE, subject="t", at=5.0, key="t", version=1
            ),
        ],
        forces=[
            ForceEvent(host="entry-1", key="t", version=1, at=6.0),
            ForceEvent(host="entry-1", key="t", version=1, at=60.0),
        ],
        accounts=[
            Account(
                name="t1",
                service="desk/desk",
                zone="zone-a",
                answered=2,
                packets=5,
                bookings={"b1": 1, "b3": 1},
                flow_identifiers=[1],
                received_at=[10.0, 39.0],
                new_work_at=[10.0],
            ),
            Account(
                name="t2",
                service="desk/desk",
                zone="zone-c",
                flow_identifiers=[2],
                received_at=[21.0, 31.0],
            ),
        ],
    )


def with_account(history, **fields):
    history.accounts[0] = replace(history.accounts[0], **fields)


def with_request(**fields):
    return lambda history: history.requests.append(request(**fields))


PLANTED = [
    lambda h: (
        with_account(h, flow_identifiers=[1, 3])
        or h.accounts.append(
            Account(name="t3", service="s", zone="zone-b", flow_identifiers=[3])
        )
    ),
    lambda h: with_account(h, foreign_packets=1),
    lambda h: with_account(h, pushed_past=1),
    lambda h: h.accounts[1].received_at.append(24.0),
    with_request(booking="b4", is_own=False),
    lambda h: h.accounts[0].bookings.update(b2=1),
    lambda h: h.accounts[0].bookings.update(b1=2),
    lambda h: h.accounts[0].new_work_at.append(39.0),
    with_request(booking="b5", asked_at=39.0, ended_at=41.0, status=0),
    lambda h: h.forces.append(ForceEvent(host="entry-1", key="t", version=0, at=61.0)),
]


def test_a_clean_record_keeps_every_promise():
    for verdict in judge(clean()):
        assert verdict.is_kept, verdict


@pytest.mark.parametrize("index", range(len(CHECKERS)))
def test_a_planted_fault_breaks_just_its_promise(index):
    history = clean()
    PLANTED[index](history)
    verdicts = judge(history)
    assert verdicts[index].faults


def test_a_flow_that_was_reset_though_its_zone_stayed_is_a_fault():
    history = clean()
    history.reset_flows = [1]
    assert judge(history)[0].faults
    history.reset_flows = [2]
    assert not judge(history)[0].faults


def test_a_change_that_is_late_on_one_host_is_a_fault():
    history = clean()
    history.forces = [
        ForceEvent(host="entry-1", key="t", version=0, at=6.0),
        ForceEvent(host="entry-1", key="t", version=1, at=25.0),
    ]
    assert judge(history)[-1].faults


def test_a_record_in_which_nothing_was_looked_at_keeps_nothing():
    assert not any(verdict.is_kept for verdict in judge(History()))
