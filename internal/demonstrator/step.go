package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/standin/engine"
	"github.com/mimosalb/mimosalb/internal/standin/service"
)

// withdrawalLimit is the maximum time until a withdrawn key stops working.
const withdrawalLimit = 3 * time.Second

// servingTimeout limits the wait until both services have serving targets.
const servingTimeout = 10 * time.Second

// configure applies the configuration, creates the API keys and waits until both services have serving targets.
type configure struct{}

func (configure) Name() string { return "configuration applied, keys created" }

func (configure) Run(ctx context.Context, s *Session) (string, error) {
	doc := codec.Document{
		Preset: configurator.Ordinary,
		Zones:  []codec.Zone{{Name: "lagos-ikeja", Region: "lagos"}, {Name: "kano-nassarawa", Region: "kano"}},
		Teams:  []codec.Team{{Name: "routing", Weight: 2}, {Name: "billing"}, {Name: "metered"}},
		Services: []codec.Service{
			{Name: "sortmind", Kind: configurator.Model},
			{Name: "manifest", Kind: configurator.Plain, Once: true},
		},
		Presets: []codec.Rule{{Name: configurator.Ordinary}, {Name: configurator.Peak, Training: true}, {Name: configurator.Maintenance}},
	}
	r, err := s.Client.SendAsOperator(ctx, http.MethodPut, "/v1/config", map[string]string{"If-Match": "0"}, doc)
	if err := expectStatus(r, err, http.StatusOK); err != nil {
		return "", err
	}
	for _, caller := range []struct{ name, team string }{{"driver", "routing"}, {"clerk", "billing"}, {"guest", "routing"}, {"auditor", "metered"}} {
		name, team := caller.name, caller.team
		r, err := s.Client.SendAsOperator(ctx, http.MethodPost, "/v1/keys", nil, map[string]string{"name": name, "team": team})
		if err := expectStatus(r, err, http.StatusCreated); err != nil {
			return "", err
		}
		var created struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(r.Body, &created); err != nil {
			return "", fmt.Errorf("decode key: %w", err)
		}
		s.Keys[name] = created.Key
	}
	err = s.Client.Await(ctx, servingTimeout, func() bool {
		r, err := s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["driver"], newCompletion("ready", 1, false))
		if err != nil || r.Status != http.StatusOK {
			return false
		}
		r, err = s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/services/manifest/ready", s.Keys["clerk"], nil)
		return err == nil && r.Status == http.StatusOK
	})
	if err != nil {
		return "", fmt.Errorf("wait for serving targets: %w", err)
	}
	return fmt.Sprintf("%d services, %d keys", len(doc.Services), len(s.Keys)), nil
}

// streamCompletion streams a completion and compares it with the expected output of the stand-in engine.
type streamCompletion struct{}

func (streamCompletion) Name() string { return "caller streams a completion" }

func (streamCompletion) Run(ctx context.Context, s *Session) (string, error) {
	const length = 100
	var text strings.Builder
	done := false
	err := s.Client.StreamEvents(ctx, "/v1/completions", s.Keys["driver"], newCompletion("quote for depot", length, true), func(data string) bool {
		if data == "[DONE]" {
			done = true
			return false
		}
		var body struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &body) == nil && len(body.Choices) == 1 {
			text.WriteString(body.Choices[0].Text)
		}
		return true
	})
	if err != nil {
		return "", err
	}
	want := expectedText("quote for depot", length)
	if !done || text.String() != want {
		return "", fmt.Errorf("stream is incomplete or wrong: [DONE] received %v, text %q, want %q", done, text.String(), want)
	}
	return fmt.Sprintf("%d tokens, identical to the engine's output", length), nil
}

// callOnce makes a call that must not be repeated and checks at the back end that it ran once and that the caller's key
// was not forwarded.
type callOnce struct{}

func (callOnce) Name() string { return "non-repeatable call runs once" }

