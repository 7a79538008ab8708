"""The commands of `run.py`: `check` validates settings; `status` and `shares` query a running controller."""

import sys

import click

from driftcleat import __version__
from driftcleat.cli.serve import fail, load_settings, load_sharing_settings, serve


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--config", metavar="FILE", help="Serve with the platform's settings in FILE (TOML).")
@click.option("--ini", metavar="FILE", help="The operators' own settings (INI); also DRIFTCLEAT_INI.")
@click.option("--sharing", metavar="FILE", help="Share machines among controllers (INI); also DRIFTCLEAT_SHARING.")
@click.version_option(__version__, prog_name="driftcleat")
@click.pass_context
def main(context: click.Context, config: str | None, ini: str | None, sharing: str | None) -> None:
    """driftcleat, a cluster scheduler."""
    if context.invoked_subcommand is not None:
        return
    if config is None:
        click.echo(context.get_help())
        sys.exit(2)
    serve(config, ini, sharing)


@main.command()
@click.argument("config")
@click.option("--ini", metavar="FILE", help="The operators' own settings (INI).")
@click.option("--sharing", metavar="FILE", help="The settings of sharing (INI).")
def check(config: str, ini: str | None, sharing: str | None) -> None:
    """Check settings without serving."""
    platform, _ = load_settings(config, ini)
    if sharing is not None:
        load_sharing_settings(sharing)
    click.echo(f"driftcleat: {config}: ok, controller {platform.label} of {len(platform.peers) + 1}")


@main.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def status(address: str, as_json: bool) -> None:
    """Show the status of the controller with this `back` address."""
    # Imported here so that serving does not wait for them.
    import json
    import urllib.error
    import urllib.request

    try:
        with urllib.request.urlopen(f"http://{address}/status", timeout=5) as response:
            data = json.load(response)
    except (OSError, ValueError, urllib.error.URLError) as error:
        fail(f"{address}: cannot be reached: {error}", 1)
    if as_json:
        click.echo(json.dumps(data, indent=2))
        return
    click.echo(f"{data['controller']}: {data['role']}, leader {data['leader']}, term {data['term']}")
    batch = data["batch"]
    click.echo(f"batches: {batch['count']}, p50 {batch['p50_ms']:.1f} ms, p99 {batch['p99_ms']:.1f} ms")
    if "machines" in data:
        click.echo(
            f"data version {data['data_version']}, {data['records_to_move']} jobs with records to migrate, "
            f"{data['jobs_waiting_for_others']} jobs wait for dependencies"
        )
        click.echo(
            "machines: "
            + (", ".join(f"{count} {state}" for state, count in sorted(data["machines"].items())) or "none")
        )
        for name, row in sorted(data["classes"].items()):
            click.echo(f"class {name}: {row['jobs']} jobs, {row['queued']} tasks queued, {row['placed']} placed")


@main.command()
@click.argument("arguments", nargs=-1, metavar="HOST:PORT | move HOST:PORT SHARE CONTROLLER")
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def shares(arguments: tuple[str, ...], as_json: bool) -> None:
    """Show which controller owns which share of the machines, or move a share."""
    # Imported here so that serving does not wait for it.
    from driftcleat.cli.shares import run

    run(arguments, as_json)
