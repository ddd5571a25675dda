"""How the process's C library keeps the memory that Python frees."""

import ctypes

# malloc.h of the GNU C library.
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 128 * 1024


def return_large_buffers() -> bool:
    """Keep large buffers apart, so that they grow and end without holes.

    By default the library moves them to its heap after the first has been
    freed. There many that grow side by side leave holes, which stay with the
    process.

    :returns: whether the library supports it
    """
    library = ctypes.CDLL(None)
    if not hasattr(library, "mallopt"):
        return False
    return bool(library.mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES))
