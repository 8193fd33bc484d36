package batcher

import "github.com/mimosalb/mimosalb/internal/identifier"

// LargeSize is the size above which a job is large: its bodies are in the memory of one process at a time, and only while an item
// may need them. It is far above that of everyday jobs.
const LargeSize identifier.Bytes = 2 << 20

// WholeSpec returns the job as it was submitted, and false if it has no bodies any more.
func (j *Job) WholeSpec() (Spec, bool) {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.spec, !j.bodiesDropped
}

// BodyBytes returns the size of the bodies that Spec returns.
func (j *Job) BodyBytes() identifier.Bytes {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.bodyBytes
}

// dropBodies drops the bodies of a large job that no item needs any more. The trainer may keep the job for minutes. The caller
// holds the lock.
func (j *Job) dropBodies() {
	if j.bodyBytes > LargeSize && len(j.durable) == len(j.items) {
		j.spec, j.bodyBytes, j.bodiesDropped = j.spec.WithoutBodies(), 0, true
	}
}
