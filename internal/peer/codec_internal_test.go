package peer

import (
	"net/rpc"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestWriterReleasesLargeBuffer(t *testing.T) {
	g := NewWithT(t)
	w := newGobWriter(DefaultMessageBytes)
	for _, size := range []int{10, DefaultMessageBytes / 2, 10} {
		message, err := w.message(&rpc.Response{}, strings.Repeat("x", size))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(message)).To(BeNumerically(">", size))
		g.Expect(w.buf.Cap()).To(BeNumerically("<=", maxRetainedBuffer))
	}
}
