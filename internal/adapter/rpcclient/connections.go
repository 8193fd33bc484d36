package rpcclient

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	open := 0
	for _, e := range c.endpoints.Values() {
		if e.current() != nil {
			open++
		}
	}
	return open
}
