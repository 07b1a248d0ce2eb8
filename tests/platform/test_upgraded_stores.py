"""Start from files that control hosts of an earlier build wrote.

Each folder in `stores` holds the files of the three control hosts of a deployment that
ran build 4864409, and the configuration that was in force.  They were copied after the
processes had been killed, and no later build can write them.  The tests guard against
checks that make such a configuration unreadable after an upgrade, so that it is not
served, or no later one is accepted.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from kingcuppulley.control.seeded_host import SeededControlHost
from kingcuppulley.control.state import RoutingState, Vote
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.errors import InvalidConfigurationError
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration
from kingcuppulley.platform.documents import (
    decode_accepted_configuration,
    decode_configuration,
)
from kingcuppulley.platform.packets import PlatformPackets
from tests.cover.test_control_subscription import DiscardingLog, FakeTransport
from tests.cover.test_cookie_router import Recorder
from tests.ensemble_cluster import FakeDisk

STORES = Path(__file__).parent / "stores"
STEP_SECONDS = 0.02
PLAIN = (
    json.dumps(
        {
            "version": "VERSION",
            "routes": [
                {
                    "name": "r-1",
                    "host": "198.18.0.1",
                    "path_prefix": "/8443/",
                    "timeout_ms": 1500,
                    "service": "order-desk",
                }
            ],
            "services": [{"name": "order-desk"}],
        }
    )
    .encode()
    .replace(b'"VERSION"', b"%d")
)
ENTRY_HOST = "10.0.0.9:7000"
Decode = Callable[[bytes], RoutingConfiguration]


class UpgradedDeployment:
    """Run the control hosts of a store, and one entry host, by this build."""

    def __init__(
        self, folder: Path, decode: Decode = decode_accepted_configuration
    ) -> None:
        self.decode = decode
        self.now = 100.0
        self.in_flight: list[tuple[str, str, object]] = []
        self.disks: dict[str, FakeDisk] = {}
        self.controls: dict[str, SeededControlHost] = {}
        for path in sorted(folder.glob("[0-9]")):
            vote = FileVoteStore(path).read()
            assert vote is not None
            names = {
                member.disk_id: member.host for member in vote.state.voters.members
            }
            self.start_control(names[vote.disk_id], vote)
        self.entry = SeededEntryHost(
            ENTRY_HOST,
            "zone-a",
            list(self.controls),
            PlatformPackets(),
            self.decode,
            Recorder(),
            FakeTransport(self, ENTRY_HOST).send,
            Metrics(),
            DiscardingLog(),
            Random(2),
        )

    def start_control(self, name: str, vote: Vote) -> None:
        disk = self.disks[name] = FakeDisk()
        disk.vote = vote
        self.controls[name] = SeededControlHost(
            name,
            "zone-a",
            f"instance-{name}",
            vote,
            disk,
            FakeTransport(self, name),
            [name],
            3,
            1.0,
            self.decode,
            DiscardingLog(),
            Metrics(),
            Random(name),
            lambda: self.now,
            disk.load_contents(),
        )

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for name, control in self.controls.items():
                control.tick(self.now)
                while (succeeded := self.disks[name].complete_write()) is not None:
                    control.ensemble.vote_written(succeeded, self.now)
            self.entry.tick(self.now)
            in_flight, self.in_flight = self.in_flight, []
            for source, destination, message in in_flight:
                if destination in self.controls:
                    self.controls[destination].receive(source, message)
                else:
                    self.entry.receive(source, message, self.now)

    def put(self, document: bytes) -> bool:
        """Send a configuration to a control host; return whether it is accepted."""
        results: list[RoutingState | None] = []
        control = next(iter(self.controls.values()))
        control.put_configuration(
            decode_configuration(document), document, results.append
        )
        self.run(1.0)
        return bool(results) and results[0] is not None

    def read(self) -> bytes | None:
        """Return the configuration that a reader gets."""
        states: list[RoutingState | None] = []
        control = next(iter(self.controls.values()))
        control.read(states.append)
        self.run(0.5)
        return control.document(states[0])


@pytest.fixture(params=sorted(path.name for path in STORES.iterdir()))
def store(request, tmp_path) -> Path:
    folder = tmp_path / "data"
    shutil.copytree(STORES / request.param, folder)
    return folder


def test_a_stored_configuration_stays_in_force_and_later_ones_are_accepted(store):
    document = (store / "document").read_bytes()
    deployment = UpgradedDeployment(store)
    deployment.run(1.0)
    assert deployment.read() == document
    version = deployment.entry.version
    assert version == decode_accepted_configuration(document).version
    plain = PLAIN % (version + 2)
    assert deployment.put(plain)
    assert deployment.read() == plain
    assert deployment.entry.version == version + 2


def test_a_configuration_in_force_that_cannot_be_read_is_replaced(tmp_path):
    # Another build may have written it.  An order must not end with the host's error.
    shutil.copytree(STORES / "split", tmp_path, dirs_exist_ok=True)

    def decode(document: bytes) -> RoutingConfiguration:
        if b"retired-desk" in document:
            raise InvalidConfigurationError("routes", "use a build that reads them")
        return decode_accepted_configuration(document)

    deployment = UpgradedDeployment(tmp_path, decode)
    deployment.run(1.0)
    assert deployment.entry.version == 0
    assert deployment.put(PLAIN % 100)
    assert deployment.entry.version == 100


@pytest.mark.parametrize("name", ["bytes", "split"])
def test_a_stored_configuration_is_refused_when_it_is_sent_again(name):
    document = (STORES / name / "document").read_bytes()
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(document)
