package logging_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/logging"
)

func TestOnceAcceptsEachTextOnceAndALimitedNumberOfTexts(t *testing.T) {
	g := NewWithT(t)
	var o logging.Once
	g.Expect(o.First("a")).To(BeTrue())
	g.Expect(o.First("a")).To(BeFalse())
	logged := 0
	for n := range 10_000 {
		if o.First(strconv.Itoa(n)) {
			logged++
		}
	}
	g.Expect(logged).To(BeNumerically("<", 300))
}
