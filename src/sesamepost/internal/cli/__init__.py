"""``sesamepostctl``, the operators' command-line tool."""
