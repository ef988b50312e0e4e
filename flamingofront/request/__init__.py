"""What lives for a request: admission, choice of endpoint, attempts, assembly, claims."""

__all__ = []
