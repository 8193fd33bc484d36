package runner

import (
	"fmt"

	"github.com/mimosalb/mimosalb/internal/adapter/certifier"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// peerOptions holds the options for connections between the system's own processes: mutual TLS, or none if the settings
// disable TLS.
type peerOptions struct {
	server []rpcserver.Option
	client []rpcclient.Option
}

func newPeerOptions(s loader.TLS, clock timer.Service, log *logger.Logger) (peerOptions, error) {
	if s.Plain {
		log.Emit(logger.PeersUnencrypted)
		return peerOptions{}, nil
	}
	files := certifier.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
	c, err := certifier.NewCertifier(files, clock, log)
	if err != nil {
		return peerOptions{}, fmt.Errorf("set up TLS: %w", err)
	}
	return peerOptions{
		server: []rpcserver.Option{rpcserver.WithTLS(c.Server())},
		client: []rpcclient.Option{rpcclient.WithTLS(c.Client())},
	}, nil
}
