package demonstrator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// Serve executes the demo scenario like Run, then writes a guide to out and keeps the deployment running until ctx
// ends.
func Serve(ctx context.Context, out, log io.Writer) error {
	return withDeployment(log, func(s *Session) error {
		if err := s.runSteps(ctx, out, Steps()); err != nil {
			return err
		}
		if _, err := io.WriteString(out, s.guide()); err != nil {
			return fmt.Errorf("write guide: %w", err)
		}
		<-ctx.Done()
		return nil
	})
}

// guide returns a text with the addresses and keys of the deployment and example commands.
func (s *Session) guide() string {
	var b strings.Builder
	d := s.Deployment
	callers, operators, token := "http://"+d.Entries[0].Callers, "http://"+d.Entries[0].Operators, filepath.Join(d.folder, operatorFile)
	fmt.Fprintf(&b, "\ncallers    %s\noperators  %s\ntoken      %s\n", callers, operators, token)
	for _, name := range slices.Sorted(maps.Keys(d.Standin.Addresses)) {
		fmt.Fprintf(&b, "stand-in   http://%s  %s\n", d.Standin.Addresses[name], name)
	}
	// The step withdrawKey withdrew the guest's key.
	for _, name := range []string{"clerk", "driver"} {
		fmt.Fprintf(&b, "key        %s  %s\n", s.Keys[name], name)
	}
	fmt.Fprintf(&b, `
curl -sN %s/v1/completions -H 'Authorization: Bearer %s' -d '{"model":"sortmind","prompt":"quote for depot","max_tokens":8,"stream":true}'
curl -s %s/v1/services/manifest/check -H 'Authorization: Bearer %s' -d '{"manifest":"17"}'
curl -s %s/v1/config -H "Authorization: Bearer $(cat %s)"
curl -s -X PUT http://%s/switches -d '{"hang":true}'
mimosactl --address %s --token %s status

Ctrl-C ends the deployment.
`, callers, s.Keys["driver"], callers, s.Keys["clerk"], operators, token, d.Standin.Addresses["sortmind-1"], operators, token)
	return b.String()
}
