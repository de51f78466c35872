package policy

import "time"

// usageWindow is longer than the delay of a report, so that what an engine reported was
// reserved in this window or the one before it.
const usageWindow = 10 * time.Second

// memoryUsage compares the memory that an engine reports as used with what was reserved
// on it when the report may have been made.
type memoryUsage struct {
	// peaks are the most tokens reserved in this window and in the one before it.
	peaks       [2]int
	windowStart time.Time
	// unaccounted is the reported memory that no reservation covers, in tokens.
	unaccounted int
}

// observeReserved records the tokens that are reserved now.
func (u *memoryUsage) observeReserved(now time.Time, tokens int) {
	switch age := now.Sub(u.windowStart); {
	case age > 2*usageWindow:
		u.windowStart, u.peaks = now, [2]int{tokens, tokens}
	case age > usageWindow:
		u.windowStart, u.peaks = now, [2]int{tokens, u.peaks[0]}
	}
	u.peaks[0] = max(u.peaks[0], tokens)
}

// observeReport records the tokens that the engine reports as used.
func (u *memoryUsage) observeReport(tokens int) {
	u.unaccounted = max(tokens-max(u.peaks[0], u.peaks[1]), 0)
}
