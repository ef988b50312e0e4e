"""What lives as long as a configuration version: objects, edits, commits, the command language."""

__all__ = []
