//go:build !lockcheck

package demonstrator_test

// backlog is the number of groups of the large run. It must outlast two steps of the small one, each of which waits for
// the settling of a lost answer.
const backlog = 1536
