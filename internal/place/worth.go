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

// worth estimates what answers are worth, in tokens. The mean answer of a kind is
// worth what it costs to read, and the others of the kind by their size beside the
// mean. Kinds are told by the wanted time.
type worth struct{ means map[time.Duration]*mean }

// mean is that of a kind.
type mean struct {
	// size is in tokens, cost with what pairs of tokens add.
	size, cost float64
}

func (w *worth) of(a Ask) float64 {
	// A request that names no tokens is worth something, too.
	size := max(1, float64(a.Prompt+outputWeight*a.Output))
	cost := size * (1 + size/quadratic)
	if w.means == nil {
		w.means = make(map[time.Duration]*mean)
	}
	m := w.means[a.Whole]
	if m == nil {
		m = &mean{size, cost}
		w.means[a.Whole] = m
	}
	m.size += (size - m.size) * meanShare
	m.cost += (cost - m.cost) * meanShare
	return m.cost * min(maxWorth, plainWorth+(1-plainWorth)*size/m.size)
}

// least is the mean worth of the kind whose answers are worth least.
func (w *worth) least() float64 {
	least := 0.0
	for _, m := range w.means {
		if least == 0 || m.cost < least {
			least = m.cost
		}
	}
	return least
}
