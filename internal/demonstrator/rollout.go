package demonstrator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

const (
	// rolloutTokens is the length of a rollout of the main job.
	rolloutTokens = 40
	// weightBytes and weightChunk are the sizes of the weights and their chunks.
	weightBytes = 1 << 20
	weightChunk = 64 << 10
	// rolloutLimit bounds the wait for the steps of the main job.
	rolloutLimit = 30 * time.Second
)

// collectStep lets a trainer collect two steps while the weights of every engine change.
type collectStep struct{}

func (collectStep) Name() string { return "trainer gets complete groups across a weight change" }

func (collectStep) Run(ctx context.Context, s *Session) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	spec := client.Spec{Run: "sorting", Service: "sortmind", Bound: 1, Group: 4, Step: 32}
	addresses := make([]string, 0, len(s.Deployment.Entries))
	for _, e := range s.Deployment.Entries {
		addresses = append(addresses, "http://"+e.Callers)
	}
	trainer, err := client.Open(ctx, addresses, s.Keys["driver"], spec)
	if err != nil {
		return "", fmt.Errorf("open run: %w", err)
	}
	check := &rolloutCheck{prompts: make(map[client.Group]string), versions: make(map[uint64]int)}
	for step := 1; step <= 2; step++ {
		if step > 1 {
			if err := changeWeights(ctx, s, trainer, uint64(step)); err != nil {
				return "", err
			}
		}
		prompts := make([]client.Prompt, spec.Step/spec.Group)
		for i := range prompts {
			prompts[i] = client.Prompt{Text: fmt.Sprintf("tube-%d-%d", step, i), MaxTokens: rolloutTokens}
			check.prompts[client.Group{Submission: uint64(step), Index: i}] = prompts[i].Text
		}
		if _, err := trainer.Submit(ctx, prompts); err != nil {
			return "", fmt.Errorf("submit: %w", err)
		}
		if err := check.step(ctx, trainer, spec, uint64(step)); err != nil {
			return "", err
		}
	}
	if all, err := trainer.Acknowledge(ctx); err != nil || !all {
		return "", fmt.Errorf("acknowledged %v: %w", all, err)
	}
	if len(check.prompts) > 0 || check.versions[1] == 0 || check.versions[2] == 0 {
		return "", fmt.Errorf("%d groups missing, versions %v", len(check.prompts), check.versions)
	}
	return fmt.Sprintf("%d samples in complete groups, each once, with their versions", check.samples), nil
}

// rolloutCheck compares what a trainer gets with what the engines must have made.
type rolloutCheck struct {
	// prompts holds the prompts of the groups that have not come yet.
	prompts  map[client.Group]string
	samples  int
	versions map[uint64]int
}

// step pulls until the last batch of a step.
func (c *rolloutCheck) step(ctx context.Context, trainer *client.Trainer, spec client.Spec, version uint64) error {
	for {
		d, err := trainer.Pull(ctx, spec.Step/spec.Group, version)
		if err != nil {
			return fmt.Errorf("pull: %w", err)
		}
		if err := c.take(d, spec); err != nil {
			return err
		}
		if d.Last {
			return nil
		}
	}
}

func (c *rolloutCheck) take(d client.Delivery, spec client.Spec) error {
	for _, g := range d.Groups {
		prompt, ok := c.prompts[g.Group]
		if !ok {
			return fmt.Errorf("group %v came twice or was not submitted", g.Group)
		}
		delete(c.prompts, g.Group)
		if len(g.Samples) != spec.Group {
			return fmt.Errorf("group %v has %d samples", g.Group, len(g.Samples))
		}
		for _, s := range g.Samples {
			if s.Text != expectedText(prompt, rolloutTokens) {
				return errors.New("a sample is not what the engine made")
			}
			if err := c.ranges(s); err != nil {
				return err
			}
			c.samples++
		}
	}
	return nil
}

// ranges checks that the ranges of a sample cover its tokens without gaps and name versions that were in use.
func (c *rolloutCheck) ranges(s client.Sample) error {
	var next int64
	for _, r := range s.Ranges {
		if r.From != next || r.Version < 1 || r.Version > 2 || r.Engine == "" {
			return fmt.Errorf("range %+v after token %d", r, next)
		}
		next = r.To
		c.versions[r.Version]++
	}
	if next != s.Tokens || next != rolloutTokens {
		return fmt.Errorf("ranges cover %d of %d tokens", next, s.Tokens)
	}
	return nil
}

// changeWeights publishes a weight version and waits until every engine has switched. The first switch of one engine
// fails.
func changeWeights(ctx context.Context, s *Session, trainer *client.Trainer, version uint64) error {
	data := bytes.Repeat([]byte(strconv.FormatUint(version, 10)), weightBytes)
	s.Deployment.Standin.Weights.Put(version, data)
	for _, e := range s.Deployment.Standin.Engines {
		e.Switches.Set(switcher.Switches{Swap: 1})
		break
	}
	if err := trainer.Publish(ctx, client.NewWeights(version, data, weightChunk)); err != nil {
		return fmt.Errorf("publish weights: %w", err)
	}
	return s.Client.Await(ctx, rolloutLimit, func() bool {
		for _, e := range s.Deployment.Standin.Engines {
			if e.Version() != version {
				return false
			}
		}
		return true
	})
}
