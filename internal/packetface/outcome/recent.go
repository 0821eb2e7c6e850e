package outcome

// recentOutcomes is a ring buffer of the last outcomes.
type recentOutcomes struct {
	failed          [window]bool
	caller          [window][4]byte
	next            int
	returnedOpening returnedOpening
}

// returnedOpening holds the caller of the first opening packet that the upstream has
// returned since it last accepted one.
type returnedOpening struct {
	any    bool
	caller [4]byte
}

// addCaller records that an opening packet of a caller was returned, and reports whether
// the first opening packet returned came from another caller.
func (r *returnedOpening) addCaller(caller [4]byte) bool {
	if r.any {
		return r.caller != caller
	}
	*r = returnedOpening{any: true, caller: caller}
	return false
}

func (r *recentOutcomes) clear() { *r = recentOutcomes{} }

func (r *recentOutcomes) add(failed bool, caller [4]byte) {
	r.failed[r.next], r.caller[r.next] = failed, caller
	r.next = (r.next + 1) % window
}

// failedCallers returns the number of different callers with a failure.
func (r *recentOutcomes) failedCallers() int {
	n := 0
	for i := range r.failed {
		if r.failed[i] && !r.countedBefore(i) {
			n++
		}
	}
	return n
}

// countedBefore reports whether the caller of the failure at an index has another failure
// at a lower index.
func (r *recentOutcomes) countedBefore(at int) bool {
	for i := range at {
		if r.failed[i] && r.caller[i] == r.caller[at] {
			return true
		}
	}
	return false
}
