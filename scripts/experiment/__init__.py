"""The load and experiment tool: the users' mixes against policies."""
