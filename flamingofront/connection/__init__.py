"""What lives for a connection: guarded server, client, framing, event streams."""

__all__ = []
