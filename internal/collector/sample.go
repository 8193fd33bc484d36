package collector

import (
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// VersionRange holds the weights, adapter and engine that generated the tokens [From, To).
type VersionRange struct {
	Version     identifier.Version
	From        identifier.Tokens
	To          identifier.Tokens
	Adapter     string
	Target      identifier.Target
	Incarnation identifier.Incarnation
}

// Sample is one finished rollout. It is immutable.
type Sample struct {
	Group  Group
	Index  int
	Text   string
	Tokens identifier.Tokens
	Ranges []VersionRange
}

// NewSample returns the sample of a complete answer. Its ranges hold the versions that the engine reported with the
// pieces.
func NewSample(g Group, index int, pieces []streamer.Piece) Sample {
	s := Sample{Group: g, Index: index}
	var text strings.Builder
	for _, p := range pieces {
		text.Write(p.Data)
		if p.Tokens == 0 {
			continue
		}
		s.Ranges = extendRanges(s.Ranges, p, s.Tokens)
		s.Tokens += p.Tokens
	}
	s.Text = text.String()
	return s
}

// extendRanges adds the tokens of a piece to the last range if the same weights, adapter and engine generated both, and
// appends a new range otherwise.
func extendRanges(ranges []VersionRange, p streamer.Piece, from identifier.Tokens) []VersionRange {
	next := VersionRange{
		Version: p.Version, From: from, To: from + p.Tokens, Adapter: p.Adapter, Target: p.Target, Incarnation: p.Incarnation,
	}
	if n := len(ranges); n > 0 {
		last := ranges[n-1]
		last.From, last.To = next.From, next.To
		if last == next {
			ranges[n-1].To = next.To
			return ranges
		}
	}
	return append(ranges, next)
}

// Oldest returns the oldest weight version in the sample; zero when any token's version is unknown.
func (s Sample) Oldest() identifier.Version {
	var oldest identifier.Version
	for i, r := range s.Ranges {
		if r.Version == 0 {
			return 0
		}
		if i == 0 || r.Version < oldest {
			oldest = r.Version
		}
	}
	return oldest
}

// size returns the approximate memory use of the sample in bytes.
func (s Sample) size() identifier.Bytes {
	const perRange = 64
	return identifier.Bytes(len(s.Text) + perRange*len(s.Ranges))
}
