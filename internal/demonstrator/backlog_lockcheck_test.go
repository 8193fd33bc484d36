//go:build lockcheck

package demonstrator_test

// backlog is smaller than without the lock check, which makes each token much more expensive.
const backlog = 384
