package forwarder

import (
	"hash/maphash"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// suspectLimit is the number of broken attempts of equal requests after which this process holds them back. A caller
// retries a request that crashes its targets, at any process, and so would crash one target after another.
const suspectLimit = 3

// suspectPeriod is how long such requests are held back after the last broken attempt. Without an end, a harmless
// request whose targets broke off for another reason would be held back forever.
const suspectPeriod = 15 * time.Second

// suspectCapacity is the maximum number of requests in the table.
const suspectCapacity = 1024

// suspects is the table of requests with broken attempts, keyed by method, host, URI, API key and body. The zero
// value is empty.
type suspects struct {
	records container.Table[container.Isolator, uint64, brokenAttempts]
}

// brokenAttempts is the number of broken attempts of equal requests and the monotonic time of the last one.
type brokenAttempts struct {
	count int
	last  time.Duration
}

// hashSeed is the seed of the fingerprints of this process.
var hashSeed = maphash.MakeSeed()

func fingerprint(q Request) uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	// Writes to a maphash.Hash never fail.
	_, _ = h.WriteString(strings.Join([]string{q.Method, q.Host, q.URI, q.Key}, "\x00"))
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// blocked reports whether a request is held back. After suspectPeriod it is sent again, to find out whether it still
// breaks its targets.
func (s *suspects) blocked(q Request, now time.Duration) bool {
	if s.records.Len() == 0 {
		return false
	}
	b, _ := s.records.Get(fingerprint(q))
	return b.count >= suspectLimit && now-b.last < suspectPeriod
}

// add counts a broken attempt of a request.
func (s *suspects) add(q Request, now time.Duration) {
	if s.records.Len() >= suspectCapacity {
		s.expire(now)
	}
	if s.records.Len() >= suspectCapacity {
		return
	}
	s.records.Update(fingerprint(q), func(old brokenAttempts, _ bool) (brokenAttempts, bool) {
		return brokenAttempts{count: old.count + 1, last: now}, true
	})
}

// expire removes the requests whose last broken attempt is older than suspectPeriod.
func (s *suspects) expire(now time.Duration) {
	var old []uint64
	s.records.Each(func(f uint64, b brokenAttempts) bool {
		if now-b.last >= suspectPeriod {
			old = append(old, f)
		}
		return true
	})
	for _, f := range old {
		s.records.Delete(f)
	}
}

// remove removes a request that was answered.
func (s *suspects) remove(q Request) {
	if s.records.Len() > 0 {
		s.records.Delete(fingerprint(q))
	}
}
