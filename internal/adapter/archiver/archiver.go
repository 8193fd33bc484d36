// Package archiver keeps a checked copy of a relayed document in the data folder of a VM that has one.
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

// ErrDamaged means that a saved copy does not have the digest that was saved with it.
var ErrDamaged = errors.New("saved copy is damaged")

// header begins a saved copy: revision, store revision, time of the last proof in Unix seconds, digest.
const header = "mimosalb-copy %d %d %d %s\n"

// Archiver saves copies in one file.
type Archiver struct {
	folder string
	file   string
}

// NewArchiver returns the archiver of the named document in folder.
func NewArchiver(folder, name string) *Archiver {
	return &Archiver{folder: folder, file: filepath.Join(folder, name)}
}

// Save replaces the saved copy. proven is the time of the last proof of freshness; zero is none. After a crash at any
// step the file holds the old copy or the new one.
func (a *Archiver) Save(c distributor.Copy, proven time.Time) error {
	f, err := os.CreateTemp(a.folder, ".copy-*")
	if err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	digest := c.Digest()
	seconds := int64(0)
	if !proven.IsZero() {
		seconds = proven.Unix()
	}
	_, err = fmt.Fprintf(f, header, c.Revision(), c.Stored(), seconds, hex.EncodeToString(digest[:]))
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

// Load returns the saved copy and the time of its last proof. The error wraps os.ErrNotExist when there is none and
// ErrDamaged when it can't be used.
func (a *Archiver) Load() (distributor.Copy, time.Time, error) {
	data, err := os.ReadFile(a.file)
	if err != nil {
		return distributor.Copy{}, time.Time{}, fmt.Errorf("load copy: %w", err)
	}
	head, body, _ := bytes.Cut(data, []byte("\n"))
	var revision uint64
	var stored, seconds int64
	var sum string
	if _, err := fmt.Sscanf(string(head)+"\n", header, &revision, &stored, &seconds, &sum); err != nil {
		return distributor.Copy{}, time.Time{}, fmt.Errorf("load copy: %w: %w", ErrDamaged, err)
	}
	c := distributor.NewCopy(identifier.Revision(revision), body).WithStored(stored)
	digest := c.Digest()
	if hex.EncodeToString(digest[:]) != sum {
		return distributor.Copy{}, time.Time{}, fmt.Errorf("load copy: %w", ErrDamaged)
	}
	if seconds == 0 {
		return c, time.Time{}, nil
	}
	return c, time.Unix(seconds, 0), nil
}

// syncFolder makes the rename durable.
func (a *Archiver) syncFolder() error {
	d, err := os.Open(a.folder)
	if err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("save copy: %w", err)
	}
	return nil
}
