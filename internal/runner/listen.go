package runner

import (
	"context"
	"fmt"
	"net"
)

// listen opens a TCP listener. Port 0 lets the system choose a free one.
func listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
