"""Programs for developers that stay outside the package."""
