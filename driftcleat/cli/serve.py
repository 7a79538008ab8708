"""Serves with the settings of a file. Kept apart from the other commands, whose library serving need not wait for."""

import gc
import logging
import os
import sys
from typing import TYPE_CHECKING, NoReturn

from driftcleat.settings import Platform, SettingsError, Tuning, load_platform, load_tuning

if TYPE_CHECKING:
    from driftcleat.sharing.settings import SharingSettings

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def serve(config: str, ini: str | None, sharing: str | None = None) -> None:
    """Serve until the process is ended."""
    _set_up_log()
    platform, tuning = load_settings(config, ini)
    sharing = sharing or os.environ.get("DRIFTCLEAT_SHARING")
    _run(platform, tuning, load_sharing_settings(sharing) if sharing else None)


def load_settings(config: str, ini: str | None) -> tuple[Platform, Tuning]:
    """Return the platform's and the operators' settings; wrong ones end the program."""
    try:
        return load_platform(config), load_tuning(ini or os.environ.get("DRIFTCLEAT_INI"))
    except SettingsError as error:
        fail(str(error), 2)


def load_sharing_settings(path: str) -> "SharingSettings":
    """Return the settings of sharing; wrong ones end the program."""
    # Nothing of sharing is loaded unless it is switched on.
    from driftcleat.sharing.settings import load_sharing

    try:
        return load_sharing(path)
    except SettingsError as error:
        fail(str(error), 2)


def fail(why: str, status: int) -> NoReturn:
    """End the program with one line that says why."""
    print(f"driftcleat: {why}", file=sys.stderr)
    sys.exit(status)


def _set_up_log() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LEVELS:
        fail(f"LOG_LEVEL: must be one of {', '.join(LEVELS)}", 2)
    logging.basicConfig(stream=sys.stderr, level=LEVELS[name], format="%(levelname).1s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(max(logging.WARNING, LEVELS[name]))


def _run(platform: Platform, tuning: Tuning, sharing: "SharingSettings | None") -> None:
    import uvloop

    from driftcleat.controller.controller import Controller

    # What is loaded now stays: the collector, off until here, need not look at it.
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
