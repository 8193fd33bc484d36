package store

import "time"

// grant creates a lease. The revision is its ID.
func (s *Store) grant(q leaseMessage) (leaseMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(q.TTL) * time.Second
	s.leases[s.revision] = &lease{ttl: ttl, expires: s.clock.Monotonic() + ttl}
	return leaseMessage{ID: s.revision, TTL: q.TTL}, true
}

// keepAlive renews a lease. The TTL in the reply is zero if the lease does not exist.
func (s *Store) keepAlive(q leaseMessage) (keepAliveReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	l, ok := s.leases[q.ID]
	if !ok {
		return keepAliveReply{Result: leaseMessage{ID: q.ID}}, true
	}
	l.expires = s.clock.Monotonic() + l.ttl
	return keepAliveReply{Result: leaseMessage{ID: q.ID, TTL: int64(l.ttl / time.Second)}}, true
}

// revoke removes a lease with its keys.
func (s *Store) revoke(q leaseMessage) (struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[q.ID]; !ok {
		return struct{}{}, false
	}
	s.removeLease(q.ID)
	return struct{}{}, true
}

// removeExpired removes the expired leases with their keys.
func (s *Store) removeExpired() {
	now := s.clock.Monotonic()
	for id, l := range s.leases {
		if now >= l.expires {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the keys attached to it.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, r := range s.keys {
		if r.lease == id {
			s.remove(k)
		}
	}
}
