package collector

import (
	"fmt"
	"regexp"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// maxGroup bounds the samples of a group.
	maxGroup = 1024
	// maxStep bounds the samples of a step. It is four times the step size on the design page.
	maxStep = 32768
)

// runName matches valid names of runs, which are part of store keys and URLs.
var runName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Spec holds the parameters that a trainer sets when it opens a run. It is immutable.
type Spec struct {
	Run     RunID
	Team    identifier.Team
	Service identifier.Service
	// Adapter names the adapter that the engines apply; empty means none.
	Adapter string
	// Bound is the maximum age of a delivered sample in weight versions.
	Bound uint64
	// Group is the number of samples in a group. Step is the number of samples in a step, a multiple of Group.
	Group int
	Step  int
	// Scope is where the prompts and samples may be by the configuration at the opening of the run, with the region of the entry that opened
	// it. It is no parameter of the trainer.
	Scope confiner.Scope
}

// WithTeam returns a copy of s that belongs to the given team.
func (s Spec) WithTeam(t identifier.Team) Spec {
	s.Team = t
	return s
}

// Problem describes the first invalid field of the spec; empty when the spec is valid.
func (s Spec) Problem() string {
	switch {
	case !runName.MatchString(string(s.Run)):
		return "run: want lower-case letters, digits and hyphens, at most 63"
	case s.Service == "":
		return "service: want the name of a model service"
	case s.Group < 1 || s.Group > maxGroup:
		return fmt.Sprintf("group: want 1 to %d samples", maxGroup)
	case s.Step < s.Group || s.Step > maxStep || s.Step%s.Group != 0:
		return fmt.Sprintf("step: want a multiple of the group size, at most %d samples", maxStep)
	default:
		return ""
	}
}

// Groups returns the number of groups in a step.
func (s Spec) Groups() int { return s.Step / s.Group }
