"""Logs and metrics on how evenly the servers of a pool are loaded."""

from collections.abc import Iterable
from typing import Final

from sequoiaseam._balancer import PoolBalance
from sequoiaseam._logs import Level, RateLimitedLog

# Servers of a pool whose loads differ by less are evenly loaded.
UNEVEN_LOAD_MIN: Final = 0.3


def log_balance(
    log: RateLimitedLog, host: str, balances: Iterable[PoolBalance]
) -> None:
    """Log the pools that are loaded unevenly or refused calls."""
    for balance in balances:
        spread = balance.fullest_load - balance.emptiest_load
        if spread >= UNEVEN_LOAD_MIN or balance.refused_with_capacity:
            log.log(
                Level.INFO,
                "load of the servers of a pool differs",
                host=host,
                pool=balance.pool,
                fullest=balance.fullest,
                fullest_load=round(balance.fullest_load, 2),
                emptiest=balance.emptiest,
                emptiest_load=round(balance.emptiest_load, 2),
                refused=balance.refused,
                refused_with_capacity=balance.refused_with_capacity,
            )


def format_balance_metrics(balances: Iterable[PoolBalance]) -> bytes:
    """Return the loads and refusals in the text format of Prometheus."""
    lines: list[str] = []
    for balance in balances:
        pool = f'pool="{escape_label(balance.pool)}"'
        gauges = {
            f'load{{{pool},server="fullest"}}': balance.fullest_load,
            f'load{{{pool},server="emptiest"}}': balance.emptiest_load,
            f"refused_calls{{{pool}}}": balance.refused,
            f"refused_calls_with_capacity{{{pool}}}": (
                balance.refused_with_capacity
            ),
        }
        lines += [
            f"sequoiaseam_pool_{name} {round(value, 3)}\n"
            for name, value in gauges.items()
        ]
    return "".join(lines).encode()


def escape_label(value: str) -> str:
    """Return a label's value with its special characters escaped."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
