"""The HTTP port for operators, and the reference of error kinds."""
