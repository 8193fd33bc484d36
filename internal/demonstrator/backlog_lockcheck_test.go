//go:build lockcheck

package demonstrator_test

// backlog is smaller here, because the lock check makes each token cost much more than it does in production.
const backlog = 384
