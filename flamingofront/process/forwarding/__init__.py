"""Entry process that forwards requests along routes kept in the platform's store."""
