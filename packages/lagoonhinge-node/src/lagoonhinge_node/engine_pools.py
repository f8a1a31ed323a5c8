"""Pools of connections to engines, dropped without touching running streams."""

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

    def join(self, url: str) -> EnginePool:
        """Return an engine's pool; each join is matched by one `leave`."""
        pool = self.current.get(url)
        if pool is None:
            pool = self.current[url] = EnginePool()
        else:
            pool.users += 1
        return pool

    def join_fresh(self) -> EnginePool:
        """Return a pool without connections, for one call alone."""
        pool = EnginePool()
        self.retired.add(pool)
        return pool

    async def leave(self, pool: EnginePool) -> None:
        """Stop using a pool; a retired one is closed with its last user."""
        pool.users -= 1
        await self._close_if_unused(pool)

    async def drop(self, url: str) -> None:
        """Use new connections to an engine; running calls keep the old ones."""
        pool = self.current.pop(url, None)
        if pool is not None:
            self.retired.add(pool)
            await self._close_if_unused(pool)

    async def close(self) -> None:
        """Close every pool, used or not."""
        for pool in (*self.current.values(), *self.retired):
            await pool.session.close()
        self.current.clear()
        self.retired.clear()

    async def _close_if_unused(self, pool: EnginePool) -> None:
        if pool.users == 0 and pool in self.retired:
            self.retired.discard(pool)
            await pool.session.close()
