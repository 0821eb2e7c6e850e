package peer

import (
	"bytes"
	"sync"
)

// outbox queues encoded requests for the writer. It needs no limit: it never holds more
// requests than there may be pending calls.
type outbox struct {
	mu       sync.Mutex
	messages [][]byte
	// filled holds a value while there are messages to take.
	filled chan struct{}
}

func newOutbox() *outbox {
	return &outbox{filled: make(chan struct{}, 1)}
}

// put queues a message without blocking.
func (o *outbox) put(message []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = append(o.messages, message)
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// take removes all messages and returns them in order, joined for a single write.
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
