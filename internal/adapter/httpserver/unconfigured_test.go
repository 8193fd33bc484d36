package httpserver_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
)

// Guards against an entry that answers 404 for an existing service because it was restarted and has no configuration yet.
// A caller would not repeat a request after a 404.
func TestEntryWithoutConfigurationAnswers503(t *testing.T) {
	c := qt.New(t)
	auth := authenticator.NewAuthenticator(authenticator.WithPepper([]byte(pepper)))
	address := start(c, httpserver.NewServer(health(), httpserver.NewCallerRoutes(fullQueue{}, auth, &configurator.Configurator{})))
	goldie.New(t).Assert(t, "unconfigured", []byte(answers(c, address)))
}

// Guards against an entry that answers 401 to a valid key because it has adopted the configuration and not yet the keys in
// it.
func TestEntryWithoutKeysAnswers503(t *testing.T) {
	c := qt.New(t)
	config := &configurator.Configurator{}
	document := configurator.Document{}.WithRevision(1).WithServices(
		configurator.Service{Name: "ledger", Kind: configurator.Plain}, configurator.Service{Name: "matcher", Kind: configurator.Model})
	c.Assert(config.Adopt(document), qt.Equals, configurator.Adopted)
	auth := authenticator.NewAuthenticator(authenticator.WithPepper([]byte(pepper)))
	address := start(c, httpserver.NewServer(health(), httpserver.NewCallerRoutes(fullQueue{}, auth, config),
		httpserver.NewTrainerRoutes(nil, nil, auth, config)))
	goldie.New(t).Assert(t, "keyless", []byte(answers(c, address, [2]string{"POST /v1/runs", "{}"})))
}

// answers returns the answers to a call of each kind of service and to further calls.
func answers(c *qt.C, address string, further ...[2]string) string {
	var out strings.Builder
	for _, call := range append([][2]string{
		{"POST /v1/services/ledger/pledges", "{}"},
		{"POST /v1/completions", `{"model":"matcher","prompt":"a"}`},
	}, further...) {
		fmt.Fprintf(&out, "%s\n  %s\n", call[0], send(c, address, strings.NewReader(request(call[0], key, "", call[1]))))
	}
	return out.String()
}
