package batcher

import "slices"

// FirstPage returns the first results of a list, at most limit bytes of them but at least one.
func FirstPage(all []Result, limit int) []Result {
	size := 0
	for n, r := range all {
		size += len(r.Output) + resultOverhead
		if size > limit && n > 0 {
			return slices.Clone(all[:n])
		}
	}
	return slices.Clone(all)
}

// resultOverhead is the encoded size of a result without its output, in bytes, rounded up.
const resultOverhead = 256