func (callOnce) Run(ctx context.Context, s *Session) (string, error) {
	r, err := s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/services/manifest/check", s.Keys["clerk"], map[string]string{"manifest": "17"})
	if err := expectStatus(r, err, http.StatusOK); err != nil {
		return "", err
	}
	var a service.Answer
	if err := json.Unmarshal(r.Body, &a); err != nil {
		return "", fmt.Errorf("decode response: %w", err)
	}
	backEnd := s.Deployment.Standin.Services["manifest-1"]
	if _, runs := backEnd.Calls(r.Header.Get("X-Request-Id")); runs != 1 || a.Team != "billing" {
		return "", fmt.Errorf("call ran %d times for team %q, want 1 time for team billing", runs, a.Team)
	}
	if backEnd.KeysSeen() != 0 {
		return "", errors.New("the caller's key was forwarded to the back end")
	}
	return "ran 1 time for its team, back end saw 0 keys", nil
}

// withdrawKey withdraws the key of an open stream and checks that the stream is cut and a later request refused.
type withdrawKey struct{}

func (withdrawKey) Name() string { return "withdrawn key refused, its open stream cut" }

func (withdrawKey) Run(ctx context.Context, s *Session) (string, error) {
	var withdrawn time.Time
	var cut string
	err := s.Client.StreamEvents(ctx, "/v1/completions", s.Keys["guest"], newCompletion("long answer", 100000, true), func(data string) bool {
		if withdrawn.IsZero() {
			withdrawn = time.Now()
			r, err := s.Client.SendAsOperator(ctx, http.MethodDelete, "/v1/keys/guest", nil, nil)
			if expectStatus(r, err, http.StatusOK) != nil {
				return false
			}
		}
		if strings.Contains(data, "key-withdrawn") {
			cut = data
		}
		return cut == ""
	})
	took := time.Since(withdrawn)
	if err != nil || cut == "" || took > withdrawalLimit {
		return "", fmt.Errorf("stream not cut within %v of the withdrawal: %w", withdrawalLimit, err)
	}
	r, err := s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["guest"], newCompletion("again", 1, false))
	if err := expectStatus(r, err, http.StatusUnauthorized); err != nil {
		return "", err
	}
	return fmt.Sprintf("cut after %v", took.Round(time.Millisecond)), nil
}

// switchPreset changes the preset and checks that the configuration shows the new one.
type switchPreset struct{}

func (switchPreset) Name() string { return "preset switched" }

func (switchPreset) Run(ctx context.Context, s *Session) (string, error) {
	r, err := s.Client.SendAsOperator(ctx, http.MethodPut, "/v1/preset/peak", nil, nil)
	if err := expectStatus(r, err, http.StatusOK); err != nil {
		return "", err
	}
	var doc codec.Document
	r, err = s.Client.SendAsOperator(ctx, http.MethodGet, "/v1/config", nil, nil)
	if err := expectStatus(r, err, http.StatusOK); err != nil {
		return "", err
	}
	if err := json.Unmarshal(r.Body, &doc); err != nil || doc.Preset != configurator.Peak {
		return "", fmt.Errorf("preset in force is %q, want peak: %w", doc.Preset, err)
	}
	return fmt.Sprintf("peak in force at revision %d", doc.Revision), nil
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     identifier.Service `json:"model"`
	Prompt    string             `json:"prompt"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

func newCompletion(prompt string, tokens int, stream bool) completionBody {
	return completionBody{Model: "sortmind", Prompt: prompt, MaxTokens: tokens, Stream: stream}
}

// expectedText returns the output of the stand-in engine for a prompt.
func expectedText(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(" " + engine.Token(words, len(words)+i))
	}
	return text.String()
}

// expectStatus returns err or, if r has another status, an error with the body.
func expectStatus(r Reply, err error, status int) error {
	if err != nil {
		return err
	}
	if r.Status != status {
		return fmt.Errorf("status %d, want %d: %s", r.Status, status, r.Body)
	}
	return nil
}
