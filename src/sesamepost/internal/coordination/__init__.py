"""What nodes agree on and keep through a shared store."""
