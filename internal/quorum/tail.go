package quorum

import "slices"

// tail holds the part of the log that is kept in memory.
type tail struct {
	// baseIndex and baseTerm identify the entry before the first one in entries.
	baseIndex, baseTerm uint64
	entries             []Entry
}

func (t *tail) lastIndex() uint64 { return t.baseIndex + uint64(len(t.entries)) }

// term returns the term of the entry at index, if the entry or its term is kept.
func (t *tail) term(index uint64) (uint64, bool) {
	if index == t.baseIndex {
		return t.baseTerm, true
	}
	if index < t.baseIndex || index > t.lastIndex() {
		return 0, false
	}
	return t.entries[index-t.baseIndex-1].Term, true
}

func (t *tail) lastTerm() uint64 {
	term, _ := t.term(t.lastIndex()) // Always known: it is the last entry's or baseTerm.
	return term
}

// matches reports whether the entry at index has the given term.
func (t *tail) matches(index, term uint64) bool {
	actual, ok := t.term(index)
	return ok && actual == term
}

// entriesFrom returns the entries from index on, limited to maxBytes but at least one.
// The caller must not change them.
func (t *tail) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > t.lastIndex() {
		return nil
	}
	rest := t.entries[index-t.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries from lo to hi, both included.
func (t *tail) entriesBetween(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return t.entries[lo-t.baseIndex-1 : hi-t.baseIndex : hi-t.baseIndex]
}

// replaceFrom truncates the log before the first of es and appends es. It copies the
// remaining entries on truncation, because readers may still hold the old slice.
func (t *tail) replaceFrom(es []Entry) {
	if len(es) == 0 {
		return
	}
	keep := es[0].Index - t.baseIndex - 1
	if keep < uint64(len(t.entries)) {
		t.entries = slices.Clone(t.entries[:keep])
	}
	t.entries = append(t.entries, es...)
}

// compact drops the entries up to and including index.
func (t *tail) compact(index uint64) {
	term, ok := t.term(index)
	if !ok || index <= t.baseIndex {
		return
	}
	t.entries = slices.Clone(t.entries[index-t.baseIndex:])
	t.baseIndex, t.baseTerm = index, term
}

// reset empties the log and starts it after the snapshot at index.
func (t *tail) reset(index, term uint64) { *t = tail{baseIndex: index, baseTerm: term} }
