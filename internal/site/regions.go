package site

import "slices"

// Regions maps data centres to their regions, as the operator of an instance sets them. Without
// any, all data centres are one region, and no limit to regions applies.
type Regions map[string]string

// Same reports whether two data centres are in one region. A data centre that is not listed is a
// region of its own.
func (r Regions) Same(a, b string) bool {
	if len(r) == 0 || a == b {
		return true
	}
	region, ok := r[a]
	return ok && r[b] == region
}

// Count returns the number of regions; 1 if all data centres are one region.
func (r Regions) Count() int {
	names := make(map[string]bool)
	for _, region := range r {
		names[region] = true
	}
	return max(1, len(names))
}

// Allows reports whether a data centre is in one of the allowed regions; an empty list allows all
// of them. A data centre that is not listed is in no region that a list can name.
func (r Regions) Allows(allowed []string, dataCentre string) bool {
	if len(r) == 0 || len(allowed) == 0 {
		return true
	}
	region, ok := r[dataCentre]
	return ok && slices.Contains(allowed, region)
}

// CommonRegions returns the regions that are in both lists, where an empty list stands for all
// regions. It returns false if the lists exclude each other.
func CommonRegions(a, b []string) (common []string, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}
