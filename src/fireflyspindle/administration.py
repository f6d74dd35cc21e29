"""Authentication of teams, and authorization of their writes."""

from collections.abc import Sequence
import fnmatch
import hashlib
import hmac

from fireflyspindle import settings as settings_lib

_SCHEME = "bearer "


def digest(token: str) -> str:
    """Returns the digest of a token, as stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate(
    teams: Sequence[settings_lib.TeamSettings], authorization: str
) -> settings_lib.TeamSettings | None:
    """Returns the team whose token an Authorization header carries.

    Every team's digest is compared in constant time, so that the response time
    reveals nothing about the tokens.
    """
    if not authorization.lower().startswith(_SCHEME):
        return None
    given = digest(authorization[len(_SCHEME) :].strip())
    found = None
    for team in teams:
        if hmac.compare_digest(team.token_sha256, given):
            found = team
    return found


def may_write(team: settings_lib.TeamSettings, key: str) -> bool:
    """Whether a team may publish records of a key."""
    return any(fnmatch.fnmatchcase(key, pattern) for pattern in team.may_write)
