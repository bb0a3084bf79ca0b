"""Settings of the node and control programs, validated at startup."""

import ipaddress
import re
import stat
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, TypeVar

from sequoiaseam._connection_limit import DEFAULT_DESCRIPTOR_LIMIT
from sequoiaseam._ini import FileError, IniFile, find_duplicates, read_ini
from sequoiaseam._memory import DEFAULT_MEMORY_LIMIT_BYTES
from sequoiaseam._tables import BODY_LIMIT_MAX_BYTES
from sequoiaseam._units import (
    format_duration,
    format_size,
    parse_duration,
    parse_integer,
    parse_size,
)
from sequoiaseam.const import (
    DEFAULT_HEADERS_LIMIT_BYTES,
    HEADERS_LIMIT_MAX_BYTES,
)
from sequoiaseam.errors import ErrorCode

T = TypeVar("T")
NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LOG_LEVELS: Final = ("debug", "info", "warning", "error")
# HMAC-SHA-256 is weaker with a key shorter than the hash (RFC 2104).
SECRET_BYTES_MIN: Final = 32
# An even number of replicas tolerates no more failures than the odd number
# below it.
REPLICA_COUNTS: Final = (1, 3, 5, 7)

# Where the largest body fits, which this program copies up to four times.
DEFAULT_NODE_MEMORY_BYTES: Final = 2 * 1024 * 1024 * 1024
MEMORY_LIMIT_MIN_BYTES: Final = 128 * 1024 * 1024
MEMORY_LIMIT_MAX_BYTES: Final = 1024 * 1024 * 1024 * 1024
NODE_KEYS: Final[Mapping[str, tuple[str, ...]]] = {
    "node": ("name", "domain", "region"),
    "listen": ("callers", "peers", "local", "metrics"),
    "control": ("hosts",),
    "access": ("secrets",),
    "limits": ("body", "headers", "drain_timeout", "memory"),
    "log": ("level",),
}
CONTROL_KEYS: Final[Mapping[str, tuple[str, ...]]] = {
    "control": ("name", "domain", "region", "data", "listen"),
    "replicas": (),
    "access": ("secrets",),
    "log": ("level",),
    "snapshot": ("every",),
}
SECRET_KEYS: Final[Mapping[str, tuple[str, ...]]] = {
    "fleet": ("current", "previous"),
    "operators": ("current", "previous"),
}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port.

    With port 0 the operating system chooses the port of a listener.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Secrets:
    """Shared secrets, the current one first.

    They are left out of the repr, so that they don't reach the logs.
    """

    fleet: tuple[bytes, ...] = field(default=(), repr=False)
    operators: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    ``control_hosts`` maps the names of control hosts to their
    endpoints. ``body_limit`` and ``headers_limit`` are in bytes.
    ``metrics`` is None if the node doesn't serve metrics. ``domain`` is
    the failure domain of the node's host.
    """

    name: str
    domain: str
    region: str
    callers: Endpoint
    peers: Endpoint
    local: Endpoint
    metrics: Endpoint | None
    control_hosts: Mapping[str, Endpoint]
    secrets: Secrets
    body_limit: int = BODY_LIMIT_MAX_BYTES
    headers_limit: int = DEFAULT_HEADERS_LIMIT_BYTES
    drain_timeout: timedelta = timedelta(seconds=30)
    # The process is ended by its supervisor if it takes more memory.
    memory_limit_bytes: int = DEFAULT_NODE_MEMORY_BYTES
    log_level: str = "info"


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a control host.

    ``replicas`` maps the names of the control hosts, including this
    one, to their endpoints. ``domain`` is the failure domain of the
    host. With ``automatic_repair``, hosts are named by their addresses,
    ``replicas`` are those that form the group initially, and the group
    replaces failed replicas by itself; this host takes part in forming
    the group only if ``forms_group`` is set. Without ``secrets``, all
    peers on the network are trusted. ``assigns_witnesses`` is False in
    fleets whose requests each enter at a single node, which needs no
    witnesses to run them at most once. With ``quota_leases``, a leader may
    lease the quota of workspaces to the other control hosts.
    """

    name: str
    domain: str
    region: str
    data: Path
    listen: Endpoint
    replicas: Mapping[str, Endpoint]
    secrets: Secrets | None
    log_level: str = "info"
    snapshot_every: int = 10_000
    automatic_repair: bool = False
    forms_group: bool = True
    assigns_witnesses: bool = True
    # Off, as a frozen holder costs its workspaces the quota for the rest of
    # its lease, where the loss of any host but the leader costs nothing.
    quota_leases: bool = False
    # The process is ended by its supervisor if it takes more memory.
    memory_limit_bytes: int = DEFAULT_MEMORY_LIMIT_BYTES
    # The file descriptors that the process may have open.
    descriptor_limit: int = DEFAULT_DESCRIPTOR_LIMIT


