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

// Guards against an entry that says 404 of a service that exists, because it was started again and has no configuration
// yet: a caller does not send such a request again.
func TestEntryWithoutConfigurationSaysSo(t *testing.T) {
	c := qt.New(t)
	auth := authenticator.NewAuthenticator(authenticator.WithPepper([]byte(pepper)))
	address := start(c, httpserver.NewServer(health(), httpserver.NewCallerRoutes(full{}, auth, &configurator.Configurator{})))
	var out strings.Builder
	for _, ask := range [][2]string{
		{"POST /v1/services/ledger/pledges", "{}"},
		{"POST /v1/completions", `{"model":"matcher","prompt":"a"}`},
	} {
		fmt.Fprintf(&out, "%s\n  %s\n", ask[0], send(c, address, strings.NewReader(request(ask[0], key, "", ask[1]))))
	}
	goldie.New(t).Assert(t, "unconfigured", []byte(out.String()))
}
