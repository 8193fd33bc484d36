package jobpeer

import "time"

const (
	// replyMargin is the time that a reply may take in addition to the requested wait.
	replyMargin = 400 * time.Millisecond
	// maxWait limits how long a read may wait before it replies.
	maxWait = 5 * time.Second
)
