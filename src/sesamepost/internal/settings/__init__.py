"""Settings of the process and of the teams."""
