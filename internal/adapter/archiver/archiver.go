// Package archiver saves a relayed document, with its digest, in the data folder of a VM that has one.
package archiver

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// ErrDamaged means that a saved copy has a malformed header or does not match the digest in it.
var ErrDamaged = errors.New("saved copy is damaged")

// headerFormat is the format of the first line of a saved copy: revision, store revision, time of the last proof of
// freshness in Unix seconds (zero if there is none), digest in hexadecimal form.
const headerFormat = "mimosalb-copy %d %d %d %s\n"

// Archiver saves and loads the copy of one document in one file.
type Archiver struct {
	folder string
	file   string
}

// NewArchiver returns an Archiver that uses the file name in folder.
func NewArchiver(folder, name string) *Archiver {
	return &Archiver{folder: folder, file: filepath.Join(folder, name)}
}

// Save replaces the saved copy. provenAt is the time of the last proof of freshness; zero means none. After a crash at
// any step the file holds either the old copy or the new one.
func (a *Archiver) Save(c distributor.Copy, provenAt time.Time) error {
	f, err := os.CreateTemp(a.folder, ".copy-*")
	if err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	digest := c.Digest()
	seconds := int64(0)
	if !provenAt.IsZero() {
		seconds = provenAt.Unix()
	}
	_, err = fmt.Fprintf(f, headerFormat, c.Revision(), c.Stored(), seconds, hex.EncodeToString(digest[:]))
	if err == nil {
		_, err = f.Write(c.Body())
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), a.file)
	}
	if err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	return a.syncFolder()
}

// Load returns the saved copy and the time of its last proof of freshness. The error wraps os.ErrNotExist if there is
// no copy and ErrDamaged if it is not intact.
func (a *Archiver) Load() (distributor.Copy, time.Time, error) {
	data, err := os.ReadFile(a.file)
	if err != nil {
		return distributor.Copy{}, time.Time{}, fmt.Errorf("load copy: %w", err)
	}
	header, body, _ := bytes.Cut(data, []byte("\n"))
	var revision uint64
	var stored, seconds int64
	var savedDigest string
	if _, err := fmt.Sscanf(string(header)+"\n", headerFormat, &revision, &stored, &seconds, &savedDigest); err != nil {
		return distributor.Copy{}, time.Time{}, fmt.Errorf("load copy %s: %w: parse header: %w", a.file, ErrDamaged, err)
	}
	c := distributor.NewCopy(identifier.Revision(revision), body).WithStored(stored)
	digest := c.Digest()
	if hex.EncodeToString(digest[:]) != savedDigest {
		return distributor.Copy{}, time.Time{}, fmt.Errorf("load copy %s: %w: digest is %x, header has %s", a.file, ErrDamaged, digest, savedDigest)
	}
	if seconds == 0 {
		return c, time.Time{}, nil
	}
	return c, time.Unix(seconds, 0), nil
}

// syncFolder syncs the folder to make the rename durable.
func (a *Archiver) syncFolder() error {
	dir, err := os.Open(a.folder)
	if err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	return nil
}
