"""`run.py --config FILE` serves; `check` looks at settings only; `status` asks a running controller."""

import gc
import logging
import os
import sys

import click

from driftcleat import __version__
from driftcleat.settings import Platform, SettingsError, Tuning, load_platform, load_tuning

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _load(config: str, ini: str | None) -> tuple[Platform, Tuning]:
    try:
        return load_platform(config), load_tuning(ini or os.environ.get("DRIFTCLEAT_INI"))
    except SettingsError as error:
        click.echo(f"driftcleat: {error}", err=True)
        sys.exit(2)


def _set_up_log() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LEVELS:
        click.echo(f"driftcleat: LOG_LEVEL: must be one of {', '.join(LEVELS)}", err=True)
        sys.exit(2)
    logging.basicConfig(stream=sys.stderr, level=LEVELS[name], format="%(levelname).1s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(max(logging.WARNING, LEVELS[name]))


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--config", metavar="FILE", help="Serve with the platform's settings in FILE (TOML).")
@click.option("--ini", metavar="FILE", help="The operators' own settings (INI); also DRIFTCLEAT_INI.")
@click.version_option(__version__, prog_name="driftcleat")
@click.pass_context
def main(context: click.Context, config: str | None, ini: str | None) -> None:
    """driftcleat, a cluster scheduler."""
    if context.invoked_subcommand is not None:
        return
    if config is None:
        click.echo(context.get_help())
        sys.exit(2)
    _set_up_log()
    platform, tuning = _load(config, ini)
    _serve(platform, tuning)


def _serve(platform: Platform, tuning: Tuning) -> None:
    import uvloop

    from driftcleat.controller import Controller

    # What is loaded now stays: the collector, off until here, need not look at it.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    gc.enable()

    async def run() -> None:
        await Controller(platform, tuning).run()

    try:
        uvloop.run(run())
    except OSError as error:
        click.echo(f"driftcleat: {platform.bind} or {platform.back}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        sys.exit(130)


@main.command()
@click.argument("config")
@click.option("--ini", metavar="FILE", help="The operators' own settings (INI).")
def check(config: str, ini: str | None) -> None:
    """Check settings without serving."""
    platform, _ = _load(config, ini)
    click.echo(f"driftcleat: {config}: ok, controller {platform.label} of {len(platform.peers) + 1}")


@main.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def status(address: str, as_json: bool) -> None:
    """Show what the controller at its `back` address says of itself."""
    # Loaded here alone: serving must not wait for them.
    import json
    import urllib.error
    import urllib.request

    try:
        with urllib.request.urlopen(f"http://{address}/status", timeout=5) as response:
            data = json.load(response)
    except (OSError, ValueError, urllib.error.URLError) as error:
        click.echo(f"driftcleat: {address}: cannot be reached: {error}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(data, indent=2))
        return
    click.echo(f"{data['controller']}: {data['role']}, leader {data['leader']}, term {data['term']}")
    batch = data["batch"]
    click.echo(f"batches: {batch['count']}, p50 {batch['p50_ms']:.1f} ms, p99 {batch['p99_ms']:.1f} ms")
    if "machines" in data:
        click.echo(
            f"data version {data['data_version']}, {data['records_to_move']} jobs' records to move, "
            f"{data['jobs_waiting_for_others']} jobs wait for others"
        )
        click.echo(
            "machines: "
            + (", ".join(f"{count} {state}" for state, count in sorted(data["machines"].items())) or "none")
        )
        for name, row in sorted(data["classes"].items()):
            click.echo(f"class {name}: {row['jobs']} jobs, {row['queued']} tasks queued, {row['placed']} placed")
