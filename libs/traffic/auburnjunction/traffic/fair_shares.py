"""Max-min fair division of an amount among demands."""

from collections.abc import Mapping


def divide_fairly(
    amount: float, demands: Mapping[str, float]
) -> dict[str, float]:
    """Return the part of each demand, as equal as the demands allow.

    What a small demand leaves of its equal part goes to the larger ones.
    """
    parts = {}
    left = amount
    by_size = sorted(demands.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(by_size):
        parts[name] = min(demand, left / (len(by_size) - index))
        left -= parts[name]
    return parts
