package outcome

// recent holds the last outcomes.
type recent struct {
	failed   [window]bool
	caller   [window][4]byte
	next     int
	returned returned
}

// returned holds the caller of an opening packet that was given back since one was
// accepted.
type returned struct {
	any    bool
	caller [4]byte
}

// by notes an opening packet of a caller that was given back; it reports whether one
// of another caller was before.
func (r *returned) by(caller [4]byte) bool {
	if r.any {
		return r.caller != caller
	}
	*r = returned{any: true, caller: caller}
	return false
}

func (r *recent) clear() { *r = recent{} }

func (r *recent) add(failed bool, caller [4]byte) {
	r.failed[r.next], r.caller[r.next] = failed, caller
	r.next = (r.next + 1) % window
}

// callers returns how many different callers met a failure.
func (r *recent) callers() int {
	n := 0
	for i := range r.failed {
		if r.failed[i] && !r.metBefore(i) {
			n++
		}
	}
	return n
}

// metBefore reports whether the caller of a failure stands at an earlier place.
func (r *recent) metBefore(at int) bool {
	for i := range at {
		if r.failed[i] && r.caller[i] == r.caller[at] {
			return true
		}
	}
	return false
}
