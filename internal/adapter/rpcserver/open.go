package rpcserver

import "github.com/mimosalb/mimosalb/internal/container"

// open counts the calls of one connection that have no reply yet. The zero value has none.
type open struct {
	lock  container.Lock[container.Connection]
	count int
	idle  chan struct{}
}

func (o *open) begin() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.count++
}

func (o *open) end() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.count--
	if o.count == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

// none returns a channel that is closed at a moment at which every call has its reply.
func (o *open) none() <-chan struct{} {
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
