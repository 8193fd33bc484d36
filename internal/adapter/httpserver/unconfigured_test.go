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
	var out strings.Builder
	for _, call := range [][2]string{
		{"POST /v1/services/ledger/pledges", "{}"},
		{"POST /v1/completions", `{"model":"matcher","prompt":"a"}`},
	} {
		fmt.Fprintf(&out, "%s\n  %s\n", call[0], send(c, address, strings.NewReader(request(call[0], key, "", call[1]))))
	}
	goldie.New(t).Assert(t, "unconfigured", []byte(out.String()))
}
