package confiner

import "github.com/mimosalb/mimosalb/internal/identifier"

// Scope is where the bodies of a request or a batch job, and what is derived from them, may be. It is immutable and comparable. The zero
// value is unrestricted. Every path that moves a body asks AllowsTarget or AllowsEntry before it does.
type Scope struct {
	Regions Regions
	// Home is the region of the entry to which the client connected; it is empty if that is not known.
	Home identifier.Region
}

// NewScope returns the scope of work that an entry of a region accepts from a client.
func NewScope(home identifier.Region, allowed Regions) Scope {
	return Scope{Regions: allowed, Home: home}
}

// With returns a copy of s that is confined to the given regions as well, for example to those of a later configuration.
func (s Scope) With(r Regions) Scope {
	s.Regions = s.Regions.Intersect(r)
	return s
}

// Restricted reports whether any region is excluded.
func (s Scope) Restricted() bool { return s.Regions.Restricted() }

// AllowsTarget reports whether a target in a region may get the body.
func (s Scope) AllowsTarget(r identifier.Region) bool { return s.Regions.Allows(r) }

// AllowsEntry reports whether an entry in a region may hold the body. The region of the client's entry is always among those.
func (s Scope) AllowsEntry(r identifier.Region) bool {
	return s.Regions.Allows(r) || r != "" && r == s.Home
}

// SharesTexts reports whether work under other may use texts that were generated under s. Texts of restricted work stay within its own
// scope, and restricted work takes none that were generated outside of its own.
func (s Scope) SharesTexts(other Scope) bool {
	return s == other || !s.Restricted() && !other.Restricted()
}
