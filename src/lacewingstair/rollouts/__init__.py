"""Rollouts ordered by tickets: schedule, evidence, judges and marks."""
