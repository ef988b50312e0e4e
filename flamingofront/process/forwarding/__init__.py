"""The entry process that forwards routes kept in the platform's store."""
