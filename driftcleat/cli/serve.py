"""Serves with given settings; apart from the other commands, so that serving need not import their library."""

import gc
import logging
import os
import sys
from typing import TYPE_CHECKING, NoReturn

from driftcleat.settings import Platform, SettingsError, Tuning, load_platform, load_tuning

if TYPE_CHECKING:
    from driftcleat.sharing.settings import SharingSettings

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def serve(config: str, ini: str | None, sharing: str | None = None) -> None:
    """Serve until the process is terminated; invalid settings end it with exit code 2."""
    _configure_logging()
    platform, tuning = load_settings(config, ini)
    sharing = sharing or os.environ.get("DRIFTCLEAT_SHARING")
    _run(platform, tuning, load_sharing_settings(sharing) if sharing else None)


def load_settings(config: str, ini: str | None) -> tuple[Platform, Tuning]:
    """Return the platform's and the operators' settings; exit with code 2 if they are invalid."""
    try:
        return load_platform(config), load_tuning(ini or os.environ.get("DRIFTCLEAT_INI"))
    except SettingsError as error:
        fail(str(error), 2)


def load_sharing_settings(path: str) -> "SharingSettings":
    """Return the settings of sharing; exit with code 2 if they are invalid."""
    # Imported only if sharing is enabled.
    from driftcleat.sharing.settings import load_sharing

    try:
        return load_sharing(path)
    except SettingsError as error:
        fail(str(error), 2)


def fail(message: str, exit_code: int) -> NoReturn:
    """Print a message as one line on standard error, and exit."""
    print(f"driftcleat: {message}", file=sys.stderr)
    sys.exit(exit_code)


def _configure_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LOG_LEVELS:
        fail(f"LOG_LEVEL: must be one of {', '.join(LOG_LEVELS)}", 2)
    logging.basicConfig(stream=sys.stderr, level=LOG_LEVELS[level], format="%(levelname).1s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(max(logging.WARNING, LOG_LEVELS[level]))


def _run(platform: Platform, tuning: Tuning, sharing: "SharingSettings | None") -> None:
    import uvloop

    from driftcleat.controller.controller import Controller

    # Objects loaded so far stay in use: exempt them from garbage collection, which was disabled until here.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    gc.enable()

    async def run() -> None:
        if sharing is None:
            await Controller(platform, tuning).run()
            return
        from driftcleat.sharing.host import ShardHost

        await ShardHost(platform, tuning, sharing).run()

    try:
        uvloop.run(run())
    except OSError as error:
        fail(f"{platform.bind} or {platform.back}: {error}", 1)
    except KeyboardInterrupt:
        sys.exit(130)
