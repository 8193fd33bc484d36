// Package engineclient runs calls on the target beside an agent: on a model engine through its /generate interface, or
// on a plain service over HTTP.
package engineclient

import (
	"net/http"
	"time"
)

const (
	// idleConnections is the number of connections to the target that stay open between calls.
	idleConnections = 256
	// answerLimit bounds the body of a plain service's answer in bytes.
	answerLimit = 16 << 20
	// headerTimeout bounds the wait for the first byte of an answer's header.
	headerTimeout = 2 * time.Minute
)

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:          idleConnections,
			MaxIdleConnsPerHost:   idleConnections,
			ResponseHeaderTimeout: headerTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
