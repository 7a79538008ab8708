"""The state service of a load test, a separate process: `python -m tools.load.store PORT SITE`.

In one process with the workers, their requests would delay the keep-alives of the leader's lease: the load test could
not distinguish a slow controller from a slow state service.
"""

import asyncio
import sys

import uvloop
from aiohttp import web

from driftcleat.settings.platform import parse_platform
from tests.protocol_doubles import ChangeLogStoreDouble, serve
from tests.reference_store import InMemoryStore
from tests.samples import raw_settings

from .sizes import SIZES, Size


class SlowStore(ChangeLogStoreDouble):
    """A state service with the response time and the write rate limit of a site."""

    def __init__(self, store: InMemoryStore, size: Size) -> None:
        super().__init__(store)
        self.write_rps = size.write_rps
        self._response_s = size.store_s

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond after the response time of the site."""
        await asyncio.sleep(self._response_s)
        try:
            return await super().handle(request)
        except ConnectionResetError:
            # The controller was killed, or its request timed out.
            return web.Response(status=503)


async def run(port: int, size: Size) -> None:
    """Serve until the process is terminated."""
    store = SlowStore(InMemoryStore(parse_platform("load", raw_settings())), size)
    await serve(store.handle, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(run(int(sys.argv[1]), SIZES[sys.argv[2]]))
