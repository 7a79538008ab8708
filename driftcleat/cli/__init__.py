"""The command line."""

import sys

# How a platform starts a controller; the one way to be called that has to be fast.
CONFIG_OPTION = "--config"


def run() -> None:
    """Run the command that the arguments name."""
    match sys.argv[1:]:
        case [option, config] if option == CONFIG_OPTION:
            from driftcleat.cli.serve import serve

            serve(config, None)
        case _:
            from driftcleat.cli.commands import main

            main()


__all__ = ["run"]
