"""Relays in a separate thread, for scenarios with real processes."""

from asyncio import new_event_loop, run_coroutine_threadsafe
from threading import Thread

from features.support.fleet import PORTS
from stand_ins.relay import Relay, RelayMode, RelayTarget


class RelayThread:
    """Runs relays; each call returns after it has taken effect."""

    def __init__(self):
        self.loop = new_event_loop()
        self.thread = Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def start(self, target_port: int) -> Relay:
        """Return a running relay to a port on loopback."""
        relay = Relay(PORTS.allocate(), RelayTarget("127.0.0.1", target_port))
        self._call(relay.start())
        return relay

    def set_mode(self, relay: Relay, mode: RelayMode) -> None:
        """Set the mode of a relay."""

        async def set_in_loop():
            relay.set_mode(mode)

        self._call(set_in_loop())

    def stop(self) -> None:
        """Stop the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _call(self, coroutine):
        return run_coroutine_threadsafe(coroutine, self.loop).result(10.0)
