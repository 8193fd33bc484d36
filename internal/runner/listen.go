package runner

import (
	"context"
	"fmt"
	"net"
)

// listen opens a TCP listener. With port 0 the operating system chooses a free port.
func listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
