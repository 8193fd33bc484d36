// Package checker holds the findings of the checks of configurations. Each aggregate checks its own configuration; the findings are the
// same for all of them.
package checker

import (
	"cmp"
	"slices"
)

// Severity says whether a configuration with a finding can be put in force.
type Severity int

const (
	// Error means that the configuration is not put in force.
	Error Severity = iota
	// Warning means that the configuration can be put in force, but a part of it has no effect or contradicts another part.
	Warning
)

// String returns the name of the severity.
func (s Severity) String() string { return nameOf(int(s), "error", "warning") }

// Kind is the kind of a finding.
type Kind int

const (
	// Invalid is a value that its field doesn't allow.
	Invalid Kind = iota
	// Covered is an entry that an earlier or more specific one covers, so that it can never match.
	Covered
	// Unknown is a name of something that doesn't exist.
	Unknown
	// Unused is an entry or a field that can never take effect.
	Unused
	// Conflict is a value that contradicts another one.
	Conflict
	// Stale is a part that differs from the version in force and doesn't replace it.
	Stale
)

// String returns the name of the kind.
func (k Kind) String() string {
	return nameOf(int(k), "invalid", "covered", "unknown", "unused", "conflict", "stale")
}

// nameOf returns the name at index i.
func nameOf(i int, names ...string) string {
	if i < 0 || i >= len(names) {
		return "?"
	}
	return names[i]
}

// Place is a place in a configuration.
type Place struct {
	// Path names the field, such as teams[2].weight.
	Path string
	// Line is its line in the file, or zero if the configuration was not read from a file.
	Line int
}

// Finding is one result of a check. It is immutable; the zero value is an error of kind Invalid.
type Finding struct {
	Kind     Kind
	Severity Severity
	Place    Place
	Message  string
	// Other is the place that the finding refers to, such as the entry that covers this one. Its path is empty if there is none.
	Other Place
}

// New returns a finding at a path.
func New(s Severity, k Kind, path, message string) Finding {
	return Finding{Kind: k, Severity: s, Place: Place{Path: path}, Message: message}
}

// WithOther returns a copy of f that refers to another path.
func (f Finding) WithOther(path string) Finding {
	f.Other = Place{Path: path}
	return f
}

// WithLines returns a copy of f with the lines of its places. line returns the line of a path.
func (f Finding) WithLines(line func(path string) int) Finding {
	f.Place.Line = line(f.Place.Path)
	if f.Other.Path != "" {
		f.Other.Line = line(f.Other.Path)
	}
	return f
}

// String returns the severity, the path and the message.
func (f Finding) String() string {
	text := f.Severity.String() + ": " + f.Place.Path + ": " + f.Message
	if f.Other.Path != "" {
		text += " (see " + f.Other.Path + ")"
	}
	return text + " [" + f.Kind.String() + "]"
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Of returns the findings of a severity.
func Of(findings []Finding, s Severity) []Finding {
	return slices.DeleteFunc(slices.Clone(findings), func(f Finding) bool { return f.Severity != s })
}

// ByLine returns the findings in the order of their lines; those of one line keep their order.
func ByLine(findings []Finding) []Finding {
	sorted := slices.Clone(findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return cmp.Compare(a.Place.Line, b.Place.Line) })
	return sorted
}

// maxTexts bounds the findings of one log line; a configuration may have one for each of thousands of teams.
const maxTexts = 10

// Texts returns the first findings as text, for a log line.
func Texts(findings []Finding) []string {
	texts := make([]string, 0, maxTexts)
	for _, f := range findings[:min(len(findings), maxTexts)] {
		texts = append(texts, f.String())
	}
	return texts
}
