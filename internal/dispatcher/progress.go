package dispatcher

import (
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// progress is what a job has of its answer so far.
type progress struct {
	tokens identifier.Tokens
	text   []byte
	last   streamer.Piece
	// held are the pieces of an answer that can't be resumed. They are handed on only with the whole answer, since the
	// next attempt begins anew.
	held []streamer.Piece
}

// next returns the call of the next attempt, which continues after what the job has. When only the final record is
// missing, the attempt makes the last piece a second time for its record, and discard is set.
func (j *job) next() (call executor.Call, discard bool) {
	call, p := j.request.Call, &j.progress
	p.held = nil
	if !j.resumable() || p.tokens == 0 {
		return call, false
	}
	if p.tokens < call.Limit {
		return call.WithProgress(string(p.text), p.tokens), false
	}
	done := len(p.text) - len(p.last.Data)
	return call.WithProgress(string(p.text[:done]), p.tokens-p.last.Tokens), true
}

// deliver takes pieces of the present attempt.
func (j *job) deliver(discard bool, pieces []streamer.Piece) {
	if discard {
		return
	}
	if !j.resumable() {
		j.progress.held = append(j.progress.held, pieces...)
		return
	}
	for _, p := range pieces {
		if !j.answer.Append(p) {
			continue
		}
		j.progress.tokens += p.Tokens
		j.progress.text = append(j.progress.text, p.Data...)
		j.progress.last = p
	}
}

// whole completes the answer. It corrects the prompt count of a resumed one: the tokens of earlier attempts were part
// of the last one's prompt.
func (j *job) whole(discard bool, final streamer.Final) streamer.Final {
	p := &j.progress
	for _, piece := range p.held {
		j.answer.Append(piece)
		p.tokens += piece.Tokens
	}
	before := p.tokens - final.Tokens
	if discard {
		before = p.tokens - p.last.Tokens
	}
	final.Resumed = before
	final.Prompt -= before
	return final
}