def parse_name(text: str) -> str:
    """Validate the name of a host, failure domain or region.

    Raise ValueError if it is malformed.
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            f"{text!r} must be 1 to 63 letters, digits, '.', '_' or '-'",
        )
    return text


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``IP:port`` or ``[IPv6]:port``.

    Raise ValueError if the text is malformed.
    """
    host, separator, port_text = text.rpartition(":")
    unbracketed = host.removeprefix("[").removesuffix("]")
    try:
        address = ipaddress.ip_address(unbracketed)
    except ValueError:
        separator = ""
    if not separator or (":" in unbracketed) != host.startswith("["):
        raise ValueError(f"{text!r} is not an IP address and port")
    port = parse_integer(port_text)
    if port > 65535:
        raise ValueError(f"port {port} is outside 0 to 65535")
    return Endpoint(str(address), port)


def _parse_reachable_endpoint(text: str) -> Endpoint:
    """Parse an endpoint that other hosts connect to."""
    endpoint = parse_endpoint(text)
    if ipaddress.ip_address(endpoint.host).is_unspecified:
        raise ValueError(f"{text!r} is not an address others can reach")
    return endpoint


def _parse_reachable_with_port(text: str) -> Endpoint:
    """Parse an endpoint that other hosts connect to at a fixed port."""
    endpoint = _parse_reachable_endpoint(text)
    if not endpoint.port:
        raise ValueError(f"{text!r} needs a port other than 0")
    return endpoint


def _parse_loopback_endpoint(text: str) -> Endpoint:
    endpoint = parse_endpoint(text)
    if not ipaddress.ip_address(endpoint.host).is_loopback:
        raise ValueError(f"{text!r} is not a loopback address")
    return endpoint


def _parse_listen_endpoint(text: str) -> Endpoint:
    endpoint = parse_endpoint(text)
    if not endpoint.port:
        raise ValueError(f"{text!r} needs a port other than 0")
    return endpoint


def parse_hosts(text: str) -> Mapping[str, Endpoint]:
    """Parse lines of ``name IP:port``.

    Raise ValueError if a line is malformed, there is none, or a name or
    endpoint occurs twice.
    """
    pairs: list[tuple[str, Endpoint]] = []
    for line in filter(None, map(str.strip, text.splitlines())):
        name, _, address = line.partition(" ")
        pairs.append(
            (parse_name(name), _parse_reachable_with_port(address.strip()))
        )
    if not pairs:
        raise ValueError("lists no host")
    _reject_duplicates(pairs)
    return dict(pairs)


def _reject_duplicates(pairs: list[tuple[str, Endpoint]]) -> None:
    duplicates = find_duplicates(name for name, _ in pairs) + find_duplicates(
        str(endpoint) for _, endpoint in pairs
    )
    if duplicates:
        raise ValueError(f"{', '.join(duplicates)} occurs more than once")


def parse_log_level(text: str) -> str:
    """Validate a log level; raise ValueError if it is unknown."""
    if text not in LOG_LEVELS:
        raise ValueError(f"{text!r} is none of {', '.join(LOG_LEVELS)}")
    return text


