"""Request scheduler for language model engines and plain services."""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tanagerport.exceptions import TanagerportError
    from tanagerport.node import Node, create_node
    from tanagerport.settings import Settings, load_settings

__all__ = [
    "Node",
    "Settings",
    "TanagerportError",
    "create_node",
    "load_settings",
]

_MODULE_BY_NAME = {
    "Node": "tanagerport.node",
    "Settings": "tanagerport.settings",
    "TanagerportError": "tanagerport.exceptions",
    "create_node": "tanagerport.node",
    "load_settings": "tanagerport.settings",
}


def __getattr__(name: str) -> Any:
    """Imports a public name on first use.

    The gateway imports a few light modules of this package; importing the
    whole node with it would more than double its memory at rest.
    """
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
