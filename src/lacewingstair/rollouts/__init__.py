"""Rollouts defined by tickets: schedule, evidence, statistical analysis and marks."""
