"""Several nodes before the same fake engines, one prompt of which kills them."""

from asyncio import gather, sleep

from returns.result import Failure, Success

from features.support.request_rig import RecordingSink, RequestRig
from lagoonhinge_core.peer_messages import PeerDigest
from lagoonhinge_core.sections import PeersSection, PoisonSection

POISON = "poisonous prompt"
GOSSIP_S = 1.0
RESEND_S = 0.2
RESTART_S = 3.0


class PoisonRig:
    """Nodes that gossip each second; engines restart some time after a death."""

    def __init__(self, nodes: int, engines: int):
        self.first = RequestRig(engines)
        self.loop = self.first.loop
        self.nodes = [self.first]
        for _ in range(nodes - 1):
            self.nodes.append(RequestRig(engines, shared=self.first))
        self.deaths = 0
        self.peers = [
            node.board.writer(PeersSection(), "members") for node in self.nodes
        ]
        self.first.port.on_step = self._reach
        self.background = [
            self.loop.create_task(self._gossip()),
            self.loop.create_task(self._restart()),
        ]

    def _reach(self, step, engine, stream):
        if step == "before first token" and stream.run.call.prompt == POISON:
            self.deaths += 1
            engine.crash()

    async def _gossip(self):
        while True:
            await sleep(GOSSIP_S)
            for node in self.nodes:
                node.report()
                node.poison.merge()
            digests = {f"vm-{n}": self._digest(n) for n in range(len(self.nodes))}
            for writer in self.peers:
                writer.post(PeersSection(digests))

    def _digest(self, number) -> PeerDigest:
        poison = self.nodes[number].board.read(PoisonSection)
        return PeerDigest(
            f"vm-{number}/1",
            1,
            "",
            "perth-north",
            1,
            strikes=poison.strikes,
            quarantines=poison.quarantines,
        )

    async def _restart(self):
        while True:
            await sleep(RESTART_S)
            for engine in self.first.engines:
                if not engine.alive:
                    engine.restart()

    async def ask(self, node: int, prompt: str) -> str:
        """Return the verdict of one request."""
        sink = RecordingSink(False)
        match await self.nodes[node].start(sink, prompt):
            case Success(_):
                return "whole"
            case Failure(failure):
                assert failure.retry_after_s is not None
                return f"{failure.code}/{failure.outcome}"
        raise AssertionError

    async def ask_until_whole(self, node: int, prompt: str, times: int = 5) -> str:
        """Resend an innocent prompt as its caller would."""
        verdicts = []
        for _ in range(times):
            verdicts.append(await self.ask(node, prompt))
            if verdicts[-1] == "whole":
                return "whole"
            await sleep(1.0)
        return " ".join(verdicts)

    async def resend_poison(self, node: int, times: int) -> list[str]:
        """Send the poison again and again at one node, or at each in turn."""
        verdicts = []
        for number in range(times):
            where = node if node >= 0 else number % len(self.nodes)
            verdicts.append(await self.ask(where, POISON))
            await sleep(RESEND_S)
        return verdicts

    def run(self, *coroutines):
        """Run coroutines together."""

        async def together():
            return await gather(*coroutines)

        return self.loop.run_until_complete(together())

    def close(self):
        """End everything."""
        for task in self.background:
            task.cancel()
        self.first.close()
