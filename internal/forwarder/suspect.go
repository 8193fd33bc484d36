package forwarder

import (
	"hash/maphash"
	"strings"

	"github.com/mimosalb/mimosalb/internal/container"
)

// suspectLimit is the number of attempts of like requests that broke off after which this process sends no more of
// them. A request that crashes its targets is sent again by its caller to any process.
const suspectLimit = 3

// suspectCapacity bounds the requests that are remembered.
const suspectCapacity = 1024

// suspects remembers the requests under which targets broke off, by path, key and body. The zero value remembers none.
type suspects struct {
	counts container.Table[container.Isolator, uint64, int]
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

// held reports whether a request must not be sent again.
func (s *suspects) held(q Request) bool {
	if s.counts.Len() == 0 {
		return false
	}
	n, _ := s.counts.Get(fingerprint(q))
	return n >= suspectLimit
}

// add counts an attempt that broke off under a request.
func (s *suspects) add(q Request) {
	if s.counts.Len() >= suspectCapacity {
		return
	}
	s.counts.Update(fingerprint(q), func(old int, _ bool) (int, bool) { return old + 1, true })
}

// clear forgets a request that got its answer.
func (s *suspects) clear(q Request) {
	if s.counts.Len() > 0 {
		s.counts.Delete(fingerprint(q))
	}
}
