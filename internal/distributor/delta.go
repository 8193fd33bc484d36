package distributor

import "bytes"

// Part is one step of a delta: it copies Count pieces of the old body, beginning with piece From, and appends Data.
// It is immutable.
type Part struct {
	From  int
	Count int
	Data  []byte
}

// Diff returns the delta that turns old into next.
func Diff(old, next []byte) []Part {
	oldPieces := split(old)
	at := make(map[string]int, len(oldPieces))
	for i, p := range oldPieces {
		if _, ok := at[string(p)]; !ok {
			at[string(p)] = i
		}
	}
	var parts []Part
	var run Part
	for _, p := range split(next) {
		follow := run.From + run.Count
		switch i, ok := at[string(p)]; {
		case len(run.Data) == 0 && run.Count > 0 && follow < len(oldPieces) && bytes.Equal(oldPieces[follow], p):
			run.Count++
		case ok:
			parts = appendPart(parts, run)
			run = Part{From: i, Count: 1}
		default:
			run.Data = append(run.Data, p...)
		}
	}
	return appendPart(parts, run)
}

// Apply returns the body that results from applying a delta to old. It reports false for parts outside old.
func Apply(old []byte, parts []Part) ([]byte, bool) {
	pieces := split(old)
	var next []byte
	for _, p := range parts {
		if p.From < 0 || p.Count < 0 || p.From+p.Count > len(pieces) {
			return nil, false
		}
		for _, piece := range pieces[p.From : p.From+p.Count] {
			next = append(next, piece...)
		}
		next = append(next, p.Data...)
	}
	return next, true
}

func appendPart(parts []Part, p Part) []Part {
	if p.Count == 0 && len(p.Data) == 0 {
		return parts
	}
	return append(parts, p)
}

// split cuts a body into pieces after each closing brace and each line end. In the encoded documents these end an
// element, so that a change of one element leaves the other pieces unchanged.
func split(body []byte) [][]byte {
	var pieces [][]byte
	for len(body) > 0 {
		i := bytes.IndexAny(body, "}\n")
		if i < 0 {
			i = len(body) - 1
		}
		pieces = append(pieces, body[:i+1:i+1])
		body = body[i+1:]
	}
	return pieces
}
