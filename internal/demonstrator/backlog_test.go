//go:build !lockcheck

package demonstrator_test

// backlog is the number of groups of the large training run. They must take longer than two steps of the small run, each
// of which waits until an attempt with a lost response is settled.
const backlog = 1536
