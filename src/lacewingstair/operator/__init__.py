"""HTTP interface and report for operators."""
