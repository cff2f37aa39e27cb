from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.register_profile("long", max_examples=2000, deadline=None)
settings.load_profile("ci")
