"""Charge: the tokens that a workspace pays for one request when it has ended.

A workspace pays for what its caller got: the prompt once, however many runners worked
on it, and the output that was delivered.  A caller that got nothing pays nothing, also
if a runner may have worked on the request: its output was not delivered.  Until the
request has ended, its reservation covers the most that it can use.
"""

from __future__ import annotations


def charged_tokens(
    prompt: int, most_output: int, events: int, tokens_per_event: int, whole: bool
) -> int:
    """Return the tokens to charge for a request that has ended.

    Parameters
    ----------
    prompt, most_output : int
        Tokens of the prompt, and the most tokens of output, as the caller stated them.
    events : int
        Events of a stream that were passed on to the caller.
    tokens_per_event : int
        Most tokens in one event.
    whole : bool
        Whether a runner's successful answer without events was passed on; it is charged
        with the most that it can hold.
    """
    if whole:
        return prompt + most_output
    if not events:
        return 0
    return prompt + min(most_output, events * tokens_per_event)
