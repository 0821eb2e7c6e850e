package integration_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

var _ = ginkgo.Describe("agents that are gone for good", func() {
	ginkgo.It("have their callers told by the balancers", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, size{balancers: 4, pairs: 1}, harness.DefaultValues(), results)
		options := fleet.CallerOptions("watcher", results, caller.NewTally(), 0)
		options.KeepAlive = time.Second
		watcher := caller.New(options)
		defer watcher.Close()
		opened, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- watcher.Feed(ctx, func() { close(opened) }) }()
		gomega.Eventually(opened, waitTimeout).Should(gomega.BeClosed())

		// Another agent keeps serving, so only the flow of the killed agent is lost, and no
		// other process uses the address of the killed agent.
		_, err := fleet.AddPair(ctx, results)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		killed := time.Now()
		pairs[0].Agent.Kill()
		gomega.Eventually(ended, waitTimeout+waitTimeout).Should(gomega.Receive(&err))
		ginkgo.AddReportEntry("known", fmt.Sprintf("%.1f s after the kill: %v", time.Since(killed).Seconds(), err))
		var reset *quic.StatelessResetError
		gomega.Expect(errors.As(err, &reset)).To(gomega.BeTrue(), "%v", err)

		again := make(chan struct{})
		go func() { ended <- watcher.Feed(ctx, func() { close(again) }) }()
		gomega.Eventually(again, waitTimeout).Should(gomega.BeClosed(), "the caller must be able to connect again")
	}, ginkgo.SpecTimeout(specTimeout))
})
