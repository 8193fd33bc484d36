package engine

import "sync"

// maxCachedWords is the number of prompt words above which the cache evicts its oldest prompts.
const maxCachedWords = 1 << 16

// prefixCache stores prompts and finds the longest prefix that a new prompt has in common with one of them.
type prefixCache struct {
	mu      sync.Mutex
	prompts [][]string
	words   int
}

func newPrefixCache() *prefixCache { return &prefixCache{} }

// matchAndAdd returns how many words at the start of the prompt are cached, and adds the prompt to the cache.
func (c *prefixCache) matchAndAdd(words []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := 0
	for _, p := range c.prompts {
		best = max(best, commonPrefix(p, words))
	}
	if best < len(words) {
		c.prompts = append(c.prompts, words)
		c.words += len(words)
	}
	for c.words > maxCachedWords {
		c.words -= len(c.prompts[0])
		c.prompts = c.prompts[1:]
	}
	return best
}

// commonPrefix returns the number of words in the common prefix of a and b.
func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
