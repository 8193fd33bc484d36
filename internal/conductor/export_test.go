package conductor

// Processes returns the number of registered processes that this one knows.
func (c *Conductor) Processes() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.members)
}

// ResultDelay is resultDelay for tests.
var ResultDelay = resultDelay
