package engineclient

import "net/http"

// SetTransport replaces the engine's connections, since a fuzz target would use up the ports of the machine.
func SetTransport(e *Engine, t http.RoundTripper) { e.client.Transport = t }
