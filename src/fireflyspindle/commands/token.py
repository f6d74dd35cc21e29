"""The command that prints the digest of a team's token for the settings."""

import sys

from fireflyspindle import administration
from fireflyspindle.commands import status

MIN_TOKEN_CHARACTERS = 16


def hash_token() -> int:
    """Reads a token from standard input and prints its digest.

    Returns:
        The exit status: 2 if the token is too short to be safe.
    """
    token = sys.stdin.readline().strip()
    if len(token) < MIN_TOKEN_CHARACTERS:
        print(
            f"the token has {len(token)} characters; give at least"
            f" {MIN_TOKEN_CHARACTERS} on standard input",
            file=sys.stderr,
        )
        return status.USAGE_ERROR
    print(administration.digest(token))
    return status.SUCCESS
