"""Overload control layer for service call graphs."""

from typing import Final

__version__: Final = "0.1.0"