def _create_bounded_parser(
    parse: Callable[[str], T],
    minimum: T,
    maximum: T,
    format_value: Callable[[T], str],
) -> Callable[[str], T]:
    """Return a parser that raises ValueError for values out of range."""

    def parse_bounded(text: str) -> T:
        value = parse(text)
        if not minimum <= value <= maximum:  # type: ignore[operator]
            raise ValueError(
                f"{text} is outside {format_value(minimum)} "
                f"to {format_value(maximum)}",
            )
        return value

    return parse_bounded


_parse_body_limit: Final = _create_bounded_parser(
    parse_size, 0, BODY_LIMIT_MAX_BYTES, format_size
)
_parse_memory_limit: Final = _create_bounded_parser(
    parse_size, MEMORY_LIMIT_MIN_BYTES, MEMORY_LIMIT_MAX_BYTES, format_size
)
_parse_headers_limit: Final = _create_bounded_parser(
    parse_size,
    1024,
    HEADERS_LIMIT_MAX_BYTES,
    format_size,
)
_parse_drain_timeout: Final = _create_bounded_parser(
    parse_duration,
    timedelta(0),
    timedelta(minutes=10),
    format_duration,
)
_parse_snapshot_interval: Final = _create_bounded_parser(
    parse_integer, 1, 10_000_000, str
)


def _parse_secret(text: str) -> bytes:
    # Error messages must not quote the text, since it is a secret.
    try:
        secret = bytes.fromhex(text)
    except ValueError as error:
        raise ValueError("is not hexadecimal") from error
    if len(secret) < SECRET_BYTES_MIN:
        raise ValueError(f"is shorter than {SECRET_BYTES_MIN} bytes")
    return secret


def _take_secrets(
    ini: IniFile,
    section: str,
    *,
    required: bool,
) -> tuple[bytes, ...]:
    if not required and section not in ini.sections:
        return ()
    current = ini.take(section, "current", _parse_secret)
    previous = ini.take_optional(section, "previous", _parse_secret)
    return tuple(secret for secret in (current, previous) if secret)


def _check_permissions(ini: IniFile, path: Path) -> None:
    """Report a problem if other users can access the secrets file."""
    mode = path.stat().st_mode
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        ini.report(
            "",
            "",
            f"mode {stat.S_IMODE(mode):04o} lets others use it; "
            "set it to 0600",
        )


def load_secrets(path: Path, required: tuple[str, ...]) -> Secrets:
    """Read a secrets file; raise FileError SETTING_INVALID if invalid.

    ``required`` names the sections that must exist: a node needs
    ``fleet``, a control host both, an operator ``operators``.
    """
    ini = read_ini(path, ErrorCode.SETTING_INVALID)
    _check_permissions(ini, path)
    secrets = Secrets(
        fleet=_take_secrets(ini, "fleet", required="fleet" in required),
        operators=_take_secrets(
            ini,
            "operators",
            required="operators" in required,
        ),
    )
    ini.report_unknown(SECRET_KEYS)
    ini.raise_problems(ErrorCode.SETTING_INVALID)
    return secrets


def _take_secrets_file(
    ini: IniFile,
    settings_path: Path,
    required: tuple[str, ...],
) -> Secrets | None:
    """Load the secrets file; its path is relative to the settings file."""
    secrets_path = ini.take("access", "secrets", _parse_path)
    if secrets_path is None:
        return None
    try:
        return load_secrets(settings_path.parent / secrets_path, required)
    except FileError as error:
        ini.problems.extend(error.problems)
        return None


def _parse_path(text: str) -> Path:
    if not text.isprintable() or not text:
        raise ValueError(f"{text!r} is not a path")
    return Path(text)


def _check_listeners(ini: IniFile, section: str, keys: list[str]) -> None:
    """Report addresses that several listeners share.

    Must run before the keys are taken.
    """
    addresses = ini.sections.get(section, {})
    used = [addresses[key] for key in keys if key in addresses]
    for address in find_duplicates(used):
        if not address.endswith(":0"):
            ini.report(section, "", f"{address} is used twice")


def _resolve_path(settings_path: Path, path: Path | None) -> Path | None:
    return None if path is None else (settings_path.parent / path).absolute()


