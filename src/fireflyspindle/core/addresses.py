"""Validation of network addresses in settings and records."""

import ipaddress

MAX_PORT = 65_535


def validation_error(value: str) -> str | None:
    """Returns why a text is not a valid "ip:port", or None if it is."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = port.isdecimal() and int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if valid:
        return None
    return (
        f"{value!r}; give an IP address and a port up to {MAX_PORT},"
        ' such as "10.0.0.7:8080"'
    )
