package estimator

import (
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens identifier.Tokens
}

// Shape is what a request says about its size. It is immutable; the zero value says nothing.
type Shape struct {
	Model identifier.Model
	// Prompt is the number of prompt tokens, and Hint the number of output tokens that the caller expects.
	Prompt identifier.Tokens
	Hint   identifier.Tokens
	// Parts are the parts of the prompt, in order.
	Parts []Part
}

// Features are what is known of an attempt before it begins.
type Features struct {
	Service identifier.Service
	Route   string
	Path    string
	Shape   Shape
	// Held is set if the target has the shared part of the prompt.
	Held bool
}

// kind selects attempts that are expected to be alike. Its later fields are zero in the kinds above it.
type kind struct {
	service identifier.Service
	route   string
	model   identifier.Model
	path    string
	prompt  int8
	held    bool
	hint    int8
	level   int8
}

// levels is the number of kinds that an attempt belongs to, from its service down to all of its features.
const levels = 4

// kinds returns the kinds of an attempt, the widest first. What a caller hints comes last, so that it counts only as far as attempts
// with that hint were observed to differ from the others.
func (f Features) kinds() [levels]kind {
	service := kind{service: f.Service}
	route := service
	route.route, route.model, route.level = f.Route, identifier.Model(limited(string(f.Shape.Model))), 1
	prompt := route
	prompt.path, prompt.prompt, prompt.held, prompt.level = limited(stem(f.Path)), class(f.Shape.Prompt), f.Held, 2
	hint := prompt
	hint.hint, hint.level = class(f.Shape.Hint), 3
	return [levels]kind{service, route, prompt, hint}
}

// maxNameBytes bounds the names in a kind, which callers may make up.
const maxNameBytes = 64

// limited returns the beginning of a name.
func limited(name string) string { return name[:min(len(name), maxNameBytes)] }

// owned returns a copy of k that does not keep the requests in memory of which its names are parts.
func (k kind) owned() kind {
	k.model, k.path = identifier.Model(strings.Clone(string(k.model))), strings.Clone(k.path)
	return k
}

// classesPerDoubling is the number of classes between a number of tokens and its double.
const classesPerDoubling = 2

// class returns the class of a number of tokens, zero for none.
func class(n identifier.Tokens) int8 {
	if n <= 0 {
		return 0
	}
	return int8(1 + math.Round(classesPerDoubling*math.Log2(float64(n))))
}

// stemSegments is the number of segments of a path that tell kinds apart. Later ones often name a single item.
const stemSegments = 2

// stem returns the first segments of a path.
func stem(path string) string {
	end := 0
	for range stemSegments {
		next := strings.IndexByte(path[min(end+1, len(path)):], '/')
		if next < 0 {
			return path
		}
		end += 1 + next
	}
	return path[:end]
}

// sharedShare is the inverse of the part of a prompt that its shared part makes at least. The parts after it are usually the prompt's own.
const sharedShare = 2

// SharedKey returns a key of the leading parts of the prompt that make most of it, or zero if the prompt has no parts.
func (s Shape) SharedKey() uint64 {
	var total, sum identifier.Tokens
	for _, p := range s.Parts {
		total += p.Tokens
	}
	var h xxhash.Digest
	for _, p := range s.Parts {
		_, _ = h.WriteString(string(s.Model) + " " + p.ID + " ") // writing to a hash never fails
		if sum += p.Tokens; sharedShare*sum >= total {
			return max(h.Sum64(), 1)
		}
	}
	return 0
}
