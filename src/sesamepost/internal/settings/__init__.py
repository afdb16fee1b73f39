"""Settings of the daemon process and of the teams."""
