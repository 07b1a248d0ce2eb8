"""Run a soak of a real deployment under faults that a seed determines.

Run it with `python -m tests.soak.soak --seed 1 --seconds 20`.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from random import Random

from tests.soak.bulk import BulkCallers
from tests.soak.deployment import Deployment, Node
from tests.soak.proxy import ConnectionFault, ControlProxy
from tests.soak.simulated_environment import SimulatedEnvironment

MINIMUM_WIPE_INTERVAL_SECONDS = 8.0
RECOVERY_TIMEOUT_SECONDS = 20.0
# Longer than a caller repeats its opening packet.
PLACEMENT_TIMEOUT_SECONDS = 1.5
# When a queue is full, after its flows were opened; it takes longer to empty it.
QUEUE_FILL_SECONDS = 0.5


class FaultInjector:
    """Inject faults that are drawn from a seeded generator and overlap in time."""

    def __init__(
        self, environment: SimulatedEnvironment, bulk: BulkCallers, random: Random
    ) -> None:
        self._environment = environment
        self._bulk = bulk
        self._deployment = environment.deployment
        self._proxies = list(environment.proxies.values())
        self._random = random
        self._next_wipe_at = 0.0
        self.injected: list[str] = []

    async def run(self) -> None:
        """Inject faults until cancelled."""
        loop = asyncio.get_running_loop()
        await self.check_coordinator_failure()
        while True:
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
            node = self._random.choice(self._deployment.nodes)
            fault = self._random.choice(
                [
                    self._kill,
                    self._pause,
                    self._terminate,
                    self._reload,
                    self._kill_role,
                    self._disturb_proxy,
                    self._fail_full_host,
                    self._fail_coordinator,
                ]
                + [self._wipe] * (loop.time() > self._next_wipe_at)
            )
            self.injected.append(f"{fault.__name__} {node.name}")
            fault(node)

    def _kill(self, node: Node) -> None:
        node.kill()
        self._restore_later(self._random.uniform(0.1, 2.0), node)

    def _pause(self, node: Node) -> None:
        node.signal(signal.SIGSTOP)
        self._restore_later(self._random.uniform(0.2, 3.0), node)

    def _terminate(self, node: Node) -> None:
        node.signal(signal.SIGTERM)
        self._restore_later(6.0, node)

    def _reload(self, node: Node) -> None:
        node.signal(signal.SIGHUP)

    def _kill_role(self, node: Node) -> None:
        nodes = getattr(self._deployment, self._random.choice(["controls", "entries"]))
        for node_of_role in nodes:
            self._kill(node_of_role)

    def _fail_full_host(self, _: Node) -> None:
        node = self._random.choice(self._deployment.entries)
        self._bulk.fill_queue(node)
        fault = self._random.choice([self._kill, self._pause])
        asyncio.get_running_loop().call_later(QUEUE_FILL_SECONDS, fault, node)

    def _fail_coordinator(self, _: Node) -> None:
        fault = self._random.choice([self._kill, self._pause, self._terminate])
        fault(self._deployment.coordinator)

    async def check_coordinator_failure(self) -> None:
        """Fail a coordinator without other faults; another one must place callers."""
        substitute = self._deployment.substitute
        self.injected.append(f"_fail_coordinator {self._deployment.coordinator.name}")
        self._fail_coordinator(substitute)
        flows = self._bulk.open_burst(substitute, 4)
        await asyncio.sleep(PLACEMENT_TIMEOUT_SECONDS)
        for flow in flows:
            if flow.server is None:
                self._environment.record_violation(f"a caller was not placed: {flow}")

    def _disturb_proxy(self, _: Node) -> None:
        proxy = self._random.choice(self._proxies)
        proxy.fault = self._random.choice(list(ConnectionFault))
        seconds = self._random.uniform(0.3, 3.0)
        asyncio.get_running_loop().call_later(seconds, self._restore_proxy, proxy)

    @staticmethod
    def _restore_proxy(proxy: ControlProxy) -> None:
        proxy.fault = ConnectionFault.NONE

    def restore_proxies(self) -> None:
        """Let all new connections pass without a fault."""
        for proxy in self._proxies:
            self._restore_proxy(proxy)

    def _wipe(self, _: Node) -> None:
        # Three voters tolerate the loss of one disk at a time, with the others running.
        self._deployment.restore()
        node = self._random.choice(self._deployment.controls)
        node.kill()
        node.wipe()
        node.write_settings(self._deployment.seeds, is_first=False)
        node.start()
        self._next_wipe_at = (
            asyncio.get_running_loop().time() + MINIMUM_WIPE_INTERVAL_SECONDS
        )

    def _restore_later(self, seconds: float, node: Node) -> None:
        asyncio.get_running_loop().call_later(seconds, _restore_node, node)


def _restore_node(node: Node) -> None:
    if node.is_stopped:
        node.signal(signal.SIGCONT)
    if not node.is_running:
        node.start()


async def soak(seed: int, seconds: float, folder: Path) -> SimulatedEnvironment:
    """Run one seed for `seconds` and return the environment with its findings.

    `folder` receives the settings, data and logs of all processes.
    """
    random = Random(seed)
    deployment = Deployment(folder, controls=3, entries=4)
    deployment.draw_limits(random)
    environment = SimulatedEnvironment(deployment, random)
    deployment.start()
    bulk = BulkCallers(environment, random)
    injector = FaultInjector(environment, bulk, random)
    try:
        await environment.start(servers=6)
        # Wait until every host has read the settings of a first start. A host that
        # read the restart settings first would begin as a new voter, so the run would
        # have one disk less than it relies on.
        await _wait_until_recovered(deployment, environment)
        deployment.write_restart_settings()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(part.run()) for part in (injector, bulk)]
        ended, _ = await asyncio.wait(tasks, timeout=seconds)
        for task in tasks:
            # Raises the error of a task that failed.
            task.result() if task in ended else task.cancel()
        injector.restore_proxies()
        deployment.restore()
        await _wait_until_recovered(deployment, environment)
        for node in deployment.entries:
            bulk.open_burst(node, 2)
        await bulk.finish()
        environment.check_metrics()
    finally:
        await environment.stop()
        deployment.stop()
    return environment


async def _wait_until_recovered(
    deployment: Deployment, environment: SimulatedEnvironment
) -> None:
    unread_hosts = {node.address for node in deployment.controls}
    deadline = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_SECONDS
    opened_before = environment.opened
    while asyncio.get_running_loop().time() < deadline:
        deployment.restore()
        for host in sorted(unread_hosts):
            if await environment.read_configuration(host):
                unread_hosts.discard(host)
        if not unread_hosts and environment.opened > opened_before + 100:
            return
        await asyncio.sleep(0.2)
    environment.record_violation(
        f"not recovered: no read at {sorted(unread_hosts)}, {environment.opened} opened"
    )


def main() -> int:
    """Run the seeds and return the exit code: 1 if there was any finding, else 0."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    failed_seeds = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        environment = asyncio.run(soak(seed, arguments.seconds, folder))
        print(
            f"seed {seed}: {environment.opened} of {environment.asked} flows opened, "
            f"{environment.completed} bulk flows completed, "
            f"{environment.undisturbed} of them undisturbed, "
            f"{environment.reads} reads, version {environment.acknowledged}, "
            f"{len(environment.findings)} findings; logs in {folder}"
        )
        for finding in environment.findings[:10]:
            print(f"  {finding}")
        failed_seeds += bool(environment.findings)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
