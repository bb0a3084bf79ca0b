"""Settings of the node and control programs, checked whole at start."""

import ipaddress
import re
import stat
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, TypeVar

from sequoiaseam._ini import FileError, IniFile, find_duplicates, read_ini
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
NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LEVELS: Final = ("debug", "info", "warning", "error")
# A key of an HMAC-SHA-256 shorter than the hash weakens it (RFC 2104).
SECRET_BYTES_MIN: Final = 32
# Even numbers of replicas survive no more losses than one fewer.
REPLICA_COUNTS: Final = (1, 3, 5, 7)

NODE_KEYS: Final[Mapping[str, tuple[str, ...]]] = {
    "node": ("name", "domain", "region"),
    "listen": ("callers", "peers", "local", "metrics"),
    "control": ("hosts",),
    "access": ("secrets",),
    "limits": ("body", "headers", "drain_timeout"),
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
    """An IP address and a port; port 0 lets the system choose one."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Secrets:
    """Shared secrets, the current one first; never shown."""

    fleet: tuple[bytes, ...] = field(default=(), repr=False)
    operators: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    ``control_hosts`` maps the names of control hosts to their
    endpoints. ``body_limit`` and ``headers_limit`` are in bytes.
    ``metrics`` is None where the node serves no metrics.
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
    log_level: str = "info"


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a control host; ``replicas`` includes the host.

    With ``automatic_repair``, hosts are named by their addresses, ``replicas``
    are those that form the group, and the group repairs itself; this
    host takes part in the forming only if ``forms_group`` is set. Without
    ``secrets`` the network is trusted.
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


def parse_name(text: str) -> str:
    """Return a host, domain or region name; raise ValueError if bad."""
    if not NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} must be 1 to 63 letters, digits, '.', '_' or '-'",
        )
    return text


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``IP:port`` or ``[IPv6]:port``; raise ValueError if bad."""
    host, colon, port_text = text.rpartition(":")
    bare = host.removeprefix("[").removesuffix("]")
    try:
        address = ipaddress.ip_address(bare)
    except ValueError:
        colon = ""
    if not colon or (":" in bare) != host.startswith("["):
        raise ValueError(f"{text!r} is not an IP address and port")
    port = parse_integer(port_text)
    if port > 65535:
        raise ValueError(f"port {port} is outside 0 to 65535")
    return Endpoint(str(address), port)


def _parse_remote(text: str) -> Endpoint:
    """Parse an endpoint that others connect to."""
    endpoint = parse_endpoint(text)
    if ipaddress.ip_address(endpoint.host).is_unspecified:
        raise ValueError(f"{text!r} is not an address others can reach")
    return endpoint


def _parse_fixed(text: str) -> Endpoint:
    """Parse an endpoint that others connect to, with its port."""
    endpoint = _parse_remote(text)
    if not endpoint.port:
        raise ValueError(f"{text!r} needs a port other than 0")
    return endpoint


def _parse_loopback(text: str) -> Endpoint:
    endpoint = parse_endpoint(text)
    if not ipaddress.ip_address(endpoint.host).is_loopback:
        raise ValueError(f"{text!r} is not a loopback address")
    return endpoint


def _parse_listen(text: str) -> Endpoint:
    endpoint = parse_endpoint(text)
    if not endpoint.port:
        raise ValueError(f"{text!r} needs a port other than 0")
    return endpoint


def parse_hosts(text: str) -> Mapping[str, Endpoint]:
    """Parse lines of ``name IP:port``; raise ValueError if any is bad."""
    pairs: list[tuple[str, Endpoint]] = []
    for line in filter(None, map(str.strip, text.splitlines())):
        name, _, address = line.partition(" ")
        pairs.append((parse_name(name), _parse_fixed(address.strip())))
    if not pairs:
        raise ValueError("lists no host")
    _refuse_repeated(pairs)
    return dict(pairs)


def _refuse_repeated(pairs: list[tuple[str, Endpoint]]) -> None:
    repeated = find_duplicates(name for name, _ in pairs) + find_duplicates(
        str(endpoint) for _, endpoint in pairs
    )
    if repeated:
        raise ValueError(f"{', '.join(repeated)} occurs more than once")


def parse_level(text: str) -> str:
    """Return a log level; raise ValueError if it isn't one."""
    if text not in LEVELS:
        raise ValueError(f"{text!r} is none of {', '.join(LEVELS)}")
    return text


def _bound(
    parse: Callable[[str], T],
    least: T,
    most: T,
    show: Callable[[T], str],
) -> Callable[[str], T]:
    """Return a parser that refuses values outside of a range."""

    def parse_bounded(text: str) -> T:
        value = parse(text)
        if not least <= value <= most:  # type: ignore[operator]
            raise ValueError(
                f"{text} is outside {show(least)} to {show(most)}",
            )
        return value

    return parse_bounded


PARSE_BODY: Final = _bound(parse_size, 0, BODY_LIMIT_MAX_BYTES, format_size)
PARSE_HEADERS: Final = _bound(
    parse_size,
    1024,
    HEADERS_LIMIT_MAX_BYTES,
    format_size,
)
PARSE_DRAIN: Final = _bound(
    parse_duration,
    timedelta(0),
    timedelta(minutes=10),
    format_duration,
)
PARSE_EVERY: Final = _bound(parse_integer, 1, 10_000_000, str)


def _parse_secret(text: str) -> bytes:
    # The text is a secret, so no message quotes it.
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


def _check_mode(ini: IniFile, path: Path) -> None:
    """Refuse a file of secrets that other users can read or change."""
    mode = path.stat().st_mode
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        ini.report(
            "",
            "",
            f"mode {stat.S_IMODE(mode):04o} lets others use it; "
            "set it to 0600",
        )


def load_secrets(path: Path, required: tuple[str, ...]) -> Secrets:
    """Read a secrets file; raise FileError SETTING_INVALID if bad.

    ``required`` names the sections that must be there: a node needs
    ``fleet``, a control host both, an operator ``operators``.
    """
    ini = read_ini(path, ErrorCode.SETTING_INVALID)
    _check_mode(ini, path)
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


def _take_access(
    ini: IniFile,
    path: Path,
    required: tuple[str, ...],
) -> Secrets | None:
    """Load the secrets file, which is relative to the settings file."""
    name = ini.take("access", "secrets", _parse_path)
    if name is None:
        return None
    try:
        return load_secrets(path.parent / name, required)
    except FileError as error:
        ini.problems.extend(error.problems)
        return None


def _parse_path(text: str) -> Path:
    if not text.isprintable() or not text:
        raise ValueError(f"{text!r} is not a path")
    return Path(text)


def _check_listeners(ini: IniFile, section: str, keys: list[str]) -> None:
    """Refuse two listeners on one address; called before keys are taken."""
    values = ini.sections.get(section, {})
    used = [values[k] for k in keys if k in values]
    for value in find_duplicates(used):
        if not value.endswith(":0"):
            ini.report(section, "", f"{value} is used twice")


def _resolve(path: Path, name: Path | None) -> Path | None:
    return None if name is None else (path.parent / name).absolute()


def load_node_settings(path: Path) -> NodeSettings:
    """Read a node's settings; raise FileError with all problems."""
    ini = read_ini(path, ErrorCode.SETTING_INVALID)
    _check_listeners(ini, "listen", list(NODE_KEYS["listen"]))
    values: dict[str, Any] = {
        "name": ini.take("node", "name", parse_name),
        "domain": ini.take("node", "domain", parse_name),
        "region": ini.take("node", "region", parse_name),
        "callers": ini.take("listen", "callers", parse_endpoint),
        "peers": ini.take("listen", "peers", _parse_remote),
        "local": ini.take("listen", "local", _parse_loopback),
        "metrics": ini.take_optional("listen", "metrics", parse_endpoint),
        "control_hosts": ini.take("control", "hosts", parse_hosts),
        "secrets": _take_access(ini, path, ("fleet",)),
        "body_limit": ini.take(
            "limits", "body", PARSE_BODY, BODY_LIMIT_MAX_BYTES
        ),
        "headers_limit": ini.take(
            "limits",
            "headers",
            PARSE_HEADERS,
            DEFAULT_HEADERS_LIMIT_BYTES,
        ),
        "drain_timeout": ini.take(
            "limits",
            "drain_timeout",
            PARSE_DRAIN,
            timedelta(seconds=30),
        ),
        "log_level": ini.take("log", "level", parse_level, "info"),
    }
    ini.report_unknown(NODE_KEYS)
    ini.raise_problems(ErrorCode.SETTING_INVALID)
    # Without problems every required value is there.
    return NodeSettings(**values)


def _take_replicas(ini: IniFile) -> Mapping[str, Endpoint]:
    """Take the entries of [replicas] and check them together."""
    replicas: dict[str, Endpoint] = {}
    for name in tuple(ini.sections.get("replicas", {})):
        endpoint = ini.take("replicas", name, _parse_fixed)
        if not NAME.fullmatch(name):
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


def _check_itself(
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
    """Read a control host's settings; raise FileError with problems."""
    ini = read_ini(path, ErrorCode.SETTING_INVALID)
    name = ini.take("control", "name", parse_name)
    listen = ini.take("control", "listen", _parse_listen)
    replicas = _take_replicas(ini)
    _check_itself(ini, name, listen, replicas)
    values: dict[str, Any] = {
        "name": name,
        "domain": ini.take("control", "domain", parse_name),
        "region": ini.take("control", "region", parse_name),
        "data": _resolve(path, ini.take("control", "data", _parse_path)),
        "listen": listen,
        "replicas": replicas,
        "secrets": _take_access(ini, path, ("fleet", "operators")),
        "log_level": ini.take("log", "level", parse_level, "info"),
        "snapshot_every": ini.take(
            "snapshot",
            "every",
            PARSE_EVERY,
            10_000,
        ),
    }
    ini.report_unknown(CONTROL_KEYS)
    ini.raise_problems(ErrorCode.SETTING_INVALID)
    return ControlSettings(**values)
