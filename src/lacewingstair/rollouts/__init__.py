"""Rollouts defined by tickets: schedule, evidence, canary analysis and marks."""
