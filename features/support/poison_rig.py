"""Several nodes that share fake engines, which one prompt crashes."""

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
    """Nodes that gossip each second; crashed engines restart every `RESTART_S`."""

    def __init__(self, nodes: int, engines: int):
        self.first_node = RequestRig(engines)
        self.loop = self.first_node.loop
        self.nodes = [self.first_node]
        for _ in range(nodes - 1):
            self.nodes.append(RequestRig(engines, shared=self.first_node))
        self.crashes = 0
        self.peers_writers = [
            node.board.writer(PeersSection(), "members") for node in self.nodes
        ]
        self.first_node.port.on_step = self._crash_on_poison
        self.background_tasks = [
            self.loop.create_task(self._gossip()),
            self.loop.create_task(self._restart()),
        ]

    def _crash_on_poison(self, step, engine, stream):
        if step == "before first token" and stream.run.call.prompt == POISON:
            self.crashes += 1
            engine.crash()

    async def _gossip(self):
        while True:
            await sleep(GOSSIP_S)
            for node in self.nodes:
                node.report()
                node.poison.merge()
            digests = {f"vm-{n}": self._digest(n) for n in range(len(self.nodes))}
            for writer in self.peers_writers:
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
            for engine in self.first_node.engines:
                if not engine.is_running:
                    engine.restart()

    async def send(self, node: int, prompt: str) -> str:
        """Send one request and return its verdict."""
        sink = RecordingSink(False)
        match await self.nodes[node].start(sink, prompt):
            case Success(_):
                return "whole"
            case Failure(failure):
                assert failure.retry_after_s is not None
                return f"{failure.code}/{failure.outcome}"
        raise AssertionError

    async def send_until_whole(self, node: int, prompt: str, times: int = 5) -> str:
        """Resend a prompt until it is answered, as a caller would."""
        verdicts = []
        for _ in range(times):
            verdicts.append(await self.send(node, prompt))
            if verdicts[-1] == "whole":
                return "whole"
            await sleep(1.0)
        return " ".join(verdicts)

    async def resend_poison(self, node: int, times: int) -> list[str]:
        """Send the poison prompt repeatedly to one node, or to each in turn."""
        verdicts = []
        for number in range(times):
            target_node = node if node >= 0 else number % len(self.nodes)
            verdicts.append(await self.send(target_node, POISON))
            await sleep(RESEND_S)
        return verdicts

    def run(self, *coroutines):
        """Run coroutines concurrently."""

        async def run_all():
            return await gather(*coroutines)

        return self.loop.run_until_complete(run_all())

    def close(self):
        """Cancel the background tasks and close the loop."""
        for task in self.background_tasks:
            task.cancel()
        self.first_node.close()
