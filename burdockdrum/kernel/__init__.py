"""A micro-kernel: services that find each other by name."""

from burdockdrum.kernel.kernel import Kernel
from burdockdrum.kernel.kernel import ServiceError

__all__ = ["Kernel", "ServiceError"]
