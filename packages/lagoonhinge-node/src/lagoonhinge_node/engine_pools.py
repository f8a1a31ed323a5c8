"""Pools of connections to engines; retiring one does not end running streams."""

from aiohttp import ClientSession

from lagoonhinge_http.session import open_session


class EnginePool:
    """Connections to one engine and the number of calls that use them."""

    def __init__(self) -> None:
        self.session: ClientSession = open_session()
        self.users = 1


class EnginePools:
    """The current pool of each engine, and retired ones that are still in use."""

    def __init__(self) -> None:
        self.current: dict[str, EnginePool] = {}
        self.retired: set[EnginePool] = set()

    def acquire(self, url: str) -> EnginePool:
        """Return an engine's pool; each call is matched by one of `release`."""
        pool = self.current.get(url)
        if pool is None:
            pool = self.current[url] = EnginePool()
        else:
            pool.users += 1
        return pool

    def acquire_new(self) -> EnginePool:
        """Return a new pool for a single call."""
        pool = EnginePool()
        self.retired.add(pool)
        return pool

    async def release(self, pool: EnginePool) -> None:
        """Stop using a pool; a retired one is closed after its last user."""
        pool.users -= 1
        await self._close_if_unused(pool)

    async def retire(self, url: str) -> None:
        """Use a new pool for an engine from now on; running calls keep the old one."""
        pool = self.current.pop(url, None)
        if pool is not None:
            self.retired.add(pool)
            await self._close_if_unused(pool)

    async def close(self) -> None:
        """Close every pool, also those in use."""
        for pool in (*self.current.values(), *self.retired):
            await pool.session.close()
        self.current.clear()
        self.retired.clear()

    async def _close_if_unused(self, pool: EnginePool) -> None:
        if pool.users == 0 and pool in self.retired:
            self.retired.discard(pool)
            await pool.session.close()
