"""Typed messages between the system's own processes."""

from burdockdrum.peers.identity import VmIdentity
from burdockdrum.peers.messages import Message
from burdockdrum.peers.messages import Sender
from burdockdrum.peers.peers import CallFailed
from burdockdrum.peers.peers import Peers
from burdockdrum.peers.seal import Seal

__all__ = ["CallFailed", "Message", "Peers", "Seal", "Sender", "VmIdentity"]
