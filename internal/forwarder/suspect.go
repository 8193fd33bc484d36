package forwarder

import (
	"hash/maphash"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// suspectLimit is the number of attempts of like requests that broke off after which this process sends no more of
// them. A request that crashes its targets is sent again by its caller to any process.
const suspectLimit = 3

// suspectTime is how long such requests are held back after the last break. Targets that broke off for a reason of their
// own would otherwise leave harmless requests held for good.
const suspectTime = 15 * time.Second

// suspectCapacity bounds the requests that are remembered.
const suspectCapacity = 1024

// suspects remembers the requests under which targets broke off, by path, key and body. The zero value remembers none.
type suspects struct {
	records container.Table[container.Isolator, uint64, breaks]
}

// breaks are the attempts that broke off under like requests, and the boot clock time of the last one.
type breaks struct {
	count int
	last  time.Duration
}

// seed makes the hashes of this process.
var seed = maphash.MakeSeed()

func fingerprint(q Request) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	// Writes to a maphash.Hash never fail.
	_, _ = h.WriteString(strings.Join([]string{q.Method, q.Host, q.URI, q.Key}, "\x00"))
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// held reports whether a request must not be sent now. After suspectTime one attempt finds out whether it still does harm.
func (s *suspects) held(q Request, now time.Duration) bool {
	if s.records.Len() == 0 {
		return false
	}
	b, _ := s.records.Get(fingerprint(q))
	return b.count >= suspectLimit && now-b.last < suspectTime
}

// add counts an attempt that broke off under a request.
func (s *suspects) add(q Request, now time.Duration) {
	if s.records.Len() >= suspectCapacity {
		s.expire(now)
	}
	if s.records.Len() >= suspectCapacity {
		return
	}
	s.records.Update(fingerprint(q), func(old breaks, _ bool) (breaks, bool) { return breaks{count: old.count + 1, last: now}, true })
}

// expire forgets the requests whose last break is long ago.
func (s *suspects) expire(now time.Duration) {
	var old []uint64
	s.records.Each(func(f uint64, b breaks) bool {
		if now-b.last >= suspectTime {
			old = append(old, f)
		}
		return true
	})
	for _, f := range old {
		s.records.Delete(f)
	}
}

// clear forgets a request that got its answer.
func (s *suspects) clear(q Request) {
	if s.records.Len() > 0 {
		s.records.Delete(fingerprint(q))
	}
}
