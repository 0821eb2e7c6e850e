package peer

import (
	"bytes"
	"sync"
)

// outbox holds encoded requests until the writer takes them. It needs no bound
// of its own: it holds no more than the calls that may be pending.
type outbox struct {
	mu       sync.Mutex
	messages [][]byte
	// filled has a value when there are messages to take.
	filled chan struct{}
}

func newOutbox() *outbox {
	return &outbox{filled: make(chan struct{}, 1)}
}

// put adds a message; it never blocks.
func (o *outbox) put(message []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = append(o.messages, message)
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// take returns all messages in their order, as one write.
func (o *outbox) take() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.messages
	o.messages = nil
	if len(all) == 1 {
		return all[0]
	}
	return bytes.Join(all, nil)
}
