"""The command line interface."""

import sys

import defopt

from fireflyspindle.bench import commands as bench_commands
from fireflyspindle.commands import demo
from fireflyspindle.commands import explain
from fireflyspindle.commands import gate
from fireflyspindle.commands import records
from fireflyspindle.commands import route
from fireflyspindle.commands import stand_in
from fireflyspindle.commands import token
from fireflyspindle.platform import daemon

COMMANDS = {
    "gate": gate.gate,
    "platform": daemon.main,
    "demo": demo.demo,
    "explain": explain.explain,
    "route": route.route,
    **records.COMMANDS,
    "hash-token": token.hash_token,
    "bench": bench_commands.COMMANDS,
    "stand-in": stand_in.COMMANDS,
}


def main() -> None:
    """Runs the command given by the arguments."""
    sys.exit(
        defopt.run(
            COMMANDS,
            cli_options="kwonly",
            argparse_kwargs={"prog": "fireflyspindle"},
        )
    )
