"""Typed messages between the VMs of the system."""

from burdockdrum.peers.authentication import PayloadAuthenticator
from burdockdrum.peers.identity import VmIdentity
from burdockdrum.peers.messages import Message
from burdockdrum.peers.messages import Sender
from burdockdrum.peers.peers import CallFailed
from burdockdrum.peers.peers import Peers
from burdockdrum.peers.services import add_services
from burdockdrum.peers.starts import StartNumber
from burdockdrum.peers.traffic import Distance
from burdockdrum.peers.traffic import Traffic

__all__ = [
    "add_services",
    "CallFailed",
    "Distance",
    "Message",
    "PayloadAuthenticator",
    "Peers",
    "Sender",
    "StartNumber",
    "Traffic",
    "VmIdentity",
]
