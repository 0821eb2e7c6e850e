package logging

// mostRemembered bounds what a Once remembers: what others write may differ each time,
// and must not fill the log or the memory.
const mostRemembered = 256

// Once tells which texts are new, so that each is logged once. The zero value has seen
// none. It has one owner at a time.
type Once struct{ seen map[string]struct{} }

// First reports whether a text is to be logged: it has not been seen, and not too many
// have.
func (o *Once) First(text string) bool {
	if o.seen == nil {
		o.seen = make(map[string]struct{})
	}
	if _, seen := o.seen[text]; seen || len(o.seen) >= mostRemembered {
		return false
	}
	o.seen[text] = struct{}{}
	return true
}
