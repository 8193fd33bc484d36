// Package client is the client of the trainers' interface and defines its JSON messages.
package client

// Spec opens a training run.
type Spec struct {
	Run     string `json:"run"`
	Service string `json:"service"`
	Adapter string `json:"adapter,omitempty"`
	// Bound is the largest age of a delivered sample in weight versions.
	Bound uint64 `json:"staleness_bound"`
	// Group and Step are the samples of a group and of a step.
	Group int `json:"group_size"`
	Step  int `json:"step_size"`
}

// Prompt asks for the samples of one group.
type Prompt struct {
	Text      string `json:"text"`
	MaxTokens int64  `json:"max_tokens"`
}

// Submission is a numbered set of groups; numbers begin at 1 and have no gaps.
type Submission struct {
	Number  uint64   `json:"number"`
	Prompts []Prompt `json:"prompts"`
}

// Group identifies a group by its submission and its place in it, from 0.
type Group struct {
	Submission uint64 `json:"submission"`
	Index      int    `json:"index"`
}

// Batch identifies a batch.
type Batch struct {
	Run   string `json:"run"`
	Seq   uint64 `json:"seq"`
	Fence uint64 `json:"fence"`
}

// Held is a batch that the trainer has, with its groups.
type Held struct {
	Batch  Batch   `json:"batch"`
	Groups []Group `json:"groups"`
}

// Statement is the trainer's account of the batches that it has and that are not confirmed yet.
type Statement struct {
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	Held   []Held `json:"held"`
}

// Pull asks for a batch of at most Most groups and waits up to Wait milliseconds for one.
type Pull struct {
	Statement Statement `json:"statement"`
	Most      int       `json:"max_groups"`
	Wait      int64     `json:"wait_ms"`
	// Version is the weight version that the trainer published last; 0 when it does not say.
	Version uint64 `json:"weight_version"`
}

// Receipt is the answer to a submission or a statement.
type Receipt struct {
	// Next is the number of the next submission.
	Next uint64 `json:"next_submission"`
	// All says that every acknowledged group is stored as such, so that held batches may be forgotten.
	All   bool   `json:"all_confirmed"`
	Fence uint64 `json:"fence"`
}

// Range says what made the tokens from From up to but not including To.
type Range struct {
	Version     uint64 `json:"weight_version"`
	From        int64  `json:"from"`
	To          int64  `json:"to"`
	Adapter     string `json:"adapter,omitempty"`
	Engine      string `json:"engine"`
	Incarnation uint64 `json:"incarnation"`
}

// Sample is one rollout of a group.
type Sample struct {
	Text   string  `json:"text"`
	Tokens int64   `json:"tokens"`
	Ranges []Range `json:"ranges"`
}

// Rollouts is a complete group.
type Rollouts struct {
	Group   Group    `json:"group"`
	Samples []Sample `json:"samples"`
}

// Delivery is a batch of complete groups. Last marks the last batch of a step.
type Delivery struct {
	Receipt

	Batch  Batch      `json:"batch"`
	Step   int        `json:"step"`
	Last   bool       `json:"last"`
	Groups []Rollouts `json:"groups"`
}

// Step is the trainer's idle time in one step, in seconds, and what it waited for.
type Step struct {
	Step int                `json:"step"`
	Took float64            `json:"took_s"`
	Idle float64            `json:"idle_s"`
	By   map[string]float64 `json:"idle_by_cause_s"`
}

// Status is the state of a run.
type Status struct {
	Spec       Spec               `json:"spec"`
	Receipt    Receipt            `json:"receipt"`
	Pull       uint64             `json:"last_statement"`
	Version    uint64             `json:"weight_version"`
	Step       int                `json:"step"`
	Groups     int                `json:"groups"`
	Ready      int                `json:"ready_groups"`
	Running    int                `json:"running_rollouts"`
	Hedges     int                `json:"hedges"`
	OverAge    int                `json:"over_age_samples"`
	Unlabelled int                `json:"unlabelled_samples"`
	Waste      int64              `json:"wasted_tokens"`
	Idle       map[string]float64 `json:"idle_by_cause_s"`
	Steps      []Step             `json:"steps"`
}

// Problem is the error body of the interface.
type Problem struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	Status int    `json:"status"`
}

// Weights is the manifest of a weight version: the SHA-256 digest of each chunk in hexadecimal form.
type Weights struct {
	Version uint64   `json:"version"`
	Size    int64    `json:"size"`
	Chunk   int64    `json:"chunk_size"`
	Digests []string `json:"digests"`
}
