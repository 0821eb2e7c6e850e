package integration_test

import (
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

var _ = ginkgo.Describe("the fleet secret", func() {
	const (
		callersEach = 20
		nextSecret  = "2:c3c3c3c3c3c3c3c3c3c3c3c3c3c3c3c3"
	)
	load := caller.Load{Feed: true, LookupEvery: 300 * time.Millisecond, SubmitEvery: 500 * time.Millisecond, BatchBytes: 200}

	ginkgo.It("may be rotated one process at a time under load", func(ctx ginkgo.SpecContext) {
		fleet, _ := start(ctx, size{balancers: 2, pairs: 2}, harness.DefaultValues(), results, exams)
		// statusWith runs `saltbend status` with the secrets and returns its exit code.
		// It fails as long as a member is shown as late, which ends with the member's
		// next renewal, so callers poll it.
		statusWith := func(secrets string) int {
			path := filepath.Join(ginkgo.GinkgoT().TempDir(), "secrets")
			gomega.Expect(os.WriteFile(path, []byte(secrets), 0o600)).To(gomega.Succeed())
			r, err := fleet.CLI(ctx, "status", "--secrets-file", path, "--peer", fleet.Balancers()[0].Address("control").String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return r.Code
		}
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, load)
		awaitProgress(tally, callersEach, callersEach)
		gomega.Expect(statusWith(nextSecret)).To(gomega.Equal(exit.Unavailable))
		for _, step := range []string{harness.Secrets + "," + nextSecret, nextSecret + "," + harness.Secrets} {
			gomega.Expect(fleet.RotateSecrets(ctx, step)).To(gomega.Succeed())
			gomega.Eventually(statusWith, waitTimeout).WithArguments(step).Should(gomega.Equal(exit.OK))
			awaitProgress(tally, 4*callersEach, 4*callersEach)
		}
		// A balancer that starts during the rotation must serve flows of both keys.
		_, err := fleet.AddBalancer(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(fleet.KillBalancer(ctx, fleet.Balancers()[0])).To(gomega.Succeed())
		awaitProgress(tally, 4*callersEach, 4*callersEach)
		crowd.Stop()
		expectNoErrors(fleet, tally, 2*callersEach)

		gomega.Expect(fleet.RotateSecrets(ctx, nextSecret)).To(gomega.Succeed())
		gomega.Expect(statusWith(harness.Secrets)).To(gomega.Equal(exit.Unavailable))
		gomega.Eventually(statusWith, waitTimeout).WithArguments(nextSecret).Should(gomega.Equal(exit.OK))
		// Reuse the tally, since the new callers have the names of the earlier ones.
		crowd = startCallers(ctx, fleet, tally, callersEach, load)
		awaitProgress(tally, 4*callersEach, 4*callersEach)
		crowd.Stop()
		expectNoErrors(fleet, tally, 4*callersEach)
	}, ginkgo.SpecTimeout(specTimeout))
})
