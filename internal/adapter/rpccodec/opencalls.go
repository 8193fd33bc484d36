package rpccodec

import "github.com/mimosalb/mimosalb/internal/container"

// openCalls counts the calls of one connection whose reply is not yet written. The zero value is ready to use.
type openCalls struct {
	lock  container.Lock[container.Connection]
	count int
	// idle is closed when count becomes zero; nil if nobody waits.
	idle chan struct{}
}

func (o *openCalls) begin() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.count++
}

func (o *openCalls) end() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.count--
	if o.count == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

// drained returns a channel that is closed once every call has its reply.
func (o *openCalls) drained() <-chan struct{} {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.idle == nil {
		o.idle = make(chan struct{})
	}
	idle := o.idle
	if o.count == 0 {
		close(o.idle)
		o.idle = nil
	}
	return idle
}
