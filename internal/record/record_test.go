package record_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
)

var now = time.Unix(1_000_000, 0).UTC()

const valid = "version: 1\nservices: [{name: a, faces: ['192.0.2.1:1'], classes: [{name: c, path: /c}]}]\n"

func draft(id record.ChangeID, text []byte) record.Draft {
	parsed, _ := config.Parse([]byte(valid), 0)
	return record.Draft{ID: id, Operator: "ann", Time: now, Text: text, Config: parsed}
}

func TestEncodeAndDecodeRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	r := record.First(draft("one", []byte(valid))).Next(7, draft("two", []byte(valid)))
	value, err := r.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(record.Decode(value)).To(gomega.Equal(r))
	fromText, findings := config.Parse([]byte(valid), 9)
	g.Expect(findings).To(gomega.BeEmpty())
	configJSON, err := record.ConfigJSON(value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(record.ParseConfigJSON(configJSON, 9)).To(gomega.Equal(fromText))
}

func TestFindIsLimitedToMaxRecentChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	const first, last = 10, 10 + record.MaxRecent + 1
	r := record.First(draft("c10", nil))
	g.Expect(r.Covers(store.Create)).To(gomega.BeTrue())
	for revision := uint64(first); revision < last; revision++ {
		r = r.Next(revision, draft(record.ChangeID(fmt.Sprint("c", revision+1)), nil))
	}
	found := func(n uint64) bool {
		revision, ok := r.Find(record.ChangeID(fmt.Sprint("c", n)), last)
		return ok && revision == n
	}
	g.Expect(found(last)).To(gomega.BeTrue())
	g.Expect(found(first + 1)).To(gomega.BeTrue())
	g.Expect(found(first)).To(gomega.BeFalse())
	g.Expect(r.Covers(first + 1)).To(gomega.BeTrue())
	g.Expect(r.Covers(first)).To(gomega.BeFalse())
	g.Expect(r.Covers(store.Create)).To(gomega.BeFalse())
}

func TestLargestTextFitsAndDamagedValuesAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	noise := make([]byte, config.MaxFileBytes)
	for i := range noise {
		noise[i] = byte(rand.IntN(127-' ') + ' ')
	}
	value, err := record.First(draft("one", noise)).Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a file of maximum size with random ASCII characters must fit")
	g.Expect(record.Decode(value)).To(gomega.HaveField("Text", string(noise)))
	_, err = record.Decode(value[:len(value)/2])
	g.Expect(err).To(gomega.MatchError(record.ErrDamaged))
	_, err = record.Decode(bytes.Repeat([]byte("plain"), 9))
	g.Expect(err).To(gomega.MatchError(record.ErrDamaged))
}
