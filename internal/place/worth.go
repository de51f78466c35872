package place

import "time"

const (
	// outputWeight is what a token of an answer is worth beside one of a prompt:
	// it costs about ten times as much of an engine's time.
	outputWeight = 10
	// quadratic is the size in tokens at which a request is worth twice what it
	// would be by its size alone: reading costs pairs of tokens, and whoever sends
	// so much waits for the whole of it.
	quadratic = 250_000
	// plainWorth is the part of a request's worth that its size does not change.
	plainWorth = 0.3
	// maxWorth bounds the worth of a request, in those of the mean of its kind.
	maxWorth = 4
	// meanShare is the weight of a new request in the mean size of its kind.
	meanShare = 1.0 / 32
)

// worth estimates what answers are worth, in tokens: mostly by their size, beside
// the mean of the requests of their kind. Kinds are told by the wanted time.
type worth struct{ means map[time.Duration]float64 }

func (w *worth) of(a Ask) float64 {
	// A request that names no tokens is worth something, too.
	size := max(1, float64(a.Prompt+outputWeight*a.Output))
	size *= 1 + size/quadratic
	if w.means == nil {
		w.means = make(map[time.Duration]float64)
	}
	mean, ok := w.means[a.Whole]
	if !ok {
		mean = size
	}
	mean += (size - mean) * meanShare
	w.means[a.Whole] = mean
	return min(maxWorth*mean, plainWorth*mean+(1-plainWorth)*size)
}
