package registrar

import (
	"errors"
	"fmt"
	"time"
)

const (
	// maxNameBytes is the longest identifier, service, availability zone, release or model of a listing.
	maxNameBytes = 200
	// maxSlots is the largest number of slots of a target. A larger one would draw all work to that target.
	maxSlots = 4096
	// maxModels is the largest number of models of a target.
	maxModels = 256
	// maxCold is the longest time for which a target may say that it is cold. One that says longer names the wrong unit.
	maxCold = time.Hour
)

// ErrUnusable is the error of a listing that names no target to use.
var ErrUnusable = errors.New("listing not usable")

// Check returns an error that wraps ErrUnusable if a field is missing or out of range. Other writers may leave such listings
// among the sound ones.
func (l Listing) Check() error {
	for name, value := range map[string]string{
		"id": string(l.ID), "service": string(l.Service), "availability zone": string(l.Zone), "address": l.Address,
		"release": string(l.Release),
	} {
		if value == "" || len(value) > maxNameBytes {
			return fmt.Errorf("%w: %s has %d bytes, want 1 to %d", ErrUnusable, name, len(value), maxNameBytes)
		}
	}
	if l.Slots < 1 || l.Slots > maxSlots {
		return fmt.Errorf("%w: %d slots, want 1 to %d", ErrUnusable, l.Slots, maxSlots)
	}
	if l.Cold < 0 || l.Cold > maxCold {
		return fmt.Errorf("%w: cold for %v, want 0 to %v", ErrUnusable, l.Cold, maxCold)
	}
	if len(l.Versions) > maxModels {
		return fmt.Errorf("%w: %d models, want at most %d", ErrUnusable, len(l.Versions), maxModels)
	}
	for m := range l.Versions {
		if m == "" || len(m) > maxNameBytes {
			return fmt.Errorf("%w: a model's name has %d bytes, want 1 to %d", ErrUnusable, len(m), maxNameBytes)
		}
	}
	return nil
}
