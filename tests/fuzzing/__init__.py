"""What comes from outside, drawn by hypothesis."""
