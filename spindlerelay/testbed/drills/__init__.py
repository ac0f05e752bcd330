"""Drills: each module causes failures on the testbed and checks the claims about them.

A drill module is loaded by its name. It has ``NODES``, ``RUNS`` and ``CORES_EACH`` (cores that a job takes: a
number, or a function of the jobs), ``plan`` (the jobs), ``run`` (a job's figures, in a process of its own),
``merge`` (flat figures of all jobs) and ``failed`` (the claims that do not hold). It may have ``course``
(data for plots) and ``SEEDS``, ``KILLS`` or ``BEFORE``, which ``plan`` then takes. Keys of figures are
published names.
"""
