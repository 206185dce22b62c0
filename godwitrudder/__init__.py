"""A router fleet for prepaid token budgets.

The subpackages follow the lifetime of their state: ``request`` holds the state of
one request, ``connection`` that of one connection, ``version`` state that is defined
by an offset of the platform's log, ``process`` state that lives as long as the
daemon.  ``platform`` holds the interfaces of the platform's services, ``ctl`` the
operators' command line.
"""
