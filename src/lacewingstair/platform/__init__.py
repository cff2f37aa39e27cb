"""Translation between the platform's interfaces and the product's types.

Nothing outside this package knows the platform's paths, headers, keys or fields.
"""
