// Package client implements a client of the trainers' HTTP API and defines the JSON messages of that API.
package client

// Spec is the request that opens a training run.
type Spec struct {
	Run     string `json:"run"`
	Service string `json:"service"`
	Adapter string `json:"adapter,omitempty"`
	// Bound is the maximum age of a delivered sample, in weight versions.
	Bound uint64 `json:"staleness_bound"`
	// Group is the number of samples per group, Step the number of samples per step.
	Group int `json:"group_size"`
	Step  int `json:"step_size"`
}

// Prompt requests the samples of one group.
type Prompt struct {
	Text      string `json:"text"`
	MaxTokens int64  `json:"max_tokens"`
}

// Submission is a numbered set of groups. Numbers start at 1 and have no gaps.
type Submission struct {
	Number  uint64   `json:"number"`
	Prompts []Prompt `json:"prompts"`
}

// Group identifies a group by its submission and its zero-based index in it.
type Group struct {
	Submission uint64 `json:"submission"`
	Index      int    `json:"index"`
}

// Batch identifies a batch by its run, its sequence number and the fencing number under which it was formed.
type Batch struct {
	Run   string `json:"run"`
	Seq   uint64 `json:"seq"`
	Fence uint64 `json:"fence"`
}

// Held is a batch that the trainer has received, with its groups.
type Held struct {
	Batch  Batch   `json:"batch"`
	Groups []Group `json:"groups"`
}

// Statement lists the batches that the trainer has received and that are not confirmed yet.
type Statement struct {
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	Held   []Held `json:"held"`
}

// Pull requests a batch of at most Most groups and waits up to Wait milliseconds for one.
type Pull struct {
	Statement Statement `json:"statement"`
	Most      int       `json:"max_groups"`
	Wait      int64     `json:"wait_ms"`
	// Version is the weight version that the trainer last published; 0 if unspecified.
	Version uint64 `json:"weight_version"`
}

// Receipt is the response to a submission or a statement.
type Receipt struct {
	// Next is the number of the next submission.
	Next uint64 `json:"next_submission"`
	// All reports whether every acknowledged group is stored as acknowledged, so that held batches may be dropped.
	All   bool   `json:"all_confirmed"`
	Fence uint64 `json:"fence"`
}

// Range names the weights and the engine that generated the tokens from From up to but not including To.
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

// Delivery is a batch of complete groups. Last is set for the last batch of a step.
type Delivery struct {
	Receipt

	Batch  Batch      `json:"batch"`
	Step   int        `json:"step"`
	Last   bool       `json:"last"`
	Groups []Rollouts `json:"groups"`
}

// Step holds the duration of one step, the trainer's idle time in it and the idle time by cause, in seconds.
type Step struct {
	Step int                `json:"step"`
	Took float64            `json:"took_s"`
	Idle float64            `json:"idle_s"`
	By   map[string]float64 `json:"idle_by_cause_s"`
}

// Status is the current state and the counters of a run.
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

// Problem is the body of an error response.
type Problem struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	Status int    `json:"status"`
}

// Weights is the manifest of a weight version. Digests holds the hexadecimal SHA-256 digest of each chunk.
type Weights struct {
	Version uint64   `json:"version"`
	Size    int64    `json:"size"`
	Chunk   int64    `json:"chunk_size"`
	Digests []string `json:"digests"`
}
