package httpserver

import (
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// completionBody is the usual JSON answer, with the weight versions that made it.
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

// versionRange names the weight version that made the tokens from From up to, but not including, To.
type versionRange struct {
	Version identifier.Version `json:"version"`
	From    identifier.Tokens  `json:"from"`
	To      identifier.Tokens  `json:"to"`
}

func usageOf(f streamer.Final) *usage {
	return &usage{
		Prompt: f.Prompt, Completion: f.Tokens, Total: f.Prompt + f.Tokens, Details: usageDetails{Cached: f.Cached},
	}
}

// versionsOf joins neighbouring pieces of one version into ranges.
func versionsOf(pieces []streamer.Piece) []versionRange { return versionsFrom(0, pieces) }

// versionsFrom is versionsOf for pieces that follow the first from tokens.
func versionsFrom(from identifier.Tokens, pieces []streamer.Piece) []versionRange {
	var ranges []versionRange
	at := from
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

// completionForm is one of the usual JSON forms of a completion.
type completionForm interface {
	// prompt returns the engine's prompt, or what is wrong with the request.
	prompt(q completionRequest) (prompt, detail string)
	object() string
	whole(text, reason string) any
	piece(text string) any
	end(reason string) any
}

// textForm is the form of /v1/completions.
type textForm struct{}

type textChoice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

func (textForm) prompt(q completionRequest) (prompt, detail string) {
	if q.Prompt == "" {
		return "", "prompt: want a text"
	}
	return q.Prompt, ""
}

func (textForm) object() string                { return "text_completion" }
func (textForm) whole(text, reason string) any { return textChoice{Text: text, Finish: &reason} }
func (textForm) piece(text string) any         { return textChoice{Text: text} }
func (textForm) end(reason string) any         { return textChoice{Finish: &reason} }

// chatForm is the form of /v1/chat/completions.
type chatForm struct{}

type chatChoice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

func (chatForm) prompt(q completionRequest) (prompt, detail string) {
	if len(q.Messages) == 0 {
		return "", "messages: want at least one message"
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String(), ""
}

func (chatForm) object() string { return "chat.completion" }

func (chatForm) whole(text, reason string) any {
	return chatChoice{Message: &chatMessage{Role: "assistant", Content: text}, Finish: &reason}
}

func (chatForm) piece(text string) any {
	return chatChoice{Delta: &chatMessage{Role: "assistant", Content: text}}
}

func (chatForm) end(reason string) any { return chatChoice{Delta: &chatMessage{}, Finish: &reason} }
