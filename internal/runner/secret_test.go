package runner_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/runner"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Guards against an entry whose operators' interface is open to everybody because the token is missing, empty or short
// enough to be guessed. An empty pepper is refused too, since it would let anybody compute the hashes of keys.
func TestEntryNeedsAnOperatorToken(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	pepper := filepath.Join(folder, "pepper")
	c.Assert(os.WriteFile(pepper, []byte("pepper"), 0o600), qt.IsNil)
	for name, text := range map[string]string{"empty": "", "blank": "                        \n", "short": "secret\n"} {
		c.Assert(os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600), qt.IsNil)
	}
	for _, name := range []string{"missing", "empty", "blank", "short"} {
		_, err := runner.StartEntry(loader.Settings{
			Name: "entry", Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Pepper: pepper,
			Operator: filepath.Join(folder, name), TLS: loader.TLS{Plain: true},
		}, nil)
		c.Check(err, qt.ErrorMatches, "read operator token: .*", qt.Commentf(name))
	}
	c.Assert(os.WriteFile(pepper, []byte("\n"), 0o600), qt.IsNil)
	_, err := runner.StartEntry(loader.Settings{Pepper: pepper}, nil)
	c.Check(err, qt.ErrorMatches, "read pepper: .* is empty")
}
