"""Request handling: admission, endpoint choice, attempts, response assembly and claims."""

__all__ = []
