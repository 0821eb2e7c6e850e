package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	fileA = "version: 1\nservices: [{name: a, faces: ['192.0.2.1:1'], classes: [{name: c, path: /c}]}]\n"
	fileB = "version: 1\nservices: [{name: a, faces: ['192.0.2.1:1'], classes: [{name: c, path: /d}]}]\n"
	bad   = "version: 1\nservices: [{name: a, faces: ['192.0.2.1:1'], clases: []}]\n"
)

// startStore runs a fake store and makes the tool use it through SALTBEND_STORE.
func startStore(t *testing.T) (*storefake.Store, *httpstore.Client) {
	t.Helper()
	fake := storefake.New()
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(server.Close)
	t.Setenv("SALTBEND_STORE", server.URL)
	client, err := httpstore.New([]string{server.URL}, httpstore.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return fake, client
}

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestValidateApplyAndGetExitCodesAndOutput(t *testing.T) {
	fake, _ := startStore(t)
	a, b, broken := writeConfig(t, fileA), writeConfig(t, fileB), writeConfig(t, bad)
	steps := []struct {
		name string
		args []string
		code int
		out  string
		errs string
	}{
		{"valid file", []string{"validate", a}, exit.OK, "is valid: 1 services", ""},
		{"file with findings", []string{"validate", broken}, exit.Usage, "", ":2:12 services[0].classes: the service has no class"},
		{"findings as JSON", []string{"validate", "--output=json", broken}, exit.Usage, `"field": "services[0].clases"`, ""},
		{"nothing stored yet", []string{"get"}, exit.Failure, "", "no configuration yet"},
		{"dry run", []string{"apply", "--dry-run", a}, exit.OK, "nothing was written", ""},
		{"still nothing stored", []string{"get"}, exit.Failure, "", "no configuration yet"},
		{"refused", []string{"apply", broken}, exit.Usage, "", "2 findings; nothing was written"},
		{"first", []string{"apply", "--base=0", "--operator=ann", a}, exit.OK, "Accepted as revision 1", ""},
		{"get", []string{"get"}, exit.OK, fileA, "revision 1 by ann"},
		{"again", []string{"apply", a}, exit.OK, "holds this file already, as revision 1", ""},
		{"difference", []string{"apply", "--operator=bob", b}, exit.OK, "classes.c  request /c priority 5 deadline 5s  request /d priority 5 deadline 5s", ""},
		{"conflict", []string{"apply", "--base=1", a}, exit.Conflict, "", "revision 2 by bob"},
		{"conflict as JSON", []string{"apply", "--base=1", "--output=json", a}, exit.Conflict, `"verdict": "conflict"`, ""},
		{"no such file", []string{"apply", "/none"}, exit.Usage, "", "no such file"},
		{"wait without peers", []string{"apply", "--wait", a}, exit.Usage, "", "SALTBEND_PEERS"},
	}
	for _, step := range steps {
		g := NewWithT(t)
		code, out, errs := runTool(step.args...)
		g.Expect(code).To(Equal(step.code), "%s: %s%s", step.name, out, errs)
		g.Expect(out).To(ContainSubstring(step.out), step.name)
		g.Expect(errs).To(ContainSubstring(step.errs), step.name)
	}
	g := NewWithT(t)
	fake.SetFaults(storefake.Faults{Down: true})
	for _, args := range [][]string{{"apply", a}, {"get"}} {
		code, _, errs := runTool(args...)
		g.Expect(code).To(Equal(exit.Unavailable))
		g.Expect(errs).To(ContainSubstring("unavailable"))
	}
	fake.SetFaults(storefake.Faults{LoseAnswer: 1})
	code, out, errs := runTool("apply", a)
	g.Expect(code).To(Equal(exit.OK), errs)
	g.Expect(out).To(ContainSubstring("Accepted as revision 3"))
}

func TestApplyReportsUnknownOutcomeIfTheAnswerIsLost(t *testing.T) {
	g := NewWithT(t)
	written := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPut:
			written = true
			panic(http.ErrAbortHandler)
		case written:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	code, _, errs := runTool("apply", "--store", server.URL, "--timeout=300ms", writeConfig(t, fileA))
	g.Expect(code).To(Equal(exit.Unknown))
	g.Expect(errs).To(ContainSubstring("not known whether"))
}

func TestApplyWithWaitReturnsOnceInForceOrListsLateBalancers(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SALTBEND_SECRETS", fleetSecret)
	_, s := startStore(t)
	a := startBalancerWithStore(t, s)
	b := startBalancer(t, a.Addr())
	t.Setenv("SALTBEND_PEERS", a.Addr().String())
	balancers := func() int { _, out, _ := runTool("status"); return strings.Count(out, "balancer") }
	g.Eventually(balancers, eventuallyTimeout).Should(Equal(2))

	code, _, errs := runTool("apply", "--wait", writeConfig(t, fileA))
	g.Expect(code).To(Equal(exit.OK), errs)
	g.Expect(errs).To(ContainSubstring("is in force on 2 of 2 balancers"))

	g.Expect(b.Close()).To(Succeed())
	code, out, errs := runTool("apply", "--wait", "--wait-timeout=500ms", "--output=json", writeConfig(t, fileB))
	g.Expect(code).To(Equal(exit.Late), errs)
	g.Expect(errs).To(ContainSubstring("late: " + b.Addr().String()))
	g.Expect(out).To(ContainSubstring(`"done": 1`))
}
