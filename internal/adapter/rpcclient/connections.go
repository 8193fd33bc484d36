package rpcclient

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	open := 0
	for _, l := range c.lanes.Values() {
		if l.current() != nil {
			open++
		}
	}
	return open
}
