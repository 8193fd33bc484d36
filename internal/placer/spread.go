package placer

import (
	"math"
	"slices"
)

// spread returns the cheapest number of targets per zone with which base targets remain after the loss of any spare
// zones. zones must be in order of price. Among equally cheap results it returns the one nearest to have. If the
// limits don't allow base targets, it returns as many as they allow.
func spread(base, spare int, zones []Zone, have []int) []int {
	available := availableZones(zones)
	spare = min(spare, available-1)
	if available == 0 || base <= 0 {
		return make([]int, len(zones))
	}
	best, cost := []int(nil), math.Inf(1)
	// The bound on the targets of one zone determines how many are lost with the zone, so every useful bound is tried.
	for bound := (base + available - 1) / available; bound <= base; bound++ {
		counts, ok := fill(base, spare, bound, zones, have)
		if !ok {
			if best == nil || sum(counts) > sum(best) && math.IsInf(cost, 1) {
				best = counts
			}
			continue
		}
		if c := totalPrice(counts, zones, have); c < cost {
			best, cost = counts, c
		}
	}
	return best
}

// availableZones returns the number of zones that are not lost.
func availableZones(zones []Zone) int {
	n := 0
	for _, z := range zones {
		if !z.Lost {
			n++
		}
	}
	return n
}

// fill adds targets in order of price, up to bound per zone, until base targets remain without the spare largest
// zones. At the same price existing targets come before new ones. It reports false when limits and bound don't allow
// base.
func fill(base, spare, bound int, zones []Zone, have []int) ([]int, bool) {
	counts := make([]int, len(zones))
	for survivors(counts, spare) < base {
		next := -1
		for i, z := range zones {
			if z.Lost || counts[i] >= bound || z.Limit > 0 && counts[i] >= z.Limit {
				continue
			}
			if next < 0 || z.Price == zones[next].Price && counts[i]-have[i] < counts[next]-have[next] {
				next = i
			}
			if z.Price > zones[next].Price {
				break
			}
		}
		if next < 0 {
			return counts, false
		}
		counts[next]++
	}
	return counts, true
}

// survivors returns the number of targets that remain without the spare largest zones.
func survivors(counts []int, spare int) int {
	sorted := slices.Sorted(slices.Values(counts))
	return sum(sorted[:len(sorted)-max(spare, 0)])
}

// startCost is the cost of starting a target, in hours of the target's price. It keeps targets from moving between
// zones of nearly the same price.
const startCost = 0.1

// totalPrice returns the hourly price of the given numbers of targets per zone plus the cost of the starts that they need.
func totalPrice(counts []int, zones []Zone, have []int) float64 {
	total := 0.0
	for i, z := range zones {
		total += float64(counts[i])*z.Price + startCost*z.Price*float64(max(0, counts[i]-have[i]))
	}
	return total
}
