package placer

import (
	"math"
	"slices"
)

// spread returns the number of targets of each zone, the zones being in order of price, so that base targets are left
// when any spare zones are lost, at the least price. Of equally cheap spreads the one nearest to have wins. When the
// limits don't allow that, it returns the most that they allow.
func spread(base, spare int, zones []Zone, have []int) []int {
	n := open(zones)
	spare = min(spare, n-1)
	if n == 0 || base <= 0 {
		return make([]int, len(zones))
	}
	best, cost := []int(nil), math.Inf(1)
	// A bound on the targets of one zone decides how much is lost with it; every useful bound is tried.
	for bound := (base + n - 1) / n; bound <= base; bound++ {
		n, ok := fill(base, spare, bound, zones, have)
		if !ok {
			if best == nil || sum(n) > sum(best) && math.IsInf(cost, 1) {
				best = n
			}
			continue
		}
		if c := price(n, zones, have); c < cost {
			best, cost = n, c
		}
	}
	return best
}

// open returns the number of zones in which targets can run.
func open(zones []Zone) int {
	n := 0
	for _, z := range zones {
		if !z.Lost {
			n++
		}
	}
	return n
}

// fill takes targets in order of price, up to bound in a zone, until base are left without the spare largest zones.
// Targets that are there come before new ones of the same price.
func fill(base, spare, bound int, zones []Zone, have []int) ([]int, bool) {
	n := make([]int, len(zones))
	for left(n, spare) < base {
		next := -1
		for i, z := range zones {
			if z.Lost || n[i] >= bound || z.Limit > 0 && n[i] >= z.Limit {
				continue
			}
			if next < 0 || z.Price == zones[next].Price && n[i]-have[i] < n[next]-have[next] {
				next = i
			}
			if z.Price > zones[next].Price {
				break
			}
		}
		if next < 0 {
			return n, false
		}
		n[next]++
	}
	return n, true
}

// left returns the targets that are left without the spare largest zones.
func left(n []int, spare int) int {
	sorted := slices.Sorted(slices.Values(n))
	return sum(sorted[:len(sorted)-max(spare, 0)])
}

// moveCost is the share of an hour's price that a start counts when spreads are compared, so that targets do not wander
// between zones of nearly the same price.
const moveCost = 0.1

func price(n []int, zones []Zone, have []int) float64 {
	total := 0.0
	for i, z := range zones {
		total += float64(n[i])*z.Price + moveCost*z.Price*float64(max(0, n[i]-have[i]))
	}
	return total
}
