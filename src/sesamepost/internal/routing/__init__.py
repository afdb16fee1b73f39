"""Request handling for callers: choice of the owner, back-off and retries."""
