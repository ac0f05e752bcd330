"""The soak of process ends: one real node process a seed, under signals in series and clients that go on.

``scenario`` draws everything from the seed, ``backends`` and ``clients`` are the node's peers, ``player``
plays one seed and judges it by ``testbed.checker``. Nothing here depends on the code of a node.
"""
