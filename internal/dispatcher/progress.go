package dispatcher

import (
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// progress holds the part of a job's answer that has been received.
type progress struct {
	tokens identifier.Tokens
	text   []byte
	last   streamer.Piece
	// bufferedPieces are the pieces of an answer that can't be resumed. They are delivered only when the answer is
	// complete, since another attempt would start again at the first piece.
	bufferedPieces []streamer.Piece
}

// nextCall returns the call of the next attempt, which continues after the text that the job has. When only the final
// record is missing, the attempt generates the last piece a second time to get a record, and discard is true.
func (j *job) nextCall() (call executor.Call, discard bool) {
	call, p := j.request.Call, &j.progress
	p.bufferedPieces = nil
	if !j.resumable() || p.tokens == 0 {
		return call, false
	}
	if p.tokens < call.Limit {
		return call.WithProgress(string(p.text), p.tokens), false
	}
	done := len(p.text) - len(p.last.Data)
	return call.WithProgress(string(p.text[:done]), p.tokens-p.last.Tokens), true
}

// deliver adds pieces of the current attempt to the answer, or buffers them if the answer can't be resumed. It drops
// pieces that were generated only for the final record.
func (j *job) deliver(discard bool, pieces []streamer.Piece) {
	if discard {
		return
	}
	if !j.resumable() {
		j.progress.bufferedPieces = append(j.progress.bufferedPieces, pieces...)
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

// completeAnswer delivers the buffered pieces and returns the final record with the prompt count of a resumed answer
// corrected: the tokens of earlier attempts were part of the last attempt's prompt.
func (j *job) completeAnswer(discard bool, final streamer.Final) streamer.Final {
	p := &j.progress
	for _, piece := range p.bufferedPieces {
		j.answer.Append(piece)
		p.tokens += piece.Tokens
	}
	resumed := p.tokens - final.Tokens
	if discard {
		resumed = p.tokens - p.last.Tokens
	}
	final.Resumed = resumed
	final.Prompt -= resumed
	return final
}
