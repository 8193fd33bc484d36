package archiver_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/archiver"
	"github.com/mimosalb/mimosalb/internal/distributor"
)

// Guards against a restarted node that starts with a copy other than the one it saved, or with a damaged or truncated
// one.
func TestSavedCopyIsChecked(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	a := archiver.NewArchiver(folder, "config.copy")
	_, _, err := a.Load()
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
	saved := distributor.NewCopy(7, []byte("{\"revision\":7}\n{}")).WithStored(42)
	c.Assert(a.Save(saved, time.Unix(1000, 0)), qt.IsNil)
	got, provenAt, err := a.Load()
	c.Assert(err, qt.IsNil)
	c.Assert(got.Revision(), qt.Equals, saved.Revision())
	c.Assert(got.Digest(), qt.Equals, saved.Digest())
	c.Assert(got.Stored(), qt.Equals, int64(42))
	c.Assert(provenAt.Equal(time.Unix(1000, 0)), qt.IsTrue)

	file := filepath.Join(folder, "config.copy")
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	for cut := range len(data) {
		c.Assert(os.WriteFile(file, data[:cut], 0o600), qt.IsNil)
		_, _, err = a.Load()
		c.Assert(errors.Is(err, archiver.ErrDamaged), qt.IsTrue, qt.Commentf("first %d bytes", cut))
	}
	left, err := filepath.Glob(filepath.Join(folder, ".copy-*"))
	c.Assert(err, qt.IsNil)
	c.Assert(left, qt.HasLen, 0)
}
