"""Versioned configuration: objects, edits, commits, and the operators' command language."""

__all__ = []
