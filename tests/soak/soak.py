"""Run a seeded soak: `python -m tests.soak.soak --seed 1 --seconds 20`."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from random import Random

from tests.soak.deployment import Deployment, Node
from tests.soak.outside import World
from tests.soak.proxy import ControlProxy, Trouble

DISK_SECONDS = 8.0
RECOVER_SECONDS = 20.0


class Faults:
    """Draw faults from a seed; their series overlap."""

    def __init__(self, world: World, random: Random) -> None:
        self._deployment = world.deployment
        self._proxies = list(world.proxies.values())
        self._random = random
        self._disk_spared_until = 0.0
        self.told: list[str] = []

    async def run(self) -> None:
        """Inject faults for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
            node = self._random.choice(self._deployment.nodes)
            fault = self._random.choice(
                [
                    self._kill,
                    self._pause,
                    self._terminate,
                    self._hang_up,
                    self._herd,
                    self._spoil,
                ]
                + [self._wipe] * (loop.time() > self._disk_spared_until)
            )
            self.told.append(f"{fault.__name__} {node.name}")
            fault(node)

    def _kill(self, node: Node) -> None:
        node.kill()
        self._later(self._random.uniform(0.1, 2.0), node)

    def _pause(self, node: Node) -> None:
        node.signal(signal.SIGSTOP)
        self._later(self._random.uniform(0.2, 3.0), node)

    def _terminate(self, node: Node) -> None:
        node.signal(signal.SIGTERM)
        self._later(6.0, node)

    def _hang_up(self, node: Node) -> None:
        node.signal(signal.SIGHUP)

    def _herd(self, node: Node) -> None:
        nodes = getattr(self._deployment, self._random.choice(["controls", "entries"]))
        for each in nodes:
            self._kill(each)

    def _spoil(self, _: Node) -> None:
        proxy = self._random.choice(self._proxies)
        proxy.trouble = self._random.choice(list(Trouble))
        seconds = self._random.uniform(0.3, 3.0)
        asyncio.get_running_loop().call_later(seconds, self._mend, proxy)

    @staticmethod
    def _mend(proxy: ControlProxy) -> None:
        proxy.trouble = Trouble.NONE

    def mend_all(self) -> None:
        """Let all connections pass again."""
        for proxy in self._proxies:
            self._mend(proxy)

    def _wipe(self, _: Node) -> None:
        # One disk at a time, and all others back, is what three voters bear.
        self._deployment.restore()
        node = self._random.choice(self._deployment.controls)
        node.kill()
        node.wipe()
        node.write_settings(self._deployment.seeds, is_first=False)
        node.start()
        self._disk_spared_until = asyncio.get_running_loop().time() + DISK_SECONDS

    def _later(self, seconds: float, node: Node) -> None:
        asyncio.get_running_loop().call_later(seconds, _bring_back, node)


def _bring_back(node: Node) -> None:
    if node.is_stopped:
        node.signal(signal.SIGCONT)
    if not node.is_running:
        node.start()


async def soak(seed: int, seconds: float, folder: Path) -> World:
    """Run one seed and return what was seen."""
    random = Random(seed)
    deployment = Deployment(folder, controls=3, entries=4)
    world = World(deployment, random)
    deployment.start()
    faults = Faults(world, random)
    try:
        await world.start(servers=6)
        # A host that read its settings only after they say that this is no first start
        # would begin as a new voter: one disk less than the run counts on.
        await _recovered(deployment, world)
        deployment.later_settings()
        injecting = asyncio.get_running_loop().create_task(faults.run())
        await asyncio.sleep(seconds)
        injecting.cancel()
        faults.mend_all()
        deployment.restore()
        await _recovered(deployment, world)
    finally:
        await world.stop()
        deployment.stop()
    return world


async def _recovered(deployment: Deployment, world: World) -> None:
    waiting = {node.address for node in deployment.controls}
    deadline = asyncio.get_running_loop().time() + RECOVER_SECONDS
    opened = world.opened
    while asyncio.get_running_loop().time() < deadline:
        deployment.restore()
        for host in sorted(waiting):
            if await world.read_once(host):
                waiting.discard(host)
        if not waiting and world.opened > opened + 100:
            return
        await asyncio.sleep(0.2)
    world.broken(f"not recovered: no read at {sorted(waiting)}, {world.opened} opened")


def main() -> int:
    """Run seeds and return 1 if any broke a promise."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        world = asyncio.run(soak(seed, arguments.seconds, folder))
        print(
            f"seed {seed}: {world.opened} of {world.asked} flows opened, "
            f"{world.reads} reads, version {world.acknowledged}, "
            f"{len(world.findings)} findings; logs in {folder}"
        )
        for finding in world.findings[:10]:
            print(f"  {finding}")
        failed += bool(world.findings)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
