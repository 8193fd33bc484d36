package engineclient

import "net/http"

// SetTransport replaces the engine's HTTP transport. Over real connections a fuzz target exhausts the local ports.
func SetTransport(e *Engine, t http.RoundTripper) { e.client.Transport = t }
