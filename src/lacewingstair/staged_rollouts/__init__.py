"""Rollouts ordered through the platform's store: trial, load trial, shift, report."""
