"""Settings of the C library's memory allocator."""

import ctypes

__all__ = ["return_large_blocks"]

# Parameter of mallopt in the GNU C library.
_M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Let the allocator give large blocks back to the system when they are freed.

    Returns
    -------
    bool
        False if the C library has no such setting.

    Notes
    -----
    The GNU C library raises the size from which blocks are mapped on their own to that of the
    largest mapped block that was freed. Large bodies would then fragment the heap, which stays
    large as long as anything is in use at its end.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
