"""Network addresses as settings and records write them."""

import ipaddress


def problem(value: str) -> str | None:
    """Returns why a text is no "ip:port", or None when it is one."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = port.isdecimal() and int(port) <= 65_535
    except ValueError:
        valid = False
    if valid:
        return None
    return (
        f"{value!r} is no address; give an IP number and a port,"
        ' such as "10.0.0.7:8080"'
    )
