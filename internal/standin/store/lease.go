package store

import "time"

func (s *Store) grant(q leaseMessage) (leaseMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(q.TTL) * time.Second
	s.leases[s.revision] = &lease{ttl: ttl, expires: s.clock.Boot() + ttl}
	return leaseMessage{ID: s.revision, TTL: q.TTL}, true
}

func (s *Store) keepAlive(q leaseMessage) (keepAliveReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[q.ID]
	if !ok {
		return keepAliveReply{Result: leaseMessage{ID: q.ID}}, true
	}
	l.expires = s.clock.Boot() + l.ttl
	return keepAliveReply{Result: leaseMessage{ID: q.ID, TTL: int64(l.ttl / time.Second)}}, true
}

func (s *Store) revoke(q leaseMessage) (struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[q.ID]; !ok {
		return struct{}{}, false
	}
	s.drop(q.ID)
	return struct{}{}, true
}

// expire drops the leases that have lapsed, with their keys.
func (s *Store) expire() {
	now := s.clock.Boot()
	for id, l := range s.leases {
		if now >= l.expires {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, r := range s.keys {
		if r.lease == id {
			s.remove(k)
		}
	}
}
