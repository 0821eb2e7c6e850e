package confdelta_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/confdelta"
)

// TestUpdateFromAnyProcessRestoresItsText lets processes read revisions from the store and
// update from each other in any order, and checks that each has the text of its revision.
func TestUpdateFromAnyProcessRestoresItsText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		logs := make([]confdelta.Log, 4)
		texts := map[uint64]string{}
		newest := uint64(0)
		pick := func(t *rapid.T, name string) int { return rapid.IntRange(0, len(logs)-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				reader := pick(t, "reader")
				newest += rapid.Uint64Range(1, 3).Draw(t, "gap")
				texts[newest] = string(file(int(newest%5) + 1))
				advanced, err := logs[reader].Advance(newest, []byte(texts[newest]))
				if err != nil {
					t.Fatal(err)
				}
				logs[reader] = advanced
			},
			"follow": func(t *rapid.T) {
				from, to := pick(t, "from"), pick(t, "to")
				update, err := logs[from].Since(logs[to].Revision())
				if err != nil {
					t.Fatal(err)
				}
				if update.Revision == 0 {
					return
				}
				logs[to], err = logs[to].Apply(update, limit)
				if err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) { logs[pick(t, "restarted")] = confdelta.Log{} },
			"": func(t *rapid.T) {
				for i, l := range logs {
					if string(l.Text()) != texts[l.Revision()] {
						t.Fatalf("process %d does not have the text of its revision %d", i, l.Revision())
					}
				}
			},
		})
	})
}

func TestUpdateFromAnotherRevisionIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	var l confdelta.Log
	var err error
	for revision := uint64(1); revision <= 60; revision++ {
		l, err = l.Advance(revision, fmt.Appendf(nil, "text %d", revision))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	recent, err := l.Since(59)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(recent.Steps).To(gomega.HaveLen(1))
	outdated, err := l.Since(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outdated.Steps).To(gomega.BeEmpty(), "a log must not keep more than its maximum number of steps")
	_, err = confdelta.Log{}.Apply(recent, limit)
	g.Expect(err).To(gomega.MatchError(confdelta.ErrRevision))
	recent.Revision++
	other, _ := confdelta.Log{}.Advance(59, []byte("text 59"))
	_, err = other.Apply(recent, limit)
	g.Expect(err).To(gomega.MatchError(confdelta.ErrRevision))
}
