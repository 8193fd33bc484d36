package engine

import "sync"

// cacheWords is the number of prompt words that the cache holds before it forgets the oldest prompt.
const cacheWords = 1 << 16

// prefixCache remembers prompts and finds the longest common prefix of a new one with any of them.
type prefixCache struct {
	mu      sync.Mutex
	prompts [][]string
	words   int
}

func newPrefixCache() *prefixCache { return &prefixCache{} }

// hit returns how many words at the front of the prompt are cached, and caches the prompt.
func (c *prefixCache) hit(words []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := 0
	for _, p := range c.prompts {
		best = max(best, common(p, words))
	}
	if best < len(words) {
		c.prompts = append(c.prompts, words)
		c.words += len(words)
	}
	for c.words > cacheWords {
		c.words -= len(c.prompts[0])
		c.prompts = c.prompts[1:]
	}
	return best
}

func common(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
