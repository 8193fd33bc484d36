package httpserver

import (
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// completionBody is the JSON body of an answer or of one event of a stream. Versions names the weight versions that
// generated the tokens.
type completionBody struct {
	ID       string             `json:"id"`
	Object   string             `json:"object"`
	Created  int64              `json:"created"`
	Model    identifier.Service `json:"model"`
	Choices  []any              `json:"choices"`
	Usage    *usage             `json:"usage,omitempty"`
	Versions []versionRange     `json:"weight_versions,omitempty"`
}

type usage struct {
	Prompt     identifier.Tokens `json:"prompt_tokens"`
	Completion identifier.Tokens `json:"completion_tokens"`
	Total      identifier.Tokens `json:"total_tokens"`
	Details    usageDetails      `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached identifier.Tokens `json:"cached_tokens"`
}

// versionRange names the weight version that generated the tokens from From up to, but not including, To.
type versionRange struct {
	Version identifier.Version `json:"version"`
	From    identifier.Tokens  `json:"from"`
	To      identifier.Tokens  `json:"to"`
}

func newUsage(f streamer.Final) *usage {
	return &usage{
		Prompt: f.Prompt, Completion: f.Tokens, Total: f.Prompt + f.Tokens, Details: usageDetails{Cached: f.Cached},
	}
}

// versionRanges returns the token ranges of pieces, joining consecutive pieces of the same version.
func versionRanges(pieces []streamer.Piece) []versionRange { return versionRangesFrom(0, pieces) }

// versionRangesFrom is like versionRanges for pieces whose first token has the position start.
func versionRangesFrom(start identifier.Tokens, pieces []streamer.Piece) []versionRange {
	var ranges []versionRange
	at := start
	for _, p := range pieces {
		if p.Tokens == 0 {
			continue
		}
		if n := len(ranges); n > 0 && ranges[n-1].Version == p.Version {
			ranges[n-1].To += p.Tokens
		} else {
			ranges = append(ranges, versionRange{Version: p.Version, From: at, To: at + p.Tokens})
		}
		at += p.Tokens
	}
	return ranges
}

// completionCodec converts requests and answers of one completion route.
type completionCodec interface {
	// prompt returns the prompt for the engine, or in detail what is wrong with the request.
	prompt(req completionRequest) (prompt, detail string)
	// object returns the value of the body's object field.
	object() string
	// fullChoice returns the choice of an answer that is not streamed.
	fullChoice(text, reason string) any
	// pieceChoice returns the choice of a stream event with text.
	pieceChoice(text string) any
	// endChoice returns the choice of the last stream event.
	endChoice(reason string) any
}

// textCodec is the codec of /v1/completions.
type textCodec struct{}

type textChoice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

func (textCodec) prompt(req completionRequest) (prompt, detail string) {
	if req.Prompt == "" {
		return "", "prompt: want a non-empty string"
	}
	return req.Prompt, ""
}

func (textCodec) object() string                     { return "text_completion" }
func (textCodec) fullChoice(text, reason string) any { return textChoice{Text: text, Finish: &reason} }
func (textCodec) pieceChoice(text string) any        { return textChoice{Text: text} }
func (textCodec) endChoice(reason string) any        { return textChoice{Finish: &reason} }

// chatCodec is the codec of /v1/chat/completions.
type chatCodec struct{}

type chatChoice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

func (chatCodec) prompt(req completionRequest) (prompt, detail string) {
	if len(req.Messages) == 0 {
		return "", "messages: want at least one message"
	}
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String(), ""
}

func (chatCodec) object() string { return "chat.completion" }

func (chatCodec) fullChoice(text, reason string) any {
	return chatChoice{Message: &chatMessage{Role: "assistant", Content: text}, Finish: &reason}
}

func (chatCodec) pieceChoice(text string) any {
	return chatChoice{Delta: &chatMessage{Role: "assistant", Content: text}}
}

func (chatCodec) endChoice(reason string) any {
	return chatChoice{Delta: &chatMessage{}, Finish: &reason}
}
