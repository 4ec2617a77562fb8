"""Replays the calls of a load with one omniscient placement.

Each chat stays at one engine for good. Engines keep prefixes as the stand-in
engine does: least recently used out, by tokens.
"""

import collections

from harness import read_json_lines


class PrefixCache:
    def __init__(self, capacity):
        self.m_capacity = capacity
        self.m_used = 0
        self.m_tokens = collections.OrderedDict()  # Oldest first.

    def match(self, prefixes, tokens):
        """Returns the tokens of the longest prefix that is held."""
        held = 0
        for prefix, count in zip(prefixes, tokens):
            if prefix not in self.m_tokens:
                break
            held += count
        return held

    def store(self, prefixes, tokens):
        for prefix, count in reversed(list(zip(prefixes, tokens))):
            if prefix not in self.m_tokens:
                self.m_tokens[prefix] = count
                self.m_used += count
            self.m_tokens.move_to_end(prefix)
        while self.m_used > self.m_capacity:
            _, count = self.m_tokens.popitem(last=False)
            self.m_used -= count


def best_reuse(trace, engines, capacity, window):
    """Returns the share of prompt tokens found in a cache, in a window of
    seconds, when each chat goes to one engine that has the fewest tokens."""
    caches = [PrefixCache(capacity) for _ in range(engines)]
    placed = [0] * engines
    home = {}
    cached = prompt = 0
    for call in read_json_lines(trace):
        prefixes, tokens = call["prefixes"], call["tokens"]
        chat = prefixes[min(1, len(prefixes) - 1)]
        if chat not in home:
            home[chat] = placed.index(min(placed))
        engine = home[chat]
        placed[engine] += sum(tokens)
        held = caches[engine].match(prefixes[:-1], tokens[:-1])
        caches[engine].store(prefixes, tokens)
        if window[0] <= call["ms"] / 1000 < window[1]:
            cached += held
            prompt += sum(tokens[:-1])
    return round(cached / prompt, 4) if prompt else 0.0
