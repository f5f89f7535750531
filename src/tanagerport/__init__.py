"""Request scheduler for language model engines and plain services."""

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
