package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

const (
	// rolloutTokens is the length of each rollout in tokens.
	rolloutTokens = 40
	// weightBytes is the size of a weight version, which consists of one repeated digit, and weightChunkBytes the size
	// of its chunks.
	weightBytes      = 1 << 20
	weightChunkBytes = 64 << 10
	// rolloutTimeout bounds collectRollouts as a whole, and also each change of weights in it.
	rolloutTimeout = 30 * time.Second
)

// collectRollouts collects two training steps. The weights of every engine change between the two.
type collectRollouts struct{}

func (collectRollouts) Name() string { return "trainer gets complete groups across a weight change" }

func (collectRollouts) Run(ctx context.Context, s *Session) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	spec := client.Spec{Run: "sorting", Service: "sortmind", Bound: 1, Group: 4, Step: 32}
	addresses := make([]string, 0, len(s.Deployment.Entries))
	for _, e := range s.Deployment.Entries {
		addresses = append(addresses, "http://"+e.Callers)
	}
	trainer, err := client.Open(ctx, addresses, s.Keys["driver"], spec)
	if err != nil {
		return "", fmt.Errorf("open training run: %w", err)
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
			return "", fmt.Errorf("submit prompts of step %d: %w", step, err)
		}
		if err := check.pullStep(ctx, trainer, spec, uint64(step)); err != nil {
			return "", err
		}
	}
	if all, err := trainer.Acknowledge(ctx); err != nil || !all {
		return "", fmt.Errorf("acknowledge: all groups confirmed %v: %w", all, err)
	}
	if len(check.prompts) > 0 || check.versions[1] == 0 || check.versions[2] == 0 {
		return "", fmt.Errorf("%d groups not delivered, want 0; ranges by weight version %v, want versions 1 and 2", len(check.prompts), check.versions)
	}
	return fmt.Sprintf("%d samples in complete groups, each delivered once with its weight versions", check.samples), nil
}

// rolloutCheck compares the groups that a trainer receives with the output that the stand-in engines generate.
type rolloutCheck struct {
	// prompts holds the prompts of the groups that were not delivered yet.
	prompts map[client.Group]string
	samples int
	// versions counts the ranges of all samples by weight version.
	versions map[uint64]int
}

// pullStep pulls and checks batches up to the last one of a training step.
func (c *rolloutCheck) pullStep(ctx context.Context, trainer *client.Trainer, spec client.Spec, version uint64) error {
	for {
		d, err := trainer.Pull(ctx, spec.Step/spec.Group, version)
		if err != nil {
			return fmt.Errorf("pull with weight version %d: %w", version, err)
		}
		if err := c.checkDelivery(d, spec); err != nil {
			return err
		}
		if d.Last {
			return nil
		}
	}
}

// checkDelivery checks that every group of a delivery is new and complete, and that its samples have the expected text
// and ranges.
func (c *rolloutCheck) checkDelivery(d client.Delivery, spec client.Spec) error {
	for _, g := range d.Groups {
		prompt, ok := c.prompts[g.Group]
		if !ok {
			return fmt.Errorf("group %v was delivered twice or never submitted", g.Group)
		}
		delete(c.prompts, g.Group)
		if len(g.Samples) != spec.Group {
			return fmt.Errorf("group %v has %d samples, want %d", g.Group, len(g.Samples), spec.Group)
		}
		for _, s := range g.Samples {
			if s.Text != expectedText(prompt, rolloutTokens) {
				return fmt.Errorf("group %v: sample is %q, which differs from the engine's output", g.Group, s.Text)
			}
			if err := c.checkRanges(s); err != nil {
				return err
			}
			c.samples++
		}
	}
	return nil
}

// checkRanges checks that the ranges of a sample cover its tokens without gaps and have weight versions that were in
// use.
func (c *rolloutCheck) checkRanges(s client.Sample) error {
	var next int64
	for _, r := range s.Ranges {
		if r.From != next || r.Version < 1 || r.Version > 2 || r.Engine == "" {
			return fmt.Errorf("range %+v after token %d: want no gap, version 1 or 2 and an engine", r, next)
		}
		next = r.To
		c.versions[r.Version]++
	}
	if next != s.Tokens || next != rolloutTokens {
		return fmt.Errorf("ranges cover %d tokens of a sample of %d, want %d", next, s.Tokens, rolloutTokens)
	}
	return nil
}

// changeWeights publishes a weight version and waits until every engine uses it. The first change at one engine fails
// and must be repeated.
func changeWeights(ctx context.Context, s *Session, trainer *client.Trainer, version uint64) error {
	data := bytes.Repeat([]byte(strconv.FormatUint(version, 10)), weightBytes)
	s.Deployment.Standin.Weights.Put(version, data)
	for _, e := range s.Deployment.Standin.Engines {
		e.Switches.Set(switcher.Switches{Swap: 1})
		break
	}
	if err := trainer.Publish(ctx, client.NewWeights(version, data, weightChunkBytes)); err != nil {
		return fmt.Errorf("publish weights: %w", err)
	}
	return s.Client.Await(ctx, rolloutTimeout, func() bool {
		for _, e := range s.Deployment.Standin.Engines {
			if e.Version() != version {
				return false
			}
		}
		return true
	})
}
