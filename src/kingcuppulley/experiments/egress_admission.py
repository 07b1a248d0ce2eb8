"""Compare what a host with a long backlog on its link does with new uploads.

Print the table with `python -m kingcuppulley.experiments.egress_admission`.
"""

from __future__ import annotations

from random import Random

from kingcuppulley.fabric.link_admission import MAXIMUM_BACKLOG_SHARE
from kingcuppulley.fabric.link_budget import FULL_PACKET_BYTES, USABLE_SHARE_OF_RATE

# Each policy, and from which backlog it holds or refuses, as a share of the objective.
POLICIES = (
    ("neither", 1.0),
    ("hold", MAXIMUM_BACKLOG_SHARE),
    ("refuse", 1.0),
    ("refuse", 0.5),
    ("refuse", MAXIMUM_BACKLOG_SHARE),
    ("refuse", 0.3),
)
LOADS = (0.2, 0.6, 1.2)
# One zone: four weak hosts for each strong one, in bytes per second of their links.
LINK_RATES = (250_000.0,) * 12 + (575_000.0,) * 3
UPLOAD_BYTES = 67.0 * FULL_PACKET_BYTES
OBJECTIVE_SECONDS = 1.6
DEADLINE_SECONDS = 10.8
LATE_WORTH = 0.5
MAXIMUM_RETRIES = 2
OPENING_TIMEOUT_SECONDS = 1.4
STEP_SECONDS = 0.005
RUN_SECONDS = 40.0
SEEDS = range(5)


class Upload:
    """Hold one request of a caller, with the flow of its present attempt."""

    __slots__ = ("began_at", "attempt_at", "retries", "bytes_left")

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.attempt_at = now
        self.retries = 0
        self.bytes_left = UPLOAD_BYTES


class Host:
    """Share one link equally between its open uploads."""

    __slots__ = ("rate", "_backlog_seconds", "open", "held")

    def __init__(self, rate: float, backlog_seconds: float) -> None:
        self.rate = rate * USABLE_SHARE_OF_RATE
        self._backlog_seconds = backlog_seconds
        self.open: list[Upload] = []
        self.held: list[Upload] = []

    @property
    def has_room(self) -> bool:
        """Return whether the open uploads can be sent soon enough."""
        backlog_bytes = sum(upload.bytes_left for upload in self.open)
        return backlog_bytes <= self.rate * self._backlog_seconds

    def send(self) -> list[Upload]:
        """Send for one step, and return the uploads that are complete."""
        if not self.open:
            return []
        share = self.rate * STEP_SECONDS / len(self.open)
        for upload in self.open:
            upload.bytes_left -= share
        done = [upload for upload in self.open if upload.bytes_left <= 0]
        self.open = [upload for upload in self.open if upload.bytes_left > 0]
        return done


class Run:
    """Serve the uploads of one zone under one policy, and sum up their worth."""

    def __init__(self, policy: str, share: float, load: float, seed: int) -> None:
        self._policy = policy
        self._random = Random(seed)
        self._uploads_per_second = load * sum(LINK_RATES) / UPLOAD_BYTES
        self._hosts = [Host(rate, share * OBJECTIVE_SECONDS) for rate in LINK_RATES]
        self.offered = self.in_time = self.late = 0

    def run(self) -> None:
        """Run the load, and then until the last deadline."""
        now, next_arrival = 0.0, 0.0
        while now < RUN_SECONDS + DEADLINE_SECONDS:
            while next_arrival <= min(now, RUN_SECONDS):
                self.offered += 1
                self._open(Upload(next_arrival), now)
                next_arrival += self._random.expovariate(self._uploads_per_second)
            for host in self._hosts:
                for upload in host.send():
                    seconds = now - upload.began_at
                    self.in_time += seconds <= OBJECTIVE_SECONDS
                    self.late += OBJECTIVE_SECONDS < seconds <= DEADLINE_SECONDS
                self._release(host, now)
            now += STEP_SECONDS

    def _open(self, upload: Upload, now: float) -> None:
        upload.attempt_at = now
        host = self._random.choice(self._hosts)
        if self._policy == "neither" or host.has_room:
            host.open.append(upload)
        elif self._policy == "hold":
            host.held.append(upload)
        else:
            self._retry(upload, now)

    def _release(self, host: Host, now: float) -> None:
        while host.held and host.has_room:
            host.open.append(host.held.pop(0))
        while host.held and now - host.held[0].attempt_at > OPENING_TIMEOUT_SECONDS:
            self._retry(host.held.pop(0), now)

    def _retry(self, upload: Upload, now: float) -> None:
        if upload.retries < MAXIMUM_RETRIES:
            upload.retries += 1
            self._open(upload, now)


def main() -> None:
    """Print the shares in time and late and the worth of each policy and load."""
    print("| load | policy | from a backlog of | in time | late | lost | worth |")
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        for policy, share in POLICIES:
            runs = [Run(policy, share, load, seed) for seed in SEEDS]
            for run in runs:
                run.run()
            offered = sum(run.offered for run in runs)
            in_time = sum(run.in_time for run in runs) / offered
            late = sum(run.late for run in runs) / offered
            worth = in_time + LATE_WORTH * late
            lost = abs(1 - in_time - late)
            shares = f"{in_time:.3f} | {late:.3f} | {lost:.3f} | {worth:.3f}"
            print(f"| {load} | {policy} | {share} of the objective | {shares} |")


if __name__ == "__main__":
    main()
