"""The state service of a load test, a process of its own: `python -m tools.load.store PORT SITE`.

Guards against a load test that cannot tell a late controller from a late state service: while both the workers and
the store were one process, the workers' requests held up the renewal of the leader's lease.
"""

import asyncio
import sys

import uvloop
from aiohttp import web

from driftcleat.settings.platform import parse_platform
from tests.protocol_doubles import ChangeLogStoreDouble, serve
from tests.reference_model import InMemoryStore
from tests.samples import raw_settings

from .sizes import SIZES, Size


class SlowStore(ChangeLogStoreDouble):
    """A state service with the reply time and the changes a second of a site."""

    def __init__(self, store: InMemoryStore, size: Size) -> None:
        super().__init__(store)
        self.write_rps = size.write_rps
        self._reply_s = size.store_s

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer after the usual time."""
        await asyncio.sleep(self._reply_s)
        try:
            return await super().handle(request)
        except ConnectionResetError:
            # The controller was killed, or has given the request up.
            return web.Response(status=503)


async def run(port: int, size: Size) -> None:
    """Serve until the process is ended."""
    store = SlowStore(InMemoryStore(parse_platform("load", raw_settings())), size)
    await serve(store.handle, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(run(int(sys.argv[1]), SIZES[sys.argv[2]]))
