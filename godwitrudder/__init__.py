"""A router fleet for prepaid token budgets.

The package is laid out by life span: ``request`` holds what lives for one
request, ``connection`` what lives for one connection, ``version`` what an
offset of the platform's log defines, ``process`` what lives as long as the
daemon.  ``platform`` holds the interfaces of the platform's services.
"""
