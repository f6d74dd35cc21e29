"""Network addresses as settings and records write them."""

import ipaddress

MAX_PORT = 65_535


def problem(value: str) -> str | None:
    """Returns why a text is no "ip:port", or None when it is one."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = port.isdecimal() and int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if valid:
        return None
    return (
        f"{value!r}; give an IP number and a port up to {MAX_PORT},"
        ' such as "10.0.0.7:8080"'
    )
