package logging

// maxRemembered is the maximum number of texts that a Once remembers. The texts may depend
// on input from other processes and differ each time; without a limit they would fill the
// log and the memory.
const maxRemembered = 256

// Once filters repeated log texts. The zero value is ready to use. It is not safe for
// concurrent use.
type Once struct{ seen map[string]struct{} }

// First reports whether the text is to be logged. It returns true for the first occurrence
// of each of the first 256 different texts, and false for all others.
func (o *Once) First(text string) bool {
	if o.seen == nil {
		o.seen = make(map[string]struct{})
	}
	if _, seen := o.seen[text]; seen || len(o.seen) >= maxRemembered {
		return false
	}
	o.seen[text] = struct{}{}
	return true
}