def load_node_settings(path: Path) -> NodeSettings:
    """Read a node's settings; raise FileError with all problems found."""
    ini = read_ini(path, ErrorCode.SETTING_INVALID)
    _check_listeners(ini, "listen", list(NODE_KEYS["listen"]))
    values: dict[str, Any] = {
        "name": ini.take("node", "name", parse_name),
        "domain": ini.take("node", "domain", parse_name),
        "region": ini.take("node", "region", parse_name),
        "callers": ini.take("listen", "callers", parse_endpoint),
        "peers": ini.take("listen", "peers", _parse_reachable_endpoint),
        "local": ini.take("listen", "local", _parse_loopback_endpoint),
        "metrics": ini.take_optional("listen", "metrics", parse_endpoint),
        "control_hosts": ini.take("control", "hosts", parse_hosts),
        "secrets": _take_secrets_file(ini, path, ("fleet",)),
        "body_limit": ini.take(
            "limits", "body", _parse_body_limit, BODY_LIMIT_MAX_BYTES
        ),
        "headers_limit": ini.take(
            "limits",
            "headers",
            _parse_headers_limit,
            DEFAULT_HEADERS_LIMIT_BYTES,
        ),
        "drain_timeout": ini.take(
            "limits",
            "drain_timeout",
            _parse_drain_timeout,
            timedelta(seconds=30),
        ),
        "memory_limit_bytes": ini.take(
            "limits", "memory", _parse_memory_limit, DEFAULT_NODE_MEMORY_BYTES
        ),
        "log_level": ini.take("log", "level", parse_log_level, "info"),
    }
    ini.report_unknown(NODE_KEYS)
    ini.raise_problems(ErrorCode.SETTING_INVALID)
    # Required values are None only if a problem was reported, and then
    # raise_problems has raised.
    return NodeSettings(**values)


def _take_replicas(ini: IniFile) -> Mapping[str, Endpoint]:
    """Take the entries of [replicas] and check their number and addresses."""
    replicas: dict[str, Endpoint] = {}
    for name in tuple(ini.sections.get("replicas", {})):
        endpoint = ini.take("replicas", name, _parse_reachable_with_port)
        if not NAME_PATTERN.fullmatch(name):
            ini.report("replicas", name, "is not a host name")
        elif endpoint is not None:
            replicas[name] = endpoint
    for address in find_duplicates(map(str, replicas.values())):
        ini.report("replicas", "", f"{address} is used twice")
    if len(replicas) not in REPLICA_COUNTS:
        ini.report(
            "replicas",
            "",
            f"lists {len(replicas)} hosts; it must be 1, 3, 5 or 7",
        )
    return replicas


def _check_own_replica(
    ini: IniFile,
    name: str | None,
    listen: Endpoint | None,
    replicas: Mapping[str, Endpoint],
) -> None:
    if name is None or listen is None:
        return
    if name not in replicas:
        ini.report("replicas", "", f"does not include {name}, this host")
    elif replicas[name].port != listen.port:
        ini.report("replicas", name, f"port differs from listen = {listen}")


def load_control_settings(path: Path) -> ControlSettings:
    """Read a control host's settings.

    Raise FileError with all problems found.
    """
    ini = read_ini(path, ErrorCode.SETTING_INVALID)
    name = ini.take("control", "name", parse_name)
    listen = ini.take("control", "listen", _parse_listen_endpoint)
    replicas = _take_replicas(ini)
    _check_own_replica(ini, name, listen, replicas)
    values: dict[str, Any] = {
        "name": name,
        "domain": ini.take("control", "domain", parse_name),
        "region": ini.take("control", "region", parse_name),
        "data": _resolve_path(path, ini.take("control", "data", _parse_path)),
        "listen": listen,
        "replicas": replicas,
        "secrets": _take_secrets_file(ini, path, ("fleet", "operators")),
        "log_level": ini.take("log", "level", parse_log_level, "info"),
        "snapshot_every": ini.take(
            "snapshot",
            "every",
            _parse_snapshot_interval,
            10_000,
        ),
    }
    ini.report_unknown(CONTROL_KEYS)
    ini.raise_problems(ErrorCode.SETTING_INVALID)
    return ControlSettings(**values)
