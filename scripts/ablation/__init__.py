"""An ablation study of the policy's mechanisms."""
