package logging_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/logging"
)

// The underlying writer is a pipe that nobody reads at first, so each write to it blocks.
func TestBoundedDropsAndCountsWritesIfTheWriterBlocks(t *testing.T) {
	g := NewWithT(t)
	reader, writer := io.Pipe()
	b := logging.NewBounded(writer, 4)
	for range 100 {
		n, err := b.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
	g.Expect(b.Dropped()).To(BeNumerically(">=", 95))
	var got bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&got, reader)
	}()
	g.Eventually(b.Close(), 20*time.Second).Should(BeClosed())
	g.Expect(writer.Close()).To(Succeed())
	g.Eventually(read, 20*time.Second).Should(BeClosed())
	g.Expect(uint64(got.Len()/5) + b.Dropped()).To(BeEquivalentTo(100))
}
