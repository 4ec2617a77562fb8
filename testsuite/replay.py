"""Simulates the calls of a load with one placement that sees all calls.

Each chat stays at one engine. The simulated engines cache prefixes as the
stand-in engine does: limited by tokens, with least recently used eviction.
"""

import collections

from harness import read_json_lines


class PrefixCache:
    def __init__(self, capacity):
        self.m_capacity = capacity
        self.m_used = 0
        self.m_tokens = collections.OrderedDict()  # Least recently used first.

    def match(self, prefixes, tokens):
        """Returns the token count of the longest cached prefix."""
        matched = 0
        for prefix, count in zip(prefixes, tokens):
            if prefix not in self.m_tokens:
                break
            matched += count
        return matched

    def store(self, prefixes, tokens):
        for prefix, count in reversed(list(zip(prefixes, tokens))):
            if prefix not in self.m_tokens:
                self.m_tokens[prefix] = count
                self.m_used += count
            self.m_tokens.move_to_end(prefix)
        while self.m_used > self.m_capacity:
            _, count = self.m_tokens.popitem(last=False)
            self.m_used -= count


def reuse_ceiling(trace, engines, capacity, window):
    """Returns the share of prompt tokens found in a cache, in a window of
    seconds, when each new chat goes to the engine with the fewest tokens."""
    caches = [PrefixCache(capacity) for _ in range(engines)]
    placed_tokens = [0] * engines
    engine_of_chat = {}
    cached = prompt = 0
    for call in read_json_lines(trace):
        prefixes, tokens = call["prefixes"], call["tokens"]
        chat = prefixes[min(1, len(prefixes) - 1)]
        if chat not in engine_of_chat:
            engine_of_chat[chat] = placed_tokens.index(min(placed_tokens))
        engine = engine_of_chat[chat]
        placed_tokens[engine] += sum(tokens)
        matched = caches[engine].match(prefixes[:-1], tokens[:-1])
        caches[engine].store(prefixes, tokens)
        if window[0] <= call["ms"] / 1000 < window[1]:
            cached += matched
            prompt += sum(tokens[:-1])
    return round(cached / prompt, 4) if prompt else 0.0
