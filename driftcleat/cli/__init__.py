"""The command line: serves with the platform's settings, or runs one of the commands in `commands`."""

import sys

# The platform starts controllers with this option alone; that path skips the command line library to start fast.
CONFIG_OPTION = "--config"


def run() -> None:
    """Serve if the only arguments are `--config FILE`, otherwise run the command that they name."""
    match sys.argv[1:]:
        case [option, config] if option == CONFIG_OPTION:
            from driftcleat.cli.serve import serve

            serve(config, None)
        case _:
            from driftcleat.cli.commands import main

            main()


__all__ = ["run"]
