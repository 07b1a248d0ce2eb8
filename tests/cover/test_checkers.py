"""Check that each checker passes a clean history and finds a planted fault."""

import pytest
from msgspec.structs import replace

from kingcuppulley.experiments.checkers import CHECKERS, check_all_promises
from kingcuppulley.experiments.history import (
    ActiveVersionEvent,
    ChangeEvent,
    ChangeKind,
    History,
    RequestEvent,
)
from kingcuppulley.stand_ins.backend_server import ServerAccount


def make_request_event(booking="b1", **fields):
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


def make_clean_history():
    return History(
        requests=[
            make_request_event(),
            make_request_event("b2", status=503, outcome="not-run"),
            make_request_event("b3", asked_at=39.0, ended_at=41.0),
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
            ActiveVersionEvent(host="entry-1", key="t", version=1, at=6.0),
            ActiveVersionEvent(host="entry-1", key="t", version=1, at=60.0),
        ],
        accounts=[
            ServerAccount(
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
            ServerAccount(
                name="t2",
                service="desk/desk",
                zone="zone-c",
                flow_identifiers=[2],
                received_at=[21.0, 31.0],
            ),
        ],
    )


def update_first_account(history, **fields):
    history.accounts[0] = replace(history.accounts[0], **fields)


def add_request_event(**fields):
    return lambda history: history.requests.append(make_request_event(**fields))


# One fault for each checker, in the order of `CHECKERS`.
PLANTED_FAULTS = [
    lambda history: (
        update_first_account(history, flow_identifiers=[1, 3])
        or history.accounts.append(
            ServerAccount(name="t3", service="s", zone="zone-b", flow_identifiers=[3])
        )
    ),
    lambda history: update_first_account(history, foreign_packets=1),
    lambda history: update_first_account(history, pushed_past=1),
    lambda history: history.accounts[1].received_at.append(24.0),
    add_request_event(booking="b4", is_own=False),
    lambda history: history.accounts[0].bookings.update(b2=1),
    lambda history: history.accounts[0].bookings.update(b1=2),
    lambda history: history.accounts[0].new_work_at.append(39.0),
    add_request_event(booking="b5", asked_at=39.0, ended_at=41.0, status=0),
    lambda history: history.forces.append(
        ActiveVersionEvent(host="entry-1", key="t", version=0, at=61.0)
    ),
]


def test_a_clean_history_keeps_every_promise():
    for verdict in check_all_promises(make_clean_history()):
        assert verdict.is_kept, verdict


@pytest.mark.parametrize("index", range(len(CHECKERS)))
def test_a_planted_fault_breaks_its_promise(index):
    history = make_clean_history()
    PLANTED_FAULTS[index](history)
    verdicts = check_all_promises(history)
    assert verdicts[index].faults


def test_a_reset_of_a_flow_is_a_fault_only_if_its_zone_stayed_in_service():
    history = make_clean_history()
    history.reset_flows = [1]
    assert check_all_promises(history)[0].faults
    history.reset_flows = [2]
    assert not check_all_promises(history)[0].faults


def test_a_change_that_one_host_activates_late_is_a_fault():
    history = make_clean_history()
    history.forces = [
        ActiveVersionEvent(host="entry-1", key="t", version=0, at=6.0),
        ActiveVersionEvent(host="entry-1", key="t", version=1, at=25.0),
    ]
    assert check_all_promises(history)[-1].faults


def test_a_history_without_observations_keeps_no_promise():
    assert not any(verdict.is_kept for verdict in check_all_promises(History()))
